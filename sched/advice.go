package sched

import (
	"time"

	glade "indigoglade"
)

// ticket is the advice service's permission to run a step on a runner.
type ticket struct {
	token  string
	expiry time.Time
}

// AdviceRequest is a request to the advice service: on which of Runners the step may run.
type AdviceRequest struct {
	step       *step
	Batch      glade.BatchID
	Occurrence int
	Step       int
	Runners    []glade.RunnerID
}

// Limits of advice requests.
const (
	// maxAskedRunners bounds the runners of one request: each of them takes time,
	// and the advice service answers one call at a time.
	maxAskedRunners   = 12
	adviceRetry       = 300 * time.Millisecond // after a request that failed
	maxAdviceRequests = 2                      // in flight: more would wait in the order in which they came
	// ticketMargin is how long before its expiry a ticket is no longer used.
	ticketMargin = 100 * time.Millisecond
)

func (st *step) hasTicket(id glade.RunnerID, now time.Time) bool {
	t, ok := st.tickets[id]
	return ok && now.Before(t.expiry.Add(-ticketMargin))
}

func (st *step) ticketToken(id glade.RunnerID) string { return st.tickets[id].token }

// adviceRequests returns the requests that ready steps with pending tasks need,
// the most urgent first.
func (s *Scheduler) adviceRequests(now time.Time) []AdviceRequest {
	if !s.needsAdvice {
		return nil
	}
	if s.adviceInFlight >= maxAdviceRequests {
		return nil
	}
	var requests []AdviceRequest
	ranking := s.ranked(now)
	lasting := s.lastingToAsk(ranking, now)
	for _, next := range ranking {
		st := next.step
		if s.adviceInFlight == maxAdviceRequests {
			break
		}
		if !st.mayAsk(now) || st.rule.LongRunning && st != lasting {
			continue
		}
		ids := s.runnersToAsk(st, now)
		if len(ids) == 0 {
			continue
		}
		if st.rule.LongRunning {
			s.lastingAsked, st.advisedAt = st, now
		}
		st.adviceInFlight = true
		s.adviceInFlight++
		requests = append(requests, AdviceRequest{
			step: st, Batch: st.occurrence.batch.id, Occurrence: st.occurrence.number, Step: st.index, Runners: ids,
		})
	}
	return requests
}

// mayAsk reports whether a step needs tickets and has no request in flight.
func (st *step) mayAsk(now time.Time) bool {
	return st.occurrence.batch.rule.NeedsAdvice && !st.adviceInFlight && !now.Before(st.adviceRetryAt)
}

// lastingToAsk returns the long-running step that may ask next: one at a time, in turn. Those that wait
// for room ask again whenever tickets expire, and would leave no request to others.
func (s *Scheduler) lastingToAsk(ranking []rank, now time.Time) *step {
	if s.lastingAsked != nil && s.lastingAsked.adviceInFlight {
		return nil
	}
	var longest *step
	for _, next := range ranking {
		st := next.step
		if st.rule.LongRunning && st.mayAsk(now) && (longest == nil || st.advisedAt.Before(longest.advisedAt)) && len(s.runnersToAsk(st, now)) > 0 {
			longest = st
		}
	}
	return longest
}

// runnersToAsk returns the runners without an answer of the advice service on which tasks of a step
// have room. For long-running tasks, these are followed by runners that will have room once short tasks
// have ended: only those with a ticket are reserved.
func (s *Scheduler) runnersToAsk(st *step, now time.Time) []glade.RunnerID {
	var ids, later []glade.RunnerID
	for _, r := range s.usable(now) {
		if st.denied[r.info.ID] || st.hasTicket(r.info.ID, now) {
			continue
		}
		switch {
		case hasRoom(r, st):
			ids = append(ids, r.info.ID)
		case st.rule.LongRunning && allocation(st.rule).Fits(r.info.Capacity.Minus(r.lasting())):
			later = append(later, r.info.ID)
		}
		if len(ids) == maxAskedRunners {
			return ids
		}
	}
	return append(ids, later[:min(len(later), maxAskedRunners-len(ids))]...)
}

// AdviceFailed records that a request got no answer. It is repeated after adviceRetry.
func (s *Scheduler) AdviceFailed(request AdviceRequest, now time.Time) {
	s.adviceInFlight--
	request.step.adviceInFlight, request.step.adviceRetryAt = false, now.Add(adviceRetry)
}

// Advised records the tickets of a step, valid from now on for the given time.
// Runners that were asked about and got no ticket are denied to the step for good.
func (s *Scheduler) Advised(request AdviceRequest, tickets map[glade.RunnerID]string, valid time.Duration, now time.Time) {
	if request.step.tickets == nil {
		request.step.tickets, request.step.denied = make(map[glade.RunnerID]ticket), make(map[glade.RunnerID]bool)
	}
	s.adviceInFlight--
	request.step.adviceInFlight = false
	for _, id := range request.Runners {
		if _, ok := tickets[id]; !ok {
			request.step.denied[id] = true
		}
	}
	for id, token := range tickets {
		request.step.tickets[id] = ticket{token: token, expiry: now.Add(valid)}
	}
	s.needsPlacement = true
	s.addEvent("advice", "batch", request.Batch, "step", request.Step, "asked", len(request.Runners), "allowed", len(tickets))
}
