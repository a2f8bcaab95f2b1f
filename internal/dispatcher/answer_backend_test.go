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

// httpDamage is what happens to one HTTP answer of a backend server.
type httpDamage struct {
	// framing is 0 for a stated length, 1 for chunks and 2 for neither.
	framing int
	// cut is the number of bytes that arrive, or all for a larger number.
	cut int
	// swapped sends the other request's answer, with its ticket.
	swapped bool
}

const wholeHTTPAnswer = 1 << 10

func httpDamages() *rapid.Generator[[]httpDamage] {
	return rapid.SliceOfN(rapid.Custom(func(t *rapid.T) httpDamage {
		d := httpDamage{framing: rapid.IntRange(0, 2).Draw(t, "framing"), cut: wholeHTTPAnswer}
		if rapid.IntRange(0, 2).Draw(t, "is cut") > 0 {
			d.cut = rapid.IntRange(0, 260).Draw(t, "cut")
		}
		d.swapped = rapid.IntRange(0, 3).Draw(t, "swapped") == 0
		return d
	}), 2, 2)
}

func (d httpDamage) answer(path, ticket string) string {
	b := answerBody(path)
	head := "HTTP/1.1 200 OK\r\nConnection: close\r\n" + HeaderTicket + ": " + ticket + "\r\n"
	var text string
	switch d.framing {
	case 0:
		text = fmt.Sprintf("%sContent-Length: %d\r\n\r\n%s", head, len(b), b)
	case 1:
		text = fmt.Sprintf("%sTransfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n%x\r\n%s\r\n0\r\n\r\n",
			head, 10, b[:10], len(b)-10, b[10:])
	default:
		text = head + "\r\n" + b
	}
	return text[:min(d.cut, len(text))]
}

// falseBackend collects two requests and answers both as a script says.
type falseBackend struct {
	damages []httpDamage
	lock    sync.Mutex
	paths   []string
	tickets []string
	ready   chan struct{}
}

func (b *falseBackend) ServeHTTP(w http.ResponseWriter, r *http.Request) {
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
	if b.damages[n].swapped {
		from = 1 - n
	}
	c, _, err := w.(http.Hijacker).Hijack()
	if err != nil {
		return
	}
	_, _ = io.WriteString(c, b.damages[n].answer(b.paths[from], b.tickets[from]))
	_ = c.Close()
}

// askBackendNaively takes an answer for complete when the connection ends.
func askBackendNaively(n *node, path, ticket string) answer {
	c, err := net.Dial("tcp", strings.TrimPrefix(n.options.BackendURL, "http://"))
	if err != nil {
		return answer{aborted: true}
	}
	defer c.Close()
	fmt.Fprintf(c, "POST %s HTTP/1.1\r\nHost: %s\r\n%s: %s\r\nContent-Length: 0\r\n\r\n", path, authority, HeaderTicket, ticket)
	response, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		return answer{aborted: true}
	}
	b, _ := io.ReadAll(response.Body)
	return answer{status: response.StatusCode, body: string(b)}
}

// playBackend sends two requests at once to an agent with a false backend
// server and returns the number of complete answers and the first violation.
func playBackend(t *testing.T, ask asker, d []httpDamage) (int, error) {
	server := httptest.NewServer(&falseBackend{damages: d, ready: make(chan struct{})})
	n := newNodes(t, 1, func(o *Options) { o.BackendURL = server.URL })[0]
	defer func() {
		n.stop()
		n.backend.Close()
		server.Close()
	}()
	is := is.New(t)
	paths := []string{"/sheet/7", "/sheet/12"}
	answers := make([]answer, len(paths))
	var wait sync.WaitGroup
	for i, path := range paths {
		ticket := freshTicket(is, n)
		wait.Go(func() { answers[i] = ask(n, path, ticket) })
	}
	wait.Wait()
	complete := 0
	for i, a := range answers {
		if err := assertOwnAnswer(paths[i], a); err != nil {
			return complete, err
		}
		if a.status == http.StatusOK && !a.aborted {
			complete++
		}
	}
	return complete, nil
}

// TestBackendAnswers guards guarantee 3 at the backend server: an answer that
// is cut at any byte, has no stated end or echoes another ticket is never taken
// for complete, and undamaged ones always are.
func TestBackendAnswers(t *testing.T) {
	complete, cases := 0, 0
	rapid.Check(t, func(r *rapid.T) {
		d := httpDamages().Draw(r, "damages")
		n, err := playBackend(t, askAgent, d)
		if err != nil {
			r.Fatal(err)
		}
		want := 0
		for _, one := range d {
			if one.framing < 2 && one.cut == wholeHTTPAnswer && !one.swapped {
				want++
			}
		}
		if n < want {
			r.Fatalf("%d complete answers for %v", n, d)
		}
		complete, cases = complete+n, cases+1
	})
	t.Logf("%d complete answers to %d requests", complete, 2*cases)
}

// TestBackendAnswerCutAnywhere cuts answers of both framings at each byte.
func TestBackendAnswerCutAnywhere(t *testing.T) {
	is := is.New(t)
	b := newBackend(t)
	n := newNodes(t, 1, func(o *Options) { o.BackendURL = b.URL })[0]
	cuts := 0
	for framing := range 2 {
		for cut := 0; ; cut++ {
			d := httpDamage{framing: framing, cut: cut}
			isWhole := false
			b.SetBehaviour(func(w http.ResponseWriter, r *http.Request, _ func()) {
				text := d.answer(r.URL.Path, r.Header.Get(HeaderTicket))
				isWhole = text == httpDamage{framing: framing, cut: wholeHTTPAnswer}.answer(r.URL.Path, r.Header.Get(HeaderTicket))
				c, _, _ := w.(http.Hijacker).Hijack()
				_, _ = io.WriteString(c, text)
				_ = c.Close()
			})
			a := send(context.Background(), n, http.MethodPost, "/sheet", "x", freshTicket(is, n))
			is.Equal(a.status == http.StatusOK && !a.aborted, isWhole)
			is.NoErr(assertOwnAnswer("/sheet", a))
			if isWhole {
				break
			}
			cuts++
		}
	}
	t.Logf("%d cut answers", cuts)
}

// TestNaiveBackendAnswers shows that the property above catches an agent that
// takes the end of the connection for the end of the answer.
func TestNaiveBackendAnswers(t *testing.T) {
	is := is.New(t)
	const scripts = 30
	caught := 0
	for seed := range scripts {
		d := httpDamages().Example(seed)
		_, err := playBackend(t, askAgent, d)
		is.NoErr(err)
		if _, err := playBackend(t, askBackendNaively, d); err != nil {
			caught++
		}
	}
	t.Logf("caught by %d of %d scripts", caught, scripts)
	is.True(caught > 0)
}
