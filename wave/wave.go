// Package wave decides which host a maintenance wave takes down next.
package wave

import (
	"sort"
	"time"

	glade "indigoglade"
	"indigoglade/budget"
)

// Step is the decision for one pool: a host to drain now, or why none.
type Step struct {
	host glade.Host
	wait budget.Wait
}

// Host returns the host to take down now.
func (s Step) Host() (glade.Host, bool) { return s.host, s.wait == budget.WaitNone }

// Wait returns why no host is taken down.
func (s Step) Wait() budget.Wait { return s.wait }

// Next decides the next step of the contract's wave in one pool.
func Next(spec glade.ContractSpec, pool glade.PoolSpec, account glade.AccountRow, now time.Time) Step {
	if wait := declared(spec.Wave); wait != budget.WaitNone {
		return Step{wait: wait}
	}
	done, total := Progress(account, spec.Wave.Name)
	if done == total {
		return Step{wait: budget.WaitDone}
	}
	rule := budget.NewRule(spec, pool)
	wait := budget.WaitMembers
	for _, host := range order(account, spec.Wave.Name) {
		wait = rule.Plan(account, host, now)
		switch wait {
		case budget.WaitNone:
			return Step{host: host}
		case budget.WaitDown, budget.WaitMinutes:
			// These hold for every host of the pool.
			return Step{wait: wait}
		}
	}
	return Step{wait: wait}
}

func declared(w glade.WaveSpec) budget.Wait {
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

// IsRunning tells whether the contract's wave has hosts left in a pool and may
// go on.
func IsRunning(spec glade.ContractSpec, account glade.AccountRow) bool {
	if declared(spec.Wave) != budget.WaitNone {
		return false
	}
	done, total := Progress(account, spec.Wave.Name)
	return done < total
}

// Progress returns how many members the wave has maintained and how many there
// are. A member that is being maintained is not done.
func Progress(account glade.AccountRow, wave string) (done, total int) {
	for _, member := range account.Members {
		if member.Wave == wave && member.Cause != glade.CausePlan {
			done++
		}
	}
	return done, len(account.Members)
}

// place is a serving member that the wave has not maintained.
type place struct {
	host   glade.Host
	member glade.Member
	// begun marks a rack in which the wave has a host down already.
	begun bool
	// left is the number of open members in the zone.
	left int
}

// order returns the open members in the order in which the wave takes them. A
// rack in which a host is down by plan goes first, because a failure of that
// rack then costs less; then the zone with the most hosts left, so that the
// wave spreads over the zones; then by rack.
func order(account glade.AccountRow, wave string) []glade.Host {
	begun := make(map[string]bool)
	left := make(map[glade.Zone]int)
	var open []place
	for host, member := range account.Members {
		switch {
		case member.Cause == glade.CausePlan:
			begun[rackOf(member)] = true
		case member.Cause == glade.CauseNone && member.Wave != wave:
			left[member.Zone]++
			open = append(open, place{host: host, member: member})
		}
	}
	for i := range open {
		open[i].begun = begun[rackOf(open[i].member)]
		open[i].left = left[open[i].member.Zone]
	}
	sort.Slice(open, func(i, j int) bool { return open[i].before(open[j]) })
	hosts := make([]glade.Host, 0, len(open))
	for _, p := range open {
		hosts = append(hosts, p.host)
	}
	return hosts
}

func rackOf(member glade.Member) string { return budget.Domain("rack", "", member) }

func (p place) before(q place) bool {
	switch {
	case p.begun != q.begun:
		return p.begun
	case p.left != q.left:
		return p.left > q.left
	case p.member.Zone != q.member.Zone:
		return p.member.Zone < q.member.Zone
	case p.member.Rack != q.member.Rack:
		return p.member.Rack < q.member.Rack
	}
	return p.host < q.host
}
