package parser

import (
	"errors"
	"io"
	"os"

	"github.com/ansel1/merry/v2"
	"github.com/goccy/go-yaml"
	"github.com/goccy/go-yaml/ast"
	yamlparser "github.com/goccy/go-yaml/parser"
)

// MaxDocumentSize is the maximum size of a file in bytes. A fleet document of
// the size that the system is designed for, 5,800 services with 11,000 targets,
// is about 3 MB of YAML.
const MaxDocumentSize = 32 << 20

// maxDepth is the maximum nesting depth of lists and mappings. The documents
// need 6 levels; the limit keeps a damaged file from exhausting the stack.
const maxDepth = 32

// maxBrackets is the maximum number of unclosed brackets at any point of the
// document.
const maxBrackets = 1000

// readFile reads a file of at most MaxDocumentSize bytes.
func readFile(path string) ([]byte, error) {
	f, err := os.Open(path)
	if err != nil {
		return nil, merry.Prepend(err, "read document")
	}
	defer f.Close()
	content, err := io.ReadAll(io.LimitReader(f, MaxDocumentSize+1))
	if err != nil {
		return nil, merry.Prependf(err, "read document %s", path)
	}
	if len(content) > MaxDocumentSize {
		return nil, merry.Errorf("read document %s: larger than %d bytes", path, MaxDocumentSize)
	}
	return content, nil
}

// decode checks the structure of a YAML document against the struct that into
// points to, and fills the struct if there are no structural errors.
func decode(file string, content []byte, into any) (_ *Positions, err error) {
	// The YAML library may panic on malformed input; report that as a parse
	// error instead of crashing the process.
	defer func() {
		if r := recover(); r != nil {
			err = merry.Errorf("parse document %s: %v", file, r)
		}
	}()
	if err := checkNesting(content); err != nil {
		return nil, merry.Prependf(err, "parse document %s", file)
	}
	parsed, err := yamlparser.ParseBytes(content, 0, yamlparser.AllowDuplicateMapKey())
	if err != nil {
		return nil, withoutSource(file, err)
	}
	positions := newPositions(file)
	var body ast.Node
	switch len(parsed.Docs) {
	case 0:
	case 1:
		body = parsed.Docs[0].Body
	default:
		return nil, merry.Errorf("parse document %s: %d YAML documents in one file, want 1", file, len(parsed.Docs))
	}
	w := &walker{positions: positions}
	w.walkDocument(body, into)
	SortProblems(positions.problems)
	if len(positions.problems) > 0 || body == nil {
		return positions, nil
	}
	if err := yaml.NodeToValue(body, into); err != nil {
		return nil, withoutSource(file, err)
	}
	return positions, nil
}

// withoutSource returns an error with file, line and message only. The YAML
// library's error text quotes the lines around the error, which may contain
// secrets.
func withoutSource(file string, err error) error {
	var located yaml.Error
	if !errors.As(err, &located) {
		return merry.Errorf("parse document %s: not valid YAML", file)
	}
	line := 1
	if t := located.GetToken(); t != nil && t.Position != nil {
		line = t.Position.Line
	}
	return merry.Errorf("parse document %s:%d: %s", file, line, located.GetMessage())
}

// checkNesting rejects input on which the recursive YAML parser could exhaust
// memory: deeply nested brackets, and long runs of list or key indicators
// ("-", "?") at the start of a line. 200,000 of either made the parser use
// more than 5 GB. Brackets inside strings are counted as well, which does no
// harm at this limit because they are usually balanced.
func checkNesting(content []byte) error {
	depth, marks := 0, 0
	indent := true
	for _, c := range content {
		switch c {
		case '[', '{':
			depth++
		case ']', '}':
			depth = max(depth-1, 0)
		case '\n':
			marks, indent = 0, true
			continue
		}
		if indent && (c == '-' || c == '?') {
			marks++
		}
		indent = indent && (c == ' ' || c == '-' || c == '?')
		if depth > maxBrackets || marks > maxDepth {
			return merry.New("nested too deeply")
		}
	}
	return nil
}
