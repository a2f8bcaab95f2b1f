package caller

import (
	"bufio"
	"bytes"
	"io"
	"strings"

	"github.com/ansel1/merry/v2"
)

// Event is one event of a feed.
type Event struct {
	id   string
	kind string
	data []byte
}

// ID returns the id of the event, after which a feed can be resumed.
func (e Event) ID() string { return e.id }

// Kind returns the value of the event field, empty for the default type.
func (e Event) Kind() string { return e.kind }

// Data returns the data lines joined by newlines.
func (e Event) Data() []byte { return e.data }

// eventReader parses server-sent events (WHATWG HTML, section 9.2). An event
// without its final blank line is incomplete and is discarded.
type eventReader struct {
	source *bufio.Reader
	limit  int
}

func newEventReader(source io.Reader, limit int) *eventReader {
	return &eventReader{source: bufio.NewReader(source), limit: limit}
}

// next returns the next event that has data or an id.
func (r *eventReader) next() (Event, error) {
	var e Event
	hasData, size := false, 0
	for {
		line, err := r.readLine(r.limit - size)
		if err != nil {
			return Event{}, err
		}
		size += len(line)
		if len(line) == 0 {
			if hasData || e.id != "" {
				return e, nil
			}
			e = Event{}
			continue
		}
		name, value, _ := bytes.Cut(line, []byte(":"))
		value = bytes.TrimPrefix(value, []byte(" "))
		switch string(name) {
		case "id":
			if bytes.IndexByte(value, 0) < 0 {
				e.id = string(value)
			}
		case "event":
			e.kind = string(value)
		case "data":
			if hasData {
				e.data = append(e.data, '\n')
			}
			e.data = append(e.data, value...)
			hasData = true
		}
	}
}

// readLine returns the next line without its line ending.
func (r *eventReader) readLine(limit int) ([]byte, error) {
	var line []byte
	for {
		part, err := r.source.ReadSlice('\n')
		line = append(line, part...)
		if len(line) > limit {
			return nil, merry.Errorf("read event: more than %d bytes", r.limit)
		}
		switch err {
		case nil:
			return bytes.TrimSuffix(line[:len(line)-1], []byte("\r")), nil
		case bufio.ErrBufferFull:
		default:
			return nil, err
		}
	}
}

// isEventStream reports whether a content type is text/event-stream.
func isEventStream(contentType string) bool {
	kind, _, _ := strings.Cut(contentType, ";")
	return strings.EqualFold(strings.TrimSpace(kind), "text/event-stream")
}
