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

// wall returns the hour of the wall clock, from 0 to 24.
func wall(since time.Duration) float64 {
	hours := since.Hours()
	if since >= springDay*dayLength+changeHour*time.Hour {
		hours++
	}
	if since >= autumnDay*dayLength+changeHour*time.Hour {
		hours--
	}
	return math.Mod(hours, 24)
}

// hump is one busy time of the day.
type hump struct {
	hour  float64
	width float64
	share float64
}

// curve is the mean demand over the wall clock's day.
type curve struct {
	base  float64
	humps []hump
	// top is the demand at a share of 1, in slots.
	top float64
}

func (c curve) at(hour float64) float64 {
	share := c.base
	for _, h := range c.humps {
		away := math.Abs(hour - h.hour)
		away = min(away, 24-away) / h.width
		share += h.share * math.Exp(-away*away/2)
	}
	return c.top * share
}

// queue is the demand of one pool, tick by tick: its mean follows the day, and
// in its turn it asks for about five times that, between its turns for about a
// twentieth.
type queue struct {
	curve  curve
	random *rand.Rand
	drift  float64
}

// turns tells whose queue is in its moment. A turn lasts one tick or two, and
// between two turns of a queue come those of the others, in any order.
type turns struct {
	random *rand.Rand
	order  []int
	left   int
}

// next returns the queue whose turn the next tick is.
func (t *turns) next(queues int) int {
	if t.left > 0 {
		t.left--
		return t.order[0]
	}
	if len(t.order) > 0 {
		t.order = t.order[1:]
	}
	if len(t.order) == 0 {
		t.order = t.random.Perm(queues)
	}
	t.left = t.random.IntN(maxTurn)
	return t.order[0]
}

// maxTurn is the greatest length of a turn, in ticks.
const maxTurn = 2

// Shape of a queue's swings.
const (
	burst     = 5.0
	calm      = 1.0 / 20
	swing     = 0.2
	driftStep = 0.0035
	driftPull = 0.001
)

func (q *queue) next(since time.Duration, isTurn bool) float64 {
	q.drift += driftStep*q.random.NormFloat64() - driftPull*q.drift
	mean := q.curve.at(wall(since)) * math.Exp(q.drift)
	factor := calm
	if isTurn {
		factor = burst * (1 - swing/2 + swing*q.random.Float64())
	}
	return mean * factor
}
