package conductor

import (
	"context"

	"kingcupvalve.example/kingcupvalve/internal/cataloger"
	"kingcupvalve.example/kingcupvalve/internal/deliverer"
	"kingcupvalve.example/kingcupvalve/internal/forwarder"
	"kingcupvalve.example/kingcupvalve/internal/operator"
	"kingcupvalve.example/kingcupvalve/internal/presenter"
)

func (c *Conductor) buildPresenter() {
	o := presenter.Options{
		Settings: c.settings, Incarnation: c.incarnation, Follower: c.follower, Signaller: c.signaller,
		IsLeaving: c.isStopping.Load, Counters: forwarder.Counters,
	}
	if c.settings.Role() == cataloger.RoleAgent {
		o.Tracker, o.Counters = c.tracker, deliverer.Counters
	}
	c.presenter = presenter.NewPresenter(o)
}

// buildOperator binds the operator API if the settings have an address for it.
func (c *Conductor) buildOperator(ctx context.Context) (err error) {
	address := c.settings.OperatorAddress()
	if !address.IsValid() {
		return nil
	}
	c.operator, err = operator.NewEndpoint(ctx, address, c.settings.OperatorTLS(), operator.Options{
		Logger: c.logger, Status: c.presenter.Status, Targets: c.presenter.Targets, Flows: c.presenter.Flows,
		Burn: c.presenter.Burn, Drain: c.requestDrain,
	})
	return err
}

// requestDrain starts a planned stop. Further requests have no effect.
func (c *Conductor) requestDrain() {
	select {
	case c.drain <- struct{}{}:
	default:
	}
}
