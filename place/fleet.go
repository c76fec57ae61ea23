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
	Size glade.Resources
	// Open is set while the host accepts new tasks.
	Open bool
}

// Task is a task that waits for a host or runs on one.
type Task struct {
	ID   glade.Ticket
	Pool glade.Pool
	// Group identifies the tasks that are spread over zones together.
	Group    string
	Team     string
	Priority glade.Priority
	Size     glade.Resources
	// AvoidHosts lists hosts on which the task is not placed.
	AvoidHosts []glade.Host
	// AvoidRacks lists racks in which the task is not placed.
	AvoidRacks []glade.Rack
}

// Quota is the amount of resources that is guaranteed to a team.
type Quota struct {
	Cores  int
	Accels int
}

// Config holds the initial settings of a Fleet.
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
	// positions holds the position of each host in slots.
	positions map[glade.Host]int
	// trees is the index of free capacity.
	trees map[treeKey]*tree
	// zones holds the zones of the hosts of a pool, sorted.
	zones map[glade.Pool][]glade.Zone
	// hostSizes holds the distinct sizes of the hosts of a pool.
	hostSizes map[glade.Pool][]glade.Resources

	running map[glade.Ticket]*placedTask
	waiting map[glade.Ticket]*Task
	// queues holds waiting tasks in the order of their arrival. A task that is no
	// longer waiting is skipped.
	queues map[queueKey][]*Task
	// reserved holds the host on which tasks are being stopped for a waiting task.
	reserved map[glade.Ticket]glade.Host
	// groupCounts counts the running tasks of a group by zone.
	groupCounts map[groupZone]int
	// cursors holds the leaf of each tree at which the next search starts, so that
	// placements rotate over the hosts.
	cursors map[treeKey]int
	// teamUsage is what the running tasks of a team use, without those that stop.
	teamUsage map[string]glade.Resources
	// throttled holds the full number of cores of throttled tasks.
	throttled map[glade.Ticket]int
	// placeCount counts placements.
	placeCount int
}

// slot is a host with the tasks on it.
type slot struct {
	host Host
	used glade.Resources
	// preemptible is the part of used that belongs to batch tasks, which can be
	// preempted.
	preemptible glade.Resources
	tasks       map[glade.Ticket]*placedTask
	// tree and leaf are the host's place in the index.
	tree *tree
	leaf int
}

// placedTask is a task on a host.
type placedTask struct {
	task Task
	// slot is the position of the host in Fleet.slots.
	slot int
	// stopping marks a task that is being stopped.
	stopping bool
	// seq numbers placements; a newer one has a higher number.
	seq int
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

type groupZone struct {
	group string
	zone  glade.Zone
}

// New returns a fleet without hosts.
func New(config Config) *Fleet {
	return &Fleet{
		quotas:      config.Quotas,
		positions:   make(map[glade.Host]int),
		running:     make(map[glade.Ticket]*placedTask),
		waiting:     make(map[glade.Ticket]*Task),
		queues:      make(map[queueKey][]*Task),
		reserved:    make(map[glade.Ticket]glade.Host),
		groupCounts: make(map[groupZone]int),
		cursors:     make(map[treeKey]int),
		teamUsage:   make(map[string]glade.Resources),
		throttled:   make(map[glade.Ticket]int),
	}
}

// SetQuotas replaces the quotas, by team. Without quotas, teams are not limited.
func (f *Fleet) SetQuotas(quotas map[string]Quota) { f.quotas = quotas }

// SetHosts replaces the set of hosts. Running tasks stay on their hosts; a host
// that is not in the new set accepts no new tasks. The index is rebuilt only when
// a host is new or its pool, zone, rack or size has changed.
func (f *Fleet) SetHosts(hosts []Host) {
	listed := make(map[glade.Host]bool, len(hosts))
	rebuild := f.trees == nil
	for _, host := range hosts {
		listed[host.Host] = true
		pos, known := f.positions[host.Host]
		if !known {
			pos = len(f.slots)
			f.positions[host.Host] = pos
			f.slots = append(f.slots, &slot{tasks: make(map[glade.Ticket]*placedTask)})
		}
		old := f.slots[pos].host
		f.slots[pos].host = host
		moved := old.Pool != host.Pool || old.Zone != host.Zone || old.Rack != host.Rack || old.Size != host.Size
		rebuild = rebuild || !known || moved
		if !rebuild && old.Open != host.Open {
			f.updateIndex(pos)
		}
	}
	for pos, s := range f.slots {
		if s.host.Open && !listed[s.host.Host] {
			s.host.Open = false
			if !rebuild {
				f.updateIndex(pos)
			}
		}
	}
	if rebuild {
		f.rebuildIndex()
	}
}

// SetOpen opens or closes one host for new tasks.
func (f *Fleet) SetOpen(host glade.Host, open bool) {
	if pos, ok := f.positions[host]; ok && f.slots[pos].host.Open != open {
		f.slots[pos].host.Open = open
		f.updateIndex(pos)
	}
}

// rebuildIndex rebuilds the index. Adjacent leaves of a tree are in different
// racks where possible, so that tasks that are placed in succession spread over
// racks.
func (f *Fleet) rebuildIndex() {
	leaves := make(map[treeKey][]int)
	f.zones = make(map[glade.Pool][]glade.Zone)
	f.hostSizes = make(map[glade.Pool][]glade.Resources)
	for _, pos := range f.interleaveRacks() {
		h := f.slots[pos].host
		key := treeKey{pool: h.Pool, zone: h.Zone, accels: h.Size.Accels > 0}
		leaves[key] = append(leaves[key], pos)
		if !slices.Contains(f.hostSizes[h.Pool], h.Size) {
			f.hostSizes[h.Pool] = append(f.hostSizes[h.Pool], h.Size)
		}
	}
	f.trees = make(map[treeKey]*tree, len(leaves))
	for key, list := range leaves {
		t := newTree(list)
		f.trees[key] = t
		for leaf, pos := range list {
			f.slots[pos].tree = t
			f.slots[pos].leaf = leaf
			f.updateIndex(pos)
		}
		f.zones[key.pool] = insertZone(f.zones[key.pool], key.zone)
	}
}

// interleaveRacks returns the positions of the first host of each rack, then
// those of the second host of each rack, and so on.
func (f *Fleet) interleaveRacks() []int {
	order := make([]int, len(f.slots))
	for i := range order {
		order[i] = i
	}
	sort.Slice(order, func(i, j int) bool { return f.slots[order[i]].host.Host < f.slots[order[j]].host.Host })
	rackCounts := make(map[glade.Rack]int)
	rankInRack := make([]int, len(f.slots))
	for _, pos := range order {
		rack := f.slots[pos].host.Rack
		rankInRack[pos] = rackCounts[rack]
		rackCounts[rack]++
	}
	sort.SliceStable(order, func(i, j int) bool { return rankInRack[order[i]] < rankInRack[order[j]] })
	return order
}

func insertZone(zones []glade.Zone, zone glade.Zone) []glade.Zone {
	i := sort.Search(len(zones), func(i int) bool { return zones[i] >= zone })
	if i < len(zones) && zones[i] == zone {
		return zones
	}
	zones = append(zones, "")
	copy(zones[i+1:], zones[i:])
	zones[i] = zone
	return zones
}

// updateIndex updates the index with the free capacity of one host.
func (f *Fleet) updateIndex(pos int) {
	s := f.slots[pos]
	if s.tree == nil {
		return
	}
	c := capacity{free: noCapacity, withPreemption: noCapacity}
	if s.host.Open {
		c.free = s.host.Size.Minus(s.used)
		c.withPreemption = c.free.Plus(s.preemptible)
	}
	s.tree.set(s.leaf, c)
}

// Enqueue adds a waiting task. It has no effect when the task is waiting or running
// already.
func (f *Fleet) Enqueue(task Task) {
	if f.waiting[task.ID] != nil || f.running[task.ID] != nil {
		return
	}
	key := queueKey{rank: task.Priority.Rank(), team: task.Team}
	f.waiting[task.ID] = &task
	f.queues[key] = append(f.queues[key], &task)
}

// Remove removes a waiting or running task, if it exists.
func (f *Fleet) Remove(id glade.Ticket) {
	delete(f.waiting, id)
	delete(f.reserved, id)
	delete(f.throttled, id)
	p, ok := f.running[id]
	if !ok {
		return
	}
	delete(f.running, id)
	s := f.slots[p.slot]
	delete(s.tasks, id)
	f.addUsage(p, glade.Resources{}.Minus(p.task.Size))
	f.groupCounts[groupZone{p.task.Group, s.host.Zone}]--
}

// SetRunning records that a task runs on a host, and replaces any earlier state
// of the task. The host need not be known.
func (f *Fleet) SetRunning(task Task, host glade.Host) {
	f.Remove(task.ID)
	pos, known := f.positions[host]
	if !known {
		pos = len(f.slots)
		f.positions[host] = pos
		f.slots = append(f.slots, &slot{host: Host{Host: host}, tasks: make(map[glade.Ticket]*placedTask)})
	}
	p := &placedTask{task: task, slot: pos, seq: f.placeCount}
	f.placeCount++
	f.running[task.ID] = p
	f.slots[pos].tasks[task.ID] = p
	f.addUsage(p, task.Size)
	f.groupCounts[groupZone{task.Group, f.slots[pos].host.Zone}]++
}

// Resize changes the resources that are reserved for a waiting or running task.
func (f *Fleet) Resize(id glade.Ticket, size glade.Resources) {
	if task := f.waiting[id]; task != nil {
		task.Size = size
	}
	p, ok := f.running[id]
	if !ok || p.task.Size == size {
		return
	}
	f.addUsage(p, size.Minus(p.task.Size))
	p.task.Size = size
}

// addUsage adds to the usage of a task's host and, unless the task is being
// stopped, of its team.
func (f *Fleet) addUsage(p *placedTask, delta glade.Resources) {
	s := f.slots[p.slot]
	s.used = s.used.Plus(delta)
	if p.task.Priority == glade.Bulk && !p.stopping {
		s.preemptible = s.preemptible.Plus(delta)
	}
	if !p.stopping {
		f.teamUsage[p.task.Team] = f.teamUsage[p.task.Team].Plus(delta)
	}
	f.updateIndex(p.slot)
}

// markStopping marks a running task as being stopped. The task no longer counts
// towards its team's usage or as preemptible, but keeps its host's capacity
// until it is removed.
func (f *Fleet) markStopping(p *placedTask) {
	if p.stopping {
		return
	}
	p.stopping = true
	s := f.slots[p.slot]
	f.teamUsage[p.task.Team] = f.teamUsage[p.task.Team].Minus(p.task.Size)
	if p.task.Priority == glade.Bulk {
		s.preemptible = s.preemptible.Minus(p.task.Size)
	}
	f.updateIndex(p.slot)
}

// WaitingCount returns the number of waiting tasks.
func (f *Fleet) WaitingCount() int { return len(f.waiting) }

// RunningCount returns the number of tasks on hosts, including those being stopped.
func (f *Fleet) RunningCount() int { return len(f.running) }

// NodeVisits returns the number of index nodes that searches have visited since the
// index was last rebuilt.
func (f *Fleet) NodeVisits() int {
	visits := 0
	for _, t := range f.trees {
		visits += t.visits
	}
	return visits
}

// HostCount returns the number of hosts that were ever known, including closed ones.
func (f *Fleet) HostCount() int { return len(f.slots) }

// Memory returns the largest memory, in bytes, among the hosts of a pool that have
// the cores and accelerators of size. It returns -1 when there is no such host.
func (f *Fleet) Memory(pool glade.Pool, size glade.Resources) int64 {
	largest := int64(-1)
	for _, hostSize := range f.hostSizes[pool] {
		if size.Cores <= hostSize.Cores && size.Accels <= hostSize.Accels {
			largest = max(largest, hostSize.Memory)
		}
	}
	return largest
}

// Unplaceable returns the waiting tasks that are too large for every host of their
// pool, even an idle one, sorted by ID. Tasks whose pool has no hosts are not
// returned.
func (f *Fleet) Unplaceable() []glade.Ticket {
	var list []glade.Ticket
	for id, task := range f.waiting {
		if len(f.hostSizes[task.Pool]) > 0 && task.Size.Memory > f.Memory(task.Pool, task.Size) {
			list = append(list, id)
		}
	}
	slices.Sort(list)
	return list
}
