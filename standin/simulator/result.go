package simulator

import (
	"slices"
	"time"
)

// windowLength is the length of the windows of which the worst are reported.
const windowLength = 2 * time.Second

// stepLength is the length of the steps of plots.
const stepLength = 100 * time.Millisecond

// worstWindows is the number of windows whose mean is reported as the worst.
const worstWindows = 2

// span is a part of a run, from its start.
type span struct{ from, to time.Duration }

// window sums up the requests that began in a part of a run.
type window struct {
	owed, earned    float64
	requests        int
	inTime          int
	late            int
	failed          int
	failedInTime    int           // of failed: ended within the latency target
	refused         int           // attempts that an agent refused
	connect, queued time.Duration // of the late requests
	service, other  time.Duration
}

// Result is what the callers of a run got.
type Result struct {
	start   time.Time
	windows []window
	steps   []window
	byKind  map[string]*window
	// byPriority leaves out the requests of busy callers, which ofBusy has.
	byPriority map[int]*window
	ofBusy     window
	latencies  []time.Duration
	faults     []span
	hops       int
	crossed    float64
	repeated   int
	// openings counts the opening packets that balancers sent, openingHops how often
	// agents passed one on, and coldOpenings has the times of those that a target got
	// while it was cold.
	openings, openingHops int
	coldOpenings          map[*target][]time.Time
	// evacuated counts the new flows at targets of zones whose evacuation was requested,
	// evacuatedLate those later than its deadline, and evacuationResets the new flows that
	// balancers reset.
	evacuated, evacuatedLate, evacuationResets int
	// reportAge is the sum of the ages of the reports of the targets that flows were
	// placed at.
	reportAge time.Duration
	decisions int
}

func newResult(start time.Time, length time.Duration) *Result {
	return &Result{
		start: start, windows: make([]window, int(length/windowLength)+1), steps: make([]window, int(length/stepLength)+1),
		byKind: make(map[string]*window), byPriority: make(map[int]*window), coldOpenings: make(map[*target][]time.Time),
	}
}

func (r *Result) cells(q *request) []*window {
	k := r.byKind[q.kind.name]
	if k == nil {
		k = &window{}
		r.byKind[q.kind.name] = k
	}
	at := q.bornAt.Sub(r.start)
	cells := []*window{&r.windows[int(at/windowLength)], &r.steps[int(at/stepLength)], k}
	if q.isBusy {
		return append(cells, &r.ofBusy)
	}
	if q.kind.priority == nil {
		return cells
	}
	p := r.byPriority[*q.kind.priority]
	if p == nil {
		p = &window{}
		r.byPriority[*q.kind.priority] = p
	}
	return append(cells, p)
}

// refused counts an attempt that an agent refused with a reset.
func (r *Result) refused(f *flow) {
	if f.current == nil {
		return
	}
	for _, c := range r.cells(f.current) {
		c.refused++
	}
}

func (r *Result) begin(q *request) {
	for _, c := range r.cells(q) {
		c.requests++
		c.owed += q.kind.worth
	}
}

func (r *Result) finish(q *request, now time.Time, isServed bool) {
	latency := now.Sub(q.bornAt)
	if isServed {
		r.latencies = append(r.latencies, latency)
	}
	for _, c := range r.cells(q) {
		switch {
		case !isServed:
			c.failed++
			if latency <= q.kind.target {
				c.failedInTime++
			}
		case latency <= q.kind.target:
			c.inTime++
			c.earned += q.kind.worth
		default:
			c.late++
			c.earned += q.kind.lateWorth
			c.connect += q.openedAt.Sub(q.bornAt)
			c.queued += q.startedAt.Sub(q.arrivedAt)
			c.service += now.Sub(q.startedAt)
			c.other += q.arrivedAt.Sub(q.openedAt)
		}
	}
}

func (w window) share() float64 {
	if w.owed == 0 {
		return 1
	}
	return w.earned / w.owed
}

// Served returns the earned share of the worth over the whole run.
func (r *Result) Served() float64 {
	var all window
	for _, w := range r.windows {
		all.owed += w.owed
		all.earned += w.earned
	}
	return all.share()
}

// Worst returns the earned share in the worst two windows, each of two seconds.
func (r *Result) Worst() float64 {
	var shares []float64
	for _, w := range r.windows {
		if w.requests > 0 {
			shares = append(shares, w.share())
		}
	}
	slices.Sort(shares)
	shares = shares[:min(worstWindows, len(shares))]
	sum := 0.0
	for _, s := range shares {
		sum += s
	}
	return sum / float64(len(shares))
}

// WorstKind returns the earned share of the kind of request that is served worst.
func (r *Result) WorstKind() float64 {
	worst := 1.0
	for _, k := range r.byKind {
		worst = min(worst, k.share())
	}
	return worst
}

// Repeated returns how often a request that is not idempotent ran again.
func (r *Result) Repeated() int { return r.repeated }

// Failed returns the share of the requests that were not served.
func (r *Result) Failed() float64 { return r.shareOf(func(w window) int { return w.failed }) }

// Late returns the share of the requests that were served after their latency
// target.
func (r *Result) Late() float64 { return r.shareOf(func(w window) int { return w.late }) }

func (r *Result) shareOf(count func(w window) int) float64 {
	n, all := 0, 0
	for _, w := range r.windows {
		n, all = n+count(w), all+w.requests
	}
	return float64(n) / float64(max(1, all))
}

// InTime returns the share of the requests that were served within their latency
// target.
func (r *Result) InTime() float64 { return r.shareOf(func(w window) int { return w.inTime }) }

// MeanLatency returns the mean latency of served requests.
func (r *Result) MeanLatency() time.Duration {
	var sum time.Duration
	for _, l := range r.latencies {
		sum += l
	}
	return sum / time.Duration(max(1, len(r.latencies)))
}

// ReportAge returns the mean age of the reports of the targets that flows were placed
// at.
func (r *Result) ReportAge() time.Duration { return r.reportAge / time.Duration(max(1, r.decisions)) }

// Latency returns a quantile of the latency of served requests.
func (r *Result) Latency(quantile float64) time.Duration {
	if len(r.latencies) == 0 {
		return 0
	}
	slices.Sort(r.latencies)
	return r.latencies[int(quantile*float64(len(r.latencies)-1))]
}

// CrossZone returns the share of the requests' packets that balancers send to
// another availability zone.
func (r *Result) CrossZone() float64 { return r.crossed }

// HopsPerRequest returns how often agents passed a packet on, for each request.
func (r *Result) HopsPerRequest() float64 {
	all := 0
	for _, w := range r.windows {
		all += w.requests
	}
	return float64(r.hops) / float64(max(1, all))
}

// open records that a target got an opening packet.
func (r *Result) open(t *target, now time.Time) {
	if now.Before(t.coldUntil) {
		r.coldOpenings[t] = append(r.coldOpenings[t], now)
	}
}

// ColdOpenings returns the highest number of opening packets that a cold target got in
// any second.
func (r *Result) ColdOpenings() float64 {
	most := 0
	for _, times := range r.coldOpenings {
		from := 0
		for to := range times {
			for times[to].Sub(times[from]) > time.Second {
				from++
			}
			most = max(most, to-from+1)
		}
	}
	return float64(most)
}

// HopsPerOpening returns how often agents passed an opening packet on, for each one
// that a balancer sent.
func (r *Result) HopsPerOpening() float64 {
	return float64(r.openingHops) / float64(max(1, r.openings))
}

// ofPriority returns what the requests of a priority got, without those of busy
// callers.
func (r *Result) ofPriority(priority int) window {
	if w := r.byPriority[priority]; w != nil {
		return *w
	}
	return window{}
}

func (w window) part(n int) float64 { return float64(n) / float64(max(1, w.requests)) }
