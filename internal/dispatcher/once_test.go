package dispatcher

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"
)

// newFaultyHandler returns the handler of a backend server that, at random from a
// fixed seed, executes a request and responds, refuses it, responds late, closes
// the connection before or after executing it, or truncates the response.
func newFaultyHandler(seed uint64) func(w http.ResponseWriter, r *http.Request, run func()) {
	var lock sync.Mutex
	random := rand.New(rand.NewPCG(seed, 1))
	return func(w http.ResponseWriter, r *http.Request, run func()) {
		lock.Lock()
		behavior, delay := random.IntN(10), time.Duration(random.IntN(20))*time.Millisecond
		lock.Unlock()
		switch behavior {
		case 0, 1:
			refuseRequest(w, r, run)
		case 2:
			panic(http.ErrAbortHandler)
		case 3:
			run()
			panic(http.ErrAbortHandler)
		case 4:
			run()
			w.Header().Set("Content-Length", "100")
			_, _ = io.WriteString(w, "short")
		case 5:
			<-time.After(delay)
			run()
			_, _ = io.WriteString(w, r.Header.Get(HeaderTicket))
		default:
			run()
			_, _ = io.WriteString(w, r.Header.Get(HeaderTicket))
		}
	}
}

// TestAtMostOnce guards, over real connections, against a second execution, an
// execution after a "not run" outcome, and the response of another request. Backend
// servers fail in every way, callers cancel and repeat requests at any agent, and
// one agent stops during the test.
func TestAtMostOnce(t *testing.T) {
	const callers, requests = 16, 12
	for seed := range uint64(3) {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			is := is.New(t)
			nodes := newNodes(t, 3, nil)
			for i, n := range nodes {
				n.backend.SetBehaviour(newFaultyHandler(10*seed + uint64(i)))
			}
			var lock sync.Mutex
			outcomes := make(map[string]map[string]bool)
			var wait sync.WaitGroup
			for c := range callers {
				wait.Go(func() {
					random := rand.New(rand.NewPCG(seed, uint64(100+c)))
					for range requests {
						sendRepeatedly(t, nodes, random, func(ticket, outcome string) {
							lock.Lock()
							defer lock.Unlock()
							if outcomes[ticket] == nil {
								outcomes[ticket] = make(map[string]bool)
							}
							outcomes[ticket][outcome] = true
						})
					}
				})
			}
			wait.Go(func() {
				<-time.After(100 * time.Millisecond)
				nodes[2].stop()
			})
			wait.Wait()
			for _, n := range nodes {
				n.stop()
				n.backend.Close()
			}
			seen := map[string]int{}
			for ticket, ticketOutcomes := range outcomes {
				runs := 0
				for _, n := range nodes {
					runs += n.backend.Runs(ticket)
				}
				is.True(runs <= 1)
				is.True(!ticketOutcomes["not_run"] || runs == 0)
				is.True(!ticketOutcomes["done"] || runs == 1)
				for outcome := range ticketOutcomes {
					seen[outcome]++
				}
			}
			t.Logf("tickets %d, outcomes %v", len(outcomes), seen)
			is.True(seen["not_run"] > 0 && seen["done"] > 0 && seen["unknown"] > 0)
		})
	}
}

// TestCancelRace guards against an execution after a "not run" outcome when a
// caller cancels at the moment at which its request gets a slot.
func TestCancelRace(t *testing.T) {
	is := is.New(t)
	n := newNodes(t, 1, nil)[0]
	n.backend.SetBehaviour(func(w http.ResponseWriter, _ *http.Request, run func()) {
		run()
		_, _ = io.WriteString(w, "x")
	})
	const callers, requests = 12, 480
	results := make([]callerResult, requests)
	var wait sync.WaitGroup
	for c := range callers {
		wait.Go(func() {
			for i := c; i < requests; i += callers {
				ctx, cancel := context.WithCancel(context.Background())
				timer := time.AfterFunc(time.Duration(i%61)*200*time.Microsecond, cancel)
				results[i] = send(ctx, n, http.MethodPut, fmt.Sprint("/", i), "x", "")
				timer.Stop()
				cancel()
			}
		})
	}
	wait.Wait()
	n.stop()
	n.backend.Close()
	refused, cancelled := 0, 0
	for i, got := range results {
		if got.outcome() != "not_run" || got.aborted {
			continue
		}
		refused++
		if got.header.Get("Kingcupvalve-Reason") == reasonCancelled {
			cancelled++
		}
		is.Equal(n.backend.Runs(fmt.Sprint("/", i)), 0)
	}
	t.Logf("%d of %d not run, %d of them cancelled", refused, requests, cancelled)
	is.True(cancelled > 0 && refused < requests)
	is.Equal(n.Digest().GetShortRunning()+n.Digest().GetShortQueued(), uint32(0)) // no slot leaks
}

// sendRepeatedly sends one request up to four times, to any agent, sometimes with
// a cancellation or a short timeout.
func sendRepeatedly(t *testing.T, nodes []*node, random *rand.Rand, report func(ticket, outcome string)) {
	first := send(context.Background(), nodes[random.IntN(2)], http.MethodPost, "/amend", "cut 7", "")
	ticket := first.header.Get(HeaderTicket)
	for range 1 + random.IntN(4) {
		ctx, cancel := context.WithCancel(context.Background())
		if random.IntN(3) == 0 {
			time.AfterFunc(time.Duration(random.IntN(15))*time.Millisecond, cancel)
		}
		timeout := "2000"
		if random.IntN(4) == 0 {
			timeout = fmt.Sprint(110 + random.IntN(20))
		}
		got := send(ctx, nodes[random.IntN(len(nodes))], http.MethodPost, "/amend", "cut 7", ticket, HeaderTimeout, timeout)
		cancel()
		outcome := got.outcome()
		if got.aborted {
			outcome = "unknown"
		}
		report(ticket, outcome)
		if outcome == "done" && got.status == http.StatusOK && got.body != ticket {
			t.Errorf("response %q for ticket %s", got.body, ticket)
		}
	}
}
