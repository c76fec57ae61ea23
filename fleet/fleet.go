// Package fleet is the part of a keeper that manages the hosts of the pools: it
// watches the hosts of the pools that this keeper is responsible for, and takes
// the next steps.
package fleet

import (
	"context"
	"expvar"
	"time"

	"github.com/go-logr/logr"

	glade "indigoglade"
	"indigoglade/adopt"
	"indigoglade/budget"
	"indigoglade/daily"
	"indigoglade/demand"
	"indigoglade/owner"
	"indigoglade/shard"
	"indigoglade/table"
)

// Periods of the work of a keeper.
const (
	roundPeriod = 500 * time.Millisecond
	// listPeriod is the minimum time between two reads of the host list.
	// listPeriodPerHost is the minimum time for each host on it, so that a long
	// list is read less often.
	listPeriod        = time.Second
	listPeriodPerHost = time.Millisecond
	// assignBusyPeriod and assignIdlePeriod are the times between two searches
	// for hosts without a pool: the first while some are known or new hosts
	// have been listed, the second otherwise.
	assignBusyPeriod = time.Second
	assignIdlePeriod = 30 * time.Second
)

// Config holds what a fleet controller depends on.
type Config struct {
	Table    glade.Table
	Hosts    glade.HostList
	Workers  glade.Workers
	Prober   glade.Prober
	Registry *adopt.Registry
	Roster   glade.Roster
	Clock    glade.Clock
	Log      logr.Logger
}

// Controller observes the hosts of pools and takes the next steps. Its rounds must
// not run concurrently.
type Controller struct {
	config   Config
	counters *expvar.Map

	accounts  *table.Cache[glade.AccountRow]
	contracts *table.Cache[glade.ContractRow]

	samplers map[string]*daily.Sampler
	demand   demand.Total
	demandAt time.Time

	// listReads counts the reads of the host list. idle holds the state of the
	// pools in which no member needed a step.
	listReads uint64
	idle      map[string]poolState
	// sparePools are the spare pools of the contracts of this round.
	sparePools []poolRef
	// orphans are the pools that no contract names any more and that have
	// members.
	orphans []poolRef

	listed     map[glade.Host]glade.HostListing
	listedAt   time.Time
	assignedAt time.Time
	// hasFreeHosts tells whether the last search found hosts without a pool,
	// and hasNewHosts whether the host list has shown new hosts since.
	hasFreeHosts bool
	hasNewHosts  bool
	// suspectSince maps each host that looks down to the time when it first
	// did.
	suspectSince map[glade.Host]time.Time
	// retryAt maps each host to the time of the next call to its worker or
	// endpoint, after one that failed.
	retryAt map[glade.Host]time.Time
}

// New returns a fleet controller that has read nothing yet.
func New(config Config) *Controller {
	return &Controller{
		config:       config,
		counters:     new(expvar.Map),
		accounts:     table.NewCache[glade.AccountRow](config.Table),
		contracts:    table.NewCache[glade.ContractRow](config.Table),
		idle:         make(map[string]poolState),
		samplers:     make(map[string]*daily.Sampler),
		suspectSince: make(map[glade.Host]time.Time),
		retryAt:      make(map[glade.Host]time.Time),
	}
}

// Counters returns the counters of steps and of commands to workers.
func (c *Controller) Counters() *expvar.Map { return c.counters }

// Run calls Reconcile periodically until ctx ends. It logs when the platform
// becomes unreachable and when it is reachable again.
func (c *Controller) Run(ctx context.Context) error {
	healthy := true
	for {
		err := c.Reconcile(ctx)
		if (err == nil) != healthy {
			healthy = err == nil
			c.config.Log.Info("platform", "reachable", healthy, "cause", errorText(err))
		}
		if c.config.Clock.Sleep(ctx, roundPeriod) != nil {
			return nil
		}
	}
}

func errorText(err error) string {
	if err == nil {
		return ""
	}
	return err.Error()
}

// Reconcile takes the next steps in every pool that this keeper is responsible for.
// An error means that the platform can't be reached; no further step is decided
// in that call.
func (c *Controller) Reconcile(ctx context.Context) error {
	now := c.config.Clock.Now()
	if _, err := adopt.RefreshAndActivate(ctx, c.config.Table, c.config.Registry, now); err != nil {
		return err
	}
	if err := c.refreshHosts(ctx, now); err != nil {
		return err
	}
	if err := c.assign(ctx, now); err != nil {
		return err
	}
	contracts := c.config.Registry.All()
	c.sparePools = sparePoolsOf(contracts)
	for _, orphan := range c.orphans {
		if err := c.emptyOrphan(ctx, now, orphan); err != nil {
			return err
		}
	}
	for _, contract := range contracts {
		for _, pool := range contract.Spec().Pools {
			if err := c.reconcilePool(ctx, now, contract, pool); err != nil {
				return err
			}
		}
	}
	return nil
}

func (c *Controller) refreshHosts(ctx context.Context, now time.Time) error {
	period := max(listPeriod, time.Duration(len(c.listed))*listPeriodPerHost)
	if c.listed != nil && now.Sub(c.listedAt) < period {
		return nil
	}
	list, err := c.config.Hosts.List(ctx)
	if err != nil {
		return err
	}
	c.listedAt = now
	c.listReads++
	known := c.listed
	c.listed = make(map[glade.Host]glade.HostListing, len(list))
	for _, listed := range list {
		c.listed[listed.Host] = listed
		if _, ok := known[listed.Host]; !ok {
			c.hasNewHosts = true
		}
	}
	return nil
}

// account reads a pool's availability account.
func (c *Controller) account(ctx context.Context, customer glade.Customer, pool glade.Pool) (owner.Account, error) {
	return c.accounts.Load(ctx, owner.AccountKey(customer, pool))
}

// contract reads the newest accepted contract of a customer. A planned step is
// conditional on it.
func (c *Controller) contract(ctx context.Context, customer glade.Customer) (owner.Contract, error) {
	return c.contracts.Load(ctx, glade.PrefixContract+string(customer))
}

// poolView holds the state that one round decides on in one pool. It is
// read-only.
type poolView struct {
	now      time.Time
	contract glade.Contract
	pool     glade.PoolSpec
	account  owner.Account
}

func (c *Controller) reconcilePool(ctx context.Context, now time.Time, contract glade.Contract, pool glade.PoolSpec) error {
	if !shard.OwnedBySelf(owner.AccountKey(contract.Customer(), pool.Name), c.config.Roster) {
		return nil
	}
	account, err := c.account(ctx, contract.Customer(), pool.Name)
	if err != nil {
		return err
	}
	v := poolView{now: now, contract: contract, pool: pool, account: account}
	if err := c.touchAccount(ctx, v); err != nil {
		return err
	}
	if err := c.reconcileMembers(ctx, v); err != nil {
		return err
	}
	if err := c.startMaintenance(ctx, v); err != nil {
		return err
	}
	if err := c.resize(ctx, v); err != nil {
		return err
	}
	return c.refill(ctx, v)
}

// touchAccount rewrites the account while a member is failed, every half
// allowance of a planned step. The rewrite makes a concurrent planned step
// conflict, which was decided when less down time had passed.
func (c *Controller) touchAccount(ctx context.Context, v poolView) error {
	account := v.account.Data()
	age := v.now.UnixMilli() - account.LastFailureWrite
	due := budget.NewRule(v.contract.Spec(), v.pool).Allowance().Milliseconds() / 2
	if budget.Count(account, glade.CauseFail) == 0 || age < due {
		return nil
	}
	return c.countStep("touch")(owner.Touch(ctx, c.config.Table, v.account, v.now))
}

// countStep counts the result of a step. A conflict needs no action: another
// keeper was first.
func (c *Controller) countStep(name string) func(owner.Result, error) error {
	return func(result owner.Result, err error) error {
		c.counters.Add(name+"."+result.String(), 1)
		return err
	}
}

// countCommand counts a command to a worker. It ignores the error of a worker
// that can't be reached, because a later round tries again.
func (c *Controller) countCommand(name string, err error) error {
	if err != nil {
		c.counters.Add(name+".failed", 1)
		return nil
	}
	c.counters.Add(name+".sent", 1)
	return nil
}
