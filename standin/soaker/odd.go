package soaker

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/netip"
	"time"

	"kingcupvalve.example/kingcupvalve/platform/standin"
)

const (
	// oddInterval is the time between two odd entries.
	oddInterval = 150 * time.Millisecond
	// oddWriters is the number of keys of other writers. Their entries replace each
	// other.
	oddWriters = 20
)

// writeOddEntries writes entries of other writers for the time with faults, and
// removes them afterwards. None of them names a target, and the other entries hold,
// so it is no fault after which the guarantees pause. It draws from a source of its
// own, so that the faults of a seed stay the same.
func (s *Soak) writeOddEntries(ctx context.Context) {
	e := s.environment
	random := rand.New(rand.NewPCG(e.options.Seed, 2))
	for end := time.Now().Add(e.options.Length); time.Now().Before(end) && ctx.Err() == nil; sleep(ctx, oddInterval) {
		address := publishedAddress(0).String()
		if p := e.agents[random.IntN(len(e.agents))]; random.IntN(2) == 0 {
			address = netip.AddrPortFrom(p.address, e.backendPort).String()
		}
		e.store.PutBytes(oddKey(random.IntN(oddWriters)), standin.OddEntry(random, address))
	}
	for i := range oddWriters {
		e.store.Remove(oddKey(i))
	}
}

func oddKey(writer int) string { return standin.EntryKey(fmt.Sprint("other-", writer)) }
