package jobs

import (
	"strings"
	"time"

	glade "indigoglade"
	"indigoglade/jobs"
	"indigoglade/memory"
	"indigoglade/owner"
	"indigoglade/table"
)

// scheduleRun counts violations over random schedules of two keepers, with faults of the table, the
// workers and the keepers. It runs once for each seed.
type scheduleRun struct {
	seed uint64
	done bool
	// lost counts accepted jobs that have no row or never ended.
	lost int
	// doneTwice counts additional completions of jobs that completed more than once.
	doneTwice int
	// startedAfterCancel counts runs that started after the cancellation of their job was
	// acknowledged.
	startedAfterCancel int
	// staleEpoch counts placements on a host that was not serving or whose row had another epoch.
	staleEpoch int
}

// Number and length of the schedules, and size of their fleet.
const (
	schedules     = 10
	scheduleSteps = 400
	scheduleHosts = 60
)

func (r *scheduleRun) measure(seed uint64) {
	if r.done && r.seed == seed {
		return
	}
	*r = scheduleRun{seed: seed, done: true}
	for i := range uint64(schedules) {
		r.runSchedule(seed*schedules + i)
	}
}

// measureOf returns a measure that reads one count of the run.
func (r *scheduleRun) measureOf(count func() int) func(uint64) (float64, error) {
	return func(seed uint64) (float64, error) {
		r.measure(seed)
		return float64(count()), nil
	}
}

// runSchedule runs one schedule, ends all faults, gives the jobs time to end, and counts
// violations.
func (r *scheduleRun) runSchedule(seed uint64) {
	s := newSim(seed, fleetSpec{hosts: scheduleHosts, pools: 2, cores: 16, memory: 32 * gigabyte}, 2)
	a := &environment{sim: s, run: r, cancelled: make(map[glade.Ticket]bool), doneCount: make(map[glade.Ticket]int)}
	s.onStart = a.observeStart
	s.onCommit = a.observeCommit
	s.warmUp()
	s.beforeWrite = a.interleave
	for range scheduleSteps {
		a.randomAction()
		if s.rand.IntN(8) == 0 {
			s.step(s.rand.IntN(2))
			continue
		}
		s.step(0, 1)
	}
	s.beforeWrite = nil
	s.table.SetMode(memory.Up)
	for _, listed := range s.hosts {
		s.workers.SetFault(listed.Host, memory.Healthy)
		a.returnToService(listed.Host)
	}
	for range 600 {
		s.step(0, 1)
	}
	for _, ticket := range a.accepted {
		if phase := s.jobRow(ticket).Phase; phase == "" || phase.IsOpen() {
			r.lost++
		}
	}
	for _, n := range a.doneCount {
		r.doneTwice += n - 1
	}
}

// environment simulates the callers, operators and faults of a schedule, and observes what keepers
// do.
type environment struct {
	sim       *sim
	run       *scheduleRun
	accepted  []glade.Ticket
	cancelled map[glade.Ticket]bool
	doneCount map[glade.Ticket]int
}

func (a *environment) randomAction() {
	s := a.sim
	host := s.hosts[s.rand.IntN(len(s.hosts))].Host
	switch s.rand.IntN(12) {
	case 0, 1, 2:
		a.accept()
	case 3:
		if len(a.accepted) > 0 {
			a.cancel(a.accepted[s.rand.IntN(len(a.accepted))])
		}
	case 4:
		s.table.SetMode([]memory.Mode{memory.Up, memory.Up, memory.LoseAnswers, memory.Down}[s.rand.IntN(4)])
	case 5:
		s.workers.SetFault(host, []memory.Fault{memory.Healthy, memory.Healthy, memory.Failing, memory.Unreachable, memory.LoseCommandAnswers, memory.Dead}[s.rand.IntN(6)])
	case 6:
		a.drain(host)
	case 7, 8:
		a.returnToService(host)
	}
}

// interleave starts a planned stop of a host or cancels a recent job while a keeper is in the
// middle of a step.
func (a *environment) interleave() {
	s := a.sim
	switch s.rand.IntN(8) {
	case 0:
		a.drain(s.hosts[s.rand.IntN(len(s.hosts))].Host)
	case 1, 2:
		if len(a.accepted) > 0 {
			newest := max(0, len(a.accepted)-10)
			a.cancel(a.accepted[newest+s.rand.IntN(len(a.accepted)-newest)])
		}
	}
}

func (a *environment) accept() {
	s := a.sim
	priority := []glade.Priority{glade.Urgent, glade.Normal, glade.Bulk}[s.rand.IntN(3)]
	size := glade.Resources{Cores: 1 + s.rand.IntN(8), Memory: gigabyte}
	actual := memory.TaskBehavior{RunTime: glade.Span(time.Duration(1+s.rand.IntN(20)) * time.Second), Memory: gigabyte}
	tickets, result := s.acceptWithResult(jobSpec{kind: s.rand.IntN(2), priority: priority, declared: size, actual: actual})
	if result == glade.Committed {
		a.accepted = append(a.accepted, tickets...)
	}
}

func (a *environment) cancel(ticket glade.Ticket) {
	row, result := jobs.Cancel(ctx, a.sim.table, ticket, a.sim.clock.Now())
	if result == glade.Committed && row.Phase == glade.JobCancelled {
		a.cancelled[ticket] = true
	}
}

// drain starts a planned stop of a host.
func (a *environment) drain(host glade.Host) {
	a.updateHost(host, func(row *glade.HostRow) {
		row.Epoch++
		row.Phase = glade.HostDraining
	})
}

// returnToService ends a planned stop by rebooting the host.
func (a *environment) returnToService(host glade.Host) {
	a.updateHost(host, func(row *glade.HostRow) {
		row.Phase = glade.HostServing
		_ = a.sim.workers.Reboot(ctx, host, row.Epoch, row.Service)
	})
}

func (a *environment) updateHost(host glade.Host, edit func(row *glade.HostRow)) {
	record, err := owner.LoadHost(ctx, a.sim.table, host)
	if err != nil {
		return
	}
	row := record.Data()
	edit(&row)
	batch := table.NewBatch()
	table.Replace(batch, record, row)
	_, _ = batch.Commit(ctx, a.sim.table)
}

func (a *environment) observeStart(ticket glade.Ticket) {
	if a.cancelled[ticket] {
		a.run.startedAfterCancel++
	}
}

// observeCommit checks every transaction of a keeper that took effect.
func (a *environment) observeCommit(txn glade.Txn) {
	for _, write := range txn.Writes {
		if !strings.HasPrefix(write.Key, glade.PrefixJob) {
			continue
		}
		record, _ := table.Decode[glade.JobRow](glade.Row{Key: write.Key, Version: 1, Value: write.Value})
		row := record.Data()
		switch {
		case row.Phase == glade.JobDone:
			a.doneCount[row.Ticket]++
		case row.Phase == glade.JobPlaced && !row.Cancel:
			value := a.sim.hostRow(owner.HostKey(row.Host))
			if value.Epoch != row.Epoch || value.Phase != glade.HostServing {
				a.run.staleEpoch++
			}
		}
	}
}
