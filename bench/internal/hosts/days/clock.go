// Package days runs pool sizes through virtual days with clock changes, queues
// that peak by turns, and failures of hosts, racks and zones.
package days

import (
	"math"
	"math/rand/v2"
	"time"
)

// Lengths of a run. The day is learnt in the warm-up, which is not counted.
const (
	tick       = 3 * time.Second
	warmUpDays = 2
	totalDays  = 8
	dayLength  = 24 * time.Hour
	// springDay has 23 hours on the wall and autumnDay 25.
	springDay = 3
	autumnDay = 6
	// changeHour is the wall hour at which clocks change.
	changeHour = 3
)

// wallHour returns the hour of the wallHour clock, from 0 to 24.
func wallHour(elapsed time.Duration) float64 {
	hours := elapsed.Hours()
	if elapsed >= springDay*dayLength+changeHour*time.Hour {
		hours++
	}
	if elapsed >= autumnDay*dayLength+changeHour*time.Hour {
		hours--
	}
	return math.Mod(hours, 24)
}

// busyPeriod is one busy time of the day.
type busyPeriod struct {
	hour  float64
	width float64
	share float64
}

// curve is the mean demand over the wall clock's day.
type curve struct {
	base        float64
	busyPeriods []busyPeriod
	// peak is the demand at a share of 1, in slots.
	peak float64
}

func (c curve) demandAt(hour float64) float64 {
	share := c.base
	for _, h := range c.busyPeriods {
		distance := math.Abs(hour - h.hour)
		distance = min(distance, 24-distance) / h.width
		share += h.share * math.Exp(-distance*distance/2)
	}
	return c.peak * share
}

// workload is the demand of one pool, tick by tick: its mean follows the day, and
// in its turn it asks for about five times that, between its turns for about a
// twentieth.
type workload struct {
	curve  curve
	random *rand.Rand
	drift  float64
}

// burstSchedule tells whose queue is in its moment. A turn lasts one tick or two, and
// between two burstSchedule of a queue come those of the others, in any order.
type burstSchedule struct {
	random    *rand.Rand
	order     []int
	ticksLeft int
}

// next returns the queue whose turn the next tick is.
func (t *burstSchedule) next(count int) int {
	if t.ticksLeft > 0 {
		t.ticksLeft--
		return t.order[0]
	}
	if len(t.order) > 0 {
		t.order = t.order[1:]
	}
	if len(t.order) == 0 {
		t.order = t.random.Perm(count)
	}
	t.ticksLeft = t.random.IntN(maxBurstTicks)
	return t.order[0]
}

// maxBurstTicks is the greatest length of a turn, in ticks.
const maxBurstTicks = 2

// Shape of a queue's swings.
const (
	burstFactor    = 5.0
	calmFactor     = 1.0 / 20
	burstVariation = 0.2
	driftStdDev    = 0.0035
	driftDecay     = 0.001
)

func (q *workload) next(elapsed time.Duration, isBurst bool) float64 {
	q.drift += driftStdDev*q.random.NormFloat64() - driftDecay*q.drift
	mean := q.curve.demandAt(wallHour(elapsed)) * math.Exp(q.drift)
	factor := calmFactor
	if isBurst {
		factor = burstFactor * (1 - burstVariation/2 + burstVariation*q.random.Float64())
	}
	return mean * factor
}
