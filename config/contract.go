package config

import (
	"fmt"

	glade "indigoglade"
)

// Largest values that a contract file may contain.
const (
	maxPercent    = 100.0
	maxHosts      = 100000
	maxSlots      = 1024
	maxLinks      = 65536
	maxQueueDepth = 100000
)

// ReadContract parses and validates a contract file.
func ReadContract(name string, source []byte) *File[glade.ContractSpec] {
	f := Read[glade.ContractSpec](name, source)
	if !f.IsParsed() {
		return f
	}
	spec := f.Value()
	f.CheckName("/customer", string(spec.Customer))
	checkPools(f, spec.Pools)
	checkAnswer(f, spec)
	checkBudget(f, spec)
	checkWave(f, spec.Wave)
	checkTeams(f, spec.Teams)
	return f
}

func checkPools(f *File[glade.ContractSpec], pools []glade.PoolSpec) {
	if len(pools) == 0 {
		f.Add("/pools", "expected at least one pool, found none")
	}
	names := make(map[glade.Pool]bool)
	services := make(map[glade.Service]bool)
	for i, p := range pools {
		path := fmt.Sprintf("/pools/%d", i)
		f.CheckName(path+"/name", string(p.Name))
		f.CheckName(path+"/serve", string(p.Serve))
		if names[p.Name] {
			f.Add(path+"/name", "pool %q is named twice", p.Name)
		}
		if services[p.Serve] {
			f.Add(path+"/serve", "service %q is run by two pools", p.Serve)
		}
		names[p.Name] = true
		services[p.Serve] = true
		checkPoolSize(f, path, p)
	}
}

func checkPoolSize(f *File[glade.ContractSpec], path string, p glade.PoolSpec) {
	f.checkRange(path+"/slots", "requests", p.Slots, 1, maxSlots)
	f.checkRange(path+"/links", "connections", p.MaxConns, p.Slots, maxLinks)
	f.checkRange(path+"/hosts", "hosts", p.Hosts, 0, maxHosts)
	if f.hasProblem(path + "/hosts") {
		return
	}
	f.checkRange(path+"/floor", "hosts", p.MinHosts, 0, p.Hosts)
	f.checkRange(path+"/ceiling", "hosts", p.MaxHosts, p.Hosts, maxHosts)
}

func checkAnswer(f *File[glade.ContractSpec], spec glade.ContractSpec) {
	a := spec.Answer
	if a.Deadline <= 0 {
		f.Add("/answer/deadline", `expected a length of time over 0, such as "3s"`)
	}
	if a.Window < a.Deadline {
		f.Add("/answer/window", "expected at least the deadline of %s, found %s", a.Deadline, a.Window)
	}
	if a.Target <= 0 || a.Target >= maxPercent {
		f.Add("/answer/target", "expected a percentage between 0 and 100, found %g", a.Target)
	}
	if a.RetryPercent < 0 || a.RetryPercent > maxPercent {
		f.Add("/answer/retry", "expected a percentage from 0 to 100, found %g", a.RetryPercent)
	}
	if a.Rate <= 0 {
		f.Add("/answer/rate", "expected a rate over 0 in requests per second, found %g", a.Rate)
	}
	f.checkRange("/answer/flight", "requests in flight", a.MaxInFlight, 1, totalSlots(spec.Pools))
	f.checkRange("/answer/queue", "requests", a.MaxQueued, 1, maxQueueDepth)
}

// totalSlots returns the number of requests that the pools can work on
// concurrently at their maximum sizes.
func totalSlots(pools []glade.PoolSpec) int {
	slots := 0
	for _, p := range pools {
		slots += p.MaxHosts * p.Slots
	}
	return slots
}

func checkBudget(f *File[glade.ContractSpec], spec glade.ContractSpec) {
	b := spec.Budget
	if b.Down < 1 {
		f.Add("/budget/down", "expected at least 1 host, found %d; with none, no host can ever be maintained", b.Down)
	}
	for _, p := range spec.Pools {
		if b.Down > p.Hosts && p.Hosts > 0 {
			f.Add("/budget/down", "expected at most the %d hosts of pool %q, found %d: a budget over 100 %%", p.Hosts, p.Name, b.Down)
		}
	}
	if b.Window <= 0 {
		f.Add("/budget/window", `expected a length of time over 0, such as "24h"`)
	}
	if b.Minutes < 1 {
		f.Add("/budget/minutes", "expected at least 1 host minute, found %d", b.Minutes)
	}
	switch b.Domain {
	case "host", "rack", "zone":
	default:
		f.Add("/budget/domain", `expected "host", "rack" or "zone", found %q`, b.Domain)
	}
}

func checkWave(f *File[glade.ContractSpec], w glade.WaveSpec) {
	if w.Name == "" && w.State == "" {
		return
	}
	f.CheckName("/wave/name", w.Name)
	switch w.State {
	case "run", "pause", "cancel":
	default:
		f.Add("/wave/state", `expected "run", "pause" or "cancel", found %q`, w.State)
	}
	if w.DrainTime <= 0 {
		f.Add("/wave/drain", `expected a length of time over 0, such as "30s"`)
	}
}

func checkTeams(f *File[glade.ContractSpec], teams []glade.TeamSpec) {
	names := make(map[string]bool)
	for i, t := range teams {
		path := fmt.Sprintf("/teams/%d", i)
		f.CheckName(path+"/name", t.Name)
		if names[t.Name] {
			f.Add(path+"/name", "team %q is named twice", t.Name)
		}
		names[t.Name] = true
		f.checkRange(path+"/cores", "cores", t.Cores, 0, maxHosts)
		f.checkRange(path+"/accels", "accelerators", t.Accels, 0, maxHosts)
	}
}

func (f *File[T]) checkRange(path, unit string, value, low, high int) {
	if value < low || value > high {
		f.Add(path, "expected %d to %d %s, found %d", low, high, unit, value)
	}
}
