package sched

import (
	"maps"
	"slices"

	glade "indigoglade"
)

// poolSizes holds the different capacities of the runners of a pool by their labels, under "" those
// of all runners. Only real runners count: any writer of the platform's list may leave an entry that
// names none.
type poolSizes map[string][]glade.Need

// add adds a runner, and reports whether it is of a new size or label.
func (p poolSizes) add(r *runner) bool {
	added := false
	note := func(label string) {
		if !slices.Contains(p[label], r.info.Capacity) {
			p[label], added = append(p[label], r.info.Capacity), true
		}
	}
	note("")
	for _, label := range r.info.Labels {
		note(label)
	}
	return added
}

// updateSizes finds the sizes of the pool's runners after the list of them has changed.
func (s *Scheduler) updateSizes() {
	sizes := make(poolSizes)
	for _, r := range s.ordered {
		if r.listed && !r.info.Draining && (r.contacted || s.registered[r.info.ID]) {
			sizes.add(r)
		}
	}
	if !maps.EqualFunc(sizes, s.sizes, slices.Equal) {
		s.sizes = sizes
		s.noteSizes()
	}
}

// noteSizes records that other tasks than before may have a runner.
func (s *Scheduler) noteSizes() {
	s.largestStale = true
	s.demandGen++
}

// hasRunnerFor reports whether a runner of the pool can take a task of a step, once others end. A
// pool without runners can take all: its list may not be complete yet, and it will get some.
func (s *Scheduler) hasRunnerFor(rule *glade.Step) bool {
	return len(s.sizes) == 0 || slices.ContainsFunc(s.sizes[rule.Label], allocation(rule).Fits)
}

// isAttainable reports whether a task or gang can start once others end: a runner can take it, and it
// fits into the limit beside the tenant's long-running tasks. One that can't must not keep a part of
// the limit that other services of the tenant wait for.
func (s *Scheduler) isAttainable(t *tenant, rule *glade.Step) bool {
	return t.room(unit(rule), t.lasting, t.limit, 1) == 1 && s.hasRunnerFor(rule)
}
