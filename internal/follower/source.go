package follower

import (
	"context"
	"net/netip"
	"time"

	"github.com/ansel1/merry/v2"

	"kingcupvalve.example/kingcupvalve/internal/registrar"
)

// ErrCompacted reports that the platform no longer has the changes after a
// revision.
var ErrCompacted = merry.New("changes are no longer available")

// Batch is a set of items and the revision that it is complete up to.
type Batch struct {
	Changes  []registrar.Change
	Revision uint64
	// IsWhole is set on a batch with every item, not only the changed ones.
	IsWhole bool
	// ConfirmedAt is when the batch was last known to be current.
	ConfirmedAt time.Time
}

// Source reads the platform.
type Source struct {
	// Read returns all items.
	Read func(ctx context.Context) (Batch, error)
	// Watch returns the changes after a revision, as soon as there are any or
	// after the wait. It fails with ErrCompacted when it can't.
	Watch func(ctx context.Context, after uint64, wait time.Duration) (Batch, error)
}

// Peer is what the follower needs to know of another process.
type Peer struct {
	Address     netip.Addr
	Revision    uint64
	ConfirmedAt time.Time
}
