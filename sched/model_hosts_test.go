package sched_test

import (
	"slices"
	"time"

	glade "indigoglade"
	"indigoglade/moves"
)

// modelHost is the host of a runner. The inventory lists what the platform believes of it.
type modelHost struct {
	name glade.Host
	// runner is the present runner, which may be down. known is the latest one that has been up.
	runner, known glade.RunnerID
	// belief is what the inventory says of the host until a time, whatever its runner does.
	belief modelBelief
	until  time.Time
	// seen holds the runners that the present planner has seen on the host.
	seen []glade.RunnerID
}

type modelBelief struct {
	state             glade.HostState
	noRunner, missing bool
}

var modelBeliefs = []modelBelief{
	{state: glade.HostDown},
	{state: glade.HostDown, noRunner: true},
	{state: glade.HostMoving},
	{state: glade.HostMaintenance},
	{state: glade.HostUnknown, noRunner: true},
	{state: glade.HostUp, noRunner: true},
	{missing: true},
}

const (
	// modelReadPeriod is the time between two readings of the inventory.
	modelReadPeriod = 900 * time.Millisecond
	// A new leader of the fleet duty comes at one of so many readings. It knows nothing of the hosts' earlier runners.
	modelFleetTerm = 12
	// The platform believes something else of a host at one of so many ticks: of one whose runner the leader reaches,
	// and of one whose runner it does not reach.
	modelBeliefTicks, modelCutBeliefTicks = 400, 12
)

// host returns the host of a runner.
func (w *simulation) host(id glade.RunnerID) *modelHost {
	for _, h := range w.hosts {
		if h.runner == id {
			return h
		}
	}
	panic("no host has the runner " + id)
}

// updateHosts lets the platform believe other things, and reads the inventory from time to time.
func (w *simulation) updateHosts() {
	current := w.leaders[len(w.leaders)-1]
	for _, h := range w.hosts {
		if !w.now.Before(w.runners[h.runner].downUntil) {
			h.known = h.runner
		}
		ticks := modelBeliefTicks
		if current.unreachable[h.runner] {
			ticks = modelCutBeliefTicks
		}
		if w.now.After(h.until) && w.hostRng.IntN(ticks) == 0 {
			h.belief = modelBeliefs[w.hostRng.IntN(len(modelBeliefs))]
			h.until = w.now.Add(time.Second + time.Duration(w.hostRng.IntN(4000))*time.Millisecond)
			w.tracef("%s with %s is listed as %+v", h.name, h.runner, h.belief)
		}
	}
	if w.planner == nil || w.now.Sub(w.readAt) >= modelReadPeriod {
		w.readInventory()
	}
}

// readInventory brings the planner of the fleet duty up to date.
func (w *simulation) readInventory() {
	if w.planner == nil || w.hostRng.IntN(modelFleetTerm) == 0 {
		w.planner = moves.New(moves.Config{})
		for _, h := range w.hosts {
			h.seen = nil
		}
		clear(w.replacedAt)
	}
	var hosts []glade.HostInfo
	for _, h := range w.hosts {
		info := glade.HostInfo{Host: h.name, Pool: service, State: glade.HostUp, Runner: h.known}
		if w.now.Before(w.runners[h.runner].downUntil) {
			info.State = glade.HostDown
		}
		if w.now.Before(h.until) {
			info.State = h.belief.state
			if h.belief.noRunner {
				info.Runner = ""
			}
			if h.belief.missing {
				h.forget(w.replacedAt)
				continue
			}
		}
		hosts = append(hosts, info)
		if info.Runner != "" && info.State != glade.HostUnknown {
			h.see(info.Runner, w.now, w.replacedAt)
		}
	}
	w.planner.SetHosts(hosts)
	w.readAt = w.now
}

// see records that a reading lists a runner on the host, which shows that those before have ended.
func (h *modelHost) see(id glade.RunnerID, now time.Time, replacedAt map[glade.RunnerID]time.Time) {
	if !slices.Contains(h.seen, id) {
		for _, before := range h.seen {
			if _, ok := replacedAt[before]; !ok {
				replacedAt[before] = now
			}
		}
		h.seen = append(h.seen, id)
	}
}

// forget records that a reading does not list the host: what was known of its earlier runners is lost.
func (h *modelHost) forget(replacedAt map[glade.RunnerID]time.Time) {
	for _, id := range h.seen {
		delete(replacedAt, id)
	}
	h.seen = nil
}

// never is later than any schedule ends.
var never = time.Unix(1<<40, 0)

// replaceRunner lets a host come back with another runner: the one before stays dead, and its entry leaves the
// platform's list some time after.
func (w *simulation) replaceRunner(h *modelHost, next *modelRunner) {
	dead := w.newRunner(w.runners[h.runner].info)
	dead.downUntil, dead.listedAt = never, never
	dead.unlistedAt = w.now.Add(500*time.Millisecond + time.Duration(w.hostRng.IntN(2000))*time.Millisecond)
	w.runners[h.runner] = dead
	h.runner += "'"
	next.info.ID = h.runner
	w.runners[h.runner] = next
}
