package prover

import (
	"context"
	"syscall"
	"time"

	"kingcupvalve.example/kingcupvalve/internal/cataloger"
	"kingcupvalve.example/kingcupvalve/standin/launcher"
	"kingcupvalve.example/kingcupvalve/standin/loader"
)

// pauseTime exceeds every liveness timeout, so that a paused process is
// considered dead before it resumes.
const pauseTime = 4 * time.Second

// settleTime lets callers and liveness detection settle between two faults.
const settleTime = 2 * time.Second

// NewScenarios returns all scenarios.
func NewScenarios() []Scenario {
	return []Scenario{
		NewRollingReplacement(), NewKills(), NewPauses(), NewPlatformFaults(), NewAddressMove(), NewLeaving(), NewMixedFaults(), NewPeak(),
	}
}

// NewRollingReplacement returns a scenario that replaces every balancer, then
// every agent with its backend server, one after the other.
func NewRollingReplacement() Scenario {
	return Scenario{name: "rolling_replacement", guarantee: "planned change breaks nothing", planned: true, inject: replaceAll}
}

func replaceAll(ctx context.Context, r *run) error {
	for _, b := range r.fleet.Balancers() {
		if b.HasExited() {
			continue
		}
		if _, err := r.fleet.AddBalancer(ctx); err != nil {
			return err
		}
		if err := r.fleet.RetireBalancer(ctx, b); err != nil {
			return err
		}
		r.countFault("balancer_replaced")
	}
	for _, a := range r.fleet.Agents() {
		if err := r.fleet.ReplaceAgent(ctx, a); err != nil {
			return err
		}
		r.countFault("agent_and_backend_server_replaced")
		r.checkRevisions(ctx)
	}
	return nil
}

// NewKills returns a scenario that kills a balancer, then every agent in turn,
// with SIGKILL.
func NewKills() Scenario {
	return Scenario{name: "kills", guarantee: "a killed balancer breaks no flow, a killed agent only its own", inject: killProcesses}
}

func killProcesses(ctx context.Context, r *run) error {
	b, err := r.fleet.AddBalancer(ctx)
	if err != nil {
		return err
	}
	b.Kill()
	r.countFault("balancer_killed")
	if err := launcher.Sleep(ctx, settleTime); err != nil {
		return err
	}
	if err := r.fleet.SetFabricBalancers(ctx, nil); err != nil {
		return err
	}
	for _, a := range r.fleet.Agents() {
		a.Kill()
		r.countFault("agent_killed")
		if err := launcher.Sleep(ctx, settleTime); err != nil {
			return err
		}
		if err := r.fleet.RestartAgent(ctx, a); err != nil {
			return err
		}
	}
	return nil
}

// NewPauses returns a scenario that pauses a balancer and two agents in turn with
// SIGSTOP, changes the configuration meanwhile and resumes them after the
// liveness timeouts.
func NewPauses() Scenario {
	return Scenario{name: "pauses", guarantee: "a late riser neither repeats work nor obeys an old revision", inject: pauseProcesses}
}

func pauseProcesses(ctx context.Context, r *run) error {
	for _, n := range []*launcher.Node{r.fleet.Balancers()[0], r.fleet.Agents()[0], r.fleet.Agents()[3]} {
		n.Signal(syscall.SIGSTOP)
		r.countFault("process_paused")
		if err := r.fleet.ChangeWeight(ctx, 40+int64(r.faults["process_paused"])); err != nil {
			return err
		}
		if err := r.waitInForce(ctx, n); err != nil {
			return err
		}
		if err := launcher.Sleep(ctx, pauseTime); err != nil {
			return err
		}
		n.Signal(syscall.SIGCONT)
		if err := r.waitInForce(ctx); err != nil {
			return err
		}
		if err := launcher.Sleep(ctx, settleTime); err != nil {
			return err
		}
	}
	return nil
}

// NewPlatformFaults returns a scenario that takes the platform down, rolls its
// content back and lets it serve stale content.
func NewPlatformFaults() Scenario {
	return Scenario{
		name: "platform_faults", guarantee: "a configuration in force never reverts, also without the platform",
		planned: true, inject: injectPlatformFaults,
	}
}

func injectPlatformFaults(ctx context.Context, r *run) error {
	if err := r.fleet.SetPlatformFaults(ctx, launcher.PlatformFaults{Mark: true}); err != nil {
		return err
	}
	if err := r.fleet.ChangeWeight(ctx, 60); err != nil {
		return err
	}
	if err := r.waitInForce(ctx); err != nil {
		return err
	}
	for _, f := range []struct {
		kind   string
		faults launcher.PlatformFaults
	}{
		{"platform_down", launcher.PlatformFaults{Down: true}},
		{"platform_rolled_back", launcher.PlatformFaults{RollBack: true}},
		{"platform_stale", launcher.PlatformFaults{Stale: true}},
	} {
		if err := r.fleet.SetPlatformFaults(ctx, f.faults); err != nil {
			return err
		}
		r.countFault(f.kind)
		if err := launcher.Sleep(ctx, pauseTime); err != nil {
			return err
		}
		r.checkRevisions(ctx)
	}
	if err := r.fleet.SetPlatformFaults(ctx, launcher.PlatformFaults{}); err != nil {
		return err
	}
	if err := r.fleet.ChangeWeight(ctx, 70); err != nil {
		return err
	}
	return r.waitInForce(ctx)
}

// NewAddressMove returns a scenario that swaps the published addresses of the
// two services while one balancer is paused and so keeps the old table.
func NewAddressMove() Scenario {
	return Scenario{name: "address_move", guarantee: "no packet reaches another service", inject: swapAddresses}
}

func swapAddresses(ctx context.Context, r *run) error {
	b := r.fleet.Balancers()[0]
	b.Signal(syscall.SIGSTOP)
	r.countFault("process_paused")
	if err := r.fleet.PublishChange(ctx, func(spec *cataloger.FleetSpec) {
		x, y := &spec.Services[0], &spec.Services[1]
		x.Addresses, y.Addresses = y.Addresses, x.Addresses
	}); err != nil {
		return err
	}
	r.countFault("addresses_swapped")
	if err := r.waitInForce(ctx, b); err != nil {
		return err
	}
	b.Signal(syscall.SIGCONT)
	return launcher.Sleep(ctx, settleTime)
}

// leavingObservation is how long a target stays published as leaving:
// maxLeavingDelay and some seconds in which late requests would show up.
const leavingObservation = maxLeavingDelay + 5*time.Second

// NewLeaving returns a scenario that publishes a target as leaving while one
// balancer is paused, which then resumes with the old table. The agent and its
// backend server keep running.
func NewLeaving() Scenario {
	return Scenario{name: "leaving", guarantee: "a leaving backend server gets no new work", planned: true, inject: publishLeaving}
}

func publishLeaving(ctx context.Context, r *run) error {
	b, a := r.fleet.Balancers()[0], r.fleet.Agents()[0]
	b.Signal(syscall.SIGSTOP)
	r.countFault("process_paused")
	from := time.Now()
	if err := r.fleet.SetTargetState(ctx, a, cataloger.TargetLeaving); err != nil {
		return err
	}
	r.countFault("target_leaving")
	if err := launcher.Sleep(ctx, time.Second); err != nil {
		return err
	}
	b.Signal(syscall.SIGCONT)
	if err := launcher.Sleep(ctx, leavingObservation); err != nil {
		return err
	}
	r.leaving[a.Name()] = leavingPeriod{from: from, to: time.Now()}
	return r.fleet.SetTargetState(ctx, a, cataloger.TargetServing)
}

// mixedFaultCount is the number of faults in one round of NewMixedFaults.
const mixedFaultCount = 8

// NewMixedFaults returns a scenario that injects faults of all kinds, two at a
// time, in an order that the seed determines.
func NewMixedFaults() Scenario {
	return Scenario{name: "mixed_faults", guarantee: "faults that come together or twice", inject: mixFaults}
}

func mixFaults(ctx context.Context, r *run) error {
	faults := []func(context.Context, *run) (heal func(context.Context) error, err error){
		pauseNode, killAgent, changeWeight, stopPlatform, killBalancer,
	}
	for range mixedFaultCount / 2 {
		var heals []func(context.Context) error
		for _, i := range r.random.Perm(len(faults))[:2] {
			heal, err := faults[i](ctx, r)
			if err != nil {
				return err
			}
			heals = append(heals, heal)
		}
		if err := launcher.Sleep(ctx, settleTime); err != nil {
			return err
		}
		for _, heal := range heals {
			if err := heal(ctx); err != nil {
				return err
			}
		}
		r.checkRevisions(ctx)
		if err := launcher.Sleep(ctx, settleTime); err != nil {
			return err
		}
	}
	return r.waitInForce(ctx)
}

func skipHealing(context.Context) error { return nil }

func pauseNode(_ context.Context, r *run) (func(context.Context) error, error) {
	nodes := r.fleet.RunningNodes()
	n := nodes[r.random.IntN(len(nodes))]
	n.Signal(syscall.SIGSTOP)
	r.countFault("process_paused")
	return func(context.Context) error {
		n.Signal(syscall.SIGCONT)
		return nil
	}, nil
}

func killAgent(_ context.Context, r *run) (func(context.Context) error, error) {
	a := r.fleet.Agents()[r.random.IntN(len(r.fleet.Agents()))]
	a.Kill()
	r.countFault("agent_killed")
	return func(ctx context.Context) error { return r.fleet.RestartAgent(ctx, a) }, nil
}

func changeWeight(ctx context.Context, r *run) (func(context.Context) error, error) {
	r.countFault("configuration_changed")
	return skipHealing, r.fleet.ChangeWeight(ctx, 20+r.random.Int64N(200))
}

func stopPlatform(ctx context.Context, r *run) (func(context.Context) error, error) {
	r.countFault("platform_down")
	heal := func(ctx context.Context) error { return r.fleet.SetPlatformFaults(ctx, launcher.PlatformFaults{}) }
	return heal, r.fleet.SetPlatformFaults(ctx, launcher.PlatformFaults{Down: true})
}

// killBalancer kills the oldest running balancer. The returned function starts
// another one.
func killBalancer(_ context.Context, r *run) (func(context.Context) error, error) {
	for _, b := range r.fleet.Balancers() {
		if !b.HasExited() {
			b.Kill()
			break
		}
	}
	r.countFault("balancer_killed")
	return func(ctx context.Context) error {
		_, err := r.fleet.AddBalancer(ctx)
		return err
	}, nil
}

// NewPeak returns a scenario that raises the load on cutlist-svc to several
// times its capacity for a few seconds while amendments and feeds continue.
func NewPeak() Scenario {
	return Scenario{name: "peak", guarantee: "a refusal at the peak is none afterwards, and feeds survive", inject: injectPeak}
}

// recoveryTime is the time after a peak from which no request may be refused.
const recoveryTime = 10 * time.Second

func injectPeak(ctx context.Context, r *run) error {
	burst, err := r.load.RunBurst(ctx, loader.Burst{
		Service: "cutlist-svc", Callers: 40, Duration: 6 * time.Second, Timeout: time.Second,
	})
	if err != nil {
		return err
	}
	r.countFault("peak")
	r.burst = burst
	if burst.Complete == 0 {
		r.recordViolation("no request of the peak was answered")
	}
	if err := launcher.Sleep(ctx, recoveryTime); err != nil {
		return err
	}
	before := r.load.Tally()
	if err := launcher.Sleep(ctx, settleTime); err != nil {
		return err
	}
	after := r.load.Tally()
	if refused := after.NotRun - before.NotRun; refused > 0 {
		r.recordViolation("%d requests were refused %v after the peak", refused, recoveryTime)
	}
	return nil
}
