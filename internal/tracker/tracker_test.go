package tracker

import (
	"net/netip"
	"testing"
	"time"

	"github.com/matryer/is"

	"kingcupvalve.example/kingcupvalve/internal/framer"
	"kingcupvalve.example/kingcupvalve/internal/recorder"
)

const key = 7

var (
	start    = time.Date(2026, 12, 4, 0, 0, 0, 0, time.UTC)
	balancer = netip.MustParseAddr("10.0.0.1")
)

func open(hops uint8) framer.Packet {
	return framer.Packet{SYN: true, Sequence: 100, Mark: framer.Mark{Via: balancer, Hops: hops}}
}

func data(sequence uint32) framer.Packet { return framer.Packet{Sequence: sequence, Length: 50} }

// openFlow opens a flow that the target answers.
func openFlow(t *Tracker, now time.Time) {
	t.ObserveCallerPacket(key, open(0), now)
	t.ObserveTargetPacket(key, framer.Packet{SYN: true, ACK: true}, now)
}

func TestLoad(t *testing.T) {
	t.Run("a request runs from the caller's data until the target's data", func(t *testing.T) {
		is := is.New(t)
		tr := NewTracker(Options{})
		openFlow(tr, start)
		is.Equal(tr.Load(start).Running, 1) // a new flow counts until its first request
		tr.ObserveCallerPacket(key, data(101), start)
		tr.ObserveTargetPacket(key, framer.Packet{ACK: true}, start)
		is.Equal(tr.Load(start).Running, 1)
		tr.ObserveTargetPacket(key, framer.Packet{Length: 10}, start)
		is.Equal(tr.Load(start).Running, 0)
		tr.ObserveCallerPacket(key, data(101), start) // retransmission
		is.Equal(tr.Load(start).Running, 0)
		tr.ObserveCallerPacket(key, data(151), start)
		is.Equal(tr.Load(start).Running, 1)
	})
	t.Run("a new flow without data stops counting as a request", func(t *testing.T) {
		is := is.New(t)
		tr := NewTracker(Options{})
		openFlow(tr, start)
		later := start.Add(firstRequestTimeout + time.Millisecond)
		tr.Expire(later, 0)
		is.Equal(tr.Load(later).Running, 0)
		is.Equal(tr.Load(later).Flows, 1)
	})
	// Guards against targets that look full for seconds after a restart because of
	// data of lost flows, which cost 571 amendment requests in a trial.
	t.Run("data of a flow that the target never answered does not count", func(t *testing.T) {
		is := is.New(t)
		tr := NewTracker(Options{})
		for n := range uint64(50) {
			tr.ObserveCallerPacket(n, data(9000), start)
		}
		is.Equal(tr.Load(start).Running, 0)
		tr.ObserveTargetPacket(3, framer.Packet{ACK: true}, start)
		is.Equal(tr.Load(start).Running, 1)
	})
	t.Run("a request without an answer ends after requestTimeout", func(t *testing.T) {
		is := is.New(t)
		tr := NewTracker(Options{})
		openFlow(tr, start)
		tr.ObserveCallerPacket(key, data(101), start)
		later := start.Add(requestTimeout + time.Millisecond)
		tr.Expire(later, 0)
		is.Equal(tr.Load(later).Running, 0)
	})
	t.Run("a flow ends when it is idle, is reset or has a packet returned", func(t *testing.T) {
		is := is.New(t)
		tr := NewTracker(Options{})
		openFlow(tr, start)
		tr.ObserveCallerPacket(key, data(101), start)
		tr.Expire(start.Add(DefaultIdleTimeout+time.Second), 0)
		is.Equal(tr.Load(start), Load{})
		openFlow(tr, start)
		tr.ObserveCallerPacket(key, framer.Packet{RST: true}, start)
		is.Equal(tr.Load(start), Load{})
		tr.ObserveCallerPacket(key, open(3), start)
		is.Equal(tr.ObserveReturnedPacket(key, data(101), start), framer.Mark{Via: balancer, Hops: 3})
		is.Equal(tr.Load(start), Load{})
	})
	t.Run("a target that does not answer an opening packet is silent", func(t *testing.T) {
		is := is.New(t)
		tr := NewTracker(Options{})
		tr.ObserveCallerPacket(key, open(0), start)
		later := start.Add(silenceTimeout + time.Millisecond)
		is.True(!tr.Load(start).IsSilent)
		is.True(tr.Load(later).IsSilent)
		is.True(tr.TryProbe(later))
		is.True(!tr.TryProbe(later))
		tr.ObserveTargetPacket(key, framer.Packet{}, later)
		is.True(!tr.Load(later).IsSilent)
	})
	// Guards against a flapping target that gets every flow while it is up.
	t.Run("a target that lost an open flow is suspect, after the end of a flow it is not", func(t *testing.T) {
		is := is.New(t)
		tr := NewTracker(Options{})
		openFlow(tr, start)
		tr.ObserveCallerPacket(key, framer.Packet{FIN: true, Sequence: 101}, start)
		tr.ObserveReturnedPacket(key, data(101), start)
		is.True(!tr.Load(start).IsSuspect)
		openFlow(tr, start)
		tr.ObserveReturnedPacket(key, data(101), start)
		is.True(tr.Load(start).IsSuspect)
	})
	// Guards against targets that reset requests without being noticed, and against
	// suspicion of a target that resets flows which have no request or have ended.
	for _, c := range []struct {
		name    string
		packets []framer.Packet
		hasFIN  bool
		want    bool
	}{
		{"with a request", []framer.Packet{data(101)}, false, true},
		{"without a request", nil, false, false},
		{"after its end", []framer.Packet{data(101)}, true, false},
	} {
		t.Run("a target that resets flows "+c.name+" is suspect or not", func(t *testing.T) {
			tr := NewTracker(Options{})
			for range 5 {
				openFlow(tr, start)
				for _, p := range c.packets {
					tr.ObserveCallerPacket(key, p, start)
				}
				if c.hasFIN {
					tr.ObserveTargetPacket(key, framer.Packet{FIN: true}, start)
				}
				tr.ObserveTargetPacket(key, framer.Packet{RST: true}, start)
			}
			is.New(t).Equal(tr.Load(start).IsSuspect, c.want)
		})
	}
	t.Run("the number of flows is bounded", func(t *testing.T) {
		is := is.New(t)
		tr := NewTracker(Options{MaxFlows: 10})
		for n := range uint64(100) {
			tr.ObserveCallerPacket(n, open(0), start)
		}
		is.Equal(tr.Load(start).Flows, 10)
	})
}

// TestReusedPort guards against an earlier flow's state that decides about the
// next flow with the same addresses and ports: a draining or full target that
// takes the new flow, a first request that is not counted, and a late packet that
// ends the new flow.
func TestReusedPort(t *testing.T) {
	opening := func(sequence uint32) framer.Packet { return framer.Packet{SYN: true, Sequence: sequence} }
	// newUsedTracker returns a tracker with a flow that has carried a request and
	// that both ends have closed.
	newUsedTracker := func() *Tracker {
		tr := NewTracker(Options{})
		openFlow(tr, start)
		tr.ObserveCallerPacket(key, data(101), start)
		tr.ObserveTargetPacket(key, framer.Packet{Length: 10}, start)
		tr.ObserveCallerPacket(key, framer.Packet{FIN: true, Sequence: 151}, start)
		tr.ObserveTargetPacket(key, framer.Packet{FIN: true}, start)
		return tr
	}
	t.Run("a flow that has ended is not held", func(t *testing.T) {
		is := is.New(t)
		tr := newUsedTracker()
		is.True(!tr.HoldsFlow(key, 100))
		is.True(!tr.HoldsFlow(key, 9000))
	})
	t.Run("an opening packet with another sequence number is not of the held flow", func(t *testing.T) {
		is := is.New(t)
		tr := NewTracker(Options{})
		openFlow(tr, start)
		is.True(tr.HoldsFlow(key, 100))
		is.True(!tr.HoldsFlow(key, 101))
	})
	t.Run("a flow whose opening packet was not seen is held", func(t *testing.T) {
		is := is.New(t)
		tr := NewTracker(Options{})
		tr.ObserveCallerPacket(key, data(500), start)
		tr.ObserveTargetPacket(key, framer.Packet{ACK: true}, start)
		is.True(tr.HoldsFlow(key, 100))
	})
	for name, sequence := range map[string]uint32{"a higher": 9000, "a lower": 20, "the same": 100} {
		t.Run("the first request of the next flow counts with "+name+" sequence number", func(t *testing.T) {
			is := is.New(t)
			tr := newUsedTracker()
			tr.ObserveCallerPacket(key, opening(sequence), start)
			is.Equal(tr.Load(start), Load{Running: 1, Flows: 1})
			tr.ObserveTargetPacket(key, framer.Packet{SYN: true, ACK: true}, start)
			tr.ObserveCallerPacket(key, data(sequence+1), start)
			is.Equal(tr.Load(start), Load{Running: 1, Flows: 1})
			is.Equal(tr.Flows(1)[0].Requests(), 1)
			tr.ObserveTargetPacket(key, framer.Packet{Length: 10}, start)
			is.Equal(tr.Load(start), Load{Flows: 1})
		})
	}
	t.Run("a request of the earlier flow without an answer ends as unknown", func(t *testing.T) {
		is := is.New(t)
		var outcomes []recorder.Outcome
		tr := NewTracker(Options{Record: func(o recorder.Outcome, _ time.Time) { outcomes = append(outcomes, o) }})
		openFlow(tr, start)
		tr.ObserveCallerPacket(key, data(101), start)
		tr.ObserveCallerPacket(key, opening(9000), start)
		is.Equal(outcomes, []recorder.Outcome{recorder.OutcomeUnknown})
		is.Equal(tr.Load(start), Load{Running: 1, Flows: 1})
	})
	for name, late := range map[string]framer.Packet{
		"end": {FIN: true, Sequence: 151}, "reset": {RST: true, Sequence: 151}, "data": data(101),
		"data far ahead": data(9000 + 2*maxBytesAhead),
	} {
		t.Run("a late packet of the earlier flow does not change the next one: "+name, func(t *testing.T) {
			is := is.New(t)
			tr := newUsedTracker()
			tr.ObserveCallerPacket(key, opening(9000), start)
			tr.ObserveTargetPacket(key, framer.Packet{SYN: true, ACK: true}, start)
			tr.ObserveCallerPacket(key, data(9001), start)
			tr.ObserveCallerPacket(key, late, start)
			is.Equal(tr.Load(start), Load{Running: 1, Flows: 1})
			is.True(tr.HoldsFlow(key, 9000))
			tr.ObserveReturnedPacket(key, late, start)
			is.Equal(tr.Load(start), Load{Running: 1, Flows: 1})
		})
	}
}

func TestHints(t *testing.T) {
	t.Run("the balancer of a flow that a search found gets one hint", func(t *testing.T) {
		is := is.New(t)
		tr := NewTracker(Options{})
		tr.ObserveCallerPacket(key, open(2), start)
		via, ok := tr.ObserveTargetPacket(key, framer.Packet{}, start)
		is.True(ok)
		is.Equal(via, balancer)
		_, ok = tr.ObserveTargetPacket(key, framer.Packet{}, start)
		is.True(!ok)
	})
	// Guards against a balancer that goes on searching, because the target has
	// nothing to send on the flow.
	t.Run("a packet of a flow that the target has answered is enough for a hint", func(t *testing.T) {
		is := is.New(t)
		tr := NewTracker(Options{})
		openFlow(tr, start)
		found := data(101)
		found.Mark = framer.Mark{Via: balancer, Hops: 1}
		via, ok := tr.ObserveCallerPacket(key, found, start)
		is.True(ok)
		is.Equal(via, balancer)
		_, ok = tr.ObserveCallerPacket(key, found, start.Add(hintInterval-1))
		is.True(!ok)
		// Guards against a lost hint.
		_, ok = tr.ObserveCallerPacket(key, found, start.Add(hintInterval))
		is.True(ok)
		direct := data(151)
		direct.Mark.Via = balancer
		_, ok = tr.ObserveCallerPacket(key, direct, start.Add(time.Second))
		is.True(!ok)
	})
	// Guards against hints to nobody: of the packets of a window, only the first that
	// a target returns keeps its mark.
	t.Run("a packet without a mark keeps the balancer of the flow", func(t *testing.T) {
		is := is.New(t)
		tr := NewTracker(Options{})
		tr.ObserveCallerPacket(key, open(2), start)
		tr.ObserveCallerPacket(key, data(101), start)
		via, ok := tr.ObserveTargetPacket(key, framer.Packet{}, start)
		is.True(ok)
		is.Equal(via, balancer)
	})
	t.Run("a flow that needed no search needs no hint", func(t *testing.T) {
		is := is.New(t)
		tr := NewTracker(Options{})
		tr.ObserveCallerPacket(key, open(0), start)
		_, ok := tr.ObserveTargetPacket(key, framer.Packet{}, start)
		is.True(!ok)
	})
}

// TestOutcomes guards against an error budget report that omits requests which
// the target never answered.
func TestOutcomes(t *testing.T) {
	for _, c := range []struct {
		name string
		end  func(t *Tracker)
		want []recorder.Outcome
	}{
		{"an answer", func(t *Tracker) { t.ObserveTargetPacket(key, framer.Packet{Length: 10}, start) }, []recorder.Outcome{recorder.OutcomeGood}},
		{"the target's reset", func(t *Tracker) { t.ObserveTargetPacket(key, framer.Packet{RST: true}, start) }, []recorder.Outcome{recorder.OutcomeBroken}},
		{"a flow that the target lost", func(t *Tracker) { t.ObserveReturnedPacket(key, data(101), start) }, []recorder.Outcome{recorder.OutcomeBroken}},
		{"the caller's reset", func(t *Tracker) { t.ObserveCallerPacket(key, framer.Packet{RST: true}, start) }, []recorder.Outcome{recorder.OutcomeUnknown}},
		{"no answer", func(t *Tracker) { t.Expire(start.Add(requestTimeout+1), time.Minute) }, []recorder.Outcome{recorder.OutcomeUnknown}},
		{"an idle flow", func(t *Tracker) { t.Expire(start.Add(2*time.Second), time.Second) }, []recorder.Outcome{recorder.OutcomeUnknown}},
		{"nothing yet", func(t *Tracker) { t.Expire(start.Add(time.Second), time.Minute) }, nil},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			var outcomes []recorder.Outcome
			tr := NewTracker(Options{Record: func(o recorder.Outcome, _ time.Time) { outcomes = append(outcomes, o) }})
			openFlow(tr, start)
			tr.ObserveCallerPacket(key, data(101), start)
			c.end(tr)
			is.Equal(outcomes, c.want)
			tr.Expire(start.Add(time.Hour), time.Second) // an outcome counts once
			is.True(len(outcomes) <= 1)
		})
	}
}

func TestFlows(t *testing.T) {
	is := is.New(t)
	tr := NewTracker(Options{})
	for i := range uint64(3) {
		p := open(0)
		p.Source = netip.AddrPortFrom(balancer, uint16(i))
		tr.ObserveCallerPacket(i, p, start.Add(-time.Duration(i)*time.Second))
		if i > 0 {
			tr.ObserveTargetPacket(i, framer.Packet{SYN: true, ACK: true}, start)
		}
	}
	tr.ObserveCallerPacket(2, data(101), start)
	flows := tr.Flows(10)
	is.Equal(len(flows), 2) // the target has not answered the first
	is.Equal(flows[0].Caller().Port(), uint16(2))
	is.Equal(flows[0].Requests(), 1)
	is.Equal(flows[0].OpenedAt(), start.Add(-2*time.Second))
	is.Equal(len(tr.Flows(1)), 1)
}

// TestServiceTime guards against a time that includes the wait for a slot: a busy
// target would look slow.
func TestServiceTime(t *testing.T) {
	const service = 40 * time.Millisecond
	// newBusyTracker returns a tracker whose target has one slot and four requests
	// that arrived together.
	newBusyTracker := func() *Tracker {
		tr := NewTracker(Options{Slots: func() int { return 1 }})
		for n := range uint64(4) {
			tr.ObserveCallerPacket(n, open(0), start)
			tr.ObserveTargetPacket(n, framer.Packet{SYN: true, ACK: true}, start)
			tr.ObserveCallerPacket(n, data(101), start)
		}
		return tr
	}
	t.Run("without a request it is not known", func(t *testing.T) {
		is := is.New(t)
		is.Equal(newBusyTracker().Load(start).ServiceTime, time.Duration(0))
	})
	t.Run("the wait for a slot does not count", func(t *testing.T) {
		is := is.New(t)
		tr := newBusyTracker()
		for n := range uint64(4) {
			tr.ObserveTargetPacket(n, framer.Packet{Length: 10}, start.Add(time.Duration(n+1)*service))
		}
		is.Equal(tr.Load(start).ServiceTime, service)
	})
	t.Run("a request that ends while it waits frees no slot", func(t *testing.T) {
		is := is.New(t)
		tr := newBusyTracker()
		tr.ObserveCallerPacket(1, framer.Packet{RST: true}, start)
		tr.ObserveTargetPacket(0, framer.Packet{Length: 10}, start.Add(service))
		tr.ObserveTargetPacket(2, framer.Packet{Length: 10}, start.Add(2*service))
		is.Equal(tr.Load(start).ServiceTime, service)
	})
	t.Run("it expires", func(t *testing.T) {
		is := is.New(t)
		tr := newBusyTracker()
		tr.ObserveTargetPacket(0, framer.Packet{Length: 10}, start.Add(service))
		is.Equal(tr.Load(start.Add(service+serviceTimeLifetime)).ServiceTime, service)
		is.Equal(tr.Load(start.Add(service+serviceTimeLifetime+1)).ServiceTime, time.Duration(0))
	})
}
