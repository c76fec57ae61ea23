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

// TestRejectedWrite guards against a service that loses its leader again and again and accepts nothing
// more, because the store rejects one row and with it each transaction that has it.
func TestRejectedWrite(t *testing.T) {
	expectGoesOn := func(name string, row glade.PartitionRow, check func(c *qt.C, s *cluster)) {
		t.Run(name, func(t *testing.T) {
			bubble.Test(t, func(t *testing.T) {
				c := qt.New(t)
				s := newCluster(c)
				defer s.shutdown()
				s.peers = newPeerNetwork()
				s.start("h1")
				s.sleep(4 * time.Second)
				s.start("h2")
				s.sleep(2 * time.Second)
				c.Assert(s.submit("h1", "bad", 2).Code, qt.Equals, lead.SubmitAccepted)
				epoch := s.termOf(service).Epoch
				for _, link := range s.links {
					link.rejected.Store(&row)
				}
				for i := range 20 {
					reply := s.submit("h2", glade.BatchID(fmt.Sprint(i)), 1)
					c.Assert(reply.Code, qt.Equals, lead.SubmitAccepted, qt.Commentf("%d: %s", i, reply.Reason))
					s.sleep(500 * time.Millisecond)
				}
				s.sleep(3 * time.Second)
				for i := range 20 {
					s.expectState("h1", glade.BatchID(fmt.Sprint(i)), glade.BatchDone)
				}
				check(c, s)
				c.Assert(s.termOf(service).Epoch, qt.Equals, epoch)
				rejections := s.links["h1"].rejections.Load() + s.links["h2"].rejections.Load()
				c.Assert(rejections > 0 && rejections < 40, qt.IsTrue, qt.Commentf("%d rejected transactions", rejections))
			})
		})
	}
	expectGoesOn("beside the progress of a batch", glade.PartitionRow{Table: "mark", Key: "bad"}, func(c *qt.C, s *cluster) {
		for _, link := range s.links {
			link.rejected.Store(nil)
		}
		s.sleep(6 * time.Second)
		row, err := s.table.Get(c.Context(), "mark", string(service), "bad")
		c.Assert(err, qt.IsNil)
		c.Assert(row.Version > 0, qt.IsTrue)
	})
	expectGoesOn("beside a submitted batch", glade.PartitionRow{Table: "work", Key: "large"}, func(c *qt.C, s *cluster) {
		began := time.Now()
		reply := s.submit("h2", "large", 1)
		c.Assert(reply.Code, qt.Equals, lead.SubmitRefused)
		c.Assert(reply.Reason, qt.Equals, lead.ReasonRow)
		c.Assert(time.Since(began) < time.Second, qt.IsTrue)
		s.sleep(3 * time.Second)
	})
}
