// Package gauge runs measures and compares their values with the bounds of the
// repository's one bounds file.
package gauge

import (
	"fmt"
	"io"

	"github.com/pkg/errors"

	"indigoglade/config"
)

// Measure is one figure that has a bound. It must give the same value for the
// same seed: virtual time, counts, allocations, or a ratio taken in one run.
type Measure struct {
	Name string
	Unit string
	// Run returns the value. An error fails the measure.
	Run func(seed uint64) (float64, error)
}

// BoundSpec configures the bound of one measure.
type BoundSpec struct {
	Name string `json:"name"`
	// Most and Least limit the value; exactly one of them is set.
	Most  *float64 `json:"most"`
	Least *float64 `json:"least"`
}

// BoundsSpec configures every bound.
type BoundsSpec struct {
	Bounds []BoundSpec `json:"bounds"`
}

// ReadBounds reads and checks a bounds file.
func ReadBounds(name string, source []byte) *config.File[BoundsSpec] {
	f := config.Read[BoundsSpec](name, source)
	if !f.Parsed() {
		return f
	}
	seen := make(map[string]bool)
	for i, b := range f.Value().Bounds {
		at := fmt.Sprintf("/bounds/%d", i)
		f.CheckName(at+"/name", b.Name)
		if (b.Most == nil) == (b.Least == nil) {
			f.Add(at, `expected one of "most" and "least"`)
		}
		if seen[b.Name] {
			f.Add(at+"/name", "measure %q is named twice", b.Name)
		}
		seen[b.Name] = true
	}
	return f
}

// Verdict is the result of one measure.
type Verdict string

// Verdicts.
const (
	OK    Verdict = "ok"
	Short Verdict = "short"
	// Known is short, and listed in KNOWN-RED.txt.
	Known Verdict = "known"
)

// Config configures a run.
type Config struct {
	Measures []Measure
	Bounds   BoundsSpec
	// Known holds the names listed in KNOWN-RED.txt.
	Known  map[string]bool
	Seed   uint64
	Output io.Writer
}

// Run runs every measure, prints one row each, and returns an error when one
// is short and not known, has no bound, or a bound has no measure.
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
		if runMeasure(c, m, bound) == Short {
			failures++
		}
	}
	for name := range bounds {
		return errors.Errorf("bound %s has no measure", name)
	}
	fmt.Fprintf(c.Output, "bench: %d passed, %d failed\n", len(c.Measures)-failures, failures)
	if failures > 0 {
		return errors.Errorf("%d measures are short of their bounds", failures)
	}
	return nil
}

// runMeasure runs one measure and prints its runMeasure.
func runMeasure(c Config, m Measure, bound BoundSpec) Verdict {
	value, err := m.Run(c.Seed)
	verdict := verdictFor(bound, value)
	if err != nil {
		verdict = Short
	}
	if verdict == Short && c.Known[m.Name] {
		verdict = Known
	}
	fmt.Fprintf(c.Output, "%-34s %14.4g %-12s %-14s %s\n", m.Name, value, m.Unit, boundText(bound), verdict)
	if err != nil {
		fmt.Fprintf(c.Output, "  %v\n", err)
	}
	return verdict
}

func verdictFor(b BoundSpec, value float64) Verdict {
	if b.Most != nil && value <= *b.Most {
		return OK
	}
	if b.Least != nil && value >= *b.Least {
		return OK
	}
	return Short
}

func boundText(b BoundSpec) string {
	if b.Most != nil {
		return fmt.Sprintf("<= %.4g", *b.Most)
	}
	return fmt.Sprintf(">= %.4g", *b.Least)
}
