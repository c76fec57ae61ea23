// Package learn predicts the memory usage and run time of jobs from earlier jobs of
// the same customer and kind, and detects hosts on which jobs fail.
package learn

import (
	"math"
	"math/bits"
	"slices"
	"time"

	glade "indigoglade"
)

// Most is the factor by which a prediction may exceed or fall below the declared
// value. A prediction beyond it is clamped.
const Most = 16

// window is the number of latest samples that a prediction is based on.
const window = 64

// fewest is the number of samples that a prediction needs.
const fewest = 3

// quantile is the quantile of the samples that is predicted.
const quantile = 0.95

// Key identifies the jobs that share predictions.
type Key struct {
	Customer glade.Customer
	Kind     glade.Service
}

// Model predicts the memory usage and run time of jobs. It is not safe for
// concurrent use.
type Model struct {
	memory map[Key]*samples
	time   map[Key]*samples
}

// New returns a model without samples.
func New() *Model {
	return &Model{memory: make(map[Key]*samples), time: make(map[Key]*samples)}
}

// Memory returns the memory to reserve for a job, in bytes, given the declared
// bytes. While the kind has too few samples it returns the maximum, so that the
// first runs have enough memory and show the real usage.
func (m *Model) Memory(key Key, declared int64) int64 {
	if !m.IsKnown(key) {
		return declared * Most
	}
	return int64(m.memory[key].predict(float64(declared)))
}

// IsKnown reports whether there are enough samples to predict the memory of a kind.
func (m *Model) IsKnown(key Key) bool {
	s := m.memory[key]
	return s != nil && len(s.ratios) >= fewest
}

// Generation returns a number that increases when the memory predictions of a kind
// may have changed considerably: often at first, then once per window of samples.
func (m *Model) Generation(key Key) int {
	s := m.memory[key]
	if s == nil {
		return 0
	}
	if s.count < window {
		return bits.Len(uint(s.count / fewest))
	}
	return window + s.count/window
}

// Time returns the expected run time of a job, given the declared time. While the
// kind has too few samples that is the declared time.
func (m *Model) Time(key Key, declared time.Duration) time.Duration {
	s := m.time[key]
	if s == nil || len(s.ratios) < fewest {
		return declared
	}
	return time.Duration(s.predict(float64(declared)))
}

// SawMemory adds a sample of the peak memory of a run, in bytes. A sample in which
// either value is not positive is ignored.
func (m *Model) SawMemory(key Key, declared, used int64) {
	record(m.memory, key, float64(declared), float64(used))
}

// SawTime adds a sample of the duration of a run. A sample in which either value is
// not positive is ignored.
func (m *Model) SawTime(key Key, declared, took time.Duration) {
	record(m.time, key, float64(declared), float64(took))
}

func record(all map[Key]*samples, key Key, declared, used float64) {
	if declared <= 0 || used <= 0 {
		return
	}
	s := all[key]
	if s == nil {
		s = &samples{}
		all[key] = s
	}
	s.add(used/declared, used)
}

// samples holds the usage of the latest runs of a kind, both as an absolute value
// and as a ratio to the declared value.
//
// When callers are wrong by a constant factor, the ratios vary little and the usage
// is proportional to the declaration. When callers guess, the declaration says
// little, and the absolute usage predicts better. The prediction uses whichever of
// the two has the smaller spread.
type samples struct {
	ratios []float64
	uses   []float64
	// count is the number of samples ever added.
	count int
	// fresh is set while ratio and use are up to date with the samples.
	fresh bool
	ratio spread
	use   spread
}

// spread describes the distribution of samples.
type spread struct {
	// high is the quantile that is predicted.
	high float64
	// width is the ratio of high to the median.
	width float64
}

func (s *samples) add(ratio, use float64) {
	s.fresh = false
	at := s.count % window
	s.count++
	if len(s.ratios) < window {
		s.ratios = append(s.ratios, ratio)
		s.uses = append(s.uses, use)
		return
	}
	s.ratios[at] = ratio
	s.uses[at] = use
}

// predict returns the expected usage for a declared value, clamped to the maximum
// correction.
func (s *samples) predict(declared float64) float64 {
	if !s.fresh {
		s.ratio = spreadOf(s.ratios)
		s.use = spreadOf(s.uses)
		s.fresh = true
	}
	expected := declared * s.ratio.high
	if s.use.width < s.ratio.width {
		expected = s.use.high
	}
	return min(max(expected, declared/Most), declared*Most)
}

func spreadOf(values []float64) spread {
	sorted := slices.Sorted(slices.Values(values))
	last := float64(len(sorted) - 1)
	high := sorted[int(math.Ceil(quantile*last))]
	return spread{high: high, width: high / sorted[int(last/2)]}
}
