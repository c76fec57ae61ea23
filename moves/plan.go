// Package moves plans host maintenance and the moves of hosts between pools. It has
// no clock and does no I/O: the caller passes in the hosts, the loads of the
// services and the time, and gets back the runners to evacuate and the actions to
// carry out.
package moves

import (
	"maps"
	"slices"
	"time"

	"github.com/pkg/errors"

	glade "indigoglade"
	"indigoglade/effect"
	"indigoglade/sched"
)

// Config configures a planner.
type Config struct {
	// MoveDowntime and MaintenanceDowntime are how long a host is unavailable for a move and for
	// maintenance.
	MoveDowntime, MaintenanceDowntime time.Duration
}

// Kind is the kind of an action on a host.
type Kind string

// Kinds of actions.
const (
	KindMaintain Kind = "maintain"
	KindMove     Kind = "move"
)

// Action is an action on a host: maintenance for Wave, or a move to Pool.
type Action struct {
	Host glade.Host
	Kind Kind
	Wave int64
	Pool glade.Service
}

// hostAction is an action planned or in flight for a host. The host is drained,
// that is, its runner is evacuated, before the action is sent.
type hostAction struct {
	spec  Action
	since time.Time
	// sentAt is when the action was last sent, zero while the host is drained.
	sentAt time.Time
	// effect tells whether the platform has accepted the action.
	effect effect.Effect
}

// isUnderWay reports whether an attempt without an answer explains the state of the host.
func (a *hostAction) isUnderWay(state glade.HostState) bool {
	underWay := glade.HostMoving
	if a.spec.Kind == KindMaintain {
		underWay = glade.HostMaintenance
	}
	return a.effect.State() == effect.Unknown && state == underWay
}

// acceptedAt returns when the platform accepted the action, and false if it is not known to have.
func (a *hostAction) acceptedAt() (time.Time, bool) { return a.effect.DoneAt() }

// Planner plans the actions on hosts and tracks those that are pending. It is
// not safe for concurrent use.
type Planner struct {
	config Config
	hosts  map[glade.Host]glade.HostInfo
	loads  map[glade.Service]sched.Load
	// runners holds the runner loads of each service's load.
	runners map[glade.Service]map[glade.RunnerID]sched.RunnerLoad
	isSpare map[glade.Service]bool
	waves   map[int64]*wave
	pending map[glade.Host]*hostAction
	demands map[glade.Service]*demandTracker
	// arrivedAt is when each host's last move ends.
	arrivedAt map[glade.Host]time.Time
	// held maps hosts that may not be chosen for an action yet to when that ends.
	held map[glade.Host]time.Time
	// lastPools holds the pools as the last step saw them.
	lastPools map[glade.Service]*poolState
	// reportedAt is when the sizes of the pools were last logged.
	reportedAt time.Time
	events     []sched.Event
	lives      lives
	// missing holds the unresponsive runners whose hosts are not up under them, and whether these were gone, as of
	// the last report.
	missing map[glade.RunnerID]bool
}

// wave is a maintenance wave and the progress of its hosts.
type wave struct {
	spec  glade.WaveOrder
	since time.Time
	// started maps the hosts whose maintenance has started to when this planner learnt
	// of it.
	started map[glade.Host]time.Time
	// absences counts, for each host that the last reading of the inventory lacked, the readings in a row that did.
	absences map[glade.Host]int
	// undrained counts, for each host, the drains that took too long.
	undrained map[glade.Host]int
	done      bool // the end was reported
}

// New returns a planner without hosts, loads and waves.
func New(config Config) *Planner {
	return &Planner{
		config: config, hosts: make(map[glade.Host]glade.HostInfo), loads: make(map[glade.Service]sched.Load), runners: make(map[glade.Service]map[glade.RunnerID]sched.RunnerLoad),
		isSpare: make(map[glade.Service]bool), waves: make(map[int64]*wave), pending: make(map[glade.Host]*hostAction),
		demands: make(map[glade.Service]*demandTracker), arrivedAt: make(map[glade.Host]time.Time),
		held: make(map[glade.Host]time.Time), lives: make(lives),
	}
}

// Events returns the decisions to log since the last call.
func (p *Planner) Events() []sched.Event {
	events := p.events
	p.events = nil
	return events
}

func (p *Planner) event(name string, pairs ...any) {
	p.events = append(p.events, sched.Event{Name: name, Pairs: pairs})
}

// SetHosts replaces the host inventory.
func (p *Planner) SetHosts(hosts []glade.HostInfo) {
	p.hosts = make(map[glade.Host]glade.HostInfo, len(hosts))
	for _, host := range hosts {
		p.hosts[host.Host] = host
	}
	p.lives.update(p.hosts)
	for _, w := range p.waves {
		w.countAbsences(p.hosts)
	}
}

// leftAfter is the number of readings of the inventory in a row, some 6 s from the first to the last, that lack a host which
// has left. One that stays may be missing for as long as it is cut off; that a wave is complete can't be taken back.
const leftAfter = 8

func (w *wave) countAbsences(hosts map[glade.Host]glade.HostInfo) {
	for _, host := range w.spec.Hosts {
		if _, listed := hosts[host]; listed {
			delete(w.absences, host)
		} else {
			w.absences[host]++
		}
	}
}

// SetSparePools sets which pools are spare pools, whose hosts are off.
func (p *Planner) SetSparePools(rules glade.Rules) {
	p.isSpare = make(map[glade.Service]bool)
	for _, s := range rules.Services {
		if s.Spare {
			p.isSpare[s.Service] = true
		}
	}
}

// AddWave adds a wave with the hosts whose maintenance an earlier leader has
// started or requested; these count as down from now on. since is when the wave
// was first seen. A wave that is already known is left as it is.
func (p *Planner) AddWave(spec glade.WaveOrder, started, requested []glade.Host, since, now time.Time) {
	if _, ok := p.waves[spec.Wave]; ok {
		return
	}
	w := &wave{spec: spec, since: since, started: make(map[glade.Host]time.Time), absences: make(map[glade.Host]int), undrained: make(map[glade.Host]int)}
	for _, host := range started {
		w.started[host] = now
	}
	for _, host := range requested {
		a := &hostAction{spec: Action{Host: host, Kind: KindMaintain, Wave: spec.Wave}, since: now, sentAt: now}
		a.effect.Record(effect.Lost, now) // the answer went to the earlier leader
		p.pending[host] = a
	}
	p.waves[spec.Wave] = w
}

// Hold keeps a host from being chosen for an action until a time.
func (p *Planner) Hold(host glade.Host, until time.Time) { p.held[host] = until }

// isHeld reports whether a host may not be chosen for an action.
func (p *Planner) isHeld(host glade.Host) bool {
	_, held := p.held[host]
	return held
}

// downMargin is how long a host still counts as down after MoveDowntime or
// MaintenanceDowntime, because the inventory and its answers lag.
const downMargin = 500 * time.Millisecond

// downCount returns the number of hosts that are, or may be, down for a wave.
func (p *Planner) downCount(w *wave, now time.Time) int {
	n := 0
	for _, host := range w.spec.Hosts {
		if p.isDown(w, host, now) {
			n++
		}
	}
	return n
}

func (p *Planner) isDown(w *wave, host glade.Host, now time.Time) bool {
	if a, ok := p.pending[host]; ok && a.spec.Wave == w.spec.Wave && a.spec.Kind == KindMaintain && !a.sentAt.IsZero() {
		return true
	}
	at, ok := w.started[host]
	return ok && (now.Sub(at) < p.config.MaintenanceDowntime+downMargin || p.hosts[host].State == glade.HostMaintenance)
}

// Evacuating returns, for each service, the runners to evacuate.
func (p *Planner) Evacuating() map[glade.Service][]glade.RunnerID {
	evacuating := make(map[glade.Service][]glade.RunnerID)
	for host, a := range p.pending {
		info, ok := p.hosts[host]
		runner := p.runnerOn(host)
		if _, accepted := a.acceptedAt(); ok && runner != "" && !accepted {
			evacuating[info.Pool] = append(evacuating[info.Pool], runner)
		}
	}
	return evacuating
}

// runnerOn returns the runner of a host: the last known one if the inventory names none, as that may be at work.
func (p *Planner) runnerOn(host glade.Host) glade.RunnerID {
	id := p.hosts[host].Runner
	if h, ok := p.lives[host]; ok && id == "" {
		id = h.current
	}
	return id
}

// RunnersGone returns, for each service, its unresponsive runners whose hosts
// have another runner by now.
func (p *Planner) RunnersGone() map[glade.Service][]glade.RunnerID {
	ended := p.lives.ended()
	gone := make(map[glade.Service][]glade.RunnerID)
	for service, load := range p.loads {
		for _, id := range load.Unresponsive {
			if ended[id] {
				gone[service] = append(gone[service], id)
			}
		}
	}
	p.reportMissing(ended)
	return gone
}

// SetLoad updates the load of a service.
func (p *Planner) SetLoad(service glade.Service, load sched.Load, now time.Time) {
	p.loads[service] = load
	runners := make(map[glade.RunnerID]sched.RunnerLoad, len(load.Runners))
	for _, runner := range load.Runners {
		runners[runner.ID] = runner
	}
	p.runners[service] = runners
	t, ok := p.demands[service]
	if !ok {
		t = &demandTracker{}
		p.demands[service] = t
	}
	t.observe(load, now)
}

// Step plans new actions and returns those to send now: their hosts are drained, and
// their waves allow one more host to be down.
func (p *Planner) Step(now time.Time) []Action {
	maps.DeleteFunc(p.held, func(_ glade.Host, until time.Time) bool { return !now.Before(until) })
	p.dropFinished(now)
	p.planWaves(now)
	p.planMoves(now)
	var actions []Action
	for host, a := range p.pending {
		if !a.sentAt.IsZero() || !p.isDrained(host, now) {
			continue
		}
		if a.spec.Kind == KindMaintain {
			w := p.waves[a.spec.Wave]
			if p.downCount(w, now) >= w.spec.MaxDown {
				continue
			}
		}
		a.sentAt = now
		actions = append(actions, a.spec)
	}
	return actions
}

// drainTimeout is how long the drain of a host may take before its action is
// dropped: after that time, its long-running tasks are taken to fit nowhere else.
const drainTimeout = 6 * time.Second

// dropFinished drops actions whose host should be back by now, and actions not sent
// yet whose host has left the inventory or could not be drained in time.
func (p *Planner) dropFinished(now time.Time) {
	for host, a := range p.pending {
		downtime := p.config.MoveDowntime
		if a.spec.Kind == KindMaintain {
			downtime = p.config.MaintenanceDowntime
		}
		_, listed := p.hosts[host]
		acceptedAt, accepted := a.acceptedAt()
		switch {
		case accepted && now.Sub(acceptedAt) > downtime+downMargin,
			a.sentAt.IsZero() && !listed:
			delete(p.pending, host)
		case a.sentAt.IsZero() && now.Sub(a.since) > drainTimeout:
			p.event("unemptied", "host", host, "kind", string(a.spec.Kind))
			if w := p.waves[a.spec.Wave]; w != nil && a.spec.Kind == KindMaintain {
				w.undrained[host]++
			}
			delete(p.pending, host)
		}
	}
}

// maxDrainedAge is how old the load of a service may be when a host is ordered. Its leader ends an evacuation
// 1.5 s after it was last asked for.
const maxDrainedAge = time.Second

// isDrained reports whether nothing runs on a host, as the leader of its service
// has learnt from the runner itself.
func (p *Planner) isDrained(host glade.Host, now time.Time) bool {
	info := p.hosts[host]
	if info.State != glade.HostUp {
		return false
	}
	if p.isSpare[info.Pool] {
		return true
	}
	// A runner that the service's leader does not list may still run what an earlier
	// leader started: the list may be old, or the runner cut off from the store.
	runner, listed := p.runners[info.Pool][p.runnerOn(host)]
	return listed && runner.Responsive && runner.Evacuating && runner.Runs == 0 && now.Sub(p.demands[info.Pool].updatedAt) <= maxDrainedAge
}

// HandleAnswer applies the answer to an action.
func (p *Planner) HandleAnswer(action Action, refusal glade.HostRefusal, err error, now time.Time) {
	a, ok := p.pending[action.Host]
	if !ok || a.spec != action {
		return
	}
	if err != nil {
		// The action may have been carried out: it is repeated, and the host counts as
		// down meanwhile.
		result := effect.Lost
		if errors.Is(err, glade.ErrNotExecuted) {
			result = effect.Rejected
		}
		a.effect.Record(result, now)
		p.event("unordered", "host", action.Host, "kind", string(action.Kind), "error", err.Error())
		return
	}
	p.event("ordered", "host", action.Host, "kind", string(action.Kind), "wave", action.Wave, "pool", action.Pool, "answer", string(refusal))
	if refusal == glade.HostAccepted || refusal == glade.HostBusy && a.isUnderWay(p.hosts[action.Host].State) {
		a.effect.Record(effect.Applied, now)
		if action.Kind == KindMove {
			p.arrivedAt[action.Host] = now.Add(p.config.MoveDowntime)
		}
		if w := p.waves[action.Wave]; w != nil && action.Kind == KindMaintain {
			w.started[action.Host] = now
		}
		return
	}
	if a.effect.State() == effect.Unknown && (refusal == glade.HostLimited || refusal == glade.HostBusy) {
		return // the refusal says nothing about an earlier attempt, which may take effect late
	}
	delete(p.pending, action.Host)
	if w := p.waves[action.Wave]; w != nil && action.Kind == KindMaintain && refusal == glade.HostNoWave {
		w.started[action.Host] = now // the platform says that the host is not part of this wave
	}
}

// UnansweredActions returns the actions to send again because their answers were lost.
func (p *Planner) UnansweredActions(now time.Time) []Action {
	var actions []Action
	for host, a := range p.pending {
		if a.effect.State() != effect.Done && !a.sentAt.IsZero() && now.Sub(a.sentAt) > repeatDelay && p.mayRepeat(host, a, now) {
			a.sentAt = now
			actions = append(actions, a.spec)
		}
	}
	return actions
}

// MaySend reports whether an action that has waited to be sent is still wanted. One that is not is
// planned again, or sent again by UnansweredActions.
func (p *Planner) MaySend(action Action, now time.Time) bool {
	a, ok := p.pending[action.Host]
	return ok && a.spec == action && p.mayRepeat(action.Host, a, now)
}

// mayRepeat reports whether an action without an answer has begun, or its host is still drained.
func (p *Planner) mayRepeat(host glade.Host, a *hostAction, now time.Time) bool {
	info := p.hosts[host]
	hasMoved := a.spec.Kind == KindMove && info.Pool == a.spec.Pool
	return info.State != glade.HostUp || hasMoved || p.isDrained(host, now)
}

// repeatDelay is the time after which an action without an answer is sent again.
const repeatDelay = 1500 * time.Millisecond

// FinishedWaves returns the waves in which the maintenance of every host that is
// still in the inventory has started. Waves whose end was reported are left out.
func (p *Planner) FinishedWaves() []int64 {
	var finished []int64
	for number, w := range p.waves {
		if w.done || len(p.hosts) == 0 {
			continue
		}
		remaining := 0
		for _, host := range w.spec.Hosts {
			if _, started := w.started[host]; !started && w.absences[host] < leftAfter {
				remaining++
			}
		}
		if remaining == 0 {
			finished = append(finished, number)
		}
	}
	return finished
}

// MarkWaveReported records that the end of a wave was reported.
func (p *Planner) MarkWaveReported(number int64) {
	if w, ok := p.waves[number]; ok {
		w.done = true
	}
}

// WaveProgress returns the hosts of a wave whose maintenance has started, and
// those for which the action was sent and not yet accepted.
func (p *Planner) WaveProgress(number int64) (started, requested []glade.Host) {
	w, ok := p.waves[number]
	if !ok {
		return nil, nil
	}
	for host := range w.started {
		started = append(started, host)
	}
	for host, a := range p.pending {
		if a.spec.Kind == KindMaintain && a.spec.Wave == number && !a.sentAt.IsZero() && a.effect.State() != effect.Done {
			requested = append(requested, host)
		}
	}
	slices.Sort(started)
	slices.Sort(requested)
	return started, requested
}
