package config

import (
	"fmt"
	"io"
	"os"

	"github.com/pkg/errors"
)

// LoadNode reads the settings of an entry or keeper process from a file. It
// writes every problem to output and returns an error if there are any.
func LoadNode(name string, output io.Writer) (NodeSpec, error) {
	source, err := os.ReadFile(name)
	if err != nil {
		return NodeSpec{}, errors.Wrap(err, "read settings")
	}
	return ReportProblems(ReadNode(name, source), output)
}

// ReportProblems writes every problem of a file to output, and returns the value of the
// file only if there are none.
func ReportProblems[T any](f *File[T], output io.Writer) (T, error) {
	for _, p := range f.Problems() {
		fmt.Fprintln(output, p)
	}
	if n := len(f.Problems()); n > 0 {
		var zero T
		return zero, errors.Errorf("%s: %d problems; nothing was started or changed", f.name, n)
	}
	return f.Value(), nil
}
