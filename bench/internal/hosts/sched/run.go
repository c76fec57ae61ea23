package sched

import (
	"sync"

	"indigoglade/memory"
)

// settleRounds lets the hosts come into service before the failures begin.
const settleRounds = 5

// Run runs one schedule and reports what must not have happened.
func Run(s Schedule) Report {
	w := play(s)
	w.audit.report.Schedules = 1
	return w.audit.report
}

func play(s Schedule) *world {
	w := newWorld(s)
	w.settle(settleRounds, w.keepers[:1])
	for _, e := range s.Events {
		w.happen(e)
		w.audit.look()
	}
	w.audit.report.Cut = w.workers.Cuts()
	return w
}

// recover ends every fault and lets the fleet come to rest.
func (w *world) recover(rounds int) {
	w.table.SetMode(memory.Up)
	w.heal()
	w.idle()
	w.settle(rounds, w.keepers)
	w.audit.look()
	w.audit.report.Cut = w.workers.Cuts()
}

// Many runs count schedules of a seed, some at a time, and adds up their reports. The sum does not depend on the order.
func Many(seed uint64, count int) Report {
	m := &many{count: count, seed: seed}
	var done sync.WaitGroup
	for range runners {
		done.Add(1)
		go m.run(&done)
	}
	done.Wait()
	return m.sum
}

// runners is the number of schedules that run at a time.
const runners = 4

type many struct {
	mu    sync.Mutex
	next  int
	count int
	seed  uint64
	sum   Report
}

func (m *many) run(done *sync.WaitGroup) {
	defer done.Done()
	schedules := Schedules()
	for {
		i, ok := m.take()
		if !ok {
			return
		}
		report := Run(schedules.Example(int(m.seed)*seedStep + i))
		m.add(report)
	}
}

// seedStep keeps the schedules of different seeds apart.
const seedStep = 1_000_000

func (m *many) take() (int, bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.next == m.count {
		return 0, false
	}
	m.next++
	return m.next, true
}

func (m *many) add(r Report) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.sum = m.sum.Add(r)
}
