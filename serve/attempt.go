package serve

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	glade "indigoglade"
	"indigoglade/claim"
	"indigoglade/desk"
	"indigoglade/loans"
	"indigoglade/retry"
	"indigoglade/route"
	"indigoglade/send"
)

// maxTries bounds the attempts of one request.
const maxTries = 3

// retryBurst bounds the retries that a service saves up.
const retryBurst = 10

// budgets holds the retry budget of each service of each customer.
type budgets struct {
	mu  sync.Mutex
	all map[budgetKey]*retry.Budget
}

type budgetKey struct {
	customer glade.Customer
	service  glade.Service
}

func (b *budgets) find(w work) *retry.Budget {
	key := budgetKey{w.contract.Customer(), w.pool.Serve}
	if b.all == nil {
		b.all = make(map[budgetKey]*retry.Budget)
	}
	found, ok := b.all[key]
	if !ok {
		found = &retry.Budget{}
		b.all[key] = found
	}
	return found
}

func (b *budgets) fresh(w work) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.find(w).CountRequest(retry.Config{Percent: w.contract.Spec().Answer.Retry, Burst: retryBurst})
}

func (b *budgets) take(w work) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.find(w).Take()
}

// runOnce runs the request. Keyed work that must not run twice is claimed
// first. It goes on when its caller leaves, so that a resend gets its answer.
func (s *Server) runOnce(ctx context.Context, w work) result {
	if w.key == "" || w.pool.Repeatable {
		return s.run(ctx, w)
	}
	answer := w.contract.Spec().Answer
	ticket, known := s.config.Claimer.Claim(ctx, claim.Request{
		Customer: w.contract.Customer(), Service: w.pool.Serve, CallerKey: w.key, Resend: w.resend, Age: w.age,
		Window: answer.Window.Duration(), ContractDeadline: answer.Deadline.Duration(), Deadline: w.deadline,
	})
	if ticket == nil {
		return result{outcome: known.Outcome, reason: known.Reason, body: known.Body}
	}
	r := s.run(context.WithoutCancel(ctx), w)
	s.config.Claimer.Finish(ticket, claim.Answer{Outcome: r.outcome, Reason: r.reason, Body: r.body})
	return r
}

// waiting tells whether a request may wait for a slot.
type waiting bool

const (
	instant waiting = false
	queued  waiting = true
)

// run gets a request answered: by an endpoint with a free slot, by a peer that
// has one, or after waiting.
func (s *Server) run(ctx context.Context, w work) result {
	s.budgets.fresh(w)
	if len(s.config.Peers) == 0 {
		return s.attempt(ctx, w, queued)
	}
	r := s.attempt(ctx, w, instant)
	if !isForRoom(r) {
		return r
	}
	if relayed, ok := s.relay(context.WithoutCancel(ctx), w); ok {
		return relayed
	}
	return s.attempt(ctx, w, queued)
}

// isForRoom tells whether a request was refused because no slot is free here.
func isForRoom(r result) bool {
	return r.outcome == glade.Refused && (r.reason == glade.ReasonQueue || r.reason == glade.ReasonEndpoints)
}

// attempt makes attempts until one ends the request. An attempt that wrote no
// byte is followed by another; one that may have run only where the pool is
// repeatable and the budget allows.
func (s *Server) attempt(ctx context.Context, w work, wait waiting) result {
	last := refused(glade.ReasonConnect)
	var avoid glade.Endpoint
	for range maxTries {
		answer := s.config.Desk.Acquire(ctx, desk.Ask{
			Contract: w.contract, Pool: w.pool, Deadline: w.deadline, Avoid: avoid, Instant: wait == instant,
		})
		grant, ok := answer.Grant()
		if !ok {
			return firstOf(last, result{outcome: glade.Refused, reason: answer.Reason(), retry: answer.Retry()})
		}
		if !s.config.Loans.Acquire(w.contract) {
			s.config.Desk.Release(answer, desk.Attempt{Service: w.pool.Serve, Result: route.NotAttempted})
			return firstOf(last, refused(glade.ReasonLimit))
		}
		s.attempts.Add(1)
		avoid = grant.Endpoint()
		// An attempt goes on when its caller leaves: the endpoint works on it
		// all the same, and its slot stays taken.
		r := s.config.Sender.Do(context.WithoutCancel(ctx), send.Call{
			ID: w.id, Service: w.pool.Serve, Address: grant.Address(), Body: w.body, Deadline: w.deadline,
		})
		if r.IsLeaving() {
			s.config.End(grant.Endpoint())
		}
		s.release(answer, r, w)
		last = firstOf(last, result{outcome: r.Outcome(), reason: r.Reason(), body: r.Body()})
		if !s.mayRetry(ctx, w, r) {
			return last
		}
	}
	return last
}

// restTime bounds how long an endpoint that overruns the deadline keeps its
// slot taken.
const restTime = 10 * time.Second

// release returns a grant, at once or when the endpoint has ended the attempt.
func (s *Server) release(answer desk.Answer, r send.Result, w work) {
	u := usage{
		desk: s.config.Desk, loans: s.config.Loans, attempts: &s.attempts, customer: w.contract.Customer(),
		answer: answer, rest: r.Pending(), until: w.deadline.Add(restTime),
		attempt: desk.Attempt{Service: w.pool.Serve, Result: resultOf(r), Leaving: r.IsLeaving()},
	}
	if u.rest == nil {
		u.end()
		return
	}
	go u.run()
}

// usage is the use of a grant by an attempt.
type usage struct {
	desk     *desk.Desk
	loans    *loans.Exchange
	attempts *atomic.Int64
	customer glade.Customer
	answer   desk.Answer
	attempt  desk.Attempt
	rest     *send.Pending
	until    time.Time
}

func (u usage) run() {
	u.rest.Wait(u.until)
	u.end()
}

func (u usage) end() {
	u.loans.Release(u.customer)
	u.desk.Release(u.answer, u.attempt)
	u.attempts.Add(-1)
}

// firstOf returns what is known after a further attempt: once an attempt may
// have run, a later refusal doesn't undo it.
func firstOf(last, next result) result {
	if next.outcome == glade.Refused && last.outcome != glade.Refused {
		return last
	}
	return next
}

func (s *Server) mayRetry(ctx context.Context, w work, r send.Result) bool {
	if ctx.Err() != nil || !s.config.Clock.Now().Before(w.deadline) {
		return false
	}
	switch r.Outcome() {
	case glade.Refused:
		return true
	case glade.Failed, glade.Unknown:
		return w.pool.Repeatable && s.budgets.take(w)
	}
	return false
}

// resultOf tells what an attempt showed of its endpoint. A caller that left
// shows nothing.
func resultOf(r send.Result) route.Result {
	switch {
	case r.Outcome() == glade.Answered:
		return route.Success
	case r.Reason() == glade.ReasonCallerLeft:
		return route.NotAttempted
	}
	return route.Failure
}
