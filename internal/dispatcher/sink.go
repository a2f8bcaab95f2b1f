package dispatcher

import (
	"net/http"
	"strconv"

	"kingcupvalve.example/kingcupvalve/journaler"
)

// sink receives one response and sends it to a caller or to another agent.
type sink struct {
	// sendHeader is called once, before the body.
	sendHeader func(status int, header http.Header) error
	// sendChunk sends a part of the body.
	sendChunk func([]byte) error
	// flush sends buffered data; it may be nil.
	flush     func() error
	started   bool
	bodyBytes uint64
}

func (s *sink) writeHeader(status int, header http.Header) error {
	s.started = true
	return s.sendHeader(status, header)
}

func (s *sink) write(b []byte) error {
	s.bodyBytes += uint64(len(b))
	return s.sendChunk(b)
}

func (s *sink) flushNow() error {
	if s.flush == nil {
		return nil
	}
	return s.flush()
}

// newCallerSink returns a sink that writes the response to a caller.
func newCallerSink(w http.ResponseWriter) *sink {
	control := http.NewResponseController(w)
	return &sink{
		sendHeader: func(status int, header http.Header) error {
			h := w.Header()
			for name, values := range header {
				h[name] = values
			}
			h.Set(HeaderOutcome, journaler.Done.String())
			w.WriteHeader(status)
			return nil
		},
		sendChunk: func(b []byte) error {
			_, err := w.Write(b)
			return err
		},
		flush: control.Flush,
	}
}

// recording is a copy of a response whose body is within a size limit.
type recording struct {
	status   int
	header   http.Header
	body     []byte
	overflow bool
}

// newRecordingSink returns a sink that copies a response to another sink and
// records it, with up to limit bytes of body. An error of that sink does not stop
// the execution, because the recorded response is needed when the caller repeats
// the request.
func newRecordingSink(to *sink, limit int) (*sink, *recording) {
	r := &recording{}
	failed := false
	deliver := func(f func() error) {
		if !failed {
			failed = f() != nil
		}
	}
	return &sink{
		sendHeader: func(status int, header http.Header) error {
			r.status, r.header = status, header.Clone()
			deliver(func() error { return to.writeHeader(status, header) })
			return nil
		},
		sendChunk: func(b []byte) error {
			if r.overflow = r.overflow || len(r.body)+len(b) > limit; !r.overflow {
				r.body = append(r.body, b...)
			}
			deliver(func() error { return to.write(b) })
			return nil
		},
		flush: func() error {
			deliver(to.flushNow)
			return nil
		},
	}, r
}

// response returns the recorded response for the journal, or nil if it exceeds
// the limit or there was none.
func (r *recording) response() *journaler.Response {
	if r.overflow || r.status == 0 {
		return nil
	}
	return journaler.NewResponse(r.status, r.header, r.body)
}

// replay writes a stored response to a sink.
func replay(r *journaler.Response, to *sink) error {
	header := http.Header(r.Header()).Clone()
	if header.Get("Content-Length") == "" && r.Status() != http.StatusNoContent && r.Status() != http.StatusNotModified {
		header.Set("Content-Length", strconv.Itoa(len(r.Body())))
	}
	if err := to.writeHeader(r.Status(), header); err != nil {
		return err
	}
	if len(r.Body()) == 0 {
		return nil
	}
	return to.write(r.Body())
}
