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
	// inventory was read, Age milliseconds ago.
	Gone []glade.RunnerID `json:"gone,omitempty"`
	Age  int64            `json:"age,omitempty"`
}

// CloseReply returns the load of a service. The load is not set if the called host
// does not lead the service or has not loaded its state yet.
type CloseReply struct {
	Leads bool       `json:"leads"`
	Load  sched.Load `json:"load"`
}

const methodClose = "close"

// fetchLoads asks the leader of each service for its load, and to drain runners.
func (f *Fleet) readLoads(ctx context.Context, rules glade.Rules) map[glade.Service]sched.Load {
	f.mu.Lock()
	closing := f.plan.Closing()
	lend := f.plan.Lend()
	gone := f.plan.Gone()
	age := f.clock.Now().Sub(f.listed).Milliseconds()
	f.mu.Unlock()
	loads := make(map[glade.Service]sched.Load)
	var mu sync.Mutex
	var group sync.WaitGroup
	for _, rule := range rules.Services {
		if rule.Spare {
			continue
		}
		a := &loadAsk{
			fleet: f, mu: &mu, group: &group, loads: loads,
			args: CloseArgs{Service: rule.Service, Runners: closing[rule.Service], Lend: lend[rule.Service], Gone: gone[rule.Service], Age: age},
		}
		group.Add(1)
		go a.run(ctx)
	}
	group.Wait()
	return loads
}

// loadCall asks one leader for its load. All leaders are asked at the same time,
// because an unreachable one uses up its whole timeout.
type loadAsk struct {
	fleet *Fleet
	mu    *sync.Mutex
	group *sync.WaitGroup
	args  CloseArgs
	loads map[glade.Service]sched.Load
}

func (a *loadAsk) run(ctx context.Context) {
	defer a.group.Done()
	k := a.fleet.keep
	bounded, cancel := context.WithTimeout(ctx, loadTime)
	defer cancel()
	reply, _, err := reach(bounded, k.gate, a.args.Service, methodClose, a.args, func() (CloseReply, error) {
		return k.closeHere(a.args), nil
	})
	if err != nil || !reply.Leads {
		return
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	a.loads[a.args.Service] = reply.Load
}

func (k *Keep) closeHere(in CloseArgs) CloseReply {
	seat, ok := k.Seat(in.Service)
	if !ok {
		return CloseReply{}
	}
	reply := CloseReply{Leads: true}
	if !seat.with(func(built *sched.Sched) {
		now := seat.clock.Now()
		built.Close(in.Runners, now)
		built.Lend(in.Lend, now)
		built.Gone(in.Gone, now.Add(-time.Duration(in.Age)*time.Millisecond), now)
		reply.Load = built.Demand(now)
	}) {
		return CloseReply{}
	}
	return reply
}

func (k *Keep) handleClose(mux *link.Mux) {
	link.Handle(mux, methodClose, func(_ context.Context, in CloseArgs) (CloseReply, error) {
		return k.closeHere(in), nil
	})
}
