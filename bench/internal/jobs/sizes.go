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
	seed     uint64
	known    bool
	exact    int
	wrong    int
	fit      int
	any      int
	longOver time.Duration
}

// Sizes of the comparison. Memory is what hosts run out of first.
const (
	sizeHosts  = 24
	sizeKinds  = 4
	sizeTime   = 3 * time.Minute
	sizeFactor = 10
)

func (r *sizesRun) measure(seed uint64) {
	if r.known && r.seed == seed {
		return
	}
	r.seed, r.known = seed, true
	r.exact, _ = doneWithSizes(seed, 1)
	r.wrong, r.longOver = doneWithSizes(seed, sizeFactor)
	r.fit = newBaseline(seed, false).run(sizeTime)
	r.any = newBaseline(seed, true).run(sizeTime)
}

// perfect returns the placements in percent of those of a perfect declaration.
func (r *sizesRun) perfect(seed uint64) (float64, error) {
	r.measure(seed)
	return 100 * float64(r.wrong) / float64(r.exact), nil
}

// firstFit returns the placements as a multiple of those of first fit.
func (r *sizesRun) firstFit(seed uint64) (float64, error) {
	r.measure(seed)
	return float64(r.wrong) / float64(max(r.fit, 1)), nil
}

// random returns the placements as a multiple of those on random hosts.
func (r *sizesRun) random(seed uint64) (float64, error) {
	r.measure(seed)
	return float64(r.wrong) / float64(max(r.any, 1)), nil
}

// over returns the longest time that a host was over its memory, in lags.
func (r *sizesRun) over(seed uint64) (float64, error) {
	r.measure(seed)
	return r.longOver.Seconds() / usageLag.Seconds(), nil
}

func sizeFleet() fleetSpec {
	return fleetSpec{hosts: sizeHosts, pools: sizeKinds, cores: 64, memory: 64 * gigabyte}
}

// sizedOffer returns a job that declares a factor too little memory for kind 0,
// a factor too much for kind 1, anything between the two for kind 2, and the
// truth for kind 3.
func (s *sim) sizedOffer(factor float64) offer {
	kind := s.rand.IntN(sizeKinds)
	used := int64(4*gigabyte) + s.rand.Int64N(4*gigabyte)
	off := math.Pow(factor, []float64{-1, 1, 2*s.rand.Float64() - 1, 0}[kind])
	return offer{
		kind: kind, priority: glade.Normal, declared: glade.Size{Cores: 1, Memory: int64(float64(used) * off)},
		truth: memory.Truth{Work: glade.Span(time.Duration(15+s.rand.IntN(30)) * time.Second), Memory: used},
	}
}

// sizeBacklog is the number of jobs that wait at first; more keep arriving.
const sizeBacklog = 300

func doneWithSizes(seed uint64, factor float64) (int, time.Duration) {
	s := newSim(seed, sizeFleet(), 1)
	s.warm()
	offers := func(n int) {
		list := make([]offer, n)
		for i := range list {
			list[i] = s.sizedOffer(factor)
		}
		s.accept(list...)
	}
	offers(sizeBacklog)
	over := newOverWatch(s)
	s.each(sizeTime, func() {
		offers(6)
		over.look()
	})
	return s.countPhase(glade.JobDone), over.longest
}

// overWatch finds the longest time that a host uses more memory than it has.
type overWatch struct {
	sim     *sim
	since   map[glade.Host]time.Time
	longest time.Duration
}

func newOverWatch(s *sim) *overWatch {
	return &overWatch{sim: s, since: make(map[glade.Host]time.Time)}
}

func (w *overWatch) look() {
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
