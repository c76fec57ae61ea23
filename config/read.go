// Package config reads JSON files with comments and reports every error of a
// file with its line, before anything uses the values.
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

// Problem is one error of a file.
type Problem struct {
	file    string
	line    int
	path    string
	message string
}

// Line returns the line of the problem, counted from 1.
func (p Problem) Line() int { return p.line }

// Path returns the JSON pointer of the value.
func (p Problem) Path() string { return p.path }

// String formats the problem as "file:line: path: message".
func (p Problem) String() string {
	return fmt.Sprintf("%s:%d: %s: %s", p.file, p.line, p.path, p.message)
}

// File is a parsed file together with the problems found in it so far.
type File[T any] struct {
	name     string
	source   []byte
	tree     hujson.Value
	value    T
	problems []Problem
}

// Read parses source into a T. Unknown and repeated keys and values of a wrong
// type become problems; the fields in question keep their zero value.
func Read[T any](name string, source []byte) *File[T] {
	f := &File[T]{name: name, source: source}
	tree, err := hujson.Parse(source)
	if err != nil {
		f.problems = append(f.problems, Problem{file: name, line: lineOfError(err), path: "/", message: err.Error()})
		return f
	}
	f.tree = tree
	f.fill(&f.tree, reflect.ValueOf(&f.value).Elem(), "")
	return f
}

// Value returns the decoded value.
func (f *File[T]) Value() T { return f.value }

// Problems returns every problem found so far.
func (f *File[T]) Problems() []Problem { return f.problems }

// Parsed tells whether the file is JSON at all.
func (f *File[T]) Parsed() bool { return f.tree.Value != nil }

// Add records a problem at the value that the JSON pointer path names, or at
// the nearest enclosing value that the file has. A value that has a problem
// already gets no second one: what follows from a value that could not be read
// would only mislead.
func (f *File[T]) Add(path, format string, args ...any) {
	if f.isBad(path) {
		return
	}
	f.problems = append(f.problems, Problem{
		file:    f.name,
		line:    f.lineOf(path),
		path:    path,
		message: fmt.Sprintf(format, args...),
	})
}

// isBad tells whether the value at path has a problem.
func (f *File[T]) isBad(path string) bool {
	for _, p := range f.problems {
		if p.path == path {
			return true
		}
	}
	return false
}

func (f *File[T]) lineOf(path string) int {
	for pointer := path; pointer != ""; pointer = pointer[:strings.LastIndexByte(pointer, '/')] {
		if v := f.tree.Find(pointer); v != nil {
			return f.lineAt(v.StartOffset)
		}
	}
	return f.lineAt(f.tree.StartOffset)
}

func (f *File[T]) lineAt(offset int) int {
	return 1 + bytes.Count(f.source[:offset], []byte{'\n'})
}

func lineOfError(err error) int {
	line := 1
	if _, scanErr := fmt.Sscanf(err.Error(), "hujson: line %d", &line); scanErr != nil {
		return 1
	}
	return line
}

func (f *File[T]) fill(v *hujson.Value, dst reflect.Value, path string) {
	if _, isText := dst.Addr().Interface().(encoding.TextUnmarshaler); isText {
		f.literal(v, dst, path)
		return
	}
	switch node := v.Value.(type) {
	case *hujson.Object:
		f.object(node, dst, path)
	case *hujson.Array:
		f.array(node, dst, path)
	default:
		f.literal(v, dst, path)
	}
}

func (f *File[T]) object(node *hujson.Object, dst reflect.Value, path string) {
	if dst.Kind() != reflect.Struct {
		f.Add(path, "expected %s, found an object", kindName(dst))
		return
	}
	seen := make(map[string]bool)
	for i := range node.Members {
		member := &node.Members[i]
		key := member.Name.Value.(hujson.Literal).String()
		at := path + "/" + escapePointer(key)
		if seen[key] {
			f.addAt(member.Name.StartOffset, at, "key is repeated")
			continue
		}
		seen[key] = true
		field, ok := fieldByKey(dst, key)
		if !ok {
			f.addAt(member.Name.StartOffset, at, "unknown key; expected one of "+strings.Join(keysOf(dst), ", "))
			continue
		}
		f.fill(&member.Value, field, at)
	}
}

func (f *File[T]) array(node *hujson.Array, dst reflect.Value, path string) {
	if dst.Kind() != reflect.Slice {
		f.Add(path, "expected %s, found an array", kindName(dst))
		return
	}
	for i := range node.Elements {
		dst.Set(reflect.Append(dst, reflect.Zero(dst.Type().Elem())))
		f.fill(&node.Elements[i], dst.Index(i), fmt.Sprintf("%s/%d", path, i))
	}
}

func (f *File[T]) literal(v *hujson.Value, dst reflect.Value, path string) {
	plain := v.Clone()
	plain.Standardize()
	if err := json.Unmarshal(plain.Pack(), dst.Addr().Interface()); err != nil {
		found := strings.TrimSpace(string(plain.Pack()))
		f.addAt(v.StartOffset, path, fmt.Sprintf("expected %s, found %s", kindName(dst), found))
	}
}

func (f *File[T]) addAt(offset int, path, message string) {
	f.problems = append(f.problems, Problem{file: f.name, line: f.lineAt(offset), path: path, message: message})
}

func fieldByKey(dst reflect.Value, key string) (reflect.Value, bool) {
	for i := range dst.NumField() {
		if keyOf(dst.Type().Field(i)) == key {
			return dst.Field(i), true
		}
	}
	return reflect.Value{}, false
}

func keysOf(dst reflect.Value) []string {
	var keys []string
	for i := range dst.NumField() {
		keys = append(keys, keyOf(dst.Type().Field(i)))
	}
	return keys
}

func keyOf(field reflect.StructField) string {
	key, _, _ := strings.Cut(field.Tag.Get("json"), ",")
	return key
}

func escapePointer(key string) string {
	return strings.NewReplacer("~", "~0", "/", "~1").Replace(key)
}

func kindName(dst reflect.Value) string {
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
