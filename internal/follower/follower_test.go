package follower

import (
	"context"
	"net/netip"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/ansel1/merry/v2"
	"github.com/matryer/is"
	"github.com/rs/zerolog"

	"kingcupvalve.example/kingcupvalve/internal/registrar"
	"kingcupvalve.example/kingcupvalve/internal/router"
)

// store is a platform in memory.
type store struct {
	version  atomic.Uint64
	calls    atomic.Int64
	isDown   atomic.Bool
	isSilent atomic.Bool
	compacts atomic.Bool
}

var errDown = merry.New("platform is down")

func (s *store) batch() Batch {
	v := s.version.Load()
	return Batch{Revision: v, Changes: []registrar.Change{{Key: "config", Revision: v, Config: &router.Config{Version: v}}}}
}

func (s *store) source() Source {
	return Source{
		Read: func(context.Context) (Batch, error) {
			s.calls.Add(1)
			if s.isDown.Load() {
				return Batch{}, errDown
			}
			return s.batch(), nil
		},
		Watch: func(ctx context.Context, after uint64, wait time.Duration) (Batch, error) {
			s.calls.Add(1)
			if s.isSilent.Load() {
				<-ctx.Done()
				return Batch{}, ctx.Err()
			}
			if s.compacts.CompareAndSwap(true, false) {
				return Batch{}, ErrCompacted
			}
			for end := time.Now().Add(wait); time.Now().Before(end) && ctx.Err() == nil; time.Sleep(10 * time.Millisecond) {
				if s.isDown.Load() {
					return Batch{}, errDown
				}
				if s.version.Load() > after {
					return s.batch(), nil
				}
			}
			return Batch{Revision: after}, nil
		},
	}
}

// setup runs a follower in virtual time; change adapts its options.
func setup(t *testing.T, s *store, change func(o *Options), test func(is *is.I, f *Follower)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		options := Options{
			Source: s.source(), Peers: func() []Peer { return nil }, IsReader: func(*router.Table) bool { return true },
			Pull:     func(context.Context, netip.Addr, uint64) (Batch, error) { return Batch{}, errDown },
			Seeds:    func() []netip.Addr { return nil },
			Deadline: 3 * time.Second, Logger: zerolog.Nop(),
		}
		if change != nil {
			change(&options)
		}
		f := NewFollower(options)
		ctx, cancel := context.WithCancel(t.Context())
		done := make(chan struct{})
		go func() {
			defer close(done)
			f.Run(ctx)
		}()
		test(is.New(t), f)
		cancel()
		<-done
	})
}

func newStore(version uint64) *store {
	s := &store{}
	s.version.Store(version)
	return s
}

func TestFollower(t *testing.T) {
	// Guards against resets for lack of a route by a process that has read
	// nothing yet (FLOW on scale-2).
	t.Run("a table that nothing was read into is not current", func(t *testing.T) {
		f := NewFollower(Options{})
		is.New(t).True(f.Age(time.Now()) > time.Hour)
	})
	t.Run("a change is in force within half a second", func(t *testing.T) {
		s := newStore(1)
		setup(t, s, nil, func(is *is.I, f *Follower) {
			<-f.Ready()
			s.version.Store(2)
			time.Sleep(500 * time.Millisecond)
			is.Equal(f.Table().Version(), uint64(2))
		})
	})
	t.Run("a silent channel delays a change by at most 2 s", func(t *testing.T) {
		s := newStore(1)
		setup(t, s, nil, func(is *is.I, f *Follower) {
			<-f.Ready()
			time.Sleep(time.Second)
			s.isSilent.Store(true)
			time.Sleep(500 * time.Millisecond)
			s.version.Store(2)
			s.isSilent.Store(false) // new channels work, the one in use stays silent
			time.Sleep(2 * time.Second)
			is.Equal(f.Table().Version(), uint64(2))
		})
	})
	t.Run("a lost history is read as a whole", func(t *testing.T) {
		s := newStore(1)
		setup(t, s, nil, func(is *is.I, f *Follower) {
			<-f.Ready()
			s.version.Store(9)
			s.compacts.Store(true)
			time.Sleep(1500 * time.Millisecond)
			is.Equal(f.Table().Version(), uint64(9))
		})
	})
	// Guards against stale tables at processes that the platform turns away.
	t.Run("a process that the platform turns away learns from a peer", func(t *testing.T) {
		s := newStore(1)
		var revision atomic.Uint64
		setup(t, s, func(o *Options) {
			o.Peers = func() []Peer {
				return []Peer{{Address: netip.MustParseAddr("10.0.0.2"), Revision: revision.Load(), ConfirmedAt: time.Now()}}
			}
			o.Pull = func(_ context.Context, _ netip.Addr, _ uint64) (Batch, error) {
				b := newStore(revision.Load()).batch()
				b.ConfirmedAt = time.Now()
				return b, nil
			}
		}, func(is *is.I, f *Follower) {
			<-f.Ready()
			s.isDown.Store(true)
			revision.Store(5)
			time.Sleep(200 * time.Millisecond)
			is.Equal(f.Table().Version(), uint64(5))
			time.Sleep(10 * time.Second)
			is.True(f.Age(time.Now()) < 100*time.Millisecond)
		})
	})
	t.Run("a process that others keep current leaves the platform alone", func(t *testing.T) {
		s := newStore(1)
		setup(t, s, func(o *Options) {
			o.IsReader = func(*router.Table) bool { return false }
			o.Peers = func() []Peer { return []Peer{{Revision: 1, ConfirmedAt: time.Now()}} }
		}, func(is *is.I, f *Follower) {
			<-f.Ready()
			time.Sleep(2 * time.Second)
			before := s.calls.Load()
			time.Sleep(time.Minute)
			is.Equal(s.calls.Load(), before)
		})
	})
	t.Run("a process that hears nothing for 1.8 s reads by itself", func(t *testing.T) {
		s := newStore(1)
		setup(t, s, func(o *Options) { o.IsReader = func(*router.Table) bool { return false } }, func(is *is.I, f *Follower) {
			<-f.Ready()
			time.Sleep(time.Second)
			s.version.Store(2)
			time.Sleep(2 * time.Second)
			is.Equal(f.Table().Version(), uint64(2))
		})
	})
	for _, deadline := range []time.Duration{time.Second, 2 * time.Second, 3 * time.Second, 6 * time.Second} {
		// Guards against installations whose bounds are not 3 s.
		t.Run("a change is in force within "+deadline.String()+" of the loss of all readers", func(t *testing.T) {
			s := newStore(1)
			var lostAt time.Time
			setup(t, s, func(o *Options) {
				o.Deadline = deadline
				o.IsReader = func(*router.Table) bool { return false }
				lostAt = time.Now().Add(10 * time.Second)
				o.Peers = func() []Peer {
					return []Peer{{Revision: 1, ConfirmedAt: time.UnixMicro(min(time.Now().UnixMicro(), lostAt.UnixMicro()))}}
				}
			}, func(is *is.I, f *Follower) {
				<-f.Ready()
				time.Sleep(time.Until(lostAt) + time.Millisecond)
				s.version.Store(2)
				time.Sleep(deadline)
				is.Equal(f.Table().Version(), uint64(2))
			})
		})
		t.Run("a silent channel of a reader delays a change by less than "+deadline.String(), func(t *testing.T) {
			s := newStore(1)
			setup(t, s, func(o *Options) { o.Deadline = deadline }, func(is *is.I, f *Follower) {
				<-f.Ready()
				s.isSilent.Store(true)
				time.Sleep(deadline) // the channel in use is silent
				s.version.Store(2)
				s.isSilent.Store(false)
				time.Sleep(deadline)
				is.Equal(f.Table().Version(), uint64(2))
			})
		})
	}
	// Guards against a platform that a starting fleet overloads.
	t.Run("with a spread, a peer's table comes before the first read", func(t *testing.T) {
		s := newStore(1)
		setup(t, s, func(o *Options) {
			o.StartSpread = time.Hour
			o.IsReader = func(*router.Table) bool { return false }
			o.Peers = func() []Peer { return []Peer{{Revision: 1, ConfirmedAt: time.Now()}} }
			o.Seeds = func() []netip.Addr { return []netip.Addr{netip.MustParseAddr("10.0.0.2")} }
			o.Pull = func(context.Context, netip.Addr, uint64) (Batch, error) {
				b := s.batch()
				b.ConfirmedAt = time.Now()
				return b, nil
			}
		}, func(is *is.I, f *Follower) {
			time.Sleep(time.Second)
			is.Equal(f.Table().Version(), uint64(1))
			time.Sleep(time.Minute)
			is.Equal(s.calls.Load(), int64(0))
		})
	})
	t.Run("with a spread and no peer, the first read is within it", func(t *testing.T) {
		s := newStore(1)
		setup(t, s, func(o *Options) { o.StartSpread = 30 * time.Second }, func(is *is.I, f *Follower) {
			time.Sleep(30*time.Second + 100*time.Millisecond)
			is.Equal(f.Table().Version(), uint64(1))
		})
	})
	// Guards against resets by a process that wakes with an old table.
	t.Run("a table is as old as the clock and what the clock did not count", func(t *testing.T) {
		s := newStore(1)
		setup(t, s, func(o *Options) {
			o.IsReader = func(*router.Table) bool { return false }
			o.Peers = func() []Peer { return nil }
		}, func(is *is.I, f *Follower) {
			<-f.Ready()
			s.version.Store(2)
			f.AddAge(3 * time.Second)
			is.True(f.Age(time.Now()) >= 3*time.Second)
			time.Sleep(500 * time.Millisecond) // it reads by itself, after the pause that follows a batch
			is.Equal(f.Table().Version(), uint64(2))
			is.True(f.Age(time.Now()) < time.Second)
		})
	})
	t.Run("failed calls are at least 50 ms apart", func(t *testing.T) {
		s := newStore(1)
		s.isDown.Store(true)
		setup(t, s, nil, func(is *is.I, f *Follower) {
			time.Sleep(10 * time.Second)
			is.True(s.calls.Load() <= 10_000/400+4)
			s.isDown.Store(false)
			time.Sleep(1300 * time.Millisecond)
			is.Equal(f.Table().Version(), uint64(1))
		})
	})
}
