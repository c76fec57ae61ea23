package route_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	glade "indigoglade"
	"indigoglade/route"
)

var start = time.Unix(1000, 0)

func rows(n int) []glade.HostListing {
	var list []glade.HostListing
	for i := range n {
		list = append(list, glade.HostListing{Host: glade.Host(fmt.Sprint("h", i)), Incarnation: 1, Service: "quotes"})
	}
	return list
}

func newRouter(n, share int) *route.Router {
	r := route.New(route.Config{Share: func(_ glade.HostListing, kept int) int { return share - kept }, Random: rand.New(rand.NewPCG(1, 1))})
	r.Update(start, rows(n))
	return r
}

// drain reserves every free slot and returns the grants by host.
func drain(r *route.Router, now time.Time) map[glade.Host][]route.Grant {
	taken := make(map[glade.Host][]route.Grant)
	for {
		g, ok := r.Pick(now, "quotes", glade.Endpoint{})
		if !ok {
			return taken
		}
		taken[g.Endpoint().Host] = append(taken[g.Endpoint().Host], g)
	}
}

func TestPickFillsEverySlotOnce(t *testing.T) {
	taken := drain(newRouter(5, 3), start)
	qt.Check(t, taken, qt.HasLen, 5)
	for host, grants := range taken {
		qt.Check(t, grants, qt.HasLen, 3, qt.Commentf("%s", host))
	}
}

func TestRowThatIsListedTwiceCountsOnce(t *testing.T) {
	r := newRouter(1, 3)
	r.Update(start, append(rows(1), rows(1)...))
	qt.Check(t, r.Slots("quotes"), qt.Equals, 3)
	taken := 0
	for range 10 {
		if _, ok := r.Pick(start, "quotes", glade.Endpoint{}); ok {
			taken++
		}
	}
	qt.Check(t, taken, qt.Equals, 3)
}

func TestPickAvoidsEarlierEndpoint(t *testing.T) {
	r := newRouter(2, 8)
	first, _ := r.Pick(start, "quotes", glade.Endpoint{})
	for range 5 {
		next, ok := r.Pick(start, "quotes", first.Endpoint())
		qt.Assert(t, ok, qt.IsTrue)
		qt.Check(t, next.Endpoint(), qt.Not(qt.Equals), first.Endpoint())
		r.Done(start, next, route.Success)
	}
}

func TestExcludedEndpointStaysExcluded(t *testing.T) {
	r := newRouter(2, 8)
	qt.Check(t, r.ExcludeEndpoint(glade.Endpoint{Host: "h0", Incarnation: 1}), qt.IsTrue)
	r.Update(start, rows(2))
	qt.Check(t, r.Slots("quotes"), qt.Equals, 8)
	qt.Check(t, drain(r, start), qt.HasLen, 1)
}

func TestInFlightCountsWhenARowReturns(t *testing.T) {
	r := newRouter(1, 8)
	qt.Check(t, drain(r, start)["h0"], qt.HasLen, 8)
	r.Update(start, nil)
	r.Update(start, rows(1))
	qt.Check(t, drain(r, start)["h0"], qt.HasLen, 0)
}

// fail makes 200 attempts, or fewer if no slot is free. Attempts on bad hosts
// fail.
func fail(r *route.Router, now time.Time, bad func(glade.Host) bool) {
	for range 200 {
		g, ok := r.Pick(now, "quotes", glade.Endpoint{})
		if !ok {
			return
		}
		result := route.Success
		if bad(g.Endpoint().Host) {
			result = route.Failure
		}
		r.Done(now, g, result)
	}
}

func TestEjection(t *testing.T) {
	r := newRouter(4, 8)
	fail(r, start, func(h glade.Host) bool { return h == "h1" })
	t.Run("out", func(t *testing.T) {
		taken := drain(r, start)
		qt.Check(t, taken["h1"], qt.HasLen, 0)
		qt.Check(t, taken["h2"], qt.HasLen, 8)
		for _, grants := range taken {
			for _, g := range grants {
				r.Done(start, g, route.NotAttempted)
			}
		}
	})
	t.Run("readmitted with one slot", func(t *testing.T) {
		qt.Check(t, drain(r, start.Add(2*time.Second))["h1"], qt.HasLen, 1)
	})
}

func TestEjectionCap(t *testing.T) {
	r := newRouter(4, 8)
	fail(r, start, func(glade.Host) bool { return true })
	qt.Check(t, drain(r, start), qt.HasLen, 2)
}

func TestOnlyEndpointIsNotEjected(t *testing.T) {
	r := newRouter(1, 1)
	fail(r, start, func(glade.Host) bool { return true })
	qt.Check(t, drain(r, start)["h0"], qt.HasLen, 1)
}

func TestSharesAddUp(t *testing.T) {
	for n := 1; n <= 9; n++ {
		var nodes []glade.Node
		for i := range n {
			nodes = append(nodes, glade.Node(fmt.Sprint("e", i)))
		}
		sum := 0
		for _, node := range nodes {
			sum += route.Share("h7", 8, node, nodes)
		}
		qt.Check(t, sum, qt.Equals, 8, qt.Commentf("%d nodes", n))
	}
}

func TestEndpointThatCameBackKeepsASlotForItsVerification(t *testing.T) {
	r := newRouter(1, 3)
	back := rows(1)
	r.ExcludeEndpoint(back[0].Endpoint())
	back[0].Incarnation = 2
	r.Update(start, back)
	qt.Check(t, drain(r, start)["h0"], qt.HasLen, 2)
	later := start.Add(time.Minute)
	r.Update(later, back)
	qt.Check(t, drain(r, later)["h0"], qt.HasLen, 1)
}
