package assessor

import (
	"math"
	"math/rand/v2"
	"net/netip"
	"testing"
	"time"

	"github.com/matryer/is"
)

var (
	start = time.Date(2026, 12, 4, 0, 0, 0, 0, time.UTC)
	route = netip.MustParseAddrPort("198.18.0.1:443")
)

// target simulates response times like those of the users' targets: log-normal
// with a standard deviation of 0.5, and 3% of the requests are long.
type target struct {
	*Assessor
	random *rand.Rand
	now    time.Time
}

func newTarget(seed uint64) *target {
	return &target{Assessor: NewAssessor(), random: rand.New(rand.NewPCG(seed, 1)), now: start}
}

func (t *target) answer(mean time.Duration) {
	took := float64(mean) * math.Exp(0.5*t.random.NormFloat64())
	if t.random.Float64() < 0.03 {
		took *= 7
	}
	t.now = t.now.Add(20 * time.Millisecond)
	t.Observe(route, time.Duration(took), false, t.now)
}

// answersUntilSuspect returns the number of answers until the target is suspect.
func (t *target) answersUntilSuspect(limit int, mean func() time.Duration) (int, bool) {
	for n := range limit {
		t.answer(mean())
		if t.IsSuspect(t.now) {
			return n + 1, true
		}
	}
	return limit, false
}

func constant(d time.Duration) func() time.Duration { return func() time.Duration { return d } }

func TestAssessor(t *testing.T) {
	t.Run("a healthy target does not become suspect in 20,000 answers", func(t *testing.T) {
		for seed := range uint64(5) {
			_, suspect := newTarget(seed).answersUntilSuspect(20_000, constant(13*time.Millisecond))
			is.New(t).True(!suspect)
		}
	})
	// Guards against a target that fails requests immediately and so attracts every
	// new flow: 1,231 of 11,379 amendment requests failed on a day with such
	// targets.
	t.Run("a target that fails half of its requests immediately becomes suspect", func(t *testing.T) {
		is := is.New(t)
		a := newTarget(1)
		_, _ = a.answersUntilSuspect(200, constant(13*time.Millisecond))
		isFailure := false
		n, suspect := a.answersUntilSuspect(100, func() time.Duration {
			if isFailure = !isFailure; isFailure {
				return 300 * time.Microsecond
			}
			return 13 * time.Millisecond
		})
		is.True(suspect)
		is.True(n <= 16)
	})
	t.Run("a target that becomes six times slower becomes suspect", func(t *testing.T) {
		is := is.New(t)
		a := newTarget(1)
		_, _ = a.answersUntilSuspect(200, constant(13*time.Millisecond))
		n, suspect := a.answersUntilSuspect(100, constant(80*time.Millisecond))
		is.True(suspect)
		is.True(n <= 24)
	})
	t.Run("slow answers to queued requests are no outliers", func(t *testing.T) {
		a := newTarget(1)
		_, _ = a.answersUntilSuspect(200, constant(13*time.Millisecond))
		for range 100 {
			a.Observe(route, 200*time.Millisecond, true, a.now)
		}
		is.New(t).True(!a.IsSuspect(a.now))
	})
	t.Run("a suspicion expires and lasts longer when it recurs", func(t *testing.T) {
		is := is.New(t)
		a := newTarget(1)
		_, _ = a.answersUntilSuspect(200, constant(13*time.Millisecond))
		for _, hold := range []time.Duration{2 * time.Second, 4 * time.Second, 8 * time.Second, 16 * time.Second, 16 * time.Second} {
			_, suspect := a.answersUntilSuspect(50, constant(300*time.Microsecond))
			is.True(suspect)
			is.True(a.IsSuspect(a.now.Add(hold - time.Millisecond)))
			a.now = a.now.Add(hold)
			is.True(!a.IsSuspect(a.now))
		}
	})
	t.Run("no answer is an outlier before the baseline is known", func(t *testing.T) {
		_, suspect := newTarget(1).answersUntilSuspect(warmupAnswers, constant(time.Millisecond))
		is.New(t).True(!suspect)
	})
	// Guards against a target that resets its requests: it is always idle, and
	// answers nothing whose time could be compared.
	t.Run("a target that resets requests becomes suspect at the second one, and at the next one later", func(t *testing.T) {
		is := is.New(t)
		a := newTarget(1)
		a.ObserveReset(a.now)
		is.True(!a.IsSuspect(a.now))
		a.answer(13 * time.Millisecond)
		a.ObserveReset(a.now)
		is.True(a.IsSuspect(a.now))
		for _, hold := range []time.Duration{2 * time.Second, 4 * time.Second} {
			is.True(a.IsSuspect(a.now.Add(hold - time.Millisecond)))
			a.now = a.now.Add(hold)
			is.True(!a.IsSuspect(a.now))
			a.ObserveReset(a.now)
			is.True(a.IsSuspect(a.now))
		}
	})
	t.Run("a reset long ago does not count", func(t *testing.T) {
		a := newTarget(1)
		a.ObserveReset(a.now)
		for range windowSize {
			a.answer(13 * time.Millisecond)
		}
		a.ObserveReset(a.now)
		is.New(t).True(!a.IsSuspect(a.now))
	})
}
