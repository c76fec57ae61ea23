// Package wave decides which hosts a maintenance wave takes down next.
package wave

import (
	"sort"

	glade "indigoglade"
)

// Wait explains why a wave takes no further host down now.
type Wait string

// Reasons to wait.
const (
	WaitNone   Wait = ""
	WaitPaused Wait = "paused" // the contract says pause or cancel
	WaitBudget Wait = "budget" // the pool's budget is in use
	WaitDone   Wait = "done"   // every host was maintained
)

// State is what is known of one pool.
type State struct {
	Contract glade.Contract
	Pool     glade.PoolSpec
	Hosts    []glade.HostRow
	Account  glade.AccountRow
}

// Step is the decision for one pool: hosts to drain now, or why not.
type Step struct {
	hosts []glade.Host
	wait  Wait
}

// Hosts returns the hosts to take down now.
func (s Step) Hosts() []glade.Host { return s.hosts }

// Wait returns why no further host is taken down.
func (s Step) Wait() Wait { return s.wait }

// Next decides the next step of the wave in one pool.
func Next(state State) Step {
	spec := state.Contract.Spec()
	if spec.Wave.Name == "" {
		return Step{wait: WaitDone}
	}
	if spec.Wave.State != "run" {
		return Step{wait: WaitPaused}
	}
	open := candidates(state.Hosts, spec.Wave.Name)
	if len(open) == 0 {
		return Step{wait: WaitDone}
	}
	free := spec.Budget.Down - len(state.Account.Down)
	if free <= 0 {
		return Step{wait: WaitBudget}
	}
	if len(open) > free {
		open = open[:free]
	}
	return Step{hosts: open}
}

// candidates returns the serving hosts that the wave has not maintained,
// ordered by rack, so that one failure domain is down at a time.
func candidates(rows []glade.HostRow, wave string) []glade.Host {
	var open []glade.HostRow
	for _, row := range rows {
		if row.Phase == glade.HostServing && row.Wave != wave {
			open = append(open, row)
		}
	}
	sort.Slice(open, func(i, j int) bool {
		if open[i].Rack != open[j].Rack {
			return open[i].Rack < open[j].Rack
		}
		return open[i].Host < open[j].Host
	})
	hosts := make([]glade.Host, 0, len(open))
	for _, row := range open {
		hosts = append(hosts, row.Host)
	}
	return hosts
}
