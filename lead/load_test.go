package lead

import (
	"context"
	"encoding/json"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/go-logr/logr"

	glade "indigoglade"
	"indigoglade/clock"
	"indigoglade/sched"
)

const testService glade.Service = "quotes"

// newLoadedManager returns the manager of a process that leads testService with the
// runners r1 and r2.
func newLoadedManager() *Manager {
	m := New(Config{
		Clock: clock.System{}, Log: logr.Discard(),
		Directory: NewDirectory(DirectoryConfig{Self: "h1", Clock: clock.System{}, Log: logr.Discard()}),
	})
	leader := newServiceLeader(m, &leadership{manager: m, service: testService, clock: clock.System{}, stepWake: make(chan struct{}, 1)})
	now := time.Now()
	leader.sched = sched.New(sched.Config{Service: testService, Epoch: 1}, now)
	leader.sched.SetRunners([]glade.RunnerInfo{{ID: "r1", Service: testService}, {ID: "r2", Service: testService}}, now)
	m.leaders[testService] = leader
	return m
}

// TestRemoteFactor guards against a setting that does not reach the schedulers, so that
// nothing ever waits for a place near its data.
func TestRemoteFactor(t *testing.T) {
	m := New(Config{Clock: clock.System{}, Log: logr.Discard(), Limits: Limits{RemoteFactor: 2.5}})
	qt.Assert(t, m.schedConfig(&leadership{service: testService, term: Term{Epoch: 1}}).RemoteFactor, qt.Equals, 2.5)
}

// evacuating returns the runners that the service evacuates, as the fleet leader of an
// epoch is told.
func evacuating(m *Manager, epoch int64) []glade.RunnerID {
	var ids []glade.RunnerID
	for _, runner := range m.loadLocal(LoadArgs{Service: testService, Epoch: epoch}).Load.Runners {
		if runner.Evacuating {
			ids = append(ids, runner.ID)
		}
	}
	return ids
}

// TestLoadOfReplacedLeader guards against a fleet leader that takes a host whose runner is idle by the account
// of a leader without the store, while its successor has started tasks there.
func TestLoadOfReplacedLeader(t *testing.T) {
	c, m := qt.New(t), newLoadedManager()
	leader := m.leaders[testService]
	leader.sched.LeaderRenewed(time.Now())
	args := LoadArgs{Service: testService, Epoch: 1, EvacuateRunners: []glade.RunnerID{"r1"}}
	c.Assert(m.loadLocal(LoadArgs{Service: testService, Epoch: 1}).IsLeader, qt.IsTrue)
	leader.clock = lateClock{clock.System{}}
	reply := m.loadLocal(args)
	c.Assert(reply.IsLeader, qt.IsFalse)
	c.Assert(reply.Load.Runners, qt.HasLen, 0)
	leader.clock = clock.System{}
	c.Assert(evacuating(m, 1), qt.DeepEquals, []glade.RunnerID{"r1"}) // the order is carried out all the same
}

// TestReplacedFleetLeader guards against two fleet leaders that are obeyed at once: one
// that has lost the store and was replaced still reaches the leaders of services, and
// has them evacuate runners that its successor needs.
func TestReplacedFleetLeader(t *testing.T) {
	evacuate := func(m *Manager, epoch int64, id glade.RunnerID) LoadReply {
		return m.loadLocal(LoadArgs{Service: testService, Epoch: epoch, EvacuateRunners: []glade.RunnerID{id}})
	}
	expectRefused := func(c *qt.C, reply LoadReply, newest int64) {
		c.Helper()
		c.Assert(reply.IsLeader, qt.IsFalse)
		c.Assert(reply.Load.Runners, qt.HasLen, 0)
		c.Assert(reply.FleetEpoch, qt.Equals, newest)
	}
	t.Run("evacuates nothing once its successor has called", func(t *testing.T) {
		c, m := qt.New(t), newLoadedManager()
		c.Assert(evacuate(m, 1, "r1").IsLeader, qt.IsTrue)
		c.Assert(evacuate(m, 2, "r1").IsLeader, qt.IsTrue)
		expectRefused(c, evacuate(m, 1, "r2"), 2)
		c.Assert(evacuating(m, 2), qt.DeepEquals, []glade.RunnerID{"r1"})
	})
	t.Run("evacuates nothing if only the stored term names its successor", func(t *testing.T) {
		c, m := qt.New(t), newLoadedManager()
		m.config.Directory.RecordTerm(fleetService, Term{Node: "h3", Epoch: 3}, 1)
		expectRefused(c, evacuate(m, 2, "r2"), 3)
	})
	t.Run("stops leading when it hears of its successor", func(t *testing.T) {
		c, m := qt.New(t), newLoadedManager()
		f := newFleetLeader(m, &leadership{manager: m, service: fleetService, term: Term{Node: "h1", Epoch: 1}, clock: clock.System{}})
		rules := glade.Rules{Services: []glade.ServiceRule{{Service: testService}}}
		loads, err := f.fetchLoads(context.Background(), rules)
		c.Assert(err, qt.IsNil)
		c.Assert(loads, qt.HasLen, 1)
		evacuate(m, 2, "r1")
		_, err = f.fetchLoads(context.Background(), rules)
		c.Assert(err, qt.Equals, errNotLeader)
	})
}

// expectLeads checks whether a leader that was last confirmed some time ago, and knows no batch, answers a
// question as one.
func expectLeads(t *testing.T, name string, args BatchArgs, renewedAgo time.Duration, want bool) {
	t.Run(name, func(t *testing.T) {
		m := newLoadedManager()
		m.leaders[testService].sched = sched.New(sched.Config{Service: testService, Epoch: 1}, time.Now().Add(-renewedAgo))
		reply := m.stateLocal(args)
		qt.Assert(t, args.ID != "" && reply.Known, qt.IsFalse)
		qt.Assert(t, reply.IsLeader, qt.Equals, want)
	})
}

// TestUnknownBatch guards against a leader that was paused or has lost the store, and tells a
// caller that its batch does not exist, although its successor has accepted it.
func TestUnknownBatch(t *testing.T) {
	args := BatchArgs{Service: testService, ID: "a"}
	expectLeads(t, "is reported by a leader that was confirmed a moment ago", args, time.Second, true)
	expectLeads(t, "is not reported by one that another host may have replaced", args, heartbeatTimeout+time.Second, false)
}

// TestUnconfirmedNumber guards against the number of waiting batches of a leader that was paused or
// has lost the store, although its successor has accepted others.
func TestUnconfirmedNumber(t *testing.T) {
	args := BatchArgs{Service: testService, Queue: "fast"}
	expectLeads(t, "is given by a leader that was confirmed a moment ago", args, time.Second, true)
	expectLeads(t, "is not given by one that another host may have replaced", args, heartbeatTimeout+time.Second, false)
}

// TestRunnersOfEarlierFleetLeaders guards against runs that are given up while they go on: fleet leaders of earlier versions
// report runners whose hosts are listed as down.
func TestRunnersOfEarlierFleetLeaders(t *testing.T) {
	var args LoadArgs
	qt.Assert(t, json.Unmarshal([]byte(`{"service":"a","epoch":1,"gone":["r1"],"age":100}`), &args), qt.IsNil)
	qt.Assert(t, args.RunnersGone, qt.HasLen, 0)
}
