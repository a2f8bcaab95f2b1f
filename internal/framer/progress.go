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
	// branchBit is set in the progress of a branch.
	branchBit    = 1 << passBits
	progressBits = passBits + 1
)

// StartProgress is the progress of a search that has visited no target yet.
const StartProgress = ^uint32(0)

// NewProgress returns the progress after the visit of the target with a rank. It
// drops the lowest of the rank's 30 bits: two targets of one flow differ in this
// bit alone with a probability of 1 in 5*10^8.
func NewProgress(rank uint32, pass Pass) uint32 { return rank>>1<<progressBits | uint32(pass) }

// NewBranchProgress returns the progress of a branch after the visit of the target
// with a rank. A branch visits a part of the targets only, so that its end does not
// prove that no target holds the flow. The progress carries this, since a target
// that returns a packet keeps nothing else of the mark.
func NewBranchProgress(rank uint32) uint32 { return NewProgress(rank, FullPass) | branchBit }

// ProbeProgress marks an opening packet as a probe of a silent target. It is that of a
// branch that is over, so that no process passes the packet on.
const ProbeProgress = uint32(FullPass) | branchBit

// IsProbe reports whether an opening packet is a probe of the target that it was sent
// to.
func (m Mark) IsProbe() bool { return m.Progress == ProbeProgress }

// Rank returns the rank below which the search continues.
func (m Mark) Rank() uint32 {
	if m.Progress == StartProgress {
		return selector.StartRank
	}
	return m.Progress >> progressBits << 1
}

// Pass returns the pass of the search, FirstPass for a search that has not
// started.
func (m Mark) Pass() Pass {
	if m.Progress == StartProgress {
		return FirstPass
	}
	return Pass(m.Progress & passMask)
}

// IsBranch reports whether the packet travels on a branch of a search.
func (m Mark) IsBranch() bool { return m.Progress != StartProgress && m.Progress&branchBit != 0 }

// Advance returns the mark after the visit of the target with a rank in a pass.
func (m Mark) Advance(rank uint32, pass Pass) Mark {
	isBranch := m.IsBranch()
	m.Progress = NewProgress(rank, pass)
	if isBranch {
		m.Progress |= branchBit
	}
	return m
}
