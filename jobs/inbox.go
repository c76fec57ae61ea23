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
	// scanOverlap is how far an incremental scan goes back before the time of the
	// previous scan. It covers the clock skew between processes plus the duration
	// of a slow transaction.
	scanOverlap = 2 * time.Second
	// fullScanPeriod is the minimum interval between two full scans, which find the
	// pages of processes with a larger clock skew.
	fullScanPeriod = 30 * time.Second
	// fullScanRate limits the average read rate of full scans, in pages per second.
	fullScanRate = 50
)

// inbox tracks the inbox pages of one customer.
type inbox struct {
	customer glade.Customer
	pages    map[string]*pageState
	// pagesByTicket holds the keys of the pages that list a job.
	pagesByTicket map[glade.Ticket][]string
	// nextFullScan is when the next full scan is due.
	nextFullScan time.Time
	// cursor is the key after which the next incremental scan starts.
	cursor string
}

type pageState struct {
	record InboxPage
	// openJobs is the number of jobs on the page that have not ended.
	openJobs int
}

func newInbox(customer glade.Customer) *inbox {
	return &inbox{customer: customer, pages: make(map[string]*pageState), pagesByTicket: make(map[glade.Ticket][]string)}
}

// readNew scans the inbox and returns the pages that are not tracked yet.
func (b *inbox) readNew(ctx context.Context, t glade.Table, now time.Time) ([]glade.InboxRow, error) {
	after := b.cursor
	full := !now.Before(b.nextFullScan)
	if full {
		after = ""
	}
	pages, err := table.LoadAfter[glade.InboxRow](ctx, t, inboxPrefix(b.customer), after)
	if err != nil {
		return nil, err
	}
	if full {
		pause := time.Duration(len(pages)) * time.Second / fullScanRate
		b.nextFullScan = now.Add(max(fullScanPeriod, pause))
	}
	b.cursor = fmt.Sprintf("%s%014d", inboxPrefix(b.customer), now.Add(-scanOverlap).UnixMilli())
	var found []glade.InboxRow
	for _, page := range pages {
		if b.pages[page.Key()] == nil {
			b.track(page)
			found = append(found, page.Data())
		}
	}
	return found, nil
}

// track starts to track a page.
func (b *inbox) track(page InboxPage) {
	jobs := page.Data().Jobs
	b.pages[page.Key()] = &pageState{record: page, openJobs: len(jobs)}
	for _, item := range jobs {
		b.pagesByTicket[item.Ticket] = append(b.pagesByTicket[item.Ticket], page.Key())
	}
}

// jobClosed records that a job is no longer open.
func (b *inbox) jobClosed(ticket glade.Ticket) {
	for _, key := range b.pagesByTicket[ticket] {
		if state := b.pages[key]; state != nil {
			state.openJobs--
		}
	}
	delete(b.pagesByTicket, ticket)
}

// finishedPages returns up to n pages that have no open jobs, in the order of
// their keys.
func (b *inbox) finishedPages(n int) []InboxPage {
	var keys []string
	for key, state := range b.pages {
		if state.openJobs == 0 {
			keys = append(keys, key)
		}
	}
	slices.Sort(keys)
	var pages []InboxPage
	for _, key := range keys[:min(n, len(keys))] {
		pages = append(pages, b.pages[key].record)
	}
	return pages
}

// deletePages deletes pages, on condition that the keeper still leads the
// shard. When the table service is unavailable or the outcome is uncertain, the
// pages stay tracked and the delete is retried in a later step.
func (b *inbox) deletePages(ctx context.Context, t glade.Table, lead ShardLeader, pages []InboxPage) {
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
