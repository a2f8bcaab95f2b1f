// Package prober polls the health and load endpoints of the local backend
// server. Their responses may be outdated or wrong, so they are only hints: a
// backend server that reports serving but fails requests is still avoided, and
// one that reports failing but serves requests is not.
//
// # Usage
//
//	p, err := prober.NewProber(prober.Options{
//		BaseURL: "http://127.0.0.1:8080",
//		Report:  func(h prober.Hint) { estimator.ObserveHealth(h.State(), time.Now()) },
//	})
//	go p.Run(ctx)
package prober

import (
	"context"
	"math/rand/v2"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/ansel1/merry/v2"

	"kingcupvalve.example/kingcupvalve/internal/api/backend"
)

// States of a Hint: those of the health endpoint, and StateSilent.
const (
	StateWarming  = "warming"
	StateServing  = "serving"
	StateDraining = "draining"
	StateFailing  = "failing"
	// StateSilent means that the health endpoint gave no valid response. It does
	// not replace StateDraining, which holds until the next valid response.
	StateSilent = "silent"
)

const (
	// DefaultInterval is the time between two polls. A drain that the backend
	// server starts on its own must be detected within 3 s.
	DefaultInterval = 500 * time.Millisecond
	// DefaultTimeout is the maximum duration of one poll.
	DefaultTimeout = time.Second
)

// Options configures a Prober.
type Options struct {
	// BaseURL is the base URL of the backend server.
	BaseURL string
	// Interval and Timeout default to DefaultInterval and DefaultTimeout.
	Interval time.Duration
	Timeout  time.Duration
	// Transport sends the requests. If nil, a transport without a proxy is used.
	Transport http.RoundTripper
	// Report is called with every hint, in the goroutine of Run. It may be nil.
	Report func(Hint)
}

// Hint is the health and load that the backend server reports.
type Hint struct {
	state    string
	hasLoad  bool
	slots    int
	running  int
	queued   int
	shedding bool
}

// State returns the reported health, or StateSilent.
func (h Hint) State() string { return h.state }

// Load returns the reported load in requests. The last result is false when the
// load endpoint gave no valid response.
func (h Hint) Load() (slots, running, queued int, ok bool) {
	return h.slots, h.running, h.queued, h.hasLoad
}

// IsShedding reports whether the backend server reports that it sheds load.
func (h Hint) IsShedding() bool { return h.shedding }

// Prober polls one backend server.
type Prober struct {
	options Options
	client  *backend.Client
	latest  atomic.Pointer[Hint]
}

// NewProber returns a prober. It fails when the base URL does not parse.
func NewProber(o Options) (*Prober, error) {
	if o.Interval <= 0 {
		o.Interval = DefaultInterval
	}
	if o.Timeout <= 0 {
		o.Timeout = DefaultTimeout
	}
	if o.Transport == nil {
		o.Transport = &http.Transport{MaxIdleConnsPerHost: 2, IdleConnTimeout: 30 * time.Second}
	}
	client, err := backend.NewClient(o.BaseURL, backend.WithClient(&http.Client{Transport: o.Transport}))
	if err != nil {
		return nil, merry.Prepend(err, "create backend server client")
	}
	p := &Prober{options: o, client: client}
	p.latest.Store(&Hint{state: StateSilent})
	return p, nil
}

// Latest returns the last hint. Before the first poll its state is StateSilent.
func (p *Prober) Latest() Hint { return *p.latest.Load() }

// Run polls until ctx ends. Jitter of up to a tenth of the interval keeps the
// agents on a shared host from polling at the same time.
func (p *Prober) Run(ctx context.Context) error {
	defer p.closeIdle()
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-timer.C:
		}
		hint := p.poll(ctx)
		if ctx.Err() != nil {
			return nil
		}
		// A failed poll does not end a drain: a backend server that reported
		// draining is considered draining until it reports another state.
		if hint.state == StateSilent && p.Latest().State() == StateDraining {
			hint.state = StateDraining
		}
		p.latest.Store(&hint)
		if p.options.Report != nil {
			p.options.Report(hint)
		}
		timer.Reset(p.options.Interval + time.Duration(rand.Int64N(int64(p.options.Interval/10)+1)))
	}
}

func (p *Prober) poll(ctx context.Context) Hint {
	ctx, cancel := context.WithTimeout(ctx, p.options.Timeout)
	defer cancel()
	hint := Hint{state: StateSilent}
	health, err := p.client.GetHealth(ctx)
	if err != nil {
		return hint
	}
	switch h := health.(type) {
	case *backend.GetHealthOK:
		hint.state = string(h.State)
	case *backend.GetHealthServiceUnavailable:
		hint.state = string(h.State)
	}
	if load, err := p.client.GetLoad(ctx); err == nil {
		hint.hasLoad, hint.shedding = true, load.Shedding
		hint.slots, hint.running, hint.queued = int(load.Slots), int(load.Running), int(load.Queued)
	}
	return hint
}

func (p *Prober) closeIdle() {
	if t, ok := p.options.Transport.(interface{ CloseIdleConnections() }); ok {
		t.CloseIdleConnections()
	}
}
