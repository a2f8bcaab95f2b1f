package follower

import "time"

// Parts of the deadline, in percent.
const (
	// waitPart is the time after which a watch without changes returns, which
	// shows that a channel has gone silent.
	waitPart = 33
	// answerPart is the time that the platform may take beyond the wait. With
	// waitPart it bounds the time that a silent channel costs.
	answerPart = 23
	// stalePart leaves 40% of the deadline for a read of the platform. It is
	// above a watch and the beacon that tells of it.
	stalePart = 60
	// pausePart lets changes that come in quick succession share one call.
	pausePart = 10
)

// cadence is how often a follower reads.
type cadence struct {
	watchWait  time.Duration
	answerTime time.Duration
	staleAfter time.Duration
	batchPause time.Duration
}

// newCadence returns the cadence for a time in which changes must be in force.
func newCadence(deadline time.Duration) cadence {
	part := func(percent time.Duration) time.Duration { return deadline * percent / 100 }
	return cadence{watchWait: part(waitPart), answerTime: part(answerPart), staleAfter: part(stalePart), batchPause: part(pausePart)}
}
