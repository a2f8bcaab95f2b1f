package runner

import (
	"fmt"
	"net/netip"
	"testing"

	"kingcupvalve.example/kingcupvalve/internal/registrar"
	"kingcupvalve.example/kingcupvalve/internal/router"
)

const oddTargets = 4

// TestTargetAtBalancer guards against an entry of another writer that names the
// address of a balancer: that balancer sent the packets of each search to itself over
// and over, or to the other one and back, and the search ended there.
func TestTargetAtBalancer(t *testing.T) {
	f := newFleet(t)
	for _, n := range []byte{firstTarget, secondTarget} {
		f.setTarget(n, router.Serving)
		f.serveTarget(n)
	}
	for n := byte(firstBalancer); n <= secondBalancer; n++ {
		for i := range oddTargets {
			id := fmt.Sprint("odd-", n, "-", i)
			f.set(registrar.Change{Key: id, Target: &router.Target{
				ID: id, Service: "feeds", Address: netip.AddrPortFrom(host(n), f.packets+10+uint16(i)), Slots: 64,
			}})
		}
	}
	for n, role := range map[byte]string{firstBalancer: "balancer", secondBalancer: "balancer", firstTarget: "agent", secondTarget: "agent"} {
		p := f.start(role, n)
		await(t, "table of all entries", func() bool {
			listed := 0
			p.follower.Table().VisitTargets(func(uint32, *router.Target) { listed++ })
			return listed == 2+2*oddTargets
		})
	}
	f.awaitReady(firstBalancer)
	f.awaitReady(secondBalancer)
	c := f.newCallers(callerHost, firstBalancer)
	owners := openFlows(c)
	// The second balancer has no hints for these flows, so that its searches meet the
	// odd entries.
	c.balancer = secondBalancer
	assertSameTargets(t, c, owners)
}
