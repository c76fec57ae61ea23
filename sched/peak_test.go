package sched_test

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	glade "indigoglade"
)

// peak is a load of small batches on one pool, as callers see it: run times and widths
// vary from batch to batch, and the declared run times are wrong by up to half.
type peak struct {
	runners int
	// load is the work that arrives in the peak, as a share of the capacity of the runners.
	load   float64
	length time.Duration
	seed   uint64
	// loss is the share of starts and heartbeats that get no answer, and timeout the time
	// until they are given up.
	loss    float64
	timeout time.Duration
}

// Sizes of the batches and runners of a peak.
const (
	peakRunnerCPU = 32000 // millicores
	peakStretch   = 1.6
	peakSlack     = 600 * time.Millisecond
	peakTaskTime  = 800.0 // mean, in milliseconds
	peakTaskCPU   = 1800.0
	peakWidth     = 6.0
	lateShare     = 0.07 // of its worth that a late batch earns
)

// peakBatch is a submitted batch with what only the simulation knows.
type peakBatch struct {
	work      glade.Batch
	times     []time.Duration // of each step's tasks
	submitted time.Time
	objective time.Duration
	worth     float64
	accepted  bool
	done      bool
	took      time.Duration
}

// peakHarness plays a peak.
type peakHarness struct {
	*harness
	random  *rand.Rand
	batches map[glade.BatchID]*peakBatch
	started map[glade.ActiveRun]time.Time
}

// outcome is what the callers of a peak got.
type outcome struct {
	earned              float64 // share of the worth of all batches
	inTime, late        int
	refused, unfinished int
}

func (o outcome) String() string {
	return fmt.Sprintf("earned %.3f: %d in time, %d late, %d refused, %d unfinished", o.earned, o.inTime, o.late, o.refused, o.unfinished)
}

// spread returns a random factor with the mean 1 and about the given deviation.
func (p *peakHarness) spread(deviation float64) float64 {
	return math.Exp(p.random.NormFloat64()*deviation - deviation*deviation/2)
}

func (p *peakHarness) newBatch() *peakBatch {
	b := &peakBatch{submitted: p.now}
	path, total := 0.0, 0.0
	wrong := 0.5 + p.random.Float64()
	for i := range 1 + min(int(p.random.ExpFloat64()*0.7), 3) {
		count := min(max(int(math.Round(peakWidth*p.spread(0.6))), 1), 24)
		cpu := min(peakTaskCPU*p.spread(0.45), 3*peakTaskCPU)
		millis := min(peakTaskTime*p.spread(0.5), 2000)
		step := glade.Step{Count: count, Need: glade.Need{CPU: int(cpu), Memory: 100}, Estimate: int64(millis * wrong)}
		if i > 0 {
			step.After = []int{i - 1}
		}
		b.work.Steps = append(b.work.Steps, step)
		b.times = append(b.times, time.Duration(millis*float64(time.Millisecond)))
		path += millis
		total += float64(count) * cpu * millis
	}
	b.work.Spec = "s"
	b.objective = time.Duration(path*peakStretch*float64(time.Millisecond)) + peakSlack
	b.worth = 0.3 + 0.7*total/(1.6*peakWidth*peakTaskCPU*peakTaskTime)
	return b
}

// meanWork is the mean work of a batch in millicores times milliseconds.
const meanWork = 1.55 * peakWidth * peakTaskCPU * peakTaskTime

// playPeak plays a peak until its batches have ended.
func playPeak(c *qt.C, spec peak) outcome {
	p := &peakHarness{
		harness: newHarness(c, spec.runners, glade.Need{CPU: peakRunnerCPU, Memory: 1_000_000}),
		random:  rand.New(rand.NewPCG(spec.seed, 1)), batches: make(map[glade.BatchID]*peakBatch), started: make(map[glade.ActiveRun]time.Time),
	}
	p.sched.SetRules(glade.Rules{Version: 1, Queues: []glade.QueueRule{{Queue: queue, Service: service, MaxFailures: 3, Stretch: peakStretch, Slack: peakSlack}}})
	p.sched.SetRunners(p.infos, p.now)
	p.answerEnds, p.longPoll, p.orderTimeout = true, time.Second, spec.timeout
	p.lose = func() bool { return p.random.Float64() < spec.loss }
	p.advance(3 * time.Second)
	began := p.now
	perSecond := spec.load * float64(spec.runners) * peakRunnerCPU * 1000 / meanWork
	next := began
	for p.now.Sub(began) < spec.length+8*time.Second {
		for p.now.Sub(began) < spec.length && !p.now.Before(next) {
			p.submitNext()
			next = next.Add(time.Duration(p.random.ExpFloat64() / perSecond * float64(time.Second)))
		}
		p.endRuns()
		p.advance(20 * time.Millisecond)
		p.recordDone()
	}
	return p.outcome()
}

func (p *peakHarness) submitNext() {
	id := glade.BatchID(fmt.Sprintf("%06d", len(p.batches)))
	b := p.newBatch()
	p.batches[id] = b
	b.accepted = p.submit(id, b.work).Accepted
}

// endRuns ends the runs whose time is over.
func (p *peakHarness) endRuns() {
	for _, f := range p.runners {
		for _, active := range append([]glade.ActiveRun(nil), f.running...) {
			at, ok := p.started[active]
			if !ok {
				p.started[active] = p.now
				continue
			}
			if p.now.Sub(at) >= p.batches[active.Task.Batch].times[active.Task.Step] {
				f.end(active.Task, active.Run, glade.EndDone)
			}
		}
	}
}

func (p *peakHarness) recordDone() {
	for id, b := range p.batches {
		if state, ok := p.sched.State(id); ok && !b.done && state == glade.BatchDone {
			b.done, b.took = true, p.now.Sub(b.submitted)
		}
	}
}

func (p *peakHarness) outcome() outcome {
	var o outcome
	total := 0.0
	for _, b := range p.batches {
		total += b.worth
		switch {
		case !b.accepted:
			o.refused++
		case !b.done:
			o.unfinished++
		case b.took <= b.objective:
			o.inTime++
			o.earned += b.worth
		default:
			o.late++
			o.earned += lateShare * b.worth
		}
	}
	o.earned /= total
	return o
}

// playSeeds plays a peak with several seeds and returns the mean share that was earned.
func playSeeds(c *qt.C, spec peak) float64 {
	const seeds = 3
	sum := 0.0
	for seed := range uint64(seeds) {
		spec.seed = seed
		o := playPeak(c, spec)
		c.Logf("%+v: %v", spec, o)
		sum += o.earned / seeds
	}
	return sum
}

// TestPeak plays what callers get in a peak: nearly all in time while the pool suffices,
// and about as much as the pool can carry when twice as much is asked for.
func TestPeak(t *testing.T) {
	expectEarned := func(name string, spec peak, least float64) {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			earned := playSeeds(c, spec)
			c.Assert(earned >= least, qt.IsTrue, qt.Commentf("earned %.3f", earned))
		})
	}
	calm := peak{runners: 20, load: 0.7, length: 4 * time.Second, timeout: 200 * time.Millisecond}
	overload, lossy := calm, calm
	overload.load = 2
	lossy.loss = 0.05
	expectEarned("a pool that suffices serves nearly all in time", calm, 0.95)
	expectEarned("of twice the load, what the pool carries is in time", overload, 0.45)
	expectEarned("lost answers delay few batches", lossy, 0.9)
	t.Run("lost answers delay fewer batches if they are given up sooner", func(t *testing.T) {
		c := qt.New(t)
		slow := lossy
		slow.timeout = 700 * time.Millisecond
		c.Assert(playSeeds(c, lossy) > playSeeds(c, slow), qt.IsTrue)
	})
}
