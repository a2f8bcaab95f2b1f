// Package soaker runs the real programs of packet flows as separate processes
// on loopback, injects faults from outside and checks the promises from what
// callers and targets see.
//
// Everything random follows from one seed: which processes are killed, paused,
// stopped or turned away by the store, which targets crash, drain or are
// replaced, and when. Faults come in series and overlap. Time is real, so a
// seed repeats the schedule and not every packet.
//
// The promises are checked at all times, except those that the pages limit to
// calm: these hold for requests that began settleTime after the last
// unplanned fault.
//
// # Usage
//
//	s, err := soaker.NewSoak(soaker.Options{Program: "bin/kingcupvalved", Seed: 7, Length: 20 * time.Second, Dir: dir})
//	report, err := s.Run(ctx)
package soaker
