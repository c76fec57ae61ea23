package budget_test

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	glade "indigoglade"
	"indigoglade/budget"
)

var now = time.Unix(1_000_000, 0)

// account returns hosts h0, h1, ... with two hosts in each rack. The first ones
// are down with the given causes.
func account(hosts int, causes ...glade.DownCause) glade.AccountRow {
	a := glade.AccountRow{Members: make(map[glade.Host]glade.Member)}
	for i := range hosts {
		m := glade.Member{Zone: "z", Rack: glade.Rack(fmt.Sprint(i / 2))}
		if i < len(causes) {
			m.Cause, m.Since = causes[i], now.UnixMilli()
		}
		a.Members[glade.Host(fmt.Sprintf("h%d", i))] = m
	}
	return a
}

func rule(down, minutes int, domain string) budget.Rule {
	pool := glade.PoolSpec{Hosts: 6, MinHosts: 2, MaxHosts: 10}
	return budget.NewRule(glade.ContractSpec{
		Budget: glade.BudgetSpec{Down: down, Minutes: minutes, Window: glade.Span(24 * time.Hour), Domain: domain},
		Wave:   glade.WaveSpec{DrainTime: glade.Span(time.Minute)},
	}, pool)
}

// expectWait checks whether the last of the hosts may be taken down.
func expectWait(t *testing.T, r budget.Rule, a glade.AccountRow, want budget.WaitReason) {
	t.Helper()
	last := glade.Host(fmt.Sprintf("h%d", len(a.Members)-1))
	qt.Check(t, r.CheckMaintenance(a, last, now), qt.Equals, want)
}

func TestPlan(t *testing.T) {
	expectWait(t, rule(2, 600, "host"), account(6), budget.WaitNone)
	expectWait(t, rule(2, 600, "host"), account(6, glade.CausePlan), budget.WaitHeadroom)
	expectWait(t, rule(2, 600, "host"), account(7, glade.CausePlan), budget.WaitNone)
	expectWait(t, rule(2, 600, "host"), account(7, glade.CauseFail, glade.CausePlan), budget.WaitDown)
	expectWait(t, rule(2, 600, "rack"), account(6), budget.WaitHeadroom)
	expectWait(t, rule(3, 600, "rack"), account(6), budget.WaitNone)
	expectWait(t, rule(2, 5, "host"), account(6), budget.WaitDownTime)
	expectWait(t, rule(3, 600, "host"), account(6, "", "", "", "", "", glade.CauseJoin), budget.WaitNotServing)
}

// TestMove guards against a move that waits for a surplus and is explained as one that waits for hosts that are down.
func TestMove(t *testing.T) {
	expectMove := func(a glade.AccountRow, want budget.WaitReason) {
		t.Helper()
		last := glade.Host(fmt.Sprintf("h%d", len(a.Members)-1))
		wait := rule(2, 600, "host").CheckMove(a, last)
		qt.Check(t, wait, qt.Equals, want)
		qt.Check(t, budget.Explain(wait), qt.Not(qt.Equals), string(wait))
	}
	expectMove(account(8), budget.WaitNone)
	expectMove(account(6), budget.WaitSurplus)
	expectMove(account(7, glade.CauseFail), budget.WaitSurplus)
	expectMove(account(8, "", "", "", "", "", "", "", glade.CauseJoin), budget.WaitNotServing)
}

func TestFailureReservesMinutes(t *testing.T) {
	a := account(8, glade.CauseFail)
	expectWait(t, rule(3, 18, "host"), a, budget.WaitNone)
	expectWait(t, rule(3, 17, "host"), a, budget.WaitDownTime)
}

func TestJoiningAndLeavingHostsDoNotSpendTheBudget(t *testing.T) {
	a := account(8, glade.CauseJoin, glade.CauseLeave)
	qt.Check(t, budget.Down(a), qt.Equals, 0)
	qt.Check(t, rule(2, 600, "host").Spent(a, now.Add(time.Hour)), qt.Equals, time.Duration(0))
}
