package jobs_test

import (
	"context"
	"fmt"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	glade "indigoglade"
	"indigoglade/adopt"
	"indigoglade/clock"
	"indigoglade/jobs"
	"indigoglade/memory"
	"indigoglade/owner"
	"indigoglade/seeds"
	"indigoglade/table"
)

var ctx = context.Background()

const gigabyte = 1 << 30

// rig runs the controllers of two keepers on in-memory fakes of the platform, and
// records violations of what must hold for every placement and task start.
type rig struct {
	clock       *clock.Fake
	table       *memory.Table
	objects     *memory.ObjectStore
	workers     *memory.Workers
	controllers []*jobs.Controller
	tickets     []glade.Ticket
	// cancelled holds jobs whose cancellation was acknowledged.
	cancelled map[glade.Ticket]bool
	// violations describes the violations seen so far.
	violations []string
	// active is the index of the controller that is in a step.
	active int
	// interference runs before each transaction and each start command of a
	// controller, and so between its reads and what it writes or commands. It
	// may be nil.
	interference func()
}

// racedTable runs interfering actions right before each transaction of a
// controller, and checks every committed placement.
type racedTable struct {
	*memory.Table
	rig *rig
}

func (t racedTable) Commit(ctx context.Context, txn glade.Txn) glade.CommitResult {
	t.rig.runInterference()
	result := t.Table.Commit(ctx, txn)
	t.rig.checkPlacements(txn, result)
	return result
}

// racedWorkers runs interfering actions right before each start command.
type racedWorkers struct {
	*memory.Workers
	rig *rig
}

func (w racedWorkers) Start(ctx context.Context, host glade.Host, epoch uint64, task glade.Task) error {
	w.rig.runInterference()
	return w.Workers.Start(ctx, host, epoch, task)
}

// runInterference calls interference, which is disabled meanwhile so that it
// can't nest.
func (r *rig) runInterference() {
	if interference := r.interference; interference != nil {
		r.interference = nil
		interference()
		r.interference = interference
	}
}

// checkPlacements checks that each job that a transaction has placed is on a
// serving host, with the host's current epoch, and that the cores of the host
// suffice for all jobs on it.
func (r *rig) checkPlacements(txn glade.Txn, result glade.CommitResult) {
	if result != glade.Committed {
		return
	}
	for _, write := range txn.Writes {
		record, _ := table.Load[glade.JobRow](ctx, r.table, write.Key)
		row := record.Data()
		if !strings.HasPrefix(write.Key, glade.PrefixJob) || row.Phase != glade.JobPlaced || row.Cancel {
			continue
		}
		host, _ := owner.LoadHost(ctx, r.table, row.Host)
		if host.Data().Epoch != row.Epoch || host.Data().Phase != glade.HostServing {
			r.violations = append(r.violations, "placed with a stale epoch or on a host that is not serving: "+write.Key)
		}
		if used := r.coresOn(row.Host); used > 8 {
			r.violations = append(r.violations, fmt.Sprintf("%d cores placed on host %s", used, row.Host))
		}
	}
}

func (r *rig) coresOn(host glade.Host) int {
	cores := 0
	all, _ := table.LoadAll[glade.JobRow](ctx, r.table, glade.PrefixJob)
	for _, record := range all {
		if row := record.Data(); row.Host == host && (row.Phase == glade.JobPlaced || row.Phase == glade.JobRunning) {
			cores += row.Size.Cores
		}
	}
	return cores
}

func listedHosts(n int) []glade.HostListing {
	var hosts []glade.HostListing
	for i := range n {
		hosts = append(hosts, glade.HostListing{
			Host: glade.Host(fmt.Sprintf("h%02d", i)), Zone: glade.Zone(fmt.Sprintf("z%d", i%3)), Rack: glade.Rack(fmt.Sprintf("r%d", i/2)),
			Service: "study", Cores: 8, Memory: 32 * gigabyte,
		})
	}
	return hosts
}

func newRig(hosts int, repeatable bool) *rig {
	r := &rig{
		clock: clock.NewFake(start), table: memory.NewTable(), objects: memory.NewObjectStore(),
		cancelled: make(map[glade.Ticket]bool),
	}
	list := listedHosts(hosts)
	r.workers = memory.NewWorkers(memory.WorkersConfig{
		Clock: r.clock, Hosts: list, OnRun: r.onRun,
		Tasks: memory.TasksConfig{RunTime: 5 * time.Second, Usage: time.Second, Lease: 10 * time.Second},
	})
	for _, listed := range list {
		batch := table.NewBatch()
		table.Replace(batch, table.Absent[glade.HostRow](owner.HostKey(listed.Host)), glade.HostRow{
			Host: listed.Host, Zone: listed.Zone, Rack: listed.Rack, Customer: "c", Pool: "p", Service: "study", Epoch: 1, Phase: glade.HostServing,
		})
		_, _ = batch.Commit(ctx, r.table)
	}
	registry := adopt.New()
	spec := glade.ContractSpec{Customer: "c", Pools: []glade.PoolSpec{{Name: "p", Serve: "study", Repeatable: repeatable}}}
	registry.ActivateIfNewer(glade.NewContract(spec, 1))
	for _, node := range []glade.Node{"k1", "k2"} {
		r.controllers = append(r.controllers, jobs.New(jobs.Config{
			Table: racedTable{r.table, r}, Objects: r.objects, Workers: racedWorkers{r.workers, r}, Hosts: r.workers, Registry: registry,
			Roster: glade.NewStaticRoster(node, []glade.Node{"k1", "k2"}), WriteRate: 400, WaveWriteRate: 400, MaxCalls: 1,
		}))
	}
	return r
}

// onRun checks that no job starts after its cancellation was acknowledged.
func (r *rig) onRun(_ glade.Host, _ uint64, task glade.Task) {
	if r.cancelled[glade.Ticket(task.Job)] {
		r.violations = append(r.violations, "started after an acknowledged cancel: "+task.ID)
	}
}

func (r *rig) accept(priority glade.Priority, payload string) glade.Ticket {
	ticket := jobs.TicketFor("c", "study", fmt.Sprint(len(r.tickets)))
	row := glade.JobRow{
		Ticket: ticket, Customer: "c", Kind: "study", Priority: priority, Repeatable: true,
		Size: glade.Resources{Cores: 2, Memory: gigabyte}, Payload: []byte(payload),
	}
	result := jobs.Accept(ctx, r.table, []glade.JobRow{row}, r.clock.Now())[ticket]
	if result == glade.Committed {
		r.tickets = append(r.tickets, ticket)
	}
	return ticket
}

func (r *rig) cancel(ticket glade.Ticket) {
	row, result := jobs.Cancel(ctx, r.table, ticket, r.clock.Now())
	if result == glade.Committed && row.Phase == glade.JobCancelled {
		r.cancelled[ticket] = true
	}
}

func (r *rig) step(controllers ...int) {
	r.clock.Advance(250 * time.Millisecond)
	for _, i := range controllers {
		r.active = i
		_ = r.controllers[i].Step(ctx, r.clock.Now())
	}
}

// run steps both controllers until d has passed.
func (r *rig) run(d time.Duration) {
	for end := r.clock.Now().Add(d); r.clock.Now().Before(end); {
		r.step(0, 1)
	}
}

func (r *rig) phase(ticket glade.Ticket) glade.JobPhase {
	record, _ := jobs.Find(ctx, r.table, ticket)
	return record.Data().Phase
}

// drain sets a host's row to draining with a new epoch, as the start of planned
// maintenance does.
func (r *rig) drain(host glade.Host) {
	record, err := owner.LoadHost(ctx, r.table, host)
	if err != nil {
		return
	}
	row := record.Data()
	row.Epoch++
	row.Phase = glade.HostDraining
	batch := table.NewBatch()
	table.Replace(batch, record, row)
	_, _ = batch.Commit(ctx, r.table)
}

// returnToService sets a host's row to serving and reboots the worker.
func (r *rig) returnToService(host glade.Host) {
	record, err := owner.LoadHost(ctx, r.table, host)
	if err != nil {
		return
	}
	row := record.Data()
	row.Phase = glade.HostServing
	batch := table.NewBatch()
	table.Replace(batch, record, row)
	_, _ = batch.Commit(ctx, r.table)
	_ = r.workers.Reboot(ctx, host, row.Epoch, "study")
}

// problems returns the recorded violations, and the jobs that were lost, are still
// open, or were not cancelled although their cancellation was acknowledged.
func (r *rig) problems() []string {
	problems := r.violations
	for _, ticket := range r.tickets {
		switch phase := r.phase(ticket); {
		case phase == "":
			problems = append(problems, "lost: "+string(ticket))
		case r.cancelled[ticket] && phase != glade.JobCancelled:
			problems = append(problems, "cancelled and then "+string(phase)+": "+string(ticket))
		case phase.IsOpen():
			problems = append(problems, "still "+string(phase)+": "+string(ticket))
		}
	}
	return problems
}

// TestStaleLeaderCannotWrite guards against writes by a keeper that was paused
// while another keeper took over its shard.
func TestStaleLeaderCannotWrite(t *testing.T) {
	r := newRig(2, true)
	ticket := r.accept(glade.Normal, "")
	batch := table.NewBatch()
	lead := table.Absent[glade.LeaderRow]("lead/99")
	table.Replace(batch, lead, glade.LeaderRow{Node: "other", Term: 2})
	_, _ = batch.Commit(ctx, r.table)
	changes := []jobs.Change{{Ticket: ticket, Event: placeAt("h00", "r0")}}
	changed := jobs.WriteChanges(ctx, r.table, lead, changes, r.clock.Now())
	qt.Assert(t, changed, qt.HasLen, 1)
	qt.Check(t, changed[0].Result, qt.Equals, glade.Conflicted)
	qt.Check(t, r.phase(ticket), qt.Equals, glade.JobAccepted)
}

func TestJobRunsToResult(t *testing.T) {
	r := newRig(4, true)
	ticket := r.accept(glade.Normal, "")
	r.run(30 * time.Second)
	record, _ := jobs.Find(ctx, r.table, ticket)
	qt.Assert(t, record.Data().Phase, qt.Equals, glade.JobDone)
	result, found, _ := r.objects.Get(ctx, record.Data().Result)
	qt.Check(t, found, qt.IsTrue)
	qt.Check(t, string(result), qt.Equals, "result of "+string(ticket))
}

func TestDrainMovesJobToAnotherHost(t *testing.T) {
	r := newRig(2, true)
	ticket := r.accept(glade.Normal, `{"work":"40s"}`)
	r.run(25 * time.Second)
	record, _ := jobs.Find(ctx, r.table, ticket)
	qt.Assert(t, record.Data().Phase, qt.Equals, glade.JobRunning)
	r.drain(record.Data().Host)
	r.run(30 * time.Second)
	moved, _ := jobs.Find(ctx, r.table, ticket)
	qt.Check(t, moved.Data().Host, qt.Not(qt.Equals), record.Data().Host)
	qt.Check(t, moved.Data().Phase, qt.Equals, glade.JobDone)
}

func TestCancelAllCancelsEveryJob(t *testing.T) {
	r := newRig(2, true)
	var items []glade.InboxItem
	for range 20 {
		items = append(items, glade.InboxItem{Ticket: r.accept(glade.Bulk, `{"work":"1h"}`), Priority: glade.Bulk})
	}
	r.run(15 * time.Second)
	for range 2 {
		_, result := jobs.CancelAll(ctx, r.table, "c", items, r.clock.Now())
		qt.Assert(t, result, qt.Equals, glade.Committed)
	}
	r.run(10 * time.Second)
	for _, item := range items {
		qt.Check(t, r.phase(item.Ticket), qt.Equals, glade.JobCancelled)
	}
	left, _ := table.LoadAll[glade.InboxRow](ctx, r.table, glade.PrefixInbox)
	qt.Check(t, left, qt.HasLen, 0)
}

// TestRunningJobSurvivesTableOutage guards against tasks that are restarted
// because their leases expire during an outage of the table service: polls must
// renew the leases even then.
func TestRunningJobSurvivesTableOutage(t *testing.T) {
	r := newRig(2, true)
	ticket := r.accept(glade.Normal, `{"work":"40s"}`)
	r.run(15 * time.Second)
	r.table.SetMode(memory.Down)
	r.run(60 * time.Second)
	r.table.SetMode(memory.Up)
	r.run(15 * time.Second)
	record, _ := jobs.Find(ctx, r.table, ticket)
	qt.Check(t, record.Data().Phase, qt.Equals, glade.JobDone)
	qt.Check(t, record.Data().Fence, qt.Equals, uint64(1))
}

// TestRandomInterleavings guards against violations that depend on the order of
// events. It runs random actions and interrupts controllers between their reads
// and their writes.
func TestRandomInterleavings(t *testing.T) {
	seeds.Check(t, 6, func(t *rapid.T) {
		r := newRig(4, true)
		r.run(10 * time.Second)
		r.interference = func() { r.randomInterruption(t) }
		for range 60 {
			r.randomAction(t)
		}
		r.interference = nil
		r.table.SetMode(memory.Up)
		for i := range 4 {
			host := glade.Host(fmt.Sprintf("h%02d", i))
			r.workers.SetFault(host, memory.Healthy)
			r.returnToService(host)
		}
		r.run(2 * time.Minute)
		if problems := r.problems(); len(problems) > 0 {
			t.Fatal(problems)
		}
	})
}

// randomInterruption drains a host, cancels a job, lets the other controller
// take over, or, mostly, does nothing. It runs while a controller is in the
// middle of a step.
func (r *rig) randomInterruption(t *rapid.T) {
	host := glade.Host(fmt.Sprintf("h%02d", rapid.IntRange(0, 3).Draw(t, "host")))
	switch rapid.IntRange(0, 24).Draw(t, "interruption") {
	case 0:
		r.drain(host)
	case 1:
		if len(r.tickets) > 0 {
			r.cancel(rapid.SampledFrom(r.tickets).Draw(t, "ticket"))
		}
	case 2:
		// The controller is paused until the other one has taken over.
		paused := r.active
		for range 45 {
			r.step(1 - paused)
		}
		r.active = paused
	}
}

// randomAction takes one random action.
func (r *rig) randomAction(t *rapid.T) {
	host := glade.Host(fmt.Sprintf("h%02d", rapid.IntRange(0, 3).Draw(t, "host")))
	switch rapid.IntRange(0, 9).Draw(t, "action") {
	case 0, 1:
		priority := rapid.SampledFrom([]glade.Priority{glade.Urgent, glade.Normal, glade.Bulk}).Draw(t, "priority")
		for range 3 {
			r.accept(priority, "")
		}
	case 2:
		if len(r.tickets) > 0 {
			r.cancel(rapid.SampledFrom(r.tickets).Draw(t, "ticket"))
		}
	case 3:
		r.table.SetMode(rapid.SampledFrom([]memory.Mode{memory.Up, memory.Up, memory.LoseAnswers, memory.Down}).Draw(t, "mode"))
	case 4:
		r.workers.SetFault(host, rapid.SampledFrom([]memory.Fault{memory.Healthy, memory.Healthy, memory.Failing, memory.Unreachable, memory.LoseCommandAnswers, memory.Dead}).Draw(t, "fault"))
	case 5:
		r.drain(host)
	case 6:
		r.returnToService(host)
	case 7:
		// One controller is paused, possibly until it has lost its shards, while
		// the other one continues.
		awake := rapid.IntRange(0, 1).Draw(t, "awake")
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			r.step(awake)
		}
	default:
		r.run(time.Duration(rapid.IntRange(1, 8).Draw(t, "quarters")) * 250 * time.Millisecond)
	}
}
