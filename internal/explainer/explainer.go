// Package explainer reconstructs from the logs of several processes what happened
// to a packet flow: which balancers and agents handled it, what they decided and
// on which routing table, and how the flow ended.
//
// A flow is identified by the caller's address and port, as found in packet
// captures and in the caller's logs. If the time of a failed request is known,
// log lines near it are searched for the cause as well, because a flow may be
// much older than the failed request, and a flow that reached no process is in
// no log line. Lines that are truncated or not JSON are counted and skipped.
//
// # Usage
//
//	explanation, err := explainer.Explain("100.64.0.7:40001", failedAt, readers)
//	fmt.Println(explanation.Conclusion())
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

// maxLine is the maximum length of a log line in bytes. Longer lines make Explain
// return an error.
const maxLine = 1 << 20

const (
	// relatedWindow is the time before and after a line of the flow in which
	// other lines of the same processes may explain it. The clocks of hosts
	// usually differ by less.
	relatedWindow = 2 * time.Second
	// failureWindow is the time before and after a failed request in which lines
	// may explain it. It is longer than the 3.6 s after which the entry of a dead
	// target expires.
	failureWindow = 5 * time.Second
)

// Log messages about flows, targets and processes that the analysis uses.
const (
	messageFlowForwarded    = "flow forwarded"
	messageFlowPlaced       = "flow placed"
	messageFlowReset        = "flow reset"
	messageNoTarget         = "no target for packet"
	messageNoTargetLeft     = "no target left for packet"
	messageSearchUnanswered = "search for flow was not answered"
	messageTargetChanged    = "target changed"
	messageProcessStarts    = "process starts"
	messageProcessLeaves    = "process leaves"
	messageProcessPaused    = "process did not run"
	messageAgentLost        = "agent does not answer"
	messageTargetSilent     = "own target does not answer"
	messageSuspicionChanged = "suspicion of own target changed"
)

// backgroundMessages are log messages about changes in what a process knows of
// others, or in whether it serves. They name no flow.
var backgroundMessages = []string{
	messageProcessStarts, messageProcessLeaves, "process stops", messageProcessPaused, "platform lost", "platform regained", messageAgentLost,
	"agent answers again", messageTargetSilent, "own target answers again", messageTargetChanged, messageSuspicionChanged, "cold period of own target began",
	"cold period of own target ended", "settings reloaded",
	"evacuated zones changed",
}

// roleBalancer is the role in log lines of balancers.
const roleBalancer = "balancer"

// Line is a log line that is about the flow or may explain it.
type Line struct {
	Time         time.Time      `json:"time"`
	Process      string         `json:"process"`
	Role         string         `json:"role"`
	Message      string         `json:"message"`
	Fields       map[string]any `json:"fields"`
	IsBackground bool           `json:"is_background"`
}

// Explanation holds the log lines about a flow and those that may explain them.
type Explanation struct {
	flow string
	// failedAt is the time of the failed request, or zero if it isn't known.
	failedAt time.Time
	// targets holds the names of the targets in the lines of the flow,
	// addresses their addresses, and hosts their addresses without the port.
	targets    map[string]bool
	addresses  map[string]bool
	hosts      map[string]bool
	lines      []Line
	unreadable int
}

// Lines returns the lines sorted by time. Lines with equal times keep the order
// in which they were read, the flow's lines before background lines.
func (e *Explanation) Lines() []Line { return e.lines }

// Unreadable returns the number of lines that could not be parsed.
func (e *Explanation) Unreadable() int { return e.unreadable }

// Explain reads logs and returns what they say about a flow, given as the
// caller's address and port. The failedAt argument is the time of the failed
// request, or zero if it isn't known.
func Explain(flow string, failedAt time.Time, logs []io.Reader) (*Explanation, error) {
	e := &Explanation{flow: flow, failedAt: failedAt, targets: map[string]bool{}, addresses: map[string]bool{}, hosts: map[string]bool{}}
	var background []Line
	for _, r := range logs {
		scanner := bufio.NewScanner(r)
		scanner.Buffer(nil, maxLine)
		for scanner.Scan() {
			line, ok := parseLine(scanner.Bytes())
			switch {
			case !ok:
				e.unreadable++
			case line.Fields["caller"] == flow:
				e.lines = append(e.lines, line)
				e.addTarget(line)
			case slices.Contains(backgroundMessages, line.Message):
				line.IsBackground = true
				background = append(background, line)
			}
		}
		if err := scanner.Err(); err != nil {
			return nil, merry.Prepend(err, "read log")
		}
	}
	e.addBackground(background)
	slices.SortStableFunc(e.lines, func(a, b Line) int { return a.Time.Compare(b.Time) })
	return e, nil
}

// parseLine parses a log line. Text before the JSON object, such as a prefix of a
// log collector, is ignored.
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

// addBackground adds the background lines that may explain the lines of the flow
// or the failed request.
func (e *Explanation) addBackground(background []Line) {
	own := e.lines
	for _, l := range background {
		isNear := !e.failedAt.IsZero() && l.Time.Sub(e.failedAt).Abs() <= failureWindow
		if isNear && e.mayExplainFailure(l, own) || slices.ContainsFunc(own, func(o Line) bool { return e.explains(l, o) }) {
			e.lines = append(e.lines, l)
		}
	}
}

// explains reports whether a background line may explain a line of the flow,
// because it is close in time and about the same process or target.
func (e *Explanation) explains(background, own Line) bool {
	return background.Time.Sub(own.Time).Abs() <= relatedWindow && e.concerns(background, own)
}

// mayExplainFailure reports whether a background line near the failed request may
// explain it. Starts, departures and pauses of any balancer may, since the
// request's packets may have passed it.
func (e *Explanation) mayExplainFailure(l Line, own []Line) bool {
	if l.Role == roleBalancer && slices.Contains([]string{messageProcessStarts, messageProcessLeaves, messageProcessPaused}, l.Message) {
		return true
	}
	return slices.ContainsFunc(own, func(o Line) bool { return e.concerns(l, o) })
}

// concerns reports whether a background line is about a process or a target of
// the flow. That an agent does not answer counts from any process, but target
// changes count only from a process of the flow and for a target of the flow.
func (e *Explanation) concerns(background, own Line) bool {
	switch background.Message {
	case messageAgentLost, "agent answers again":
		return e.hosts[stringField(background, "address")]
	case messageTargetChanged:
		return background.Process == own.Process && (e.targets[changedTarget(background)] || e.addresses[stringField(background, "address")])
	}
	return background.Process == own.Process
}

// addTarget records the target that a line of the flow names.
func (e *Explanation) addTarget(l Line) {
	if name := stringField(l, "target"); name != "" {
		e.targets[name] = true
	}
	address := stringField(l, "address")
	if host, _, ok := strings.Cut(address, ":"); ok {
		e.addresses[address], e.hosts[host] = true, true
	}
}

// changedTarget returns the name of the target in a "target changed" line, the
// part of its key after the last slash.
func changedTarget(l Line) string {
	key := stringField(l, "key")
	return key[strings.LastIndexByte(key, '/')+1:]
}

// stringField returns a field of a line, or an empty string if the line lacks it
// or the field isn't a string.
func stringField(l Line, key string) string {
	value, _ := l.Fields[key].(string)
	return value
}

// Detail formats the fields of a line as key=value, sorted by key.
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
