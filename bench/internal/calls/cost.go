package calls

import (
	"fmt"
	"math/rand/v2"
	"runtime"
	"time"

	"github.com/pkg/errors"

	glade "indigoglade"
	"indigoglade/admit"
	"indigoglade/route"
)

// newGate returns a gate over a number of endpoints.
func newGate(endpoints int, seed uint64) *admit.Controller {
	random := rand.New(rand.NewPCG(seed, 0))
	gate := admit.New(route.New(route.Config{Share: func(glade.Listed, int) int { return 8 }, Random: random}))
	var list []glade.Listed
	for i := range endpoints {
		list = append(list, glade.Listed{Host: glade.Host(fmt.Sprint("h", i)), Incarnation: 1, Service: service})
	}
	gate.Update(time.Unix(0, 0), list)
	return gate
}

// cycle makes n decisions for requests that get a slot at once.
func cycle(gate *admit.Controller, n int) error {
	now := time.Unix(1, 0)
	for range n {
		grant, ok := gate.Admit(now, newAsk(now), nil).Grant()
		if !ok {
			return errors.New("no slot")
		}
		gate.Done(now, service, grant, route.Success, time.Millisecond)
	}
	return nil
}

func newAsk(now time.Time) admit.Request {
	return admit.Request{Customer: customer, Service: service, Deadline: now.Add(time.Hour), MaxQueued: 1000, Weight: 1}
}

// fill takes every slot, lets one request wait, and returns a grant.
func fill(gate *admit.Controller) route.Grant {
	now := time.Unix(1, 0)
	var last route.Grant
	for {
		grant, ok := gate.Admit(now, newAsk(now), nil).Grant()
		if !ok {
			return last
		}
		last = grant
	}
}

// cycleWaiting makes n decisions for requests that wait for a slot, and
// returns the last grant.
func cycleWaiting(gate *admit.Controller, last route.Grant, n int) (route.Grant, error) {
	now := time.Unix(1, 0)
	for range n {
		decisions := gate.Done(now, service, last, route.Success, time.Millisecond)
		if len(decisions) != 1 {
			return last, errors.Errorf("%d decisions for one free slot", len(decisions))
		}
		last, _ = decisions[0].Grant()
		gate.Recycle(decisions[0].Waiter())
		if gate.Admit(now, newAsk(now), nil).Waiter() == nil {
			return last, errors.New("no place in the queue")
		}
	}
	return last, nil
}

// runAllocs returns the allocations per decision, after a warm-up.
func runAllocs(seed uint64) (float64, error) {
	const decisions = 100_000
	free, full := newGate(10, seed), newGate(10, seed)
	if err := cycle(free, decisions); err != nil {
		return 0, err
	}
	last, err := cycleWaiting(full, fill(full), decisions)
	if err != nil {
		return 0, err
	}
	var before, after runtime.MemStats
	runtime.ReadMemStats(&before)
	err = cycle(free, decisions)
	if err == nil {
		_, err = cycleWaiting(full, last, decisions)
	}
	runtime.ReadMemStats(&after)
	// The runtime's own few allocations round to nothing.
	return float64((after.Mallocs - before.Mallocs) / (2 * decisions)), err
}

// runCost returns the cost of a decision at 2,600 endpoints over that at 10,
// both the best of several rounds by turns.
func runCost(seed uint64) (float64, error) {
	const rounds, decisions = 15, 20_000
	small, large := newGate(10, seed), newGate(2600, seed)
	var best [2]time.Duration
	for range rounds {
		for i, gate := range []*admit.Controller{small, large} {
			start := time.Now()
			if err := cycle(gate, decisions); err != nil {
				return 0, err
			}
			if took := time.Since(start); best[i] == 0 || took < best[i] {
				best[i] = took
			}
		}
	}
	return float64(best[1]) / float64(best[0]), nil
}
