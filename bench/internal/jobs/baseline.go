package jobs

import (
	"slices"
	"time"

	glade "indigoglade"
)

// baseline places jobs by their declared sizes on the first host that fits, or
// on a random one. A host over its memory kills its newest task after a usage
// lag, as a worker does that nobody relieves; the task starts again from its
// beginning.
type baseline struct {
	sim     *sim
	random  bool
	waiting []offer
	running map[glade.Host][]baseTask
	free    map[glade.Host]glade.Size
}

type baseTask struct {
	offer offer
	begun time.Time
}

func newBaseline(seed uint64, random bool) *baseline {
	s := newSim(seed, sizeFleet(), 1)
	b := &baseline{sim: s, random: random, running: make(map[glade.Host][]baseTask), free: make(map[glade.Host]glade.Size)}
	for _, listed := range s.hosts {
		b.free[listed.Host] = glade.Size{Cores: listed.Cores, Memory: listed.Memory}
	}
	return b
}

// run returns the number of jobs that came to their results.
func (b *baseline) run(d time.Duration) int {
	done := 0
	b.arrive(sizeBacklog)
	for end := start.Add(d); b.sim.clock.Now().Before(end); {
		b.sim.clock.Advance(stepPeriod)
		b.arrive(6)
		for _, listed := range b.sim.hosts {
			done += b.finish(listed.Host)
			b.kill(listed)
		}
		b.place()
	}
	return done
}

func (b *baseline) arrive(n int) {
	for range n {
		b.waiting = append(b.waiting, b.sim.sizedOffer(sizeFactor))
	}
}

// finish removes the tasks whose work is done.
func (b *baseline) finish(host glade.Host) int {
	var left []baseTask
	done := 0
	for _, t := range b.running[host] {
		if b.sim.clock.Now().Sub(t.begun) < t.offer.truth.Work.Duration() {
			left = append(left, t)
			continue
		}
		done++
		b.free[host] = b.free[host].Plus(t.offer.declared)
	}
	b.running[host] = left
	return done
}

// kill ends the newest tasks of a host whose reported use is over its memory.
// The use of a task is reported after a lag.
func (b *baseline) kill(listed glade.Listed) {
	tasks := b.running[listed.Host]
	reported := 0
	var used int64
	for reported < len(tasks) && b.sim.clock.Now().Sub(tasks[reported].begun) >= usageLag {
		used += tasks[reported].offer.truth.Memory
		reported++
	}
	for used > listed.Memory {
		reported--
		killed := tasks[reported]
		tasks = slices.Delete(tasks, reported, reported+1)
		used -= killed.offer.truth.Memory
		b.free[listed.Host] = b.free[listed.Host].Plus(killed.offer.declared)
		b.waiting = append(b.waiting, killed.offer)
	}
	b.running[listed.Host] = tasks
}

// place starts up to as many tasks as the writes allow.
func (b *baseline) place() {
	limit := int(writeRate * stepPeriod.Seconds() / 3)
	var left []offer
	for _, o := range b.waiting {
		host, ok := b.find(o)
		if limit == 0 || !ok {
			left = append(left, o)
			continue
		}
		limit--
		b.free[host] = b.free[host].Minus(o.declared)
		b.running[host] = append(b.running[host], baseTask{offer: o, begun: b.sim.clock.Now()})
	}
	b.waiting = left
}

func (b *baseline) find(o offer) (glade.Host, bool) {
	first := 0
	if b.random {
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
