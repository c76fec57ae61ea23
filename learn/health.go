package learn

import (
	"time"

	glade "indigoglade"
)

// suspectScore is the weighted number of failures that makes a host suspect. Each
// success halves the number.
const suspectScore = 2.5

// probation is how long a suspect host is not given tasks. Afterwards, one more
// failure of full weight makes it suspect again.
const probation = 10 * time.Minute

// Limits on the hosts of one pool that may be suspect at the same time: one per
// suspectShare hosts, but at least fewestSuspects.
const (
	suspectShare   = 20
	fewestSuspects = 1
)

// maxJobs is the maximum number of failed jobs that are remembered per host.
const maxJobs = 16

// maxRuns is the number of counted runs at which the counts of a kind are halved,
// so that recent runs weigh more.
const maxRuns = 1000

// Health detects suspect hosts. It distinguishes hosts on which all jobs fail from
// jobs that fail on all hosts.
//
// The weight of a failure is the success rate of jobs of that kind on other hosts:
// when a kind fails on every host, a failure says nothing about the host. The number
// of suspect hosts per pool is limited, so that a wrong detection takes only few
// hosts out of service. Health is not safe for concurrent use.
type Health struct {
	// kinds counts the runs of each kind on all hosts.
	kinds map[Key]*runs
	hosts map[glade.Host]*history
	// count is the number of suspect hosts, and size that of all hosts.
	count map[glade.Pool]int
	size  map[glade.Pool]int
	// capped counts how often the limit kept a host from becoming suspect.
	capped int
}

// runs counts runs of a kind by their outcome. The counts decay.
type runs struct{ good, bad float64 }

// history is what is known of one host.
type history struct {
	pool glade.Pool
	// score is the weighted number of failures.
	score float64
	// jobs holds the jobs that failed on the host. A job counts only once.
	jobs    map[glade.Ticket]bool
	byKind  map[Key]*runs
	suspect bool
	// until is the end of the quarantine of a suspect host.
	until time.Time
}

// NewHealth returns a Health without runs or suspect hosts.
func NewHealth() *Health {
	return &Health{
		kinds: make(map[Key]*runs),
		hosts: make(map[glade.Host]*history),
		count: make(map[glade.Pool]int),
		size:  make(map[glade.Pool]int),
	}
}

// SetPool sets the number of hosts of a pool, which determines how many of them may
// be suspect.
func (h *Health) SetPool(pool glade.Pool, hosts int) { h.size[pool] = hosts }

// Capped returns how often the limit kept a host from becoming suspect.
func (h *Health) Capped() int { return h.capped }

// Failed records that a job failed on a host. It returns true when the host became
// suspect by this failure. Repeated failures of one job do not add to the score.
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

// accuse makes a host suspect unless the limit of its pool is reached.
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

// Succeeded records that a job succeeded on a host, which halves the host's score.
func (h *Health) Succeeded(host glade.Host, pool glade.Pool, key Key) {
	r := h.host(host, pool)
	h.tally(r, key).good++
	h.kind(key).good++
	h.halve(key)
	r.score /= 2
}

// IsSuspect reports whether a host is suspect and must not be given tasks. It ends
// the quarantine of the host when its time is over.
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

// IsBlamed reports whether a host is marked suspect. Unlike IsSuspect, it does not
// end a quarantine whose time is over.
func (h *Health) IsBlamed(host glade.Host) bool {
	r := h.hosts[host]
	return r != nil && r.suspect
}

// Renewed records that a host restarted as a new incarnation, which ends its
// quarantine.
func (h *Health) Renewed(host glade.Host) {
	if r := h.hosts[host]; r != nil && r.suspect {
		h.release(r)
	}
}

// release ends the quarantine of a host. Its score stays one below the threshold.
func (h *Health) release(r *history) {
	r.suspect = false
	r.score = suspectScore - 1
	clear(r.jobs)
	h.count[r.pool]--
}

// weight returns the weight of a failure: the share of the runs of a kind on other
// hosts that succeeded, with one success added. It is thus 1 for a kind that has
// not run on other hosts.
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

// halve halves the counts of a kind, overall and per host, when they have reached
// maxRuns.
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
