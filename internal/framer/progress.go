package framer

import "kingcupvalve.example/kingcupvalve/selector"

// Pass is a pass of a search over the targets of a flow.
type Pass uint8

// Passes of a search. The first pass visits the targets that most likely hold the
// flow or accept a new one, and the second pass visits those that the first pass
// skipped. Processes may disagree on which targets to skip, so after a first pass
// that skipped a listed target the second pass is a full pass.
const (
	FirstPass   Pass = iota
	PartialPass      // first pass that has skipped a listed target
	SecondPass
	FullPass // second pass that visits all listed targets
)

// IsSecond reports whether the pass is the last one, a second or full pass.
func (p Pass) IsSecond() bool { return p >= SecondPass }

// Partial returns the pass that a first pass becomes by skipping a listed target.
func (p Pass) Partial() Pass { return p | PartialPass }

// Next returns the second pass that follows a first pass.
func (p Pass) Next() Pass { return p + SecondPass }

const (
	passBits = 2
	passMask = 1<<passBits - 1
)

// StartProgress is the progress of a search that has visited no target yet.
const StartProgress = ^uint32(0)

// NewProgress returns the progress after the visit of the target with a rank. It
// drops the lowest of the rank's 31 bits: two targets of one flow differ in this
// bit alone with a probability of 1 in 10^9.
func NewProgress(rank uint32, pass Pass) uint32 { return rank>>1<<passBits | uint32(pass) }

// Rank returns the rank below which the search continues.
func (m Mark) Rank() uint32 {
	if m.Progress == StartProgress {
		return selector.StartRank
	}
	return m.Progress >> passBits << 1
}

// Pass returns the pass of the search, FirstPass for a search that has not
// started.
func (m Mark) Pass() Pass {
	if m.Progress == StartProgress {
		return FirstPass
	}
	return Pass(m.Progress & passMask)
}
