package sched

import (
	"sync"

	"indigoglade/memory"
)

// startupRounds lets the hosts come into service before the schedule begins.
const startupRounds = 5

// Run runs one schedule and reports the violations.
func Run(s Schedule) Report {
	w := simulate(s)
	w.auditor.report.Schedules = 1
	return w.auditor.report
}

func simulate(s Schedule) *simulation {
	w := newSimulation(s)
	w.runRounds(startupRounds, w.keepers[:1])
	for _, e := range s.Events {
		w.applyEvent(e)
		w.auditor.checkOwnership()
	}
	w.auditor.report.InterruptedRequests = w.workers.Interrupted()
	return w
}

// recoverFleet ends every fault and runs rounds until the fleet can be stable again.
func (w *simulation) recoverFleet(rounds int) {
	w.table.SetMode(memory.Up)
	w.restoreHosts()
	w.endRequests()
	w.runRounds(rounds, w.keepers)
	w.auditor.checkOwnership()
	w.auditor.report.InterruptedRequests = w.workers.Interrupted()
}

// RunMany runs the given number of schedules, workerCount at a time, and adds up their reports. The
// sum does not depend on the order in which they finish.
func RunMany(seed uint64, count int) Report {
	m := &batchRunner{count: count, seed: seed}
	var done sync.WaitGroup
	for range workerCount {
		done.Add(1)
		go m.run(&done)
	}
	done.Wait()
	return m.sum
}

// workerCount is the number of schedules that run concurrently.
const workerCount = 4

type batchRunner struct {
	mu    sync.Mutex
	next  int
	count int
	seed  uint64
	sum   Report
}

func (m *batchRunner) run(done *sync.WaitGroup) {
	defer done.Done()
	schedules := Schedules()
	for {
		i, ok := m.nextIndex()
		if !ok {
			return
		}
		report := Run(schedules.Example(int(m.seed)*seedStride + i))
		m.add(report)
	}
}

// seedStride keeps the schedules of different seeds distinct.
const seedStride = 1_000_000

func (m *batchRunner) nextIndex() (int, bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.next == m.count {
		return 0, false
	}
	m.next++
	return m.next, true
}

func (m *batchRunner) add(r Report) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.sum = m.sum.Add(r)
}
