package serve

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	glade "indigoglade"
	"indigoglade/claim"
	"indigoglade/intake"
	"indigoglade/loans"
	"indigoglade/retry"
	"indigoglade/route"
	"indigoglade/send"
)

// maxAttempts is the maximum number of attempts of one request.
const maxAttempts = 3

// retryBurst is the maximum number of retries that a service can accumulate.
const retryBurst = 10

// retryBudgets holds the retry budget of each service of each customer.
type retryBudgets struct {
	mu  sync.Mutex
	all map[budgetKey]*retry.Budget
}

type budgetKey struct {
	customer glade.Customer
	service  glade.Service
}

func (b *retryBudgets) find(w requestInfo) *retry.Budget {
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

func (b *retryBudgets) countRequest(w requestInfo) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.find(w).CountRequest(retry.Config{Percent: w.contract.Spec().Answer.RetryPercent, Burst: retryBurst})
}

func (b *retryBudgets) takeRetry(w requestInfo) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.find(w).Take()
}

// claimAndRun runs the request. If it has a key and must not run twice, the key
// is claimed first; if that fails, the claimer decides the outcome, such as the
// stored answer. The run continues when the caller disconnects, so that a resend
// finds the answer.
func (s *Server) claimAndRun(ctx context.Context, w requestInfo) result {
	if w.key == "" || w.pool.Repeatable {
		return s.run(ctx, w)
	}
	answer := w.contract.Spec().Answer
	ticket, denied := s.config.Claimer.Claim(ctx, claim.Request{
		Customer: w.contract.Customer(), Service: w.pool.Serve, CallerKey: w.key, Resend: w.resend, Age: w.age,
		Window: answer.Window.Duration(), ContractDeadline: answer.Deadline.Duration(), Deadline: w.deadline,
	})
	if ticket == nil {
		return result{outcome: denied.Outcome, reason: denied.Reason, body: denied.Body}
	}
	r := s.run(context.WithoutCancel(ctx), w)
	s.config.Claimer.Finish(ticket, claim.Answer{Outcome: r.outcome, Reason: r.reason, Body: r.body})
	return r
}

// queueMode decides whether a request may wait for a slot.
type queueMode bool

const (
	noQueue  queueMode = false
	mayQueue queueMode = true
)

// run gets the request answered: by an endpoint with a free slot, by a peer
// that has a free slot, or by an endpoint after waiting in the queue.
func (s *Server) run(ctx context.Context, w requestInfo) result {
	s.retryBudgets.countRequest(w)
	if len(s.config.Peers) == 0 {
		return s.attempt(ctx, w, mayQueue)
	}
	r := s.attempt(ctx, w, noQueue)
	if !isNoCapacity(r) {
		return r
	}
	if relayed, ok := s.relay(context.WithoutCancel(ctx), w); ok {
		return relayed
	}
	return s.attempt(ctx, w, mayQueue)
}

// isNoCapacity reports whether a request was refused because no slot is free on
// this entry host.
func isNoCapacity(r result) bool {
	return r.outcome == glade.Refused && (r.reason == glade.ReasonQueueFull || r.reason == glade.ReasonNoEndpoints)
}

// attempt makes up to maxAttempts attempts until one of them ends the request.
// An attempt that wrote no byte is retried. One that may have run is retried
// only if the pool is repeatable and the retry budget allows it.
func (s *Server) attempt(ctx context.Context, w requestInfo, wait queueMode) result {
	last := refused(glade.ReasonConnect)
	var avoid glade.Endpoint
	for range maxAttempts {
		answer := s.config.Dispatcher.Acquire(ctx, intake.Request{
			Contract: w.contract, Pool: w.pool, Deadline: w.deadline, Avoid: avoid, NoQueue: wait == noQueue,
		})
		grant, ok := answer.Grant()
		if !ok {
			return mergeResult(last, result{outcome: glade.Refused, reason: answer.Reason(), retry: answer.RetryAfter()})
		}
		if !s.config.Loans.Acquire(w.contract) {
			s.config.Dispatcher.Release(answer, intake.Attempt{Service: w.pool.Serve, Result: route.NotAttempted})
			return mergeResult(last, refused(glade.ReasonLimit))
		}
		s.attempts.Add(1)
		avoid = grant.Endpoint()
		// An attempt continues when its caller disconnects: the endpoint works
		// on it anyway, and its slot stays taken.
		r := s.config.Sender.Do(context.WithoutCancel(ctx), send.Call{
			ID: w.id, Service: w.pool.Serve, Address: grant.Address(), Body: w.body, Deadline: w.deadline,
		})
		if r.IsLeaving() {
			s.config.EndpointLeaving(grant.Endpoint())
		}
		s.release(answer, r, w)
		last = mergeResult(last, result{outcome: r.Outcome(), reason: r.Reason(), body: r.Body()})
		if !s.mayRetry(ctx, w, r) {
			return last
		}
	}
	return last
}

// pendingTimeout bounds, after the deadline, how long the slot of an unfinished
// attempt stays taken.
const pendingTimeout = 10 * time.Second

// release returns the grant of an attempt: at once, or, if the attempt timed out
// while the endpoint may still be working on it, once the endpoint has ended it.
func (s *Server) release(answer intake.Answer, r send.Result, w requestInfo) {
	u := slotUse{
		dispatcher: s.config.Dispatcher, loans: s.config.Loans, attempts: &s.attempts, customer: w.contract.Customer(),
		answer: answer, pending: r.Pending(), until: w.deadline.Add(pendingTimeout),
		attempt: intake.Attempt{Service: w.pool.Serve, Result: endpointResult(r), Leaving: r.IsLeaving()},
	}
	if u.pending == nil {
		u.end()
		return
	}
	go u.run()
}

// slotUse is the use of a granted slot by one attempt.
type slotUse struct {
	dispatcher *intake.Dispatcher
	loans      *loans.Exchange
	attempts   *atomic.Int64
	customer   glade.Customer
	answer     intake.Answer
	attempt    intake.Attempt
	pending    *send.Pending
	until      time.Time
}

func (u slotUse) run() {
	u.pending.Wait(u.until)
	u.end()
}

func (u slotUse) end() {
	u.loans.Release(u.customer)
	u.dispatcher.Release(u.answer, u.attempt)
	u.attempts.Add(-1)
}

// mergeResult returns the result after a further attempt. Once an attempt may
// have run, a later refusal does not change that.
func mergeResult(last, next result) result {
	if next.outcome == glade.Refused && last.outcome != glade.Refused {
		return last
	}
	return next
}

func (s *Server) mayRetry(ctx context.Context, w requestInfo, r send.Result) bool {
	if ctx.Err() != nil || !s.config.Clock.Now().Before(w.deadline) {
		return false
	}
	switch r.Outcome() {
	case glade.Refused:
		return true
	case glade.Failed, glade.Unknown:
		return w.pool.Repeatable && s.retryBudgets.takeRetry(w)
	}
	return false
}

// endpointResult is what an attempt tells about its endpoint. It tells nothing
// if the caller disconnected.
func endpointResult(r send.Result) route.Result {
	switch {
	case r.Outcome() == glade.Answered:
		return route.Success
	case r.Reason() == glade.ReasonCallerDisconnected:
		return route.NotAttempted
	}
	return route.Failure
}
