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
func newController(t *testing.T) (*admit.Controller, route.Grant) {
	c := admit.New(route.New(route.Config{
		Share: func(glade.HostListing, int) int { return 1 }, Random: rand.New(rand.NewPCG(1, 1)),
	}))
	c.Update(start, []glade.HostListing{{Host: "h", Incarnation: 1, Service: "quotes"}})
	grant, ok := c.Admit(start, newRequest("a", time.Minute), nil).Grant()
	qt.Assert(t, ok, qt.IsTrue)
	c.Done(start, "quotes", grant, route.Success, time.Second)
	grant, ok = c.Admit(start, newRequest("a", time.Minute), nil).Grant()
	qt.Assert(t, ok, qt.IsTrue)
	return c, grant
}

func newRequest(customer glade.Customer, left time.Duration) admit.Request {
	return admit.Request{Customer: customer, Service: "quotes", Deadline: start.Add(left), QueueLimit: 4, Weight: 1}
}

// expectRefused checks the reason of a refusal and that its retry delay is at
// least one second.
func expectRefused(t *testing.T, d admit.Decision, reason glade.Reason) {
	t.Helper()
	qt.Check(t, d.Reason(), qt.Equals, reason)
	qt.Check(t, d.RetryAfter() >= time.Second, qt.IsTrue)
}

// expectOrder releases the slot repeatedly and checks which request gets it.
func expectOrder(t *testing.T, c *admit.Controller, grant route.Grant, owners ...string) {
	t.Helper()
	for _, owner := range owners {
		decisions := c.Done(start, "quotes", grant, route.NotAttempted, 0)
		qt.Assert(t, decisions, qt.HasLen, 1)
		qt.Check(t, decisions[0].Waiter().Value(), qt.Equals, owner)
		grant, _ = decisions[0].Grant()
	}
}

func TestEarliestDeadlineFirst(t *testing.T) {
	c, grant := newController(t)
	c.Admit(start, newRequest("a", 30*time.Second), "later")
	c.Admit(start, newRequest("a", 20*time.Second), "sooner")
	expectOrder(t, c, grant, "sooner", "later")
}

func TestCustomersTakeTurns(t *testing.T) {
	c, grant := newController(t)
	for _, owner := range []string{"a1", "a2", "a3"} {
		c.Admit(start, newRequest("a", 30*time.Second), owner)
	}
	c.Admit(start, newRequest("b", 30*time.Second), "b1")
	expectOrder(t, c, grant, "a1", "b1", "a2", "a3")
}

func TestRefusals(t *testing.T) {
	c, _ := newController(t)
	expectRefused(t, c.Admit(start, newRequest("a", 0), nil), glade.ReasonDeadline)
	expectRefused(t, c.Admit(start, newRequest("a", 1500*time.Millisecond), nil), glade.ReasonDeadline)
	for range 4 {
		qt.Check(t, c.Admit(start, newRequest("a", time.Minute), nil).Waiter(), qt.IsNotNil)
	}
	expectRefused(t, c.Admit(start, newRequest("a", time.Minute), nil), glade.ReasonQueueFull)
	qt.Check(t, c.Admit(start, newRequest("b", time.Minute), nil).Waiter(), qt.IsNotNil)
}

func TestQueuedRequestIsRefusedWithoutEndpoints(t *testing.T) {
	c, _ := newController(t)
	c.Admit(start, newRequest("a", time.Minute), "a")
	decisions := c.Update(start, nil)
	qt.Assert(t, decisions, qt.HasLen, 1)
	expectRefused(t, decisions[0], glade.ReasonNoEndpoints)
}

func TestCancelQueuedRequest(t *testing.T) {
	c, grant := newController(t)
	d := c.Admit(start, newRequest("a", time.Minute), "a")
	qt.Check(t, c.Cancel(d.Waiter()), qt.IsTrue)
	qt.Check(t, c.Cancel(d.Waiter()), qt.IsFalse)
	qt.Check(t, c.Done(start, "quotes", grant, route.Success, time.Second), qt.HasLen, 0)
}
