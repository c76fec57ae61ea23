package sched

import (
	"encoding/json"
	"strings"
	"time"

	glade "indigoglade"
)

// auditor checks every write that takes effect. It computes budgets itself instead of using package
// budget, so that a fault there does not hide itself.
type auditor struct {
	clock     glade.Clock
	contracts map[glade.Customer]glade.ContractRow
	accounts  map[string]glade.AccountRow
	hosts     map[glade.Host]glade.HostRow
	report    Report
}

// Report counts violations, and the steps taken, which show that the schedules exercised the fleet.
type Report struct {
	Schedules int
	// OwnershipConflicts counts hosts that are in two accounts, or in the account of another pool than their
	// host row names.
	OwnershipConflicts int
	// BudgetViolations counts planned steps that exceeded a budget.
	BudgetViolations int
	// InterruptedRequests counts requests and tasks that were still running when a keeper rebooted their host.
	InterruptedRequests int
	// StaleEpochs counts writes of a host row that did not raise its epoch.
	StaleEpochs int
	// The number of steps of each cause that took effect.
	PlannedSteps int
	Failures     int
	Moves        int
}

// Add returns the sum of r and s.
func (r Report) Add(s Report) Report {
	return Report{
		Schedules:          r.Schedules + s.Schedules,
		OwnershipConflicts: r.OwnershipConflicts + s.OwnershipConflicts, BudgetViolations: r.BudgetViolations + s.BudgetViolations, InterruptedRequests: r.InterruptedRequests + s.InterruptedRequests, StaleEpochs: r.StaleEpochs + s.StaleEpochs,
		PlannedSteps: r.PlannedSteps + s.PlannedSteps, Failures: r.Failures + s.Failures, Moves: r.Moves + s.Moves,
	}
}

func newAuditor(clock glade.Clock) *auditor {
	return &auditor{
		clock:     clock,
		contracts: make(map[glade.Customer]glade.ContractRow),
		accounts:  make(map[string]glade.AccountRow),
		hosts:     make(map[glade.Host]glade.HostRow),
	}
}

func decode[T any](value []byte) T {
	var entry glade.Entry[T]
	if err := json.Unmarshal(value, &entry); err != nil {
		panic(err)
	}
	return entry.Data
}

// observeWrite checks one write at the moment it takes effect.
func (a *auditor) observeWrite(write glade.Write) {
	switch {
	case strings.HasPrefix(write.Key, glade.PrefixContract):
		row := decode[glade.ContractRow](write.Value)
		a.contracts[row.Spec.Customer] = row
	case strings.HasPrefix(write.Key, glade.PrefixHost):
		row := decode[glade.HostRow](write.Value)
		if row.Epoch <= a.hosts[row.Host].Epoch {
			a.report.StaleEpochs++
		}
		a.hosts[row.Host] = row
	case strings.HasPrefix(write.Key, glade.PrefixAccount):
		before := a.accounts[write.Key]
		after := decode[glade.AccountRow](write.Value)
		a.accounts[write.Key] = after
		a.checkAccount(before, after)
	}
}

// checkAccount finds the steps between two states of an account and checks them against the budget.
func (a *auditor) checkAccount(before, after glade.AccountRow) {
	for host, member := range after.Members {
		old := before.Members[host].Cause
		if member.Cause == old {
			continue
		}
		switch member.Cause {
		case glade.CausePlan:
			a.report.PlannedSteps++
			if !a.withinBudget(after) {
				a.report.BudgetViolations++
			}
		case glade.CauseLeave:
			a.report.Moves++
			if !a.keepsHeadroom(after, a.contracts[after.Customer].Spec) {
				a.report.BudgetViolations++
			}
		case glade.CauseFail:
			a.report.Failures++
		}
	}
}

// withinBudget reports whether the account after a planned step keeps the budget: the hosts down
// now, the down time in the window, and the hosts left after losing one more failure domain.
func (a *auditor) withinBudget(after glade.AccountRow) bool {
	spec := a.contracts[after.Customer].Spec
	down := 0
	for _, member := range after.Members {
		if member.Cause == glade.CausePlan || member.Cause == glade.CauseFail {
			down++
		}
	}
	return down <= spec.Budget.Down && a.withinWindow(after, spec) && a.keepsHeadroom(after, spec)
}

// restartAllowance is the time that a planned step may take in addition to its drain.
const restartAllowance = 5 * time.Minute

// withinWindow reports whether the down time of the window fits the budget, if planned steps in
// progress use their full time and failed hosts stay down for the length of another step.
func (a *auditor) withinWindow(after glade.AccountRow, spec glade.ContractSpec) bool {
	now := a.clock.Now()
	begin := now.Add(-spec.Budget.Window.Duration())
	step := spec.Wave.DrainTime.Duration() + restartAllowance
	var total time.Duration
	for _, span := range after.DownTimes {
		if to := time.UnixMilli(span.To); to.After(begin) {
			total += to.Sub(latest(begin, time.UnixMilli(span.From)))
		}
	}
	for _, member := range after.Members {
		since := now.Sub(latest(begin, time.UnixMilli(member.Since)))
		switch member.Cause {
		case glade.CausePlan:
			total += max(since, step)
		case glade.CauseFail:
			total += since + step
		}
	}
	return total <= time.Duration(spec.Budget.Minutes)*time.Minute
}

func latest(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// keepsHeadroom reports whether the pool could lose any one failure domain and still have its
// promised hosts, less those that the budget allows to be down.
func (a *auditor) keepsHeadroom(after glade.AccountRow, spec glade.ContractSpec) bool {
	up, lost := 0, make(map[string]int)
	worst := 0
	for host, member := range after.Members {
		if member.Cause != glade.CauseNone {
			continue
		}
		up++
		domain := map[string]string{"host": string(host), "rack": string(member.Rack), "zone": string(member.Zone)}[spec.Budget.Domain]
		lost[domain]++
		worst = max(worst, lost[domain])
	}
	promised := spec.Pools[0].Hosts
	if spec.Pools[0].Spare {
		promised = spec.Pools[0].MinHosts
	}
	return up-worst >= max(promised-spec.Budget.Down, 0)
}

// checkOwnership checks that accounts and host rows agree on the pool of each host.
func (a *auditor) checkOwnership() {
	seen := make(map[glade.Host]glade.Pool)
	for _, account := range a.accounts {
		for host := range account.Members {
			if _, twice := seen[host]; twice || a.hosts[host].Pool != account.Pool {
				a.report.OwnershipConflicts++
			}
			seen[host] = account.Pool
		}
	}
	for host, row := range a.hosts {
		if row.Pool != "" && seen[host] != row.Pool {
			a.report.OwnershipConflicts++
		}
	}
}
