package lead

import "time"

// Times after which a leader suspects that the store refuses this host, and asks others.
const (
	// suspectAfter is the age of the oldest write without success from which on a leader
	// probes the store. A refusal that ends sooner costs no term.
	suspectAfter = 400 * time.Millisecond
	// silentAfter is that age if probes get no answer either, in place of an error: the link
	// of this host may be slow, and the write may still succeed.
	silentAfter = time.Second
	// reserveAfter is that age before a host is asked to lead that the store has refused a moment
	// ago. Two hosts that are refused in turn for less don't pass a service to each other; others
	// would claim it after missed heartbeats and heldClaimWait.
	reserveAfter = 1700 * time.Millisecond
	// After a round in which no host could take over, the next one follows after
	// minAskPause, and then after doubled pauses up to maxAskPause: the store may be down
	// for all.
	minAskPause = 300 * time.Millisecond
	maxAskPause = 2 * time.Second
	// quickRounds bounds the calls to a store that is down for all.
	quickRounds = 4
	// askMemory is how long after a round the pauses stay long although writes succeed: each
	// of them may take long because the store is slow for all.
	askMemory = 10 * time.Second
)

// refusal decides from the outcomes of a leader's writes when to check whether the store
// refuses this host. The zero value is that of a leader whose last write succeeded.
type refusal struct {
	// since is when the oldest write without success was sent; zero if there is none.
	since time.Time
	// nextCheck is the earliest time of the next check.
	nextCheck time.Time
	pause     time.Duration
	// rounds counts the rounds in which hosts were asked, the last one at askedAt.
	rounds  int
	askedAt time.Time
}

// recordSent records that a write is sent, or that one must be repeated.
func (r *refusal) recordSent(now time.Time) {
	if r.since.IsZero() {
		r.since = now
	}
}

// recordSuccess records that a write was confirmed.
func (r *refusal) recordSuccess() { r.since = time.Time{} }

// isDue reports whether the store must be probed now.
func (r *refusal) isDue(now time.Time) bool {
	return !r.since.IsZero() && now.Sub(r.since) >= suspectAfter && !now.Before(r.nextCheck)
}

// mayAsk reports whether other hosts may be asked to lead after a probe has failed. silent
// means that the probe got no answer.
func (r *refusal) mayAsk(now time.Time, silent bool) bool {
	return r.isDue(now) && (!silent || now.Sub(r.since) >= silentAfter)
}

// recordServed records that the store answered a probe: it doesn't refuse this host.
func (r *refusal) recordServed(now time.Time) {
	r.pause, r.nextCheck = 0, now.Add(suspectAfter)
}

// recordAsked records a round in which no host took over. remaining is the number of hosts
// that were not asked yet: the first quickRounds rounds follow each other without a pause
// while there are any.
func (r *refusal) recordAsked(now time.Time, remaining int) {
	if now.Sub(r.askedAt) > askMemory {
		r.pause, r.rounds = 0, 0
	}
	r.askedAt = now
	r.rounds++
	if r.rounds < quickRounds && remaining > 0 {
		return
	}
	r.pause = min(max(2*r.pause, minAskPause), maxAskPause)
	r.nextCheck = now.Add(r.pause)
}

// recordReserve records after a round that only a host that the store has refused a moment ago
// could lead: the next round is due when it may be asked.
func (r *refusal) recordReserve(now time.Time) {
	if due := r.since.Add(reserveAfter); !r.since.IsZero() && now.Before(due) && due.Before(r.nextCheck) {
		r.nextCheck = due
	}
}

// isAlone reports whether the hosts that were asked since the writes fail can't lead either, so
// that no hand-over is near.
func (r *refusal) isAlone() bool { return r.askedAt.After(r.since) && r.nextCheck.After(r.askedAt) }

// Times for which a host that the store has refused claims nothing.
const (
	minClaimHold = 5 * time.Second
	maxClaimHold = 40 * time.Second
	// claimHoldMemory is how long after a refusal another one doubles the time.
	claimHoldMemory = time.Minute
)

// claimHold keeps a host that the store has refused from leading again soon: two hosts that
// are refused in turn would otherwise pass a service to each other.
type claimHold struct {
	until  time.Time
	length time.Duration
}

// extend records that this host hands a service over.
func (h *claimHold) extend(now time.Time) {
	switch {
	case h.isActive(now): // several services are handed over at once
	case h.length == 0 || now.Sub(h.until) >= claimHoldMemory:
		h.length = minClaimHold
	default:
		h.length = min(2*h.length, maxClaimHold)
	}
	h.until = now.Add(h.length)
}

// isActive reports whether this host should leave services to others.
func (h *claimHold) isActive(now time.Time) bool { return now.Before(h.until) }
