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

// fakePlatform is an in-memory platform.
type fakePlatform struct {
	version     atomic.Uint64
	calls       atomic.Int64
	isDown      atomic.Bool
	isHanging   atomic.Bool
	isCompacted atomic.Bool
	// isEmpty is set while there is no configuration.
	isEmpty atomic.Bool
	// epoch and lost are the number of returns from an older copy and the revisions
	// that the last one took back.
	epoch atomic.Uint64
	lost  atomic.Uint64
	// target is the only target; nil if there is none.
	target atomic.Pointer[router.Target]
}

// restore makes the platform return from a copy that lacks the last revisions. The
// operator writes the last version again.
func (p *fakePlatform) restore(lost uint64) {
	p.lost.Add(lost)
	p.epoch.Add(1)
}

var errDown = merry.New("platform is down")

func (p *fakePlatform) batch() Batch {
	v, revision := p.version.Load(), p.revision()
	position := router.Position{Epoch: p.epoch.Load(), Revision: revision}
	return Batch{Position: position, Changes: []registrar.Change{
		{Key: "config", Position: position, Stamp: registrar.Stamp{Number: v}, Config: &router.Config{Version: v, Services: []string{"feeds"}}},
		{Key: "target", Position: position, Target: p.target.Load()},
	}}
}

func (p *fakePlatform) revision() uint64 { return p.version.Load() - p.lost.Load() }

func (p *fakePlatform) source() Source {
	return Source{
		Read: func(context.Context) (Batch, error) {
			p.calls.Add(1)
			if p.isDown.Load() {
				return Batch{}, errDown
			}
			if p.isEmpty.Load() {
				return Batch{}, ErrNoConfig
			}
			return p.batch(), nil
		},
		Watch: func(ctx context.Context, after uint64, wait time.Duration) (Batch, error) {
			p.calls.Add(1)
			if p.isHanging.Load() {
				<-ctx.Done()
				return Batch{}, ctx.Err()
			}
			if p.isCompacted.CompareAndSwap(true, false) {
				return Batch{}, ErrCompacted
			}
			for end := time.Now().Add(wait); time.Now().Before(end) && ctx.Err() == nil; time.Sleep(10 * time.Millisecond) {
				if p.isDown.Load() {
					return Batch{}, errDown
				}
				if p.revision() < after {
					return Batch{Position: router.Position{Epoch: p.epoch.Load()}}, ErrCompacted
				}
				if p.revision() > after {
					return p.batch(), nil
				}
			}
			return Batch{Position: router.Position{Epoch: p.epoch.Load(), Revision: after}}, nil
		},
	}
}

// runFollower runs a test against a follower in virtual time; change adapts the
// options.
func runFollower(t *testing.T, p *fakePlatform, change func(o *Options), test func(is *is.I, f *Follower)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		options := Options{
			Source: p.source(), Peers: func() []Peer { return nil }, IsPlatformReader: func(*router.Table) bool { return true },
			FetchChanges:    func(context.Context, netip.Addr, router.Position) (Batch, error) { return Batch{}, errDown },
			FetchDepartures: func(context.Context, netip.Addr, router.Position) (Batch, error) { return Batch{}, errDown },
			Seeds:           func() []netip.Addr { return nil },
			IsInUse:         func(uint32) bool { return false },
			Deadline:        3 * time.Second, Logger: zerolog.Nop(),
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
		defer func() {
			cancel()
			<-done
		}()
		test(is.New(t), f)
	})
}

func newFakePlatform(version uint64) *fakePlatform {
	p := &fakePlatform{}
	p.version.Store(version)
	return p
}

func TestFollower(t *testing.T) {
	// Guards against flow resets by a process that has not read a table yet and
	// therefore finds no route (rule FLOW, seen on scale-2).
	t.Run("the empty table before the first read is not current", func(t *testing.T) {
		f := NewFollower(Options{})
		is.New(t).True(f.TableAge(time.Now()) > time.Hour)
	})
	t.Run("a change is in force within half a second", func(t *testing.T) {
		p := newFakePlatform(1)
		runFollower(t, p, nil, func(is *is.I, f *Follower) {
			<-f.Ready()
			p.version.Store(2)
			time.Sleep(500 * time.Millisecond)
			is.Equal(f.Table().Version(), uint64(2))
		})
	})
	// Guards against a new fleet that spends the platform's calls, which are shared, on
	// asking for a configuration that is not there yet: 4 calls of each process in 0.7 s.
	t.Run("a platform without a configuration is asked about once a second", func(t *testing.T) {
		p := newFakePlatform(1)
		p.isEmpty.Store(true)
		runFollower(t, p, nil, func(is *is.I, f *Follower) {
			time.Sleep(8 * time.Second)
			is.True(p.calls.Load() >= 6)
			is.True(p.calls.Load() <= 20)
			is.True(!f.IsPlatformUnreachable())
			p.isEmpty.Store(false)
			time.Sleep(1500 * time.Millisecond)
			is.Equal(f.Table().Version(), uint64(1))
		})
	})
	t.Run("a silent connection delays a change by at most 2 s", func(t *testing.T) {
		p := newFakePlatform(1)
		runFollower(t, p, nil, func(is *is.I, f *Follower) {
			<-f.Ready()
			time.Sleep(time.Second)
			p.isHanging.Store(true)
			time.Sleep(500 * time.Millisecond)
			p.version.Store(2)
			p.isHanging.Store(false) // new connections work; the one in use stays silent
			time.Sleep(2 * time.Second)
			is.Equal(f.Table().Version(), uint64(2))
		})
	})
	t.Run("a compacted history leads to a read of all items", func(t *testing.T) {
		p := newFakePlatform(1)
		runFollower(t, p, nil, func(is *is.I, f *Follower) {
			<-f.Ready()
			p.version.Store(9)
			p.isCompacted.Store(true)
			time.Sleep(1500 * time.Millisecond)
			is.Equal(f.Table().Version(), uint64(9))
		})
	})
	// Guards against stale tables at processes whose calls the platform refuses.
	t.Run("a process that the platform refuses gets changes from a peer", func(t *testing.T) {
		p := newFakePlatform(1)
		var revision atomic.Uint64
		runFollower(t, p, func(o *Options) {
			o.Peers = func() []Peer {
				return []Peer{{Address: netip.MustParseAddr("10.0.0.2"), Position: router.Position{Revision: revision.Load()}, ConfirmedAt: time.Now()}}
			}
			o.FetchChanges = func(_ context.Context, _ netip.Addr, _ router.Position) (Batch, error) {
				b := newFakePlatform(revision.Load()).batch()
				b.ConfirmedAt = time.Now()
				return b, nil
			}
		}, func(is *is.I, f *Follower) {
			<-f.Ready()
			p.isDown.Store(true)
			revision.Store(5)
			time.Sleep(200 * time.Millisecond)
			is.Equal(f.Table().Version(), uint64(5))
			time.Sleep(10 * time.Second)
			is.True(f.TableAge(time.Now()) < 100*time.Millisecond)
		})
	})
	t.Run("a process that peers keep current does not call the platform", func(t *testing.T) {
		p := newFakePlatform(1)
		runFollower(t, p, func(o *Options) {
			o.IsPlatformReader = func(*router.Table) bool { return false }
			o.Peers = func() []Peer { return []Peer{{Position: router.Position{Revision: 1}, ConfirmedAt: time.Now()}} }
		}, func(is *is.I, f *Follower) {
			<-f.Ready()
			time.Sleep(2 * time.Second)
			before := p.calls.Load()
			time.Sleep(time.Minute)
			is.Equal(p.calls.Load(), before)
		})
	})
	t.Run("a process without a confirmation for 1.8 s reads the platform", func(t *testing.T) {
		p := newFakePlatform(1)
		runFollower(t, p, func(o *Options) { o.IsPlatformReader = func(*router.Table) bool { return false } }, func(is *is.I, f *Follower) {
			<-f.Ready()
			time.Sleep(time.Second)
			p.version.Store(2)
			time.Sleep(2 * time.Second)
			is.Equal(f.Table().Version(), uint64(2))
		})
	})
	for _, deadline := range []time.Duration{time.Second, 2 * time.Second, 3 * time.Second, 6 * time.Second} {
		// Guards against timing that only holds for the default deadline of 3 s.
		t.Run("a change is in force within "+deadline.String()+" of the loss of all readers", func(t *testing.T) {
			p := newFakePlatform(1)
			var lostAt time.Time
			runFollower(t, p, func(o *Options) {
				o.Deadline = deadline
				o.IsPlatformReader = func(*router.Table) bool { return false }
				lostAt = time.Now().Add(10 * time.Second)
				o.Peers = func() []Peer {
					return []Peer{{Position: router.Position{Revision: 1}, ConfirmedAt: time.UnixMicro(min(time.Now().UnixMicro(), lostAt.UnixMicro()))}}
				}
			}, func(is *is.I, f *Follower) {
				<-f.Ready()
				time.Sleep(time.Until(lostAt) + time.Millisecond)
				p.version.Store(2)
				time.Sleep(deadline)
				is.Equal(f.Table().Version(), uint64(2))
			})
		})
		t.Run("a silent connection of a reader delays a change by less than "+deadline.String(), func(t *testing.T) {
			p := newFakePlatform(1)
			runFollower(t, p, func(o *Options) { o.Deadline = deadline }, func(is *is.I, f *Follower) {
				<-f.Ready()
				p.isHanging.Store(true)
				time.Sleep(deadline) // the connection in use is silent
				p.version.Store(2)
				p.isHanging.Store(false)
				time.Sleep(deadline)
				is.Equal(f.Table().Version(), uint64(2))
			})
		})
	}
	// Guards against overload of the platform when a fleet starts.
	t.Run("with a start spread, a peer's table replaces the first read", func(t *testing.T) {
		p := newFakePlatform(1)
		runFollower(t, p, func(o *Options) {
			o.StartSpread = time.Hour
			o.IsPlatformReader = func(*router.Table) bool { return false }
			o.Peers = func() []Peer { return []Peer{{Position: router.Position{Revision: 1}, ConfirmedAt: time.Now()}} }
			o.Seeds = func() []netip.Addr { return []netip.Addr{netip.MustParseAddr("10.0.0.2")} }
			o.FetchChanges = func(context.Context, netip.Addr, router.Position) (Batch, error) {
				b := p.batch()
				b.ConfirmedAt = time.Now()
				return b, nil
			}
		}, func(is *is.I, f *Follower) {
			time.Sleep(time.Second)
			is.Equal(f.Table().Version(), uint64(1))
			time.Sleep(time.Minute)
			is.Equal(p.calls.Load(), int64(0))
		})
	})
	t.Run("with a start spread and no peer, the first read is within the spread", func(t *testing.T) {
		p := newFakePlatform(1)
		runFollower(t, p, func(o *Options) { o.StartSpread = 30 * time.Second }, func(is *is.I, f *Follower) {
			time.Sleep(30*time.Second + 100*time.Millisecond)
			is.Equal(f.Table().Version(), uint64(1))
		})
	})
	// Guards against flow resets by a process that resumes after a suspension with
	// a stale table.
	t.Run("the table age includes time that the clock did not count", func(t *testing.T) {
		p := newFakePlatform(1)
		runFollower(t, p, func(o *Options) {
			o.IsPlatformReader = func(*router.Table) bool { return false }
			o.Peers = func() []Peer { return nil }
		}, func(is *is.I, f *Follower) {
			<-f.Ready()
			p.version.Store(2)
			f.AddTableAge(3 * time.Second)
			is.True(f.TableAge(time.Now()) >= 3*time.Second)
			time.Sleep(500 * time.Millisecond) // it reads the platform, after the pause that follows a batch
			is.Equal(f.Table().Version(), uint64(2))
			is.True(f.TableAge(time.Now()) < time.Second)
		})
	})
	// Guards against resets of open flows at a target whose entry does not come back
	// although the target lives.
	t.Run("a removed target is reachable until 15 s after it last held flows", func(t *testing.T) {
		var isInUse atomic.Bool
		isInUse.Store(true)
		p := newFakePlatform(1)
		p.target.Store(&router.Target{ID: "a", Service: "feeds", Address: netip.MustParseAddrPort("10.0.0.1:80")})
		runFollower(t, p, func(o *Options) { o.IsInUse = func(uint32) bool { return isInUse.Load() } }, func(is *is.I, f *Follower) {
			hasTarget := func() bool {
				_, _, ok := f.Table().FindTargetAt(netip.MustParseAddrPort("10.0.0.1:80"))
				return ok
			}
			<-f.Ready()
			p.target.Store(nil)
			p.version.Add(1)
			time.Sleep(10 * time.Minute)
			is.True(hasTarget())
			isInUse.Store(false)
			time.Sleep(14 * time.Second)
			is.True(hasTarget())
			time.Sleep(2 * time.Second)
			is.True(!hasTarget())
		})
	})
	t.Run("failed calls are at least 50 ms apart", func(t *testing.T) {
		p := newFakePlatform(1)
		p.isDown.Store(true)
		runFollower(t, p, nil, func(is *is.I, f *Follower) {
			time.Sleep(10 * time.Second)
			is.True(p.calls.Load() <= 10_000/400+4)
			p.isDown.Store(false)
			time.Sleep(1300 * time.Millisecond)
			is.Equal(f.Table().Version(), uint64(1))
		})
	})
}
