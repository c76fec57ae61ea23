package lead_test

import (
	"context"
	"encoding/json"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	glade "indigoglade"
	"indigoglade/bubble"
	"indigoglade/lead"
	"indigoglade/memory"
)

// term returns the stored term of the service.
func (s *cluster) term() lead.Term {
	s.c.Helper()
	return s.termOf(service)
}

// termOf returns the stored term of a service or of the fleet.
func (s *cluster) termOf(service glade.Service) lead.Term {
	s.c.Helper()
	row, err := s.table.Get(context.Background(), "term", string(service), "it")
	s.c.Assert(err, qt.IsNil)
	var term lead.Term
	if row.Version > 0 {
		s.c.Assert(json.Unmarshal(row.Value, &term), qt.IsNil)
	}
	return term
}

// TestStepDown guards against a service that stays without a leader until heartbeats are
// missed, because its host was asked to stop in the moment in which it began to lead.
func TestStepDown(t *testing.T) {
	expectReleased := func(name string, prepare func(link *tableLink)) {
		t.Run(name, func(t *testing.T) {
			bubble.Test(t, func(t *testing.T) {
				c := qt.New(t)
				s := newCluster(c)
				defer s.shutdown()
				s.start("h1")
				prepare(s.links["h1"])
				for range 100 {
					if s.term().Node != "" {
						break
					}
					s.sleep(50 * time.Millisecond)
				}
				c.Assert(s.term().Node, qt.Equals, glade.Node("h1"))
				s.managers["h1"].StepDown()
				s.sleep(1100 * time.Millisecond)
				c.Assert(s.term().Node, qt.Equals, glade.Node(""))
			})
		})
	}
	expectReleased("while it leads", func(*tableLink) {})
	expectReleased("while it reads the rows", func(link *tableLink) { link.failLists.Store(true) })
	expectReleased("while its claim is under way", func(link *tableLink) { link.slowCommits.Store(true) })
}

// TestStepDownWithoutStore guards against a host that is asked to stop while the store does
// not answer, and waits for the store beyond its grace period: its callers' requests would be
// cut off.
func TestStepDownWithoutStore(t *testing.T) {
	bubble.Test(t, func(t *testing.T) {
		c := qt.New(t)
		s := newCluster(c, "h1")
		defer s.shutdown()
		node := s.leader()
		s.sleep(time.Second)
		s.table.SetFault(memory.PartitionedUnresponsive)
		s.submit(node, "a", 1)
		began := time.Now()
		s.managers[node].StepDown()
		c.Assert(time.Since(began) <= 2*time.Second, qt.IsTrue, qt.Commentf("took %v", time.Since(began)))
		s.crash(node)
	})
}

// TestLeasesInReleasedTerm guards against inherited work that waits beside a dead runner although its leader has released
// the service: the term does not say how long leases may last, or the next leader does not look.
func TestLeasesInReleasedTerm(t *testing.T) {
	bubble.Test(t, func(t *testing.T) {
		c := qt.New(t)
		s := newCluster(c, "h1")
		defer s.shutdown()
		node := s.leader()
		s.sleep(time.Second)
		s.submit(node, "a", 1)
		s.sleep(200 * time.Millisecond)
		s.managers[node].StepDown()
		c.Assert(s.term().Node, qt.Equals, glade.Node(""))
		c.Assert(s.term().LeasesMs > 3000 && s.term().LeasesMs < 5000, qt.IsTrue, qt.Commentf("%d ms", s.term().LeasesMs))
	})
}

// TestSettledTerm guards against a term that says too early, or never, that leases of earlier leaders are over.
func TestSettledTerm(t *testing.T) {
	bubble.Test(t, func(t *testing.T) {
		c := qt.New(t)
		s := newCluster(c, "h1")
		defer s.shutdown()
		s.leader()
		s.sleep(8 * time.Second)
		c.Assert(s.term().IsSettled, qt.IsFalse)
		s.sleep(4 * time.Second)
		c.Assert(s.term().IsSettled, qt.IsTrue)
	})
}
