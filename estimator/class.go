package estimator

import (
	"strings"
	"time"

	lru "github.com/hashicorp/golang-lru/v2"
)

// classLimit bounds the number of stored path classes; the least recently used
// one is evicted.
const classLimit = 1024

// longFactor is the cost of a path class, relative to the expected cost of short
// work, above which its requests count as long without a hint.
const longFactor = 8

// classSamples is the number of requests after which the learned cost overrides a
// hint.
const classSamples = 8

// class is the learned cost of one method and path class.
type class struct {
	seconds float64
	samples int
}

type classTable struct {
	classes *lru.Cache[string, *class]
}

func newClassTable() *classTable {
	// lru.New fails only for a size below one.
	classes, _ := lru.New[string, *class](classLimit)
	return &classTable{classes: classes}
}

// PathClass returns the class of a path: the path without its query and with
// each segment that contains a digit replaced by an asterisk, because such
// segments are mostly identifiers.
func PathClass(path string) string {
	path, _, _ = strings.Cut(path, "?")
	segments := strings.Split(path, "/")
	for i, s := range segments {
		if strings.ContainsAny(s, "0123456789") {
			segments[i] = "*"
		}
	}
	return strings.Join(segments, "/")
}

// Classify returns the kind of a request from its hint (the value of the
// Kingcupvalve-Kind header, possibly empty) and the learned cost of its method
// and path class, which overrides the hint. Only the hint declares a feed.
func (e *Estimator) Classify(method, path, hint string) Kind {
	kind, _ := ParseKind(hint)
	if kind == Feed {
		return Feed
	}
	c, ok := e.classes.classes.Get(method + " " + PathClass(path))
	if !ok || c.samples < classSamples {
		return kind
	}
	if c.seconds > longFactor*e.cost[Short] {
		return Long
	}
	if kind == Long && c.seconds < longFactor/2*e.cost[Short] {
		return Short
	}
	return kind
}

// Learn records the time that a successful request took on the backend server
// under its method and path.
func (e *Estimator) Learn(method, path string, duration time.Duration) {
	key := method + " " + PathClass(path)
	c, ok := e.classes.classes.Get(key)
	if !ok {
		c = &class{seconds: duration.Seconds()}
		e.classes.classes.Add(key, c)
	}
	c.samples++
	c.seconds += (duration.Seconds() - c.seconds) / float64(min(c.samples, 2*classSamples))
}
