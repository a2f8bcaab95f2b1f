package watcher

import (
	"net/netip"
	"time"

	"golang.org/x/time/rate"

	"kingcupvalve.example/kingcupvalve/internal/wirepb"
	"kingcupvalve.example/kingcupvalve/keeper"
	"kingcupvalve.example/kingcupvalve/ranker"
)

const (
	// tickInterval is the time between two runs of the scheduled work.
	tickInterval = 100 * time.Millisecond
	// parentTimeout is the time without a message from a parent after which a
	// process reads the platform itself. Together with the jitter, one read and
	// four levels of the tree it stays below the 6 s within which a revision
	// must be in force.
	parentTimeout = 3 * time.Second
	// parentTimeoutJitter spreads the reads of processes that lose the same
	// parent.
	parentTimeoutJitter = 500 * time.Millisecond
	// orphanReadInterval is the time between reads while no parent responds.
	orphanReadInterval = 3 * time.Second
	// periodicReadInterval is the mean time between head reads of a process with
	// a live parent. These reads find a revision that no watching process can
	// see; they cost 42 reads per second with 12,500 processes.
	periodicReadInterval = 5 * time.Minute
	// HeartbeatInterval is the time between heartbeats to children.
	HeartbeatInterval = time.Second
	// HeadWatchTimeout is the long-poll timeout of a watch on the head. The plain
	// read that follows detects a platform that was rolled back: its lower
	// versions would not complete the watch.
	HeadWatchTimeout = 2500 * time.Millisecond
	// HostWatchTimeout is the long-poll timeout of a watch on the host list.
	HostWatchTimeout = 20 * time.Second
	// MinCallInterval is the minimum time between two calls of the same kind.
	MinCallInterval = 200 * time.Millisecond
	// callTimeout is added to the long-poll timeout of a call to get the time
	// after which an unanswered call fails.
	callTimeout = 5 * time.Second
	// minBackoff doubles with each failed call up to maxBackoff, in watching
	// processes up to maxWatchingBackoff: they are few and may retry more often.
	minBackoff         = 250 * time.Millisecond
	maxWatchingBackoff = 2 * time.Second
	maxBackoff         = 16 * time.Second
	// peerAnswerTimeout is the time that a starting process waits for a peer to
	// announce its revision.
	peerAnswerTimeout = 2 * time.Second
	// fetchTimeout is the time after which a section is requested from another
	// source.
	fetchTimeout = 2 * time.Second
	// candidateTimeout is the time after which a head whose sections are
	// unavailable no longer delays readiness.
	candidateTimeout = 5 * time.Second
	// maxPlatformFetches limits the concurrent section reads from the platform.
	maxPlatformFetches = 8
	// sectionRate, in reads per second, and sectionBurst limit the section reads
	// of one process from the platform. The burst is one whole configuration.
	sectionRate  = 4
	sectionBurst = keeper.MaxSections
)

// effects are the operations that the logic performs on its environment. They
// do not block; results are passed back by calling methods of the logic.
type effects struct {
	readHead    func(after int64, wait time.Duration)
	readHosts   func(after hostPosition, wait time.Duration)
	readSection func(ref keeper.SectionRef)
	connect     func(id string, address netip.AddrPort)
	disconnect  func(id string)
	send        func(id string, message *wirepb.Envelope)
	// reportVerdict reports the verdict on a head, to be logged.
	reportVerdict func(verdict keeper.Verdict, head keeper.Head, source string)
}

// logic is the state machine that decides what one process reads, requests,
// sends and applies. It uses no clock, no sockets and no goroutines, so that
// tests can run whole fleets in virtual time.
type logic struct {
	name        string
	zone        string
	seeds       []netip.AddrPort
	startSpread time.Duration
	random      func() float64
	ranker      *ranker.Ranker
	keeper      *keeper.Keeper
	effects     effects

	hosts         hostTable
	position      ranker.Position
	started       time.Time // when the first calls are due
	startGraceEnd time.Time // until then, a starting process does not take over reading from its parents
	ready         bool
	parentHeardAt time.Time // last message from a parent that has a revision in force
	orphaned      bool      // at the last tick: not watching and no parent responded for parentTimeout

	headCall call
	hostCall call
	// headVersion is the platform's version of the head, 0 if the next read must
	// be a plain read and not a watch.
	headVersion      int64
	headAttempted    bool
	nextPeriodicRead time.Time // when the head is read even with a live parent
	hostsAttempted   bool
	headReadFailed   bool
	platformRevision uint64
	sectionLimiter   *rate.Limiter
	platformFetches  int
	fetches          map[keeper.Hash]*fetch
	compressed       map[keeper.Hash][]byte // compressed sections, nil for those that compression does not shorten

	links     map[string]*link
	sortedIDs []string // sorted ids of links, nil after a change
	peers     map[string]*peer

	candidate      keeper.Hash
	candidateSince time.Time
	lastReported   keeper.Hash
	// snapshotChanged is set when the snapshot must be rebuilt.
	snapshotChanged bool
}

// call is the schedule of one kind of platform call.
type call struct {
	pending  bool
	expires  time.Time
	next     time.Time
	failures int
}

type logicOptions struct {
	name        string
	zone        string
	seeds       []netip.AddrPort
	startSpread time.Duration
	random      func() float64
	ranker      ranker.Options
	check       func(revision uint64, sections []keeper.Section) error
	effects     effects
}

func newLogic(o logicOptions, now time.Time) *logic {
	l := &logic{
		name: o.name, zone: o.zone, seeds: o.seeds, startSpread: o.startSpread, random: o.random,
		ranker: ranker.NewRanker(o.ranker), keeper: keeper.NewKeeper(keeper.Options{Check: o.check}),
		effects: o.effects, sectionLimiter: rate.NewLimiter(sectionRate, sectionBurst),
		fetches: make(map[keeper.Hash]*fetch), compressed: make(map[keeper.Hash][]byte), links: make(map[string]*link), peers: make(map[string]*peer),
	}
	l.started = now.Add(l.randomDelay(o.startSpread))
	l.headCall.next, l.hostCall.next = l.started, l.started
	// Parents may start as late as the end of the start spread, and their own
	// reads take time. If their children read the platform before that, a whole
	// fleet that starts at once would multiply its reads.
	l.startGraceEnd = now.Add(o.startSpread + l.randomDelay(o.startSpread) + parentTimeout)
	l.parentHeardAt = l.startGraceEnd.Add(-parentTimeout)
	l.schedulePeriodicRead(l.started)
	return l
}

// randomDelay returns a uniformly distributed delay in [0, limit).
func (l *logic) randomDelay(limit time.Duration) time.Duration {
	return time.Duration(l.random() * float64(limit))
}

// tick runs the work that is due at time now.
func (l *logic) tick(now time.Time) {
	l.checkParents(now)
	l.expireCalls(now)
	l.tickHosts(now)
	l.tickHead(now)
	l.tickPeers(now)
	l.tickSections(now)
	l.tickReady(now)
	l.tickHeartbeats(now)
}

// isWatching reports whether the process watches the platform. It needs the
// host list, because without it the rank of the process is unknown.
func (l *logic) isWatching() bool { return l.hosts.known && l.position.Watching }

func (l *logic) checkParents(now time.Time) {
	orphaned := !l.isWatching() && now.Sub(l.parentHeardAt) > parentTimeout
	if orphaned && !l.orphaned {
		due := now.Add(l.randomDelay(parentTimeoutJitter))
		l.headCall.next, l.hostCall.next = due, due
	}
	l.orphaned = orphaned
}

// offer passes a head to the keeper and handles the verdict.
func (l *logic) offer(now time.Time, head keeper.Head, source string) keeper.Verdict {
	verdict := l.keeper.Offer(head, source, now)
	l.handleVerdict(now, verdict, head, source)
	return verdict
}

func (l *logic) handleVerdict(now time.Time, verdict keeper.Verdict, head keeper.Head, source string) {
	if c := l.keeper.HighestCandidate(); c.Digest() != l.candidate {
		l.candidate, l.candidateSince = c.Digest(), now
	}
	switch verdict {
	case keeper.Accepted:
		l.snapshotChanged = true
		head = l.keeper.Head()
		source = l.keeper.Source()
	case keeper.Invalid:
		if refused, _ := l.keeper.Refused(); refused.Revision() > 0 {
			head, source = refused, l.keeper.RefusedSource()
		}
	case keeper.Conflict:
	default:
		l.tickSections(now)
		return
	}
	if head.Digest() == l.lastReported {
		return // a refused head is read repeatedly but reported once
	}
	l.lastReported = head.Digest()
	l.effects.reportVerdict(verdict, head, source)
	l.tickReady(now)
	l.announce(now)
	l.tickSections(now)
}

// tickReady makes the process ready once the highest revision that its peers
// and the platform have announced is in force.
func (l *logic) tickReady(now time.Time) {
	accepted := l.revision()
	if l.ready || accepted == 0 || !l.headAttempted || !l.hostsAttempted {
		return
	}
	for _, p := range l.peers {
		k := l.links[p.id]
		answered := p.failed || now.Sub(p.wantedSince) > peerAnswerTimeout || k != nil && k.revision > 0
		if !answered {
			return
		}
	}
	peerHasRevision := false
	for _, k := range l.links {
		peerHasRevision = peerHasRevision || k.revision > 0
	}
	if l.headReadFailed && !peerHasRevision {
		return
	}
	waiting := l.keeper.HighestCandidate().Revision() > accepted
	if waiting && now.Sub(l.candidateSince) < candidateTimeout {
		return
	}
	l.ready, l.snapshotChanged = true, true
	l.announce(now)
}

// revision returns the revision in force, 0 for none.
func (l *logic) revision() uint64 {
	head := l.keeper.Head()
	return head.Revision()
}

// announcedRevision returns the revision to state to peers, 0 before the
// process is ready.
func (l *logic) announcedRevision() uint64 {
	if !l.ready {
		return 0
	}
	return l.revision()
}
