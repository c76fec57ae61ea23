package fleet

import (
	"context"
	"fmt"
	"slices"
	"time"

	glade "indigoglade"
	"indigoglade/budget"
	"indigoglade/owner"
)

// Times of the steps on one host.
const (
	// suspectTime is how long a host must look down before its worker is asked.
	suspectTime = 2 * time.Second
	// settleTime is how long a drained host waits for requests that were on
	// their way when it began to drain.
	settleTime = 3 * time.Second
	// retryTime is the time between two calls to a worker that did not answer.
	retryTime = 2 * time.Second
	// callTime bounds one call to a worker.
	callTime = time.Second
	// verifyProbes is the number of requests that a host must answer before it
	// serves.
	verifyProbes = 3
)

// mark is what a pool was last found at rest with.
type mark struct {
	list    uint64
	account uint64
}

// followAll takes the next step on every member that does not serve or looks
// down. A pool that was at rest costs nothing until its account or the host
// list changes.
func (f *Fleet) followAll(ctx context.Context, v poolView) error {
	now := mark{list: f.lists, account: v.account.Version()}
	if f.resting[v.account.Key()] == now {
		return nil
	}
	open, looking := f.open(v)
	for _, host := range open {
		if err := f.follow(ctx, v, host); err != nil {
			return err
		}
	}
	if len(open) == 0 && !looking {
		f.resting[v.account.Key()] = now
	}
	return nil
}

// open returns the members that need a step, in the order of their names so
// that rounds repeat, and whether others look down but not for long enough.
func (f *Fleet) open(v poolView) (hosts []glade.Host, looking bool) {
	for host, member := range v.account.Data().Members {
		switch {
		case member.Cause != glade.CauseNone:
			hosts = append(hosts, host)
		case f.looksUp(v, host, member):
			delete(f.suspects, host)
		case f.isSuspect(v, host):
			hosts = append(hosts, host)
		default:
			looking = true
		}
	}
	slices.Sort(hosts)
	return hosts, looking
}

// looksUp tells whether the host list shows a member as it should be.
func (f *Fleet) looksUp(v poolView, host glade.Host, member glade.Member) bool {
	listed, ok := f.listed[host]
	return ok && !listed.Leaving && listed.Service == v.pool.Serve && listed.Incarnation == member.Incarnation
}

// isSuspect tells whether a member has looked down for suspectTime. The host
// list lags, so its word alone decides nothing.
func (f *Fleet) isSuspect(v poolView, host glade.Host) bool {
	since, known := f.suspects[host]
	if !known {
		f.suspects[host] = v.now
		return false
	}
	return v.now.Sub(since) >= suspectTime
}

// follow takes the next step on one member.
func (f *Fleet) follow(ctx context.Context, v poolView, host glade.Host) error {
	member := v.account.Data().Members[host]
	if v.now.Before(f.retries[host]) {
		return nil
	}
	record, err := owner.LoadHost(ctx, f.config.Table, host)
	if err != nil {
		return err
	}
	if record.Data().Pool != v.pool.Name || record.Data().Customer != v.contract.Customer() {
		return nil
	}
	if isOverrun(v, member) {
		return f.overrun(ctx, v, record, member)
	}
	call, cancel := context.WithTimeout(ctx, callTime)
	defer cancel()
	state, err := f.config.Workers.State(call, host)
	if err != nil {
		return f.unreachable(ctx, v, record)
	}
	delete(f.retries, host)
	return f.followPhase(ctx, v, record, state)
}

// isOverrun tells whether a step has used up its allowance of time.
func isOverrun(v poolView, member glade.Member) bool {
	if member.Cause != glade.CausePlan && member.Cause != glade.CauseJoin {
		return false
	}
	rule := budget.NewRule(v.contract.Spec(), v.pool)
	return v.now.UnixMilli()-member.Since > rule.Allowance().Milliseconds()
}

func (f *Fleet) overrun(ctx context.Context, v poolView, record owner.Host, member glade.Member) error {
	if member.Cause == glade.CauseJoin {
		return f.count("release")(f.withAccount(ctx, v, record, owner.Release))
	}
	return f.count("fail")(f.withAccount(ctx, v, record, owner.Fail))
}

// step is a transaction over a host and the account of its pool.
type step func(context.Context, glade.Table, owner.Host, owner.Account, time.Time) (owner.Result, error)

// accountTries bounds how often a step is tried again because its account
// changed in between.
const accountTries = 4

// withAccount takes a step on the newest account of the pool. Failures and
// returns meet each other in the account, so a conflict is tried again.
func (f *Fleet) withAccount(ctx context.Context, v poolView, record owner.Host, do step) (owner.Result, error) {
	var result owner.Result
	for range accountTries {
		account, err := f.account(ctx, v.contract.Customer(), v.pool.Name)
		if err != nil {
			return result, err
		}
		result, err = do(ctx, f.config.Table, record, account, v.now)
		if err != nil || result.Commit() != glade.Conflicted {
			return result, err
		}
		record, err = owner.LoadHost(ctx, f.config.Table, record.Data().Host)
		if err != nil || record.Data().Pool != v.pool.Name {
			return result, err
		}
	}
	return result, nil
}

// unreachable records a failure of a host that should answer. A host that
// reboots may be silent until its allowance ends.
func (f *Fleet) unreachable(ctx context.Context, v poolView, record owner.Host) error {
	host := record.Data().Host
	f.counters.Add("worker.unreachable", 1)
	f.retries[host] = v.now.Add(retryTime)
	switch record.Data().Phase {
	case glade.HostServing:
		delete(f.suspects, host)
		return f.count("fail")(f.withAccount(ctx, v, record, owner.Fail))
	case glade.HostDraining:
		if _, listed := f.listed[host]; !listed {
			return f.count("fail")(f.withAccount(ctx, v, record, owner.Fail))
		}
	}
	return nil
}

func (f *Fleet) followPhase(ctx context.Context, v poolView, record owner.Host, state glade.WorkerState) error {
	switch record.Data().Phase {
	case glade.HostServing:
		return f.followServing(ctx, v, record, state)
	case glade.HostDraining:
		return f.followDrain(ctx, v, record, state)
	case glade.HostReboot:
		return f.followReboot(ctx, v, record, state)
	case glade.HostVerify:
		return f.followVerify(ctx, v, record, state)
	case glade.HostFailed:
		return f.followFailed(ctx, v, record, state)
	}
	return nil
}

// followServing looks at a serving host that the list shows as down. A host
// that restarted by itself, or leaves, is down until it is verified.
func (f *Fleet) followServing(ctx context.Context, v poolView, record owner.Host, state glade.WorkerState) error {
	delete(f.suspects, record.Data().Host)
	if !state.Draining && state.Service == v.pool.Serve && state.Incarnation == record.Data().Incarnation {
		return nil
	}
	return f.count("fail")(f.withAccount(ctx, v, record, owner.Fail))
}

func (f *Fleet) followDrain(ctx context.Context, v poolView, record owner.Host, state glade.WorkerState) error {
	row := record.Data()
	if !state.Draining {
		return f.command("drain", f.config.Workers.Drain(ctx, row.Host, row.Epoch))
	}
	drained := time.Duration(v.now.UnixMilli()-row.Since) * time.Millisecond
	if state.Running > 0 {
		return f.checkpoint(ctx, v, row, drained)
	}
	if drained < settleTime {
		return nil
	}
	if row.Target != "" {
		return f.transfer(ctx, v, record, state)
	}
	return f.count("reboot")(owner.Advance(ctx, f.config.Table, record, glade.HostReboot, state.Incarnation, v.now))
}

// checkpoint stops the tasks that still run after the contract's drain time, a
// checkpoint first. Requests are never cut: the drain goes on until they end.
func (f *Fleet) checkpoint(ctx context.Context, v poolView, row glade.HostRow, drained time.Duration) error {
	if drained < v.contract.Spec().Wave.Drain.Duration() {
		return nil
	}
	tasks, err := f.config.Workers.Tasks(ctx, row.Host)
	if err != nil {
		return f.command("tasks", err)
	}
	for _, task := range tasks {
		if task.Phase != glade.TaskRunning {
			continue
		}
		if err := f.command("checkpoint", f.config.Workers.Stop(ctx, row.Host, task.ID, true)); err != nil {
			return err
		}
	}
	return nil
}

// followReboot restarts an idle host until a new incarnation is up. A host that
// still serves something is drained first.
func (f *Fleet) followReboot(ctx context.Context, v poolView, record owner.Host, state glade.WorkerState) error {
	row := record.Data()
	if state.Incarnation > row.Incarnation && state.Service == row.Service && !state.Draining {
		return f.count("verify")(owner.Advance(ctx, f.config.Table, record, glade.HostVerify, state.Incarnation, v.now))
	}
	if state.Service != "" && !state.Draining {
		return f.command("drain", f.config.Workers.Drain(ctx, row.Host, row.Epoch))
	}
	if state.Running > 0 {
		return nil
	}
	return f.command("reboot", f.config.Workers.Reboot(ctx, row.Host, row.Epoch, row.Service))
}

// followVerify gives a host back when it answers requests. A host that fails
// what it starts stays out until its allowance ends.
func (f *Fleet) followVerify(ctx context.Context, v poolView, record owner.Host, state glade.WorkerState) error {
	row := record.Data()
	if state.Draining || state.Service != row.Service || state.Incarnation != row.Incarnation {
		return f.count("fail")(f.withAccount(ctx, v, record, owner.Fail))
	}
	listed, ok := f.listed[row.Host]
	if !ok || listed.Incarnation != row.Incarnation {
		return nil
	}
	for i := range verifyProbes {
		id := fmt.Sprintf("verify.%s.%d.%d", row.Host, row.Epoch, i)
		if err := f.config.Prober.Probe(ctx, listed.Address, row.Service, id); err != nil {
			f.counters.Add("verify.failed", 1)
			f.retries[row.Host] = v.now.Add(retryTime)
			return nil
		}
	}
	return f.count("return")(f.withAccount(ctx, v, record, owner.Return))
}

// followFailed brings a failed host that answers again on its way back.
func (f *Fleet) followFailed(ctx context.Context, v poolView, record owner.Host, state glade.WorkerState) error {
	phase := glade.HostVerify
	if state.Draining || state.Service != v.pool.Serve {
		phase = glade.HostReboot
	}
	return f.count(string(phase))(owner.Advance(ctx, f.config.Table, record, phase, state.Incarnation, v.now))
}
