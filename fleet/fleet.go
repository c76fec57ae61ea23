// Package fleet carries out the fleet decisions of a keeper: it watches the
// hosts of the pools that are its duty and takes the next steps.
package fleet

import (
	"context"
	"expvar"
	"time"

	"github.com/go-logr/logr"

	glade "indigoglade"
	"indigoglade/adopt"
	"indigoglade/budget"
	"indigoglade/demand"
	"indigoglade/owner"
	"indigoglade/shape"
	"indigoglade/shard"
	"indigoglade/table"
)

// Periods of the duties.
const (
	roundPeriod = 500 * time.Millisecond
	// listPeriod is the time between two readings of the host list, at least;
	// listCost for each host on it, so that a long list is read less often.
	listPeriod = time.Second
	listCost   = time.Millisecond
	// busyPeriod and idlePeriod are the times between two searches for hosts
	// without a pool.
	busyPeriod = time.Second
	idlePeriod = 30 * time.Second
)

// Config configures the Fleet.
type Config struct {
	Table   glade.Table
	Hosts   glade.HostList
	Workers glade.Workers
	Prober  glade.Prober
	Book    *adopt.Book
	Roster  glade.Roster
	Clock   glade.Clock
	Log     logr.Logger
}

// Fleet observes the hosts and takes the next steps.
type Fleet struct {
	config   Config
	counters *expvar.Map

	accounts  *table.Cache[glade.AccountRow]
	contracts *table.Cache[glade.ContractRow]

	tallies  map[string]*shape.Tally
	demand   demand.Total
	demandAt time.Time

	// lists counts the readings of the host list, and resting holds the pools
	// in which nothing needed a step.
	lists   uint64
	resting map[string]mark
	// spares are the spare pools under the contracts of this round.
	spares []place
	// orphans are the pools that no contract names and that have hosts left.
	orphans []place

	listed     map[glade.Host]glade.Listed
	listedAt   time.Time
	assignedAt time.Time
	// hasFree tells whether the last search found hosts without a pool, hasNew
	// whether the list has shown new hosts since.
	hasFree bool
	hasNew  bool
	// suspects maps each host that looks down to when it first did.
	suspects map[glade.Host]time.Time
	// retries maps each host whose worker did not answer to when it is asked
	// again.
	retries map[glade.Host]time.Time
}

// New returns the fleet duty.
func New(config Config) *Fleet {
	return &Fleet{
		config:    config,
		counters:  new(expvar.Map),
		accounts:  table.NewCache[glade.AccountRow](config.Table),
		contracts: table.NewCache[glade.ContractRow](config.Table),
		resting:   make(map[string]mark),
		tallies:   make(map[string]*shape.Tally),
		suspects:  make(map[glade.Host]time.Time),
		retries:   make(map[glade.Host]time.Time),
	}
}

// Counters returns the counters of steps and commands.
func (f *Fleet) Counters() *expvar.Map { return f.counters }

// Run takes steps until ctx ends.
func (f *Fleet) Run(ctx context.Context) error {
	healthy := true
	for {
		err := f.Round(ctx)
		if (err == nil) != healthy {
			healthy = err == nil
			f.config.Log.Info("platform", "reachable", healthy, "cause", errorText(err))
		}
		if f.config.Clock.Sleep(ctx, roundPeriod) != nil {
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

// Round takes the next step in every pool that is this keeper's duty. An error
// means that the platform can't be reached; nothing new is decided then.
func (f *Fleet) Round(ctx context.Context) error {
	now := f.config.Clock.Now()
	if _, err := adopt.Fetch(ctx, f.config.Table, f.config.Book, now); err != nil {
		return err
	}
	if err := f.list(ctx, now); err != nil {
		return err
	}
	if err := f.assign(ctx, now); err != nil {
		return err
	}
	contracts := f.config.Book.All()
	f.spares = sparesOf(contracts)
	for _, orphan := range f.orphans {
		if err := f.empty(ctx, now, orphan); err != nil {
			return err
		}
	}
	for _, contract := range contracts {
		for _, pool := range contract.Spec().Pools {
			if err := f.poolRound(ctx, now, contract, pool); err != nil {
				return err
			}
		}
	}
	return nil
}

func (f *Fleet) list(ctx context.Context, now time.Time) error {
	period := max(listPeriod, time.Duration(len(f.listed))*listCost)
	if f.listed != nil && now.Sub(f.listedAt) < period {
		return nil
	}
	list, err := f.config.Hosts.List(ctx)
	if err != nil {
		return err
	}
	f.listedAt = now
	f.lists++
	known := f.listed
	f.listed = make(map[glade.Host]glade.Listed, len(list))
	for _, listed := range list {
		f.listed[listed.Host] = listed
		if _, ok := known[listed.Host]; !ok {
			f.hasNew = true
		}
	}
	return nil
}

// account reads a pool's account.
func (f *Fleet) account(ctx context.Context, customer glade.Customer, pool glade.Pool) (owner.Account, error) {
	return f.accounts.Load(ctx, owner.AccountKey(customer, pool))
}

// contract reads the newest accepted contract of a customer, on which a planned
// step is conditional.
func (f *Fleet) contract(ctx context.Context, customer glade.Customer) (owner.Contract, error) {
	return f.contracts.Load(ctx, glade.PrefixContract+string(customer))
}

// poolView is what one round decides on in one pool. It is read-only.
type poolView struct {
	now      time.Time
	contract glade.Contract
	pool     glade.PoolSpec
	account  owner.Account
}

func (f *Fleet) poolRound(ctx context.Context, now time.Time, contract glade.Contract, pool glade.PoolSpec) error {
	if !shard.IsMine(owner.AccountKey(contract.Customer(), pool.Name), f.config.Roster) {
		return nil
	}
	account, err := f.account(ctx, contract.Customer(), pool.Name)
	if err != nil {
		return err
	}
	v := poolView{now: now, contract: contract, pool: pool, account: account}
	if err := f.touch(ctx, v); err != nil {
		return err
	}
	if err := f.followAll(ctx, v); err != nil {
		return err
	}
	if err := f.wave(ctx, v); err != nil {
		return err
	}
	if err := f.size(ctx, v); err != nil {
		return err
	}
	return f.refill(ctx, v)
}

// touch writes an account in which a failure goes on, twice in the allowance of
// a planned step.
func (f *Fleet) touch(ctx context.Context, v poolView) error {
	account := v.account.Data()
	age := v.now.UnixMilli() - account.Touched
	due := budget.NewRule(v.contract.Spec(), v.pool).Allowance().Milliseconds() / 2
	if budget.Count(account, glade.CauseFail) == 0 || age < due {
		return nil
	}
	return f.count("touch")(owner.Touch(ctx, f.config.Table, v.account, v.now))
}

// count counts the result of a step. A conflict means that another keeper was
// first, and needs nothing done.
func (f *Fleet) count(name string) func(owner.Result, error) error {
	return func(result owner.Result, err error) error {
		f.counters.Add(name+"."+result.String(), 1)
		return err
	}
}

// command counts a command to a worker. A worker that can't be reached is met
// again in a later round.
func (f *Fleet) command(name string, err error) error {
	if err != nil {
		f.counters.Add(name+".failed", 1)
		return nil
	}
	f.counters.Add(name+".sent", 1)
	return nil
}
