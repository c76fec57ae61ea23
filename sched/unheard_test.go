package sched_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	glade "indigoglade"
)

// TestUnheardRunner guards against capacity that is not there: another writer has left an entry
// that reads like a runner's, and nothing answers at its address.
func TestUnheardRunner(t *testing.T) {
	newOdd := func(t *testing.T) *harness {
		r := newHarness(qt.New(t), 2, twoCores)
		odd := r.infos[1]
		odd.Capacity = glade.Need{CPU: 1 << 30, Memory: 1 << 40}
		r.infos[1] = odd
		r.runners[odd.ID].unresponsive = true
		r.sched.SetRunners(r.infos, r.now)
		return r
	}
	t.Run("does not count as capacity", func(t *testing.T) {
		r := newOdd(t)
		r.advance(5 * time.Second)
		r.c.Assert(r.sched.Demand(r.now).Capacity, qt.Equals, twoCores.CPU)
		for range 20 {
			r.submit(glade.BatchID(r.now.String()), oneTask(5000))
			r.now = r.now.Add(time.Millisecond)
		}
		r.c.Assert(r.submit("last", oneTask(5000)).Accepted, qt.IsFalse)
	})
	t.Run("is asked less often", func(t *testing.T) {
		r := newOdd(t)
		r.advance(5 * time.Second)
		before := r.attemptsOn["r1"]
		r.advance(20 * time.Second)
		r.c.Assert(r.attemptsOn["r1"]-before <= 11, qt.IsTrue, qt.Commentf("%d heartbeats", r.attemptsOn["r1"]-before))
	})
	t.Run("counts again as soon as it answers", func(t *testing.T) {
		r := newOdd(t)
		r.advance(5 * time.Second)
		r.runners["r1"].unresponsive = false
		r.advance(3 * time.Second)
		r.c.Assert(r.sched.Demand(r.now).Capacity, qt.Equals, twoCores.CPU+1<<30)
	})
}
