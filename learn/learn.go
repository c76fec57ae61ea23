// Package learn corrects the sizes and run times that jobs declare, from what
// earlier jobs of the same customer and kind used.
package learn

import (
	"math"
	"math/bits"
	"slices"
	"time"

	glade "indigoglade"
)

// Most is the greatest correction of a declaration, up or down. Beyond it the
// declaration is kept at the bound.
const Most = 16

// window is the number of samples that a correction rests on.
const window = 64

// fewest is the number of samples before a correction is used.
const fewest = 3

// quantile is the share of the samples that a correction covers.
const quantile = 0.95

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

// New returns a model that knows nothing.
func New() *Model {
	return &Model{memory: make(map[Key]*samples), time: make(map[Key]*samples)}
}

// Memory returns the memory to reserve for a job that declares bytes. Of a kind
// that is not known the worst is expected: its first runs get room, and show the
// truth.
func (m *Model) Memory(key Key, declared int64) int64 {
	if !m.IsKnown(key) {
		return declared * Most
	}
	return int64(m.memory[key].predict(float64(declared)))
}

// IsKnown tells whether enough runs of a kind were seen to correct its memory.
func (m *Model) IsKnown(key Key) bool {
	s := m.memory[key]
	return s != nil && len(s.ratios) >= fewest
}

// Generation returns a number that rises when predictions of a kind's memory may
// have changed much: often at first, then once for each full window.
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

// Time returns the run time to expect of a job that declares d.
func (m *Model) Time(key Key, declared time.Duration) time.Duration {
	s := m.time[key]
	if s == nil || len(s.ratios) < fewest {
		return declared
	}
	return time.Duration(s.predict(float64(declared)))
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

// samples holds the last runs of a kind, as the ratio of use to declaration and
// as the use itself.
//
// Where callers are wrong by the same factor each time, the ratios lie close
// together and the use follows the declaration. Where they guess, the
// declaration says little, and the use alone is the better prediction. Whichever
// lies closer together is taken.
type samples struct {
	ratios []float64
	uses   []float64
	count  int
	// fresh tells that ratio and use are those of the samples as they are.
	fresh bool
	ratio spread
	use   spread
}

// spread is a high quantile, and how far it is above the median.
type spread struct {
	high  float64
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

// predict returns the use to expect of a declaration, within the bounds of the
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
