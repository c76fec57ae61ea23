package jobs

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	glade "indigoglade"
)

// TestDueReports guards against customers whose workers are never polled, because another one has more due hosts than
// a step polls: their runs count as lost.
func TestDueReports(t *testing.T) {
	c := qt.New(t)
	newPolled := func(customer glade.Customer, hosts int) *dispatcher {
		d := &dispatcher{customer: customer, jobsByHost: make(map[glade.Host]map[glade.Ticket]bool), lastPolled: make(map[glade.Host]time.Time)}
		for i := range hosts {
			d.jobsByHost[glade.Host(fmt.Sprintf("%s%d", customer, i))] = nil
		}
		return d
	}
	large, small := newPolled("a", 3*maxWorkerPolls), newPolled("b", 5)
	now := time.Unix(1000, 0)
	polls := 0
	for range 4 {
		reports := dueReports([]*dispatcher{large, small}, now)
		c.Assert(reports, qt.HasLen, maxWorkerPolls)
		for _, r := range reports {
			r.dispatcher.lastPolled[r.host] = now
			if r.dispatcher == small {
				polls++
			}
		}
		now = now.Add(pollPeriod)
	}
	c.Assert(polls, qt.Equals, 5)
}
