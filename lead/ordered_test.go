package lead_test

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	glade "indigoglade"
	"indigoglade/bubble"
	"indigoglade/lead"
)

const hostLease = 3 * time.Second

// moveUnderCut lets two hosts move machines one after the other: the first one loses
// the store while it moves them, and the second one takes over.
func moveUnderCut(t *testing.T, limits lead.Limits, check func(c *qt.C, s *cluster, second glade.Node)) {
	bubble.Test(t, func(t *testing.T) {
		c := qt.New(t)
		s := newCluster(c)
		defer s.shutdown()
		s.limits = limits
		s.start("h1")
		s.sleep(4 * time.Second)
		s.start("h2")
		first, second := glade.Node("h1"), glade.Node("h2")
		s.sleep(time.Second)
		for i := range 60 {
			s.submit(first, glade.BatchID(fmt.Sprint(i)), 2)
		}
		c.Assert(s.inventory.ordersFrom(first) > 0, qt.IsTrue)
		s.links[first].cut.Store(true)
		for i := range 150 {
			s.sleep(100 * time.Millisecond)
			if i > 40 {
				s.submit(second, glade.BatchID(fmt.Sprint("x", i)), 2)
			}
		}
		s.links[first].cut.Store(false)
		check(c, s, second)
	})
}

// TestOrderedHosts guards against two leaders that order one host, which checks no
// fencing token, within the lease: a leader that has lost the store goes on while
// another one takes over.
func TestOrderedHosts(t *testing.T) {
	limits := lead.Limits{MaxLease: 10 * time.Second, Retention: time.Minute, HostLease: hostLease}
	t.Run("are ordered by one leader at a time", func(t *testing.T) {
		moveUnderCut(t, limits, func(c *qt.C, s *cluster, second glade.Node) {
			c.Assert(s.inventory.mixedOrders(hostLease), qt.HasLen, 0)
			c.Assert(s.inventory.ordersFrom(second) > 0, qt.IsTrue)
		})
	})
	t.Run("would be ordered by two, if they had to check tokens and did not", func(t *testing.T) {
		limits := limits
		limits.HostsCheckFences = true
		moveUnderCut(t, limits, func(c *qt.C, s *cluster, _ glade.Node) {
			c.Assert(s.inventory.mixedOrders(hostLease), qt.Not(qt.HasLen), 0)
		})
	})
}
