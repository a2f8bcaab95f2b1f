package framer

import "kingcupvalve.example/kingcupvalve/selector"

// Pass is a pass of a search.
type Pass uint8

// Passes of a search. The first one visits what most likely holds a flow or
// takes a new one, the second one what the first left out. Processes may
// disagree on what to leave out, so after a first pass that passed over a listed
// target the second one is a full pass.
const (
	FirstPass Pass = iota
	PartialPass
	SecondPass
	FullPass
)

// IsSecond reports whether no pass follows.
func (p Pass) IsSecond() bool { return p >= SecondPass }

// Partial returns a first pass that has passed over a listed target.
func (p Pass) Partial() Pass { return p | PartialPass }

// Next returns the pass that follows a first one.
func (p Pass) Next() Pass { return p + SecondPass }

const (
	passBits = 2
	passMask = 1<<passBits - 1
)

// StartProgress begins a search at the first target of a flow.
const StartProgress = ^uint32(0)

// NewProgress returns the progress after a target of a rank. It keeps 30 of its
// 31 bits: two targets of one flow differ in the last one alone with a
// probability of 1 in 10^9.
func NewProgress(rank uint32, pass Pass) uint32 { return rank>>1<<passBits | uint32(pass) }

// Rank returns the rank below which the search continues.
func (m Mark) Rank() uint32 {
	if m.Progress == StartProgress {
		return selector.StartRank
	}
	return m.Progress >> passBits << 1
}

// Pass returns the pass of the search. A search that has not begun is in its
// first one.
func (m Mark) Pass() Pass {
	if m.Progress == StartProgress {
		return FirstPass
	}
	return Pass(m.Progress & passMask)
}
