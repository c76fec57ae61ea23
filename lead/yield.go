package lead

import (
	"context"
	"time"

	glade "indigoglade"
	"indigoglade/jrpc"
	"indigoglade/quota"
)

// YieldArgs asks the leader of a service for a part of its share of a tenant's limit.
type YieldArgs struct {
	Service glade.Service `json:"service"`
	Tenant  glade.Tenant  `json:"tenant"`
	quota.Request
}

// YieldReply is the answer.
type YieldReply struct {
	// IsLeader is false if the called host does not lead the service, or has not loaded
	// its state yet.
	IsLeader bool `json:"leads"`
	quota.Answer
}

const methodYield = "yield"

const (
	// yieldTimeout bounds a request, and yieldWait how long the holder waits for its write
	// before it answers: a slow write is not waited for.
	yieldTimeout = 400 * time.Millisecond
	yieldWait    = 200 * time.Millisecond
)

func (m *Manager) handleYield(mux *jrpc.Mux) {
	jrpc.Handle(mux, methodYield, func(ctx context.Context, in YieldArgs) (YieldReply, error) {
		return m.yieldLocal(ctx, in), nil
	})
}

func (m *Manager) yieldLocal(ctx context.Context, in YieldArgs) YieldReply {
	leader, ok := m.LocalLeader(in.Service)
	if !ok {
		return YieldReply{}
	}
	return leader.limits.yield(ctx, in)
}

// askYield sends a request to the leader of a service.
func (m *Manager) askYield(ctx context.Context, service glade.Service, in YieldArgs) (YieldReply, bool) {
	reply, found, err := route(ctx, m.router, service, methodYield, in, func() (YieldReply, error) { return m.yieldLocal(ctx, in), nil })
	if found && err == nil && !reply.IsLeader {
		m.config.Directory.Refresh()
	}
	return reply, found && err == nil && reply.IsLeader
}

// yield decides on the request of another leader. It answers when the lower share is
// written, so that the sender can raise its own at once.
func (l *tenantLimits) yield(ctx context.Context, in YieldArgs) YieldReply {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.config.clock.Now()
	var t *tenantLimit
	var answer quota.Answer
	if !l.config.access(func(scheduler tenantScheduler) {
		l.update(scheduler.TenantDemands(), now)
		t = l.tenant(in.Tenant, now)
		answer = t.holder.Asked(in.Request, now)
		t.isWoken = true
		l.allow(scheduler, in.Tenant, t.allowance(now))
	}) {
		return YieldReply{}
	}
	l.active.Store(true)
	wake(l.wakeUp)
	name := "yield"
	if answer.Given == (glade.Need{}) {
		name = "yield refused"
		t.counts.Refused++
	} else {
		t.counts.Yielded++
		l.awaitSettled(ctx, t, in.From)
	}
	answer.Row, answer.RowVersion = t.holder.Row()
	l.config.log.Info(name, "tenant", in.Tenant, "service", l.config.service, "epoch", l.config.epoch, "to", in.From,
		"missing", in.Missing, "split", in.Split, "least", in.Least, "waited", in.Waited, "given", answer.Given,
		"needed", answer.Need, "rowVersion", answer.RowVersion, "ms", l.config.clock.Now().Sub(now).Milliseconds())
	return YieldReply{IsLeader: true, Answer: answer}
}

// awaitSettled waits until what was given up is off the share in the row, but no longer
// than yieldWait. The caller must hold the lock, which is released meanwhile.
func (l *tenantLimits) awaitSettled(ctx context.Context, t *tenantLimit, from glade.Service) {
	bounded, cancel := context.WithTimeout(ctx, yieldWait)
	defer cancel()
	for t.holder.Owes(from) && bounded.Err() == nil {
		done := t.done
		l.mu.Unlock()
		select {
		case <-done:
		case <-bounded.Done():
		}
		l.mu.Lock()
	}
}

// yieldCall is one request to the leader of another service.
type yieldCall struct {
	limits  *tenantLimits
	tenant  glade.Tenant
	state   *tenantLimit
	service glade.Service
	request quota.Request
}

func (c *yieldCall) run(ctx context.Context) {
	l := c.limits
	select {
	case l.slots <- struct{}{}:
		defer func() { <-l.slots }()
	case <-ctx.Done():
		return
	}
	bounded, cancel := context.WithTimeout(ctx, yieldTimeout)
	defer cancel()
	began := l.config.clock.Now()
	reply, ok := l.config.ask(bounded, c.service, YieldArgs{Service: c.service, Tenant: c.tenant, Request: c.request})
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.config.clock.Now()
	if ok {
		c.state.holder.Answered(c.service, reply.Answer, now)
	} else {
		c.state.holder.Unanswered(c.service, now)
	}
	c.state.isWoken = true
	c.state.unanswered--
	if c.state.unanswered == 0 {
		c.state.holder.AskEnded()
	}
	l.config.log.Info("yield asked", "tenant", c.tenant, "service", l.config.service, "epoch", l.config.epoch, "of", c.service,
		"missing", c.request.Missing, "split", c.request.Split, "least", c.request.Least, "waited", c.request.Waited,
		"answered", ok, "given", reply.Given, "ms", now.Sub(began).Milliseconds())
	wake(l.wakeUp)
}
