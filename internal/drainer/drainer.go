// Package drainer tracks the requests in flight at an agent and drains them when
// the agent stops.
//
// A drain has two stages. When it is announced, the agent diverts new flows to
// other agents and tells callers to move to another target. When its deadline has
// passed, the remaining requests are cancelled, logged and counted. An
// announcement can be withdrawn as long as the process is not stopping, because a
// target that is published as leaving may be published as serving again.
//
// # Usage
//
//	d := drainer.NewDrainer()
//	task := d.Begin(ctx, "GET /feed")
//	defer task.End()
//	...
//	d.Announce()
//	if err := d.Wait(ctx); err != nil {
//		for _, name := range d.CancelAll() {
//			logger.Warn().Str("request", name).Msg("request cut off at the drain deadline")
//		}
//	}
package drainer

import (
	"context"
	"net/http"
	"sync"

	"github.com/VictoriaMetrics/metrics"
	"github.com/ansel1/merry/v2"
)

// Path is the URL path of the long poll by which callers wait for the start of a
// drain.
const Path = "/.well-known/kingcupvalve/drain"

// ErrClosed is the cancellation cause of a request that arrived after Close.
var ErrClosed = merry.New("request arrived after the drain")

// ErrDrainDeadline is the cancellation cause of a request that was still in
// flight at the drain deadline.
var ErrDrainDeadline = merry.New("request cancelled at the drain deadline")

var cutTotal = metrics.GetOrCreateCounter("kingcupvalve_agent_drain_cut_total")

// Drainer tracks requests in flight. It is safe for concurrent use.
type Drainer struct {
	lock      sync.Mutex
	tasks     map[*Task]struct{}
	announced chan struct{}
	draining  bool
	closed    bool
	// empty is closed and replaced each time the last request in flight ends.
	empty chan struct{}
}

// NewDrainer returns a drainer without requests.
func NewDrainer() *Drainer {
	return &Drainer{
		tasks: make(map[*Task]struct{}), announced: make(chan struct{}), empty: make(chan struct{}),
	}
}

// Task is one request in flight.
type Task struct {
	drainer *Drainer
	name    string
	context context.Context
	cancel  context.CancelCauseFunc
}

// Context returns the context of the request. CancelAll cancels it with
// ErrDrainDeadline.
func (t *Task) Context() context.Context { return t.context }

// Begin registers a request in flight, whose context derives from ctx. CancelAll
// returns the name if the request is still in flight. After Close, the context of
// the task is already cancelled with ErrClosed and the request must not be
// started.
func (d *Drainer) Begin(ctx context.Context, name string) *Task {
	t := &Task{drainer: d, name: name}
	t.context, t.cancel = context.WithCancelCause(ctx)
	d.lock.Lock()
	defer d.lock.Unlock()
	if d.closed {
		t.cancel(ErrClosed)
		return t
	}
	d.tasks[t] = struct{}{}
	return t
}

// End removes the request from those in flight and cancels its context.
// Further calls have no effect.
func (t *Task) End() {
	t.cancel(nil)
	d := t.drainer
	d.lock.Lock()
	defer d.lock.Unlock()
	if _, ok := d.tasks[t]; !ok {
		return
	}
	delete(d.tasks, t)
	if len(d.tasks) == 0 {
		close(d.empty)
		d.empty = make(chan struct{})
	}
}

// InFlight returns the number of requests in flight.
func (d *Drainer) InFlight() int {
	d.lock.Lock()
	defer d.lock.Unlock()
	return len(d.tasks)
}

// IsDraining reports whether a drain has been announced and not withdrawn.
func (d *Drainer) IsDraining() bool {
	d.lock.Lock()
	defer d.lock.Unlock()
	return d.draining
}

// Announce announces a drain. It returns false if one is already announced.
func (d *Drainer) Announce() bool {
	d.lock.Lock()
	defer d.lock.Unlock()
	if d.draining {
		return false
	}
	d.draining = true
	close(d.announced)
	return true
}

// Withdraw withdraws an announced drain. It returns false if none is announced.
func (d *Drainer) Withdraw() bool {
	d.lock.Lock()
	defer d.lock.Unlock()
	if !d.draining {
		return false
	}
	d.draining, d.announced = false, make(chan struct{})
	return true
}

// Announced returns a channel that is closed when a drain is announced.
func (d *Drainer) Announced() <-chan struct{} {
	d.lock.Lock()
	defer d.lock.Unlock()
	return d.announced
}

// ServeHTTP blocks until a drain is announced and then responds with 200. Its
// own requests do not count as requests in flight.
func (d *Drainer) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	select {
	case <-d.Announced():
		w.WriteHeader(http.StatusOK)
	case <-r.Context().Done():
	}
}

// Wait blocks until no request is in flight. It returns the error of ctx if that
// ends first.
func (d *Drainer) Wait(ctx context.Context) error {
	for {
		d.lock.Lock()
		left, empty := len(d.tasks), d.empty
		d.lock.Unlock()
		if left == 0 {
			return nil
		}
		select {
		case <-empty:
		case <-ctx.Done():
			return merry.Prependf(ctx.Err(), "wait for %d requests in flight", left)
		}
	}
}

// Close rejects all further requests. It has no effect and returns false while
// a request is in flight.
func (d *Drainer) Close() bool {
	d.lock.Lock()
	defer d.lock.Unlock()
	d.closed = len(d.tasks) == 0
	return d.closed
}

// CancelAll cancels the requests in flight with ErrDrainDeadline, counts them in
// the drain metric and returns their names. Each request must still call End.
func (d *Drainer) CancelAll() []string {
	d.lock.Lock()
	defer d.lock.Unlock()
	names := make([]string, 0, len(d.tasks))
	for t := range d.tasks {
		names = append(names, t.name)
		t.cancel(ErrDrainDeadline)
	}
	cutTotal.Add(len(names))
	return names
}
