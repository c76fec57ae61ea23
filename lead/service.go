package lead

import (
	"context"
	"encoding/json"
	"runtime/debug"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	glade "indigoglade"
	"indigoglade/sched"
)

// ServiceLeader is the leader of one service: it runs the service's scheduler,
// stores its state and carries out its decisions.
type ServiceLeader struct {
	*leadership
	mu             sync.Mutex
	sched          *sched.Scheduler // nil until the rows are read
	runners        []glade.RunnerInfo
	writeAttempted chan struct{} // closed and replaced after each attempt to write
	writeWake      chan struct{} // wakes the writer
	startRate      atomic.Int64  // bytes of starts per second; 0 means no limit
	startSlots     chan struct{} // semaphore that bounds the starts in flight
	throttleSlots  chan struct{} // semaphore that bounds the throttles in flight
	stopSlots      chan struct{} // semaphore that bounds the stops in flight
	answers        answerTimer   // of starts and stops
	activity       activity
	limits         *tenantLimits
	paths          *servicePaths
	adviceMu       sync.Mutex // the advice service takes one call at a time
	cancel         context.CancelFunc
	// quit ends when this host steps down on its own, which stopLeading brings about.
	// done is closed when run has ended.
	quit        context.Context
	stopLeading context.CancelFunc
	done        chan struct{}
	// demandGen is the state of the tenants' demands that limits was last notified of.
	demandGen int64
	// ended is closed when this leader has lost the service or has ended.
	ended <-chan struct{}
	// failingSince is when the store stopped taking writes, zero while it takes them.
	failingSince time.Time
}

// Limits of the orders in flight. Heartbeats need none: each runner has one in flight
// that renews its leases, so that it must not wait for orders, and at most one check beside it.
const (
	maxStarts = 192
	maxStops  = 64
	// maxThrottles are apart from starts, which would else wait behind throttles that get no answer.
	maxThrottles = 32
)

func newServiceLeader(m *Manager, l *leadership) *ServiceLeader {
	quit, stopLeading := context.WithCancel(context.Background())
	s := &ServiceLeader{
		leadership: l, writeAttempted: make(chan struct{}), writeWake: make(chan struct{}, 1), runners: m.runners[l.service],
		startSlots: make(chan struct{}, maxStarts), throttleSlots: make(chan struct{}, maxThrottles), stopSlots: make(chan struct{}, maxStops),
		quit: quit, stopLeading: stopLeading, done: make(chan struct{}),
	}
	s.paths = newServicePaths(s)
	s.limits = newTenantLimits(limitsConfig{
		service: l.service, epoch: l.term.Epoch, table: m.config.PartitionedTable, clock: l.clock, log: m.config.Log,
		access: s.withTenants, ask: m.askYield, changed: s.wakeStep,
	})
	return s
}

// run leads until the term is lost or released, or ctx ends.
func (s *ServiceLeader) run(ctx context.Context) {
	defer s.manager.remove(s.service)
	defer close(s.done)
	defer s.cancel()
	monitor := &handoverMonitor{leadership: s.leadership, giveUp: s.loseLeadership, asked: s.wakeWaiting}
	go monitor.run(ctx)
	began := s.clock.Now()
	err := s.loadState(ctx)
	switch {
	case s.quit.Err() != nil:
		s.release(ctx)
		return
	case errors.Is(err, errLoadStalled):
		s.giveUpLoading(ctx)
		return
	case err != nil:
		s.manager.config.Log.Error(err, "leadership not taken: the rows could not be read", "service", s.service)
		return
	}
	s.manager.config.Log.Info("leadership taken", "service", s.service, "epoch", s.term.Epoch,
		"took", s.clock.Now().Sub(began).Milliseconds())
	w := &writer{leader: s, done: make(chan struct{})}
	go w.run(ctx)
	defer func() {
		s.cancel()
		<-w.done
	}()
	go s.limits.run(ctx)
	go s.paths.run(ctx)
	timer := time.NewTimer(0)
	defer timer.Stop()
	due := s.clock.Now()
	for {
		select {
		case <-ctx.Done():
			return
		case <-s.quit.Done():
			w.awaitRelease()
			return
		case <-s.stepWake:
		case <-timer.C:
		}
		began := s.clock.Now()
		s.activity.beginStep(due, began)
		next := s.step(ctx)
		took := s.clock.Now().Sub(began)
		s.activity.endStep(took)
		s.logActivity()
		if rest := restAfter(took); rest > 0 && s.clock.Sleep(ctx, rest) != nil {
			return
		}
		pause := max(next.Sub(s.clock.Now()), minStepPause)
		timer.Reset(pause)
		due = s.clock.Now().Add(pause)
	}
}

// restRatio is the ratio of the rest after a scheduling step to the time of the step.
// A step costs about the same for one event as for many, so that a leader with many
// events spends at most a fifth of the processor on steps, and delays none of them by
// more than a few times a step.
const restRatio = 4

// restAfter returns how long to rest after a step that took a given time, during which
// further events arrive. Rests below the resolution of timers are left out.
func restAfter(step time.Duration) time.Duration {
	if rest := restRatio * step; rest >= minRest {
		return min(rest, maxRest)
	}
	return 0
}

const (
	minRest = 200 * time.Microsecond
	maxRest = 40 * time.Millisecond // a step that took longer was interrupted
)

// minStepPause is the shortest pause before a scheduling step that no event has
// triggered.
const minStepPause = 5 * time.Millisecond

// loadState reads the rows of the service and builds its scheduler. It fails when leadership is
// lost, this host steps down, ctx ends or the rows can't be read.
func (s *ServiceLeader) loadState(ctx context.Context) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	defer context.AfterFunc(s.quit, cancel)()
	rows := newLoader(s)
	if err := rows.load(ctx); err != nil {
		return err
	}
	s.buildState(rows)
	return nil
}

// buildState builds the scheduler from the rows that were read.
func (s *ServiceLeader) buildState(rows *loader) {
	batchRows, progressRows := rows.batches.rows, rows.progress.rows
	now := s.clock.Now()
	scheduler := sched.New(s.manager.schedConfig(s.leadership), now)
	if err := loadBatches(scheduler, batchRows, progressRows, now); err != nil {
		s.manager.config.Log.Error(err, "batch row could not be loaded", "service", s.service)
	}
	registry, err := decodeRunners(rows.runners)
	if err != nil {
		s.manager.config.Log.Error(err, "list of runners in use is not valid JSON: tasks may run on any runner", "service", s.service)
		var listed sched.RegistryRow
		for _, info := range s.listedRunners() {
			listed.Runners = append(listed.Runners, info.ID)
		}
		registry = []sched.RegistryRow{listed}
	}
	scheduler.LoadRegistered(registry...)
	scheduler.LeaderConfirmed(s.confirmedAt)
	s.paths.load(rows.paths, len(batchRows)+len(progressRows) > 0)
	rules := s.publish(scheduler, now)
	s.limits.setRules(rules)
	s.paths.setRules(rules)
	s.manager.recordTakeover(s.service, rows.stats)
}

// publish gives a scheduler the contract and the runners, and makes it that of this leader. No
// newer ones pass it meanwhile: those that come later find the scheduler. It returns the
// contract.
func (s *ServiceLeader) publish(scheduler *sched.Scheduler, now time.Time) glade.Rules {
	m := s.manager
	m.mu.Lock()
	defer m.mu.Unlock()
	scheduler.SetRules(m.rules)
	scheduler.SetRunners(m.runners[s.service], now)
	if now.Sub(m.runnersAt) > maxRunnersAge {
		scheduler.AwaitRunners(now)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.sched = scheduler
	return m.rules
}

// maxRunnersAge is the age up to which a new leader relies on the list of runners. A host
// that leads nothing follows their feed with pauses that are longer.
const maxRunnersAge = 2500 * time.Millisecond

// listedRunners returns the runners of the service in the platform's list.
func (s *ServiceLeader) listedRunners() []glade.RunnerInfo {
	s.manager.mu.Lock()
	defer s.manager.mu.Unlock()
	return s.manager.runners[s.service]
}

// loadBatches passes the rows to the scheduler. An invalid row does not stop it; the
// error is that of the last one.
func loadBatches(scheduler *sched.Scheduler, batchRows, progressRows []glade.PartitionRow, now time.Time) error {
	var lastErr error
	byKey := make(map[string]*sched.ProgressRow, len(progressRows))
	for _, row := range progressRows {
		var progress sched.ProgressRow
		if err := json.Unmarshal(row.Value, &progress); err != nil {
			lastErr = errors.Wrapf(err, "decode the progress row of batch %s", row.Key)
			continue
		}
		byKey[row.Key] = &progress
	}
	for _, row := range batchRows {
		var batch sched.WorkRow
		if err := json.Unmarshal(row.Value, &batch); err != nil {
			lastErr = errors.Wrapf(err, "decode the row of batch %s", row.Key)
			continue
		}
		if err := scheduler.LoadBatch(glade.BatchID(row.Key), &batch, byKey[row.Key], now); err != nil {
			lastErr = err
		}
		delete(byKey, row.Key)
	}
	for key, progress := range byKey {
		if err := scheduler.LoadBatch(glade.BatchID(key), nil, progress, now); err != nil {
			lastErr = err
		}
	}
	return lastErr
}

func (s *ServiceLeader) setRules(rules glade.Rules) {
	s.withSched(func(scheduler *sched.Scheduler) { scheduler.SetRules(rules) })
	s.limits.setRules(rules)
	s.paths.setRules(rules)
}

func (s *ServiceLeader) setRunners(runners []glade.RunnerInfo) {
	now := s.clock.Now()
	s.withSched(func(scheduler *sched.Scheduler) { scheduler.SetRunners(runners, now) })
}

// withSched calls do with the scheduler under the lock, and then wakes the step loop
// and, if needed, the writer. It returns false if the rows are not loaded yet.
func (s *ServiceLeader) withSched(do func(scheduler *sched.Scheduler)) bool {
	writes := false
	if !s.protect(func() {
		do(s.sched)
		writes = s.sched.HasWrites()
	}) {
		return false
	}
	s.wakeStep()
	if writes {
		wake(s.writeWake)
	}
	return true
}

// withTenants calls do with the part of the scheduler that the limits of tenants need. It
// returns false if the rows are not loaded yet.
func (s *ServiceLeader) withTenants(do func(scheduler tenantScheduler)) bool {
	found := false
	return s.protect(func() {
		var scheduler tenantScheduler
		if scheduler, found = any(s.sched).(tenantScheduler); found {
			do(scheduler)
		}
	}) && found
}

// protect calls do under the lock, and returns false if there is no scheduler or do panics.
// A panic ends only this leadership, not the process with all else that it leads.
func (s *ServiceLeader) protect(do func()) (ok bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.sched == nil {
		return false
	}
	defer func() {
		if cause := recover(); cause != nil {
			ok = false
			s.manager.config.Log.Error(errors.Errorf("%v", cause), "scheduler panicked", "service", s.service, "stack", string(debug.Stack()))
			s.loseLeadership("the scheduler panicked")
		}
	}()
	do()
	return true
}

// wakeStep asks for a scheduling step.
func (s *ServiceLeader) wakeStep() {
	s.activity.recordWake(s.clock.Now())
	wake(s.stepWake)
}

// wake sends a signal unless one is already waiting.
func wake(ch chan struct{}) {
	select {
	case ch <- struct{}{}:
	default:
	}
}

// step runs one scheduling step and starts the calls that it asks for. It returns
// the time at which the next step is due at the latest.
func (s *ServiceLeader) step(ctx context.Context) time.Time {
	next := s.clock.Now()
	var events []sched.Event
	writes, demandChanged := false, false
	s.protect(func() {
		s.sched.SetStartRate(float64(s.startRate.Load()))
		orders := s.sched.Step(s.clock.Now())
		s.startCalls(ctx, orders)
		next, events = orders.Next, s.sched.Events()
		writes = s.sched.HasWrites() || s.sched.NeedsRenewal()
		demandChanged = s.sched.DemandGen() != s.demandGen
		s.demandGen = s.sched.DemandGen()
	})
	for _, e := range events {
		s.manager.config.Log.Info(e.Name, append(e.Pairs, "service", s.service, "epoch", s.term.Epoch)...)
	}
	if writes {
		wake(s.writeWake)
	}
	if demandChanged {
		s.limits.notify()
	}
	return next
}

// startCalls starts the calls for the orders of a step. The caller holds the lock.
func (s *ServiceLeader) startCalls(ctx context.Context, orders sched.Orders) {
	for _, o := range orders.Starts {
		s.startCall(ctx, &call{leader: s, kind: callStart, start: o, runOrder: o.Order(s.sched), runner: o.To()})
	}
	for _, o := range orders.Stops {
		s.startCall(ctx, &call{leader: s, kind: callStop, stop: o, runner: o.To()})
	}
	for _, o := range orders.Throttles {
		s.startCall(ctx, &call{leader: s, kind: callThrottle, throttle: o, runner: o.To()})
	}
	for _, o := range orders.Heartbeats {
		s.startCall(ctx, &call{leader: s, kind: callHeartbeat, heartbeat: o, runner: o.To})
	}
	for _, o := range orders.AdviceRequests {
		s.startCall(ctx, &call{leader: s, kind: callAdvise, advice: o})
	}
}

func (s *ServiceLeader) startCall(ctx context.Context, c *call) { go c.run(ctx) }

// loseLeadership stops this leader because another host leads.
func (s *ServiceLeader) loseLeadership(reason string) {
	s.logLost(reason)
	s.cancel()
}

// stepDown makes this host release the service, and returns when that is done.
func (s *ServiceLeader) stepDown() {
	s.stopLeading()
	<-s.done
}
