package lead

import (
	"context"
	"time"

	glade "indigoglade"
	"indigoglade/sched"
)

type orderKind int

const (
	orderStart orderKind = iota
	orderStop
	orderPace
	orderHold
	orderAsk
)

// call is one call in flight to a runner or to the advice service. Only the field
// of its kind is set; runOrder is the message that a start sends.
type order struct {
	seat  *Seat
	kind  orderKind
	to    glade.RunnerInfo
	start sched.Start
	runAt glade.RunOrder
	stop  sched.Stop
	pace  sched.Pace
	hold  sched.Hold
	ask   sched.Ask
}

// Timeouts of calls. A runner answers within a few milliseconds; a call that takes
// longer than its timeout counts as unanswered.
const (
	orderTimeout = 700 * time.Millisecond
	holdSlack    = 700 * time.Millisecond
	askTimeout   = 3 * time.Second
)

// run waits for a free slot, makes the call and passes the answer to the scheduler.
func (o *order) run(ctx context.Context) {
	s := o.seat
	select {
	case s.orders <- struct{}{}:
		defer func() { <-s.orders }()
	case <-ctx.Done():
		return
	}
	ok := true
	switch o.kind {
	case orderStart:
		ok = o.giveStart(ctx)
	case orderStop:
		ok = o.giveStop(ctx)
	case orderPace:
		ok = o.givePace(ctx)
	case orderHold:
		ok = o.giveHold(ctx)
	case orderAsk:
		o.giveAsk(ctx)
	}
	if !ok && ctx.Err() == nil {
		s.lose("a runner has seen a newer fencing token")
	}
}

func (o *order) giveStart(ctx context.Context) (ok bool) {
	bounded, cancel := context.WithTimeout(ctx, orderTimeout)
	defer cancel()
	answer, err := o.seat.keep.config.Runners.Start(bounded, o.to, o.runAt)
	o.seat.with(func(built *sched.Sched) { ok = built.Started(o.start, answer, err, o.seat.clock.Now()) })
	return ok
}

func (o *order) giveStop(ctx context.Context) (ok bool) {
	bounded, cancel := context.WithTimeout(ctx, orderTimeout)
	defer cancel()
	task, run := o.stop.Task()
	answer, err := o.seat.keep.config.Runners.Stop(bounded, o.to, task, run, o.seat.term.Epoch)
	o.seat.with(func(built *sched.Sched) { ok = built.Stopped(o.stop, answer, err, o.seat.clock.Now()) })
	return ok
}

func (o *order) givePace(ctx context.Context) (ok bool) {
	bounded, cancel := context.WithTimeout(ctx, orderTimeout)
	defer cancel()
	task, run, percent := o.pace.Task()
	answer, err := o.seat.keep.config.Runners.Pace(bounded, o.to, task, run, o.seat.term.Epoch, percent)
	o.seat.with(func(built *sched.Sched) { ok = built.Paced(o.pace, answer, err) })
	return ok
}

func (o *order) giveHold(ctx context.Context) (ok bool) {
	bounded, cancel := context.WithTimeout(ctx, o.hold.Order.Wait+holdSlack)
	defer cancel()
	sent := o.seat.clock.Now()
	answer, err := o.seat.keep.config.Runners.Hold(bounded, o.to, o.hold.Order)
	o.seat.with(func(built *sched.Sched) {
		ok = built.Held(o.to.ID, sent, o.hold.Order, answer, err, o.seat.clock.Now())
	})
	return ok
}

func (o *order) giveAsk(ctx context.Context) {
	o.seat.asking.Lock()
	defer o.seat.asking.Unlock()
	bounded, cancel := context.WithTimeout(ctx, askTimeout)
	defer cancel()
	tickets, valid, err := o.seat.keep.config.Advisor.Advise(bounded, o.ask.Batch, o.ask.Turn, o.ask.Step, o.ask.Runners)
	if err != nil {
		o.seat.keep.config.Log.Info("advice service did not answer", "batch", o.ask.Batch, "step", o.ask.Step, "error", err.Error())
		return
	}
	o.seat.with(func(built *sched.Sched) { built.Advised(o.ask, tickets, valid, o.seat.clock.Now()) })
}
