package jobs

import (
	"context"
	"expvar"
	"slices"
	"strings"
	"time"

	"golang.org/x/time/rate"

	glade "indigoglade"
	"indigoglade/adopt"
	"indigoglade/table"
)

// Bounds of one step.
const (
	// maxReads bounds the job rows that a step reads because they are new.
	maxReads = 200
	// maxBatch bounds the changes of one transaction.
	maxBatch = 25
	// maxPolls bounds the workers that a step asks.
	maxPolls = 200
	// maxDrops bounds the pages that a step deletes.
	maxDrops = 10
)

// burstTime is the time whose share of the write rate may be used at once. It
// covers a step that comes late.
const burstTime = 550 * time.Millisecond

// Config configures a Crew.
type Config struct {
	Table   glade.Table
	Objects glade.Objects
	Workers glade.Workers
	Hosts   glade.HostList
	Book    *adopt.Book
	Roster  glade.Roster
	// Writes is the number of rows that the crews of all keepers together may
	// write in a second.
	Writes int
	// Wave is the same for one crew that carries out a large wave of
	// cancellations.
	Wave int
	// Parallel is the number of calls to workers at once.
	Parallel int
	// Counters receives what happened. It may be nil.
	Counters *expvar.Map
}

// Crew places and follows the jobs of the customers that it leads. It is not
// safe for use by several goroutines.
type Crew struct {
	config  Config
	leads   *leads
	hosts   *hostView
	desks   map[glade.Customer]*desk
	limiter *rate.Limiter
	calls   calls
	turn    int
}

// New returns a crew that leads nothing yet.
func New(config Config) *Crew {
	return &Crew{
		config:  config,
		leads:   newLeads(config),
		hosts:   newHostView(config),
		desks:   make(map[glade.Customer]*desk),
		limiter: rate.NewLimiter(rate.Limit(config.Writes), config.Writes),
		calls:   calls{parallel: config.Parallel},
	}
}

func (c *Crew) count(name string, n int) {
	if c.config.Counters != nil && n != 0 {
		c.config.Counters.Add(name, int64(n))
	}
}

// Step does what is due. An error tells that the platform could not be read;
// the next step goes on from there. Workers are asked also then, because that
// renews the leases of running tasks.
func (c *Crew) Step(ctx context.Context, now time.Time) error {
	err := c.read(ctx, now)
	if len(c.desks) == 0 {
		return err
	}
	c.poll(ctx, now)
	if err == nil {
		c.serve(ctx, now)
	}
	return err
}

// Stop gives up what the crew leads, so that others take it over at once.
func (c *Crew) Stop(ctx context.Context) {
	c.leads.stop(ctx)
	clear(c.desks)
}

// read brings everything up to date with the table service and the host list.
func (c *Crew) read(ctx context.Context, now time.Time) error {
	if err := c.lead(ctx, now); err != nil {
		return err
	}
	if len(c.desks) == 0 {
		return nil
	}
	if err := c.hosts.step(ctx); err != nil {
		return err
	}
	for _, d := range c.sorted() {
		if err := c.learnNews(ctx, d, now); err != nil {
			return err
		}
	}
	clear(c.hosts.changed)
	return nil
}

// lead builds the desks of customers whose shards were gained, and drops those
// whose shards were lost.
func (c *Crew) lead(ctx context.Context, now time.Time) error {
	gained, lost, err := c.leads.step(ctx, now)
	if err != nil {
		return err
	}
	c.count("lead.gained", len(gained))
	c.count("lead.lost", len(lost))
	for customer := range c.desks {
		if shard := ShardOf(customer); slices.Contains(gained, shard) || slices.Contains(lost, shard) {
			delete(c.desks, customer)
		}
	}
	for _, contract := range c.config.Book.All() {
		lead, held := c.leads.held[ShardOf(contract.Customer())]
		if !held {
			continue
		}
		d := c.desks[contract.Customer()]
		if d == nil {
			d = newDesk(contract.Customer(), lead, c.hosts)
			c.desks[contract.Customer()] = d
		}
		d.lead = lead
	}
	return nil
}

func (c *Crew) sorted() []*desk {
	list := make([]*desk, 0, len(c.desks))
	for _, d := range c.desks {
		list = append(list, d)
	}
	slices.SortFunc(list, func(a, b *desk) int { return strings.Compare(string(a.customer), string(b.customer)) })
	return list
}

// learnNews reads new pages and the rows of the jobs that they name, urgent
// ones first.
func (c *Crew) learnNews(ctx context.Context, d *desk, now time.Time) error {
	if contract, ok := c.config.Book.Find(d.customer); ok {
		d.follow(contract, now)
	}
	pages, err := d.inbox.read(ctx, c.config.Table, now)
	if err != nil {
		return err
	}
	for _, page := range pages {
		if page.Cancel {
			d.order(page.Jobs)
		}
		for _, item := range page.Jobs {
			if !page.Cancel || d.items[item.Ticket] == nil {
				d.unread[item.Ticket] = item.Priority
			}
		}
	}
	for _, ticket := range firstUnread(d.unread, maxReads) {
		if err := c.reread(ctx, d, ticket, now); err != nil {
			return err
		}
	}
	d.ready = d.ready || len(d.unread) == 0
	return nil
}

func firstUnread(unread map[glade.Ticket]glade.Priority, n int) []glade.Ticket {
	tickets := make([]glade.Ticket, 0, len(unread))
	for ticket := range unread {
		tickets = append(tickets, ticket)
	}
	slices.SortFunc(tickets, func(a, b glade.Ticket) int {
		if order := unread[a].Rank() - unread[b].Rank(); order != 0 {
			return order
		}
		return strings.Compare(string(a), string(b))
	})
	return tickets[:min(n, len(tickets))]
}

func (c *Crew) reread(ctx context.Context, d *desk, ticket glade.Ticket, now time.Time) error {
	record, err := Find(ctx, c.config.Table, ticket)
	if err != nil {
		return err
	}
	delete(d.unread, ticket)
	if record.Exists() {
		d.see(record.Data(), now)
	}
	return nil
}

// serve decides, writes what was decided, the most pressing changes of every
// customer first, and commands the workers.
func (c *Crew) serve(ctx context.Context, now time.Time) {
	desks := c.turned()
	c.setRate(now)
	room := int(c.limiter.TokensAt(now))
	for _, d := range desks {
		d.parkHopeless()
		c.relieve(ctx, d, d.round(room))
	}
	for class := range classes {
		for _, d := range desks {
			c.writeClass(ctx, d, class, now)
		}
	}
	for _, d := range desks {
		c.drop(ctx, d, now)
		c.command(ctx, d, now)
	}
}

// turned returns the desks, another one first in each step, so that none is
// always served last.
func (c *Crew) turned() []*desk {
	desks := c.sorted()
	c.turn++
	at := c.turn % len(desks)
	return append(desks[at:], desks[:at]...)
}

// setRate takes the share of the write rate that the held shards give. A large
// wave of cancellations has a rate of its own: it frees room, and each job is
// written once.
func (c *Crew) setRate(now time.Time) {
	limit := float64(c.config.Writes) * float64(len(c.leads.held)) / Shards
	for _, d := range c.desks {
		if len(d.cancels) > c.config.Writes {
			limit = float64(c.config.Wave)
			break
		}
	}
	c.limiter.SetLimitAt(now, rate.Limit(limit))
	c.limiter.SetBurstAt(now, max(maxBatch, int(limit*burstTime.Seconds())))
	// Signs of life count too.
	c.limiter.ReserveN(now, c.leads.takeWrites())
}

// writeClass writes the queued changes of one class as far as the rate allows.
func (c *Crew) writeClass(ctx context.Context, d *desk, class int, now time.Time) {
	for {
		changes := d.take(class, min(int(c.limiter.TokensAt(now)), maxBatch))
		if len(changes) == 0 || !c.write(ctx, d, changes, now) {
			return
		}
	}
}

// write commits changes and takes over what was written. It returns false while
// the table service can't be used.
func (c *Crew) write(ctx context.Context, d *desk, changes []Change, now time.Time) bool {
	c.limiter.AllowN(now, len(changes))
	usable := true
	for _, changed := range Write(ctx, c.config.Table, d.lead, changes, now) {
		ticket := changed.Change.Ticket
		c.count("write."+changed.Result.String(), 1)
		if changed.Result == glade.Committed {
			c.count("phase."+string(changed.Row.Phase), 1)
			d.release(changed)
			d.see(changed.Row, now)
			continue
		}
		usable = usable && changed.Result == glade.Conflicted
		if changed.Change.Host.Exists() {
			c.hosts.stale[changed.Change.Event.Spot.Host] = true
		}
		d.undo(ticket)
	}
	return usable
}

// release lets the worker forget a run that has ended.
func (d *desk) release(changed Changed) {
	e := changed.Change.Event
	switch e.Kind {
	case EventDone, EventFail, EventStopped:
		d.releases = append(d.releases, release{host: changed.Row.Host, task: TaskID(changed.Row.Ticket, e.Fence)})
	}
}

// undo gives up what was assumed about a job whose change was not written; its
// row is read again.
func (d *desk) undo(ticket glade.Ticket) {
	it := d.items[ticket]
	if it == nil {
		return
	}
	d.unread[ticket] = it.row.Priority
	if it.row.Phase == glade.JobAccepted {
		d.fleet.Forget(ticket)
	}
}

func (c *Crew) drop(ctx context.Context, d *desk, now time.Time) {
	if len(d.changes) > 0 {
		return
	}
	pages := d.inbox.empty(min(maxDrops, int(c.limiter.TokensAt(now))))
	c.limiter.AllowN(now, len(pages))
	d.inbox.drop(ctx, c.config.Table, d.lead, pages)
}

// suspect records a host that failed what it ran, for those who own it.
func (c *Crew) suspect(ctx context.Context, host glade.Host, now time.Time) {
	record, err := table.Load[glade.SuspectRow](ctx, c.config.Table, glade.PrefixSuspect+string(host))
	if err != nil {
		return
	}
	batch := table.NewBatch()
	table.Replace(batch, record, glade.SuspectRow{
		Host: host, Incarnation: c.hosts.listed[host].Incarnation, Since: now.UnixMilli(), Failures: record.Data().Failures + 1,
	})
	if _, err := batch.Commit(ctx, c.config.Table); err == nil {
		c.count("suspect", 1)
	}
}
