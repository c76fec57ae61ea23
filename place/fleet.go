// Package place decides which host runs a task.
//
// A Fleet holds the hosts of one customer with the room that is left on them,
// and the tasks that wait. A round looks at each waiting task once, in the order
// of priority and of the teams' shares, and finds a host through an index, so
// that its cost follows the number of tasks and not that of hosts.
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
	// Open tells whether the host takes new tasks.
	Open bool
}

// Task is a task that waits for a host or runs on one.
type Task struct {
	ID       glade.Ticket
	Pool     glade.Pool
	Group    string
	Team     string
	Priority glade.Priority
	Size     glade.Size
	// Avoid lists hosts and Racks lists racks that the task doesn't go to.
	Avoid []glade.Host
	Racks []glade.Rack
}

// Quota is what a team may use of its own right.
type Quota struct {
	Cores  int
	Accels int
}

// Config configures a Fleet.
type Config struct {
	// Quotas holds the teams' quotas. Without any, nothing is limited.
	Quotas map[string]Quota
}

// Fleet holds hosts, running tasks and waiting tasks. It is not safe for use by
// several goroutines.
type Fleet struct {
	quotas map[string]Quota
	slots  []*slot
	byHost map[glade.Host]int
	trees  map[treeKey]*tree
	zones  map[glade.Pool][]glade.Zone
	// shapes holds the different sizes of the hosts of a pool.
	shapes map[glade.Pool][]glade.Size

	running map[glade.Ticket]*held
	waiting map[glade.Ticket]*Task
	queues  map[queueKey][]*Task
	// holds names the host on which room is being made for a waiting task.
	holds map[glade.Ticket]glade.Host
	// spread counts the running tasks of a group by zone.
	spread  map[spreadKey]int
	cursors map[treeKey]int
	usage   map[string]glade.Size
	// slowed holds the full number of cores of throttled tasks.
	slowed map[glade.Ticket]int
	placed int
}

type slot struct {
	host Host
	used glade.Size
	// bulk is the part of used that batch tasks hold and can give back.
	bulk  glade.Size
	tasks map[glade.Ticket]*held
	tree  *tree
	leaf  int
}

type held struct {
	task Task
	slot int
	// leaving marks a task that was told to stop.
	leaving bool
	order   int
}

type treeKey struct {
	pool   glade.Pool
	zone   glade.Zone
	accels bool
}

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

// SetQuotas replaces the teams' quotas.
func (f *Fleet) SetQuotas(quotas map[string]Quota) { f.quotas = quotas }

// SetHosts replaces the set of hosts. Tasks stay where they run; a host that is
// not named any more takes no further task. The index is built anew only when a
// host came, changed pools or changed size.
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

// build makes the index. Neighbours in a tree are in different racks, so that
// tasks that are placed one after the other spread over racks.
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

// rackOrder returns every first host of a rack, then every second, and so on.
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

// refresh brings the index up to date with one host.
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

// Wait adds a task that waits for a host.
func (f *Fleet) Wait(task Task) {
	if f.waiting[task.ID] != nil || f.running[task.ID] != nil {
		return
	}
	key := queueKey{rank: task.Priority.Rank(), team: task.Team}
	f.waiting[task.ID] = &task
	f.queues[key] = append(f.queues[key], &task)
}

// Forget removes a task that waits or runs.
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

// Hold records that a task runs on a host.
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

// Resize changes what a waiting or running task is counted with.
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

// charge adds to what a task uses of its host and its team's quota.
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

// leave marks a running task as told to stop: its room is spoken for, and its
// team does not use it any more.
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

// Running returns the number of tasks on hosts.
func (f *Fleet) Running() int { return len(f.running) }

// Visits returns how many nodes of the index were looked at so far.
func (f *Fleet) Visits() int {
	visits := 0
	for _, t := range f.trees {
		visits += t.visits
	}
	return visits
}

// Hosts returns the number of hosts that were ever named.
func (f *Fleet) Hosts() int { return len(f.slots) }

// Memory returns the greatest memory of the hosts of a pool that have the cores
// and accelerators of size, in bytes; -1 when there is none.
func (f *Fleet) Memory(pool glade.Pool, size glade.Size) int64 {
	most := int64(-1)
	for _, shape := range f.shapes[pool] {
		if size.Cores <= shape.Cores && size.Accels <= shape.Accels {
			most = max(most, shape.Memory)
		}
	}
	return most
}

// Hopeless returns the waiting tasks for which no host of their pool, when
// empty, is large enough, in the order of their names. A pool without hosts
// makes no task hopeless.
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
