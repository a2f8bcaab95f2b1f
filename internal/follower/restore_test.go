package follower

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
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
