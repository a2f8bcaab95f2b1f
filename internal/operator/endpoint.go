package operator

import (
	"context"
	"net"
	"net/netip"

	"github.com/ansel1/merry/v2"

	"kingcupvalve.example/kingcupvalve/internal/parser"
)

// Endpoint is a server with the address that it is bound to.
type Endpoint struct {
	server   *Server
	listener net.Listener
}

// NewEndpoint loads the TLS files and binds the address. The files take the
// place of Options.TLS.
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

// Serve answers until the context ends.
func (e *Endpoint) Serve(ctx context.Context) error { return e.server.Serve(ctx, e.listener) }
