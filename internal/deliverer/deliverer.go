// Package deliverer is the data path of an agent for packet flows: it hands
// packets to the target beside it, sends the target's packets to callers, and
// passes on what its target can't or shouldn't take.
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
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/ansel1/merry/v2"
	"github.com/rs/zerolog"
	"golang.org/x/sync/errgroup"

	"kingcupvalve.example/kingcupvalve/internal/batcher"
	"kingcupvalve.example/kingcupvalve/internal/chooser"
	"kingcupvalve.example/kingcupvalve/internal/framer"
	"kingcupvalve.example/kingcupvalve/internal/recorder"
	"kingcupvalve.example/kingcupvalve/internal/router"
	"kingcupvalve.example/kingcupvalve/internal/tracker"
)

// maxHops ends a packet that travels in a loop, which tables that change under
// way can cause.
const maxHops = 250

var (
	delivered  = metrics.GetOrCreateCounter("kingcupvalve_deliverer_packets_delivered_total")
	answered   = metrics.GetOrCreateCounter("kingcupvalve_deliverer_packets_answered_total")
	returned   = metrics.GetOrCreateCounter("kingcupvalve_deliverer_packets_returned_total")
	passedOn   = metrics.GetOrCreateCounter("kingcupvalve_deliverer_packets_passed_on_total")
	malformed  = metrics.GetOrCreateCounter(`kingcupvalve_deliverer_packets_dropped_total{reason="malformed"}`)
	unrouted   = metrics.GetOrCreateCounter(`kingcupvalve_deliverer_packets_dropped_total{reason="unrouted"}`)
	resetsSent = metrics.GetOrCreateCounter("kingcupvalve_deliverer_resets_total")
	exhausted  = metrics.GetOrCreateCounter(`kingcupvalve_deliverer_packets_dropped_total{reason="no target left"}`)
)

// Counters returns the packet counters of the process by name.
func Counters() map[string]uint64 {
	return map[string]uint64{
		"packets_delivered": delivered.Get(), "packets_answered": answered.Get(), "packets_returned": returned.Get(),
		"packets_passed_on": passedOn.Get(), "drop_malformed": malformed.Get(), "drop_unrouted": unrouted.Get(),
		"drop_no_target_left": exhausted.Get(), "resets_sent": resetsSent.Get(),
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
	// Service is the service of the target.
	Service string
	Codec   framer.Codec
	Table   func() *router.Table
	Chooser *chooser.Chooser
	Tracker *tracker.Tracker
	// TableAge returns the time since the table was last known to be current.
	TableAge func(now time.Time) time.Duration
	// Hint tells a balancer that the own target holds a flow.
	Hint func(balancer netip.Addr, flow uint64, target uint32)
	// Record takes the outcome of a request of a service.
	Record func(service string, o recorder.Outcome, now time.Time)
	Logger zerolog.Logger
}

// Deliverer holds the sockets.
type Deliverer struct {
	options   Options
	conn      *batcher.Conn
	outbound  *batcher.Conn
	isLeaving atomic.Bool
}

// NewDeliverer binds the sockets.
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
	return &Deliverer{options: options, conn: conn, outbound: outbound}, nil
}

// Leave passes new flows on from now on.
func (d *Deliverer) Leave() { d.isLeaving.Store(true) }

// Close ends Run.
func (d *Deliverer) Close() error { return errors.Join(d.conn.Close(), d.outbound.Close()) }

// Run handles packets of both directions until the sockets are closed.
func (d *Deliverer) Run() error {
	var group errgroup.Group
	group.Go(func() error { return d.conn.Serve(d.conn, d.options.Logger, func() {}, d.deliver) })
	group.Go(func() error { return d.outbound.Serve(d.conn, d.options.Logger, func() {}, d.answer) })
	return group.Wait()
}

// self returns the own target in a table.
func (d *Deliverer) self(table *router.Table) (uint32, *router.Target, bool) {
	number, target, ok := table.TargetAt(d.options.Backend)
	if !ok || target.Service != d.options.Service {
		return 0, nil, false
	}
	return number, target, true
}

// deliver handles a caller's packet from a balancer or another agent.
func (d *Deliverer) deliver(datagram []byte, writer *batcher.Writer, now time.Time) {
	p, ok := d.options.Codec.Decode(datagram)
	if !ok {
		malformed.Inc()
		return
	}
	table := d.options.Table()
	route, ok := table.Route(p.Destination)
	if !ok {
		unrouted.Inc()
		return
	}
	if !route.Allows(d.options.Service) || p.Opens && !d.takesOpening(table, route, p, now) {
		d.passOn(table, route, p, datagram, writer, now)
		return
	}
	if p.Opens {
		d.logPlaced(table, p, now)
	}
	d.options.Tracker.Delivered(p.Key(), p, now)
	d.options.Codec.Mark(datagram, framer.Mark{Progress: p.Mark.Progress})
	to := batcher.NewSockaddr(d.options.Backend)
	writer.Add(datagram, &to)
	delivered.Inc()
}

func (d *Deliverer) logPlaced(table *router.Table, p framer.Packet, now time.Time) {
	load := d.options.Tracker.Load(now)
	d.options.Logger.Info().Stringer("caller", p.Source).Stringer("published_address", p.Destination).Uint32("copy", p.Acknowledged).
		Int("running", load.Running).Int("flows", load.Flows).Uint8("hops", p.Mark.Hops).
		Bool("second_pass", p.Mark.Pass().IsSecond()).Uint64("version", table.Version()).
		Dur("table_age_ms", d.options.TableAge(now)).Msg("flow placed")
}

// takesOpening decides whether the own target gets a new flow. The agent knows
// its load better than the process that sent the packet.
func (d *Deliverer) takesOpening(table *router.Table, route *router.Route, p framer.Packet, now time.Time) bool {
	key := p.Key()
	if d.options.Tracker.Holds(key) {
		return true
	}
	_, target, ok := d.self(table)
	if d.isLeaving.Load() || ok && (target.State == router.Draining || target.State == router.Gone) {
		return false
	}
	if route.ServiceOf(key) != d.options.Service {
		return false
	}
	if !ok {
		// A current table without the own target, or with one of another service at
		// its address, shows that the sender's table is old. An old table shows
		// nothing.
		return d.options.TableAge(now) >= router.CurrentFor
	}
	load := d.options.Tracker.Load(now)
	if load.IsSilent {
		return d.options.Tracker.TryProbe(now)
	}
	report := chooser.Report{Running: load.Running, Slots: target.Slots, IsSuspect: load.IsSuspect}
	if p.Mark.Pass().IsSecond() {
		return report.HasRoom(p.Acknowledged > 0)
	}
	return report.HasFreeSlot()
}

// answer handles a packet from the own target.
func (d *Deliverer) answer(datagram []byte, writer *batcher.Writer, now time.Time) {
	p, ok := d.options.Codec.Decode(datagram)
	if !ok {
		malformed.Inc()
		return
	}
	if p.Returned {
		d.returnPacket(datagram, p, writer, now)
		return
	}
	key := p.ReverseKey()
	if via, ok := d.options.Tracker.Answered(key, p, now); ok {
		if number, _, ok := d.self(d.options.Table()); ok {
			d.options.Hint(via, key, number)
		}
	}
	to := batcher.NewSockaddr(netip.AddrPortFrom(p.Destination.Addr(), d.options.Address.Port()))
	writer.Add(datagram, &to)
	answered.Inc()
}

// returnPacket continues the search for a packet that the target returned.
func (d *Deliverer) returnPacket(datagram []byte, p framer.Packet, writer *batcher.Writer, now time.Time) {
	returned.Inc()
	before := d.options.Tracker.Returned(p.Key(), now)
	p.Mark.Via, p.Mark.Hops = before.Via, before.Hops
	table := d.options.Table()
	route, ok := table.Route(p.Destination)
	if !ok {
		unrouted.Inc()
		return
	}
	d.passOn(table, route, p, datagram, writer, now)
}

// passOn sends a packet to the next target of its search.
func (d *Deliverer) passOn(table *router.Table, route *router.Route, p framer.Packet, datagram []byte, writer *batcher.Writer, now time.Time) {
	accept := d.options.Chooser.AcceptOpen()
	key := p.Key()
	if p.Opens {
		accept = d.options.Chooser.AcceptOpening(route.ServiceOf(key))
	}
	self, _, _ := d.self(table)
	others := func(n uint32, t *router.Target, pass framer.Pass) bool { return n != self && accept(n, t, pass) }
	hop, ok := table.Search(route, key, p.Mark, others)
	if !ok || p.Mark.Hops >= maxHops {
		d.giveUp(table, p, datagram, writer, now)
		return
	}
	hop.Mark.Hops++
	d.options.Codec.Mark(datagram, hop.Mark)
	to := batcher.NewSockaddr(netip.AddrPortFrom(hop.Target.Address.Addr(), d.options.Address.Port()))
	writer.Add(datagram, &to)
	passedOn.Inc()
}

// giveUp ends a search that has visited every target.
func (d *Deliverer) giveUp(table *router.Table, p framer.Packet, datagram []byte, writer *batcher.Writer, now time.Time) {
	exhausted.Inc()
	age := d.options.TableAge(now)
	isOrphan := !p.Opens && !p.Resets && p.Mark.Hops < maxHops && age < router.CurrentFor
	d.options.Logger.Info().Stringer("caller", p.Source).Stringer("published_address", p.Destination).Bool("opens", p.Opens).
		Bool("reset", isOrphan).Uint8("hops", p.Mark.Hops).Uint64("version", table.Version()).Dur("table_age_ms", age).
		Msg("no target left for packet")
	if p.Opens {
		d.options.Record(d.options.Service, recorder.OutcomeRefused, now)
	}
	if !isOrphan {
		return
	}
	d.options.Record(d.options.Service, recorder.OutcomeBroken, now)
	reset := d.options.Codec.EncodeReset(datagram[:0], p)
	to := batcher.NewSockaddr(netip.AddrPortFrom(p.Source.Addr(), d.options.Address.Port()))
	writer.Add(reset, &to)
	resetsSent.Inc()
}
