package main

import (
	_ "embed"
	"encoding/json"
	"net"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

//go:embed names.json
var namesFile []byte

// names are the names of the platform's protocol.
type names struct {
	KeyPath     string `json:"key_path"`
	RangePath   string `json:"range_path"`
	WatchPath   string `json:"watch_path"`
	ReadyPath   string `json:"ready_path"`
	ConfigKey   string `json:"config_key"`
	EntryPrefix string `json:"entry_prefix"`
	AtField     string `json:"at_field"`
	MoreField   string `json:"more_field"`
	ColdField   string `json:"cold_field"`
}

const (
	// storeDelay is the time of an answer, as on the site's sheet.
	storeDelay = 4 * time.Millisecond
	// pingInterval is the time between two reports of a target; its entry goes after
	// three of them without a report.
	pingInterval = 1200 * time.Millisecond
)

type item struct {
	key      string
	value    []byte
	revision uint64
	isGone   bool
	seenAt   time.Time
	leased   bool
}

// store is the platform's store: it keeps the newest state of each key and the
// order of the changes.
type store struct {
	names    names
	lock     sync.Mutex
	changed  *sync.Cond
	revision uint64
	items    map[string]*item
	record   *record
}

func newStore(n names, r *record) *store {
	s := &store{names: n, revision: 100, items: map[string]*item{}, record: r}
	s.changed = sync.NewCond(&s.lock)
	return s
}

// put writes a value. A leased key that only reports again keeps its revision.
func (s *store) put(key string, value []byte, leased bool) {
	s.lock.Lock()
	defer s.lock.Unlock()
	now := time.Now()
	if i := s.items[key]; i != nil && !i.isGone && leased && string(i.value) == string(value) {
		i.seenAt = now
		return
	}
	s.revision++
	s.items[key] = &item{key: key, value: value, revision: s.revision, seenAt: now, leased: leased}
	s.record.add("store: %s written, revision %d", key, s.revision)
	s.changed.Broadcast()
}

func (s *store) removeLocked(i *item) {
	s.revision++
	i.isGone, i.revision = true, s.revision
	s.record.add("store: %s removed, revision %d", i.key, s.revision)
	s.changed.Broadcast()
}

// expire removes the entries whose targets have been silent for three intervals.
func (s *store) expire() {
	s.lock.Lock()
	defer s.lock.Unlock()
	for _, i := range s.items {
		if i.leased && !i.isGone && time.Since(i.seenAt) > 3*pingInterval {
			s.removeLocked(i)
		}
	}
}

// serve answers calls at an address of its own for one process.
func (s *store) serve(address string) (string, error) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return "", err
	}
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+s.names.KeyPath, respond(s.serveKey))
	mux.HandleFunc("GET "+s.names.RangePath, respond(s.serveRange))
	mux.HandleFunc("GET "+s.names.WatchPath, respond(s.serveWatch))
	go func() { _ = http.Serve(listener, mux) }()
	return "http://" + listener.Addr().String(), nil
}

func respond(serve func(r *http.Request) (int, map[string]any)) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		time.Sleep(storeDelay)
		status, body := serve(r)
		w.Header().Set("Content-Type", "application/json")
		w.WriteHeader(status)
		_ = json.NewEncoder(w).Encode(body)
	}
}

func (s *store) describe(i *item) map[string]any {
	if i.isGone {
		return map[string]any{"key": i.key, "revision": i.revision, "isGone": true}
	}
	return map[string]any{"key": i.key, "value": i.value, "revision": i.revision, "created": i.revision, "lease": 0}
}

func (s *store) serveKey(r *http.Request) (int, map[string]any) {
	s.lock.Lock()
	defer s.lock.Unlock()
	i := s.items[r.URL.Query().Get("key")]
	if i == nil || i.isGone {
		return http.StatusNotFound, map[string]any{"error": "no such key"}
	}
	body := s.describe(i)
	body[s.names.AtField] = s.revision
	return http.StatusOK, body
}

func (s *store) serveRange(r *http.Request) (int, map[string]any) {
	prefix, after := r.URL.Query().Get("prefix"), r.URL.Query().Get("after")
	s.lock.Lock()
	defer s.lock.Unlock()
	list := []map[string]any{}
	var keys []string
	for key, i := range s.items {
		if !i.isGone && strings.HasPrefix(key, prefix) && key > after {
			keys = append(keys, key)
		}
	}
	sort.Strings(keys)
	for _, key := range keys {
		list = append(list, s.describe(s.items[key]))
	}
	return http.StatusOK, map[string]any{"items": list, s.names.MoreField: false, s.names.AtField: s.revision}
}

func (s *store) serveWatch(r *http.Request) (int, map[string]any) {
	query := r.URL.Query()
	after, _ := strconv.ParseUint(query.Get("after"), 10, 64)
	wait, _ := strconv.Atoi(query.Get("waitMs"))
	end := time.Now().Add(time.Duration(wait) * time.Millisecond)
	timer := time.AfterFunc(time.Until(end), s.changed.Broadcast)
	defer timer.Stop()
	s.lock.Lock()
	defer s.lock.Unlock()
	for s.revision <= after && time.Now().Before(end) {
		s.changed.Wait()
	}
	events := []*item{}
	for _, i := range s.items {
		if i.revision > after && strings.HasPrefix(i.key, query.Get("prefix")) {
			events = append(events, i)
		}
	}
	sort.Slice(events, func(a, b int) bool { return events[a].revision < events[b].revision })
	list := []map[string]any{}
	for _, i := range events {
		list = append(list, s.describe(i))
	}
	return http.StatusOK, map[string]any{"events": list, s.names.AtField: s.revision}
}
