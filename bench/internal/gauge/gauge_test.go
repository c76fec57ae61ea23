package gauge_test

import (
	"bytes"
	"testing"

	qt "github.com/frankban/quicktest"
	"github.com/pkg/errors"

	"indigoglade/bench/internal/gauge"
)

const bounds = `{ "bounds": [{ "name": "low", "most": 2 }, { "name": "high", "least": 2 }] }`

func fixed(name string, value float64, err error) gauge.Measure {
	return gauge.Measure{Name: name, Unit: "n", Run: func(uint64) (float64, error) { return value, err }}
}

// expectRun checks whether a run passes and what it prints.
func expectRun(t *testing.T, name string, passes bool, want string, known map[string]bool, measures ...gauge.Measure) {
	t.Helper()
	t.Run(name, func(t *testing.T) {
		f := gauge.ReadBounds("bounds", []byte(bounds))
		qt.Assert(t, f.Problems(), qt.HasLen, 0)
		var out bytes.Buffer
		err := gauge.Run(gauge.Config{Measures: measures, Bounds: f.Value(), KnownFailures: known, Seed: 7, Output: &out})
		qt.Check(t, err == nil, qt.Equals, passes, qt.Commentf("%v", err))
		qt.Check(t, out.String(), qt.Contains, want)
	})
}

func TestRun(t *testing.T) {
	low, high := fixed("low", 2, nil), fixed("high", 2, nil)
	expectRun(t, "at the bounds", true, "bench: 2 passed, 0 failed", nil, low, high)
	expectRun(t, "over", false, "short", nil, fixed("low", 2.1, nil), high)
	expectRun(t, "under", false, "short", nil, low, fixed("high", 1.9, nil))
	expectRun(t, "known", true, "known", map[string]bool{"low": true}, fixed("low", 3, nil), high)
	expectRun(t, "broken", false, "no route", nil, fixed("low", 0, errors.New("no route")), high)
	expectRun(t, "without a bound", false, "seed 7", nil, low, high, fixed("other", 0, nil))
	expectRun(t, "bound without a measure", false, "seed 7", nil, low)
}

func TestReadBounds(t *testing.T) {
	f := gauge.ReadBounds("b", []byte(`{ "bounds": [{ "name": "a" }, { "name": "a", "most": 1 }] }`))
	qt.Check(t, f.Problems(), qt.HasLen, 2)
}
