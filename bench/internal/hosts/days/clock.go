// Package days simulates pool sizing over several virtual days with daylight saving changes, queues
// that burst in turn, and failures of hosts, racks and zones.
package days

import (
	"math"
	"math/rand/v2"
	"time"
)

// Timing of a run. The sizer learns the daily load during the warm-up, which is not counted.
const (
	tick       = 3 * time.Second
	warmUpDays = 2
	totalDays  = 8
	dayLength  = 24 * time.Hour
	// On springDay and autumnDay daylight saving starts and ends: they have 23 and 25 hours.
	springDay = 3
	autumnDay = 6
	// changeHour is the hour of the local clock at which it changes.
	changeHour = 3
)

// wallHour returns the local time in hours, from 0 to 24.
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

// busyPeriod is a bell-shaped rise of the demand around one hour of the day.
type busyPeriod struct {
	hour  float64
	width float64
	share float64
}

// curve is the mean demand over a day of local time.
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

// workload generates the demand of one pool for each tick. Its mean follows the curve; while the
// pool bursts, the demand is about five times the mean, otherwise about a twentieth of it.
type workload struct {
	curve  curve
	random *rand.Rand
	drift  float64
}

// burstSchedule decides which workload bursts. A burst lasts one or two ticks. Every workload
// bursts once before any bursts again, in a new random order each time. One additional index stands
// for a time in which none bursts.
type burstSchedule struct {
	random    *rand.Rand
	order     []int
	ticksLeft int
}

// next returns the index, below count, that bursts in the next tick.
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

const maxBurstTicks = 2

// Factors of the mean demand during and between bursts, the random variation of a burst, and the
// parameters of the mean-reverting random walk that shifts the mean.
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
