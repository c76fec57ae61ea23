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

// newGate returns a gate over one endpoint with one slot, which is taken, and
// whose service time is known to be a second.
func newGate(t *testing.T) (*admit.Gate, route.Grant) {
	g := admit.New(route.New(route.Config{
		Share: func(glade.Listed, int) int { return 1 }, Random: rand.New(rand.NewPCG(1, 1)),
	}))
	g.Update(start, []glade.Listed{{Host: "h", Incarnation: 1, Service: "quotes"}})
	grant, ok := g.Ask(start, ask("a", time.Minute), nil).Grant()
	qt.Assert(t, ok, qt.IsTrue)
	g.Done(start, "quotes", grant, route.Good, time.Second)
	grant, ok = g.Ask(start, ask("a", time.Minute), nil).Grant()
	qt.Assert(t, ok, qt.IsTrue)
	return g, grant
}

func ask(customer glade.Customer, left time.Duration) admit.Ask {
	return admit.Ask{Customer: customer, Service: "quotes", Deadline: start.Add(left), Depth: 4, Weight: 1}
}

// expectRefused checks the reason of a refusal, and that it tells when to come
// back.
func expectRefused(t *testing.T, d admit.Decision, reason glade.Reason) {
	t.Helper()
	qt.Check(t, d.Reason(), qt.Equals, reason)
	qt.Check(t, d.Retry() >= time.Second, qt.IsTrue)
}

// expectOrder frees the slot again and again and checks who gets it.
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
	g, grant := newGate(t)
	g.Ask(start, ask("a", 30*time.Second), "later")
	g.Ask(start, ask("a", 20*time.Second), "sooner")
	expectOrder(t, g, grant, "sooner", "later")
}

func TestCustomersTakeTurns(t *testing.T) {
	g, grant := newGate(t)
	for _, owner := range []string{"a1", "a2", "a3"} {
		g.Ask(start, ask("a", 30*time.Second), owner)
	}
	g.Ask(start, ask("b", 30*time.Second), "b1")
	expectOrder(t, g, grant, "a1", "b1", "a2", "a3")
}

func TestRefusals(t *testing.T) {
	g, _ := newGate(t)
	expectRefused(t, g.Ask(start, ask("a", 0), nil), glade.ReasonDeadline)
	expectRefused(t, g.Ask(start, ask("a", 1500*time.Millisecond), nil), glade.ReasonDeadline)
	for range 4 {
		qt.Check(t, g.Ask(start, ask("a", time.Minute), nil).Ticket(), qt.IsNotNil)
	}
	expectRefused(t, g.Ask(start, ask("a", time.Minute), nil), glade.ReasonQueue)
	qt.Check(t, g.Ask(start, ask("b", time.Minute), nil).Ticket(), qt.IsNotNil)
}

func TestWaitingIsRefusedAtOnceWithoutEndpoints(t *testing.T) {
	g, _ := newGate(t)
	g.Ask(start, ask("a", time.Minute), "a")
	decisions := g.Update(start, nil)
	qt.Assert(t, decisions, qt.HasLen, 1)
	expectRefused(t, decisions[0], glade.ReasonEndpoints)
}

func TestQuit(t *testing.T) {
	g, grant := newGate(t)
	d := g.Ask(start, ask("a", time.Minute), "a")
	qt.Check(t, g.Quit(d.Ticket()), qt.IsTrue)
	qt.Check(t, g.Quit(d.Ticket()), qt.IsFalse)
	qt.Check(t, g.Done(start, "quotes", grant, route.Good, time.Second), qt.HasLen, 0)
}
