// Package responder is a test double of the agents of a service: an HTTP/3
// server on loopback. It can be killed without closing its connections and
// started again at the same address, which simulates another agent that takes
// over.
//
// # Usage
//
//	server, trust := responder.NewServer(time.Minute)
//	server.Handle("/sheet", answer)
//	err := server.Start()
//	defer server.Kill()
package responder

import (
	"context"
	"crypto/tls"
	"net"
	"net/http"
	"net/http/httptest"
	"sync"
	"time"

	"github.com/ansel1/merry/v2"
	"github.com/quic-go/quic-go"
	"github.com/quic-go/quic-go/http3"
)

// Server is an HTTP/3 server that can be killed and restarted.
type Server struct {
	tls     *tls.Config
	mux     *http.ServeMux
	address *net.UDPAddr
	reset   quic.StatelessResetKey
	idle    time.Duration

	mutex     sync.Mutex
	transport *quic.Transport
	conns     []*quic.Conn
	// servers has one server for each connection, so that a test can send
	// GOAWAY on a single one.
	servers []*http3.Server
	done    chan struct{}
}

// NewServer returns a server that is not started, and the TLS configuration of a
// client that trusts it. Idle is the idle timeout of connections.
func NewServer(idle time.Duration) (*Server, *tls.Config) {
	certificates := httptest.NewTLSServer(nil)
	defer certificates.Close()
	client := certificates.Client().Transport.(*http.Transport).TLSClientConfig
	return &Server{
		tls: http3.ConfigureTLSConfig(&tls.Config{Certificates: certificates.TLS.Certificates}),
		mux: http.NewServeMux(), address: &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)}, idle: idle,
	}, &tls.Config{RootCAs: client.RootCAs, ServerName: "example.com"}
}

// Address returns the address of the server once it has been started.
func (s *Server) Address() string { return s.address.String() }

// Handle registers the handler of a path.
func (s *Server) Handle(path string, answer http.HandlerFunc) { s.mux.HandleFunc(path, answer) }

// Start listens at the address of the previous start, or at a free one.
func (s *Server) Start() error {
	udp, err := net.ListenUDP("udp4", s.address)
	if err != nil {
		return merry.Prepend(err, "listen on loopback")
	}
	s.address = udp.LocalAddr().(*net.UDPAddr)
	socket := newSocket(udp)
	transport := &quic.Transport{Conn: socket, StatelessResetKey: &s.reset, ConnectionIDGenerator: socket}
	listener, err := transport.Listen(s.tls, &quic.Config{MaxIdleTimeout: s.idle})
	if err != nil {
		return merry.Prepend(err, "listen for connections")
	}
	done := make(chan struct{})
	go func() {
		defer close(done)
		s.accept(listener)
	}()
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.transport, s.done = transport, done
	return nil
}

func (s *Server) accept(listener *quic.Listener) {
	var conns sync.WaitGroup
	defer conns.Wait()
	for {
		conn, err := listener.Accept(context.Background())
		if err != nil {
			return
		}
		s.mutex.Lock()
		server := &http3.Server{Handler: s.mux}
		s.conns, s.servers = append(s.conns, conn), append(s.servers, server)
		s.mutex.Unlock()
		conns.Go(func() { _ = server.ServeQUICConn(conn) })
	}
}

// Kill stops the server without sending CONNECTION_CLOSE to its clients.
func (s *Server) Kill() {
	s.mutex.Lock()
	transport, done := s.transport, s.done
	s.conns, s.servers = nil, nil
	s.mutex.Unlock()
	_ = transport.Conn.Close()
	_ = transport.Close()
	<-done
}

// ChangeResetKey replaces the stateless reset key, so that the server cannot
// reset connections of its earlier starts.
func (s *Server) ChangeResetKey() { s.reset[0]++ }

// Connections returns the number of connections since the start.
func (s *Server) Connections() int {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return len(s.conns)
}

// FirstConnection returns the first connection and its HTTP/3 server.
func (s *Server) FirstConnection() (*quic.Conn, *http3.Server) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.conns[0], s.servers[0]
}
