package sched_test

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	glade "indigoglade"
	"indigoglade/sched"
)

// TestUnattainableDemand guards against work that can't start keeping a part of its tenant's limit,
// or the room in it, from work that can.
func TestUnattainableDemand(t *testing.T) {
	const small, large = "small", "large"
	newKinds := func(t *testing.T, share int) *harness {
		r := newLimitedHarness(t, 2, share)
		for i := range r.infos {
			r.infos[i].Labels = []string{small}
		}
		r.sched.SetRunners(r.infos, r.now)
		return r
	}
	asks := func(count int, label string, need glade.Need) glade.Batch {
		return of(acme, batchOf(glade.Step{Count: count, Need: need, Estimate: 3000, Label: label}))
	}
	expectDemand := func(r *harness, wanted, largest int) {
		r.c.Helper()
		d := r.demand(acme)
		r.c.Assert([]glade.Need{d.Wanted, d.Largest}, qt.DeepEquals, []glade.Need{cores(wanted), cores(largest)})
	}
	t.Run("of a kind that the pool lacks, until it gets one", func(t *testing.T) {
		r := newKinds(t, 1)
		r.submit("small", asks(4, small, core))
		r.submit("large", asks(3, large, cores(2)))
		r.advance(200 * time.Millisecond)
		expectDemand(r, 4, 1)
		before := r.sched.DemandGen()
		r.infos[1].Labels = []string{large}
		r.sched.SetRunners(r.infos, r.now)
		r.c.Assert(r.sched.DemandGen() > before, qt.IsTrue)
		expectDemand(r, 4+3*2, 2)
		r.infos[1].Draining = true
		r.sched.SetRunners(r.infos, r.now)
		expectDemand(r, 4, 1)
		r.sched.SetRunners(nil, r.now) // what it will get is not known
		expectDemand(r, 4+3*2, 2)
	})
	t.Run("larger than any runner", func(t *testing.T) {
		r := newKinds(t, 1)
		r.submit("a", asks(2, "", cores(9)))
		r.submit("b", asks(2, "", cores(8)))
		r.advance(200 * time.Millisecond)
		expectDemand(r, 2*8, 8)
	})
	t.Run("larger than the limit beside long-running tasks", func(t *testing.T) {
		r := newKinds(t, 16)
		r.submit("lasting", of(acme, batchOf(glade.Step{Count: 2, Need: cores(4), LongRunning: true})))
		r.advance(200 * time.Millisecond)
		expectDemand(r, 8, 0)
		r.submit("gang", of(acme, batchOf(glade.Step{Count: 5, Need: core, Estimate: 500, Gang: true})))
		r.submit("small", asks(1, small, core))
		r.limit(cores(12), cores(0))
		r.advance(200 * time.Millisecond)
		expectDemand(r, 9, 1)
		r.c.Assert(r.demand(acme).Lasting, qt.Equals, cores(8))
		r.limit(cores(13), cores(0))
		expectDemand(r, 8+5+1, 5)
	})
	// They counted as waiting for the limit, and each of them kept the room for one placement pass.
	for name, step := range map[string]glade.Step{
		"tasks without a runner keep no room": {Count: 1, Need: core, Estimate: 30_000, Label: large},
		"gangs without a runner keep no room": {Count: 2, Need: core, Estimate: 30_000, Label: large, Gang: true},
	} {
		t.Run(name, func(t *testing.T) {
			r := newKinds(t, 2)
			r.sched.SetAllowance(acme, sched.Allowance{Share: cores(2), Reachable: cores(100)})
			for i := range 3 {
				r.submit(glade.BatchID(fmt.Sprint(i)), asks(2, small, core))
				r.advance(100 * time.Millisecond)
				for j := range 50 {
					r.submit(glade.BatchID(fmt.Sprint("large", i, j)), of(acme, batchOf(step)))
				}
			}
			for i := range 3 {
				r.expectRunning(glade.BatchID(fmt.Sprint(i)), 2)
				r.advance(600 * time.Millisecond)
				r.endAll(glade.BatchID(fmt.Sprint(i)), 0, glade.EndDone)
				r.advance(300 * time.Millisecond)
			}
		})
	}
}

// TestHeldForHopelessGang guards against room within a tenant's limit that is kept from its other tasks for a gang
// that has no room on the runners.
func TestHeldForHopelessGang(t *testing.T) {
	expectFree := func(name string, change func(r *harness, step *glade.Step)) {
		t.Run(name, func(t *testing.T) {
			r := newLimitedHarness(t, 2, 4)
			r.submit("long", of(acme, batchOf(glade.Step{Count: 2, Need: core, Estimate: 60_000})))
			r.advance(200 * time.Millisecond)
			r.expectRunning("long", 2)
			step := glade.Step{Count: 3, Need: core, Estimate: 500, Gang: true}
			change(r, &step)
			r.submit("gang", of(acme, batchOf(step)))
			r.advance(1500 * time.Millisecond)
			r.submit("small", of(acme, tasks(2)))
			r.advance(200 * time.Millisecond)
			r.expectRunning("gang", 0)
			r.expectRunning("small", 2)
		})
	}
	expectFree("wider than its runners", func(_ *harness, step *glade.Step) { step.MaxPerRunner = 1 })
	expectFree("with too few runners of its kind", func(r *harness, step *glade.Step) {
		r.infos[0].Labels, step.Label, step.MaxPerRunner = []string{"big"}, "big", 2
		r.sched.SetRunners(r.infos, r.now)
	})
}
