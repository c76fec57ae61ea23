package route

import (
	"math/rand/v2"
	"time"

	glade "indigoglade"
)

// maxShare is the maximum number of slots of one endpoint that an entry host
// may fill.
const maxShare = 16

// group indexes the endpoints of a service by their requests in flight, so that
// choosing one takes the same time for any number of endpoints.
type group struct {
	targets []*target
	// available lists the endpoints with a free slot by requests in flight.
	available      [maxShare][]*target
	ejectedTargets []*target
	slots          int
}

// reindex moves an endpoint to the list where it belongs after a change.
func (g *group) reindex(t *target) {
	if t.indexed {
		list := g.available[t.level]
		last := list[len(list)-1]
		list[t.index] = last
		last.index = t.index
		g.available[t.level] = list[:len(list)-1]
		t.indexed = false
	}
	if !t.hasFreeSlot() {
		return
	}
	t.level = t.inFlight
	t.index = len(g.available[t.level])
	g.available[t.level] = append(g.available[t.level], t)
	t.indexed = true
}

// choose returns a random one of the endpoints with the fewest requests in
// flight, other than avoid if there is another.
func (g *group) choose(random *rand.Rand, avoid glade.Endpoint) *target {
	var last *target
	for level := range g.available {
		list := g.available[level]
		if len(list) == 0 {
			continue
		}
		i := random.IntN(len(list))
		if list[i].row.Endpoint() != avoid {
			return list[i]
		}
		last = list[i]
		if len(list) > 1 {
			return list[(i+1)%len(list)]
		}
	}
	return last
}

// eject takes an endpoint out of use for a time that doubles with each
// ejection, unless too many endpoints are ejected already.
func (g *group) eject(now time.Time, t *target) {
	if len(g.ejectedTargets)+1 > int(float64(len(g.targets))*maxEjectedPart) {
		g.reindex(t)
		return
	}
	duration := min(firstEjection<<t.ejections, longestEjection)
	t.ejections = min(t.ejections+1, maxDoublings)
	t.ejectedUntil = now.Add(duration)
	t.ejected = true
	g.ejectedTargets = append(g.ejectedTargets, t)
	g.reindex(t)
}

// restore readmits the endpoints whose ejection has expired, at first with one
// slot.
func (g *group) restore(now time.Time) {
	kept := g.ejectedTargets[:0]
	for _, t := range g.ejectedTargets {
		if now.Before(t.ejectedUntil) {
			kept = append(kept, t)
			continue
		}
		t.ejected = false
		t.rampSlots = 1
		t.successRatio = restoredRatio
		g.reindex(t)
	}
	g.ejectedTargets = kept
}
