package parser

import "strings"

// Position is the line of a key and the text of its value.
type Position struct {
	line  int
	value string
}

// Line returns the line number, starting at 1.
func (p Position) Line() int { return p.line }

// Value returns the text of a scalar value, truncated if it is long. It is empty
// for secrets, lists and mappings.
func (p Position) Value() string { return p.value }

// Positions maps the keys of a document to their positions. Keys are paths such
// as services[0].targets[2].number.
type Positions struct {
	file     string
	entries  map[string]Position
	problems []Problem
}

func newPositions(file string) *Positions {
	return &Positions{file: file, entries: make(map[string]Position)}
}

// File returns the path of the document.
func (p *Positions) File() string { return p.file }

// Problems returns the structural errors found while parsing, sorted by line.
func (p *Positions) Problems() []Problem { return p.problems }

// Has reports whether the document has the key.
func (p *Positions) Has(key string) bool {
	_, ok := p.entries[key]
	return ok
}

// Find returns the position of a key, or of its nearest ancestor in the
// document, so that a missing key is reported at the section it belongs to.
func (p *Positions) Find(key string) Position {
	for {
		if position, ok := p.entries[key]; ok {
			return position
		}
		if key == "" {
			return Position{line: 1}
		}
		key = parentKey(key)
	}
}

// Locate returns the problem with file and line filled in, and with the value
// from the document if the problem has none.
func (p *Positions) Locate(problem Problem) Problem {
	problem.file = p.file
	problem.line = p.Find(problem.key).line
	if problem.value == "" {
		problem.value = p.entries[problem.key].value
	}
	return problem
}

func parentKey(key string) string {
	return key[:max(strings.LastIndexAny(key, ".["), 0)]
}
