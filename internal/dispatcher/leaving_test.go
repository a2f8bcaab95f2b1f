package dispatcher

import (
	"context"
	"testing"
	"testing/synctest"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"kingcupvalve.example/kingcupvalve/deriver"
	"kingcupvalve.example/kingcupvalve/standin/issuer"
	"kingcupvalve.example/kingcupvalve/standin/seeder"
)

// runDeparture simulates one departure in virtual time.
func runDeparture(t *testing.T, ring *deriver.KeyRing, d departure, balancersOnly bool) (f *leavingFleet, err error) {
	synctest.Test(t, func(*testing.T) {
		if f, err = newLeavingFleet(d, balancersOnly, ring); err == nil {
			err = f.run(context.Background())
		}
	})
	return f, err
}

// TestLeavingTarget checks guarantee 6: a backend server that is leaving gets no
// new requests later than 3 s after its own host learns of it or 6 s after
// publication, while a third of the balancers have an old table, one balancer is
// paused during the change, one agent gets the revision too late, and health polls
// are lost.
func TestLeavingTarget(t *testing.T) {
	ring, err := issuer.NewKeyRing(1)
	is.New(t).NoErr(err)
	seeder.LimitChecks(t, 30)
	lateRequests, elsewhere, cases := 0, 0, 0
	rapid.Check(t, func(r *rapid.T) {
		f, err := runDeparture(t, ring, genDepartures().Draw(r, "departure"), false)
		if err != nil {
			r.Fatal(err)
		}
		if elsewhere = f.requestCounts[2] + f.requestCounts[3] + f.requestCounts[4]; f.requestCounts[1] == 0 || elsewhere == 0 {
			r.Fatalf("requests executed by target: %v", f.requestCounts)
		}
		lateRequests, cases = lateRequests+f.lateRequests, cases+1
	})
	t.Logf("%d departures, %d requests within the bounds", cases, lateRequests)
}

// TestNaiveLeavingTarget shows that the property above fails for a fleet in which
// only the balancers know that a target is leaving.
func TestNaiveLeavingTarget(t *testing.T) {
	is := is.New(t)
	ring, err := issuer.NewKeyRing(1)
	is.NoErr(err)
	const drawnCases = 10
	violations := 0
	for seed := range drawnCases {
		d := genDepartures().Example(seed)
		_, err := runDeparture(t, ring, d, false)
		is.NoErr(err)
		if _, err := runDeparture(t, ring, d, true); err != nil {
			violations++
		}
	}
	t.Logf("violations found in %d of %d departures", violations, drawnCases)
	is.True(violations > 0)
}
