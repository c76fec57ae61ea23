package sched

import (
	"time"

	glade "indigoglade"
)

// pace limits the bytes of starts to what the leader's link carries beside heartbeats,
// rows and answers. It is made for a service whose peak needs more than the link of its
// leader: without it, starts fill the link, heartbeats and answers wait behind them,
// leases end, and the runs that are given up are started again, which costs still more.
// A start that waits here is not placed yet, so that the most urgent one goes next.
type pace struct {
	limit  float64 // highest rate; 0 means no limit
	rate   float64 // present rate, in bytes per second
	tokens float64 // bytes that may be sent now, negative after a large start
	at     time.Time
	// periodStart is when the present period of adjustPeriod began, answers the number of
	// starts that were answered or given up since, and slow of those that took longer than
	// slowAnswer.
	periodStart   time.Time
	answers, slow int
	// overloadedAt is when most starts of a period were last slow.
	overloadedAt time.Time
	// quickAt is when a start was last answered quickly.
	quickAt time.Time
	// workPerByte is the average work of a task for each byte of its start, in millicores
	// times milliseconds; 0 before the first batch.
	workPerByte float64
	loggedAt    time.Time
}

const (
	// paceBurst is the time whose bytes may be sent at once.
	paceBurst = 40 * time.Millisecond
	// startOverhead is the size of a start without the text of its batch, in bytes:
	// headers and the other fields.
	startOverhead = 400
	// slowAnswer is the time above which the answer to a start is slow. A runner answers
	// within some milliseconds. If most answers are slow, the leader's link or processor is
	// overloaded; if some are, their runners may be.
	slowAnswer = 150 * time.Millisecond
	// adjustPeriod is the least time between two changes of the rate.
	adjustPeriod = 200 * time.Millisecond
	// overloadTime is how long a leader counts as overloaded after most answers were slow.
	overloadTime = time.Second
	// slowDownFactor and speedUpShare change the rate after slow and after quick answers;
	// the share is of the limit. minRateShare of it is always left.
	slowDownFactor = 0.8
	speedUpShare   = 0.04
	minRateShare   = 0.1
)

// setLimit sets the highest rate.
func (p *pace) setLimit(bytesPerSecond float64) {
	if p.limit != bytesPerSecond {
		p.limit, p.rate = bytesPerSecond, bytesPerSecond
	}
}

// observe adjusts the rate to the time after which a start was answered or given up.
func (p *pace) observe(took time.Duration, now time.Time) {
	p.answers++
	if took > slowAnswer {
		p.slow++
	} else {
		p.quickAt = now
	}
	if now.Sub(p.periodStart) < adjustPeriod {
		return
	}
	if 2*p.slow > p.answers {
		p.overloadedAt = now
		p.rate = max(p.rate*slowDownFactor, minRateShare*p.limit)
	} else {
		p.rate = min(p.rate+speedUpShare*p.limit, p.limit)
	}
	p.periodStart, p.answers, p.slow = now, 0, 0
}

// isOverloaded reports whether the leader's link or processor is overloaded. Work that
// can wait must then cost less, not more.
func (p *pace) isOverloaded(now time.Time) bool { return now.Sub(p.overloadedAt) < overloadTime }

// startBytes returns about how many bytes a start of a batch's task takes.
func startBytes(work *glade.Batch) float64 { return float64(len(work.Spec) + startOverhead) }

func (p *pace) refill(now time.Time) {
	p.tokens = min(p.tokens+p.rate*now.Sub(p.at).Seconds(), p.rate*paceBurst.Seconds())
	p.at = now
}

// isOpen reports whether a start may be sent now.
func (p *pace) isOpen() bool { return p.rate == 0 || p.tokens > 0 }

// quickTTL is how long a quick answer shows that slow ones are due to their runners.
const quickTTL = 500 * time.Millisecond

// isCongested reports whether the leader is overloaded and no runner answers quickly. Answers that get
// lost look like overload, until some others are quick.
func (p *pace) isCongested(now time.Time) bool {
	return p.isOverloaded(now) && now.Sub(p.quickAt) > quickTTL
}

func (p *pace) take(bytes float64) {
	if p.rate > 0 {
		p.tokens -= bytes
	}
}

// opensIn returns how long it takes until a start may be sent.
func (p *pace) opensIn() time.Duration {
	if p.isOpen() {
		return 0
	}
	return time.Duration(-p.tokens/p.rate*float64(time.Second)) + time.Millisecond
}

// workWeight is the weight of one batch in workPerByte.
const workWeight = 0.05

// recordArrival averages the work of a batch over the bytes of its starts.
func (p *pace) recordArrival(work, bytes float64) {
	if bytes == 0 {
		return
	}
	if p.workPerByte == 0 {
		p.workPerByte = work / bytes
	}
	p.workPerByte += workWeight * (work/bytes - p.workPerByte)
}

// bound limits a load in millicores to what can be started now: more hosts than that
// would stay idle, and each costs the leader heartbeats.
func (p *pace) bound(load int) int {
	if p.rate == 0 || p.workPerByte == 0 {
		return load
	}
	return min(load, int(p.rate*p.workPerByte/float64(time.Second.Milliseconds())))
}

// drainTime returns how long starts of the given size take.
func (p *pace) drainTime(bytes float64) time.Duration {
	if p.rate == 0 {
		return 0
	}
	return time.Duration(bytes / p.rate * float64(time.Second))
}

// paceLogPeriod is the least time between two events about starts that wait.
const paceLogPeriod = time.Second

// logPace records that starts wait for the link.
func (s *Scheduler) logPace(now time.Time) {
	if now.Sub(s.pace.loggedAt) < paceLogPeriod {
		return
	}
	s.pace.loggedAt = now
	waiting, longRunning := 0, 0
	for st := range s.ready {
		waiting += st.pending
		if st.rule.LongRunning {
			longRunning += st.pending
		}
	}
	s.addEvent("link", "rate", int(s.pace.rate), "limit", int(s.pace.limit), "waiting", waiting, "longRunning", longRunning,
		"usable", len(s.usable(now)), "runners", len(s.ordered))
}

// SetStartRate limits the bytes of starts per second; 0 means no limit.
func (s *Scheduler) SetStartRate(bytesPerSecond float64) { s.pace.setLimit(bytesPerSecond) }
