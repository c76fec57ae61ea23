package sched_test

import (
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	glade "indigoglade"
	"indigoglade/seeds"
)

// runnerSize is the capacity of the runners of a crowd.
var runnerSize = glade.Need{CPU: 16_000, Memory: 16_000}

// lastingGang returns a batch with a gang that lasts.
func lastingGang(count, cpu int) glade.Step {
	return glade.Step{Count: count, Need: glade.Need{CPU: cpu}, LongRunning: true, Gang: true}
}

// crowd is a service with a stream of batches of short tasks beside what lasts.
type crowd struct {
	*harness
	// cpu is what a short task needs, lifetime how long it runs.
	cpu      int
	lifetime time.Duration
	batches  int
	started  map[glade.ActiveRun]time.Time
	done     int
	// waiting holds when the short batches were submitted that have not started, longest is the
	// longest wait of one that has.
	waiting map[glade.BatchID]time.Time
	longest time.Duration
}

func newCrowd(t *testing.T, runners, cpu int, lifetime time.Duration) *crowd {
	t.Helper()
	w := &crowd{harness: newHarness(qt.New(t), runners, runnerSize), cpu: cpu, lifetime: lifetime, started: make(map[glade.ActiveRun]time.Time), waiting: make(map[glade.BatchID]time.Time)}
	w.answerEnds = true
	w.advance(time.Second)
	return w
}

// play submits perSecond short batches a second, and ends each of their tasks after its time.
func (w *crowd) play(length time.Duration, perSecond int) {
	const ticksPerSecond = 50
	due := 0
	for end := w.now.Add(length); w.now.Before(end); w.advance(20 * time.Millisecond) {
		for due += perSecond; due >= ticksPerSecond; due -= ticksPerSecond {
			id := glade.BatchID(fmt.Sprintf("short%d", w.batches))
			w.submit(id, batchOf(glade.Step{Count: 1, Need: glade.Need{CPU: w.cpu}, Estimate: w.lifetime.Milliseconds()}))
			w.waiting[id] = w.now
			w.batches++
		}
		for _, f := range w.runners {
			for _, active := range append([]glade.ActiveRun(nil), f.running...) {
				if active.Task.Batch[0] != 's' {
					continue
				}
				if at, ok := w.started[active]; !ok {
					w.started[active] = w.now
					w.longest = max(w.longest, w.now.Sub(w.waiting[active.Task.Batch]))
					delete(w.waiting, active.Task.Batch)
				} else if w.now.Sub(at) >= w.lifetime {
					f.end(active.Task, active.Run, glade.EndDone)
					w.done++
				}
			}
		}
	}
}

// expectFlow checks that short batches run to their ends.
func (w *crowd) expectFlow() {
	w.c.Helper()
	before := w.done
	w.play(3*time.Second, 10)
	w.c.Assert(w.done-before >= 20, qt.IsTrue, qt.Commentf("%d of 30 batches are done", w.done-before))
}

// expectWaits checks that no short batch has waited for longer than a time.
func (w *crowd) expectWaits(most time.Duration) {
	w.c.Helper()
	for _, at := range w.waiting {
		w.longest = max(w.longest, w.now.Sub(at))
	}
	w.c.Assert(w.longest <= most, qt.IsTrue, qt.Commentf("a short batch has waited for %s", w.longest))
}

// loseRunner takes a runner away for good, while perSecond short batches come a second.
func (w *crowd) loseRunner(id glade.RunnerID, perSecond int) {
	w.runners[id].unresponsive, w.runners[id].running = true, nil
	w.play(2*time.Second, perSecond)
	w.sched.RunnersGone([]glade.RunnerID{id}, w.now, w.now)
}

// TestHopelessGang guards against a service in which nothing else starts, because a lasting gang that
// can't start keeps all runners free for its tasks.
func TestHopelessGang(t *testing.T) {
	shape := func(name string, runners int, change func(w *crowd, step *glade.Step), step glade.Step) {
		t.Run(name, func(t *testing.T) {
			w := newCrowd(t, runners, 7000, 200*time.Millisecond)
			if change != nil {
				change(w, &step)
			}
			w.submit("gang", batchOf(step))
			w.advance(500 * time.Millisecond)
			w.expectRunning("gang", 0)
			w.expectFlow()
		})
	}
	shape("with one runner too few", 8, nil, lastingGang(9, 10_000))
	shape("with one runner too few, and several tasks a runner", 3, nil, lastingGang(10, 5000))
	shape("wider than its runners", 8, func(_ *crowd, step *glade.Step) { step.MaxPerRunner = 1 }, lastingGang(9, 100))
	shape("with too few runners of its kind", 4, func(w *crowd, step *glade.Step) {
		w.infos[0].Labels, step.Label = []string{"big"}, "big"
		w.sched.SetRunners(w.infos, w.now)
		w.advance(time.Second)
	}, lastingGang(4, 10_000))
	shape("that is slow across racks", 8, func(_ *crowd, step *glade.Step) { step.OneRack = true }, lastingGang(9, 10_000))
	shape("with memory for too few", 4, nil, glade.Step{Count: 5, Need: glade.Need{CPU: 1, Memory: 10_000}, LongRunning: true, Gang: true})
	shape("beside lasting tasks", 4, func(w *crowd, _ *glade.Step) {
		w.submit("0", batchOf(glade.Step{Count: 1, Need: glade.Need{CPU: 10_000}, LongRunning: true}))
		w.advance(500 * time.Millisecond)
	}, lastingGang(4, 10_000))
	t.Run("that has lost a runner", func(t *testing.T) {
		w := newCrowd(t, 9, 100, 200*time.Millisecond)
		w.submit("gang", batchOf(lastingGang(9, 10_000)))
		w.advance(500 * time.Millisecond)
		w.expectRunning("gang", 9)
		w.loseRunner("r0", 10)
		w.play(3*time.Second, 10)
		w.expectRunning("gang", 0)
		w.expectFlow()
		w.runners["r0"].unresponsive, w.runners["r0"].incarnation = false, 2
		w.play(6*time.Second, 10)
		w.expectRunning("gang", 9)
	})
	t.Run("beyond its tenant's limit", func(t *testing.T) {
		r := newLimitedHarness(t, 2, 4)
		r.submit("gang", of(acme, batchOf(glade.Step{Count: 5, Need: core, LongRunning: true, Gang: true})))
		r.submit("small", tasks(8))
		r.advance(time.Second)
		r.expectRunning("gang", 0)
		r.expectRunning("small", 8)
	})
	t.Run("beside another one", func(t *testing.T) {
		w := newCrowd(t, 9, 7000, 200*time.Millisecond) // no room beside a member
		w.submit("gang", batchOf(lastingGang(5, 10_000)))
		w.submit("other", batchOf(lastingGang(5, 10_000)))
		w.advance(500 * time.Millisecond)
		w.c.Assert(w.running("gang")+w.running("other"), qt.Equals, 5)
		w.expectFlow()
	})
}

// TestLastingGangInFullPool guards against a lasting gang that never starts again, because short tasks
// take every gap in a full pool.
func TestLastingGangInFullPool(t *testing.T) {
	shape := func(name string, runners int, step glade.Step) {
		t.Run(name, func(t *testing.T) {
			w := newCrowd(t, runners, 4000, 400*time.Millisecond)
			w.play(2*time.Second, 50)
			w.submit("gang", batchOf(step))
			w.play(4*time.Second, 50)
			w.expectRunning("gang", step.Count)
		})
	}
	shape("that takes all runners", 4, lastingGang(4, 10_000))
	shape("that takes some runners", 6, lastingGang(3, 16_000))
	shape("with several tasks a runner", 4, lastingGang(6, 8000))
	spread := lastingGang(4, 8000)
	spread.MaxPerRunner = 1
	shape("that is spread", 5, spread)
	oneRack := lastingGang(3, 16_000)
	oneRack.OneRack = true
	shape("that is slow across racks", 8, oneRack)
	t.Run("one after the other", func(t *testing.T) {
		w := newCrowd(t, 8, 4000, 400*time.Millisecond)
		w.play(2*time.Second, 100)
		w.submit("gang", batchOf(lastingGang(4, 16_000)))
		w.submit("other", batchOf(lastingGang(3, 16_000)))
		w.play(6*time.Second, 100)
		w.expectRunning("gang", 4)
		w.expectRunning("other", 3)
	})
	t.Run("that has room twice over", func(t *testing.T) {
		w := newCrowd(t, 8, 1000, 400*time.Millisecond)
		w.play(2*time.Second, 20)
		w.submit("gang", batchOf(lastingGang(4, 8000)))
		w.play(time.Second, 20)
		w.expectRunning("gang", 4)
	})
}

// TestHopelessSteps draws lasting steps that come, lose runners and wait beside a stream of short batches, while
// leaders change and starts are carried out late. It guards against waits that keep the runners from the short ones, and against lasting steps that have room and
// don't get it.
func TestHopelessSteps(t *testing.T) {
	hopeless := 0
	seeds.Check(t, 150, func(rt *rapid.T) {
		w := newCrowd(t, rapid.IntRange(2, 10).Draw(rt, "runners"), 100, 200*time.Millisecond)
		for i := range w.infos {
			if rapid.IntRange(0, 2).Draw(rt, "big") == 0 {
				w.infos[i].Labels = []string{"big"}
			}
		}
		w.sched.SetRunners(w.infos, w.now)
		for i := range rapid.IntRange(1, 4).Draw(rt, "steps") {
			step := glade.Step{
				Count: rapid.IntRange(1, 12).Draw(rt, "count"), Need: glade.Need{CPU: 1000 * rapid.IntRange(1, 15).Draw(rt, "cores")},
				LongRunning: true, Gang: rapid.Bool().Draw(rt, "gang"), MaxPerRunner: rapid.IntRange(0, 2).Draw(rt, "most"),
			}
			if rapid.IntRange(0, 3).Draw(rt, "labelled") == 0 {
				step.Label = "big"
			}
			step.OneRack = step.Gang && rapid.Bool().Draw(rt, "one rack")
			w.submit(glade.BatchID(fmt.Sprintf("lasting%d", i)), batchOf(step))
			w.play(time.Duration(rapid.IntRange(0, 1000).Draw(rt, "ms"))*time.Millisecond, 10)
		}
		w.play(time.Duration(rapid.IntRange(0, 3000).Draw(rt, "before ms"))*time.Millisecond, 10)
		if lost := rapid.IntRange(0, len(w.infos)).Draw(rt, "lost"); lost < len(w.infos) {
			w.loseRunner(w.infos[lost].ID, 10)
		}
		switch rapid.SampledFrom([]string{"none", "takeover", "late starts"}).Draw(rt, "trouble") {
		case "takeover":
			w.resume(2)
			w.play(6*time.Second, 10) // the new leader finds lost runs by their leases
		case "late starts":
			w.loseStarts = rapid.IntRange(1, 4).Draw(rt, "lost starts")
			w.play(time.Duration(rapid.IntRange(20, 1000).Draw(rt, "late ms"))*time.Millisecond, 10)
			w.carryOutLate()
			w.play(6*time.Second, 10)
		}
		w.play(8*time.Second, 10) // starts, and restarts of gangs that lost a member, are over
		events := w.sched.Events()
		if rapid.Bool().Draw(rt, "returns") {
			for _, f := range w.runners {
				if f.unresponsive {
					f.unresponsive, f.incarnation = false, f.incarnation+1
				}
			}
			w.play(8*time.Second, 10)
		}
		before := w.done
		w.play(3*time.Second, 10)
		if w.places(&glade.Step{Count: 1, Need: glade.Need{CPU: 100}}, "short") > 0 && w.done-before < 20 {
			rt.Fatalf("%d of 30 short batches are done", w.done-before)
		}
		for id, row := range w.workRows {
			if step := &row.Work.Steps[0]; step.LongRunning {
				wanted, places := 1, w.places(step, id)
				if step.Gang {
					wanted = step.Count
				}
				if w.running(id) < step.Count && places >= wanted {
					rt.Fatalf("%s: %d of %d run, and there is room for %d", id, w.running(id), step.Count, places)
				}
			}
		}
		for _, e := range append(events, w.sched.Events()...) {
			if e.Name == "hopeless" {
				hopeless++
				break
			}
		}
	})
	qt.Assert(t, hopeless > 20, qt.IsTrue, qt.Commentf("%d cases had a step without hope", hopeless))
}

// places returns how many further tasks of a batch's step have room beside what lasts, and beside a
// core that the short tasks may use.
func (w *crowd) places(step *glade.Step, id glade.BatchID) int {
	sum := 0
	for _, info := range w.infos {
		f, own, free := w.runners[info.ID], 0, info.Capacity.CPU
		for _, active := range f.running {
			if of := active.Task.Batch; strings.HasPrefix(string(of), "lasting") {
				free -= w.workRows[of].Work.Steps[0].Need.CPU
			}
			if active.Task.Batch == id {
				own++
			}
		}
		if f.unresponsive || step.Label != "" && !slices.Contains(info.Labels, step.Label) {
			continue
		}
		n := max(free-core.CPU, 0) / step.Need.CPU
		if step.MaxPerRunner > 0 {
			n = min(n, step.MaxPerRunner-own)
		}
		sum += n
	}
	return sum
}

// TestGangTrialBesideStream guards against a gang that never starts again after a runner was lost just when it had
// started: its trial waits until no run on any of its runners is young, and short tasks come all the time.
func TestGangTrialBesideStream(t *testing.T) {
	w := newCrowd(t, 2, 100, 200*time.Millisecond)
	step := lastingGang(2, 1000)
	step.MaxPerRunner = 1
	w.submit("gang", batchOf(step))
	w.play(40*time.Millisecond, 10)
	w.expectRunning("gang", 2)
	w.loseRunner("r0", 10)
	w.play(time.Second, 10)
	w.runners["r0"].unresponsive, w.runners["r0"].incarnation = false, 2
	w.play(10*time.Second, 10)
	w.expectRunning("gang", 2)
}

// TestReservationBesideLongTasks guards against runners that are reserved for as long as a task runs on each of
// them, perhaps for minutes, while most of the pool is idle and other batches wait.
func TestReservationBesideLongTasks(t *testing.T) {
	const runners = 8
	expectBoth := func(name string, lasting glade.Step) {
		t.Run(name, func(t *testing.T) {
			w := newCrowd(t, runners, 400, 200*time.Millisecond)
			w.submit("long", batchOf(glade.Step{Count: runners, Need: core, MaxPerRunner: 1, Estimate: 60_000}))
			w.play(time.Second, 10)
			w.expectRunning("long", runners)
			w.submit("lasting", batchOf(lasting))
			w.play(15*time.Second, 10)
			w.expectRunning("lasting", 0)
			w.expectWaits(3 * time.Second)
			for _, f := range w.runners {
				for _, active := range slices.Clone(f.running) {
					if active.Task.Batch == "long" {
						f.end(active.Task, active.Run, glade.EndDone)
					}
				}
			}
			w.play(6*time.Second, 10)
			w.expectRunning("lasting", lasting.Count)
			w.expectFlow()
		})
	}
	const whole = 15_500
	expectBoth("for a gang", lastingGang(runners, whole))
	expectBoth("for single tasks", glade.Step{Count: runners, Need: glade.Need{CPU: whole}, LongRunning: true})
	spread := lastingGang(2*runners, whole/2)
	spread.MaxPerRunner = 2
	expectBoth("for a gang that is spread", spread)
}

// TestLastingTrialInFullPool guards against a lasting task that never starts again in a full pool: after a crash it
// starts alone, and short tasks take every gap before it is wide enough.
func TestLastingTrialInFullPool(t *testing.T) {
	expectStart := func(name string, step glade.Step) {
		t.Run(name, func(t *testing.T) {
			w := newCrowd(t, 4, 1500, 400*time.Millisecond)
			w.submit("lasting", batchOf(step))
			w.play(40*time.Millisecond, 120)
			w.expectRunning("lasting", step.Count)
			var on glade.RunnerID
			for id, f := range w.runners {
				if slices.ContainsFunc(f.running, func(a glade.ActiveRun) bool { return a.Task.Batch == "lasting" }) {
					on = id
				}
			}
			w.loseRunner(on, 120)
			w.play(8*time.Second, 120)
			w.expectRunning("lasting", step.Count)
		})
	}
	expectStart("a task", glade.Step{Count: 1, Need: glade.Need{CPU: 14_000}, LongRunning: true})
	expectStart("a gang", lastingGang(3, 14_000))
}

// TestUnplacedGang guards against a pool that asks for a host for each task of a gang, although some of them have
// room: it takes the hosts of other pools in vain.
func TestUnplacedGang(t *testing.T) {
	expectUnplaced := func(name string, runners, want int, step glade.Step) {
		t.Run(name, func(t *testing.T) {
			w := newCrowd(t, runners, 4000, 400*time.Millisecond)
			w.play(2*time.Second, 8*runners)
			w.submit("gang", batchOf(step))
			w.play(600*time.Millisecond, 8*runners)
			load := w.sched.Demand(w.now)
			w.c.Assert(load.Unplaced, qt.Equals, want)
			waiting := 0
			if want > 0 {
				waiting = step.Count * step.Need.CPU
			}
			w.c.Assert([]int{load.UnplacedCPU, load.LongRunning - load.UnplacedCPU}, qt.DeepEquals, []int{waiting, step.Count*step.Need.CPU - waiting})
		})
	}
	expectUnplaced("with one runner too few", 8, 1, lastingGang(9, 10_000))
	expectUnplaced("with two tasks a runner", 4, 2, lastingGang(10, 8000))
	expectUnplaced("that will have room", 8, 0, lastingGang(8, 10_000))
	expectUnplaced("larger than its runners", 4, 5, lastingGang(5, 20_000))
	spread := lastingGang(9, 100)
	spread.MaxPerRunner = 2
	expectUnplaced("that is spread", 4, 1, spread)
}

// TestWaitingGang guards against attempts to place a gang that has too little room which count as runs: they use up
// the run numbers of the leader, each is followed by another pass at once, and the gang never counts as without room.
func TestWaitingGang(t *testing.T) {
	expectFirstRun := func(name string, step glade.Step) {
		t.Run(name, func(t *testing.T) {
			r := newHarness(qt.New(t), 2, twoCores)
			r.advance(time.Second)
			r.submit("busy", batchOf(glade.Step{Count: 1, Need: twoCores, Estimate: 60_000}))
			r.advance(100 * time.Millisecond)
			r.submit("gang", batchOf(step))
			r.advance(10 * time.Second)
			r.expectRunning("gang", 0)
			r.endAll("busy", 0, glade.EndDone)
			r.advance(500 * time.Millisecond)
			r.expectRunning("gang", step.Count)
			for _, order := range r.startOrders {
				r.c.Assert(order.Run, qt.Equals, int64(1), qt.Commentf("%v", order.Task))
			}
		})
	}
	expectFirstRun("that ends", glade.Step{Count: 3, Need: core, Estimate: 1000, Gang: true})
	expectFirstRun("that lasts", glade.Step{Count: 3, Need: core, LongRunning: true, Gang: true})
	expectFirstRun("that is slow across racks", glade.Step{Count: 4, Need: core, Estimate: 1000, Gang: true, OneRack: true})
}
