package journaler

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"kingcupvalve.example/kingcupvalve/deriver"
	"kingcupvalve.example/kingcupvalve/minter"
	"kingcupvalve.example/kingcupvalve/standin/issuer"
)

// variant selects the correct behaviour or one of the faulty ones that
// TestNaiveRules shows to be detected.
type variant uint8

const (
	correct variant = iota
	// retryOnTimeout executes a request again after a timeout.
	retryOnTimeout
	// forgetOnRestart keeps the incarnation number over a restart that loses the
	// journal.
	forgetOnRestart
	// reopenRefused starts a ticket after it was answered as not run.
	reopenRefused
)

const agentCount = 2

// oracle counts the executions of each ticket and checks every answer against
// that count.
type oracle struct {
	runs   map[string]int
	notRun map[string]bool // tickets that were answered as not run
	done   map[string]bool // tickets that were answered as done
}

func (o *oracle) check() error {
	for ticket, n := range o.runs {
		if n > 1 {
			return fmt.Errorf("ticket %s ran %d times", ticket, n)
		}
		if n > 0 && o.notRun[ticket] {
			return fmt.Errorf("ticket %s was answered as not run and ran", ticket)
		}
	}
	for ticket := range o.done {
		if o.runs[ticket] != 1 {
			return fmt.Errorf("ticket %s was answered as done and ran %d times", ticket, o.runs[ticket])
		}
	}
	return nil
}

type modelAgent struct {
	minter  *minter.Minter
	journal *Journal
	// runningTickets lists the tickets that Begin has started, oldest first.
	runningTickets []string
}

// model is a fleet of agents, a clock that the test controls, and an oracle.
type model struct {
	variant     variant
	ring        *deriver.KeyRing
	now         time.Time
	incarnation uint64
	agents      [agentCount]*modelAgent
	tickets     []string
	// abandoned lists the tickets whose request may still be executed although no
	// agent waits for it any more.
	abandoned []string
	oracle    oracle
}

func newModel(v variant, ring *deriver.KeyRing) *model {
	m := &model{variant: v, ring: ring, now: start, oracle: oracle{
		runs: map[string]int{}, notRun: map[string]bool{}, done: map[string]bool{},
	}}
	for i := range m.agents {
		m.restart(i)
	}
	return m
}

// restart replaces agent i by a new one with an empty journal.
func (m *model) restart(i int) {
	if m.variant != forgetOnRestart {
		m.incarnation++
	}
	if old := m.agents[i]; old != nil {
		// Requests that were in flight when the agent stopped may still be executed.
		m.abandoned = append(m.abandoned, old.runningTickets...)
	}
	mint, err := minter.NewMinter(minter.Options{
		Ring: m.ring, Target: uint32(i), Incarnation: m.incarnation, Service: 3, Lifetime: 10 * time.Second,
	})
	if err != nil {
		panic(err)
	}
	m.agents[i] = &modelAgent{minter: mint, journal: NewJournal(Options{
		Target: uint32(i), Incarnation: m.incarnation, Capacity: 4,
	})}
}

// mint has agent i issue a ticket.
func (m *model) mint(i int) {
	text, err := m.agents[i].minter.Mint(m.now)
	if err != nil {
		panic(err)
	}
	m.tickets = append(m.tickets, text)
}

// deliver sends a request to agent i, which forwards it to the issuing agent.
func (m *model) deliver(i int, text string) error {
	ticket, err := m.agents[i].minter.Parse(text)
	if err != nil {
		return err
	}
	a := m.agents[ticket.Target()]
	switch d := a.journal.Begin(ticket, 0, m.now); d.Action() {
	case Start:
		a.runningTickets = append(a.runningTickets, text)
	case Replay:
		if d.Outcome() == NotRun {
			m.oracle.notRun[text] = true
		}
		if response := d.Response(); response != nil && string(response.Body()) != text {
			return fmt.Errorf("ticket %s received the response of %s", text, response.Body())
		}
	}
	return nil
}

// finish ends the oldest running request of agent i in one of four ways: 0 is
// success, the others are explained at their case.
func (m *model) finish(i, way int) {
	a := m.agents[i]
	if len(a.runningTickets) == 0 {
		return
	}
	text := a.runningTickets[0]
	a.runningTickets = a.runningTickets[1:]
	ticket, err := a.minter.Parse(text)
	if err != nil {
		panic(err)
	}
	switch way {
	case 0:
		m.oracle.runs[text]++
		m.oracle.done[text] = true
		a.journal.Finish(ticket.Serial(), Done, NewResponse(200, nil, []byte(text)), m.now)
	case 1: // refused or cancelled before the request was sent
		m.oracle.notRun[text] = true
		a.journal.Finish(ticket.Serial(), NotRun, nil, m.now)
		if m.variant == reopenRefused {
			a.journal.window = window{}
		}
	case 2: // timed out; the backend server may still execute it later
		m.abandoned = append(m.abandoned, text)
		if m.variant == retryOnTimeout {
			a.runningTickets = append(a.runningTickets, text)
			return
		}
		a.journal.Finish(ticket.Serial(), Unknown, nil, m.now)
	case 3: // executed, but the response was lost
		m.oracle.runs[text]++
		a.journal.Finish(ticket.Serial(), Unknown, nil, m.now)
	}
}

// executeAbandoned executes one of the abandoned requests.
func (m *model) executeAbandoned(i int) {
	if len(m.abandoned) == 0 {
		return
	}
	i %= len(m.abandoned)
	m.oracle.runs[m.abandoned[i]]++
	m.abandoned = append(m.abandoned[:i], m.abandoned[i+1:]...)
}

// step is one event of a script. Its pick selects the ticket, the ending of a
// request or the number of seconds, depending on kind.
type step struct{ kind, agent, pick int }

// run applies a script of events, in which requests are delivered in any order
// and any number of times. It returns the first violation of at-most-once
// execution.
func (m *model) run(script []step) error {
	for n, s := range script {
		switch s.kind {
		case 0:
			m.mint(s.agent)
		case 1, 2, 3:
			if len(m.tickets) > 0 {
				if err := m.deliver(s.agent, m.tickets[s.pick%len(m.tickets)]); err != nil {
					return err
				}
			}
		case 4, 5:
			m.finish(s.agent, s.pick%4)
		case 6:
			m.executeAbandoned(s.pick)
		case 7:
			m.now = m.now.Add(time.Duration(s.pick%12) * time.Second)
			m.agents[s.agent].journal.Tick(m.now)
		case 8: // the clock steps back, which must not let a finished ticket start again
			m.now = m.now.Add(-time.Duration(s.pick%6) * time.Second)
		case 9:
			m.restart(s.agent)
		}
		if err := m.oracle.check(); err != nil {
			return fmt.Errorf("step %d: %w", n, err)
		}
	}
	return nil
}

func generateScripts() *rapid.Generator[[]step] {
	return rapid.SliceOfN(rapid.Custom(func(t *rapid.T) step {
		return step{
			kind:  rapid.IntRange(0, 9).Draw(t, "kind"),
			agent: rapid.IntRange(0, agentCount-1).Draw(t, "agent"),
			pick:  rapid.IntRange(0, 23).Draw(t, "pick"),
		}
	}), 10, 120)
}

// TestAtMostOnce guards against a second execution of a request and against the
// answer "not run" for a request that was executed, under duplicates, delays,
// ticket expiry, execution after a timeout, clock steps and agent restarts.
func TestAtMostOnce(t *testing.T) {
	ring := issuer.MustKeyRing(t, 1)
	rapid.Check(t, func(t *rapid.T) {
		if err := newModel(correct, ring).run(generateScripts().Draw(t, "script")); err != nil {
			t.Fatal(err)
		}
	})
}

// TestNaiveRules shows that the property of TestAtMostOnce detects each faulty
// variant, on scripts that the correct variant passes.
func TestNaiveRules(t *testing.T) {
	ring := issuer.MustKeyRing(t, 1)
	for name, v := range map[string]variant{
		"retry on timeout":                retryOnTimeout,
		"forget on restart":               forgetOnRestart,
		"start a refused ticket later on": reopenRefused,
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			caught := 0
			for seed := range 200 {
				script := generateScripts().Example(seed)
				is.NoErr(newModel(correct, ring).run(script))
				if newModel(v, ring).run(script) != nil {
					caught++
				}
			}
			t.Logf("detected by %d of 200 scripts", caught)
			is.True(caught > 0)
		})
	}
}
