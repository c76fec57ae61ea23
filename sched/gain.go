package sched

import (
	"cmp"
	"slices"
	"time"

	glade "indigoglade"
	"indigoglade/times"
)

// waitCase is what decides whether a task waits for a place near its data.
type waitCase struct {
	// distance is how much longer the task takes elsewhere, on average.
	distance time.Duration
	// limit is the longest wait that may be.
	limit time.Duration
	// inTime is the probability that a run elsewhere is in time, if the wait may take it away.
	inTime float64
	// places is how many further places the task needs: its own, those of the other tasks
	// of its gang, and those of the tasks that wait before it.
	places int
	// claimed is the share of the places that become free which other tasks with data
	// there would take anyway.
	claimed float64
	// shortage is the CPU that other pending tasks need, as a share of the pool: a run elsewhere
	// takes room from the work behind for longer.
	shortage float64
	// reach is the share of waits that have got their place, as far as was expected.
	reach float64
	// chances holds, for each length that is compared, the probabilities of the places near the
	// data to be free by then.
	chances [waitSteps][]float64
}

// chancesWithin returns the probabilities of places to be free for the lengths that are
// compared up to a limit.
func chancesWithin(runners []freeing, limit time.Duration) (chances [waitSteps][]float64) {
	for i := range chances {
		for _, f := range runners {
			chances[i] = f.appendChances(chances[i], waitLength(limit, i))
		}
	}
	return chances
}

// waitLength returns the i-th length of a wait that is compared.
func waitLength(limit time.Duration, i int) time.Duration {
	return time.Duration(i+1) * (limit / waitSteps)
}

// waitPlan is a decision about a wait.
type waitPlan struct {
	// length is how long the task waits at most; 0 means that it doesn't wait.
	length time.Duration
	// gain is by how much the task is expected to end earlier than elsewhere, net of what
	// the wait costs others.
	gain time.Duration
	// chance is the probability that a place is free within length, expected the mean time
	// until one is free or the wait ends.
	chance   float64
	expected time.Duration
}

// paysFor reports whether the gain is worth a wait.
func (p waitPlan) paysFor(w waitCase) bool {
	return p.length > 0 && float64(p.gain) >= minGainShare*float64(w.distance)
}

// waitSteps is the number of lengths that are compared.
const waitSteps = 8

// plan returns the wait with the highest expected gain.
func (w waitCase) plan() waitPlan {
	var best waitPlan
	step := w.limit / waitSteps
	if step <= 0 || w.claimed >= 1 {
		return best
	}
	value := float64(w.distance) * (1 - w.claimed) * (1 + w.shortage)
	spent, chance := 0.0, 0.0
	for i := range waitSteps {
		length := waitLength(w.limit, i)
		next := max(w.reach*atLeast(w.chances[i], w.places), chance)
		spent += float64(step) * (1 - (chance+next)/2)
		chance = next
		if gain := time.Duration(value*chance - spent); gain > best.gain && chance > w.inTime {
			best = waitPlan{length: length, gain: gain, chance: chance, expected: time.Duration(spent)}
		}
	}
	return best
}

// freeing is a runner whose runs end.
type freeing struct {
	// runs are those that end, the likeliest to end soon first.
	runs []endingRun
	// ends holds, for each further place, how many of the runs must have ended.
	ends []int
}

// endingRun is a run that ends.
type endingRun struct {
	need glade.Need
	// times is the distribution of its run time, if isKnown. It is not for a run that is older
	// than all known ones, which may be stuck.
	times   times.Given
	isKnown bool
	// stopping runs end within stopTime.
	stopTime time.Duration
}

// newEndingRun returns a run that was declared to take a time and has run for age.
func newEndingRun(need glade.Need, known *times.Distribution, declared, age time.Duration) endingRun {
	e := endingRun{need: need}
	if known != nil {
		e.times = known.Given(declared, age)
		e.isKnown = e.times.IsKnown()
	}
	return e
}

func (e *endingRun) endsWithin(d time.Duration) float64 {
	switch {
	case e.stopTime > 0:
		return min(float64(d)/float64(e.stopTime), 1)
	case e.isKnown:
		return e.times.EndsWithin(d)
	}
	return 0
}

// newFreeing returns what becomes free on a runner for tasks with the given need, up to a
// number of places.
func newFreeing(runs []endingRun, free, need glade.Need, places int, soon time.Duration) freeing {
	chances := make([]float64, len(runs))
	order := make([]int, len(runs))
	for i := range runs {
		order[i], chances[i] = i, runs[i].endsWithin(soon)
	}
	slices.SortStableFunc(order, func(a, b int) int {
		return cmp.Or(cmp.Compare(chances[b], chances[a]), cmp.Compare(runs[b].need.CPU, runs[a].need.CPU))
	})
	f := freeing{runs: make([]endingRun, 0, len(runs))}
	for _, i := range order {
		for len(f.ends) < places && need.Fits(free) {
			f.ends, free = append(f.ends, len(f.runs)), free.Minus(need)
		}
		f.runs = append(f.runs, runs[i])
		free = free.Plus(runs[i].need)
	}
	for len(f.ends) < places && need.Fits(free) {
		f.ends, free = append(f.ends, len(f.runs)), free.Minus(need)
	}
	return f
}

// appendChances appends the probability of each further place to be free within a time.
func (f freeing) appendChances(chances []float64, within time.Duration) []float64 {
	if len(f.ends) == 0 {
		return chances
	}
	ending := make([]float64, len(f.runs))
	for i := range f.runs {
		ending[i] = f.runs[i].endsWithin(within)
	}
	tail := tailChances(ending, f.ends[len(f.ends)-1])
	for _, n := range f.ends {
		chances = append(chances, tail[n])
	}
	return chances
}

// atLeast returns the probability that at least n of several independent events happen.
func atLeast(chances []float64, n int) float64 {
	if n > len(chances) {
		return 0
	}
	return tailChances(chances, n)[n]
}

// claimedShare returns which share of a place that a task takes is lost to later tasks with
// data in the same rack: by how much Erlang's loss formula lets fewer of them find room if
// there is one place less. load is what they need, in places.
func claimedShare(load float64, places int) float64 {
	if places <= 0 {
		return min(load, 1)
	}
	lost, before := 1.0, 1.0 // shares of the tasks that find no room
	for n := 1; n <= places; n++ {
		before, lost = lost, load*lost/(float64(n)+load*lost)
	}
	return min(max(load*(before-lost), 0), 1)
}

// tailChances returns the probabilities that at least 0 to n of several independent events
// happen.
func tailChances(chances []float64, n int) []float64 {
	tail := make([]float64, n+1)
	tail[0] = 1
	for _, p := range chances {
		for k := n; k > 0; k-- {
			tail[k] += p * (tail[k-1] - tail[k])
		}
	}
	return tail
}

// waitLimit returns the longest wait of a step with the given slack, near its data. distance
// is what a run elsewhere takes longer on average, typical that of the median run, and
// cautious that of a long one. The wait must not make the batch late, unless a run elsewhere
// mostly does as well, so that isLate is set: it may then last as long as a start near the
// data is in time.
func waitLimit(slack, distance, typical, cautious time.Duration) (limit time.Duration, isLate bool) {
	left := slack - cautious
	isLate = slack < typical
	if isLate {
		left = slack
	}
	return max(min(maxWait, distance, left-tickPeriod), 0), isLate // a wait's end is noticed within a tick
}

// maxWait bounds a wait: a step that is idle for 3 s while there is room counts as lost.
const maxWait = time.Second
