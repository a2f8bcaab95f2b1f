package parser

import (
	"reflect"
	"strings"

	"github.com/goccy/go-yaml/ast"
)

// maxValueText is the maximum length of a value quoted in a problem, in bytes.
const maxValueText = 80

func mappingValues(node ast.Node) ([]*ast.MappingValueNode, bool) {
	switch n := node.(type) {
	case *ast.MappingNode:
		return n.Values, true
	case *ast.MappingValueNode:
		return []*ast.MappingValueNode{n}, true
	}
	return nil, false
}

func keyText(v *ast.MappingValueNode) string {
	if s, ok := v.Key.(*ast.StringNode); ok {
		return s.Value
	}
	return v.Key.String()
}

func lineOf(node ast.Node) int {
	if node == nil || node.GetToken() == nil || node.GetToken().Position == nil {
		return 1
	}
	return node.GetToken().Position.Line
}

// textOf returns the text of a scalar node, truncated to maxValueText. It is
// empty for secrets, lists, mappings and null.
func textOf(node ast.Node, secret bool) string {
	if secret || node == nil {
		return ""
	}
	var text string
	switch n := node.(type) {
	case *ast.StringNode:
		text = n.Value
	case *ast.LiteralNode:
		text = n.Value.Value
	case *ast.MappingNode, *ast.MappingValueNode, *ast.SequenceNode, *ast.NullNode:
		return ""
	default:
		text = n.String()
	}
	return truncateText(text)
}

// truncateText bounds a text that a problem quotes.
func truncateText(text string) string {
	if len(text) > maxValueText {
		return strings.ToValidUTF8(text[:maxValueText], "") + "..."
	}
	return text
}

func joinKey(parent, name string) string {
	if parent == "" {
		return name
	}
	return parent + "." + name
}

func fieldName(f reflect.StructField) string {
	name, _, _ := strings.Cut(f.Tag.Get("yaml"), ",")
	return name
}

func isSecret(f reflect.StructField) bool { return f.Tag.Get("secret") == "true" }

func fieldNames(t reflect.Type) []string {
	names := make([]string, 0, t.NumField())
	for i := range t.NumField() {
		names = append(names, fieldName(t.Field(i)))
	}
	return names
}

func fieldByName(t reflect.Type, name string) (reflect.StructField, bool) {
	for i := range t.NumField() {
		if f := t.Field(i); fieldName(f) == name {
			return f, true
		}
	}
	return reflect.StructField{}, false
}
