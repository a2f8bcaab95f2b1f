package follower

import (
	"context"
	"math/rand/v2"
	"net/netip"
	"time"

	"kingcupvalve.example/kingcupvalve/internal/router"
)

const (
	// departureSearchTimeout bounds the time in which a process that has just started
	// asks its peers for departed targets, and resets no flow that it can't find.
	departureSearchTimeout = 2 * time.Second
	// maxUnknowingAnswers is the number of peers that are asked although the earlier
	// ones had just started, too. If all processes start together, none knows more.
	maxUnknowingAnswers = 3
)

// departureSearch is the state of the search for targets that departed before this
// process started. The platform lists them no more, but they may hold flows.
type departureSearch struct {
	deadline time.Time
	// unknowing is the number of answers from peers that had just started, too.
	unknowing int
	// gapEnd identifies the gap in the route history that the search is for, and
	// abandonedGapEnd the one that no peer could close.
	gapEnd, abandonedGapEnd time.Time
}

// Departures returns the targets that a process whose table is complete up to a
// position may lack, because they departed before it started. It returns false if the
// context ends first.
func (f *Follower) Departures(ctx context.Context, known router.Position) (Batch, bool) {
	return f.ask(ctx, request{after: known, departuresOnly: true, reply: make(chan Batch, 1)})
}

// needsDepartures reports whether departed targets or former services of routes are
// missing that a peer may know.
func (f *Follower) needsDepartures(now time.Time) bool {
	lacksHistory := !f.registrar.KnowsRouteHistory(now) && f.registrar.HistoryGapEnd() != f.departures.abandonedGapEnd
	return f.registrar.HasConfig() && (!f.registrar.KnowsDepartures() || lacksHistory)
}

// searchDepartures asks a random peer or seed for departed targets and former
// services of routes, and ends the search after its deadline.
func (f *Follower) searchDepartures(ctx context.Context, now time.Time) {
	if end := f.registrar.HistoryGapEnd(); end != f.departures.gapEnd {
		f.departures = departureSearch{deadline: now.Add(departureSearchTimeout), gapEnd: end}
	}
	if !now.Before(f.departures.deadline) {
		f.finishDepartures(now)
		return
	}
	var peers []netip.Addr
	for _, p := range f.options.Peers() {
		peers = append(peers, p.Address)
	}
	if len(peers) == 0 {
		peers = f.options.Seeds()
	}
	if len(peers) == 0 {
		return
	}
	peer := peers[rand.IntN(len(peers))]
	known := f.registrar.Position()
	f.startFetch(ctx, result{peer: peer, isDepartures: true}, func(ctx context.Context) (Batch, error) {
		return f.options.FetchDepartures(ctx, peer, known)
	})
}

// applyDepartures merges the departed targets and former services that a peer knows.
// Those that a peer learnt since its own start are used, too, but do not end the
// search.
func (f *Follower) applyDepartures(r result, now time.Time) {
	changed := f.registrar.MergeDepartures(r.batch.Changes, now)
	changed = f.registrar.MergeHistory(r.batch.History, r.batch.Position, r.batch.KnowsRouteHistory, now) || changed
	if r.batch.KnowsDepartures {
		changed = f.registrar.FinishDepartures() || changed
	}
	f.evacuationDigest.Store(f.registrar.EvacuationDigest())
	if changed {
		f.publish(now, time.Time{})
		f.options.Logger.Info().Str("source", r.source).Int("changes", len(r.batch.Changes)).Int("routes", len(r.batch.History)).
			Msg("departed targets learnt from peer")
	}
	if !f.needsDepartures(now) {
		return
	}
	f.departures.unknowing++
	if f.departures.unknowing >= maxUnknowingAnswers {
		f.finishDepartures(now)
	}
}

// finishDepartures ends the search. Searches for open flows visit all services while
// a gap in the route history remains.
func (f *Follower) finishDepartures(now time.Time) {
	f.departures.abandonedGapEnd = f.registrar.HistoryGapEnd()
	changed := f.registrar.AbandonHistory()
	if f.registrar.FinishDepartures() || changed {
		f.publish(now, time.Time{})
	}
}
