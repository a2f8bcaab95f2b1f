// Package soaker runs balancers and agents in packet mode as separate processes
// on loopback, injects faults from outside and checks the documented guarantees
// against what callers and targets observe.
//
// All randomness comes from one seed: which processes are killed, paused,
// stopped or get their store connections reset, which targets crash, drain or
// are replaced, and when. Faults may overlap. The run uses wall-clock time, so
// a seed reproduces the fault schedule but not the exact packet sequence.
//
// Most guarantees are checked throughout the run. Those that are documented for
// the steady state only are checked for requests that began more than
// recoveryTime after the last unplanned fault.
//
// # Usage
//
//	s, err := soaker.NewSoak(soaker.Options{Program: "bin/kingcupvalved", Seed: 7, Length: 20 * time.Second, Dir: dir})
//	report, err := s.Run(ctx)
package soaker
