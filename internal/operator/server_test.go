package operator

import (
	"context"
	"crypto/tls"
	"errors"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/rs/zerolog"
	"go.uber.org/goleak"

	api "kingcupvalve.example/kingcupvalve/internal/api/operator"
	"kingcupvalve.example/kingcupvalve/internal/recorder"
)

type testServer struct {
	address   string
	authority *authority
	drains    atomic.Int32
}

// startServer starts a server and stops it at the end of the test.
func startServer(t *testing.T, change func(*Options, *testServer)) *testServer {
	t.Helper()
	is := is.New(t)
	r := &testServer{authority: newAuthority(t)}
	options := Options{
		TLS: r.authority.serverConfig(t), Logger: zerolog.Nop(),
		Status: func() api.Status {
			return api.Status{Process: "p", Role: api.StatusRoleAgent, State: api.StatusStateServing, ConfigState: api.StatusConfigStateInForce, StartedAt: time.Unix(1_790_000_000, 0)}
		},
	}
	if change != nil {
		change(&options, r)
	}
	server, err := NewServer(options)
	is.NoErr(err)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	r.address = listener.Addr().String()
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- server.Serve(ctx, listener) }()
	t.Cleanup(func() {
		cancel()
		is.NoErr(<-done)
	})
	return r
}

func (r *testServer) httpClient(t *testing.T, certificates ...tls.Certificate) *http.Client {
	t.Helper()
	transport := &http.Transport{TLSClientConfig: r.authority.clientConfig(t, certificates...)}
	t.Cleanup(transport.CloseIdleConnections)
	return &http.Client{Transport: transport, Timeout: 10 * time.Second}
}

func (r *testServer) client(t *testing.T) *api.Client {
	t.Helper()
	client, err := api.NewClient("https://"+r.address, api.WithClient(r.httpClient(t, r.authority.issue(t))))
	is.New(t).NoErr(err)
	return client
}

func TestServer(t *testing.T) {
	defer goleak.VerifyNone(t)
	ctx := context.Background()
	t.Run("every operation returns what its function provides", func(t *testing.T) {
		is := is.New(t)
		counts := recorder.NewRecorder(recorder.Options{})
		counts.Record("s", "a", recorder.OutcomeBroken, time.Now())
		counts.AddEvent(recorder.NewEvent(recorder.EventDrain, "s", "a", "drain started"), time.Now())
		r := startServer(t, func(o *Options, r *testServer) {
			o.Targets = func(service string) []api.TargetState {
				return []api.TargetState{{Service: service, Target: "a", State: api.TargetStateStateServing}}
			}
			o.RefusedEntries = func() []api.RefusedEntry { return []api.RefusedEntry{{Key: "k", Reason: "no slots"}} }
			o.Flows = func(int) []api.Flow { return make([]api.Flow, 5) }
			o.Drain = func() { r.drains.Add(1) }
			o.Burn = BurnSource(counts, "p", "a", time.Unix(1_790_000_000, 0))
		})
		client := r.client(t)
		status, err := client.GetStatus(ctx)
		is.NoErr(err)
		is.Equal(status.Process, "p")
		targets, err := client.ListTargets(ctx, api.ListTargetsParams{Service: api.NewOptString("s")})
		is.NoErr(err)
		is.Equal(targets[0].Service, "s")
		refused, err := client.ListRefusedEntries(ctx)
		is.NoErr(err)
		is.Equal(refused, []api.RefusedEntry{{Key: "k", Reason: "no slots"}})
		flows, err := client.ListFlows(ctx, api.ListFlowsParams{Limit: api.NewOptInt(3)})
		is.NoErr(err)
		is.Equal(len(flows), 3)
		is.NoErr(client.StartDrain(ctx))
		is.Equal(r.drains.Load(), int32(1))
		burn, err := client.GetBurn(ctx, api.GetBurnParams{})
		is.NoErr(err)
		is.Equal(burn.Buckets[0].Broken, int64(1))
		is.Equal(burn.Events[0].Kind, api.BurnEventKindDrain)
		is.Equal(burn.Target.Value, "a")
	})
	t.Run("operations without a function return empty results", func(t *testing.T) {
		is := is.New(t)
		client := startServer(t, nil).client(t)
		targets, err := client.ListTargets(ctx, api.ListTargetsParams{})
		is.NoErr(err)
		is.Equal(len(targets), 0)
		refused, err := client.ListRefusedEntries(ctx)
		is.NoErr(err)
		is.Equal(len(refused), 0)
		burn, err := client.GetBurn(ctx, api.GetBurnParams{})
		is.NoErr(err)
		is.Equal(burn.Process, "p")
		var problem *api.ProblemStatusCode
		is.True(errors.As(client.StartDrain(ctx), &problem))
		is.Equal(problem.StatusCode, http.StatusNotImplemented)
	})
	t.Run("a client without a certificate, or with one of another authority, is refused", func(t *testing.T) {
		is := is.New(t)
		r := startServer(t, func(o *Options, r *testServer) { o.Drain = func() { r.drains.Add(1) } })
		for _, client := range []*http.Client{r.httpClient(t), r.httpClient(t, newAuthority(t).issue(t))} {
			_, err := client.Post("https://"+r.address+"/v1/drain", "", nil)
			is.True(err != nil)
		}
		is.Equal(r.drains.Load(), int32(0))
	})
	t.Run("metrics and errors are served", func(t *testing.T) {
		is := is.New(t)
		r := startServer(t, nil)
		client := r.httpClient(t, r.authority.issue(t))
		for _, c := range []struct {
			path, content string
			code          int
		}{
			{"/metrics", "kingcupvalve_operator_requests_total", 200},
			{"/metrics", "kingcupvalve_certificate_expiry_seconds ", 200},
			{"/v1/none", "no such operation", 404},
			{"/v1/flows?limit=0", "limit", 400},
			{"/v1/drain", "allowed: POST", 405},
		} {
			answer, err := client.Get("https://" + r.address + c.path)
			is.NoErr(err)
			body, err := io.ReadAll(answer.Body)
			is.NoErr(err)
			is.NoErr(answer.Body.Close())
			is.Equal(answer.StatusCode, c.code)
			is.True(strings.Contains(string(body), c.content))
		}
	})
}

// TestNewServerRefusesOpenAccess guards against an operator API that any client
// without a certificate can use to drain the process.
func TestNewServerRefusesOpenAccess(t *testing.T) {
	_, err := NewServer(Options{TLS: &tls.Config{MinVersion: tls.VersionTLS13}, Status: func() api.Status { return api.Status{} }})
	is.New(t).True(err != nil)
}
