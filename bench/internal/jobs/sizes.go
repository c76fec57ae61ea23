package jobs

import (
	"math"
	"time"

	glade "indigoglade"
	"indigoglade/memory"
)

// sizesRun compares how many jobs complete when declared sizes are wrong by up to ten times in
// either direction: with the product's placement, with exact declarations, and with two baselines.
// It runs once for each seed.
type sizesRun struct {
	seed              uint64
	measured          bool
	exact             int
	misdeclared       int
	firstFitDone      int
	randomDone        int
	longestOverMemory time.Duration
}

// Dimensions of the comparison. Memory is the resource that hosts run out of first.
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

// percentOfExact returns the completed jobs, in percent of those with exact declarations.
func (r *sizesRun) percentOfExact(seed uint64) (float64, error) {
	r.measure(seed)
	return 100 * float64(r.misdeclared) / float64(r.exact), nil
}

// ratioToFirstFit returns the completed jobs, relative to first-fit placement.
func (r *sizesRun) ratioToFirstFit(seed uint64) (float64, error) {
	r.measure(seed)
	return float64(r.misdeclared) / float64(max(r.firstFitDone, 1)), nil
}

// ratioToRandom returns the completed jobs, relative to placement on random hosts.
func (r *sizesRun) ratioToRandom(seed uint64) (float64, error) {
	r.measure(seed)
	return float64(r.misdeclared) / float64(max(r.randomDone, 1)), nil
}

// overMemoryLags returns the longest time that a host exceeded its memory, in multiples of
// usageLag.
func (r *sizesRun) overMemoryLags(seed uint64) (float64, error) {
	r.measure(seed)
	return r.longestOverMemory.Seconds() / usageLag.Seconds(), nil
}

func sizeFleet() fleetSpec {
	return fleetSpec{hosts: sizeHosts, pools: sizeKinds, cores: 64, memory: 64 * gigabyte}
}

// misdeclaredJob returns a job that declares its memory too small by factor for kind 0, too large
// by factor for kind 1, anything in between for kind 2, and exactly for kind 3.
func (s *sim) misdeclaredJob(factor float64) jobSpec {
	kind := s.rand.IntN(sizeKinds)
	used := int64(4*gigabyte) + s.rand.Int64N(4*gigabyte)
	errorRatio := math.Pow(factor, []float64{-1, 1, 2*s.rand.Float64() - 1, 0}[kind])
	return jobSpec{
		kind: kind, priority: glade.Normal, declared: glade.Resources{Cores: 1, Memory: int64(float64(used) * errorRatio)},
		actual: memory.TaskBehavior{RunTime: glade.Span(time.Duration(15+s.rand.IntN(30)) * time.Second), Memory: used},
	}
}

// initialBacklog is the number of jobs queued at the start; more keep arriving.
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
