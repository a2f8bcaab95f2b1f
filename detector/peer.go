package detector

import (
	"sync/atomic"
	"time"
)

// Peer is the liveness of one target. RecordForwarded, RecordReceived, Suspect,
// IsDown and LastHeard are safe for concurrent use and do not allocate.
type Peer struct {
	target uint32
	epoch  time.Time

	// unansweredSince is the time at which the first datagram was forwarded
	// after the last one was received, in ns after the epoch, or 0 for none.
	unansweredSince atomic.Int64
	lastHeard       atomic.Int64
	down            atomic.Bool
	suspected       atomic.Bool

	// The fields below are used only by the goroutine that calls Tick.
	probes     int
	firstProbe int64
	lastProbe  int64
	// probingSuspicion is set while the current probes are due to a suspicion.
	probingSuspicion bool
	newlyDown        bool
}

// action is the probe that is due for a target. Urgent probes go first when the
// number of probes is bounded.
type action int

const (
	actionNone action = iota
	actionProbe
	actionUrgent
)

// sinceEpoch returns the time in ns after the epoch, at least 1 because 0 stands
// for no time.
func (p *Peer) sinceEpoch(now time.Time) int64 { return max(1, int64(now.Sub(p.epoch))) }

// Target returns the number of the target.
func (p *Peer) Target() uint32 { return p.target }

// RecordForwarded records that a datagram was sent to the target.
func (p *Peer) RecordForwarded(now time.Time) {
	if p.unansweredSince.Load() == 0 {
		p.unansweredSince.CompareAndSwap(0, p.sinceEpoch(now))
	}
}

// RecordReceived records that a datagram was received from the target.
func (p *Peer) RecordReceived(now time.Time) {
	p.lastHeard.Store(p.sinceEpoch(now))
	if p.unansweredSince.Load() != 0 {
		p.unansweredSince.Store(0)
	}
	if p.down.Load() {
		p.down.Store(false)
	}
}

// Suspect requests immediate probes because another source reported the target
// as down. Only unanswered probes mark the target down, so a wrong or forged
// report costs no more than these probes.
func (p *Peer) Suspect() { p.suspected.Store(true) }

// IsDown reports whether the target is down because it left its probes
// unanswered.
func (p *Peer) IsDown() bool { return p.down.Load() }

// LastHeard returns the time of the last datagram from the target, or false
// if there was none.
func (p *Peer) LastHeard() (time.Time, bool) {
	heard := p.lastHeard.Load()
	return p.epoch.Add(time.Duration(heard)), heard != 0
}

// update advances the state to time now and returns the probe that is due.
func (p *Peer) update(now time.Time, o *Options) action {
	at := p.sinceEpoch(now)
	if p.down.Load() {
		if at-p.lastProbe >= int64(o.DownInterval) {
			return actionProbe
		}
		return actionNone
	}
	if p.probes > 0 && p.lastHeard.Load() >= p.firstProbe {
		p.probes, p.probingSuspicion = 0, false
		p.suspected.Store(false)
	}
	if p.probes == 0 {
		waiting := p.unansweredSince.Load()
		switch {
		case p.suspected.Load():
			p.probingSuspicion = true
			return actionUrgent
		case waiting != 0 && at-waiting >= int64(o.UnansweredAfter):
			return actionProbe
		}
		return actionNone
	}
	interval := o.ProbeInterval
	if p.probingSuspicion {
		interval = o.SuspectInterval
	}
	if at-p.lastProbe < int64(interval) {
		return actionNone
	}
	if p.probes >= o.ProbeLimit {
		p.markDown()
		return actionNone
	}
	return actionUrgent
}

// markDown marks the target down after a series of unanswered probes.
func (p *Peer) markDown() {
	p.down.Store(true)
	// Check again: otherwise a datagram that arrived between the check in update
	// and the store above would be ignored.
	if p.lastHeard.Load() >= p.firstProbe {
		p.down.Store(false)
	} else {
		p.newlyDown = !p.probingSuspicion
		p.unansweredSince.Store(0)
	}
	p.probes, p.probingSuspicion = 0, false
	p.suspected.Store(false)
}

// takeNewlyDown reports once that the target went down without a suspicion.
func (p *Peer) takeNewlyDown() bool {
	newlyDown := p.newlyDown
	p.newlyDown = false
	return newlyDown
}

// recordProbe records that a probe is being sent.
func (p *Peer) recordProbe(now time.Time) {
	p.lastProbe = p.sinceEpoch(now)
	if p.probes == 0 {
		p.firstProbe = p.lastProbe
	}
	if !p.down.Load() {
		p.probes++
	}
}
