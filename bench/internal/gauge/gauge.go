// Package gauge runs measures and compares their values with the bounds file of the repository.
package gauge

import (
	"fmt"
	"io"

	"github.com/pkg/errors"

	"indigoglade/config"
)

// Measure is a figure that has a bound. It must be reproducible for a seed: virtual time, counts,
// allocations, or a ratio of values taken in one run.
type Measure struct {
	Name string
	Unit string
	// Run returns the value. An error fails the measure.
	Run func(seed uint64) (float64, error)
}

// BoundSpec is the bound of one measure.
type BoundSpec struct {
	Name string `json:"name"`
	// The upper or the lower bound; exactly one of them is set.
	Max *float64 `json:"most"`
	Min *float64 `json:"least"`
}

// BoundsSpec is the content of a bounds file.
type BoundsSpec struct {
	Bounds []BoundSpec `json:"bounds"`
}

// ReadBounds parses a bounds file and collects its problems.
func ReadBounds(name string, source []byte) *config.File[BoundsSpec] {
	f := config.Read[BoundsSpec](name, source)
	if !f.IsParsed() {
		return f
	}
	seen := make(map[string]bool)
	for i, b := range f.Value().Bounds {
		at := fmt.Sprintf("/bounds/%d", i)
		f.CheckName(at+"/name", b.Name)
		if (b.Max == nil) == (b.Min == nil) {
			f.Add(at, `expected one of "most" and "least"`)
		}
		if seen[b.Name] {
			f.Add(at+"/name", "measure %q is listed twice", b.Name)
		}
		seen[b.Name] = true
	}
	return f
}

// Verdict is the result of one measure, as printed in its row.
type Verdict string

// The verdicts. An error counts like a value out of bounds.
const (
	OK          Verdict = "ok"
	OutOfBounds Verdict = "short"
	// KnownFailure is the verdict of a failed measure that KNOWN-RED.txt lists.
	KnownFailure Verdict = "known"
)

// Config holds the parameters of a run.
type Config struct {
	Measures []Measure
	Bounds   BoundsSpec
	// KnownFailures holds the names of the measures that KNOWN-RED.txt lists.
	KnownFailures map[string]bool
	Seed          uint64
	Output        io.Writer
}

// Run runs every measure and prints one row for each. It returns an error if a measure is out of bounds and
// not known, if a measure has no bound, or if a bound has no measure.
func Run(c Config) error {
	fmt.Fprintf(c.Output, "seed %d\n", c.Seed)
	bounds := make(map[string]BoundSpec)
	for _, b := range c.Bounds.Bounds {
		bounds[b.Name] = b
	}
	failures := 0
	for _, m := range c.Measures {
		bound, ok := bounds[m.Name]
		if !ok {
			return errors.Errorf("measure %s has no bound", m.Name)
		}
		delete(bounds, m.Name)
		if runMeasure(c, m, bound) == OutOfBounds {
			failures++
		}
	}
	for name := range bounds {
		return errors.Errorf("bound %s has no measure", name)
	}
	fmt.Fprintf(c.Output, "bench: %d passed, %d failed\n", len(c.Measures)-failures, failures)
	if failures > 0 {
		return errors.Errorf("%d measures do not meet their bounds", failures)
	}
	return nil
}

// runMeasure runs one measure and prints its row.
func runMeasure(c Config, m Measure, bound BoundSpec) Verdict {
	value, err := m.Run(c.Seed)
	verdict := verdictFor(bound, value)
	if err != nil {
		verdict = OutOfBounds
	}
	if verdict == OutOfBounds && c.KnownFailures[m.Name] {
		verdict = KnownFailure
	}
	fmt.Fprintf(c.Output, "%-34s %14.4g %-12s %-14s %s\n", m.Name, value, m.Unit, boundText(bound), verdict)
	if err != nil {
		fmt.Fprintf(c.Output, "  %v\n", err)
	}
	return verdict
}

func verdictFor(b BoundSpec, value float64) Verdict {
	if b.Max != nil && value <= *b.Max {
		return OK
	}
	if b.Min != nil && value >= *b.Min {
		return OK
	}
	return OutOfBounds
}

func boundText(b BoundSpec) string {
	if b.Max != nil {
		return fmt.Sprintf("<= %.4g", *b.Max)
	}
	return fmt.Sprintf(">= %.4g", *b.Min)
}
