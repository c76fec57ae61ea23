package admit_test

import (
	"math/rand/v2"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	glade "indigoglade"
	"indigoglade/admit"
	"indigoglade/route"
)

var start = time.Unix(1000, 0)

// newController returns an admission controller over one endpoint with one
// slot. The slot is taken, and the known service time is one second.
func newController(t *testing.T) (*admit.Gate, route.Grant) {
	g := admit.New(route.New(route.Config{
		Share: func(glade.Listed, int) int { return 1 }, Random: rand.New(rand.NewPCG(1, 1)),
	}))
	g.Update(start, []glade.Listed{{Host: "h", Incarnation: 1, Service: "quotes"}})
	grant, ok := g.Ask(start, newRequest("a", time.Minute), nil).Grant()
	qt.Assert(t, ok, qt.IsTrue)
	g.Done(start, "quotes", grant, route.Good, time.Second)
	grant, ok = g.Ask(start, newRequest("a", time.Minute), nil).Grant()
	qt.Assert(t, ok, qt.IsTrue)
	return g, grant
}

func newRequest(customer glade.Customer, left time.Duration) admit.Ask {
	return admit.Ask{Customer: customer, Service: "quotes", Deadline: start.Add(left), Depth: 4, Weight: 1}
}

// expectRefused checks the reason of a refusal and that its retry delay is at
// least one second.
func expectRefused(t *testing.T, d admit.Decision, reason glade.Reason) {
	t.Helper()
	qt.Check(t, d.Reason(), qt.Equals, reason)
	qt.Check(t, d.Retry() >= time.Second, qt.IsTrue)
}

// expectOrder releases the slot repeatedly and checks which request gets it.
func expectOrder(t *testing.T, g *admit.Gate, grant route.Grant, owners ...string) {
	t.Helper()
	for _, owner := range owners {
		decisions := g.Done(start, "quotes", grant, route.Unused, 0)
		qt.Assert(t, decisions, qt.HasLen, 1)
		qt.Check(t, decisions[0].Ticket().Owner(), qt.Equals, owner)
		grant, _ = decisions[0].Grant()
	}
}

func TestEarliestDeadlineFirst(t *testing.T) {
	g, grant := newController(t)
	g.Ask(start, newRequest("a", 30*time.Second), "later")
	g.Ask(start, newRequest("a", 20*time.Second), "sooner")
	expectOrder(t, g, grant, "sooner", "later")
}

func TestCustomersTakeTurns(t *testing.T) {
	g, grant := newController(t)
	for _, owner := range []string{"a1", "a2", "a3"} {
		g.Ask(start, newRequest("a", 30*time.Second), owner)
	}
	g.Ask(start, newRequest("b", 30*time.Second), "b1")
	expectOrder(t, g, grant, "a1", "b1", "a2", "a3")
}

func TestRefusals(t *testing.T) {
	g, _ := newController(t)
	expectRefused(t, g.Ask(start, newRequest("a", 0), nil), glade.ReasonDeadline)
	expectRefused(t, g.Ask(start, newRequest("a", 1500*time.Millisecond), nil), glade.ReasonDeadline)
	for range 4 {
		qt.Check(t, g.Ask(start, newRequest("a", time.Minute), nil).Ticket(), qt.IsNotNil)
	}
	expectRefused(t, g.Ask(start, newRequest("a", time.Minute), nil), glade.ReasonQueue)
	qt.Check(t, g.Ask(start, newRequest("b", time.Minute), nil).Ticket(), qt.IsNotNil)
}

func TestQueuedRequestIsRefusedWithoutEndpoints(t *testing.T) {
	g, _ := newController(t)
	g.Ask(start, newRequest("a", time.Minute), "a")
	decisions := g.Update(start, nil)
	qt.Assert(t, decisions, qt.HasLen, 1)
	expectRefused(t, decisions[0], glade.ReasonEndpoints)
}

func TestCancelQueuedRequest(t *testing.T) {
	g, grant := newController(t)
	d := g.Ask(start, newRequest("a", time.Minute), "a")
	qt.Check(t, g.Quit(d.Ticket()), qt.IsTrue)
	qt.Check(t, g.Quit(d.Ticket()), qt.IsFalse)
	qt.Check(t, g.Done(start, "quotes", grant, route.Good, time.Second), qt.HasLen, 0)
}
