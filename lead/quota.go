package lead

import (
	"context"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-logr/logr"

	glade "indigoglade"
	"indigoglade/quota"
	"indigoglade/sched"
)

// tenantScheduler is the part of a scheduler that the limits of tenants need.
type tenantScheduler interface {
	// TenantDemands returns the demands of tenants with use or demand.
	TenantDemands() []sched.TenantDemand
	// SetAllowance sets what a tenant may use of the service.
	SetAllowance(tenant glade.Tenant, a sched.Allowance)
}

// limitsConfig configures the limits of one service leader.
type limitsConfig struct {
	service glade.Service
	epoch   int64
	table   glade.PartitionedTable
	clock   glade.Clock
	log     logr.Logger
	// access calls do with the scheduler under its lock. It returns false if there is none.
	access func(do func(scheduler tenantScheduler)) bool
	// ask sends a request to the leader of a service. It returns false without an answer.
	ask func(ctx context.Context, service glade.Service, in YieldArgs) (YieldReply, bool)
	// changed is called when an allowance has changed.
	changed func()
}

// tenantLimits keeps a service's shares of the limits of all tenants. It does nothing
// while the contract limits no tenant and no work of a tenant was accepted.
type tenantLimits struct {
	config limitsConfig
	wakeUp chan struct{}
	slots  chan struct{} // semaphore that bounds the requests to other leaders in flight
	active atomic.Bool

	mu      sync.Mutex
	version int64 // of the contract
	limits  map[glade.Tenant]glade.Need
	listed  map[glade.Tenant]bool
	tenants map[glade.Tenant]*tenantLimit
	// allowances are those that the scheduler has.
	allowances map[glade.Tenant]sched.Allowance
}

// tenantLimit is the state of one tenant.
type tenantLimit struct {
	holder *quota.Holder
	// done is closed and replaced after each call to the store.
	done chan struct{}
	// unanswered counts the requests of the present round without a result.
	unanswered int
	// isInvalid is set while the stored row can't be decoded.
	isInvalid bool
	// isWoken is set when something happened since the last decision, and dueAt is when the
	// next one is due at the latest, zero if only events matter.
	isWoken bool
	dueAt   time.Time
	demand  quota.Demand
	counts  ShareCounts
}

// ShareCounts counts what a leader did for its share of a tenant's limit.
type ShareCounts struct {
	Reads    int `json:"reads"`
	Writes   int `json:"writes"`
	Failed   int `json:"failed"`
	Requests int `json:"requests"`
	Yielded  int `json:"yielded"`
	Refused  int `json:"refused"`
}

// ShareStats is a service's share of a tenant's limit.
type ShareStats struct {
	Limit      glade.Need  `json:"limit"`
	Share      glade.Need  `json:"share"`
	Allowed    glade.Need  `json:"allowed"`
	Claimed    bool        `json:"claimed"`
	RowVersion int64       `json:"rowVersion"`
	Counts     ShareCounts `json:"counts"`
}

// maxRequests is the number of requests to other leaders that a service has in flight, for
// all tenants together.
const maxRequests = 32

func newTenantLimits(config limitsConfig) *tenantLimits {
	return &tenantLimits{
		config: config, wakeUp: make(chan struct{}, 1), slots: make(chan struct{}, maxRequests),
		tenants: make(map[glade.Tenant]*tenantLimit), allowances: make(map[glade.Tenant]sched.Allowance),
	}
}

// limitsPause is the pause after a step, so that a burst of events costs few steps.
const limitsPause = 5 * time.Millisecond

// run keeps the shares until ctx ends.
func (l *tenantLimits) run(ctx context.Context) {
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-l.wakeUp:
		case <-timer.C:
		}
		next := l.step(ctx)
		if l.config.clock.Sleep(ctx, limitsPause) != nil {
			return
		}
		timer.Stop()
		if !next.IsZero() {
			timer.Reset(max(next.Sub(l.config.clock.Now()), limitsPause))
		}
	}
}

// notify asks for a step after the demand may have changed.
func (l *tenantLimits) notify() {
	if l.active.Load() {
		wake(l.wakeUp)
	}
}

// setRules applies a version of the contract, and stops at once what it no longer allows.
func (l *tenantLimits) setRules(rules glade.Rules) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if rules.Version > l.version {
		now := l.config.clock.Now()
		l.version = rules.Version
		l.limits, l.listed = make(map[glade.Tenant]glade.Need), make(map[glade.Tenant]bool)
		for _, rule := range rules.Tenants {
			l.listed[rule.Tenant] = true
			if rule.Limit != (glade.Need{}) {
				l.limits[rule.Tenant] = rule.Limit
			}
		}
		for tenant, t := range l.tenants {
			t.holder.SetRule(l.rule(tenant), now)
			t.isWoken = true
		}
	}
	l.begin()
}

// begin gives every tenant with a limit, and every one with inherited work, no share until
// its entry is claimed. It is called before the first step of the scheduler, and again for
// each version of the contract. The caller must hold the lock.
func (l *tenantLimits) begin() {
	now := l.config.clock.Now()
	l.config.access(func(scheduler tenantScheduler) {
		demands := scheduler.TenantDemands()
		if len(l.limits) == 0 && len(l.tenants) == 0 && len(l.allowances) == 0 && len(demands) == 0 {
			return
		}
		l.active.Store(true)
		for tenant, limit := range l.limits {
			if l.tenants[tenant] == nil {
				l.allow(scheduler, tenant, newAllowance(quota.Unclaimed(limit)))
			}
		}
		for tenant := range l.allowances {
			if l.tenants[tenant] == nil && l.listed[tenant] && l.limits[tenant] == (glade.Need{}) {
				l.allow(scheduler, tenant, newAllowance(quota.Unclaimed(glade.Need{}))) // it has no limit any more
			}
		}
		l.update(demands, now)
		for tenant, t := range l.tenants {
			l.allow(scheduler, tenant, t.allowance(now))
		}
	})
	wake(l.wakeUp)
}

func (l *tenantLimits) rule(tenant glade.Tenant) quota.Rule {
	return quota.Rule{Version: l.version, Limit: l.limits[tenant], Listed: l.listed[tenant]}
}

// tenant returns the state of a tenant, which it creates if needed. The caller must hold
// the lock.
func (l *tenantLimits) tenant(tenant glade.Tenant, now time.Time) *tenantLimit {
	t, ok := l.tenants[tenant]
	if !ok {
		t = &tenantLimit{holder: quota.New(quota.Config{Service: l.config.service, Epoch: l.config.epoch}), done: make(chan struct{}), isWoken: true}
		t.holder.SetRule(l.rule(tenant), now)
		l.tenants[tenant] = t
	}
	return t
}

// update passes the demands to the holders. The caller must hold both locks, and hold them
// until the new allowances are set, so that no task starts in between.
func (l *tenantLimits) update(demands []sched.TenantDemand, now time.Time) {
	with := make(map[glade.Tenant]bool, len(demands))
	for _, d := range demands {
		if d.Tenant == "" || (l.listed[d.Tenant] && l.limits[d.Tenant] == (glade.Need{}) && l.tenants[d.Tenant] == nil) {
			continue
		}
		with[d.Tenant] = true
		l.tenant(d.Tenant, now).setDemand(quota.Demand{Used: d.Used, Wanted: d.Wanted, Lasting: d.Lasting, Largest: d.Largest, Waited: d.Waited}, now)
	}
	for tenant, t := range l.tenants {
		if !with[tenant] {
			t.setDemand(quota.Demand{}, now)
		}
	}
}

// setDemand sets the demand and notes whether there is something to decide.
func (t *tenantLimit) setDemand(d quota.Demand, now time.Time) {
	if d.Used != t.demand.Used || d.Wanted != t.demand.Wanted || d.Lasting != t.demand.Lasting || d.Largest != t.demand.Largest {
		t.isWoken = true
	}
	t.demand = d
	t.holder.SetDemand(d, now)
}

func newAllowance(share, reachable glade.Need) sched.Allowance {
	return sched.Allowance{Share: share, Reachable: reachable}
}

func (t *tenantLimit) allowance(now time.Time) sched.Allowance {
	return sched.Allowance{Share: t.holder.Share(), Reachable: t.holder.Reachable(now), Limit: t.holder.Limit()}
}

// allow sets an allowance if it has changed. The caller must hold both locks.
func (l *tenantLimits) allow(scheduler tenantScheduler, tenant glade.Tenant, a sched.Allowance) {
	if before, ok := l.allowances[tenant]; ok && before == a {
		return
	}
	l.allowances[tenant] = a
	scheduler.SetAllowance(tenant, a)
	l.config.changed()
}

// step runs one round of decisions for all tenants and starts the calls that they ask for.
// It returns when the next one is due at the latest, zero if only events matter.
func (l *tenantLimits) step(ctx context.Context) time.Time {
	if !l.active.Load() {
		return time.Time{}
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	now, next := l.config.clock.Now(), time.Time{}
	l.config.access(func(scheduler tenantScheduler) {
		l.update(scheduler.TenantDemands(), now)
		for tenant, t := range l.tenants {
			if t.isWoken || (!t.dueAt.IsZero() && !now.Before(t.dueAt)) {
				action := t.holder.Next(now)
				t.isWoken, t.dueAt = false, action.At
				l.allow(scheduler, tenant, t.allowance(now)) // a share is lowered before it is written
				l.startCalls(ctx, tenant, t, action)
			}
			if !t.dueAt.IsZero() && (next.IsZero() || t.dueAt.Before(next)) {
				next = t.dueAt
			}
		}
	})
	return next
}

// startCalls starts the calls for an action. The caller must hold the lock.
func (l *tenantLimits) startCalls(ctx context.Context, tenant glade.Tenant, t *tenantLimit, action quota.Action) {
	switch action.Kind {
	case quota.ActionRead:
		t.counts.Reads++
		c := &shareCall{limits: l, tenant: tenant, state: t}
		go c.run(ctx)
	case quota.ActionWrite:
		t.counts.Writes++
		c := &shareCall{limits: l, tenant: tenant, state: t, write: &action.Write}
		go c.run(ctx)
	case quota.ActionAsk:
		t.unanswered = len(action.Requests)
		t.counts.Requests += len(action.Requests)
		for service, request := range action.Requests {
			c := &yieldCall{limits: l, tenant: tenant, state: t, service: service, request: request}
			go c.run(ctx)
		}
	}
}

// stats returns the shares of all tenants that have had demand.
func (l *tenantLimits) stats() map[glade.Tenant]ShareStats {
	l.mu.Lock()
	defer l.mu.Unlock()
	stats := make(map[glade.Tenant]ShareStats, len(l.tenants))
	for tenant, t := range l.tenants {
		row, version := t.holder.Row()
		stats[tenant] = ShareStats{
			Limit: t.holder.Limit(), Share: row.Shares[l.config.service].Need, Allowed: t.holder.Share(),
			Claimed: t.holder.IsClaimed(), RowVersion: version, Counts: t.counts,
		}
	}
	return stats
}

// shareCall reads the row of a tenant, or replaces it if write is set.
type shareCall struct {
	limits *tenantLimits
	tenant glade.Tenant
	state  *tenantLimit
	write  *quota.Write
}

func (c *shareCall) run(ctx context.Context) {
	bounded, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	if c.write == nil {
		c.read(bounded)
	} else {
		c.commit(bounded)
	}
	wake(c.limits.wakeUp)
}

func (c *shareCall) read(ctx context.Context) {
	l := c.limits
	found, err := l.config.table.Get(ctx, tableQuota, quota.Partition(c.tenant), singletonKey)
	l.mu.Lock()
	defer l.mu.Unlock()
	defer c.finish()
	now := l.config.clock.Now()
	row, ok := c.parse(found)
	if err != nil || !ok {
		c.state.counts.Failed++
		c.state.holder.ReadFailed(now)
		return
	}
	c.state.holder.ReadDone(row, found.Version, now)
}

// parse decodes a row that was read; an absent one is empty. The caller must hold the lock.
func (c *shareCall) parse(found glade.PartitionRow) (quota.Row, bool) {
	if found.Version == 0 {
		return quota.Row{}, true
	}
	row, err := quota.ParseRow(found.Value)
	if err != nil && !c.state.isInvalid {
		c.limits.config.log.Error(err, "the shares of a tenant are unknown: nothing starts for it", "tenant", c.tenant, "service", c.limits.config.service, "rowVersion", found.Version)
	}
	c.state.isInvalid = err != nil
	return row, err == nil
}

func (c *shareCall) commit(ctx context.Context) {
	l, w := c.limits, *c.write
	row := glade.PartitionRow{Table: tableQuota, Part: quota.Partition(c.tenant), Key: singletonKey, Value: encodeRow(w.Row)}
	check := row
	check.Version = w.Version
	began := l.config.clock.Now()
	version, rows, result := l.config.table.Commit(ctx, glade.PartitionTxn{Checks: []glade.PartitionRow{check}, Puts: []glade.PartitionRow{row}})
	l.mu.Lock()
	defer l.mu.Unlock()
	defer c.finish()
	now := l.config.clock.Now()
	holder := c.state.holder
	switch result {
	case glade.Committed:
		holder.Written(w, version, now)
	case glade.Conflicted:
		holder.Conflicted(w, now)
		i := slices.IndexFunc(rows, func(r glade.PartitionRow) bool { return r.Table == tableQuota && !r.Deleted })
		if i >= 0 {
			if current, ok := c.parse(rows[i]); ok {
				holder.Observe(current, rows[i].Version, now)
			}
		}
	case glade.Unavailable, glade.Rejected:
		c.state.counts.Failed++
		holder.Failed(w, now)
	default:
		c.state.counts.Failed++
		holder.Uncertain(now)
	}
	name := "share changed"
	if w.Claims {
		name = "share claimed"
	}
	l.config.log.Info(name, "tenant", c.tenant, "service", l.config.service, "epoch", l.config.epoch, "from", w.From, "to", w.To,
		"limit", w.Row.Limit, "contract", w.Row.Version, "rowVersion", version, "result", result.String(), "ms", now.Sub(began).Milliseconds())
}

// finish wakes those who wait for a result of the store. The caller must hold the lock.
func (c *shareCall) finish() {
	c.state.isWoken = true
	close(c.state.done)
	c.state.done = make(chan struct{})
}
