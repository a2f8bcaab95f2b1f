package follower

import "time"

// Parts of Options.Deadline, in percent.
const (
	// watchWaitPercent is the time after which a watch without changes returns. A
	// watch that is still open afterwards shows that its connection is silent.
	watchWaitPercent = 33
	// answerPercent is the time that the platform may take beyond the wait.
	// Together with watchWaitPercent it bounds the delay that a silent connection
	// causes.
	answerPercent = 23
	// stalePercent is the age at which a table is stale. It leaves 40% of the
	// deadline for a read of the platform, and exceeds the time of a watch and of
	// the beacon that reports its result.
	stalePercent = 60
	// batchPausePercent is the pause after a batch of changes, so that changes in
	// quick succession share one call.
	batchPausePercent = 10
)

// timing has the intervals and timeouts of a follower's reads.
type timing struct {
	watchWait     time.Duration
	answerTimeout time.Duration
	staleAfter    time.Duration
	batchPause    time.Duration
}

// newTiming returns the timing for a deadline within which a change must be in
// force.
func newTiming(deadline time.Duration) timing {
	part := func(percent time.Duration) time.Duration { return deadline * percent / 100 }
	return timing{watchWait: part(watchWaitPercent), answerTimeout: part(answerPercent), staleAfter: part(stalePercent), batchPause: part(batchPausePercent)}
}
