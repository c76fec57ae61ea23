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

// newController returns an admission controller for a number of endpoints.
func newController(endpoints int, seed uint64) *admit.Controller {
	random := rand.New(rand.NewPCG(seed, 0))
	controller := admit.New(route.New(route.Config{Share: func(glade.HostListing, int) int { return 8 }, Random: random}))
	var list []glade.HostListing
	for i := range endpoints {
		list = append(list, glade.HostListing{Host: glade.Host(fmt.Sprint("h", i)), Incarnation: 1, Service: service})
	}
	controller.Update(time.Unix(0, 0), list)
	return controller
}

// runDecisions makes n decisions for requests that get a slot at once.
func runDecisions(controller *admit.Controller, n int) error {
	now := time.Unix(1, 0)
	for range n {
		grant, ok := controller.Admit(now, newRequest(now), nil).Grant()
		if !ok {
			return errors.New("request got no slot")
		}
		controller.Done(now, service, grant, route.Success, time.Millisecond)
	}
	return nil
}

func newRequest(now time.Time) admit.Request {
	return admit.Request{Customer: customer, Service: service, Deadline: now.Add(time.Hour), QueueLimit: 1000, Weight: 1}
}

// fillSlots takes every slot, queues one more request, and returns the grant of the last slot.
func fillSlots(controller *admit.Controller) route.Grant {
	now := time.Unix(1, 0)
	var last route.Grant
	for {
		grant, ok := controller.Admit(now, newRequest(now), nil).Grant()
		if !ok {
			return last
		}
		last = grant
	}
}

// runQueuedDecisions frees a slot n times, each time admitting the queued request and queueing the
// next one. It returns the last grant.
func runQueuedDecisions(controller *admit.Controller, last route.Grant, n int) (route.Grant, error) {
	now := time.Unix(1, 0)
	for range n {
		decisions := controller.Done(now, service, last, route.Success, time.Millisecond)
		if len(decisions) != 1 {
			return last, errors.Errorf("%d decisions for one free slot", len(decisions))
		}
		last, _ = decisions[0].Grant()
		controller.Recycle(decisions[0].Waiter())
		if controller.Admit(now, newRequest(now), nil).Waiter() == nil {
			return last, errors.New("request was not queued")
		}
	}
	return last, nil
}

// runAllocs returns the allocations per decision, after a warm-up.
func runAllocs(seed uint64) (float64, error) {
	const decisions = 100_000
	free, full := newController(10, seed), newController(10, seed)
	if err := runDecisions(free, decisions); err != nil {
		return 0, err
	}
	last, err := runQueuedDecisions(full, fillSlots(full), decisions)
	if err != nil {
		return 0, err
	}
	var before, after runtime.MemStats
	runtime.ReadMemStats(&before)
	err = runDecisions(free, decisions)
	if err == nil {
		_, err = runQueuedDecisions(full, last, decisions)
	}
	runtime.ReadMemStats(&after)
	// The integer division rounds away the few allocations of the runtime itself.
	return float64((after.Mallocs - before.Mallocs) / (2 * decisions)), err
}

// runCost returns the time of a decision with 2,600 endpoints relative to that with 10. The two
// alternate, and the fastest of several rounds counts for each.
func runCost(seed uint64) (float64, error) {
	const rounds, decisions = 15, 20_000
	small, large := newController(10, seed), newController(2600, seed)
	var best [2]time.Duration
	for range rounds {
		for i, controller := range []*admit.Controller{small, large} {
			start := time.Now()
			if err := runDecisions(controller, decisions); err != nil {
				return 0, err
			}
			if took := time.Since(start); best[i] == 0 || took < best[i] {
				best[i] = took
			}
		}
	}
	return float64(best[1]) / float64(best[0]), nil
}
