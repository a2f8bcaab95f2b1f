package caller

import (
	"context"
	"io"
	"net/http"
	"time"

	"github.com/ansel1/merry/v2"
)

// feedStream is the response of one connection to a feed request.
type feedStream struct {
	conn   *connection
	cancel context.CancelFunc
	body   io.ReadCloser
	events chan Event
	// ended is closed when the response has ended. hasDelivered, which is set
	// with the first event, may be read only after that.
	ended        chan struct{}
	hasDelivered bool
}

// open sends the feed request on the current connection. It fails if that is
// the connection of the stream to be replaced.
func (f *Feed) open(replaced *feedStream) (*feedStream, error) {
	// DialTimeout applies until the response header arrives, not to the feed.
	ctx, cancel := context.WithCancel(f.ctx)
	timer := time.AfterFunc(f.client.options.DialTimeout, cancel)
	s, err := f.request(ctx, cancel, replaced)
	if err == nil && !timer.Stop() {
		s.close()
		err = merry.New("open feed: timed out waiting for response header")
	}
	if err != nil {
		timer.Stop()
		cancel()
		return nil, err
	}
	return s, nil
}

func (f *Feed) request(ctx context.Context, cancel context.CancelFunc, replaced *feedStream) (*feedStream, error) {
	conn, err := f.client.acquire(ctx)
	if err != nil {
		return nil, err
	}
	if replaced != nil && conn == replaced.conn {
		conn.release()
		return nil, merry.New("open feed: no new connection to move to")
	}
	r := &request{method: http.MethodGet, url: f.client.url(f.path), header: http.Header{}}
	r.header.Set("Accept", "text/event-stream")
	r.header.Set(HeaderKind, "feed")
	if f.last != "" {
		r.header.Set("Last-Event-ID", f.last)
	}
	response, _, err := conn.roundTrip(ctx, r, nil)
	if err != nil {
		conn.release()
		return nil, merry.Prepend(err, "open feed")
	}
	if err := checkFeedResponse(response); err != nil {
		_ = response.Body.Close()
		conn.release()
		return nil, err
	}
	f.resumed = f.last != ""
	s := &feedStream{
		conn: conn, cancel: cancel, body: response.Body,
		events: make(chan Event), ended: make(chan struct{}),
	}
	f.client.workers.Go(func() { s.read(ctx, f.client.options.MaxEventBytes) })
	return s, nil
}

func checkFeedResponse(response *http.Response) error {
	status := response.StatusCode
	result := Result{header: response.Header}
	switch {
	case status == http.StatusOK && isEventStream(response.Header.Get("Content-Type")):
		return nil
	case status == http.StatusNoContent:
		return io.EOF
	case status == http.StatusTooManyRequests, status == http.StatusRequestTimeout, status >= http.StatusInternalServerError:
		return merry.Wrap(&temporaryError{status: status, retryAfter: result.RetryAfter()})
	}
	return merry.Prependf(ErrFeedRefused, "open feed: status %d", status)
}

// read passes events to the feed until the response ends.
func (s *feedStream) read(ctx context.Context, limit int) {
	defer close(s.ended)
	events := newEventReader(s.body, limit)
	for {
		e, err := events.next()
		if err != nil {
			return
		}
		select {
		case s.events <- e:
			s.hasDelivered = true
		case <-ctx.Done():
			return
		}
	}
}

// close ends the request, waits for its reader and releases the connection.
func (s *feedStream) close() {
	s.cancel()
	_ = s.body.Close()
	<-s.ended
	s.conn.release()
}
