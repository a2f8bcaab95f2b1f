package main

import (
	"fmt"
	"net/netip"
	"sync"
	"syscall"
	"time"
)

const (
	// stabilityWindow is the time without impairment after which a machine is in touch.
	stabilityWindow = 4 * time.Second
	// freezeTime is the time for which a machine stands still if the list of
	// impairments names no other.
	freezeTime = 5 * time.Second
	// restartDelay is the time from the end of a process to its next start.
	restartDelay = 500 * time.Millisecond
	// readyTime is the time from a start to the next readiness check.
	readyTime     = 60 * time.Millisecond
	frozenService = "feeds"
	frozenSlots   = 5
	frozenWork    = 5 * time.Millisecond
	// listedTargets are there from the start. The service has as many as the smaller one
	// of the site, and the larger one has otherTargets.
	listedTargets = 3
	otherTargets  = 7
	otherService  = "board"
	// zoneBalancers take the packets of the callers' zone, otherBalancers those of others.
	zoneBalancers  = 2
	otherBalancers = 4
	// drainsAt is the time from the freeze to the report of the replaced target that it
	// drains. It serves on for longer than the run.
	drainsAt     = 1600 * time.Millisecond
	usualCallers = 30
	moreCallers  = 300
	thinkTime    = 350 * time.Millisecond
	// stopsBefore is the time from the planned stop of a balancer to the freeze, and
	// callersArriveAt and callersArriveWithin tell when more callers come after it.
	stopsBefore         = 850 * time.Millisecond
	callersArriveAt     = 580 * time.Millisecond
	callersArriveWithin = 400 * time.Millisecond
)

// brokenFlow is an open flow that got a reset which its target did not send.
type brokenFlow struct {
	caller netip.AddrPort
	target string
	sender netip.Addr
}

// crowd is a number of callers that each keep a flow open for many requests.
type crowd struct {
	fleet     *fleet
	published netip.AddrPort
	lock      sync.Mutex
	targets   []*target
	broken    []brokenFlow
	answers   int
	stop      chan struct{}
	wait      sync.WaitGroup
}

// add adds callers, who begin one after the other within a time.
func (c *crowd) add(h *host, callers int, within time.Duration) {
	for i := range callers {
		c.wait.Go(func() {
			time.Sleep(within * time.Duration(i) / time.Duration(callers))
			for {
				select {
				case <-c.stop:
					return
				default:
					c.useFlow(h)
				}
			}
		})
	}
}

// useFlow opens a flow and sends requests until the flow ends.
func (c *crowd) useFlow(h *host) {
	flow := h.newFlow(c.published)
	defer flow.forget()
	if flow.open() != answered {
		time.Sleep(time.Duration(20+c.fleet.random.Uint32()%60) * time.Millisecond)
		return
	}
	for {
		select {
		case <-c.stop:
			flow.close()
			return
		default:
		}
		result, sender := flow.request(c.fleet.nextID())
		if result == answered {
			c.countAnswer()
			if flow.isClosing {
				flow.close()
				return
			}
			var isReset bool
			if sender, isReset = flow.pause(thinkTime); isReset {
				result = wasReset
			}
		}
		switch result {
		case wasReset:
			c.judgeReset(flow, sender)
			return
		case timedOut:
			return
		}
	}
}

func (c *crowd) countAnswers() int {
	c.lock.Lock()
	defer c.lock.Unlock()
	return c.answers
}

func (c *crowd) countAnswer() {
	c.lock.Lock()
	defer c.lock.Unlock()
	c.answers++
}

// judgeReset records whether a reset broke the rule: the flow is open at a target that
// lives and did not send it, and the machine that takes the packets, that of the target
// and the sender have been without impairment for the stability window.
func (c *crowd) judgeReset(flow *callerFlow, sender netip.Addr) {
	c.lock.Lock()
	defer c.lock.Unlock()
	f := c.fleet
	for _, t := range c.targets {
		openedAt, isHeld := t.holds(flow.from, flow.to)
		if !isHeld {
			continue
		}
		takes, own, resets := f.selectBalancer(packet{from: flow.from, to: flow.to}), f.processAt(t.address.Addr()), f.processAt(sender)
		counts := f.isInTouch(takes, stabilityWindow) && f.isInTouch(own, stabilityWindow) && resets != nil && f.isInTouch(resets, stabilityWindow)
		name := "an unknown process"
		if resets != nil {
			name = resets.name
		}
		f.record.write("the flow of %v, open at %s for %v, is reset by %s; packets are taken by %s; counts: %v", flow.from, t.id,
			time.Since(openedAt).Round(time.Millisecond), name, takes.name, counts)
		if counts {
			c.broken = append(c.broken, brokenFlow{caller: flow.from, target: t.id, sender: sender})
		}
	}
}

// runFrozenAgent plays the freeze of one agent's machine, while a target is replaced and a
// balancer is stopped and started as planned.
func runFrozenAgent(f *fleet) (bool, error) {
	published := netip.AddrPortFrom(f.addressOf(200), 443)
	f.store.put(f.names.ConfigKey, fill(f.names.Config, config{
		Version: 3, Routes: []route{{Name: "r-feeds", Host: published.Addr().String(), Port: 443, Kind: "safe", Service: frozenService}}, Services: []string{frozenService, otherService},
	}))
	for i := range zoneBalancers + otherBalancers {
		role := roleBalancer
		if i >= zoneBalancers {
			role = roleOther
		}
		if _, err := f.newProcess(role, fmt.Sprint("edge-", i+1), i+1, ""); err != nil {
			return false, err
		}
	}
	for i := range listedTargets + 1 + otherTargets {
		service := frozenService
		if i > listedTargets {
			service = otherService
		}
		if _, err := f.newProcess(roleAgent, fmt.Sprint("side-", i+1), 11+i, service); err != nil {
			return false, err
		}
	}
	c := &crowd{fleet: f, published: published, stop: make(chan struct{})}
	for _, a := range f.agents[:listedTargets] {
		if err := c.addTarget(a); err != nil {
			return false, err
		}
	}
	for _, a := range f.agents[listedTargets+1:] {
		t, err := f.startTarget(a, fmt.Sprintf("i-%08x", f.random.Uint32()), otherService, frozenSlots, frozenWork)
		if err != nil {
			return false, err
		}
		t.publish()
	}
	h, err := f.newHost(f.addressOf(100))
	if err != nil {
		return false, err
	}
	time.Sleep(1500 * time.Millisecond)
	f.probe()
	f.probe()
	c.add(h, usualCallers, 0)
	end := time.Now().Add(stabilityWindow + time.Second)
	for time.Now().Before(end) {
		time.Sleep(probeInterval)
		f.probe()
	}
	f.record.write("%d requests are answered", c.countAnswers())
	if c.countAnswers() == 0 {
		return false, fmt.Errorf("no request was answered")
	}
	return c.playFreeze(h)
}

// addTarget starts a target beside an agent.
func (c *crowd) addTarget(a *process) error {
	t, err := c.fleet.startTarget(a, fmt.Sprintf("i-%08x", c.fleet.random.Uint32()), frozenService, frozenSlots, frozenWork)
	if err != nil {
		return err
	}
	c.lock.Lock()
	c.targets = append(c.targets, t)
	c.lock.Unlock()
	t.publish()
	return nil
}

func (c *crowd) playFreeze(h *host) (bool, error) {
	f, restarted, frozen := c.fleet, c.fleet.balancers[0], c.fleet.agents[0]
	freezeAt := time.Now().Add(stopsBefore)
	f.signal(restarted, syscall.SIGTERM)
	failed := make(chan error, 1)
	go func() {
		<-restarted.exited
		f.record.write("process %s has ended", restarted.name)
		time.Sleep(restartDelay)
		failed <- f.start(restarted)
	}()
	time.Sleep(10 * time.Millisecond)
	f.probe()
	time.Sleep(probeInterval)
	f.probe()
	time.Sleep(time.Until(freezeAt))
	if f.options.trouble {
		f.signal(frozen, syscall.SIGSTOP)
	}
	time.Sleep(20 * time.Millisecond)
	if err := c.addTarget(f.agents[listedTargets]); err != nil {
		return false, err
	}
	time.Sleep(time.Until(freezeAt.Add(callersArriveAt)))
	c.add(h, moreCallers, callersArriveWithin)
	if err := <-failed; err != nil {
		return false, err
	}
	time.AfterFunc(time.Until(freezeAt.Add(drainsAt)), c.targets[listedTargets-1].drain)
	time.Sleep(readyTime)
	for time.Since(freezeAt) < freezeTime-probeInterval {
		f.probe()
		time.Sleep(probeInterval)
	}
	time.Sleep(time.Until(freezeAt.Add(freezeTime)))
	if f.options.trouble {
		f.signal(frozen, syscall.SIGCONT)
	}
	time.Sleep(2 * time.Second)
	close(c.stop)
	c.wait.Wait()
	f.record.write("%d requests are answered, %d open flows are broken", c.countAnswers(), len(c.broken))
	return len(c.broken) > 0, nil
}
