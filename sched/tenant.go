package sched

import (
	"cmp"
	"slices"
	"time"

	glade "indigoglade"
)

// TenantDemand is what one service uses and wants of a tenant's limit.
type TenantDemand struct {
	Tenant glade.Tenant
	// Used is what runs that may be on a runner occupy, Wanted that and what could start
	// now if there were no limit.
	Used, Wanted glade.Need
	// Lasting is the part of Used that long-running tasks occupy, which may never end.
	Lasting glade.Need
	// Largest is what the largest task or whole gang of the tenant's accepted batches
	// occupies, in each resource, without long-running tasks that run.
	Largest glade.Need
	// Waited is how long the tenant's oldest step has waited for its limit alone.
	Waited time.Duration
}

// Allowance is a service's part of a tenant's limit.
type Allowance struct {
	// Share is what the service may run now, Reachable what it could have soon: its
	// share, the unallocated part of the limit, and what other services don't use.
	Share, Reachable glade.Need
	// Limit is the limit of a tenant that is not in the contract, whose accepted batches
	// still run. It is not used for others.
	Limit glade.Need
}

// tenant is the leader's state of a tenant with batches in this service.
type tenant struct {
	name glade.Tenant
	// limit and weight are those of the newest contract that names the tenant. A resource
	// whose limit is 0 is not limited.
	limit      glade.Need
	weight     float64
	inContract bool
	allowance  Allowance
	hasShare   bool // the allowance is known
	// used is what the runs that may be on a runner occupy, unseen what runs of earlier
	// leaders may occupy on runners that have not answered yet.
	used, unseen glade.Need
	// lasting is the part of used that long-running tasks occupy.
	lasting glade.Need
	// pending is what pending tasks of ready steps need, pendingLasting the largest of them that is
	// long-running, and largest the largest other task or whole gang of accepted live batches, all
	// without what isn't attainable. waited is the longest wait for the limit alone. All are as of
	// the last call of TenantDemands.
	pending, pendingLasting, largest glade.Need
	waited                           time.Duration
	// heldFor is the step that the room within the limit is kept for, or nil.
	heldFor *step
	// holdBegan is when room was first kept, of the turns that have not ended; zero if none is.
	holdBegan time.Time
	// limitedSince is when a step first waited for the limit alone, zero while none does.
	limitedSince time.Time
	// logged means that the wait was logged, at loggedAt.
	logged   bool
	loggedAt time.Time
	// countedAt is up to when the time of waiting is counted.
	countedAt time.Time
	// counted is the part of the offered load that counts, within the limit.
	counted loadAverage
	stats   TenantStats
	// load is the offered load, excess its ratio to the tenant's part of a pool that is short,
	// 1 if the tenant is within its part, and part what it gets of the pool, in millicores.
	load tenantLoad
	// rate is what its accepted work gets on the average: its part, and a part of what others
	// leave. lent is its part of what other pools can lend.
	excess, part, rate, lent float64
	// loggedBeyond means that the excess was logged, at shareLoggedAt.
	loggedBeyond  bool
	shareLoggedAt time.Time
}

// TenantStats counts decisions about the batches of a tenant.
type TenantStats struct {
	Accepted, Started int64
	// RefusedLimit counts batches that were refused because of the limit, RefusedLoad those
	// refused for other reasons.
	RefusedLimit, RefusedLoad int64
	// LimitedMs is the time for which a step has waited for the limit alone.
	LimitedMs int64
}

// TenantStats returns the counters of the tenants with batches since the takeover.
func (s *Scheduler) TenantStats() map[glade.Tenant]TenantStats {
	stats := make(map[glade.Tenant]TenantStats, len(s.tenants))
	for name, t := range s.tenants {
		stats[name] = t.stats
	}
	return stats
}

// tenant returns the state of a tenant, and nil for a batch without a tenant.
func (s *Scheduler) tenant(name glade.Tenant) *tenant {
	if name == "" {
		return nil
	}
	t, ok := s.tenants[name]
	if !ok {
		t = &tenant{name: name}
		t.setRule(s.tenantRules)
		s.tenants[name] = t
		i, _ := slices.BinarySearchFunc(s.tenantsByName, name, (*tenant).compareName)
		s.tenantsByName = slices.Insert(s.tenantsByName, i, t)
	}
	return t
}

func (t *tenant) compareName(name glade.Tenant) int { return cmp.Compare(t.name, name) }

// setTenant sets the tenant of a batch that is known from now on.
func (s *Scheduler) setTenant(b *batch) {
	b.tenant = s.tenant(b.work.Tenant)
	for i := range b.work.Steps {
		if rule := &b.work.Steps[i]; !rule.LongRunning {
			b.largest, b.largestTask = most(b.largest, unit(rule)), most(b.largestTask, allocation(rule))
			b.asksLabel = b.asksLabel || rule.Label != ""
		}
	}
}

// setRule takes the limit and weight from the contract. A tenant that has left the
// contract keeps those that it had.
func (t *tenant) setRule(rules map[glade.Tenant]glade.TenantRule) {
	rule, ok := rules[t.name]
	t.inContract = ok
	if ok {
		t.limit, t.weight = rule.Limit, rule.Weight
	}
}

// setTenantRules replaces the tenants of the contract, and forgets those without batches and
// allowance.
func (s *Scheduler) setTenantRules(list []glade.TenantRule) {
	s.tenantRules = make(map[glade.Tenant]glade.TenantRule, len(list))
	for _, rule := range list {
		s.tenantRules[rule.Tenant] = rule
	}
	inUse := make(map[*tenant]bool)
	for _, b := range s.batches {
		inUse[b.tenant] = true
	}
	for name, t := range s.tenants {
		t.setRule(s.tenantRules)
		if !t.inContract && !inUse[t] && !t.hasShare {
			delete(s.tenants, name)
			s.tenantsByName = slices.DeleteFunc(s.tenantsByName, func(other *tenant) bool { return other == t })
		}
	}
	s.demandGen++
	s.largestStale = true
	s.backlog = nil // it is kept apart for tenants with a limit
}

// SetAllowance sets the service's part of a tenant's limit.
func (s *Scheduler) SetAllowance(name glade.Tenant, allowance Allowance) {
	t := s.tenant(name)
	if t == nil || (t.hasShare && t.allowance == allowance) {
		return
	}
	t.allowance, t.hasShare = allowance, true
	if !t.inContract && allowance.Limit != (glade.Need{}) {
		t.limit, s.backlog, s.largestStale = allowance.Limit, nil, true
	}
	s.needsPlacement = true
}

// isLimited reports whether a resource of the tenant is limited.
func (t *tenant) isLimited() bool { return t != nil && t.limit != (glade.Need{}) }

// awaitsLimit reports whether the limit of a tenant that is not in the contract is still to be
// read: without a limit its share would be unlimited.
func (t *tenant) awaitsLimit() bool {
	return t != nil && !t.inContract && t.hasShare && !t.isLimited() && t.allowance.Share == (glade.Need{})
}

// resources are the accessors of the resources of a need.
var resources = [...]func(glade.Need) int{
	func(n glade.Need) int { return n.CPU },
	func(n glade.Need) int { return n.Memory },
	func(n glade.Need) int { return n.Accels },
}

// room returns how many of count tasks with a need may start within a part of the limit, of
// which taken is in use.
func (t *tenant) room(need, taken, part glade.Need, count int) int {
	for _, of := range resources {
		if of(t.limit) > 0 && of(need) > 0 {
			count = min(count, max(of(part)-of(taken), 0)/of(need))
		}
	}
	return count
}

// inUse returns what the runs of the tenant occupy or may occupy.
func (t *tenant) inUse() glade.Need { return t.used.Plus(t.unseen) }

// mayStart reports whether the limit of a step's tenant lets count of its tasks start
// together.
func (s *Scheduler) mayStart(st *step, count int) bool {
	t := st.occurrence.batch.tenant
	if !t.isLimited() {
		return !t.awaitsLimit()
	}
	if !t.hasShare || (t.heldFor != nil && t.heldFor != st) {
		return false
	}
	return t.room(whole(st.rule), t.inUse(), t.allowance.Share, count) == count
}

// isWithinShare reports whether a task of a tenant may be stopped and started again.
func (t *tenant) isWithinShare() bool {
	if !t.isLimited() {
		return !t.awaitsLimit()
	}
	for _, of := range resources {
		if of(t.limit) > 0 && of(t.inUse()) > of(t.allowance.Share) {
			return false
		}
	}
	return t.hasShare
}

// whole returns what a task counts against its tenant's limit: also the CPU of a task that
// only uses idle CPU, since the platform does not say that it doesn't count.
func whole(rule *glade.Step) glade.Need { return rule.Need }

// unit returns the least that a step starts at once: a whole gang, or one task.
func unit(rule *glade.Step) glade.Need {
	if rule.Gang {
		return multiply(rule.Need, rule.Count)
	}
	return rule.Need
}

func multiply(need glade.Need, count int) glade.Need {
	return glade.Need{CPU: need.CPU * count, Memory: need.Memory * count, Accels: need.Accels * count}
}

// least and most return the smaller and the larger of each resource.
func least(a, b glade.Need) glade.Need {
	return glade.Need{CPU: min(a.CPU, b.CPU), Memory: min(a.Memory, b.Memory), Accels: min(a.Accels, b.Accels)}
}

func most(a, b glade.Need) glade.Need {
	return glade.Need{CPU: max(a.CPU, b.CPU), Memory: max(a.Memory, b.Memory), Accels: max(a.Accels, b.Accels)}
}

// largestUnit returns the largest task or whole gang of a batch, in each resource.
func largestUnit(work *glade.Batch) glade.Need {
	var largest glade.Need
	for i := range work.Steps {
		largest = most(largest, unit(&work.Steps[i]))
	}
	return largest
}

// isPossible reports whether a task or gang fits into the whole limit. One that was accepted
// under a higher limit may not.
func (t *tenant) isPossible(need glade.Need) bool { return t.room(need, glade.Need{}, t.limit, 1) == 1 }

// largestAttainable returns the largest attainable task or whole gang of a batch, in each resource,
// without long-running tasks.
func (s *Scheduler) largestAttainable(b *batch) glade.Need {
	if !b.asksLabel && s.isAttainable(b.tenant, &glade.Step{Need: b.largestTask}) && b.tenant.room(b.largest, b.tenant.lasting, b.tenant.limit, 1) == 1 {
		return b.largest
	}
	var largest glade.Need
	for i := range b.work.Steps {
		if rule := &b.work.Steps[i]; !rule.LongRunning && s.isAttainable(b.tenant, rule) {
			largest = most(largest, unit(rule))
		}
	}
	return largest
}

// attach adds a run to its runner and to the use of its tenant.
func (s *Scheduler) attach(n *run) {
	n.runner.add(n)
	if t := n.step.occurrence.batch.tenant; t != nil {
		t.used = t.used.Plus(whole(n.step.rule))
		if n.step.rule.LongRunning {
			t.lasting, s.largestStale = t.lasting.Plus(whole(n.step.rule)), true
		}
		s.demandGen++
	}
}

// detach removes a run from its runner and from the use of its tenant.
func (s *Scheduler) detach(n *run) {
	if t := n.step.occurrence.batch.tenant; t != nil && n.runner.runs[n] {
		t.used = t.used.Minus(whole(n.step.rule))
		if n.step.rule.LongRunning {
			t.lasting, s.largestStale = t.lasting.Minus(whole(n.step.rule)), true
		}
		s.demandGen++
	}
	n.runner.remove(n)
}

// numbers returns the pairs of a log line that explain a decision about a limit.
func (t *tenant) numbers() []any {
	return []any{"used", t.used, "unseen", t.unseen, "share", t.allowance.Share, "reachable", t.allowance.Reachable, "limit", t.limit}
}

// DemandGen counts the changes after which TenantDemands may return something else.
func (s *Scheduler) DemandGen() int64 { return s.demandGen }

// TenantDemands returns the tenants with use or demand, by name, as of the last step.
func (s *Scheduler) TenantDemands() []TenantDemand {
	if len(s.tenants) == 0 {
		return nil
	}
	now := s.steppedAt
	if now.IsZero() {
		now = s.leaderSince
		s.countUnseen(now)
	}
	s.updateLargest()
	for _, t := range s.tenantsByName {
		t.pending, t.pendingLasting, t.waited = glade.Need{}, glade.Need{}, 0
	}
	for st := range s.ready {
		t := st.occurrence.batch.tenant
		if t == nil || st.pending == 0 || !s.isAttainable(t, st.rule) {
			continue
		}
		t.pending = t.pending.Plus(multiply(whole(st.rule), st.pending))
		if st.rule.LongRunning {
			t.pendingLasting = most(t.pendingLasting, unit(st.rule))
		}
		if !st.limitedSince.IsZero() {
			t.waited = max(t.waited, now.Sub(st.limitedSince))
		}
	}
	var list []TenantDemand
	for _, t := range s.tenantsByName {
		// Pending tasks that may run unseen count once.
		d := TenantDemand{
			Tenant: t.name, Used: t.inUse(), Wanted: t.used.Plus(most(t.pending, t.unseen)), Lasting: t.lasting,
			Largest: most(t.largest, t.pendingLasting), Waited: t.waited,
		}
		if d.Wanted != (glade.Need{}) || d.Largest != (glade.Need{}) {
			list = append(list, d)
		}
	}
	return list
}

// noteLargest records that a batch is accepted, or ends. It matters if no other batch of its
// tenant is larger in some resource.
func (s *Scheduler) noteLargest(b *batch) {
	if b.tenant == nil {
		return
	}
	s.demandGen++
	for _, of := range resources {
		if of(b.largest) > 0 && of(b.largest) >= of(b.tenant.largest) {
			s.largestStale = true
		}
	}
}

// updateLargest finds the largest task or gang of each tenant, if it may have changed.
func (s *Scheduler) updateLargest() {
	if !s.largestStale {
		return
	}
	s.largestStale = false
	for _, t := range s.tenantsByName {
		t.largest = glade.Need{}
	}
	for b := range s.live {
		if b.tenant != nil && b.accepted {
			b.tenant.largest = most(b.tenant.largest, s.largestAttainable(b))
		}
	}
}

// headrooms is the room that tenants have left within a part of their limits, for sums over
// pending tasks: those beyond the room are not to count.
type headrooms struct {
	part  func(t *tenant) glade.Need
	taken map[*tenant]glade.Need
}

// newHeadrooms returns the room within the shares of all tenants, or within what they could
// have soon.
func newHeadrooms(soon bool) *headrooms {
	part := func(t *tenant) glade.Need { return t.allowance.Share }
	if soon {
		part = (*tenant).reachable
	}
	return &headrooms{part: part, taken: make(map[*tenant]glade.Need)}
}

// take returns how many of count tasks of a step the limit of its tenant has room for, and
// takes the room.
func (h *headrooms) take(st *step, count int) int {
	t := st.occurrence.batch.tenant
	if !t.isLimited() || count == 0 {
		return count
	}
	taken, ok := h.taken[t]
	if !ok {
		taken = t.inUse()
	}
	granted := t.room(whole(st.rule), taken, h.part(t), count)
	if st.rule.Gang && granted < count {
		granted = 0
	}
	h.taken[t] = taken.Plus(multiply(whole(st.rule), granted))
	return granted
}

// reachable returns what the tenant could have soon: what its allowance says, or all of its
// limit while that is not known.
func (t *tenant) reachable() glade.Need {
	if !t.hasShare {
		return t.limit
	}
	return most(t.allowance.Reachable, t.allowance.Share)
}
