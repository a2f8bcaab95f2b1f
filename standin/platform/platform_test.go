package platform

import (
	"context"
	"io"
	"net/http"
	"net/netip"
	"os"
	"path/filepath"
	"testing"

	"github.com/matryer/is"
	"go.uber.org/goleak"

	api "kingcupvalve.example/kingcupvalve/internal/api/platform"
	"kingcupvalve.example/kingcupvalve/internal/cataloger"
	"kingcupvalve.example/kingcupvalve/keeper"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

func start(t *testing.T) (*Platform, *api.Client) {
	t.Helper()
	is := is.New(t)
	p, err := NewPlatform(Options{Address: netip.MustParseAddrPort("127.0.0.1:0")})
	is.NoErr(err)
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- p.Run(ctx) }()
	transport := &http.Transport{}
	t.Cleanup(func() {
		transport.CloseIdleConnections()
		cancel()
		is.NoErr(<-done)
	})
	client, err := api.NewClient(p.URL(), api.WithClient(&http.Client{Transport: transport}))
	is.NoErr(err)
	return p, client
}

func read(t *testing.T, client *api.Client, key string) (string, int64) {
	t.Helper()
	is := is.New(t)
	result, err := client.ReadValue(t.Context(), api.ReadValueParams{Key: key})
	is.NoErr(err)
	ok, isValue := result.(*api.ReadValueOKHeaders)
	if !isValue {
		return "", 0
	}
	content, err := io.ReadAll(ok.Response.Data)
	is.NoErr(err)
	return string(content), ok.ValueVersion
}

func TestValues(t *testing.T) {
	t.Run("keys with slashes are read and counted", func(t *testing.T) {
		is := is.New(t)
		p, client := start(t)
		is.NoErr(p.Publish("fleet/head", []byte("x")))
		content, version := read(t, client, "fleet/head")
		is.Equal(content, "x")
		is.Equal(version, int64(1))
		_, version = read(t, client, "fleet/other")
		is.Equal(version, int64(0))
		is.Equal(p.Calls(), int64(2))
	})
	t.Run("a long poll returns when the value changes and counts as one call", func(t *testing.T) {
		is := is.New(t)
		p, client := start(t)
		is.NoErr(p.Publish("k", []byte("1")))
		got := make(chan api.ReadValueRes)
		go func() {
			r, err := client.ReadValue(context.Background(), api.ReadValueParams{
				Key: "k", AfterVersion: api.NewOptInt64(1), WaitMs: api.NewOptInt64(60_000),
			})
			if err != nil {
				t.Error(err)
			}
			got <- r
		}()
		is.NoErr(p.Publish("other", []byte("1")))
		is.NoErr(p.Publish("k", []byte("2")))
		r, ok := (<-got).(*api.ReadValueOKHeaders)
		is.True(ok)
		is.Equal(r.ValueVersion, int64(3))
		is.Equal(p.Calls(), int64(1))
	})
	t.Run("a long poll without a change returns not modified", func(t *testing.T) {
		is := is.New(t)
		p, client := start(t)
		is.NoErr(p.Publish("k", []byte("1")))
		r, err := client.ReadValue(t.Context(), api.ReadValueParams{Key: "k", AfterVersion: api.NewOptInt64(1), WaitMs: api.NewOptInt64(1)})
		is.NoErr(err)
		_, ok := r.(*api.ReadValueNotModified)
		is.True(ok)
	})
}

func TestFaults(t *testing.T) {
	t.Run("an outage, stale reads and a restore change what readers see", func(t *testing.T) {
		is := is.New(t)
		p, client := start(t)
		is.NoErr(p.Publish("k", []byte("1")))
		p.Mark()
		p.SetStale(true)
		is.NoErr(p.Publish("k", []byte("2")))
		content, _ := read(t, client, "k")
		is.Equal(content, "1")
		p.SetStale(false)
		content, _ = read(t, client, "k")
		is.Equal(content, "2")
		p.RollBack()
		content, version := read(t, client, "k")
		is.Equal(content, "1")
		is.Equal(version, int64(1))
		p.SetDown(true)
		r, err := client.ReadValue(t.Context(), api.ReadValueParams{Key: "k"})
		is.NoErr(err)
		_, ok := r.(*api.ReadValueServiceUnavailable)
		is.True(ok)
	})
	t.Run("calls above the limit fail", func(t *testing.T) {
		is := is.New(t)
		p, client := start(t)
		is.NoErr(p.Publish("k", []byte("1")))
		p.SetLimit(1)
		_, first := read(t, client, "k")
		_, second := read(t, client, "k")
		is.Equal(first, int64(1))
		is.Equal(second, int64(0))
	})
}

func TestHostsAndFleet(t *testing.T) {
	t.Run("host changes after a version include removals", func(t *testing.T) {
		is := is.New(t)
		p, client := start(t)
		for _, name := range []string{"a", "b"} {
			p.SetHost(cataloger.HostSpec{Name: name, Role: "agent", State: "live", ControlAddress: "127.0.0.1:1"})
		}
		p.RemoveHost("a")
		r, err := client.ListHosts(t.Context(), api.ListHostsParams{AfterVersion: api.NewOptInt64(2)})
		is.NoErr(err)
		changes := r.(*api.HostChanges)
		is.Equal(changes.Version, int64(3))
		is.Equal(len(changes.Hosts), 1)
		removed, _, err := cataloger.DecodeHost(changes.Hosts[0])
		is.NoErr(err)
		is.Equal(removed.State, cataloger.HostRemoved)
		r, err = client.ListHosts(t.Context(), api.ListHostsParams{})
		is.NoErr(err)
		is.Equal(len(r.(*api.HostChanges).Hosts), 1)
	})
	t.Run("a loaded fleet document is published as head and sections", func(t *testing.T) {
		is := is.New(t)
		p, client := start(t)
		path := filepath.Join(t.TempDir(), "fleet.yaml")
		is.NoErr(os.WriteFile(path, []byte("revision: 4\ndefaults: {slots: 2}\nservices:\n- {name: cutlist-svc, number: 1}\n"), 0o600))
		is.NoErr(p.LoadFleet(path))
		content, _ := read(t, client, keeper.HeadKey)
		head, err := keeper.ParseHead([]byte(content))
		is.NoErr(err)
		is.Equal(head.Revision(), uint64(4))
		for _, ref := range head.Sections() {
			section, _ := read(t, client, ref.Key())
			is.Equal(keeper.ComputeRef(ref.Name(), []byte(section)), ref)
		}
	})
}
