package sched_test

import (
	"fmt"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	glade "indigoglade"
	"indigoglade/sched"
	"indigoglade/seeds"
)

// TestWriteSize guards against a transaction that the store rejects because it is too large: many batches
// with large rows change while the store is down.
func TestWriteSize(t *testing.T) {
	const batches, tasks = 100, 150
	r := newHarness(qt.New(t), 10, glade.Need{CPU: 10_000_000, Memory: 10_000_000})
	r.advance(time.Second)
	for i := range batches {
		r.submit(glade.BatchID(fmt.Sprint(i)), batchOf(glade.Step{Count: tasks, Need: core, Estimate: 60_000, SavesCheckpoints: true}))
	}
	for sum := 0; sum < batches*tasks; { // 256 starts a pass
		r.advance(100 * time.Millisecond)
		sum = 0
		for _, f := range r.runners {
			sum += len(f.running)
		}
	}
	r.storeDown = true
	for _, f := range r.runners {
		for i := range f.running {
			f.running[i].Checkpoint = strings.Repeat("c", 64)
		}
	}
	r.advance(500 * time.Millisecond)
	for _, f := range r.runners {
		f.endSome(func(int, glade.ActiveRun) glade.EndReason { return glade.EndFailed })
	}
	r.advance(500 * time.Millisecond)
	r.storeDown = false
	r.advance(500 * time.Millisecond)
	r.c.Assert(len(r.progressRows), qt.Equals, batches)
	r.c.Assert(r.mostBytes > glade.MaxTxnBytes/2, qt.IsTrue, qt.Commentf("%d bytes", r.mostBytes))
}

// TestRowSizes guards against rows and transactions that the store rejects, whatever the shape of batches
// and whatever their tasks do. The harness checks each write.
func TestRowSizes(t *testing.T) {
	largest := 0
	seeds.Check(t, 12, func(rt *rapid.T) {
		r := newHarness(qt.New(t), 4, glade.Need{CPU: 100_000_000, Memory: 100_000_000})
		r.advance(time.Second)
		room := 16_384
		for i := range rapid.IntRange(1, 6).Draw(rt, "batches") {
			steps := rapid.IntRange(1, 64).Draw(rt, "steps")
			count := min(rapid.IntRange(1, 1024).Draw(rt, "tasks"), max(room/steps/2, 1))
			times := min(rapid.IntRange(0, 1024).Draw(rt, "times"), room/steps/count)
			work := glade.Batch{Spec: "x", Times: times, FirstDue: r.now.UnixMilli(), Interval: rapid.Int64Range(0, 2).Draw(rt, "interval")}
			isChain := rapid.Bool().Draw(rt, "chain")
			for k := range steps {
				step := glade.Step{Count: count, Need: core, Estimate: 60_000, SavesCheckpoints: true}
				if isChain && k > 0 {
					step.After = []int{k - 1}
				}
				work.Steps = append(work.Steps, step)
			}
			r.submit(glade.BatchID(fmt.Sprint(i)), work)
			room -= sched.Summarize(work).Tasks
			if room < 64 {
				break
			}
		}
		ends := []glade.EndReason{glade.EndDone, glade.EndDone, glade.EndDone, glade.EndFailed}
		for round := range 6 {
			r.storeDown = rapid.Bool().Draw(rt, "down") && round < 5
			share := rapid.IntRange(1, 10).Draw(rt, "share")
			if rapid.IntRange(0, 3).Draw(rt, "crash") == 0 {
				r.runners["r0"].running, r.runners["r0"].incarnation = nil, r.runners["r0"].incarnation+1
			}
			for _, f := range r.runners {
				f.endSome(func(i int, _ glade.ActiveRun) glade.EndReason {
					if i%10 < share {
						return ends[i%len(ends)]
					}
					return ""
				})
				for i := range f.running {
					f.running[i].Checkpoint = strings.Repeat("c", i%64)
				}
			}
			r.advance(600 * time.Millisecond)
		}
		for _, row := range r.progressRows {
			largest = max(largest, len(sched.Encode(row)))
		}
	})
	qt.Assert(t, largest > glade.MaxRowBytes/4, qt.IsTrue, qt.Commentf("%d bytes", largest))
}

// TestRejectedRow guards against a service that writes nothing any more, because the store rejects one row
// and with it each transaction that has it.
func TestRejectedRow(t *testing.T) {
	newRejecting := func(t *testing.T, batches int) *harness {
		r := newHarness(qt.New(t), 2, glade.Need{CPU: 1_000_000, Memory: 1_000_000})
		r.isRejected = func(row sched.EncodedRow) bool { return row.Kind == sched.KindProgress && row.Batch == "bad" }
		r.advance(time.Second)
		r.submit("bad", oneTask(60_000))
		for i := range batches {
			r.submit(glade.BatchID(fmt.Sprint(i)), oneTask(60_000))
		}
		r.advance(time.Second)
		return r
	}
	for _, batches := range []int{1, 2, 7, 60} {
		t.Run(fmt.Sprintf("beside %d other batches", batches), func(t *testing.T) {
			r := newRejecting(t, batches)
			r.storeDown = true // so that one write has all of them
			r.endAll("bad", 0, glade.EndFailed)
			for i := range batches {
				r.endAll(glade.BatchID(fmt.Sprint(i)), 0, glade.EndDone)
			}
			r.advance(500 * time.Millisecond)
			r.storeDown = false
			r.advance(500 * time.Millisecond)
			for i := range batches {
				r.expectState(glade.BatchID(fmt.Sprint(i)), glade.BatchDone)
				r.c.Assert(r.progressRows[glade.BatchID(fmt.Sprint(i))].State, qt.Equals, glade.BatchDone)
			}
			before := r.rejected
			r.advance(2 * time.Second)
			r.c.Assert(r.rejected, qt.Equals, before)
			r.isRejected = nil
			r.endAll("bad", 0, glade.EndDone)
			r.advance(6 * time.Second)
			r.c.Assert(r.progressRows["bad"].State, qt.Equals, glade.BatchDone)
		})
	}
	t.Run("of a submitted batch", func(t *testing.T) {
		r := newRejecting(t, 1)
		r.isRejected = func(row sched.EncodedRow) bool { return row.Batch == "large" }
		admission := r.submit("large", oneTask(500))
		r.submit("small", oneTask(500))
		r.advance(200 * time.Millisecond)
		r.c.Assert(r.sched.IsWritten("large", admission.Gen), qt.IsFalse)
		r.c.Assert(r.sched.IsUnstorable("large"), qt.IsTrue)
		r.expectRunning("large", 0)
		r.expectRunning("small", 1)
	})
	t.Run("too large for any store", func(t *testing.T) {
		r := newRejecting(t, 1)
		r.isRejected = nil
		work := oneTask(500)
		work.Spec = strings.Repeat("x", glade.MaxRowBytes)
		r.submit("large", work)
		r.submit("small", oneTask(500))
		r.advance(200 * time.Millisecond)
		r.c.Assert(r.sched.IsUnstorable("large"), qt.IsTrue)
		r.expectRunning("small", 1)
	})
	t.Run("of the runners", func(t *testing.T) {
		r := newHarness(qt.New(t), 2, twoCores)
		r.isRejected = func(row sched.EncodedRow) bool { return row.Kind == sched.KindRegistry }
		r.submit("a", oneTask(500))
		r.advance(time.Second)
		r.c.Assert(r.workRows["a"].Queue, qt.Equals, queue)
		r.isRejected = nil
		r.advance(6 * time.Second)
		r.expectRunning("a", 1)
	})
}
