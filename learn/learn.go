// Package learn corrects the sizes and run times that jobs declare, from what
// earlier jobs of the same customer and kind used.
package learn

import (
	"slices"
	"time"

	glade "indigoglade"
)

// Bounds of the correction: declarations are trusted this far and no further.
const (
	leastFactor = 1.0 / Most
	mostFactor  = float64(Most)
)

// Most is the greatest correction of a declared size.
const Most = 16

// window is the number of samples that a correction rests on.
const window = 64

// fewest is the number of samples before a correction is used.
const fewest = 3

// quantile is the share of the samples that a corrected size covers.
const quantile = 0.95

// margin widens a corrected size, as the largest of few samples is often
// exceeded by the next one.
const margin = 1.1

// Key names what shares a correction.
type Key struct {
	Customer glade.Customer
	Kind     glade.Service
}

// Model holds the corrections of every key. It is not safe for use by several
// goroutines.
type Model struct {
	memory map[Key]*samples
	time   map[Key]*samples
}

// New returns a model that knows nothing: it returns what is declared.
func New() *Model {
	return &Model{memory: make(map[Key]*samples), time: make(map[Key]*samples)}
}

// Memory returns the memory to reserve for a job that declares bytes.
func (m *Model) Memory(key Key, declared int64) int64 {
	return int64(float64(declared) * m.memory[key].factor())
}

// Time returns the run time to expect of a job that declares d.
func (m *Model) Time(key Key, declared time.Duration) time.Duration {
	return time.Duration(float64(declared) * m.time[key].factor())
}

// SawMemory learns the greatest use of memory of one run. A declaration of zero
// teaches nothing.
func (m *Model) SawMemory(key Key, declared, used int64) {
	record(m.memory, key, float64(declared), float64(used))
}

// SawTime learns the run time of one run.
func (m *Model) SawTime(key Key, declared, took time.Duration) {
	record(m.time, key, float64(declared), float64(took))
}

// Samples returns the number of samples of memory for a key.
func (m *Model) Samples(key Key) int {
	if s := m.memory[key]; s != nil {
		return len(s.ratios)
	}
	return 0
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
	s.add(used / declared)
}

// samples is a ring of the last ratios of use to declaration.
type samples struct {
	ratios []float64
	next   int
	// cached is the factor of the ratios as they are, 0 when not worked out.
	cached float64
}

func (s *samples) add(ratio float64) {
	s.cached = 0
	if len(s.ratios) < window {
		s.ratios = append(s.ratios, ratio)
		return
	}
	s.ratios[s.next] = ratio
	s.next = (s.next + 1) % window
}

// factor returns the correction within its bounds; 1 when nothing is known.
func (s *samples) factor() float64 {
	if s == nil || len(s.ratios) < fewest {
		return 1
	}
	if s.cached == 0 {
		sorted := slices.Sorted(slices.Values(s.ratios))
		at := int(quantile * float64(len(sorted)-1))
		s.cached = min(max(sorted[at]*margin, leastFactor), mostFactor)
	}
	return s.cached
}
