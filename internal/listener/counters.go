package listener

import (
	"fmt"
	"sync/atomic"

	"github.com/VictoriaMetrics/metrics"
)

// event is the result of processing one datagram.
type event uint8

const (
	eventAccepted event = iota
	eventForwarded
	eventReset
	eventProbeAnswered
	eventSent
	dropTunnel
	dropDirection
	dropService
	dropAddress
	dropHops
	dropMalformed
	dropUnmarked
	dropMarkService
	dropMarkTarget
	dropResetLong
	dropSize
	dropNoTarget
	dropNoBalancer
	dropWrite
	eventCount
)

var eventNames = [eventCount]string{
	"accepted", "forwarded", "reset", "probe_answered", "sent",
	"drop_tunnel_invalid", "drop_direction", "drop_service", "drop_address", "drop_hops",
	"drop_malformed", "drop_unmarked", "drop_mark_service", "drop_mark_target", "drop_reset_long",
	"drop_size", "drop_no_target", "drop_no_balancer", "drop_write",
}

var eventMetrics = func() (m [eventCount]*metrics.Counter) {
	for i, name := range eventNames {
		m[i] = metrics.GetOrCreateCounter(fmt.Sprintf("kingcupvalve_listener_datagrams_total{result=%q}", name))
	}
	return m
}()

// counters counts the datagrams of one listener by result.
type counters [eventCount]atomic.Uint64

func (c *counters) add(e event) {
	c[e].Add(1)
	eventMetrics[e].Inc()
}

// Counters returns the number of datagrams by result. The names are those of
// the metric kingcupvalve_listener_datagrams_total.
func (l *Listener) Counters() map[string]uint64 {
	m := make(map[string]uint64, eventCount)
	for i, name := range eventNames {
		m[name] = l.counters[i].Load()
	}
	return m
}
