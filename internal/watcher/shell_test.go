package watcher

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"net/netip"
	"slices"
	"strconv"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"github.com/rs/zerolog"

	"kingcupvalve.example/kingcupvalve/internal/cataloger"
	"kingcupvalve.example/kingcupvalve/internal/messenger"
	"kingcupvalve.example/kingcupvalve/internal/wirepb"
	"kingcupvalve.example/kingcupvalve/keeper"
)

// fakePlatform is an http.RoundTripper that answers platform calls without a
// socket, so that a watcher can run in virtual time.
type fakePlatform struct {
	lock    sync.Mutex
	head    []byte
	version int64
	values  map[string][]byte
	down    bool
	calls   []time.Time // times of reads of the head
}

func (p *fakePlatform) publish(t *testing.T, fleet cataloger.FleetSpec) {
	is := is.New(t)
	sections, err := cataloger.SplitFleet(fleet)
	is.NoErr(err)
	p.lock.Lock()
	defer p.lock.Unlock()
	if p.values == nil {
		p.values = make(map[string][]byte)
	}
	var refs []keeper.SectionRef
	for _, s := range sections {
		ref := keeper.ComputeRef(s.Name(), s.Content())
		refs = append(refs, ref)
		p.values[ref.Key()] = s.Content()
	}
	head, err := keeper.NewHead(fleet.Revision, refs)
	is.NoErr(err)
	p.version++
	p.head = head.Encode()
}

// headCalls returns the times of all reads of the head.
func (p *fakePlatform) headCalls() []time.Time {
	p.lock.Lock()
	defer p.lock.Unlock()
	return slices.Clone(p.calls)
}

// RoundTrip answers one call after a response time of 5 ms, or a watch when it
// has news or times out.
func (p *fakePlatform) RoundTrip(r *http.Request) (*http.Response, error) {
	wait, _ := strconv.ParseInt(r.URL.Query().Get("wait_ms"), 10, 64)
	after, _ := strconv.ParseInt(r.URL.Query().Get("after_version"), 10, 64)
	isHosts := strings.HasSuffix(r.URL.Path, "/hosts")
	isHead := strings.HasSuffix(r.URL.Path, keeper.HeadKey)
	p.lock.Lock()
	if isHead {
		p.calls = append(p.calls, time.Now())
	}
	p.lock.Unlock()
	deadline := time.Now().Add(time.Duration(wait) * time.Millisecond)
	for {
		time.Sleep(5 * time.Millisecond) // virtual time
		p.lock.Lock()
		down, head, version, value := p.down, p.head, p.version, p.values[strings.TrimPrefix(r.URL.Path, "/v1/values/")]
		p.lock.Unlock()
		switch {
		case down:
			return nil, errors.New("connection refused")
		case isHosts && after == 0:
			return newResponse(200, 0, "application/json", []byte(`{"version":1,"hosts":[]}`)), nil
		case isHead && version > after:
			return newResponse(200, version, "application/octet-stream", head), nil
		case !isHosts && !isHead:
			return newResponse(200, 1, "application/octet-stream", value), nil
		case !time.Now().Before(deadline):
			return newResponse(304, 0, "", nil), nil
		case r.Context().Err() != nil:
			return nil, r.Context().Err()
		}
	}
}

func newResponse(status int, version int64, kind string, body []byte) *http.Response {
	header := http.Header{"Content-Type": {kind}, "Value-Version": {strconv.FormatInt(version, 10)}}
	return &http.Response{StatusCode: status, Header: header, Body: io.NopCloser(bytes.NewReader(body))}
}

// runInVirtualTime runs one watcher with a fake platform in virtual time.
func runInVirtualTime(t *testing.T, spread time.Duration, test func(*is.I, *fakePlatform, *Watcher)) {
	t.Helper()
	is := is.New(t)
	m, err := messenger.NewMessenger(messenger.Options{
		Address: netip.MustParseAddrPort("127.0.0.1:0"), TLS: sharedTLS(t), Logger: zerolog.Nop(),
		Hello: func() *wirepb.Hello { return &wirepb.Hello{} },
		Dial:  func(context.Context, netip.AddrPort) (net.Conn, error) { return nil, errors.New("no network") },
	})
	is.NoErr(err)
	defer m.Close()
	synctest.Test(t, func(t *testing.T) {
		p := &fakePlatform{}
		p.publish(t, fleetSpec(1, 2))
		w, err := NewWatcher(Options{
			Name: "x", AvailabilityZone: "a", PlatformURL: "http://platform", Transport: p, Messenger: m,
			Validate: validate, StartSpread: spread, Random: func() float64 { return 0.5 }, Logger: zerolog.Nop(),
		})
		is.NoErr(err)
		ctx, cancel := context.WithCancel(t.Context())
		done := make(chan error, 1)
		go func() { done <- w.Run(ctx) }()
		test(is, p, w)
		cancel()
		is.NoErr(<-done)
	})
}

// TestWatcherTiming guards against platform calls that come too early or too
// often, and against changes and faults of the platform that are noticed too late.
// It runs a whole watcher in virtual time.
func TestWatcherTiming(t *testing.T) {
	t.Run("the first reads wait for the start spread", func(t *testing.T) {
		runInVirtualTime(t, 10*time.Second, func(is *is.I, p *fakePlatform, w *Watcher) {
			begin := time.Now()
			<-w.Ready()
			waited := time.Since(begin)
			is.True(waited >= 5*time.Second && waited < 6*time.Second)
			is.True(!p.headCalls()[0].Before(begin.Add(5 * time.Second)))
		})
	})
	t.Run("a watching process makes two calls in each watch period", func(t *testing.T) {
		runInVirtualTime(t, 0, func(is *is.I, p *fakePlatform, w *Watcher) {
			<-w.Ready()
			before := len(p.headCalls())
			time.Sleep(27 * time.Second)
			calls := len(p.headCalls()) - before
			is.True(calls >= 16 && calls <= 20)
		})
	})
	t.Run("a change is in force at once and the previous snapshot does not change", func(t *testing.T) {
		runInVirtualTime(t, 0, func(is *is.I, p *fakePlatform, w *Watcher) {
			<-w.Ready()
			old := w.Snapshot()
			changed := make(chan uint64, 10)
			w.Subscribe(func(s *cataloger.Snapshot) { changed <- s.Revision() })
			is.Equal(<-changed, uint64(1))
			begin := time.Now()
			p.publish(t, fleetSpec(2, 3))
			is.Equal(<-changed, uint64(2))
			is.True(time.Since(begin) < time.Second)
			is.Equal(old.Revision(), uint64(1))
			is.Equal(w.Status().Source(), sourcePlatform)
		})
	})
	t.Run("a platform that is down is reported and read again within the backoff limit", func(t *testing.T) {
		runInVirtualTime(t, 0, func(is *is.I, p *fakePlatform, w *Watcher) {
			<-w.Ready()
			p.lock.Lock()
			p.down = true
			p.lock.Unlock()
			time.Sleep(time.Minute)
			is.True(w.Status().IsPlatformUnreachable())
			is.Equal(w.Snapshot().Revision(), uint64(1)) // the last valid revision stays in force
			before := len(p.headCalls())
			time.Sleep(20 * time.Second)
			is.True(len(p.headCalls())-before <= 14) // one call per 1.5 s on average
			p.lock.Lock()
			p.down = false
			p.lock.Unlock()
			p.publish(t, fleetSpec(2, 3))
			time.Sleep(maxWatchingBackoff + time.Second)
			is.Equal(w.Snapshot().Revision(), uint64(2))
			is.Equal(w.Status().Conditions(), []string{"in_force"})
		})
	})
	t.Run("a restored platform is reported as stale", func(t *testing.T) {
		runInVirtualTime(t, 0, func(is *is.I, p *fakePlatform, w *Watcher) {
			p.publish(t, fleetSpec(5, 3))
			<-w.Ready()
			p.publish(t, fleetSpec(4, 3))
			time.Sleep(HeadWatchTimeout + time.Second)
			is.Equal(w.Snapshot().Revision(), uint64(5))
			is.Equal(w.Status().Conditions(), []string{"in_force", "platform_stale"})
		})
	})
	t.Run("a second content of the revision in force is reported as a conflict", func(t *testing.T) {
		runInVirtualTime(t, 0, func(is *is.I, p *fakePlatform, w *Watcher) {
			<-w.Ready()
			p.publish(t, fleetSpec(1, 9))
			time.Sleep(HeadWatchTimeout + time.Second)
			is.Equal(w.Status().RefusedConflict(), uint64(1))
			service, _ := w.Snapshot().ServiceByName("service-0")
			is.Equal(service.Policy().Slots, int64(2))
		})
	})
}
