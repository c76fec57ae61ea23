package jobs

import (
	"context"
	"fmt"
	"maps"
	"slices"
	"time"

	"github.com/google/uuid"

	glade "indigoglade"
	"indigoglade/owner"
	"indigoglade/table"
)

// Job is the record of a job.
type Job = table.Record[glade.JobRow]

// Page is the record of a page of the inbox.
type Page = table.Record[glade.InboxRow]

// Lead is the record of the keeper of a shard.
type Lead = table.Record[glade.LeadRow]

// Key returns the key of a job's row.
func Key(ticket glade.Ticket) string { return glade.PrefixJob + string(ticket) }

// Find reads the record of a job.
func Find(ctx context.Context, t glade.Table, ticket glade.Ticket) (Job, error) {
	return table.Load[glade.JobRow](ctx, t, Key(ticket))
}

// keySpace derives ids from the keys that callers supply.
var keySpace = uuid.NewSHA1(uuid.NameSpaceURL, []byte("indigoglade/jobs"))

// TicketFor returns the ticket of a new job. A caller's key gives the same
// ticket every time, so that a job that is sent again is found.
func TicketFor(customer glade.Customer, kind glade.Service, key string) glade.Ticket {
	if key == "" {
		return glade.NewTicket(customer, uuid.NewString())
	}
	return glade.NewTicket(customer, uuid.NewSHA1(keySpace, []byte(string(customer)+"/"+string(kind)+"/"+key)).String())
}

// Accept writes the rows of new jobs of one customer, and one page of the inbox
// that lists them, in one transaction. When one of them exists already, each is
// written by itself.
//
// The result of a job is Committed when its row is written, now or before.
// Unavailable means that it was not written, and Uncertain that nobody can tell
// yet.
func Accept(ctx context.Context, t glade.Table, rows []glade.JobRow, now time.Time) map[glade.Ticket]glade.Commit {
	byTicket := make(map[glade.Ticket]glade.JobRow, len(rows))
	for _, row := range rows {
		byTicket[row.Ticket] = row
	}
	results := make(map[glade.Ticket]glade.Commit, len(rows))
	result := acceptAll(ctx, t, byTicket, now)
	for ticket, row := range byTicket {
		one := result
		if one == glade.Conflicted && len(byTicket) > 1 {
			one = acceptAll(ctx, t, map[glade.Ticket]glade.JobRow{ticket: row}, now)
		}
		if one == glade.Conflicted {
			// The only condition is that the row is absent, so it exists.
			one = glade.Committed
		}
		results[ticket] = one
	}
	return results
}

func acceptAll(ctx context.Context, t glade.Table, rows map[glade.Ticket]glade.JobRow, now time.Time) glade.Commit {
	batch := table.NewBatch()
	page := glade.InboxRow{}
	var customer glade.Customer
	for _, ticket := range slices.Sorted(maps.Keys(rows)) {
		row := rows[ticket]
		customer = row.Customer
		row.Phase = glade.JobAccepted
		row.Accepted = now.UnixMilli()
		row.Since = row.Accepted
		table.Replace(batch, table.Absent[glade.JobRow](Key(row.Ticket)), row)
		page.Jobs = append(page.Jobs, glade.InboxItem{Ticket: row.Ticket, Priority: row.Priority})
	}
	key := pageKey(customer, now, batch.Op())
	table.Replace(batch, table.Absent[glade.InboxRow](key), page)
	result, err := batch.Commit(ctx, t)
	if err != nil {
		return glade.Unavailable
	}
	return result
}

// inboxPrefix returns the prefix of a customer's pages.
func inboxPrefix(customer glade.Customer) string {
	return glade.PrefixInbox + string(customer) + "/"
}

// pageKey orders pages by time.
func pageKey(customer glade.Customer, now time.Time, id string) string {
	return fmt.Sprintf("%s%014d-%s", inboxPrefix(customer), now.UnixMilli(), id)
}

// Change is one event to be written to a job's row.
type Change struct {
	Ticket glade.Ticket
	Event  Event
	// Host is the record that a placement rests on.
	Host owner.Host
}

// Changed is the result of one change.
type Changed struct {
	Change Change
	// Row is the row as it now stands, where Result is Committed.
	Row glade.JobRow
	// Result is Conflicted when the event did not apply or another writer was
	// first.
	Result glade.Commit
}

// Write applies changes under the conditions of leads and hosts, in one
// transaction. After a conflict the changes are split, so that one host that
// moved holds up no other change.
func Write(ctx context.Context, t glade.Table, lead Lead, changes []Change, now time.Time) []Changed {
	if len(changes) == 0 {
		return nil
	}
	done := prepare(ctx, t, changes, now)
	batch := table.NewBatch()
	table.Require(batch, lead)
	required := make(map[string]bool)
	var open []int
	for i, p := range done {
		if p.changed.Result != 0 {
			continue
		}
		open = append(open, i)
		table.Replace(batch, p.record, p.changed.Row)
		if host := p.changed.Change.Host; host.Exists() && !required[host.Key()] {
			required[host.Key()] = true
			table.Require(batch, host)
		}
	}
	if len(open) > 0 {
		result, err := batch.Commit(ctx, t)
		if err != nil {
			result = glade.Unavailable
		}
		if result == glade.Conflicted && len(changes) > 1 {
			half := len(changes) / 2
			return append(Write(ctx, t, lead, changes[:half], now), Write(ctx, t, lead, changes[half:], now)...)
		}
		for _, i := range open {
			done[i].changed.Result = result
		}
	}
	results := make([]Changed, 0, len(done))
	for _, p := range done {
		results = append(results, p.changed)
	}
	return results
}

type prepared struct {
	changed Changed
	record  Job
}

// prepare reads each row afresh and applies its event. A change whose Result is
// set needs no write.
func prepare(ctx context.Context, t glade.Table, changes []Change, now time.Time) []prepared {
	done := make([]prepared, 0, len(changes))
	for _, change := range changes {
		p := prepared{changed: Changed{Change: change}}
		record, err := Find(ctx, t, change.Ticket)
		p.record = record
		applies := false
		if err == nil && record.Exists() {
			p.changed.Row, applies = Apply(record.Data(), change.Event, now)
		}
		switch {
		case err != nil:
			p.changed.Result = glade.Unavailable
		case !applies:
			p.changed.Result = glade.Conflicted
		}
		done = append(done, p)
	}
	return done
}

// Cancel asks for the end of one job on behalf of its customer, and returns its
// row. The job is cancelled once the row says so; a row that is only marked
// follows when its run has ended.
func Cancel(ctx context.Context, t glade.Table, ticket glade.Ticket, now time.Time) (glade.JobRow, glade.Commit) {
	for range cancelTries {
		record, err := Find(ctx, t, ticket)
		if err != nil {
			return glade.JobRow{}, glade.Unavailable
		}
		row, applies := Apply(record.Data(), Event{Kind: EventCancel}, now)
		if !record.Exists() || !applies {
			return row, glade.Committed
		}
		batch := table.NewBatch()
		table.Replace(batch, record, row)
		addCancelPage(batch, row.Customer, []glade.InboxItem{{Ticket: ticket, Priority: row.Priority}}, now)
		result, err := batch.Commit(ctx, t)
		if err != nil {
			return glade.JobRow{}, glade.Unavailable
		}
		if result != glade.Conflicted {
			return row, result
		}
	}
	return glade.JobRow{}, glade.Conflicted
}

// addCancelPage adds a page that tells the lead which jobs are to end.
func addCancelPage(batch *table.Batch, customer glade.Customer, items []glade.InboxItem, now time.Time) {
	key := pageKey(customer, now, batch.Op())
	table.Replace(batch, table.Absent[glade.InboxRow](key), glade.InboxRow{Cancel: true, Jobs: items})
}

// cancelPage is the number of jobs of one page of a wave of cancellations.
const cancelPage = 1000

// CancelAll orders the end of many jobs of one customer, and returns how many
// were ordered. An order is written in few rows; the lead carries it out ahead
// of all other work, with one write for each job. An order that is repeated has
// no further effect.
func CancelAll(ctx context.Context, t glade.Table, customer glade.Customer, items []glade.InboxItem, now time.Time) (int, glade.Commit) {
	ordered := 0
	for chunk := range slices.Chunk(items, cancelPage) {
		batch := table.NewBatch()
		addCancelPage(batch, customer, chunk, now)
		result, err := batch.Commit(ctx, t)
		if err != nil {
			return ordered, glade.Unavailable
		}
		if result != glade.Committed {
			return ordered, result
		}
		ordered += len(chunk)
	}
	return ordered, glade.Committed
}

// cancelTries bounds how often a cancellation is tried against other writers.
const cancelTries = 5
