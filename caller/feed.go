package caller

import (
	"context"
	"errors"
	"io"
	"net/http"
	"time"

	"github.com/ansel1/merry/v2"
)

// Feed is a stream of events that moves to another connection when its own is
// lost or retired. Each event is delivered once and in order, provided that the
// service resumes after the id in the Last-Event-ID header.
type Feed struct {
	client *Client
	path   string
	ctx    context.Context
	cancel context.CancelFunc
	events chan Event
	done   chan struct{}
	err    error

	// Only the goroutine of run uses the fields below. last is the id of the
	// last event received, pending an event not yet taken by Next. resumed is
	// set until the first event after a request with Last-Event-ID.
	last    string
	pending *Event
	resumed bool
}

// Feed opens a feed. From is the id of the last event that the user has; if it
// is empty, the service chooses the first event. The feed ends with the
// context, with Close, or when the service refuses or ends it.
func (c *Client) Feed(ctx context.Context, path, from string) (*Feed, error) {
	f := &Feed{
		client: c, path: path, last: from, resumed: from != "",
		events: make(chan Event), done: make(chan struct{}),
	}
	f.ctx, f.cancel = context.WithCancel(ctx)
	stop := context.AfterFunc(c.ctx, f.cancel)
	s, err := f.connect(nil)
	if err != nil {
		stop()
		f.cancel()
		return nil, err
	}
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if c.closed {
		stop()
		s.close()
		return nil, merry.Wrap(ErrClosed)
	}
	c.workers.Go(func() {
		defer stop()
		f.run(s)
	})
	return f, nil
}

// Next returns the next event. It returns io.EOF when the service has ended
// the feed, and ErrFeedRefused when the service refuses to resume it.
func (f *Feed) Next(ctx context.Context) (Event, error) {
	select {
	case e := <-f.events:
		return e, nil
	case <-f.done:
		return Event{}, f.err
	case <-ctx.Done():
		return Event{}, merry.Prepend(context.Cause(ctx), "wait for event")
	}
}

// Close ends the feed.
func (f *Feed) Close() error {
	f.cancel()
	<-f.done
	return nil
}

// run delivers events and moves the feed to another connection when the current
// one is lost or retired.
func (f *Feed) run(s *feedStream) {
	defer close(f.done)
	defer f.cancel()
	retiring := s.conn.retiring
	var retry <-chan time.Time
	for failures := 0; ; {
		in, out, next := s.events, f.events, Event{}
		if f.pending == nil {
			out = nil
		} else {
			in, next = nil, *f.pending
		}
		select {
		case <-f.ctx.Done():
			s.close()
			f.err = merry.Prepend(context.Cause(f.ctx), "read feed")
			return
		case out <- next:
			f.pending = nil
			continue
		case e := <-in:
			f.accept(e)
			failures = 0
			continue
		case <-s.ended:
			s.close()
			n, err := f.connect(s)
			if err != nil {
				f.err = err
				return
			}
			s = n
		case <-retiring:
			retry, retiring = time.After(0), nil
			continue
		case <-retry:
			// No event is accepted from the old stream once the new one is
			// requested, so the new one starts exactly after the last event.
			n, err := f.open(s)
			if err != nil {
				retry = time.After(backoff(failures))
				failures++
				continue
			}
			s.close()
			s = n
		}
		retiring, retry = s.conn.retiring, nil
	}
}

// accept stores an event for delivery. It discards the first event of a resumed
// stream if that repeats the last one, as services do that resume at the
// Last-Event-ID instead of after it.
func (f *Feed) accept(e Event) {
	if f.resumed && e.id != "" && e.id == f.last {
		f.resumed = false
		return
	}
	f.resumed = false
	if e.id != "" {
		f.last = e.id
	}
	f.pending = &e
}

// connect opens a stream, retrying with backoff until it succeeds or the feed
// ends.
func (f *Feed) connect(previous *feedStream) (*feedStream, error) {
	// A stream that ended without an event counts as a failure, so that a
	// service that ends streams immediately is not polled in a tight loop.
	failures := 0
	if previous != nil && !previous.hasDelivered {
		failures = 1
	}
	for ; ; failures++ {
		if failures > 0 {
			if err := sleep(f.ctx, backoff(failures)); err != nil {
				return nil, merry.Prepend(err, "open feed")
			}
		}
		s, err := f.open(nil)
		if err == nil {
			return s, nil
		}
		if errors.Is(err, ErrFeedRefused) || errors.Is(err, ErrClosed) || errors.Is(err, io.EOF) || f.ctx.Err() != nil {
			return nil, err
		}
		f.client.options.Logger.Debug().Err(err).Str("path", f.path).Msg("opening feed failed, retrying")
		var temporary *temporaryError
		if errors.As(err, &temporary) {
			if err := sleep(f.ctx, temporary.retryAfter); err != nil {
				return nil, merry.Prepend(err, "open feed")
			}
		}
	}
}

// temporaryError reports a status after which opening the feed may be retried.
type temporaryError struct {
	status     int
	retryAfter time.Duration
}

// Error implements error.
func (e *temporaryError) Error() string { return "open feed: " + http.StatusText(e.status) }
