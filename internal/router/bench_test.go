package router

import (
	"fmt"
	"net/netip"
	"testing"

	"kingcupvalve.example/kingcupvalve/internal/framer"
)

// newFleet returns a configuration with one route for every two targets, the
// ratio of a fleet of the size that the project is designed for.
func newFleet(targets int) (Config, []Target) {
	config := Config{Version: 1}
	var all []Target
	for i := range targets {
		service := fmt.Sprint("service-", i/2)
		all = append(all, Target{
			ID: fmt.Sprint("i-", i), Service: service,
			Address: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, byte(i >> 16), byte(i >> 8), byte(i)}), 80),
		})
		if i%2 == 0 {
			address := netip.AddrPortFrom(netip.AddrFrom4([4]byte{198, 18, byte(i >> 8), byte(i)}), 443)
			config.Routes = append(config.Routes, Route{Address: address, Shares: []Share{{Service: service, Weight: 1}}})
		}
	}
	return config, all
}

// BenchmarkNewTable measures the cost per target of a table rebuild, a slope in
// docs/CAPACITY.md.
func BenchmarkNewTable(b *testing.B) {
	for _, n := range []int{1000, 2000, 4000, 8000} {
		config, targets := newFleet(n)
		b.Run(fmt.Sprint("targets=", n), func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				NewTable(config, targets, Position{Revision: 1})
			}
		})
	}
}

// BenchmarkSearch measures the cost per target of a search, a slope in
// docs/CAPACITY.md.
func BenchmarkSearch(b *testing.B) {
	for _, n := range []int{8, 16, 32, 64} {
		var targets []Target
		for i := range n {
			targets = append(targets, Target{ID: fmt.Sprint("i-", i), Service: "feeds"})
		}
		table, route := newTable([]Share{{Service: "feeds", Weight: 1}}, targets...)
		b.Run(fmt.Sprint("targets=", n), func(b *testing.B) {
			b.ReportAllocs()
			key := uint64(1)
			for b.Loop() {
				key += 0x9e3779b97f4a7c15
				table.FindNextHop(route, key, framer.Mark{Progress: framer.StartProgress}, acceptAll)
			}
		})
	}
}
