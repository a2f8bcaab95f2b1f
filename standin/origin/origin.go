// Package origin is a minimal backend server for tests. A test sets how it
// responds, and the server counts the requests that it executed.
//
// # Usage
//
//	server := origin.NewServer("Kingcupvalve-Ticket")
//	defer server.Close()
//	server.SetBehaviour(func(w http.ResponseWriter, r *http.Request, run func()) { run() })
//	if server.Runs(ticket) > 1 {
//		t.Fatal("request ran twice")
//	}
package origin

import (
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"sync"
)

// Behaviour responds to a request. It calls run if it executes the request.
type Behaviour func(w http.ResponseWriter, r *http.Request, run func())

// Server is a backend server on loopback.
type Server struct {
	*httptest.Server
	keyHeader string

	lock sync.Mutex
	// runs counts executions by the value of the key header, or by path for
	// requests without it.
	runs   map[string]int
	header http.Header
	behave Behaviour
}

// NewServer returns a started server that counts executions by the value of a
// header. Until SetBehaviour is called it executes every request and echoes
// method, path and body.
func NewServer(keyHeader string) *Server {
	s := &Server{keyHeader: keyHeader, runs: make(map[string]int)}
	s.Server = httptest.NewServer(s)
	return s
}

// ServeHTTP answers one request.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	key := r.Header.Get(s.keyHeader)
	if key == "" {
		key = r.URL.Path
	}
	s.lock.Lock()
	s.header = r.Header.Clone()
	behave := s.behave
	s.lock.Unlock()
	// net/http cancels the context of a disconnected client only once the body
	// has been read.
	content, _ := io.ReadAll(r.Body)
	run := func() {
		s.lock.Lock()
		defer s.lock.Unlock()
		s.runs[key]++
	}
	if behave == nil {
		run()
		fmt.Fprintf(w, "%s %s %s", r.Method, r.URL.Path, content)
		return
	}
	behave(w, r, run)
}

// SetBehaviour replaces the behaviour of the server.
func (s *Server) SetBehaviour(behave Behaviour) {
	s.lock.Lock()
	defer s.lock.Unlock()
	s.behave = behave
}

// Header returns the header of the last request.
func (s *Server) Header() http.Header {
	s.lock.Lock()
	defer s.lock.Unlock()
	return s.header
}

// Runs returns the number of executions for a value of the key header.
func (s *Server) Runs(key string) int {
	s.lock.Lock()
	defer s.lock.Unlock()
	return s.runs[key]
}

// Total returns the number of executions of all requests.
func (s *Server) Total() int {
	s.lock.Lock()
	defer s.lock.Unlock()
	total := 0
	for _, n := range s.runs {
		total += n
	}
	return total
}
