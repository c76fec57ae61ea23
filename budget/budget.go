// Package budget holds the rule of the availability budget: which planned steps
// a pool's account allows.
//
// The rule reads nothing but the account row, the contract and the time, so a
// transaction that is conditional on both rows carries the promise whoever
// decides, however late.
package budget

import (
	"time"

	glade "indigoglade"
)

// Wait explains why a planned step is not taken now.
type Wait string

// Reasons to wait.
const (
	WaitNone     Wait = ""
	WaitDown     Wait = "down"     // as many hosts are down as the contract allows at once
	WaitMinutes  Wait = "minutes"  // the down time of the window is spent or reserved
	WaitHeadroom Wait = "headroom" // a failure of the largest domain would break the promise
	WaitMember   Wait = "member"   // the host does not serve in this pool
)

// restartAllowance is the part of a planned step after the drain: reboot and
// verification.
const restartAllowance = 5 * time.Minute

// Rule is the part of a contract that bounds planned steps in one pool.
type Rule struct {
	budget glade.BudgetSpec
	pool   glade.PoolSpec
	drain  time.Duration
}

// NewRule returns the rule of one pool of a contract.
func NewRule(spec glade.ContractSpec, pool glade.PoolSpec) Rule {
	return Rule{budget: spec.Budget, pool: pool, drain: spec.Wave.Drain.Duration()}
}

// Allowance returns the time that one planned step may take. A step that takes
// longer counts as a failure from then on.
func (r Rule) Allowance() time.Duration { return r.drain + restartAllowance }

// Size returns the size that the pool should have: the chosen one, or the
// promised one while none was chosen. A spare pool lends down to its floor.
func (r Rule) Size(account glade.AccountRow) int {
	if r.pool.Spare {
		return r.pool.Floor
	}
	if account.Size == 0 {
		return r.pool.Hosts
	}
	return min(max(account.Size, r.pool.Floor), r.pool.Ceiling)
}

// Need returns the number of serving hosts that the promise asks for even
// while the budget is in use.
func (r Rule) Need(account glade.AccountRow) int {
	return max(min(r.pool.Hosts, r.Size(account))-r.budget.Down, 0)
}

// Up returns the number of members that serve.
func Up(account glade.AccountRow) int { return Count(account, glade.CauseNone) }

// Down returns the number of members that count against the budget.
func Down(account glade.AccountRow) int {
	return Count(account, glade.CausePlan) + Count(account, glade.CauseFail)
}

// Count returns the number of members with that cause.
func Count(account glade.AccountRow, cause glade.DownCause) int {
	n := 0
	for _, member := range account.Members {
		if member.Cause == cause {
			n++
		}
	}
	return n
}

// Plan tells whether host may be taken down for maintenance now.
func (r Rule) Plan(account glade.AccountRow, host glade.Host, now time.Time) Wait {
	member, ok := account.Members[host]
	if !ok || member.Cause != glade.CauseNone {
		return WaitMember
	}
	if Down(account) >= r.budget.Down {
		return WaitDown
	}
	if r.reserved(account, now)+r.Allowance() > r.limit() {
		return WaitMinutes
	}
	return r.headroom(account, host)
}

// Leave tells whether a surplus host may begin to move to another pool. It
// takes nothing from the budget, because the pool keeps its size without it.
func (r Rule) Leave(account glade.AccountRow, host glade.Host) Wait {
	member, ok := account.Members[host]
	if !ok || member.Cause != glade.CauseNone {
		return WaitMember
	}
	if Up(account) <= r.Size(account) {
		return WaitDown
	}
	return r.headroom(account, host)
}

// moveBound is how long a move that began counts as coming. A move that failed
// on the way is forgotten after it.
const moveBound = 15 * time.Minute

// Lacks returns how many hosts the pool lacks of want. Members that are down by
// plan come back and are not lacked; members that failed are.
func Lacks(account glade.AccountRow, want int, now time.Time) int {
	have := len(account.Members) - Count(account, glade.CauseFail) - Count(account, glade.CauseLeave)
	for _, began := range account.Coming {
		if now.UnixMilli()-began < moveBound.Milliseconds() {
			have++
		}
	}
	return max(want-have, 0)
}

func (r Rule) limit() time.Duration { return time.Duration(r.budget.Minutes) * time.Minute }

// Spent returns the down time in the window that ends now, ended and running.
func (r Rule) Spent(account glade.AccountRow, now time.Time) time.Duration {
	return r.spent(account, now, 0, 0)
}

// reserved returns the down time that the window will hold when every planned
// step has used its whole allowance, every failure has lasted as long as one
// more step, and a pause as long as an allowance came on top: a keeper may be
// paused between its decision and its transaction. Time alone spends the budget
// while hosts are down, and no condition on an unchanged row notices time;
// keepers write the row now and then for that reason. A step that fits beside
// it can't overspend the window, unless a new failure does.
func (r Rule) reserved(account glade.AccountRow, now time.Time) time.Duration {
	return r.spent(account, now, 2*r.Allowance(), 2*r.Allowance())
}

func (r Rule) spent(account glade.AccountRow, now time.Time, planAtLeast, failMore time.Duration) time.Duration {
	start := now.Add(-r.budget.Window.Duration()).UnixMilli()
	total := int64(0)
	for _, span := range account.Spent {
		total += max(span.To-max(span.From, start), 0)
	}
	for _, member := range account.Members {
		running := max(now.UnixMilli()-max(member.Since, start), 0)
		switch member.Cause {
		case glade.CausePlan:
			total += max(running, planAtLeast.Milliseconds())
		case glade.CauseFail:
			total += running + failMore.Milliseconds()
		}
	}
	return time.Duration(total) * time.Millisecond
}

// headroom tells whether the pool, without host, could lose the largest failure
// domain and still keep the promise.
func (r Rule) headroom(account glade.AccountRow, host glade.Host) Wait {
	if Up(account)-1-r.largest(account, host) < r.Need(account) {
		return WaitHeadroom
	}
	return WaitNone
}

// Largest returns the greatest number of serving hosts that share a failure
// domain.
func (r Rule) Largest(account glade.AccountRow) int { return r.largest(account, "") }

// largest returns the greatest number of serving hosts, beside host, that share
// a failure domain. Example: with the domain "rack", serving hosts a and b in
// r1 and c in r2, the largest domain beside a holds 1 host.
func (r Rule) largest(account glade.AccountRow, host glade.Host) int {
	counts := make(map[string]int)
	largest := 0
	for name, member := range account.Members {
		if name == host || member.Cause != glade.CauseNone {
			continue
		}
		domain := Domain(r.budget.Domain, name, member)
		counts[domain]++
		largest = max(largest, counts[domain])
	}
	return largest
}

// Domain names the failure domain of a member, for the domain that a contract
// names.
func Domain(kind string, host glade.Host, member glade.Member) string {
	switch kind {
	case "zone":
		return string(member.Zone)
	case "rack":
		return string(member.Zone) + "/" + string(member.Rack)
	}
	return string(host)
}
