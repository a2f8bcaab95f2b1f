package deliverer

import (
	"fmt"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"kingcupvalve.example/kingcupvalve/internal/admitter"
	"kingcupvalve.example/kingcupvalve/internal/batcher"
	"kingcupvalve.example/kingcupvalve/internal/framer"
	"kingcupvalve.example/kingcupvalve/internal/placer"
	"kingcupvalve.example/kingcupvalve/internal/recorder"
)

// maxPriorityLabel is the largest priority with a metric of its own, so that the
// configuration does not determine the number of metrics.
const maxPriorityLabel = 9

// countAdmission counts an opening packet that was decided by priority.
func countAdmission(decision placer.Decision) {
	a := decision.Admission
	if !a.IsDecided {
		return
	}
	result, reason := "accepted", ""
	if a.Verdict == admitter.Waiting {
		result = "waiting"
	}
	if !a.Verdict.IsAccepted() {
		reason = a.Verdict.String()
		switch decision.Action {
		case placer.PassOn:
			result = "passed_on"
		case placer.Refuse:
			result = "refused"
		default:
			result = "dropped"
		}
	}
	metrics.GetOrCreateCounter(fmt.Sprintf(
		"kingcupvalve_deliverer_openings_total{priority=\"%d\",result=%q,reason=%q}", min(a.Opening.Priority, maxPriorityLabel), result, reason,
	)).Inc()
}

// refuse resets the flow of an opening packet whose request can't be served in time.
func (d *Deliverer) refuse(a placer.Admission, p framer.Packet, datagram []byte, writer *batcher.Writer, now time.Time) {
	d.options.Logger.Debug().Stringer("caller", p.Source).Stringer("published_address", p.Destination).Uint32("copy", p.AckNumber).
		Int("priority", a.Opening.Priority).Stringer("reason", a.Verdict).Int("running", a.State.Pending).Uint8("hops", p.Mark.Hops).
		Msg("new flow refused")
	d.options.Record(d.options.Service, recorder.OutcomeRefused, now)
	d.sendReset(p, datagram, writer)
}
