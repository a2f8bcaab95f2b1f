package watcher

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"kingcupvalve.example/kingcupvalve/keeper"
)

// fleetMachine applies randomly drawn faults to a simulated fleet.
type fleetMachine struct {
	sim      *sim
	revision uint64
}

func (m *fleetMachine) node(t *rapid.T) *simNode {
	return m.sim.nodes[rapid.IntRange(0, len(m.sim.nodes)-1).Draw(t, "node")]
}

func (m *fleetMachine) zone(t *rapid.T) string {
	return rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "zone")
}

func (m *fleetMachine) actions() map[string]func(*rapid.T) {
	s := m.sim
	return map[string]func(*rapid.T){
		"publish": func(*rapid.T) {
			m.revision++
			s.platform.publish(m.revision, "a", fmt.Sprint(m.revision))
		},
		"publish invalid": func(*rapid.T) {
			m.revision++
			s.platform.publish(m.revision, "a", "bad")
		},
		"publish twice": func(t *rapid.T) {
			m.revision++
			s.platform.publish(m.revision, "a", "one")
			s.advance(time.Duration(rapid.IntRange(0, 400).Draw(t, "ms")) * time.Millisecond)
			s.platform.publish(m.revision, "a", "two")
		},
		"platform down": func(t *rapid.T) { s.platform.setDown(rapid.Bool().Draw(t, "down")) },
		"stale":         func(t *rapid.T) { s.platform.setStale(rapid.Bool().Draw(t, "stale")) },
		"mark":          func(*rapid.T) { s.platform.backup = s.platform.current },
		"roll back":     func(*rapid.T) { s.platform.restoreBackup() },
		"pause": func(t *rapid.T) {
			if n := m.node(t); n.alive && !n.paused {
				s.pause(n)
			}
		},
		"resume": func(t *rapid.T) {
			if n := m.node(t); n.paused {
				s.resume(n)
			}
		},
		"kill": func(t *rapid.T) { s.kill(m.node(t)) },
		"restart": func(t *rapid.T) {
			n := m.node(t)
			s.kill(n)
			s.start(n)
		},
		"cut": func(t *rapid.T) { s.setIsolated(m.node(t), true) },
		"cut zone": func(t *rapid.T) {
			zone, cut := m.zone(t), rapid.Bool().Draw(t, "cut")
			for _, n := range s.nodes {
				if n.zone == zone {
					s.setIsolated(n, cut)
				}
			}
		},
		"zone without platform": func(t *rapid.T) {
			zone, lost := m.zone(t), rapid.Bool().Draw(t, "lost")
			for _, n := range s.nodes {
				if n.zone == zone {
					n.noPlatform = lost
				}
			}
		},
		"advance": func(t *rapid.T) {
			s.advance(time.Duration(rapid.IntRange(1, 5000).Draw(t, "ms")) * time.Millisecond)
		},
		"": func(t *rapid.T) {
			if s.violation != "" && !s.naive {
				t.Fatalf("%s", s.violation)
			}
		},
	}
}

// clearFaults ends all faults and restarts stopped processes.
func (m *fleetMachine) clearFaults() {
	s := m.sim
	s.faultShare = 0
	s.platform.down, s.platform.staleValues = false, nil
	s.platform.answerWatches()
	for _, n := range s.nodes {
		n.isolated, n.noPlatform = false, false
		if n.paused {
			s.resume(n)
		}
		if !n.alive {
			s.start(n)
		}
	}
}

// runFaults runs a random sequence of faults and returns the machine, whose sim
// records the first violation.
func runFaults(t *rapid.T, naive bool) *fleetMachine {
	m := &fleetMachine{revision: 1, sim: newFleet(rapid.Uint64().Draw(t, "seed"), 18, naive, "a", "b", "c")}
	m.sim.faultShare = 0.03
	t.Repeat(m.actions())
	return m
}

// TestFleetStateMachine guards against a lower revision in force and against
// processes that still disagree after random faults of processes, links and the
// platform have ended.
func TestFleetStateMachine(t *testing.T) {
	t.Run("no combination of faults lowers a revision in force, and all processes agree once the faults end", func(t *testing.T) {
		rapid.Check(t, func(t *rapid.T) {
			m := runFaults(t, false)
			s := m.sim
			m.clearFaults()
			// Two operators publish the same revision concurrently.
			m.revision++
			one := s.platform.publish(m.revision, "one", "x")
			s.advance(time.Duration(rapid.IntRange(0, 100).Draw(t, "gap")) * time.Millisecond)
			two := s.platform.publish(m.revision, "two", "x")
			s.advance(inForceLimit)
			assertInForce(t, s, m.revision)
			assertConflict(t, s, one, two)
			// The next revision resolves the conflict.
			m.revision++
			next := s.platform.publish(m.revision, "next")
			s.advance(inForceLimit)
			assertInForce(t, s, m.revision)
			assertRefused(t, s, next, s.platform.publish(m.revision+1, "bad", "x"))
			// A process that starts after the platform was restored from an older
			// backup must not apply the backup's revision.
			s.strict = true
			s.platform.restoreBackup()
			n := m.node(t)
			s.kill(n)
			s.start(n)
			s.advance(inForceLimit)
			assertInForce(t, s, m.revision)
		})
	})
}

// assertRefused fails if a process does not refuse the invalid head or has
// another head than inForce in force.
func assertRefused(t interface{ Fatalf(string, ...any) }, s *sim, inForce, invalid keeper.Head) {
	s.advance(inForceLimit)
	for _, n := range s.nodes {
		refused, _ := n.logic.keeper.Refused()
		if n.digest != inForce.Digest() || refused.Digest() != invalid.Digest() {
			t.Fatalf("%s has revision %d in force and refuses %d", n.name, n.revision, refused.Revision())
		}
	}
}

// assertConflict fails if a process has a third content in force, or if both are
// in force and no process reports the conflict.
func assertConflict(t interface{ Fatalf(string, ...any) }, s *sim, one, two keeper.Head) {
	digests := make(map[keeper.Hash]bool)
	reported := false
	for _, n := range s.nodes {
		if n.digest != one.Digest() && n.digest != two.Digest() {
			t.Fatalf("%s has a third content in force", n.name)
		}
		digests[n.digest] = true
		reported = reported || n.logic.status().RefusedConflict() > 0
	}
	if len(digests) == 2 && !reported {
		t.Fatalf("two contents are in force and no process reports a conflict")
	}
}

// TestNaiveFleet verifies that the invariant checks detect faults: a fleet that
// applies whatever the platform returns must violate them under the same faults.
func TestNaiveFleet(t *testing.T) {
	t.Run("the same property fails for processes that apply whatever the platform returns", func(t *testing.T) {
		is := is.New(t)
		run := rapid.Custom(func(t *rapid.T) string {
			return runFaults(t, true).sim.violation
		})
		violations := make(map[string]int)
		for seed := range 40 {
			if fault := run.Example(seed); fault != "" {
				violations[fault[len("node-00000 "):]]++
			}
		}
		t.Logf("violations: %v", violations)
		is.True(len(violations) > 0)
	})
	for name, fault := range map[string]func(*sim){
		"a restored platform":        func(s *sim) { s.platform.restoreBackup() },
		"an invalid revision":        func(s *sim) { s.platform.publish(3, "bad") },
		"two operators, one number":  func(s *sim) { s.platform.publish(2, "a", "other") },
		"a lower revision published": func(s *sim) { s.platform.publish(1, "a", "other") },
	} {
		t.Run(name+" violates the invariants with the naive version only", func(t *testing.T) {
			is := is.New(t)
			for _, naive := range []bool{true, false} {
				s := newFleet(1, 1, naive, "a")
				s.platform.backup = s.platform.current
				s.platform.publish(2, "a", "b")
				s.advance(inForceLimit)
				fault(s)
				s.advance(inForceLimit)
				is.Equal(s.violation != "", naive)
			}
		})
	}
}
