package runner

import (
	"os"
	"syscall"
	"testing"

	"github.com/matryer/is"

	"kingcupvalve.example/kingcupvalve/internal/router"
)

const (
	firstBalancer  = 1
	secondBalancer = 2
	thirdBalancer  = 3
	firstTarget    = 11
	secondTarget   = 12
	thirdTarget    = 13
	callerHost     = 100
	flowCount      = 24
)

// newServingFleet starts two balancers and two agents with their targets. It
// returns the agent of the first target.
func newServingFleet(t *testing.T) (*fleet, *process) {
	f := newFleet(t)
	for _, n := range []byte{firstTarget, secondTarget} {
		f.setTarget(n, router.Serving)
		f.serveTarget(n)
	}
	f.start("balancer", firstBalancer)
	f.start("balancer", secondBalancer)
	agent := f.start("agent", firstTarget)
	f.start("agent", secondTarget)
	for _, n := range []byte{firstBalancer, secondBalancer, firstTarget, secondTarget} {
		f.awaitReady(n)
	}
	return f, agent
}

func openFlows(c *callers) []uint32 {
	owners := make([]uint32, flowCount)
	for i := range owners {
		owners[i] = c.call(uint16(1000+i), true)
	}
	return owners
}

// assertSameTargets checks that packets of open flows still reach the targets that
// hold them.
func assertSameTargets(t *testing.T, c *callers, owners []uint32) {
	t.Helper()
	for i, n := range owners {
		if got := c.call(uint16(1000+i), false); got != n {
			t.Fatalf("flow %d answered by target %d, want %d", i, got, n)
		}
	}
}

// TestConductor runs whole processes over loopback. With the race detector it
// also guards against unsynchronized state shared by goroutines of a process.
func TestConductor(t *testing.T) {
	t.Run("flows stay at their targets after a change of balancer and a restart of an agent", func(t *testing.T) {
		f, agent := newServingFleet(t)
		first := f.newCallers(callerHost, firstBalancer)
		owners := openFlows(first)
		assertSameTargets(t, first, owners)
		first.balancer = secondBalancer
		assertSameTargets(t, first, owners)
		agent.stop()
		f.start("agent", firstTarget)
		f.awaitReady(firstTarget)
		assertSameTargets(t, first, owners)
	})
	t.Run("flows stay at their targets while another target starts and drains", func(t *testing.T) {
		f, _ := newServingFleet(t)
		c := f.newCallers(callerHost, firstBalancer)
		owners := openFlows(c)
		f.serveTarget(thirdTarget)
		f.start("agent", thirdTarget)
		for range 10 {
			f.setTarget(thirdTarget, router.Serving)
			assertSameTargets(t, c, owners[:4])
			f.setTarget(thirdTarget, router.Draining)
			assertSameTargets(t, c, owners[:4])
		}
		assertSameTargets(t, c, owners)
	})
	// Guards against open flows without an answer behind a target that is silent: each
	// copy of a packet takes the same way, and the silent target's agent lives.
	t.Run("a silent target hides no flow from a new balancer", func(t *testing.T) {
		f, _ := newServingFleet(t)
		c := f.newCallers(callerHost, firstBalancer)
		owners := openFlows(c)
		listen(t, backendAddress(f, thirdTarget))
		f.setTarget(thirdTarget, router.Serving)
		f.start("agent", thirdTarget)
		f.awaitReady(thirdTarget)
		f.start("balancer", thirdBalancer)
		f.awaitReady(thirdBalancer)
		c.balancer = thirdBalancer
		assertSameTargets(t, c, owners)
	})
	t.Run("a draining target gets no new flows", func(t *testing.T) {
		is := is.New(t)
		f, agent := newServingFleet(t)
		c := f.newCallers(callerHost, firstBalancer)
		f.setTarget(firstTarget, router.Draining)
		await(t, "change in force at the agent", func() bool {
			_, target, ok := agent.follower.Table().FindTargetAt(backendAddress(f, firstTarget))
			return ok && target.State == router.Draining
		})
		for i := range flowCount {
			is.Equal(c.call(uint16(1000+i), true), uint32(secondTarget))
		}
	})
	t.Run("a reload of unchanged settings does not affect open flows", func(t *testing.T) {
		f, _ := newServingFleet(t)
		c := f.newCallers(callerHost, firstBalancer)
		owners := openFlows(c)
		if err := syscall.Kill(os.Getpid(), syscall.SIGHUP); err != nil {
			t.Fatal(err)
		}
		assertSameTargets(t, c, owners)
	})
	// Guards against lost packets: routers must not send any to a balancer that
	// reaches no agent.
	t.Run("a balancer is not ready while no agent answers", func(t *testing.T) {
		f := newFleet(t)
		f.setTarget(firstTarget, router.Serving)
		f.serveTarget(firstTarget)
		f.start("balancer", firstBalancer)
		agent := f.start("agent", firstTarget)
		f.awaitReady(firstTarget)
		f.awaitReady(firstBalancer)
		agent.stop()
		await(t, "refused readiness", func() bool { return !f.isReady(firstBalancer) })
		f.start("agent", firstTarget)
		f.awaitReady(firstBalancer)
	})
}
