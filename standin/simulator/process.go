package simulator

import (
	"fmt"
	"net/netip"
	"time"

	"kingcupvalve.example/kingcupvalve/internal/chooser"
	"kingcupvalve.example/kingcupvalve/internal/deferrer"
	"kingcupvalve.example/kingcupvalve/internal/forecaster"
	"kingcupvalve.example/kingcupvalve/internal/framer"
	"kingcupvalve.example/kingcupvalve/internal/pacer"
	"kingcupvalve.example/kingcupvalve/internal/placer"
	"kingcupvalve.example/kingcupvalve/internal/registrar"
	"kingcupvalve.example/kingcupvalve/internal/router"
	"kingcupvalve.example/kingcupvalve/internal/searcher"
	"kingcupvalve.example/kingcupvalve/internal/tracker"
)

const (
	// minBeaconInterval and maxBeaconsPerSecond are those of package signaller.
	minBeaconInterval   = 250 * time.Millisecond
	maxBeaconsPerSecond = 140
	// downAfter is the time without a beacon after which an agent counts as down.
	downAfter = 550 * time.Millisecond
	// tickInterval is the time between two ticks of a process.
	tickInterval = 50 * time.Millisecond
	// firstReadDelay is the time from the start of a process to its first table.
	firstReadDelay = 20 * time.Millisecond
	// changeDelay is the longest time until a process learns of a change.
	changeDelay = 450 * time.Millisecond
	// coldFactor and coldAllowance are the settings of agents for cold targets.
	coldFactor, coldAllowance = 1.5, 5
)

// peerState is the last report of an agent, as a process knows it.
type peerState struct {
	report  chooser.Report
	flows   int
	heardAt time.Time
}

// process is what balancers and agents have in common. A restarted process knows
// nothing of before.
type process struct {
	world     *world
	address   netip.Addr
	zone      int
	isUp      bool
	startedAt time.Time
	registrar *registrar.Registrar
	table     *router.Table
	peers     map[uint32]peerState
	// confirmedAt is when the table was last known to be current.
	confirmedAt time.Time
	// ledger has the forecasts of the agents. It is nil in agents.
	ledger   *forecaster.Ledger
	lastTick time.Time
	// restart replaces the parts that lose their state.
	restart func()
	// handleTable is called with each new table. It may be nil.
	handleTable func(t *router.Table)
	// observeReport is called with each report of an agent. It may be nil.
	observeReport func(target uint32, isSilent bool)
}

func (p *process) buildTable() {
	t := p.registrar.BuildTable(p.world.now)
	if p.handleTable != nil {
		p.handleTable(t)
	}
	p.table = t
}

func (p *process) start() {
	w := p.world
	p.isUp, p.startedAt, p.lastTick = true, w.now, w.now
	p.registrar, p.table, p.peers, p.confirmedAt = registrar.NewRegistrar(), nil, make(map[uint32]peerState), time.Time{}
	p.restart()
	started := p.startedAt
	w.after(firstReadDelay, func() {
		if p.isUp && p.startedAt.Equal(started) {
			p.registrar.MergeSnapshot(w.store.items(), w.store.position(), w.now)
			p.learnDepartures()
			p.buildTable()
			w.after(w.drawDuration(tickInterval), p.requestBeacons)
		}
	})
}

// learnDepartures takes over the departed targets and the former services of routes
// that another process knows.
func (p *process) learnDepartures() {
	for _, a := range p.world.agents {
		if &a.process != p && a.isUp && a.table != nil {
			now := p.world.now
			p.registrar.MergeDepartures(a.registrar.Departures(p.registrar.Position()), now)
			p.registrar.MergeHistory(a.registrar.History(), a.registrar.Position(), a.registrar.HasRouteHistory(now), now)
			break
		}
	}
	p.registrar.FinishDepartures()
}

// confirm records that the table was current at a time, if it was. The process hears of it
// now, and takes it for later by the delay of the message.
func (p *process) confirm(at time.Time, delay time.Duration) {
	if !p.isUp || p.table == nil || p.registrar.Position().Compare(p.world.store.positionAt(at)) < 0 {
		return
	}
	if at = at.Add(delay); at.After(p.world.now) {
		at = p.world.now
	}
	if at.After(p.confirmedAt) {
		p.confirmedAt = at
	}
}

// requestBeacons asks every agent for a beacon.
func (p *process) requestBeacons() {
	w := p.world
	for _, a := range w.agents {
		w.send(w.delay(p.zone, a.zone), func() { a.sendBeacon(p) })
	}
}

func (p *process) stop() { p.isUp = false }

// learn merges the changes that the store has, and rebuilds the table.
func (p *process) learn() {
	if !p.isUp || p.table == nil {
		return
	}
	if s := &p.world.store; p.registrar.Merge(s.after(p.registrar.Position()), s.position(), p.world.now) {
		p.buildTable()
	}
}

func (p *process) tick() {
	if !p.isUp || p.table == nil {
		return
	}
	if p.registrar.Expire(p.lastTick, p.world.now, p.isInUse) {
		p.buildTable()
	}
	p.lastTick = p.world.now
}

// isInUse reports whether a target holds flows, as its agent reported.
func (p *process) isInUse(target uint32) bool {
	peer := p.peers[target]
	return peer.flows > 0 && !peer.report.IsSilent && !p.isDown(target)
}

func (p *process) isDown(target uint32) bool {
	heardAt := p.startedAt
	if peer, ok := p.peers[target]; ok {
		heardAt = peer.heardAt
	}
	return p.world.now.Sub(heardAt) > downAfter
}

func (p *process) report(target uint32) (chooser.Report, bool) {
	peer, ok := p.peers[target]
	return peer.report, ok
}

// balancer forwards callers' packets.
type balancer struct {
	process
	placer   *placer.Balancer
	searcher *searcher.Searcher[packet]
	deferrer *deferrer.Deferrer[packet]
	// placing is the request whose flow is being placed.
	placing *request
}

func (w *world) newBalancer(zone int) *balancer {
	b := &balancer{process: process{world: w, address: w.newAddress(), zone: zone}}
	b.observeReport = func(target uint32, isSilent bool) { b.placer.ObserveReport(target, isSilent) }
	b.restart = func() {
		report := b.report
		if w.variant.name == "oracle" {
			report = b.trueReport
		}
		c := w.variant.newChooser(b.isDown, report)
		var err error
		if b.placer, err = placer.NewBalancer(zoneName(b.zone), c); err != nil {
			panic(err) // fails only for a cache without room
		}
		b.searcher = searcher.NewSearcher[packet](searcher.Options{Accept: c.AcceptOpenFlow})
		b.deferrer = deferrer.NewDeferrer[packet]()
		b.ledger = forecaster.NewLedger()
		if expect := w.variant.expect(); expect != nil {
			b.placer.SetExpect(func(target uint32, route *router.Route) (time.Duration, bool) { return expect(b, target, route) })
		}
	}
	return b
}

func zoneName(zone int) string { return fmt.Sprintf("zone-%d", zone) }

func (b *balancer) isReady() bool { return b.isUp && b.table != nil }

func (b *balancer) receive(p packet) {
	if !b.isReady() {
		return
	}
	route, ok := b.table.FindRoute(p.Destination)
	if !ok {
		b.deferUnrouted(p)
		return
	}
	p.Mark = framer.Mark{Progress: framer.StartProgress, Via: b.address}
	b.placing = p.flow.current
	hop, ok := b.placer.Place(b.table, route, p.Packet)
	if !ok {
		if b.placer.Refuses(b.table, route, p.Packet, 0) {
			b.world.result.evacuationResets++
			b.world.send(b.world.callerDelay, p.flow.reset)
		}
		return
	}
	if p.SYN {
		b.recordPlaced(hop.Number, route)
		b.probeSilent(route, p, hop.Number)
	}
	if hop.IsSearch {
		b.startSearch(p)
	}
	p.Mark = hop.Mark
	if p.SYN {
		b.world.result.openings++
	}
	if p.Length > 0 {
		b.world.forwarded++
		if hop.Target.Zone != zoneName(b.zone) {
			b.world.crossed++
		}
	}
	b.world.sendToAgent(b.zone, hop.Target.Address.Addr(), p)
}

// recordPlaced records that a new flow was sent to a target, and how old the target's
// report is.
func (b *balancer) recordPlaced(target uint32, route *router.Route) {
	now, r := b.world.now, b.world.result
	if peer, ok := b.peers[target]; ok {
		r.reportAge += now.Sub(peer.heardAt)
		r.decisions++
	}
	if b.world.variant.name == "no_own_flows" {
		return
	}
	b.ledger.RecordPlaced(target, forecaster.NewRouteID(route.Address), now)
}

// probeSilent sends copies of an opening packet to silent targets.
func (b *balancer) probeSilent(route *router.Route, p packet, placed uint32) {
	for _, hop := range b.placer.Probes(b.table, route, p.Packet, placed) {
		p.Mark = hop.Mark
		b.world.sendToAgent(b.zone, hop.Target.Address.Addr(), p)
	}
}

func (b *balancer) startSearch(p packet) {
	if b.searcher.Start(p.Packet, func() packet { return p }, b.world.now) {
		b.world.after(searcher.TickInterval, func() { b.continueSearches(b.startedAt) })
	}
}

// continueSearches sends the branches of searches that are due, unless the balancer
// has stopped since a time.
func (b *balancer) continueSearches(startedAt time.Time) {
	if !b.isUp || !b.startedAt.Equal(startedAt) {
		return
	}
	visits, isPending := b.searcher.Tick(b.table, b.world.now)
	for _, v := range visits {
		p := v.Payload
		p.Mark = v.Hop.Mark
		b.world.hops++
		b.world.sendToAgent(b.zone, v.Hop.Target.Address.Addr(), p)
	}
	if isPending {
		b.world.after(searcher.TickInterval, func() { b.continueSearches(startedAt) })
	}
}

func (b *balancer) deferUnrouted(p packet) {
	if b.deferrer.Keep(p.Packet, func() packet { return p }, b.world.now) {
		b.world.after(deferrer.TickInterval, func() { b.releaseDeferred(b.startedAt) })
	}
}

// releaseDeferred forwards or refuses deferred packets, unless the balancer has stopped
// since a time.
func (b *balancer) releaseDeferred(startedAt time.Time) {
	if !b.isUp || !b.startedAt.Equal(startedAt) {
		return
	}
	released, isPending := b.deferrer.Tick(b.table, b.confirmedAt, b.world.now)
	for _, r := range released {
		switch {
		case !r.IsRefused:
			b.receive(r.Payload)
		case !r.Packet.RST:
			b.world.send(b.world.callerDelay, r.Payload.flow.reset)
		}
	}
	if isPending {
		b.world.after(deferrer.TickInterval, func() { b.releaseDeferred(startedAt) })
	}
}

// agent delivers packets to the target on its host.
type agent struct {
	process
	placer  *placer.Agent
	tracker *tracker.Tracker
	pacer   *pacer.Pacer
	target  *target
	// isDeaf and isMute are set while packets to the agent, or from it to others,
	// are lost.
	isDeaf, isMute bool
}

func (w *world) newAgent(t *target) *agent {
	a := &agent{process: process{world: w, address: t.address.Addr(), zone: t.zone}, target: t}
	a.restart = func() {
		a.pacer = pacer.NewPacer(pacer.Options{Factor: coldFactor, Allowance: coldAllowance, StartedAt: w.now})
		a.tracker = tracker.NewTracker(tracker.Options{
			Slots: func() int { return t.slots }, RecordRestart: a.pacer.RecordRestart, Forecaster: forecaster.NewForecaster(),
		})
		a.placer = placer.NewAgent(placer.AgentOptions{
			Backend: t.address, Service: t.service, Zone: zoneName(t.zone), Chooser: w.variant.newChooser(a.isDown, a.report), Tracker: a.tracker, Pacer: a.pacer,
			Admitter: w.variant.newAdmitter(),
		})
	}
	a.handleTable = func(table *router.Table) {
		_, own, _ := a.placer.FindOwnTarget(table)
		a.pacer.Update(table, t.service, own, w.now)
	}
	return a
}

func (a *agent) tick() {
	if !a.isUp {
		return
	}
	a.process.tick()
	a.tracker.Expire(a.world.now, 0)
	if a.tracker.Load(a.world.now).IsSilent {
		a.pacer.RecordRestart(a.world.now)
	}
}

// sendBeacons reports the load of the target to every process.
func (a *agent) sendBeacons() {
	for _, p := range a.world.processes {
		a.sendBeacon(p)
	}
}

func (a *agent) sendBeacon(p *process) {
	w := a.world
	if !a.isUp || a.table == nil || p == &a.process {
		return
	}
	number, _, ok := a.placer.FindOwnTarget(a.table)
	if !ok {
		return
	}
	a.tracker.SetTarget(number, w.now)
	load, forecast := a.tracker.Load(w.now), w.variant.adapt(a.tracker.Forecast(w.now))
	report := chooser.Report{Running: load.Running, Slots: a.target.slots, ServiceTime: load.LeastServiceTime, IsSilent: load.IsSilent, IsSuspect: load.IsSuspect, IsCold: a.pacer.State(w.now).IsCold}
	w.send(w.delay(a.zone, p.zone), func() {
		if p.isUp {
			p.peers[number] = peerState{report: report, flows: load.Flows, heardAt: w.now}
			if p.observeReport != nil {
				p.observeReport(number, report.IsSilent)
			}
			if p.ledger != nil {
				p.ledger.Update(number, forecast, w.now)
			}
		}
	})
}

func (a *agent) receive(p packet) {
	if !a.isUp || a.isDeaf || a.table == nil {
		return
	}
	w := a.world
	route, ok := a.table.FindRoute(p.Destination)
	if !ok {
		return
	}
	decision := a.placer.Decide(a.table, route, p.Packet, 0, w.now)
	if decision.Action == placer.Probe {
		a.target.receive(p)
		return
	}
	if decision.Action != placer.Deliver {
		a.act(decision, p)
		return
	}
	if via, ok := a.tracker.ObserveCallerPacket(p.Key(), p.Packet, w.now); ok {
		a.sendHint(via, p.Key())
	}
	if p.SYN {
		w.result.open(a.target, w.now)
	}
	a.target.receive(p)
}

// returnPacket continues the search for a packet that the target did not accept.
func (a *agent) returnPacket(p packet) {
	if !a.isUp || a.table == nil {
		return
	}
	mark := a.tracker.ObserveReturnedPacket(p.Key(), p.Packet, a.world.now)
	p.Mark.Via, p.Mark.Hops = mark.Via, mark.Hops
	if route, ok := a.table.FindRoute(p.Destination); ok {
		a.act(a.placer.PassOn(a.table, route, p.Packet, 0), p)
	}
}

func (a *agent) act(decision placer.Decision, p packet) {
	w := a.world
	if a.isMute {
		return
	}
	switch decision.Action {
	case placer.PassOn:
		p.Mark = decision.Hop.Mark
		w.hops++
		if p.SYN {
			w.result.openingHops++
		}
		w.sendToAgent(a.zone, decision.Hop.Target.Address.Addr(), p)
	case placer.Reset:
		if p.SYN {
			w.result.evacuationResets++
			break
		}
		number, _, _ := a.placer.FindOwnTarget(a.table)
		forecast := w.variant.adapt(a.tracker.Forecast(w.now))
		w.signal(a.zone, p.Mark.Via, func(b *balancer) {
			b.searcher.Finish(p.Key(), searcher.Unheld)
			b.ledger.Update(number, forecast, w.now)
		})
		w.send(w.callerDelay, func() { p.flow.reset() })
	case placer.Refuse:
		w.result.refused(p.flow)
		w.send(w.callerDelay, func() { p.flow.reset() })
	case placer.Drop, placer.DropCopy, placer.Deliver, placer.Probe:
	}
}

// sendHint tells a balancer that the agent's target holds a flow.
func (a *agent) sendHint(via netip.Addr, flow uint64) {
	if number, _, ok := a.placer.FindOwnTarget(a.table); ok {
		forecast := a.world.variant.adapt(a.tracker.Forecast(a.world.now))
		a.world.signal(a.zone, via, func(b *balancer) {
			b.ledger.Update(number, forecast, b.world.now)
			b.placer.AddHint(flow, number)
			b.searcher.Finish(flow, searcher.Found)
		})
	}
}

// sendToCaller carries a packet of the target. It returns false while the agent
// does not run.
func (a *agent) sendToCaller(f *flow, p framer.Packet, deliver func()) bool {
	if !a.isUp {
		return false
	}
	w := a.world
	p.Source, p.Destination = f.published, f.caller
	if a.tracker.AnswersProbe(p.ReverseKey()) {
		return true
	}
	if via, ok := a.tracker.ObserveTargetPacket(p.ReverseKey(), p, w.now); ok && a.table != nil {
		a.sendHint(via, p.ReverseKey())
	}
	w.send(w.callerDelay, deliver)
	return true
}
