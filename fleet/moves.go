package fleet

import (
	"context"
	"slices"
	"time"

	glade "indigoglade"
	"indigoglade/budget"
	"indigoglade/owner"
)

// replaceDelay is how long a host may be failed before another one takes its
// place. A pool that weighs moves more than the time of a roll-out waits
// longer, because most failed hosts come back.
func replaceDelay(weights glade.WeightSpec) time.Duration {
	if weights.Moves > weights.Rollout {
		return 10 * time.Minute
	}
	return time.Minute
}

// refill begins to move one host from a spare pool to the pool if the pool lacks
// hosts. Otherwise it releases one failed host of the pool and begins to move one
// surplus host to a spare pool.
func (c *Controller) refill(ctx context.Context, v poolView) error {
	account := v.account.Data()
	want := wantedHosts(v.contract.Spec(), v.pool, account)
	missing := budget.Missing(account, want, v.now)
	if missing == 0 {
		if err := c.releaseFailed(ctx, v); err != nil {
			return err
		}
		return c.shrink(ctx, v)
	}
	if v.pool.Spare || !mayRefill(v) {
		return nil
	}
	return c.takeSpare(ctx, v, want)
}

// mayRefill returns whether the pool may take a host now. A single failed
// member is not replaced before replaceDelay has passed, because the size of a
// pool allows for one failed host.
func mayRefill(v poolView) bool {
	account := v.account.Data()
	oldest, count := v.now.UnixMilli(), 0
	for _, member := range account.Members {
		if member.Cause == glade.CauseFail {
			count++
			oldest = min(oldest, member.Since)
		}
	}
	delay := replaceDelay(v.contract.Spec().Weights).Milliseconds()
	return count != 1 || v.now.UnixMilli()-oldest >= delay
}

// failedHosts returns the members that failed, in the order of their names.
func failedHosts(account glade.AccountRow) []glade.Host {
	var hosts []glade.Host
	for host, member := range account.Members {
		if member.Cause == glade.CauseFail {
			hosts = append(hosts, host)
		}
	}
	slices.Sort(hosts)
	return hosts
}

// releaseFailed takes one failed host out of a pool that has enough hosts
// without it.
func (c *Controller) releaseFailed(ctx context.Context, v poolView) error {
	for _, host := range failedHosts(v.account.Data()) {
		record, err := owner.LoadHost(ctx, c.config.Table, host)
		if err != nil {
			return err
		}
		if record.Data().Phase != glade.HostFailed {
			continue
		}
		return c.countStep("release")(c.withAccount(ctx, v, record, owner.Release))
	}
	return nil
}

// poolRef names a pool of a customer.
type poolRef struct {
	customer glade.Customer
	pool     glade.PoolSpec
}

// sparePoolsOf returns the spare pools of contracts.
func sparePoolsOf(contracts []glade.Contract) []poolRef {
	var spares []poolRef
	for _, contract := range contracts {
		for _, pool := range contract.Spec().Pools {
			if pool.Spare {
				spares = append(spares, poolRef{contract.Customer(), pool})
			}
		}
	}
	return spares
}

// takeSpare begins to move one host from a spare pool to the pool.
func (c *Controller) takeSpare(ctx context.Context, v poolView, want int) error {
	move := owner.Destination{Customer: v.contract.Customer(), Pool: v.pool, DesiredSize: want}
	for _, source := range c.sparePools {
		done, err := c.beginMove(ctx, v.now, source, move)
		if err != nil || done {
			return err
		}
	}
	return nil
}

// beginMove begins to move one host out of a pool, and returns whether it did.
func (c *Controller) beginMove(ctx context.Context, now time.Time, source poolRef, move owner.Destination) (bool, error) {
	contract, err := c.contract(ctx, source.customer)
	if err != nil {
		return false, err
	}
	from, err := c.account(ctx, source.customer, source.pool.Name)
	if err != nil {
		return false, err
	}
	to, err := c.account(ctx, move.Customer, move.Pool.Name)
	if err != nil {
		return false, err
	}
	host, ok := pickHost(budget.NewRule(contract.Data().Spec, source.pool), from.Data(), to.Data())
	if !ok {
		return false, nil
	}
	record, err := owner.LoadHost(ctx, c.config.Table, host)
	if err != nil {
		return false, err
	}
	result, err := owner.BeginMove(ctx, c.config.Table, contract, record, from, to, move, now)
	c.counters.Add("move."+result.String(), 1)
	return result.IsDone(), err
}

// pickHost returns a host that may leave the pool. It prefers racks in which
// the target pool has the fewest hosts.
func pickHost(rule budget.Rule, from, to glade.AccountRow) (glade.Host, bool) {
	hosts := make([]glade.Host, 0, len(from.Members))
	for host := range from.Members {
		hosts = append(hosts, host)
	}
	slices.Sort(hosts)
	best, fewest, found := glade.Host(""), 0, false
	for _, host := range hosts {
		member := from.Members[host]
		sameRack := countInRack(to, glade.HostListing{Zone: member.Zone, Rack: member.Rack})
		if rule.CheckMove(from, host) != budget.WaitNone || (found && sameRack >= fewest) {
			continue
		}
		best, fewest, found = host, sameRack, true
	}
	return best, found
}

// finishMove moves a drained host to its target pool. If no contract names the
// target any more, the host is marked as failed instead, so that it stays in
// its pool and is rebooted for it.
func (c *Controller) finishMove(ctx context.Context, v poolView, record owner.Host, state glade.WorkerState) error {
	row := record.Data()
	contract, known := c.config.Registry.Find(row.TargetCustomer)
	pool, ok := contract.Pool(row.Target)
	if !known || !ok {
		return c.countStep("fail")(c.withAccount(ctx, v, record, owner.MarkFailed))
	}
	from, err := c.account(ctx, row.Customer, row.Pool)
	if err != nil {
		return err
	}
	to, err := c.account(ctx, row.TargetCustomer, row.Target)
	if err != nil {
		return err
	}
	target := owner.Completion{Pool: pool, Wave: contract.Spec().Wave.Name, Incarnation: state.Incarnation}
	return c.countStep("transfer")(owner.CompleteMove(ctx, c.config.Table, record, from, to, target, v.now))
}
