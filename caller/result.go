package caller

import (
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/ansel1/merry/v2"
)

// Result is the response to a request, if one arrived; otherwise the status is
// 0 and the body is empty.
type Result struct {
	status int
	header http.Header
	body   io.ReadCloser
	ticket string
}

// Status returns the status code, or 0 when there was no response.
func (r *Result) Status() int { return r.status }

// Header returns the header of the response.
func (r *Result) Header() http.Header { return r.header }

// Body returns the body of the response, which must be closed. Reading fails
// with ErrTruncated when the response ends early.
func (r *Result) Body() io.ReadCloser { return r.body }

// ReadAll reads and closes the body.
func (r *Result) ReadAll() ([]byte, error) {
	b, err := io.ReadAll(r.body)
	_ = r.body.Close()
	return b, err
}

// Ticket returns the ticket of a request with the method POST or PATCH. A
// request whose outcome is unknown can be sent again safely with this ticket as
// HeaderTicket.
func (r *Result) Ticket() string { return r.ticket }

// RetryAfter returns the time after which a refused request may be retried, or
// 0 when the response has no Retry-After header in seconds (RFC 9110, section
// 10.2.3).
func (r *Result) RetryAfter() time.Duration {
	seconds, err := strconv.ParseInt(r.header.Get("Retry-After"), 10, 32)
	if err != nil || seconds < 0 {
		return 0
	}
	return time.Duration(seconds) * time.Second
}

func newResult(ticket string) *Result {
	return &Result{header: http.Header{}, body: http.NoBody, ticket: ticket}
}

// responseBody reads a response body. It turns read errors into ErrTruncated
// and calls finish once, at the end of the body or when it is closed.
type responseBody struct {
	source io.ReadCloser
	finish func()
	err    error
}

// Read implements io.Reader.
func (b *responseBody) Read(p []byte) (int, error) {
	if b.err != nil {
		return 0, b.err
	}
	n, err := b.source.Read(p)
	if err != nil {
		b.err = err
		if err != io.EOF {
			b.err = merry.Prepend(merry.Wrap(ErrTruncated, merry.WithCause(err)), "read response")
		}
		b.end()
	}
	return n, b.err
}

// Close implements io.Closer.
func (b *responseBody) Close() error {
	if b.err == nil {
		b.err = merry.New("read response: body closed")
	}
	b.end()
	return nil
}

func (b *responseBody) end() {
	if b.finish != nil {
		_ = b.source.Close()
		b.finish()
		b.finish = nil
	}
}

// prefixedBody is a body whose first bytes have been buffered already.
type prefixedBody struct {
	io.Reader
	io.Closer
}
