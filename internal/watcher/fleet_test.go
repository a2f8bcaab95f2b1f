package watcher

import (
	"testing"
	"time"

	"github.com/matryer/is"
	"go.uber.org/goleak"

	"kingcupvalve.example/kingcupvalve/internal/cataloger"
	"kingcupvalve.example/kingcupvalve/internal/wirepb"
	"kingcupvalve.example/kingcupvalve/keeper"
	"kingcupvalve.example/kingcupvalve/ranker"
	"kingcupvalve.example/kingcupvalve/standin/seeder"
)

func TestMain(m *testing.M) {
	seeder.SetSeed(20261204)
	// One check runs a fleet of 18 processes for about a minute of virtual time.
	// 40 checks take about 20 s with the race detector.
	seeder.SetChecks(40)
	goleak.VerifyTestMain(m)
}

// inForceLimit is the time within which a published revision must be in force
// (guarantee 8).
const inForceLimit = 6 * time.Second

// newFleet starts count processes, distributed over the zones, with a small tree
// and revision 1 published.
func newFleet(seed uint64, count int, naive bool, zones ...string) *sim {
	s := newSim(seed)
	s.naive = naive
	s.ranker = ranker.Options{Watchers: 2, FanOut: 2}
	s.platform.publish(1, "a", "b")
	for i := range count {
		n := s.addNode(zones[i%len(zones)])
		if i < len(zones) {
			s.seeds = append(s.seeds, n.address)
		}
	}
	for _, node := range s.nodes {
		s.start(node)
	}
	s.advance(8 * time.Second)
	return s
}

// assertInForce fails if a reachable process has a lower revision in force or if
// an invariant was violated.
func assertInForce(t interface{ Fatalf(string, ...any) }, s *sim, revision uint64) {
	if s.violation != "" {
		t.Fatalf("%s", s.violation)
	}
	for _, n := range s.nodes {
		if n.alive && !n.paused && !n.isolated && n.revision < revision {
			t.Fatalf("%s has revision %d in force, want %d: %+v", n.name, n.revision, revision, n.logic.status())
		}
	}
}

// TestFleet guards against processes that keep an older revision because the
// processes or the platform from which they would learn of a new one are killed,
// paused, cut off or restored from a backup. It runs whole fleets in virtual time.
func TestFleet(t *testing.T) {
	t.Run("a fleet that starts at once puts the published revision in force", func(t *testing.T) {
		assertInForce(t, newFleet(1, 30, false, "a", "b", "c"), 1)
	})
	t.Run("only ranked processes watch the platform and a change is in force on all", func(t *testing.T) {
		is := is.New(t)
		s := newFleet(2, 60, false, "a", "b")
		clear(s.platform.sectionReaders)
		s.platform.publish(2, "a", "c")
		s.advance(time.Second)
		assertInForce(t, s, 2)
		is.True(len(s.platform.sectionReaders) > 0)
		for name, reads := range s.platform.sectionReaders {
			is.True(s.byName[name].logic.isWatching())
			is.Equal(reads, 1) // the other section did not change
		}
	})
	faults := map[string]func(s *sim){
		"the watching processes of a zone are killed": func(s *sim) {
			for _, n := range s.nodes {
				if n.zone == "a" && n.logic.isWatching() {
					s.kill(n)
				}
			}
		},
		"the watching processes of a zone are paused": func(s *sim) {
			for _, n := range s.nodes {
				if n.zone == "a" && n.logic.isWatching() {
					s.pause(n)
				}
			}
		},
		"a zone is cut off from the platform": func(s *sim) {
			for _, n := range s.nodes {
				n.noPlatform = n.zone == "a"
			}
		},
		"only one process of the last rank reaches the platform": func(s *sim) {
			last := s.nodes[0]
			for _, n := range s.nodes {
				n.noPlatform = true
				if n.logic.position.Rank > last.logic.position.Rank {
					last = n
				}
			}
			s.kill(s.byName[last.logic.position.Parents[0]])
			s.kill(s.byName[last.logic.position.Parents[1]])
			last.noPlatform = false
		},
		"half of the processes are killed": func(s *sim) {
			for i, n := range s.nodes {
				if i%2 == 0 {
					s.kill(n)
				}
			}
		},
	}
	for name, fault := range faults {
		t.Run("a revision is in force within 6 s when "+name, func(t *testing.T) {
			for seed := range uint64(5) {
				s := newFleet(seed, 40, false, "a", "b")
				fault(s)
				s.platform.publish(2, "a", "c")
				s.advance(inForceLimit)
				assertInForce(t, s, 2)
			}
		})
	}
	t.Run("watching processes that have only each other as live peers keep reading the platform", func(t *testing.T) {
		is := is.New(t)
		s := newFleet(3, 8, false, "a", "b")
		before := s.platform.headReads
		s.advance(20 * time.Second)
		is.True(s.platform.headReads-before >= 4*6)
	})
	t.Run("a restored platform is refused and a restarted process applies the peers' revision", func(t *testing.T) {
		is := is.New(t)
		s := newFleet(4, 12, false, "a")
		s.platform.backup = s.platform.current
		s.platform.publish(2, "a", "c")
		s.advance(inForceLimit)
		s.platform.restoreBackup()
		s.advance(inForceLimit)
		s.strict = true
		for _, n := range s.nodes {
			s.kill(n)
			s.start(n)
			s.advance(inForceLimit)
			assertInForce(t, s, 2)
		}
		stale := 0
		for _, n := range s.nodes {
			if n.logic.status().IsPlatformStale() {
				stale++
			}
		}
		is.True(stale > 0)
		s.platform.publish(3, "d")
		s.advance(inForceLimit)
		assertInForce(t, s, 3)
	})
	t.Run("a revision published after a restore is in force although value versions decreased", func(t *testing.T) {
		s := newFleet(4, 12, false, "a")
		s.platform.backup = s.platform.current
		for revision := range uint64(5) {
			s.platform.publish(2+revision, "a", "c")
		}
		s.advance(inForceLimit)
		s.platform.restoreBackup()
		s.platform.publish(7, "d")
		s.advance(inForceLimit)
		assertInForce(t, s, 7)
	})
	t.Run("a process starts from seeds while the platform is down", func(t *testing.T) {
		s := newFleet(5, 12, false, "a")
		s.platform.setDown(true)
		n := s.nodes[7]
		s.kill(n)
		s.start(n)
		s.advance(inForceLimit)
		assertInForce(t, s, 1)
	})
	t.Run("all watching processes restart while the platform is down and get the revision from their children", func(t *testing.T) {
		s := newFleet(5, 30, false, "a")
		s.platform.setDown(true)
		var restarted []*simNode
		for _, n := range s.nodes {
			if n.logic.position.Rank < 2+4 {
				restarted = append(restarted, n)
				s.kill(n)
			}
		}
		s.seeds = append(s.seeds, s.nodes[9].address, s.nodes[19].address, s.nodes[29].address)
		for _, n := range restarted {
			s.start(n)
		}
		s.advance(2 * inForceLimit)
		assertInForce(t, s, 1)
	})
	t.Run("a revision that no watching process can see is found by the others", func(t *testing.T) {
		s := newFleet(5, 40, false, "a", "b")
		for _, n := range s.nodes {
			n.noPlatform = n.logic.isWatching()
		}
		s.platform.publish(2, "a", "c")
		s.advance(periodicReadInterval * 3 / 2)
		assertInForce(t, s, 2)
	})
	t.Run("a peer that sends wrong content for a section is not asked again", func(t *testing.T) {
		is := is.New(t)
		s := newSim(1)
		n := s.addNode("a")
		asked := make(map[string]int)
		e := s.effects(n)
		e.send = func(id string, m *wirepb.Envelope) {
			if m.GetSectionRequest() != nil {
				asked[id]++
			}
		}
		l := newLogic(logicOptions{name: "x", zone: "a", random: func() float64 { return 0 }, effects: e}, s.now)
		ref := keeper.ComputeRef("s", []byte("right"))
		head, err := keeper.NewHead(2, []keeper.SectionRef{ref})
		is.NoErr(err)
		for _, id := range []string{"from/a/1", "from/b/2"} {
			l.linkUp(s.now, id, id)
			is.NoErr(l.receive(s.now, id, headMessage(head)))
		}
		is.Equal(asked, map[string]int{"from/a/1": 1})
		is.NoErr(l.receive(s.now, "from/a/1", sectionReply(refMessages(head.Sections())[0], []byte("wrong"), nil, true)))
		is.Equal(asked, map[string]int{"from/a/1": 1, "from/b/2": 1})
		is.NoErr(l.receive(s.now, "from/b/2", sectionReply(refMessages(head.Sections())[0], []byte("right"), nil, true)))
		is.Equal(l.revision(), uint64(2))
	})
	t.Run("host list changes reach every process and removed hosts are dropped", func(t *testing.T) {
		is := is.New(t)
		s := newFleet(6, 30, false, "a", "b")
		s.kill(s.nodes[5])
		s.platform.setHost(s.nodes[5], cataloger.HostRemoved)
		s.advance(2 * time.Second)
		for _, n := range s.nodes {
			if n.alive {
				is.Equal(n.logic.hosts.version, s.platform.hosts.version)
				is.Equal(len(n.logic.hosts.specs()), len(s.nodes)-1)
			}
		}
	})
	// Guards against a host that is never seen because the platform gives out the
	// versions of its host list again.
	t.Run("the host list of a platform that comes back from an older copy reaches every process", func(t *testing.T) {
		for _, written := range []int{1, 2, 3} {
			is := is.New(t)
			s := newFleet(6, 30, false, "a", "b")
			older := s.platform.copyHosts()
			s.platform.setHost(s.nodes[4], cataloger.HostLeaving)
			s.platform.setHost(s.nodes[4], cataloger.HostLive)
			s.advance(2 * time.Second)
			s.platform.restoreHosts(older)
			s.kill(s.nodes[5])
			for range written {
				s.platform.setHost(s.nodes[5], cataloger.HostRemoved)
			}
			s.advance(5 * time.Second)
			for _, n := range s.nodes {
				if n.alive {
					is.Equal(n.logic.hosts.version, s.platform.hosts.version)
					is.Equal(len(n.logic.hosts.specs()), len(s.nodes)-1)
				}
			}
		}
	})
}
