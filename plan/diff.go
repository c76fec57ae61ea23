package plan

import (
	"encoding/json"
	"fmt"
	"maps"
	"slices"

	"github.com/pkg/errors"

	glade "indigoglade"
)

// Change is one value that differs between two contracts. Path is its JSON path,
// with names instead of indexes for list elements that have a name.
type Change struct {
	Path string `json:"path"`
	Old  string `json:"old"`
	New  string `json:"new"`
}

// missingValue is reported for a value that is not set in one of the contracts.
const missingValue = "none"

// Diff returns the values that differ between two contracts, ordered by path.
// Pools and teams are matched by name, so reordering them is not a change.
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
		a, b := valueAt(before, path), valueAt(after, path)
		if a != b {
			changes = append(changes, Change{Path: path, Old: a, New: b})
		}
	}
	return changes, nil
}

func valueAt(values map[string]string, path string) string {
	if value, ok := values[path]; ok {
		return value
	}
	return missingValue
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
	flattenInto("", tree, values)
	return values, nil
}

func flattenInto(path string, node any, values map[string]string) {
	switch value := node.(type) {
	case map[string]any:
		for key, child := range value {
			flattenInto(path+"/"+key, child, values)
		}
	case []any:
		for i, child := range value {
			flattenInto(path+"/"+elementName(i, child), child, values)
		}
	default:
		values[path] = fmt.Sprint(value)
	}
}

// elementName returns the name of a list element, or its index if it has none.
func elementName(i int, child any) string {
	if fields, ok := child.(map[string]any); ok {
		if name, ok := fields["name"].(string); ok {
			return name
		}
	}
	return fmt.Sprint(i)
}
