package jobs

import (
	"math"
	"time"

	glade "indigoglade"
	"indigoglade/memory"
)

// sizesRun compares placements when declared sizes are off by ten times either
// way with those of a perfect declaration and of simpler ways, measured once
// for each seed. A placement counts when its job came to its result.
type sizesRun struct {
	seed              uint64
	measured          bool
	exact             int
	misdeclared       int
	firstFitDone      int
	randomDone        int
	longestOverMemory time.Duration
}

// Sizes of the comparison. Memory is what hosts run out of first.
const (
	sizeHosts       = 24
	sizeKinds       = 4
	sizeTime        = 3 * time.Minute
	sizeErrorFactor = 10
)

func (r *sizesRun) measure(seed uint64) {
	if r.measured && r.seed == seed {
		return
	}
	r.seed, r.measured = seed, true
	r.exact, _ = completedWithSizes(seed, 1)
	r.misdeclared, r.longestOverMemory = completedWithSizes(seed, sizeErrorFactor)
	r.firstFitDone = newBaseline(seed, false).run(sizeTime)
	r.randomDone = newBaseline(seed, true).run(sizeTime)
}

// percentOfExact returns the placements in percent of those of a percentOfExact declaration.
func (r *sizesRun) percentOfExact(seed uint64) (float64, error) {
	r.measure(seed)
	return 100 * float64(r.misdeclared) / float64(r.exact), nil
}

// ratioToFirstFit returns the placements as a multiple of those of first fit.
func (r *sizesRun) ratioToFirstFit(seed uint64) (float64, error) {
	r.measure(seed)
	return float64(r.misdeclared) / float64(max(r.firstFitDone, 1)), nil
}

// ratioToRandom returns the placements as a multiple of those on ratioToRandom hosts.
func (r *sizesRun) ratioToRandom(seed uint64) (float64, error) {
	r.measure(seed)
	return float64(r.misdeclared) / float64(max(r.randomDone, 1)), nil
}

// overMemoryLags returns the longest time that a host was overMemoryLags its memory, in lags.
func (r *sizesRun) overMemoryLags(seed uint64) (float64, error) {
	r.measure(seed)
	return r.longestOverMemory.Seconds() / usageLag.Seconds(), nil
}

func sizeFleet() fleetSpec {
	return fleetSpec{hosts: sizeHosts, pools: sizeKinds, cores: 64, memory: 64 * gigabyte}
}

// misdeclaredJob returns a job that declares a factor too little memory for kind 0,
// a factor too much for kind 1, anything between the two for kind 2, and the
// truth for kind 3.
func (s *sim) misdeclaredJob(factor float64) jobSpec {
	kind := s.rand.IntN(sizeKinds)
	used := int64(4*gigabyte) + s.rand.Int64N(4*gigabyte)
	errorRatio := math.Pow(factor, []float64{-1, 1, 2*s.rand.Float64() - 1, 0}[kind])
	return jobSpec{
		kind: kind, priority: glade.Normal, declared: glade.Size{Cores: 1, Memory: int64(float64(used) * errorRatio)},
		actual: memory.Truth{Work: glade.Span(time.Duration(15+s.rand.IntN(30)) * time.Second), Memory: used},
	}
}

// initialBacklog is the number of jobs that wait at first; more keep arriving.
const initialBacklog = 300

func completedWithSizes(seed uint64, factor float64) (int, time.Duration) {
	s := newSim(seed, sizeFleet(), 1)
	s.warmUp()
	submit := func(n int) {
		list := make([]jobSpec, n)
		for i := range list {
			list[i] = s.misdeclaredJob(factor)
		}
		s.accept(list...)
	}
	submit(initialBacklog)
	monitor := newMemoryMonitor(s)
	s.runFor(sizeTime, func() {
		submit(6)
		monitor.sample()
	})
	return s.countPhase(glade.JobDone), monitor.longest
}

// memoryMonitor finds the longest time that a host uses more memory than it has.
type memoryMonitor struct {
	sim     *sim
	since   map[glade.Host]time.Time
	longest time.Duration
}

func newMemoryMonitor(s *sim) *memoryMonitor {
	return &memoryMonitor{sim: s, since: make(map[glade.Host]time.Time)}
}

func (w *memoryMonitor) sample() {
	now := w.sim.clock.Now()
	for _, listed := range w.sim.hosts {
		if w.sim.workers.Memory(listed.Host) <= listed.Memory {
			delete(w.since, listed.Host)
			continue
		}
		if _, known := w.since[listed.Host]; !known {
			w.since[listed.Host] = now
		}
		w.longest = max(w.longest, now.Sub(w.since[listed.Host]))
	}
}
