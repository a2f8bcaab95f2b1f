package runner

import (
	"testing"
	"time"

	"github.com/matryer/is"

	api "kingcupvalve.example/kingcupvalve/internal/api/operator"
	"kingcupvalve.example/kingcupvalve/internal/router"
	"kingcupvalve.example/kingcupvalve/standin/issuer"
)

// targetStates returns the states of all targets as listed by the operator API of
// a process.
func targetStates(t *testing.T, client *api.Client) map[string]api.TargetStateState {
	t.Helper()
	targets, err := client.ListTargets(t.Context(), api.ListTargetsParams{})
	is.New(t).NoErr(err)
	states := make(map[string]api.TargetStateState)
	for _, target := range targets {
		states[target.Target] = target.State
	}
	return states
}

// TestOperators guards against processes for packet flows that lack parts of the
// operator API: status, targets, flows, burn, events and drain.
func TestOperators(t *testing.T) {
	is := is.New(t)
	f := newFleet(t)
	authority, err := issuer.NewAuthority()
	is.NoErr(err)
	f.authority = authority
	for _, n := range []byte{firstTarget, secondTarget} {
		f.setTarget(n, router.Serving)
		f.serveTarget(n)
	}
	f.start("balancer", firstBalancer)
	f.start("agent", firstTarget)
	stopped := f.start("agent", secondTarget)
	for _, n := range []byte{firstBalancer, firstTarget, secondTarget} {
		f.awaitReady(n)
	}
	c := f.newCallers(callerHost, firstBalancer)
	owners := openFlows(c)
	assertSameTargets(t, c, owners)
	atFirst := 0
	for _, n := range owners {
		if n == firstTarget {
			atFirst++
		}
	}

	client, balancer := f.operator(firstTarget), f.operator(firstBalancer)
	status, err := client.GetStatus(t.Context())
	is.NoErr(err)
	is.Equal(status.State, api.StatusStateServing)
	is.Equal(status.ConfigState, api.StatusConfigStateInForce)
	is.Equal(status.Counters["config_version"], int64(1))
	is.True(status.Counters["packets_delivered"] > 0)

	flows, err := client.ListFlows(t.Context(), api.ListFlowsParams{Limit: api.NewOptInt(1000)})
	is.NoErr(err)
	is.Equal(len(flows), atFirst)
	is.Equal(flows[0].Requests, int64(1))

	burn, err := client.GetBurn(t.Context(), api.GetBurnParams{})
	is.NoErr(err)
	good := int64(0)
	for _, b := range burn.Buckets {
		is.Equal(b.Target, "target-11")
		good += b.Good
	}
	is.Equal(good, int64(atFirst)) // one answered request for each flow

	f.setTarget(firstTarget, router.Draining)
	stopped.stop()
	await(t, "states in the balancer's list", func() bool {
		states := targetStates(t, balancer)
		return states["target-11"] == api.TargetStateStateDraining && states["target-12"] == api.TargetStateStateDown
	})
	is.NoErr(client.StartDrain(t.Context()))
	await(t, "end of the drained agent", func() bool {
		_, err := client.GetStatus(t.Context())
		return err != nil
	})
	await(t, "events", func() bool {
		burn, err := balancer.GetBurn(t.Context(), api.GetBurnParams{SinceUnixSeconds: api.NewOptInt64(time.Now().Add(-time.Hour).Unix())})
		is.NoErr(err)
		kinds := make(map[api.BurnEventKind]bool)
		for _, e := range burn.Events {
			kinds[e.Kind] = true
		}
		return kinds[api.BurnEventKindRevision] && kinds[api.BurnEventKindTargetDown]
	})
}
