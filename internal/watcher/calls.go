package watcher

import (
	"time"

	"kingcupvalve.example/kingcupvalve/keeper"
)

// sourcePlatform is the source of heads and sections that the process read from
// the platform itself.
const sourcePlatform = "platform"

// headResult is the result of a read or watch of the head.
type headResult struct {
	head        keeper.Head
	version     int64
	notModified bool
	missing     bool // no head is published
	malformed   error
	err         error // the call failed
}

type hostsResult struct {
	changes     hostChanges
	notModified bool
	err         error
}

func (c *call) begin(now time.Time, wait time.Duration) {
	c.pending, c.expires = true, now.Add(wait+callTimeout)
}

func (c *call) end(next time.Time) { c.pending, c.failures, c.next = false, 0, next }

func (l *logic) failCall(c *call, now time.Time) {
	limit := maxBackoff
	if l.isWatching() {
		limit = maxWatchingBackoff
	}
	delay := min(minBackoff<<min(c.failures, 10), limit)
	c.failures++
	c.pending, c.next = false, now.Add(delay/2+l.randomDelay(delay/2))
}

// expireCalls fails calls that got no answer in time.
func (l *logic) expireCalls(now time.Time) {
	for _, c := range []*call{&l.headCall, &l.hostCall} {
		if c.pending && now.After(c.expires) {
			l.failCall(c, now)
		}
	}
}

func (l *logic) tickHead(now time.Time) {
	if l.headCall.pending || now.Before(l.headCall.next) {
		return
	}
	switch {
	case l.isWatching() && l.headVersion > 0:
		l.headCall.begin(now, HeadWatchTimeout)
		l.effects.readHead(l.headVersion, HeadWatchTimeout)
	case l.isWatching() || l.orphaned || !l.headAttempted || l.headReadFailed && !l.ready || now.After(l.nextPeriodicRead):
		l.schedulePeriodicRead(now)
		l.headCall.begin(now, 0)
		l.effects.readHead(0, 0)
	}
}

func (l *logic) tickHosts(now time.Time) {
	if l.hostCall.pending || now.Before(l.hostCall.next) {
		return
	}
	switch {
	case l.isWatching():
		l.hostCall.begin(now, HostWatchTimeout)
		l.effects.readHosts(l.hosts.hostPosition, HostWatchTimeout)
	case l.orphaned || !l.hosts.known:
		l.hostCall.begin(now, 0)
		l.effects.readHosts(l.hosts.hostPosition, 0)
	}
}

func (l *logic) schedulePeriodicRead(now time.Time) {
	l.nextPeriodicRead = now.Add(periodicReadInterval/2 + l.randomDelay(periodicReadInterval))
}

// headRead handles the result of readHead.
func (l *logic) headRead(now time.Time, r headResult) {
	if !l.headCall.pending {
		return // already expired
	}
	l.headAttempted = true
	l.headReadFailed = r.err != nil
	if r.err != nil {
		l.headVersion = 0
		l.failCall(&l.headCall, now)
		return
	}
	switch {
	case l.isWatching() && r.missing:
		l.headCall.end(now.Add(maxWatchingBackoff/2 + l.randomDelay(maxWatchingBackoff/2)))
	case l.isWatching():
		l.headCall.end(now.Add(MinCallInterval))
	default:
		l.headCall.end(now.Add(orphanReadInterval + l.randomDelay(parentTimeoutJitter)))
	}
	l.headVersion = r.version
	if r.notModified || r.missing {
		l.headVersion = 0 // the next call is a plain read
		return
	}
	if r.malformed != nil {
		return
	}
	l.platformRevision = r.head.Revision()
	l.offer(now, r.head, sourcePlatform)
}

// hostsRead handles the result of readHosts.
func (l *logic) hostsRead(now time.Time, r hostsResult) {
	if !l.hostCall.pending {
		return
	}
	l.hostsAttempted = true
	if r.err != nil {
		l.failCall(&l.hostCall, now)
		return
	}
	next := orphanReadInterval + l.randomDelay(parentTimeoutJitter)
	if !r.notModified {
		l.applyHosts(now, r.changes)
	}
	if l.isWatching() {
		next = MinCallInterval
	}
	l.hostCall.end(now.Add(next))
}

func (l *logic) applyHosts(now time.Time, c hostChanges) {
	wasWatching := l.isWatching()
	if !l.hosts.apply(c) {
		return
	}
	l.snapshotChanged = true
	l.position = l.ranker.Position(l.hosts.rankerHosts(), l.name, l.zone)
	switch {
	case l.isWatching() && !wasWatching:
		l.headVersion = 0
		l.headCall.next, l.hostCall.next = now.Add(MinCallInterval), now.Add(MinCallInterval)
	case wasWatching && !l.isWatching():
		l.parentHeardAt = now
	}
	l.tickPeers(now)
	for _, id := range l.linkIDs() {
		l.sendHosts(now, l.links[id])
	}
}
