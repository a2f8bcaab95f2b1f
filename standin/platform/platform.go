package platform

import (
	"context"
	"errors"
	"maps"
	"net"
	"net/http"
	"net/netip"
	"strings"
	"sync"
	"time"

	"github.com/ansel1/merry/v2"
	"github.com/rs/zerolog"
	"golang.org/x/time/rate"

	api "kingcupvalve.example/kingcupvalve/internal/api/platform"
	"kingcupvalve.example/kingcupvalve/internal/cataloger"
	"kingcupvalve.example/kingcupvalve/keeper"
)

// MaxValueBytes is the largest size of a value, as on the users' platform.
const MaxValueBytes = 1 << 20

// Options are the settings of a Platform.
type Options struct {
	// Address is the TCP address to listen on. Port 0 lets the kernel choose.
	Address netip.AddrPort
	Logger  zerolog.Logger
}

// Platform is the test double. It is safe for concurrent use.
type Platform struct {
	options  Options
	listener net.Listener

	lock     sync.Mutex
	live     *store
	frozen   *store // served instead of live while the platform is stale
	snapshot *store
	down     bool
	delay    time.Duration
	limiter  *rate.Limiter
	changed  chan struct{}
	calls    map[string]int64
}

// NewPlatform listens on the address of the options.
func NewPlatform(options Options) (*Platform, error) {
	listener, err := net.Listen("tcp", options.Address.String())
	if err != nil {
		return nil, merry.Prepend(err, "listen for readers")
	}
	return &Platform{
		options: options, listener: listener, live: newStore(),
		changed: make(chan struct{}), calls: make(map[string]int64),
	}, nil
}

// Address returns the address that readers dial.
func (p *Platform) Address() netip.AddrPort {
	return p.listener.Addr().(*net.TCPAddr).AddrPort()
}

// URL returns the base address of the API.
func (p *Platform) URL() string { return "http://" + p.Address().String() }

// Run serves readers until the context ends.
func (p *Platform) Run(ctx context.Context) error {
	handler, err := api.NewServer(p)
	if err != nil {
		return merry.Prepend(err, "build platform server")
	}
	server := &http.Server{
		Handler: handler, ReadHeaderTimeout: 5 * time.Second,
		BaseContext: func(net.Listener) context.Context { return ctx },
	}
	stop := context.AfterFunc(ctx, func() { server.Close() })
	defer stop()
	p.options.Logger.Info().Stringer("address", p.Address()).Msg("platform stand-in serving")
	if err := server.Serve(p.listener); err != nil && !errors.Is(err, http.ErrServerClosed) {
		return merry.Prepend(err, "serve platform")
	}
	return nil
}

// change applies a change and wakes all waiting long polls.
func (p *Platform) change(f func()) {
	p.lock.Lock()
	defer p.lock.Unlock()
	f()
	close(p.changed)
	p.changed = make(chan struct{})
}

// Publish sets a value. It fails for values above MaxValueBytes.
func (p *Platform) Publish(key string, content []byte) error {
	if len(content) > MaxValueBytes {
		return merry.Errorf("publish %s: %d bytes are above the limit of %d", key, len(content), MaxValueBytes)
	}
	p.change(func() { p.live.setValue(key, content) })
	return nil
}

// Delete removes a value.
func (p *Platform) Delete(key string) {
	p.change(func() { delete(p.live.values, key) })
}

// PublishFleet publishes the sections of a fleet document and then its head.
// Sections that exist already are not written again.
func (p *Platform) PublishFleet(fleet cataloger.FleetSpec) (keeper.Head, error) {
	sections, err := cataloger.SplitFleet(fleet)
	if err != nil {
		return keeper.Head{}, merry.Prepend(err, "split fleet")
	}
	refs := make([]keeper.SectionRef, len(sections))
	for i, s := range sections {
		refs[i] = keeper.ComputeRef(s.Name(), s.Content())
		if p.has(refs[i].Key()) {
			continue
		}
		if err := p.Publish(refs[i].Key(), s.Content()); err != nil {
			return keeper.Head{}, err
		}
	}
	head, err := keeper.NewHead(fleet.Revision, refs)
	if err != nil {
		return keeper.Head{}, merry.Prepend(err, "build head")
	}
	return head, p.Publish(keeper.HeadKey, head.Encode())
}

func (p *Platform) has(key string) bool {
	p.lock.Lock()
	defer p.lock.Unlock()
	_, ok := p.live.values[key]
	return ok
}

// SetHost adds or changes an entry of the host list.
func (p *Platform) SetHost(spec cataloger.HostSpec) {
	p.change(func() { p.live.setHost(spec) })
}

// RemoveHost marks an entry of the host list as removed.
func (p *Platform) RemoveHost(name string) {
	p.change(func() {
		if h, ok := p.live.hosts[name]; ok {
			h.spec.State = cataloger.HostRemoved
			p.live.setHost(h.spec)
		}
	})
}

// SetDown makes every call fail with status 503, including waiting long polls.
func (p *Platform) SetDown(down bool) { p.change(func() { p.down = down }) }

// SetStale with true makes reads return the state at the time of the call,
// whatever is published after that, until SetStale is called with false.
func (p *Platform) SetStale(stale bool) {
	p.change(func() {
		p.frozen = nil
		if stale {
			p.frozen = p.live.clone()
		}
	})
}

// SetDelay sets the time by which every response is delayed.
func (p *Platform) SetDelay(delay time.Duration) { p.change(func() { p.delay = delay }) }

// SetLimit makes calls above a rate per second fail with status 503. Zero
// removes the limit.
func (p *Platform) SetLimit(perSecond int) {
	p.change(func() {
		p.limiter = nil
		if perSecond > 0 {
			p.limiter = rate.NewLimiter(rate.Limit(perSecond), perSecond)
		}
	})
}

// Mark saves the current state for RollBack.
func (p *Platform) Mark() { p.change(func() { p.snapshot = p.live.clone() }) }

// RollBack restores the state saved by Mark, including versions, as when a
// platform is restored from a backup. It begins a new epoch.
func (p *Platform) RollBack() {
	p.change(func() {
		if p.snapshot != nil {
			epoch := p.live.epoch + 1
			p.live = p.snapshot.clone()
			p.live.epoch = epoch
		}
	})
}

// Calls returns the number of calls so far.
func (p *Platform) Calls() int64 {
	var total int64
	for _, n := range p.CallsByKey() {
		total += n
	}
	return total
}

// CallsByKey returns the number of calls so far by key. All sections count
// under their common prefix, and the host list under "hosts".
func (p *Platform) CallsByKey() map[string]int64 {
	p.lock.Lock()
	defer p.lock.Unlock()
	return maps.Clone(p.calls)
}

func (p *Platform) count(key string) {
	if strings.HasPrefix(key, keeper.SectionPrefix) {
		key = keeper.SectionPrefix
	}
	p.calls[key]++
}
