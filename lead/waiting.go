package lead

import (
	"context"
	"sync"
	"time"

	glade "indigoglade"
)

// The callers' interface lets the number of waiting batches be maxWaitingAge old. The last whole
// number is given waitingMargin before that at the latest, for the way to the caller.
const (
	maxWaitingAge = 2 * time.Second
	waitingMargin = 200 * time.Millisecond
)

// waitingLogPeriod is the least time between two log lines about numbers without a part.
const waitingLogPeriod = time.Second

// waitingKey names the number of a path, whichever service has it, or of a queue without a path.
type waitingKey struct {
	path    string
	service glade.Service
	queue   glade.Queue
}

func waitingKeyOf(in BatchArgs) waitingKey {
	if in.Path != "" {
		return waitingKey{path: in.Path}
	}
	return waitingKey{service: in.Service, queue: in.Queue}
}

// waitingNumber is a whole number: all services that may have batches of the queue have given
// their part of it.
type waitingNumber struct {
	count int
	// askedAt is when the parts were asked for.
	askedAt time.Time
}

// waitingNumbers holds the last whole numbers while they may be given.
type waitingNumbers struct {
	mu       sync.Mutex
	byQueue  map[waitingKey]waitingNumber
	loggedAt time.Time
}

// record keeps a number, and forgets those that are too old.
func (w *waitingNumbers) record(key waitingKey, number waitingNumber, now time.Time) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.byQueue == nil {
		w.byQueue = make(map[waitingKey]waitingNumber)
	}
	for other, n := range w.byQueue {
		if now.Sub(n.askedAt) >= maxWaitingAge {
			delete(w.byQueue, other)
		}
	}
	if number.askedAt.After(w.byQueue[key].askedAt) {
		w.byQueue[key] = number
	}
}

// recent returns the last whole number of a path or queue, and for how long it may still be given. It
// returns false if there is none.
func (w *waitingNumbers) recent(key waitingKey, now time.Time) (number waitingNumber, left time.Duration, ok bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	number, ok = w.byQueue[key]
	left = maxWaitingAge - now.Sub(number.askedAt)
	return number, left, ok && left > 0
}

// isLogged reports whether a number without a part is logged now.
func (w *waitingNumbers) isLogged(now time.Time) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	if now.Sub(w.loggedAt) < waitingLogPeriod {
		return false
	}
	w.loggedAt = now
	return true
}

// waiting returns the number of accepted batches of a queue that have not started, over all
// services that may have some. A number without the part of one of them is never given: in its
// place the last whole number is, while it is recent enough, and ErrNoLeader after that.
func (r *Router) waiting(ctx context.Context, in BatchArgs, timeout time.Duration) (BatchReply, error) {
	key := waitingKeyOf(in)
	deadline := r.clock.Now().Add(timeout)
	for {
		asked := r.clock.Now()
		wait := deadline.Sub(asked)
		if _, left, ok := r.numbers.recent(key, asked); ok && left > waitingMargin {
			wait = min(wait, left-waitingMargin) // a leader that is paused doesn't answer
		}
		bounded, cancel := context.WithTimeout(ctx, max(wait, 0))
		count, missing := r.countWaiting(bounded, in)
		cancel()
		now := r.clock.Now()
		if missing == "" {
			r.numbers.record(key, waitingNumber{count: count, askedAt: asked}, now)
			return BatchReply{IsLeader: true, Known: true, Waiting: count}, nil
		}
		last, _, ok := r.numbers.recent(key, now)
		if r.numbers.isLogged(now) {
			r.logMissing(in, missing, last, ok, now)
		}
		if ok {
			return BatchReply{IsLeader: true, Known: true, Waiting: last.count}, nil
		}
		if r.isUnreachable(in.Service) || now.After(deadline) || r.clock.Sleep(ctx, searchInterval) != nil {
			return BatchReply{}, ErrNoLeader
		}
	}
}

// logMissing reports a number without the part of a service, and what is given in its place.
func (r *Router) logMissing(in BatchArgs, missing glade.Service, last waitingNumber, given bool, now time.Time) {
	count, age := -1, int64(-1)
	if given {
		count, age = last.count, now.Sub(last.askedAt).Milliseconds()
	}
	r.manager.config.Log.Info("number", "queue", in.Queue, "service", in.Service, "missing", missing, "given", given, "waiting", count, "ms", age)
}

// countWaiting asks the leaders of a queue's service and of the former services of its path once. It
// returns the service whose part is missing, if there is one.
func (r *Router) countWaiting(ctx context.Context, in BatchArgs) (count int, missing glade.Service) {
	own := &waitingCall{router: r, args: in}
	own.call(ctx)
	if !own.ok {
		return 0, in.Service
	}
	count = own.reply.Waiting
	calls := make([]*waitingCall, 0, len(own.reply.Former))
	var group sync.WaitGroup
	in.FormerOnly = true
	for _, service := range own.reply.Former {
		in.Service = service
		c := &waitingCall{router: r, group: &group, args: in}
		calls = append(calls, c)
		group.Add(1)
		go c.run(ctx)
	}
	group.Wait()
	for _, c := range calls {
		switch {
		case c.ok:
			count += c.reply.Waiting
		case r.manager.config.Directory.NeedsLeader(c.args.Service):
			return 0, c.args.Service
		}
		// No host claims a service that has left the contract without batches.
	}
	return count, ""
}

// waitingCall asks the leader of one service for its part of a number.
type waitingCall struct {
	router *Router
	group  *sync.WaitGroup
	args   BatchArgs
	reply  BatchReply
	ok     bool
}

func (c *waitingCall) run(ctx context.Context) {
	defer c.group.Done()
	c.call(ctx)
}

func (c *waitingCall) call(ctx context.Context) {
	r := c.router
	reply, found, err := route(ctx, r, c.args.Service, methodState, c.args, func() (BatchReply, error) { return r.manager.stateLocal(c.args), nil })
	r.learn(c.args.Service, reply.KnownTerm)
	c.reply, c.ok = reply, found && err == nil && reply.IsLeader
}
