package sched

import (
	"time"

	glade "indigoglade"
)

// Probes are heartbeats beside one whose answer is overdue. A lost answer costs its whole timeout, so
// that a runner that is alive would be asked a few times only before its leases end; work that it has
// done would then be given up and done again, beside an answer that comes too late.
const (
	// probeDelay is how long an answer may be overdue before the first probe.
	probeDelay = 150 * time.Millisecond
	// probeSpacing is the least time between two probes of a runner, urgentSpacing that while its leases
	// end within urgentTime.
	probeSpacing  = 300 * time.Millisecond
	urgentSpacing = 100 * time.Millisecond
	urgentTime    = 2500 * time.Millisecond
	// maxProbes bounds the probes of a runner in flight, maxAllProbes those of all runners.
	maxProbes    = 6
	maxAllProbes = 128
)

// Conditions under which a runner counts as silent after its leases: it was asked asksAfterLease times, or
// once and maxAskTime has passed, as an overloaded leader sends no probes.
const (
	asksAfterLease = 4
	maxAskTime     = 700 * time.Millisecond
	// maxDelayedTime is how long after the leases a leader without processor time blames itself for the silence
	// of a runner: three of the longest timeouts of an order. Without a bound, work on a dead runner is lost.
	maxDelayedTime = 6 * time.Second
)

// isOverdue reports whether a runner with runs has not answered in time.
func (r *runner) isOverdue(now time.Time) bool {
	if !r.contacted || len(r.runs) == 0 || r.info.Address == "" {
		return false
	}
	return r.missed > 0 || r.heartbeatInFlight && now.Sub(r.heartbeatSentAt) > r.heartbeatWait+probeDelay
}

// isSilentAfterLease reports whether a runner was asked after the end of every lease and can't be reached.
func (r *runner) isSilentAfterLease(now time.Time) bool {
	return r.unheardAfterLease >= asksAfterLease || r.unheardAfterLease > 0 && now.Sub(r.lapse()) > maxAskTime
}

// probes returns the probes that are due.
func (s *Scheduler) probes(now time.Time) []Heartbeat {
	var probes []Heartbeat
	for r := range s.overdue {
		if !r.isOverdue(now) {
			delete(s.overdue, r)
			continue
		}
		spacing := probeSpacing
		if r.lapse().Sub(now) < urgentTime {
			spacing = urgentSpacing
		}
		if r.probes >= maxProbes || now.Sub(r.probedAt) < spacing || s.probesInFlight == maxAllProbes || s.pace.isCongested(now) {
			continue
		}
		r.probes++
		s.probesInFlight++
		r.probedAt = now
		probes = append(probes, Heartbeat{To: r.info, Order: glade.HeartbeatOrder{Fence: s.config.Epoch, Probe: true}})
	}
	return probes
}
