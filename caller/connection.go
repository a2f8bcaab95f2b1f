package caller

import (
	"context"
	"errors"
	"net/http"
	"sync"
	"time"

	"github.com/quic-go/quic-go"
	"github.com/quic-go/quic-go/http3"
)

// minDrainAge is the age that a connection must reach before a drain notice
// replaces it. It limits the rate of handshakes when every agent drains.
const minDrainAge = time.Second

// goAwayCheckInterval is the interval of checks for GOAWAY; the http3 package
// has no callback for it.
const goAwayCheckInterval = 50 * time.Millisecond

// connection is a QUIC connection with a reference count.
type connection struct {
	client *Client
	quic   *quic.Conn
	http   *http3.ClientConn
	// retiring is closed when the connection is retired: its agent drains, or a
	// newer connection has replaced it.
	retiring chan struct{}
	opened   time.Time

	mutex   sync.Mutex
	retired bool
	refs    int
}

func (c *Client) newConnection(conn *quic.Conn) *connection {
	n := &connection{client: c, quic: conn, http: c.http.NewClientConn(conn), retiring: make(chan struct{}), opened: time.Now()}
	c.workers.Go(n.watch)
	c.workers.Go(n.awaitDrain)
	return n
}

// isAlive reports whether the connection has not been lost or closed.
func (n *connection) isAlive() bool { return n.quic.Context().Err() == nil }

// isRetired reports whether new requests should use another connection.
func (n *connection) isRetired() bool {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	return n.retired
}

// retain adds a reference, which keeps the connection open.
func (n *connection) retain() {
	n.mutex.Lock()
	n.refs++
	n.mutex.Unlock()
}

// release drops a reference. A retired connection is closed with its last one.
func (n *connection) release() {
	n.mutex.Lock()
	n.refs--
	isDone := n.retired && n.refs == 0
	n.mutex.Unlock()
	if isDone {
		n.closeWhenReplaced()
	}
}

// retire stops new requests on the connection and closes it once it has no
// references.
func (n *connection) retire() {
	n.mutex.Lock()
	if !n.retired {
		n.retired = true
		close(n.retiring)
	}
	isDone := n.refs == 0
	n.mutex.Unlock()
	if isDone {
		n.closeWhenReplaced()
	}
}

// closeWhenReplaced closes the connection if another is the current one. A
// retired connection without a replacement stays open, since requests fall back
// to it when no other can be opened.
func (n *connection) closeWhenReplaced() {
	n.client.mutex.Lock()
	isCurrent := n.client.current == n
	n.client.mutex.Unlock()
	if isCurrent {
		return
	}
	// Only the current connection gets new references, so an unreferenced one
	// stays unreferenced from here on.
	n.mutex.Lock()
	isIdle := n.refs == 0
	n.mutex.Unlock()
	if isIdle {
		n.close()
	}
}

func (n *connection) close() {
	_ = n.http.CloseWithError(quic.ApplicationErrorCode(http3.ErrCodeNoError), "")
}

// replace retires the connection and starts to dial the next one. Running
// requests go on.
func (n *connection) replace(reason string) {
	n.client.options.Logger.Debug().Str("reason", reason).Msg("replacing connection")
	n.retire()
	n.client.mutex.Lock()
	if !n.client.closed && n.client.current == n {
		n.client.startDialing()
	}
	n.client.mutex.Unlock()
}

// watch polls for GOAWAY until the connection ends.
func (n *connection) watch() {
	ticker := time.NewTicker(goAwayCheckInterval)
	defer ticker.Stop()
	for {
		select {
		case <-n.client.ctx.Done():
			n.close()
			return
		case <-n.quic.Context().Done():
			n.client.options.Logger.Debug().Err(context.Cause(n.quic.Context())).Msg("connection ended")
			return
		case <-ticker.C:
			if !n.isRetired() && n.hasGoAway() {
				n.replace("goaway")
			}
		}
	}
}

// hasGoAway reports whether the agent has sent GOAWAY. Called with a cancelled
// context, OpenRequestStream opens no stream; it returns the error for GOAWAY if
// one has arrived, and otherwise that of the context.
func (n *connection) hasGoAway() bool {
	ended, cancel := context.WithCancel(context.Background())
	cancel()
	_, err := n.http.OpenRequestStream(ended)
	return err != nil && !errors.Is(err, context.Canceled) && n.isAlive()
}

// awaitDrain sends a long poll that the agent answers when it starts to drain,
// and replaces the connection after that.
func (n *connection) awaitDrain() {
	ctx, cancel := context.WithCancel(n.quic.Context())
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, n.client.url(DrainPath), nil)
	if err != nil {
		return
	}
	response, err := n.http.RoundTrip(request)
	if err != nil {
		return
	}
	_ = response.Body.Close()
	if response.StatusCode != http.StatusOK || sleep(ctx, minDrainAge-time.Since(n.opened)) != nil {
		return
	}
	n.replace("drain notice")
}

// url returns the absolute URL of a path of the service.
func (c *Client) url(path string) string { return "https://" + c.options.Authority + path }
