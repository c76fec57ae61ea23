package plan

import (
	"encoding/json"
	"fmt"
	"maps"
	"slices"

	"github.com/pkg/errors"

	glade "indigoglade"
)

// Change is one value that differs between two contracts.
type Change struct {
	Path string `json:"path"`
	Old  string `json:"old"`
	New  string `json:"new"`
}

// absent stands for a value that one contract does not have.
const absent = "none"

// Diff returns the values in which two contracts differ, ordered by path. Pools
// and teams are matched by their names, so that a change of order is none.
func Diff(old, current glade.ContractSpec) ([]Change, error) {
	before, err := flatten(old)
	if err != nil {
		return nil, err
	}
	after, err := flatten(current)
	if err != nil {
		return nil, err
	}
	paths := maps.Clone(before)
	maps.Copy(paths, after)
	var changes []Change
	for _, path := range slices.Sorted(maps.Keys(paths)) {
		a, b := valueOf(before, path), valueOf(after, path)
		if a != b {
			changes = append(changes, Change{Path: path, Old: a, New: b})
		}
	}
	return changes, nil
}

func valueOf(values map[string]string, path string) string {
	if value, ok := values[path]; ok {
		return value
	}
	return absent
}

func flatten(spec glade.ContractSpec) (map[string]string, error) {
	source, err := json.Marshal(spec)
	if err != nil {
		return nil, errors.Wrap(err, "encode contract")
	}
	var tree any
	if err := json.Unmarshal(source, &tree); err != nil {
		return nil, errors.Wrap(err, "decode contract")
	}
	values := make(map[string]string)
	walk("", tree, values)
	return values, nil
}

func walk(path string, node any, values map[string]string) {
	switch value := node.(type) {
	case map[string]any:
		for key, child := range value {
			walk(path+"/"+key, child, values)
		}
	case []any:
		for i, child := range value {
			walk(path+"/"+nameOf(i, child), child, values)
		}
	default:
		values[path] = fmt.Sprint(value)
	}
}

// nameOf returns the name of a list's element, or its place.
func nameOf(i int, child any) string {
	if fields, ok := child.(map[string]any); ok {
		if name, ok := fields["name"].(string); ok {
			return name
		}
	}
	return fmt.Sprint(i)
}
