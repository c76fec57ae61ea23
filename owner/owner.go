// Package owner changes the ownership rows of hosts and the availability
// accounts of pools by transactions.
//
// Every step is one transaction over the host's row and the account of its
// pool. A host is in one pool because it has one row; a planned step never
// overspends a budget because the rule is checked on the account and the
// contract that the transaction is conditional on. Two keepers that race, or
// one that was paused, only meet a conflict.
package owner

import (
	"context"
	"time"

	glade "indigoglade"
	"indigoglade/budget"
	"indigoglade/table"
)

// Host is the ownership record of a host.
type Host = table.Record[glade.HostRow]

// Account is the availability record of a pool.
type Account = table.Record[glade.AccountRow]

// Contract is the record of a customer's newest accepted contract.
type Contract = table.Record[glade.ContractRow]

// AccountKey returns the key of a pool's availability account.
func AccountKey(customer glade.Customer, pool glade.Pool) string {
	return glade.PrefixAccount + string(customer) + "/" + string(pool)
}

// HostKey returns the key of a host's ownership row.
func HostKey(host glade.Host) string { return glade.PrefixHost + string(host) }

// LoadHost reads the ownership record of a host.
func LoadHost(ctx context.Context, t glade.Table, host glade.Host) (Host, error) {
	return table.Load[glade.HostRow](ctx, t, HostKey(host))
}

// LoadAccount reads the availability record of a pool.
func LoadAccount(ctx context.Context, t glade.Table, customer glade.Customer, pool glade.Pool) (Account, error) {
	return table.Load[glade.AccountRow](ctx, t, AccountKey(customer, pool))
}

// LoadContract reads the record of a customer's newest accepted contract.
func LoadContract(ctx context.Context, t glade.Table, customer glade.Customer) (Contract, error) {
	return table.Load[glade.ContractRow](ctx, t, glade.PrefixContract+string(customer))
}

// Result is the outcome of a step: the result of its transaction, or why the
// step was not tried.
type Result struct {
	commit glade.Commit
	wait   budget.Wait
}

// Commit returns the result of the transaction; 0 when it was not tried.
func (r Result) Commit() glade.Commit { return r.commit }

// Wait returns why the step was not tried.
func (r Result) Wait() budget.Wait { return r.wait }

// IsDone tells whether the step took effect.
func (r Result) IsDone() bool { return r.commit == glade.Committed }

// String returns a short word for counters.
func (r Result) String() string {
	if r.wait != budget.WaitNone {
		return "wait." + string(r.wait)
	}
	return r.commit.String()
}

// WaitFull tells that a pool has the hosts that it asked for.
const WaitFull budget.Wait = "full"

// WaitChanged tells that the row is no longer in the state that the step needs.
const WaitChanged budget.Wait = "changed"

// Assignment names the pool that a host without an owner joins.
type Assignment struct {
	Listed   glade.Listed
	Customer glade.Customer
	Pool     glade.PoolSpec
	// Want is the number of hosts that the pool should have.
	Want int
	// Wave is the pool's present wave. The host is rebooted when it joins, so
	// the wave has nothing left to do on it.
	Wave string
}

// Assign gives a host without a pool to a pool that lacks one. The host is
// rebooted into the pool's service before it serves.
func Assign(ctx context.Context, t glade.Table, host Host, account Account, a Assignment, now time.Time) (Result, error) {
	row := host.Data()
	if row.Pool != "" {
		return Result{wait: WaitChanged}, nil
	}
	if budget.Lacks(account.Data(), a.Want, now) == 0 {
		return Result{wait: WaitFull}, nil
	}
	next := glade.HostRow{
		Host:        a.Listed.Host,
		Zone:        a.Listed.Zone,
		Rack:        a.Listed.Rack,
		Customer:    a.Customer,
		Pool:        a.Pool.Name,
		Service:     a.Pool.Serve,
		Epoch:       row.Epoch,
		Incarnation: a.Listed.Incarnation,
		Wave:        a.Wave,
	}
	return commit(ctx, t, host, enter(next, glade.HostReboot, now), account, joined(account.Data(), next, now))
}

// Plan starts maintenance of a host: the host drains and the account counts it
// as down. The step is refused unless the contract's budget allows it.
func Plan(ctx context.Context, t glade.Table, contract Contract, host Host, account Account, now time.Time) (Result, error) {
	row := host.Data()
	spec := contract.Data().Spec
	rule, ok := ruleOf(contract, row.Pool)
	if !ok || row.Phase != glade.HostServing || row.Customer != spec.Customer {
		return Result{wait: WaitChanged}, nil
	}
	if wait := rule.Plan(account.Data(), row.Host, now); wait != budget.WaitNone {
		return Result{wait: wait}, nil
	}
	row.Wave = spec.Wave.Name
	batch := table.NewBatch()
	table.Require(batch, contract)
	return commitBatch(ctx, t, batch, host, enter(row, glade.HostDraining, now), account, markDown(account.Data(), row, glade.CausePlan, now))
}

// Move names the target of a move.
type Move struct {
	Customer glade.Customer
	Pool     glade.PoolSpec
	// Want is the number of hosts that the target pool should have.
	Want int
}

// BeginMove starts to move a surplus host to another pool: the host drains, its
// account no longer counts on it, and the target's account expects it.
// contract is the one of the customer that the host leaves; a pool that it does
// not name has no promise to keep.
func BeginMove(ctx context.Context, t glade.Table, contract Contract, host Host, from, to Account, move Move, now time.Time) (Result, error) {
	row := host.Data()
	rule, _ := ruleOf(contract, row.Pool)
	if row.Phase != glade.HostServing || from.Key() == to.Key() {
		return Result{wait: WaitChanged}, nil
	}
	if budget.Lacks(to.Data(), move.Want, now) == 0 {
		return Result{wait: WaitFull}, nil
	}
	if wait := rule.Leave(from.Data(), row.Host); wait != budget.WaitNone {
		return Result{wait: wait}, nil
	}
	row.Target, row.TargetCustomer = move.Pool.Name, move.Customer
	batch := table.NewBatch()
	table.Require(batch, contract)
	table.Replace(batch, to, expecting(to.Data(), row, now))
	return commitBatch(ctx, t, batch, host, enter(row, glade.HostDraining, now), from, markDown(from.Data(), row, glade.CauseLeave, now))
}

// Target is where a move ends.
type Target struct {
	Pool glade.PoolSpec
	// Wave is the pool's present wave.
	Wave string
	// Incarnation is the one that was drained.
	Incarnation uint64
}

// Transfer ends a move: a drained host leaves one account and joins the other
// in one transaction. It counts as maintained by the target's wave, because it
// is rebooted when it joins.
func Transfer(ctx context.Context, t glade.Table, host Host, from, to Account, target Target, now time.Time) (Result, error) {
	pool := target.Pool
	row := host.Data()
	if row.Phase != glade.HostDraining || row.Target != pool.Name {
		return Result{wait: WaitChanged}, nil
	}
	source := copyAccount(from.Data())
	delete(source.Members, row.Host)
	row.Customer, row.Pool, row.Service = row.TargetCustomer, pool.Name, pool.Serve
	row.Target, row.TargetCustomer, row.Wave = "", "", target.Wave
	row.Incarnation = target.Incarnation
	batch := table.NewBatch()
	table.Replace(batch, from, source)
	return commitBatch(ctx, t, batch, host, enter(row, glade.HostReboot, now), to, joined(to.Data(), row, now))
}

// Fail records that a host does not serve, whatever the budget says: a failure
// can't be refused. A planned step that overran its allowance ends in it too.
func Fail(ctx context.Context, t glade.Table, host Host, account Account, now time.Time) (Result, error) {
	row := host.Data()
	member, ok := account.Data().Members[row.Host]
	if !ok || (row.Phase == glade.HostFailed && member.Cause == glade.CauseFail) {
		return Result{wait: WaitChanged}, nil
	}
	row.Target, row.TargetCustomer = "", ""
	return commit(ctx, t, host, enter(row, glade.HostFailed, now), account, markDown(account.Data(), row, glade.CauseFail, now))
}

// Advance moves a host to its next phase without touching the account.
func Advance(ctx context.Context, t glade.Table, host Host, phase glade.HostPhase, incarnation uint64, now time.Time) (Result, error) {
	row := host.Data()
	row.Incarnation = incarnation
	batch := table.NewBatch()
	table.Replace(batch, host, enter(row, phase, now))
	result, err := batch.Commit(ctx, t)
	return Result{commit: result}, err
}

// Return puts a verified host back in service and ends its down time.
func Return(ctx context.Context, t glade.Table, host Host, account Account, now time.Time) (Result, error) {
	row := host.Data()
	if row.Phase != glade.HostVerify {
		return Result{wait: WaitChanged}, nil
	}
	next := ended(account.Data(), row.Host, now)
	member := next.Members[row.Host]
	member.Cause, member.Since = glade.CauseNone, 0
	member.Wave, member.Incarnation = row.Wave, row.Incarnation
	next.Members[row.Host] = member
	return commit(ctx, t, host, enter(row, glade.HostServing, now), account, next)
}

// Release takes a host that failed, or that never came to serve, out of its
// pool. The host has no pool until it is assigned again.
func Release(ctx context.Context, t glade.Table, host Host, account Account, now time.Time) (Result, error) {
	row := host.Data()
	cause := account.Data().Members[row.Host].Cause
	if cause != glade.CauseFail && cause != glade.CauseJoin {
		return Result{wait: WaitChanged}, nil
	}
	next := ended(account.Data(), row.Host, now)
	delete(next.Members, row.Host)
	row.Customer, row.Pool, row.Service, row.Wave = "", "", "", ""
	return commit(ctx, t, host, enter(row, glade.HostFailed, now), account, next)
}

// Resize records the size that was chosen for a pool.
func Resize(ctx context.Context, t glade.Table, account Account, customer glade.Customer, pool glade.Pool, size int) (Result, error) {
	next := copyAccount(account.Data())
	next.Customer, next.Pool, next.Size = customer, pool, size
	batch := table.NewBatch()
	table.Replace(batch, account, next)
	result, err := batch.Commit(ctx, t)
	return Result{commit: result}, err
}

// Touch writes the account because a failure in it goes on. Time alone spends
// the budget then, so a decision that was made long before must not commit on
// an unchanged row.
func Touch(ctx context.Context, t glade.Table, account Account, now time.Time) (Result, error) {
	next := copyAccount(account.Data())
	next.Touched = now.UnixMilli()
	batch := table.NewBatch()
	table.Replace(batch, account, next)
	result, err := batch.Commit(ctx, t)
	return Result{commit: result}, err
}

// ruleOf returns the rule of a pool under a contract.
func ruleOf(contract Contract, pool glade.Pool) (budget.Rule, bool) {
	accepted := glade.NewContract(contract.Data().Spec, contract.Data().Version)
	spec, ok := accepted.Pool(pool)
	return budget.NewRule(accepted.Spec(), spec), ok
}

// enter returns the row in a new phase. The epoch rises with each phase, so
// that a command of an earlier phase that was held up is refused by the worker.
func enter(row glade.HostRow, phase glade.HostPhase, now time.Time) glade.HostRow {
	row.Epoch++
	row.Phase = phase
	row.Since = now.UnixMilli()
	return row
}

func commit(ctx context.Context, t glade.Table, host Host, row glade.HostRow, account Account, next glade.AccountRow) (Result, error) {
	return commitBatch(ctx, t, table.NewBatch(), host, row, account, next)
}

func commitBatch(ctx context.Context, t glade.Table, batch *table.Batch, host Host, row glade.HostRow, account Account, next glade.AccountRow) (Result, error) {
	table.Replace(batch, host, row)
	table.Replace(batch, account, next)
	result, err := batch.Commit(ctx, t)
	return Result{commit: result}, err
}
