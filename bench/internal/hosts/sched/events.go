package sched

import (
	"fmt"
	"time"

	glade "indigoglade"
	"indigoglade/memory"
)

// applyEvent applies one event to the simulation.
func (w *simulation) applyEvent(e Event) {
	host := w.listed[e.A%hostCount]
	switch e.Kind {
	case Round:
		w.runRound(w.keepers[e.A%keeperCount])
		w.clock.Advance(roundPeriod)
	case Pause:
		w.pause(e)
	case Wait:
		w.clock.Advance(time.Duration(e.A) * time.Minute)
	case FailHost:
		w.workers.SetFault(host.Host, memory.Dead)
	case FailRack:
		w.failHosts(func(l glade.HostListing) bool { return l.Rack == host.Rack })
	case FailZone:
		w.failHosts(func(l glade.HostListing) bool { return l.Zone == host.Zone })
	case RestoreHosts:
		w.restoreHosts()
	case BreakHost:
		w.workers.SetFault(host.Host, memory.Failing)
	case StartRequests:
		w.workers.SetRunning(host.Host, 1+e.B%3)
	case EndRequests:
		w.endRequests()
	case ChangeTableMode:
		w.table.SetMode(tableModes[e.A%len(tableModes)])
	default:
		w.changeContract(e)
	}
}

// Upper bounds of a pause, in minutes.
const (
	// maxPauseMinutes exceeds the time that any planned step may take.
	maxPauseMinutes = 30
	// maxIdlePauseMinutes applies when no other keeper runs during the pause.
	maxIdlePauseMinutes = 6
)

// pause runs a round of a keeper and suspends it at one of its next table or worker calls.
// Meanwhile the other keepers run rounds, time passes, a host may fail, an operator may change a
// budget, and a request arrives.
func (w *simulation) pause(e Event) {
	k := w.keepers[e.A%keeperCount]
	k.callsLeft = 1 + e.B%12
	k.onPause = func() {
		if e.B%3 == 0 {
			w.workers.SetFault(w.listed[(e.A+e.B)%hostCount].Host, memory.Dead)
		}
		if e.B%4 == 0 {
			w.changeContract(Event{Kind: Budget, A: e.A + e.B/4})
		}
		w.passTime(e)
		w.workers.SetRunning(w.listed[(e.A+2*e.B)%hostCount].Host, 1)
	}
	w.runRound(k)
	k.onPause = nil
}

// passTime advances the clock during a pause. In one of five pauses no other keeper runs, so that
// only time and the operator change anything; such a pause is no longer than a planned step may
// take.
func (w *simulation) passTime(e Event) {
	if e.B%5 == 0 {
		w.clock.Advance(time.Duration(e.B%maxIdlePauseMinutes) * time.Minute)
		return
	}
	for i := range keeperCount - 1 {
		w.runRound(w.keepers[(e.A+1+i)%keeperCount])
		w.clock.Advance(time.Duration(e.B%maxPauseMinutes) * time.Minute / (keeperCount - 1))
	}
}

func (w *simulation) failHosts(matches func(glade.HostListing) bool) {
	for _, l := range w.listed {
		if matches(l) {
			w.workers.SetFault(l.Host, memory.Dead)
		}
	}
}

func (w *simulation) restoreHosts() {
	for _, l := range w.listed {
		w.workers.SetFault(l.Host, memory.Healthy)
	}
}

func (w *simulation) endRequests() {
	for _, l := range w.listed {
		w.workers.SetRunning(l.Host, 0)
	}
}

// changeContract lets an operator change a contract.
func (w *simulation) changeContract(e Event) {
	i := e.A % len(w.specs)
	spec := w.specs[i]
	switch e.Kind {
	case Wave:
		spec.Wave.State = []string{"run", "run", "pause", "cancel"}[e.B%4]
		if e.B%2 == 0 {
			w.waveCount++
			spec.Wave.Name = fmt.Sprintf("wave%d", w.waveCount)
		}
	case Budget:
		spec.Budget.Down = 1 + e.B%3
	case ConcurrentChanges:
		conflicting := spec
		conflicting.Budget.Down = 1 + (e.B+1)%3
		seen := w.auditor.contracts[spec.Customer].Version
		spec.Budget.Down = 1 + e.B%3
		w.applyVersion(conflicting, seen)
		w.applyVersion(spec, seen)
		w.specs[i] = w.auditor.contracts[spec.Customer].Spec
		return
	}
	w.apply(spec)
	w.specs[i] = w.auditor.contracts[spec.Customer].Spec
}
