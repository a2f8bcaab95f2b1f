package caller

import (
	"context"
	"crypto/tls"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"testing"

	"github.com/matryer/is"
	"github.com/quic-go/quic-go"
	"github.com/quic-go/quic-go/http3"
	"pgregory.net/rapid"
)

// scriptedResponse defines how the test agent responds to a request.
type scriptedResponse struct {
	size int
	// cut is the number of body bytes that are sent.
	cut int
	// hasLength states the size in Content-Length.
	hasLength bool
	// isReset ends a truncated response by a stream reset instead of a FIN. A
	// response without Content-Length that ends by a FIN is complete to HTTP/3,
	// so agents reset it.
	isReset bool
	// flushed is the number of bytes that are flushed before the rest is sent.
	flushed int
}

const answeredRequests = 3

func newResponseGenerator() *rapid.Generator[[]scriptedResponse] {
	return rapid.SliceOfN(rapid.Custom(func(t *rapid.T) scriptedResponse {
		b := scriptedResponse{size: rapid.IntRange(0, 400).Draw(t, "size"), hasLength: rapid.Bool().Draw(t, "stated")}
		b.cut = b.size
		if rapid.Bool().Draw(t, "is cut") {
			b.cut = rapid.IntRange(0, b.size).Draw(t, "cut")
		}
		b.isReset = b.cut < b.size && (!b.hasLength || rapid.Bool().Draw(t, "reset"))
		b.flushed = rapid.IntRange(0, b.cut).Draw(t, "flushed")
		return b
	}), answeredRequests, answeredRequests)
}

func completeBody(path string, size int) string {
	return strings.Repeat(path+" ", size/len(path)+1)[:size]
}

// responseScript is a handler that answers concurrent requests in a given
// order, each with its scripted response.
type responseScript struct {
	responses []scriptedResponse
	order     []int
	lock      sync.Mutex
	turns     [answeredRequests]chan struct{}
	ended     [answeredRequests]bool
}

func newResponseScript(b []scriptedResponse, order []int) *responseScript {
	k := &responseScript{responses: b, order: order}
	for i := range k.turns {
		k.turns[i] = make(chan struct{})
	}
	close(k.turns[order[0]])
	return k
}

// finish lets the next request in the order go on.
func (k *responseScript) finish(n int) {
	k.lock.Lock()
	defer k.lock.Unlock()
	if k.ended[n] {
		return // a retry
	}
	k.ended[n] = true
	for i, m := range k.order[:answeredRequests-1] {
		if m == n {
			close(k.turns[k.order[i+1]])
		}
	}
}

func (k *responseScript) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	n, err := strconv.Atoi(strings.TrimPrefix(r.URL.Path, "/"))
	if err != nil {
		return
	}
	select {
	case <-k.turns[n]:
	case <-r.Context().Done():
		return
	}
	defer k.finish(n)
	b := k.responses[n]
	body := completeBody(r.URL.Path, b.size)
	w.Header().Set(HeaderOutcome, outcomeDone)
	if b.hasLength {
		w.Header().Set("Content-Length", strconv.Itoa(b.size))
	}
	_, _ = io.WriteString(w, body[:b.flushed])
	_ = http.NewResponseController(w).Flush()
	_, _ = io.WriteString(w, body[b.flushed:b.cut])
	if b.isReset {
		_ = http.NewResponseController(w).Flush()
		panic(http.ErrAbortHandler)
	}
}

// fetch returns the body of a response and whether it regards it as complete.
type fetch func(r *http.Request) (body string, isComplete bool)

// checkResponses sends all requests concurrently and returns the number of
// complete responses. It fails if a body regarded as complete is not the whole
// response to that request, or if a response that was not truncated is not
// regarded as complete.
func checkResponses(t *testing.T, a *swappableAgent, b []scriptedResponse, order []int, get fetch) (int, error) {
	script := newResponseScript(b, order)
	a.set(script)
	errs := make([]error, len(b))
	complete := 0
	var lock sync.Mutex
	var wait sync.WaitGroup
	for n, s := range b {
		r := newRequest(t, http.MethodGet, fmt.Sprint("/", n), "")
		wait.Go(func() {
			body, isComplete := get(r)
			script.finish(n)
			lock.Lock()
			defer lock.Unlock()
			switch {
			case isComplete && body != completeBody(r.URL.Path, s.size):
				errs[n] = fmt.Errorf("request %d took %q for its response of %d bytes: %+v", n, body, s.size, s)
			case isComplete:
				complete++
			case s.cut == s.size && !s.isReset:
				errs[n] = fmt.Errorf("request %d lost its response: %+v", n, s)
			}
		})
	}
	wait.Wait()
	for _, err := range errs {
		if err != nil {
			return complete, err
		}
	}
	return complete, nil
}

// swappableAgent is an agent whose handler is replaced for each test case.
type swappableAgent struct {
	lock    sync.Mutex
	handler http.Handler
}

func (a *swappableAgent) set(h http.Handler) {
	a.lock.Lock()
	defer a.lock.Unlock()
	a.handler = h
}

func (a *swappableAgent) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	a.lock.Lock()
	h := a.handler
	a.lock.Unlock()
	h.ServeHTTP(w, r)
}

func newSwappableAgent(t *testing.T) (*swappableAgent, Options) {
	b := &swappableAgent{}
	a, options := newAgent(t)
	a.Handle("/", b.ServeHTTP)
	options.MaxAttempts, options.BufferBytes = 1, 100
	return b, options
}

func fetchWith(t *testing.T, c *Client) fetch {
	return func(r *http.Request) (string, bool) {
		result, err := do(t, c, r)
		if err != nil {
			return "", false
		}
		b, err := result.ReadAll()
		return string(b), err == nil
	}
}

// fetchNaively regards a response as complete when its stream ends.
func fetchNaively(t *testing.T, options Options) fetch {
	var dialed sync.Map
	transport := &http3.Transport{
		TLSClientConfig: options.TLS,
		Dial: func(ctx context.Context, _ string, config *tls.Config, q *quic.Config) (*quic.Conn, error) {
			c, err := quic.DialAddr(ctx, options.Address, config, q)
			if err == nil {
				dialed.Store(c, true)
			}
			return c, err
		},
	}
	t.Cleanup(func() {
		_ = transport.Close()
		// The transport does not close connections that the Dial function opened.
		dialed.Range(func(c, _ any) bool {
			_ = c.(*quic.Conn).CloseWithError(0, "")
			return true
		})
	})
	return func(r *http.Request) (string, bool) {
		r.URL.Host = "example.com"
		response, err := transport.RoundTrip(r)
		if err != nil {
			return "", false
		}
		defer response.Body.Close()
		b, _ := io.ReadAll(response.Body)
		return string(b), true
	}
}

var answerOrders = [][]int{{0, 1, 2}, {0, 2, 1}, {1, 0, 2}, {1, 2, 0}, {2, 0, 1}, {2, 1, 0}}

// TestAnswerProperties guards guarantee 3 at the caller: a response that is
// truncated at any byte, late or out of order is never taken for a complete one
// or for that of another request, and a complete response always arrives.
func TestAnswerProperties(t *testing.T) {
	a, options := newSwappableAgent(t)
	get := fetchWith(t, dial(t, options))
	complete, cases := 0, 0
	rapid.Check(t, func(r *rapid.T) {
		b, order := newResponseGenerator().Draw(r, "breakages"), rapid.SampledFrom(answerOrders).Draw(r, "order")
		n, err := checkResponses(t, a, b, order, get)
		if err != nil {
			r.Fatal(err)
		}
		complete, cases = complete+n, cases+1
	})
	t.Logf("%d complete responses to %d requests", complete, answeredRequests*cases)
}

// TestNaiveAnswers checks that TestAnswerProperties fails for a caller that
// takes the end of the stream for the end of the response.
func TestNaiveAnswers(t *testing.T) {
	is := is.New(t)
	a, options := newSwappableAgent(t)
	get, naive := fetchWith(t, dial(t, options)), fetchNaively(t, options)
	const scripts = 40
	caught := 0
	for seed := range scripts {
		b, order := newResponseGenerator().Example(seed), answerOrders[seed%len(answerOrders)]
		_, err := checkResponses(t, a, b, order, get)
		is.NoErr(err)
		if _, err := checkResponses(t, a, b, order, naive); err != nil {
			caught++
		}
	}
	t.Logf("detected by %d of %d scripts", caught, scripts)
	is.True(caught > 0)
}
