package quota

import (
	"fmt"
	"time"

	"github.com/cespare/xxhash/v2"

	glade "indigoglade"
)

// Times of the decisions.
const (
	// waitJitter is by how much the beginning of one wait may vary between two demands.
	waitJitter = 100 * time.Millisecond
	// idleTime is how long a share must exceed the need before the rest is released:
	// longer than the pause between two bursts of a service that takes turns with others.
	idleTime = 15 * time.Second
	// retryPause is the pause after a call to the store that failed. It doubles up to
	// maxRetryPause while calls fail.
	retryPause        = 150 * time.Millisecond
	maxRetryPause     = 1200 * time.Millisecond
	maxRetryDoublings = 3
	// conflictPause is about the time of a transaction. Services that conflict again choose
	// among as many such pauses as the row has entries, or more after further conflicts.
	conflictPause        = 10 * time.Millisecond
	maxConflictDoublings = 7
	// cutTime is how long a share is not moved after a call that failed, and slowCall the
	// time after which a call in flight counts as failed for that.
	cutTime  = time.Second
	slowCall = 300 * time.Millisecond
	// overPause is the pause between two reads while the sum of the shares is above the
	// limit. It grows to maxOverPause, an overPart of the time, because long-running tasks
	// may keep the sum there. lowerPause is the least time between two writes that follow the
	// ends of runs. overPatience is how long every leader has for lowering its own share in
	// proportion, before one that can lower its share further does.
	overPause    = 200 * time.Millisecond
	maxOverPause = 2 * time.Second
	overPart     = 4
	lowerPause   = 50 * time.Millisecond
	overPatience = 500 * time.Millisecond
)

// Parts of a limit. Shares follow the need in steps, so that small changes write nothing.
const (
	// headroomPart is the part of the limit that a raise takes beyond the need, needPart
	// the part of the need and freePart that of what is unallocated that it takes at most.
	headroomPart = 32
	needPart     = 4
	freePart     = 4
	// slackPart is the part of the limit by which a share may exceed the need.
	slackPart = 8
)

// ActionKind is what a leader has to do next.
type ActionKind int

const (
	// ActionNone means that nothing is to be done before Action.At.
	ActionNone ActionKind = iota
	// ActionRead asks for the row, see Observe and Failed.
	ActionRead
	// ActionWrite asks for a transaction, see Written, Conflicted, Failed and Uncertain.
	ActionWrite
	// ActionAsk asks other leaders to yield, see Answered and AskEnded.
	ActionAsk
)

// Action is what a leader has to do next.
type Action struct {
	Kind ActionKind
	// Write is the transaction of ActionWrite.
	Write Write
	// Requests are those of ActionAsk, by the service to ask.
	Requests map[glade.Service]Request
	// At is when Next is to be called again at the latest, zero if only events matter.
	At time.Time
}

// Write is a transaction that replaces the row on the condition of its version.
type Write struct {
	Row Row
	// Version is that of the row which the transaction replaces; 0 means that it is absent.
	Version int64
	// Claims is set if the transaction claims the entry.
	Claims bool
	// From and To are the share before and after.
	From, To glade.Need
}

// Next returns what to do next, and takes it as begun.
func (h *Holder) Next(now time.Time) Action {
	h.expire(now)
	h.trackExcess(now)
	action := h.decide(now)
	if action.Kind == ActionRead || action.Kind == ActionWrite {
		h.calledAt = now
	}
	if end := h.nextExpiry(now); !end.IsZero() && (action.At.IsZero() || end.Before(action.At)) {
		action.At = end
	}
	return action
}

func (h *Holder) decide(now time.Time) Action {
	_, limit := h.limit()
	switch {
	case h.inFlight || h.IsReplaced():
		return Action{}
	case now.Before(h.retryAt):
		return Action{At: h.retryAt}
	case !h.isKnown || h.mustRead || h.mustRefresh:
		if !h.isKnown && (h.isIdle() || (h.rule.Listed && isZero(limit))) {
			return Action{}
		}
		h.inFlight, h.mustRefresh = true, false
		return Action{Kind: ActionRead}
	case isZero(limit):
		return Action{}
	}
	target := h.target(now)
	entry, exists := h.row.Shares[h.service]
	share := limitedOnly(entry.Need, limit)
	active := h.IsClaimed() || !h.isIdle()
	claim := (!exists || entry.Epoch != h.epoch) && (target != share || active)
	switch {
	case claim || len(h.pending) > 0 || (h.isBehind() && active):
		return h.beginWrite(target, claim)
	case target != share:
		if target.Fits(share) {
			if now.Before(h.lowerAt) {
				return Action{At: h.lowerAt}
			}
			h.lowerAt = now.Add(lowerPause)
		}
		return h.beginWrite(target, claim)
	case h.isOver():
		return h.nextOver(now)
	}
	return h.nextAsk(now)
}

// nextOver decides what to do while the sum of the shares is above the limit and this
// service has lowered its own: it reads the row, and tells the others, because the next
// leader of a service without work has not seen the row.
func (h *Holder) nextOver(now time.Time) Action {
	switch {
	case now.Before(h.overSince.Add(overPatience)) && h.isIdle():
		return Action{At: h.overSince.Add(overPatience)}
	case h.isIdle():
		return Action{}
	case now.Before(h.overReadAt):
		return Action{At: h.overReadAt}
	}
	pause := min(max(overPause, now.Sub(h.overSince)/overPart), maxOverPause)
	if !h.asking && now.Sub(h.overSince) >= overPatience && !now.Before(h.asks.nextAt) {
		_, limit := h.limit()
		h.asks.nextAt = now.Add(pause)
		if requests := h.requests(lack(limitedOnly(h.row.sum(), limit), limit), now); len(requests) > 0 {
			h.asking = true
			return Action{Kind: ActionAsk, Requests: requests}
		}
	}
	h.overReadAt = now.Add(pause)
	h.inFlight = true
	return Action{Kind: ActionRead}
}

// isIdle reports whether the service neither uses nor wants anything.
func (h *Holder) isIdle() bool {
	return isZero(h.demand.Used) && isZero(h.demand.Wanted) && isZero(h.demand.Largest)
}

// need returns what the service needs now: what it uses and wants, and the minimum for
// its largest task or gang, so that work continues while the store is down.
func (h *Holder) need() glade.Need {
	_, limit := h.limit()
	need := atLeast(atLeast(h.demand.Wanted, h.minimum()), h.demand.Used)
	return limitedOnly(atLeast(atMost(need, limit), h.demand.Used), limit)
}

// minimum returns what the largest task or gang needs beside the tasks that may never end, as far
// as the limit allows: it would wait for ever in a share that has only room for it alone.
func (h *Holder) minimum() glade.Need {
	_, limit := h.limit()
	return limitedOnly(atMost(h.demand.Lasting.Plus(h.demand.Largest), limit), limit)
}

// largest returns what the largest task or gang needs, as far as the limit allows.
func (h *Holder) largest() glade.Need {
	_, limit := h.limit()
	return limitedOnly(atMost(h.demand.Largest, limit), limit)
}

// trackExcess notes since when the share exceeds the need by much.
func (h *Holder) trackExcess(now time.Time) {
	_, limit := h.limit()
	slack := combine(limit, limit, func(l, _ int) int { return l / slackPart })
	if h.isIdle() {
		slack = glade.Need{}
	}
	switch excess := lack(h.held(), h.need().Plus(slack)); {
	case isZero(limitedOnly(excess, limit)):
		h.excessSince = time.Time{}
	case h.excessSince.IsZero():
		h.excessSince = now
	}
}

// target returns the share that the service should have in the row.
func (h *Holder) target(now time.Time) glade.Need {
	_, limit := h.limit()
	share, need := limitedOnly(h.row.Shares[h.service].Need, limit), h.need()
	target := share
	switch pledged := h.pledged(); {
	case h.isBehind():
		target = atMost(share, reduce(share, h.row.Limit, limit))
	case h.isOver():
		excess := lack(limitedOnly(h.row.sum(), limit), limit)
		if h.hasReduced {
			target = atMost(share, h.reduced)
		}
		if target == share && now.Sub(h.overSince) >= overPatience {
			target = lack(share, excess)
		}
	case !isZero(pledged):
		target = lack(share, pledged)
	case !h.excessSince.IsZero() && now.Sub(h.excessSince) >= idleTime:
		target = atMost(share, h.withHeadroom(need))
	default:
		target = atLeast(share, h.raised(share, need, now))
	}
	return atLeast(target, h.occupied(share))
}

// occupied returns the part of the share that can't be given up because of what may run.
// More than the share runs only where there was no limit before; it is recorded then. A
// new leader also counts runs that its predecessor may have started. They are within the
// entry, and recording more would stop the tenant everywhere.
func (h *Holder) occupied(share glade.Need) glade.Need {
	_, limit := h.limit()
	s, used, l, open := toVector(share), toVector(limitedOnly(h.demand.Used, limit)), toVector(limit), toVector(h.open)
	for i := range s {
		if open[i] > 0 {
			s[i] = max(s[i], l[i])
		}
		s[i] = min(s[i], used[i])
	}
	return s.need()
}

// withHeadroom returns a need and a reserve, so that not every small change is written.
func (h *Holder) withHeadroom(need glade.Need) glade.Need {
	if isZero(need) {
		return need
	}
	_, limit := h.limit()
	return combine(need, limit, func(n, l int) int { return min(n+min(l/headroomPart, n/needPart), max(l, n)) })
}

// freeFor returns the unallocated part less what services that go first lack.
func (h *Holder) freeFor() glade.Need {
	free := h.free()
	for _, other := range h.ahead {
		free = lack(free, other.need)
	}
	return free
}

// raised returns the share with what it lacks, as far as something is unallocated.
func (h *Holder) raised(share, need glade.Need, now time.Time) glade.Need {
	s, n, free, reserve := toVector(share), toVector(need), toVector(h.freeFor()), toVector(h.withHeadroom(need).Minus(need))
	var given glade.Need
	for _, p := range h.pledges {
		if now.Before(p.takeUntil) {
			given = given.Plus(p.given)
		}
	}
	blocked := toVector(given)
	for i := range s {
		if missing := n[i] - s[i]; missing > 0 && blocked[i] == 0 {
			s[i] += min(missing+min(reserve[i], free[i]/freePart), free[i])
		}
	}
	return s.need()
}

func (h *Holder) beginWrite(target glade.Need, claim bool) Action {
	version, limit := h.limit()
	from := h.row.Shares[h.service].Need
	row := h.row.with(h.service, Share{Epoch: h.epoch, Need: target})
	row.Version, row.Limit = version, limit
	h.inFlight = true
	h.pending = append(h.pending, target)
	return Action{Kind: ActionWrite, Write: Write{Row: row, Version: h.version, Claims: claim, From: from, To: target}}
}

// Written reports that a transaction has taken effect and gave the row a version.
func (h *Holder) Written(w Write, version int64, now time.Time) {
	h.inFlight, h.isCut, h.conflicts, h.failures = false, false, 0, 0
	h.settle(lack(w.From, w.To))
	h.open = glade.Need{}
	h.Observe(w.Row, version, now)
}

// Conflicted reports that a transaction has not taken effect because the row has another
// version. The row is read next unless it is observed before. From the second conflict on
// the next transaction waits: after a change of the contract many services write at once.
// The row is read after the wait, because it has probably changed again.
func (h *Holder) Conflicted(w Write, now time.Time) {
	h.inFlight, h.isCut, h.failures = false, false, 0
	h.mustRead = h.mustRead || h.version == w.Version
	if h.conflicts > 0 {
		slots := max(uint64(1)<<min(h.conflicts, maxConflictDoublings), uint64(len(h.row.Shares)))
		hash := xxhash.Sum64String(fmt.Sprint(h.service, h.conflicts))
		if pause := time.Duration(hash%slots) * conflictPause; pause > 0 {
			h.retryAt, h.mustRefresh = now.Add(pause), true
		}
	}
	h.conflicts++
}

// Failed reports that a transaction certainly has no effect. What was to be given up by it
// is free again.
func (h *Holder) Failed(w Write, now time.Time) {
	h.ReadFailed(now)
	clear(h.pledges)
	if h.version == w.Version && len(h.pending) > 0 {
		h.pending = h.pending[:len(h.pending)-1]
	}
}

// ReadFailed reports that the row could not be read.
func (h *Holder) ReadFailed(now time.Time) {
	h.inFlight, h.isCut = false, true
	h.retryAt, h.cutUntil = now.Add(min(retryPause<<h.failures, maxRetryPause)), now.Add(cutTime)
	h.failures = min(h.failures+1, maxRetryDoublings)
}

// ReadDone reports the row that was read.
func (h *Holder) ReadDone(row Row, version int64, now time.Time) {
	h.inFlight, h.mustRead, h.isCut, h.failures = false, false, false, 0
	h.Observe(row, version, now)
}

// Uncertain reports that a transaction may have taken effect, or may do so later. The
// next one, on the same condition, settles it.
func (h *Holder) Uncertain(now time.Time) { h.ReadFailed(now) }
