package deliverer

import (
	"sync"
	"time"

	lru "github.com/hashicorp/golang-lru/v2"
)

const (
	// orphanTime is the least time between two searches without success that
	// show that no target holds a flow. A target that took the flow before the
	// first search is in every current table by the second one.
	orphanTime = 300 * time.Millisecond
	// orphanAge is the age of a table up to which it counts as current.
	orphanAge = 1500 * time.Millisecond
	// maxOrphans bounds the memory.
	maxOrphans = 16_384
)

// orphanage remembers flows that a search found at no target. It is safe for
// concurrent use.
type orphanage struct {
	lock  sync.Mutex
	first *lru.Cache[uint64, time.Time]
}

func newOrphanage() *orphanage {
	first, err := lru.New[uint64, time.Time](maxOrphans)
	if err != nil {
		// The size is a positive constant.
		panic(err)
	}
	return &orphanage{first: first}
}

// confirm records a search without success and reports whether it and an
// earlier one show that no target holds the flow.
func (o *orphanage) confirm(flow uint64, now time.Time, tableAge time.Duration) bool {
	o.lock.Lock()
	defer o.lock.Unlock()
	first, ok := o.first.Get(flow)
	if !ok {
		o.first.Add(flow, now)
		return false
	}
	return now.Sub(first) >= orphanTime && tableAge < orphanAge
}
