package sched

import (
	"maps"
	"slices"
	"time"

	glade "indigoglade"
)

// Explanation is what would become of a batch if it were submitted now. Times are in
// milliseconds.
type Explanation struct {
	// Accepted, Reason and AfterMs are what Submit would answer, without the change of the rows.
	Accepted bool   `json:"accepted"`
	Reason   string `json:"reason,omitempty"`
	AfterMs  int64  `json:"afterMs,omitempty"`
	// Known means that the ID is in use: a batch is not submitted again.
	Known bool `json:"known,omitempty"`
	// ByShare means that the batch is refused because its tenant is beyond its share.
	ByShare bool `json:"byShare,omitempty"`
	// PathMs is the expected time of the longest chain of steps, ObjectiveMs the target time
	// of the whole batch.
	PathMs      int64 `json:"pathMs"`
	ObjectiveMs int64 `json:"objectiveMs"`
	// Pool is the capacity for tasks that end, in millicores.
	Pool int `json:"pool"`
	// AheadMs is how long the work takes that goes before the batch, BacklogMs how long all
	// work takes that it may have to wait for, and StartsMs how long the leader's link takes
	// for the starts.
	AheadMs   int64 `json:"aheadMs"`
	BacklogMs int64 `json:"backlogMs"`
	StartsMs  int64 `json:"startsMs"`
	// BacklogAgeMs is the age of the sums of waiting work.
	BacklogAgeMs int64             `json:"backlogAgeMs"`
	Tenant       *TenantExplained  `json:"tenant,omitempty"`
	Steps        []StepExplanation `json:"steps,omitempty"`
}

// TenantExplained is what a decision about a tenant is made from.
type TenantExplained struct {
	Tenant     glade.Tenant `json:"tenant"`
	InContract bool         `json:"inContract"`
	// Limit is that of the contract, Share the service's part of it, and Reachable what the
	// service could have soon. IsShareKnown is false until the leader has its part.
	Limit        glade.Need `json:"limit"`
	Share        glade.Need `json:"share"`
	Reachable    glade.Need `json:"reachable"`
	IsShareKnown bool       `json:"shareKnown"`
	// InUse is what its runs occupy, or may occupy on runners that have not answered yet.
	InUse  glade.Need `json:"inUse"`
	Weight float64    `json:"weight"`
	// Excess is the ratio of the tenant's load to its part of a pool that is short, Part that
	// part in millicores, and AgeMs the age of both.
	Excess float64 `json:"excess"`
	Part   int     `json:"part"`
	AgeMs  int64   `json:"ageMs"`
	Beyond bool    `json:"beyond"`
}

// StepExplanation is where the tasks of a step would go.
type StepExplanation struct {
	// DependsOn lists the steps that must be done first. The rest is as if they were.
	DependsOn []int `json:"dependsOn,omitempty"`
	Tasks     int   `json:"tasks"`
	// Places is the number of tasks for which there is room now on runners, Startable that
	// for which the service's part of the tenant's limit leaves room, after work that goes
	// first.
	Places    int `json:"places"`
	Startable int `json:"startable"`
	// Blocked is why no task starts now; empty if one does.
	Blocked string `json:"blocked,omitempty"`
	// Behind means that earlier work of the tenant takes the room within its limit if it
	// finds room on runners. The rest is as if it didn't.
	Behind bool `json:"behind,omitempty"`
	// Beyond means that the tenant has its share of a pool that is short, so that the step
	// goes after those of other tenants.
	Beyond bool `json:"beyond,omitempty"`
	// Runner is that of the first task if it starts now. It is empty for gangs, which are
	// placed as a whole.
	Runner glade.RunnerID `json:"runner,omitempty"`
	// Wait is the wait for a place near the data; nil if there is none.
	Wait *WaitExplanation `json:"wait,omitempty"`
	// Candidates are all known runners, by id.
	Candidates []Candidate `json:"candidates"`
}

// WaitExplanation is the wait of a step's first task, or of a gang, for a rack.
type WaitExplanation struct {
	Rack glade.Rack `json:"rack"`
	// LongestMs is how long it would wait at most, DistanceMs how much longer it takes
	// elsewhere, ExpectedMs the mean length of the wait, and Chance the probability that it
	// gets its place.
	LongestMs  int64   `json:"longestMs"`
	DistanceMs int64   `json:"distanceMs"`
	ExpectedMs int64   `json:"expectedMs"`
	Chance     float64 `json:"chance"`
}

// Candidate is a runner as a place for the tasks of a step.
type Candidate struct {
	Runner glade.RunnerID `json:"runner"`
	Rack   glade.Rack     `json:"rack,omitempty"`
	// Cost is the cost of the first task there. The runner with the lowest cost is chosen.
	Cost float64 `json:"cost"`
	// Excluded is why the step can't use the runner now; empty if it can.
	Excluded string `json:"excluded,omitempty"`
}

// Explain returns what would become of a batch if it were submitted now. It makes the same
// decisions as Submit and Step, and changes nothing. Work that goes before the batch and
// waits for room itself is in AheadMs, and not in the candidates.
func (s *Scheduler) Explain(id glade.BatchID, queue glade.Queue, work glade.Batch, now time.Time) Explanation {
	defer s.keepState()()
	summary := Summarize(work)
	t := s.tenant(work.Tenant)
	path := s.expectedPath(queue, summary)
	objective := objectiveOf(s.rules[queue], path)
	e := Explanation{PathMs: path.Milliseconds(), ObjectiveMs: objective.Milliseconds(), Pool: s.pool()}
	if admission, ok := s.admitKnown(id, queue, work.Tenant); ok {
		e.Known, e.Accepted, e.Reason, e.AfterMs = true, admission.Accepted, admission.Reason, admission.After.Milliseconds()
		return e
	}
	reason, wait := s.workRefusal(queue, &work, summary, t, s.isExpected(id, queue, now), now)
	if e.Accepted = reason == ""; !e.Accepted {
		e.Reason, e.AfterMs = reason, retryAfter(wait).Milliseconds()
	}
	if _, ok := s.rules[queue]; !ok {
		return e
	}
	s.updateShares(now)
	e.ByShare = e.Reason == "load" && s.shareRefusal(t, path, objective, now) > 0
	ahead, all := s.waitingBefore(t, objective-path, time.Duration(admitFactor*float64(objective))-path, now)
	e.BacklogAgeMs = now.Sub(s.backlog.at).Milliseconds()
	if e.Pool > 0 {
		e.AheadMs = s.drainTime(ahead, float64(e.Pool), now).Milliseconds()
		e.BacklogMs = s.drainTime(all, float64(e.Pool), now).Milliseconds()
	}
	e.StartsMs = s.pace.drainTime(all.startBytes).Milliseconds()
	if t != nil {
		e.Tenant = &TenantExplained{
			Tenant: t.name, InContract: t.inContract, Limit: t.limit, Share: t.allowance.Share, Reachable: t.reachable(), IsShareKnown: t.hasShare,
			InUse: t.inUse(), Weight: t.weight, Excess: max(t.excess, 1), Part: int(t.part), AgeMs: now.Sub(s.sharedAt).Milliseconds(), Beyond: t.isBeyond(),
		}
	}
	if summary.Tasks > maxLiveTasks {
		return e // no leader holds as many, and the batch of an explanation comes unchecked
	}
	work.Times = min(work.Times, 1) // only the first occurrence is explained
	b := newBatch(id, queue, work, now)
	s.updateRule(b)
	s.setTenant(b)
	ready := s.readyRanks(now)
	usable, unreserved := s.explainUsable(ready, now)
	s.holdRoom(now)
	for _, st := range b.occurrences[0].steps {
		runners := unreserved
		if st.rule.LongRunning {
			runners = usable
		}
		e.Steps = append(e.Steps, s.explainStep(st, ready, runners, now))
	}
	return e
}

// keepState returns a function that undoes what the decisions of Explain have changed:
// the loads and parts of tenants, the entry of a new one, expired offers, requests for a
// renewal of the leader row, events, and what is kept to decide faster.
func (s *Scheduler) keepState() (restore func()) {
	backlog, expected, confirmAfter := s.backlog, maps.Clone(s.expected), s.confirmAfter
	last, examined := s.waits.last, s.waits.examined
	otherLoad, sharedAt, events := s.otherLoad, s.sharedAt, s.events
	tenants := make(map[*tenant]tenant, len(s.tenants))
	for _, t := range s.tenants {
		tenants[t] = *t
	}
	return func() {
		s.backlog, s.expected, s.confirmAfter = backlog, expected, confirmAfter
		s.waits.last, s.waits.examined = last, examined
		s.otherLoad, s.sharedAt, s.events = otherLoad, sharedAt, events
		for name, t := range s.tenants {
			if before, ok := tenants[t]; ok {
				*t = before
			} else {
				delete(s.tenants, name)
			}
		}
		s.tenantsByName = slices.DeleteFunc(s.tenantsByName, func(t *tenant) bool {
			_, ok := tenants[t]
			return !ok
		})
	}
}

// explainUsable returns the runners that long-running and other tasks may use.
func (s *Scheduler) explainUsable(ready []rank, now time.Time) (all, unreserved []*runner) {
	for _, r := range s.ordered {
		if s.isUsable(r, now) {
			all = append(all, r)
		}
	}
	all = without(all, s.trialRunners(now))
	unreserved = all
	rooms, unknownRuns := newHeadrooms(false), s.anyUnknownRuns(now) || s.hidesAnyEnds()
	for _, next := range ready {
		if b := next.step.occurrence.batch; next.class == classLongRunning && !s.suspects[b] && !(b.inherited && unknownRuns) {
			unreserved = s.reserve(unreserved, s.awaitedRunners(next.step, rooms, unreserved, now))
		}
	}
	return all, unreserved
}

// readyRanks returns the ready steps with pending tasks, in order.
func (s *Scheduler) readyRanks(now time.Time) []rank {
	var list []rank
	for st := range s.ready {
		if st.pending > 0 {
			list = append(list, s.startableRank(st, now))
		}
	}
	slices.SortFunc(list, compareRanks)
	return list
}

func (s *Scheduler) startableRank(st *step, now time.Time) rank {
	next := s.rank(st, now)
	next.startable = st.pending
	return next
}

// rankAmong returns the rank of a step among ready ones.
func (s *Scheduler) rankAmong(ready []rank, st *step, now time.Time) rank {
	own := s.startableRank(st, now)
	i, _ := slices.BinarySearchFunc(ready, own, compareRanks)
	list := slices.Insert(slices.Clone(ready), i, own)
	s.limitRanks(list)
	return list[i]
}

func (s *Scheduler) explainStep(st *step, ready []rank, usable []*runner, now time.Time) StepExplanation {
	e := StepExplanation{DependsOn: st.rule.After, Tasks: len(st.tasks)}
	if len(st.tasks) == 0 {
		return e
	}
	t := &st.tasks[0]
	own := s.rankAmong(ready, st, now)
	e.Startable, e.Beyond = own.startable, own.beyond
	e.Places = min(s.freePlaces(st, usable, now), len(st.tasks))
	best := s.chooseRunner(st, t, usable, now)
	e.Wait = s.explainWait(st, best, e.Places, usable, now)
	e.Blocked = s.blockedBy(st, e, best, usable, now)
	e.Behind = own.startable == 0 && e.Blocked == ""
	if best != nil && !st.rule.Gang && e.Blocked == "" {
		e.Runner = best.info.ID
	}
	isUsable := make(map[*runner]bool, len(usable))
	for _, r := range usable {
		isUsable[r] = true
	}
	for _, r := range s.ordered {
		c := Candidate{Runner: r.info.ID, Rack: r.info.Rack, Cost: s.placementCost(r, st, t, r.info.Capacity.Minus(r.used))}
		if !isUsable[r] || !s.allows(r, st, now) || !allocation(st.rule).Fits(r.info.Capacity.Minus(r.used)) {
			c.Excluded = s.exclusion(r, st, now)
		}
		e.Candidates = append(e.Candidates, c)
	}
	return e
}

// explainWait returns the wait for a rack that would begin, or nil.
func (s *Scheduler) explainWait(st *step, best *runner, places int, usable []*runner, now time.Time) *WaitExplanation {
	var racks []glade.Rack
	if s.config.RemoteFactor > 1 {
		switch {
		case st.rule.Gang && st.rule.OneRack && places == len(st.tasks) && !s.fitsOneRack(st, usable, now):
			racks = racksOf(usable)
		case !st.rule.Gang && st.rule.Rack != "" && best != nil && best.info.Rack != st.rule.Rack:
			racks = []glade.Rack{st.rule.Rack}
		}
	}
	rack, plan, inputs := s.planWait(st, racks, usable, maxWait, now)
	if !plan.paysFor(inputs) {
		return nil
	}
	return &WaitExplanation{
		Rack: rack, LongestMs: plan.length.Milliseconds(), DistanceMs: inputs.distance.Milliseconds(),
		ExpectedMs: plan.expected.Milliseconds(), Chance: plan.chance,
	}
}

// Reasons why no task of a step starts now.
const (
	blockedRunners   = "waits for a current list of runners"
	blockedLink      = "the leader's link has no room for starts"
	blockedAllowance = "the service's part of the tenant's limit is not known yet"
	blockedHeld      = "the room within the tenant's limit is kept for a step that has waited longer"
	blockedLimit     = "the tenant's limit"
	blockedPart      = "the service's part of the tenant's limit, of which it can get more"
	blockedRoom      = "no room on the runners"
	blockedLasting   = "no room on the runners, nor once short tasks have ended"
	blockedRack      = "waits for a place near the data"
)

// blockedBy returns why no task of a step starts now, in the order of place and placeStep.
func (s *Scheduler) blockedBy(st *step, e StepExplanation, best *runner, usable []*runner, now time.Time) string {
	count := 1
	if st.rule.Gang {
		count = len(st.tasks)
	}
	t := st.occurrence.batch.tenant
	mayStart := s.mayStart(st, count)
	switch {
	case now.Before(s.awaitRunnersUntil):
		return blockedRunners
	case !s.pace.isOpen():
		return blockedLink
	case (best == nil || e.Places < count) && st.rule.LongRunning && !s.willHaveRoom(st, usable, now):
		return blockedLasting
	case best == nil || e.Places < count:
		return blockedRoom
	case !mayStart && !t.hasShare:
		return blockedAllowance
	case !mayStart && t.heldFor != nil:
		return blockedHeld
	case !mayStart && t.room(whole(st.rule), t.inUse(), t.reachable(), count) == count:
		return blockedPart // leaders get their parts as they need them
	case !mayStart:
		return blockedLimit
	case e.Wait != nil:
		return blockedRack
	}
	return ""
}

// fitsOneRack reports whether all tasks of a gang have room in one rack.
func (s *Scheduler) fitsOneRack(st *step, usable []*runner, now time.Time) bool {
	candidates := s.gangCandidates(st, usable)
	return slices.ContainsFunc(candidates[:len(candidates)-1], func(group []*runner) bool { return s.freePlaces(st, group, now) >= len(st.tasks) })
}

// Reasons of exclusion.
const (
	excludedUnlisted    = "not listed"
	excludedDraining    = "draining"
	excludedEvacuated   = "evacuated"
	excludedNew         = "not contacted yet"
	excludedUnconfirmed = "leader not confirmed since it restarted"
	excludedSilent      = "silent"
	excludedQuarantined = "quarantined"
	excludedNoLease     = "no lease may be granted"
	excludedLabel       = "label missing"
	excludedSpread      = "has as many tasks of the step as it may"
	excludedTicket      = "no ticket of the advice service"
	excludedRoom        = "too little room"
	excludedKept        = "kept for a trial or a long-running task"
)

// exclusion returns why a step can't use a runner now: the first reason that applies, in the
// order of isUsable, allows and chooseRunner.
func (s *Scheduler) exclusion(r *runner, st *step, now time.Time) string {
	switch {
	case !r.listed:
		return excludedUnlisted
	case r.info.Draining:
		return excludedDraining
	case !r.evacuateAskedAt.IsZero():
		return excludedEvacuated
	case !r.contacted || r.registryGen == 0 || r.registryGen > s.registryWritten:
		return excludedNew
	case !r.restartedAt.IsZero() && !s.confirmedSince(r.restartedAt):
		return excludedUnconfirmed
	case !r.isResponsive(now):
		return excludedSilent
	case now.Before(r.health.quarantinedUntil):
		return excludedQuarantined
	case !s.isUsable(r, now):
		return excludedNoLease
	case st.rule.Label != "" && !r.hasLabel(st.rule.Label):
		return excludedLabel
	case st.occurrence.batch.rule.NeedsAdvice && !st.hasTicket(r.info.ID, now):
		return excludedTicket
	case !s.allows(r, st, now):
		return excludedSpread
	case !allocation(st.rule).Fits(r.info.Capacity.Minus(r.used)):
		return excludedRoom
	}
	return excludedKept
}
