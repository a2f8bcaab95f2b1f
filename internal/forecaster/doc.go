// Package forecaster estimates the work of targets of packet flows, so that
// balancers place new flows by the expected time to an answer. It uses no sockets,
// and takes the time as a parameter.
//
// A Forecaster belongs to an agent. It learns from the flows of the agent's target
// how long requests of each route occupy a slot, and how many requests follow on an
// open flow. Its Forecast is sent to balancers.
//
// A Ledger belongs to a balancer. It keeps the last forecast of each target and the
// flows that the balancer has placed there since, and compares targets by their
// expected time to an answer.
//
// All of this is soft state: a restarted process knows nothing, and places flows as
// if there were no forecasts until it has some.
//
// # Usage
//
//	f := forecaster.NewForecaster()
//	f.ObserveWork(route, elapsed, now)
//	forecast := f.Forecast(load, now)
//
//	l := forecaster.NewLedger()
//	l.Update(target, forecast, now)
//	l.RecordPlaced(target, route, now)
//	cost, ok := l.Cost(target, route, now)
package forecaster
