package sched_test

import (
	"encoding/json"
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	glade "indigoglade"
	"indigoglade/sched"
)

// awaitRegistered goes on until some runners are registered.
func (r *harness) awaitRegistered(count int) {
	r.c.Helper()
	for end := r.now.Add(10 * time.Second); r.now.Before(end) && len(r.registered.Runners) != count; {
		r.advance(20 * time.Millisecond)
	}
	r.c.Assert(r.registered.Runners, qt.HasLen, count)
}

// TestRegistrySize guards against a row of the runners that the store rejects: then nothing starts on a runner that no
// earlier leader has used.
func TestRegistrySize(t *testing.T) {
	expectRows := func(name string, runners, idBytes, rows int) {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			r := newHarness(c, 1, twoCores)
			var known sched.RegistryRow
			for i := range runners {
				known.Runners = append(known.Runners, glade.RunnerID(fmt.Sprintf("i-%0*d", idBytes-2, i)))
				known.Born = append(known.Born, 99_999)
				r.infos = append(r.infos, glade.RunnerInfo{ID: known.Runners[i], Address: "a", Service: service, Capacity: twoCores})
				r.runners[known.Runners[i]] = &fakeRunner{unresponsive: true}
			}
			known.Lost = []int64{1, 2, 3}
			r.takeOver(2)
			r.sched.LoadRegistered(known)
			r.awaitRegistered(runners + 1) // r0
			r.takeOver(3)
			r.sched.LoadRegistered(r.registered)
			r.addRunner("r1")
			for !r.sched.HasWrites() {
				r.tick()
				r.now = r.now.Add(20 * time.Millisecond)
				r.storeDown = true
			}
			w := r.sched.BeginWrite()
			c.Assert(w.Len(), qt.Equals, rows)
			var parts []sched.RegistryRow
			count := 0
			for i, row := range w.Rows {
				c.Assert(row.Part, qt.Equals, i)
				c.Assert(len(row.Value) <= glade.MaxRowBytes, qt.IsTrue, qt.Commentf("%d bytes", len(row.Value)))
				var part sched.RegistryRow
				c.Assert(json.Unmarshal(row.Value, &part), qt.IsNil)
				parts = append(parts, part)
				count += len(part.Runners)
			}
			c.Assert(parts[0].Lost, qt.DeepEquals, known.Lost)
			c.Assert(max(parts[0].Parts, 1), qt.Equals, rows)
			c.Assert(count, qt.Equals, len(w.Registered.Runners))

			r.takeOver(4)
			r.sched.LoadRegistered(parts...)
			r.storeDown = false
			r.addRunner("r2")
			r.awaitRegistered(runners + 3)
		})
	}
	expectRows("one row", 1500, 12, 1)
	expectRows("several rows", 6000, 12, 3)
	expectRows("long ids", 3000, 40, 4)
}
