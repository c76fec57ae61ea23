package lead

import (
	"context"
	"sync"
	"time"

	glade "indigoglade"
	"indigoglade/link"
	"indigoglade/sched"
)

// CloseArgs asks for the load of a service, and for runners to be emptied.
type CloseArgs struct {
	Service glade.Service    `json:"service"`
	Runners []glade.RunnerID `json:"runners,omitempty"`
	// Lend is the room that other pools can lend, in thousandths of a core.
	Lend int `json:"lend"`
	// Gone names silent runners that the inventory did not know as up when it was
	// read, Age milliseconds ago.
	Gone []glade.RunnerID `json:"gone,omitempty"`
	Age  int64            `json:"age,omitempty"`
}

// CloseReply tells the load of a service.
type CloseReply struct {
	Leads bool       `json:"leads"`
	Load  sched.Load `json:"load"`
}

const methodClose = "close"

// readLoads asks the lead of each service for its load, and to empty runners.
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

// loadAsk asks one lead. All are asked at once, as one that is out of reach
// takes its whole time.
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
