package lead_test

import (
	"context"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	glade "indigoglade"
	"indigoglade/bubble"
	"indigoglade/lead"
)

// Services and paths of a contract that moves a path.
const (
	firstService  glade.Service = "first"
	secondService glade.Service = "second"
	movedPath                   = "a.example/p/"
)

// pathRules returns a version of the contract that sends the path to a queue of a service.
func pathRules(version int64, queue glade.Queue, to glade.Service) glade.Rules {
	rules := glade.Rules{Version: version}
	for _, service := range []glade.Service{firstService, secondService} {
		rules.Services = append(rules.Services, glade.ServiceRule{Service: service})
		rules.Queues = append(rules.Queues, glade.QueueRule{Queue: "own" + glade.Queue(service), Host: "a.example", Prefix: "/" + string(service) + "/", Service: service, MaxFailures: 3, Stretch: 2, Slack: time.Second})
	}
	if queue != "" {
		rules.Queues = append(rules.Queues, glade.QueueRule{Queue: queue, Host: "A.example", Prefix: "/p/", Service: to, MaxFailures: 3, Stretch: 2, Slack: time.Second})
	}
	return rules
}

// pathCluster is a cluster whose contract moves a path.
type pathCluster struct {
	*cluster
	rules glade.Rules
}

// runPath runs a test with three hosts. The path belongs to the first service.
func runPath(t *testing.T, name string, test func(c *qt.C, s *pathCluster)) {
	t.Run(name, func(t *testing.T) {
		bubble.Test(t, func(t *testing.T) {
			c := qt.New(t)
			s := &pathCluster{cluster: newCluster(c), rules: pathRules(1, "q", firstService)}
			defer s.shutdown()
			s.runners = newFakeRunners(4)
			s.runners.services = []glade.Service{firstService, secondService}
			s.peers = newPeerNetwork()
			s.cluster.rules = s.rules
			for _, node := range []glade.Node{"h1", "h2", "h3"} {
				s.start(node)
			}
			s.sleep(6 * time.Second)
			test(c, s)
			c.Assert(s.runners.duplicates, qt.Equals, 0)
		})
	})
}

// apply puts a contract into force on some hosts.
func (s *pathCluster) apply(rules glade.Rules, nodes ...glade.Node) {
	s.rules, s.cluster.rules = rules, rules
	for _, node := range nodes {
		s.managers[node].SetRules(rules)
	}
}

// target returns the queue and the service to which a contract sends the path.
func target(rules glade.Rules) (glade.Queue, glade.Service) {
	for _, rule := range rules.Queues {
		if rule.Path() == movedPath {
			return rule.Queue, rule.Service
		}
	}
	return "", ""
}

// send submits a batch with a long-running task at a host that has a contract.
func (s *pathCluster) send(node glade.Node, rules glade.Rules, id glade.BatchID) lead.SubmitCode {
	queue, service := target(rules)
	work := glade.Batch{Spec: lastingSpec, Steps: []glade.Step{{Count: 1, Need: glade.Need{CPU: 100, Memory: 10}, LongRunning: true}}}
	return s.managers[node].Router().Submit(context.Background(), lead.SubmitArgs{Service: service, ID: id, Queue: queue, Path: movedPath, Batch: work}, submitTimeout).Code
}

func (s *pathCluster) state(node glade.Node, id glade.BatchID) (known bool) {
	s.c.Helper()
	_, service := target(s.rules)
	reply, err := s.managers[node].Router().State(context.Background(), lead.BatchArgs{Service: service, ID: id, Path: movedPath}, submitTimeout)
	s.c.Assert(err, qt.IsNil)
	return reply.Known
}

func (s *pathCluster) cancelBatch(node glade.Node, id glade.BatchID) (known bool) {
	s.c.Helper()
	_, service := target(s.rules)
	known, err := s.managers[node].Router().Cancel(context.Background(), lead.BatchArgs{Service: service, ID: id, Path: movedPath}, submitTimeout)
	s.c.Assert(err, qt.IsNil)
	return known
}

// TestMovedPath guards against a batch that nobody knows any more, or that runs twice, after
// the contract has sent its path to another service.
func TestMovedPath(t *testing.T) {
	ways := map[string]glade.Queue{"the queue moves": "q", "another queue gets the path": "q2"}
	for way, queue := range ways {
		runPath(t, way, func(c *qt.C, s *pathCluster) {
			c.Assert(s.send("h1", s.rules, "x"), qt.Equals, lead.SubmitAccepted)
			s.sleep(time.Second)
			s.apply(pathRules(2, queue, secondService), "h1", "h2", "h3")
			s.sleep(2 * time.Second)
			for _, node := range []glade.Node{"h1", "h2", "h3"} {
				c.Assert(s.state(node, "x"), qt.IsTrue)
				c.Assert(s.send(node, s.rules, "x"), qt.Equals, lead.SubmitAccepted)
				c.Assert(s.state(node, "unknown"), qt.IsFalse)
			}
			c.Assert(s.runners.countRunning(), qt.Equals, 1)
			c.Assert(s.send("h2", s.rules, "y"), qt.Equals, lead.SubmitAccepted)
			s.sleep(time.Second)
			c.Assert(s.runners.countRunning(), qt.Equals, 2)
			c.Assert(s.cancelBatch("h3", "x"), qt.IsTrue)
			s.sleep(time.Second)
			c.Assert(s.runners.countRunning(), qt.Equals, 1)
			c.Assert(s.cancelBatch("h3", "z"), qt.IsFalse)
			c.Assert(s.send("h1", s.rules, "z"), qt.Equals, lead.SubmitAccepted) // it was cancelled before
			s.sleep(time.Second)
			c.Assert(s.runners.countRunning(), qt.Equals, 1)
		})
	}
	runPath(t, "while hosts have different versions of the contract", func(c *qt.C, s *pathCluster) {
		before := s.rules
		c.Assert(s.send("h1", before, "x"), qt.Equals, lead.SubmitAccepted)
		after := pathRules(2, "q", secondService)
		for _, node := range []glade.Node{"h1", "h2", "h3"} {
			s.apply(after, node)
			for _, sender := range []glade.Node{"h1", "h2", "h3"} {
				for _, rules := range []glade.Rules{before, after} {
					code := s.send(sender, rules, "x")
					c.Assert(code == lead.SubmitAccepted || code == lead.SubmitUnknown, qt.IsTrue, qt.Commentf("%s", code))
				}
			}
		}
		s.sleep(2 * time.Second)
		c.Assert(s.send("h2", after, "x"), qt.Equals, lead.SubmitAccepted)
		c.Assert(s.runners.countRunning(), qt.Equals, 1)
	})
	runPath(t, "after its leaders were replaced", func(c *qt.C, s *pathCluster) {
		c.Assert(s.send("h1", s.rules, "x"), qt.Equals, lead.SubmitAccepted)
		s.apply(pathRules(2, "q", secondService), "h1", "h2", "h3")
		s.sleep(2 * time.Second)
		for _, node := range []glade.Node{"h1", "h2"} {
			s.crash(node)
			s.sleep(4 * time.Second)
		}
		c.Assert(s.send("h3", s.rules, "x"), qt.Equals, lead.SubmitAccepted)
		c.Assert(s.state("h3", "x"), qt.IsTrue)
		c.Assert(s.cancelBatch("h3", "x"), qt.IsTrue)
		s.sleep(2 * time.Second)
		c.Assert(s.runners.countRunning(), qt.Equals, 0)
	})
	runPath(t, "and no answer denies it while the former service has no leader", func(c *qt.C, s *pathCluster) {
		c.Assert(s.send("h1", s.rules, "x"), qt.Equals, lead.SubmitAccepted)
		s.apply(pathRules(2, "q", secondService), "h1", "h2", "h3")
		s.sleep(2 * time.Second)
		former := s.termOf(firstService).Node
		at := glade.Node("h1")
		if former == at {
			at = "h2"
		}
		if s.termOf(secondService).Node == former {
			return // both are led by one host, which the test before covers
		}
		s.peers.setCut(former)
		c.Assert(s.send(at, s.rules, "x"), qt.Equals, lead.SubmitUnknown)
		_, err := s.managers[at].Router().State(context.Background(), lead.BatchArgs{Service: secondService, ID: "x", Path: movedPath}, submitTimeout)
		c.Assert(err, qt.IsNotNil)
	})
}

// TestRemovedQueue guards against a batch that is tried for ever after the contract has removed
// its queue: the limit of attempts is that of the rule under which it came.
func TestRemovedQueue(t *testing.T) {
	runPath(t, "keeps the limits of its batches", func(c *qt.C, s *pathCluster) {
		s.runners.mu.Lock()
		s.runners.fails = true
		s.runners.mu.Unlock()
		queue, service := target(s.rules)
		work := glade.Batch{Spec: "s", Steps: []glade.Step{{Count: 1, Need: glade.Need{CPU: 100, Memory: 10}, Estimate: 500}}}
		reply := s.managers["h1"].Router().Submit(context.Background(), lead.SubmitArgs{Service: service, ID: "x", Queue: queue, Path: movedPath, Batch: work}, submitTimeout)
		c.Assert(reply.Code, qt.Equals, lead.SubmitAccepted)
		s.apply(pathRules(2, "", ""), "h1", "h2", "h3")
		leader := s.termOf(firstService).Node
		s.crash(leader)
		s.sleep(15 * time.Second)
		for node := range s.managers {
			if node == leader {
				continue
			}
			state, err := s.managers[node].Router().State(context.Background(), lead.BatchArgs{Service: firstService, ID: "x"}, submitTimeout)
			c.Assert(err, qt.IsNil)
			c.Assert(state.State, qt.Equals, glade.BatchFailed)
		}
	})
}

// TestExplainMovedPath guards against an explanation as of a new batch for one that a former service of
// the path knows, or may know.
func TestExplainMovedPath(t *testing.T) {
	explain := func(s *pathCluster, node glade.Node, id glade.BatchID) lead.ExplainReply {
		s.c.Helper()
		queue, service := target(s.rules)
		args := lead.ExplainArgs{Service: service, Queue: queue, ID: id, Batch: glade.Batch{Steps: []glade.Step{{Count: 1, Need: glade.Need{CPU: 100}}}}}
		reply := s.managers[node].Router().Explain(context.Background(), args, submitTimeout)
		s.c.Assert(reply.IsLeader, qt.IsTrue)
		s.c.Assert(reply.Explanation, qt.IsNotNil)
		return reply
	}
	runPath(t, "a former service knows it", func(c *qt.C, s *pathCluster) {
		c.Assert(s.send("h1", s.rules, "x"), qt.Equals, lead.SubmitAccepted)
		s.sleep(time.Second)
		s.apply(pathRules(2, "q2", secondService), "h1", "h2", "h3")
		s.sleep(2 * time.Second)
		for _, node := range []glade.Node{"h1", "h2", "h3"} {
			reply := explain(s, node, "x")
			c.Assert(reply.Explanation.Known, qt.IsTrue)
			c.Assert(reply.Holder, qt.Equals, firstService)
			reply = explain(s, node, "unknown")
			c.Assert(reply.Explanation.Known, qt.IsFalse)
			c.Assert([]glade.Service{reply.Holder}, qt.DeepEquals, []glade.Service{""})
			c.Assert(reply.Unasked, qt.HasLen, 0)
		}
	})
	runPath(t, "a former service does not answer", func(c *qt.C, s *pathCluster) {
		former, other := s.moveWithWaiting()
		if s.termOf(secondService).Node == former {
			return
		}
		s.peers.setCut(former)
		reply := explain(s, other, "x0")
		c.Assert(reply.Explanation.Known, qt.IsFalse)
		c.Assert(reply.Unasked, qt.DeepEquals, []glade.Service{firstService})
	})
}
