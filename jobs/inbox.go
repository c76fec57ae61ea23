package jobs

import (
	"context"
	"fmt"
	"slices"
	"time"

	glade "indigoglade"
	"indigoglade/table"
)

// Timings of inbox scans.
const (
	// skewTime is the sum of clock skew between processes and duration of a
	// transaction up to which an incremental scan finds a new page.
	skewTime = 2 * time.Second
	// rescanPeriod is the minimum interval between two full scans, which find the
	// pages of processes with a larger clock skew.
	rescanPeriod = 30 * time.Second
	// rescanRate limits the average read rate of full scans, in pages per second.
	rescanRate = 50
)

// inbox tracks the inbox pages of one customer.
type inbox struct {
	customer glade.Customer
	pages    map[string]*pageState
	// byTicket holds the keys of the pages that list a job.
	byTicket map[glade.Ticket][]string
	// rescan is when the next full scan is due.
	rescan time.Time
	// cursor is the key after which the next incremental scan starts.
	cursor string
}

type pageState struct {
	record Page
	// open is the number of jobs on the page that are still open.
	open int
}

func newInbox(customer glade.Customer) *inbox {
	return &inbox{customer: customer, pages: make(map[string]*pageState), byTicket: make(map[glade.Ticket][]string)}
}

// read scans the inbox and returns the pages that are not tracked yet.
func (b *inbox) read(ctx context.Context, t glade.Table, now time.Time) ([]glade.InboxRow, error) {
	after := b.cursor
	full := !now.Before(b.rescan)
	if full {
		after = ""
	}
	pages, err := table.LoadAfter[glade.InboxRow](ctx, t, inboxPrefix(b.customer), after)
	if err != nil {
		return nil, err
	}
	if full {
		pause := time.Duration(len(pages)) * time.Second / rescanRate
		b.rescan = now.Add(max(rescanPeriod, pause))
	}
	b.cursor = fmt.Sprintf("%s%014d", inboxPrefix(b.customer), now.Add(-skewTime).UnixMilli())
	var found []glade.InboxRow
	for _, page := range pages {
		if b.pages[page.Key()] == nil {
			b.add(page)
			found = append(found, page.Data())
		}
	}
	return found, nil
}

// add starts to track a page.
func (b *inbox) add(page Page) {
	jobs := page.Data().Jobs
	b.pages[page.Key()] = &pageState{record: page, open: len(jobs)}
	for _, item := range jobs {
		b.byTicket[item.Ticket] = append(b.byTicket[item.Ticket], page.Key())
	}
}

// closed records that a job is no longer open.
func (b *inbox) closed(ticket glade.Ticket) {
	for _, key := range b.byTicket[ticket] {
		if state := b.pages[key]; state != nil {
			state.open--
		}
	}
	delete(b.byTicket, ticket)
}

// empty returns up to n pages that have no open jobs, in the order of their keys.
func (b *inbox) empty(n int) []Page {
	var keys []string
	for key, state := range b.pages {
		if state.open == 0 {
			keys = append(keys, key)
		}
	}
	slices.Sort(keys)
	var pages []Page
	for _, key := range keys[:min(n, len(keys))] {
		pages = append(pages, b.pages[key].record)
	}
	return pages
}

// drop deletes pages, on condition that the keeper still leads the shard. When
// the table service is unavailable or the outcome is uncertain, the pages stay
// tracked and the delete is retried in a later step.
func (b *inbox) drop(ctx context.Context, t glade.Table, lead Lead, pages []Page) {
	if len(pages) == 0 {
		return
	}
	batch := table.NewBatch()
	table.Require(batch, lead)
	for _, page := range pages {
		table.Remove(batch, page)
	}
	result, err := batch.Commit(ctx, t)
	if err != nil || result == glade.Unavailable || result == glade.Uncertain {
		return
	}
	for _, page := range pages {
		delete(b.pages, page.Key())
	}
}
