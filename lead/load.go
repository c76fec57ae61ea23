package lead

import (
	"context"
	"sync"
	"time"

	glade "indigoglade"
	"indigoglade/link"
	"indigoglade/sched"
)

// CloseArgs is the fleet leader's request to the leader of a service: it asks for
// the service's load, and that runners are drained.
type CloseArgs struct {
	Service glade.Service `json:"service"`
	// Runners lists the runners to drain.
	Runners []glade.RunnerID `json:"runners,omitempty"`
	// Lend is the capacity that other pools could lend, in millicores.
	Lend int `json:"lend"`
	// Gone lists unresponsive runners that belonged to no host that was up when the
	// inventory was last read.
	Gone []glade.RunnerID `json:"gone,omitempty"`
	// Age is the time since the inventory was last read, in milliseconds.
	Age int64 `json:"age,omitempty"`
}

// CloseReply returns the load of a service. The load is not set if the called host
// does not lead the service or has not loaded its state yet.
type CloseReply struct {
	Leads bool       `json:"leads"`
	Load  sched.Load `json:"load"`
}

const methodLoad = "close"

// fetchLoads asks the leader of each service for its load, and to drain runners.
func (f *Fleet) fetchLoads(ctx context.Context, rules glade.Rules) map[glade.Service]sched.Load {
	f.mu.Lock()
	draining := f.planner.Closing()
	lendable := f.planner.Lend()
	gone := f.planner.Gone()
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
			args: CloseArgs{Service: rule.Service, Runners: draining[rule.Service], Lend: lendable[rule.Service], Gone: gone[rule.Service], Age: age},
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
	fleet *Fleet
	mu    *sync.Mutex
	group *sync.WaitGroup
	args  CloseArgs
	loads map[glade.Service]sched.Load
}

func (c *loadCall) run(ctx context.Context) {
	defer c.group.Done()
	m := c.fleet.manager
	bounded, cancel := context.WithTimeout(ctx, loadTimeout)
	defer cancel()
	reply, _, err := route(bounded, m.router, c.args.Service, methodLoad, c.args, func() (CloseReply, error) {
		return m.loadLocal(c.args), nil
	})
	if err != nil || !reply.Leads {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.loads[c.args.Service] = reply.Load
}

func (m *Keep) loadLocal(in CloseArgs) CloseReply {
	leader, ok := m.Seat(in.Service)
	if !ok {
		return CloseReply{}
	}
	reply := CloseReply{Leads: true}
	if !leader.withSched(func(scheduler *sched.Sched) {
		now := leader.clock.Now()
		scheduler.Close(in.Runners, now)
		scheduler.Lend(in.Lend, now)
		scheduler.Gone(in.Gone, now.Add(-time.Duration(in.Age)*time.Millisecond), now)
		reply.Load = scheduler.Demand(now)
	}) {
		return CloseReply{}
	}
	return reply
}

func (m *Keep) handleLoad(mux *link.Mux) {
	link.Handle(mux, methodLoad, func(_ context.Context, in CloseArgs) (CloseReply, error) {
		return m.loadLocal(in), nil
	})
}
