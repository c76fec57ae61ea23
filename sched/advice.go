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

// Ask is a request to the advice service: on which of Runners the step may run.
type Ask struct {
	step    *step
	Batch   glade.BatchID
	Turn    int
	Step    int
	Runners []glade.RunnerID
}

// Limits of advice requests.
const (
	// maxAskedRunners bounds the runners of one request: each of them takes time,
	// and the advice service answers one call at a time.
	maxAskedRunners   = 12
	adviceRetry       = 1500 * time.Millisecond
	maxAdviceRequests = 2 // in one tick
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
func (s *Sched) adviceRequests(now time.Time) []Ask {
	var asks []Ask
	for _, next := range s.ranked(now) {
		st := next.step
		if len(asks) == maxAdviceRequests {
			break
		}
		if !s.rules[st.occurrence.batch.queue].Advised || (st.adviceInFlight && now.Sub(st.adviceSentAt) < adviceRetry) {
			continue
		}
		var ids []glade.RunnerID
		for _, r := range s.usable(now) {
			if !st.denied[r.info.ID] && !st.hasTicket(r.info.ID, now) && len(ids) < maxAskedRunners && allocation(st.rule).Fits(r.info.Room.Minus(r.used)) {
				ids = append(ids, r.info.ID)
			}
		}
		if len(ids) == 0 {
			continue
		}
		st.adviceSentAt, st.adviceInFlight = now, true
		asks = append(asks, Ask{
			step: st, Batch: st.occurrence.batch.id, Turn: st.occurrence.number, Step: st.index, Runners: ids,
		})
	}
	return asks
}

// Advised records the tickets of a step, valid from now on for the given time.
// Runners that were asked about and got no ticket are denied to the step for good.
func (s *Sched) Advised(ask Ask, tickets map[glade.RunnerID]string, valid time.Duration, now time.Time) {
	if ask.step.tickets == nil {
		ask.step.tickets, ask.step.denied = make(map[glade.RunnerID]ticket), make(map[glade.RunnerID]bool)
	}
	ask.step.adviceInFlight = false
	for _, id := range ask.Runners {
		if _, ok := tickets[id]; !ok {
			ask.step.denied[id] = true
		}
	}
	for id, token := range tickets {
		ask.step.tickets[id] = ticket{token: token, expiry: now.Add(valid)}
	}
	s.needsPlacement = true
	s.addEvent("advice", "batch", ask.Batch, "step", ask.Step, "asked", len(ask.Runners), "allowed", len(tickets))
}
