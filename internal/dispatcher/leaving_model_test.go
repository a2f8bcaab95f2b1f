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
	// departureStart is the time from the start of the run at which the first
	// target starts to leave.
	departureStart = time.Second
	runDuration    = 10500 * time.Millisecond
	// maxRevisionDelay is the time within which an agent that is not paused
	// receives a revision (guarantee 8), less the time until it checks for one.
	maxRevisionDelay = 6*time.Second - 2*queueTickInterval
	// maxHostDelay and maxFleetDelay are the limits of guarantee 6.
	maxHostDelay  = 3 * time.Second
	maxFleetDelay = 6 * time.Second
)

// departure describes how the first target leaves.
type departure struct {
	seed uint64
	// isPublished marks the target as leaving in the configuration; otherwise its
	// backend server reports that it is draining.
	isPublished bool
	// lostPolls is the number of health polls without a response, every other
	// one, after the backend server has started draining.
	lostPolls int
	// longCost is the duration of a long request. Long requests fill the slots,
	// so that others queue, and a queued request that starts is new work as well.
	longCost time.Duration
}

func genDepartures() *rapid.Generator[departure] {
	return rapid.Custom(func(t *rapid.T) departure {
		return departure{
			rapid.Uint64Range(1, 1<<40).Draw(t, "seed"), rapid.Bool().Draw(t, "published"), rapid.IntRange(0, 3).Draw(t, "lost polls"),
			time.Duration(rapid.IntRange(300, 4000).Draw(t, "long cost")) * time.Millisecond,
		}
	})
}

// leavingNode is an agent with a simulated backend server in virtual time.
type leavingNode struct {
	*Dispatcher
	fleet     *leavingFleet
	target    uint32
	snapshot  atomic.Pointer[cataloger.Snapshot]
	learnedAt time.Time // when this agent received the new revision
	polls     atomic.Int64
}

// leavingFleet runs the logic of dispatchers and probers in virtual time.
// A balancer is modelled as a table, current or old, without leaving targets.
type leavingFleet struct {
	departure
	balancersOnly bool
	start         time.Time
	random        *rand.Rand
	oldSnapshot   *cataloger.Snapshot
	newSnapshot   *cataloger.Snapshot
	nodes         []*leavingNode
	lock          sync.Mutex
	violations    []error
	requestCounts map[uint32]int
	lateRequests  int // requests at the leaving target after departureStart
}

func (f *leavingFleet) elapsed() time.Duration { return time.Since(f.start) }

// bound returns the time from the start of the run after which the leaving target
// must get no new requests.
func (f *leavingFleet) bound() time.Duration {
	if !f.isPublished {
		return departureStart + maxHostDelay
	}
	if learnedAt := f.nodes[0].learnedAt; !learnedAt.IsZero() {
		return min(departureStart+maxFleetDelay, learnedAt.Sub(f.start)+maxHostDelay)
	}
	return departureStart + maxFleetDelay
}

// RoundTrip implements the backend server of a node. It records each request,
// which is a violation after the bound.
func (n *leavingNode) RoundTrip(r *http.Request) (*http.Response, error) {
	f := n.fleet
	pause := 5 * time.Millisecond
	body := "done"
	switch {
	case r.URL.Path == "/loadz":
		return nil, errors.New("load endpoint is not available")
	case r.URL.Path == "/healthz":
		body = `{"state":"serving"}`
		if n.target == 1 && !f.isPublished && f.elapsed() > departureStart {
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
		f.recordRequest(n)
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

func (f *leavingFleet) recordRequest(n *leavingNode) {
	f.lock.Lock()
	defer f.lock.Unlock()
	f.requestCounts[n.target]++
	if n.target != 1 || f.elapsed() <= departureStart {
		return
	}
	f.lateRequests++
	if f.elapsed() > f.bound() {
		f.violations = append(f.violations, fmt.Errorf("new request at the leaving target %v after it started to leave, limit %v", f.elapsed()-departureStart, f.bound()-departureStart))
	}
}

func newLeavingFleet(d departure, balancersOnly bool, ring *deriver.KeyRing) (*leavingFleet, error) {
	f := &leavingFleet{
		departure: d, balancersOnly: balancersOnly, start: time.Now(), random: rand.New(rand.NewPCG(d.seed, 6)), requestCounts: make(map[uint32]int),
	}
	service := cataloger.ServiceSpec{Name: "cutlist", Number: 3, Names: []string{authority}, Addresses: []string{"127.0.0.1:443"}}
	for i := range uint32(leavingTargets) {
		service.Targets = append(service.Targets, cataloger.TargetSpec{
			Name: fmt.Sprint("t", i+1), Number: i + 1, TunnelAddress: "127.0.0.1:1", ControlAddress: "127.0.0.1:1",
		})
	}
	spec := cataloger.FleetSpec{Revision: 1, Services: []cataloger.ServiceSpec{service}}
	var err error
	if f.oldSnapshot, err = cataloger.NewSnapshot(spec, nil); err != nil {
		return nil, err
	}
	spec.Revision++
	if d.isPublished {
		spec.Services[0].Targets[0].State = cataloger.TargetLeaving
	}
	if f.newSnapshot, err = cataloger.NewSnapshot(spec, nil); err != nil {
		return nil, err
	}
	for i := range uint32(leavingTargets) {
		n := &leavingNode{fleet: f, target: i + 1}
		n.snapshot.Store(f.oldSnapshot)
		n.Dispatcher, err = NewDispatcher(Options{
			Target: n.target, Incarnation: 1, Service: 3, Ring: ring, Snapshot: n.snapshot.Load,
			BackendURL: "http://backend.example", Transport: n, Random: rand.New(rand.NewPCG(d.seed, uint64(i))), Logger: zerolog.Nop(),
			OpenStream: func(context.Context, netip.AddrPort, string) (*messenger.Stream, error) {
				return nil, errors.New("sockets are not available in virtual time")
			},
		})
		if err != nil {
			return nil, err
		}
		f.nodes = append(f.nodes, n)
	}
	return f, nil
}

// applyRevision gives an agent the new revision after a delay, which is within
// guarantee 8 except for the last agent, which is paused for 3 s more.
func (f *leavingFleet) applyRevision(n *leavingNode, delay time.Duration) {
	if f.balancersOnly {
		return
	}
	if n.target == leavingTargets {
		delay = maxRevisionDelay + 3*time.Second
	}
	time.Sleep(departureStart + delay)
	f.lock.Lock()
	n.learnedAt = time.Now()
	f.lock.Unlock()
	n.snapshot.Store(f.newSnapshot)
}

// balancerSnapshot returns the configuration of a balancer, or false while it is
// paused. A third of the balancers and the last one keep the old configuration,
// and the last one is also paused during the change. The others get the new one
// 1 s after departureStart.
func (f *leavingFleet) balancerSnapshot(balancer int) (*cataloger.Snapshot, bool) {
	isPaused := balancer == leavingBalancers-1 && f.elapsed() > departureStart && f.elapsed() < departureStart+maxFleetDelay+time.Second
	if balancer < leavingBalancers/3 || balancer == leavingBalancers-1 || f.elapsed() < departureStart+time.Second {
		return f.oldSnapshot, !isPaused
	}
	return f.newSnapshot, true
}

// routeFlow returns the agent that a balancer selects for a new flow, or nil while
// the balancer is paused.
func (f *leavingFleet) routeFlow(balancer int, key uint64) *leavingNode {
	s, ok := f.balancerSnapshot(balancer)
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

// dispatchRequest runs one request as Dispatcher.dispatch does, with a function
// call instead of the stream between agents.
func (f *leavingFleet) dispatchRequest(n *leavingNode, kind estimator.Kind) {
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	j := n.newModelJob(ctx, kind)
	for j.attempts < maxAttempts {
		if kind == estimator.Feed {
			n.runFeed(j, newDiscardSink())
			return
		}
		choice, ok := n.pickTarget(j)
		if !ok {
			return
		}
		j.attempts++
		j.maxQueueWait = choice.MaxQueueWait
		if j.rerouted {
			j.maxQueueWait = 0
		}
		r := f.attemptTarget(n, j, choice.Target)
		if r.outcome.String() == "done" {
			return
		}
		if r.reason == reasonReroute && !j.rerouted {
			j.rerouted = true
			continue
		}
		j.excluded = append(j.excluded, choice.Target)
	}
}

func (f *leavingFleet) attemptTarget(n *leavingNode, j *job, target uint32) result {
	if target == n.target {
		return n.runLocal(j, newDiscardSink())
	}
	time.Sleep(time.Millisecond)
	peer := f.nodes[target-1]
	header := &wirepb.RequestHeader{
		Service: 3, Authority: authority, Hops: 1, Kind: j.kind.String(), Method: j.method,
	}
	if reason := peer.checkPeerRequest(header); reason != "" {
		return notRun(reason, estimator.Refused)
	}
	forwarded := peer.newModelJob(j.runContext, j.kind)
	forwarded.hops, forwarded.maxQueueWait = 1, j.maxQueueWait
	return peer.dispatch(forwarded, newDiscardSink())
}

func (n *leavingNode) newModelJob(ctx context.Context, kind estimator.Kind) *job {
	return &job{
		id: n.nextID(), waitContext: ctx, runContext: ctx, method: http.MethodPut, path: "/sheet", authority: authority,
		header: http.Header{}, body: &body{}, kind: kind, idempotent: true, arrived: time.Now(),
		deadline: time.Now().Add(10 * time.Second),
	}
}

func newDiscardSink() *sink {
	return &sink{sendHeader: func(int, http.Header) error { return nil }, sendChunk: func([]byte) error { return nil }}
}

// run simulates the departure for runDuration and returns the violations.
func (f *leavingFleet) run(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, runDuration)
	defer cancel()
	var wait sync.WaitGroup
	for _, n := range f.nodes {
		delay := time.Duration(f.random.Int64N(int64(maxRevisionDelay)))
		wait.Go(func() { f.applyRevision(n, delay) })
		wait.Go(func() { _ = n.Run(ctx) })
		if !f.balancersOnly {
			p, err := prober.NewProber(prober.Options{BaseURL: "http://backend.example", Transport: n, Report: n.ObserveHealth})
			if err != nil {
				return err
			}
			wait.Go(func() { _ = p.Run(ctx) })
		}
		wait.Go(func() { f.exchangeDigests(ctx, n) })
	}
	random := rand.New(rand.NewPCG(f.seed, 7))
	for ctx.Err() == nil {
		n := f.nodes[random.IntN(leavingTargets)] // the agent of an open flow
		if random.IntN(2) == 0 {
			n = f.routeFlow(random.IntN(leavingBalancers), random.Uint64())
		}
		kind := []estimator.Kind{estimator.Short, estimator.Short, estimator.Long, estimator.Feed}[random.IntN(4)]
		if n != nil {
			wait.Go(func() { f.dispatchRequest(n, kind) })
		}
		time.Sleep(time.Duration(1+random.IntN(120)) * time.Millisecond)
	}
	wait.Wait()
	return errors.Join(f.violations...)
}

// exchangeDigests sends the digests of a node to the others, with a delay of
// MinDigestInterval.
func (f *leavingFleet) exchangeDigests(ctx context.Context, n *leavingNode) {
	for ctx.Err() == nil {
		d := n.Digest()
		time.Sleep(MinDigestInterval)
		for _, m := range f.nodes {
			if m != n && !f.balancersOnly {
				m.observeDigest(d)
			}
		}
	}
}
