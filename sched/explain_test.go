package sched

import (
	"fmt"
	"hash/fnv"
	"reflect"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	glade "indigoglade"
)

// fingerprint returns a hash of all that a value refers to. The lengths of chains, which are
// computed once for each occurrence, are left out.
func fingerprint(v reflect.Value, seen map[uintptr]bool) uint64 {
	h := fnv.New64a()
	fmt.Fprint(h, v.Kind())
	switch v.Kind() {
	case reflect.Pointer:
		if !v.IsNil() {
			fmt.Fprint(h, v.Pointer())
			if !seen[v.Pointer()] {
				seen[v.Pointer()] = true
				fmt.Fprint(h, fingerprint(v.Elem(), seen))
			}
		}
	case reflect.Struct:
		for i := range v.NumField() {
			if name := v.Type().Field(i).Name; name != "path" && name != "pathLeft" && name != "decide" && name != "loc" {
				fmt.Fprint(h, name, fingerprint(v.Field(i), seen))
			}
		}
	case reflect.Slice, reflect.Array:
		for i := range v.Len() {
			fmt.Fprint(h, fingerprint(v.Index(i), seen))
		}
	case reflect.Map: // keys first, since what they point to may be counted only once
		sum := uint64(0)
		for _, key := range v.MapKeys() {
			k := fnv.New64a()
			if key.Kind() == reflect.Pointer {
				fmt.Fprint(k, key.Pointer())
			} else {
				fmt.Fprint(k, fingerprint(key, seen))
			}
			if value := v.MapIndex(key); value.Kind() == reflect.Pointer {
				fmt.Fprint(k, value.Pointer())
			} else {
				fmt.Fprint(k, fingerprint(value, map[uintptr]bool{}))
			}
			sum += k.Sum64()
		}
		fmt.Fprint(h, sum)
	case reflect.Interface:
		if !v.IsNil() {
			fmt.Fprint(h, fingerprint(v.Elem(), seen))
		}
	default:
		fmt.Fprint(h, v)
	}
	return h.Sum64()
}

// fingerprintOf covers the scheduler, and what the keys and values of its maps point to.
func fingerprintOf(s *Scheduler) uint64 {
	sum := fingerprint(reflect.ValueOf(s), map[uintptr]bool{})
	for _, r := range s.ordered {
		sum = sum*31 + fingerprint(reflect.ValueOf(*r), map[uintptr]bool{})
		for n := range r.runs {
			sum += fingerprint(reflect.ValueOf(*n.step), map[uintptr]bool{})
		}
	}
	for _, b := range s.batches {
		sum += fingerprint(reflect.ValueOf(*b), map[uintptr]bool{})
	}
	for _, t := range s.tenants {
		sum += fingerprint(reflect.ValueOf(*t), map[uintptr]bool{})
	}
	for _, w := range s.waits.byTask {
		sum += fingerprint(reflect.ValueOf(*w), map[uintptr]bool{})
	}
	for _, l := range s.waits.loads {
		sum += fingerprint(reflect.ValueOf(*l), map[uintptr]bool{})
	}
	for _, r := range s.waits.reaches {
		sum += fingerprint(reflect.ValueOf(*r), map[uintptr]bool{})
	}
	return sum
}

// explainHarness is a scheduler with two racks of two runners each, which answer everything.
type explainHarness struct {
	s     *Scheduler
	now   time.Time
	infos []glade.RunnerInfo
	clock int64
}

func newExplainHarness() *explainHarness {
	h := &explainHarness{now: time.Unix(1_000_000, 0), clock: 1}
	h.s = New(Config{
		Service: "quotes", Epoch: 1, LeaseTime: 4 * time.Second, RenewalTTL: 8 * time.Second, MaxLease: 10 * time.Second,
		HeartbeatWait: time.Second, RemoteFactor: 3,
	}, h.now)
	h.s.SetRules(glade.Rules{Version: 1, Queues: []glade.QueueRule{{Queue: "fast", Service: "quotes", Stretch: 2, Slack: 5 * time.Second}}})
	for i := range 4 {
		h.infos = append(h.infos, glade.RunnerInfo{
			ID: glade.RunnerID(fmt.Sprintf("r%d", i)), Address: "a", Service: "quotes", Rack: glade.Rack(fmt.Sprintf("rack%d", i/2)),
			Capacity: glade.Need{CPU: 2000, Memory: 1000},
		})
	}
	h.s.SetRunners(h.infos, h.now)
	h.s.LearnTimes("fast")
	h.step(10)
	return h
}

// step runs ticks in which every order is carried out, and returns the starts.
func (h *explainHarness) step(ticks int) []Start {
	var starts []Start
	for range ticks {
		h.now, h.clock = h.now.Add(20*time.Millisecond), h.clock+20
		h.s.LeaderRenewed(h.now)
		orders := h.s.Step(h.now)
		for _, o := range orders.Starts {
			h.s.Started(o, glade.RunAnswer{}, nil, h.now)
		}
		starts = append(starts, orders.Starts...)
		for _, o := range orders.Heartbeats {
			answer := glade.HeartbeatAnswer{Born: 1, Clock: h.clock}
			for n := range h.s.runners[o.To.ID].runs {
				answer.Running = append(answer.Running, glade.ActiveRun{Task: n.id(), Run: n.number, Percent: int(h.clock)})
			}
			h.s.HeartbeatAnswered(o.To.ID, h.now.Add(-time.Millisecond), o.Order, answer, nil, h.now)
		}
		if h.s.HasWrites() {
			h.s.FinishWrite(h.s.BeginWrite(), true, h.now)
		}
	}
	return starts
}

func (h *explainHarness) explain(c *qt.C, id glade.BatchID, work glade.Batch) Explanation {
	c.Helper()
	before := fingerprintOf(h.s)
	e := h.s.Explain(id, "fast", work, h.now)
	c.Assert(fingerprintOf(h.s), qt.Equals, before, qt.Commentf("Explain has changed the state"))
	return e
}

// expectRefused checks that a batch is refused for a reason, with the time that was explained.
func (h *explainHarness) expectRefused(c *qt.C, e Explanation, id glade.BatchID, reason string, work glade.Batch) {
	c.Helper()
	c.Assert(e.Accepted, qt.IsFalse)
	c.Assert(e.Reason, qt.Equals, reason)
	admission := h.s.Submit(id, "fast", work, h.now)
	c.Assert(Admission{Reason: e.Reason, After: time.Duration(e.AfterMs) * time.Millisecond}, qt.Equals,
		Admission{Reason: admission.Reason, After: admission.After.Truncate(time.Millisecond)})
}

// setTenants puts a contract in force in which the tenant "few" may use limited CPU, and all
// have a weight.
func (h *explainHarness) setTenants(limit int) {
	h.s.SetRules(glade.Rules{
		Version: 2, Queues: []glade.QueueRule{{Queue: "fast", Service: "quotes", Stretch: 2, Slack: 5 * time.Second}},
		Tenants: []glade.TenantRule{
			{Tenant: "few", Weight: 5, Limit: glade.Need{CPU: limit}}, {Tenant: "calm", Weight: 20}, {Tenant: "hot", Weight: 5},
		},
	})
	h.s.SetAllowance("few", Allowance{Share: glade.Need{CPU: limit}, Reachable: glade.Need{CPU: limit}})
}

func ofTenant(tenant glade.Tenant, work glade.Batch) glade.Batch {
	work.Tenant = tenant
	return work
}

func oneStep(count int, rack glade.Rack) glade.Batch {
	return glade.Batch{Spec: "s", Steps: []glade.Step{{Count: count, Need: glade.Need{CPU: 1000, Memory: 10}, Estimate: 400, Rack: rack}}}
}

// TestExplain guards against explanations that differ from the decisions, or change them.
func TestExplain(t *testing.T) {
	t.Run("the state check notices a change", func(t *testing.T) {
		h := newExplainHarness()
		h.s.Submit("a", "fast", oneStep(1, ""), h.now)
		h.step(5)
		for _, change := range []func(){
			func() { h.s.confirmAfter = h.now },
			func() { h.s.runners["r0"].used.CPU++ },
			func() { h.s.batches["a"].occurrences[0].steps[0].tasks[0].lastNumber++ },
			func() { h.s.waits.reach(reachKey{rack: "rack0"}, h.now) },
		} {
			before := fingerprintOf(h.s)
			change()
			qt.Assert(t, fingerprintOf(h.s), qt.Not(qt.Equals), before)
		}
	})
	t.Run("the runner is the one on which the task starts", func(t *testing.T) {
		c, h := qt.New(t), newExplainHarness()
		h.s.Submit("0", "fast", oneStep(1, "rack1"), h.now)
		h.step(5)
		for i, rack := range []glade.Rack{"", "rack1", "rack0", "rack1"} {
			id := glade.BatchID(fmt.Sprint("b", i))
			e := h.explain(c, id, oneStep(1, rack))
			c.Assert(e.Accepted, qt.IsTrue)
			c.Assert(h.s.Submit(id, "fast", oneStep(1, rack), h.now).Accepted, qt.IsTrue)
			starts := h.step(5)
			c.Assert(starts, qt.HasLen, 1)
			c.Assert(starts[0].To().ID, qt.Equals, e.Steps[0].Runner)
			c.Assert(e.Steps[0].Places, qt.Equals, 1)
			c.Assert(e.Steps[0].Candidates, qt.HasLen, 4)
		}
	})
	t.Run("a wait is the one that begins", func(t *testing.T) {
		c, h := qt.New(t), newExplainHarness()
		h.s.Submit("busy", "fast", oneStep(4, "rack0"), h.now)
		h.step(15)
		e := h.explain(c, "a", oneStep(1, "rack0"))
		c.Assert(e.Steps[0].Wait, qt.IsNotNil)
		c.Assert(e.Steps[0].Runner, qt.Equals, glade.RunnerID(""))
		c.Assert(e.Steps[0].Candidates[0].Excluded, qt.Equals, excludedRoom)
		c.Assert(e.Steps[0].Candidates[2].Excluded, qt.Equals, "")
		h.s.Submit("a", "fast", oneStep(1, "rack0"), h.now)
		h.step(2) // its row is written first
		c.Assert(h.s.WaitingFor("rack0"), qt.Equals, 1)
	})
	t.Run("a refusal is the one that Submit gives", func(t *testing.T) {
		c, h := qt.New(t), newExplainHarness()
		for i := range 60 {
			h.s.Submit(glade.BatchID(fmt.Sprint(i)), "fast", oneStep(8, ""), h.now)
		}
		e := h.explain(c, "a", oneStep(8, ""))
		c.Assert(e.BacklogMs > e.ObjectiveMs, qt.IsTrue)
		h.expectRefused(c, e, "a", "load", oneStep(8, ""))
		c.Assert(e.ByShare, qt.IsFalse)
	})
	expectExcluded := func(name, want string, change func(h *explainHarness), work glade.Batch) {
		t.Run(name, func(t *testing.T) {
			c, h := qt.New(t), newExplainHarness()
			change(h)
			e := h.explain(c, "a", work)
			c.Assert(e.Steps[0].Candidates[0].Excluded, qt.Equals, want)
			usable := h.s.isUsable(h.s.runners["r0"], h.now)
			c.Assert(usable && h.s.allows(h.s.runners["r0"], newBatch("a", "fast", work, h.now).occurrences[0].steps[0], h.now), qt.Equals, want == "")
		})
	}
	labelled := oneStep(1, "")
	labelled.Steps[0].Label = "gpu"
	expectExcluded("a free runner is no exclusion", "", func(*explainHarness) {}, oneStep(1, ""))
	expectExcluded("a runner without the label", excludedLabel, func(*explainHarness) {}, labelled)
	expectExcluded("a draining runner", excludedDraining, func(h *explainHarness) {
		h.infos[0].Draining = true
		h.s.SetRunners(h.infos, h.now)
	}, oneStep(1, ""))
	expectExcluded("a runner that is gone", excludedUnlisted, func(h *explainHarness) { h.s.SetRunners(h.infos[1:], h.now) }, oneStep(1, ""))
	expectExcluded("a silent runner", excludedSilent, func(h *explainHarness) { h.s.runners["r0"].missed = 1 }, oneStep(1, ""))
	expectExcluded("a runner in quarantine", excludedQuarantined, func(h *explainHarness) {
		h.s.runners["r0"].health.extendQuarantine(h.now.Add(time.Second))
	}, oneStep(1, ""))
	expectExcluded("a runner that has just restarted", excludedUnconfirmed, func(h *explainHarness) {
		h.s.runners["r0"].restartedAt = h.now
	}, oneStep(1, ""))
}

// TestExplainTenants guards against explanations that miss a tenant's limit or share, and
// against explanations that count as load of the tenant.
func TestExplainTenants(t *testing.T) {
	t.Run("the state check notices a tenant's average and its entry", func(t *testing.T) {
		h := newExplainHarness()
		h.setTenants(1000)
		h.s.Submit("a", "fast", ofTenant("few", oneStep(1, "")), h.now)
		for _, change := range []func(){
			func() { h.s.tenants["few"].load.decay(h.now.Add(time.Second)) },
			func() { h.s.tenant("new") },
			func() { h.s.otherLoad.decay(h.now.Add(time.Second)) },
		} {
			before := fingerprintOf(h.s)
			change()
			qt.Assert(t, fingerprintOf(h.s), qt.Not(qt.Equals), before)
		}
	})
	t.Run("a new tenant leaves no entry, and runs as explained", func(t *testing.T) {
		c, h := qt.New(t), newExplainHarness()
		h.setTenants(1000)
		h.s.Submit("z", "fast", ofTenant("few", oneStep(1, "")), h.now)
		h.step(5)
		for _, tenant := range []glade.Tenant{"calm", "alien"} {
			work := ofTenant(tenant, oneStep(1, ""))
			e := h.explain(c, glade.BatchID(tenant), work)
			c.Assert(e.Tenant.InContract, qt.Equals, tenant == "calm")
			c.Assert(h.s.tenants[tenant], qt.IsNil)
			c.Assert(h.s.Submit(glade.BatchID(tenant), "fast", work, h.now).Accepted, qt.IsTrue)
			c.Assert(h.step(5)[0].To().ID, qt.Equals, e.Steps[0].Runner)
		}
	})
	t.Run("a task that waits for the limit", func(t *testing.T) {
		c, h := qt.New(t), newExplainHarness()
		h.setTenants(1000)
		h.s.Submit("a", "fast", ofTenant("few", oneStep(1, "")), h.now)
		h.step(5)
		e := h.explain(c, "b", ofTenant("few", oneStep(1, "")))
		c.Assert(e.Accepted, qt.IsTrue)
		c.Assert(e.Steps[0].Blocked, qt.Equals, blockedLimit)
		c.Assert(e.Steps[0].Runner, qt.Equals, glade.RunnerID(""))
		c.Assert(e.Steps[0].Startable, qt.Equals, 0)
		c.Assert(e.Steps[0].Places, qt.Equals, 1)
		c.Assert(e.Tenant.InUse, qt.Equals, glade.Need{CPU: 1000, Memory: 10})
		h.s.Submit("b", "fast", ofTenant("few", oneStep(1, "")), h.now)
		c.Assert(h.step(5), qt.HasLen, 0)
	})
	t.Run("earlier work that finds no runner does not keep later work from its start", func(t *testing.T) {
		c, h := qt.New(t), newExplainHarness()
		h.setTenants(1000)
		earlier := ofTenant("few", oneStep(1, ""))
		earlier.Steps[0].Label = "gpu"
		h.s.Submit("a", "fast", earlier, h.now)
		c.Assert(h.step(5), qt.HasLen, 0)
		e := h.explain(c, "b", ofTenant("few", oneStep(1, "")))
		c.Assert(e.Steps[0].Behind, qt.IsTrue)
		h.s.Submit("b", "fast", ofTenant("few", oneStep(1, "")), h.now)
		c.Assert(h.step(5)[0].To().ID, qt.Equals, e.Steps[0].Runner)
	})
	t.Run("a gang starts as a whole, or waits for the limit as a whole", func(t *testing.T) {
		c, h := qt.New(t), newExplainHarness()
		h.setTenants(3999)
		work := oneStep(4, "")
		work.Steps[0].Gang = true
		e := h.explain(c, "a", ofTenant("few", work))
		c.Assert(e.Reason, qt.Equals, refusedLimitSize)
		c.Assert(e.Steps[0].Blocked, qt.Equals, blockedLimit)
		e = h.explain(c, "a", ofTenant("calm", work))
		c.Assert(e.Steps[0].Blocked, qt.Equals, "")
		c.Assert(e.Steps[0].Places, qt.Equals, 4)
		h.s.Submit("a", "fast", ofTenant("calm", work), h.now)
		c.Assert(h.step(5), qt.HasLen, 4)
	})
	t.Run("a lasting gang waits for short tasks, or for more", func(t *testing.T) {
		c, h := qt.New(t), newExplainHarness()
		h.s.Submit("short", "fast", oneStep(4, ""), h.now)
		c.Assert(h.step(5), qt.HasLen, 4)
		expectBlocked := func(count int, want string) {
			work := oneStep(count, "")
			work.Steps[0].Gang, work.Steps[0].LongRunning = true, true
			c.Assert(h.explain(c, "a", work).Steps[0].Blocked, qt.Equals, want)
		}
		expectBlocked(4, "")
		expectBlocked(8, blockedRoom)
		expectBlocked(9, blockedLasting)
	})
	t.Run("no state changes while batches of all kinds come and wait", func(t *testing.T) {
		c, h := qt.New(t), newExplainHarness()
		h.setTenants(2000)
		tenants, racks := []glade.Tenant{"", "few", "calm", "hot", "alien"}, []glade.Rack{"", "rack0", "rack1"}
		for i := range 40 {
			work := ofTenant(tenants[i%len(tenants)], oneStep(1+i%4, racks[i%len(racks)]))
			work.Steps[0].Gang, work.Steps[0].OneRack = i%7 == 0, i%14 == 0
			work.Steps[0].LongRunning = i%29 == 0
			h.explain(c, glade.BatchID(fmt.Sprint(i)), work)
			h.s.Submit(glade.BatchID(fmt.Sprint(i)), "fast", work, h.now)
			h.explain(c, "new", work)
			h.step(i % 3)
		}
		c.Assert(h.s.Stats().Refused > 0, qt.IsTrue)
	})
	t.Run("a limit whose part is not known", func(t *testing.T) {
		c, h := qt.New(t), newExplainHarness()
		h.setTenants(1000)
		h.s.tenants["few"].hasShare = false
		e := h.explain(c, "a", ofTenant("few", oneStep(1, "")))
		c.Assert(e.Steps[0].Blocked, qt.Equals, blockedAllowance)
	})
	t.Run("a limit of which the service can get a part", func(t *testing.T) {
		c, h := qt.New(t), newExplainHarness()
		h.setTenants(1000)
		h.s.SetAllowance("few", Allowance{Reachable: glade.Need{CPU: 1000}})
		c.Assert(h.explain(c, "a", ofTenant("few", oneStep(1, ""))).Steps[0].Blocked, qt.Equals, blockedPart)
		h.s.SetAllowance("few", Allowance{Reachable: glade.Need{CPU: 999}})
		c.Assert(h.explain(c, "a", ofTenant("few", oneStep(1, ""))).Steps[0].Blocked, qt.Equals, blockedLimit)
	})
	t.Run("a batch that the limit can't take in time, or ever", func(t *testing.T) {
		c, h := qt.New(t), newExplainHarness()
		h.setTenants(1000)
		for i := range 60 {
			h.s.Submit(glade.BatchID(fmt.Sprint(i)), "fast", ofTenant("few", oneStep(2, "")), h.now)
		}
		work := ofTenant("few", oneStep(8, ""))
		h.expectRefused(c, h.explain(c, "a", work), "a", refusedLimit, work)
		work.Steps[0].Need.CPU = 1001
		h.expectRefused(c, h.explain(c, "b", work), "b", refusedLimitSize, work)
	})
	t.Run("a tenant beyond its share", func(t *testing.T) {
		c, h := qt.New(t), newExplainHarness()
		h.setTenants(1000)
		for i := range 60 {
			h.s.Submit(glade.BatchID(fmt.Sprint("h", i)), "fast", ofTenant("hot", oneStep(8, "")), h.now)
			if i%5 == 0 {
				h.s.Submit(glade.BatchID(fmt.Sprint("c", i)), "fast", ofTenant("calm", oneStep(1, "")), h.now)
			}
			h.step(1)
		}
		work := ofTenant("hot", oneStep(8, ""))
		e := h.explain(c, "a", work)
		c.Assert(e.ByShare, qt.IsTrue)
		c.Assert(e.Tenant.Beyond, qt.IsTrue)
		c.Assert(e.Steps[0].Beyond, qt.IsTrue)
		h.expectRefused(c, e, "a", "load", work)
		c.Assert(h.explain(c, "b", ofTenant("calm", oneStep(1, ""))).Accepted, qt.IsTrue)
	})
	t.Run("a known batch", func(t *testing.T) {
		c, h := qt.New(t), newExplainHarness()
		h.setTenants(1000)
		h.s.Submit("a", "fast", ofTenant("few", oneStep(1, "")), h.now)
		c.Assert(h.explain(c, "a", ofTenant("few", oneStep(1, ""))).Known, qt.IsTrue)
		c.Assert(h.explain(c, "a", ofTenant("calm", oneStep(1, ""))).Reason, qt.Equals, ReasonOwner)
	})
}
