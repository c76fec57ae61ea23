// Package sched decides for the batches of one service: what is accepted, in
// which order tasks run, on which runners, and what must be written before what.
//
// A Sched has no clock, goroutine or socket. It is told what happened and when,
// and returns the orders to give. Its safety rests on three things:
//
//   - Only the lead of the service writes the rows of its batches, in
//     transactions that are conditional on the lead row.
//   - A runner refuses orders under a lower fence. A new lead starts nothing on a
//     runner before that runner answered a hold under the new fence.
//   - Leases end at most Reach after the last time that the lead row was known to
//     be ours. What runs on a runner that a new lead can't reach has lapsed then.
package sched

import (
	"time"

	glade "indigoglade"
)

// Config configures a Sched.
type Config struct {
	Service glade.Service
	// Epoch is the fence of the lead: the number of the takeover.
	Epoch int64
	// Lease is how long runs go on after the last hold that reached them.
	Lease time.Duration
	// Reach bounds leases from the last confirmed renewal of the lead.
	Reach time.Duration
	// HoldMax is the longest lease that a runner grants.
	HoldMax time.Duration
	// Restore is how long a task takes to go on from its saved work.
	Restore time.Duration
	// Keep is how long the state of an ended batch is told.
	Keep time.Duration
	// Look is the longest time that a hold waits for an end.
	Look time.Duration
}

// runsPerEpoch separates the run numbers of two leads: a task is never started
// so often by one of them.
const runsPerEpoch = 1 << 16

// Sched holds the batches and runners of a service. It is not safe for use by
// several goroutines.
type Sched struct {
	config  Config
	rules   map[glade.Queue]glade.QueueRule
	batches map[glade.BatchID]*batch
	// live holds the batches that are not over.
	live    map[*batch]bool
	runners map[glade.RunnerID]*runner
	// open holds the steps with tasks that may be started.
	open map[*step]bool
	// renewed is when the last confirmed renewal of the lead row was sent.
	renewed time.Time
	// proof is the time after which the lead must be confirmed before something
	// that waits for it is done.
	proof time.Time
	// taken is when the lead was taken over.
	taken time.Time
	// crew names the runners that may run tasks of an earlier lead, or of this
	// one, as it is written.
	crew    map[glade.RunnerID]bool
	crewGen int64
	crewOK  int64
	writes  writes
	moved   bool // something that placement depends on has changed
	// placedAt is when tasks were last placed.
	placedAt time.Time
	learnt   learnt
	inflows  map[glade.Queue]*inflow
	// turned holds refused batches.
	turned map[glade.BatchID]bool
	// slackRoom is the room for tasks that leave closing runners, found when first
	// asked for in each step.
	slackRoom  int
	slackKnown bool
	// lent is the room that other pools can lend, as of lentAt.
	lent   int
	lentAt time.Time
	events []Event
	stats  Stats
}

// Event is a decision worth a log line.
type Event struct {
	Name string
	// Pairs are keys and values in turn.
	Pairs []any
}

// Stats counts what was decided.
type Stats struct {
	Accepted, Refused, Started, Done, Failed, Lapsed, Lost, Stopped, Retried int64
	OnTime, Late                                                             int64
}

// New returns a Sched that leads since now, with the rows that List gave.
func New(config Config, now time.Time) *Sched {
	s := &Sched{
		config:  config,
		rules:   make(map[glade.Queue]glade.QueueRule),
		batches: make(map[glade.BatchID]*batch),
		live:    make(map[*batch]bool),
		runners: make(map[glade.RunnerID]*runner),
		open:    make(map[*step]bool),
		crew:    make(map[glade.RunnerID]bool),
		inflows: make(map[glade.Queue]*inflow),
		turned:  make(map[glade.BatchID]bool),
		renewed: now,
		taken:   now,
		moved:   true,
		crewGen: firstCrew,
		crewOK:  firstCrew,
	}
	s.learnt.init()
	return s
}

// Stats returns the counters.
func (s *Sched) Stats() Stats { return s.stats }

// Events returns the events since the last call.
func (s *Sched) Events() []Event {
	events := s.events
	s.events = nil
	return events
}

// maxEvents bounds the events between two calls of Events.
const maxEvents = 200

func (s *Sched) event(name string, pairs ...any) {
	if len(s.events) < maxEvents {
		s.events = append(s.events, Event{Name: name, Pairs: pairs})
	}
}

// Renewed records that the lead row was confirmed by a write sent at the time.
func (s *Sched) Renewed(sent time.Time) {
	if sent.After(s.renewed) {
		s.renewed = sent
	}
}

// confirmed tells whether the lead was confirmed after a time, and asks for it
// when not: a newer lead may have acted since then.
func (s *Sched) confirmed(since time.Time) bool {
	if s.renewed.After(since) {
		return true
	}
	if since.After(s.proof) {
		s.proof = since
	}
	return false
}

// NeedsProof tells whether something waits until the lead is confirmed.
func (s *Sched) NeedsProof() bool { return s.proof.After(s.renewed) || s.proof.Equal(s.renewed) }

// SetRules takes over the rules of the service's queues.
func (s *Sched) SetRules(rules glade.Rules) {
	s.rules = make(map[glade.Queue]glade.QueueRule)
	for _, rule := range rules.Queues {
		if rule.Service == s.config.Service {
			s.rules[rule.Queue] = rule
		}
	}
	s.moved = true
}

// State returns what a caller is told of a batch, and false when there is none.
// A final state is told once it is written.
func (s *Sched) State(id glade.BatchID) (glade.BatchState, bool) {
	b, ok := s.batches[id]
	if !ok || !b.accepted {
		return "", false
	}
	if b.shown.Over() {
		return b.shown, true
	}
	if b.begun {
		return glade.BatchRunning, true
	}
	return glade.BatchQueued, true
}

// Waiting returns the number of accepted batches of a queue of which no task
// has started.
func (s *Sched) Waiting(queue glade.Queue) int {
	n := 0
	for b := range s.live {
		if b.queue == queue && b.accepted && !b.begun {
			n++
		}
	}
	return n
}

// Sweep drops batches whose state was told long enough, and returns their ids.
func (s *Sched) Sweep(now time.Time) []glade.BatchID {
	var old []glade.BatchID
	for id, b := range s.batches {
		if b.shown.Over() && len(b.runs) == 0 && now.Sub(b.overAt) > s.config.Keep {
			old = append(old, id)
			delete(s.batches, id)
			if len(old) == maxSwept {
				break
			}
		}
	}
	return old
}

// maxSwept bounds the batches of one sweep: two rows each fit one transaction.
const maxSwept = 40
