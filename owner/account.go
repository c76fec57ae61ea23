package owner

import (
	"maps"
	"time"

	glade "indigoglade"
)

// spentKept bounds how long ended down times are kept: the longest window that
// a contract may name.
const spentKept = 35 * 24 * time.Hour

// maxSpent bounds the number of ended down times that are kept one by one.
const maxSpent = 96

// joined returns the account with a new member that does not serve yet.
func joined(account glade.AccountRow, row glade.HostRow, now time.Time) glade.AccountRow {
	next := copyAccount(account)
	next.Customer, next.Pool = row.Customer, row.Pool
	delete(next.Coming, row.Host)
	next.Members[row.Host] = glade.Member{Zone: row.Zone, Rack: row.Rack, Cause: glade.CauseJoin, Since: now.UnixMilli()}
	return next
}

// expecting returns the account of a pool that a draining host will join.
func expecting(account glade.AccountRow, row glade.HostRow, now time.Time) glade.AccountRow {
	next := copyAccount(account)
	next.Customer, next.Pool = row.TargetCustomer, row.Target
	next.Coming[row.Host] = now.UnixMilli()
	return next
}

// markDown returns the account with a member that does not serve. Its down time
// goes on from when it began if it was counted as down already.
func markDown(account glade.AccountRow, row glade.HostRow, cause glade.DownCause, now time.Time) glade.AccountRow {
	next := copyAccount(account)
	member := next.Members[row.Host]
	if !isCounted(member.Cause) {
		member.Since = now.UnixMilli()
	}
	member.Cause = cause
	member.Wave = row.Wave
	next.Members[row.Host] = member
	return next
}

func isCounted(cause glade.DownCause) bool {
	return cause == glade.CausePlan || cause == glade.CauseFail
}

// ended returns the account with the member's down time among the spent ones.
func ended(account glade.AccountRow, host glade.Host, now time.Time) glade.AccountRow {
	next := copyAccount(account)
	next.Spent = prune(next.Spent, now)
	member := next.Members[host]
	if isCounted(member.Cause) {
		span := glade.DownSpan{Host: host, From: member.Since, To: now.UnixMilli(), Cause: member.Cause}
		next.Spent = append(next.Spent, span)
	}
	return next
}

// prune drops spans that no window can hold. Above the bound it joins the two
// oldest into one that ends no earlier, so that the sum in a window is never
// too small.
func prune(spans []glade.DownSpan, now time.Time) []glade.DownSpan {
	oldest := now.Add(-spentKept).UnixMilli()
	for len(spans) > 0 && spans[0].To < oldest {
		spans = spans[1:]
	}
	for len(spans) >= maxSpent {
		a, b := spans[0], spans[1]
		length := (a.To - a.From) + (b.To - b.From)
		end := max(a.To, b.To)
		spans = spans[1:]
		spans[0] = glade.DownSpan{Host: b.Host, From: end - length, To: end, Cause: b.Cause}
	}
	return spans
}

func copyAccount(account glade.AccountRow) glade.AccountRow {
	next := account
	next.Members = make(map[glade.Host]glade.Member, len(account.Members)+1)
	maps.Copy(next.Members, account.Members)
	next.Coming = make(map[glade.Host]int64, len(account.Coming)+1)
	maps.Copy(next.Coming, account.Coming)
	next.Spent = append([]glade.DownSpan(nil), account.Spent...)
	return next
}
