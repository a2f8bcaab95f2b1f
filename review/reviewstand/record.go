package main

import (
	"fmt"
	"os"
	"sort"
	"strings"
	"sync"
	"time"
)

// arrival is a caller's packet that reached a target.
type arrival struct {
	at     time.Time
	key    flowKey
	target string
	isOwn  bool // the target holds the flow
}

// sending is a caller's packet with the balancer that the router picked.
type sending struct {
	at       time.Time
	key      flowKey
	balancer string
}

// resetSeen is a reset that reached the caller of an open flow.
type resetSeen struct {
	at     time.Time
	key    flowKey
	sender string // process that sent it
}

// record keeps what was sent, answered and run, and the rules that were broken.
type record struct {
	lock     sync.Mutex
	start    time.Time
	lines    []string
	arrivals map[flowKey][]arrival
	sendings map[flowKey][]sending
	resets   []resetSeen
	holders  map[flowKey]*target
	closed   map[flowKey]time.Time // when the caller gave the flow up
	failures []string
	counts   map[string]int
}

func newRecord() *record {
	return &record{
		start: time.Now(), arrivals: map[flowKey][]arrival{}, sendings: map[flowKey][]sending{}, holders: map[flowKey]*target{}, closed: map[flowKey]time.Time{},
		counts: map[string]int{},
	}
}

func (r *record) stamp(at time.Time) string { return fmt.Sprintf("%8.3f s", at.Sub(r.start).Seconds()) }

func (r *record) add(format string, args ...any) {
	r.lock.Lock()
	defer r.lock.Unlock()
	r.lines = append(r.lines, r.stamp(time.Now())+"  "+fmt.Sprintf(format, args...))
}

func (r *record) count(name string) {
	r.lock.Lock()
	defer r.lock.Unlock()
	r.counts[name]++
}

// fail records a broken rule.
func (r *record) fail(rule, format string, args ...any) {
	r.add("BROKEN "+rule+": "+format, args...)
	r.lock.Lock()
	defer r.lock.Unlock()
	r.failures = append(r.failures, rule)
}

func (r *record) arrive(a arrival) {
	r.lock.Lock()
	defer r.lock.Unlock()
	r.arrivals[a.key] = append(r.arrivals[a.key], a)
}

func (r *record) open(key flowKey, t *target) {
	r.add("open: flow of %s is open at %s", key.caller, t.id)
	r.lock.Lock()
	defer r.lock.Unlock()
	r.holders[key] = t
}

func (r *record) close(key flowKey) {
	r.lock.Lock()
	defer r.lock.Unlock()
	r.closed[key] = time.Now()
}

func (r *record) run(key flowKey, target, id string) {
	r.count("requests run")
	r.add("run: request %s of %s at %s", id, key.caller, target)
}

func (r *record) sent(s sending) {
	r.lock.Lock()
	defer r.lock.Unlock()
	r.sendings[s.key] = append(r.sendings[s.key], s)
}

// write writes the record to a file.
func (r *record) write(path string) error {
	r.lock.Lock()
	defer r.lock.Unlock()
	var b strings.Builder
	for _, line := range r.lines {
		b.WriteString(line + "\n")
	}
	var keys []string
	for key := range r.counts {
		keys = append(keys, key)
	}
	sort.Strings(keys)
	for _, key := range keys {
		fmt.Fprintf(&b, "total: %d %s\n", r.counts[key], key)
	}
	fmt.Fprintf(&b, "total: %d broken rules\n", len(r.failures))
	return os.WriteFile(path, []byte(b.String()), 0o600)
}
