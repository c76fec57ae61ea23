package quota

import (
	"slices"
	"time"

	glade "indigoglade"
)

// Times of requests between leaders.
const (
	// askPause is the first pause between two rounds of requests. It doubles up to
	// maxAskPause while nobody gives anything and the service has its part.
	askPause    = 250 * time.Millisecond
	maxAskPause = 2 * time.Second
	// pledgeTime is how long a holder keeps what it gives up free for a service that does
	// not ask again.
	pledgeTime = time.Second
	// takeTime is how long the one that asked has for taking what was given up: some calls
	// to the store, and its next request.
	takeTime = 400 * time.Millisecond
	// othersTime is how long the answer of another service counts, and how long one that
	// did not answer is left out of the division.
	othersTime = 2 * time.Second
	// smallItemPatience is how long an item of at most half of the limit waits before it
	// goes before larger ones, whatever their age.
	smallItemPatience = 1500 * time.Millisecond
)

// maxHolders is how many services are asked in one round: a tenant at its limit in all of
// some hundred services must not make each of them ask all others.
const maxHolders = 16

// Request asks the leader of another service to yield a part of its share.
type Request struct {
	From glade.Service `json:"from"`
	// Missing is the holder's part of what the sender lacks, counted twice because not all
	// have something: the holder gives of it what it doesn't need.
	Missing glade.Need `json:"missing"`
	// Split is the holder's part of what the sender lacks of an equal split.
	Split glade.Need `json:"split"`
	// Least is the holder's part of what the sender lacks for its largest task or gang beside
	// its tasks that may never end.
	Least glade.Need `json:"least"`
	// Largest is what that task or gang needs, and Lacks all that the sender lacks for it.
	Largest glade.Need `json:"largest"`
	Lacks   glade.Need `json:"lacks"`
	// WaitBegan is when the sender's wait began, in Unix milliseconds of its own clock, and
	// Waited its length in milliseconds. Both are 0 if it does not wait.
	WaitBegan int64 `json:"since,omitempty"`
	Waited    int64 `json:"waited,omitempty"`
	// Row and RowVersion are the newest row that the sender has seen.
	Row        Row   `json:"row"`
	RowVersion int64 `json:"rowVersion"`
}

// Answer is the holder's answer to a request.
type Answer struct {
	// Given is what the holder gives up, at once or as soon as its runs end.
	Given glade.Need `json:"given"`
	// Need is what the holder needs itself, and Lacks what it lacks for its largest task or
	// gang if it goes first.
	Need  glade.Need `json:"need"`
	Lacks glade.Need `json:"lacks"`
	// Row and RowVersion are the newest row that the holder has seen.
	Row        Row   `json:"row"`
	RowVersion int64 `json:"rowVersion"`
}

// asks is the state of a leader's requests to others.
type asks struct {
	// rounds counts the rounds of requests since the service last had what it needs.
	rounds int
	// lastAt is when the last round began, nextAt when the next one may, and pause the
	// time between them.
	lastAt, nextAt time.Time
	pause          time.Duration
	// need is that of the last round, given whether one of its answers gave something.
	need  glade.Need
	given bool
	// last is the last service that was asked, where not all are asked in one round.
	last glade.Service
	// silentUntil is until when services that did not answer are left out.
	silentUntil map[glade.Service]time.Time
}

// nextAsk decides which leaders to ask for what the service lacks.
func (h *Holder) nextAsk(now time.Time) Action {
	_, limit := h.limit()
	share, need := h.held(), h.need()
	missing := limitedOnly(lack(need, share.Plus(h.freeFor())), limit)
	if isZero(missing) {
		h.asks.rounds, h.asks.pause, h.asks.need = 0, 0, glade.Need{}
		if !h.asks.lastAt.IsZero() {
			h.asks.nextAt = h.asks.lastAt.Add(askPause)
		}
		return Action{At: h.idleAt()}
	}
	if h.asking {
		return Action{}
	}
	if !h.canTrade(now) {
		return Action{At: h.cutUntil}
	}
	if grown := lack(need, h.asks.need); !isZero(grown) && h.asks.pause > askPause {
		h.asks.nextAt = h.asks.lastAt.Add(askPause) // a change must not wait for maxAskPause
	}
	if now.Before(h.asks.nextAt) {
		return Action{At: h.asks.nextAt}
	}
	requests := h.requests(missing, now)
	lacksMinimum := !h.minimum().Fits(share)
	h.asks.pause = min(max(askPause, h.asks.pause*2), maxAskPause)
	if h.asks.given || lacksMinimum {
		h.asks.pause = askPause
	}
	if h.asks.rounds == 0 {
		h.asks.pause = 0 // the second round follows at once: it asks for an equal split
	}
	h.asks.lastAt, h.asks.nextAt = now, now.Add(h.asks.pause)
	h.asks.need, h.asks.given = need, false
	h.asks.rounds++
	if len(requests) == 0 {
		h.asks.nextAt = now.Add(askPause)
		return Action{At: h.asks.nextAt}
	}
	h.asking = true
	return Action{Kind: ActionAsk, Requests: requests}
}

// idleAt returns when the rest of the share becomes idle, zero if there is none.
func (h *Holder) idleAt() time.Time {
	if h.excessSince.IsZero() {
		return time.Time{}
	}
	return h.excessSince.Add(idleTime)
}

// requests returns the requests of a round. Only from the second one on they ask for more
// than what holders don't need.
func (h *Holder) requests(missing glade.Need, now time.Time) map[glade.Service]Request {
	_, limit := h.limit()
	have := h.held().Plus(h.freeFor())
	fair := h.fair(h.service)
	split := limitedOnly(lack(atMost(h.need(), fair), have), limit)
	least := limitedOnly(lack(h.minimum(), have), limit)
	var above, all glade.Need
	holders := make(map[glade.Service]glade.Need)
	for _, service := range h.nextHolders(now) {
		held := limitedOnly(h.row.Shares[service].Need, limit)
		holders[service] = held
		above, all = above.Plus(lack(held, fair)), all.Plus(held)
	}
	requests := make(map[glade.Service]Request, len(holders))
	for service, held := range holders {
		r := Request{From: h.service, Missing: part(missing.Plus(missing), held, all), Largest: h.largest(), Lacks: h.lacks(), Row: h.row, RowVersion: h.version}
		if h.asks.rounds > 0 {
			r.Split, r.Least = part(split, lack(held, fair), above), part(least, held, all)
		}
		if !h.waitBegan.IsZero() {
			r.WaitBegan, r.Waited = h.waitBegan.UnixMilli(), now.Sub(h.waitBegan).Milliseconds()
		}
		requests[service] = r
	}
	return requests
}

// nextHolders returns the services to ask in this round: the next ones, by name, of those
// that hold shares and did answer.
func (h *Holder) nextHolders(now time.Time) []glade.Service {
	_, limit := h.limit()
	var all []glade.Service
	for service, share := range h.row.Shares {
		if service != h.service && !isZero(limitedOnly(share.Need, limit)) && !now.Before(h.asks.silentUntil[service]) {
			all = append(all, service)
		}
	}
	if len(all) <= maxHolders {
		return all
	}
	slices.Sort(all)
	from, _ := slices.BinarySearch(all, h.asks.last+"\x00")
	all = slices.Concat(all[from:], all[:from])[:maxHolders]
	h.asks.last = all[maxHolders-1]
	return all
}

// lacks returns what the share lacks of the minimum.
func (h *Holder) lacks() glade.Need { return lack(h.minimum(), h.held()) }

// part returns the part of n that falls to a holder, in proportion and rounded up.
func part(n, held, all glade.Need) glade.Need {
	x, a, b := toVector(n), toVector(held), toVector(all)
	for i := range x {
		if b[i] == 0 {
			x[i] = 0
			continue
		}
		x[i] = min(int(float64(x[i])*float64(a[i])/float64(b[i]))+1, x[i], a[i])
	}
	return x.need()
}

// fair returns an equal split of the limit among the services that hold shares, this one
// and the one that asks.
func (h *Holder) fair(from glade.Service) glade.Need {
	_, limit := h.limit()
	with := map[glade.Service]bool{h.service: true, from: true}
	for service, share := range h.row.Shares {
		if !isZero(limitedOnly(share.Need, limit)) {
			with[service] = true
		}
	}
	return combine(limit, limit, func(l, _ int) int { return l / len(with) })
}

// Asked decides on the request of another leader. The holder starts nothing with what it
// gives up; Next writes the lower share as its runs end.
func (h *Holder) Asked(r Request, now time.Time) Answer {
	h.Observe(r.Row, r.RowVersion, now)
	h.expire(now)
	delete(h.pledges, r.From)
	delete(h.ahead, r.From)
	_, limit := h.limit()
	if h.IsReplaced() || r.From == h.service || !h.canTrade(now) {
		return h.answer(glade.Need{}, glade.Need{})
	}
	share := lack(limitedOnly(h.row.Shares[h.service].Need, limit), h.pledged())
	need := h.need()
	keep := atMost(need, atLeast(h.fair(r.From), h.minimum()))
	give := atLeast(atMost(r.Missing, lack(share, need)), atMost(r.Split, lack(share, keep)))
	lacks := glade.Need{}
	if h.goesFirst(r, now) {
		give = atLeast(give, atMost(r.Least, share))
		h.ahead[r.From] = othersNeed{need: r.Lacks, until: now.Add(pledgeTime)}
	} else {
		lacks = h.lacks()
		give = atLeast(give, atMost(r.Least, lack(share, keep)))
	}
	if !isZero(give) {
		h.pledges[r.From] = pledge{need: give, until: now.Add(pledgeTime), given: give, takeUntil: now.Add(takeTime)}
	}
	return h.answer(give, lacks)
}

// Owes reports whether a part of what was given to a service is not yet off the share in
// the row.
func (h *Holder) Owes(service glade.Service) bool { return !isZero(h.pledges[service].need) }

func (h *Holder) answer(given, lacks glade.Need) Answer {
	return Answer{Given: given, Need: h.need(), Lacks: lacks, Row: h.row, RowVersion: h.version}
}

// goesFirst reports whether the sender of a request goes before this service. The order is
// the same on both sides: small items that have waited long, then the older wait, then the
// smaller name.
func (h *Holder) goesFirst(r Request, now time.Time) bool {
	if r.WaitBegan == 0 {
		return false
	}
	if h.waitBegan.IsZero() {
		return true
	}
	theirs := h.isUrgent(r.Largest, time.Duration(r.Waited)*time.Millisecond)
	ours := h.isUrgent(h.largest(), now.Sub(h.waitBegan))
	if theirs != ours {
		return theirs
	}
	if began := h.waitBegan.UnixMilli(); r.WaitBegan != began {
		return r.WaitBegan < began
	}
	return r.From < h.service
}

func (h *Holder) isUrgent(item glade.Need, waited time.Duration) bool {
	_, limit := h.limit()
	return waited >= smallItemPatience && limitedOnly(item.Plus(item), limit).Fits(limit)
}

// Answered applies the answer of another leader.
func (h *Holder) Answered(from glade.Service, a Answer, now time.Time) {
	h.others[from] = othersNeed{need: a.Need, until: now.Add(othersTime)}
	if delete(h.ahead, from); !isZero(a.Lacks) {
		h.ahead[from] = othersNeed{need: a.Lacks, until: now.Add(pledgeTime)}
	}
	if !isZero(a.Given) {
		h.asks.given = true
		// The row shows what was given only once the holder has written it.
		if soon := now.Add(askPause); soon.Before(h.asks.nextAt) {
			h.asks.nextAt = soon
		}
	}
	h.Observe(a.Row, a.RowVersion, now)
}

// Unanswered notes that the leader of a service did not answer.
func (h *Holder) Unanswered(from glade.Service, now time.Time) {
	if h.asks.silentUntil == nil {
		h.asks.silentUntil = make(map[glade.Service]time.Time)
	}
	h.asks.silentUntil[from] = now.Add(othersTime)
}

// AskEnded ends a round of requests.
func (h *Holder) AskEnded() { h.asking = false }
