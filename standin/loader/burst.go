package loader

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"net/http"
	"sync"
	"time"

	"kingcupvalve.example/kingcupvalve/caller"
)

// Burst describes a load peak on one service: callers that send requests back
// to back and don't retry refused ones.
type Burst struct {
	// Service is the name of the service, Callers the number of concurrent
	// callers.
	Service string
	Callers int
	// Duration is the length of the peak, Timeout the deadline of each request.
	Duration time.Duration
	Timeout  time.Duration
}

// BurstResult counts the requests of a burst by result.
type BurstResult struct {
	Sent     int `json:"sent"`
	Complete int `json:"whole"`
	NotRun   int `json:"not_run"`
	Unknown  int `json:"unknown"`
	Failed   int `json:"failed"`
}

// RunBurst sends requests for a bundle as described by b, waits for the last
// response and returns the counts.
func (l *Load) RunBurst(ctx context.Context, b Burst) (BurstResult, error) {
	ctx, cancel := context.WithTimeout(ctx, b.Duration)
	defer cancel()
	var result BurstResult
	for _, s := range l.fleet.Services() {
		if s.Name != b.Service {
			continue
		}
		client, err := caller.Dial(ctx, caller.Options{Address: s.Addresses[0], TLS: l.tlsConfig(s.Names[0]), MaxAttempts: 1})
		if err != nil {
			return result, fmt.Errorf("dial service for burst: %w", err)
		}
		defer client.Close()
		r := requestSpec{s, http.MethodGet, "/bundles/1", "long", bundleBytes, b.Timeout}
		var lock sync.Mutex
		var group sync.WaitGroup
		for i := range b.Callers {
			group.Go(func() {
				for n := 0; ctx.Err() == nil; n++ {
					id := fmt.Sprintf("burst-%s-%d-%d", s.Name, i, n)
					answer, err := l.sendRequest(client, r, id)
					if errors.Is(err, caller.ErrNotRun) {
						l.countNotRun(id)
					}
					lock.Lock()
					result.count(err, bytes.Equal(answer, r.expectedBody(id)))
					lock.Unlock()
				}
			})
		}
		group.Wait()
	}
	return result, nil
}

func (r *BurstResult) count(err error, isOwn bool) {
	r.Sent++
	switch {
	case err == nil && isOwn:
		r.Complete++
	case errors.Is(err, caller.ErrNotRun):
		r.NotRun++
	case errors.Is(err, caller.ErrOutcomeUnknown):
		r.Unknown++
	default:
		r.Failed++
	}
}
