package follower

import (
	"context"
	"fmt"
	"net/netip"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"kingcupvalve.example/kingcupvalve/internal/registrar"
	"kingcupvalve.example/kingcupvalve/internal/router"
)

// TestRestoredPlatform guards against a confirmed configuration that never comes
// into force because the platform gives out its revisions again.
func TestRestoredPlatform(t *testing.T) {
	for lost := range uint64(4) {
		for written := range uint64(5) {
			t.Run(fmt.Sprintf("%d revisions are lost and %d written again", lost, written), func(t *testing.T) {
				p := newFakePlatform(10)
				runFollower(t, p, nil, func(is *is.I, f *Follower) {
					<-f.Ready()
					p.isDown.Store(true)
					time.Sleep(2 * time.Second)
					p.restore(lost)
					p.version.Add(written)
					p.isDown.Store(false)
					time.Sleep(3 * time.Second)
					is.Equal(f.Table().Version(), p.version.Load())
					is.True(f.TableAge(time.Now()) < 2*time.Second)
					p.version.Add(1)
					time.Sleep(time.Second)
					is.Equal(f.Table().Version(), p.version.Load())
				})
			})
		}
	}
}

// TestRestoredPeers guards against tables that differ because some processes know
// what the platform lost and others do not.
func TestRestoredPeers(t *testing.T) {
	peer := netip.MustParseAddr("10.0.0.2")
	// run starts a follower with one peer, whose position and version do not change.
	run := func(t *testing.T, state Peer, fetches *atomic.Int64, test func(is *is.I, f *Follower)) {
		p := newFakePlatform(10)
		p.restore(3)
		runFollower(t, p, func(o *Options) {
			o.Peers = func() []Peer {
				state.Address, state.ConfirmedAt = peer, time.Now()
				return []Peer{state}
			}
			o.FetchChanges = func(_ context.Context, _ netip.Addr, after router.Position) (Batch, error) {
				fetches.Add(1)
				b := Batch{Position: state.Position, IsSnapshot: after.IsZero(), ConfirmedAt: time.Now()}
				config := registrar.Change{Key: "config", Position: router.Position{Revision: 16}, Stamp: registrar.Stamp{Number: state.Version}}
				config.Config = &router.Config{Version: state.Version}
				if config.Compare(after) > 0 {
					b.Changes = append(b.Changes, config)
				}
				return b, nil
			}
		}, test)
	}
	t.Run("a process that started later gets a configuration that the platform lost from a peer", func(t *testing.T) {
		var fetches atomic.Int64
		run(t, Peer{Position: router.Position{Epoch: 1, Revision: 7}, Version: 11}, &fetches, func(is *is.I, f *Follower) {
			<-f.Ready()
			time.Sleep(200 * time.Millisecond)
			is.Equal(f.Table().Version(), uint64(11))
			is.Equal(f.Position(), router.Position{Epoch: 1, Revision: 7})
			before := fetches.Load()
			time.Sleep(10 * time.Second)
			is.Equal(fetches.Load(), before)
		})
	})
	t.Run("a peer with the table of an earlier epoch neither changes nor confirms the table", func(t *testing.T) {
		var fetches atomic.Int64
		run(t, Peer{Position: router.Position{Revision: 16}, Version: 11}, &fetches, func(is *is.I, f *Follower) {
			<-f.Ready()
			f.AddTableAge(time.Minute)
			age := f.TableAge(time.Now())
			time.Sleep(60 * time.Millisecond)
			is.True(f.TableAge(time.Now()) >= age)
			is.Equal(f.Table().Version(), uint64(10))
			is.Equal(fetches.Load(), int64(0))
		})
	})
	// A beacon may be forged or damaged.
	t.Run("a peer that does not have the version that it announces is asked at most four times a second", func(t *testing.T) {
		p := newFakePlatform(10)
		var fetches atomic.Int64
		runFollower(t, p, func(o *Options) {
			o.Peers = func() []Peer {
				return []Peer{{Address: peer, Position: router.Position{Revision: 10}, Version: 1 << 60, ConfirmedAt: time.Now()}}
			}
			o.FetchChanges = func(context.Context, netip.Addr, router.Position) (Batch, error) {
				fetches.Add(1)
				b := p.batch()
				b.IsSnapshot = true
				return b, nil
			}
		}, func(is *is.I, f *Follower) {
			<-f.Ready()
			time.Sleep(10 * time.Second)
			is.True(fetches.Load() <= 40)
			is.Equal(f.Table().Version(), uint64(10))
		})
	})
}

// TestLaterConfig guards against conclusions from a table that is current by its age while
// a peer is known to have a later configuration, which the platform may have lost.
func TestLaterConfig(t *testing.T) {
	var peerVersion atomic.Uint64
	peerVersion.Store(1)
	runFollower(t, newFakePlatform(1), func(o *Options) {
		o.Peers = func() []Peer {
			return []Peer{{Position: router.Position{Revision: 1}, Version: peerVersion.Load(), ConfirmedAt: time.Now()}}
		}
	}, func(is *is.I, f *Follower) {
		<-f.Ready()
		time.Sleep(2 * time.Second)
		is.True(f.ConclusiveAge(time.Now()) < router.MaxConclusiveAge)
		is.True(time.Since(f.ConfirmedAt()) < router.MaxConclusiveAge)
		peerVersion.Store(2)
		time.Sleep(2 * tickInterval)
		is.True(f.ConclusiveAge(time.Now()) > router.MaxConclusiveAge)
		is.True(time.Since(f.ConfirmedAt()) > router.MaxConclusiveAge)
		peerVersion.Store(1)
		time.Sleep(2 * time.Second)
		is.True(f.ConclusiveAge(time.Now()) < router.MaxConclusiveAge)
	})
}

// TestTableBeforeConfirmation guards against a table that lacks a change and counts as
// confirmed after it, while the table with the change is being built.
func TestTableBeforeConfirmation(t *testing.T) {
	p := newFakePlatform(1)
	var confirmedAt time.Time
	runFollower(t, p, nil, func(is *is.I, f *Follower) {
		<-f.Ready()
		f.Subscribe(func(t *router.Table) {
			if t.Version() == 2 && confirmedAt.IsZero() {
				confirmedAt = f.ConfirmedAt()
			}
		})
		time.Sleep(1505 * time.Millisecond) // between two looks of the platform
		writtenAt := time.Now()
		p.version.Store(2)
		time.Sleep(time.Second)
		is.Equal(f.Table().Version(), uint64(2))
		is.True(!confirmedAt.After(writtenAt))
		is.True(f.ConfirmedAt().After(writtenAt))
	})
}
