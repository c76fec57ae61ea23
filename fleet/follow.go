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
	// suspectDelay is how long a host must look down before its worker is
	// asked.
	suspectDelay = 2 * time.Second
	// settleDelay is how long a drained host waits for requests that were on
	// their way when it began to drain.
	settleDelay = 3 * time.Second
	// retryDelay is the time between two calls to a worker or endpoint that
	// failed.
	retryDelay = 2 * time.Second
	// workerTimeout bounds one call to a worker.
	workerTimeout = time.Second
	// verifyProbes is the number of requests that a host must answer before it
	// serves.
	verifyProbes = 3
)

// poolState identifies what a round saw of a pool: the read of the host list
// and the version of the account.
type poolState struct {
	listVersion uint64
	account     uint64
}

// reconcileMembers takes the next step on every member that does not serve or
// looks down. A pool in which no member needed a step is skipped until its
// account or the host list changes.
func (c *Controller) reconcileMembers(ctx context.Context, v poolView) error {
	state := poolState{listVersion: c.listReads, account: v.account.Version()}
	if c.idle[v.account.Key()] == state {
		return nil
	}
	pending, suspecting := c.pendingMembers(v)
	for _, host := range pending {
		if err := c.reconcileMember(ctx, v, host); err != nil {
			return err
		}
	}
	if len(pending) == 0 && !suspecting {
		c.idle[v.account.Key()] = state
	}
	return nil
}

// pendingMembers returns the members that need a step, in the order of their
// names so that rounds are repeatable. suspecting tells whether other members
// look down, but not for long enough yet.
func (c *Controller) pendingMembers(v poolView) (hosts []glade.Host, suspecting bool) {
	for host, member := range v.account.Data().Members {
		switch {
		case member.Cause != glade.CauseNone:
			hosts = append(hosts, host)
		case c.isListedServing(v, host, member):
			delete(c.suspectSince, host)
		case c.isSuspect(v, host):
			hosts = append(hosts, host)
		default:
			suspecting = true
		}
	}
	slices.Sort(hosts)
	return hosts, suspecting
}

// isListedServing returns whether the host list shows a member as it should be.
func (c *Controller) isListedServing(v poolView, host glade.Host, member glade.Member) bool {
	listed, ok := c.listed[host]
	return ok && !listed.Leaving && listed.Service == v.pool.Serve && listed.Incarnation == member.Incarnation
}

// isSuspect returns whether a member has looked down for suspectDelay. The host
// list lags, so a single look at it decides nothing.
func (c *Controller) isSuspect(v poolView, host glade.Host) bool {
	since, known := c.suspectSince[host]
	if !known {
		c.suspectSince[host] = v.now
		return false
	}
	return v.now.Sub(since) >= suspectDelay
}

// reconcileMember takes the next step on one member.
func (c *Controller) reconcileMember(ctx context.Context, v poolView, host glade.Host) error {
	member := v.account.Data().Members[host]
	if v.now.Before(c.retryAt[host]) {
		return nil
	}
	record, err := owner.LoadHost(ctx, c.config.Table, host)
	if err != nil {
		return err
	}
	if record.Data().Pool != v.pool.Name || record.Data().Customer != v.contract.Customer() {
		return nil
	}
	if isOverrun(v, member) {
		return c.handleOverrun(ctx, v, record, member)
	}
	call, cancel := context.WithTimeout(ctx, workerTimeout)
	defer cancel()
	state, err := c.config.Workers.State(call, host)
	if err != nil {
		return c.handleUnreachable(ctx, v, record)
	}
	delete(c.retryAt, host)
	return c.reconcilePhase(ctx, v, record, state)
}

// isOverrun returns whether a planned step or a join has used up its allowance
// of time.
func isOverrun(v poolView, member glade.Member) bool {
	if member.Cause != glade.CausePlan && member.Cause != glade.CauseJoin {
		return false
	}
	rule := budget.NewRule(v.contract.Spec(), v.pool)
	return v.now.UnixMilli()-member.Since > rule.Allowance().Milliseconds()
}

func (c *Controller) handleOverrun(ctx context.Context, v poolView, record owner.Host, member glade.Member) error {
	if member.Cause == glade.CauseJoin {
		return c.countStep("release")(c.withAccount(ctx, v, record, owner.Release))
	}
	return c.countStep("fail")(c.withAccount(ctx, v, record, owner.MarkFailed))
}

// step is a transaction over a host and the account of its pool.
type step func(context.Context, glade.Table, owner.Host, owner.Account, time.Time) (owner.Result, error)

// maxStepAttempts bounds the attempts of a step whose transaction conflicts.
const maxStepAttempts = 4

// withAccount takes a step on the newest account of the pool. It retries after
// a conflict, because failures and returns of several hosts write the same
// account.
func (c *Controller) withAccount(ctx context.Context, v poolView, record owner.Host, do step) (owner.Result, error) {
	var result owner.Result
	for range maxStepAttempts {
		account, err := c.account(ctx, v.contract.Customer(), v.pool.Name)
		if err != nil {
			return result, err
		}
		result, err = do(ctx, c.config.Table, record, account, v.now)
		if err != nil || result.Commit() != glade.Conflicted {
			return result, err
		}
		record, err = owner.LoadHost(ctx, c.config.Table, record.Data().Host)
		if err != nil || record.Data().Pool != v.pool.Name {
			return result, err
		}
	}
	return result, nil
}

// handleUnreachable records the failure of a host whose worker should answer: a
// serving host, or a draining one that the host list no longer shows. A host that
// reboots may be silent until its allowance ends.
func (c *Controller) handleUnreachable(ctx context.Context, v poolView, record owner.Host) error {
	host := record.Data().Host
	c.counters.Add("worker.unreachable", 1)
	c.retryAt[host] = v.now.Add(retryDelay)
	switch record.Data().Phase {
	case glade.HostServing:
		delete(c.suspectSince, host)
		return c.countStep("fail")(c.withAccount(ctx, v, record, owner.MarkFailed))
	case glade.HostDraining:
		if _, listed := c.listed[host]; !listed {
			return c.countStep("fail")(c.withAccount(ctx, v, record, owner.MarkFailed))
		}
	}
	return nil
}

func (c *Controller) reconcilePhase(ctx context.Context, v poolView, record owner.Host, state glade.WorkerState) error {
	switch record.Data().Phase {
	case glade.HostServing:
		return c.checkServing(ctx, v, record, state)
	case glade.HostDraining:
		return c.continueDrain(ctx, v, record, state)
	case glade.HostReboot:
		return c.continueReboot(ctx, v, record, state)
	case glade.HostVerify:
		return c.continueVerify(ctx, v, record, state)
	case glade.HostFailed:
		return c.startRecovery(ctx, v, record, state)
	}
	return nil
}

// checkServing examines a serving host that the list shows as down. A host that
// restarted by itself, or that is draining, counts as down until it is
// verified.
func (c *Controller) checkServing(ctx context.Context, v poolView, record owner.Host, state glade.WorkerState) error {
	delete(c.suspectSince, record.Data().Host)
	if !state.Draining && state.Service == v.pool.Serve && state.Incarnation == record.Data().Incarnation {
		return nil
	}
	return c.countStep("fail")(c.withAccount(ctx, v, record, owner.MarkFailed))
}

func (c *Controller) continueDrain(ctx context.Context, v poolView, record owner.Host, state glade.WorkerState) error {
	row := record.Data()
	if !state.Draining {
		return c.countCommand("drain", c.config.Workers.Drain(ctx, row.Host, row.Epoch))
	}
	drained := time.Duration(v.now.UnixMilli()-row.Since) * time.Millisecond
	if state.Running > 0 {
		return c.checkpointTasks(ctx, v, row, drained)
	}
	if drained < settleDelay {
		return nil
	}
	if row.Target != "" {
		return c.finishMove(ctx, v, record, state)
	}
	return c.countStep("reboot")(owner.SetPhase(ctx, c.config.Table, record, glade.HostReboot, state.Incarnation, v.now))
}

// checkpointTasks stops the tasks that still run after the contract's drain
// time, with a checkpoint. Requests are never cut off: the drain goes on until
// they end.
func (c *Controller) checkpointTasks(ctx context.Context, v poolView, row glade.HostRow, drained time.Duration) error {
	if drained < v.contract.Spec().Wave.DrainTime.Duration() {
		return nil
	}
	tasks, err := c.config.Workers.Tasks(ctx, row.Host)
	if err != nil {
		return c.countCommand("tasks", err)
	}
	for _, task := range tasks {
		if task.Phase != glade.TaskRunning {
			continue
		}
		if err := c.countCommand("checkpoint", c.config.Workers.Stop(ctx, row.Host, task.ID, true)); err != nil {
			return err
		}
	}
	return nil
}

// continueReboot reboots an idle host until a new incarnation is up. A host
// that still serves something is drained first.
func (c *Controller) continueReboot(ctx context.Context, v poolView, record owner.Host, state glade.WorkerState) error {
	row := record.Data()
	if state.Incarnation > row.Incarnation && state.Service == row.Service && !state.Draining {
		return c.countStep("verify")(owner.SetPhase(ctx, c.config.Table, record, glade.HostVerify, state.Incarnation, v.now))
	}
	if state.Service != "" && !state.Draining {
		return c.countCommand("drain", c.config.Workers.Drain(ctx, row.Host, row.Epoch))
	}
	if state.Running > 0 {
		return nil
	}
	return c.countCommand("reboot", c.config.Workers.Reboot(ctx, row.Host, row.Epoch, row.Service))
}

// continueVerify returns a host to service when it answers requests. A host
// that does not stays out until its allowance ends.
func (c *Controller) continueVerify(ctx context.Context, v poolView, record owner.Host, state glade.WorkerState) error {
	row := record.Data()
	if state.Draining || state.Service != row.Service || state.Incarnation != row.Incarnation {
		return c.countStep("fail")(c.withAccount(ctx, v, record, owner.MarkFailed))
	}
	listed, ok := c.listed[row.Host]
	if !ok || listed.Incarnation != row.Incarnation {
		return nil
	}
	for i := range verifyProbes {
		id := fmt.Sprintf("verify.%s.%d.%d", row.Host, row.Epoch, i)
		if err := c.config.Prober.Probe(ctx, listed.Address, row.Service, id); err != nil {
			c.counters.Add("verify.failed", 1)
			c.retryAt[row.Host] = v.now.Add(retryDelay)
			return nil
		}
	}
	return c.countStep("return")(c.withAccount(ctx, v, record, owner.ReturnToService))
}

// startRecovery begins to verify or reboot a failed host whose worker answers
// again.
func (c *Controller) startRecovery(ctx context.Context, v poolView, record owner.Host, state glade.WorkerState) error {
	phase := glade.HostVerify
	if state.Draining || state.Service != v.pool.Serve {
		phase = glade.HostReboot
	}
	return c.countStep(string(phase))(owner.SetPhase(ctx, c.config.Table, record, phase, state.Incarnation, v.now))
}
