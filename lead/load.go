package lead

import (
	"context"
	"sync"
	"time"

	glade "indigoglade"
	"indigoglade/jrpc"
	"indigoglade/sched"
)

// LoadArgs is the fleet leader's request to the leader of a service: it asks for
// the service's load, and that runners are evacuated.
type LoadArgs struct {
	Service glade.Service `json:"service"`
	// EvacuateRunners lists the runners to evacuate.
	EvacuateRunners []glade.RunnerID `json:"runners,omitempty"`
	// Lendable is the capacity that other pools could lend, in millicores.
	Lendable int `json:"lend"`
	// RunnersGone lists unresponsive runners that belonged to no host that was
	// up when the inventory was last read.
	RunnersGone []glade.RunnerID `json:"gone,omitempty"`
	// InventoryAgeMs is the time since the inventory was last read, in milliseconds.
	InventoryAgeMs int64 `json:"age,omitempty"`
}

// LoadReply returns the load of a service. The load is not set if the called host
// does not lead the service or has not loaded its state yet.
type LoadReply struct {
	IsLeader bool       `json:"leads"`
	Load     sched.Load `json:"load"`
}

const methodLoad = "close"

// fetchLoads asks the leader of each service for its load, and to evacuate runners.
func (f *FleetLeader) fetchLoads(ctx context.Context, rules glade.Rules) map[glade.Service]sched.Load {
	f.mu.Lock()
	evacuating := f.planner.Evacuating()
	lendable := f.planner.Lendable()
	gone := f.planner.RunnersGone()
	age := f.clock.Now().Sub(f.inventoryAt).Milliseconds()
	f.mu.Unlock()
	loads := make(map[glade.Service]sched.Load)
	var mu sync.Mutex
	var group sync.WaitGroup
	for _, rule := range rules.Services {
		if rule.Spare {
			continue
		}
		c := &loadCall{
			fleet: f, mu: &mu, group: &group, loads: loads,
			args: LoadArgs{Service: rule.Service, EvacuateRunners: evacuating[rule.Service], Lendable: lendable[rule.Service], RunnersGone: gone[rule.Service], InventoryAgeMs: age},
		}
		group.Add(1)
		go c.run(ctx)
	}
	group.Wait()
	return loads
}

// loadCall asks one leader for its load. All leaders are asked at the same time,
// because an unreachable one uses up its whole timeout.
type loadCall struct {
	fleet *FleetLeader
	mu    *sync.Mutex
	group *sync.WaitGroup
	args  LoadArgs
	loads map[glade.Service]sched.Load
}

func (c *loadCall) run(ctx context.Context) {
	defer c.group.Done()
	m := c.fleet.manager
	bounded, cancel := context.WithTimeout(ctx, loadTimeout)
	defer cancel()
	reply, _, err := route(bounded, m.router, c.args.Service, methodLoad, c.args, func() (LoadReply, error) {
		return m.loadLocal(c.args), nil
	})
	if err != nil || !reply.IsLeader {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.loads[c.args.Service] = reply.Load
}

func (m *Manager) loadLocal(in LoadArgs) LoadReply {
	leader, ok := m.LocalLeader(in.Service)
	if !ok {
		return LoadReply{}
	}
	reply := LoadReply{IsLeader: true}
	if !leader.withSched(func(scheduler *sched.Scheduler) {
		now := leader.clock.Now()
		scheduler.Evacuate(in.EvacuateRunners, now)
		scheduler.Lendable(in.Lendable, now)
		scheduler.RunnersGone(in.RunnersGone, now.Add(-time.Duration(in.InventoryAgeMs)*time.Millisecond), now)
		reply.Load = scheduler.Demand(now)
	}) {
		return LoadReply{}
	}
	return reply
}

func (m *Manager) handleLoad(mux *jrpc.Mux) {
	jrpc.Handle(mux, methodLoad, func(_ context.Context, in LoadArgs) (LoadReply, error) {
		return m.loadLocal(in), nil
	})
}
