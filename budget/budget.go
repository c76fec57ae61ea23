// Package budget implements the rule of the availability budget: which planned
// steps a pool's availability account allows.
//
// The rule reads only the account row, the contract and the time. A transaction
// that is conditional on both rows therefore keeps the contract's promise no
// matter which process decides, and how late it commits.
package budget

import (
	"time"

	glade "indigoglade"
)

// WaitReason is the reason why a planned step is not taken now.
type WaitReason string

// Reasons to wait that follow from the budget.
const (
	WaitNone       WaitReason = ""
	WaitDown       WaitReason = "down"     // as many hosts are down as the contract allows at once
	WaitDownTime   WaitReason = "minutes"  // the down time allowed in the window is spent or reserved
	WaitHeadroom   WaitReason = "headroom" // losing the largest failure domain would break the promise
	WaitNotServing WaitReason = "member"   // the host does not serve in this pool
	WaitSurplus    WaitReason = "surplus"  // the pool has no host more than its size
)

// restartAllowance is the time that a planned step may take after the drain,
// for reboot and verification.
const restartAllowance = 5 * time.Minute

// Rule is the part of a contract that bounds planned steps in one pool.
type Rule struct {
	budget glade.BudgetSpec
	pool   glade.PoolSpec
	drain  time.Duration
}

// NewRule returns the rule of one pool of a contract.
func NewRule(spec glade.ContractSpec, pool glade.PoolSpec) Rule {
	return Rule{budget: spec.Budget, pool: pool, drain: spec.Wave.DrainTime.Duration()}
}

// Allowance returns the time that one planned step may take. A step that takes
// longer counts as a failure from then on.
func (r Rule) Allowance() time.Duration { return r.drain + restartAllowance }

// Size returns the number of hosts that the pool should have: the chosen size,
// or the promised size while none was chosen. A spare pool lends hosts down to
// its floor.
func (r Rule) Size(account glade.AccountRow) int {
	if r.pool.Spare {
		return r.pool.MinHosts
	}
	if account.Size == 0 {
		return r.pool.Hosts
	}
	return min(max(account.Size, r.pool.MinHosts), r.pool.MaxHosts)
}

// MinServing returns the number of hosts that must serve even when the budget is in
// full use.
func (r Rule) MinServing(account glade.AccountRow) int {
	return max(min(r.pool.Hosts, r.Size(account))-r.budget.Down, 0)
}

// Serving returns the number of members that serve.
func Serving(account glade.AccountRow) int { return Count(account, glade.CauseNone) }

// Down returns the number of members whose down time counts against the budget.
func Down(account glade.AccountRow) int {
	return Count(account, glade.CausePlan) + Count(account, glade.CauseFail)
}

// Count returns the number of members with a cause. CauseNone counts those that
// serve.
func Count(account glade.AccountRow, cause glade.DownCause) int {
	n := 0
	for _, member := range account.Members {
		if member.Cause == cause {
			n++
		}
	}
	return n
}

// CheckMaintenance returns why host may not be maintained now, or WaitNone.
func (r Rule) CheckMaintenance(account glade.AccountRow, host glade.Host, now time.Time) WaitReason {
	member, ok := account.Members[host]
	if !ok || member.Cause != glade.CauseNone {
		return WaitNotServing
	}
	if Down(account) >= r.budget.Down {
		return WaitDown
	}
	if r.reserved(account, now)+r.Allowance() > r.allowedDownTime() {
		return WaitDownTime
	}
	return r.headroom(account, host)
}

// CheckMove returns why a surplus host may not begin to move to another pool, or
// WaitNone. A move takes nothing from the budget, because the pool keeps its
// size without the host.
func (r Rule) CheckMove(account glade.AccountRow, host glade.Host) WaitReason {
	member, ok := account.Members[host]
	if !ok || member.Cause != glade.CauseNone {
		return WaitNotServing
	}
	if Serving(account) <= r.Size(account) {
		return WaitSurplus
	}
	return r.headroom(account, host)
}

// moveTimeout is how long a move that began counts as an arriving host. A move
// that failed on the way no longer counts after it.
const moveTimeout = 15 * time.Minute

// Missing returns how many hosts the pool must still get to have the wanted number.
// Members that are down by plan and hosts that are on their way to the pool count
// as present; members that failed or are leaving don't.
func Missing(account glade.AccountRow, want int, now time.Time) int {
	have := len(account.Members) - Count(account, glade.CauseFail) - Count(account, glade.CauseLeave)
	for _, began := range account.Incoming {
		if now.UnixMilli()-began < moveTimeout.Milliseconds() {
			have++
		}
	}
	return max(want-have, 0)
}

func (r Rule) allowedDownTime() time.Duration { return time.Duration(r.budget.Minutes) * time.Minute }

// Spent returns the down time in the window that ends now, both of past spans
// and of members that are still down.
func (r Rule) Spent(account glade.AccountRow, now time.Time) time.Duration {
	return r.spent(account, now, 0, 0)
}

// reserved returns the down time that the window will hold if every planned step
// lasts two allowances and every failure goes on for two more. One allowance is
// for the step itself, or for one more step during the failure. The other covers
// a keeper that is paused for so long between its decision and its transaction.
// Down time grows while hosts are down although the row does not change, so a
// condition on the row's version does not detect it; for that reason keepers
// write the row at intervals. A step that fits in addition can't overspend the
// window, unless a new failure does.
func (r Rule) reserved(account glade.AccountRow, now time.Time) time.Duration {
	return r.spent(account, now, 2*r.Allowance(), 2*r.Allowance())
}

func (r Rule) spent(account glade.AccountRow, now time.Time, minPlanned, extraFailed time.Duration) time.Duration {
	start := now.Add(-r.budget.Window.Duration()).UnixMilli()
	total := int64(0)
	for _, span := range account.DownTimes {
		total += max(span.To-max(span.From, start), 0)
	}
	for _, member := range account.Members {
		running := max(now.UnixMilli()-max(member.Since, start), 0)
		switch member.Cause {
		case glade.CausePlan:
			total += max(running, minPlanned.Milliseconds())
		case glade.CauseFail:
			total += running + extraFailed.Milliseconds()
		}
	}
	return time.Duration(total) * time.Millisecond
}

// headroom returns WaitHeadroom if the pool, without host, could not lose its
// largest failure domain and still have enough serving hosts.
func (r Rule) headroom(account glade.AccountRow, host glade.Host) WaitReason {
	if Serving(account)-1-r.largestDomainWithout(account, host) < r.MinServing(account) {
		return WaitHeadroom
	}
	return WaitNone
}

// LargestDomain returns the number of serving hosts in the failure domain that has
// the most of them.
func (r Rule) LargestDomain(account glade.AccountRow) int { return r.largestDomainWithout(account, "") }

// largestDomainWithout returns the greatest number of serving hosts in one
// failure domain, not counting host. Example: with the domain "rack", serving
// hosts a and b in r1 and c in r2, the largest domain besides a holds 1 host.
func (r Rule) largestDomainWithout(account glade.AccountRow, host glade.Host) int {
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

// Domain returns the name of a member's failure domain. kind is the kind of
// domain that the contract names: zone or rack, or else the host itself.
func Domain(kind string, host glade.Host, member glade.Member) string {
	switch kind {
	case "zone":
		return string(member.Zone)
	case "rack":
		return string(member.Zone) + "/" + string(member.Rack)
	}
	return string(host)
}
