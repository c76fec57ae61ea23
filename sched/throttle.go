package sched

import (
	"time"

	glade "indigoglade"
)

// Throttling of best-effort tasks, which use only the CPU that others leave.
const (
	// At slowDownRatio of tail latency to target and above, the best-effort tasks on
	// the runner are slowed down; below speedUpRatio they are sped up again.
	easeAt = 0.9
	calmAt = 0.65
	// slowDownPeriod and speedUpPeriod are the least times since the task's previous
	// change of speed.
	easePeriod = 300 * time.Millisecond
	calmPeriod = 1500 * time.Millisecond
	// speedUpPercent is added to a task's speed in one change.
	calmStep = 20
	minPace  = 15 // a lower speed becomes 0
)

// throttles returns changes to the speed of best-effort tasks that share a runner
// with tasks that have a latency target.
func (s *Sched) paces(now time.Time) []Pace {
	var paces []Pace
	for _, r := range s.runners {
		worst, serves := worstRatio(r)
		for n := range r.runs {
			if !n.step.rule.Fills || n.phase != running || n.calling {
				continue
			}
			if percent := nextPace(n, worst, serves, now); percent != n.pace {
				n.calling, n.paced = true, now
				paces = append(paces, Pace{run: n, percent: percent})
				s.event("pace", "runner", r.info.ID, "batch", n.step.round.batch.id, "from", n.pace, "to", percent, "ratio", worst)
			}
		}
	}
	return paces
}

// worstLatencyRatio returns the highest ratio of tail latency to target among the
// runner's tasks with a target, and whether there are any.
func worstRatio(r *runner) (worst float64, serves bool) {
	for n := range r.runs {
		if n.step.rule.Target > 0 && n.phase == running {
			serves = true
			worst = max(worst, n.figure/float64(n.step.rule.Target))
		}
	}
	return worst, serves
}

func nextPace(n *run, worst float64, serves bool, now time.Time) int {
	switch {
	case !serves:
		return fullPace
	case worst >= easeAt && now.Sub(n.paced) >= easePeriod:
		if n.pace/2 < minPace {
			return 0
		}
		return n.pace / 2
	case worst < calmAt && n.pace < fullPace && now.Sub(n.paced) >= calmPeriod:
		return min(n.pace+calmStep, fullPace)
	}
	return n.pace
}

// Paced processes the answer to a throttle order. It returns false if the runner
// has seen a newer leader.
func (s *Sched) Paced(o Pace, answer glade.RunAnswer, err error) bool {
	o.run.calling = false
	if err != nil {
		s.event("unpaced", "runner", o.run.runner.info.ID, "batch", o.run.step.round.batch.id, "error", err.Error())
	}
	if err == nil && answer.Refused == glade.RunAccepted {
		o.run.pace = o.percent
	}
	return answer.Refused != glade.RefusedFence
}
