// Package presenter implements the operator API of a process in packet mode: its
// routing table, its targets, its flows and the outcomes of requests.
//
// A process in packet mode sees packets, not requests. It counts data from a
// caller as a good request once the target responds with data, whatever the
// content and length of the response. It does not know the latency objective, so
// no outcome is late.
//
// # Usage
//
//	p := presenter.NewPresenter(presenter.Options{Settings: settings, Follower: f, Signaller: s, ...})
//	go p.Run(ctx)
//	server, err := operator.NewServer(operator.Options{
//		TLS: config, Logger: log, Status: p.Status, Targets: p.Targets, Flows: p.Flows, Burn: p.Burn,
//	})
package presenter

import (
	"cmp"
	"context"
	"net/netip"
	"slices"
	"strconv"
	"time"

	api "kingcupvalve.example/kingcupvalve/internal/api/operator"
	"kingcupvalve.example/kingcupvalve/internal/follower"
	"kingcupvalve.example/kingcupvalve/internal/operator"
	"kingcupvalve.example/kingcupvalve/internal/pacer"
	"kingcupvalve.example/kingcupvalve/internal/parser"
	"kingcupvalve.example/kingcupvalve/internal/recorder"
	"kingcupvalve.example/kingcupvalve/internal/router"
	"kingcupvalve.example/kingcupvalve/internal/signaller"
	"kingcupvalve.example/kingcupvalve/internal/tracker"
)

// targetWeight is the weight reported for every target, because targets of packet
// flows have no weights.
const targetWeight = 1

// Options has the parts of a process that a Presenter reads.
type Options struct {
	Settings    *parser.Settings
	Incarnation uint64
	Follower    *follower.Follower
	Signaller   *signaller.Signaller
	// Tracker has the flows of an agent's target. It is nil in a balancer.
	Tracker *tracker.Tracker
	// Pacer has the cold period of an agent's target. It is nil in a balancer.
	Pacer *pacer.Pacer
	// Backlog returns the expected time until a new request would start at a target, or
	// false if it is not known. It may be nil.
	Backlog func(target uint32, now time.Time) (time.Duration, bool)
	// IsLeaving reports whether the process is in a graceful shutdown.
	IsLeaving func() bool
	// Counters returns the packet counters of the balancer or agent by name.
	Counters func() map[string]uint64
}

// Presenter answers the operator API of one process. It is safe for concurrent
// use.
type Presenter struct {
	options  Options
	recorder *recorder.Recorder
	// backend is the address of the agent's target. It is invalid in a balancer.
	backend   netip.AddrPort
	startedAt time.Time
}

// NewPresenter returns a presenter without recorded outcomes.
func NewPresenter(options Options) *Presenter {
	return &Presenter{
		options: options, recorder: recorder.NewRecorder(recorder.Options{}), backend: options.Settings.Packets().BackendAddress(),
		startedAt: time.Now(),
	}
}

// Run records new versions of the routing table and changes in the state of the
// platform and of targets as events until the context ends.
func (p *Presenter) Run(ctx context.Context) { p.recorder.RecordChanges(ctx, p.recorderState) }

// Record counts the outcome of a request to a service. An agent attributes it to
// its own target.
func (p *Presenter) Record(service string, o recorder.Outcome, now time.Time) {
	p.recorder.Record(service, p.ownTarget(), o, now)
}

// ownTarget returns the ID of the agent's target, or "" in a balancer or while the
// table does not list the target.
func (p *Presenter) ownTarget() string {
	_, t, ok := p.options.Follower.Table().FindTargetAt(p.backend)
	if !ok {
		return ""
	}
	return t.ID
}

func (p *Presenter) recorderState(now time.Time) *recorder.State {
	table := p.options.Follower.Table()
	s := recorder.NewState(table.Version(), p.options.Follower.IsPlatformUnreachable(), p.options.Follower.IsStale(now))
	table.VisitTargets(func(n uint32, t *router.Target) { s.AddTarget(n, t.Service, t.ID, p.options.Signaller.IsDown(n)) })
	return s
}

// Status returns the status of the process.
func (p *Presenter) Status() api.Status {
	now, o := time.Now(), p.options
	position := o.Follower.Position()
	status := api.Status{
		Process: o.Settings.Process(), Role: api.StatusRole(o.Settings.Role()), AvailabilityZone: o.Settings.AvailabilityZone(),
		Version: operator.Version(), Incarnation: strconv.FormatUint(o.Incarnation, 16), StartedAt: p.startedAt,
		State: p.processState(), Revision: int64(position.Revision), ConfigState: p.configState(now),
		Peers: api.NewOptInt32(int32(len(o.Signaller.Peers()))), WatchesPlatform: api.NewOptBool(o.Follower.IsReadingPlatform()),
		Counters: api.StatusCounters{
			"config_version": int64(o.Follower.Table().Version()), "table_age_ms": o.Follower.TableAge(now).Milliseconds(),
			"epoch": int64(position.Epoch),
		},
	}
	if service := o.Settings.Packets().Service(); service != "" {
		status.Service = api.NewOptString(service)
	}
	p.addEvacuations(&status, now)
	for name, n := range o.Counters() {
		status.Counters[name] = int64(n)
	}
	return status
}

// maxBehind bounds the list of processes that lack the newest evacuation request.
const maxBehind = 100

// addEvacuations adds the evacuated zones, the processes that do not know them yet,
// and the flows that are left.
func (p *Presenter) addEvacuations(status *api.Status, now time.Time) {
	table := p.options.Follower.Table()
	status.EvacuatedZones = table.EvacuatedZones()
	if p.options.Tracker != nil {
		status.Flows = api.NewOptInt32(int32(p.options.Tracker.Load(now).Flows))
	}
	changedAt := table.Evacuations().ChangedAt
	if changedAt.IsZero() {
		return
	}
	status.EvacuationRevision = api.NewOptInt64(int64(changedAt.Revision))
	status.EvacuationBehind = listBehind(p.options.Signaller.Peers(), changedAt, p.options.Follower.EvacuationDigest())
}

// listBehind returns the addresses of the processes whose tables lack the newest change
// of an evacuation request, or have other zones evacuated.
func listBehind(peers []signaller.Peer, changedAt router.Position, digest uint32) []string {
	var behind []netip.Addr
	for _, peer := range peers {
		if peer.Compare(changedAt) < 0 || digest != 0 && peer.EvacuationDigest != 0 && peer.EvacuationDigest != digest {
			behind = append(behind, peer.Address)
		}
	}
	slices.SortFunc(behind, netip.Addr.Compare)
	var addresses []string
	for _, address := range behind[:min(len(behind), maxBehind)] {
		addresses = append(addresses, address.String())
	}
	return addresses
}

func (p *Presenter) processState() api.StatusState {
	switch {
	case p.options.IsLeaving():
		return api.StatusStateDraining
	case p.options.Follower.IsReady():
		return api.StatusStateServing
	default:
		return api.StatusStateStarting
	}
}

// configState returns the state of the configuration. Of several conditions it
// returns the one that an operator has to look at first.
func (p *Presenter) configState(now time.Time) api.StatusConfigState {
	switch {
	case !p.options.Follower.IsReady():
		return api.StatusConfigStateNone
	case p.options.Follower.IsPlatformUnreachable():
		return api.StatusConfigStatePlatformUnreachable
	case p.options.Follower.IsStale(now):
		return api.StatusConfigStatePlatformStale
	default:
		return api.StatusConfigStateInForce
	}
}

// Targets returns the targets of a service, or of all services if it is empty,
// sorted by service and target.
func (p *Presenter) Targets(service string) []api.TargetState {
	now := time.Now()
	var states []api.TargetState
	p.options.Follower.Table().VisitTargets(func(n uint32, t *router.Target) {
		if service == "" || service == t.Service {
			states = append(states, p.targetState(n, t, now))
		}
	})
	slices.SortFunc(states, func(a, b api.TargetState) int {
		return cmp.Or(cmp.Compare(a.Service, b.Service), cmp.Compare(a.Target, b.Target))
	})
	return states
}

func (p *Presenter) targetState(n uint32, t *router.Target, now time.Time) api.TargetState {
	state := api.TargetState{
		Service: t.Service, Target: t.ID, Number: int64(n), Host: api.NewOptString(t.Address.Addr().String()), Weight: targetWeight,
		Slots: api.NewOptInt32(int32(t.Slots)),
	}
	if t.Zone != "" {
		state.AvailabilityZone = api.NewOptString(t.Zone)
	}
	if t.IsEvacuated {
		state.Evacuated = api.NewOptBool(true)
	}
	peer, isKnown := p.options.Signaller.PeerOfTarget(n)
	if isKnown {
		state.Flows = api.NewOptInt32(int32(peer.Flows))
		state.Running, state.LastSeenMs = api.NewOptInt32(int32(peer.Running)), api.NewOptInt64(now.Sub(peer.HeardAt).Milliseconds())
	}
	if p.options.Backlog != nil {
		if backlog, ok := p.options.Backlog(n, now); ok {
			state.BacklogMs = api.NewOptFloat64(backlog.Seconds() * 1000)
		}
	}
	isOwn := t.Address == p.backend
	if isOwn && p.options.Tracker != nil {
		load := p.options.Tracker.Load(now)
		peer.IsSilent, peer.IsSuspect, peer.IsLeaving = load.IsSilent, load.IsSuspect, p.options.IsLeaving()
		state.Running, state.Flows = api.NewOptInt32(int32(load.Running)), api.NewOptInt32(int32(load.Flows))
	}
	if isOwn && p.options.Pacer != nil {
		peer.IsCold = p.options.Pacer.State(now).IsCold
	}
	var reason string
	state.State, reason = describeTarget(t, peer, isKnown || isOwn, p.options.Signaller.IsDown(n))
	if reason != "" {
		state.Reason = api.NewOptString(reason)
	}
	return state
}

// describeTarget returns the state of a target, and the reason if the target is
// neither serving nor draining.
func describeTarget(t *router.Target, peer signaller.Peer, isKnown, isDown bool) (api.TargetStateState, string) {
	switch {
	case t.State == router.Gone:
		return api.TargetStateStateLeaving, "not listed any more; keeps its flows"
	case t.State == router.Draining:
		return api.TargetStateStateDraining, ""
	case isDown:
		return api.TargetStateStateDown, "its agent does not answer"
	case peer.IsSilent:
		return api.TargetStateStateFailing, "leaves opening packets unanswered"
	case peer.IsSuspect:
		return api.TargetStateStateEjected, "answers much sooner or later than usual, or lost open flows"
	case peer.IsLeaving:
		return api.TargetStateStateLeaving, "its agent is in a planned stop"
	case t.IsEvacuated:
		return api.TargetStateStateEvacuated, "its availability zone is evacuated; keeps its flows"
	case t.State == router.Lapsed:
		return api.TargetStateStateUnknown, "its entry lapsed a short time ago"
	case t.IsPropagating:
		return api.TargetStateStateWarming, "other processes may not know it yet"
	case peer.IsCold:
		return api.TargetStateStateWarming, "cold: its agent bounds new flows"
	case !isKnown:
		return api.TargetStateStateUnknown, "its agent was not heard of yet"
	}
	return api.TargetStateStateServing, ""
}

// RefusedEntries returns the entries of the platform that name no target to use,
// sorted by key.
func (p *Presenter) RefusedEntries() []api.RefusedEntry {
	var entries []api.RefusedEntry
	for _, e := range p.options.Follower.Table().Refused() {
		entries = append(entries, api.RefusedEntry{Key: e.Key, Revision: int64(e.Revision), Reason: e.Reason})
	}
	return entries
}

// Flows returns at most limit flows of the agent's target, and none in a balancer.
func (p *Presenter) Flows(limit int) []api.Flow {
	flows := []api.Flow{}
	if p.options.Tracker == nil {
		return flows
	}
	for _, f := range p.options.Tracker.Flows(limit) {
		flows = append(flows, api.Flow{
			Caller: f.Caller().String(), Service: p.options.Settings.Packets().Service(), OpenedAt: f.OpenedAt(), Requests: int64(f.Requests()),
		})
	}
	return flows
}

// Burn returns the outcome counts and events since a time.
func (p *Presenter) Burn(since time.Time) api.Burn {
	return operator.BurnSource(p.recorder, p.options.Settings.Process(), p.ownTarget(), p.startedAt)(since)
}
