// Package simulator plays loads and faults against the decisions about packet
// flows in virtual time: packages placer, chooser, tracker, registrar and router
// run unchanged, and callers, routers, targets, the network and the platform are
// modelled. A run takes about a second and is determined by its seed, so that
// differences of a few thousandths between two variants of a decision can be seen.
//
// A load is a YAML file. Its numbers are fixed or ranges, from which each seed
// draws, so that no variant is fitted to one deployment. Two variants are compared
// seed by seed.
//
// What is not modelled: processor time, link bandwidth, the sizes of packets, the
// age of tables (a table is current as soon as it is known), and the timing of
// reads of the platform, which package follower's tests cover.
//
// # Usage
//
//	loads, err := simulator.ReadLoads("loads.yaml")
//	result := simulator.Play(loads[0], simulator.Policy(), seed)
//	rows, err := simulator.Measure(os.Stdout, loads, simulator.Variants(), simulator.Options{Seeds: 30})
package simulator
