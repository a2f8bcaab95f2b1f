package caller

import (
	"context"
	"crypto/tls"
	"errors"
	"net"
	"sync"
	"time"

	"github.com/ansel1/merry/v2"
	"github.com/quic-go/quic-go"
	"github.com/quic-go/quic-go/http3"
	"golang.org/x/time/rate"
)

// maxHandshakes is the limit of concurrent handshakes for one connection.
const maxHandshakes = 4

// Client sends requests to one published address. It is safe for concurrent
// use. New requests go to its current connection; older connections stay open
// until their requests have ended.
type Client struct {
	options   Options
	remote    *net.UDPAddr
	socket    *net.UDPConn
	transport *quic.Transport
	http      *http3.Transport
	retries   *rate.Limiter
	// attempt makes one attempt of a request. Tests replace it.
	attempt func(ctx context.Context, r *request, body []byte) *attempt
	ctx     context.Context
	cancel  context.CancelFunc
	workers sync.WaitGroup

	mutex   sync.Mutex
	current *connection
	dialing *dialing
	closed  bool
}

// dialing is a dial in progress. All goroutines that need a connection wait for
// the same one; err may be read once done is closed.
type dialing struct {
	done chan struct{}
	err  error
}

// Dial opens the first connection to a published address. The context bounds
// only this call.
func Dial(ctx context.Context, options Options) (*Client, error) {
	options, err := options.withDefaults()
	if err != nil {
		return nil, err
	}
	remote, err := net.ResolveUDPAddr("udp", options.Address)
	if err != nil {
		return nil, merry.Prepend(err, "resolve published address")
	}
	socket, err := net.ListenUDP("udp", nil)
	if err != nil {
		return nil, merry.Prepend(err, "open udp socket")
	}
	c := &Client{
		options: options, remote: remote, socket: socket,
		transport: &quic.Transport{Conn: socket, ConnectionIDLength: 8},
		// Bodies must arrive as the backend server sent them.
		http:    &http3.Transport{DisableCompression: true},
		retries: rate.NewLimiter(rate.Limit(options.RetryRate), options.RetryBurst),
	}
	c.attempt = c.send
	c.ctx, c.cancel = context.WithCancel(context.Background())
	conn, err := c.acquire(ctx)
	if err != nil {
		_ = c.Close()
		return nil, err
	}
	conn.release()
	return c, nil
}

// Close ends all connections, requests and feeds of the client.
func (c *Client) Close() error {
	c.mutex.Lock()
	c.closed = true
	c.mutex.Unlock()
	c.cancel()
	c.workers.Wait()
	if err := c.transport.Close(); err != nil {
		return merry.Prepend(err, "close quic transport")
	}
	if err := c.socket.Close(); err != nil {
		return merry.Prepend(err, "close udp socket")
	}
	return nil
}

// acquire returns the current connection, opening one if there is none or if
// the current one is retired. The connection must be released.
func (c *Client) acquire(ctx context.Context) (*connection, error) {
	for {
		c.mutex.Lock()
		if c.closed {
			c.mutex.Unlock()
			return nil, merry.Wrap(ErrClosed)
		}
		if conn := c.current; conn != nil && !conn.isRetired() && conn.isAlive() {
			conn.retain()
			c.mutex.Unlock()
			return conn, nil
		}
		d := c.startDialing()
		c.mutex.Unlock()
		select {
		case <-ctx.Done():
			return nil, merry.Prepend(context.Cause(ctx), "wait for connection")
		case <-d.done:
		}
		if d.err == nil {
			continue
		}
		// No new connection could be opened, so fall back to the retired one.
		c.mutex.Lock()
		conn := c.current
		if conn != nil && conn.isAlive() {
			conn.retain()
			c.mutex.Unlock()
			return conn, nil
		}
		c.mutex.Unlock()
		return nil, d.err
	}
}

// startDialing dials the next connection, or returns the dial in progress. The
// mutex must be held.
func (c *Client) startDialing() *dialing {
	if c.dialing != nil {
		return c.dialing
	}
	d := &dialing{done: make(chan struct{})}
	c.dialing = d
	c.workers.Go(func() {
		conn, err := c.open()
		c.mutex.Lock()
		c.dialing = nil
		previous := c.current
		if err == nil {
			c.current = conn
		}
		d.err = err
		c.mutex.Unlock()
		close(d.done)
		if err == nil && previous != nil {
			previous.retire()
		}
	})
	return d
}

// open makes one connection. Further handshakes start at intervals of
// Options.DialStagger until one succeeds, since each is likely to be routed to
// another target. The first to succeed wins; later ones are closed.
func (c *Client) open() (*connection, error) {
	ctx, cancel := context.WithTimeout(c.ctx, c.options.DialTimeout)
	defer cancel()
	type handshake struct {
		conn *quic.Conn
		err  error
	}
	results := make(chan handshake, maxHandshakes)
	pending := 0
	start := func() {
		pending++
		c.workers.Go(func() {
			conn, err := c.transport.Dial(ctx, c.remote, c.options.TLS, c.quicConfig())
			results <- handshake{conn, err}
		})
	}
	start()
	stagger := time.NewTicker(c.options.DialStagger)
	defer stagger.Stop()
	for started := 1; ; {
		select {
		case <-stagger.C:
			if started < maxHandshakes {
				started++
				start()
			}
		case h := <-results:
			pending--
			if h.err == nil {
				c.workers.Go(func() {
					for range pending {
						if extra := <-results; extra.err == nil {
							_ = extra.conn.CloseWithError(quic.ApplicationErrorCode(http3.ErrCodeNoError), "")
						}
					}
				})
				return c.newConnection(h.conn), nil
			}
			if pending == 0 && (started == maxHandshakes || isFinal(h.err) || ctx.Err() != nil) {
				return nil, merry.Prepend(h.err, "open connection")
			}
		}
	}
}

// isFinal reports whether another handshake would fail in the same way, for
// example because of an invalid certificate or a closed client.
func isFinal(err error) bool {
	var verification *tls.CertificateVerificationError
	var transport *quic.TransportError
	return errors.As(err, &verification) || errors.Is(err, quic.ErrTransportClosed) ||
		errors.As(err, &transport) && transport.ErrorCode.IsCryptoError()
}

func (c *Client) quicConfig() *quic.Config {
	return &quic.Config{
		HandshakeIdleTimeout: c.options.DialTimeout,
		MaxIdleTimeout:       c.options.IdleTimeout,
		KeepAlivePeriod:      c.options.KeepAlive,
	}
}
