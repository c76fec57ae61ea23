package sched

import (
	"math"
	"time"

	glade "indigoglade"
)

// Verdict is the answer to a submission.
type Verdict struct {
	// Accepted batches are answered once the change Gen of their row is written.
	Accepted bool
	Gen      int64
	// Reason and After tell a refused caller why, and when to come back.
	Reason string
	After  time.Duration
}

// Bounds of admission.
const (
	// admitFactor times its objective is the longest that a batch may be
	// expected to take; estimates are off, and late batches still earn.
	admitFactor = 2.5
	// maxRetryAfter bounds what a refused caller is told.
	maxRetryAfter = 10 * time.Second
	minRetryAfter = time.Second
)

// Submit takes up a batch or refuses it.
func (s *Sched) Submit(id glade.BatchID, queue glade.Queue, work glade.Batch, now time.Time) Verdict {
	if b, ok := s.batches[id]; ok {
		return Verdict{Accepted: true, Gen: b.gen}
	}
	b := newBatch(id, queue, work, now)
	if !s.turned[id] {
		s.arrive(b, now)
	}
	if reason, wait := s.refusal(b, now); reason != "" {
		s.noteTurned(id)
		s.stats.Refused++
		after := min(max(wait, minRetryAfter), maxRetryAfter)
		s.event("refuse", "batch", id, "queue", queue, "why", reason, "wait", wait.Milliseconds(), "after", after.Milliseconds())
		return Verdict{Reason: reason, After: after}
	}
	b.fresh = true
	s.batches[id] = b
	s.live[b] = true
	s.change(b)
	return Verdict{Accepted: true, Gen: b.gen}
}

// TurnAway counts the work of a batch that can't be written now. It will come
// back, so that its hosts should be there.
func (s *Sched) TurnAway(id glade.BatchID, queue glade.Queue, work glade.Batch, now time.Time) {
	if s.turned[id] {
		return
	}
	s.arrive(newBatch(id, queue, work, now), now)
	s.noteTurned(id)
	s.stats.Refused++
}

// maxTurned bounds the refused batches that are remembered.
const maxTurned = 4096

// noteTurned remembers a refused batch, so that its return counts no new work.
func (s *Sched) noteTurned(id glade.BatchID) {
	if len(s.turned) >= maxTurned {
		clear(s.turned)
	}
	s.turned[id] = true
}

// refusal returns why a batch can't be served in time, and when it could.
func (s *Sched) refusal(b *batch, now time.Time) (string, time.Duration) {
	if _, ok := s.rules[b.queue]; !ok {
		return "queue", 0
	}
	if b.work.Times > 0 || isLasting(b) {
		return "", 0
	}
	pool := s.pool()
	if pool <= 0 {
		return "", 0
	}
	objective := s.objective(b)
	chain := s.chain(b.rounds[0], true)
	ahead, all := s.backlog(objective-chain, now)
	if s.wait(ahead, float64(pool), now) <= objective-chain {
		return "", 0
	}
	if expected := s.wait(all, float64(pool), now) + chain; float64(expected) > admitFactor*float64(objective) {
		return "load", expected - time.Duration(admitFactor*float64(objective))
	}
	return "", 0
}

// Bounds of what other pools can lend.
const (
	// lendTime is how long a lent host takes to come: the move, and the way into
	// the list of runners.
	lendTime = 2 * time.Second
	// lendFresh is the age up to which an offer of hosts is believed.
	lendFresh = 2 * time.Second
)

// wait returns how long a backlog takes: at first with the own pool alone, then
// with what other pools can lend.
func (s *Sched) wait(backlog, pool float64, now time.Time) time.Duration {
	own := time.Duration(backlog/pool) * time.Millisecond
	if own <= lendTime || now.Sub(s.lentAt) > lendFresh {
		return own
	}
	rest := backlog - pool*float64(lendTime.Milliseconds())
	return lendTime + time.Duration(rest/(pool+float64(s.lent)))*time.Millisecond
}

// Lend tells how much room, in thousandths of a core, other pools can lend.
func (s *Sched) Lend(room int, now time.Time) { s.lent, s.lentAt = room, now }

// inflow is the room that the arriving work of a queue asks for.
type inflow struct {
	room float64 // in thousandths of a core, as of at
	// slow follows room as room follows the work, so that their difference tells
	// how fast it rises.
	slow float64
	at   time.Time
	// over is the time over which the work is averaged.
	over time.Duration
}

// Bounds of an average of arriving work.
const (
	// inflowTime is short against a turn of some seconds, and long against the
	// gap between two short batches.
	inflowTime = 450 * time.Millisecond
	// inflowShare of the time that a batch can wait is averaged over when that is
	// longer: a few large batches come with gaps that waiting evens out.
	inflowShare = 0.5
	// inflowBatches is how many batches of a queue its time is averaged over.
	inflowBatches = 8
)

// pass lets time pass.
func (f *inflow) pass(now time.Time) {
	x := float64(now.Sub(f.at)) / float64(f.over)
	f.slow = (f.slow + f.room*x) * math.Exp(-x)
	f.room *= math.Exp(-x)
	f.at = now
}

// arrive counts the work of a batch that was sent, accepted or not.
func (s *Sched) arrive(b *batch, now time.Time) {
	work := 0.0
	for _, st := range b.rounds[0].steps {
		if !st.rule.Lasting {
			work += float64(st.rule.Count) * float64(st.rule.Need.CPU) * float64(st.rule.Estimate) * s.learnt.of(b.queue)
		}
	}
	waits := s.objective(b) - s.chain(b.rounds[0], true)
	over := max(inflowTime, time.Duration(inflowShare*float64(waits)))
	f, ok := s.inflows[b.queue]
	if !ok {
		f = &inflow{at: now, over: over}
		s.inflows[b.queue] = f
	}
	f.pass(now)
	f.over += (over - f.over) / inflowBatches
	f.room += work / float64(f.over.Milliseconds())
}

// offered returns the room that the arriving work asks for, in thousandths of a
// core, and by how much that rises in a second.
func (s *Sched) offered(now time.Time) (room, rise int) {
	for _, f := range s.inflows {
		f.pass(now)
		room += int(f.room)
		rise += int((f.room - f.slow) / f.over.Seconds())
	}
	return room, rise
}

func isLasting(b *batch) bool {
	for i := range b.work.Steps {
		if b.work.Steps[i].Lasting {
			return true
		}
	}
	return false
}

// pool returns the thousandths of cores that are there for work that ends.
func (s *Sched) pool() int {
	sum := 0
	for _, r := range s.runners {
		if !r.listed || r.info.Draining {
			continue
		}
		sum += r.info.Room.CPU
		for n := range r.runs {
			if n.step.rule.Lasting {
				sum -= charged(n.step.rule).CPU
			}
		}
	}
	return sum
}

// backlog returns the work that is accepted and not done, in thousandths of a
// core times milliseconds: all of it, and the part that goes before a batch with
// some slack.
func (s *Sched) backlog(slack time.Duration, now time.Time) (ahead, all float64) {
	for b := range s.live {
		factor := s.learnt.of(b.queue)
		objective := s.objective(b)
		for _, o := range b.rounds {
			if !o.begun && !o.due.IsZero() {
				continue
			}
			work := 0.0
			for _, st := range o.steps {
				if !st.rule.Lasting {
					work += float64(st.left) * float64(st.rule.Need.CPU) * float64(st.rule.Estimate) * factor
				}
			}
			if work == 0 {
				continue
			}
			all += work
			if left := b.at.Add(objective).Sub(now) - s.chain(o, false); left >= 0 && left <= slack {
				ahead += work
			}
		}
	}
	return ahead, all
}

// Cancel ends a batch, also one that has not arrived yet. It returns false when
// there is none; the change must be written before the caller is answered.
func (s *Sched) Cancel(id glade.BatchID, now time.Time) (known bool, gen int64) {
	b, ok := s.batches[id]
	if !ok {
		b = newBatch(id, "", glade.Batch{}, now)
		b.state, b.overAt = glade.BatchCancelled, now
		s.batches[id] = b
		s.change(b)
		return false, b.gen
	}
	if !b.state.Over() {
		s.finish(b, glade.BatchCancelled, now)
	}
	return b.accepted || b.fresh, b.gen
}
