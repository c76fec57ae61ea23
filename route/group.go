package route

import (
	"math/rand/v2"
	"time"

	glade "indigoglade"
)

// maxShare is the greatest number of slots of one endpoint that an entry host
// may fill.
const maxShare = 16

// group indexes the endpoints of a service by their requests in flight, so that
// a choice costs the same for any number of endpoints.
type group struct {
	targets []*target
	// free lists the endpoints with a free slot by requests in flight.
	free [maxShare][]*target
	// out lists the ejected endpoints.
	out   []*target
	slots int
}

// place moves an endpoint to where it belongs after a change.
func (g *group) place(t *target) {
	if t.listed {
		list := g.free[t.level]
		last := list[len(list)-1]
		list[t.index] = last
		last.index = t.index
		g.free[t.level] = list[:len(list)-1]
		t.listed = false
	}
	if !t.isFree() {
		return
	}
	t.level = t.flight
	t.index = len(g.free[t.level])
	g.free[t.level] = append(g.free[t.level], t)
	t.listed = true
}

// choose returns a random one of the endpoints with the fewest requests in
// flight, other than avoid if there is another.
func (g *group) choose(random *rand.Rand, avoid glade.Endpoint) *target {
	var last *target
	for level := range g.free {
		list := g.free[level]
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

// eject takes an endpoint out for a time that doubles with each ejection,
// unless too many are out already.
func (g *group) eject(now time.Time, t *target) {
	if len(g.out)+1 > int(float64(len(g.targets))*ejectCap) {
		g.place(t)
		return
	}
	pause := min(ejectPause<<t.ejections, ejectMost)
	t.ejections = min(t.ejections+1, ejectDoublings)
	t.until = now.Add(pause)
	t.ejected = true
	g.out = append(g.out, t)
	g.place(t)
}

// restore brings back the endpoints whose time out has ended, with one slot.
func (g *group) restore(now time.Time) {
	kept := g.out[:0]
	for _, t := range g.out {
		if now.Before(t.until) {
			kept = append(kept, t)
			continue
		}
		t.ejected = false
		t.ramp = 1
		t.score = returnScore
		g.place(t)
	}
	g.out = kept
}
