// Package deliverer is the data path of an agent for packet flows: it delivers
// callers' packets to the target on its host, sends the target's packets
// directly to the callers, and passes packets on that the target does not get.
// Package placer decides which these are.
//
// # Usage
//
//	d, err := deliverer.NewDeliverer(ctx, deliverer.Options{Address: address, Outbound: outbound, Backend: app, ...})
//	err = d.Run()
package deliverer

import (
	"context"
	"errors"
	"net/netip"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/ansel1/merry/v2"
	"github.com/rs/zerolog"
	"golang.org/x/sync/errgroup"

	"kingcupvalve.example/kingcupvalve/internal/admitter"
	"kingcupvalve.example/kingcupvalve/internal/batcher"
	"kingcupvalve.example/kingcupvalve/internal/chooser"
	"kingcupvalve.example/kingcupvalve/internal/framer"
	"kingcupvalve.example/kingcupvalve/internal/pacer"
	"kingcupvalve.example/kingcupvalve/internal/placer"
	"kingcupvalve.example/kingcupvalve/internal/recorder"
	"kingcupvalve.example/kingcupvalve/internal/router"
	"kingcupvalve.example/kingcupvalve/internal/tracker"
)

var (
	delivered      = metrics.GetOrCreateCounter("kingcupvalve_deliverer_packets_delivered_total")
	answered       = metrics.GetOrCreateCounter("kingcupvalve_deliverer_packets_answered_total")
	returned       = metrics.GetOrCreateCounter("kingcupvalve_deliverer_packets_returned_total")
	passedOn       = metrics.GetOrCreateCounter("kingcupvalve_deliverer_packets_passed_on_total")
	malformed      = metrics.GetOrCreateCounter(`kingcupvalve_deliverer_packets_dropped_total{reason="malformed"}`)
	unrouted       = metrics.GetOrCreateCounter(`kingcupvalve_deliverer_packets_dropped_total{reason="unrouted"}`)
	resetsSent     = metrics.GetOrCreateCounter("kingcupvalve_deliverer_resets_total")
	branchesEnded  = metrics.GetOrCreateCounter(`kingcupvalve_deliverer_packets_dropped_total{reason="branch ended"}`)
	copiesRefused  = metrics.GetOrCreateCounter(`kingcupvalve_deliverer_packets_dropped_total{reason="cold target"}`)
	probed         = metrics.GetOrCreateCounter("kingcupvalve_deliverer_probes_total")
	probesAnswered = metrics.GetOrCreateCounter("kingcupvalve_deliverer_probe_answers_total")
	exhausted      = metrics.GetOrCreateCounter(`kingcupvalve_deliverer_packets_dropped_total{reason="no target left"}`)
)

// Counters returns the packet counters of the process by name.
func Counters() map[string]uint64 {
	return map[string]uint64{
		"packets_delivered": delivered.Get(), "packets_answered": answered.Get(), "packets_returned": returned.Get(),
		"packets_passed_on": passedOn.Get(), "drop_malformed": malformed.Get(), "drop_unrouted": unrouted.Get(),
		"drop_no_target_left": exhausted.Get(), "drop_branch_ended": branchesEnded.Get(), "drop_cold_target": copiesRefused.Get(),
		"resets_sent": resetsSent.Get(), "openings_refused_cold": pacer.Refused(),
		"probes": probed.Get(), "probe_answers": probesAnswered.Get(),
	}
}

// Options configures a Deliverer.
type Options struct {
	// Address is the UDP address that balancers and agents send to.
	Address netip.AddrPort
	// Outbound is the UDP address that the target sends to.
	Outbound netip.AddrPort
	// Backend is the UDP address of the target.
	Backend netip.AddrPort
	// Service is the service that the target serves.
	Service string
	// Zone is the availability zone of the target.
	Zone    string
	Codec   framer.Codec
	Table   func() *router.Table
	Chooser *chooser.Chooser
	Tracker *tracker.Tracker
	// Pacer bounds the opening packets while the target is cold.
	Pacer *pacer.Pacer
	// Admitter decides about new flows by priority; nil if the slots alone decide.
	Admitter *admitter.Admitter
	// TableAge returns the time since the table was last known to be current.
	TableAge func(now time.Time) time.Duration
	// ConclusiveAge returns the age of the table for conclusions from what it lacks.
	ConclusiveAge func(now time.Time) time.Duration
	// SendHint tells a balancer that the agent's target holds a flow.
	SendHint func(balancer netip.Addr, flow uint64, target uint32)
	// SendSearchEnd tells a balancer that no target holds a flow. The target is the
	// agent's own one.
	SendSearchEnd func(balancer netip.Addr, flow uint64, target uint32)
	// Record counts the outcome of a request to a service.
	Record func(service string, o recorder.Outcome, now time.Time)
	Logger zerolog.Logger
}

// Deliverer moves packets between balancers, agents, callers and one target.
type Deliverer struct {
	options  Options
	conn     *batcher.Conn
	outbound *batcher.Conn
	placer   *placer.Agent
}

// NewDeliverer binds the UDP sockets. It fails if an address can't be bound.
func NewDeliverer(ctx context.Context, options Options) (*Deliverer, error) {
	conn, err := batcher.Listen(ctx, options.Address)
	if err != nil {
		return nil, merry.Prepend(err, "start deliverer")
	}
	outbound, err := batcher.Listen(ctx, options.Outbound)
	if err != nil {
		_ = conn.Close()
		return nil, merry.Prepend(err, "start deliverer")
	}
	return &Deliverer{options: options, conn: conn, outbound: outbound, placer: placer.NewAgent(placer.AgentOptions{
		Backend: options.Backend, Service: options.Service, Zone: options.Zone, Chooser: options.Chooser, Tracker: options.Tracker,
		Pacer: options.Pacer, Admitter: options.Admitter,
	})}, nil
}

// RefuseNewFlows makes the deliverer forward new flows to other targets from now
// on.
func (d *Deliverer) RefuseNewFlows() { d.placer.RefuseNewFlows() }

// Stop ends Run after the packets that have arrived are handled.
func (d *Deliverer) Stop() error {
	return errors.Join(d.conn.StopReading(), d.outbound.StopReading())
}

// Close closes the sockets, which ends Run at once.
func (d *Deliverer) Close() error { return errors.Join(d.conn.Close(), d.outbound.Close()) }

// Run handles packets in both directions until Stop or Close is called.
func (d *Deliverer) Run() error {
	var group errgroup.Group
	group.Go(func() error { return d.conn.Serve(d.conn, d.options.Logger, func() {}, d.deliver) })
	group.Go(func() error { return d.outbound.Serve(d.conn, d.options.Logger, func() {}, d.forwardToCaller) })
	return group.Wait()
}

// deliver handles a caller's packet that a balancer or another agent sent.
func (d *Deliverer) deliver(datagram []byte, writer *batcher.Writer, now time.Time) {
	p, ok := d.options.Codec.Decode(datagram)
	if !ok {
		malformed.Inc()
		return
	}
	table := d.options.Table()
	route, ok := table.FindRoute(p.Destination)
	decision := placer.Decision{Action: d.placer.DecideUnrouted(table, p)}
	if ok {
		decision = d.placer.Decide(table, route, p, d.options.ConclusiveAge(now), now)
	}
	countAdmission(decision)
	if decision.Action == placer.Probe {
		d.sendToTarget(datagram, p, writer)
		probed.Inc()
		return
	}
	if decision.Action != placer.Deliver {
		if !ok {
			unrouted.Inc()
			return
		}
		if decision.IsEvacuated {
			d.options.Logger.Info().Stringer("caller", p.Source).Stringer("published_address", p.Destination).Uint32("copy", p.AckNumber).
				Uint8("hops", p.Mark.Hops).Uint64("version", table.Version()).Dur("table_age_ms", d.options.TableAge(now)).
				Msg("new flow refused by evacuated target")
		}
		d.act(decision, table, p, datagram, writer, now)
		return
	}
	if p.SYN {
		d.logAcceptedFlow(table, p, now)
	}
	if via, ok := d.options.Tracker.ObserveCallerPacket(p.Key(), p, now); ok {
		d.sendHint(via, p.Key())
	}
	d.sendToTarget(datagram, p, writer)
	delivered.Inc()
}

// sendToTarget hands a packet to the own target, which returns only the progress of the
// mark.
func (d *Deliverer) sendToTarget(datagram []byte, p framer.Packet, writer *batcher.Writer) {
	d.options.Codec.Mark(datagram, framer.Mark{Progress: p.Mark.Progress})
	to := batcher.NewSockaddr(d.options.Backend)
	writer.Add(datagram, &to)
}

func (d *Deliverer) logAcceptedFlow(table *router.Table, p framer.Packet, now time.Time) {
	load := d.options.Tracker.Load(now)
	d.options.Logger.Info().Stringer("caller", p.Source).Stringer("published_address", p.Destination).Uint32("copy", p.AckNumber).
		Int("running", load.Running).Int("flows", load.Flows).Uint8("hops", p.Mark.Hops).
		Bool("second_pass", p.Mark.Pass().IsSecond()).Uint64("version", table.Version()).
		Dur("table_age_ms", d.options.TableAge(now)).Msg("flow placed")
}

// forwardToCaller sends a packet of the target to its caller, or continues the
// search if the target returned the packet.
func (d *Deliverer) forwardToCaller(datagram []byte, writer *batcher.Writer, now time.Time) {
	p, ok := d.options.Codec.Decode(datagram)
	if !ok {
		malformed.Inc()
		return
	}
	if p.IsReturned {
		d.continueSearch(datagram, p, writer, now)
		return
	}
	key := p.ReverseKey()
	if d.options.Tracker.AnswersProbe(key) {
		probesAnswered.Inc()
		return
	}
	if via, ok := d.options.Tracker.ObserveTargetPacket(key, p, now); ok {
		d.sendHint(via, key)
	}
	to := batcher.NewSockaddr(netip.AddrPortFrom(p.Destination.Addr(), d.options.Address.Port()))
	writer.Add(datagram, &to)
	answered.Inc()
}

// sendHint tells a balancer that the agent's target holds a flow.
func (d *Deliverer) sendHint(via netip.Addr, flow uint64) {
	if number, _, ok := d.placer.FindOwnTarget(d.options.Table()); ok {
		d.options.SendHint(via, flow, number)
	}
}

// continueSearch sends a packet that the agent's target did not accept to the next
// target of its search.
func (d *Deliverer) continueSearch(datagram []byte, p framer.Packet, writer *batcher.Writer, now time.Time) {
	returned.Inc()
	mark := d.options.Tracker.ObserveReturnedPacket(p.Key(), p, now)
	p.Mark.Via, p.Mark.Hops = mark.Via, mark.Hops
	table := d.options.Table()
	route, ok := table.FindRoute(p.Destination)
	if !ok {
		unrouted.Inc()
		return
	}
	d.act(d.placer.PassOn(table, route, p, d.options.ConclusiveAge(now)), table, p, datagram, writer, now)
}

// act carries out a decision about a packet that the agent's target does not get.
func (d *Deliverer) act(decision placer.Decision, table *router.Table, p framer.Packet, datagram []byte, writer *batcher.Writer, now time.Time) {
	if decision.Action == placer.DropCopy {
		copiesRefused.Inc()
		return
	}
	if decision.Action != placer.PassOn {
		d.endSearch(decision, table, p, datagram, writer, now)
		return
	}
	d.options.Codec.Mark(datagram, decision.Hop.Mark)
	to := batcher.NewSockaddr(netip.AddrPortFrom(decision.Hop.Target.Address.Addr(), d.options.Address.Port()))
	writer.Add(datagram, &to)
	passedOn.Inc()
}

// endSearch drops a packet for which no target is left, and resets its flow if
// the decision says so.
func (d *Deliverer) endSearch(decision placer.Decision, table *router.Table, p framer.Packet, datagram []byte, writer *batcher.Writer, now time.Time) {
	if p.Mark.IsBranch() {
		branchesEnded.Inc()
		return
	}
	exhausted.Inc()
	if decision.Action == placer.Refuse {
		d.refuse(decision.Admission, p, datagram, writer, now)
		return
	}
	needsReset := decision.Action == placer.Reset
	d.options.Logger.Info().Stringer("caller", p.Source).Stringer("published_address", p.Destination).Bool("opens", p.SYN).
		Bool("reset", needsReset).Uint8("hops", p.Mark.Hops).Uint64("version", table.Version()).
		Dur("table_age_ms", d.options.TableAge(now)).Msg("no target left for packet")
	if p.SYN {
		d.options.Record(d.options.Service, recorder.OutcomeRefused, now)
	}
	if !needsReset {
		return
	}
	d.endFlow(p, table, datagram, writer, now)
}

// endFlow resets the flow of a packet. A flow that was open is broken, and the
// balancer that searches for it learns the end of the search.
func (d *Deliverer) endFlow(p framer.Packet, table *router.Table, datagram []byte, writer *batcher.Writer, now time.Time) {
	if !p.SYN {
		d.options.Record(d.options.Service, recorder.OutcomeBroken, now)
	}
	if number, _, ok := d.placer.FindOwnTarget(table); ok && !p.SYN && p.Mark.Via.IsValid() {
		d.options.SendSearchEnd(p.Mark.Via, p.Key(), number)
	}
	d.sendReset(p, datagram, writer)
}

// sendReset answers a caller's packet with a reset of its flow.
func (d *Deliverer) sendReset(p framer.Packet, datagram []byte, writer *batcher.Writer) {
	reset := d.options.Codec.EncodeReset(datagram[:0], p)
	to := batcher.NewSockaddr(netip.AddrPortFrom(p.Source.Addr(), d.options.Address.Port()))
	writer.Add(reset, &to)
	resetsSent.Inc()
}

// ResetDeadFlows resets the flows that died with the target, so that their callers
// need not wait for an answer on the next request. The process has run without a
// pause since the given time.
func (d *Deliverer) ResetDeadFlows(runningSince, now time.Time) {
	packets := d.options.Tracker.TakeDeadFlows(runningSince, now)
	if len(packets) == 0 {
		return
	}
	writer := batcher.NewWriter(len(packets))
	for _, p := range packets {
		to := batcher.NewSockaddr(netip.AddrPortFrom(p.Source.Addr(), d.options.Address.Port()))
		writer.Add(d.options.Codec.EncodeReset(nil, p), &to)
	}
	failed, excess := writer.Flush(d.conn)
	resetsSent.Add(len(packets))
	d.options.Logger.Warn().Int("flows", len(packets)).Int("failed", failed+excess).Msg("flows of dead target reset")
}
