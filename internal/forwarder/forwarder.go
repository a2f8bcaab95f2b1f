// Package forwarder is the data path of a balancer for packet flows: it
// receives callers' packets and forwards each to the agent of the target that
// package placer chooses.
//
// # Usage
//
//	f, err := forwarder.NewForwarder(ctx, forwarder.Options{Address: address, Table: follower.Table, ...})
//	err = f.Run()
package forwarder

import (
	"context"
	"errors"
	"maps"
	"net/netip"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/ansel1/merry/v2"
	"github.com/rs/zerolog"
	"golang.org/x/sync/errgroup"

	"kingcupvalve.example/kingcupvalve/internal/batcher"
	"kingcupvalve.example/kingcupvalve/internal/chooser"
	"kingcupvalve.example/kingcupvalve/internal/deferrer"
	"kingcupvalve.example/kingcupvalve/internal/forecaster"
	"kingcupvalve.example/kingcupvalve/internal/framer"
	"kingcupvalve.example/kingcupvalve/internal/placer"
	"kingcupvalve.example/kingcupvalve/internal/recorder"
	"kingcupvalve.example/kingcupvalve/internal/router"
	"kingcupvalve.example/kingcupvalve/internal/searcher"
)

var (
	forwarded   = metrics.GetOrCreateCounter("kingcupvalve_steerer_packets_forwarded_total")
	opened      = metrics.GetOrCreateCounter("kingcupvalve_steerer_flows_opened_total")
	malformed   = metrics.GetOrCreateCounter(`kingcupvalve_steerer_packets_dropped_total{reason="malformed"}`)
	unrouted    = metrics.GetOrCreateCounter(`kingcupvalve_steerer_packets_dropped_total{reason="unrouted"}`)
	untargeted  = metrics.GetOrCreateCounter(`kingcupvalve_steerer_packets_dropped_total{reason="untargeted"}`)
	misdirected = metrics.GetOrCreateCounter("kingcupvalve_steerer_packets_misdirected_total")
	resetsSent  = metrics.GetOrCreateCounter("kingcupvalve_steerer_resets_total")
)

// Counters returns the packet counters of the process by name.
func Counters() map[string]uint64 {
	counters := map[string]uint64{
		"packets_forwarded": forwarded.Get(), "flows_opened": opened.Get(), "drop_malformed": malformed.Get(),
		"drop_unrouted": unrouted.Get(), "drop_untargeted": untargeted.Get(), "packets_misdirected": misdirected.Get(), "resets_sent": resetsSent.Get(),
	}
	maps.Copy(counters, searcher.Counters())
	maps.Copy(counters, deferrer.Counters())
	return counters
}

// Options configures a Forwarder.
type Options struct {
	// Address is the UDP address that routers send packets to. Agents listen on
	// the same port.
	Address netip.AddrPort
	// Zone is the availability zone of this process.
	Zone  string
	Codec framer.Codec
	Table func() *router.Table
	// TableAge returns the time since the table was last known to be current.
	TableAge func(now time.Time) time.Duration
	// ConclusiveAge returns the age of the table for conclusions from what it lacks.
	ConclusiveAge func(now time.Time) time.Duration
	// ConfirmedAt returns when the table was last known to be current, for conclusions
	// from what it lacks.
	ConfirmedAt func() time.Time
	Chooser     *chooser.Chooser
	// LinkBytesPerSecond is the rate of the network link, 0 if it is not known.
	LinkBytesPerSecond float64
	// Ledger has the expected work of the targets. If it is nil, targets are compared
	// by service time.
	Ledger *forecaster.Ledger
	// Record counts the outcome of a request to a service.
	Record func(service string, o recorder.Outcome, now time.Time)
	Logger zerolog.Logger
}

// Forwarder forwards callers' packets from one UDP socket.
type Forwarder struct {
	options Options
	conn    *batcher.Conn
	placer  *placer.Balancer
	// lastReceived is the time of the last received batch, in ns since the Unix
	// epoch.
	lastReceived atomic.Int64
	searcher     *searcher.Searcher[[]byte]
	// searchStarted wakes the goroutine that continues searches.
	searchStarted chan struct{}
	deferrer      *deferrer.Deferrer[[]byte]
	// packetDeferred wakes the goroutine that releases deferred packets.
	packetDeferred chan struct{}
	probes         chan probe
}

// output collects the datagrams that one goroutine sends next.
type output struct {
	writer *batcher.Writer
	// resets owns the buffers of the resets until they are sent.
	resets [][]byte
}

// NewForwarder binds the UDP socket. It fails if the address can't be bound.
func NewForwarder(ctx context.Context, options Options) (*Forwarder, error) {
	conn, err := batcher.Listen(ctx, options.Address)
	if err != nil {
		return nil, merry.Prepend(err, "start forwarder")
	}
	balancer, err := placer.NewBalancer(options.Zone, options.Chooser)
	if err != nil {
		return nil, errors.Join(merry.Prepend(err, "start forwarder"), conn.Close())
	}
	f := &Forwarder{
		options: options, conn: conn, placer: balancer, searchStarted: make(chan struct{}, 1),
		deferrer: deferrer.NewDeferrer[[]byte](), packetDeferred: make(chan struct{}, 1), probes: make(chan probe, maxQueuedProbes),
	}
	if options.Ledger != nil {
		balancer.SetExpect(f.expect)
	}
	f.searcher = searcher.NewSearcher[[]byte](searcher.Options{Accept: options.Chooser.AcceptOpenFlow, HandleUnanswered: f.logUnanswered, LinkBytesPerSecond: options.LinkBytesPerSecond})
	return f, nil
}

// Stop ends Run after the packets that have arrived are forwarded.
func (f *Forwarder) Stop() error { return f.conn.StopReading() }

// Close closes the socket, which ends Run at once.
func (f *Forwarder) Close() error { return f.conn.Close() }

// AddHint caches which target holds a flow. It is safe for concurrent use.
func (f *Forwarder) AddHint(flow uint64, target uint32) {
	f.placer.AddHint(flow, target)
	f.searcher.Finish(flow, searcher.Found)
}

// EndSearch ends the search for a flow that no target holds. It is safe for
// concurrent use.
func (f *Forwarder) EndSearch(flow uint64) { f.searcher.Finish(flow, searcher.Unheld) }

// TimeSinceLastPacket returns the time since the last packet from a caller
// arrived. It is safe for concurrent use.
func (f *Forwarder) TimeSinceLastPacket(now time.Time) time.Duration {
	return now.Sub(time.Unix(0, f.lastReceived.Load()))
}

// Run forwards packets until Stop or Close is called.
func (f *Forwarder) Run() error {
	done := make(chan struct{})
	var group errgroup.Group
	group.Go(func() error {
		defer close(done)
		var out output
		return f.conn.Serve(f.conn, f.options.Logger, func() {
			f.lastReceived.Store(time.Now().UnixNano())
			out.resets = out.resets[:0]
		}, func(datagram []byte, writer *batcher.Writer, now time.Time) {
			out.writer = writer
			f.forward(datagram, &out, now)
		})
	})
	group.Go(func() error {
		f.continueSearches(done)
		return nil
	})
	group.Go(func() error {
		f.releaseDeferred(done)
		return nil
	})
	group.Go(func() error {
		f.sendProbes(done)
		return nil
	})
	return group.Wait()
}

func (f *Forwarder) forward(datagram []byte, out *output, now time.Time) {
	p, ok := f.options.Codec.Decode(datagram)
	if !ok {
		malformed.Inc()
		return
	}
	table := f.options.Table()
	route, ok := table.FindRoute(p.Destination)
	if !ok {
		unrouted.Inc()
		f.deferUnrouted(p, datagram, now)
		return
	}
	placement, ok := f.findHop(table, route, p)
	hop := placement.Hop
	if !ok {
		untargeted.Inc()
		if p.SYN {
			f.options.Record(route.SelectService(p.Key()), recorder.OutcomeRefused, now)
		}
		f.options.Logger.Warn().Stringer("caller", p.Source).Stringer("published_address", p.Destination).Bool("opens", p.SYN).
			Uint64("version", table.Version()).Msg("no target for packet")
		if f.placer.Refuses(table, route, p, f.options.ConclusiveAge(now)) {
			f.sendReset(p, "service is evacuated", table, f.options.TableAge(now), out)
		}
		return
	}
	if p.SYN {
		opened.Inc()
		f.recordPlaced(hop, route, now)
		f.logNewFlow(table, route, hop, p, now)
		f.probeSilent(table, route, p, datagram, hop.Number)
	}
	if placement.IsSearch {
		f.startSearch(p, datagram, now)
	}
	f.options.Codec.Mark(datagram, hop.Mark)
	to := batcher.NewSockaddr(netip.AddrPortFrom(hop.Target.Address.Addr(), f.options.Address.Port()))
	out.writer.Add(datagram, &to)
	forwarded.Inc()
}

// findHop returns the target of a packet. A packet that has a mark already came from
// another process.
func (f *Forwarder) findHop(table *router.Table, route *router.Route, p framer.Packet) (placer.Placement, bool) {
	if p.Mark.Via.IsValid() {
		misdirected.Inc()
		hop, ok := f.placer.PassOn(table, route, p)
		return placer.Placement{Hop: hop}, ok
	}
	p.Mark = framer.Mark{Progress: framer.StartProgress, Via: f.options.Address.Addr()}
	return f.placer.Place(table, route, p)
}

func (f *Forwarder) logNewFlow(table *router.Table, route *router.Route, hop router.Hop, p framer.Packet, now time.Time) {
	f.options.Logger.Info().Stringer("caller", p.Source).Stringer("published_address", p.Destination).
		Str("route", route.Name).Str("target", hop.Target.ID).Stringer("address", hop.Target.Address).Uint32("copy", p.AckNumber).
		Bool("second_pass", hop.Mark.Pass().IsSecond()).Uint64("version", table.Version()).
		Dur("table_age_ms", f.options.TableAge(now)).Msg("flow forwarded")
}

// sendReset answers a caller's packet with a reset of its flow.
func (f *Forwarder) sendReset(p framer.Packet, reason string, table *router.Table, age time.Duration, out *output) {
	if out.writer.IsFull() {
		return
	}
	b := f.options.Codec.EncodeReset(nil, p)
	out.resets = append(out.resets, b)
	to := batcher.NewSockaddr(netip.AddrPortFrom(p.Source.Addr(), f.options.Address.Port()))
	out.writer.Add(b, &to)
	resetsSent.Inc()
	f.options.Logger.Info().Stringer("caller", p.Source).Stringer("published_address", p.Destination).Str("reason", reason).
		Uint64("version", table.Version()).Dur("table_age_ms", age).Msg("flow reset")
}
