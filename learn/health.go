package learn

import (
	"time"

	glade "indigoglade"
)

// suspectScore is the weighed number of failures, without a success in between,
// that makes a host suspect.
const suspectScore = 2.5

// probation is how long a suspect host takes no tasks. After it, one more
// failure makes it suspect again.
const probation = 10 * time.Minute

// Bounds of the hosts that may be suspect at once in one pool: one of
// suspectShare, and at least fewestSuspects.
const (
	suspectShare   = 20
	fewestSuspects = 1
)

// maxJobs bounds the failed jobs that are remembered for a host.
const maxJobs = 16

// maxRuns is the number of runs after which the counts of a kind are halved, so
// that they follow what is new.
const maxRuns = 1000

// Health tells hosts that fail everything from jobs that fail everywhere.
//
// A failure weighs as much as jobs of its kind succeed elsewhere: where a kind
// fails on every host, one more failure says nothing about a host. A cap per
// pool bounds what a mistake can cost. It is not safe for use by several
// goroutines.
type Health struct {
	kinds map[Key]*runs
	hosts map[glade.Host]*history
	count map[glade.Pool]int
	size  map[glade.Pool]int
	// capped counts hosts that were not made suspect because of the cap.
	capped int
}

// runs counts how runs of a kind ended.
type runs struct{ good, bad float64 }

type history struct {
	pool    glade.Pool
	score   float64
	jobs    map[glade.Ticket]bool
	byKind  map[Key]*runs
	suspect bool
	until   time.Time
}

// NewHealth returns a health without suspects.
func NewHealth() *Health {
	return &Health{
		kinds: make(map[Key]*runs),
		hosts: make(map[glade.Host]*history),
		count: make(map[glade.Pool]int),
		size:  make(map[glade.Pool]int),
	}
}

// SetPool sets the number of hosts of a pool, which the cap rests on.
func (h *Health) SetPool(pool glade.Pool, hosts int) { h.size[pool] = hosts }

// Capped returns how often the cap kept a host from becoming suspect.
func (h *Health) Capped() int { return h.capped }

// Failed records that a job failed on a host. It returns true when that made
// the host suspect.
func (h *Health) Failed(host glade.Host, pool glade.Pool, key Key, job glade.Ticket, now time.Time) bool {
	r := h.host(host, pool)
	weight := h.weight(r, key)
	h.tally(r, key).bad++
	h.kind(key).bad++
	h.halve(key)
	if r.suspect || r.jobs[job] {
		return false
	}
	if len(r.jobs) >= maxJobs {
		clear(r.jobs)
	}
	r.jobs[job] = true
	r.score += weight
	if r.score < suspectScore {
		return false
	}
	return h.accuse(r, now)
}

// accuse makes a host suspect if the cap allows it.
func (h *Health) accuse(r *history, now time.Time) bool {
	if h.count[r.pool] >= max(h.size[r.pool]/suspectShare, fewestSuspects) {
		h.capped++
		return false
	}
	r.suspect = true
	r.until = now.Add(probation)
	h.count[r.pool]++
	return true
}

// Succeeded records that a job succeeded on a host.
func (h *Health) Succeeded(host glade.Host, pool glade.Pool, key Key) {
	r := h.host(host, pool)
	h.tally(r, key).good++
	h.kind(key).good++
	h.halve(key)
	r.score /= 2
}

// IsSuspect tells whether a host failed so much that it takes no tasks.
func (h *Health) IsSuspect(host glade.Host, now time.Time) bool {
	r := h.hosts[host]
	if r == nil || !r.suspect {
		return false
	}
	if now.Before(r.until) {
		return true
	}
	h.release(r)
	return false
}

// IsBlamed tells whether a host is suspect now, without ending its probation.
func (h *Health) IsBlamed(host glade.Host) bool {
	r := h.hosts[host]
	return r != nil && r.suspect
}

// Renewed records that a host came back as a new incarnation.
func (h *Health) Renewed(host glade.Host) {
	if r := h.hosts[host]; r != nil && r.suspect {
		h.release(r)
	}
}

// release puts a host on probation.
func (h *Health) release(r *history) {
	r.suspect = false
	r.score = suspectScore - 1
	clear(r.jobs)
	h.count[r.pool]--
}

// weight returns the share of the runs of a kind that succeed on other hosts.
// A kind that has not run elsewhere counts as sound.
func (h *Health) weight(r *history, key Key) float64 {
	all := h.kind(key)
	own := h.tally(r, key)
	good := max(0, all.good-own.good)
	bad := max(0, all.bad-own.bad)
	return (good + 1) / (good + bad + 1)
}

func (h *Health) host(host glade.Host, pool glade.Pool) *history {
	r := h.hosts[host]
	if r == nil {
		r = &history{pool: pool, jobs: make(map[glade.Ticket]bool), byKind: make(map[Key]*runs)}
		h.hosts[host] = r
	}
	return r
}

func (h *Health) kind(key Key) *runs {
	k := h.kinds[key]
	if k == nil {
		k = &runs{}
		h.kinds[key] = k
	}
	return k
}

func (h *Health) tally(r *history, key Key) *runs {
	k := r.byKind[key]
	if k == nil {
		k = &runs{}
		r.byKind[key] = k
	}
	return k
}

func (h *Health) halve(key Key) {
	k := h.kinds[key]
	if k.good+k.bad < maxRuns {
		return
	}
	k.good /= 2
	k.bad /= 2
	for _, r := range h.hosts {
		if own := r.byKind[key]; own != nil {
			own.good /= 2
			own.bad /= 2
		}
	}
}
