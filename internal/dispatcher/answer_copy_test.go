package dispatcher

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"sync"
	"testing"

	"github.com/matryer/is"
)

// serveCopies serves connections like a backend server that sends a second copy of
// each answer on the same connection, as soon as the next request has arrived.
func serveCopies(l net.Listener) {
	var connections sync.WaitGroup
	defer connections.Wait()
	for {
		c, err := l.Accept()
		if err != nil {
			return
		}
		connections.Go(func() {
			defer c.Close()
			reader, earlier := bufio.NewReader(c), ""
			for {
				r, err := http.ReadRequest(reader)
				if err != nil {
					return
				}
				answer := fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(r.URL.Path), r.URL.Path)
				if _, err := c.Write([]byte(earlier + answer)); err != nil {
					return
				}
				earlier = answer
			}
		})
	}
}

// TestSecondCopyOfAnswer guards against a late second copy of an answer that the
// next caller gets, because the connection to the backend server was used again.
func TestSecondCopyOfAnswer(t *testing.T) {
	const requests = 20
	// countForeign returns how many callers got the answer to another request.
	countForeign := func(t *testing.T, transport http.RoundTripper) int {
		is := is.New(t)
		l, err := net.Listen("tcp", "127.0.0.1:0")
		is.NoErr(err)
		done := make(chan struct{})
		go func() {
			defer close(done)
			serveCopies(l)
		}()
		n := newNodes(t, 1, func(o *Options) { o.BackendURL, o.Transport = "http://"+l.Addr().String(), transport })[0]
		foreign := 0
		for i := range requests {
			path := fmt.Sprintf("/sheet/%d", i)
			r := send(t.Context(), n, http.MethodGet, path, "", "")
			is.Equal(r.status, http.StatusOK)
			if r.body != path {
				foreign++
			}
		}
		n.stop()
		if c, ok := transport.(interface{ CloseIdleConnections() }); ok {
			c.CloseIdleConnections()
		}
		is.NoErr(l.Close())
		<-done
		return foreign
	}
	t.Run("each caller gets its own answer", func(t *testing.T) {
		is := is.New(t)
		is.Equal(countForeign(t, nil), 0)
	})
	t.Run("with pooled connections callers get foreign answers", func(t *testing.T) {
		is := is.New(t)
		is.True(countForeign(t, &http.Transport{}) > 0)
	})
}
