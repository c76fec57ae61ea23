package jobs

import (
	"slices"
	"strings"
	"time"

	glade "indigoglade"
	"indigoglade/learn"
	"indigoglade/place"
)

// Times of a run.
const (
	// pollPeriod is the time between two questions to a worker about its tasks.
	pollPeriod = time.Second
	// startPeriod is the time after which a start without an answer is sent
	// again.
	startPeriod = 2 * time.Second
	// stopPeriod is the same for a stop.
	stopPeriod = 3 * time.Second
	// lostTime is how long a worker may be silent before its runs are given up.
	// It is longer than the leases of the tasks.
	lostTime = 30 * time.Second
)

// item is one open job as the lead knows it.
type item struct {
	row  glade.JobRow
	page string
	// sent and stopped are when the last start and stop were sent.
	sent    time.Time
	stopped time.Time
	heard   time.Time
	// halted tells that the worker has taken a stop.
	halted bool
	// late marks a run that takes far longer than expected.
	late bool
	// cancel marks a job whose end was ordered.
	cancel bool
	// evict marks a run that is to stop with a checkpoint.
	evict bool
	// used is the greatest use of memory that was reported.
	used int64
}

// release names a run that a worker may forget.
type release struct {
	host glade.Host
	task string
}

// order marks jobs whose end was ordered.
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

// desk holds the open jobs of one customer. It is rebuilt from the rows when a
// keeper takes the lead.
type desk struct {
	customer glade.Customer
	contract glade.Contract
	lead     Lead
	fleet    *place.Fleet
	model    *learn.Model
	health   *learn.Health

	items map[glade.Ticket]*item
	// byHost lists the placed jobs of each host.
	byHost map[glade.Host]map[glade.Ticket]bool
	polled map[glade.Host]time.Time
	// unread lists jobs whose rows have to be read, urgent ones first.
	unread map[glade.Ticket]glade.Priority
	// cancels lists jobs whose end was ordered.
	cancels map[glade.Ticket]bool
	// releases lists runs that have ended and that workers may forget.
	releases []release
	changes  map[glade.Ticket]Change
	// queues holds the tickets of changes by class, the oldest first. A ticket
	// whose change was taken or dropped meanwhile is passed over.
	queues [classes][]glade.Ticket
	// sized is the generation of the model that the waiting jobs of a kind were
	// sized with.
	sized map[glade.Service]int
	inbox *inbox
	hosts *hostView
	// ready is set once every open job was read: before that the room on the
	// hosts is not known, and nothing is placed.
	ready bool
	// followed is when the hosts were looked at.
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

// followPeriod is the longest time between two looks at the hosts, after which
// the probation of a suspect host may have ended.
const followPeriod = 10 * time.Second

// follow takes over a contract and the state of the hosts when either may have
// changed.
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

// see takes over a job's row as it was read or written.
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

// forget drops a job that is not open any more.
func (d *desk) forget(ticket glade.Ticket) {
	d.fleet.Forget(ticket)
	delete(d.items, ticket)
	delete(d.changes, ticket)
	delete(d.cancels, ticket)
	d.inbox.closed(ticket)
}

// queue lets an accepted job wait for a host, or parks it when no host of its
// pool can ever run it.
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

// change queues an event for a job's row. One event a job is under way at once.
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

// task describes a job for placement, with its size corrected by what is known
// of its kind.
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

// size returns what a job is counted with. The memory of a job that seems too
// large for every host is taken as that of the largest: declarations are off by
// up to the bound of the correction, and a run by itself shows the truth.
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

// resizeWaiting gives the waiting jobs of a kind their size anew when what is
// known of the kind has changed.
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

// round places waiting jobs and queues the changes. It returns the reliefs that
// make room.
//
// Urgent jobs use all of limit. Others wait while enough changes are queued.
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

// parkHopeless queues the end of jobs for which no host is large enough.
func (d *desk) parkHopeless() {
	if !d.ready || d.fleet.Hosts() == 0 {
		return
	}
	for _, id := range d.fleet.Hopeless() {
		d.change(id, Event{Kind: EventPark, Reason: ReasonSize})
	}
}

// classes of changes, the most pressing first.
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

// take removes up to n changes of one class, the oldest first.
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
