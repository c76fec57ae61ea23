package fleet

import (
	"context"
	"slices"
	"time"

	glade "indigoglade"
	"indigoglade/budget"
	"indigoglade/owner"
)

// refillTime is how long a host may be failed before another takes its place.
// A pool that weighs moves more waits longer, because most hosts come back.
func refillTime(weights glade.WeightSpec) time.Duration {
	if weights.Moves > weights.Rollout {
		return 10 * time.Minute
	}
	return time.Minute
}

// refill brings in hosts that the pool lacks from a spare pool, and lets go of
// failed hosts whose place was taken.
func (f *Fleet) refill(ctx context.Context, v poolView) error {
	account := v.account.Data()
	want := wanted(v.contract.Spec(), v.pool, account)
	lack := budget.Lacks(account, want, v.now)
	if lack == 0 {
		if err := f.release(ctx, v); err != nil {
			return err
		}
		return f.shrink(ctx, v)
	}
	if v.pool.Spare || !mayRefill(v) {
		return nil
	}
	return f.borrow(ctx, v, want)
}

// mayRefill tells whether the pool may ask for a host now: none of its members
// has failed, more failed than the one that its size has to spare, or one has
// been failed for long.
func mayRefill(v poolView) bool {
	account := v.account.Data()
	oldest, count := v.now.UnixMilli(), 0
	for _, member := range account.Members {
		if member.Cause == glade.CauseFail {
			count++
			oldest = min(oldest, member.Since)
		}
	}
	bound := refillTime(v.contract.Spec().Weights).Milliseconds()
	return count != 1 || v.now.UnixMilli()-oldest >= bound
}

// failed returns the members that failed, in the order of their names.
func failed(account glade.AccountRow) []glade.Host {
	var hosts []glade.Host
	for host, member := range account.Members {
		if member.Cause == glade.CauseFail {
			hosts = append(hosts, host)
		}
	}
	slices.Sort(hosts)
	return hosts
}

// release takes one failed host out of a pool that has its size without it.
func (f *Fleet) release(ctx context.Context, v poolView) error {
	for _, host := range failed(v.account.Data()) {
		record, err := owner.LoadHost(ctx, f.config.Table, host)
		if err != nil {
			return err
		}
		if record.Data().Phase != glade.HostFailed {
			continue
		}
		return f.count("release")(f.withAccount(ctx, v, record, owner.Release))
	}
	return nil
}

// place names a pool of a customer.
type place struct {
	customer glade.Customer
	pool     glade.PoolSpec
}

// sparesOf returns the spare pools of contracts.
func sparesOf(contracts []glade.Contract) []place {
	var spares []place
	for _, contract := range contracts {
		for _, pool := range contract.Spec().Pools {
			if pool.Spare {
				spares = append(spares, place{contract.Customer(), pool})
			}
		}
	}
	return spares
}

// borrow begins to move one host from a spare pool.
func (f *Fleet) borrow(ctx context.Context, v poolView, want int) error {
	move := owner.Move{Customer: v.contract.Customer(), Pool: v.pool, Want: want}
	for _, source := range f.spares {
		done, err := f.take(ctx, v.now, source, move)
		if err != nil || done {
			return err
		}
	}
	return nil
}

// take begins to move one host out of a pool, and tells whether it did.
func (f *Fleet) take(ctx context.Context, now time.Time, source place, move owner.Move) (bool, error) {
	contract, err := f.contract(ctx, source.customer)
	if err != nil {
		return false, err
	}
	from, err := f.account(ctx, source.customer, source.pool.Name)
	if err != nil {
		return false, err
	}
	to, err := f.account(ctx, move.Customer, move.Pool.Name)
	if err != nil {
		return false, err
	}
	host, ok := pick(budget.NewRule(contract.Data().Spec, source.pool), from.Data(), to.Data())
	if !ok {
		return false, nil
	}
	record, err := owner.LoadHost(ctx, f.config.Table, host)
	if err != nil {
		return false, err
	}
	result, err := owner.BeginMove(ctx, f.config.Table, contract, record, from, to, move, now)
	f.counters.Add("move."+result.String(), 1)
	return result.IsDone(), err
}

// pick returns the host that may leave and stands in the rack where the target
// has the fewest.
func pick(rule budget.Rule, from, to glade.AccountRow) (glade.Host, bool) {
	hosts := make([]glade.Host, 0, len(from.Members))
	for host := range from.Members {
		hosts = append(hosts, host)
	}
	slices.Sort(hosts)
	best, fewest, found := glade.Host(""), 0, false
	for _, host := range hosts {
		member := from.Members[host]
		near := countRack(to, glade.Listed{Zone: member.Zone, Rack: member.Rack})
		if rule.Leave(from, host) != budget.WaitNone || (found && near >= fewest) {
			continue
		}
		best, fewest, found = host, near, true
	}
	return best, found
}

// transfer ends the move of a drained host. A target that is no longer in force
// ends the move: the host stays in its pool and is rebooted for it.
func (f *Fleet) transfer(ctx context.Context, v poolView, record owner.Host, state glade.WorkerState) error {
	row := record.Data()
	contract, known := f.config.Book.Find(row.TargetCustomer)
	pool, ok := contract.Pool(row.Target)
	if !known || !ok {
		return f.count("fail")(f.withAccount(ctx, v, record, owner.Fail))
	}
	from, err := f.account(ctx, row.Customer, row.Pool)
	if err != nil {
		return err
	}
	to, err := f.account(ctx, row.TargetCustomer, row.Target)
	if err != nil {
		return err
	}
	target := owner.Target{Pool: pool, Wave: contract.Spec().Wave.Name, Incarnation: state.Incarnation}
	return f.count("transfer")(owner.Transfer(ctx, f.config.Table, record, from, to, target, v.now))
}
