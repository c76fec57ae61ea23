// Package place decides which host runs a task.
//
// A Fleet holds the hosts of one customer with their free capacity, and the
// waiting tasks. A scheduling round considers waiting tasks in the order of their
// priority and of their teams' quota usage. It finds hosts through an index, so
// that its cost depends on the number of tasks rather than on that of hosts.
package place

import (
	"slices"
	"sort"

	glade "indigoglade"
)

// Host is a host that can run tasks.
type Host struct {
	Host glade.Host
	Zone glade.Zone
	Rack glade.Rack
	Pool glade.Pool
	Size glade.Size
	// Open is set while the host accepts new tasks.
	Open bool
}

// Task is a task that waits for a host or runs on one.
type Task struct {
	ID   glade.Ticket
	Pool glade.Pool
	// Group names the tasks that are spread over zones together.
	Group    string
	Team     string
	Priority glade.Priority
	Size     glade.Size
	// Avoid lists hosts on which the task is not placed.
	Avoid []glade.Host
	// Racks lists racks in which the task is not placed.
	Racks []glade.Rack
}

// Quota is the amount of resources that is guaranteed to a team.
type Quota struct {
	Cores  int
	Accels int
}

// Config configures a Fleet.
type Config struct {
	// Quotas holds the quotas by team. When it is empty, teams are not limited.
	Quotas map[string]Quota
}

// Fleet holds hosts, running tasks and waiting tasks. It is not safe for
// concurrent use.
type Fleet struct {
	quotas map[string]Quota
	// slots holds every host that was ever known. Positions do not change.
	slots []*slot
	// byHost holds the position of each host in slots.
	byHost map[glade.Host]int
	// trees is the index of free capacity.
	trees map[treeKey]*tree
	// zones holds the zones of the hosts of a pool, sorted.
	zones map[glade.Pool][]glade.Zone
	// shapes holds the distinct sizes of the hosts of a pool.
	shapes map[glade.Pool][]glade.Size

	running map[glade.Ticket]*held
	waiting map[glade.Ticket]*Task
	// queues holds waiting tasks in the order of their arrival. A task that is no
	// longer waiting is skipped.
	queues map[queueKey][]*Task
	// holds names the host on which tasks are being stopped for a waiting task.
	holds map[glade.Ticket]glade.Host
	// spread counts the running tasks of a group by zone.
	spread map[spreadKey]int
	// cursors holds the leaf of each tree at which the next search starts, so that
	// placements rotate over the hosts.
	cursors map[treeKey]int
	// usage is what the running tasks of a team use, without those that stop.
	usage map[string]glade.Size
	// slowed holds the full number of cores of throttled tasks.
	slowed map[glade.Ticket]int
	// placed counts placements.
	placed int
}

// slot is a host with the tasks on it.
type slot struct {
	host Host
	used glade.Size
	// bulk is the part of used that belongs to batch tasks, which can be
	// preempted.
	bulk  glade.Size
	tasks map[glade.Ticket]*held
	// tree and leaf are the host's place in the index.
	tree *tree
	leaf int
}

// held is a task on a host.
type held struct {
	task Task
	// slot is the position of the host in Fleet.slots.
	slot int
	// leaving marks a task that is being stopped.
	leaving bool
	// order numbers placements; a newer one has a higher number.
	order int
}

// treeKey identifies a tree of the index. Hosts with accelerators have trees of
// their own.
type treeKey struct {
	pool   glade.Pool
	zone   glade.Zone
	accels bool
}

// queueKey identifies the waiting tasks of a team that have one priority rank.
type queueKey struct {
	rank int
	team string
}

type spreadKey struct {
	group string
	zone  glade.Zone
}

// New returns a fleet without hosts.
func New(config Config) *Fleet {
	return &Fleet{
		quotas:  config.Quotas,
		byHost:  make(map[glade.Host]int),
		running: make(map[glade.Ticket]*held),
		waiting: make(map[glade.Ticket]*Task),
		queues:  make(map[queueKey][]*Task),
		holds:   make(map[glade.Ticket]glade.Host),
		spread:  make(map[spreadKey]int),
		cursors: make(map[treeKey]int),
		usage:   make(map[string]glade.Size),
		slowed:  make(map[glade.Ticket]int),
	}
}

// SetQuotas replaces the quotas, by team. Without quotas, teams are not limited.
func (f *Fleet) SetQuotas(quotas map[string]Quota) { f.quotas = quotas }

// SetHosts replaces the set of hosts. Running tasks stay on their hosts; a host
// that is not in the new set accepts no new tasks. The index is rebuilt only when
// a host is new or its pool, zone, rack or size has changed.
func (f *Fleet) SetHosts(hosts []Host) {
	named := make(map[glade.Host]bool, len(hosts))
	rebuild := f.trees == nil
	for _, host := range hosts {
		named[host.Host] = true
		at, known := f.byHost[host.Host]
		if !known {
			at = len(f.slots)
			f.byHost[host.Host] = at
			f.slots = append(f.slots, &slot{tasks: make(map[glade.Ticket]*held)})
		}
		old := f.slots[at].host
		f.slots[at].host = host
		moved := old.Pool != host.Pool || old.Zone != host.Zone || old.Rack != host.Rack || old.Size != host.Size
		rebuild = rebuild || !known || moved
		if !rebuild && old.Open != host.Open {
			f.refresh(at)
		}
	}
	for at, s := range f.slots {
		if s.host.Open && !named[s.host.Host] {
			s.host.Open = false
			if !rebuild {
				f.refresh(at)
			}
		}
	}
	if rebuild {
		f.build()
	}
}

// SetOpen opens or closes one host for new tasks.
func (f *Fleet) SetOpen(host glade.Host, open bool) {
	if at, ok := f.byHost[host]; ok && f.slots[at].host.Open != open {
		f.slots[at].host.Open = open
		f.refresh(at)
	}
}

// build rebuilds the index. Adjacent leaves of a tree are in different racks where
// possible, so that tasks that are placed in succession spread over racks.
func (f *Fleet) build() {
	leaves := make(map[treeKey][]int)
	f.zones = make(map[glade.Pool][]glade.Zone)
	f.shapes = make(map[glade.Pool][]glade.Size)
	for _, at := range f.rackOrder() {
		h := f.slots[at].host
		key := treeKey{pool: h.Pool, zone: h.Zone, accels: h.Size.Accels > 0}
		leaves[key] = append(leaves[key], at)
		if !slices.Contains(f.shapes[h.Pool], h.Size) {
			f.shapes[h.Pool] = append(f.shapes[h.Pool], h.Size)
		}
	}
	f.trees = make(map[treeKey]*tree, len(leaves))
	for key, list := range leaves {
		t := newTree(list)
		f.trees[key] = t
		for leaf, at := range list {
			f.slots[at].tree = t
			f.slots[at].leaf = leaf
			f.refresh(at)
		}
		f.zones[key.pool] = addZone(f.zones[key.pool], key.zone)
	}
}

// rackOrder returns the positions of the first host of each rack, then those of
// the second host of each rack, and so on.
func (f *Fleet) rackOrder() []int {
	order := make([]int, len(f.slots))
	for i := range order {
		order[i] = i
	}
	sort.Slice(order, func(i, j int) bool { return f.slots[order[i]].host.Host < f.slots[order[j]].host.Host })
	inRack := make(map[glade.Rack]int)
	turn := make([]int, len(f.slots))
	for _, at := range order {
		rack := f.slots[at].host.Rack
		turn[at] = inRack[rack]
		inRack[rack]++
	}
	sort.SliceStable(order, func(i, j int) bool { return turn[order[i]] < turn[order[j]] })
	return order
}

func addZone(zones []glade.Zone, zone glade.Zone) []glade.Zone {
	at := sort.Search(len(zones), func(i int) bool { return zones[i] >= zone })
	if at < len(zones) && zones[at] == zone {
		return zones
	}
	zones = append(zones, "")
	copy(zones[at+1:], zones[at:])
	zones[at] = zone
	return zones
}

// refresh updates the index with the free capacity of one host.
func (f *Fleet) refresh(at int) {
	s := f.slots[at]
	if s.tree == nil {
		return
	}
	r := room{free: none, reach: none}
	if s.host.Open {
		r.free = s.host.Size.Minus(s.used)
		r.reach = r.free.Plus(s.bulk)
	}
	s.tree.set(s.leaf, r)
}

// Wait adds a waiting task. It has no effect when the task is waiting or running
// already.
func (f *Fleet) Wait(task Task) {
	if f.waiting[task.ID] != nil || f.running[task.ID] != nil {
		return
	}
	key := queueKey{rank: task.Priority.Rank(), team: task.Team}
	f.waiting[task.ID] = &task
	f.queues[key] = append(f.queues[key], &task)
}

// Forget removes a waiting or running task, if it exists.
func (f *Fleet) Forget(id glade.Ticket) {
	delete(f.waiting, id)
	delete(f.holds, id)
	delete(f.slowed, id)
	h, ok := f.running[id]
	if !ok {
		return
	}
	delete(f.running, id)
	s := f.slots[h.slot]
	delete(s.tasks, id)
	f.charge(h, glade.Size{}.Minus(h.task.Size))
	f.spread[spreadKey{h.task.Group, s.host.Zone}]--
}

// Hold records that a task runs on a host, instead of any earlier state of the
// task. The host need not be known.
func (f *Fleet) Hold(task Task, host glade.Host) {
	f.Forget(task.ID)
	at, known := f.byHost[host]
	if !known {
		at = len(f.slots)
		f.byHost[host] = at
		f.slots = append(f.slots, &slot{host: Host{Host: host}, tasks: make(map[glade.Ticket]*held)})
	}
	h := &held{task: task, slot: at, order: f.placed}
	f.placed++
	f.running[task.ID] = h
	f.slots[at].tasks[task.ID] = h
	f.charge(h, task.Size)
	f.spread[spreadKey{task.Group, f.slots[at].host.Zone}]++
}

// Resize changes the resources that are reserved for a waiting or running task.
func (f *Fleet) Resize(id glade.Ticket, size glade.Size) {
	if task := f.waiting[id]; task != nil {
		task.Size = size
	}
	h, ok := f.running[id]
	if !ok || h.task.Size == size {
		return
	}
	f.charge(h, size.Minus(h.task.Size))
	h.task.Size = size
}

// charge adds to the usage of a task's host and, unless the task is being stopped,
// of its team.
func (f *Fleet) charge(h *held, add glade.Size) {
	s := f.slots[h.slot]
	s.used = s.used.Plus(add)
	if h.task.Priority == glade.Bulk && !h.leaving {
		s.bulk = s.bulk.Plus(add)
	}
	if !h.leaving {
		f.usage[h.task.Team] = f.usage[h.task.Team].Plus(add)
	}
	f.refresh(h.slot)
}

// leave marks a running task as being stopped. The task no longer counts towards
// its team's usage or as preemptible, but keeps its host's capacity until it is
// removed.
func (f *Fleet) leave(h *held) {
	if h.leaving {
		return
	}
	h.leaving = true
	s := f.slots[h.slot]
	f.usage[h.task.Team] = f.usage[h.task.Team].Minus(h.task.Size)
	if h.task.Priority == glade.Bulk {
		s.bulk = s.bulk.Minus(h.task.Size)
	}
	f.refresh(h.slot)
}

// Waiting returns the number of waiting tasks.
func (f *Fleet) Waiting() int { return len(f.waiting) }

// Running returns the number of tasks on hosts, including those being stopped.
func (f *Fleet) Running() int { return len(f.running) }

// Visits returns the number of index nodes that searches have visited since the
// index was last rebuilt.
func (f *Fleet) Visits() int {
	visits := 0
	for _, t := range f.trees {
		visits += t.visits
	}
	return visits
}

// Hosts returns the number of hosts that were ever known, including closed ones.
func (f *Fleet) Hosts() int { return len(f.slots) }

// Memory returns the largest memory, in bytes, among the hosts of a pool that have
// the cores and accelerators of size. It returns -1 when there is no such host.
func (f *Fleet) Memory(pool glade.Pool, size glade.Size) int64 {
	most := int64(-1)
	for _, shape := range f.shapes[pool] {
		if size.Cores <= shape.Cores && size.Accels <= shape.Accels {
			most = max(most, shape.Memory)
		}
	}
	return most
}

// Hopeless returns the waiting tasks that are too large for every host of their
// pool, even an idle one, sorted by ID. Tasks whose pool has no hosts are not
// returned.
func (f *Fleet) Hopeless() []glade.Ticket {
	var list []glade.Ticket
	for id, task := range f.waiting {
		if len(f.shapes[task.Pool]) > 0 && task.Size.Memory > f.Memory(task.Pool, task.Size) {
			list = append(list, id)
		}
	}
	slices.Sort(list)
	return list
}
