package soaker

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/netip"
	"strings"
	"time"

	"kingcupvalve.example/kingcupvalve/platform/standin"
)

const (
	// oddInterval is the time between two odd entries.
	oddInterval = 150 * time.Millisecond
	// oddWriters is the number of keys of other writers. Their entries replace each
	// other.
	oddWriters = 20
	// oddSize is the size of long parts of odd entries in bytes.
	oddSize = 100_000
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
		e.store.PutBytes(oddKey(random.IntN(oddWriters)), []byte(oddEntry(random, address)))
	}
	for i := range oddWriters {
		e.store.Remove(oddKey(i))
	}
}

func oddKey(writer int) string { return standin.EntryKey(fmt.Sprint("other-", writer)) }

// oddEntry returns an entry that is complete but for one part, or no entry at all.
func oddEntry(random *rand.Rand, address string) string {
	fields := map[string]string{
		"service": `"feeds"`, "addr": fmt.Sprintf("%q", address), "zone": fmt.Sprintf("%q", zone), "configVersion": `"v1"`,
		"slots": "2", "state": `"ready"`, "coldLeftMs": "0", "sequence": "4", "born": "1700000000000",
	}
	long, nested := strings.Repeat("9", oddSize), strings.Repeat("[", oddSize)
	odd := [][2]string{
		{"slots", "1e400"}, {"slots", long}, {"slots", "-1"}, {"slots", `"2"`}, {"sequence", "1e300"}, {"coldLeftMs", long}, {"born", long},
		{"addr", `"127.0.0.1:70000"`}, {"addr", `"127.0.0.1:0"`}, {"addr", `"[::1]:80"`}, {"addr", "[]"}, {"state", `"asleep"`}, {"state", "7"},
		{"service", `"unknown"`}, {"service", `"` + long + `"`}, {"zone", `"` + long + `"`}, {"more", nested},
		{"more", nested + strings.Repeat("]", oddSize)}, {"slots", "null"}, {"zone", "{}"},
	}
	change := odd[random.IntN(len(odd))]
	fields[change[0]] = change[1]
	parts := make([]string, 0, len(fields))
	for name, value := range fields {
		parts = append(parts, fmt.Sprintf("%q:%s", name, value))
	}
	entry := "{" + strings.Join(parts, ",") + "}"
	if random.IntN(4) == 0 {
		return entry[:random.IntN(len(entry))]
	}
	return entry
}
