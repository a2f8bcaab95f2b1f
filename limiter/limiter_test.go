package limiter_test

import (
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"kingcupvalve.example/kingcupvalve/estimator"
	"kingcupvalve.example/kingcupvalve/limiter"
)

var start = time.Unix(1_000_000, 0)

func cost(k estimator.Kind) time.Duration {
	if k == estimator.Long {
		return 1500 * time.Millisecond
	}
	return 50 * time.Millisecond
}

// state is the expected state of a request.
type state int

const (
	queued state = iota
	running
	ended
	refused
)

// oracle tracks the state of every request through the decisions of a limiter
// and fails the test on an illegal transition.
type oracle struct {
	t       *rapid.T
	limiter *limiter.Limiter
	slots   int
	now     time.Time
	next    uint64
	states  map[uint64]state
	kinds   map[uint64]estimator.Kind
	due     map[uint64]time.Time // end of the running requests
	tested  [2]time.Time         // last test of the cost estimate, by kind
}

func (o *oracle) run(id uint64) {
	if s, seen := o.states[id]; seen && s != queued {
		o.t.Fatalf("request %d ran from state %d", id, s)
	}
	o.states[id] = running
	took := time.Duration(rapid.IntRange(1, 4000).Draw(o.t, "took_ms")) * time.Millisecond
	o.due[id] = o.now.Add(took)
}

func (o *oracle) refuse(id uint64) {
	if s, seen := o.states[id]; seen && s != queued {
		o.t.Fatalf("request %d was refused from state %d", id, s)
	}
	o.states[id] = refused
}

func (o *oracle) offer(kind estimator.Kind, timeout time.Duration) {
	o.next++
	r := limiter.Request{ID: o.next, Kind: kind}
	if timeout > 0 {
		r.Deadline = o.now.Add(timeout)
	}
	o.kinds[r.ID] = kind
	before := o.limiter.Load()
	d := o.limiter.Offer(o.now, r)
	if d.Test {
		o.checkEstimateTest(kind, before)
	} else if d.Verdict != limiter.Refuse && timeout > 0 && d.Wait+cost(kind) > timeout {
		o.t.Fatalf("admitted with an expected finish in %v and a deadline in %v", d.Wait+cost(kind), timeout)
	}
	switch d.Verdict {
	case limiter.Run:
		o.run(r.ID)
	case limiter.Queue:
		o.states[r.ID] = queued
	default:
		if d.RetryAfter <= 0 {
			o.t.Fatalf("refused without RetryAfter")
		}
		o.refuse(r.ID)
	}
}

// checkEstimateTest checks that a request that is expected to miss its deadline
// runs only while no other of its kind runs or waits, and at most four times a
// second.
func (o *oracle) checkEstimateTest(kind estimator.Kind, before limiter.Load) {
	if before.Running[kind]+before.Queued[kind] > 0 {
		o.t.Fatalf("estimate tested with load %+v", before)
	}
	if since := o.now.Sub(o.tested[kind]); since < 250*time.Millisecond {
		o.t.Fatalf("estimate tested again after %v", since)
	}
	o.tested[kind] = o.now
}

func (o *oracle) tick() {
	c := o.limiter.Tick(o.now)
	for _, x := range c.Refuse {
		o.refuse(x.ID)
	}
	for _, id := range c.Run {
		o.run(id)
	}
}

func (o *oracle) advance(d time.Duration) {
	for end := o.now.Add(d); o.now.Before(end); {
		o.now = o.now.Add(10 * time.Millisecond)
		for id, at := range o.due {
			if !o.now.Before(at) {
				o.limiter.Finish(o.now, id, 0, estimator.Succeeded)
				o.states[id] = ended
				delete(o.due, id)
			}
		}
		o.tick()
	}
}

func (o *oracle) check(*rapid.T) {
	var run, wait int
	for _, s := range o.states {
		switch s {
		case running:
			run++
		case queued:
			wait++
		default:
		}
	}
	l := o.limiter.Load()
	if run > o.slots {
		o.t.Fatalf("%d running on %d slots", run, o.slots)
	}
	if run != l.Running[0]+l.Running[1] || wait != l.Queued[0]+l.Queued[1] {
		o.t.Fatalf("load %+v, oracle has %d running and %d queued", l, run, wait)
	}
}

func newOracle(t *rapid.T) *oracle {
	slots := rapid.IntRange(1, 5).Draw(t, "slots")
	return &oracle{
		t: t, now: start, slots: slots,
		limiter: limiter.NewLimiter(limiter.Options{Slots: slots, QueueLimit: 20, Cost: cost}),
		states:  map[uint64]state{}, kinds: map[uint64]estimator.Kind{}, due: map[uint64]time.Time{},
	}
}

// TestOracle guards against running more requests than there are slots, running
// a refused request, losing a request, and admitting one that is expected to miss
// its deadline.
func TestOracle(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		o := newOracle(t)
		t.Repeat(map[string]func(*rapid.T){
			"": o.check,
			"offer": func(t *rapid.T) {
				kind := estimator.Kind(rapid.IntRange(0, 1).Draw(t, "kind"))
				o.offer(kind, time.Duration(rapid.IntRange(0, 8000).Draw(t, "timeout_ms"))*time.Millisecond)
			},
			"cancel": func(t *rapid.T) {
				id := rapid.Uint64Range(0, o.next).Draw(t, "id")
				wasQueued := o.states[id] == queued && o.kinds[id] <= estimator.Long && id > 0
				if o.limiter.Cancel(o.now, id) != wasQueued {
					t.Fatalf("cancel of %d does not match its state", id)
				}
				if wasQueued {
					o.states[id] = refused
				}
			},
			"advance": func(t *rapid.T) {
				o.advance(time.Duration(rapid.IntRange(1, 300).Draw(t, "ms")) * time.Millisecond)
			},
		})
	})
}

// TestLongProgress guards against long work that starves under any rate of short
// work.
func TestLongProgress(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		o := newOracle(t)
		rate := rapid.IntRange(1, 30).Draw(t, "short_per_100ms")
		waiting := time.Duration(0)
		for range 150 {
			for range rate {
				o.offer(estimator.Short, 10*time.Second)
			}
			o.offer(estimator.Long, time.Minute)
			o.advance(100 * time.Millisecond)
			l := o.limiter.Load()
			if waiting += 100 * time.Millisecond; l.Running[estimator.Long] > 0 || l.Queued[estimator.Long] == 0 {
				waiting = 0
			}
			if waiting > 7*time.Second {
				t.Fatalf("no long work ran for %v", waiting)
			}
		}
	})
}

// TestNaiveRate guards against slots that stay idle because of the separate
// queues: the throughput in overload must be at least 95% of that of a limiter
// that admits every request into one queue.
func TestNaiveRate(t *testing.T) {
	is := is.New(t)
	l := limiter.NewLimiter(limiter.Options{Slots: 2, Cost: cost})
	ends := map[uint64]time.Time{}
	done, id := 0, uint64(0)
	for now := start; now.Before(start.Add(20 * time.Second)); now = now.Add(10 * time.Millisecond) {
		for i, at := range ends {
			if !now.Before(at) {
				l.Finish(now, i, 0, estimator.Succeeded)
				delete(ends, i)
				done++
			}
		}
		for range 2 { // five times the capacity
			id++
			if l.Offer(now, limiter.Request{ID: id, Deadline: now.Add(2 * time.Second)}).Verdict == limiter.Run {
				ends[id] = now.Add(50 * time.Millisecond)
			}
		}
		for _, i := range l.Tick(now).Run {
			ends[i] = now.Add(50 * time.Millisecond)
		}
	}
	naive := 2 * 20 * 1000 / 50
	is.True(done >= naive*95/100)
}

func TestLimiter(t *testing.T) {
	t.Run("two slots leave one to short work", func(t *testing.T) {
		is := is.New(t)
		l := limiter.NewLimiter(limiter.Options{Slots: 2, Cost: cost})
		is.Equal(offerKind(l, start, 1, estimator.Short).Verdict, limiter.Run)
		l.Finish(start, 1, 0, estimator.Succeeded)
		is.Equal(offerKind(l, start, 2, estimator.Long).Verdict, limiter.Run)
		is.Equal(offerKind(l, start, 3, estimator.Long).Verdict, limiter.Queue)
		is.Equal(offerKind(l, start, 4, estimator.Short).Verdict, limiter.Run)
	})
	t.Run("long work takes all slots without recent short work", func(t *testing.T) {
		is := is.New(t)
		l := limiter.NewLimiter(limiter.Options{Slots: 2, Cost: cost})
		is.Equal(offerKind(l, start, 1, estimator.Long).Verdict, limiter.Run)
		is.Equal(offerKind(l, start, 2, estimator.Long).Verdict, limiter.Run)
	})
	t.Run("a refusal by the backend server lowers the limit for a while", func(t *testing.T) {
		is := is.New(t)
		l := limiter.NewLimiter(limiter.Options{Slots: 4, Cost: cost})
		offerKind(l, start, 1, estimator.Short)
		l.Finish(start, 1, 0, estimator.Refused)
		is.Equal(l.Load().Limit, 3)
		l.Tick(start.Add(10 * time.Second))
		is.Equal(l.Load().Limit, 4)
	})
	t.Run("a request that waited longer than its limit is returned for another choice", func(t *testing.T) {
		is := is.New(t)
		l := limiter.NewLimiter(limiter.Options{Slots: 1, Cost: cost})
		offerKind(l, start, 1, estimator.Short)
		d := l.Offer(start, limiter.Request{ID: 2, MaxQueueWait: 60 * time.Millisecond})
		is.Equal(d.Verdict, limiter.Queue)
		c := l.Tick(start.Add(61 * time.Millisecond))
		is.Equal(len(c.Refuse), 1)
		is.True(c.Refuse[0].Reroute)
	})
	t.Run("a wrong estimate does not refuse all work forever", func(t *testing.T) {
		is := is.New(t)
		e := estimator.NewEstimator(estimator.Options{Slots: 2})
		l := limiter.NewLimiter(limiter.Options{Slots: 2, Cost: e.Cost})
		admitted := 0
		for i := range uint64(300) {
			now := start.Add(time.Duration(i) * 100 * time.Millisecond)
			r := limiter.Request{ID: i + 1, Kind: estimator.Long, Deadline: now.Add(time.Second)}
			if l.Offer(now, r).Verdict != limiter.Run {
				continue
			}
			admitted++
			e.RecordStart(estimator.Long, now)
			e.RecordFinish(estimator.Long, now.Add(50*time.Millisecond), 50*time.Millisecond, estimator.Succeeded)
			l.Finish(now.Add(50*time.Millisecond), r.ID, 50*time.Millisecond, estimator.Succeeded)
		}
		is.True(admitted > 200)
	})
	t.Run("a request is admitted after RetryAfter when no other arrives", func(t *testing.T) {
		is := is.New(t)
		l := limiter.NewLimiter(limiter.Options{Slots: 1, Cost: cost})
		for id := range uint64(40) {
			offerKind(l, start, id+1, estimator.Short)
		}
		d := l.Offer(start, limiter.Request{ID: 99, Deadline: start.Add(time.Second)})
		is.Equal(d.Verdict, limiter.Refuse)
		now := start
		for id := uint64(1); now.Before(start.Add(d.RetryAfter)); id++ {
			now = now.Add(50 * time.Millisecond)
			l.Finish(now, id, 0, estimator.Succeeded)
			l.Tick(now)
		}
		again := l.Offer(now, limiter.Request{ID: 100, Deadline: now.Add(time.Second)})
		is.Equal(again.Verdict, limiter.Queue)
	})
}

func offerKind(l *limiter.Limiter, now time.Time, id uint64, k estimator.Kind) limiter.Decision {
	return l.Offer(now, limiter.Request{ID: id, Kind: k})
}
