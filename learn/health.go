package learn

import (
	"time"

	glade "indigoglade"
)

// suspectThreshold is the weighted number of failures that makes a host
// suspect. Each success halves the number.
const suspectThreshold = 2.5

// quarantineTime is how long a suspect host is not given tasks. Afterwards, one
// more failure of full weight makes it suspect again.
const quarantineTime = 10 * time.Minute

// Limits on the hosts of one pool that may be suspect at the same time: one per
// hostsPerSuspect hosts, but at least minSuspects.
const (
	hostsPerSuspect = 20
	minSuspects     = 1
)

// maxFailedJobs is the maximum number of failed jobs that are remembered per host.
const maxFailedJobs = 16

// maxCountedRuns is the number of counted runs at which the counts of a kind
// are halved, so that recent runs weigh more.
const maxCountedRuns = 1000

// Health detects suspect hosts. It distinguishes hosts on which all jobs fail
// from jobs that fail on all hosts.
//
// The weight of a failure is the success rate of jobs of that kind on other
// hosts: when a kind fails on every host, a failure says nothing about the
// host. The number of suspect hosts per pool is limited, so that a wrong
// detection takes only few hosts out of service. Health is not safe for
// concurrent use.
type Health struct {
	// kinds counts the runs of each kind on all hosts.
	kinds map[Key]*runCounts
	hosts map[glade.Host]*hostHistory
	// suspects is the number of suspect hosts of each pool, and poolSizes that of
	// all its hosts.
	suspects  map[glade.Pool]int
	poolSizes map[glade.Pool]int
	// capped counts how often the limit kept a host from becoming suspect.
	capped int
}

// runCounts counts runs of a kind by their outcome. The counts decay.
type runCounts struct{ succeeded, failed float64 }

// hostHistory is what is known of one host.
type hostHistory struct {
	pool glade.Pool
	// score is the weighted number of failures.
	score float64
	// failedJobs holds the jobs that failed on the host. A job counts only once.
	failedJobs map[glade.Ticket]bool
	byKind     map[Key]*runCounts
	suspect    bool
	// quarantineEnd is the end of the quarantine of a suspect host.
	quarantineEnd time.Time
}

// NewHealth returns a Health without runs or suspect hosts.
func NewHealth() *Health {
	return &Health{
		kinds:     make(map[Key]*runCounts),
		hosts:     make(map[glade.Host]*hostHistory),
		suspects:  make(map[glade.Pool]int),
		poolSizes: make(map[glade.Pool]int),
	}
}

// SetPoolSize sets the number of hosts of a pool, which determines how many of
// them may be suspect.
func (h *Health) SetPoolSize(pool glade.Pool, hosts int) { h.poolSizes[pool] = hosts }

// CappedCount returns how often the limit kept a host from becoming suspect.
func (h *Health) CappedCount() int { return h.capped }

// RecordFailure records that a job failed on a host. It returns true when the host
// became suspect by this failure. Repeated failures of one job do not add to the score.
func (h *Health) RecordFailure(host glade.Host, pool glade.Pool, key Key, job glade.Ticket, now time.Time) bool {
	r := h.historyOf(host, pool)
	weight := h.failureWeight(r, key)
	h.hostCountsOf(r, key).failed++
	h.countsOf(key).failed++
	h.decay(key)
	if r.suspect || r.failedJobs[job] {
		return false
	}
	if len(r.failedJobs) >= maxFailedJobs {
		clear(r.failedJobs)
	}
	r.failedJobs[job] = true
	r.score += weight
	if r.score < suspectThreshold {
		return false
	}
	return h.markSuspect(r, now)
}

// markSuspect makes a host suspect unless the limit of its pool is reached.
func (h *Health) markSuspect(r *hostHistory, now time.Time) bool {
	if h.suspects[r.pool] >= max(h.poolSizes[r.pool]/hostsPerSuspect, minSuspects) {
		h.capped++
		return false
	}
	r.suspect = true
	r.quarantineEnd = now.Add(quarantineTime)
	h.suspects[r.pool]++
	return true
}

// RecordSuccess records that a job succeeded on a host, which halves the host's score.
func (h *Health) RecordSuccess(host glade.Host, pool glade.Pool, key Key) {
	r := h.historyOf(host, pool)
	h.hostCountsOf(r, key).succeeded++
	h.countsOf(key).succeeded++
	h.decay(key)
	r.score /= 2
}

// IsSuspect reports whether a host is suspect and must not be given tasks. It ends
// the quarantine of the host when its time is over.
func (h *Health) IsSuspect(host glade.Host, now time.Time) bool {
	r := h.hosts[host]
	if r == nil || !r.suspect {
		return false
	}
	if now.Before(r.quarantineEnd) {
		return true
	}
	h.endQuarantine(r)
	return false
}

// IsMarkedSuspect reports whether a host is marked suspect. Unlike IsSuspect,
// it does not end a quarantine whose time is over.
func (h *Health) IsMarkedSuspect(host glade.Host) bool {
	r := h.hosts[host]
	return r != nil && r.suspect
}

// RecordRestart records that a host restarted as a new incarnation, which ends its
// quarantine.
func (h *Health) RecordRestart(host glade.Host) {
	if r := h.hosts[host]; r != nil && r.suspect {
		h.endQuarantine(r)
	}
}

// endQuarantine ends the quarantine of a host. Its score stays one below the
// threshold.
func (h *Health) endQuarantine(r *hostHistory) {
	r.suspect = false
	r.score = suspectThreshold - 1
	clear(r.failedJobs)
	h.suspects[r.pool]--
}

// failureWeight returns the weight of a failure: the share of the runs of a
// kind on other hosts that succeeded, with one success added. It is thus 1 for
// a kind that has not run on other hosts.
func (h *Health) failureWeight(r *hostHistory, key Key) float64 {
	all := h.countsOf(key)
	own := h.hostCountsOf(r, key)
	succeeded := max(0, all.succeeded-own.succeeded)
	failed := max(0, all.failed-own.failed)
	return (succeeded + 1) / (succeeded + failed + 1)
}

func (h *Health) historyOf(host glade.Host, pool glade.Pool) *hostHistory {
	r := h.hosts[host]
	if r == nil {
		r = &hostHistory{pool: pool, failedJobs: make(map[glade.Ticket]bool), byKind: make(map[Key]*runCounts)}
		h.hosts[host] = r
	}
	return r
}

func (h *Health) countsOf(key Key) *runCounts {
	k := h.kinds[key]
	if k == nil {
		k = &runCounts{}
		h.kinds[key] = k
	}
	return k
}

func (h *Health) hostCountsOf(r *hostHistory, key Key) *runCounts {
	k := r.byKind[key]
	if k == nil {
		k = &runCounts{}
		r.byKind[key] = k
	}
	return k
}

// decay halves the counts of a kind, overall and per host, when they have reached
// maxCountedRuns.
func (h *Health) decay(key Key) {
	k := h.kinds[key]
	if k.succeeded+k.failed < maxCountedRuns {
		return
	}
	k.succeeded /= 2
	k.failed /= 2
	for _, r := range h.hosts {
		if own := r.byKind[key]; own != nil {
			own.succeeded /= 2
			own.failed /= 2
		}
	}
}
