package sched

import (
	"time"

	glade "indigoglade"
)

// Throttling of best-effort tasks, which use only the CPU that others leave.
const (
	// At slowDownRatio of tail latency to target and above, the best-effort tasks on
	// the runner are slowed down; below speedUpRatio they are sped up again.
	slowDownRatio = 0.9
	speedUpRatio  = 0.65
	// slowDownPeriod and speedUpPeriod are the least times since the task's previous
	// change of speed.
	slowDownPeriod = 300 * time.Millisecond
	speedUpPeriod  = 1500 * time.Millisecond
	// speedUpPercent is added to a task's speed in one change.
	speedUpPercent  = 20
	minSpeedPercent = 15 // a lower speed becomes 0
)

// throttles returns changes to the speed of best-effort tasks that share a runner
// with tasks that have a latency target.
func (s *Scheduler) throttles(now time.Time) []Throttle {
	var throttles []Throttle
	for _, r := range s.runners {
		if !r.isResponsive(now) {
			continue // its latencies are old, and an order takes its whole timeout
		}
		worst, hasTarget := worstLatencyRatio(r)
		for n := range r.runs {
			if !n.step.rule.Fills || n.phase != running || n.orderInFlight {
				continue
			}
			if percent := nextSpeed(n, worst, hasTarget, now); percent != n.speedPercent {
				n.orderInFlight, n.lastOrderAt = true, now
				throttles = append(throttles, Throttle{run: n, percent: percent})
				s.addEvent("pace", "runner", r.info.ID, "batch", n.step.occurrence.batch.id, "from", n.speedPercent, "to", percent, "ratio", worst)
			}
		}
	}
	return throttles
}

// worstLatencyRatio returns the highest ratio of tail latency to target among the
// runner's tasks with a target, and whether there are any.
func worstLatencyRatio(r *runner) (worst float64, hasTarget bool) {
	for n := range r.runs {
		if n.step.rule.Target > 0 && n.phase == running {
			hasTarget = true
			worst = max(worst, n.metric/float64(n.step.rule.Target))
		}
	}
	return worst, hasTarget
}

func nextSpeed(n *run, worst float64, hasTarget bool, now time.Time) int {
	switch {
	case !hasTarget:
		return fullSpeedPercent
	case worst >= slowDownRatio && now.Sub(n.lastOrderAt) >= slowDownPeriod:
		if n.speedPercent/2 < minSpeedPercent {
			return 0
		}
		return n.speedPercent / 2
	case worst < speedUpRatio && n.speedPercent < fullSpeedPercent && now.Sub(n.lastOrderAt) >= speedUpPeriod:
		return min(n.speedPercent+speedUpPercent, fullSpeedPercent)
	}
	return n.speedPercent
}

// MaySendThrottle reports whether a throttle that has waited to be sent is still wanted. If it is not, it
// must not be sent: the run is to be stopped, or its runner has gone silent.
func (s *Scheduler) MaySendThrottle(o Throttle, now time.Time) bool {
	n := o.run
	if n.phase == running && n.runner.runs[n] && n.runner.isResponsive(now) && now.Sub(n.lastOrderAt) <= maxStartWait {
		return true
	}
	n.orderInFlight = false
	return false
}

// Throttled processes the answer to a throttle order. It returns false if the
// runner has seen a newer leader.
func (s *Scheduler) Throttled(o Throttle, answer glade.RunAnswer, err error) bool {
	o.run.orderInFlight = false
	if err != nil {
		s.addEvent("unpaced", "runner", o.run.runner.info.ID, "batch", o.run.step.occurrence.batch.id, "error", err.Error())
	}
	if err == nil && answer.Refused == glade.RunAccepted {
		o.run.speedPercent = o.percent
	}
	return answer.Refused != glade.RefusedFence
}
