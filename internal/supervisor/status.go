package supervisor

import (
	"strconv"
	"time"

	api "kingcupvalve.example/kingcupvalve/internal/api/operator"
	"kingcupvalve.example/kingcupvalve/internal/cataloger"
	"kingcupvalve.example/kingcupvalve/internal/operator"
	"kingcupvalve.example/kingcupvalve/internal/recorder"
	"kingcupvalve.example/kingcupvalve/internal/watcher"
)

func (s *Supervisor) status() api.Status {
	w := s.watcher.Status()
	status := api.Status{
		Process: s.settings.Process(), Role: api.StatusRole(s.settings.Role()), AvailabilityZone: s.settings.AvailabilityZone(),
		Version: operator.Version(), Incarnation: strconv.FormatUint(s.incarnation, 16), StartedAt: s.startedAt,
		State: s.stateName(), Revision: int64(w.Revision()), ConfigState: configState(w),
		ConfigSource: api.NewOptString(w.Source()), WatchesPlatform: api.NewOptBool(w.IsWatching()),
		Counters: api.StatusCounters{},
	}
	if refused, reason := w.RefusedInvalid(); refused > 0 {
		status.ConfigMessage = api.NewOptString(reason)
	}
	if refused := w.RefusedRevision(); refused > 0 {
		status.RefusedRevision = api.NewOptInt64(int64(refused))
	}
	if t, ok := s.watcher.Snapshot().TargetByNumber(s.settings.TargetNumber()); ok && s.settings.Role() == cataloger.RoleAgent {
		if service, ok := s.watcher.Snapshot().ServiceByNumber(t.Service()); ok {
			status.Service = api.NewOptString(service.Name())
		}
	}
	if v := s.roleView.Load(); v != nil {
		for name, n := range v.counters() {
			status.Counters[name] = int64(n)
		}
	}
	return status
}

func (s *Supervisor) stateName() api.StatusState {
	switch s.state.Load() {
	case stateServing:
		return api.StatusStateServing
	case stateDraining:
		return api.StatusStateDraining
	default:
		return api.StatusStateStarting
	}
}

// configState returns the most urgent condition of the configuration, the one that
// an operator should handle first.
func configState(w watcher.Status) api.StatusConfigState {
	refused, _ := w.RefusedInvalid()
	switch {
	case w.RefusedConflict() > 0:
		return api.StatusConfigStateRefusedConflict
	case refused > 0:
		return api.StatusConfigStateRefusedInvalid
	case w.IsPlatformStale():
		return api.StatusConfigStatePlatformStale
	case w.IsPlatformUnreachable():
		return api.StatusConfigStatePlatformUnreachable
	case w.IsReady() && w.Revision() > 0:
		return api.StatusConfigStateInForce
	default:
		return api.StatusConfigStateNone
	}
}

func (s *Supervisor) targets(service string) []api.TargetState {
	views := map[uint32]targetView{}
	if v := s.roleView.Load(); v != nil && v.targets != nil {
		views = v.targets()
	}
	targets := []api.TargetState{}
	for _, sv := range s.watcher.Snapshot().Services() {
		if service != "" && sv.Name() != service {
			continue
		}
		for _, t := range sv.Targets() {
			targets = append(targets, newTargetState(sv, t, views[t.Number()]))
		}
	}
	return targets
}

func newTargetState(service *cataloger.Service, t *cataloger.Target, view targetView) api.TargetState {
	state := api.TargetState{
		Service: service.Name(), Target: t.Name(), Number: int64(t.Number()), State: api.TargetStateStateUnknown,
		Host: api.NewOptString(t.Host()), AvailabilityZone: api.NewOptString(t.AvailabilityZone()),
		Weight: int32(t.Policy().Weight), Slots: api.NewOptInt32(int32(t.Policy().Slots)),
	}
	switch {
	case view.state != "":
		state.State = view.state
	case t.IsLeaving():
		state.State = api.TargetStateStateLeaving
	}
	if !view.lastSeen.IsZero() {
		state.LastSeenMs = api.NewOptInt64(time.Since(view.lastSeen).Milliseconds())
	}
	return state
}

func (s *Supervisor) flows(limit int) []api.Flow {
	if v := s.roleView.Load(); v != nil && v.flows != nil {
		return v.flows(limit)
	}
	return []api.Flow{}
}

// burn returns the outcome counts since a time. Those of an agent are about its own
// target.
func (s *Supervisor) burn(since time.Time) api.Burn {
	target := ""
	if t, ok := s.watcher.Snapshot().TargetByNumber(s.settings.TargetNumber()); ok {
		target = t.Name()
	}
	return operator.BurnSource(s.recorder, s.settings.Process(), target, s.startedAt)(since)
}

// eventState returns the state from which the events of the burn report are
// derived.
func (s *Supervisor) eventState(time.Time) *recorder.State {
	w := s.watcher.Status()
	state := recorder.NewState(w.Revision(), w.IsPlatformUnreachable(), w.IsPlatformStale())
	v := s.roleView.Load()
	if v == nil || v.targets == nil {
		return state
	}
	snapshot := s.watcher.Snapshot()
	for number, view := range v.targets() {
		t, ok := snapshot.TargetByNumber(number)
		if !ok {
			continue
		}
		service := ""
		if sv, ok := snapshot.ServiceByNumber(t.Service()); ok {
			service = sv.Name()
		}
		state.AddTarget(number, service, t.Name(), view.state == api.TargetStateStateDown)
	}
	return state
}
