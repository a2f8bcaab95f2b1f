package listener

import (
	"fmt"
	"sync/atomic"

	"github.com/VictoriaMetrics/metrics"
)

// result says how one datagram was handled. It is the label of the metric
// kingcupvalve_listener_datagrams_total.
type result uint8

const (
	resultAccepted result = iota
	resultForwarded
	resultReset
	resultProbeAnswered
	resultSent
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
	dropReceive
	resultCount
)

var resultNames = [resultCount]string{
	"accepted", "forwarded", "reset", "probe_answered", "sent",
	"drop_tunnel_invalid", "drop_direction", "drop_service", "drop_address", "drop_hops",
	"drop_malformed", "drop_unmarked", "drop_mark_service", "drop_mark_target", "drop_reset_long",
	"drop_size", "drop_no_target", "drop_no_balancer", "drop_write",
	"drop_receive_failed",
}

var resultMetrics = func() (m [resultCount]*metrics.Counter) {
	for i, name := range resultNames {
		m[i] = metrics.GetOrCreateCounter(fmt.Sprintf("kingcupvalve_listener_datagrams_total{result=%q}", name))
	}
	return m
}()

// counters counts the datagrams of one listener by result.
type counters [resultCount]atomic.Uint64

func (c *counters) add(r result) {
	c[r].Add(1)
	resultMetrics[r].Inc()
}

// Counters returns the number of datagrams by result. The names are those of
// the metric kingcupvalve_listener_datagrams_total.
func (l *Listener) Counters() map[string]uint64 {
	m := make(map[string]uint64, resultCount)
	for i, name := range resultNames {
		m[name] = l.counters[i].Load()
	}
	return m
}
