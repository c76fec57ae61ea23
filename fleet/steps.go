package fleet

import (
	"context"
	"slices"
	"time"

	glade "indigoglade"
	"indigoglade/budget"
	"indigoglade/owner"
	"indigoglade/shard"
	"indigoglade/wave"
)

// startMaintenance starts planned steps of the wave one after the other, until
// the wave has to wait.
func (f *Fleet) startMaintenance(ctx context.Context, v poolView) error {
	for range v.contract.Spec().Budget.Down {
		account, err := f.account(ctx, v.contract.Customer(), v.pool.Name)
		if err != nil {
			return err
		}
		host, ok := wave.Next(v.contract.Spec(), v.pool, account.Data(), v.now).Host()
		if !ok {
			return nil
		}
		result, err := f.planStep(ctx, v, host, account)
		f.counters.Add("plan."+result.String(), 1)
		if err != nil || !result.IsDone() {
			return err
		}
	}
	return nil
}

func (f *Fleet) planStep(ctx context.Context, v poolView, host glade.Host, account owner.Account) (owner.Result, error) {
	contract, err := f.contract(ctx, v.contract.Customer())
	if err != nil {
		return owner.Result{}, err
	}
	record, err := owner.LoadHost(ctx, f.config.Table, host)
	if err != nil {
		return owner.Result{}, err
	}
	if f.config.Clock.Now().Sub(v.now) > budget.NewRule(v.contract.Spec(), v.pool).Allowance() {
		// The round was paused for so long that its time is out of date.
		return owner.Result{}, nil
	}
	return owner.Plan(ctx, f.config.Table, contract, record, account, v.now)
}

// AssignDuty is the key of the task of giving hosts without a pool to a pool.
const AssignDuty = "assign"

// assign gives listed hosts that are in no account to the pools that lack
// hosts.
func (f *Fleet) assign(ctx context.Context, now time.Time) error {
	if !shard.IsMine(AssignDuty, f.config.Roster) {
		f.orphans = nil
		return nil
	}
	if now.Sub(f.assignedAt) < f.assignPeriod() {
		return nil
	}
	f.assignedAt = now
	records, err := f.accounts.LoadAll(ctx, glade.PrefixAccount)
	if err != nil {
		return err
	}
	accounts := make(map[string]owner.Account, len(records))
	owned := make(map[glade.Host]bool)
	for _, record := range records {
		accounts[record.Key()] = record
		for host := range record.Data().Members {
			owned[host] = true
		}
	}
	free := f.freeHosts(owned)
	f.hasFreeHosts = len(free) > 0
	f.hasNewHosts = false
	for _, host := range free {
		if err := f.assignHost(ctx, now, host, accounts); err != nil {
			return err
		}
	}
	f.orphans = f.orphansOf(records)
	return nil
}

// assignPeriod returns the time between two reads of all accounts. It is long
// while no host is known to be without a pool.
func (f *Fleet) assignPeriod() time.Duration {
	if f.hasFreeHosts || f.hasNewHosts {
		return assignBusyPeriod
	}
	return assignIdlePeriod
}

// freeHosts returns the listed hosts that are in no account, in the order of
// their names.
func (f *Fleet) freeHosts(owned map[glade.Host]bool) []glade.Host {
	var free []glade.Host
	for host, listed := range f.listed {
		if !owned[host] && !listed.Leaving {
			free = append(free, host)
		}
	}
	slices.Sort(free)
	return free
}

func (f *Fleet) assignHost(ctx context.Context, now time.Time, host glade.Host, accounts map[string]owner.Account) error {
	listed := f.listed[host]
	a, ok := f.choosePool(now, listed, accounts)
	if !ok {
		return nil
	}
	record, err := owner.LoadHost(ctx, f.config.Table, host)
	if err != nil {
		return err
	}
	if isHeldBack(record.Data(), now) {
		return nil
	}
	account, err := f.account(ctx, a.Customer, a.Pool.Name)
	if err != nil {
		return err
	}
	result, err := owner.Assign(ctx, f.config.Table, record, account, a, now)
	f.counters.Add("assign."+result.String(), 1)
	if err != nil || !result.IsDone() {
		return err
	}
	accounts[account.Key()], err = f.account(ctx, a.Customer, a.Pool.Name)
	return err
}

// reassignDelay is how long a host that failed in a pool and was released stays
// without a pool. Otherwise a host on which everything fails would take the
// place of a good one again and again.
const reassignDelay = 10 * time.Minute

func isHeldBack(row glade.HostRow, now time.Time) bool {
	return row.Phase == glade.HostFailed && now.UnixMilli()-row.Since < reassignDelay.Milliseconds()
}

// choosePool returns the pool that a free host should join. Of the pools that
// lack hosts it takes the one with the fewest hosts in the host's rack, so that
// pools spread over failure domains; among equals, the one that lacks most.
func (f *Fleet) choosePool(now time.Time, listed glade.Listed, accounts map[string]owner.Account) (owner.Assignment, bool) {
	var best owner.Assignment
	var bestMissing, bestSameRack int
	for _, contract := range f.config.Book.All() {
		for _, pool := range contract.Spec().Pools {
			account := accounts[owner.AccountKey(contract.Customer(), pool.Name)].Data()
			want := wantedHosts(contract.Spec(), pool, account)
			missing := budget.Lacks(account, want, now)
			sameRack := countInRack(account, listed)
			if missing == 0 || (bestMissing > 0 && (sameRack > bestSameRack || (sameRack == bestSameRack && missing <= bestMissing))) {
				continue
			}
			bestMissing, bestSameRack = missing, sameRack
			best = owner.Assignment{Listed: listed, Customer: contract.Customer(), Pool: pool, Want: want, Wave: contract.Spec().Wave.Name}
		}
	}
	return best, bestMissing > 0
}

func countInRack(account glade.AccountRow, listed glade.Listed) int {
	n := 0
	for _, member := range account.Members {
		if member.Zone == listed.Zone && member.Rack == listed.Rack {
			n++
		}
	}
	return n
}
