package listener

import (
	"net/netip"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"
)

// TestProbes guards against probes that traffic makes unnecessary, and against
// an agent that probes balancers that are down instead of live ones.
func TestProbes(t *testing.T) {
	start := time.Unix(1000, 0)
	var candidates []netip.AddrPort
	for i := range maxProbeCandidates {
		candidates = append(candidates, netip.AddrPortFrom(callerAddress.Addr(), uint16(i+1)))
	}
	otherBalancer := netip.MustParseAddrPort("127.0.0.9:1")
	recordAll := func(r *balancerTable, balancers []netip.AddrPort, now time.Time) {
		for _, b := range balancers {
			r.recordDatagram(b, false, now)
		}
	}
	t.Run("an agent without traffic probes enough balancers in every interval", func(t *testing.T) {
		is := is.New(t)
		var r balancerTable
		for turn := range 20 {
			now := start.Add(time.Duration(turn) * ProbeInterval)
			probed := r.selectProbes(candidates, turn, now)
			is.Equal(len(probed), MinRecentBalancers)
			recordAll(&r, probed, now.Add(time.Millisecond))
		}
	})
	t.Run("traffic through enough balancers of any kind stops the probes", func(t *testing.T) {
		is := is.New(t)
		var r balancerTable
		recordAll(&r, candidates[:MinRecentBalancers-1], start)
		is.Equal(len(r.selectProbes(candidates, 0, start)), 1)
		r.recordDatagram(otherBalancer, false, start)
		is.Equal(len(r.selectProbes(candidates, 0, start)), 0)
		r.recordDatagram(otherBalancer, true, start)
		is.Equal(len(r.selectProbes(candidates, 0, start)), 1) // one that leaves does not count
	})
	t.Run("enough live balancers are found among those that are down", func(t *testing.T) {
		is := is.New(t)
		var r balancerTable
		alive := candidates[maxProbeCandidates-MinRecentBalancers:]
		now := start
		for turn := range 2 * maxProbeCandidates {
			now = start.Add(time.Duration(turn) * ProbeInterval)
			for _, b := range r.selectProbes(candidates, turn, now) {
				if slices.Contains(alive, b) {
					r.recordDatagram(b, false, now)
				}
			}
		}
		is.Equal(len(r.selectProbes(candidates, 0, now)), 0)
		chosen, ok := r.selectBalancer(callerAddress, now)
		is.True(ok)
		is.True(slices.Contains(alive, chosen))
	})
	t.Run("all candidates are probed if there are fewer than needed", func(t *testing.T) {
		is := is.New(t)
		var r balancerTable
		is.Equal(len(r.selectProbes(candidates[:2], 3, start)), 2)
		is.Equal(len(r.selectProbes(nil, 3, start)), 0)
	})
}
