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

// Limits on the work of one step.
const (
	// maxJobReads is the number of job rows read per customer, for new inbox
	// entries and after failed writes.
	maxJobReads = 200
	// maxTxnChanges is the number of job changes in one transaction.
	maxTxnChanges = 25
	// maxWorkerPolls is the number of workers polled.
	maxWorkerPolls = 200
	// maxPageDeletes is the number of inbox pages deleted per customer.
	maxPageDeletes = 10
)

// writeBurstTime sets the burst of the write limiter: the rows that the write rate
// allows in this time. It covers a step that runs late.
const writeBurstTime = 550 * time.Millisecond

// Config holds the dependencies and limits of a controller.
type Config struct {
	Table    glade.Table
	Objects  glade.ObjectStore
	Workers  glade.Workers
	Hosts    glade.HostList
	Registry *adopt.Registry
	Roster   glade.Roster
	// WriteRate is the write rate that the controllers of all keepers share, in
	// rows per second.
	WriteRate int
	// WaveWriteRate is the write rate of one controller during a large wave of
	// cancellations, in rows per second.
	WaveWriteRate int
	// MaxCalls is the maximum number of concurrent calls to workers.
	MaxCalls int
	// Counters receives event counts. It may be nil.
	Counters *expvar.Map
}

// Controller schedules the jobs of the customers whose shards it leads: it places
// them on hosts, starts and stops their tasks and records the results. It is
// not safe for concurrent use.
type Controller struct {
	config      Config
	elector     *elector
	hosts       *hostView
	dispatchers map[glade.Customer]*dispatcher
	limiter     *rate.Limiter
	calls       parallelCalls
	steps       int
}

// New returns a controller that leads no shard yet.
func New(config Config) *Controller {
	return &Controller{
		config:      config,
		elector:     newElector(config),
		hosts:       newHostView(config),
		dispatchers: make(map[glade.Customer]*dispatcher),
		limiter:     rate.NewLimiter(rate.Limit(config.WriteRate), config.WriteRate),
		calls:       parallelCalls{limit: config.MaxCalls},
	}
}

func (c *Controller) count(name string, n int) {
	if c.config.Counters != nil && n != 0 {
		c.config.Counters.Add(name, int64(n))
	}
}

// Step runs one scheduling cycle. It returns an error when the table service or
// the host list could not be read; the next step continues from there. Workers
// are polled even then, because polling renews the leases of running tasks.
func (c *Controller) Step(ctx context.Context, now time.Time) error {
	err := c.refresh(ctx, now)
	if len(c.dispatchers) == 0 {
		return err
	}
	c.pollWorkers(ctx, now)
	if err == nil {
		c.schedule(ctx, now)
	}
	return err
}

// Stop releases all shards, so that other keepers can take them over at once.
func (c *Controller) Stop(ctx context.Context) {
	c.elector.releaseAll(ctx)
	clear(c.dispatchers)
}

// refresh updates the state from the table service and the host list.
func (c *Controller) refresh(ctx context.Context, now time.Time) error {
	if err := c.lead(ctx, now); err != nil {
		return err
	}
	if len(c.dispatchers) == 0 {
		return nil
	}
	if err := c.hosts.step(ctx); err != nil {
		return err
	}
	for _, d := range c.sortedDispatchers() {
		if err := c.readInbox(ctx, d, now); err != nil {
			return err
		}
	}
	clear(c.hosts.changed)
	return nil
}

// lead updates the led shards. It discards the state of customers whose shards
// were gained or lost, and creates state for every customer of a led shard.
func (c *Controller) lead(ctx context.Context, now time.Time) error {
	gained, lost, err := c.elector.step(ctx, now)
	if err != nil {
		return err
	}
	c.count("lead.gained", len(gained))
	c.count("lead.lost", len(lost))
	for customer := range c.dispatchers {
		if shard := ShardOf(customer); slices.Contains(gained, shard) || slices.Contains(lost, shard) {
			delete(c.dispatchers, customer)
		}
	}
	for _, contract := range c.config.Registry.All() {
		lead, isLeader := c.elector.held[ShardOf(contract.Customer())]
		if !isLeader {
			continue
		}
		d := c.dispatchers[contract.Customer()]
		if d == nil {
			d = newDispatcher(contract.Customer(), lead, c.hosts)
			c.dispatchers[contract.Customer()] = d
		}
		d.lead = lead
	}
	return nil
}

func (c *Controller) sortedDispatchers() []*dispatcher {
	list := make([]*dispatcher, 0, len(c.dispatchers))
	for _, d := range c.dispatchers {
		list = append(list, d)
	}
	slices.SortFunc(list, func(a, b *dispatcher) int { return strings.Compare(string(a.customer), string(b.customer)) })
	return list
}

// readInbox reads new inbox pages and the rows of the jobs on them, urgent jobs
// first.
func (c *Controller) readInbox(ctx context.Context, d *dispatcher, now time.Time) error {
	if contract, ok := c.config.Registry.Find(d.customer); ok {
		d.update(contract, now)
	}
	pages, err := d.inbox.readNew(ctx, c.config.Table, now)
	if err != nil {
		return err
	}
	for _, page := range pages {
		if page.Cancel {
			d.requestCancel(page.Jobs)
		}
		for _, item := range page.Jobs {
			if !page.Cancel || d.jobs[item.Ticket] == nil {
				d.unread[item.Ticket] = item.Priority
			}
		}
	}
	for _, ticket := range firstUnread(d.unread, maxJobReads) {
		if err := c.loadJob(ctx, d, ticket, now); err != nil {
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

func (c *Controller) loadJob(ctx context.Context, d *dispatcher, ticket glade.Ticket, now time.Time) error {
	record, err := Find(ctx, c.config.Table, ticket)
	if err != nil {
		return err
	}
	delete(d.unread, ticket)
	if record.Exists() {
		d.updateJob(record.Data(), now)
	}
	return nil
}

// schedule places waiting jobs, writes the queued changes of all customers by
// class, then deletes finished inbox pages and commands the workers.
func (c *Controller) schedule(ctx context.Context, now time.Time) {
	dispatchers := c.rotatedDispatchers()
	c.updateWriteLimit(now)
	tokens := int(c.limiter.TokensAt(now))
	for _, d := range dispatchers {
		d.parkUnplaceable()
		c.applyAdjustments(ctx, d, d.placeWaiting(tokens))
	}
	for class := range numClasses {
		for _, d := range dispatchers {
			c.writeClass(ctx, d, class, now)
		}
	}
	for _, d := range dispatchers {
		c.deletePages(ctx, d, now)
		c.sendCommands(ctx, d, now)
	}
}

// rotatedDispatchers returns the customers' dispatchers, starting with a
// different one in each step, so that no customer is always served last.
func (c *Controller) rotatedDispatchers() []*dispatcher {
	dispatchers := c.sortedDispatchers()
	c.steps++
	first := c.steps % len(dispatchers)
	return append(dispatchers[first:], dispatchers[:first]...)
}

// updateWriteLimit sets the write limit to the share of the write rate that
// corresponds to the number of led shards. When a customer has more cancellation
// requests than the write rate allows per second, the limit is WaveWriteRate
// instead: cancellations free capacity, and each job is written only once.
func (c *Controller) updateWriteLimit(now time.Time) {
	limit := float64(c.config.WriteRate) * float64(len(c.elector.held)) / Shards
	for _, d := range c.dispatchers {
		if len(d.cancelRequests) > c.config.WriteRate {
			limit = float64(c.config.WaveWriteRate)
			break
		}
	}
	c.limiter.SetLimitAt(now, rate.Limit(limit))
	c.limiter.SetBurstAt(now, max(maxTxnChanges, int(limit*writeBurstTime.Seconds())))
	// Writes of shard leader rows count against the limit too.
	c.limiter.ReserveN(now, c.elector.takeWriteCount())
}

// writeClass writes the queued changes of one class as far as the write limit
// allows.
func (c *Controller) writeClass(ctx context.Context, d *dispatcher, class int, now time.Time) {
	for {
		changes := d.takeChanges(class, min(int(c.limiter.TokensAt(now)), maxTxnChanges))
		if len(changes) == 0 || !c.writeChanges(ctx, d, changes, now) {
			return
		}
	}
}

// writeChanges commits changes and updates the in-memory jobs with the written
// rows. It returns false when the table service is unavailable or an outcome is
// uncertain.
func (c *Controller) writeChanges(ctx context.Context, d *dispatcher, changes []Change, now time.Time) bool {
	c.limiter.AllowN(now, len(changes))
	usable := true
	for _, outcome := range WriteChanges(ctx, c.config.Table, d.lead, changes, now) {
		ticket := outcome.Change.Ticket
		c.count("write."+outcome.Result.String(), 1)
		if outcome.Result == glade.Committed {
			c.count("phase."+string(outcome.Row.Phase), 1)
			d.queueDiscard(outcome)
			d.updateJob(outcome.Row, now)
			continue
		}
		usable = usable && outcome.Result == glade.Conflicted
		if outcome.Change.Host.Exists() {
			c.hosts.stale[outcome.Change.Event.Target.Host] = true
		}
		d.revert(ticket)
	}
	return usable
}

// queueDiscard queues a stop command that lets the worker discard a run that has
// ended.
func (d *dispatcher) queueDiscard(outcome ChangeResult) {
	e := outcome.Change.Event
	switch e.Kind {
	case EventDone, EventFailed, EventStopped:
		d.endedRuns = append(d.endedRuns, endedRun{host: outcome.Row.Host, task: TaskID(outcome.Row.Ticket, e.Fence)})
	}
}

// revert undoes the assumed placement of a job whose change was not written, and
// schedules its row to be read again.
func (d *dispatcher) revert(ticket glade.Ticket) {
	job := d.jobs[ticket]
	if job == nil {
		return
	}
	d.unread[ticket] = job.row.Priority
	if job.row.Phase == glade.JobAccepted {
		d.fleet.Remove(ticket)
	}
}

// deletePages deletes finished inbox pages. It waits until no job change is queued.
func (c *Controller) deletePages(ctx context.Context, d *dispatcher, now time.Time) {
	if len(d.changes) > 0 {
		return
	}
	pages := d.inbox.finishedPages(min(maxPageDeletes, int(c.limiter.TokensAt(now))))
	c.limiter.AllowN(now, len(pages))
	d.inbox.deletePages(ctx, c.config.Table, d.lead, pages)
}

// recordSuspect writes the row that marks a host as suspect, so that the host is
// found and repaired.
func (c *Controller) recordSuspect(ctx context.Context, host glade.Host, now time.Time) {
	record, err := table.Load[glade.SuspectRow](ctx, c.config.Table, glade.PrefixSuspect+string(host))
	if err != nil {
		return
	}
	batch := table.NewBatch()
	table.Replace(batch, record, glade.SuspectRow{
		Host: host, Incarnation: c.hosts.listed[host].Incarnation, Since: now.UnixMilli(), Failures: record.Data().Failures + 1,
	})
	if result, err := batch.Commit(ctx, c.config.Table); err == nil && result == glade.Committed {
		c.count("suspect", 1)
	}
}
