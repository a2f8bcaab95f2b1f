package agent

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/quic-go/quic-go/http3"
	"pgregory.net/rapid"

	"kingcupvalve.example/kingcupvalve/internal/cataloger"
	"kingcupvalve.example/kingcupvalve/internal/dispatcher"
)

const (
	stopMembers   = 3
	attemptHeader = "Attempt"
)

// stopPlan describes one graceful shutdown under load: the target of the first
// agent may be published as leaving, which may be withdrawn, and then the agent
// stops.
type stopPlan struct {
	seed        uint64
	isPublished bool
	isWithdrawn bool
	// before, between and after are the delays in ms around publication and stop.
	before, between, after int
}

func stopPlans() *rapid.Generator[stopPlan] {
	return rapid.Custom(func(t *rapid.T) stopPlan {
		return stopPlan{
			rapid.Uint64Range(1, 1<<40).Draw(t, "seed"), rapid.Bool().Draw(t, "published"), rapid.Bool().Draw(t, "withdrawn"),
			rapid.IntRange(50, 150).Draw(t, "before"), rapid.IntRange(0, 250).Draw(t, "between"), rapid.IntRange(100, 200).Draw(t, "after"),
		}
	})
}

// execution is one run of a request at a backend server.
type execution struct{ isDone, isCancelled bool }

// attempt is the outcome of one attempt as seen by the caller.
type attempt struct {
	isCancelled bool // by the caller itself
	isAnswered  bool // with the complete response
	result      string
}

// requestLog records executions and attempts, and checks that a graceful
// shutdown cuts off no request in flight (guarantee 7).
type requestLog struct {
	lock     sync.Mutex
	runs     map[string][]*execution
	attempts map[string]attempt
}

// check returns an error for each request in flight that was cut off: its
// execution was cancelled although the caller was waiting, or the caller got no
// complete response.
func (l *requestLog) check() error {
	l.lock.Lock()
	defer l.lock.Unlock()
	var errs []error
	for id, runs := range l.runs {
		a := l.attempts[id]
		for _, e := range runs {
			if e.isCancelled && !a.isCancelled {
				errs = append(errs, fmt.Errorf("request %s was cancelled at its backend server", id))
			}
		}
		if !a.isCancelled && !a.isAnswered {
			errs = append(errs, fmt.Errorf("request %s ran and got no answer: %s", id, a.result))
		}
	}
	return errors.Join(errs...)
}

// ServeHTTP is the backend server. It takes as long as the path states in ms.
func (l *requestLog) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get(attemptHeader)
	e := &execution{}
	l.lock.Lock()
	l.runs[id] = append(l.runs[id], e)
	l.lock.Unlock()
	ms, _ := strconv.Atoi(strings.TrimPrefix(r.URL.Path, "/work/"))
	timer := time.NewTimer(time.Duration(ms) * time.Millisecond)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-r.Context().Done():
	}
	l.lock.Lock()
	defer l.lock.Unlock()
	e.isDone, e.isCancelled = r.Context().Err() == nil, r.Context().Err() != nil
	_, _ = fmt.Fprint(w, stopAnswer(r.URL.Path))
}

func stopAnswer(path string) string { return strings.Repeat("done "+path+" ", 100) }

// send makes one attempt and records its outcome. It returns the ticket of the
// response, if there is one.
func (l *requestLog) send(client *http3.Transport, id, method, path, ticket string, cancelAfter time.Duration) (newTicket string) {
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	a := attempt{}
	if cancelAfter > 0 {
		timer := time.AfterFunc(cancelAfter, cancel)
		defer timer.Stop()
	}
	content := "x"
	if method == http.MethodGet {
		content = ""
	}
	r, err := http.NewRequestWithContext(ctx, method, "https://"+authority+path, strings.NewReader(content))
	if err != nil {
		return ""
	}
	r.Header.Set(attemptHeader, id)
	if ticket != "" {
		r.Header.Set(dispatcher.HeaderTicket, ticket)
	}
	response, body, err := do(client, r)
	a.isCancelled = cancelAfter > 0 && ctx.Err() != nil
	switch {
	case err != nil:
		a.result = err.Error()
	default:
		a.isAnswered = response.StatusCode == http.StatusOK && body == stopAnswer(path)
		a.result = fmt.Sprint(response.StatusCode, " ", response.Header.Get(dispatcher.HeaderOutcome), " ", response.Header.Get("Kingcupvalve-Reason"))
		newTicket = response.Header.Get(dispatcher.HeaderTicket)
	}
	l.lock.Lock()
	defer l.lock.Unlock()
	l.attempts[id] = a
	return newTicket
}

// sendRequests sends requests until the context ends: short and long ones, and
// requests with tickets that are retried after a cancelled attempt, possibly
// through another agent.
func (l *requestLog) sendRequests(ctx context.Context, caller int, clients []*http3.Transport, random *rand.Rand) {
	for n := 0; ctx.Err() == nil; n++ {
		id := fmt.Sprintf("%d-%d", caller, n)
		client := clients[random.IntN(len(clients))]
		path := fmt.Sprint("/work/", 1+random.IntN(30))
		switch random.IntN(4) {
		case 0:
			l.send(client, id, http.MethodGet, path, "", 0)
		case 1:
			l.send(client, id, http.MethodPut, fmt.Sprint("/work/", 60+random.IntN(200)), "", 0)
		default:
			ticket := l.send(client, id+"-mint", http.MethodPost, path, "", 0)
			if ticket == "" {
				continue
			}
			if random.IntN(2) == 0 {
				l.send(client, id+"-first", http.MethodPost, path, ticket, time.Duration(1+random.IntN(30))*time.Millisecond)
				client = clients[random.IntN(len(clients))]
			}
			l.send(client, id+"-again", http.MethodPost, path, ticket, 0)
		}
	}
}

// runStop runs one plan and ends the first agent with stop.
func runStop(t *testing.T, p stopPlan, stop func(*member) error) (*requestLog, error) {
	const clientCount, callers = 6, 18
	l := &requestLog{runs: make(map[string][]*execution), attempts: make(map[string]attempt)}
	c := newCluster(t, stopMembers, l)
	var clients []*http3.Transport
	for i := range clientCount {
		c.newFlowTarget.Store(uint32(i%stopMembers) + 1)
		client := c.newClient(t)
		l.send(client, fmt.Sprint("open ", i), http.MethodGet, "/work/1", "", 0)
		clients = append(clients, client)
	}
	c.newFlowTarget.Store(1) // new flows still reach the agent that stops
	ctx, cancel := context.WithCancel(context.Background())
	var wait sync.WaitGroup
	for i := range callers {
		wait.Go(func() { l.sendRequests(ctx, i, clients, rand.New(rand.NewPCG(p.seed, uint64(i)))) })
	}
	sleep(ctx, time.Duration(p.before)*time.Millisecond)
	if p.isPublished {
		c.spec.Services[0].Targets[0].State = cataloger.TargetLeaving
		c.publish(t)
		sleep(ctx, time.Duration(p.between)*time.Millisecond)
		if p.isWithdrawn {
			c.spec.Services[0].Targets[0].State = cataloger.TargetServing
			c.publish(t)
			sleep(ctx, time.Duration(p.between)*time.Millisecond)
		}
	}
	err := stop(c.members[0])
	c.newFlowTarget.Store(2)
	sleep(ctx, time.Duration(p.after)*time.Millisecond)
	cancel()
	wait.Wait()
	for _, m := range c.members {
		m.stop()
	}
	if err != nil {
		return l, err
	}
	return l, l.check()
}
