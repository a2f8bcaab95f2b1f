package watcher

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"net/netip"
	"time"

	"kingcupvalve.example/kingcupvalve/internal/cataloger"
	"kingcupvalve.example/kingcupvalve/keeper"
	"kingcupvalve.example/kingcupvalve/ranker"
)

// sim is a single-threaded discrete-event simulation of the decision logic of
// many processes, with network and platform faults.
type sim struct {
	now      time.Time
	queue    simQueue
	serial   int
	random   *rand.Rand
	platform *simPlatform
	nodes    []*simNode
	byName   map[string]*simNode
	// byAddress maps control addresses to processes.
	byAddress map[netip.AddrPort]*simNode
	// seeds are the control addresses of the first process of each zone.
	seeds  []netip.AddrPort
	links  map[int]*simLink
	ranker ranker.Options
	spread time.Duration
	// maxDelay limits the random part of the network delay. One third of
	// faultShare is the share of messages that are lost by breaking their link,
	// another third the share of those that are duplicated and may be reordered.
	maxDelay   time.Duration
	faultShare float64
	naive      bool
	// strict enables checkReadyRevision. Its invariant holds only while the
	// network has no faults.
	strict    bool
	violation string // first violation of an invariant
}

type simEvent struct {
	at     time.Time
	serial int
	do     func()
}

type simQueue []simEvent

func (q simQueue) Len() int { return len(q) }
func (q simQueue) Less(i, j int) bool {
	return q[i].at.Before(q[j].at) || q[i].at.Equal(q[j].at) && q[i].serial < q[j].serial
}
func (q simQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *simQueue) Push(x any)   { *q = append(*q, x.(simEvent)) }
func (q *simQueue) Pop() any {
	last := (*q)[len(*q)-1]
	(*q)[len(*q)-1] = simEvent{}
	*q = (*q)[:len(*q)-1]
	return last
}

// simNode is one process. generation changes with every restart.
type simNode struct {
	name       string
	zone       string
	address    netip.AddrPort
	logic      *logic
	naive      *naiveProcess
	alive      bool
	paused     bool
	isolated   bool // from every other process and the platform
	noPlatform bool
	generation int
	inbox      []func()
	links      map[string]*simLink
	revision   uint64
	digest     keeper.Hash
	inForceAt  time.Time
}

// simLink is a link between two processes, with the id that each side uses.
type simLink struct {
	nodes        [2]*simNode
	ids          [2]string
	lastDelivery [2]time.Time
	broken       bool
}

func newSim(seed uint64) *sim {
	s := &sim{
		now: time.Unix(1_000_000, 0), random: rand.New(rand.NewPCG(seed, 1)), byName: make(map[string]*simNode),
		byAddress: make(map[netip.AddrPort]*simNode),
		maxDelay:  3 * time.Millisecond,
	}
	s.platform = &simPlatform{
		sim: s, sections: make(map[keeper.Hash][]byte), valid: make(map[keeper.Hash]bool),
		perSecond: make(map[int64]int), sectionReaders: make(map[string]int), readers: make(map[string]int),
	}
	return s
}

func (s *sim) after(d time.Duration, do func()) {
	s.serial++
	heap.Push(&s.queue, simEvent{at: s.now.Add(d), serial: s.serial, do: do})
}

func (s *sim) advance(d time.Duration) {
	end := s.now.Add(d)
	for len(s.queue) > 0 && !s.queue[0].at.After(end) {
		e := heap.Pop(&s.queue).(simEvent)
		s.now = e.at
		e.do()
	}
	s.now = end
}

func (s *sim) latency() time.Duration {
	return 200*time.Microsecond + time.Duration(s.random.Float64()*float64(s.maxDelay))
}

// addNode adds a process to the host list without starting it.
func (s *sim) addNode(zone string) *simNode {
	i := len(s.nodes)
	n := &simNode{
		name: fmt.Sprintf("node-%05d", i), zone: zone, links: make(map[string]*simLink),
		address: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, byte(i >> 16), byte(i >> 8), byte(i)}), 7000),
	}
	s.nodes, s.byName[n.name], s.byAddress[n.address] = append(s.nodes, n), n, n
	s.platform.setHost(n, cataloger.HostLive)
	return n
}

func (s *sim) start(n *simNode) {
	n.alive, n.paused = true, false
	n.generation++
	n.revision, n.digest, n.inbox = 0, keeper.Hash{}, nil
	n.inForceAt = time.Time{}
	if s.naive {
		n.naive = &naiveProcess{sim: s, node: n}
	} else {
		n.logic = newLogic(logicOptions{
			name: n.name, zone: n.zone, startSpread: s.spread, seeds: s.seeds, random: s.random.Float64,
			ranker: s.ranker, check: checkContents, effects: s.effects(n),
		}, s.now)
	}
	generation := n.generation
	var tick func()
	tick = func() {
		if n.generation != generation || !n.alive {
			return
		}
		s.handle(n, func() { n.tick(s.now) })
		s.after(tickInterval, tick)
	}
	s.after(time.Duration(s.random.Float64()*float64(tickInterval)), tick)
}

func (n *simNode) tick(now time.Time) {
	if n.naive != nil {
		n.naive.tick()
		return
	}
	n.logic.tick(now)
}

// handle runs an event on a process, now or once the process is resumed, and
// checks the invariants afterwards.
func (s *sim) handle(n *simNode, do func()) {
	if n.paused {
		if len(n.inbox) < 1000 {
			n.inbox = append(n.inbox, do)
		}
		return
	}
	do()
	s.checkInvariants(n)
}

// checkInvariants records a violation if the revision in force on a process
// decreased, changed its content or is invalid.
func (s *sim) checkInvariants(n *simNode) {
	revision, digest := n.inForce()
	switch {
	case revision < n.revision:
		s.fail("%s has revision %d in force after %d", n.name, revision, n.revision)
	case revision == n.revision && digest != n.digest && n.revision > 0:
		s.fail("%s changed the content of revision %d", n.name, revision)
	case revision > 0 && !s.platform.valid[digest]:
		s.fail("%s has invalid revision %d in force", n.name, revision)
	}
	if revision > n.revision {
		n.inForceAt = s.now
	}
	if n.revision == 0 && revision > 0 && s.strict {
		s.checkReadyRevision(n, revision)
	}
	n.revision, n.digest = revision, digest
}

// checkReadyRevision records a violation if a process becomes ready with a lower
// revision than another one has had in force for more than 1 s.
func (s *sim) checkReadyRevision(n *simNode, revision uint64) {
	for _, o := range s.nodes {
		if o != n && o.alive && o.revision > revision && s.now.Sub(o.inForceAt) > time.Second {
			s.fail("%s is ready with revision %d, %s has %d in force", n.name, revision, o.name, o.revision)
		}
	}
}

func (n *simNode) inForce() (uint64, keeper.Hash) {
	if n.naive != nil {
		return n.naive.head.Revision(), n.naive.head.Digest()
	}
	if !n.logic.ready {
		return 0, keeper.Hash{}
	}
	head := n.logic.keeper.Head()
	return head.Revision(), head.Digest()
}

func (s *sim) fail(format string, arguments ...any) {
	if s.violation == "" {
		s.violation = fmt.Sprintf(format, arguments...)
	}
}

func (s *sim) kill(n *simNode) {
	n.alive = false
	n.generation++
	s.breakNodeLinks(n)
	n.links = make(map[string]*simLink)
}

func (s *sim) pause(n *simNode) {
	n.paused = true
	s.after(1500*time.Millisecond, func() {
		if n.paused {
			s.breakNodeLinks(n)
		}
	})
}

func (s *sim) resume(n *simNode) {
	n.paused = false
	inbox := n.inbox
	n.inbox = nil
	for _, do := range inbox {
		s.handle(n, do)
	}
}

// setIsolated cuts a process off from the network or reconnects it.
func (s *sim) setIsolated(n *simNode, isolated bool) {
	n.isolated = isolated
	if !isolated {
		return
	}
	s.after(1500*time.Millisecond, func() {
		if n.isolated {
			s.breakNodeLinks(n)
		}
	})
}

func (s *sim) connected(a, b *simNode) bool { return !a.isolated && !b.isolated }

// naiveProcess applies whatever head the platform returns.
type naiveProcess struct {
	sim  *sim
	node *simNode
	next time.Time
	head keeper.Head
}

func (p *naiveProcess) tick() {
	if p.sim.now.Before(p.next) {
		return
	}
	p.next = p.sim.now.Add(time.Second)
	p.sim.platform.readHead(p.node, 0, 0)
}

func (p *naiveProcess) headRead(r headResult) {
	if r.err == nil && !r.missing {
		p.head = r.head
	}
}
