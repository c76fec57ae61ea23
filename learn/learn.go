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

// MaxCorrection is the factor by which a prediction may exceed or fall below
// the declared value. A prediction beyond it is clamped.
const MaxCorrection = 16

// windowSamples is the number of latest samples that a prediction is based on.
const windowSamples = 64

// minSamples is the number of samples that a prediction needs.
const minSamples = 3

// predictedQuantile is the quantile of the samples that a prediction returns.
const predictedQuantile = 0.95

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
// bytes. While the kind has too few samples that is MaxCorrection times the
// declared bytes, so that the first runs have enough memory and show the real usage.
func (m *Model) Memory(key Key, declared int64) int64 {
	if !m.CanPredictMemory(key) {
		return declared * MaxCorrection
	}
	return int64(m.memory[key].predict(float64(declared)))
}

// CanPredictMemory reports whether there are enough samples to predict the memory of a kind.
func (m *Model) CanPredictMemory(key Key) bool {
	s := m.memory[key]
	return s != nil && len(s.ratios) >= minSamples
}

// MemoryGeneration returns a number that increases when the memory predictions of a
// kind may have changed considerably: often at first, then once per window of samples.
func (m *Model) MemoryGeneration(key Key) int {
	s := m.memory[key]
	if s == nil {
		return 0
	}
	if s.count < windowSamples {
		return bits.Len(uint(s.count / minSamples))
	}
	return windowSamples + s.count/windowSamples
}

// Time returns the expected run time of a job, given the declared time. While the
// kind has too few samples that is the declared time.
func (m *Model) Time(key Key, declared time.Duration) time.Duration {
	s := m.time[key]
	if s == nil || len(s.ratios) < minSamples {
		return declared
	}
	return time.Duration(s.predict(float64(declared)))
}

// ObserveMemory adds a sample of the peak memory of a run, in bytes. A sample
// in which either value is not positive is ignored.
func (m *Model) ObserveMemory(key Key, declared, used int64) {
	addSample(m.memory, key, float64(declared), float64(used))
}

// ObserveTime adds a sample of the duration of a run. A sample in which either
// value is not positive is ignored.
func (m *Model) ObserveTime(key Key, declared, took time.Duration) {
	addSample(m.time, key, float64(declared), float64(took))
}

func addSample(all map[Key]*samples, key Key, declared, usage float64) {
	if declared <= 0 || usage <= 0 {
		return
	}
	s := all[key]
	if s == nil {
		s = &samples{}
		all[key] = s
	}
	s.add(usage/declared, usage)
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
	usages []float64
	// count is the number of samples ever added.
	count int
	// spreadsValid is set while ratioSpread and usageSpread are up to date with
	// the samples.
	spreadsValid bool
	ratioSpread  spread
	usageSpread  spread
}

// spread describes the distribution of samples.
type spread struct {
	// high is the quantile that is predicted.
	high float64
	// width is the ratio of high to the median.
	width float64
}

func (s *samples) add(ratio, usage float64) {
	s.spreadsValid = false
	i := s.count % windowSamples
	s.count++
	if len(s.ratios) < windowSamples {
		s.ratios = append(s.ratios, ratio)
		s.usages = append(s.usages, usage)
		return
	}
	s.ratios[i] = ratio
	s.usages[i] = usage
}

// predict returns the expected usage for a declared value, clamped to the maximum
// correction.
func (s *samples) predict(declared float64) float64 {
	if !s.spreadsValid {
		s.ratioSpread = newSpread(s.ratios)
		s.usageSpread = newSpread(s.usages)
		s.spreadsValid = true
	}
	expected := declared * s.ratioSpread.high
	if s.usageSpread.width < s.ratioSpread.width {
		expected = s.usageSpread.high
	}
	return min(max(expected, declared/MaxCorrection), declared*MaxCorrection)
}

func newSpread(values []float64) spread {
	sorted := slices.Sorted(slices.Values(values))
	last := float64(len(sorted) - 1)
	high := sorted[int(math.Ceil(predictedQuantile*last))]
	return spread{high: high, width: high / sorted[int(last/2)]}
}
