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

// leave plays one departure in virtual time.
func leave(t *testing.T, ring *deriver.KeyRing, d departure, isNaive bool) (f *leavingFleet, err error) {
	synctest.Test(t, func(*testing.T) {
		if f, err = newLeavingFleet(d, isNaive, ring); err == nil {
			err = f.run(context.Background())
		}
	})
	return f, err
}

// TestLeavingTarget guards guarantee 6: a backend server that is leaving gets
// no new work 3 s after its own host knows and 6 s after publication, while a
// third of the balancers has an old table, one is paused through the change,
// one agent gets the revision too late and health polls are lost.
func TestLeavingTarget(t *testing.T) {
	ring, err := issuer.NewRing(1)
	is.New(t).NoErr(err)
	seeder.Limit(t, 30)
	late, others, cases := 0, 0, 0
	rapid.Check(t, func(r *rapid.T) {
		f, err := leave(t, ring, departures().Draw(r, "departure"), false)
		if err != nil {
			r.Fatal(err)
		}
		if others = f.ran[2] + f.ran[3] + f.ran[4]; f.ran[1] == 0 || others == 0 {
			r.Fatalf("requests run: %v", f.ran)
		}
		late, cases = late+f.late, cases+1
	})
	t.Logf("%d departures, %d requests within the bounds", cases, late)
}

// TestNaiveLeavingTarget shows that the property above catches a fleet in which
// only balancers know that a target is leaving.
func TestNaiveLeavingTarget(t *testing.T) {
	is := is.New(t)
	ring, err := issuer.NewRing(1)
	is.NoErr(err)
	const scripts = 10
	caught := 0
	for seed := range scripts {
		d := departures().Example(seed)
		_, err := leave(t, ring, d, false)
		is.NoErr(err)
		if _, err := leave(t, ring, d, true); err != nil {
			caught++
		}
	}
	t.Logf("caught by %d of %d departures", caught, scripts)
	is.True(caught > 0)
}
