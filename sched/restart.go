package sched

import "time"

// Delays before a long-running task that has failed starts again. Its users miss it meanwhile, and
// one that fails at once must not use up the starts of all other work.
const (
	// healthyRun is how long a run must have lasted so that the next failure is not one of a row.
	healthyRun      = 5 * time.Second
	minRestartDelay = 100 * time.Millisecond
	// maxRestartDelay is below the 6 s after which a task that lasts has to run again.
	maxRestartDelay = 4 * time.Second
	// restartJitter is the part of a delay by which those of the tasks of a step differ.
	restartJitter = 0.25
)

// delayRestart delays the next start of a long-running task whose run has failed after a time. The
// first failure of a row costs no delay.
func (t *task) delayRestart(index int, lasted time.Duration, now time.Time) {
	if lasted >= healthyRun {
		t.failuresInRow = 0
	}
	t.failuresInRow++
	if t.failuresInRow == 1 {
		return
	}
	delay := maxRestartDelay
	if doublings := t.failuresInRow - 2; doublings < 10 {
		delay = min(minRestartDelay<<doublings, maxRestartDelay)
	}
	const golden = 0.618 // spreads the multiples of it evenly over 0 to 1
	part := float64(index) * golden
	t.restartAt = now.Add(time.Duration(float64(delay) * (1 + restartJitter*(2*(part-float64(int(part)))-1))))
}

// duePending returns the number of pending tasks that may start now.
func (st *step) duePending(now time.Time) int {
	count := st.pending
	for i := range st.tasks {
		if t := &st.tasks[i]; !t.done && len(t.runs) == 0 && now.Before(t.restartAt) {
			count--
		}
	}
	return count
}
