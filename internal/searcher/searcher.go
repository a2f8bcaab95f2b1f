package searcher

import (
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"kingcupvalve.example/kingcupvalve/internal/framer"
	"kingcupvalve.example/kingcupvalve/internal/router"
)

const (
	// TickInterval is the interval of ticks while there are searches.
	TickInterval = 10 * time.Millisecond
	// firstWait is the time from the start of a search to its first branches. It is
	// below the retransmission timeout of callers, 200 ms. Each further wait is as
	// long as all before it.
	firstWait = 100 * time.Millisecond
	// branchFactor times more branches are used at each step.
	branchFactor = 16
	// maxSearches bounds the memory for packets to about 5 MB.
	maxSearches = 4096
	// bytesPerSecond bounds the rate of branches, and so does linkShare of the rate of
	// the link: on a link of 10 Mbit/s, branches alone kept beacons and tables from a
	// balancer for four seconds. burstBytes may be sent at once.
	bytesPerSecond = 1_600_000
	linkShare      = 0.3
	burstBytes     = 64 << 10
	// headerBytes is the size of the headers of a packet, with those of IP and UDP.
	headerBytes = 64
)

var (
	started    = metrics.GetOrCreateCounter("kingcupvalve_searcher_searches_started_total")
	refused    = metrics.GetOrCreateCounter("kingcupvalve_searcher_searches_refused_total")
	unanswered = metrics.GetOrCreateCounter("kingcupvalve_searcher_searches_unanswered_total")
	branched   = metrics.GetOrCreateCounter("kingcupvalve_searcher_branches_total")
)

// Outcome is the end of a search.
type Outcome string

// Outcomes of a search.
const (
	// Found is the outcome when an agent reports that its target holds the flow.
	Found Outcome = "found"
	// Unheld is the outcome when an agent reports that no target holds the flow.
	Unheld Outcome = "unheld"
	// Abandoned is the outcome when no agent has reported after the last branches.
	Abandoned Outcome = "abandoned"
)

func countOutcome(o Outcome) {
	metrics.GetOrCreateCounter(`kingcupvalve_searcher_searches_ended_total{outcome="` + string(o) + `"}`).Inc()
}

// Counters returns the counters of the process by name.
func Counters() map[string]uint64 {
	return map[string]uint64{
		"searches_started": started.Get(), "searches_refused": refused.Get(), "searches_unanswered": unanswered.Get(), "branches": branched.Get(),
	}
}

// Options configures a Searcher.
type Options struct {
	// Accept returns the filter for the targets that a branch visits.
	Accept func() router.AcceptFunc
	// HandleUnanswered is called when a search has found no target in time and is
	// continued on branches. It must not call the searcher. It may be nil.
	HandleUnanswered func(p framer.Packet, branches int)
	// LinkBytesPerSecond is the rate of the link of this process, 0 if it is not known.
	LinkBytesPerSecond float64
}

// Visit is the first hop of a branch, with the packet to send there.
type Visit[P any] struct {
	Payload P
	Hop     router.Hop
}

// search is the search for the target of one flow.
type search[P any] struct {
	packet    framer.Packet
	payload   P
	startedAt time.Time
	step      int // steps that are complete
	// branches are those of the current step, from its begin on, and next is the
	// index of the first one that was not sent.
	branches []router.Branch
	next     int
	// isDirect is set when the last step has sent the packet to every target.
	isDirect bool
	isOver   bool
}

// dueAt returns the time of the next step.
func (q *search[P]) dueAt() time.Time { return q.startedAt.Add(firstWait << q.step) }

// Searcher keeps the packets of flows that a balancer searches for. P is what the
// balancer keeps of a packet. A Searcher is safe for concurrent use.
type Searcher[P any] struct {
	options   Options
	lock      sync.Mutex
	searches  map[uint64]*search[P]
	order     []*search[P] // by start
	rate      float64      // bytes that may be sent per second
	allowance float64      // bytes that may be sent now
	lastTick  time.Time
}

// NewSearcher returns a searcher without searches.
func NewSearcher[P any](options Options) *Searcher[P] {
	s := &Searcher[P]{options: options, searches: make(map[uint64]*search[P]), rate: bytesPerSecond, allowance: burstBytes}
	if link := options.LinkBytesPerSecond; link > 0 {
		s.rate = min(s.rate, linkShare*link)
	}
	return s
}

// Start begins the search for the flow of a caller's packet, which the balancer has
// sent to the first target, unless there is one already. It reports whether ticks
// are needed that were not needed before. The function keep returns what is kept of
// the packet.
func (s *Searcher[P]) Start(p framer.Packet, keep func() P, now time.Time) bool {
	s.lock.Lock()
	defer s.lock.Unlock()
	key := p.Key()
	if _, ok := s.searches[key]; ok {
		return false
	}
	if len(s.searches) >= maxSearches {
		refused.Inc()
		return false
	}
	started.Inc()
	q := &search[P]{packet: p, payload: keep(), startedAt: now}
	s.searches[key] = q
	s.order = append(s.order, q)
	return len(s.order) == 1
}

// Finish ends the search for a flow, if there is one.
func (s *Searcher[P]) Finish(flow uint64, o Outcome) {
	s.lock.Lock()
	defer s.lock.Unlock()
	if q, ok := s.searches[flow]; ok {
		s.end(flow, q, o)
	}
}

func (s *Searcher[P]) end(flow uint64, q *search[P], o Outcome) {
	q.isOver = true
	delete(s.searches, flow)
	countOutcome(o)
}

// Tick returns the branches that are due, and whether further ticks are needed.
func (s *Searcher[P]) Tick(table *router.Table, now time.Time) ([]Visit[P], bool) {
	s.lock.Lock()
	defer s.lock.Unlock()
	s.allowance = min(burstBytes, s.allowance+now.Sub(s.lastTick).Seconds()*s.rate)
	s.lastTick = now
	var visits []Visit[P]
	kept := s.order[:0]
	for _, q := range s.order {
		if !q.isOver {
			visits = s.advance(q, table, now, visits)
		}
		if !q.isOver {
			kept = append(kept, q)
		}
	}
	clear(s.order[len(kept):])
	s.order = kept
	return visits, len(kept) > 0
}

// advance appends the branches of a search that are due. What exceeds the allowance
// is due at the next tick.
func (s *Searcher[P]) advance(q *search[P], table *router.Table, now time.Time, visits []Visit[P]) []Visit[P] {
	if s.allowance <= 0 || now.Before(q.dueAt()) {
		return visits
	}
	key := q.packet.Key()
	route, ok := table.FindRoute(q.packet.Destination)
	if !ok || q.isDirect {
		s.end(key, q, Abandoned)
		return visits
	}
	if q.branches == nil {
		q.branches = table.Split(route, key, branchCount(q.step), q.packet.Mark.Via, s.options.Accept())
		s.reportUnanswered(q)
	}
	for ; q.next < len(q.branches) && s.allowance > 0; q.next++ {
		visits = append(visits, Visit[P]{Payload: q.payload, Hop: q.branches[q.next].Hop})
		s.allowance -= float64(headerBytes + q.packet.Length)
		branched.Inc()
	}
	if q.next < len(q.branches) {
		return visits
	}
	// The first branch is the longest.
	q.isDirect = len(q.branches) == 0 || q.branches[0].Targets == 1
	q.step, q.branches, q.next = q.step+1, nil, 0
	return visits
}

// reportUnanswered reports that a search begins its first branches.
func (s *Searcher[P]) reportUnanswered(q *search[P]) {
	if q.step > 0 {
		return
	}
	unanswered.Inc()
	if s.options.HandleUnanswered != nil {
		s.options.HandleUnanswered(q.packet, len(q.branches))
	}
}

// branchCount returns the number of branches of a step.
func branchCount(step int) int {
	count := 1
	for range step + 1 {
		count *= branchFactor
	}
	return count
}
