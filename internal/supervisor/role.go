package supervisor

import (
	"time"

	"kingcupvalve.example/kingcupvalve/internal/agent"
	api "kingcupvalve.example/kingcupvalve/internal/api/operator"
	"kingcupvalve.example/kingcupvalve/internal/balancer"
	"kingcupvalve.example/kingcupvalve/internal/cataloger"
	"kingcupvalve.example/kingcupvalve/internal/messenger"
	"kingcupvalve.example/kingcupvalve/internal/recorder"
	"kingcupvalve.example/kingcupvalve/internal/wirepb"
)

// roleView provides the state of a running role to operators and peers.
type roleView struct {
	counters     func() map[string]uint64
	targets      func() map[uint32]targetView
	flows        func(limit int) []api.Flow
	serveDigests func(s *messenger.Stream, first *wirepb.Envelope)
}

// targetView is the state of one target as observed by a role.
type targetView struct {
	state    api.TargetStateState
	lastSeen time.Time
}

func (s *Supervisor) buildRole() (role, error) {
	if s.settings.Role() == cataloger.RoleBalancer {
		return s.buildBalancer()
	}
	return s.buildAgent()
}

func (s *Supervisor) buildBalancer() (role, error) {
	b, err := balancer.NewBalancer(balancer.Options{
		Ring: s.ring, Snapshot: s.watcher.Snapshot, Subscribe: s.watcher.Subscribe, BindAddress: s.settings.BindAddress,
		TunnelAddress: s.settings.TunnelAddress(), MTU: s.settings.TunnelMTU(), Incarnation: s.incarnation,
		GracePeriod: s.settings.AnnounceGrace(), Logger: s.logger,
	})
	if err != nil {
		return nil, err
	}
	s.roleView.Store(&roleView{counters: b.Counters, targets: func() map[uint32]targetView { return listBalancerTargets(b) }})
	return b, nil
}

// balancerStates maps the target states of a balancer to those of the operator
// API.
var balancerStates = map[string]api.TargetStateState{
	balancer.StateUp:       api.TargetStateStateServing,
	balancer.StateDown:     api.TargetStateStateDown,
	balancer.StateDraining: api.TargetStateStateDraining,
	balancer.StateLeaving:  api.TargetStateStateLeaving,
	balancer.StateRetired:  api.TargetStateStateLeaving,
}

func listBalancerTargets(b *balancer.Balancer) map[uint32]targetView {
	views := map[uint32]targetView{}
	for _, t := range b.Targets() {
		views[t.Number()] = targetView{state: balancerStates[t.State()], lastSeen: t.LastHeard()}
	}
	return views
}

func (s *Supervisor) buildAgent() (role, error) {
	config, err := s.settings.CallerTLS().ServerConfig()
	if err != nil {
		return nil, err
	}
	a, err := agent.NewAgent(agent.Options{
		Target: s.settings.TargetNumber(), Incarnation: s.incarnation, Ring: s.ring, Snapshot: s.watcher.Snapshot,
		TunnelAddress: s.settings.TunnelAddress(), BackendURL: s.settings.BackendURL(), TLS: config,
		Messenger: s.messenger, MTU: s.settings.TunnelMTU(), Linger: s.settings.CloseGrace(), RecordOutcome: s.recordOutcome, Logger: s.logger,
	})
	if err != nil {
		return nil, err
	}
	s.roleView.Store(&roleView{
		counters: a.Counters, serveDigests: a.ServeDigests,
		flows: func(limit int) []api.Flow { return s.listAgentFlows(a, limit) },
	})
	return a, nil
}

func (s *Supervisor) listAgentFlows(a *agent.Agent, limit int) []api.Flow {
	flows := a.Flows()
	views := make([]api.Flow, 0, min(len(flows), limit))
	for _, f := range flows[:min(len(flows), limit)] {
		service := ""
		if sv, ok := s.watcher.Snapshot().ServiceByAddress(f.Published()); ok {
			service = sv.Name()
		}
		views = append(views, api.Flow{
			Caller: f.Caller().String(), Service: service, OpenedAt: f.Opened(), Requests: int64(f.Requests()),
		})
	}
	return views
}

// recordOutcome counts the outcome of one request for the burn report.
func (s *Supervisor) recordOutcome(outcome string) {
	o, ok := recorder.ParseOutcome(outcome)
	if !ok {
		return
	}
	snapshot := s.watcher.Snapshot()
	t, ok := snapshot.TargetByNumber(s.settings.TargetNumber())
	if !ok {
		return
	}
	if service, ok := snapshot.ServiceByNumber(t.Service()); ok {
		s.recorder.Record(service.Name(), t.Name(), o, time.Now())
	}
}
