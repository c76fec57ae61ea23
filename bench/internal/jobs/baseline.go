package jobs

import (
	"slices"
	"time"

	glade "indigoglade"
)

// baseline is a simple scheduler for comparison. It places jobs by their declared sizes on the
// first host that fits, starting with the first host or with a random one. A host that exceeds its
// memory kills its newest task as soon as the usage is reported, as a worker does whose tasks
// nobody moves away; the task starts again from its beginning.
type baseline struct {
	sim        *sim
	randomHost bool
	waiting    []jobSpec
	running    map[glade.Host][]baselineTask
	free       map[glade.Host]glade.Resources
}

type baselineTask struct {
	job       jobSpec
	startedAt time.Time
}

func newBaseline(seed uint64, randomHost bool) *baseline {
	s := newSim(seed, sizeFleet(), 1)
	b := &baseline{sim: s, randomHost: randomHost, running: make(map[glade.Host][]baselineTask), free: make(map[glade.Host]glade.Resources)}
	for _, listed := range s.hosts {
		b.free[listed.Host] = glade.Resources{Cores: listed.Cores, Memory: listed.Memory}
	}
	return b
}

// run schedules jobs for the given virtual time and returns the number of completed jobs.
func (b *baseline) run(d time.Duration) int {
	done := 0
	b.addJobs(initialBacklog)
	for end := startTime.Add(d); b.sim.clock.Now().Before(end); {
		b.sim.clock.Advance(stepPeriod)
		b.addJobs(6)
		for _, listed := range b.sim.hosts {
			done += b.removeDone(listed.Host)
			b.killOverMemory(listed)
		}
		b.placeWaiting()
	}
	return done
}

func (b *baseline) addJobs(n int) {
	for range n {
		b.waiting = append(b.waiting, b.sim.misdeclaredJob(sizeErrorFactor))
	}
}

// removeDone removes the completed tasks of a host and returns their number.
func (b *baseline) removeDone(host glade.Host) int {
	var remaining []baselineTask
	done := 0
	for _, t := range b.running[host] {
		if b.sim.clock.Now().Sub(t.startedAt) < t.job.actual.RunTime.Duration() {
			remaining = append(remaining, t)
			continue
		}
		done++
		b.free[host] = b.free[host].Plus(t.job.declared)
	}
	b.running[host] = remaining
	return done
}

// killOverMemory kills the newest tasks of a host whose reported memory usage exceeds its memory.
// The usage of a task is reported usageLag after its start.
func (b *baseline) killOverMemory(listed glade.HostListing) {
	tasks := b.running[listed.Host]
	reported := 0
	var used int64
	for reported < len(tasks) && b.sim.clock.Now().Sub(tasks[reported].startedAt) >= usageLag {
		used += tasks[reported].job.actual.Memory
		reported++
	}
	for used > listed.Memory {
		reported--
		killed := tasks[reported]
		tasks = slices.Delete(tasks, reported, reported+1)
		used -= killed.job.actual.Memory
		b.free[listed.Host] = b.free[listed.Host].Plus(killed.job.declared)
		b.waiting = append(b.waiting, killed.job)
	}
	b.running[listed.Host] = tasks
}

// placeWaiting starts as many tasks as the write rate allows, at three writes for each task.
func (b *baseline) placeWaiting() {
	limit := int(writeRate * stepPeriod.Seconds() / 3)
	var remaining []jobSpec
	for _, o := range b.waiting {
		host, ok := b.findHost(o)
		if limit == 0 || !ok {
			remaining = append(remaining, o)
			continue
		}
		limit--
		b.free[host] = b.free[host].Minus(o.declared)
		b.running[host] = append(b.running[host], baselineTask{job: o, startedAt: b.sim.clock.Now()})
	}
	b.waiting = remaining
}

func (b *baseline) findHost(o jobSpec) (glade.Host, bool) {
	first := 0
	if b.randomHost {
		first = b.sim.rand.IntN(len(b.sim.hosts))
	}
	for i := range b.sim.hosts {
		listed := b.sim.hosts[(first+i)%len(b.sim.hosts)]
		if listed.Service == serviceName(o.kind) && o.declared.Fits(b.free[listed.Host]) {
			return listed.Host, true
		}
	}
	return "", false
}
