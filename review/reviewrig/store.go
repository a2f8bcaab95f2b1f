package main

import (
	"encoding/json"
	"net"
	"net/http"
	"slices"
	"sort"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// storeItem is an item of the store as its answers show it.
type storeItem struct {
	Key      string `json:"key"`
	Value    []byte `json:"value,omitempty"`
	Revision uint64 `json:"revision"`
	Created  uint64 `json:"created"`
	IsGone   bool   `json:"isGone,omitempty"`
}

// store is the platform's store: it loses nothing and answers at once.
type store struct {
	lock     sync.Mutex
	changed  chan struct{}
	revision uint64
	items    map[string]storeItem
	history  []storeItem
}

func newStore() *store {
	return &store{revision: 100, items: map[string]storeItem{}, changed: make(chan struct{})}
}

// put writes a value and returns the time of the confirmation.
func (s *store) put(key string, value any) time.Time {
	b, err := json.Marshal(value)
	if err != nil {
		panic(err)
	}
	return s.write(storeItem{Key: key, Value: b})
}

func (s *store) write(i storeItem) time.Time {
	s.lock.Lock()
	defer s.lock.Unlock()
	s.revision++
	i.Revision, i.Created = s.revision, s.revision
	if known, ok := s.items[i.Key]; ok {
		i.Created = known.Created
	}
	s.items[i.Key] = i
	if i.IsGone {
		delete(s.items, i.Key)
	}
	s.history = append(s.history, i)
	close(s.changed)
	s.changed = make(chan struct{})
	return time.Now()
}

// endpoint is the path of one machine to the store.
type endpoint struct {
	store    *store
	isCut    atomic.Bool
	watching atomic.Int32
	reads    atomic.Int64
	url      string
	// told is called when an answer with changes leaves.
	told func(revision uint64)
	// confirmed gets a value when a watch ends without changes.
	confirmed chan struct{}
}

func (s *store) listen(host string, told func(revision uint64)) (*endpoint, error) {
	listener, err := net.Listen("tcp", net.JoinHostPort(host, "0"))
	if err != nil {
		return nil, err
	}
	e := &endpoint{store: s, url: "http://" + listener.Addr().String(), told: told, confirmed: make(chan struct{}, 1)}
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+names.RangePath, e.serveRange)
	mux.HandleFunc("GET "+names.WatchPath, e.serveWatch)
	go func() { _ = http.Serve(listener, mux) }()
	return e, nil
}

// answer writes an answer, or nothing while the path is cut.
func (e *endpoint) answer(w http.ResponseWriter, r *http.Request, body any) {
	if e.isCut.Load() {
		<-r.Context().Done()
		return
	}
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(body)
}

func (e *endpoint) serveRange(w http.ResponseWriter, r *http.Request) {
	const pageSize = 50
	query, s := r.URL.Query(), e.store
	e.reads.Add(1)
	s.lock.Lock()
	items, revision := []storeItem{}, s.revision
	for _, i := range s.items {
		if strings.HasPrefix(i.Key, query.Get("prefix")) && i.Key > query.Get("after") {
			items = append(items, i)
		}
	}
	s.lock.Unlock()
	sort.Slice(items, func(a, b int) bool { return items[a].Key < items[b].Key })
	e.answer(w, r, map[string]any{
		"items": items[:min(len(items), pageSize)], names.More: len(items) > pageSize, names.AnswerRevision: revision,
	})
}

func (e *endpoint) serveWatch(w http.ResponseWriter, r *http.Request) {
	query, s := r.URL.Query(), e.store
	after, _ := strconv.ParseUint(query.Get("after"), 10, 64)
	wait, _ := strconv.Atoi(query.Get("waitMs"))
	timer := time.NewTimer(time.Duration(wait) * time.Millisecond)
	defer timer.Stop()
	e.reads.Add(1)
	e.watching.Add(1)
	defer e.watching.Add(-1)
	for {
		s.lock.Lock()
		changed, revision := s.changed, s.revision
		events := slices.DeleteFunc(slices.Clone(s.history), func(i storeItem) bool {
			return i.Revision <= after || !strings.HasPrefix(i.Key, query.Get("prefix"))
		})
		s.lock.Unlock()
		if len(events) > 0 {
			if !e.isCut.Load() {
				e.told(revision)
			}
			e.answer(w, r, map[string]any{"events": events, names.AnswerRevision: revision})
			return
		}
		select {
		case <-changed:
		case <-timer.C:
			select {
			case e.confirmed <- struct{}{}:
			default:
			}
			e.answer(w, r, map[string]any{"events": []storeItem{}, names.AnswerRevision: revision})
			return
		case <-r.Context().Done():
			return
		}
	}
}

type serviceConfig struct {
	Name string `json:"name"`
}

type routeConfig struct {
	Name    string `json:"name"`
	Host    string `json:"host"`
	Prefix  string `json:"prefix"`
	Service string `json:"service"`
	Kind    string `json:"routeType"`
}

// config is what the operator publishes.
type config struct {
	Version  uint64           `json:"configVersion"`
	Routes   []routeConfig    `json:"routes"`
	Services []serviceConfig  `json:"services"`
	Limits   map[string]int64 `json:"limits"`
}
