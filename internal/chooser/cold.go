package chooser

import (
	"encoding/binary"
	"math"

	"github.com/cespare/xxhash/v2"

	"kingcupvalve.example/kingcupvalve/internal/router"
)

// coldFilter selects the flows for which a search visits cold targets. Agents refuse
// the opening packets above the bound of their cold targets, and without a filter
// these would be passed from one cold target to the next through a whole fleet.
type coldFilter struct {
	chooser *Chooser
	table   *router.Table
	service string
	key     uint64
	// timesRate is the rate of a cold target times the service time of a warm one, if
	// hasTimesRate. It is computed when a search meets its first cold target.
	timesRate    float64
	hasTimesRate bool
}

// newColdFilter returns the filter of a flow, or nil if the service has no rate for
// cold targets.
func newColdFilter(c *Chooser, table *router.Table, service string, key uint64) *coldFilter {
	if !c.policy.SharesCold || table.ColdLimit(service).Rate <= 0 {
		return nil
	}
	return &coldFilter{chooser: c, table: table, service: service, key: key}
}

// isCold reports whether a target is cold, as its agent says. While there is no report
// that can be later than the target's entry, the entry counts.
func isCold(target *router.Target, r Report, known bool) bool {
	return r.IsCold || target.ColdFor > 0 && (!known || target.IsPropagating)
}

// accepts reports whether the search visits a cold target. The share of the flows is
// the rate of a cold target divided by what it bears when it is warm. A hash of flow
// and target selects them, so that copies of a packet take the same way.
func (f *coldFilter) accepts(number uint32, target *router.Target) bool {
	if !f.hasTimesRate {
		f.timesRate, f.hasTimesRate = f.findTimesRate(), true
	}
	slots := max(1, target.Slots)
	return hashShare(f.key, number)*float64(slots) < f.timesRate
}

// findTimesRate returns the rate of a cold target times the service time of the first
// warm target in the order of the flow. It is infinite if there is none: then all
// targets are cold, and the flows are spread over them, or warm ones get too little
// work to know their service time.
func (f *coldFilter) findTimesRate() float64 {
	number, _, ok := f.table.FindAnyTarget(f.service, f.key, f.isWarm)
	if !ok {
		return math.Inf(1)
	}
	return f.table.ColdLimit(f.service).Rate * f.chooser.ServiceTime(number).Seconds()
}

// isWarm reports whether a target is warm, gets new flows and has a known service
// time. That of a suspect target is no measure of what others bear.
func (f *coldFilter) isWarm(number uint32, target *router.Target) bool {
	if !target.TakesNewFlows() || f.chooser.isDown(number) {
		return false
	}
	r, known := f.chooser.report(number)
	return known && r.ServiceTime > 0 && !r.IsLeaving && !r.IsSilent && !r.IsSuspect && !isCold(target, r, known)
}

// hashShare returns a number from 0 to below 1 for a flow and a target.
func hashShare(key uint64, number uint32) float64 {
	var b [12]byte
	binary.LittleEndian.PutUint64(b[:8], key)
	binary.LittleEndian.PutUint32(b[8:], number)
	return float64(xxhash.Sum64(b[:])>>11) / (1 << 53)
}
