package jobs

import (
	"slices"
	"strings"
	"time"

	glade "indigoglade"
	"indigoglade/learn"
	"indigoglade/place"
)

// Timings of a run.
const (
	// pollPeriod is the interval between two polls of a worker.
	pollPeriod = time.Second
	// startRetryPeriod is the time after which a start command that was not
	// answered is sent again.
	startRetryPeriod = 2 * time.Second
	// stopRetryPeriod is the time after which a stop command is sent again
	// while the run is still open.
	stopRetryPeriod = 3 * time.Second
	// lostTimeout is how long a worker may be unreachable before its runs count as
	// lost. It is longer than the leases of the tasks.
	lostTimeout = 30 * time.Second
)

// openJob is the in-memory state of one open job.
type openJob struct {
	row  glade.JobRow
	page string
	// startSent and stopSent are the times of the last start and stop commands.
	startSent time.Time
	stopSent  time.Time
	// lastHeard is when the worker last answered a poll, at first when the run was
	// read or written.
	lastHeard time.Time
	// stopAccepted is set once the worker has accepted a stop command.
	stopAccepted bool
	// overdue marks a run that takes far longer than expected.
	overdue bool
	// cancelRequested marks a job whose cancellation was requested.
	cancelRequested bool
	// evict marks a run that is to stop with a checkpoint.
	evict bool
	// peakMemory is the highest reported memory usage, in bytes.
	peakMemory int64
}

// endedRun identifies an ended run that its worker may discard.
type endedRun struct {
	host glade.Host
	task string
}

// requestCancel marks jobs whose cancellation was requested, and queues the
// cancellation of those that are not placed yet.
func (d *dispatcher) requestCancel(items []glade.InboxItem) {
	for _, item := range items {
		d.cancelRequests[item.Ticket] = true
		job := d.jobs[item.Ticket]
		if job == nil {
			continue
		}
		job.cancelRequested = true
		if job.row.Phase == glade.JobAccepted {
			delete(d.changes, item.Ticket)
			d.fleet.Remove(item.Ticket)
			d.queueJob(job)
		}
	}
}

// dispatcher schedules the open jobs of one customer. It is rebuilt from the
// job rows when the keeper becomes leader of the customer's shard.
type dispatcher struct {
	customer glade.Customer
	contract glade.Contract
	// lead is the leader row of the shard, on which writes of job rows are conditional.
	lead   ShardLeader
	fleet  *place.Fleet
	model  *learn.Model
	health *learn.Health

	jobs map[glade.Ticket]*openJob
	// jobsByHost holds the placed and running jobs of each host.
	jobsByHost map[glade.Host]map[glade.Ticket]bool
	// lastPolled is the time of the last poll of each host.
	lastPolled map[glade.Host]time.Time
	// unread holds the priorities of jobs whose rows have to be read.
	unread map[glade.Ticket]glade.Priority
	// cancelRequests holds the jobs whose cancellation was requested.
	cancelRequests map[glade.Ticket]bool
	// endedRuns lists ended runs that workers may discard.
	endedRuns []endedRun
	// changes holds the change that is queued for a job, at most one per job.
	changes map[glade.Ticket]Change
	// queues holds the tickets of the queued changes by class, the oldest first.
	// A ticket whose change was taken or dropped in the meantime is skipped.
	queues [numClasses][]glade.Ticket
	// modelGenerations holds the model generation with which the waiting jobs of a
	// kind were last sized.
	modelGenerations map[glade.Service]int
	inbox            *inbox
	hosts            *hostView
	// ready is set once every open job was read. Before that the free capacity of
	// the hosts is unknown, and nothing is placed.
	ready bool
	// hostsUpdated is when the contract and the hosts were last updated.
	hostsUpdated time.Time
}

func newDispatcher(customer glade.Customer, lead ShardLeader, hosts *hostView) *dispatcher {
	return &dispatcher{
		customer:         customer,
		lead:             lead,
		hosts:            hosts,
		fleet:            place.New(place.Config{}),
		model:            learn.New(),
		health:           learn.NewHealth(),
		jobs:             make(map[glade.Ticket]*openJob),
		jobsByHost:       make(map[glade.Host]map[glade.Ticket]bool),
		lastPolled:       make(map[glade.Host]time.Time),
		unread:           make(map[glade.Ticket]glade.Priority),
		cancelRequests:   make(map[glade.Ticket]bool),
		changes:          make(map[glade.Ticket]Change),
		modelGenerations: make(map[glade.Service]int),
		inbox:            newInbox(customer),
	}
}

// hostUpdatePeriod is the longest time between two updates of the hosts. Suspect
// hosts become available again with the first update after their quarantine.
const hostUpdatePeriod = 10 * time.Second

// update applies the current contract, team quotas and hosts when the contract or
// the hosts may have changed, or when hostUpdatePeriod has passed.
func (d *dispatcher) update(contract glade.Contract, now time.Time) {
	same := d.contract.Version() == contract.Version() && !d.hosts.changed[d.customer]
	if same && now.Sub(d.hostsUpdated) < hostUpdatePeriod {
		return
	}
	d.hostsUpdated = now
	d.contract = contract
	quotas := make(map[string]place.Quota)
	for _, team := range contract.Spec().Teams {
		quotas[team.Name] = place.Quota{Cores: team.Cores, Accels: team.Accels}
	}
	d.fleet.SetQuotas(quotas)
	sizes := make(map[glade.Pool]int)
	var hosts []place.Host
	for host := range d.hosts.owned[d.customer] {
		row := d.hosts.rows[host].Data()
		listed := d.hosts.listed[host]
		_, open := d.hosts.target(host)
		hosts = append(hosts, place.Host{
			Host: host, Zone: row.Zone, Rack: row.Rack, Pool: row.Pool,
			Size: glade.Resources{Cores: listed.Cores, Memory: listed.Memory, Accels: listed.Accels},
			Open: open && !d.health.IsSuspect(host, now),
		})
		sizes[row.Pool]++
	}
	slices.SortFunc(hosts, func(a, b place.Host) int { return strings.Compare(string(a.Host), string(b.Host)) })
	d.fleet.SetHosts(hosts)
	for pool, size := range sizes {
		d.health.SetPoolSize(pool, size)
	}
}

// updateJob applies a job's row that was read or written to the in-memory job.
func (d *dispatcher) updateJob(row glade.JobRow, now time.Time) {
	job := d.jobs[row.Ticket]
	if job == nil {
		job = &openJob{lastHeard: now}
		d.jobs[row.Ticket] = job
	}
	d.removeFromHost(row.Ticket, job.row.Host)
	if job.row.Fence != row.Fence {
		*job = openJob{lastHeard: now}
	}
	job.row = row
	job.cancelRequested = d.cancelRequests[row.Ticket]
	switch row.Phase {
	case glade.JobAccepted:
		d.fleet.Remove(row.Ticket)
		d.queueJob(job)
	case glade.JobParked:
		d.fleet.Remove(row.Ticket)
		if !job.cancelRequested {
			d.removeJob(row.Ticket)
			return
		}
		d.queueEvent(row.Ticket, Event{Kind: EventCancel})
	case glade.JobPlaced, glade.JobRunning:
		d.fleet.SetRunning(d.placementTask(job), row.Host)
		if d.jobsByHost[row.Host] == nil {
			d.jobsByHost[row.Host] = make(map[glade.Ticket]bool)
		}
		d.jobsByHost[row.Host][row.Ticket] = true
	default:
		d.removeJob(row.Ticket)
	}
}

func (d *dispatcher) removeFromHost(ticket glade.Ticket, host glade.Host) {
	delete(d.jobsByHost[host], ticket)
	if len(d.jobsByHost[host]) == 0 {
		delete(d.jobsByHost, host)
		delete(d.lastPolled, host)
	}
}

// removeJob forgets a job that is no longer open.
func (d *dispatcher) removeJob(ticket glade.Ticket) {
	d.fleet.Remove(ticket)
	delete(d.jobs, ticket)
	delete(d.changes, ticket)
	delete(d.cancelRequests, ticket)
	d.inbox.jobClosed(ticket)
}

// queueJob adds an accepted job to those that wait for a host. A job whose
// cancellation was requested is cancelled instead, and a job for whose kind the
// contract has no pool is parked.
func (d *dispatcher) queueJob(job *openJob) {
	if job.cancelRequested {
		d.queueEvent(job.row.Ticket, Event{Kind: EventCancel})
		return
	}
	if _, ok := d.contract.PoolFor(job.row.Kind); !ok {
		d.queueEvent(job.row.Ticket, Event{Kind: EventPark, Reason: ReasonKind})
		return
	}
	d.fleet.Enqueue(d.placementTask(job))
}

// queueEvent queues an event for a job's row, unless a change of that row is queued
// already.
func (d *dispatcher) queueEvent(ticket glade.Ticket, e Event) {
	if job := d.jobs[ticket]; job != nil {
		e.Cancel = job.cancelRequested
	}
	if _, queued := d.changes[ticket]; !queued {
		d.queueChange(Change{Ticket: ticket, Event: e})
	}
}

func (d *dispatcher) queueChange(change Change) {
	d.changes[change.Ticket] = change
	class := d.classOf(change)
	d.queues[class] = append(d.queues[class], change.Ticket)
}

// placementTask returns the placement request of a job. Its size is corrected
// by the usage of earlier jobs of its kind. It avoids all hosts on which the
// job failed, and the racks of those that are not suspect.
func (d *dispatcher) placementTask(job *openJob) place.Task {
	row := job.row
	pool, _ := d.contract.PoolFor(row.Kind)
	task := place.Task{
		ID: row.Ticket, Pool: pool.Name, Group: string(row.Kind), Team: row.Team, Priority: row.Priority,
		Size: d.reservedSize(job, pool.Name),
	}
	for _, failure := range row.FailedRuns {
		task.AvoidHosts = append(task.AvoidHosts, failure.Host)
		if !d.health.IsMarkedSuspect(failure.Host) {
			task.AvoidRacks = append(task.AvoidRacks, failure.Rack)
		}
	}
	return task
}

// reservedSize returns the resources to reserve for a job. When the corrected
// memory exceeds that of every host, but the declared memory does so by no more
// than the maximum correction, the memory of the largest host is reserved:
// declarations can be wrong by that factor, and a run alone on a host shows the
// real usage.
func (d *dispatcher) reservedSize(job *openJob, pool glade.Pool) glade.Resources {
	size := job.row.Size
	corrected := d.model.Memory(d.modelKey(job), size.Memory)
	size.Memory = max(corrected, job.peakMemory)
	if job.peakMemory > 0 && !d.model.CanPredictMemory(d.modelKey(job)) {
		size.Memory = job.peakMemory
	}
	if largest := d.fleet.Memory(pool, size); size.Memory > largest && job.row.Size.Memory <= learn.MaxCorrection*largest {
		size.Memory = largest
	}
	return size
}

// resizeWaiting updates the sizes of waiting jobs when the memory model of their
// kind has changed.
func (d *dispatcher) resizeWaiting() {
	changed := make(map[glade.Service]bool)
	for _, pool := range d.contract.Spec().Pools {
		generation := d.model.MemoryGeneration(learn.Key{Customer: d.customer, Kind: pool.Serve})
		if d.modelGenerations[pool.Serve] != generation {
			d.modelGenerations[pool.Serve] = generation
			changed[pool.Serve] = true
		}
	}
	if len(changed) == 0 {
		return
	}
	for ticket, job := range d.jobs {
		if job.row.Phase == glade.JobAccepted && changed[job.row.Kind] {
			d.fleet.Resize(ticket, d.placementTask(job).Size)
		}
	}
}

func (d *dispatcher) modelKey(job *openJob) learn.Key {
	return learn.Key{Customer: job.row.Customer, Kind: job.row.Kind}
}

// placeWaiting places waiting jobs and queues the changes. It returns the
// adjustments of running tasks that free or restore capacity.
//
// Urgent jobs may use all of limit. For other jobs, the changes that are queued
// already count against it.
func (d *dispatcher) placeWaiting(limit int) []place.Adjustment {
	if !d.ready || limit <= 0 {
		return nil
	}
	d.resizeWaiting()
	plan := d.fleet.Round(place.Limits{Urgent: limit, Others: limit - len(d.changes)})
	for _, p := range plan.Placements() {
		job := d.jobs[p.Task.ID]
		target, open := d.hosts.target(p.Host)
		if job == nil {
			d.fleet.Remove(p.Task.ID)
			continue
		}
		if !open {
			d.unread[p.Task.ID] = p.Task.Priority
			continue
		}
		d.queueChange(Change{Ticket: p.Task.ID, Event: Event{Kind: EventPlace, Target: target}, Host: d.hosts.rows[p.Host]})
	}
	return plan.Adjustments()
}

// parkUnplaceable queues the parking of jobs for which no host is large enough.
func (d *dispatcher) parkUnplaceable() {
	if !d.ready || d.fleet.HostCount() == 0 {
		return
	}
	for _, id := range d.fleet.Unplaceable() {
		d.queueEvent(id, Event{Kind: EventPark, Reason: ReasonSize})
	}
}

// Classes of changes, in the order in which they are written.
const (
	classEnd    = iota // runs that stopped, were refused or are missing; cancellations
	classUrgent        // placements of urgent jobs
	classResult        // results and failures
	classPlace         // other placements
	classRun           // started runs
	classPark          // parked jobs and lost runs
	numClasses
)

func (d *dispatcher) classOf(change Change) int {
	job := d.jobs[change.Ticket]
	urgent := job != nil && job.row.Priority == glade.Urgent
	switch change.Event.Kind {
	case EventStopped, EventMissing, EventRefused, EventCancel:
		return classEnd
	case EventPlace:
		if urgent {
			return classUrgent
		}
		return classPlace
	case EventStarted:
		return classRun
	case EventPark, EventLost:
		return classPark
	}
	return classResult
}

// takeChanges removes and returns up to n changes of one class, the oldest first.
func (d *dispatcher) takeChanges(class, n int) []Change {
	var changes []Change
	queue := d.queues[class]
	for len(queue) > 0 && len(changes) < n {
		change, queued := d.changes[queue[0]]
		queue = queue[1:]
		if queued && d.classOf(change) == class {
			changes = append(changes, change)
			delete(d.changes, change.Ticket)
		}
	}
	d.queues[class] = queue
	return changes
}
