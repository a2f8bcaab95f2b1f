// Package admitter decides at the agent of a target whether an opening packet is
// accepted into a free slot or into the queue of the target, passed on to the next
// target, or refused with a reset when no target is left. It uses no sockets and no
// clock.
//
// A target serves its queue in the order of arrival, so that requests can be ordered
// by priority only before they are accepted. When no target accepted a more
// urgent opening packet, less urgent ones get free slots only for a second, apart from
// a least share of the places.
//
// # Usage
//
//	a := admitter.NewAdmitter(admitter.DefaultPolicy())
//	verdict := a.Admit(opening, state, classes, now)
//	if !verdict.IsAccepted() && isLastTarget && a.Refuses(opening, state) { ... }
package admitter
