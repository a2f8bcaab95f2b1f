package caller

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"
)

// sequence is a feed of numbered events. It sends events up to a limit and
// blocks until allow raises the limit.
type sequence struct {
	mutex   sync.Mutex
	changed *sync.Cond
	limit   int
	opened  int
}

func newSequence() *sequence {
	s := &sequence{}
	s.changed = sync.NewCond(&s.mutex)
	return s
}

func (s *sequence) allow(limit int) {
	s.mutex.Lock()
	s.limit = limit
	s.mutex.Unlock()
	s.changed.Broadcast()
}

// await blocks until event n may be sent. It returns false if the request has
// ended.
func (s *sequence) await(ctx context.Context, n int) bool {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	for n > s.limit && ctx.Err() == nil {
		s.changed.Wait()
	}
	return ctx.Err() == nil
}

func (s *sequence) serve(w http.ResponseWriter, r *http.Request) {
	stop := context.AfterFunc(r.Context(), s.changed.Broadcast)
	defer stop()
	s.mutex.Lock()
	s.opened++
	s.mutex.Unlock()
	last, _ := strconv.Atoi(r.Header.Get("Last-Event-ID"))
	w.Header().Set("Content-Type", "text/event-stream")
	w.(http.Flusher).Flush()
	for n := last + 1; s.await(r.Context(), n); n++ {
		if _, err := fmt.Fprintf(w, "id: %d\ndata: cut %d\n\n", n, n); err != nil {
			return
		}
		w.(http.Flusher).Flush()
	}
}

func assertEvents(t *testing.T, f *Feed, from, to int) {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	defer cancel()
	for n := from; n <= to; n++ {
		e, err := f.Next(ctx)
		if err != nil {
			t.Fatal(err)
		}
		if e.ID() != strconv.Itoa(n) || string(e.Data()) != fmt.Sprintf("cut %d", n) {
			t.Fatalf("event %q %q, want number %d", e.ID(), e.Data(), n)
		}
	}
}

func openFeed(t *testing.T, c *Client, path string) *Feed {
	t.Helper()
	f, err := c.Feed(context.Background(), path, "")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = f.Close() })
	return f
}

func awaitConnections(t *testing.T, a *agent, want int) {
	t.Helper()
	for deadline := time.Now().Add(testTimeout); a.Connections() < want; time.Sleep(time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatalf("%d connections, want %d", a.Connections(), want)
		}
	}
}

func TestFeed(t *testing.T) {
	t.Run("a drain notice moves the feed without loss or duplication", func(t *testing.T) {
		is := is.New(t)
		a, options := newAgent(t)
		s, notice := newSequence(), make(chan struct{})
		a.Handle("/sequence", s.serve)
		a.Handle(DrainPath, func(_ http.ResponseWriter, r *http.Request) {
			select {
			case <-notice:
			case <-r.Context().Done():
			}
		})
		f := openFeed(t, dial(t, options), "/sequence")
		s.allow(100)
		assertEvents(t, f, 1, 50)
		first, _ := a.FirstConnection()
		close(notice)
		awaitConnections(t, a, 2)
		s.allow(200)
		assertEvents(t, f, 51, 200)
		// The drain notice stays in force, so further connections may be opened.
		is.True(a.Connections() >= 2)
		<-first.Context().Done()
	})
	t.Run("GOAWAY moves the feed before the old stream ends", func(t *testing.T) {
		is := is.New(t)
		a, options := newAgent(t)
		s := newSequence()
		a.Handle("/sequence", s.serve)
		f := openFeed(t, dial(t, options), "/sequence")
		s.allow(10)
		assertEvents(t, f, 1, 10)
		first, server := a.FirstConnection()
		ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
		defer cancel()
		go func() { _ = server.Shutdown(ctx) }()
		// The client closes the old connection when the feed has moved.
		<-first.Context().Done()
		is.NoErr(ctx.Err())
		s.allow(20)
		assertEvents(t, f, 11, 20)
	})
	t.Run("a stateless reset after an agent was killed moves the feed to another agent", func(t *testing.T) {
		a, options := newAgent(t)
		s := newSequence()
		a.Handle("/sequence", s.serve)
		// Only a stateless reset can end the connection within the test.
		options.IdleTimeout = 10 * testTimeout
		f := openFeed(t, dial(t, options), "/sequence")
		s.allow(10)
		assertEvents(t, f, 1, 10)
		a.Kill()
		a.start()
		s.allow(30)
		assertEvents(t, f, 11, 30)
	})
	t.Run("a connection lost without a reset is replaced after the idle timeout", func(t *testing.T) {
		a, options := newAgent(t)
		s := newSequence()
		a.Handle("/sequence", s.serve)
		f := openFeed(t, dial(t, options), "/sequence")
		s.allow(10)
		assertEvents(t, f, 1, 10)
		a.Kill()
		a.ChangeResetKey() // the next agent cannot reset this one's connections
		start := time.Now()
		a.start()
		s.allow(30)
		assertEvents(t, f, 11, 30)
		t.Logf("resumed after %v", time.Since(start).Round(time.Millisecond))
	})
	t.Run("a refused feed returns ErrFeedRefused, a finished one io.EOF", func(t *testing.T) {
		is := is.New(t)
		a, options := newAgent(t)
		a.Handle("/over", func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusNoContent) })
		c := dial(t, options)
		_, err := c.Feed(context.Background(), "/none", "")
		is.True(errors.Is(err, ErrFeedRefused))
		_, err = c.Feed(context.Background(), "/over", "")
		is.True(errors.Is(err, io.EOF))
	})
}

func TestEventReader(t *testing.T) {
	t.Run("an incomplete event is not delivered", func(t *testing.T) {
		is := is.New(t)
		r := newEventReader(bytes.NewBufferString(": hello\n\nid: 1\r\nevent: cut\ndata: a\ndata:b\n\nid: 2\ndata: c\n"), 100)
		e, err := r.next()
		is.NoErr(err)
		is.Equal(e, Event{id: "1", kind: "cut", data: []byte("a\nb")})
		_, err = r.next()
		is.Equal(err, io.EOF)
	})
}

func FuzzEventReader(f *testing.F) {
	f.Fuzz(func(t *testing.T, b []byte) {
		r := newEventReader(bytes.NewReader(b), 64)
		for {
			e, err := r.next()
			if err != nil {
				return
			}
			if len(e.id)+len(e.data)+len(e.kind) > 64 {
				t.Fatalf("event of %d bytes", len(e.data))
			}
		}
	})
}
