package quota

import (
	"maps"
	"slices"
	"time"

	glade "indigoglade"
)

// Config configures the state of one service leader for one tenant.
type Config struct {
	Service glade.Service
	// Epoch is that of the leader's term.
	Epoch int64
}

// Rule is what a version of the contract says about the tenant.
type Rule struct {
	Version int64
	// Limit is the tenant's limit; a resource of 0 is not limited.
	Limit glade.Need
	// Listed is false if the contract has no such tenant. Work that was accepted before
	// keeps the limit of the row then.
	Listed bool
}

// Demand is what the service uses and wants of the limit.
type Demand struct {
	// Used is what may run, Wanted that and what could start now if there were no limit.
	Used, Wanted glade.Need
	// Lasting is the part of Used that may never end.
	Lasting glade.Need
	// Largest is what the largest task or gang of the accepted work needs beside that.
	Largest glade.Need
	// Waited is how long the oldest step has waited for the limit alone.
	Waited time.Duration
}

// Holder is the state of one service leader for one tenant.
type Holder struct {
	service glade.Service
	epoch   int64
	rule    Rule
	// row is the newest version of the row that was seen, at version; isKnown is false
	// until one was seen, or its absence.
	row     Row
	version int64
	isKnown bool
	// pending holds the shares in writes on the condition of version that may still take
	// effect.
	pending []glade.Need
	// inFlight is set while a read or a write has no result yet, and asking while other
	// leaders have not all answered. mustRead is set when the row is known to be newer.
	inFlight, asking, mustRead bool
	// mustRefresh is set while a transaction waits after conflicts.
	mustRefresh bool
	// failures counts the calls to the store in a row that failed.
	failures int
	// conflicts counts the transactions in a row that found a newer row.
	conflicts int
	// isCut is set when the last call to the store failed, and nothing is given up or asked
	// for before cutUntil. calledAt is when the call in flight began.
	isCut              bool
	cutUntil, calledAt time.Time
	// retryAt is when the store may be called again after a failure, overReadAt when the
	// row is read again while the sum of the shares is above the limit, and lowerAt when
	// the share may be lowered again.
	retryAt, overReadAt, lowerAt time.Time
	demand                       Demand
	// waitBegan is when the wait of the oldest step began, zero if none waits. It is kept
	// for the whole wait, so that both sides of a request compare the same numbers.
	waitBegan time.Time
	// excessSince is when the share began to exceed the need by much, zero if it does not.
	excessSince time.Time
	// overSince is when the sum of the shares was first seen above the limit, zero if it
	// is not, and reduced the share that the service keeps of the limit that fell, valid
	// while hasReduced is set.
	overSince  time.Time
	reduced    glade.Need
	hasReduced bool
	// open has 1 in each resource that was not limited since the share was last written.
	open    glade.Need
	pledges map[glade.Service]pledge
	asks    asks
	// ahead is what services that go first lack of their minimum: it is left to them.
	ahead map[glade.Service]othersNeed
	// others is what other services said they need, as of the last answers.
	others map[glade.Service]othersNeed
}

// pledge is what this holder gives up for another service as soon as its runs end.
type pledge struct {
	need  glade.Need
	until time.Time
	// given is what need was at first. The service takes none of these resources back
	// before takeUntil: otherwise it could be faster than the one that asked, each time.
	given     glade.Need
	takeUntil time.Time
}

type othersNeed struct {
	need  glade.Need
	until time.Time
}

// New returns the state of a leader that has seen neither the contract nor the row.
func New(config Config) *Holder {
	return &Holder{
		service: config.Service, epoch: config.Epoch,
		pledges: make(map[glade.Service]pledge), others: make(map[glade.Service]othersNeed), ahead: make(map[glade.Service]othersNeed),
	}
}

// SetRule applies what a version of the contract says about the tenant.
func (h *Holder) SetRule(rule Rule, now time.Time) {
	if rule.Version < h.rule.Version {
		return
	}
	h.rule = rule
	h.noteOver(now)
}

// Observe applies a version of the row that was read, or that another leader has seen.
// Version 0 means that the row is absent.
func (h *Holder) Observe(row Row, version int64, now time.Time) {
	if h.isKnown && version <= h.version {
		return
	}
	if h.version > 0 && row.Version > h.row.Version {
		h.noteFall(row)
	}
	h.row, h.version, h.isKnown, h.mustRead = row, version, true, false
	h.pending = nil // their condition can't hold any more
	h.noteOver(now)
}

// noteFall records what is left of the share when another leader has written a lower limit.
func (h *Holder) noteFall(next Row) {
	kept := reduce(h.row.Shares[h.service].Need, h.row.Limit, next.Limit)
	if h.hasReduced {
		kept = atMost(kept, h.reduced)
	}
	h.reduced, h.hasReduced = kept, true
}

// reduce returns what is left of a share when the limit falls. A resource that was not
// limited before leaves nothing: what runs has to be recorded first.
func reduce(share, before, after glade.Need) glade.Need {
	x, old, now := toVector(share), toVector(before), toVector(after)
	for i := range x {
		switch {
		case now[i] == 0 || (old[i] > 0 && now[i] >= old[i]):
			x[i] = Unlimited
		case old[i] == 0:
			x[i] = 0
		default:
			x[i] = int(float64(x[i]) * float64(now[i]) / float64(old[i]))
		}
	}
	return x.need()
}

// noteOver notes since when the sum of the shares exceeds the limit.
func (h *Holder) noteOver(now time.Time) {
	h.noteOpen()
	switch {
	case !h.isOver():
		h.overSince, h.hasReduced = time.Time{}, false
	case h.overSince.IsZero():
		h.overSince, h.overReadAt = now, now.Add(overPause)
	}
}

// noteOpen notes the resources that are not limited.
func (h *Holder) noteOpen() {
	if !h.isKnown {
		return
	}
	_, limit := h.limit()
	h.open = combine(h.open, atMost(limit, h.row.Limit), func(open, l int) int {
		if l == 0 {
			return 1
		}
		return open
	})
}

// isBehind reports whether the row has a higher limit than this leader's contract.
func (h *Holder) isBehind() bool {
	if h.version == 0 || h.row.Version >= h.rule.Version || !h.rule.Listed {
		return false
	}
	return !isZero(combine(h.row.Limit, h.rule.Limit, func(old, now int) int {
		if now > 0 && (old == 0 || now < old) {
			return 1
		}
		return 0
	}))
}

// SetDemand sets what the service uses and wants.
func (h *Holder) SetDemand(demand Demand, now time.Time) {
	h.demand = demand
	switch began := now.Add(-demand.Waited); {
	case demand.Waited <= 0:
		h.waitBegan = time.Time{}
	case h.waitBegan.IsZero() || began.Sub(h.waitBegan) > waitJitter:
		h.waitBegan = began
	}
}

// limit returns the limit that this leader has to keep and the contract version that set
// it: that of its own contract, or that of the row if a leader with a newer contract has
// written it or the tenant has left the contract.
func (h *Holder) limit() (int64, glade.Need) {
	if h.isKnown && h.version > 0 && (h.row.Version > h.rule.Version || !h.rule.Listed) {
		return h.row.Version, h.row.Limit
	}
	if !h.rule.Listed {
		return h.rule.Version, glade.Need{}
	}
	return h.rule.Version, h.rule.Limit
}

// Row returns the newest row that was seen, and its version in the store.
func (h *Holder) Row() (Row, int64) { return h.row, h.version }

// Limit returns the limit that applies; a resource of 0 is not limited.
func (h *Holder) Limit() glade.Need {
	_, limit := h.limit()
	return limit
}

// canTrade reports whether a share may be moved now: not while the store fails, because a
// holder could then neither use what it gives up nor pass it on.
func (h *Holder) canTrade(now time.Time) bool {
	return !now.Before(h.cutUntil) && (!h.inFlight || now.Sub(h.calledAt) < slowCall)
}

// IsClaimed reports whether the row names this leader as the owner of its entry.
func (h *Holder) IsClaimed() bool {
	share, ok := h.row.Shares[h.service]
	return ok && share.Epoch == h.epoch
}

// IsReplaced reports whether a newer leader of the service has claimed the entry.
func (h *Holder) IsReplaced() bool { return h.row.Shares[h.service].Epoch > h.epoch }

// held returns the share in the newest row, 0 until it is claimed.
func (h *Holder) held() glade.Need {
	if !h.IsClaimed() {
		return glade.Need{}
	}
	return h.row.Shares[h.service].Need
}

// isOver reports whether the sum of the shares exceeds the limit.
func (h *Holder) isOver() bool {
	_, limit := h.limit()
	return !limitedOnly(h.row.sum(), limit).Fits(limit)
}

// Share returns what the service may run now.
func (h *Holder) Share() glade.Need {
	_, limit := h.limit()
	switch {
	case !h.isKnown && !h.rule.Listed:
		return glade.Need{}
	case isZero(limit):
		return openUnlimited(glade.Need{}, limit)
	case !h.isKnown || h.IsReplaced():
		return openUnlimited(glade.Need{}, limit)
	}
	share := h.held()
	for _, p := range h.pending {
		share = atMost(share, p)
	}
	switch {
	case h.isBehind() && h.isCut:
		share = atMost(share, reduce(share, h.row.Limit, limit))
	case h.isBehind() || h.isOver():
		share = glade.Need{}
	}
	return openUnlimited(lack(share, h.pledged()), limit)
}

// Unclaimed returns the share and what is reachable before anything of the tenant's row is
// known.
func Unclaimed(limit glade.Need) (share, reachable glade.Need) {
	return openUnlimited(glade.Need{}, limit), openUnlimited(limit, limit)
}

// Reachable returns what the service could run soon: its share, the unallocated part and
// what others don't need. What is not known about others counts as not needed, because a
// batch that is refused for it would never ask for it.
func (h *Holder) Reachable(now time.Time) glade.Need {
	_, limit := h.limit()
	rest := limit
	for service, other := range h.others {
		if service != h.service && now.Before(other.until) {
			rest = lack(rest, atMost(other.need, h.row.Shares[service].Need))
		}
	}
	return openUnlimited(atMost(atLeast(rest, h.held()), limit), limit)
}

// free returns the unallocated part of the limit.
func (h *Holder) free() glade.Need {
	_, limit := h.limit()
	return lack(limit, h.row.sum())
}

// pledged returns the sum of what is given up for others.
func (h *Holder) pledged() glade.Need {
	var sum glade.Need
	for _, p := range h.pledges {
		sum = sum.Plus(p.need)
	}
	return sum
}

// expire ends what is kept for services that no longer ask.
func (h *Holder) expire(now time.Time) {
	maps.DeleteFunc(h.pledges, func(_ glade.Service, p pledge) bool { return !now.Before(p.until) })
	maps.DeleteFunc(h.ahead, func(_ glade.Service, o othersNeed) bool { return !now.Before(o.until) })
}

// nextExpiry returns when the next thing that is kept for another service ends, zero if
// there is none.
func (h *Holder) nextExpiry(now time.Time) time.Time {
	var next time.Time
	note := func(end time.Time) {
		if end.After(now) && (next.IsZero() || end.Before(next)) {
			next = end
		}
	}
	for _, p := range h.pledges {
		note(p.takeUntil)
		note(p.until)
	}
	for _, other := range h.ahead {
		note(other.until)
	}
	for _, other := range h.others {
		note(other.until) // more is reachable then
	}
	return next
}

// settle takes what was given up off the pledges, those of the smaller names first.
func (h *Holder) settle(given glade.Need) {
	for _, service := range slices.Sorted(maps.Keys(h.pledges)) {
		p := h.pledges[service]
		part := atMost(p.need, given)
		given = given.Minus(part)
		p.need = p.need.Minus(part)
		h.pledges[service] = p
	}
}
