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

// Adjustment throttles or stops a running task to free capacity for another
// task, or restores the cores of a throttled task.
type Adjustment struct {
	Task glade.Ticket
	Host glade.Host
	// Cores is the new number of cores of a task that is throttled or restored. It
	// is 0 for a task that is stopped with a checkpoint.
	Cores int
	// ForTask is the task that gets the capacity; for a restored task, the task itself.
	ForTask glade.Ticket
}

// Plan holds the decisions of one round.
type Plan struct {
	placements  []Placement
	adjustments []Adjustment
}

// Placements returns the tasks to start, with their hosts.
func (p Plan) Placements() []Placement { return p.placements }

// Adjustments returns the running tasks to throttle, restore or stop.
func (p Plan) Adjustments() []Adjustment { return p.adjustments }

// throttledCores is the number of cores of a throttled task.
const throttledCores = 1

// Limits holds the limits on the number of tasks that one round places.
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
	r := round{fleet: f, failedSizes: make(map[glade.Pool][]glade.Resources), starved: make(map[glade.Pool]bool)}
	for rank := range numRanks {
		r.limit = limits.Others
		if rank == glade.Urgent.Rank() {
			r.limit = limits.Urgent
		}
		r.placePass(rank, false)
		r.placePass(rank, true)
	}
	if len(r.plan.adjustments) == 0 {
		r.restoreCores()
	}
	return r.plan
}

// numRanks is the number of priorities.
const numRanks = 3

// round is the state of one call of Fleet.Round.
type round struct {
	fleet *Fleet
	// limit is the number of placements at which a pass ends, and also the number
	// of adjustments at which no more capacity is freed.
	limit int
	plan  Plan
	// failedSizes holds the sizes for which no host of a pool had capacity in
	// this round.
	failedSizes map[glade.Pool][]glade.Resources
	// starved marks pools in which a task within its quota found no host.
	starved map[glade.Pool]bool
}

// placePass places waiting tasks of one priority: those within their teams'
// quotas or, if borrow is set, those beyond.
func (r *round) placePass(rank int, borrow bool) {
	queues := r.fleet.teamQueues(rank)
	for len(queues) > 0 && len(r.plan.placements) < r.limit {
		i := r.fleet.leastServed(queues)
		if !r.placeNext(&queues[i], borrow) {
			queues = slices.Delete(queues, i, i+1)
		}
	}
}

// teamQueue holds the tasks of one team that were not considered in this pass yet.
type teamQueue struct {
	team  string
	queue []*Task
}

// placeNext considers the waiting tasks of a team until one is placed. It
// returns false when the queue is empty.
func (r *round) placeNext(q *teamQueue, borrow bool) bool {
	f := r.fleet
	for len(q.queue) > 0 {
		task := q.queue[0]
		q.queue = q.queue[1:]
		if f.waiting[task.ID] != task || f.isWithinQuota(task) == borrow {
			continue
		}
		if borrow && r.starved[task.Pool] {
			continue
		}
		if r.tryPlace(task, borrow) {
			return true
		}
	}
	return false
}

// tryPlace places a task on a host, if necessary after freeing capacity. It returns
// false when the task has to wait.
func (r *round) tryPlace(task *Task, borrow bool) bool {
	f := r.fleet
	if r.sizeFailed(task) {
		return r.makeRoom(task, borrow)
	}
	pos, ok := f.findHost(task, false)
	if ok {
		r.assign(task, pos)
		return true
	}
	if len(task.AvoidHosts) == 0 && len(task.AvoidRacks) == 0 {
		r.failedSizes[task.Pool] = append(r.failedSizes[task.Pool], task.Size)
	}
	return r.makeRoom(task, borrow)
}

// assign places a task on the host at a position.
func (r *round) assign(task *Task, pos int) {
	placed := *task
	host := r.fleet.slots[pos].host.Host
	r.fleet.SetRunning(placed, host)
	r.plan.placements = append(r.plan.placements, Placement{Task: placed, Host: host})
}

// sizeFailed reports whether this round has already found no host for a task that is
// no larger in any resource. A task with a reserved host is always searched for.
func (r *round) sizeFailed(task *Task) bool {
	if f := r.fleet; f.reserved[task.ID] != "" {
		return false
	}
	for _, size := range r.failedSizes[task.Pool] {
		if size.Fits(task.Size) {
			return true
		}
	}
	return false
}

// makeRoom tries to free capacity for a task that found no host. It returns
// true when the task was placed at once.
func (r *round) makeRoom(task *Task, borrow bool) bool {
	f := r.fleet
	if !borrow && len(f.quotas) > 0 {
		r.starved[task.Pool] = true
	}
	if _, reserved := f.reserved[task.ID]; reserved || len(r.plan.adjustments) >= r.limit {
		return false
	}
	if task.Priority == glade.Urgent {
		if pos, ok := f.findHost(task, true); ok {
			return r.preemptBatch(task, pos, f.batchTasksOn(pos))
		}
	}
	if !borrow && len(f.quotas) > 0 {
		r.reclaimQuota(task)
	}
	return false
}

// preemptBatch throttles the victims when only cores are missing and that frees
// enough; the task is then placed at once. Otherwise it stops victims with a
// checkpoint.
func (r *round) preemptBatch(task *Task, pos int, victims []*placedTask) bool {
	f := r.fleet
	s := f.slots[pos]
	missing := task.Size.Minus(s.host.Size.Minus(s.used))
	if missing.Memory <= 0 && missing.Accels <= 0 && r.throttle(task, victims, missing.Cores) {
		r.assign(task, pos)
		return true
	}
	r.stopTasks(task, pos, victims)
	return false
}

// stopTasks stops as many of the victims, with a checkpoint, as the task needs, and
// reserves the host for the task.
func (r *round) stopTasks(task *Task, pos int, victims []*placedTask) {
	f := r.fleet
	s := f.slots[pos]
	missing := task.Size.Minus(s.host.Size.Minus(s.used))
	f.reserved[task.ID] = s.host.Host
	for _, p := range victims {
		if missing.Cores <= 0 && missing.Memory <= 0 && missing.Accels <= 0 {
			break
		}
		missing = missing.Minus(p.task.Size)
		f.markStopping(p)
		r.plan.adjustments = append(r.plan.adjustments, Adjustment{Task: p.task.ID, Host: s.host.Host, ForTask: task.ID})
	}
}

// throttle throttles as many of the victims as needed to free a number of cores. It
// throttles none and returns false when all of them together would not free enough.
func (r *round) throttle(task *Task, victims []*placedTask, cores int) bool {
	freeable := 0
	for _, p := range victims {
		freeable += max(0, p.task.Size.Cores-throttledCores)
	}
	if freeable < cores {
		return false
	}
	f := r.fleet
	for _, p := range victims {
		if cores <= 0 {
			break
		}
		if p.task.Size.Cores <= throttledCores {
			continue
		}
		cores -= p.task.Size.Cores - throttledCores
		f.throttled[p.task.ID] = p.task.Size.Cores
		r.setCores(p, throttledCores, task.ID)
	}
	return true
}

// setCores changes the cores of a running task, to throttle or restore it.
func (r *round) setCores(p *placedTask, cores int, forTask glade.Ticket) {
	size := p.task.Size
	size.Cores = cores
	r.fleet.Resize(p.task.ID, size)
	host := r.fleet.slots[p.slot].host.Host
	r.plan.adjustments = append(r.plan.adjustments, Adjustment{Task: p.task.ID, Host: host, Cores: cores, ForTask: forTask})
}

// restoreCores gives throttled tasks their cores back where the host has enough
// free cores.
func (r *round) restoreCores() {
	f := r.fleet
	for _, id := range slices.Sorted(maps.Keys(f.throttled)) {
		p := f.running[id]
		s := f.slots[p.slot]
		extra := f.throttled[id] - p.task.Size.Cores
		if p.stopping || extra > s.host.Size.Cores-s.used.Cores {
			continue
		}
		r.setCores(p, f.throttled[id], id)
		delete(f.throttled, id)
	}
}

// reclaimQuota reclaims lent quota for a task within its team's quota: on the first
// suitable host, it stops tasks of teams that are beyond their quotas.
func (r *round) reclaimQuota(task *Task) {
	f := r.fleet
	byHost := make(map[int][]*placedTask)
	for _, p := range f.running {
		if f.isReclaimable(p, task) {
			byHost[p.slot] = append(byHost[p.slot], p)
		}
	}
	hosts := make([]int, 0, len(byHost))
	for pos := range byHost {
		hosts = append(hosts, pos)
	}
	sort.Ints(hosts)
	for _, pos := range hosts {
		free := f.slots[pos].host.Size.Minus(f.slots[pos].used)
		for _, p := range byHost[pos] {
			free = free.Plus(p.task.Size)
		}
		if task.Size.Fits(free) && f.accepts(task, pos) {
			sortNewestFirst(byHost[pos])
			r.stopTasks(task, pos, byHost[pos])
			return
		}
	}
}

// isReclaimable reports whether a running task may be stopped for task: it runs in
// the same pool for another team, that team is beyond its quota, and its priority
// is not higher than that of task.
func (f *Fleet) isReclaimable(p *placedTask, task *Task) bool {
	other := p.task
	if p.stopping || other.Pool != task.Pool || other.Team == task.Team || other.Priority.Rank() < task.Priority.Rank() {
		return false
	}
	quota := f.quotas[other.Team]
	used := f.teamUsage[other.Team]
	return used.Cores > quota.Cores || used.Accels > quota.Accels
}

// batchTasksOn returns the batch tasks of a host that are not being stopped,
// the newest first.
func (f *Fleet) batchTasksOn(pos int) []*placedTask {
	var list []*placedTask
	for _, p := range f.slots[pos].tasks {
		if p.task.Priority == glade.Bulk && !p.stopping {
			list = append(list, p)
		}
	}
	sortNewestFirst(list)
	return list
}

func sortNewestFirst(list []*placedTask) {
	sort.Slice(list, func(i, j int) bool {
		if list[i].seq != list[j].seq {
			return list[i].seq > list[j].seq
		}
		return list[i].task.ID < list[j].task.ID
	})
}

// findHost returns the position of a host for a task: the host that is reserved for
// it, or a host in the zone that runs the fewest tasks of its group. A task that
// needs no accelerators gets a host with accelerators only when no other host has
// capacity. If withPreemption is set, the capacity of batch tasks counts as free.
func (f *Fleet) findHost(task *Task, withPreemption bool) (int, bool) {
	if host, reserved := f.reserved[task.ID]; reserved && !withPreemption {
		pos := f.positions[host]
		s := f.slots[pos]
		if s.host.Open && task.Size.Fits(s.host.Size.Minus(s.used)) {
			return pos, true
		}
		if !s.host.Open || len(f.stoppingOn(pos)) == 0 {
			delete(f.reserved, task.ID)
		}
	}
	zones := f.zoneOrder(task)
	if task.Size.Accels == 0 {
		if pos, ok := f.findInZones(task, zones, false, withPreemption); ok {
			return pos, true
		}
	}
	return f.findInZones(task, zones, true, withPreemption)
}

func (f *Fleet) stoppingOn(pos int) []*placedTask {
	var list []*placedTask
	for _, p := range f.slots[pos].tasks {
		if p.stopping {
			list = append(list, p)
		}
	}
	return list
}

func (f *Fleet) findInZones(task *Task, zones []glade.Zone, accels, withPreemption bool) (int, bool) {
	for _, zone := range zones {
		key := treeKey{pool: task.Pool, zone: zone, accels: accels}
		t := f.trees[key]
		if t == nil {
			continue
		}
		start := f.cursors[key] % len(t.leaves)
		leaf, ok := t.find(start, task.Size, withPreemption, func(pos int) bool { return f.accepts(task, pos) })
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
		return f.groupCounts[groupZone{task.Group, zones[i]}] < f.groupCounts[groupZone{task.Group, zones[j]}]
	})
	return zones
}

// accepts reports whether a host is open and the task does not avoid it.
func (f *Fleet) accepts(task *Task, pos int) bool {
	h := f.slots[pos].host
	return h.Open && !slices.Contains(task.AvoidHosts, h.Host) && !slices.Contains(task.AvoidRacks, h.Rack)
}

// teamQueues returns the queues of one priority rank, sorted by team. It
// removes tasks that are no longer waiting from the queues.
func (f *Fleet) teamQueues(rank int) []teamQueue {
	var queues []teamQueue
	for key, queue := range f.queues {
		if key.rank != rank {
			continue
		}
		queue = slices.DeleteFunc(queue, func(t *Task) bool { return f.waiting[t.ID] != t })
		f.queues[key] = queue
		if len(queue) > 0 {
			queues = append(queues, teamQueue{team: key.team, queue: queue})
		}
	}
	sort.Slice(queues, func(i, j int) bool { return queues[i].team < queues[j].team })
	return queues
}

// leastServed returns the index of the team that uses the smallest share of its
// quota.
func (f *Fleet) leastServed(queues []teamQueue) int {
	best := 0
	for i := range queues {
		if f.quotaShare(queues[i].team) < f.quotaShare(queues[best].team) {
			best = i
		}
	}
	return best
}

// quotaShare returns the share of its quota that a team uses: the larger of the
// shares of cores and accelerators.
func (f *Fleet) quotaShare(team string) float64 {
	used := f.teamUsage[team]
	quota := f.quotas[team]
	cores := float64(used.Cores) / float64(max(quota.Cores, 1))
	accels := float64(used.Accels) / float64(max(quota.Accels, 1))
	return max(cores, accels)
}

// isWithinQuota reports whether the team is within its quota when the task runs
// too.
func (f *Fleet) isWithinQuota(task *Task) bool {
	if len(f.quotas) == 0 {
		return true
	}
	quota := f.quotas[task.Team]
	used := f.teamUsage[task.Team].Plus(task.Size)
	return used.Cores <= quota.Cores && used.Accels <= quota.Accels
}
