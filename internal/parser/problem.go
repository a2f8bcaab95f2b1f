package parser

import (
	"cmp"
	"fmt"
	"slices"
	"strings"
)

// Kinds of problems, as Problem.Fault returns them.
const (
	FaultUnknownKey = "unknown key"
	FaultDuplicate  = "duplicate"
	FaultMissing    = "missing value"
	FaultBadValue   = "bad value"
	FaultConflict   = "conflict"
	// FaultNeverMatches is that of an entry that has no effect.
	FaultNeverMatches = "never matches"
)

// Problem is an error in a document.
type Problem struct {
	file     string
	line     int
	key      string
	fault    string
	value    string
	accepted string
}

// NewProblem returns a problem without file and line; Positions.Locate adds
// them.
func NewProblem(key, fault, value, accepted string) Problem {
	return Problem{key: key, fault: fault, value: value, accepted: accepted}
}

// File returns the path of the document, or an empty string if it isn't known.
func (p Problem) File() string { return p.file }

// Line returns the line number, starting at 1, or 0 if it isn't known.
func (p Problem) Line() int { return p.line }

// Key returns the path of the key, such as services[0].targets[2].number.
func (p Problem) Key() string { return p.key }

// Fault returns one of the Fault constants.
func (p Problem) Fault() string { return p.fault }

// Value returns the rejected value. It is empty for secrets.
func (p Problem) Value() string { return p.value }

// Accepted describes the values that the key accepts.
func (p Problem) Accepted() string { return p.accepted }

// String formats the problem on one line, as file:line: key: fault "value";
// accepted: what the key accepts. A problem of the whole document has no key.
func (p Problem) String() string {
	var b strings.Builder
	if p.file != "" {
		fmt.Fprintf(&b, "%s:%d: ", p.file, p.line)
	}
	if p.key != "" {
		fmt.Fprintf(&b, "%s: ", p.key)
	}
	b.WriteString(p.fault)
	if p.value != "" {
		fmt.Fprintf(&b, " %q", p.value)
	}
	if p.accepted != "" {
		fmt.Fprintf(&b, "; accepted: %s", p.accepted)
	}
	return b.String()
}

// SortProblems sorts problems by file, line, key and fault. The sort is stable.
func SortProblems(problems []Problem) {
	slices.SortStableFunc(problems, func(a, b Problem) int {
		return cmp.Or(cmp.Compare(a.file, b.file), cmp.Compare(a.line, b.line),
			cmp.Compare(a.key, b.key), cmp.Compare(a.fault, b.fault))
	})
}
