package simulator

import (
	"container/heap"
	"time"
)

// event is a function that runs at a virtual time.
type event struct {
	at       time.Time
	sequence uint64
	run      func()
}

// eventQueue is a heap of events by time; events of the same time keep the order
// in which they were added.
type eventQueue []event

func (q eventQueue) Len() int { return len(q) }
func (q eventQueue) Less(i, j int) bool {
	if c := q[i].at.Compare(q[j].at); c != 0 {
		return c < 0
	}
	return q[i].sequence < q[j].sequence
}
func (q eventQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *eventQueue) Push(x any)   { *q = append(*q, x.(event)) }

func (q *eventQueue) Pop() any {
	last := (*q)[len(*q)-1]
	*q = (*q)[:len(*q)-1]
	return last
}

// clock is the virtual time with the events that are due.
type clock struct {
	now      time.Time
	events   eventQueue
	sequence uint64
}

// after runs a function when a duration has passed.
func (c *clock) after(d time.Duration, run func()) {
	c.sequence++
	heap.Push(&c.events, event{at: c.now.Add(max(0, d)), sequence: c.sequence, run: run})
}

// every runs a function at an interval, for the first time after the given delay.
func (c *clock) every(delay, interval time.Duration, run func()) {
	c.after(delay, func() {
		run()
		c.every(interval, interval, run)
	})
}

// runUntil runs the events up to a time.
func (c *clock) runUntil(end time.Time) {
	for len(c.events) > 0 && !c.events[0].at.After(end) {
		e := heap.Pop(&c.events).(event)
		c.now = e.at
		e.run()
	}
	c.now = end
}
