// Package wave decides which host a maintenance wave takes down next in a pool.
package wave

import (
	"sort"
	"time"

	glade "indigoglade"
	"indigoglade/budget"
)

// Step is the decision for one pool: the host to drain now, or the reason why
// no host is drained.
type Step struct {
	host glade.Host
	wait budget.WaitReason
}

// Host returns the host to take down now. The second result is false if there
// is none.
func (s Step) Host() (glade.Host, bool) { return s.host, s.wait == budget.WaitNone }

// Wait returns why no host is taken down, or WaitNone.
func (s Step) Wait() budget.WaitReason { return s.wait }

// Next returns the next step of the contract's wave in one pool.
func Next(spec glade.ContractSpec, pool glade.PoolSpec, account glade.AccountRow, now time.Time) Step {
	if wait := declaredWait(spec.Wave); wait != budget.WaitNone {
		return Step{wait: wait}
	}
	done, total := Progress(account, spec.Wave.Name)
	if done == total {
		return Step{wait: budget.WaitDone}
	}
	rule := budget.NewRule(spec, pool)
	wait := budget.WaitNoneServing
	for _, host := range maintenanceOrder(account, spec.Wave.Name) {
		wait = rule.CheckMaintenance(account, host, now)
		switch wait {
		case budget.WaitNone:
			return Step{host: host}
		case budget.WaitDown, budget.WaitDownTime:
			// These reasons hold for every host of the pool.
			return Step{wait: wait}
		}
	}
	return Step{wait: wait}
}

func declaredWait(w glade.WaveSpec) budget.WaitReason {
	switch {
	case w.Name == "":
		return budget.WaitNoWave
	case w.State == "cancel":
		return budget.WaitCanceled
	case w.State != "run":
		return budget.WaitPaused
	}
	return budget.WaitNone
}

// IsRunning returns whether the contract's wave may go on and has hosts left in
// a pool.
func IsRunning(spec glade.ContractSpec, account glade.AccountRow) bool {
	if declaredWait(spec.Wave) != budget.WaitNone {
		return false
	}
	done, total := Progress(account, spec.Wave.Name)
	return done < total
}

// Progress returns the number of members that the wave has maintained and the
// number of all members. A member that is being maintained is not done.
func Progress(account glade.AccountRow, wave string) (done, total int) {
	for _, member := range account.Members {
		if member.Wave == wave && member.Cause != glade.CausePlan {
			done++
		}
	}
	return done, len(account.Members)
}

// candidate is a serving member that the wave has not maintained.
type candidate struct {
	host   glade.Host
	member glade.Member
	// rackStarted is set if a host of the same rack is down by plan.
	rackStarted bool
	// zoneRemaining is the number of candidates in the zone.
	zoneRemaining int
}

// maintenanceOrder returns the candidates in the order in which the wave takes
// them: first those in a rack in which a host is down by plan, because a
// failure of that rack then costs less; then those in the zone with the most
// candidates, so that the wave spreads over the zones; then by zone, rack and
// name.
func maintenanceOrder(account glade.AccountRow, wave string) []glade.Host {
	startedRacks := make(map[string]bool)
	remaining := make(map[glade.Zone]int)
	var candidates []candidate
	for host, member := range account.Members {
		switch {
		case member.Cause == glade.CausePlan:
			startedRacks[rackOf(member)] = true
		case member.Cause == glade.CauseNone && member.Wave != wave:
			remaining[member.Zone]++
			candidates = append(candidates, candidate{host: host, member: member})
		}
	}
	for i := range candidates {
		candidates[i].rackStarted = startedRacks[rackOf(candidates[i].member)]
		candidates[i].zoneRemaining = remaining[candidates[i].member.Zone]
	}
	sort.Slice(candidates, func(i, j int) bool { return candidates[i].before(candidates[j]) })
	hosts := make([]glade.Host, 0, len(candidates))
	for _, c := range candidates {
		hosts = append(hosts, c.host)
	}
	return hosts
}

func rackOf(member glade.Member) string { return budget.Domain("rack", "", member) }

func (c candidate) before(other candidate) bool {
	switch {
	case c.rackStarted != other.rackStarted:
		return c.rackStarted
	case c.zoneRemaining != other.zoneRemaining:
		return c.zoneRemaining > other.zoneRemaining
	case c.member.Zone != other.member.Zone:
		return c.member.Zone < other.member.Zone
	case c.member.Rack != other.member.Rack:
		return c.member.Rack < other.member.Rack
	}
	return c.host < other.host
}
