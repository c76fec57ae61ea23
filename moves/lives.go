package moves

import (
	"maps"
	"slices"

	glade "indigoglade"
)

// A runner is one life of a host: the host's next runner shows that the one before has ended, with all that ran there.
// Nothing else in the inventory does. The state of a host is what the platform believes, and an entry may be missing.

// maxEndedLives bounds the ended runners that are remembered for each host.
const maxEndedLives = 4

// hostLives holds the runners that a host has had.
type hostLives struct {
	current glade.RunnerID
	// ended holds those before, the latest last.
	ended []glade.RunnerID
	// isRestored means that the current one was listed to an earlier leader and no reading of this one has been
	// compared with it: the first one may be the older of the two.
	isRestored bool
}

// lives holds the runners of all listed hosts, over the readings of the inventory.
type lives map[glade.Host]*hostLives

// update records a reading of the inventory. Hosts that it does not list are forgotten.
func (l lives) update(hosts map[glade.Host]glade.HostInfo) {
	maps.DeleteFunc(l, func(host glade.Host, _ *hostLives) bool {
		_, listed := hosts[host]
		return !listed
	})
	for host, info := range hosts {
		if info.Runner == "" || info.State == glade.HostUnknown {
			continue
		}
		h, ok := l[host]
		if !ok {
			l[host] = &hostLives{current: info.Runner}
			continue
		}
		isRestored := h.isRestored
		h.isRestored = false
		if h.current == info.Runner || isRestored {
			continue
		}
		if i := slices.Index(h.ended, info.Runner); i >= 0 {
			// An older reading, or a runner that has started again under its id: it doesn't show which of the two came first.
			h.ended, h.current = slices.Delete(h.ended, i, i+1), info.Runner
			continue
		}
		if len(h.ended) == maxEndedLives {
			h.ended = h.ended[1:]
		}
		h.ended, h.current = append(h.ended, h.current), info.Runner
	}
}

// RestoreRunners sets the runners of hosts as they were listed to an earlier leader.
func (p *Planner) RestoreRunners(runners map[glade.Host]glade.RunnerID) {
	for host, id := range runners {
		p.lives[host] = &hostLives{current: id, isRestored: true}
	}
}

// Runners returns the latest runner of each listed host.
func (p *Planner) Runners() map[glade.Host]glade.RunnerID {
	runners := make(map[glade.Host]glade.RunnerID, len(p.lives))
	for host, h := range p.lives {
		runners[host] = h.current
	}
	return runners
}

// ended returns the runners that have ended.
func (l lives) ended() map[glade.RunnerID]bool {
	ended := make(map[glade.RunnerID]bool)
	for _, h := range l {
		for _, id := range h.ended {
			ended[id] = true
		}
	}
	for _, h := range l {
		delete(ended, h.current)
	}
	return ended
}

// hostOf returns the host of a runner and the host's present runner, both empty if the runner is not known.
func (l lives) hostOf(id glade.RunnerID) (glade.Host, glade.RunnerID) {
	for host, h := range l {
		if h.current == id || slices.Contains(h.ended, id) {
			return host, h.current
		}
	}
	return "", ""
}

// RunnersDown returns, for each service, its unresponsive runners whose hosts the inventory does not list as up under them.
// They may work on all the same.
func (p *Planner) RunnersDown() map[glade.Service][]glade.RunnerID {
	if len(p.hosts) == 0 {
		return nil
	}
	up := make(map[glade.RunnerID]bool, len(p.hosts))
	for _, info := range p.hosts {
		if info.State == glade.HostUp || info.State == glade.HostUnknown {
			up[info.Runner] = true
		}
	}
	down := make(map[glade.Service][]glade.RunnerID)
	for service, load := range p.loads {
		for _, id := range load.Unresponsive {
			if !up[id] {
				down[service] = append(down[service], id)
			}
		}
	}
	return down
}

// reportMissing logs how the inventory lists the host of each unresponsive runner that is not up under this runner: once,
// and again when the runner counts as gone.
func (p *Planner) reportMissing(ended map[glade.RunnerID]bool) {
	missing := make(map[glade.RunnerID]bool)
	for service, load := range p.loads {
		for _, id := range load.Unresponsive {
			host, present := p.lives.hostOf(id)
			info := p.hosts[host]
			if info.Runner == id && info.State == glade.HostUp {
				continue
			}
			missing[id] = ended[id]
			if wasGone, known := p.missing[id]; !known || wasGone != ended[id] {
				p.event("missing", "runner", id, "service", service, "host", host, "state", string(info.State), "present", present, "gone", ended[id])
			}
		}
	}
	p.missing = missing
}
