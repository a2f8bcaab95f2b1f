// Package operator serves the operator API of one process (api/operator.yaml)
// and its metrics over mutual TLS on the operator address.
//
// The state comes from the functions in Options, of which balancers and agents set
// those that they support. Without its function, a list operation returns an empty
// list and a drain is refused with status 501.
//
// # Usage
//
//	server, err := operator.NewServer(operator.Options{
//		TLS:    config,
//		Logger: log,
//		Status: func() api.Status { ... },
//		Burn:   operator.BurnSource(recorder, "howrah-saw-3", "saw-3", startedAt),
//		Drain:  requestDrain,
//	})
//	listener, err := net.Listen("tcp", settings.OperatorAddress().String())
//	err = server.Serve(ctx, listener)
package operator

import (
	"context"
	"crypto/tls"
	"errors"
	"net"
	"net/http"
	"strconv"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/ansel1/merry/v2"
	"github.com/ogen-go/ogen/ogenerrors"
	"github.com/rs/zerolog"
	"golang.org/x/net/netutil"

	api "kingcupvalve.example/kingcupvalve/internal/api/operator"
	"kingcupvalve.example/kingcupvalve/internal/meter"
)

const (
	// maxConnections limits the connections of tools and metric scrapers.
	maxConnections = 64
	// readTimeout, writeTimeout and idleTimeout close the connections of clients
	// that hang.
	readTimeout  = 10 * time.Second
	writeTimeout = 30 * time.Second
	idleTimeout  = 2 * time.Minute
	// stopTimeout limits the wait for requests in progress when the process
	// stops.
	stopTimeout = 2 * time.Second
	// maxHeaderBytes limits the request headers; no operation has a body.
	maxHeaderBytes = 16 << 10
)

// Options configures a server. TLS and Status are required.
type Options struct {
	// TLS must require and verify client certificates.
	TLS    *tls.Config
	Logger zerolog.Logger
	// Status returns the state of the process.
	Status func() api.Status
	// Targets returns the targets of a service, or of all services if service is
	// empty.
	Targets func(service string) []api.TargetState
	// RefusedEntries returns the entries of the platform that name no target to use.
	RefusedEntries func() []api.RefusedEntry
	// Flows returns at most limit flows.
	Flows func(limit int) []api.Flow
	// Burn returns the outcome buckets and events since a time.
	Burn func(since time.Time) api.Burn
	// Drain starts a graceful shutdown and returns immediately.
	Drain func()
}

// Server serves the operator API of one process.
type Server struct {
	options Options
	server  *http.Server
}

var (
	requests      = metrics.GetOrCreateCounter("kingcupvalve_operator_requests_total")
	failures      = metrics.GetOrCreateCounter("kingcupvalve_operator_failures_total")
	drainRequests = metrics.GetOrCreateCounter("kingcupvalve_operator_drains_total")
)

// NewServer returns a server. It fails if the TLS configuration accepts clients
// without a certificate, because every accepted client may drain the process.
func NewServer(o Options) (*Server, error) {
	if o.TLS == nil || o.TLS.ClientAuth != tls.RequireAndVerifyClientCert {
		return nil, merry.New("build operator API: TLS must require and verify client certificates")
	}
	if o.Status == nil {
		return nil, merry.New("build operator API: no status function")
	}
	// Clones the configuration because net/http adds HTTP/2 to it, and it may be
	// shared with other listeners.
	o.TLS = o.TLS.Clone()
	registerCertificateExpiry(o.TLS)
	s := &Server{options: o}
	routes, err := api.NewServer(&handler{options: o}, api.WithErrorHandler(s.writeError),
		api.WithNotFound(func(w http.ResponseWriter, _ *http.Request) {
			s.writeProblem(w, http.StatusNotFound, "no such operation")
		}),
		api.WithMethodNotAllowed(func(w http.ResponseWriter, _ *http.Request, allowed string) {
			w.Header().Set("Allow", allowed)
			s.writeProblem(w, http.StatusMethodNotAllowed, "method not allowed; allowed: "+allowed)
		}))
	if err != nil {
		return nil, merry.Prepend(err, "build operator API")
	}
	mux := http.NewServeMux()
	mux.Handle("GET /metrics", meter.Handler())
	mux.Handle("/", routes)
	s.server = &http.Server{
		Handler: countRequests(mux), TLSConfig: o.TLS, ReadTimeout: readTimeout, WriteTimeout: writeTimeout,
		IdleTimeout: idleTimeout, MaxHeaderBytes: maxHeaderBytes, ErrorLog: newErrorLog(o.Logger),
	}
	return s, nil
}

// registerCertificateExpiry registers a metric with the end of the certificate's
// validity, since operators cannot reach a process whose certificate has expired.
func registerCertificateExpiry(config *tls.Config) {
	if len(config.Certificates) == 0 || config.Certificates[0].Leaf == nil {
		return
	}
	end := float64(config.Certificates[0].Leaf.NotAfter.Unix())
	metrics.GetOrCreateGauge("kingcupvalve_certificate_expiry_seconds", func() float64 { return end })
}

// Serve answers requests on a listener until the context is cancelled, and closes
// the listener. It returns nil if it was stopped by the context.
func (s *Server) Serve(ctx context.Context, listener net.Listener) error {
	stopped := make(chan struct{})
	defer func() { <-stopped }()
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	go func() {
		defer close(stopped)
		<-ctx.Done()
		stopContext, cancel := context.WithTimeout(context.Background(), stopTimeout)
		defer cancel()
		if err := s.server.Shutdown(stopContext); err != nil {
			s.options.Logger.Warn().Err(err).Msg("failed to finish operator requests before the stop timeout")
			_ = s.server.Close()
		}
	}()
	s.options.Logger.Info().Stringer("operator_address", listener.Addr()).Msg("operator API serving")
	err := s.server.ServeTLS(netutil.LimitListener(listener, maxConnections), "", "")
	if errors.Is(err, http.ErrServerClosed) {
		return nil
	}
	return merry.Prepend(err, "serve operator API")
}

func countRequests(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		requests.Inc()
		next.ServeHTTP(w, r)
	})
}

// writeError responds to a request with invalid parameters.
func (s *Server) writeError(_ context.Context, w http.ResponseWriter, _ *http.Request, err error) {
	s.writeProblem(w, ogenerrors.ErrorCode(err), err.Error())
}

func (s *Server) writeProblem(w http.ResponseWriter, code int, message string) {
	failures.Inc()
	content, err := (&api.Problem{Message: message}).MarshalJSON()
	if err != nil {
		http.Error(w, message, code)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Content-Length", strconv.Itoa(len(content)))
	w.WriteHeader(code)
	if _, err := w.Write(content); err != nil {
		s.options.Logger.Debug().Err(err).Msg("failed to write operator response")
	}
}
