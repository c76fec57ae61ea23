// Package config parses JSON files with comments. It reports all errors of a
// file with their lines before any value is used.
package config

import (
	"bytes"
	"encoding"
	"encoding/json"
	"fmt"
	"reflect"
	"strings"

	"github.com/tailscale/hujson"
)

// Problem is an error in a file.
type Problem struct {
	file    string
	line    int
	path    string
	message string
}

// Line returns the line of the problem, starting at 1.
func (p Problem) Line() int { return p.line }

// Path returns the JSON pointer of the value that has the problem.
func (p Problem) Path() string { return p.path }

// String formats the problem as "file:line: path: message".
func (p Problem) String() string {
	return fmt.Sprintf("%s:%d: %s: %s", p.file, p.line, p.path, p.message)
}

// File is a parsed file with the problems found so far.
type File[T any] struct {
	name     string
	source   []byte
	tree     hujson.Value
	value    T
	problems []Problem
}

// Read decodes source into a T. Unknown and duplicate keys and values of the
// wrong type become problems. A field whose value has the wrong type keeps its
// zero value, and the first of several duplicate keys counts.
func Read[T any](name string, source []byte) *File[T] {
	f := &File[T]{name: name, source: source}
	tree, err := hujson.Parse(source)
	if err != nil {
		f.problems = append(f.problems, Problem{file: name, line: lineOfError(err), path: "/", message: err.Error()})
		return f
	}
	f.tree = tree
	f.decode(&f.tree, reflect.ValueOf(&f.value).Elem(), "")
	return f
}

// Value returns the decoded value.
func (f *File[T]) Value() T { return f.value }

// Problems returns every problem found so far.
func (f *File[T]) Problems() []Problem { return f.problems }

// IsParsed reports whether the file is valid JSON with comments.
func (f *File[T]) IsParsed() bool { return f.tree.Value != nil }

// Add records a problem with the value at the JSON pointer path. Its line is
// that of the value, or of the nearest enclosing value that the file has. A
// value that already has a problem gets no other: errors that follow from a
// value that could not be decoded would only mislead.
func (f *File[T]) Add(path, format string, args ...any) {
	if f.hasProblem(path) {
		return
	}
	f.problems = append(f.problems, Problem{
		file:    f.name,
		line:    f.lineOfPath(path),
		path:    path,
		message: fmt.Sprintf(format, args...),
	})
}

// hasProblem reports whether the value at path has a problem.
func (f *File[T]) hasProblem(path string) bool {
	for _, p := range f.problems {
		if p.path == path {
			return true
		}
	}
	return false
}

func (f *File[T]) lineOfPath(path string) int {
	for pointer := path; pointer != ""; pointer = pointer[:strings.LastIndexByte(pointer, '/')] {
		if v := f.tree.Find(pointer); v != nil {
			return f.lineOfOffset(v.StartOffset)
		}
	}
	return f.lineOfOffset(f.tree.StartOffset)
}

func (f *File[T]) lineOfOffset(offset int) int {
	return 1 + bytes.Count(f.source[:offset], []byte{'\n'})
}

func lineOfError(err error) int {
	line := 1
	if _, scanErr := fmt.Sscanf(err.Error(), "hujson: line %d", &line); scanErr != nil {
		return 1
	}
	return line
}

func (f *File[T]) decode(v *hujson.Value, dst reflect.Value, path string) {
	if _, isText := dst.Addr().Interface().(encoding.TextUnmarshaler); isText {
		f.decodeLiteral(v, dst, path)
		return
	}
	switch node := v.Value.(type) {
	case *hujson.Object:
		f.decodeObject(node, dst, path)
	case *hujson.Array:
		f.decodeArray(node, dst, path)
	default:
		f.decodeLiteral(v, dst, path)
	}
}

func (f *File[T]) decodeObject(node *hujson.Object, dst reflect.Value, path string) {
	if dst.Kind() != reflect.Struct {
		f.Add(path, "expected %s, found an object", describeKind(dst))
		return
	}
	seen := make(map[string]bool)
	for i := range node.Members {
		member := &node.Members[i]
		key := member.Name.Value.(hujson.Literal).String()
		keyPath := path + "/" + escapePointer(key)
		if seen[key] {
			f.addAtOffset(member.Name.StartOffset, keyPath, "key is repeated")
			continue
		}
		seen[key] = true
		field, ok := fieldByJSONKey(dst, key)
		if !ok {
			f.addAtOffset(member.Name.StartOffset, keyPath, "unknown key; expected one of "+strings.Join(jsonKeys(dst), ", "))
			continue
		}
		f.decode(&member.Value, field, keyPath)
	}
}

func (f *File[T]) decodeArray(node *hujson.Array, dst reflect.Value, path string) {
	if dst.Kind() != reflect.Slice {
		f.Add(path, "expected %s, found an array", describeKind(dst))
		return
	}
	for i := range node.Elements {
		dst.Set(reflect.Append(dst, reflect.Zero(dst.Type().Elem())))
		f.decode(&node.Elements[i], dst.Index(i), fmt.Sprintf("%s/%d", path, i))
	}
}

func (f *File[T]) decodeLiteral(v *hujson.Value, dst reflect.Value, path string) {
	standard := v.Clone()
	standard.Standardize()
	if err := json.Unmarshal(standard.Pack(), dst.Addr().Interface()); err != nil {
		found := strings.TrimSpace(string(standard.Pack()))
		f.addAtOffset(v.StartOffset, path, fmt.Sprintf("expected %s, found %s", describeKind(dst), found))
	}
}

func (f *File[T]) addAtOffset(offset int, path, message string) {
	f.problems = append(f.problems, Problem{file: f.name, line: f.lineOfOffset(offset), path: path, message: message})
}

func fieldByJSONKey(dst reflect.Value, key string) (reflect.Value, bool) {
	for i := range dst.NumField() {
		if jsonKey(dst.Type().Field(i)) == key {
			return dst.Field(i), true
		}
	}
	return reflect.Value{}, false
}

func jsonKeys(dst reflect.Value) []string {
	var keys []string
	for i := range dst.NumField() {
		keys = append(keys, jsonKey(dst.Type().Field(i)))
	}
	return keys
}

func jsonKey(field reflect.StructField) string {
	key, _, _ := strings.Cut(field.Tag.Get("json"), ",")
	return key
}

func escapePointer(key string) string {
	return strings.NewReplacer("~", "~0", "/", "~1").Replace(key)
}

func describeKind(dst reflect.Value) string {
	if dst.Type().Name() == "Span" {
		return `a length of time with its unit, such as "250ms" or "5s"`
	}
	switch dst.Kind() {
	case reflect.Struct:
		return "an object"
	case reflect.Slice:
		return "an array"
	case reflect.Bool:
		return "true or false"
	case reflect.String:
		return "a string"
	case reflect.Float64:
		return "a number"
	}
	return "a whole number"
}
