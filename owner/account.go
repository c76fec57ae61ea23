package owner

import (
	"maps"
	"time"

	glade "indigoglade"
)

// spentRetention is how long ended down times are kept: the longest budget window that
// a contract may name.
const spentRetention = 35 * 24 * time.Hour

// maxSpentSpans is the number of ended down times that are kept; above it the two
// oldest are merged.
const maxSpentSpans = 96

// withJoining returns the account with a host added as a member that does not serve
// yet.
func withJoining(account glade.AccountRow, row glade.HostRow, now time.Time) glade.AccountRow {
	next := copyAccount(account)
	next.Customer, next.Pool = row.Customer, row.Pool
	delete(next.Incoming, row.Host)
	next.Members[row.Host] = glade.Member{Zone: row.Zone, Rack: row.Rack, Cause: glade.CauseJoin, Since: now.UnixMilli()}
	return next
}

// withIncoming returns the account of the pool that a draining host moves to, with
// the host added to the incoming ones.
func withIncoming(account glade.AccountRow, row glade.HostRow, now time.Time) glade.AccountRow {
	next := copyAccount(account)
	next.Customer, next.Pool = row.TargetCustomer, row.Target
	next.Incoming[row.Host] = now.UnixMilli()
	return next
}

// withDown returns the account with a member marked as not serving. If the member
// was counted as down already, the start of its down time stays.
func withDown(account glade.AccountRow, row glade.HostRow, cause glade.DownCause, now time.Time) glade.AccountRow {
	next := copyAccount(account)
	member := next.Members[row.Host]
	if !countsAsDown(member.Cause) {
		member.Since = now.UnixMilli()
	}
	member.Cause = cause
	member.Wave = row.Wave
	next.Members[row.Host] = member
	return next
}

func countsAsDown(cause glade.DownCause) bool {
	return cause == glade.CausePlan || cause == glade.CauseFail
}

// withDownTimeEnded returns the account with the member's down time added to the spent ones,
// if it counts against the budget. The member itself is not changed.
func withDownTimeEnded(account glade.AccountRow, host glade.Host, now time.Time) glade.AccountRow {
	next := copyAccount(account)
	next.DownTimes = pruneSpans(next.DownTimes, now)
	member := next.Members[host]
	if countsAsDown(member.Cause) {
		span := glade.DownTime{Host: host, From: member.Since, To: now.UnixMilli(), Cause: member.Cause}
		next.DownTimes = append(next.DownTimes, span)
	}
	return next
}

// pruneSpans drops the spans that lie before every possible budget window, and makes
// room for one more span within the maximum. To do so it merges the two oldest
// spans into one of their total length that ends no earlier than either, so that
// the down time counted in a window is never too small.
func pruneSpans(spans []glade.DownTime, now time.Time) []glade.DownTime {
	oldest := now.Add(-spentRetention).UnixMilli()
	for len(spans) > 0 && spans[0].To < oldest {
		spans = spans[1:]
	}
	for len(spans) >= maxSpentSpans {
		a, b := spans[0], spans[1]
		length := (a.To - a.From) + (b.To - b.From)
		end := max(a.To, b.To)
		spans = spans[1:]
		spans[0] = glade.DownTime{Host: b.Host, From: end - length, To: end, Cause: b.Cause}
	}
	return spans
}

func copyAccount(account glade.AccountRow) glade.AccountRow {
	next := account
	next.Members = make(map[glade.Host]glade.Member, len(account.Members)+1)
	maps.Copy(next.Members, account.Members)
	next.Incoming = make(map[glade.Host]int64, len(account.Incoming)+1)
	maps.Copy(next.Incoming, account.Incoming)
	next.DownTimes = append([]glade.DownTime(nil), account.DownTimes...)
	return next
}
