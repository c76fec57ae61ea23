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
func (c *Controller) startMaintenance(ctx context.Context, v poolView) error {
	for range v.contract.Spec().Budget.Down {
		account, err := c.account(ctx, v.contract.Customer(), v.pool.Name)
		if err != nil {
			return err
		}
		host, ok := wave.Next(v.contract.Spec(), v.pool, account.Data(), v.now).Host()
		if !ok {
			return nil
		}
		result, err := c.planStep(ctx, v, host, account)
		c.counters.Add("plan."+result.String(), 1)
		if err != nil || !result.IsDone() {
			return err
		}
	}
	return nil
}

func (c *Controller) planStep(ctx context.Context, v poolView, host glade.Host, account owner.Account) (owner.Result, error) {
	contract, err := c.contract(ctx, v.contract.Customer())
	if err != nil {
		return owner.Result{}, err
	}
	record, err := owner.LoadHost(ctx, c.config.Table, host)
	if err != nil {
		return owner.Result{}, err
	}
	if c.config.Clock.Now().Sub(v.now) > budget.NewRule(v.contract.Spec(), v.pool).Allowance() {
		// The round was paused for so long that its time is out of date.
		return owner.Result{}, nil
	}
	return owner.BeginMaintenance(ctx, c.config.Table, contract, record, account, v.now)
}

// AssignKey is the key of the task of giving hosts without a pool to a pool.
const AssignKey = "assign"

// assign gives listed hosts that are in no account to the pools that lack
// hosts.
func (c *Controller) assign(ctx context.Context, now time.Time) error {
	if !shard.OwnedBySelf(AssignKey, c.config.Roster) {
		c.orphans = nil
		return nil
	}
	if now.Sub(c.assignedAt) < c.assignPeriod() {
		return nil
	}
	c.assignedAt = now
	records, err := c.accounts.LoadAll(ctx, glade.PrefixAccount)
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
	free := c.freeHosts(owned)
	c.hasFreeHosts = len(free) > 0
	c.hasNewHosts = false
	for _, host := range free {
		if err := c.assignHost(ctx, now, host, accounts); err != nil {
			return err
		}
	}
	c.orphans = c.orphansOf(records)
	return nil
}

// assignPeriod returns the time between two reads of all accounts. It is long
// while no host is known to be without a pool.
func (c *Controller) assignPeriod() time.Duration {
	if c.hasFreeHosts || c.hasNewHosts {
		return assignBusyPeriod
	}
	return assignIdlePeriod
}

// freeHosts returns the listed hosts that are in no account and not draining, in
// the order of their names.
func (c *Controller) freeHosts(owned map[glade.Host]bool) []glade.Host {
	var free []glade.Host
	for host, listed := range c.listed {
		if !owned[host] && !listed.Leaving {
			free = append(free, host)
		}
	}
	slices.Sort(free)
	return free
}

func (c *Controller) assignHost(ctx context.Context, now time.Time, host glade.Host, accounts map[string]owner.Account) error {
	listed := c.listed[host]
	a, ok := c.choosePool(now, listed, accounts)
	if !ok {
		return nil
	}
	record, err := owner.LoadHost(ctx, c.config.Table, host)
	if err != nil {
		return err
	}
	if isHeldBack(record.Data(), now) {
		return nil
	}
	account, err := c.account(ctx, a.Customer, a.Pool.Name)
	if err != nil {
		return err
	}
	result, err := owner.Assign(ctx, c.config.Table, record, account, a, now)
	c.counters.Add("assign."+result.String(), 1)
	if err != nil || !result.IsDone() {
		return err
	}
	accounts[account.Key()], err = c.account(ctx, a.Customer, a.Pool.Name)
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
func (c *Controller) choosePool(now time.Time, listed glade.HostListing, accounts map[string]owner.Account) (owner.Assignment, bool) {
	var best owner.Assignment
	var bestMissing, bestSameRack int
	for _, contract := range c.config.Registry.All() {
		for _, pool := range contract.Spec().Pools {
			account := accounts[owner.AccountKey(contract.Customer(), pool.Name)].Data()
			want := wantedHosts(contract.Spec(), pool, account)
			missing := budget.Missing(account, want, now)
			sameRack := countInRack(account, listed)
			if missing == 0 || (bestMissing > 0 && (sameRack > bestSameRack || (sameRack == bestSameRack && missing <= bestMissing))) {
				continue
			}
			bestMissing, bestSameRack = missing, sameRack
			best = owner.Assignment{Listed: listed, Customer: contract.Customer(), Pool: pool, DesiredSize: want, Wave: contract.Spec().Wave.Name}
		}
	}
	return best, bestMissing > 0
}

func countInRack(account glade.AccountRow, listed glade.HostListing) int {
	n := 0
	for _, member := range account.Members {
		if member.Zone == listed.Zone && member.Rack == listed.Rack {
			n++
		}
	}
	return n
}
