package jobs

import (
	"context"
	"fmt"
	"slices"
	"time"

	glade "indigoglade"
	"indigoglade/table"
)

// Times of the inbox.
const (
	// skewTime is how far the clocks of the processes may be apart, with the
	// time of a slow transaction, for a page to be found at once.
	skewTime = 2 * time.Second
	// rescanPeriod is the time between two looks at every page, which finds the
	// pages of clocks that are further off.
	rescanPeriod = 30 * time.Second
	// rescanRate bounds the pages that such looks read, in rows per second.
	rescanRate = 50
)

// inbox tracks the pages of one customer.
type inbox struct {
	customer glade.Customer
	pages    map[string]*pageState
	byTicket map[glade.Ticket][]string
	rescan   time.Time
	cursor   string
}

type pageState struct {
	record Page
	open   int
}

func newInbox(customer glade.Customer) *inbox {
	return &inbox{customer: customer, pages: make(map[string]*pageState), byTicket: make(map[glade.Ticket][]string)}
}

// read returns the new pages.
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

// add tracks a page until each of its jobs has ended.
func (b *inbox) add(page Page) {
	jobs := page.Data().Jobs
	b.pages[page.Key()] = &pageState{record: page, open: len(jobs)}
	for _, item := range jobs {
		b.byTicket[item.Ticket] = append(b.byTicket[item.Ticket], page.Key())
	}
}

// closed records that a job is not open any more.
func (b *inbox) closed(ticket glade.Ticket) {
	for _, key := range b.byTicket[ticket] {
		if state := b.pages[key]; state != nil {
			state.open--
		}
	}
	delete(b.byTicket, ticket)
}

// empty returns up to n pages without open jobs.
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

// drop deletes pages. A page whose delete is not answered is tried again.
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
