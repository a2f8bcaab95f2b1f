package operator

import (
	"context"
	"net"
	"net/netip"

	"github.com/ansel1/merry/v2"

	"kingcupvalve.example/kingcupvalve/internal/parser"
)

// Endpoint is a server with its bound listener.
type Endpoint struct {
	server   *Server
	listener net.Listener
}

// NewEndpoint loads the TLS files and binds the address. The configuration of the
// files replaces Options.TLS.
func NewEndpoint(ctx context.Context, address netip.AddrPort, files parser.TLSFiles, o Options) (*Endpoint, error) {
	var err error
	if o.TLS, err = files.ServerConfig(); err != nil {
		return nil, err
	}
	server, err := NewServer(o)
	if err != nil {
		return nil, err
	}
	var config net.ListenConfig
	listener, err := config.Listen(ctx, "tcp", address.String())
	if err != nil {
		return nil, merry.Prepend(err, "listen for operators")
	}
	return &Endpoint{server: server, listener: listener}, nil
}

// Serve answers requests until the context is cancelled.
func (e *Endpoint) Serve(ctx context.Context) error { return e.server.Serve(ctx, e.listener) }
