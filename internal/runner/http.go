package runner

import (
	"context"
	"errors"
	"net"
	"net/http"
	"net/netip"
	"time"

	"github.com/ansel1/merry/v2"
	"golang.org/x/sync/errgroup"

	"kingcupvalve.example/kingcupvalve/internal/meter"
)

// serveHTTP serves the readiness check, and the metrics if the settings have an
// address for them.
func (r *Runner) serveHTTP(ctx context.Context) error {
	ready := http.NewServeMux()
	ready.HandleFunc("GET "+r.platform.ReadyPath, r.serveReady)
	var group errgroup.Group
	group.Go(func() error { return serve(ctx, r.settings.Packets().ReadyAddress(), ready) })
	if address := r.settings.Packets().MetricsAddress(); address.IsValid() {
		mux := http.NewServeMux()
		mux.Handle("GET /metrics", meter.Handler())
		group.Go(func() error { return serve(ctx, address, mux) })
	}
	return group.Wait()
}

func serve(ctx context.Context, address netip.AddrPort, handler http.Handler) error {
	listener, err := net.Listen("tcp", address.String())
	if err != nil {
		return merry.Prepend(err, "listen for http")
	}
	server := &http.Server{Handler: handler, ReadHeaderTimeout: time.Second}
	stop := context.AfterFunc(ctx, func() { _ = server.Close() })
	defer stop()
	if err := server.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
		return merry.Prepend(err, "serve http")
	}
	return nil
}

func (r *Runner) serveReady(w http.ResponseWriter, _ *http.Request) {
	if r.isStopping.Load() || r.isIsolated.Load() || !r.follower.IsReady() {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	w.WriteHeader(http.StatusOK)
}
