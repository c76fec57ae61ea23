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
	// Epoch is the fencing token of the fleet leader that asks.
	Epoch int64 `json:"epoch"`
	// EvacuateRunners lists the runners to evacuate.
	EvacuateRunners []glade.RunnerID `json:"runners,omitempty"`
	// Lendable is the capacity that other pools could lend, in millicores.
	Lendable int `json:"lend"`
	// RunnersGone lists unresponsive runners whose hosts had another runner when the
	// inventory was last read. Earlier versions sent runners that may work on, as "gone".
	RunnersGone []glade.RunnerID `json:"replaced,omitempty"`
	// RunnersDown lists unresponsive runners whose hosts were not listed as up under them. They may work on.
	RunnersDown []glade.RunnerID `json:"down,omitempty"`
	// InventoryAgeMs is the time since the inventory was last read, in milliseconds.
	InventoryAgeMs int64 `json:"age,omitempty"`
}

// LoadReply returns the load of a service. The load is not set if the called host
// does not lead the service, may have been replaced, has not loaded its state yet, or
// knows a newer fleet leader than the one that asks.
type LoadReply struct {
	IsLeader bool       `json:"leads"`
	Load     sched.Load `json:"load"`
	// FleetEpoch is the newest epoch of a fleet leader that the called host knows.
	FleetEpoch int64 `json:"fleet"`
}

const methodLoad = "close"

// fetchLoads asks the leader of each service for its load, and to evacuate runners. It
// fails if one of them knows a newer fleet leader.
func (f *FleetLeader) fetchLoads(ctx context.Context, rules glade.Rules) (map[glade.Service]sched.Load, error) {
	f.mu.Lock()
	evacuating := f.planner.Evacuating()
	lendable := f.planner.Lendable()
	gone, down := f.planner.RunnersGone(), f.planner.RunnersDown()
	age := f.clock.Now().Sub(f.inventoryAt).Milliseconds()
	f.mu.Unlock()
	collected := &loadReplies{loads: make(map[glade.Service]sched.Load)}
	var group sync.WaitGroup
	var services []glade.Service
	for _, rule := range rules.Services {
		if !rule.Spare {
			services = append(services, rule.Service)
		}
	}
	departed := f.manager.config.Directory.Departed()
	for _, service := range append(services, departed...) {
		c := &loadCall{
			fleet: f, group: &group, replies: collected,
			args: LoadArgs{
				Service: service, Epoch: f.term.Epoch, EvacuateRunners: evacuating[service],
				Lendable: lendable[service], RunnersGone: gone[service], RunnersDown: down[service], InventoryAgeMs: age,
			},
		}
		group.Add(1)
		go c.run(ctx)
	}
	group.Wait()
	if collected.newestEpoch > f.term.Epoch {
		return nil, errNotLeader
	}
	for _, service := range departed { // their pools are not sized any more
		delete(collected.loads, service)
	}
	return collected.loads, nil
}

// loadReplies collects the replies of all leaders.
type loadReplies struct {
	mu    sync.Mutex
	loads map[glade.Service]sched.Load
	// newestEpoch is the newest epoch of a fleet leader that a reply names.
	newestEpoch int64
}

func (r *loadReplies) add(service glade.Service, reply LoadReply) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.newestEpoch = max(r.newestEpoch, reply.FleetEpoch)
	if reply.IsLeader {
		r.loads[service] = reply.Load
	}
}

// loadCall asks one leader for its load. All leaders are asked at the same time,
// because an unreachable one uses up its whole timeout.
type loadCall struct {
	fleet   *FleetLeader
	group   *sync.WaitGroup
	args    LoadArgs
	replies *loadReplies
}

func (c *loadCall) run(ctx context.Context) {
	defer c.group.Done()
	m := c.fleet.manager
	bounded, cancel := context.WithTimeout(ctx, loadTimeout)
	defer cancel()
	reply, _, err := route(bounded, m.router, c.args.Service, methodLoad, c.args, func() (LoadReply, error) {
		return m.loadLocal(c.args), nil
	})
	if err == nil {
		c.replies.add(c.args.Service, reply)
	}
}

// loadLocal answers a fleet leader from the state of a service that this process
// leads. A replaced fleet leader that has lost only the store still reaches other
// hosts: its requests must not take runners out of use beside those of its successor.
func (m *Manager) loadLocal(in LoadArgs) LoadReply {
	newest := m.newestFleetEpoch(in.Epoch)
	leader, ok := m.LocalLeader(in.Service)
	if !ok || in.Epoch < newest {
		return LoadReply{FleetEpoch: newest}
	}
	reply := LoadReply{IsLeader: true, FleetEpoch: newest}
	if !leader.withSched(func(scheduler *sched.Scheduler) {
		now := leader.clock.Now()
		scheduler.Evacuate(in.EvacuateRunners, now)
		scheduler.Lendable(in.Lendable, now)
		scheduler.RunnersDown(in.RunnersDown, now)
		scheduler.RunnersGone(in.RunnersGone, now.Add(-time.Duration(in.InventoryAgeMs)*time.Millisecond), now)
		reply.Load = scheduler.Demand(now)
	}) || leader.mayBeReplaced() { // a successor may have started tasks on runners that are idle here
		return LoadReply{FleetEpoch: newest}
	}
	return reply
}

// newestFleetEpoch records the epoch of a fleet leader that has called, and returns the
// newest one that this process knows from calls and from the stored terms.
func (m *Manager) newestFleetEpoch(caller int64) int64 {
	term, _ := m.config.Directory.Leader(fleetService)
	m.mu.Lock()
	defer m.mu.Unlock()
	m.fleetEpoch = max(m.fleetEpoch, caller, term.Epoch)
	return m.fleetEpoch
}

func (m *Manager) handleLoad(mux *jrpc.Mux) {
	jrpc.Handle(mux, methodLoad, func(_ context.Context, in LoadArgs) (LoadReply, error) {
		return m.loadLocal(in), nil
	})
}
