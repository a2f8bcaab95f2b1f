package agent

import (
	"cmp"
	"context"
	"net/http"
	"net/netip"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/ansel1/merry/v2"
	"github.com/quic-go/quic-go"
	"github.com/quic-go/quic-go/http3"

	"kingcupvalve.example/kingcupvalve/internal/drainer"
	"kingcupvalve.example/kingcupvalve/internal/listener"
)

type connectionKey struct{}

// connection is one open connection of a caller.
type connection struct {
	opened   time.Time
	running  atomic.Int64
	requests atomic.Uint64
	// bytesSent and idleSince are updated while the agent drains.
	bytesSent uint64
	idleSince time.Time
}

// Flow describes one open connection.
type Flow struct {
	caller    netip.AddrPort
	published netip.AddrPort
	opened    time.Time
	running   int
	requests  uint64
}

// Caller returns the caller's address.
func (f Flow) Caller() netip.AddrPort { return f.caller }

// Published returns the service address that the caller uses.
func (f Flow) Published() netip.AddrPort { return f.published }

// Opened returns the time when the handshake was complete.
func (f Flow) Opened() time.Time { return f.opened }

// Running returns the number of requests in flight.
func (f Flow) Running() int { return f.running }

// Requests returns the number of requests received so far.
func (f Flow) Requests() uint64 { return f.requests }

// Flows returns the open connections, ordered by the time they were opened.
func (a *Agent) Flows() []Flow {
	a.lock.Lock()
	defer a.lock.Unlock()
	flows := make([]Flow, 0, len(a.connections))
	for q, c := range a.connections {
		f := Flow{opened: c.opened, running: int(c.running.Load()), requests: c.requests.Load()}
		if address, ok := q.RemoteAddr().(listener.Address); ok {
			f.caller, f.published = address.Caller(), address.Published()
		}
		flows = append(flows, f)
	}
	slices.SortFunc(flows, func(x, y Flow) int {
		return cmp.Or(x.opened.Compare(y.opened), x.caller.Compare(y.caller))
	})
	return flows
}

func (a *Agent) newServer() *http3.Server {
	return &http3.Server{
		Handler:        http.HandlerFunc(a.serveHTTP),
		MaxHeaderBytes: a.options.HeaderBytes,
		ConnContext: func(ctx context.Context, q *quic.Conn) context.Context {
			a.lock.Lock()
			defer a.lock.Unlock()
			return context.WithValue(ctx, connectionKey{}, a.connections[q])
		},
	}
}

// serveHTTP serves one request of a caller.
func (a *Agent) serveHTTP(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path == drainer.Path && r.Method == http.MethodGet {
		a.drainer.ServeHTTP(w, r)
		return
	}
	if c, ok := r.Context().Value(connectionKey{}).(*connection); ok && c != nil {
		c.requests.Add(1)
		c.running.Add(1)
		defer c.running.Add(-1)
	}
	task := a.drainer.Begin(r.Context(), r.Method+" "+r.URL.Path)
	defer task.End()
	if context.Cause(task.Context()) == drainer.ErrClosed {
		panic(http.ErrAbortHandler) // not started, but an earlier attempt may have run
	}
	a.dispatcher.ServeHTTP(w, r.WithContext(task.Context()))
}

// accept serves connections until the context ends. It fails if the listener no
// longer accepts any.
func (a *Agent) accept(ctx context.Context, wait *sync.WaitGroup) error {
	for {
		q, err := a.quic.Accept(ctx)
		if ctx.Err() != nil {
			return nil
		}
		if err != nil {
			return merry.Prepend(err, "accept connections")
		}
		wait.Go(func() { a.serveConnection(ctx, q) })
	}
}

func (a *Agent) serveConnection(ctx context.Context, q *quic.Conn) {
	a.lock.Lock()
	a.connections[q] = &connection{opened: time.Now(), idleSince: time.Now()}
	a.lock.Unlock()
	defer func() {
		a.lock.Lock()
		defer a.lock.Unlock()
		delete(a.connections, q)
	}()
	// http3.Server sends no GOAWAY on a connection that it is given after its
	// shutdown, so such a connection is closed immediately.
	if a.goAwayStarted.Load() || ctx.Err() != nil {
		closeConnection(q, "agent is draining")
		return
	}
	if err := a.server.ServeQUICConn(q); err != nil {
		a.options.Logger.Debug().Err(err).Stringer("caller", q.RemoteAddr()).Msg("connection ended")
	}
	closeConnection(q, "")
}

func closeConnection(q *quic.Conn, reason string) {
	_ = q.CloseWithError(quic.ApplicationErrorCode(http3.ErrCodeNoError), reason)
}

// closeConnections closes all connections and sends the reason to their callers.
func (a *Agent) closeConnections(reason string) {
	a.lock.Lock()
	defer a.lock.Unlock()
	for q := range a.connections {
		closeConnection(q, reason)
	}
}
