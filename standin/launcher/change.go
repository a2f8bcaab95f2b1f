package launcher

import (
	"context"
	"fmt"
	"slices"
	"time"

	"kingcupvalve.example/kingcupvalve/internal/cataloger"
)

// RunningNodes returns the agents and balancers that are running.
func (f *Fleet) RunningNodes() []*Node {
	var nodes []*Node
	for _, n := range slices.Concat(f.agents, f.balancers) {
		if n.Process != nil && !n.HasExited() {
			nodes = append(nodes, n)
		}
	}
	return nodes
}

// PublishChange edits the fleet document and publishes it as the next revision.
func (f *Fleet) PublishChange(ctx context.Context, edit func(*cataloger.FleetSpec)) error {
	f.fleetSpec.Revision++
	edit(&f.fleetSpec)
	return f.Publish(ctx)
}

// WaitInForce waits until every running node, except those in skip, serves the
// published revision. It returns the time that this took.
func (f *Fleet) WaitInForce(ctx context.Context, skip ...*Node) (time.Duration, error) {
	started := time.Now()
	for _, n := range f.RunningNodes() {
		if slices.Contains(skip, n) {
			continue
		}
		if err := f.WaitServing(ctx, n); err != nil {
			return 0, err
		}
	}
	return time.Since(started), nil
}

// ChangeWeight publishes an exception that sets the weight of the first target.
func (f *Fleet) ChangeWeight(ctx context.Context, weight int64) error {
	return f.PublishChange(ctx, func(spec *cataloger.FleetSpec) {
		spec.Exceptions = []cataloger.ExceptionSpec{{
			Scope: "cutlist-svc/cutlist-1", Key: "weight", Value: weight, Reason: "host shares its disk shelf until Friday",
		}}
	})
}

// SetTargetState publishes the state of an agent's target.
func (f *Fleet) SetTargetState(ctx context.Context, n *Node, state string) error {
	return f.PublishChange(ctx, func(spec *cataloger.FleetSpec) {
		for i := range spec.Services {
			for j := range spec.Services[i].Targets {
				if t := &spec.Services[i].Targets[j]; t.Number == n.targetNumber {
					t.State = state
				}
			}
		}
	})
}

// leavingNotice is the time between the publication of a leaving target and the
// graceful stop of its agent.
const leavingNotice = time.Second

// StopAgent publishes the agent's target as leaving and stops the agent
// gracefully.
func (f *Fleet) StopAgent(ctx context.Context, n *Node) error {
	if err := f.SetTargetState(ctx, n, cataloger.TargetLeaving); err != nil {
		return err
	}
	if err := Sleep(ctx, leavingNotice); err != nil {
		return err
	}
	if err := n.Terminate(StopTimeout); err != nil {
		return err
	}
	f.RebuildHosts()
	return f.Publish(ctx)
}

// ReplaceAgent stops an agent and its backend server gracefully, starts both
// again at the same addresses and publishes the target as serving.
func (f *Fleet) ReplaceAgent(ctx context.Context, n *Node) error {
	if err := f.StopAgent(ctx, n); err != nil {
		return err
	}
	if err := f.collectNodeRecords(ctx, n); err != nil {
		return err
	}
	if err := f.backends[n.targetNumber].Terminate(StopTimeout); err != nil {
		return err
	}
	if err := f.StartBackend(n, 1); err != nil {
		return err
	}
	if err := waitHTTP(ctx, f.client, n.backendURL+"/loadz", f.backends[n.targetNumber]); err != nil {
		return err
	}
	if err := f.StartNode(n); err != nil {
		return err
	}
	f.RebuildHosts()
	if err := f.SetTargetState(ctx, n, cataloger.TargetServing); err != nil {
		return err
	}
	return f.WaitServing(ctx, n)
}

// RestartAgent starts an exited agent again at the same addresses and waits
// until it serves.
func (f *Fleet) RestartAgent(ctx context.Context, n *Node) error {
	if err := f.StartNode(n); err != nil {
		return err
	}
	return f.WaitServing(ctx, n)
}

// AddBalancer starts one more balancer, waits until it serves and adds it to
// the fabric.
func (f *Fleet) AddBalancer(ctx context.Context) (*Node, error) {
	n, err := f.ReserveBalancer()
	if err != nil {
		return nil, err
	}
	f.RebuildHosts()
	if err := f.Publish(ctx); err != nil {
		return nil, err
	}
	if err := f.StartNode(n); err != nil {
		return nil, err
	}
	if err := f.WaitServing(ctx, n); err != nil {
		return nil, err
	}
	return n, f.SetFabricBalancers(ctx, nil)
}

// RetireBalancer stops a balancer gracefully, as operators do: the fabric stops
// sending it packets while it still forwards those of open flows.
func (f *Fleet) RetireBalancer(ctx context.Context, n *Node) error {
	exited := make(chan error, 1)
	go func() { exited <- n.Terminate(StopTimeout) }()
	if err := f.SetFabricBalancers(ctx, n); err != nil {
		return err
	}
	if err := <-exited; err != nil {
		return err
	}
	f.RebuildHosts()
	return f.Publish(ctx)
}

// PlatformFaults is the set of faults that the platform stand-in can simulate.
// Down fails all calls, Stale keeps serving the current state, and DelayMs delays
// every response by that many milliseconds. Mark saves the current state and
// RollBack restores it, versions included.
type PlatformFaults struct {
	Down     bool  `json:"down"`
	Stale    bool  `json:"stale"`
	DelayMs  int64 `json:"delay_ms"`
	Mark     bool  `json:"mark"`
	RollBack bool  `json:"roll_back"`
}

// SetPlatformFaults replaces the faults of the platform stand-in.
func (f *Fleet) SetPlatformFaults(ctx context.Context, faults PlatformFaults) error {
	if err := f.putJSON(ctx, f.platformAdmin+"/adminz/faults", faults); err != nil {
		return fmt.Errorf("set platform faults: %w", err)
	}
	return nil
}
