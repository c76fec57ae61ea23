package sched_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	glade "indigoglade"
)

// runNumbers returns the run numbers of the starts so far, in their order.
func (r *rig) numbers() []int64 {
	var numbers []int64
	for _, order := range r.given {
		numbers = append(numbers, order.Run)
	}
	return numbers
}

func TestGang(t *testing.T) {
	gang := glade.Step{Count: 3, Need: core, Estimate: 1000, Gang: true}
	t.Run("starts as a whole, with one run number", func(t *testing.T) {
		r := newRig(qt.New(t), 2, twoFit)
		r.submit("a", steps(gang))
		r.play(500 * time.Millisecond)
		r.c.Assert(r.numbers(), qt.DeepEquals, []int64{1, 1, 1})
	})
	t.Run("waits until there is room for all tasks", func(t *testing.T) {
		r := newRig(qt.New(t), 2, twoFit)
		r.submit("busy", steps(glade.Step{Count: 2, Need: core, Estimate: 9000}))
		r.play(500 * time.Millisecond)
		r.submit("a", steps(gang))
		r.play(500 * time.Millisecond)
		r.c.Assert(r.running("a"), qt.Equals, 0)
		r.endAll("busy", 0, glade.EndDone)
		r.play(500 * time.Millisecond)
		r.c.Assert(r.running("a"), qt.Equals, 3)
	})
	t.Run("restarts as a whole when one start is refused", func(t *testing.T) {
		r := newRig(qt.New(t), 3, twoFit)
		r.play(500 * time.Millisecond)
		r.refuseStarts = 1
		r.submit("a", steps(gang))
		r.play(2 * time.Second)
		r.c.Assert(r.running("a"), qt.Equals, 3)
		r.c.Assert(r.numbers(), qt.DeepEquals, []int64{1, 1, 2, 2, 2})
	})
	t.Run("is done when one task is done", func(t *testing.T) {
		r := newRig(qt.New(t), 2, twoFit)
		r.submit("a", steps(gang))
		r.play(500 * time.Millisecond)
		for _, f := range r.runs {
			if len(f.running) > 0 {
				f.end(f.running[0].Task, f.running[0].Run, glade.EndDone)
				break
			}
		}
		r.play(500 * time.Millisecond)
		r.expectState("a", glade.BatchDone)
	})
	t.Run("counts the failures of all of its tasks together", func(t *testing.T) {
		r := newRig(qt.New(t), 2, twoFit)
		r.submit("a", steps(gang))
		for i := range 3 {
			r.play(500 * time.Millisecond)
			for _, f := range r.runs {
				for _, active := range append([]glade.ActiveRun(nil), f.running...) {
					how := glade.EndBroken
					if active.Task.Index == i {
						how = glade.EndFailed
					}
					f.end(active.Task, active.Run, how)
				}
			}
		}
		r.play(500 * time.Millisecond)
		r.expectState("a", glade.BatchFailed)
	})
	t.Run("resumes from the newest checkpoint of any of its tasks", func(t *testing.T) {
		saves := gang
		saves.Saves = true
		r := newRig(qt.New(t), 2, twoFit)
		r.submit("a", steps(saves))
		r.play(500 * time.Millisecond)
		for _, f := range r.runs {
			for i := range f.running {
				if f.running[i].Task.Index == 1 {
					f.running[i].Saved = "half"
				}
			}
		}
		r.play(time.Second)
		r.endAll("a", 0, glade.EndBroken)
		r.given = nil
		r.play(500 * time.Millisecond)
		r.c.Assert(r.given, qt.HasLen, 3)
		for _, order := range r.given {
			r.c.Assert(order.Saved, qt.Equals, "half")
		}
	})
}

func TestOccurrences(t *testing.T) {
	t.Run("start when they are due, and may overlap", func(t *testing.T) {
		r := newRig(qt.New(t), 2, twoFit)
		work := steps(glade.Step{Count: 1, Need: core, Estimate: 1000})
		work.Times, work.First, work.Every = 3, r.now.Add(2*time.Second).UnixMilli(), 1000
		r.submit("a", work)
		for _, want := range []int{0, 1, 2, 3} {
			r.c.Assert(r.running("a"), qt.Equals, want)
			r.play(map[bool]time.Duration{true: 2100 * time.Millisecond, false: time.Second}[want == 0])
		}
		r.endAll("a", 0, glade.EndDone)
		r.play(500 * time.Millisecond)
		r.expectState("a", glade.BatchDone)
	})
}

func TestAdvice(t *testing.T) {
	t.Run("is requested until a runner is allowed, once for each runner", func(t *testing.T) {
		r := newRig(qt.New(t), 30, twoFit)
		r.sched.SetRules(glade.Rules{Version: 2, Queues: []glade.QueueRule{{
			Queue: queue, Service: service, Attempts: 3, Stretch: 2, Slack: time.Second, Advised: true,
		}}})
		r.approved = map[glade.RunnerID]bool{"r9": true}
		r.submit("a", steps(glade.Step{Count: 2, Need: core, Estimate: 1000}))
		r.play(time.Second)
		r.c.Assert(r.running("a"), qt.Equals, 2)
		r.c.Assert(r.given[0].Ticket, qt.Equals, "tr9")
		sum := 0
		for _, n := range r.asked {
			sum += n
		}
		r.c.Assert(sum <= 30, qt.IsTrue, qt.Commentf("%v", r.asked))
	})
}

func TestCopies(t *testing.T) {
	expectCopy := func(name string, st glade.Step, busy int, want int) {
		t.Run(name, func(t *testing.T) {
			r := newRig(qt.New(t), 2, twoFit)
			r.submit("a", steps(st))
			if busy > 0 {
				r.submit("busy", steps(glade.Step{Count: busy, Need: core, Estimate: 9000}))
			}
			r.play(2 * time.Second)
			r.c.Assert(r.running("a"), qt.Equals, want)
			r.endAll("a", 0, glade.EndDone)
			r.play(500 * time.Millisecond)
			r.expectState("a", glade.BatchDone)
			r.c.Assert(r.running("a"), qt.Equals, 0)
		})
	}
	slow := glade.Step{Count: 1, Need: core, Estimate: 500, Copies: true}
	expectCopy("a slow task gets a second run", slow, 0, 2)
	usual := slow
	usual.Estimate = 5000
	expectCopy("a task that is not slow gets none", usual, 0, 1)
	expectCopy("nor where there is no room", slow, 3, 1)
	only := slow
	only.Copies = false
	expectCopy("nor where its step does not allow it", only, 0, 1)
	t.Run("the other run is stopped when the first one is done", func(t *testing.T) {
		r := newRig(qt.New(t), 2, twoFit)
		r.submit("a", steps(slow))
		r.play(2 * time.Second)
		first := r.runs[r.holder("a")]
		first.end(first.running[0].Task, first.running[0].Run, glade.EndDone)
		r.play(500 * time.Millisecond)
		r.c.Assert(r.running("a"), qt.Equals, 0)
	})
}

func TestPlaces(t *testing.T) {
	t.Run("a label is required", func(t *testing.T) {
		r := newRig(qt.New(t), 3, twoFit)
		r.list[1].Labels = []string{"big"}
		r.sched.SetRunners(r.list, r.now)
		r.submit("a", steps(glade.Step{Count: 3, Need: core, Estimate: 1000, Label: "big"}))
		r.play(500 * time.Millisecond)
		r.c.Assert(r.running("a"), qt.Equals, 2)
		r.c.Assert(r.holder("a"), qt.Equals, glade.RunnerID("r1"))
	})
	t.Run("tasks are spread", func(t *testing.T) {
		r := newRig(qt.New(t), 3, twoFit)
		r.submit("a", steps(glade.Step{Count: 4, Need: core, Estimate: 1000, Spread: 1}))
		r.play(500 * time.Millisecond)
		r.c.Assert(r.running("a"), qt.Equals, 3)
	})
	t.Run("the rack that holds the data is preferred", func(t *testing.T) {
		r := newRig(qt.New(t), 8, twoFit)
		r.submit("a", steps(glade.Step{Count: 1, Need: core, Estimate: 1000, Rack: "1"}))
		r.play(500 * time.Millisecond)
		r.c.Assert(r.holder("a") >= "r4", qt.IsTrue)
	})
}
