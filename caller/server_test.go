package caller

import (
	"context"
	"net/http"
	"testing"
	"time"

	"github.com/quic-go/quic-go"
	"github.com/quic-go/quic-go/http3"

	"kingcupvalve.example/kingcupvalve/standin/responder"
)

const testTimeout = 20 * time.Second

// agent stands for the agents of a service.
type agent struct {
	*responder.Server
	t *testing.T
}

func newAgent(t *testing.T) (*agent, Options) {
	t.Helper()
	server, trust := responder.NewServer(testTimeout)
	a := &agent{Server: server, t: t}
	a.start()
	t.Cleanup(a.Kill)
	return a, Options{Address: a.Address(), TLS: trust}
}

func (a *agent) start() {
	a.t.Helper()
	if err := a.Start(); err != nil {
		a.t.Fatal(err)
	}
}

func dial(t *testing.T, options Options) *Client {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	defer cancel()
	c, err := Dial(ctx, options)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		if err := c.Close(); err != nil {
			t.Error(err)
		}
	})
	return c
}

func do(t *testing.T, c *Client, r *http.Request) (*Result, error) {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	t.Cleanup(cancel)
	return c.Do(ctx, r)
}

// reject resets a request with H3_REQUEST_REJECTED.
func reject(w http.ResponseWriter) {
	s, err := w.(http3.HTTPStreamer).HTTPStream()
	if err != nil {
		panic(err)
	}
	s.CancelRead(quic.StreamErrorCode(http3.ErrCodeRequestRejected))
	s.CancelWrite(quic.StreamErrorCode(http3.ErrCodeRequestRejected))
}
