package recorder

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
)

// TestFollow guards against a burn report that shows spent error budget without
// the state changes that may explain it.
func TestFollow(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		r := NewRecorder(Options{})
		start := time.Now()
		states := []func() *State{
			func() *State { return NewState(4, false, false) },
			func() *State {
				s := NewState(4, true, false)
				s.AddTarget(7, "feeds", "saw-7", true)
				return s
			},
			func() *State {
				s := NewState(5, false, true)
				s.AddTarget(7, "feeds", "saw-7", false)
				return s
			},
			// A target that is no longer known yields no event.
			func() *State { return NewState(5, false, true) },
		}
		n := 0
		ctx, cancel := context.WithCancel(t.Context())
		go r.RecordChanges(ctx, func(time.Time) *State {
			n = min(n+1, len(states))
			return states[n-1]()
		})
		time.Sleep(10 * stateInterval)
		cancel()
		synctest.Wait()
		var messages []string
		for _, e := range r.Events(start) {
			messages = append(messages, e.Kind().String()+": "+e.Message())
		}
		is.Equal(messages, []string{
			"revision: revision 4 in force",
			"target_down: saw-7 is down", "platform: platform is unreachable",
			"revision: revision 5 in force", "target_up: saw-7 is up", "platform: platform is reachable", "platform: platform is stale",
		})
	})
}
