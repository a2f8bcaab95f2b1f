package main

import (
	"encoding/json"
	"net"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

// pageSize is the largest number of items in an answer.
const pageSize = 500

// item is an item of the store, or the removal of one.
type item struct {
	Key      string `json:"key"`
	Value    []byte `json:"value,omitempty"`
	Revision uint64 `json:"revision"`
	Created  uint64 `json:"created"`
	Lease    int    `json:"lease"`
	IsGone   bool   `json:"isGone,omitempty"`
}

// store is a stand-in of the platform's store. It has all of its history.
type store struct {
	names    names
	lock     sync.Mutex
	changed  *sync.Cond
	revision uint64
	items    map[string]item
}

// newStore serves an empty store at an address until the process ends.
func newStore(n names, address string) (*store, error) {
	s := &store{names: n, revision: 1, items: make(map[string]item)}
	s.changed = sync.NewCond(&s.lock)
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+n.RangePath, s.serveRange)
	mux.HandleFunc("GET "+n.WatchPath, s.serveWatch)
	go func() { _ = http.Serve(listener, mux) }()
	return s, nil
}

// put writes an item, or removes it if the value is nil.
func (s *store) put(key string, value []byte) {
	s.lock.Lock()
	defer s.lock.Unlock()
	s.revision++
	i := item{Key: key, Value: value, Revision: s.revision, Created: s.revision, IsGone: value == nil}
	if known, ok := s.items[key]; ok && !known.IsGone {
		i.Created = known.Created
	}
	s.items[key] = i
	s.changed.Broadcast()
}

func (s *store) serveRange(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	s.lock.Lock()
	revision, found := s.revision, []item{}
	for _, i := range s.items {
		if !i.IsGone && strings.HasPrefix(i.Key, query.Get("prefix")) && i.Key > query.Get("after") {
			found = append(found, i)
		}
	}
	s.lock.Unlock()
	sort.Slice(found, func(a, b int) bool { return found[a].Key < found[b].Key })
	s.answer(w, map[string]any{"items": found[:min(pageSize, len(found))], s.names.MoreField: len(found) > pageSize, s.names.RevisionField: revision})
}

func (s *store) serveWatch(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	after, _ := strconv.ParseUint(query.Get("after"), 10, 64)
	wait, _ := strconv.Atoi(query.Get("waitMs"))
	end := time.Now().Add(time.Duration(wait) * time.Millisecond)
	timer := time.AfterFunc(time.Until(end), s.changed.Broadcast)
	defer timer.Stop()
	s.lock.Lock()
	events := s.eventsAfter(after, query.Get("prefix"))
	for len(events) == 0 && time.Now().Before(end) {
		s.changed.Wait()
		events = s.eventsAfter(after, query.Get("prefix"))
	}
	revision := s.revision
	s.lock.Unlock()
	s.answer(w, map[string]any{"events": events, s.names.RevisionField: revision})
}

// eventsAfter returns the changes after a revision. The caller holds the lock.
func (s *store) eventsAfter(after uint64, prefix string) []item {
	events := []item{}
	for _, i := range s.items {
		if i.Revision > after && strings.HasPrefix(i.Key, prefix) {
			events = append(events, i)
		}
	}
	sort.Slice(events, func(a, b int) bool { return events[a].Revision < events[b].Revision })
	return events
}

func (s *store) answer(w http.ResponseWriter, body any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(body)
}
