package lead

import (
	"context"
	"time"

	glade "indigoglade"
	"indigoglade/sched"
)

type callKind int

const (
	callStart callKind = iota
	callStop
	callThrottle
	callHeartbeat
	callAdvise
)

// call is one call in flight to a runner or to the advice service. Of start, stop,
// throttle, heartbeat and advice only the one of its kind is set; runOrder is the
// message that a start sends.
type call struct {
	leader    *ServiceLeader
	kind      callKind
	runner    glade.RunnerInfo
	start     sched.Start
	runOrder  glade.StartOrder
	stop      sched.Stop
	throttle  sched.Throttle
	heartbeat sched.Heartbeat
	advice    sched.AdviceRequest
}

// Timeouts of calls. A call that takes longer counts as unanswered. Starts, stops and
// heartbeats have the timeout of the leader's answerTimer, heartbeats in addition to
// the time that the runner may wait.
const (
	throttleTimeout = 700 * time.Millisecond
	adviceTimeout   = 3 * time.Second
)

// run waits for a free slot if the call needs one, makes the call and passes the answer
// to the scheduler. The timeout of a call begins when it has its slot.
func (c *call) run(ctx context.Context) {
	s := c.leader
	if slots := c.slots(); slots != nil {
		select {
		case slots <- struct{}{}:
			defer func() { <-slots }()
		case <-ctx.Done():
			return
		}
	}
	ok := true
	switch c.kind {
	case callStart:
		ok = c.sendStart(ctx)
	case callStop:
		ok = c.sendStop(ctx)
	case callThrottle:
		ok = c.sendThrottle(ctx)
	case callHeartbeat:
		ok = c.sendHeartbeat(ctx)
	case callAdvise:
		c.requestAdvice(ctx)
	}
	if !ok && ctx.Err() == nil {
		s.loseLeadership("a runner has seen a newer fencing token")
	}
}

// slots returns the semaphore that bounds calls of this kind, or nil.
func (c *call) slots() chan struct{} {
	switch c.kind {
	case callStart:
		return c.leader.startSlots
	case callThrottle:
		return c.leader.throttleSlots
	case callStop:
		return c.leader.stopSlots
	}
	return nil
}

func (c *call) sendStart(ctx context.Context) (ok bool) {
	send := false
	c.leader.withSched(func(scheduler *sched.Scheduler) { send = scheduler.MaySend(c.start, c.leader.clock.Now()) })
	if !send {
		return true
	}
	bounded, cancel := context.WithTimeout(ctx, c.leader.answers.timeout())
	defer cancel()
	sent := c.leader.clock.Now()
	answer, err := c.leader.manager.config.Runners.Start(bounded, c.runner, c.runOrder)
	c.recordOrder(sent, err)
	c.leader.withSched(func(scheduler *sched.Scheduler) { ok = scheduler.Started(c.start, answer, err, c.leader.clock.Now()) })
	return ok
}

func (c *call) sendStop(ctx context.Context) (ok bool) {
	send := false
	c.leader.withSched(func(scheduler *sched.Scheduler) { send = scheduler.MaySendStop(c.stop, c.leader.clock.Now()) })
	if !send {
		return true
	}
	bounded, cancel := context.WithTimeout(ctx, c.leader.answers.timeout())
	defer cancel()
	task, run := c.stop.Task()
	sent := c.leader.clock.Now()
	answer, err := c.leader.manager.config.Runners.Stop(bounded, c.runner, task, run, c.leader.term.Epoch)
	c.recordOrder(sent, err)
	c.leader.withSched(func(scheduler *sched.Scheduler) { ok = scheduler.Stopped(c.stop, answer, err, c.leader.clock.Now()) })
	return ok
}

// recordOrder records how long the answer to an order took that was sent at the given time.
func (c *call) recordOrder(sent time.Time, err error) {
	now := c.leader.clock.Now()
	took := now.Sub(sent)
	c.leader.answers.observe(took, now)
	c.leader.activity.recordOrder(took, err)
}

func (c *call) sendThrottle(ctx context.Context) (ok bool) {
	send := false
	c.leader.withSched(func(scheduler *sched.Scheduler) { send = scheduler.MaySendThrottle(c.throttle, c.leader.clock.Now()) })
	if !send {
		return true
	}
	bounded, cancel := context.WithTimeout(ctx, throttleTimeout)
	defer cancel()
	task, run, percent := c.throttle.Task()
	answer, err := c.leader.manager.config.Runners.Throttle(bounded, c.runner, task, run, c.leader.term.Epoch, percent)
	c.leader.withSched(func(scheduler *sched.Scheduler) { ok = scheduler.Throttled(c.throttle, answer, err) })
	return ok
}

func (c *call) sendHeartbeat(ctx context.Context) (ok bool) {
	bounded, cancel := context.WithTimeout(ctx, c.heartbeat.Order.Wait+c.leader.answers.timeout())
	defer cancel()
	sent := c.leader.clock.Now()
	answer, err := c.leader.manager.config.Runners.Heartbeat(bounded, c.runner, c.heartbeat.Order)
	c.leader.activity.recordHeartbeat(c.leader.clock.Now().Sub(sent)-c.heartbeat.Order.Wait, err)
	c.leader.withSched(func(scheduler *sched.Scheduler) {
		ok = scheduler.HeartbeatAnswered(c.runner.ID, sent, c.heartbeat.Order, answer, err, c.leader.clock.Now())
	})
	return ok
}

func (c *call) requestAdvice(ctx context.Context) {
	c.leader.adviceMu.Lock()
	defer c.leader.adviceMu.Unlock()
	bounded, cancel := context.WithTimeout(ctx, adviceTimeout)
	defer cancel()
	tickets, valid, err := c.leader.manager.config.Advisor.Advise(bounded, c.advice.Batch, c.advice.Occurrence, c.advice.Step, c.advice.Runners)
	if err != nil {
		c.leader.manager.config.Log.Info("request to the advice service failed", "batch", c.advice.Batch, "step", c.advice.Step, "error", err.Error())
		c.leader.withSched(func(scheduler *sched.Scheduler) { scheduler.AdviceFailed(c.advice, c.leader.clock.Now()) })
		return
	}
	c.leader.withSched(func(scheduler *sched.Scheduler) { scheduler.Advised(c.advice, tickets, valid, c.leader.clock.Now()) })
}
