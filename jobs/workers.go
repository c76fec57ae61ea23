package jobs

import (
	"cmp"
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
	dispatcher *dispatcher
	host       glade.Host
	tasks      []glade.TaskState
	err        error
}

// pollWorkers polls the workers that run jobs for the states of their tasks.
func (c *Controller) pollWorkers(ctx context.Context, now time.Time) {
	reports := dueReports(c.sortedDispatchers(), now)
	c.calls.forEach(len(reports), func(i int) {
		reports[i].tasks, reports[i].err = c.config.Workers.Tasks(ctx, reports[i].host)
	})
	for _, r := range reports {
		r.dispatcher.lastPolled[r.host] = now
		if r.err != nil {
			c.count("poll.failed", 1)
			r.dispatcher.markLost(r.host, now)
			continue
		}
		c.handleReport(ctx, r, now)
	}
}

// dueReports returns the polls that are due for all customers, starting with the host polled the
// longest ago, as many as one step makes.
func dueReports(dispatchers []*dispatcher, now time.Time) []report {
	var reports []report
	for _, d := range dispatchers {
		for host := range d.jobsByHost {
			if now.Sub(d.lastPolled[host]) >= pollPeriod {
				reports = append(reports, report{dispatcher: d, host: host})
			}
		}
	}
	slices.SortFunc(reports, func(a, b report) int {
		return cmp.Or(a.dispatcher.lastPolled[a.host].Compare(b.dispatcher.lastPolled[b.host]), cmp.Compare(a.host, b.host),
			cmp.Compare(a.dispatcher.customer, b.dispatcher.customer))
	})
	return reports[:min(len(reports), maxWorkerPolls)]
}

// markLost queues the loss of the runs on a host whose worker has not answered for
// lostTimeout.
func (d *dispatcher) markLost(host glade.Host, now time.Time) {
	for _, ticket := range sortedTickets(d.jobsByHost[host]) {
		if job := d.jobs[ticket]; now.Sub(job.lastHeard) >= lostTimeout {
			d.queueEvent(ticket, Event{Kind: EventLost, Fence: job.row.Fence})
		}
	}
}

// handleReport compares a worker's report with the jobs placed on its host. A run
// that is not reported is missing if it was running or if the worker has accepted
// its stop. Otherwise its start may not have reached the worker yet.
func (c *Controller) handleReport(ctx context.Context, r report, now time.Time) {
	d := r.dispatcher
	reported := make(map[glade.Ticket]bool)
	for _, task := range r.tasks {
		ticket := glade.Ticket(task.Job)
		job := d.jobs[ticket]
		if job == nil || job.row.Host != r.host || job.row.Fence != task.Fence {
			c.stopOrphan(ctx, d, r.host, task)
			continue
		}
		reported[ticket] = true
		job.lastHeard = now
		c.handleTask(ctx, d, job, task, now)
	}
	for _, ticket := range sortedTickets(d.jobsByHost[r.host]) {
		job := d.jobs[ticket]
		job.lastHeard = now
		if !reported[ticket] && (job.row.Phase == glade.JobRunning || job.stopAccepted) {
			d.queueEvent(ticket, Event{Kind: EventMissing, Fence: job.row.Fence})
		}
	}
	d.evictForMemory(r.host)
}

func sortedTickets(set map[glade.Ticket]bool) []glade.Ticket {
	tickets := make([]glade.Ticket, 0, len(set))
	for ticket := range set {
		tickets = append(tickets, ticket)
	}
	slices.Sort(tickets)
	return tickets
}

// stopOrphan stops a reported task that is not the current run of an open job. The
// job's row is read first, because a newer leader may have started the task.
func (c *Controller) stopOrphan(ctx context.Context, d *dispatcher, host glade.Host, task glade.TaskState) {
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

// handleTask updates the models from the reported state of a job's current run, and
// queues the event that follows from the state.
func (c *Controller) handleTask(ctx context.Context, d *dispatcher, job *openJob, task glade.TaskState, now time.Time) {
	ticket, fence, key := job.row.Ticket, job.row.Fence, d.modelKey(job)
	if task.Memory > job.peakMemory {
		job.peakMemory = task.Memory
		d.model.ObserveMemory(key, job.row.Size.Memory, task.Memory)
	}
	if job.peakMemory > 0 {
		d.fleet.Resize(ticket, d.placementTask(job).Size)
	}
	if _, queued := d.changes[ticket]; queued {
		return
	}
	switch task.Phase {
	case glade.TaskRunning:
		c.checkOverdue(d, job, now)
		if job.row.Phase == glade.JobPlaced {
			d.queueEvent(ticket, Event{Kind: EventStarted, Fence: fence})
		}
	case glade.TaskDone:
		d.health.RecordSuccess(job.row.Host, d.placementTask(job).Pool, key)
		d.model.ObserveTime(key, job.row.Time.Duration(), now.Sub(time.UnixMilli(job.row.Since)))
		c.publishResult(ctx, d, job, task)
	case glade.TaskFailed:
		if d.health.RecordFailure(job.row.Host, d.placementTask(job).Pool, key, ticket, now) {
			d.fleet.SetOpen(job.row.Host, false)
			c.recordSuspect(ctx, job.row.Host, now)
		}
		d.queueEvent(ticket, Event{Kind: EventFailed, Fence: fence, Reason: task.Reason, IsSuspect: d.health.IsMarkedSuspect})
	case glade.TaskStopped:
		d.queueEvent(ticket, Event{Kind: EventStopped, Fence: fence, Checkpoint: task.Result})
	}
}

// overdueFactor is the multiple of the expected run time after which a run is
// counted as overdue.
const overdueFactor = 3

// checkOverdue counts a run, once, that takes far longer than expected of its
// kind. Such a run is not stopped; operators see the counter.
func (c *Controller) checkOverdue(d *dispatcher, job *openJob, now time.Time) {
	expected := d.model.Time(d.modelKey(job), job.row.Time.Duration())
	elapsed := now.Sub(time.UnixMilli(job.row.Since))
	if job.overdue || expected == 0 || elapsed < overdueFactor*expected {
		return
	}
	job.overdue = true
	c.count("overdue", 1)
}

// publishResult writes the result of a run to the object store and queues the
// change that publishes it. The key contains the fencing token, and the job's
// row names the key of the one published result, so a superseded run can't
// publish. The result of a job whose cancellation was requested is not stored.
func (c *Controller) publishResult(ctx context.Context, d *dispatcher, job *openJob, task glade.TaskState) {
	key := ResultKey(job.row.Ticket, job.row.Fence)
	if job.row.Cancel || job.cancelRequested {
		d.queueEvent(job.row.Ticket, Event{Kind: EventDone, Fence: job.row.Fence})
		return
	}
	switch c.config.Objects.Create(ctx, key, task.Result) {
	case glade.Committed, glade.Conflicted:
		d.queueEvent(job.row.Ticket, Event{Kind: EventDone, Fence: job.row.Fence, Result: key})
	case glade.Unavailable, glade.Uncertain:
		// The worker keeps the result and reports it again at the next poll.
		c.count("collect.failed", 1)
	}
}

// evictForMemory selects tasks to stop on a host whose tasks use more memory
// than it has: those of the lowest priority first, and of these the newest.
func (d *dispatcher) evictForMemory(host glade.Host) {
	excess := -d.hosts.listed[host].Memory
	var tickets []glade.Ticket
	for ticket := range d.jobsByHost[host] {
		if job := d.jobs[ticket]; job.stopSent.IsZero() {
			excess += job.peakMemory
			tickets = append(tickets, ticket)
		}
	}
	if excess <= 0 {
		return
	}
	sort.Slice(tickets, func(i, j int) bool {
		a, b := d.jobs[tickets[i]].row, d.jobs[tickets[j]].row
		if a.Priority.Rank() != b.Priority.Rank() {
			return a.Priority.Rank() > b.Priority.Rank()
		}
		if a.Since != b.Since {
			return a.Since > b.Since
		}
		return a.Ticket < b.Ticket
	})
	for _, ticket := range tickets {
		if excess <= 0 {
			return
		}
		if job := d.jobs[ticket]; job.peakMemory > 0 {
			excess -= job.peakMemory
			job.evict = true
		}
	}
}

// command is a start or stop command to a worker.
type command struct {
	job        *openJob
	stop       bool
	checkpoint bool
	err        error
}

// sendCommands sends the start and stop commands that are due, and lets workers
// discard ended runs.
func (c *Controller) sendCommands(ctx context.Context, d *dispatcher, now time.Time) {
	commands := d.dueCommands(now)
	c.calls.forEach(len(commands), func(i int) { commands[i].err = c.sendCommand(ctx, commands[i]) })
	ended := d.endedRuns
	d.endedRuns = nil
	c.calls.forEach(len(ended), func(i int) {
		// The error is ignored: an ended run that the worker still reports is
		// stopped again as an orphan.
		_ = c.config.Workers.Stop(ctx, ended[i].host, ended[i].task, false)
	})
	for _, cmd := range commands {
		c.handleReply(d, cmd)
	}
}

func (c *Controller) sendCommand(ctx context.Context, cmd command) error {
	row := cmd.job.row
	id := TaskID(row.Ticket, row.Fence)
	if cmd.stop {
		return c.config.Workers.Stop(ctx, row.Host, id, cmd.checkpoint)
	}
	return c.config.Workers.Start(ctx, row.Host, row.Epoch, glade.Task{
		ID: id, Job: string(row.Ticket), Fence: row.Fence, Kind: string(row.Kind),
		Cores: row.Size.Cores, Memory: row.Size.Memory, Accels: row.Size.Accels, Payload: row.Payload, Checkpoint: row.Checkpoint,
	})
}

// dueCommands returns the commands that are due, sorted by host and ticket.
func (d *dispatcher) dueCommands(now time.Time) []command {
	var commands []command
	for _, host := range sortedHosts(d.jobsByHost) {
		vacate := d.hosts.mustVacate(host, d.customer)
		for _, ticket := range sortedTickets(d.jobsByHost[host]) {
			job := d.jobs[ticket]
			if _, queued := d.changes[ticket]; queued {
				continue
			}
			cancel := job.row.Cancel || job.cancelRequested
			stop := cancel || job.evict || vacate
			switch {
			case stop && now.Sub(job.stopSent) >= stopRetryPeriod:
				job.stopSent = now
				commands = append(commands, command{job: job, stop: true, checkpoint: !cancel})
			case !stop && job.row.Phase == glade.JobPlaced && now.Sub(job.startSent) >= startRetryPeriod:
				job.startSent = now
				commands = append(commands, command{job: job})
			}
		}
	}
	return commands
}

func sortedHosts(set map[glade.Host]map[glade.Ticket]bool) []glade.Host {
	hosts := make([]glade.Host, 0, len(set))
	for host := range set {
		hosts = append(hosts, host)
	}
	slices.Sort(hosts)
	return hosts
}

// handleReply counts the result of a command and queues the event that follows from
// it.
func (c *Controller) handleReply(d *dispatcher, cmd command) {
	row := cmd.job.row
	switch {
	case cmd.stop && cmd.err != nil:
		c.count("stop.failed", 1)
	case cmd.stop:
		c.count("stop.sent", 1)
		cmd.job.stopAccepted = true
		if !cmd.checkpoint {
			d.queueEvent(row.Ticket, Event{Kind: EventStopped, Fence: row.Fence})
		}
	case cmd.err == nil:
		c.count("start.sent", 1)
		d.queueEvent(row.Ticket, Event{Kind: EventStarted, Fence: row.Fence})
	case errors.Is(cmd.err, glade.ErrRefused):
		c.count("start.refused", 1)
		c.hosts.stale[row.Host] = true
		d.queueEvent(row.Ticket, Event{Kind: EventRefused, Fence: row.Fence})
	default:
		c.count("start.failed", 1)
	}
}

// applyAdjustments applies adjustments of running tasks. Tasks that are to be
// stopped are marked for eviction. Changed core limits are sent to the workers
// if the platform supports throttling.
func (c *Controller) applyAdjustments(ctx context.Context, d *dispatcher, adjustments []place.Adjustment) {
	throttler, canThrottle := c.config.Workers.(glade.Throttler)
	for _, adj := range adjustments {
		job := d.jobs[adj.Task]
		if job == nil {
			continue
		}
		if adj.Cores == 0 {
			c.count("checkpoint", 1)
			job.evict = true
			continue
		}
		c.count("throttle", 1)
		if canThrottle {
			_ = throttler.Throttle(ctx, adj.Host, TaskID(job.row.Ticket, job.row.Fence), adj.Cores)
		}
	}
}
