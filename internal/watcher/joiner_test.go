package watcher

import (
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"kingcupvalve.example/kingcupvalve/internal/cataloger"
	"kingcupvalve.example/kingcupvalve/keeper"
)

// TestJoiner guards against a fleet document that is assembled from stale cached
// sections after some of its sections have changed.
func TestJoiner(t *testing.T) {
	t.Run("joining with cached sections gives the same result as joining all of them", func(t *testing.T) {
		rapid.Check(t, func(t *rapid.T) {
			is := is.New(t)
			var j joiner
			fleet := proportionedFleet(40)
			for revision := range uint64(5) {
				fleet.Revision = revision + 1
				fleet.Defaults.Slots = rapid.Int64Range(0, 3).Draw(t, "slots")
				s := &fleet.Services[rapid.IntRange(0, len(fleet.Services)-1).Draw(t, "service")]
				s.Targets[0].State = rapid.SampledFrom([]string{"", cataloger.TargetLeaving}).Draw(t, "state")
				if rapid.Bool().Draw(t, "exception") {
					fleet.Exceptions = append(fleet.Exceptions, cataloger.ExceptionSpec{Scope: s.Name, Key: "slots", Value: 1, Reason: "test"})
				}
				sections, err := cataloger.SplitFleet(fleet)
				is.NoErr(err)
				want, err := cataloger.JoinFleet(fleet.Revision, sections)
				is.NoErr(err)
				k := keeper.NewKeeper(keeper.Options{})
				head, contents := splitSections(t, fleet, false)
				k.Offer(head, "p", time.Time{})
				for _, c := range contents {
					k.Store(c)
				}
				_, kept := k.Accepted()
				got, err := j.join(fleet.Revision, kept)
				is.NoErr(err)
				is.Equal(got, want)
			}
		})
	})
}
