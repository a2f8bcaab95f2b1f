package follower

import (
	"context"
	"net/netip"
	"time"

	"github.com/ansel1/merry/v2"

	"kingcupvalve.example/kingcupvalve/internal/registrar"
	"kingcupvalve.example/kingcupvalve/internal/router"
)

// ErrCompacted reports that the platform no longer has the changes after a
// revision, so that all items have to be read.
var ErrCompacted = merry.New("changes are no longer available")

// ErrNoConfig reports that the platform answers, but that operators have not published
// a configuration yet.
var ErrNoConfig = merry.New("no configuration is published")

// Batch is a set of items and the position up to which it is complete.
type Batch struct {
	Changes []registrar.Change
	// Position is that of the source. Its epoch is also set on the empty batch of a
	// failed read that the platform answered.
	router.Position
	// IsSnapshot is set on a batch of all items, not only of the changed ones.
	IsSnapshot bool
	// KnowsDepartures is set if the peer that sent the batch knows the targets that
	// departed before it started.
	KnowsDepartures bool
	// History has the former services of the routes that the sending peer knows.
	// KnowsRouteHistory is set if it has had the configurations before the newest one in
	// force.
	History           registrar.RouteHistory
	KnowsRouteHistory bool
	// ConfirmedAt is when the batch was last known to be current.
	ConfirmedAt time.Time
}

// Source reads the configuration and the targets from the platform.
type Source struct {
	// Read returns all items. It fails with ErrNoConfig if there is no configuration.
	Read func(ctx context.Context) (Batch, error)
	// Watch waits for changes after a revision of the platform's current epoch and
	// returns them as soon as there are any, or an empty batch after the wait. It
	// fails with ErrCompacted if the platform does not have the changes after the
	// revision.
	Watch func(ctx context.Context, after uint64, wait time.Duration) (Batch, error)
}

// Peer is the state of another process's table.
type Peer struct {
	Address netip.Addr
	router.Position
	// Version is that of the configuration.
	Version uint64
	// EvacuationDigest tells sets of evacuated zones apart; it is 0 if the position does.
	EvacuationDigest uint32
	ConfirmedAt      time.Time
}
