// Package backend is a simulated backend server for tests and the demo.
//
// It executes requests on a fixed number of slots at a configurable speed,
// records every request that it executed, streams a feed, and serves the health
// and load endpoints of api/backend.yaml. Tests can set a health state that does
// not match the behaviour of the server.
//
// # Usage
//
//	server := backend.NewServer(backend.Options{Service: "cutlist-svc", Name: "cutlist-1", Slots: 2})
//	handler, err := server.Handler()
//	err = http.Serve(listener, handler)
package backend

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"sync"
	"time"

	api "kingcupvalve.example/kingcupvalve/internal/api/backend"
)

// Headers of the protocol between agent and backend server.
const (
	HeaderDeadline = "Kingcupvalve-Deadline-Ms"
	HeaderTicket   = "Kingcupvalve-Ticket"
	HeaderOutcome  = "Kingcupvalve-Outcome"
	// HeaderIntendedService is the service that the caller addressed, so that
	// the record shows a request that was routed to another service.
	HeaderIntendedService = "Demo-Service"
	// HeaderRequestID is the ID that the caller gave the request.
	HeaderRequestID = "Demo-Request-Id"
	// HeaderDigest is the SHA-256 of the whole response body in hexadecimal.
	HeaderDigest = "Demo-Sha256"
)

// Record describes one request that the server started to execute.
type Record struct {
	Service         string `json:"service"`
	IntendedService string `json:"intended_service"`
	Target          string `json:"target"`
	RequestID       string `json:"request_id"`
	Ticket          string `json:"ticket"`
	Method          string `json:"method"`
	Path            string `json:"path"`
	StartedUnixMs   int64  `json:"started_unix_ms"`
	Completed       bool   `json:"completed"`
}

// Controls are faults and states that tests set with PUT /controlz.
type Controls struct {
	// HealthState is the state that /healthz returns, regardless of the other
	// controls.
	HealthState string `json:"health_state"`
	// Draining refuses new requests and feeds with the outcome not_run.
	Draining bool `json:"draining"`
	// Shedding refuses new requests with the outcome not_run and is reported by
	// /loadz.
	Shedding bool `json:"shedding"`
	// FailAll answers every request with status 500 after executing it.
	FailAll bool `json:"fail_all"`
	// SlowdownFactor multiplies the run time of every request; 0 means 1.
	SlowdownFactor float64 `json:"slowdown_factor"`
	// ColdUntilUnixMs is the end of a simulated cold start. Until then requests
	// take coldFactor times as long.
	ColdUntilUnixMs int64 `json:"cold_until_unix_ms"`
}

// Options configures a backend server.
type Options struct {
	Service string
	Name    string
	// Slots is the number of requests that run at once.
	Slots int
	// QueueLimit is the number of requests that may wait for a slot.
	QueueLimit int
	// ShortTime and LongTime are the run times at speed 1.
	ShortTime time.Duration
	LongTime  time.Duration
	// Speed divides the run times; 0 means 1.
	Speed float64
	// FeedEpoch and FeedInterval define the time of event n, so that all servers
	// of a service stream the same sequence.
	FeedEpoch    time.Time
	FeedInterval time.Duration
	// BundleBytes is the size of the response to a long request.
	BundleBytes int
}

// coldFactor multiplies run times during a cold start.
const coldFactor = 4

// Server is a backend server stand-in.
type Server struct {
	options Options
	slots   chan struct{}

	mu       sync.Mutex
	controls Controls
	records  []*Record
	queued   int
	running  int
}

// NewServer returns a server with defaults for the options left at zero.
func NewServer(options Options) *Server {
	if options.Slots == 0 {
		options.Slots = 2
	}
	if options.QueueLimit == 0 {
		options.QueueLimit = 8
	}
	if options.ShortTime == 0 {
		options.ShortTime = 5 * time.Millisecond
	}
	if options.LongTime == 0 {
		options.LongTime = 150 * time.Millisecond
	}
	if options.Speed == 0 {
		options.Speed = 1
	}
	if options.FeedInterval == 0 {
		options.FeedInterval = 50 * time.Millisecond
	}
	if options.BundleBytes == 0 {
		options.BundleBytes = 256 << 10
	}
	return &Server{
		options:  options,
		slots:    make(chan struct{}, options.Slots),
		controls: Controls{HealthState: string(api.HealthStateServing)},
	}
}

// Handler returns the HTTP handler of the server.
func (s *Server) Handler() (http.Handler, error) {
	health, err := api.NewServer(s)
	if err != nil {
		return nil, fmt.Errorf("create server for health and load endpoints: %w", err)
	}
	mux := http.NewServeMux()
	mux.Handle("GET /healthz", health)
	mux.Handle("GET /loadz", health)
	mux.HandleFunc("GET /recordz", s.serveRecords)
	mux.HandleFunc("PUT /controlz", s.serveControls)
	mux.HandleFunc("GET /feed", s.serveFeed)
	mux.HandleFunc("POST /amendments", func(w http.ResponseWriter, r *http.Request) {
		s.serveWork(w, r, s.options.ShortTime, 64)
	})
	mux.HandleFunc("GET /sheets/{id}", func(w http.ResponseWriter, r *http.Request) {
		s.serveWork(w, r, s.options.ShortTime, 4<<10)
	})
	mux.HandleFunc("GET /bundles/{id}", func(w http.ResponseWriter, r *http.Request) {
		s.serveWork(w, r, s.options.LongTime, s.options.BundleBytes)
	})
	return mux, nil
}

// GetHealth answers the health endpoint with the state set by the controls.
func (s *Server) GetHealth(context.Context) (api.GetHealthRes, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	state := api.HealthState(s.controls.HealthState)
	if state == api.HealthStateFailing {
		return &api.GetHealthServiceUnavailable{State: state}, nil
	}
	return &api.GetHealthOK{State: state}, nil
}

// GetLoad answers the load endpoint.
func (s *Server) GetLoad(context.Context) (*api.Load, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return &api.Load{
		Slots: int32(s.options.Slots), Running: int32(s.running), Queued: int32(s.queued), Shedding: s.controls.Shedding,
	}, nil
}

// Records returns a copy of the records in the order of execution.
func (s *Server) Records() []Record {
	s.mu.Lock()
	defer s.mu.Unlock()
	records := make([]Record, len(s.records))
	for i, r := range s.records {
		records[i] = *r
	}
	return records
}

// SetControls replaces the controls.
func (s *Server) SetControls(controls Controls) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.controls = controls
}

func (s *Server) serveRecords(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Type", "application/json")
	if err := json.NewEncoder(w).Encode(s.Records()); err != nil {
		panic(http.ErrAbortHandler)
	}
}

func (s *Server) serveControls(w http.ResponseWriter, r *http.Request) {
	var controls Controls
	if err := json.NewDecoder(r.Body).Decode(&controls); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	s.SetControls(controls)
}

// serveWork executes one request on a slot. The response body is derived from
// the request ID and payload, so that a caller can detect a response to another
// request.
func (s *Server) serveWork(w http.ResponseWriter, r *http.Request, runTime time.Duration, size int) {
	payload, err := io.ReadAll(r.Body)
	if err != nil {
		refuse(w, "read request body")
		return
	}
	ctx, cancel := newRequestContext(r)
	defer cancel()
	if reason := s.enqueue(); reason != "" {
		refuse(w, reason)
		return
	}
	select {
	case s.slots <- struct{}{}:
		s.dequeue()
	case <-ctx.Done():
		s.dequeue()
		refuse(w, "deadline passed in queue")
		return
	}
	defer func() { <-s.slots }()
	if ctx.Err() != nil {
		refuse(w, "deadline passed in queue")
		return
	}
	record := s.recordStart(r)
	finished := s.run(ctx, runTime)
	s.recordEnd(record, finished)
	if !finished {
		http.Error(w, "cancelled while running", http.StatusGatewayTimeout)
		return
	}
	if s.currentControls().FailAll {
		http.Error(w, "internal failure", http.StatusInternalServerError)
		return
	}
	body := ResponseBody(r.Header.Get(HeaderRequestID), payload, size)
	sum := sha256.Sum256(body)
	w.Header().Set(HeaderDigest, hex.EncodeToString(sum[:]))
	w.Header().Set(HeaderRequestID, r.Header.Get(HeaderRequestID))
	w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	if _, err := w.Write(body); err != nil {
		panic(http.ErrAbortHandler)
	}
}

// ResponseBody returns the response body of size bytes that belongs to a
// request.
func ResponseBody(requestID string, payload []byte, size int) []byte {
	seed := sha256.Sum256(append([]byte(requestID+"|"), payload...))
	body := make([]byte, 0, size+len(seed))
	for len(body) < size {
		body = append(body, seed[:]...)
	}
	return body[:size]
}

func newRequestContext(r *http.Request) (context.Context, context.CancelFunc) {
	ms, err := strconv.ParseInt(r.Header.Get(HeaderDeadline), 10, 64)
	if err != nil {
		return context.WithCancel(r.Context())
	}
	return context.WithTimeout(r.Context(), time.Duration(ms)*time.Millisecond)
}

func refuse(w http.ResponseWriter, reason string) {
	w.Header().Set(HeaderOutcome, "not_run")
	w.Header().Set("Retry-After", "1")
	http.Error(w, reason, http.StatusServiceUnavailable)
}

func (s *Server) enqueue() (reason string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	switch {
	case s.controls.Draining:
		return "draining"
	case s.controls.Shedding:
		return "shedding"
	case s.queued >= s.options.QueueLimit:
		return "queue full"
	}
	s.queued++
	return ""
}

func (s *Server) dequeue() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.queued--
}

func (s *Server) recordStart(r *http.Request) *Record {
	record := &Record{
		Service: s.options.Service, IntendedService: r.Header.Get(HeaderIntendedService), Target: s.options.Name,
		RequestID: r.Header.Get(HeaderRequestID), Ticket: r.Header.Get(HeaderTicket),
		Method: r.Method, Path: r.URL.Path, StartedUnixMs: time.Now().UnixMilli(),
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.records = append(s.records, record)
	s.running++
	return record
}

func (s *Server) recordEnd(record *Record, finished bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	record.Completed = finished
	s.running--
}

func (s *Server) run(ctx context.Context, runTime time.Duration) (finished bool) {
	controls := s.currentControls()
	factor := 1 / s.options.Speed
	if controls.SlowdownFactor > 0 {
		factor *= controls.SlowdownFactor
	}
	if time.Now().UnixMilli() < controls.ColdUntilUnixMs {
		factor *= coldFactor
	}
	timer := time.NewTimer(time.Duration(float64(runTime) * factor))
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}

func (s *Server) currentControls() Controls {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.controls
}
