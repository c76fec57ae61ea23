package lead

import (
	"context"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/go-logr/logr"

	glade "indigoglade"
	"indigoglade/clock"
	"indigoglade/memory"
	"indigoglade/sched"
)

// rulesSetter applies a contract version after a delay.
type rulesSetter struct {
	manager *Manager
	rules   glade.Rules
	delay   time.Duration
	done    chan struct{}
}

func (r *rulesSetter) run() {
	defer close(r.done)
	time.Sleep(r.delay)
	r.manager.SetRules(r.rules)
}

// A leader that loses a contract version while it loads keeps the older one until the next
// version comes: a tenant that has got a limit runs without it.
func TestContractWhileLoading(t *testing.T) {
	const loads = 60
	var runners []glade.RunnerInfo
	for i := range 2000 {
		runners = append(runners, glade.RunnerInfo{ID: glade.RunnerID(rune('a' + i)), Service: "a", Capacity: glade.Need{CPU: 1000}})
	}
	table := memory.NewPartitionedTable()
	for i := range loads {
		directory := NewDirectory(DirectoryConfig{Self: "h", PartitionedTable: table, Clock: clock.System{}, Log: logr.Discard()})
		m := New(Config{Self: "h", PartitionedTable: table, Clock: clock.System{}, Log: logr.Discard(), Directory: directory})
		queues := []glade.QueueRule{{Queue: "q", Service: "a"}}
		m.SetRules(glade.Rules{Version: 1, Queues: queues})
		m.SetRunners(runners)
		l := &leadership{manager: m, clock: clock.System{}, service: "a", term: Term{Epoch: 1}, stepWake: make(chan struct{}, 1), heartbeatAt: time.Now()}
		s := newServiceLeader(m, l)
		m.leaders["a"] = s
		limited := []glade.TenantRule{{Tenant: limitedTenant, Limit: glade.Need{CPU: 1}}}
		r := &rulesSetter{manager: m, rules: glade.Rules{Version: 2, Queues: queues, Tenants: limited}, delay: time.Duration(i) * 20 * time.Microsecond, done: make(chan struct{})}
		go r.run()
		qt.Assert(t, s.loadState(context.Background()), qt.IsNil)
		<-r.done
		work := glade.Batch{Tenant: limitedTenant, Steps: []glade.Step{{Count: 1, Need: glade.Need{CPU: 2}, Estimate: 1}}}
		var admission sched.Admission
		s.withSched(func(scheduler *sched.Scheduler) { admission = scheduler.Submit("b", "q", work, time.Now()) })
		qt.Assert(t, admission.Reason, qt.Equals, "limitsize", qt.Commentf("load %d", i))
	}
}
