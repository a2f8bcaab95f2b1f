package watcher

import (
	"context"
	"crypto/tls"
	"errors"
	"fmt"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/rs/zerolog"

	"kingcupvalve.example/kingcupvalve/internal/cataloger"
	"kingcupvalve.example/kingcupvalve/internal/messenger"
	"kingcupvalve.example/kingcupvalve/internal/wirepb"
	"kingcupvalve.example/kingcupvalve/standin/issuer"
	"kingcupvalve.example/kingcupvalve/standin/platform"
)

// sharedTLS returns a TLS configuration with one key for all processes.
func sharedTLS(t *testing.T) *tls.Config {
	t.Helper()
	config, err := issuer.NewTLS()
	is.New(t).NoErr(err)
	return config
}

var errTooManySlots = errors.New("too many slots")

func validate(fleet cataloger.FleetSpec) error {
	if fleet.Defaults.Slots > 1000 {
		return errTooManySlots
	}
	return nil
}

func fleetSpec(revision uint64, slots int64) cataloger.FleetSpec {
	fleet := cataloger.FleetSpec{Revision: revision, Defaults: cataloger.PolicySpec{Slots: slots}}
	for i := range 5 {
		fleet.Services = append(fleet.Services, cataloger.ServiceSpec{
			Name: fmt.Sprintf("service-%d", i), Number: uint16(i + 1), Addresses: []string{fmt.Sprintf("127.1.0.%d:443", i+1)},
		})
	}
	return fleet
}

// process is a watcher with its messenger.
type process struct {
	*Watcher
	name      string
	messenger *messenger.Messenger
	revisions chan uint64
	refusals  chan struct{}
	stop      func()
}

// processGroup is a set of processes that communicate over loopback sockets.
type processGroup struct {
	t        *testing.T
	tls      *tls.Config
	platform *platform.Platform
	all      []*process
}

// newProcessGroup starts a platform for a group without processes.
func newProcessGroup(t *testing.T) *processGroup {
	t.Helper()
	is := is.New(t)
	p, err := platform.NewPlatform(platform.Options{Address: netip.MustParseAddrPort("127.0.0.1:0"), Logger: zerolog.Nop()})
	is.NoErr(err)
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- p.Run(ctx) }()
	t.Cleanup(func() {
		cancel()
		is.NoErr(<-done)
	})
	return &processGroup{t: t, tls: sharedTLS(t), platform: p}
}

// start adds a process to the host list and runs it.
func (g *processGroup) start(name, zone string, seeds ...netip.AddrPort) *process {
	g.t.Helper()
	is := is.New(g.t)
	p := &process{name: name, revisions: make(chan uint64, 100), refusals: make(chan struct{}, 100)}
	m, err := messenger.NewMessenger(messenger.Options{
		Address: netip.MustParseAddrPort("127.0.0.1:0"), TLS: g.tls, Logger: zerolog.Nop(),
		Hello: func() *wirepb.Hello { return &wirepb.Hello{Process: name} },
	})
	is.NoErr(err)
	p.messenger = m
	p.Watcher, err = NewWatcher(Options{
		Name: name, AvailabilityZone: zone, PlatformURL: g.platform.URL(), Messenger: m, Validate: validate, Seeds: seeds,
		Logger: zerolog.New(zerolog.NewTestWriter(g.t)).Level(zerolog.WarnLevel).Hook(
			zerolog.HookFunc(func(_ *zerolog.Event, _ zerolog.Level, message string) {
				if message == "configuration revision refused" {
					p.refusals <- struct{}{}
				}
			})),
	})
	is.NoErr(err)
	p.Subscribe(func(s *cataloger.Snapshot) { p.revisions <- s.Revision() })
	g.platform.SetHost(cataloger.HostSpec{
		Name: name, Role: cataloger.RoleAgent, AvailabilityZone: zone, State: cataloger.HostLive, ControlAddress: m.Address().String(),
	})
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 2)
	go func() { done <- m.Run(ctx) }()
	go func() { done <- p.Run(ctx) }()
	stopped := false
	p.stop = func() {
		if !stopped {
			stopped = true
			cancel()
			is.NoErr(<-done)
			is.NoErr(<-done)
		}
	}
	g.t.Cleanup(p.stop)
	g.all = append(g.all, p)
	return p
}

func assertRevision(t *testing.T, p *process, revision uint64) {
	t.Helper()
	for {
		select {
		case r := <-p.revisions:
			if r == revision {
				return
			}
		case <-time.After(20 * time.Second):
			t.Fatalf("%s does not put revision %d in force: %+v", p.name, revision, p.Status())
		}
	}
}

// TestOddHosts guards against an odd entry of the host list that hides the others: the
// whole list could not be decoded, and processes stopped following it.
func TestOddHosts(t *testing.T) {
	good, err := cataloger.EncodeHost(cataloger.HostSpec{
		Name: "a", Role: cataloger.RoleAgent, State: cataloger.HostLive, AvailabilityZone: "tb-a", ControlAddress: "127.0.0.1:1",
	}, 3)
	is.New(t).NoErr(err)
	nested := strings.Repeat("[", 5000) + strings.Repeat("]", 5000)
	for name, odd := range map[string]string{
		"deeply nested":          nested,
		"a nested field":         strings.Replace(string(good), `"tb-a"`, nested, 1),
		"a version out of range": strings.Replace(string(good), `:3`, `:1e400`, 1),
		"a negative version":     strings.Replace(string(good), `:3`, `:-3`, 1),
		"a state without a name": strings.Replace(string(good), `"live"`, `"asleep"`, 1),
		"a role that is a list":  strings.Replace(string(good), `"agent"`, `[]`, 1),
		"a long name":            strings.Replace(string(good), `"a"`, `"`+strings.Repeat("x", 1<<20)+`"`, 1),
		"no fields":              "{}",
		"null":                   "null",
		"a number":               "7",
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
				w.Header().Set("Content-Type", "application/json")
				_, _ = fmt.Fprintf(w, `{"version":5,"hosts":[%s,%s]}`, odd, good)
			}))
			t.Cleanup(server.Close)
			client, err := newPlatformClient(server.URL, http.DefaultTransport)
			is.NoErr(err)
			r := client.readHosts(t.Context(), hostPosition{}, 0)
			is.NoErr(r.err)
			is.Equal(len(r.changes.entries), 1)
			is.Equal(r.changes.entries[0].spec.Name, "a")
			is.Equal(r.changes.entries[0].version, uint64(3))
		})
	}
}

// TestProcesses guards against faults that the simulated fleets cannot show,
// because they have no sockets, no platform API and no goroutines.
// TestRestoredHosts guards against changes of the host list that are not read because
// the platform gives out its versions again.
func TestRestoredHosts(t *testing.T) {
	is := is.New(t)
	p := newProcessGroup(t).platform
	transport := &http.Transport{}
	t.Cleanup(transport.CloseIdleConnections)
	client, err := newPlatformClient(p.URL(), transport)
	is.NoErr(err)
	set := func(name string) {
		p.SetHost(cataloger.HostSpec{Name: name, Role: cataloger.RoleAgent, State: cataloger.HostLive, ControlAddress: "127.0.0.1:1"})
	}
	var table hostTable
	follow := func() {
		r := client.readHosts(t.Context(), table.hostPosition, 0)
		is.NoErr(r.err)
		is.True(table.apply(r.changes))
	}
	set("a")
	p.Mark()
	set("b")
	follow()
	is.Equal(len(table.specs()), 2)
	p.RollBack()
	set("c")
	follow()
	is.Equal(table.hostPosition, hostPosition{epoch: 1, version: 2})
	is.Equal(len(table.specs()), 2)
	_, hasNew := table.entries["c"]
	is.True(hasNew)
	set("d")
	follow()
	is.Equal(len(table.specs()), 3)
	is.True(!table.apply(hostChanges{from: 0, to: 9}))
	is.True(!table.apply(hostChanges{epoch: 2, from: 3, to: 9}))
}

func TestProcesses(t *testing.T) {
	t.Run("a fleet over sockets applies changes, refuses invalid ones and keeps working while the platform is down", func(t *testing.T) {
		is := is.New(t)
		g := newProcessGroup(t)
		_, err := g.platform.PublishFleet(fleetSpec(1, 2))
		is.NoErr(err)
		for i := range 9 {
			g.start(fmt.Sprintf("host-%d", i), "a")
		}
		for i := range 3 {
			g.start(fmt.Sprintf("other-%d", i), "b")
		}
		for _, p := range g.all {
			assertRevision(t, p, 1)
			<-p.Ready()
		}
		begin := time.Now()
		_, err = g.platform.PublishFleet(fleetSpec(2, 3))
		is.NoErr(err)
		for _, p := range g.all {
			assertRevision(t, p, 2)
			service, ok := p.Snapshot().ServiceByName("service-0")
			is.True(ok)
			is.Equal(service.Policy().Slots, int64(3))
		}
		t.Logf("in force on %d processes after %v", len(g.all), time.Since(begin))
		_, err = g.platform.PublishFleet(fleetSpec(3, 5000))
		is.NoErr(err)
		for _, p := range g.all {
			select {
			case <-p.refusals:
			case <-time.After(20 * time.Second):
				t.Fatalf("%s does not refuse revision 3: %+v", p.name, p.Status())
			}
			is.Equal(p.Snapshot().Revision(), uint64(2))
		}
		g.platform.SetDown(true)
		late := g.start("host-late", "a", g.all[0].messenger.Address(), g.all[11].messenger.Address())
		assertRevision(t, late, 2)
		g.all[1].stop()
		g.platform.SetDown(false)
		_, err = g.platform.PublishFleet(fleetSpec(4, 4))
		is.NoErr(err)
		for i, p := range g.all {
			if i != 1 {
				assertRevision(t, p, 4)
			}
		}
		t.Logf("platform calls: %v", g.platform.CallsByKey())
	})
}
