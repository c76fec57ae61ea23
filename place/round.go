package place

import (
	"maps"
	"slices"
	"sort"

	glade "indigoglade"
)

// Placement assigns a waiting task to a host.
type Placement struct {
	Task Task
	Host glade.Host
}

// Relief throttles or stops a running task to free capacity for another task, or
// restores the cores of a throttled task.
type Relief struct {
	Task glade.Ticket
	Host glade.Host
	// Cores is the new number of cores of a task that is throttled or restored. It
	// is 0 for a task that is stopped with a checkpoint.
	Cores int
	// For is the task that gets the capacity; for a restored task, the task itself.
	For glade.Ticket
}

// Plan holds the decisions of one round.
type Plan struct {
	placed  []Placement
	reliefs []Relief
}

// Placed returns the tasks to start, with their hosts.
func (p Plan) Placed() []Placement { return p.placed }

// Reliefs returns the running tasks to throttle, restore or stop.
func (p Plan) Reliefs() []Relief { return p.reliefs }

// throttledCores is the number of cores of a throttled task.
const throttledCores = 1

// Limits limits the number of tasks that one round places.
type Limits struct {
	// Urgent is the maximum number of urgent tasks.
	Urgent int
	// Others is the number of placed tasks, urgent ones included, at which the
	// round places no further tasks that are not urgent.
	Others int
}

// Round places waiting tasks. A placed task counts as running at once; when it is
// not started, the caller must remove it and may add it again.
//
// Higher priorities are placed first. Within a priority, tasks within their teams'
// quotas are placed first, starting with the team that uses the smallest share of
// its quota. Then idle quota is lent to teams beyond their own, except in pools
// where a task within its quota found no host.
func (f *Fleet) Round(limits Limits) Plan {
	r := round{fleet: f, tight: make(map[glade.Pool][]glade.Size), starved: make(map[glade.Pool]bool)}
	for rank := range ranks {
		r.limit = limits.Others
		if rank == glade.Urgent.Rank() {
			r.limit = limits.Urgent
		}
		r.pass(rank, false)
		r.pass(rank, true)
	}
	if len(r.plan.reliefs) == 0 {
		r.restore()
	}
	return r.plan
}

// ranks is the number of priorities.
const ranks = 3

// round is the state of one call of Fleet.Round.
type round struct {
	fleet *Fleet
	// limit is the number of placements at which a pass ends, and also the number
	// of adjustments at which no more capacity is freed.
	limit int
	plan  Plan
	// tight holds the sizes for which no host of a pool had capacity in this round.
	tight map[glade.Pool][]glade.Size
	// starved marks pools in which a task within its quota found no host.
	starved map[glade.Pool]bool
}

// pass places waiting tasks of one priority: with borrow those beyond their teams'
// quotas, otherwise those within.
func (r *round) pass(rank int, borrow bool) {
	heads := r.fleet.teams(rank)
	for len(heads) > 0 && len(r.plan.placed) < r.limit {
		i := r.fleet.leastServed(heads)
		if !r.next(&heads[i], borrow) {
			heads = slices.Delete(heads, i, i+1)
		}
	}
}

// head holds the tasks of one team that were not considered in this pass yet.
type head struct {
	team  string
	queue []*Task
}

// next considers the waiting tasks of a team until one is placed. It returns false
// when the queue is empty.
func (r *round) next(h *head, borrow bool) bool {
	f := r.fleet
	for len(h.queue) > 0 {
		task := h.queue[0]
		h.queue = h.queue[1:]
		if f.waiting[task.ID] != task || f.isWithin(task) == borrow {
			continue
		}
		if borrow && r.starved[task.Pool] {
			continue
		}
		if r.try(task, borrow) {
			return true
		}
	}
	return false
}

// try places a task on a host, if necessary after freeing capacity. It returns
// false when the task has to wait.
func (r *round) try(task *Task, borrow bool) bool {
	f := r.fleet
	if r.isTight(task) {
		return r.lack(task, borrow)
	}
	at, ok := f.search(task, false)
	if ok {
		r.take(task, at)
		return true
	}
	if len(task.Avoid) == 0 && len(task.Racks) == 0 {
		r.tight[task.Pool] = append(r.tight[task.Pool], task.Size)
	}
	return r.lack(task, borrow)
}

// take places a task on the host at a position.
func (r *round) take(task *Task, at int) {
	placed := *task
	host := r.fleet.slots[at].host.Host
	r.fleet.Hold(placed, host)
	r.plan.placed = append(r.plan.placed, Placement{Task: placed, Host: host})
}

// isTight reports whether this round has already found no host for a task that is
// no larger in any resource. A task with a reserved host is always searched for.
func (r *round) isTight(task *Task) bool {
	if f := r.fleet; f.holds[task.ID] != "" {
		return false
	}
	for _, size := range r.tight[task.Pool] {
		if size.Fits(task.Size) {
			return true
		}
	}
	return false
}

// lack tries to free capacity for a task that found no host. It returns true when
// the task was placed at once.
func (r *round) lack(task *Task, borrow bool) bool {
	f := r.fleet
	if !borrow && len(f.quotas) > 0 {
		r.starved[task.Pool] = true
	}
	if _, held := f.holds[task.ID]; held || len(r.plan.reliefs) >= r.limit {
		return false
	}
	if task.Priority == glade.Urgent {
		if at, ok := f.search(task, true); ok {
			return r.relieve(task, at, f.bulkOn(at))
		}
	}
	if !borrow && len(f.quotas) > 0 {
		r.takeBack(task)
	}
	return false
}

// relieve throttles the victims when only cores are missing and that frees enough;
// the task is then placed at once. Otherwise it stops victims with a checkpoint.
func (r *round) relieve(task *Task, at int, victims []*held) bool {
	f := r.fleet
	s := f.slots[at]
	missing := task.Size.Minus(s.host.Size.Minus(s.used))
	if missing.Memory <= 0 && missing.Accels <= 0 && r.throttle(task, victims, missing.Cores) {
		r.take(task, at)
		return true
	}
	r.stop(task, at, victims)
	return false
}

// stop stops as many of the victims, with a checkpoint, as the task needs, and
// reserves the host for the task.
func (r *round) stop(task *Task, at int, victims []*held) {
	f := r.fleet
	s := f.slots[at]
	missing := task.Size.Minus(s.host.Size.Minus(s.used))
	f.holds[task.ID] = s.host.Host
	for _, h := range victims {
		if missing.Cores <= 0 && missing.Memory <= 0 && missing.Accels <= 0 {
			break
		}
		missing = missing.Minus(h.task.Size)
		f.leave(h)
		r.plan.reliefs = append(r.plan.reliefs, Relief{Task: h.task.ID, Host: s.host.Host, For: task.ID})
	}
}

// throttle throttles as many of the victims as needed to free a number of cores. It
// throttles none and returns false when all of them together would not free enough.
func (r *round) throttle(task *Task, victims []*held, cores int) bool {
	spare := 0
	for _, h := range victims {
		spare += max(0, h.task.Size.Cores-throttledCores)
	}
	if spare < cores {
		return false
	}
	f := r.fleet
	for _, h := range victims {
		if cores <= 0 {
			break
		}
		if h.task.Size.Cores <= throttledCores {
			continue
		}
		cores -= h.task.Size.Cores - throttledCores
		f.slowed[h.task.ID] = h.task.Size.Cores
		r.setCores(h, throttledCores, task.ID)
	}
	return true
}

// setCores changes the cores of a running task, to throttle or restore it.
func (r *round) setCores(h *held, cores int, why glade.Ticket) {
	size := h.task.Size
	size.Cores = cores
	r.fleet.Resize(h.task.ID, size)
	host := r.fleet.slots[h.slot].host.Host
	r.plan.reliefs = append(r.plan.reliefs, Relief{Task: h.task.ID, Host: host, Cores: cores, For: why})
}

// restore gives throttled tasks their cores back where the host has enough free
// cores.
func (r *round) restore() {
	f := r.fleet
	for _, id := range slices.Sorted(maps.Keys(f.slowed)) {
		h := f.running[id]
		s := f.slots[h.slot]
		extra := f.slowed[id] - h.task.Size.Cores
		if h.leaving || extra > s.host.Size.Cores-s.used.Cores {
			continue
		}
		r.setCores(h, f.slowed[id], id)
		delete(f.slowed, id)
	}
}

// takeBack reclaims lent quota for a task within its team's quota: on the first
// suitable host, it stops tasks of teams that are beyond their quotas.
func (r *round) takeBack(task *Task) {
	f := r.fleet
	byHost := make(map[int][]*held)
	for _, h := range f.running {
		if f.isLent(h, task) {
			byHost[h.slot] = append(byHost[h.slot], h)
		}
	}
	hosts := make([]int, 0, len(byHost))
	for at := range byHost {
		hosts = append(hosts, at)
	}
	sort.Ints(hosts)
	for _, at := range hosts {
		free := f.slots[at].host.Size.Minus(f.slots[at].used)
		for _, h := range byHost[at] {
			free = free.Plus(h.task.Size)
		}
		if task.Size.Fits(free) && f.accepts(task, at) {
			newestFirst(byHost[at])
			r.stop(task, at, byHost[at])
			return
		}
	}
}

// isLent reports whether a running task may be stopped for task: its team is beyond
// its quota, and its priority is not higher than that of task.
func (f *Fleet) isLent(h *held, task *Task) bool {
	own := h.task
	if h.leaving || own.Pool != task.Pool || own.Team == task.Team || own.Priority.Rank() < task.Priority.Rank() {
		return false
	}
	quota := f.quotas[own.Team]
	used := f.usage[own.Team]
	return used.Cores > quota.Cores || used.Accels > quota.Accels
}

// bulkOn returns the batch tasks of a host that are not being stopped, the newest
// first.
func (f *Fleet) bulkOn(at int) []*held {
	var list []*held
	for _, h := range f.slots[at].tasks {
		if h.task.Priority == glade.Bulk && !h.leaving {
			list = append(list, h)
		}
	}
	newestFirst(list)
	return list
}

func newestFirst(list []*held) {
	sort.Slice(list, func(i, j int) bool {
		if list[i].order != list[j].order {
			return list[i].order > list[j].order
		}
		return list[i].task.ID < list[j].task.ID
	})
}

// search returns the position of a host for a task: the host that is reserved for
// it, or a host in the zone that runs the fewest tasks of its group. A task that
// needs no accelerators gets a host with accelerators only when no other host has
// capacity. With reach, the capacity of batch tasks counts as free.
func (f *Fleet) search(task *Task, reach bool) (int, bool) {
	if host, held := f.holds[task.ID]; held && !reach {
		at := f.byHost[host]
		s := f.slots[at]
		if s.host.Open && task.Size.Fits(s.host.Size.Minus(s.used)) {
			return at, true
		}
		if !s.host.Open || len(f.leavingOn(at)) == 0 {
			delete(f.holds, task.ID)
		}
	}
	zones := f.zoneOrder(task)
	if task.Size.Accels == 0 {
		if at, ok := f.searchZones(task, zones, false, reach); ok {
			return at, true
		}
	}
	return f.searchZones(task, zones, true, reach)
}

func (f *Fleet) leavingOn(at int) []*held {
	var list []*held
	for _, h := range f.slots[at].tasks {
		if h.leaving {
			list = append(list, h)
		}
	}
	return list
}

func (f *Fleet) searchZones(task *Task, zones []glade.Zone, accels, reach bool) (int, bool) {
	for _, zone := range zones {
		key := treeKey{pool: task.Pool, zone: zone, accels: accels}
		t := f.trees[key]
		if t == nil {
			continue
		}
		start := f.cursors[key] % len(t.leaves)
		leaf, ok := t.find(start, task.Size, reach, func(at int) bool { return f.accepts(task, at) })
		if ok {
			f.cursors[key] = leaf + 1
			return t.leaves[leaf], true
		}
	}
	return 0, false
}

// zoneOrder returns the zones of the task's pool, sorted by the number of running
// tasks of its group.
func (f *Fleet) zoneOrder(task *Task) []glade.Zone {
	zones := slices.Clone(f.zones[task.Pool])
	sort.SliceStable(zones, func(i, j int) bool {
		return f.spread[spreadKey{task.Group, zones[i]}] < f.spread[spreadKey{task.Group, zones[j]}]
	})
	return zones
}

// accepts reports whether a host is open and the task does not avoid it.
func (f *Fleet) accepts(task *Task, at int) bool {
	h := f.slots[at].host
	return h.Open && !slices.Contains(task.Avoid, h.Host) && !slices.Contains(task.Racks, h.Rack)
}

// teams returns the queues of one priority rank, sorted by team. It removes tasks
// that are no longer waiting from the queues.
func (f *Fleet) teams(rank int) []head {
	var heads []head
	for key, queue := range f.queues {
		if key.rank != rank {
			continue
		}
		queue = slices.DeleteFunc(queue, func(t *Task) bool { return f.waiting[t.ID] != t })
		f.queues[key] = queue
		if len(queue) > 0 {
			heads = append(heads, head{team: key.team, queue: queue})
		}
	}
	sort.Slice(heads, func(i, j int) bool { return heads[i].team < heads[j].team })
	return heads
}

// leastServed returns the index of the team that uses the smallest share of its
// quota.
func (f *Fleet) leastServed(heads []head) int {
	best := 0
	for i := range heads {
		if f.share(heads[i].team) < f.share(heads[best].team) {
			best = i
		}
	}
	return best
}

// share returns the share of its quota that a team uses: the larger of the shares
// of cores and accelerators.
func (f *Fleet) share(team string) float64 {
	used := f.usage[team]
	quota := f.quotas[team]
	cores := float64(used.Cores) / float64(max(quota.Cores, 1))
	accels := float64(used.Accels) / float64(max(quota.Accels, 1))
	return max(cores, accels)
}

// isWithin reports whether the team is within its quota when the task runs too.
func (f *Fleet) isWithin(task *Task) bool {
	if len(f.quotas) == 0 {
		return true
	}
	quota := f.quotas[task.Team]
	used := f.usage[task.Team].Plus(task.Size)
	return used.Cores <= quota.Cores && used.Accels <= quota.Accels
}
