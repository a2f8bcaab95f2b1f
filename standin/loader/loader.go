// Package loader generates load on a fleet from callers of all kinds and counts
// their results: feeds, short amendments, sheets, long bundles and an
// unmodified HTTP/3 client.
//
// # Usage
//
//	load := loader.NewLoad(fleet, seed)
//	err := load.Start(ctx)
//	...
//	load.Stop()
//	tally := load.Tally()
package loader

import (
	"bytes"
	"context"
	"crypto/tls"
	"errors"
	"fmt"
	"math/rand/v2"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/quic-go/quic-go/http3"

	"kingcupvalve.example/kingcupvalve/caller"
	"kingcupvalve.example/kingcupvalve/internal/cataloger"
	"kingcupvalve.example/kingcupvalve/standin/backend"
	"kingcupvalve.example/kingcupvalve/standin/launcher"
)

// Numbers of concurrent callers of each kind.
const (
	feedCallers      = 4
	amendmentCallers = 4
	sheetCallers     = 2
	bundleCallers    = 2
)

const (
	requestTimeout = 10 * time.Second
	// feedGapLimit is the longest time without an event in a healthy feed.
	feedGapLimit   = 2 * time.Second
	bundleBytes    = 256 << 10
	sheetBytes     = 4 << 10
	amendmentBytes = 64
)

// Load is a set of running callers and their results.
type Load struct {
	fleet       *launcher.Fleet
	clients     map[string]*caller.Client
	seed        uint64
	cancel      context.CancelFunc
	cancelFeeds context.CancelFunc
	group       sync.WaitGroup

	lock   sync.Mutex
	tally  Tally
	faults []string
	// notRunIDs are the IDs of requests that were refused as not run, so that
	// no backend server may have a record of them.
	notRunIDs []string
}

// NewLoad returns a load for a started fleet. The seed determines the pauses
// between requests.
func NewLoad(f *launcher.Fleet, seed uint64) *Load {
	return &Load{fleet: f, clients: map[string]*caller.Client{}, seed: seed}
}

func (l *Load) tlsConfig(domain string) *tls.Config {
	return &tls.Config{MinVersion: tls.VersionTLS13, RootCAs: l.fleet.RootPool(), ServerName: domain}
}

// Start dials both services and starts the callers.
func (l *Load) Start(ctx context.Context) error {
	ctx, l.cancel = context.WithCancel(ctx)
	feedContext, cancel := context.WithCancel(ctx)
	l.cancelFeeds = cancel
	for _, s := range l.fleet.Services() {
		client, err := caller.Dial(ctx, caller.Options{
			Address: s.Addresses[0], TLS: l.tlsConfig(s.Names[0]), RetryRefused: true,
		})
		if err != nil {
			return fmt.Errorf("dial %s: %w", s.Name, err)
		}
		l.clients[s.Name] = client
	}
	cutlist, drawings := l.fleet.Services()[0], l.fleet.Services()[1]
	for i := range feedCallers {
		l.group.Go(func() { l.runFeed(feedContext, cutlist, i) })
	}
	amendment := requestSpec{cutlist, http.MethodPost, "/amendments", "short", amendmentBytes, requestTimeout}
	sheet := requestSpec{drawings, http.MethodGet, "/sheets/1", "short", sheetBytes, requestTimeout}
	bundle := requestSpec{drawings, http.MethodGet, "/bundles/1", "long", bundleBytes, requestTimeout}
	stream := uint64(0)
	for _, g := range []struct {
		spec    requestSpec
		callers int
	}{{amendment, amendmentCallers}, {sheet, sheetCallers}, {bundle, bundleCallers}} {
		for range g.callers {
			stream++
			number := stream
			l.group.Go(func() { l.runRequests(ctx, g.spec, number) })
		}
	}
	l.group.Go(func() { l.runPlainClient(ctx, cutlist, cutlist.Names[0]) })
	return nil
}

// Stop ends the feeds, waits for every request in flight and closes the
// clients.
func (l *Load) Stop() {
	l.cancelFeeds()
	l.cancel()
	l.group.Wait()
	for _, c := range l.clients {
		_ = c.Close()
	}
}

func (l *Load) updateTally(change func(*Tally)) {
	l.lock.Lock()
	defer l.lock.Unlock()
	change(&l.tally)
}

func (l *Load) countNotRun(id string) {
	l.lock.Lock()
	defer l.lock.Unlock()
	l.tally.NotRun++
	l.notRunIDs = append(l.notRunIDs, id)
}

func (l *Load) recordFault(format string, args ...any) {
	l.lock.Lock()
	defer l.lock.Unlock()
	l.faults = append(l.faults, fmt.Sprintf(format, args...))
}

// runFeed follows one feed and counts it as broken if an event is missing,
// repeated or late, or if the feed fails.
func (l *Load) runFeed(ctx context.Context, service cataloger.ServiceSpec, number int) {
	l.updateTally(func(t *Tally) { t.Feeds++ })
	if err := l.followFeed(ctx, service.Name); err != nil && !errors.Is(err, context.Canceled) {
		l.recordFault("feed %d of %s: %v", number, service.Name, err)
		l.updateTally(func(t *Tally) { t.BrokenFeeds++ })
	}
}

func (l *Load) followFeed(ctx context.Context, service string) error {
	feed, err := l.clients[service].Feed(ctx, "/feed", "")
	if err != nil {
		return err
	}
	defer feed.Close()
	last, lastAt := int64(0), time.Now()
	for {
		event, err := feed.Next(ctx)
		if gap := time.Since(lastAt); last != 0 && gap > feedGapLimit {
			return fmt.Errorf("no event for %v after event %d", gap, last)
		}
		if err != nil {
			return err
		}
		id, err := strconv.ParseInt(event.ID(), 10, 64)
		if err != nil {
			return fmt.Errorf("parse event id: %w", err)
		}
		if last != 0 && id != last+1 {
			return fmt.Errorf("event %d follows event %d", id, last)
		}
		l.updateTally(func(t *Tally) {
			t.Events++
			if last != 0 {
				t.LongestGap = max(t.LongestGap, time.Since(lastAt))
			}
		})
		last, lastAt = id, time.Now()
	}
}

// requestSpec describes one kind of request.
type requestSpec struct {
	service       cataloger.ServiceSpec
	method        string
	path          string
	kind          string
	responseBytes int
	timeout       time.Duration
}

// runRequests sends one request after the other until the load stops. A request
// in flight at that time is completed.
func (l *Load) runRequests(ctx context.Context, r requestSpec, stream uint64) {
	random := rand.New(rand.NewPCG(l.seed, stream))
	for n := 0; ctx.Err() == nil; n++ {
		id := fmt.Sprintf("%s-%d-%d", r.service.Name, stream, n)
		answer, err := l.sendRequest(l.clients[r.service.Name], r, id)
		l.countResult(id, err, answer, r.expectedBody(id))
		pause := time.Duration(random.Int64N(int64(20 * time.Millisecond)))
		if err := launcher.Sleep(ctx, pause); err != nil {
			return
		}
	}
}

// requestBody returns the body of the request with an ID, nil for methods other
// than POST.
func (r requestSpec) requestBody(id string) []byte {
	if r.method != http.MethodPost {
		return nil
	}
	return []byte("plan of " + id)
}

// expectedBody returns the response body that the backend server sends to the
// request with an ID.
func (r requestSpec) expectedBody(id string) []byte {
	return backend.ResponseBody(id, r.requestBody(id), r.responseBytes)
}

// sendRequest sends a request and reads the whole response body.
func (l *Load) sendRequest(client *caller.Client, r requestSpec, id string) ([]byte, error) {
	ctx, cancel := context.WithTimeout(context.Background(), r.timeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, r.method, "https://service"+r.path, bytes.NewReader(r.requestBody(id)))
	if err != nil {
		return nil, fmt.Errorf("create request: %w", err)
	}
	request.Header.Set(caller.HeaderKind, r.kind)
	request.Header.Set(caller.HeaderTimeout, strconv.FormatInt(r.timeout.Milliseconds(), 10))
	request.Header.Set(backend.HeaderIntendedService, r.service.Name)
	request.Header.Set(backend.HeaderRequestID, id)
	l.updateTally(func(t *Tally) { t.Requests++ })
	result, err := client.Do(ctx, request)
	if err != nil {
		return nil, err
	}
	return result.ReadAll()
}

func (l *Load) countResult(id string, err error, answer, want []byte) {
	switch {
	case err == nil && bytes.Equal(answer, want):
		l.updateTally(func(t *Tally) { t.Complete++ })
	case err == nil:
		l.recordFault("request %s: answer of %d bytes is not its own", id, len(answer))
		l.updateTally(func(t *Tally) { t.Mismatched++ })
	case errors.Is(err, caller.ErrNotRun):
		l.countNotRun(id)
	case errors.Is(err, caller.ErrOutcomeUnknown):
		l.recordFault("request %s: %v", id, err)
		l.updateTally(func(t *Tally) { t.Unknown++ })
	case errors.Is(err, caller.ErrTruncated):
		l.recordFault("request %s: %v", id, err)
		l.updateTally(func(t *Tally) { t.Truncated++ })
	default:
		l.recordFault("request %s: %v", id, err)
		l.updateTally(func(t *Tally) { t.Failed++ })
	}
}

// runPlainClient sends requests with an unmodified HTTP/3 client, each on a new
// connection.
func (l *Load) runPlainClient(ctx context.Context, s cataloger.ServiceSpec, domain string) {
	for n := 0; ctx.Err() == nil; n++ {
		transport := &http3.Transport{TLSClientConfig: l.tlsConfig(domain)}
		client := &http.Client{Transport: transport, Timeout: requestTimeout}
		l.updateTally(func(t *Tally) { t.PlainRequests++ })
		if err := l.sendPlain(client, s, fmt.Sprintf("plain-%d", n)); err != nil {
			l.recordFault("plain client: %v", err)
		} else {
			l.updateTally(func(t *Tally) { t.PlainComplete++ })
		}
		_ = transport.Close()
		if err := launcher.Sleep(ctx, 500*time.Millisecond); err != nil {
			return
		}
	}
}

func (l *Load) sendPlain(client *http.Client, s cataloger.ServiceSpec, id string) error {
	request, err := http.NewRequest(http.MethodGet, "https://"+s.Addresses[0]+"/sheets/2", nil)
	if err != nil {
		return fmt.Errorf("create request: %w", err)
	}
	request.Host = s.Names[0]
	request.Header.Set(backend.HeaderIntendedService, s.Name)
	request.Header.Set(backend.HeaderRequestID, id)
	response, err := client.Do(request)
	if err != nil {
		return err
	}
	defer response.Body.Close()
	var answer bytes.Buffer
	if _, err := answer.ReadFrom(response.Body); err != nil {
		return fmt.Errorf("read answer: %w", err)
	}
	if !bytes.Equal(answer.Bytes(), backend.ResponseBody(id, nil, sheetBytes)) {
		return fmt.Errorf("status %d, answer of %d bytes is not its own", response.StatusCode, answer.Len())
	}
	return nil
}
