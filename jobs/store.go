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

// Job is a job's row with its key and version.
type Job = table.Record[glade.JobRow]

// InboxPage is an inbox page with its key and version.
type InboxPage = table.Record[glade.InboxRow]

// ShardLeader is the row that names the leader of a shard, with its key and version.
type ShardLeader = table.Record[glade.LeaderRow]

// RowKey returns the key of a job's row in the table service.
func RowKey(ticket glade.Ticket) string { return glade.PrefixJob + string(ticket) }

// Find reads the row of a job. A job that does not exist is no error.
func Find(ctx context.Context, t glade.Table, ticket glade.Ticket) (Job, error) {
	return table.Load[glade.JobRow](ctx, t, RowKey(ticket))
}

// ticketNamespace is the UUID namespace for ids that derive from callers' keys.
var ticketNamespace = uuid.NewSHA1(uuid.NameSpaceURL, []byte("indigoglade/jobs"))

// TicketFor returns the ticket of a new job. The ticket is random when key is
// empty. Otherwise it derives from the customer, the kind and the key, which makes
// submissions with the same key idempotent.
func TicketFor(customer glade.Customer, kind glade.Service, key string) glade.Ticket {
	if key == "" {
		return glade.NewTicket(customer, uuid.NewString())
	}
	return glade.NewTicket(customer, uuid.NewSHA1(ticketNamespace, []byte(string(customer)+"/"+string(kind)+"/"+key)).String())
}

// Accept writes the rows of new jobs of one customer, and an inbox page that lists
// them, in one transaction. When one of the jobs exists already, each job is
// written in a transaction of its own.
//
// The result of a job is Committed when its row was written by this or an earlier
// call, Unavailable when it was not written, and Uncertain when that is not known.
func Accept(ctx context.Context, t glade.Table, rows []glade.JobRow, now time.Time) map[glade.Ticket]glade.CommitResult {
	byTicket := make(map[glade.Ticket]glade.JobRow, len(rows))
	for _, row := range rows {
		byTicket[row.Ticket] = row
	}
	results := make(map[glade.Ticket]glade.CommitResult, len(rows))
	result := acceptAll(ctx, t, byTicket, now)
	for ticket, row := range byTicket {
		rowResult := result
		if rowResult == glade.Conflicted && len(byTicket) > 1 {
			rowResult = acceptAll(ctx, t, map[glade.Ticket]glade.JobRow{ticket: row}, now)
		}
		if rowResult == glade.Conflicted {
			// Only the job's row can be present already, so an earlier call wrote it.
			rowResult = glade.Committed
		}
		results[ticket] = rowResult
	}
	return results
}

func acceptAll(ctx context.Context, t glade.Table, rows map[glade.Ticket]glade.JobRow, now time.Time) glade.CommitResult {
	batch := table.NewBatch()
	page := glade.InboxRow{}
	var customer glade.Customer
	for _, ticket := range slices.Sorted(maps.Keys(rows)) {
		row := rows[ticket]
		customer = row.Customer
		row.Phase = glade.JobAccepted
		row.Accepted = now.UnixMilli()
		row.Since = row.Accepted
		table.Replace(batch, table.Absent[glade.JobRow](RowKey(row.Ticket)), row)
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

// inboxPrefix returns the key prefix of a customer's inbox pages.
func inboxPrefix(customer glade.Customer) string {
	return glade.PrefixInbox + string(customer) + "/"
}

// pageKey returns the key of an inbox page. Keys sort by time.
func pageKey(customer glade.Customer, now time.Time, id string) string {
	return fmt.Sprintf("%s%014d-%s", inboxPrefix(customer), now.UnixMilli(), id)
}

// Change is an event to apply to a job's row.
type Change struct {
	Ticket glade.Ticket
	Event  Event
	// Host is the host row that a placement is conditional on. It is the zero
	// value for other events.
	Host owner.Host
}

// ChangeResult is the outcome of one change.
type ChangeResult struct {
	Change Change
	// Row is the written row. It is valid only when Result is Committed.
	Row glade.JobRow
	// Result is Conflicted when the event did not apply to the row or a condition
	// of the transaction failed.
	Result glade.CommitResult
}

// WriteChanges applies changes in one transaction that is conditional on the
// leader row and on the host rows of placements. After a conflict it writes the
// two halves of the changes separately, so that one changed row does not block
// the other changes.
func WriteChanges(ctx context.Context, t glade.Table, lead ShardLeader, changes []Change, now time.Time) []ChangeResult {
	if len(changes) == 0 {
		return nil
	}
	prepared := prepare(ctx, t, changes, now)
	batch := table.NewBatch()
	table.Require(batch, lead)
	required := make(map[string]bool)
	var pending []int
	for i, p := range prepared {
		if p.outcome.Result != 0 {
			continue
		}
		pending = append(pending, i)
		table.Replace(batch, p.record, p.outcome.Row)
		if host := p.outcome.Change.Host; host.Exists() && !required[host.Key()] {
			required[host.Key()] = true
			table.Require(batch, host)
		}
	}
	if len(pending) > 0 {
		result, err := batch.Commit(ctx, t)
		if err != nil {
			result = glade.Unavailable
		}
		if result == glade.Conflicted && len(changes) > 1 {
			half := len(changes) / 2
			return append(WriteChanges(ctx, t, lead, changes[:half], now), WriteChanges(ctx, t, lead, changes[half:], now)...)
		}
		for _, i := range pending {
			prepared[i].outcome.Result = result
		}
	}
	results := make([]ChangeResult, 0, len(prepared))
	for _, p := range prepared {
		results = append(results, p.outcome)
	}
	return results
}

type preparedChange struct {
	outcome ChangeResult
	record  Job
}

// prepare reads the current row of each change and applies the event. A change
// whose Result is set afterwards must not be written.
func prepare(ctx context.Context, t glade.Table, changes []Change, now time.Time) []preparedChange {
	prepared := make([]preparedChange, 0, len(changes))
	for _, change := range changes {
		p := preparedChange{outcome: ChangeResult{Change: change}}
		record, err := Find(ctx, t, change.Ticket)
		p.record = record
		applies := false
		if err == nil && record.Exists() {
			p.outcome.Row, applies = Apply(record.Data(), change.Event, now)
		}
		switch {
		case err != nil:
			p.outcome.Result = glade.Unavailable
		case !applies:
			p.outcome.Result = glade.Conflicted
		}
		prepared = append(prepared, p)
	}
	return prepared
}

// Cancel requests the cancellation of one job and returns its row. An accepted or
// parked job is cancelled at once. A placed or running job is only marked, and is
// cancelled when its run has ended. A job that has ended or does not exist needs no
// write; the result is then Committed.
func Cancel(ctx context.Context, t glade.Table, ticket glade.Ticket, now time.Time) (glade.JobRow, glade.CommitResult) {
	for range maxCancelTries {
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

// addCancelPage adds an inbox page that tells the shard's leader which jobs to
// cancel.
func addCancelPage(batch *table.Batch, customer glade.Customer, items []glade.InboxItem, now time.Time) {
	key := pageKey(customer, now, batch.Op())
	table.Replace(batch, table.Absent[glade.InboxRow](key), glade.InboxRow{Cancel: true, Jobs: items})
}

// maxCancelPageJobs is the maximum number of jobs on a page that CancelAll writes.
const maxCancelPageJobs = 1000

// CancelAll requests the cancellation of many jobs of one customer, and returns
// the number of jobs requested. The request takes only a few rows. The shard's
// leader carries it out ahead of all other work, with one write per job. Repeating
// a request has no further effect.
func CancelAll(ctx context.Context, t glade.Table, customer glade.Customer, items []glade.InboxItem, now time.Time) (int, glade.CommitResult) {
	requested := 0
	for chunk := range slices.Chunk(items, maxCancelPageJobs) {
		batch := table.NewBatch()
		addCancelPage(batch, customer, chunk, now)
		result, err := batch.Commit(ctx, t)
		if err != nil {
			return requested, glade.Unavailable
		}
		if result != glade.Committed {
			return requested, result
		}
		requested += len(chunk)
	}
	return requested, glade.Committed
}

// maxCancelTries is how often Cancel tries to write when other writers conflict.
const maxCancelTries = 5
