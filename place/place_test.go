package place_test

import (
	"fmt"
	"testing"

	qt "github.com/frankban/quicktest"

	glade "indigoglade"
	"indigoglade/place"
)

const gigabyte = 1 << 30

func newFleet(n, accels int, quotas map[string]place.Quota) *place.Fleet {
	f := place.New(place.Config{Quotas: quotas})
	var hosts []place.Host
	for i := range n {
		hosts = append(hosts, place.Host{
			Host: glade.Host(fmt.Sprintf("h%d", i)), Zone: glade.Zone(fmt.Sprintf("z%d", i%3)), Rack: glade.Rack(fmt.Sprintf("r%d", i)),
			Pool: "p", Size: glade.Resources{Cores: 8, Memory: 32 * gigabyte}, Open: true,
		})
	}
	for i := range accels {
		hosts[i].Size.Accels = 4
	}
	f.SetHosts(hosts)
	return f
}

func task(id string, priority glade.Priority, team string, cores int) place.Task {
	return place.Task{
		ID: glade.Ticket(id), Pool: "p", Group: "g", Team: team, Priority: priority,
		Size: glade.Resources{Cores: cores, Memory: gigabyte},
	}
}

// addWaiting adds n waiting tasks whose IDs start with prefix.
func addWaiting(f *place.Fleet, n int, prefix string, priority glade.Priority, team string, cores int) {
	for i := range n {
		f.Enqueue(task(fmt.Sprintf("%s%d", prefix, i), priority, team, cores))
	}
}

func round(f *place.Fleet) place.Plan { return f.Round(place.Limits{Urgent: 100, Others: 100}) }

func expectPlan(t *testing.T, plan place.Plan, placed, adjustments int) {
	t.Helper()
	qt.Check(t, plan.Placements(), qt.HasLen, placed)
	qt.Check(t, plan.Adjustments(), qt.HasLen, adjustments)
}

func TestSpreadsOverZones(t *testing.T) {
	f := newFleet(6, 0, nil)
	addWaiting(f, 6, "a", glade.Normal, "", 2)
	hosts := make(map[glade.Host]bool)
	for _, p := range round(f).Placements() {
		hosts[p.Host] = true
	}
	qt.Check(t, hosts, qt.HasLen, 6)
}

func TestKeepsAcceleratorHostsFree(t *testing.T) {
	f := newFleet(2, 1, nil)
	addWaiting(f, 1, "plain", glade.Normal, "", 8)
	qt.Check(t, round(f).Placements()[0].Host, qt.Equals, glade.Host("h1"))
}

func TestAvoidsRacksThatFailed(t *testing.T) {
	f := newFleet(2, 0, nil)
	avoiding := task("a", glade.Normal, "", 1)
	avoiding.AvoidRacks = []glade.Rack{"r0", "r1"}
	f.Enqueue(avoiding)
	expectPlan(t, round(f), 0, 0)
}

func TestUrgentThrottlesBatchAndRestores(t *testing.T) {
	f := newFleet(1, 0, nil)
	addWaiting(f, 2, "bulk", glade.Bulk, "", 4)
	expectPlan(t, round(f), 2, 0)
	addWaiting(f, 1, "urgent", glade.Urgent, "", 2)
	expectPlan(t, round(f), 1, 1)
	f.Remove("urgent0")
	plan := round(f)
	expectPlan(t, plan, 0, 1)
	qt.Check(t, plan.Adjustments()[0].Cores, qt.Equals, 4)
}

func TestUrgentStopsBatchForMemory(t *testing.T) {
	f := newFleet(1, 0, nil)
	large := task("bulk", glade.Bulk, "", 1)
	large.Size.Memory = 30 * gigabyte
	f.Enqueue(large)
	expectPlan(t, round(f), 1, 0)
	large.ID, large.Priority = "urgent", glade.Urgent
	f.Enqueue(large)
	plan := round(f)
	expectPlan(t, plan, 0, 1)
	qt.Check(t, plan.Adjustments()[0].Cores, qt.Equals, 0)
	expectPlan(t, round(f), 0, 0)
	f.Remove("bulk")
	expectPlan(t, round(f), 1, 0)
}

func TestLentQuotaIsReclaimed(t *testing.T) {
	f := newFleet(2, 0, map[string]place.Quota{"a": {Cores: 8}, "b": {Cores: 8}})
	addWaiting(f, 4, "a", glade.Normal, "a", 4)
	expectPlan(t, round(f), 4, 0)
	addWaiting(f, 2, "b", glade.Normal, "b", 4)
	plan := round(f)
	expectPlan(t, plan, 0, 2)
	expectPlan(t, round(f), 0, 0)
	for _, adjustment := range plan.Adjustments() {
		f.Remove(adjustment.Task)
	}
	expectPlan(t, round(f), 2, 0)
}

func TestUnplaceable(t *testing.T) {
	f := newFleet(2, 1, nil)
	addWaiting(f, 1, "large", glade.Normal, "", 9)
	addWaiting(f, 1, "fits", glade.Normal, "", 8)
	qt.Check(t, f.Unplaceable(), qt.DeepEquals, []glade.Ticket{"large0"})
}

func BenchmarkRound(b *testing.B) {
	for _, n := range []int{1_000, 5_000, 26_000} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			f := newFleet(n, n/2, nil)
			for i := 0; b.Loop(); i++ {
				f.Enqueue(task(fmt.Sprint(i), glade.Normal, "", 4))
				f.Round(place.Limits{Urgent: 1, Others: 1})
				f.Remove(glade.Ticket(fmt.Sprint(i)))
			}
		})
	}
}
