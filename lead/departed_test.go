package lead_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	glade "indigoglade"
	"indigoglade/lead"
)

// withoutFirst returns a version of the contract that sends the path to the second service and no longer
// has the first one.
func withoutFirst(version int64) glade.Rules {
	rules := pathRules(version, "q", secondService)
	rules.Services, rules.Queues = rules.Services[1:], rules.Queues[1:]
	return rules
}

// TestDepartedService guards against accepted batches that nobody knows or runs any more, because the contract no
// longer has the service that accepted them.
func TestDepartedService(t *testing.T) {
	all := []glade.Node{"h1", "h2", "h3"}
	expectKept := func(c *qt.C, s *pathCluster, nodes ...glade.Node) {
		c.Helper()
		for _, node := range nodes {
			c.Assert(s.state(node, "x"), qt.IsTrue)
			c.Assert(s.state(node, "unknown"), qt.IsFalse)
			c.Assert(s.send(node, s.rules, "x"), qt.Equals, lead.SubmitAccepted)
		}
		c.Assert(s.runners.countRunning(), qt.Equals, 1)
	}
	others := func(node glade.Node) (list []glade.Node) {
		for _, other := range all {
			if other != node {
				list = append(list, other)
			}
		}
		return list
	}
	start := func(c *qt.C, s *pathCluster) {
		c.Assert(s.send("h1", s.rules, "x"), qt.Equals, lead.SubmitAccepted)
		s.sleep(time.Second)
		s.apply(withoutFirst(2), all...)
		s.sleep(2 * time.Second)
	}
	runPath(t, "keeps its batches", func(c *qt.C, s *pathCluster) {
		start(c, s)
		expectKept(c, s, all...)
	})
	runPath(t, "keeps its batches when its leader is killed", func(c *qt.C, s *pathCluster) {
		start(c, s)
		former := s.termOf(firstService).Node
		s.crash(former)
		s.sleep(6 * time.Second)
		expectKept(c, s, others(former)...)
	})
	runPath(t, "keeps its batches when its leader is killed with the contract's change", func(c *qt.C, s *pathCluster) {
		c.Assert(s.send("h1", s.rules, "x"), qt.Equals, lead.SubmitAccepted)
		s.sleep(time.Second)
		former := s.termOf(firstService).Node
		s.crash(former)
		s.apply(withoutFirst(2), others(former)...)
		s.sleep(8 * time.Second)
		expectKept(c, s, others(former)...)
	})
	runPath(t, "keeps its batches when all hosts are killed", func(c *qt.C, s *pathCluster) {
		start(c, s)
		for _, node := range all {
			s.crash(node)
		}
		s.sleep(time.Second)
		s.runners.mu.Lock()
		clear(s.runners.unreachable)
		s.runners.mu.Unlock()
		for _, node := range all {
			s.start(node)
		}
		s.sleep(15 * time.Second)
		expectKept(c, s, all...)
	})
	runPath(t, "has no leader once its batches are over, until the contract has it again", func(c *qt.C, s *pathCluster) {
		start(c, s)
		c.Assert(s.cancelBatch("h2", "x"), qt.IsTrue)
		s.sleep(2 * time.Second)
		c.Assert(s.runners.countRunning(), qt.Equals, 0)
		c.Assert(s.state("h1", "x"), qt.IsTrue) // its state is kept for as long as any
		s.sleep(2 * time.Minute)
		c.Assert(s.termOf(firstService).Node, qt.Equals, glade.Node(""))
		epoch := s.termOf(firstService).Epoch
		s.sleep(10 * time.Second)
		c.Assert(s.termOf(firstService).Epoch, qt.Equals, epoch)
		s.apply(pathRules(3, "q", firstService), all...)
		s.sleep(4 * time.Second)
		c.Assert(s.termOf(firstService).Epoch, qt.Equals, epoch+1)
		c.Assert(s.send("h1", s.rules, "y"), qt.Equals, lead.SubmitAccepted)
	})
	runPath(t, "is not asked for once it is over", func(c *qt.C, s *pathCluster) {
		queue, service := target(s.rules)
		work := glade.Batch{Spec: "s", Steps: []glade.Step{{Count: 1, Need: glade.Need{CPU: 100, Memory: 10}, Estimate: 800}}}
		args := lead.SubmitArgs{Service: service, ID: "short", Queue: queue, Path: movedPath, Batch: work}
		c.Assert(s.managers["h1"].Router().Submit(c.Context(), args, submitTimeout).Code, qt.Equals, lead.SubmitAccepted)
		former := s.termOf(firstService).Node
		if s.termOf(secondService).Node == former {
			c.Skip("one host leads both services")
		}
		s.peers.setCut(former) // so that the second service never hears from the first
		s.apply(withoutFirst(2), all...)
		s.sleep(3 * time.Second)
		at := s.termOf(secondService).Node
		_, err := s.managers[at].Router().State(c.Context(), lead.BatchArgs{Service: secondService, ID: "unknown", Path: movedPath}, submitTimeout)
		c.Assert(err, qt.IsNotNil)
		s.sleep(2 * time.Minute)
		c.Assert(s.termOf(firstService).Ended, qt.IsTrue)
		c.Assert(s.state(at, "unknown"), qt.IsFalse)
		s.expectWaiting(at, 0)
	})
	runPath(t, "has no leader if it never had one", func(c *qt.C, s *pathCluster) {
		rules := pathRules(2, "q", secondService)
		rules.Services = append(rules.Services, glade.ServiceRule{Service: "other"})
		s.apply(rules, all...)
		s.apply(withoutFirst(3), all...)
		s.sleep(30 * time.Second)
		c.Assert(s.termOf("other").Node, qt.Equals, glade.Node(""))
	})
}
