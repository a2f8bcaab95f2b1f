package parser

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"reflect"
	"strconv"
	"strings"
	"unicode/utf8"
)

// ReadDocument reads a file of at most MaxDocumentSize bytes.
func ReadDocument(path string) ([]byte, error) { return readFile(path) }

// ParseJSON decodes a JSON document into the struct that into points to, as package
// encoding/json does, and returns the positions of its keys. Keys that the struct
// lacks are accepted, because other programs may use them. Input that is not JSON
// or not UTF-8, values of another type, numbers out of range and keys that stand
// twice are in Positions.Problems; into is not filled then. The path is only used in
// problems.
func ParseJSON(path string, content []byte, into any) *Positions {
	positions := newPositions(path)
	positions.entries[""] = Position{line: 1}
	w := &jsonWalker{positions: positions, content: content, line: 1}
	if !w.checkSyntax() {
		return positions
	}
	w.decoder = json.NewDecoder(bytes.NewReader(content))
	w.decoder.UseNumber()
	w.walk(reflect.TypeOf(into).Elem(), "")
	if len(positions.problems) == 0 {
		if err := json.Unmarshal(content, into); err != nil {
			w.report("", FaultBadValue, "", describeJSONError(err))
		}
	}
	SortProblems(positions.problems)
	return positions
}

// jsonWalker checks the tokens of a JSON document against a Go type, and records the
// positions of keys and the structural errors. The document must be valid JSON.
type jsonWalker struct {
	positions *Positions
	decoder   *json.Decoder
	content   []byte
	// offset is the end of the last token, and line its line.
	offset int
	line   int
}

// checkSyntax reports the first byte that is not UTF-8 or not JSON. Package
// encoding/json bounds the depth of nesting, so the walk that follows can't exhaust
// the stack.
func (w *jsonWalker) checkSyntax() bool {
	for i := 0; i < len(w.content); {
		r, size := utf8.DecodeRune(w.content[i:])
		if r == utf8.RuneError && size == 1 {
			w.moveTo(i)
			w.report("", FaultBadValue, fmt.Sprintf("byte 0x%02x", w.content[i]), "text in UTF-8")
			return false
		}
		i += size
	}
	var raw json.RawMessage
	err := json.Unmarshal(w.content, &raw)
	if err == nil {
		return true
	}
	var syntax *json.SyntaxError
	if errors.As(err, &syntax) {
		w.moveTo(int(syntax.Offset))
	}
	w.report("", FaultBadValue, "", "a JSON document; "+describeJSONError(err))
	return false
}

func describeJSONError(err error) string { return strings.TrimPrefix(err.Error(), "json: ") }

// moveTo counts the lines up to an offset, which must not be before the last one.
func (w *jsonWalker) moveTo(offset int) {
	offset = min(max(offset, w.offset), len(w.content))
	w.line += bytes.Count(w.content[w.offset:offset], []byte{'\n'})
	w.offset = offset
}

// moveToElement moves to the first byte of the next element of a list.
func (w *jsonWalker) moveToElement() {
	rest := w.content[w.offset:]
	w.moveTo(w.offset + len(rest) - len(bytes.TrimLeft(rest, ", \t\r\n")))
}

func (w *jsonWalker) next() json.Token {
	token, err := w.decoder.Token()
	if err != nil {
		if !errors.Is(err, io.EOF) {
			w.report("", FaultBadValue, "", "a JSON document; "+describeJSONError(err))
		}
		return nil
	}
	w.moveTo(int(w.decoder.InputOffset()))
	return token
}

func (w *jsonWalker) report(key, fault, value, accepted string) {
	w.positions.problems = append(w.positions.problems, Problem{
		file: w.positions.file, line: w.line, key: key, fault: fault, value: value, accepted: accepted,
	})
}

// walk checks the next value. A nil type accepts any value, whose positions are not
// recorded.
func (w *jsonWalker) walk(t reflect.Type, key string) {
	for t != nil && t.Kind() == reflect.Pointer {
		t = t.Elem()
	}
	switch token := w.next(); token {
	case json.Delim('{'):
		if t != nil && t.Kind() != reflect.Struct {
			w.report(key, FaultBadValue, "{", acceptedJSON(t))
			t = nil
		}
		w.walkObject(t, key)
	case json.Delim('['):
		if t != nil && t.Kind() != reflect.Slice {
			w.report(key, FaultBadValue, "[", acceptedJSON(t))
			t = nil
		}
		w.walkList(t, key)
	case nil:
		// null leaves a field at its zero value.
	default:
		if t != nil {
			w.walkJSONScalar(token, t, key)
		}
	}
}

func (w *jsonWalker) walkObject(t reflect.Type, key string) {
	seen := make(map[string]bool)
	for w.decoder.More() {
		name, _ := w.next().(string)
		if t == nil {
			w.walk(nil, "")
			continue
		}
		field, ok := jsonField(t, name)
		if !ok {
			w.walk(nil, "")
			continue
		}
		// The name of the field, since names are compared regardless of case.
		path := joinKey(key, jsonName(field))
		if seen[path] {
			w.report(path, FaultDuplicate, name, "each key once")
		}
		seen[path] = true
		w.positions.entries[path] = Position{line: w.line}
		w.walk(field.Type, path)
	}
	w.next()
}

func (w *jsonWalker) walkList(t reflect.Type, key string) {
	for i := 0; w.decoder.More(); i++ {
		if t == nil {
			w.walk(nil, "")
			continue
		}
		path := key + "[" + strconv.Itoa(i) + "]"
		w.moveToElement()
		w.positions.entries[path] = Position{line: w.line}
		w.walk(t.Elem(), path)
	}
	w.next()
}

func (w *jsonWalker) walkJSONScalar(token json.Token, t reflect.Type, key string) {
	text := truncateText(fmt.Sprint(token))
	position := w.positions.entries[key]
	position.value = text
	w.positions.entries[key] = position
	if !fitsJSON(token, t) {
		w.report(key, FaultBadValue, text, acceptedJSON(t))
	}
}

// fitsJSON reports whether encoding/json decodes a scalar into a type.
func fitsJSON(token json.Token, t reflect.Type) bool {
	switch value := token.(type) {
	case string:
		return t.Kind() == reflect.String
	case bool:
		return t.Kind() == reflect.Bool
	case json.Number:
		switch t.Kind() {
		case reflect.Float64:
			_, err := strconv.ParseFloat(value.String(), 64)
			return err == nil
		case reflect.Uint64:
			_, err := strconv.ParseUint(value.String(), 10, 64)
			return err == nil
		}
	}
	return false
}

// acceptedJSON describes the values that a type accepts.
func acceptedJSON(t reflect.Type) string {
	switch t.Kind() {
	case reflect.Struct:
		return "an object"
	case reflect.Slice:
		return "a list"
	case reflect.String:
		return "a text in quotes"
	case reflect.Float64:
		return "a finite number without quotes"
	}
	return acceptedText(t)
}

func jsonName(f reflect.StructField) string {
	name, _, _ := strings.Cut(f.Tag.Get("json"), ",")
	return name
}

// jsonField returns the field of a name, which encoding/json compares regardless of
// case.
func jsonField(t reflect.Type, name string) (reflect.StructField, bool) {
	for i := range t.NumField() {
		if f := t.Field(i); strings.EqualFold(jsonName(f), name) {
			return f, true
		}
	}
	return reflect.StructField{}, false
}

// LocateAll returns the problems with file and line, sorted by line.
func (p *Positions) LocateAll(problems []Problem) []Problem {
	located := make([]Problem, len(problems))
	for i, problem := range problems {
		located[i] = p.Locate(problem)
	}
	SortProblems(located)
	return located
}
