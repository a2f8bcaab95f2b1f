package tracker

import (
	"time"
)

const (
	// probeRetention is longer than a target repeats its answer to an opening packet
	// that nobody acknowledges: 8 times, at intervals of at most 1.6 s.
	probeRetention = 15 * time.Second
	// maxProbes bounds the probes whose answers are awaited.
	maxProbes = 256
)

// TryProbe reports whether an opening packet may be sent to a silent target to
// test it, at most once per silenceTimeout.
func (t *Tracker) TryProbe(now time.Time) bool {
	t.lock.Lock()
	defer t.lock.Unlock()
	return t.tryProbe(now)
}

func (t *Tracker) tryProbe(now time.Time) bool {
	if now.Sub(t.lastProbe) < silenceTimeout {
		return false
	}
	t.lastProbe = now
	return true
}

// AcceptProbe reports whether the target gets a probe, the copy of an opening packet
// whose flow another target gets. It does if it is silent and no other packet tests it
// now.
func (t *Tracker) AcceptProbe(key uint64, now time.Time) bool {
	t.lock.Lock()
	defer t.lock.Unlock()
	if !t.isSilent(now) || t.flows[key] != nil || len(t.probes) >= maxProbes || !t.tryProbe(now) {
		return false
	}
	t.probes[key] = now
	return true
}

// AnswersProbe records an answer of the target to a packet, and reports whether the
// packet was a probe. Callers don't get such an answer.
func (t *Tracker) AnswersProbe(key uint64) bool {
	t.lock.Lock()
	defer t.lock.Unlock()
	if _, isProbe := t.probes[key]; !isProbe {
		return false
	}
	t.unansweredSince = time.Time{}
	return true
}

func (t *Tracker) expireProbes(now time.Time) {
	for key, at := range t.probes {
		if now.Sub(at) > probeRetention {
			delete(t.probes, key)
		}
	}
}

// isSilent reports whether the target does not answer opening packets.
func (t *Tracker) isSilent(now time.Time) bool {
	return !t.unansweredSince.IsZero() && now.Sub(t.unansweredSince) > silenceTimeout
}
