package placer

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"kingcupvalve.example/kingcupvalve/internal/chooser"
	"kingcupvalve.example/kingcupvalve/internal/framer"
	"kingcupvalve.example/kingcupvalve/internal/router"
)

func setProbe(p *framer.Packet) { p.SYN, p.Mark.Progress = true, framer.ProbeProgress }

// silence has the agent's target leave an opening packet unanswered, and returns the time
// when it is silent.
func silence(a *Agent) time.Time {
	startRequests(a, 1)
	return now.Add(time.Second)
}

// TestProbe guards against a target that stays silent for its agent although it answers,
// and against probes that open a flow at a second target.
func TestProbe(t *testing.T) {
	table, route := newTable(func(*router.Target) {})
	t.Run("a silent target gets one probe at a time", func(t *testing.T) {
		is := is.New(t)
		a := newAgent()
		later := silence(a)
		is.Equal(a.Decide(table, route, packet(900, setProbe), 0, later).Action, Probe)
		is.Equal(a.Decide(table, route, packet(901, setProbe), 0, later).Action, Drop)
		is.Equal(a.Decide(table, route, packet(901, setProbe), 0, later.Add(time.Second)).Action, Probe)
	})
	t.Run("the answer ends the silence and does not reach the caller", func(t *testing.T) {
		is := is.New(t)
		a := newAgent()
		later, p := silence(a), packet(900, setProbe)
		is.Equal(a.Decide(table, route, p, 0, later).Action, Probe)
		is.True(a.options.Tracker.AnswersProbe(p.Key()))
		is.True(!a.options.Tracker.Load(later.Add(time.Minute)).IsSilent)
		is.Equal(a.options.Tracker.Load(later).Flows, 1) // the unanswered one
	})
	t.Run("the answer to a later copy that places the flow here reaches the caller", func(t *testing.T) {
		is := is.New(t)
		a := newAgent()
		later, p := silence(a), packet(900, setOpening)
		is.Equal(a.Decide(table, route, packet(900, setProbe), 0, later).Action, Probe)
		a.options.Tracker.ObserveCallerPacket(p.Key(), p, later)
		is.True(!a.options.Tracker.AnswersProbe(p.Key()))
	})
	for name, change := range map[string]func(a *Agent, target *router.Target){
		"a target that answers": func(a *Agent, _ *router.Target) {
			a.options.Tracker.ObserveTargetPacket(packet(1, setOpening).Key(), framer.Packet{SYN: true}, now)
		},
		"a draining target":          func(_ *Agent, target *router.Target) { target.State = router.Draining },
		"an evacuated target":        func(_ *Agent, target *router.Target) { target.IsEvacuated = true },
		"a target of another route":  func(_ *Agent, target *router.Target) { target.Service = "bundles" },
		"an agent that is to stop":   func(a *Agent, _ *router.Target) { a.RefuseNewFlows() },
		"a target with the own flow": func(a *Agent, _ *router.Target) { startRequests(a, 900) },
	} {
		t.Run("no probe for "+name, func(t *testing.T) {
			is := is.New(t)
			a := newAgent()
			later := silence(a)
			table, route := newTable(func(target *router.Target) { change(a, target) })
			is.Equal(a.Decide(table, route, packet(900, setProbe), 0, later).Action, Drop)
		})
	}
	t.Run("a probe that the target returns goes no further", func(t *testing.T) {
		is := is.New(t)
		a := newAgent()
		others := router.NewTable(router.Config{
			Version: 1, Routes: []router.Route{{Address: published, Shares: []router.Share{{Service: "feeds", Weight: 1}}}},
		}, feeds("a", "b"), router.Position{Revision: 1})
		is.Equal(a.PassOn(others, route, packet(900, setProbe), 0).Action, Drop)
	})
}

// TestProbes guards against probes without a bound, and against ones to targets that get
// no flow of the packet's service.
func TestProbes(t *testing.T) {
	silent := map[uint32]bool{}
	f := newFixture(t, append(feeds("a", "b", "c"), router.Target{ID: "d", Service: "bundles", Address: backend})...)
	f.Balancer.chooser = chooser.NewChooser(func(uint32) bool { return false }, func(n uint32) (chooser.Report, bool) {
		return chooser.Report{IsSilent: silent[n]}, true
	})
	number := func(id string) uint32 { return router.Target{ID: id}.Number() }
	report := func(id string, isSilent bool) {
		silent[number(id)] = isSilent
		f.ObserveReport(number(id), isSilent)
	}
	route, _ := f.table.FindRoute(published)
	probed := func(placed string) int { return len(f.Probes(f.table, route, packet(1, setOpening), number(placed))) }
	is := is.New(t)
	is.Equal(probed("a"), 0)
	report("b", true)
	report("b", true)
	report("d", true)
	is.Equal(probed("a"), 1) // not "d", whose service is another one
	is.Equal(probed("a"), 0) // until the next report
	report("b", true)
	is.Equal(probed("b"), 0) // the flow itself goes there
	is.Equal(probed("a"), 1)
	report("b", true)
	report("b", false)
	is.Equal(probed("a"), 0)
	report("b", true)
	silent[number("b")] = false
	is.Equal(probed("a"), 0)
}

// TestOnlySilentTargets guards against opening packets that are dropped although only a
// new flow can show that a silent target answers again.
func TestOnlySilentTargets(t *testing.T) {
	is := is.New(t)
	f := newFixture(t, feeds("a", "b")...)
	silent := map[uint32]bool{router.Target{ID: "a"}.Number(): true, router.Target{ID: "b"}.Number(): true}
	f.Balancer.chooser = chooser.NewChooser(func(n uint32) bool { return f.down[n] }, func(n uint32) (chooser.Report, bool) {
		return chooser.Report{Slots: 2, IsSilent: silent[n]}, true
	})
	is.True(f.target(packet(1, setOpening)) != "")
	f.down[router.Target{ID: "a"}.Number()] = true
	is.Equal(f.target(packet(1, setOpening)), "b")
	f.down, silent[router.Target{ID: "a"}.Number()] = map[uint32]bool{}, false
	for port := range uint16(20) {
		is.Equal(f.target(packet(port, setOpening)), "a")
	}
}
