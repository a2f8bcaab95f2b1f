package forwarder

import (
	"bytes"
	"net/netip"

	"github.com/VictoriaMetrics/metrics"

	"kingcupvalve.example/kingcupvalve/internal/batcher"
	"kingcupvalve.example/kingcupvalve/internal/framer"
	"kingcupvalve.example/kingcupvalve/internal/router"
)

// maxQueuedProbes is the number of probes that may wait to be sent; the next report of a
// silent target brings another one.
const maxQueuedProbes = 64

var probesSent = metrics.GetOrCreateCounter("kingcupvalve_steerer_probes_total")

// probe is a copy of an opening packet for the agent of a silent target.
type probe struct {
	datagram []byte
	to       batcher.Sockaddr
}

// probeSilent sends copies of an opening packet, which goes to the target with a number,
// to silent targets. It must be called before the packet is marked.
func (f *Forwarder) probeSilent(table *router.Table, route *router.Route, p framer.Packet, datagram []byte, placed uint32) {
	for _, hop := range f.placer.Probes(table, route, p, placed) {
		b := bytes.Clone(datagram)
		f.options.Codec.Mark(b, hop.Mark)
		select {
		case f.probes <- probe{datagram: b, to: batcher.NewSockaddr(netip.AddrPortFrom(hop.Target.Address.Addr(), f.options.Address.Port()))}:
			probesSent.Inc()
		default:
		}
	}
}

// sendProbes sends probes until done is closed.
func (f *Forwarder) sendProbes(done <-chan struct{}) {
	writer := batcher.NewWriter(1)
	for {
		select {
		case <-done:
			return
		case p := <-f.probes:
			writer.Add(p.datagram, &p.to)
			f.flush(writer)
		}
	}
}

// ObserveReport records whether the agent of a target reports it as silent. It is safe
// for concurrent use.
func (f *Forwarder) ObserveReport(target uint32, isSilent bool) {
	f.placer.ObserveReport(target, isSilent)
}
