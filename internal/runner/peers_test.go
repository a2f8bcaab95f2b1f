package runner

import (
	"math"
	"net/netip"
	"testing"

	"github.com/matryer/is"
	"google.golang.org/protobuf/proto"

	"kingcupvalve.example/kingcupvalve/internal/wirepb"
)

// TestForgedBeacon guards against a sender that is neither an agent of the table
// nor a seed, and whose beacon makes processes take over its table.
func TestForgedBeacon(t *testing.T) {
	const forger = 99
	is := is.New(t)
	f, agent := newServingFleet(t)
	b, err := proto.Marshal(&wirepb.Signal{Body: &wirepb.Signal_Beacon{Beacon: &wirepb.Beacon{Revision: math.MaxUint64}}})
	is.NoErr(err)
	conn := listen(t, netip.AddrPortFrom(host(forger), f.control))
	knows := func(address netip.Addr) bool {
		_, err := conn.WriteToUDPAddrPort(b, netip.AddrPortFrom(host(firstTarget), f.control))
		is.NoErr(err)
		for _, p := range agent.signaller.Peers() {
			if p.Address == address {
				return true
			}
		}
		return false
	}
	await(t, "the beacon to arrive", func() bool { return knows(host(forger)) })
	isFollowed := func(address netip.Addr) bool {
		for _, p := range agent.followerPeers() {
			if p.Address == address {
				return true
			}
		}
		return false
	}
	is.True(!isFollowed(host(forger)))
	await(t, "a beacon of the other agent", func() bool { return isFollowed(host(secondTarget)) })
	await(t, "a beacon of the seed", func() bool { return isFollowed(host(1)) })
}
