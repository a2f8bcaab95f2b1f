// Package explainer finds the story of one packet flow in the logs of several
// processes: which balancer and which agents decided what, on which table, and
// how it ended.
//
// A flow is named by the caller's address and port, as packet captures and the
// caller's own logs show it. Lines that are cut or no JSON are counted and
// left out.
//
// # Usage
//
//	story, err := explainer.Explain("100.64.0.7:40001", readers)
//	fmt.Println(story.Conclusion())
package explainer

import (
	"bufio"
	"bytes"
	"cmp"
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

// nearby is the time before and after a flow's lines in which other lines of
// the same processes may explain them. Clocks of hosts differ by less as a rule.
const nearby = 2 * time.Second

// Messages that say how a search or a flow ended.
const (
	messageForwarded = "flow forwarded"
	messagePlaced    = "flow placed"
	messageReset     = "flow reset"
	messageNoTarget  = "no target for packet"
	messageNoneLeft  = "no target left for packet"
	messageTarget    = "target changed"
	messageStarts    = "process starts"
)

// backgroundMessages change what a process believes or whether it serves.
var backgroundMessages = []string{
	messageStarts, "process leaves", "process stops", "platform lost", "platform regained", "agent does not answer",
	"agent answers again", "own target does not answer", "own target answers again", messageTarget,
	"suspicion of own target changed", "settings reloaded",
}

// Line is one log line of a story.
type Line struct {
	Time         time.Time      `json:"time"`
	Process      string         `json:"process"`
	Message      string         `json:"message"`
	Fields       map[string]any `json:"fields"`
	IsBackground bool           `json:"is_background"`
}

// Story is what the logs say of one flow.
type Story struct {
	flow       string
	lines      []Line
	unreadable int
}

// Flow returns the address and port of the caller.
func (s *Story) Flow() string { return s.flow }

// Lines returns the lines in order of time, those of one process in the order
// in which they were written.
func (s *Story) Lines() []Line { return s.lines }

// Unreadable returns the number of lines that could not be read.
func (s *Story) Unreadable() int { return s.unreadable }

// Explain reads logs and returns the story of the flow of a caller.
func Explain(flow string, logs []io.Reader) (*Story, error) {
	s := &Story{flow: flow}
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

// addBackground adds the lines of the flow's processes near the flow's own
// ones. Of changed targets, only those that the flow met are of interest.
func (s *Story) addBackground(background []Line) {
	own := s.lines
	for _, l := range background {
		if slices.ContainsFunc(own, func(o Line) bool { return explains(l, o) }) {
			s.lines = append(s.lines, l)
		}
	}
}

// explains reports whether a background line may explain a line of the flow.
func explains(background, own Line) bool {
	if background.Process != own.Process || background.Time.Sub(own.Time).Abs() > nearby {
		return false
	}
	if background.Message != messageTarget {
		return true
	}
	name := text(own, "target")
	return name != "" && strings.HasSuffix(text(background, "key"), name)
}

// Conclusion says in one sentence how far the flow came.
func (s *Story) Conclusion() string {
	counts := map[string]int{}
	var placed, reset Line
	for _, l := range s.lines {
		counts[l.Message]++
		switch l.Message {
		case messagePlaced:
			placed = l
		case messageReset, messageNoneLeft:
			reset = l
		}
	}
	switch {
	case len(s.lines) == 0:
		return "no process logged the flow: its packets reached no live balancer, or its lines were left out"
	case reset.Fields["reset"] == true || counts[messageReset] > 0:
		return "the flow was reset by " + reset.Process + ": " + cmp.Or(text(reset, "reason"), "no target held it any more")
	case counts[messagePlaced] > 0 && s.lostAfter(placed):
		return "the flow was placed by " + placed.Process + ", which was lost or left afterwards"
	case counts[messagePlaced] > 0 && s.restartedAfter(placed) != "":
		return "the flow was placed by " + placed.Process + "; " + s.restartedAfter(placed) + " started again afterwards, so packets were lost there"
	case counts[messagePlaced] > 1:
		return "the flow was placed more than once, last by " + placed.Process + ": earlier targets did not answer its opening packets"
	case counts[messagePlaced] == 1:
		return "the flow was placed by " + placed.Process + "; what happened then lies in the caller, the target or the network"
	case counts[messageNoneLeft]+counts[messageNoTarget] > 0:
		return "no target took the flow: all were full, draining or did not answer"
	case counts[messageForwarded] > 0:
		return "a balancer forwarded the flow, but no agent received it: the agent or the path was down"
	}
	return "the flow's end is not in these logs"
}

func text(l Line, key string) string {
	value, _ := l.Fields[key].(string)
	return value
}

// lostAfter reports whether the process of a line stopped serving later.
func (s *Story) lostAfter(l Line) bool {
	for _, other := range s.lines {
		if other.Process == l.Process && !other.Time.Before(l.Time) &&
			slices.Contains([]string{messageStarts, "process leaves", "own target does not answer"}, other.Message) {
			return true
		}
	}
	return false
}

// restartedAfter returns the process that started after a line, if one did.
func (s *Story) restartedAfter(l Line) string {
	for _, other := range s.lines {
		if other.Message == messageStarts && other.Time.After(l.Time) {
			return other.Process
		}
	}
	return ""
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
