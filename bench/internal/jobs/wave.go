package jobs

import (
	"time"

	"github.com/pkg/errors"

	glade "indigoglade"
	"indigoglade/jobs"
	"indigoglade/memory"
)

// waveSize is the number of jobs that are cancelled together.
const waveSize = 10_000

// waveRun is one mass cancellation. It runs once for each seed.
type waveRun struct {
	seed          uint64
	done          bool
	took          time.Duration
	rowsPerSecond int
	err           error
}

func (w *waveRun) measure(seed uint64) {
	if w.done && w.seed == seed {
		return
	}
	w.seed, w.done = seed, true
	w.took, w.rowsPerSecond, w.err = runCancelWave(seed)
}

// seconds returns the time from the request to the last cancelled job, in seconds.
func (w *waveRun) seconds(seed uint64) (float64, error) {
	w.measure(seed)
	return w.took.Seconds(), w.err
}

// maxRowRate returns the largest number of rows written within one second.
func (w *waveRun) maxRowRate(seed uint64) (float64, error) {
	w.measure(seed)
	return float64(w.rowsPerSecond), w.err
}

func runCancelWave(seed uint64) (time.Duration, int, error) {
	s := newSim(seed, fleetSpec{hosts: 40, pools: 1, cores: 32, memory: 128 * gigabyte}, 1)
	s.warmUp()
	batch := jobSpec{
		priority: glade.Bulk, declared: glade.Resources{Cores: 2, Memory: gigabyte},
		actual: memory.TaskBehavior{RunTime: glade.Span(time.Hour), Memory: gigabyte},
	}
	var items []glade.InboxItem
	for len(items) < waveSize {
		specs := make([]jobSpec, 25)
		for i := range specs {
			specs[i] = batch
		}
		for _, ticket := range s.accept(specs...) {
			items = append(items, glade.InboxItem{Ticket: ticket, Priority: glade.Bulk})
		}
	}
	s.runFor(60*time.Second, nil)
	begin := s.clock.Now()
	_, writes := s.table.Counts()
	samples := []int{writes}
	if n, result := jobs.CancelAll(ctx, s.table, customer, items, begin); result != glade.Committed {
		return 0, 0, errors.Errorf("%d of %d cancellations requested: %s", n, waveSize, result)
	}
	for s.countPhase(glade.JobCancelled) < waveSize {
		s.step(0)
		_, writes := s.table.Counts()
		samples = append(samples, writes)
		if s.clock.Now().Sub(begin) > 5*time.Minute {
			return 0, 0, errors.Errorf("%d of %d jobs cancelled after 5 minutes", s.countPhase(glade.JobCancelled), waveSize)
		}
	}
	return s.clock.Now().Sub(begin), maxPerSecond(samples), nil
}

// maxPerSecond returns the largest increase of a counter within one second, given its value after
// each step.
func maxPerSecond(samples []int) int {
	steps := int(time.Second / stepPeriod)
	highest := 0
	for i := range samples {
		from := max(0, i-steps)
		highest = max(highest, samples[i]-samples[from])
	}
	return highest
}
