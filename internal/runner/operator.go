package runner

import (
	"context"

	"kingcupvalve.example/kingcupvalve/internal/cataloger"
	"kingcupvalve.example/kingcupvalve/internal/deliverer"
	"kingcupvalve.example/kingcupvalve/internal/forwarder"
	"kingcupvalve.example/kingcupvalve/internal/operator"
	"kingcupvalve.example/kingcupvalve/internal/presenter"
)

func (r *Runner) buildPresenter() {
	o := presenter.Options{
		Settings: r.settings, Incarnation: r.incarnation, Follower: r.follower, Signaller: r.signaller,
		Backlog: r.backlog, IsLeaving: r.isStopping.Load, Counters: forwarder.Counters,
	}
	if r.settings.Role() == cataloger.RoleAgent {
		o.Tracker, o.Pacer, o.Counters = r.tracker, r.pacer, deliverer.Counters
	}
	r.presenter = presenter.NewPresenter(o)
}

// buildOperator binds the operator API if the settings have an address for it.
func (r *Runner) buildOperator(ctx context.Context) (err error) {
	address := r.settings.OperatorAddress()
	if !address.IsValid() {
		return nil
	}
	r.operator, err = operator.NewEndpoint(ctx, address, r.settings.OperatorTLS(), operator.Options{
		Logger: r.logger, Status: r.presenter.Status, Targets: r.presenter.Targets,
		RefusedEntries: r.presenter.RefusedEntries, Flows: r.presenter.Flows,
		Burn: r.presenter.Burn, Drain: r.requestDrain,
	})
	return err
}

// requestDrain starts a graceful shutdown. Further requests have no effect.
func (r *Runner) requestDrain() {
	select {
	case r.drain <- struct{}{}:
	default:
	}
}
