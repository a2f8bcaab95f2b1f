package dispatcher

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

// httpFault describes how one HTTP response of a backend server is damaged.
type httpFault struct {
	// framing is 0 for Content-Length, 1 for chunked encoding and 2 for neither.
	framing int
	// cut is the number of bytes that arrive; a number above the length of the
	// response leaves it whole.
	cut int
	// swapped sends the response to the other request, with its ticket.
	swapped bool
}

// uncut is a value of httpFault.cut that no response reaches.
const uncut = 1 << 10

func genHTTPFaults() *rapid.Generator[[]httpFault] {
	return rapid.SliceOfN(rapid.Custom(func(t *rapid.T) httpFault {
		f := httpFault{framing: rapid.IntRange(0, 2).Draw(t, "framing"), cut: uncut}
		if rapid.IntRange(0, 2).Draw(t, "is cut") > 0 {
			f.cut = rapid.IntRange(0, 260).Draw(t, "cut")
		}
		f.swapped = rapid.IntRange(0, 3).Draw(t, "swapped") == 0
		return f
	}), 2, 2)
}

func (f httpFault) formatResponse(path, ticket string) string {
	b := responseBody(path)
	head := "HTTP/1.1 200 OK\r\nConnection: close\r\n" + HeaderTicket + ": " + ticket + "\r\n"
	var text string
	switch f.framing {
	case 0:
		text = fmt.Sprintf("%sContent-Length: %d\r\n\r\n%s", head, len(b), b)
	case 1:
		text = fmt.Sprintf("%sTransfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n%x\r\n%s\r\n0\r\n\r\n",
			head, 10, b[:10], len(b)-10, b[10:])
	default:
		text = head + "\r\n" + b
	}
	return text[:min(f.cut, len(text))]
}

// fakeBackend waits for two requests and responds to each with its fault.
type fakeBackend struct {
	faults  []httpFault
	lock    sync.Mutex
	paths   []string
	tickets []string
	ready   chan struct{}
}

func (b *fakeBackend) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	_, _ = io.Copy(io.Discard, r.Body)
	b.lock.Lock()
	n := len(b.paths)
	b.paths, b.tickets = append(b.paths, r.URL.Path), append(b.tickets, r.Header.Get(HeaderTicket))
	if len(b.paths) == 2 {
		close(b.ready)
	}
	b.lock.Unlock()
	select {
	case <-b.ready:
	case <-time.After(5 * time.Second):
		return
	}
	from := n
	if b.faults[n].swapped {
		from = 1 - n
	}
	c, _, err := w.(http.Hijacker).Hijack()
	if err != nil {
		return
	}
	_, _ = io.WriteString(c, b.faults[n].formatResponse(b.paths[from], b.tickets[from]))
	_ = c.Close()
}

// sendToBackendNaively accepts a response as complete when the connection ends.
func sendToBackendNaively(n *node, path, ticket string) callerResult {
	c, err := net.Dial("tcp", strings.TrimPrefix(n.options.BackendURL, "http://"))
	if err != nil {
		return callerResult{aborted: true}
	}
	defer c.Close()
	fmt.Fprintf(c, "POST %s HTTP/1.1\r\nHost: %s\r\n%s: %s\r\nContent-Length: 0\r\n\r\n", path, authority, HeaderTicket, ticket)
	response, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		return callerResult{aborted: true}
	}
	b, _ := io.ReadAll(response.Body)
	return callerResult{status: response.StatusCode, body: string(b)}
}

// runBackendCase sends two concurrent requests to an agent with a fake backend
// server. It returns the number of complete responses and the first violation.
func runBackendCase(t *testing.T, request sendFunc, faults []httpFault) (int, error) {
	server := httptest.NewServer(&fakeBackend{faults: faults, ready: make(chan struct{})})
	n := newNodes(t, 1, func(o *Options) { o.BackendURL = server.URL })[0]
	defer func() {
		n.stop()
		n.backend.Close()
		server.Close()
	}()
	is := is.New(t)
	paths := []string{"/sheet/7", "/sheet/12"}
	results := make([]callerResult, len(paths))
	var wait sync.WaitGroup
	for i, path := range paths {
		ticket := obtainTicket(is, n)
		wait.Go(func() { results[i] = request(n, path, ticket) })
	}
	wait.Wait()
	complete := 0
	for i, got := range results {
		if err := checkOwnResponse(paths[i], got); err != nil {
			return complete, err
		}
		if got.status == http.StatusOK && !got.aborted {
			complete++
		}
	}
	return complete, nil
}

// TestBackendAnswers checks guarantee 3 for responses of the backend server: a
// response that is cut at any byte, has neither Content-Length nor chunked
// encoding, or echoes another ticket is never accepted as complete, and an intact
// one always is.
func TestBackendAnswers(t *testing.T) {
	complete, cases := 0, 0
	rapid.Check(t, func(r *rapid.T) {
		faults := genHTTPFaults().Draw(r, "damages")
		n, err := runBackendCase(t, sendThroughAgent, faults)
		if err != nil {
			r.Fatal(err)
		}
		want := 0
		for _, f := range faults {
			if f.framing < 2 && f.cut == uncut && !f.swapped {
				want++
			}
		}
		if n < want {
			r.Fatalf("%d complete responses for %v", n, faults)
		}
		complete, cases = complete+n, cases+1
	})
	t.Logf("%d complete responses to %d requests", complete, 2*cases)
}

// TestBackendAnswerCutAnywhere cuts responses with Content-Length and with chunked
// encoding at each byte.
func TestBackendAnswerCutAnywhere(t *testing.T) {
	is := is.New(t)
	b := newBackend(t)
	n := newNodes(t, 1, func(o *Options) { o.BackendURL = b.URL })[0]
	cuts := 0
	for framing := range 2 {
		for cut := 0; ; cut++ {
			f := httpFault{framing: framing, cut: cut}
			isWhole := false
			b.SetBehaviour(func(w http.ResponseWriter, r *http.Request, _ func()) {
				text := f.formatResponse(r.URL.Path, r.Header.Get(HeaderTicket))
				isWhole = text == httpFault{framing: framing, cut: uncut}.formatResponse(r.URL.Path, r.Header.Get(HeaderTicket))
				c, _, _ := w.(http.Hijacker).Hijack()
				_, _ = io.WriteString(c, text)
				_ = c.Close()
			})
			got := send(context.Background(), n, http.MethodPost, "/sheet", "x", obtainTicket(is, n))
			is.Equal(got.status == http.StatusOK && !got.aborted, isWhole)
			is.NoErr(checkOwnResponse("/sheet", got))
			if isWhole {
				break
			}
			cuts++
		}
	}
	t.Logf("%d cut responses", cuts)
}

// TestNaiveBackendAnswers shows that the property above fails for a client that
// takes the end of the connection for the end of the response.
func TestNaiveBackendAnswers(t *testing.T) {
	is := is.New(t)
	const drawnCases = 30
	violations := 0
	for seed := range drawnCases {
		faults := genHTTPFaults().Example(seed)
		_, err := runBackendCase(t, sendThroughAgent, faults)
		is.NoErr(err)
		if _, err := runBackendCase(t, sendToBackendNaively, faults); err != nil {
			violations++
		}
	}
	t.Logf("violations found in %d of %d cases", violations, drawnCases)
	is.True(violations > 0)
}
