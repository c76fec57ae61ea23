package lead

import (
	"context"
	"fmt"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/go-logr/logr"

	glade "indigoglade"
	"indigoglade/bubble"
	"indigoglade/clock"
	"indigoglade/memory"
	"indigoglade/quota"
	"indigoglade/sched"
)

const limitedTenant glade.Tenant = "t"

// fakeService is a service whose scheduler starts what it wants as soon as it may.
type fakeService struct {
	mu     sync.Mutex
	limits *tenantLimits
	cancel context.CancelFunc
	// items are the needs of the tenant's waiting tasks or gangs, used is what runs.
	items      []int
	used       int
	waitBegan  time.Time
	allowances map[glade.Tenant]sched.Allowance
	table      glade.PartitionedTable
	// isRefused: the store refuses this host. isLossy: its answers to writes are lost.
	isRefused, isLossy, isDead atomic.Bool
	requests                   atomic.Int64
}

func (f *fakeService) TenantDemands() []sched.TenantDemand {
	if len(f.items) == 0 && f.used == 0 {
		return nil
	}
	d := sched.TenantDemand{Tenant: limitedTenant, Used: glade.Need{CPU: f.used}, Wanted: glade.Need{CPU: f.used}}
	for _, item := range f.items {
		d.Wanted.CPU += item
		d.Largest.CPU = max(d.Largest.CPU, item)
		d.Waited = time.Since(f.waitBegan)
	}
	return []sched.TenantDemand{d}
}

func (f *fakeService) SetAllowance(tenant glade.Tenant, a sched.Allowance) {
	f.allowances[tenant] = a
	f.start()
}

// start starts what the allowance permits. The caller must hold the lock.
func (f *fakeService) start() {
	for len(f.items) > 0 && f.used+f.items[0] <= f.allowances[limitedTenant].Share.CPU {
		f.used += f.items[0]
		f.items = f.items[1:]
	}
}

func (f *fakeService) access(do func(tenantScheduler)) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	do(f)
	return true
}

// Commit is refused while the store refuses this host.
func (f *fakeService) Commit(ctx context.Context, txn glade.PartitionTxn) (int64, []glade.PartitionRow, glade.CommitResult) {
	if f.isRefused.Load() {
		return 0, nil, glade.Unavailable
	}
	if f.isLossy.Load() {
		f.table.Commit(ctx, txn)
		return 0, nil, glade.Uncertain
	}
	return f.table.Commit(ctx, txn)
}

func (f *fakeService) ListPage(ctx context.Context, table, part, from string, limit int) (glade.RowPage, error) {
	return f.table.ListPage(ctx, table, part, from, limit)
}

func (f *fakeService) Partitions(context.Context, string) ([]string, error) { return nil, nil }

func (f *fakeService) List(ctx context.Context, table, part string) ([]glade.PartitionRow, int64, error) {
	return f.table.List(ctx, table, part)
}

func (f *fakeService) Get(ctx context.Context, table, part, key string) (glade.PartitionRow, error) {
	if f.isRefused.Load() {
		return glade.PartitionRow{}, errNotLeader
	}
	return f.table.Get(ctx, table, part, key)
}

func (f *fakeService) Feed(ctx context.Context, table string, after int64, wait time.Duration) ([]glade.PartitionRow, int64, error) {
	return f.table.Feed(ctx, table, after, wait)
}

// want adds waiting tasks.
func (f *fakeService) want(items ...int) {
	f.mu.Lock()
	f.items, f.waitBegan = append(f.items, items...), time.Now()
	f.start()
	f.mu.Unlock()
	f.limits.notify()
}

// end ends everything that runs.
func (f *fakeService) end() {
	f.mu.Lock()
	f.used = 0
	f.start()
	f.mu.Unlock()
	f.limits.notify()
}

func (f *fakeService) running() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.used
}

func (f *fakeService) allowance(tenant glade.Tenant) sched.Allowance {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.allowances[tenant]
}

func (f *fakeService) share() int { return f.allowance(limitedTenant).Share.CPU }

// limitsCluster is some services that share a tenant's limit of 100 CPU.
type limitsCluster struct {
	c        *qt.C
	table    *memory.PartitionedTable
	mu       sync.Mutex
	services map[glade.Service]*fakeService
	rules    glade.Rules
}

func limitRules(version int64, limit int) glade.Rules {
	return glade.Rules{Version: version, Tenants: []glade.TenantRule{{Tenant: limitedTenant, Limit: glade.Need{CPU: limit}}, {Tenant: "free"}}}
}

// lead starts a leader of a service with a given epoch.
func (s *limitsCluster) lead(service glade.Service, epoch int64, items ...int) *fakeService {
	f := &fakeService{allowances: make(map[glade.Tenant]sched.Allowance), table: s.table, items: items, waitBegan: time.Now()}
	f.limits = newTenantLimits(limitsConfig{
		service: service, epoch: epoch, table: f, clock: clock.System{}, log: logr.Discard(), access: f.access, ask: s.ask, changed: func() {},
	})
	ctx, cancel := context.WithCancel(context.Background())
	f.cancel = cancel
	s.mu.Lock()
	s.services[service] = f
	s.mu.Unlock()
	f.limits.setRules(s.rules)
	go f.limits.run(ctx)
	return f
}

func (s *limitsCluster) ask(ctx context.Context, service glade.Service, in YieldArgs) (YieldReply, bool) {
	time.Sleep(time.Millisecond)
	s.mu.Lock()
	f := s.services[service]
	s.services[in.From].requests.Add(1)
	s.mu.Unlock()
	if f == nil || f.isDead.Load() {
		<-ctx.Done()
		return YieldReply{}, false
	}
	return f.limits.yield(ctx, in), true
}

// apply puts another limit in force everywhere.
func (s *limitsCluster) apply(limit int) {
	s.rules = limitRules(s.rules.Version+1, limit)
	for _, f := range s.services {
		f.limits.setRules(s.rules)
	}
}

// row returns the tenant's row.
func (s *limitsCluster) row() quota.Row {
	s.c.Helper()
	found, err := s.table.Get(context.Background(), tableQuota, string(limitedTenant), singletonKey)
	s.c.Assert(err, qt.IsNil)
	row, err := quota.ParseRow(found.Value)
	s.c.Assert(err, qt.IsNil)
	return row
}

func (s *limitsCluster) expectRunning(service glade.Service, want int) {
	s.c.Helper()
	s.c.Assert(s.services[service].running(), qt.Equals, want)
}

// writes returns the number of transactions that were sent.
func (s *limitsCluster) writes() (n int) {
	for _, f := range s.services {
		for _, share := range f.limits.stats() {
			n += share.Counts.Writes
		}
	}
	return n
}

// expectQuiet checks that nothing is read, written or asked for any more.
func (s *limitsCluster) expectQuiet(d time.Duration) {
	s.c.Helper()
	time.Sleep(time.Second)
	count := func() (n int) {
		for _, f := range s.services {
			n += int(f.requests.Load())
			for _, share := range f.limits.stats() {
				n += share.Counts.Reads + share.Counts.Writes
			}
		}
		return n
	}
	before := count()
	time.Sleep(d)
	s.c.Assert(count(), qt.Equals, before)
}

func runLimits(t *testing.T, name string, test func(c *qt.C, s *limitsCluster)) {
	t.Run(name, func(t *testing.T) {
		bubble.Test(t, func(t *testing.T) {
			c := qt.New(t)
			s := &limitsCluster{c: c, table: memory.NewPartitionedTable(), services: make(map[glade.Service]*fakeService), rules: limitRules(1, 100)}
			s.table.SetDelay(10 * time.Millisecond)
			defer func() {
				for _, f := range s.services {
					f.cancel()
				}
				time.Sleep(storeTimeout) // until the calls in flight have ended
			}()
			test(c, s)
		})
	})
}

// Work must not wait for the limit longer than the calls take, and a service at rest must
// cost nothing.
func TestLimits(t *testing.T) {
	runLimits(t, "a share is claimed and raised within 100 ms, and nothing is sent at rest", func(c *qt.C, s *limitsCluster) {
		a := s.lead("a", 1)
		c.Assert(a.share(), qt.Equals, 0)
		c.Assert(a.allowance("free"), qt.Equals, sched.Allowance{})
		c.Assert(a.allowance(limitedTenant).Reachable.CPU, qt.Equals, 100)
		a.want(30)
		time.Sleep(100 * time.Millisecond)
		s.expectRunning("a", 30)
		a.want(30)
		time.Sleep(100 * time.Millisecond)
		s.expectRunning("a", 60)
		s.expectQuiet(time.Minute)
	})
	runLimits(t, "what another service doesn't need is yielded within 100 ms", func(c *qt.C, s *limitsCluster) {
		a, b := s.lead("a", 1), s.lead("b", 1)
		a.want(90)
		time.Sleep(100 * time.Millisecond)
		a.end()
		b.want(80)
		time.Sleep(100 * time.Millisecond)
		s.expectRunning("b", 80)
		c.Assert(b.requests.Load(), qt.Equals, int64(1))
	})
	runLimits(t, "two services at the limit get equal parts and then send little", func(c *qt.C, s *limitsCluster) {
		a, b := s.lead("a", 1), s.lead("b", 1)
		many := strings.Split(strings.Repeat("x", 400), "")
		for range many {
			a.want(10)
			b.want(10)
		}
		for range 20 {
			time.Sleep(400 * time.Millisecond)
			a.end()
			b.end()
		}
		time.Sleep(100 * time.Millisecond)
		s.expectRunning("a", 50)
		s.expectRunning("b", 50)
		before := a.requests.Load() + b.requests.Load()
		time.Sleep(10 * time.Second)
		sent := a.requests.Load() + b.requests.Load() - before
		c.Assert(sent <= 12, qt.IsTrue, qt.Commentf("%d requests", sent))
	})
	runLimits(t, "an idle share returns to the unallocated part", func(c *qt.C, s *limitsCluster) {
		a := s.lead("a", 1)
		a.want(90)
		time.Sleep(time.Second)
		a.end()
		time.Sleep(20 * time.Second)
		c.Assert(s.row().Shares["a"].CPU, qt.Equals, 0)
		s.expectQuiet(time.Minute)
	})
	runLimits(t, "a contract without tenants costs no call", func(_ *qt.C, s *limitsCluster) {
		s.rules = glade.Rules{Version: 1}
		s.lead("a", 1)
		s.expectQuiet(time.Minute)
	})
	runLimits(t, "a tenant that left the contract keeps the limit of its row", func(c *qt.C, s *limitsCluster) {
		a := s.lead("a", 1)
		a.want(60)
		time.Sleep(time.Second)
		s.rules = glade.Rules{Version: 2}
		a.limits.setRules(s.rules)
		a.want(60)
		time.Sleep(time.Second)
		s.expectRunning("a", 60)
		a.cancel()
		next := s.lead("a", 2, 60, 60)
		time.Sleep(time.Second)
		c.Assert(next.share() <= 100, qt.IsTrue)
		s.expectRunning("a", 60)
	})
	runLimits(t, "a name that is no partition name is hashed", func(c *qt.C, s *limitsCluster) {
		long := glade.Tenant(strings.Repeat("x", 201))
		a := s.lead("a", 1)
		a.limits.yield(context.Background(), YieldArgs{Service: "a", Tenant: long})
		c.Assert(a.limits.tenants[long], qt.IsNotNil)
		call := shareCall{limits: a.limits, tenant: long, state: a.limits.tenants[long], write: &quota.Write{}}
		call.run(context.Background())
		found, err := s.table.Get(context.Background(), tableQuota, quota.Partition(long), singletonKey)
		c.Assert(err, qt.IsNil)
		c.Assert(found.Version > 0, qt.IsTrue)
	})
	// Services that wait after a conflict must not come back with a row that is old again.
	runLimits(t, "many services settle a lower limit with few transactions", func(c *qt.C, s *limitsCluster) {
		const services = 60
		for i := range services {
			s.lead(glade.Service(fmt.Sprint("s", i)), 1).want(10)
		}
		s.apply(1000)
		time.Sleep(2 * time.Second)
		before := s.writes()
		s.apply(700)
		time.Sleep(time.Second)
		writes, running := s.writes()-before, 0
		for _, f := range s.services {
			f.want(1)
		}
		began := time.Now()
		for running < 11*services && time.Since(began) < 6*time.Second {
			time.Sleep(100 * time.Millisecond)
			running = 0
			for _, f := range s.services {
				running += f.running()
			}
		}
		c.Logf("%d transactions, %d running after %s", writes, running, time.Since(began))
		c.Assert(writes <= 4*services, qt.IsTrue, qt.Commentf("%d transactions", writes))
		c.Assert(running, qt.Equals, 11*services)
	})
	runLimits(t, "an invalid row starts nothing and is read again", func(_ *qt.C, s *limitsCluster) {
		s.table.Put(glade.PartitionRow{Table: tableQuota, Part: string(limitedTenant), Key: singletonKey, Value: []byte("{")})
		a := s.lead("a", 1)
		a.want(10)
		time.Sleep(time.Second)
		s.expectRunning("a", 0)
		s.table.Put(glade.PartitionRow{Table: tableQuota, Part: string(limitedTenant), Key: singletonKey, Value: []byte("{}")})
		time.Sleep(time.Second)
		s.expectRunning("a", 10)
	})
}

// A fault must neither bring the tenant above its limit nor keep its work waiting.
func TestLimitFaults(t *testing.T) {
	runLimits(t, "takeover during a raise: the late write has no effect after the claim", func(c *qt.C, s *limitsCluster) {
		a := s.lead("a", 1)
		a.want(20)
		time.Sleep(time.Second)
		s.table.SetFault(memory.PartitionedDelayWrites)
		a.want(70)
		time.Sleep(100 * time.Millisecond)
		s.expectRunning("a", 20)
		a.cancel()
		s.table.SetFault(memory.PartitionedHealthy)
		next := s.lead("a", 2)
		next.want(30)
		time.Sleep(200 * time.Millisecond)
		s.expectRunning("a", 30)
		c.Assert(s.table.ApplyDelayed(), qt.Equals, 0)
		c.Assert(s.row().Shares["a"].Epoch, qt.Equals, int64(2))
		a.limits.step(context.Background()) // the predecessor resumes
		time.Sleep(time.Second)
		a.limits.step(context.Background())
		c.Assert(a.share(), qt.Equals, 0)
	})
	runLimits(t, "lost answer of a lowering: the smaller share counts until it is settled", func(c *qt.C, s *limitsCluster) {
		a, b := s.lead("a", 1), s.lead("b", 1)
		a.want(90)
		b.want(1)
		time.Sleep(time.Second)
		a.end()
		a.isLossy.Store(true)
		b.want(80)
		time.Sleep(100 * time.Millisecond)
		a.want(90) // it comes while the write is uncertain
		c.Assert(a.running()+b.running() <= 100, qt.IsTrue)
		c.Assert(a.share() <= 20, qt.IsTrue, qt.Commentf("share %d", a.share()))
		a.isLossy.Store(false)
		time.Sleep(time.Second)
		c.Assert(a.running()+b.running() <= 100, qt.IsTrue)
		s.expectRunning("b", 81)
	})
	runLimits(t, "holder dead: its next leader claims the share and yields it", func(c *qt.C, s *limitsCluster) {
		a, b := s.lead("a", 1), s.lead("b", 1)
		a.want(90)
		time.Sleep(time.Second)
		a.cancel()
		a.isDead.Store(true)
		b.want(80)
		time.Sleep(2 * time.Second)
		s.expectRunning("b", 0)
		s.lead("a", 2)
		time.Sleep(2500 * time.Millisecond)
		s.expectRunning("b", 80)
		c.Assert(s.row().Shares["a"].Epoch, qt.Equals, int64(2))
	})
	runLimits(t, "store refuses one leader: it runs on within its share and yields nothing", func(c *qt.C, s *limitsCluster) {
		a, b := s.lead("a", 1), s.lead("b", 1)
		a.want(60)
		b.want(10)
		time.Sleep(time.Second)
		a.isRefused.Store(true)
		b.want(70)
		time.Sleep(time.Second)
		s.expectRunning("b", 10)
		a.end()
		a.want(40)
		time.Sleep(3 * time.Second)
		c.Assert(a.running()+b.running() <= 100, qt.IsTrue)
		s.expectRunning("a", 40)
		a.isRefused.Store(false)
		a.end()
		time.Sleep(3 * time.Second)
		s.expectRunning("b", 80)
	})
	runLimits(t, "store down for all: work continues within the shares", func(c *qt.C, s *limitsCluster) {
		a, b := s.lead("a", 1), s.lead("b", 1)
		a.want(50)
		b.want(30)
		time.Sleep(time.Second)
		s.table.SetFault(memory.PartitionedDown)
		a.end()
		b.end()
		a.want(50)
		b.want(30, 40)
		time.Sleep(10 * time.Second)
		s.expectRunning("a", 50)
		s.expectRunning("b", 30)
		s.table.SetFault(memory.PartitionedHealthy)
		a.end()
		time.Sleep(3 * time.Second)
		c.Assert(b.running(), qt.Equals, 70)
	})
	// What a holder gives up while it can't write would be lost for both.
	runLimits(t, "store down for all: requests of others stop no work", func(_ *qt.C, s *limitsCluster) {
		a, b := s.lead("a", 1), s.lead("b", 1)
		a.want(96)
		time.Sleep(100 * time.Millisecond)
		b.want(4) // all that is left: it then asks
		time.Sleep(time.Second)
		a.end()
		s.table.SetFault(memory.PartitionedDown)
		for range 5 {
			b.want(50)
			time.Sleep(700 * time.Millisecond)
			a.want(70)
			time.Sleep(100 * time.Millisecond)
			s.expectRunning("a", 70)
			a.end()
		}
	})
	runLimits(t, "a gang that collects the whole limit keeps small work waiting for less than 3 s", func(c *qt.C, s *limitsCluster) {
		a, b := s.lead("a", 1), s.lead("b", 1)
		a.want(40)
		time.Sleep(time.Second)
		b.want(100)
		time.Sleep(2 * time.Second)
		c.Assert(s.row().Shares["b"].CPU >= 50, qt.IsTrue)
		s.lead("c", 1).want(10)
		time.Sleep(2500 * time.Millisecond)
		s.expectRunning("c", 10)
		s.services["c"].end()
		a.end()
		time.Sleep(2 * time.Second)
		s.expectRunning("b", 100)
	})
	runLimits(t, "limit falls below what runs: nothing starts until enough has ended", func(c *qt.C, s *limitsCluster) {
		a, b := s.lead("a", 1), s.lead("b", 1)
		a.want(80)
		b.want(10)
		time.Sleep(time.Second)
		s.apply(50)
		b.want(10)
		time.Sleep(3 * time.Second)
		s.expectRunning("a", 80)
		s.expectRunning("b", 10)
		c.Assert(s.row().Limit.CPU, qt.Equals, 50)
		a.end()
		time.Sleep(2 * time.Second)
		s.expectRunning("b", 20)
		s.expectQuiet(time.Second)
		s.apply(200)
		a.want(150)
		time.Sleep(time.Second)
		s.expectRunning("a", 150)
	})
	runLimits(t, "two gangs that need the whole limit run one after the other", func(c *qt.C, s *limitsCluster) {
		a, b := s.lead("a", 1), s.lead("b", 1)
		a.want(50)
		b.want(50)
		time.Sleep(time.Second)
		b.want(100)
		time.Sleep(50 * time.Millisecond)
		a.want(100)
		time.Sleep(time.Second)
		a.end()
		b.end()
		time.Sleep(2 * time.Second)
		s.expectRunning("b", 100) // it has waited longer
		s.expectRunning("a", 0)
		b.end()
		time.Sleep(2 * time.Second)
		s.expectRunning("a", 100)
		c.Assert(s.row().Shares["b"].CPU, qt.Equals, 0)
	})
	t.Run("a host that no longer leads says so", func(t *testing.T) {
		m := New(Config{Clock: clock.System{}})
		reply := m.yieldLocal(context.Background(), YieldArgs{Service: "a", Tenant: limitedTenant})
		qt.Assert(t, reply.IsLeader, qt.IsFalse)
	})
}
