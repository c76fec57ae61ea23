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
	// startPeriod is the time after which a start command that was not answered
	// is sent again.
	startPeriod = 2 * time.Second
	// stopPeriod is the time after which a stop command is sent again while the
	// run is still open.
	stopPeriod = 3 * time.Second
	// lostTime is how long a worker may be unreachable before its runs count as
	// lost. It is longer than the leases of the tasks.
	lostTime = 30 * time.Second
)

// item is the in-memory state of one open job.
type item struct {
	row  glade.JobRow
	page string
	// sent and stopped are the times of the last start and stop commands.
	sent    time.Time
	stopped time.Time
	// heard is when the worker last answered a poll, at first when the run was
	// read or written.
	heard time.Time
	// halted is set once the worker has accepted a stop command.
	halted bool
	// late marks a run that takes far longer than expected.
	late bool
	// cancel marks a job whose cancellation was requested.
	cancel bool
	// evict marks a run that is to stop with a checkpoint.
	evict bool
	// used is the highest reported memory usage, in bytes.
	used int64
}

// release identifies an ended run that its worker may discard.
type release struct {
	host glade.Host
	task string
}

// order marks jobs whose cancellation was requested, and queues the cancellation
// of those that are not placed yet.
func (d *desk) order(items []glade.InboxItem) {
	for _, item := range items {
		d.cancels[item.Ticket] = true
		it := d.items[item.Ticket]
		if it == nil {
			continue
		}
		it.cancel = true
		if it.row.Phase == glade.JobAccepted {
			delete(d.changes, item.Ticket)
			d.fleet.Forget(item.Ticket)
			d.queue(it)
		}
	}
}

// desk schedules the open jobs of one customer. It is rebuilt from the job rows
// when the keeper becomes leader of the customer's shard.
type desk struct {
	customer glade.Customer
	contract glade.Contract
	// lead is the leader row on which all writes are conditional.
	lead   Lead
	fleet  *place.Fleet
	model  *learn.Model
	health *learn.Health

	items map[glade.Ticket]*item
	// byHost holds the placed and running jobs of each host.
	byHost map[glade.Host]map[glade.Ticket]bool
	// polled is the time of the last poll of each host.
	polled map[glade.Host]time.Time
	// unread holds the priorities of jobs whose rows have to be read.
	unread map[glade.Ticket]glade.Priority
	// cancels holds the jobs whose cancellation was requested.
	cancels map[glade.Ticket]bool
	// releases lists ended runs that workers may discard.
	releases []release
	// changes holds the change that is queued for a job, at most one per job.
	changes map[glade.Ticket]Change
	// queues holds the tickets of the queued changes by class, the oldest first.
	// A ticket whose change was taken or dropped in the meantime is skipped.
	queues [classes][]glade.Ticket
	// sized is the model generation that the waiting jobs of a kind were last
	// sized with.
	sized map[glade.Service]int
	inbox *inbox
	hosts *hostView
	// ready is set once every open job was read. Before that the free capacity of
	// the hosts is unknown, and nothing is placed.
	ready bool
	// followed is when the contract and the hosts were last updated.
	followed time.Time
}

func newDesk(customer glade.Customer, lead Lead, hosts *hostView) *desk {
	return &desk{
		customer: customer,
		lead:     lead,
		hosts:    hosts,
		fleet:    place.New(place.Config{}),
		model:    learn.New(),
		health:   learn.NewHealth(),
		items:    make(map[glade.Ticket]*item),
		byHost:   make(map[glade.Host]map[glade.Ticket]bool),
		polled:   make(map[glade.Host]time.Time),
		unread:   make(map[glade.Ticket]glade.Priority),
		cancels:  make(map[glade.Ticket]bool),
		changes:  make(map[glade.Ticket]Change),
		sized:    make(map[glade.Service]int),
		inbox:    newInbox(customer),
	}
}

// followPeriod is the longest time between two updates of the hosts. Suspect
// hosts become available again with the first update after their quarantine.
const followPeriod = 10 * time.Second

// follow updates the contract, the team quotas and the hosts when the contract or
// the hosts may have changed, or followPeriod has passed.
func (d *desk) follow(contract glade.Contract, now time.Time) {
	same := d.contract.Version() == contract.Version() && !d.hosts.changed[d.customer]
	if same && now.Sub(d.followed) < followPeriod {
		return
	}
	d.followed = now
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
		_, open := d.hosts.spot(host)
		hosts = append(hosts, place.Host{
			Host: host, Zone: row.Zone, Rack: row.Rack, Pool: row.Pool,
			Size: glade.Size{Cores: listed.Cores, Memory: listed.Memory, Accels: listed.Accels},
			Open: open && !d.health.IsSuspect(host, now),
		})
		sizes[row.Pool]++
	}
	slices.SortFunc(hosts, func(a, b place.Host) int { return strings.Compare(string(a.Host), string(b.Host)) })
	d.fleet.SetHosts(hosts)
	for pool, size := range sizes {
		d.health.SetPool(pool, size)
	}
}

// see updates a job from its row, as it was read or written.
func (d *desk) see(row glade.JobRow, now time.Time) {
	it := d.items[row.Ticket]
	if it == nil {
		it = &item{heard: now}
		d.items[row.Ticket] = it
	}
	d.leaveHost(row.Ticket, it.row.Host)
	if it.row.Fence != row.Fence {
		*it = item{heard: now}
	}
	it.row = row
	it.cancel = d.cancels[row.Ticket]
	switch row.Phase {
	case glade.JobAccepted:
		d.fleet.Forget(row.Ticket)
		d.queue(it)
	case glade.JobParked:
		d.fleet.Forget(row.Ticket)
		if !it.cancel {
			d.forget(row.Ticket)
			return
		}
		d.change(row.Ticket, Event{Kind: EventCancel})
	case glade.JobPlaced, glade.JobRunning:
		d.fleet.Hold(d.task(it), row.Host)
		if d.byHost[row.Host] == nil {
			d.byHost[row.Host] = make(map[glade.Ticket]bool)
		}
		d.byHost[row.Host][row.Ticket] = true
	default:
		d.forget(row.Ticket)
	}
}

func (d *desk) leaveHost(ticket glade.Ticket, host glade.Host) {
	delete(d.byHost[host], ticket)
	if len(d.byHost[host]) == 0 {
		delete(d.byHost, host)
		delete(d.polled, host)
	}
}

// forget removes a job that is no longer open.
func (d *desk) forget(ticket glade.Ticket) {
	d.fleet.Forget(ticket)
	delete(d.items, ticket)
	delete(d.changes, ticket)
	delete(d.cancels, ticket)
	d.inbox.closed(ticket)
}

// queue adds an accepted job to those that wait for a host. A job whose
// cancellation was requested is cancelled instead, and a job for whose kind the
// contract has no pool is parked.
func (d *desk) queue(it *item) {
	if it.cancel {
		d.change(it.row.Ticket, Event{Kind: EventCancel})
		return
	}
	if _, ok := d.contract.PoolFor(it.row.Kind); !ok {
		d.change(it.row.Ticket, Event{Kind: EventPark, Reason: ReasonKind})
		return
	}
	d.fleet.Wait(d.task(it))
}

// change queues an event for a job's row, unless a change of that row is queued
// already.
func (d *desk) change(ticket glade.Ticket, e Event) {
	if it := d.items[ticket]; it != nil {
		e.Cancel = it.cancel
	}
	if _, busy := d.changes[ticket]; !busy {
		d.enqueue(Change{Ticket: ticket, Event: e})
	}
}

func (d *desk) enqueue(change Change) {
	d.changes[change.Ticket] = change
	class := d.class(change)
	d.queues[class] = append(d.queues[class], change.Ticket)
}

// task returns the placement request of a job. Its size is corrected by the
// usage of earlier jobs of its kind. It avoids all hosts on which the job failed,
// and the racks of those that are not suspect.
func (d *desk) task(it *item) place.Task {
	row := it.row
	pool, _ := d.contract.PoolFor(row.Kind)
	task := place.Task{
		ID: row.Ticket, Pool: pool.Name, Group: string(row.Kind), Team: row.Team, Priority: row.Priority,
		Size: d.size(it, pool.Name),
	}
	for _, try := range row.Tries {
		task.Avoid = append(task.Avoid, try.Host)
		if !d.health.IsBlamed(try.Host) {
			task.Racks = append(task.Racks, try.Rack)
		}
	}
	return task
}

// size returns the resources to reserve for a job. When the corrected memory
// exceeds that of every host, but the declared memory does so by no more than the
// maximum correction, the memory of the largest host is reserved: declarations
// can be wrong by that factor, and a run alone on a host shows the real usage.
func (d *desk) size(it *item, pool glade.Pool) glade.Size {
	size := it.row.Size
	corrected := d.model.Memory(d.key(it), size.Memory)
	size.Memory = max(corrected, it.used)
	if it.used > 0 && !d.model.IsKnown(d.key(it)) {
		size.Memory = it.used
	}
	if most := d.fleet.Memory(pool, size); size.Memory > most && it.row.Size.Memory <= learn.Most*most {
		size.Memory = most
	}
	return size
}

// resizeWaiting updates the sizes of waiting jobs when the memory model of their
// kind has changed.
func (d *desk) resizeWaiting() {
	changed := make(map[glade.Service]bool)
	for _, pool := range d.contract.Spec().Pools {
		generation := d.model.Generation(learn.Key{Customer: d.customer, Kind: pool.Serve})
		if d.sized[pool.Serve] != generation {
			d.sized[pool.Serve] = generation
			changed[pool.Serve] = true
		}
	}
	if len(changed) == 0 {
		return
	}
	for ticket, it := range d.items {
		if it.row.Phase == glade.JobAccepted && changed[it.row.Kind] {
			d.fleet.Resize(ticket, d.task(it).Size)
		}
	}
}

func (d *desk) key(it *item) learn.Key {
	return learn.Key{Customer: it.row.Customer, Kind: it.row.Kind}
}

// round places waiting jobs and queues the changes. It returns the adjustments of
// running tasks that free or restore capacity.
//
// Urgent jobs may use all of limit. For other jobs, the changes that are queued
// already count against it.
func (d *desk) round(limit int) []place.Relief {
	if !d.ready || limit <= 0 {
		return nil
	}
	d.resizeWaiting()
	plan := d.fleet.Round(place.Limits{Urgent: limit, Others: limit - len(d.changes)})
	for _, p := range plan.Placed() {
		it := d.items[p.Task.ID]
		spot, open := d.hosts.spot(p.Host)
		if it == nil {
			d.fleet.Forget(p.Task.ID)
			continue
		}
		if !open {
			d.unread[p.Task.ID] = p.Task.Priority
			continue
		}
		d.enqueue(Change{Ticket: p.Task.ID, Event: Event{Kind: EventPlace, Spot: spot}, Host: d.hosts.rows[p.Host]})
	}
	return plan.Reliefs()
}

// parkHopeless queues the parking of jobs for which no host is large enough.
func (d *desk) parkHopeless() {
	if !d.ready || d.fleet.Hosts() == 0 {
		return
	}
	for _, id := range d.fleet.Hopeless() {
		d.change(id, Event{Kind: EventPark, Reason: ReasonSize})
	}
}

// Classes of changes, in the order in which they are written.
const (
	classEnd = iota
	classUrgent
	classResult
	classPlace
	classRun
	classPark
	classes
)

func (d *desk) class(change Change) int {
	it := d.items[change.Ticket]
	urgent := it != nil && it.row.Priority == glade.Urgent
	switch change.Event.Kind {
	case EventStopped, EventGone, EventRefused, EventCancel:
		return classEnd
	case EventPlace:
		if urgent {
			return classUrgent
		}
		return classPlace
	case EventRun:
		return classRun
	case EventPark, EventLost:
		return classPark
	}
	return classResult
}

// take removes and returns up to n changes of one class, the oldest first.
func (d *desk) take(class, n int) []Change {
	var list []Change
	queue := d.queues[class]
	for len(queue) > 0 && len(list) < n {
		change, waits := d.changes[queue[0]]
		queue = queue[1:]
		if waits && d.class(change) == class {
			list = append(list, change)
			delete(d.changes, change.Ticket)
		}
	}
	d.queues[class] = queue
	return list
}
