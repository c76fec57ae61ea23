// Package sched schedules the batches of one service: which batches are
// accepted, in which order and on which runners their tasks run, and which state
// must be stored before the scheduler acts on it.
//
// The scheduler runs on the leader of the service and is a pure state machine:
// it has no clock, goroutine or socket. Its caller reports events with their
// times and carries out the orders that it returns. Its safety across changes of
// the leader rests on three rules:
//
//   - Only the leader of the service writes the rows of its batches, in
//     transactions that are conditional on the leader row (the term row of package
//     lead).
//   - A runner refuses orders with a fencing token lower than the highest that it
//     has seen. A new leader starts nothing on a runner before that runner has
//     answered a heartbeat with the new token.
//   - Leases end at most the configured renewal TTL after the last renewal of the leader
//     row, which other hosts see. After that time, runs of the earlier leader on runners
//     that a new leader can't reach have ended.
package sched

import (
	"time"

	glade "indigoglade"
	"indigoglade/times"
)

// Config configures the scheduler of one service.
type Config struct {
	Service glade.Service
	// Epoch is the leader's fencing token: the number of the takeover.
	Epoch int64
	// LeaseTime is how long runs continue after the last heartbeat that reached
	// their runner.
	LeaseTime time.Duration
	// RenewalTTL bounds the end of every lease, counted from the last renewal of the leader row.
	RenewalTTL time.Duration
	// RenewedAt is when the last renewal of the leader row was sent; the time of New if it is zero.
	RenewedAt time.Time
	// InheritedLeases is how long leases of earlier leaders may last from InheritedSince on, by the
	// account of the last one, which has released the service; 0 if it gave none.
	InheritedLeases time.Duration
	// InheritedSince is when the last renewal of the leader row by an earlier leader had been seen, from which its leases
	// count; the time of New if it is zero.
	InheritedSince time.Time
	// MaxLease is the longest lease that a runner grants.
	MaxLease time.Duration
	// RestoreTime is how long a task takes to resume from its checkpoint.
	RestoreTime time.Duration
	// StopTimeout is how long a runner takes at most to stop a run.
	StopTimeout time.Duration
	// Retention is how long the state of an ended batch stays available to callers.
	Retention time.Duration
	// HeartbeatWait is how long a runner may delay the answer to a heartbeat
	// until a run ends (long poll). An idle runner may delay it longer.
	HeartbeatWait time.Duration
	// RemoteFactor is how many times as long a task takes away from the rack that its step
	// names, or a gang that is slow when spread; 0 or 1 means that nothing waits for a rack.
	RemoteFactor float64
	// MaxHeldBytes bounds the memory of the batches that the service has accepted; 0 means defaultHeldBytes.
	MaxHeldBytes int
	// StartRepeats is how many times a start without an answer is sent again.
	StartRepeats int
}

// runsPerEpoch keeps the run numbers of two leaders apart: no leader starts one
// task that often.
const runsPerEpoch = 1 << 16

// Scheduler holds the batches and runners of a service. It is not safe for
// concurrent use.
type Scheduler struct {
	config Config
	rules  map[glade.Queue]glade.QueueRule
	// needsAdvice means that a queue needs the advice service.
	needsAdvice bool
	batches     map[glade.BatchID]*batch
	// live holds the batches that have not ended, liveTasks is the number of their tasks.
	live      map[*batch]bool
	liveTasks int
	// heldBytes is what the works of all batches take, until they are released.
	heldBytes int
	runners   map[glade.RunnerID]*runner
	// ordered holds the runners by id.
	ordered []*runner
	// sizes are those of the runners that can be in use.
	sizes poolSizes
	// touched holds the runners of which something has changed since the last step,
	// evacuating those under evacuation, and idleBeat those without a heartbeat in flight.
	touched, evacuating, idleBeat map[*runner]bool
	// repeats holds the runs whose start is to be sent again.
	repeats []*run
	// overdue holds the runners that may need probes.
	overdue        map[*runner]bool
	probesInFlight int
	// adviceInFlight is the number of requests to the advice service without an answer yet.
	adviceInFlight int
	// lastingAsked is the long-running step that has asked last.
	lastingAsked *step
	// stopping holds the runs that are to be stopped.
	stopping map[*run]bool
	// reviewedAt is when all runners were last reviewed.
	reviewedAt time.Time
	// usableRunners is the result of usable in the present step, if usableKnown is set.
	usableRunners []*runner
	usableKnown   bool
	pace          pace
	// largestFree bounds the free CPU of every usable runner in the present placement
	// pass, in millicores.
	largestFree int
	hasGangs    bool // a batch with a gang was submitted
	// ended holds batches in a final state whose tasks are kept, the oldest first.
	ended []*batch
	// ready holds the unfinished steps whose dependencies are done.
	ready map[*step]bool
	// awaitRunnersUntil is until when nothing starts, because the list of runners is old.
	awaitRunnersUntil time.Time
	// renewedAt is when the last write was sent that has confirmed the leader row, rowRenewedAt the last one that has renewed it.
	renewedAt, rowRenewedAt time.Time
	// confirmAfter is the time after which the leader row must be renewed before the
	// actions that wait for a renewal can be carried out.
	confirmAfter time.Time
	// steppedAt is when the last step was run, delayedAt when one was last run late.
	steppedAt, delayedAt time.Time
	// answerLostAt is when a runner last answered after a heartbeat without an answer.
	answerLostAt time.Time
	// leaderSince is when this leader took over.
	leaderSince time.Time
	// registered holds the runners that may run tasks of this leader or an earlier
	// one. Its row names them, so that the next leader knows where to look.
	registered map[glade.RunnerID]bool
	// registryGen counts changes of registered, registryWritten is the change up to
	// which its row is written.
	registryGen     int64
	registryWritten int64
	losses          losses
	inherited       inheritedLeases
	// rebornAt is when a runner has last restarted under its id, until the row no longer says so.
	rebornAt time.Time
	// grantsNothing means that this leader releases the service and has told how long its leases last.
	grantsNothing bool
	// givenUp holds the runners whose runs were given up without a word of theirs, until they answer.
	givenUp map[glade.RunnerID]givenUp
	// suspects holds the batches with a crash that may be their doing, trials the runs of
	// suspect tasks that have not survived yet, and silences the runners that went silent.
	suspects      map[*batch]bool
	trials        map[*run]bool
	trialLoggedAt time.Time
	silences      []silence
	kindChecks    []Heartbeat // of this tick
	writes        writes
	// unstorable holds submitted batches that were withdrawn because the store rejects their rows.
	unstorable     map[glade.BatchID]bool
	drops          rowDrops
	needsPlacement bool // something that placement depends on has changed
	// placedAt is when tasks were last placed, hopelessLoggedAt when a step without hope of room was
	// last reported.
	placedAt, hopelessLoggedAt time.Time
	// reserving means that runners are reserved for long-running steps in this placement pass, awaited
	// that one waits for runners. idleSince is since when less than half of the pool is in use.
	reserving, awaited bool
	idleSince          time.Time
	ranking            ranking
	estimates          estimates
	// times holds the run times as distributions, waits the tasks that wait for a rack.
	times        *times.Times
	waits        waits
	loadAverages map[glade.Queue]*loadAverage
	backlog      *backlog // nil before the first submission
	// expected holds the batches that were asked for after an offer.
	expected map[glade.BatchID]expectedBatch
	// refused holds recently refused batches.
	refused map[glade.BatchID]bool
	// spareCapacity is the capacity for tasks that leave runners under evacuation, in
	// millicores. It is computed on first use in each tick.
	spareCapacity int
	spareKnown    bool
	// lendable is the capacity that other pools can lend, in millicores, as of
	// lendableAt.
	lendable   int
	lendableAt time.Time
	// tenants holds those with batches, tenantRules all of the contract.
	tenants     map[glade.Tenant]*tenant
	tenantRules map[glade.Tenant]glade.TenantRule
	// tenantsByName holds the same tenants in the order of their names.
	tenantsByName []*tenant
	// largestStale means that the largest task of a tenant may have changed.
	largestStale bool
	// otherLoad is the load of batches without a tenant that has a weight. sharedAt is when
	// the pool was last divided.
	otherLoad tenantLoad
	sharedAt  time.Time
	// unseenOver means that no run of an earlier leader is unseen any more.
	unseenOver bool
	// silentRunners is the number of runners with unseen runs as of unseenAt.
	silentRunners int
	unseenAt      time.Time
	// blocked holds the tenants of which a step was found in the present placement pass that
	// waits for its limit alone.
	blocked map[*tenant]bool
	// demandGen counts the changes of what tenants use and want.
	demandGen     int64
	events        []Event
	droppedEvents int
	stats         Stats
}

// Event is a decision or observation that the caller logs.
type Event struct {
	Name string
	// Pairs are alternating keys and values.
	Pairs []any
}

// Stats counts decisions about batches and outcomes of runs.
type Stats struct {
	Accepted, Refused, Started, Done, Failed, Lapsed, Lost, Crashed, CrashLoops, Stopped, Retried int64
	OnTime, Late                                                                                  int64
	// Probed counts answered probes, Unread the runs that had ended as done when they were given up.
	Probed, Unread int64
	// Repeated counts starts that were sent again, RepeatsAccepted those that were then accepted.
	Repeated, RepeatsAccepted int64
	// Waited counts tasks and gangs that have waited for a rack, WaitsGained those that got a
	// place there, and WaitsGivenUp those that did not. WaitsGainMs is the expected time that
	// this has saved, less the time of the waits.
	Waited, WaitsGained, WaitsGivenUp, WaitsGainMs int64
	// Ranked counts the ready steps that were put in the order of placement, once for each time.
	Ranked int64
	// HeldBytes is what the works of all batches take now, at most MaxHeldBytes of the configuration.
	HeldBytes int64
}

// New returns the scheduler of a leader that took over now. It has no batches
// until those that earlier leaders have written are loaded.
func New(config Config, now time.Time) *Scheduler {
	if config.RenewedAt.IsZero() {
		config.RenewedAt = now
	}
	if config.InheritedSince.IsZero() {
		config.InheritedSince = now
	}
	s := &Scheduler{
		config:          config,
		rules:           make(map[glade.Queue]glade.QueueRule),
		batches:         make(map[glade.BatchID]*batch),
		live:            make(map[*batch]bool),
		runners:         make(map[glade.RunnerID]*runner),
		sizes:           make(poolSizes),
		ready:           make(map[*step]bool),
		touched:         make(map[*runner]bool),
		evacuating:      make(map[*runner]bool),
		idleBeat:        make(map[*runner]bool),
		overdue:         make(map[*runner]bool),
		stopping:        make(map[*run]bool),
		suspects:        make(map[*batch]bool),
		trials:          make(map[*run]bool),
		registered:      make(map[glade.RunnerID]bool),
		givenUp:         make(map[glade.RunnerID]givenUp),
		losses:          newLosses(),
		inherited:       inheritedLeases{reborn: make(map[glade.RunnerID]bool)},
		loadAverages:    make(map[glade.Queue]*loadAverage),
		refused:         make(map[glade.BatchID]bool),
		tenants:         make(map[glade.Tenant]*tenant),
		blocked:         make(map[*tenant]bool),
		expected:        make(map[glade.BatchID]expectedBatch),
		renewedAt:       now,
		rowRenewedAt:    config.RenewedAt,
		leaderSince:     now,
		needsPlacement:  true,
		unstorable:      make(map[glade.BatchID]bool),
		writes:          writes{rejects: rejects{aside: make(map[*batch]time.Time)}},
		times:           times.New(),
		registryGen:     loadedRegistryGen,
		registryWritten: loadedRegistryGen,
	}
	s.estimates.init()
	s.waits.init()
	return s
}

// Stats returns the counters since the takeover.
func (s *Scheduler) Stats() Stats {
	stats := s.stats
	stats.HeldBytes = int64(s.heldBytes)
	return stats
}

// Events returns the events since the last call, at most maxEvents of them,
// and how many more there were.
func (s *Scheduler) Events() []Event {
	events := s.events
	if s.droppedEvents > 0 {
		events = append(events, Event{Name: "dropped", Pairs: []any{"events", s.droppedEvents}})
	}
	s.events, s.droppedEvents = nil, 0
	return events
}

// maxEvents bounds the events between two calls of Events; later ones are
// dropped and counted.
const maxEvents = 200

func (s *Scheduler) addEvent(name string, pairs ...any) {
	if len(s.events) == maxEvents {
		s.droppedEvents++
		return
	}
	s.events = append(s.events, Event{Name: name, Pairs: pairs})
}

// addRunEvent adds an event with the runner, task and number of a run.
func (s *Scheduler) addRunEvent(name string, n *run, pairs ...any) {
	s.addEvent(name, append([]any{"runner", n.runner.info.ID, "batch", n.step.occurrence.batch.id, "step", n.step.index, "task", n.index, "run", n.number}, pairs...)...)
}

// LeaderConfirmed records that a write sent at the given time has confirmed the
// leader row.
func (s *Scheduler) LeaderConfirmed(sent time.Time) {
	if sent.After(s.renewedAt) {
		s.renewedAt = sent
	}
}

// LeaderRenewed records that a write sent at the given time has renewed the leader row, which other hosts see.
func (s *Scheduler) LeaderRenewed(sent time.Time) {
	s.LeaderConfirmed(sent)
	if sent.After(s.rowRenewedAt) {
		s.rowRenewedAt = sent
	}
}

// LeaderRenewedWithin reports whether the leader row was renewed less than a time ago, so
// that no other host can lead yet.
func (s *Scheduler) LeaderRenewedWithin(age time.Duration, now time.Time) bool {
	return now.Sub(s.renewedAt) < age
}

// RenewalAge returns how long ago the last confirmed renewal of the leader row was sent.
func (s *Scheduler) RenewalAge(now time.Time) time.Duration { return now.Sub(s.renewedAt) }

// HasQueue reports whether the contract has a queue in the service.
func (s *Scheduler) HasQueue(queue glade.Queue) bool {
	_, ok := s.rules[queue]
	return ok
}

// confirmedSince reports whether the leader row was renewed after a time. If it
// was not, a newer leader may have acted since then, and a renewal is requested.
func (s *Scheduler) confirmedSince(since time.Time) bool {
	if s.renewedAt.After(since) {
		return true
	}
	if since.After(s.confirmAfter) {
		s.confirmAfter = since
	}
	return false
}

// NeedsRenewal reports whether an action waits for a renewal of the leader row.
func (s *Scheduler) NeedsRenewal() bool {
	return s.confirmAfter.After(s.renewedAt) || s.confirmAfter.Equal(s.renewedAt)
}

// SetRules replaces the rules of the service's queues.
func (s *Scheduler) SetRules(rules glade.Rules) {
	s.rules, s.needsAdvice = make(map[glade.Queue]glade.QueueRule), false
	for _, rule := range rules.Queues {
		if rule.Service == s.config.Service {
			s.rules[rule.Queue] = rule
			s.needsAdvice = s.needsAdvice || rule.NeedsAdvice
		}
	}
	for b := range s.live {
		s.updateRule(b)
		s.needsAdvice = s.needsAdvice || b.rule.NeedsAdvice
	}
	s.setTenantRules(rules.Tenants)
	s.needsPlacement = true
}

// updateRule gives a batch the rule of its queue. A batch whose queue has gone, or has another
// path by now, keeps the rule that it came under.
func (s *Scheduler) updateRule(b *batch) {
	rule, ok := s.rules[b.queue]
	if ok && (b.path == "" || b.path == rule.Path()) {
		b.rule, b.path = rule, rule.Path()
	}
}

// Paths returns the paths by which the known batches came.
func (s *Scheduler) Paths() map[string]bool {
	paths := make(map[string]bool)
	for _, b := range s.batches {
		paths[b.path] = true
	}
	return paths
}

// State returns the state of a batch as callers see it, and false if the batch is
// unknown or not accepted. A final state is reported only once its row is written.
func (s *Scheduler) State(id glade.BatchID) (glade.BatchState, bool) {
	b, ok := s.batches[id]
	if !ok || !b.accepted {
		return "", false
	}
	if b.writtenState.IsFinal() {
		return b.writtenState, true
	}
	if b.started {
		return glade.BatchRunning, true
	}
	return glade.BatchQueued, true
}

// IsKnown reports whether a batch was submitted or cancelled before, even if its row
// is not written yet.
func (s *Scheduler) IsKnown(id glade.BatchID) bool {
	_, ok := s.batches[id]
	return ok
}

// Waiting returns the number of accepted batches that came by the path of a queue and have not
// started.
func (s *Scheduler) Waiting(queue glade.Queue, path string) int {
	n := 0
	for b := range s.live {
		if (b.path == path && path != "" || b.queue == queue && path == "") && b.accepted && !b.started {
			n++
		}
	}
	return n
}
