package conductor

import (
	"context"
	"net"

	"github.com/ansel1/merry/v2"

	"kingcupvalve.example/kingcupvalve/internal/cataloger"
	"kingcupvalve.example/kingcupvalve/internal/deliverer"
	"kingcupvalve.example/kingcupvalve/internal/operator"
	"kingcupvalve.example/kingcupvalve/internal/presenter"
	"kingcupvalve.example/kingcupvalve/internal/steerer"
)

// operators is the operator API of a process whose settings name an address for
// it.
type operators struct {
	server   *operator.Server
	listener net.Listener
}

func (c *Conductor) buildPresenter() {
	o := presenter.Options{
		Settings: c.settings, Incarnation: c.incarnation, Follower: c.follower, Signaller: c.signaller,
		IsLeaving: c.isLeaving.Load, Counters: steerer.Counters,
	}
	if c.settings.Role() == cataloger.RoleAgent {
		o.Tracker, o.Counters = c.tracker, deliverer.Counters
	}
	c.presenter = presenter.NewPresenter(o)
}

func (c *Conductor) newOperators(ctx context.Context) (*operators, error) {
	address := c.settings.OperatorAddress()
	if !address.IsValid() {
		return nil, nil
	}
	config, err := c.settings.OperatorTLS().ServerConfig()
	if err != nil {
		return nil, err
	}
	o := &operators{}
	if o.server, err = operator.NewServer(operator.Options{
		TLS: config, Logger: c.logger, Status: c.presenter.Status, Targets: c.presenter.Targets, Flows: c.presenter.Flows,
		Burn: c.presenter.Burn, Drain: c.requestDrain,
	}); err != nil {
		return nil, err
	}
	var listen net.ListenConfig
	if o.listener, err = listen.Listen(ctx, "tcp", address.String()); err != nil {
		return nil, merry.Prepend(err, "listen for operators")
	}
	return o, nil
}

// serve answers operators until the context ends.
func (o *operators) serve(ctx context.Context) error {
	if o == nil {
		return nil
	}
	return o.server.Serve(ctx, o.listener)
}

// requestDrain starts a planned stop; further requests change nothing.
func (c *Conductor) requestDrain() {
	select {
	case c.drain <- struct{}{}:
	default:
	}
}
