package lead

import (
	"context"
	"math"
	"sync"
	"time"

	glade "indigoglade"
)

// vacancies records when the store has refused reads of term rows whose heartbeat is overdue.
// It may refuse the calls on one partition and still serve the term feed. Their leaders can't
// renew their terms then, whichever hosts they are on. The zero value knows of no refusal.
type vacancies struct {
	mu   sync.Mutex
	rows map[glade.Service]*refusedRow
}

// refusedRow is a term row of which reads were refused.
type refusedRow struct {
	// version is that of the term whose heartbeat is overdue.
	version int64
	// since is when the heartbeat became overdue, zero if the last read was served. Hosts of
	// every rank take that as the begin of the refusal, though each begins to read later.
	since time.Time
	// silent means that a read got no answer, so that the leader's last write may wait for one.
	silent bool
	// idleFrom is from when the leader counts as silent after a refusal of more than maxFeedGap.
	idleFrom time.Time
}

// renewalWait is how long a leader may take to renew its term when the store stops to refuse that
// at once: some repetitions with storeRetryPause between them. While writes got no answer, it may
// take heartbeatTimeout.
const renewalWait = 600 * time.Millisecond

// idle returns how long the leader of a service may count as silent at most.
func (v *vacancies) idle(service glade.Service, now time.Time) time.Duration {
	v.mu.Lock()
	defer v.mu.Unlock()
	if row, ok := v.rows[service]; ok && !row.idleFrom.IsZero() {
		return now.Sub(row.idleFrom)
	}
	return math.MaxInt64
}

// recordRefused records that the store refused to read a row whose heartbeat is overdue since
// a time. silent means that the read got no answer.
func (v *vacancies) recordRefused(service glade.Service, version int64, overdueSince time.Time, silent bool) {
	v.mu.Lock()
	defer v.mu.Unlock()
	if v.rows == nil {
		v.rows = make(map[glade.Service]*refusedRow)
	}
	row, ok := v.rows[service]
	if !ok || row.version != version {
		row = &refusedRow{version: version}
		v.rows[service] = row
	}
	if row.since.IsZero() {
		row.since, row.silent = overdueSince, false
	}
	row.silent = row.silent || silent
}

// recordRead records that a row was read. It returns true if the store had refused that for so
// long that its leader gets time to renew the term.
func (v *vacancies) recordRead(service glade.Service, version int64, now time.Time) bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	row, ok := v.rows[service]
	if !ok || row.version != version || row.since.IsZero() {
		return false
	}
	since := row.since
	row.since = time.Time{}
	if now.Sub(since) <= maxFeedGap {
		return false
	}
	row.idleFrom = now
	if !row.silent {
		row.idleFrom = now.Add(renewalWait - heartbeatTimeout)
	}
	return true
}

// claimIfVacant claims a service without a live leader, once the wait that this host's rank
// demands is over. While a term is read, other services are still checked: a read without an
// answer would keep this host from noticing that the store refuses their rows too, and it would
// replace working leaders when the store serves them again.
func (m *Manager) claimIfVacant(ctx context.Context, service glade.Service) {
	v, due := m.findVacancy(service)
	if !due || !m.beginClaim(service) {
		return
	}
	m.running.Add(1)
	go v.run(ctx)
}

// vacancy is a service that may have no live leader, as of a time.
type vacancy struct {
	manager   *Manager
	service   glade.Service
	heartbeat Heartbeat
	at        time.Time
	rank      int
	// idle is how long the leader counts as silent, wait how long it must before this host claims.
	idle, wait time.Duration
}

// findVacancy returns whether a service has been without a heartbeat for so long that this host
// may claim it.
func (m *Manager) findVacancy(service glade.Service) (*vacancy, bool) {
	now := m.config.Clock.Now()
	m.mu.Lock()
	leading, held := m.isLeading(service), m.hold.isActive(now)
	m.mu.Unlock()
	if leading {
		return nil, false
	}
	heartbeat := m.config.Directory.LastHeartbeat(service, now)
	rank := min(m.config.Directory.Rank(service), maxClaimRank)
	v := &vacancy{
		manager: m, service: service, heartbeat: heartbeat, at: now, rank: rank,
		idle: heartbeat.Age, wait: time.Duration(rank) * claimStagger,
	}
	if held {
		v.wait += heldClaimWait
	}
	switch node := heartbeat.Term.Node; {
	case node == m.config.Self && !held && m.config.Directory.HasHighCapacity():
		v.wait = 0 // the term of an earlier process of this host
	case heartbeat.Version == 0:
		v.wait += firstClaimWait
	case node != "":
		v.wait += heartbeatTimeout
		v.idle = min(heartbeat.ObservedAge, m.vacancies.idle(service, now))
	}
	return v, v.idle >= v.wait
}

// run claims the service if its leader is gone. The claim must have been reserved with
// beginClaim.
func (v *vacancy) run(ctx context.Context) {
	m := v.manager
	defer m.running.Done()
	defer m.endClaim(v.service)
	term := v.heartbeat.Term
	isVacant := term.Node == "" || term.Node == m.config.Self
	if !isVacant && !m.isLeaderGone(ctx, v.service, v.heartbeat, v.idle-v.wait, v.idle-heartbeatTimeout, v.rank) {
		return
	}
	m.claimSlot <- struct{}{}
	defer func() { <-m.claimSlot }()
	if v.isStillDue() {
		m.claim(ctx, v.service, v.heartbeat, v.at)
	}
}

// isStillDue reports whether the service may still be claimed, after a claim of another one.
func (v *vacancy) isStillDue() bool {
	now, due := v.manager.findVacancy(v.service)
	return due && now.heartbeat.Version == v.heartbeat.Version
}

// slowStoreFactor times the duration of a store call is added to the wait for a
// leader, so that a slow store is allowed for: a heartbeat takes two calls, and
// the check of the term row another.
const slowStoreFactor = 4

// isLeaderGone reads the term row itself before a leader is replaced: the feed may
// lag, and a slow store delays the heartbeats of a healthy leader. excess is the
// time since the end of the usual wait, overdue that since the heartbeat is overdue. A slow
// store also lengthens the stagger between candidates; otherwise a low-capacity host whose
// read happens to finish first would lead. After a row could not be read, candidates wait
// again, in order of their rank.
func (m *Manager) isLeaderGone(ctx context.Context, service glade.Service, heartbeat Heartbeat, excess, overdue time.Duration, rank int) bool {
	began := m.config.Clock.Now()
	bounded, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	row, err := m.config.PartitionedTable.Get(bounded, tableTerm, string(service), singletonKey)
	if err != nil {
		silent := m.config.Clock.Now().Sub(began) >= probeTimeLimit
		m.vacancies.recordRefused(service, heartbeat.Version, began.Add(-overdue), silent)
		return false
	}
	if row.Version != heartbeat.Version {
		m.config.Directory.applyTerms([]glade.PartitionRow{row})
		return false
	}
	now := m.config.Clock.Now()
	if m.vacancies.recordRead(service, heartbeat.Version, now) {
		m.config.Log.Info("term can be read again", "service", service, "epoch", heartbeat.Term.Epoch, "node", heartbeat.Term.Node,
			"overdue", overdue.Milliseconds(), "rank", rank)
		return false
	}
	return excess >= time.Duration(slowStoreFactor+rank)*now.Sub(began)-healthyCallsTime
}

// healthyCallsTime is the time of four calls to a healthy store, with some reserve.
const healthyCallsTime = 100 * time.Millisecond
