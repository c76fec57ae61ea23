package plan_test

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	glade "indigoglade"
	"indigoglade/plan"
)

func spec(hosts int, domain string) glade.ContractSpec {
	return glade.ContractSpec{
		Customer: "dealers",
		Pools:    []glade.PoolSpec{{Name: "quotes", Serve: "quotes", Hosts: hosts, MinHosts: 2, MaxHosts: 16, Slots: 8}},
		Budget:   glade.BudgetSpec{Down: 2, Minutes: 600, Window: glade.Span(24 * time.Hour), Domain: domain},
		Wave:     glade.WaveSpec{Name: "w", State: "run", DrainTime: glade.Span(time.Minute)},
	}
}

// account returns an account with the given number of serving hosts, four per rack.
func account(hosts int) glade.AccountRow {
	a := glade.AccountRow{Customer: "dealers", Pool: "quotes", Members: make(map[glade.Host]glade.Member)}
	for i := range hosts {
		a.Members[glade.Host(fmt.Sprint(i))] = glade.Member{Zone: "z", Rack: glade.Rack(fmt.Sprint(i / 4))}
	}
	return a
}

func planOfTenHosts(s glade.ContractSpec) plan.Pool {
	return plan.Compute(plan.Input{Spec: s, Accounts: []glade.AccountRow{account(10)}, Now: time.Unix(1000, 0)})[0]
}

// expectPlan checks the plan for a pool that has ten hosts now.
func expectPlan(t *testing.T, s glade.ContractSpec, moves, atOnce int, rollout time.Duration, risks int) {
	t.Helper()
	got := planOfTenHosts(s)
	qt.Check(t, got.Moves, qt.Equals, moves)
	qt.Check(t, got.Concurrency, qt.Equals, atOnce)
	qt.Check(t, got.Rollout.Duration(), qt.Equals, rollout)
	qt.Check(t, got.Risks, qt.HasLen, risks, qt.Commentf("%v", got.Risks))
}

func TestPlan(t *testing.T) {
	normal := spec(10, "host")
	expectPlan(t, normal, 0, 1, 20*time.Minute, 0)
	fastRollout := spec(10, "host")
	fastRollout.Weights.Rollout = 1
	expectPlan(t, fastRollout, 0, 2, 10*time.Minute, 0)
	expectPlan(t, spec(12, "host"), 2, 0, 0, 2)
	expectPlan(t, spec(10, "rack"), 0, 0, 0, 1)
	noWave := spec(10, "host")
	noWave.Wave = glade.WaveSpec{}
	expectPlan(t, noWave, 0, 0, 0, 0)
}

func TestPoolRemovedFromContract(t *testing.T) {
	s := spec(10, "host")
	s.Pools[0].Name = "other"
	pools := plan.Compute(plan.Input{Spec: s, Accounts: []glade.AccountRow{account(3)}})
	qt.Assert(t, pools, qt.HasLen, 2)
	qt.Check(t, pools[1].Risks, qt.HasLen, 1)
}

func ExampleDiff() {
	old, current := spec(10, "host"), spec(12, "host")
	current.Wave.State = "pause"
	changes, _ := plan.Diff(old, current)
	for _, c := range changes {
		fmt.Printf("%s: %s -> %s\n", c.Path, c.Old, c.New)
	}
	// Output:
	// /pools/quotes/hosts: 10 -> 12
	// /wave/state: run -> pause
}
