package balancer

import (
	"sync/atomic"

	"github.com/VictoriaMetrics/metrics"
)

// outcome says how a datagram or a control event was handled. It is the
// label of the metric kingcupvalve_balancer_datagrams_total.
type outcome uint8

const (
	forwardedMarked outcome = iota
	forwardedNew
	forwardedReset
	returned
	probeSent
	probeAnswered
	probeConfirmed
	suspectSent
	suspectWithheld
	suspectReceived
	unreachableReported

	// All outcomes from here on are reasons to drop a datagram.
	dropEmpty
	dropTruncated
	dropMalformed
	dropUnmarkedShort
	dropSmallInitial
	dropServiceMismatch
	dropUnknownTarget
	dropUnknownAddress
	dropNoTarget
	dropTooLarge
	dropTunnelInvalid
	dropTunnelDirection
	dropReturnService
	dropSendFailed
	dropSendExcess
	outcomeCount
)

var outcomeNames = [outcomeCount]string{
	"forwarded_marked", "forwarded_new", "forwarded_reset", "returned",
	"probe_sent", "probe_answered", "probe_confirmed",
	"suspect_sent", "suspect_withheld", "suspect_received", "unreachable_reported",
	"drop_empty", "drop_truncated", "drop_malformed", "drop_unmarked_short", "drop_small_initial",
	"drop_service_mismatch", "drop_unknown_target", "drop_unknown_address", "drop_no_target",
	"drop_too_large", "drop_tunnel_invalid", "drop_tunnel_direction", "drop_return_service", "drop_send_failed",
	"drop_send_excess",
}

// outcomeMetrics sum the outcomes of all balancers of the process.
var outcomeMetrics = func() (counters [outcomeCount]*metrics.Counter) {
	for i, n := range outcomeNames {
		counters[i] = metrics.GetOrCreateCounter(`kingcupvalve_balancer_datagrams_total{outcome="` + n + `"}`)
	}
	return counters
}()

// tally counts the outcomes of one batch. It belongs to one goroutine, so that
// the shared counters are updated once for each batch.
type tally [outcomeCount]uint64

// addFlush adds the result of batcher.Writer.Flush.
func (t *tally) addFlush(failed, excess int) {
	t[dropSendFailed] += uint64(failed)
	t[dropSendExcess] += uint64(excess)
}

// counters are the totals of one balancer.
type counters [outcomeCount]atomic.Uint64

func (c *counters) add(t *tally) {
	for i, n := range t {
		if n != 0 {
			c[i].Add(n)
			outcomeMetrics[i].AddInt64(int64(n))
			t[i] = 0
		}
	}
}

func (c *counters) count(o outcome, n uint64) {
	c[o].Add(n)
	outcomeMetrics[o].AddInt64(int64(n))
}

// Counters returns the number of datagrams and control events by outcome since
// the start. The
// names of drop reasons begin with drop_.
func (b *Balancer) Counters() map[string]uint64 {
	sums := make(map[string]uint64, outcomeCount)
	for i, n := range outcomeNames {
		sums[n] = b.counters[i].Load()
	}
	return sums
}
