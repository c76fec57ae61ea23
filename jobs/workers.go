package jobs

import (
	"context"
	"slices"
	"sort"
	"time"

	"github.com/pkg/errors"

	glade "indigoglade"
	"indigoglade/place"
)

// report is the answer of one worker to a poll of its tasks.
type report struct {
	desk  *desk
	host  glade.Host
	tasks []glade.TaskState
	err   error
}

// poll polls the workers that run jobs for the states of their tasks.
func (c *Crew) poll(ctx context.Context, now time.Time) {
	var reports []report
	for _, d := range c.sorted() {
		for _, host := range d.due(now) {
			if len(reports) < maxPolls {
				reports = append(reports, report{desk: d, host: host})
			}
		}
	}
	c.calls.each(len(reports), func(i int) {
		reports[i].tasks, reports[i].err = c.config.Workers.Tasks(ctx, reports[i].host)
	})
	for _, r := range reports {
		r.desk.polled[r.host] = now
		if r.err != nil {
			c.count("poll.failed", 1)
			r.desk.silent(r.host, now)
			continue
		}
		c.follow(ctx, r, now)
	}
}

// due returns the hosts to poll, starting with the one polled the longest ago.
func (d *desk) due(now time.Time) []glade.Host {
	var hosts []glade.Host
	for host := range d.byHost {
		if now.Sub(d.polled[host]) >= pollPeriod {
			hosts = append(hosts, host)
		}
	}
	sort.Slice(hosts, func(i, j int) bool {
		a, b := d.polled[hosts[i]], d.polled[hosts[j]]
		if !a.Equal(b) {
			return a.Before(b)
		}
		return hosts[i] < hosts[j]
	})
	return hosts
}

// silent marks the runs of a worker as lost that has not answered for lostTime.
func (d *desk) silent(host glade.Host, now time.Time) {
	for _, ticket := range sortedTickets(d.byHost[host]) {
		if it := d.items[ticket]; now.Sub(it.heard) >= lostTime {
			d.change(ticket, Event{Kind: EventLost, Fence: it.row.Fence})
		}
	}
}

// follow compares a worker's report with the jobs placed on its host. A running
// job that is not reported is gone; so is one whose stop the worker has accepted.
func (c *Crew) follow(ctx context.Context, r report, now time.Time) {
	d := r.desk
	reported := make(map[glade.Ticket]bool)
	for _, task := range r.tasks {
		ticket := glade.Ticket(task.Job)
		it := d.items[ticket]
		if it == nil || it.row.Host != r.host || it.row.Fence != task.Fence {
			c.orphan(ctx, d, r.host, task)
			continue
		}
		reported[ticket] = true
		it.heard = now
		c.followTask(ctx, d, it, task, now)
	}
	for _, ticket := range sortedTickets(d.byHost[r.host]) {
		it := d.items[ticket]
		it.heard = now
		if !reported[ticket] && (it.row.Phase == glade.JobRunning || it.halted) {
			d.change(ticket, Event{Kind: EventGone, Fence: it.row.Fence})
		}
	}
	d.relieveMemory(r.host)
}

func sortedTickets(set map[glade.Ticket]bool) []glade.Ticket {
	tickets := make([]glade.Ticket, 0, len(set))
	for ticket := range set {
		tickets = append(tickets, ticket)
	}
	slices.Sort(tickets)
	return tickets
}

// orphan stops a reported task that is not the current run of an open job. The
// job's row is read first, because a newer leader may have started the task.
func (c *Crew) orphan(ctx context.Context, d *desk, host glade.Host, task glade.TaskState) {
	customer, ok := glade.Ticket(task.Job).Customer()
	if !ok || customer != d.customer || !d.ready {
		return
	}
	record, err := Find(ctx, c.config.Table, glade.Ticket(task.Job))
	if err != nil || !record.Exists() {
		return
	}
	if row := record.Data(); row.Fence > task.Fence || !row.Phase.IsOpen() {
		c.count("orphan", 1)
		_ = c.config.Workers.Stop(ctx, host, task.ID, false)
	}
}

func (c *Crew) followTask(ctx context.Context, d *desk, it *item, task glade.TaskState, now time.Time) {
	ticket, fence, key := it.row.Ticket, it.row.Fence, d.key(it)
	if task.Memory > it.used {
		it.used = task.Memory
		d.model.SawMemory(key, it.row.Size.Memory, task.Memory)
	}
	if it.used > 0 {
		d.fleet.Resize(ticket, d.task(it).Size)
	}
	if _, busy := d.changes[ticket]; busy {
		return
	}
	switch task.Phase {
	case glade.TaskRunning:
		c.watch(d, it, now)
		if it.row.Phase == glade.JobPlaced {
			d.change(ticket, Event{Kind: EventRun, Fence: fence})
		}
	case glade.TaskDone:
		d.health.Succeeded(it.row.Host, d.task(it).Pool, key)
		d.model.SawTime(key, it.row.Time.Duration(), now.Sub(time.UnixMilli(it.row.Since)))
		c.collect(ctx, d, it, task)
	case glade.TaskFailed:
		if d.health.Failed(it.row.Host, d.task(it).Pool, key, ticket, now) {
			d.fleet.SetOpen(it.row.Host, false)
			c.suspect(ctx, it.row.Host, now)
		}
		d.change(ticket, Event{Kind: EventFail, Fence: fence, Reason: task.Reason, Blamed: d.health.IsBlamed})
	case glade.TaskStopped:
		d.change(ticket, Event{Kind: EventStopped, Fence: fence, Saved: task.Result})
	}
}

// overdue is the multiple of the expected run time after which a run is counted as
// overdue.
const overdue = 3

// watch counts a run, once, that takes far longer than expected of its kind. Such a
// run is not stopped; operators see the counter.
func (c *Crew) watch(d *desk, it *item, now time.Time) {
	expected := d.model.Time(d.key(it), it.row.Time.Duration())
	took := now.Sub(time.UnixMilli(it.row.Since))
	if it.late || expected == 0 || took < overdue*expected {
		return
	}
	it.late = true
	c.count("overdue", 1)
}

// collect writes the result of a run to the object store and queues the change that
// publishes it. The key contains the fencing token, and the job's row names the key
// of the one published result, so a superseded run can't publish. The result of a
// job whose cancellation was requested is not stored.
func (c *Crew) collect(ctx context.Context, d *desk, it *item, task glade.TaskState) {
	key := ResultKey(it.row.Ticket, it.row.Fence)
	if it.row.Cancel || it.cancel {
		d.change(it.row.Ticket, Event{Kind: EventDone, Fence: it.row.Fence})
		return
	}
	switch c.config.Objects.Create(ctx, key, task.Result) {
	case glade.Committed, glade.Conflicted:
		d.change(it.row.Ticket, Event{Kind: EventDone, Fence: it.row.Fence, Result: key})
	case glade.Unavailable, glade.Uncertain:
		// The worker keeps the result and reports it again at the next poll.
		c.count("collect.failed", 1)
	}
}

// relieveMemory selects tasks to stop on a host whose tasks use more memory than it
// has: those of the lowest priority first, and of these the newest.
func (d *desk) relieveMemory(host glade.Host) {
	over := -d.hosts.listed[host].Memory
	var tickets []glade.Ticket
	for ticket := range d.byHost[host] {
		if it := d.items[ticket]; it.stopped.IsZero() {
			over += it.used
			tickets = append(tickets, ticket)
		}
	}
	if over <= 0 {
		return
	}
	sort.Slice(tickets, func(i, j int) bool {
		a, b := d.items[tickets[i]].row, d.items[tickets[j]].row
		if a.Priority.Rank() != b.Priority.Rank() {
			return a.Priority.Rank() > b.Priority.Rank()
		}
		if a.Since != b.Since {
			return a.Since > b.Since
		}
		return a.Ticket < b.Ticket
	})
	for _, ticket := range tickets {
		if over <= 0 {
			return
		}
		if it := d.items[ticket]; it.used > 0 {
			over -= it.used
			it.evict = true
		}
	}
}

// order is a start or stop command to a worker.
type order struct {
	it   *item
	stop bool
	save bool
	err  error
}

// command sends the start and stop commands that are due, and lets workers discard
// ended runs.
func (c *Crew) command(ctx context.Context, d *desk, now time.Time) {
	orders := d.orders(now)
	c.calls.each(len(orders), func(i int) { orders[i].err = c.send(ctx, orders[i]) })
	releases := d.releases
	d.releases = nil
	c.calls.each(len(releases), func(i int) {
		// The error is ignored: an ended run that the worker still reports is
		// stopped again as an orphan.
		_ = c.config.Workers.Stop(ctx, releases[i].host, releases[i].task, false)
	})
	for _, o := range orders {
		c.answered(d, o)
	}
}

func (c *Crew) send(ctx context.Context, o order) error {
	row := o.it.row
	id := TaskID(row.Ticket, row.Fence)
	if o.stop {
		return c.config.Workers.Stop(ctx, row.Host, id, o.save)
	}
	return c.config.Workers.Start(ctx, row.Host, row.Epoch, glade.Task{
		ID: id, Job: string(row.Ticket), Fence: row.Fence, Kind: string(row.Kind),
		Cores: row.Size.Cores, Memory: row.Size.Memory, Accels: row.Size.Accels, Payload: row.Payload, Saved: row.Saved,
	})
}

// orders returns the commands that are due, sorted by host and ticket.
func (d *desk) orders(now time.Time) []order {
	var orders []order
	for _, host := range sortedHosts(d.byHost) {
		leaving := d.hosts.isLeaving(host, d.customer)
		for _, ticket := range sortedTickets(d.byHost[host]) {
			it := d.items[ticket]
			if _, busy := d.changes[ticket]; busy {
				continue
			}
			cancel := it.row.Cancel || it.cancel
			stop := cancel || it.evict || leaving
			switch {
			case stop && now.Sub(it.stopped) >= stopPeriod:
				it.stopped = now
				orders = append(orders, order{it: it, stop: true, save: !cancel})
			case !stop && it.row.Phase == glade.JobPlaced && now.Sub(it.sent) >= startPeriod:
				it.sent = now
				orders = append(orders, order{it: it})
			}
		}
	}
	return orders
}

func sortedHosts(set map[glade.Host]map[glade.Ticket]bool) []glade.Host {
	hosts := make([]glade.Host, 0, len(set))
	for host := range set {
		hosts = append(hosts, host)
	}
	slices.Sort(hosts)
	return hosts
}

// answered handles the reply to a command.
func (c *Crew) answered(d *desk, o order) {
	row := o.it.row
	switch {
	case o.stop && o.err != nil:
		c.count("stop.failed", 1)
	case o.stop:
		c.count("stop.sent", 1)
		o.it.halted = true
		if !o.save {
			d.change(row.Ticket, Event{Kind: EventStopped, Fence: row.Fence})
		}
	case o.err == nil:
		c.count("start.sent", 1)
		d.change(row.Ticket, Event{Kind: EventRun, Fence: row.Fence})
	case errors.Is(o.err, glade.ErrRefused):
		c.count("start.refused", 1)
		c.hosts.stale[row.Host] = true
		d.change(row.Ticket, Event{Kind: EventRefused, Fence: row.Fence})
	default:
		c.count("start.failed", 1)
	}
}

// relieve applies adjustments of running tasks. Tasks that are to be stopped are
// marked for eviction. Changed core limits are sent to the workers if the platform
// supports throttling.
func (c *Crew) relieve(ctx context.Context, d *desk, reliefs []place.Relief) {
	throttler, canThrottle := c.config.Workers.(glade.Throttler)
	for _, relief := range reliefs {
		it := d.items[relief.Task]
		if it == nil {
			continue
		}
		if relief.Cores == 0 {
			c.count("checkpoint", 1)
			it.evict = true
			continue
		}
		c.count("throttle", 1)
		if canThrottle {
			_ = throttler.Throttle(ctx, relief.Host, TaskID(it.row.Ticket, it.row.Fence), relief.Cores)
		}
	}
}
