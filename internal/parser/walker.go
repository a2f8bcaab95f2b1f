package parser

import (
	"fmt"
	"reflect"
	"strconv"
	"strings"
	"time"

	"github.com/agnivade/levenshtein"
	"github.com/goccy/go-yaml/ast"
)

// walker checks a YAML tree against a Go type, and records the positions of keys
// and the structural errors.
type walker struct {
	positions *Positions
}

func (w *walker) walkDocument(body ast.Node, into any) {
	w.positions.entries[""] = Position{line: 1}
	t := reflect.TypeOf(into).Elem()
	if body == nil {
		return
	}
	w.walk(body, t, "", false, 0)
}

func (w *walker) report(node ast.Node, key, fault, value, accepted string) {
	w.positions.problems = append(w.positions.problems, Problem{
		file: w.positions.file, line: lineOf(node), key: key, fault: fault, value: value, accepted: accepted,
	})
}

func (w *walker) walk(node ast.Node, t reflect.Type, key string, secret bool, depth int) {
	if depth > maxDepth {
		w.report(node, key, FaultBadValue, "", fmt.Sprintf("at most %d levels", maxDepth))
		return
	}
	switch node.(type) {
	case *ast.AnchorNode, *ast.AliasNode, *ast.TagNode, *ast.MergeKeyNode:
		w.report(node, key, FaultBadValue, textOf(node, secret), "a plain value; anchors, aliases and tags are not accepted")
		return
	}
	switch {
	case t.Kind() == reflect.Struct:
		w.walkStruct(node, t, key, depth)
	case t.Kind() == reflect.Map:
		w.walkMap(node, t, key, depth)
	case t.Kind() == reflect.Slice:
		w.walkSlice(node, t, key, depth)
	default:
		w.walkScalar(node, t, key, secret)
	}
}

func (w *walker) walkStruct(node ast.Node, t reflect.Type, key string, depth int) {
	if _, ok := node.(*ast.NullNode); ok {
		return
	}
	values, ok := mappingValues(node)
	if !ok {
		w.report(node, key, FaultBadValue, textOf(node, false), "a mapping with the keys "+strings.Join(fieldNames(t), ", "))
		return
	}
	seen := make(map[string]bool, len(values))
	for _, v := range values {
		name := keyText(v)
		path := joinKey(key, name)
		field, ok := fieldByName(t, name)
		if !ok {
			w.report(v.Key, path, FaultUnknownKey, name, SuggestName(name, fieldNames(t)))
			continue
		}
		if seen[name] {
			w.report(v.Key, path, FaultDuplicate, textOf(v.Value, isSecret(field)), "each key once")
			continue
		}
		seen[name] = true
		w.record(v, path, isSecret(field))
		w.walk(v.Value, field.Type, path, isSecret(field), depth+1)
	}
}

func (w *walker) walkMap(node ast.Node, t reflect.Type, key string, depth int) {
	if _, ok := node.(*ast.NullNode); ok {
		return
	}
	values, ok := mappingValues(node)
	if !ok {
		w.report(node, key, FaultBadValue, textOf(node, false), "a mapping")
		return
	}
	seen := make(map[string]bool, len(values))
	for _, v := range values {
		name := keyText(v)
		path := key + "[" + name + "]"
		if seen[name] {
			w.report(v.Key, path, FaultDuplicate, name, "each key once")
			continue
		}
		seen[name] = true
		w.record(v, path, false)
		w.walk(v.Value, t.Elem(), path, false, depth+1)
	}
}

func (w *walker) walkSlice(node ast.Node, t reflect.Type, key string, depth int) {
	if _, ok := node.(*ast.NullNode); ok {
		return
	}
	list, ok := node.(*ast.SequenceNode)
	if !ok {
		w.report(node, key, FaultBadValue, textOf(node, false), "a list")
		return
	}
	for i, v := range list.Values {
		path := key + "[" + strconv.Itoa(i) + "]"
		w.positions.entries[path] = Position{line: lineOf(v), value: textOf(v, false)}
		w.walk(v, t.Elem(), path, false, depth+1)
	}
}

func (w *walker) walkScalar(node ast.Node, t reflect.Type, key string, secret bool) {
	accepted := acceptedText(t)
	if !fitsScalar(node, t) {
		w.report(node, key, FaultBadValue, textOf(node, secret), accepted)
	}
}

func (w *walker) record(v *ast.MappingValueNode, path string, secret bool) {
	w.positions.entries[path] = Position{line: lineOf(v.Key), value: textOf(v.Value, secret)}
}

// fitsScalar reports whether a node is a scalar that a value of type t can hold.
func fitsScalar(node ast.Node, t reflect.Type) bool {
	if t == reflect.TypeFor[time.Duration]() {
		text, ok := node.(*ast.StringNode)
		if !ok {
			return false
		}
		_, err := time.ParseDuration(text.Value)
		return err == nil
	}
	switch t.Kind() {
	case reflect.String:
		switch node.(type) {
		case *ast.StringNode, *ast.LiteralNode:
			return true
		}
		return false
	case reflect.Bool:
		_, ok := node.(*ast.BoolNode)
		return ok
	case reflect.Uint8, reflect.Uint16, reflect.Uint32, reflect.Uint64, reflect.Uint:
		number, ok := node.(*ast.IntegerNode)
		if !ok {
			return false
		}
		_, err := strconv.ParseUint(fmt.Sprint(number.Value), 10, t.Bits())
		return err == nil
	case reflect.Float64:
		switch node.(type) {
		case *ast.IntegerNode, *ast.FloatNode:
			return true
		}
		return false
	default:
		number, ok := node.(*ast.IntegerNode)
		if !ok {
			return false
		}
		_, err := strconv.ParseInt(fmt.Sprint(number.Value), 10, t.Bits())
		return err == nil
	}
}

// acceptedText describes the values that a scalar type accepts.
func acceptedText(t reflect.Type) string {
	if t == reflect.TypeFor[time.Duration]() {
		return "a duration with its unit, such as 30s or 500ms"
	}
	switch t.Kind() {
	case reflect.String:
		return "text (in quotes if it looks like a number)"
	case reflect.Bool:
		return "true or false"
	case reflect.Uint8, reflect.Uint16, reflect.Uint32, reflect.Uint64, reflect.Uint:
		return fmt.Sprintf("a whole number from 0 to %d", ^uint64(0)>>(64-t.Bits()))
	case reflect.Float64:
		return "a number"
	default:
		return fmt.Sprintf("a whole number of at most %d bits", t.Bits())
	}
}

// SuggestName returns a text that lists the accepted names. If one is similar
// enough to be what a misspelled name meant, the text suggests it first.
func SuggestName(name string, names []string) string {
	best, distance := "", len(name)/2+2
	for _, n := range names {
		if d := levenshtein.ComputeDistance(name, n); d < distance {
			best, distance = n, d
		}
	}
	if best != "" {
		return fmt.Sprintf("did you mean %s? One of %s", best, strings.Join(names, ", "))
	}
	return "one of " + strings.Join(names, ", ")
}
