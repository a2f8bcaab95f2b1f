// Package explainer finds the story of one packet flow in the logs of several
// processes: which balancer and which agents decided what, on which table, and
// how it ended.
//
// A flow is named by the caller's address and port, as packet captures and the
// caller's own logs show it. With the time of a failed request, lines near it
// are searched for the cause too: a flow may be much older than its request, and
// one that reached no process has no lines of its own. Lines that are cut or no
// JSON are counted and left out.
//
// # Usage
//
//	story, err := explainer.Explain("100.64.0.7:40001", failedAt, readers)
//	fmt.Println(story.Conclusion())
package explainer

import (
	"bufio"
	"bytes"
	"encoding/json"
	"io"
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/ansel1/merry/v2"
)

// maxLine is the longest line that is read, in bytes.
const maxLine = 1 << 20

const (
	// nearby is the time before and after a flow's lines in which other lines of
	// the same processes may explain them. Clocks of hosts differ by less as a
	// rule.
	nearby = 2 * time.Second
	// aroundFailure is the same for the time of a failed request. It is above the
	// time in which the entry of a dead target lapses, 3.6 s.
	aroundFailure = 5 * time.Second
)

// Messages that say how a search or a flow ended.
const (
	messageForwarded = "flow forwarded"
	messagePlaced    = "flow placed"
	messageReset     = "flow reset"
	messageNoTarget  = "no target for packet"
	messageNoneLeft  = "no target left for packet"
	messageTarget    = "target changed"
	messageStarts    = "process starts"
	messageLeaves    = "process leaves"
	messagePaused    = "process did not run"
	messageLost      = "agent does not answer"
	messageSilent    = "own target does not answer"
	messageSuspicion = "suspicion of own target changed"
)

// backgroundMessages change what a process believes or whether it serves.
var backgroundMessages = []string{
	messageStarts, messageLeaves, "process stops", messagePaused, "platform lost", "platform regained", messageLost,
	"agent answers again", messageSilent, "own target answers again", messageTarget, messageSuspicion, "settings reloaded",
}

// roleBalancer is the role of the processes that any packet may pass.
const roleBalancer = "balancer"

// Line is one log line of a story.
type Line struct {
	Time         time.Time      `json:"time"`
	Process      string         `json:"process"`
	Role         string         `json:"role"`
	Message      string         `json:"message"`
	Fields       map[string]any `json:"fields"`
	IsBackground bool           `json:"is_background"`
}

// Story is what the logs say of one flow.
type Story struct {
	flow string
	// failedAt is the time of the failed request, zero if it is not known.
	failedAt time.Time
	// targets has the names of the targets that the flow was forwarded to, places
	// their addresses and hosts those without the port.
	targets    map[string]bool
	places     map[string]bool
	hosts      map[string]bool
	lines      []Line
	unreadable int
}

// Lines returns the lines in order of time, those of one process in the order
// in which they were written.
func (s *Story) Lines() []Line { return s.lines }

// Unreadable returns the number of lines that could not be read.
func (s *Story) Unreadable() int { return s.unreadable }

// Explain reads logs and returns the story of the flow of a caller. FailedAt is
// the time of the failed request, or zero.
func Explain(flow string, failedAt time.Time, logs []io.Reader) (*Story, error) {
	s := &Story{flow: flow, failedAt: failedAt, targets: map[string]bool{}, places: map[string]bool{}, hosts: map[string]bool{}}
	var background []Line
	for _, r := range logs {
		scanner := bufio.NewScanner(r)
		scanner.Buffer(nil, maxLine)
		for scanner.Scan() {
			line, ok := parseLine(scanner.Bytes())
			switch {
			case !ok:
				s.unreadable++
			case line.Fields["caller"] == flow:
				s.lines = append(s.lines, line)
				s.addTarget(line)
			case slices.Contains(backgroundMessages, line.Message):
				line.IsBackground = true
				background = append(background, line)
			}
		}
		if err := scanner.Err(); err != nil {
			return nil, merry.Prepend(err, "read log")
		}
	}
	s.addBackground(background)
	slices.SortStableFunc(s.lines, func(a, b Line) int { return a.Time.Compare(b.Time) })
	return s, nil
}

// parseLine reads a log line. Text before the object, which collectors add, is
// left out.
func parseLine(b []byte) (Line, bool) {
	start := bytes.IndexByte(b, '{')
	if start < 0 {
		return Line{}, false
	}
	var fields map[string]any
	if err := json.Unmarshal(b[start:], &fields); err != nil {
		return Line{}, false
	}
	line := Line{Fields: fields}
	line.Process, _ = fields["process"].(string)
	line.Role, _ = fields["role"].(string)
	line.Message, _ = fields["message"].(string)
	text, _ := fields["time"].(string)
	var err error
	if line.Time, err = time.Parse(time.RFC3339, text); err != nil || line.Message == "" {
		return Line{}, false
	}
	for _, key := range []string{"process", "message", "time", "level", "role", "availability_zone"} {
		delete(fields, key)
	}
	return line, true
}

// addBackground adds the lines that may explain the flow's own ones.
func (s *Story) addBackground(background []Line) {
	own := s.lines
	for _, l := range background {
		isNear := !s.failedAt.IsZero() && l.Time.Sub(s.failedAt).Abs() <= aroundFailure
		if isNear && s.mayFail(l, own) || slices.ContainsFunc(own, func(o Line) bool { return s.explains(l, o) }) {
			s.lines = append(s.lines, l)
		}
	}
}

// explains reports whether a background line may explain a line of the flow.
func (s *Story) explains(background, own Line) bool {
	return background.Time.Sub(own.Time).Abs() <= nearby && s.concerns(background, own)
}

// mayFail reports whether a line near the failed request may explain it. Its
// packets may have passed any balancer.
func (s *Story) mayFail(l Line, own []Line) bool {
	if l.Role == roleBalancer && slices.Contains([]string{messageStarts, messageLeaves, messagePaused}, l.Message) {
		return true
	}
	return slices.ContainsFunc(own, func(o Line) bool { return s.concerns(l, o) })
}

// concerns reports whether a background line is about a process or a target of
// the flow. Any process may say that an agent does not answer, but of changed
// targets only those that the flow met are of interest.
func (s *Story) concerns(background, own Line) bool {
	switch background.Message {
	case messageLost, "agent answers again":
		return s.hosts[text(background, "address")]
	case messageTarget:
		return background.Process == own.Process && (s.targets[changedTarget(background)] || s.places[text(background, "address")])
	}
	return background.Process == own.Process
}

// addTarget notes the target that a line of the flow names.
func (s *Story) addTarget(l Line) {
	if name := text(l, "target"); name != "" {
		s.targets[name] = true
	}
	place := text(l, "address")
	if host, _, ok := strings.Cut(place, ":"); ok {
		s.places[place], s.hosts[host] = true, true
	}
}

// changedTarget returns the name of the target that a line about a change is
// about, the last part of its key.
func changedTarget(l Line) string {
	key := text(l, "key")
	return key[strings.LastIndexByte(key, '/')+1:]
}

func text(l Line, key string) string {
	value, _ := l.Fields[key].(string)
	return value
}

// Detail returns the fields of a line as text, in order of names.
func (l Line) Detail() string {
	var parts []string
	for _, key := range slices.Sorted(maps.Keys(l.Fields)) {
		value, err := json.Marshal(l.Fields[key])
		if err != nil {
			continue
		}
		parts = append(parts, key+"="+strings.Trim(string(value), `"`))
	}
	return strings.Join(parts, " ")
}
