package dispatcher

import (
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"net/netip"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"
	"pgregory.net/rapid"

	"kingcupvalve.example/kingcupvalve/deriver"
	"kingcupvalve.example/kingcupvalve/estimator"
	"kingcupvalve.example/kingcupvalve/internal/cataloger"
	"kingcupvalve.example/kingcupvalve/internal/messenger"
	"kingcupvalve.example/kingcupvalve/internal/prober"
	"kingcupvalve.example/kingcupvalve/internal/wirepb"
	"kingcupvalve.example/kingcupvalve/selector"
)

const (
	leavingTargets   = 4
	leavingBalancers = 9
	// leavingAt is when the first target starts to leave, leavingEnd when the
	// run ends.
	leavingAt  = time.Second
	leavingEnd = 10500 * time.Millisecond
	// inForce is the time in which an agent that is not paused has a revision
	// (guarantee 8), less the time of its next look at it.
	inForce = 6*time.Second - 2*tickInterval
	// hostLimit and fleetLimit are the bounds of guarantee 6.
	hostLimit  = 3 * time.Second
	fleetLimit = 6 * time.Second
)

// departure is the way in which the first target leaves.
type departure struct {
	seed uint64
	// isPublished publishes it as leaving; otherwise its backend server states
	// that it drains.
	isPublished bool
	// lostPolls is the number of health polls without an answer, one in two,
	// after the backend server has stated that it drains.
	lostPolls int
	// longCost is the time of a long request. Requests that wait for a slot are
	// new work, too.
	longCost time.Duration
}

func departures() *rapid.Generator[departure] {
	return rapid.Custom(func(t *rapid.T) departure {
		return departure{
			rapid.Uint64Range(1, 1<<40).Draw(t, "seed"), rapid.Bool().Draw(t, "published"), rapid.IntRange(0, 3).Draw(t, "lost polls"),
			time.Duration(rapid.IntRange(300, 4000).Draw(t, "long cost")) * time.Millisecond,
		}
	})
}

// leavingNode is an agent with a backend server that exists in virtual time.
type leavingNode struct {
	*Dispatcher
	fleet    *leavingFleet
	target   uint32
	snapshot atomic.Pointer[cataloger.Snapshot]
	knows    time.Time // when the own host knew, by publication
	polls    atomic.Int64
}

// leavingFleet runs the decisions of dispatchers and probers in virtual time.
// Balancers are tables of their own age that leave out leaving targets.
type leavingFleet struct {
	departure
	isNaive bool
	start   time.Time
	random  *rand.Rand
	old     *cataloger.Snapshot
	next    *cataloger.Snapshot
	nodes   []*leavingNode
	lock    sync.Mutex
	errs    []error
	ran     map[uint32]int
	late    int // work at the leaving target after it began to leave
}

func (f *leavingFleet) elapsed() time.Duration { return time.Since(f.start) }

// bound returns the time after which the leaving target gets no new work.
func (f *leavingFleet) bound() time.Duration {
	if !f.isPublished {
		return leavingAt + hostLimit
	}
	if knows := f.nodes[0].knows; !knows.IsZero() {
		return min(leavingAt+fleetLimit, knows.Sub(f.start)+hostLimit)
	}
	return leavingAt + fleetLimit
}

// RoundTrip is the backend server of a node. Its oracle: no request arrives
// after the bound.
func (n *leavingNode) RoundTrip(r *http.Request) (*http.Response, error) {
	f := n.fleet
	pause := 5 * time.Millisecond
	body := "done"
	switch {
	case r.URL.Path == "/loadz":
		return nil, errors.New("no load endpoint")
	case r.URL.Path == "/healthz":
		body = `{"state":"serving"}`
		if n.target == 1 && !f.isPublished && f.elapsed() > leavingAt {
			body = `{"state":"draining"}`
			if p := n.polls.Add(1); p%2 == 0 && p <= 2*int64(f.lostPolls) {
				pause = time.Hour
			}
		}
	default:
		pause = 30 * time.Millisecond
		if r.Header.Get(HeaderKind) == estimator.Long.String() {
			pause = f.longCost
		}
		f.note(n)
	}
	timer := time.NewTimer(pause)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-r.Context().Done():
		return nil, r.Context().Err()
	}
	return &http.Response{
		StatusCode: http.StatusOK, Header: http.Header{"Content-Type": {"application/json"}}, Request: r,
		Body: io.NopCloser(strings.NewReader(body)), ContentLength: int64(len(body)),
	}, nil
}

func (f *leavingFleet) note(n *leavingNode) {
	f.lock.Lock()
	defer f.lock.Unlock()
	f.ran[n.target]++
	if n.target != 1 || f.elapsed() <= leavingAt {
		return
	}
	f.late++
	if f.elapsed() > f.bound() {
		f.errs = append(f.errs, fmt.Errorf("new work at the leaving target %v after it began to leave, bound %v", f.elapsed()-leavingAt, f.bound()-leavingAt))
	}
}

func newLeavingFleet(d departure, isNaive bool, ring *deriver.KeyRing) (*leavingFleet, error) {
	f := &leavingFleet{
		departure: d, isNaive: isNaive, start: time.Now(), random: rand.New(rand.NewPCG(d.seed, 6)), ran: make(map[uint32]int),
	}
	service := cataloger.ServiceSpec{Name: "cutlist", Number: 3, Names: []string{authority}, Addresses: []string{"127.0.0.1:443"}}
	for i := range uint32(leavingTargets) {
		service.Targets = append(service.Targets, cataloger.TargetSpec{
			Name: fmt.Sprint("t", i+1), Number: i + 1, TunnelAddress: "127.0.0.1:1", ControlAddress: "127.0.0.1:1",
		})
	}
	spec := cataloger.FleetSpec{Revision: 1, Services: []cataloger.ServiceSpec{service}}
	var err error
	if f.old, err = cataloger.NewSnapshot(spec, nil); err != nil {
		return nil, err
	}
	spec.Revision++
	if d.isPublished {
		spec.Services[0].Targets[0].State = cataloger.TargetLeaving
	}
	if f.next, err = cataloger.NewSnapshot(spec, nil); err != nil {
		return nil, err
	}
	for i := range uint32(leavingTargets) {
		n := &leavingNode{fleet: f, target: i + 1}
		n.snapshot.Store(f.old)
		n.Dispatcher, err = NewDispatcher(Options{
			Target: n.target, Incarnation: 1, Service: 3, Ring: ring, Snapshot: n.snapshot.Load,
			BackendURL: "http://backend.example", Transport: n, TicketTransport: n, Random: rand.New(rand.NewPCG(d.seed, uint64(i))), Logger: zerolog.Nop(),
			Open: func(context.Context, netip.AddrPort, string) (*messenger.Stream, error) {
				return nil, errors.New("no sockets in virtual time")
			},
		})
		if err != nil {
			return nil, err
		}
		f.nodes = append(f.nodes, n)
	}
	return f, nil
}

// adopt gives each agent the new revision within the time of guarantee 8. The
// last agent is paused for 3 s more.
func (f *leavingFleet) adopt(n *leavingNode, delay time.Duration) {
	if f.isNaive {
		return
	}
	if n.target == leavingTargets {
		delay = inForce + 3*time.Second
	}
	time.Sleep(leavingAt + delay)
	f.lock.Lock()
	n.knows = time.Now()
	f.lock.Unlock()
	n.snapshot.Store(f.next)
}

// table returns what a balancer knows: a third keeps the old table and one is
// paused through the change.
func (f *leavingFleet) table(balancer int) (*cataloger.Snapshot, bool) {
	isPaused := balancer == leavingBalancers-1 && f.elapsed() > leavingAt && f.elapsed() < leavingAt+fleetLimit+time.Second
	if balancer < leavingBalancers/3 || balancer == leavingBalancers-1 || f.elapsed() < leavingAt+time.Second {
		return f.old, !isPaused
	}
	return f.next, true
}

// arrive returns the agent of a request: that of an open flow, or the one that
// a balancer chooses for a new flow.
func (f *leavingFleet) arrive(balancer int, key uint64) *leavingNode {
	s, ok := f.table(balancer)
	if !ok {
		return nil
	}
	service, _ := s.ServiceByNumber(3)
	var entries []selector.Entry
	for _, t := range service.Targets() {
		if !t.IsLeaving() {
			entries = append(entries, selector.NewEntry(t.Number(), uint16(t.Policy().Weight)))
		}
	}
	target, _ := selector.NewTable(s.Revision(), entries).Select([]byte(fmt.Sprint(key)))
	return f.nodes[target-1]
}

// request carries one request as Dispatcher.place does, with a call in place of
// the stream between agents.
func (f *leavingFleet) request(n *leavingNode, kind estimator.Kind) {
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	j := n.newModelJob(ctx, kind)
	for j.attempts < maxAttempts {
		if kind == estimator.Feed {
			n.runFeed(j, discard())
			return
		}
		choice, ok := n.pick(j)
		if !ok {
			return
		}
		j.attempts++
		j.maxQueueWait = choice.MaxQueueWait
		if j.moved {
			j.maxQueueWait = 0
		}
		r := f.attempt(n, j, choice.Target)
		if r.outcome.String() == "done" {
			return
		}
		if r.reason == reasonMove && !j.moved {
			j.moved = true
			continue
		}
		j.excluded = append(j.excluded, choice.Target)
	}
}

func (f *leavingFleet) attempt(n *leavingNode, j *job, target uint32) result {
	if target == n.target {
		return n.runLocal(j, discard())
	}
	time.Sleep(time.Millisecond)
	peer := f.nodes[target-1]
	header := &wirepb.RequestHeader{
		Service: 3, Authority: authority, Hops: 1, Kind: j.kind.String(), Method: j.method,
	}
	if reason := peer.checkPeerRequest(header); reason != "" {
		return notRun(reason, estimator.Refused)
	}
	passed := peer.newModelJob(j.context, j.kind)
	passed.hops, passed.maxQueueWait = 1, j.maxQueueWait
	return peer.place(passed, discard())
}

func (n *leavingNode) newModelJob(ctx context.Context, kind estimator.Kind) *job {
	return &job{
		id: n.nextID(), wanted: ctx, context: ctx, method: http.MethodPut, path: "/sheet", authority: authority,
		header: http.Header{}, body: &body{}, kind: kind, idempotent: true, arrived: time.Now(),
		deadline: time.Now().Add(10 * time.Second),
	}
}

func discard() *sink {
	return &sink{begin: func(int, http.Header) error { return nil }, chunk: func([]byte) error { return nil }}
}

// run plays the departure until its end.
func (f *leavingFleet) run(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, leavingEnd)
	defer cancel()
	var wait sync.WaitGroup
	for _, n := range f.nodes {
		delay := time.Duration(f.random.Int64N(int64(inForce)))
		wait.Go(func() { f.adopt(n, delay) })
		wait.Go(func() { _ = n.Run(ctx) })
		if !f.isNaive {
			p, err := prober.NewProber(prober.Options{BaseURL: "http://backend.example", Transport: n, Report: n.ObserveHealth})
			if err != nil {
				return err
			}
			wait.Go(func() { _ = p.Run(ctx) })
		}
		wait.Go(func() { f.exchange(ctx, n) })
	}
	random := rand.New(rand.NewPCG(f.seed, 7))
	for ctx.Err() == nil {
		n := f.nodes[random.IntN(leavingTargets)] // an open flow
		if random.IntN(2) == 0 {
			n = f.arrive(random.IntN(leavingBalancers), random.Uint64())
		}
		kind := []estimator.Kind{estimator.Short, estimator.Short, estimator.Long, estimator.Feed}[random.IntN(4)]
		if n != nil {
			wait.Go(func() { f.request(n, kind) })
		}
		time.Sleep(time.Duration(1+random.IntN(120)) * time.Millisecond)
	}
	wait.Wait()
	return errors.Join(f.errs...)
}

// exchange sends the digests of a node to the others; each sees them late.
func (f *leavingFleet) exchange(ctx context.Context, n *leavingNode) {
	for ctx.Err() == nil {
		d := n.Digest()
		time.Sleep(DigestInterval)
		for _, m := range f.nodes {
			if m != n && !f.isNaive {
				m.observeDigest(d)
			}
		}
	}
}
