// Package owner changes the ownership rows of hosts and the availability
// accounts of pools in the table service, by transactions.
//
// Every step that adds a host to a pool, removes it, or changes whether it counts
// as down is one transaction over the host's row and the account of its pool. A
// host is in at most one pool, because it has one row, which names the pool. A
// planned step never overspends a pool's budget, because the budget's rule is
// checked on the account and the contract that the transaction is conditional
// on. When two keepers race, or a keeper was paused between its check and its
// transaction, the transaction conflicts if a row has changed meanwhile, and has
// no effect.
package owner

import (
	"context"
	"time"

	glade "indigoglade"
	"indigoglade/budget"
	"indigoglade/table"
)

// Host is the ownership record of a host, with the version that a transaction
// checks.
type Host = table.Record[glade.HostRow]

// Account is the availability account of a pool: its members and the down time
// that they spent.
type Account = table.Record[glade.AccountRow]

// Contract is the record of a customer's newest accepted contract.
type Contract = table.Record[glade.ContractRow]

// AccountKey returns the key of a pool's availability account in the table
// service.
func AccountKey(customer glade.Customer, pool glade.Pool) string {
	return glade.PrefixAccount + string(customer) + "/" + string(pool)
}

// HostKey returns the key of a host's ownership row in the table service.
func HostKey(host glade.Host) string { return glade.PrefixHost + string(host) }

// LoadHost reads the ownership record of a host.
func LoadHost(ctx context.Context, t glade.Table, host glade.Host) (Host, error) {
	return table.Load[glade.HostRow](ctx, t, HostKey(host))
}

// LoadAccount reads the availability account of a pool.
func LoadAccount(ctx context.Context, t glade.Table, customer glade.Customer, pool glade.Pool) (Account, error) {
	return table.Load[glade.AccountRow](ctx, t, AccountKey(customer, pool))
}

// LoadContract reads the record of a customer's newest accepted contract.
func LoadContract(ctx context.Context, t glade.Table, customer glade.Customer) (Contract, error) {
	return table.Load[glade.ContractRow](ctx, t, glade.PrefixContract+string(customer))
}

// Result is the outcome of a step: the result of its transaction, or the reason
// why the transaction was not tried.
type Result struct {
	commit glade.CommitResult
	wait   budget.WaitReason
}

// Commit returns the result of the transaction; 0 when none was tried.
func (r Result) Commit() glade.CommitResult { return r.commit }

// Wait returns the reason why no transaction was tried; empty when one was.
func (r Result) Wait() budget.WaitReason { return r.wait }

// IsDone reports whether the transaction was committed.
func (r Result) IsDone() bool { return r.commit == glade.Committed }

// String returns a name for counters: "wait." and the reason to wait, or the
// result of the transaction.
func (r Result) String() string {
	if r.wait != budget.WaitNone {
		return "wait." + string(r.wait)
	}
	return r.commit.String()
}

// WaitFull means that the pool already has, or will get, the hosts it should have.
const WaitFull budget.WaitReason = "full"

// WaitChanged means that the host's row is not in the state that the step needs.
const WaitChanged budget.WaitReason = "changed"

// Assignment names a host that belongs to no pool and the pool that it joins.
type Assignment struct {
	// Listed is the host as the platform lists it.
	Listed   glade.HostListing
	Customer glade.Customer
	Pool     glade.PoolSpec
	// DesiredSize is the number of hosts that the pool should have.
	DesiredSize int
	// Wave is the pool's present wave. The host is rebooted when it joins, so it
	// counts as already maintained by this wave.
	Wave string
}

// Assign gives a host without a pool to a pool that has too few hosts. The host
// is rebooted into the pool's service before it serves.
func Assign(ctx context.Context, t glade.Table, host Host, account Account, a Assignment, now time.Time) (Result, error) {
	row := host.Data()
	if row.Pool != "" {
		return Result{wait: WaitChanged}, nil
	}
	if budget.Missing(account.Data(), a.DesiredSize, now) == 0 {
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
	return commit(ctx, t, host, enterPhase(next, glade.HostReboot, now), account, withJoining(account.Data(), next, now))
}

// BeginMaintenance starts planned maintenance of a host: the host drains and
// the account counts it as down. The result is a reason to wait unless the
// contract's budget allows the step now.
func BeginMaintenance(ctx context.Context, t glade.Table, contract Contract, host Host, account Account, now time.Time) (Result, error) {
	row := host.Data()
	spec := contract.Data().Spec
	rule, ok := ruleOf(contract, row.Pool)
	if !ok || row.Phase != glade.HostServing || row.Customer != spec.Customer {
		return Result{wait: WaitChanged}, nil
	}
	if wait := rule.CheckMaintenance(account.Data(), row.Host, now); wait != budget.WaitNone {
		return Result{wait: wait}, nil
	}
	row.Wave = spec.Wave.Name
	batch := table.NewBatch()
	table.Require(batch, contract)
	return commitBatch(ctx, t, batch, host, enterPhase(row, glade.HostDraining, now), account, withDown(account.Data(), row, glade.CausePlan, now))
}

// Destination names the pool that a surplus host moves to, and the pool's customer.
type Destination struct {
	Customer glade.Customer
	Pool     glade.PoolSpec
	// DesiredSize is the number of hosts that this pool should have.
	DesiredSize int
}

// BeginMove starts to move a surplus host to another pool: the host drains, the
// account of the pool that it leaves counts it as leaving, and the account of
// the target pool counts it as incoming. contract is the one of the customer that
// the host leaves; a pool that this contract does not name has no guaranteed
// size to keep.
func BeginMove(ctx context.Context, t glade.Table, contract Contract, host Host, from, to Account, destination Destination, now time.Time) (Result, error) {
	row := host.Data()
	rule, _ := ruleOf(contract, row.Pool)
	if row.Phase != glade.HostServing || from.Key() == to.Key() {
		return Result{wait: WaitChanged}, nil
	}
	if budget.Missing(to.Data(), destination.DesiredSize, now) == 0 {
		return Result{wait: WaitFull}, nil
	}
	if wait := rule.CheckMove(from.Data(), row.Host); wait != budget.WaitNone {
		return Result{wait: wait}, nil
	}
	row.Target, row.TargetCustomer = destination.Pool.Name, destination.Customer
	batch := table.NewBatch()
	table.Require(batch, contract)
	table.Replace(batch, to, withIncoming(to.Data(), row, now))
	return commitBatch(ctx, t, batch, host, enterPhase(row, glade.HostDraining, now), from, withDown(from.Data(), row, glade.CauseLeave, now))
}

// Completion describes the end of a move: the pool that the host joins and the
// state in which it arrives.
type Completion struct {
	Pool glade.PoolSpec
	// Wave is the pool's present wave.
	Wave string
	// Incarnation is the incarnation of the host that was drained.
	Incarnation uint64
}

// CompleteMove completes a move: in one transaction a drained host leaves one
// account and joins the other. The host counts as already maintained by the
// target pool's wave, because it is rebooted when it joins.
func CompleteMove(ctx context.Context, t glade.Table, host Host, from, to Account, completion Completion, now time.Time) (Result, error) {
	pool := completion.Pool
	row := host.Data()
	if row.Phase != glade.HostDraining || row.Target != pool.Name {
		return Result{wait: WaitChanged}, nil
	}
	source := copyAccount(from.Data())
	delete(source.Members, row.Host)
	row.Customer, row.Pool, row.Service = row.TargetCustomer, pool.Name, pool.Serve
	row.Target, row.TargetCustomer, row.Wave = "", "", completion.Wave
	row.Incarnation = completion.Incarnation
	batch := table.NewBatch()
	table.Replace(batch, from, source)
	return commitBatch(ctx, t, batch, host, enterPhase(row, glade.HostReboot, now), to, withJoining(to.Data(), row, now))
}

// MarkFailed records that a host has failed. The budget is not checked, because a
// failure can't be refused. A planned step that takes longer than its allowance
// is recorded as a failure too.
func MarkFailed(ctx context.Context, t glade.Table, host Host, account Account, now time.Time) (Result, error) {
	row := host.Data()
	member, ok := account.Data().Members[row.Host]
	if !ok || (row.Phase == glade.HostFailed && member.Cause == glade.CauseFail) {
		return Result{wait: WaitChanged}, nil
	}
	row.Target, row.TargetCustomer = "", ""
	return commit(ctx, t, host, enterPhase(row, glade.HostFailed, now), account, withDown(account.Data(), row, glade.CauseFail, now))
}

// SetPhase sets the phase and the incarnation of a host without changing the
// account of its pool.
func SetPhase(ctx context.Context, t glade.Table, host Host, phase glade.HostPhase, incarnation uint64, now time.Time) (Result, error) {
	row := host.Data()
	row.Incarnation = incarnation
	batch := table.NewBatch()
	table.Replace(batch, host, enterPhase(row, phase, now))
	result, err := batch.Commit(ctx, t)
	return Result{commit: result}, err
}

// ReturnToService puts a host in the verify phase back in service and adds its
// down time to the time that the pool has spent.
func ReturnToService(ctx context.Context, t glade.Table, host Host, account Account, now time.Time) (Result, error) {
	row := host.Data()
	if row.Phase != glade.HostVerify {
		return Result{wait: WaitChanged}, nil
	}
	next := withDownTimeEnded(account.Data(), row.Host, now)
	member := next.Members[row.Host]
	member.Cause, member.Since = glade.CauseNone, 0
	member.Wave, member.Incarnation = row.Wave, row.Incarnation
	next.Members[row.Host] = member
	return commit(ctx, t, host, enterPhase(row, glade.HostServing, now), account, next)
}

// Release removes a host that failed, or that has not served yet, from its pool.
// The host belongs to no pool until it is assigned again.
func Release(ctx context.Context, t glade.Table, host Host, account Account, now time.Time) (Result, error) {
	row := host.Data()
	cause := account.Data().Members[row.Host].Cause
	if cause != glade.CauseFail && cause != glade.CauseJoin {
		return Result{wait: WaitChanged}, nil
	}
	next := withDownTimeEnded(account.Data(), row.Host, now)
	delete(next.Members, row.Host)
	row.Customer, row.Pool, row.Service, row.Wave = "", "", "", ""
	return commit(ctx, t, host, enterPhase(row, glade.HostFailed, now), account, next)
}

// SetSize records the number of hosts that was chosen for a pool.
func SetSize(ctx context.Context, t glade.Table, account Account, customer glade.Customer, pool glade.Pool, size int) (Result, error) {
	next := copyAccount(account.Data())
	next.Customer, next.Pool, next.Size = customer, pool, size
	batch := table.NewBatch()
	table.Replace(batch, account, next)
	result, err := batch.Commit(ctx, t)
	return Result{commit: result}, err
}

// Touch rewrites the account of a pool in which a failure lasts. Down time then
// adds up although no row changes; the new version of the row makes a decision
// conflict that was made long before, when less down time was spent.
func Touch(ctx context.Context, t glade.Table, account Account, now time.Time) (Result, error) {
	next := copyAccount(account.Data())
	next.LastFailureWrite = now.UnixMilli()
	batch := table.NewBatch()
	table.Replace(batch, account, next)
	result, err := batch.Commit(ctx, t)
	return Result{commit: result}, err
}

// ruleOf returns the budget rule of a pool under a contract. The second result is
// false when the contract does not name the pool.
func ruleOf(contract Contract, pool glade.Pool) (budget.Rule, bool) {
	accepted := glade.NewContract(contract.Data().Spec, contract.Data().Version)
	spec, ok := accepted.Pool(pool)
	return budget.NewRule(accepted.Spec(), spec), ok
}

// enterPhase returns the row in a new phase that begins now. The epoch rises with each
// phase and serves as the fencing token: the worker refuses a command of an
// earlier phase that arrives late.
func enterPhase(row glade.HostRow, phase glade.HostPhase, now time.Time) glade.HostRow {
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
