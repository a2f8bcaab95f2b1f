package conductor

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
	held := make([]uint32, flowCount)
	for i := range held {
		held[i] = c.call(uint16(1000+i), true)
	}
	return held
}

// assertHeld checks that packets of open flows reach the targets that hold them.
func assertHeld(t *testing.T, c *callers, held []uint32) {
	t.Helper()
	for i, n := range held {
		if got := c.call(uint16(1000+i), false); got != n {
			t.Fatalf("flow %d answered by target %d, want %d", i, got, n)
		}
	}
}

// TestConductor runs whole processes over loopback. With the race detector it
// guards against state that two goroutines of a process share.
func TestConductor(t *testing.T) {
	t.Run("flows stay at their targets through another balancer and a restarted agent", func(t *testing.T) {
		f, agent := newServingFleet(t)
		first := f.newCallers(callerHost, firstBalancer)
		held := openFlows(first)
		assertHeld(t, first, held)
		first.balancer = secondBalancer
		assertHeld(t, first, held)
		agent.stop()
		f.start("agent", firstTarget)
		f.awaitReady(firstTarget)
		assertHeld(t, first, held)
	})
	t.Run("flows stay at their targets while targets come, drain and go", func(t *testing.T) {
		f, _ := newServingFleet(t)
		c := f.newCallers(callerHost, firstBalancer)
		held := openFlows(c)
		f.serveTarget(thirdTarget)
		f.start("agent", thirdTarget)
		for range 10 {
			f.setTarget(thirdTarget, router.Serving)
			assertHeld(t, c, held[:4])
			f.setTarget(thirdTarget, router.Draining)
			assertHeld(t, c, held[:4])
		}
		assertHeld(t, c, held)
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
	t.Run("a reload leaves a process as it is", func(t *testing.T) {
		f, _ := newServingFleet(t)
		c := f.newCallers(callerHost, firstBalancer)
		held := openFlows(c)
		if err := syscall.Kill(os.Getpid(), syscall.SIGHUP); err != nil {
			t.Fatal(err)
		}
		assertHeld(t, c, held)
	})
	// Guards against packets that are lost at a balancer which reaches no agent.
	t.Run("a balancer that no agent answers is not ready", func(t *testing.T) {
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
