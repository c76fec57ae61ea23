package sched

import (
	"cmp"
	"math"
	"slices"
	"time"
)

// Limits of weighted shares.
const (
	// shareWindow is the time constant of a tenant's load: long compared with the gap between
	// two of its batches, so that the batches of a calm tenant don't look like an excess, and
	// short compared with a burst.
	shareWindow = 2 * time.Second
	// minShareAge is the least age of a leader whose averages are corrected for their start
	// at 0: the first batches say little.
	minShareAge = 300 * time.Millisecond
	// shortRatio is the ratio of load to capacity from which a pool is short. Gaps that no
	// task fits into, and the time between two tasks, take the rest.
	shortRatio = 0.75
	// shareTTL is the age up to which the parts of the tenants are used.
	shareTTL = 20 * time.Millisecond
	// minWeight is the least weight, for tenants whose contract names none.
	minWeight = 0.01
)

// tenantLoad is a decayed sum of the arriving work of a tenant, accepted or not.
type tenantLoad struct {
	work    float64 // in millicores times milliseconds
	bytes   float64 // of starts
	batches float64
	at      time.Time
}

func (l *tenantLoad) decay(now time.Time) {
	factor := math.Exp(-float64(now.Sub(l.at)) / float64(shareWindow))
	l.work, l.bytes, l.batches, l.at = l.work*factor, l.bytes*factor, l.batches*factor, now
}

func (l *tenantLoad) add(work, bytes float64, now time.Time) {
	l.decay(now)
	l.work += work
	l.bytes += bytes
	l.batches++
}

// owed returns the part of the load that is within a weight in batches per second.
func (l *tenantLoad) owed(weight, coveredMs float64) float64 {
	rate := l.batches / coveredMs * float64(time.Second.Milliseconds())
	if rate <= weight {
		return 1
	}
	return weight / rate
}

// hasWeight reports whether a tenant takes part in weighted shares.
func (t *tenant) hasWeight() bool { return t != nil && (t.inContract || t.weight > 0) }

// isBeyond reports whether a tenant asks for more than its part of a pool that is short.
func (t *tenant) isBeyond() bool { return t != nil && t.excess > minExcess }

// minExcess is 1 with a margin for rounding.
const minExcess = 1.001

// anyBeyond reports whether a tenant is beyond its share.
func (s *Scheduler) anyBeyond() bool { return slices.ContainsFunc(s.tenantsByName, (*tenant).isBeyond) }

// updateShares divides the pool by weight if it is short. What tenants don't ask for goes to
// the others.
func (s *Scheduler) updateShares(now time.Time) {
	if len(s.tenants) == 0 || now.Sub(s.sharedAt) < shareTTL {
		return
	}
	s.sharedAt = now
	// The sums are loads once they are divided by the time that they cover.
	age := max(now.Sub(s.leaderSince), minShareAge)
	covered := float64(shareWindow.Milliseconds()) * (1 - math.Exp(-float64(age)/float64(shareWindow)))
	s.otherLoad.decay(now)
	var work, link []demanded
	for _, t := range s.tenantsByName {
		t.excess = 1
		if t.hasWeight() {
			t.load.decay(now)
			weight := max(t.weight, minWeight)
			owed := t.load.owed(weight, covered)
			work = append(work, demanded{tenant: t, load: t.load.work / covered, owed: owed, weight: weight})
			link = append(link, demanded{tenant: t, load: t.load.bytes / covered, owed: owed, weight: weight})
		}
	}
	divide(work, shortRatio*float64(s.pool())-s.otherLoad.work/covered)
	if s.pace.rate > 0 {
		divide(link, shortRatio*s.pace.rate/float64(time.Second.Milliseconds())-s.otherLoad.bytes/covered)
	}
	beyond := 0.0
	for _, d := range work {
		if d.tenant.isBeyond() {
			beyond += d.weight
		}
	}
	rest := (1 - shortRatio) * float64(s.pool())
	for _, d := range work {
		share := d.weight / max(beyond, d.weight)
		d.tenant.part = d.load / d.tenant.excess
		d.tenant.rate, d.tenant.lent = d.tenant.part+rest*share, float64(s.lendable)*share
	}
	s.logShares(now)
}

// demanded is what a tenant asks for of one capacity, and the part of it that it is owed.
type demanded struct {
	tenant             *tenant
	load, owed, weight float64
}

// divide raises the excess of the tenants that ask for more than their part of a capacity.
// What tenants are owed comes first, then what they ask for beyond that.
func divide(list []demanded, capacity float64) {
	total := 0.0
	for _, d := range list {
		total += d.load
	}
	if total <= capacity {
		return
	}
	// Work without a tenant may use the whole pool up; some of it is left in any case.
	capacity = max(capacity, minTenantShare*total)
	parts := make(map[*tenant]float64, len(list))
	capacity = fill(list, func(d demanded) float64 { return d.load * d.owed }, capacity, parts)
	fill(list, func(d demanded) float64 { return d.load * (1 - d.owed) }, capacity, parts)
	for _, d := range list {
		if part := parts[d.tenant]; part > 0 {
			d.tenant.excess = max(d.tenant.excess, d.load/part)
		}
	}
}

// fill gives each tenant what it asks for, or as much for its weight as any other, and returns
// what is left of the capacity.
func fill(list []demanded, asked func(demanded) float64, capacity float64, parts map[*tenant]float64) float64 {
	weights := 0.0
	for _, d := range list {
		weights += d.weight
	}
	slices.SortFunc(list, func(a, b demanded) int { return cmp.Compare(asked(a)/a.weight, asked(b)/b.weight) })
	for _, d := range list {
		part := min(asked(d), capacity*d.weight/weights)
		parts[d.tenant] += part
		capacity -= part
		weights -= d.weight
	}
	return max(capacity, 0)
}

// minTenantShare is the least part of their loads that tenants get together.
const minTenantShare = 0.05

const (
	// shareLogPeriod is the least time between two reports of one tenant's share.
	shareLogPeriod = 5 * time.Second
	// loggedExcess is the excess above which a tenant is reported.
	loggedExcess = 1.5
)

// logShares reports which tenants begin and stop to ask for more than their share.
func (s *Scheduler) logShares(now time.Time) {
	for _, t := range s.tenantsByName {
		// A pool is mostly a little larger than its load, so that small excesses are common
		// and harmless.
		beyond := t.excess > loggedExcess
		if beyond == t.loggedBeyond || now.Sub(t.shareLoggedAt) < shareLogPeriod {
			continue
		}
		t.loggedBeyond, t.shareLoggedAt = beyond, now
		name := "within share"
		if beyond {
			name = "beyond share"
		}
		s.addEvent(name, "tenant", t.name, "excess", t.excess, "part", int(t.part), "weight", t.weight, "used", t.used.CPU, "pool", s.pool())
	}
}

// shareRefusal returns how long a batch of a tenant beyond its share has to wait for the
// tenant's own accepted work, at the rate of its part, until it could be accepted; 0 if it
// can be accepted.
func (s *Scheduler) shareRefusal(t *tenant, path, objective time.Duration, now time.Time) time.Duration {
	b := s.backlogAt(now)
	sums, ok := b.tenants[t]
	if !ok || !t.isBeyond() {
		return 0
	}
	ahead, all := sums.before(objective-path, now.Sub(b.at))
	takes := func(w waitingWork) time.Duration {
		return s.workTime(w.work, max(t.rate, 1), t.lent, now)
	}
	if takes(ahead) <= objective-path {
		return 0
	}
	return max(takes(all)+path-time.Duration(admitFactor*float64(objective)), 0)
}

// limitRanks sets how many tasks of each step may start now, moves the steps that wait for
// their tenant's limit to the end, and those beyond their tenant's share behind the others
// that can be in time. The list is in order.
func (s *Scheduler) limitRanks(list []rank) {
	rooms := newHeadrooms(false)
	used := make(map[*tenant]float64)
	for i := range list {
		next := &list[i]
		st := next.step
		t := st.occurrence.batch.tenant
		if t == nil {
			continue
		}
		next.startable = rooms.take(st, next.startable)
		if next.class == classLongRunning || next.class == classTrial {
			continue
		}
		if next.startable == 0 {
			next.class = classLimited
			continue
		}
		if !t.isBeyond() {
			continue
		}
		if _, ok := used[t]; !ok {
			used[t] = float64(t.used.CPU)
		}
		next.beyond = used[t] >= t.part
		used[t] += float64(next.startable * st.rule.Need.CPU)
		if next.beyond && next.class == classNotStarted {
			next.class = classBeyond
		}
	}
}

// needCPU returns the CPU that the startable tasks of a step need, in millicores.
func (r *rank) needCPU() int { return r.startable * r.step.rule.Need.CPU }

// recordTenantLoad adds the work of a submitted batch to the load of its tenant.
func (s *Scheduler) recordTenantLoad(t *tenant, work, bytes float64, now time.Time) {
	if len(s.tenants) == 0 {
		return
	}
	if t.hasWeight() {
		t.load.add(work, bytes, now)
		return
	}
	s.otherLoad.add(work, bytes, now)
}
