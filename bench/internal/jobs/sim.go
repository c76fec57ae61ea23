package jobs

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"strings"
	"time"

	glade "indigoglade"
	"indigoglade/adopt"
	"indigoglade/clock"
	"indigoglade/jobs"
	"indigoglade/memory"
	"indigoglade/owner"
	"indigoglade/table"
)

var ctx = context.Background()

// Timing, write rates (rows per second) and the customer of the simulated platform.
const (
	gigabyte      = 1 << 30
	stepPeriod    = 500 * time.Millisecond
	usageLag      = 5 * time.Second
	leaseTime     = 10 * time.Second
	writeRate     = 100
	waveWriteRate = 180
	customer      = glade.Customer("c")
)

var startTime = time.Unix(1_000_000, 0)

// sim runs job controllers against in-memory implementations of the platform, in virtual time.
type sim struct {
	rand        *rand.Rand
	clock       *clock.Fake
	table       *memory.Table
	objects     *memory.ObjectStore
	workers     *memory.Workers
	controllers []*jobs.Controller
	hosts       []glade.HostListing
	// started is when each job first ran.
	started map[glade.Ticket]time.Time
	onStart func(ticket glade.Ticket)
	// beforeWrite is called after a keeper has read and before it commits a write or starts a task.
	beforeWrite func()
	// onCommit is called after each transaction of a keeper that took effect.
	onCommit func(txn glade.Txn)
	// phases is the last phase that keepers wrote for each job; counts is the number of jobs in
	// each phase.
	phases   map[glade.Ticket]glade.JobPhase
	counts   map[glade.JobPhase]int
	jobCount int
}

// fleetSpec describes the hosts of a sim.
type fleetSpec struct {
	hosts  int
	pools  int
	cores  int
	memory int64
	// accels is the number of accelerators of each of the first accelHosts hosts.
	accels     int
	accelHosts int
}

func poolName(i int) glade.Pool       { return glade.Pool(fmt.Sprintf("p%03d", i)) }
func serviceName(i int) glade.Service { return glade.Service(fmt.Sprintf("s%03d", i)) }

func newSim(seed uint64, spec fleetSpec, keepers int) *sim {
	s := &sim{
		rand: rand.New(rand.NewPCG(seed, 7)), clock: clock.NewFake(startTime), table: memory.NewTable(), objects: memory.NewObjectStore(),
		started: make(map[glade.Ticket]time.Time), phases: make(map[glade.Ticket]glade.JobPhase), counts: make(map[glade.JobPhase]int),
	}
	contract := glade.ContractSpec{Customer: customer}
	for i := range spec.pools {
		contract.Pools = append(contract.Pools, glade.PoolSpec{Name: poolName(i), Serve: serviceName(i), Repeatable: true})
	}
	for i := range spec.hosts {
		s.addHost(i, spec)
	}
	s.workers = memory.NewWorkers(memory.WorkersConfig{
		Clock: s.clock, Hosts: s.hosts, OnRun: s.observeStart, Tasks: memory.TasksConfig{RunTime: time.Minute, Usage: usageLag, Lease: leaseTime},
	})
	registry := adopt.New()
	registry.ActivateIfNewer(glade.NewContract(contract, 1))
	var nodes []glade.Node
	for i := range keepers {
		nodes = append(nodes, glade.Node(fmt.Sprintf("k%d", i)))
	}
	for _, node := range nodes {
		s.controllers = append(s.controllers, jobs.New(jobs.Config{
			Table: observedTable{s.table, s}, Objects: s.objects, Workers: observedWorkers{s.workers, s}, Hosts: s.workers, Registry: registry,
			Roster: glade.NewStaticRoster(node, nodes), WriteRate: writeRate, WaveWriteRate: waveWriteRate, MaxCalls: 1,
		}))
	}
	return s
}

// addHost adds a host with its ownership row. A rack has four hosts; racks are assigned to ten
// availability zones in turn.
func (s *sim) addHost(i int, spec fleetSpec) {
	rack := i / 4
	pool := i % spec.pools
	listed := glade.HostListing{
		Host: glade.Host(fmt.Sprintf("h%05d", i)), Zone: glade.Zone(fmt.Sprintf("z%d", rack%10)), Rack: glade.Rack(fmt.Sprintf("r%05d", rack)),
		Incarnation: 1, Service: serviceName(pool), Cores: spec.cores, Memory: spec.memory,
	}
	if i < spec.accelHosts {
		listed.Accels = spec.accels
	}
	s.hosts = append(s.hosts, listed)
	batch := table.NewBatch()
	table.Replace(batch, table.Absent[glade.HostRow](owner.HostKey(listed.Host)), glade.HostRow{
		Host: listed.Host, Zone: listed.Zone, Rack: listed.Rack, Customer: customer, Pool: poolName(pool),
		Service: listed.Service, Epoch: 1, Phase: glade.HostServing, Incarnation: 1,
	})
	_, _ = batch.Commit(ctx, s.table)
}

func (s *sim) observeStart(_ glade.Host, _ uint64, task glade.Task) {
	ticket := glade.Ticket(task.Job)
	if _, known := s.started[ticket]; !known {
		s.started[ticket] = s.clock.Now()
	}
	if s.onStart != nil {
		s.onStart(ticket)
	}
}

// jobSpec describes a job: its declared size and its actual behavior.
type jobSpec struct {
	kind     int
	priority glade.Priority
	declared glade.Resources
	actual   memory.TaskBehavior
}

// accept accepts jobs in one transaction and returns their tickets.
func (s *sim) accept(specs ...jobSpec) []glade.Ticket {
	tickets, _ := s.acceptWithResult(specs...)
	return tickets
}

// acceptWithResult is like accept and also returns the commit result of the first job.
func (s *sim) acceptWithResult(specs ...jobSpec) ([]glade.Ticket, glade.CommitResult) {
	var rows []glade.JobRow
	var tickets []glade.Ticket
	for _, o := range specs {
		s.jobCount++
		payload, _ := json.Marshal(o.actual)
		ticket := jobs.TicketFor(customer, serviceName(o.kind), fmt.Sprint(s.jobCount))
		tickets = append(tickets, ticket)
		rows = append(rows, glade.JobRow{
			Ticket: ticket, Customer: customer, Kind: serviceName(o.kind), Priority: o.priority, Repeatable: true,
			Size: o.declared, Time: o.actual.RunTime, Payload: payload,
		})
	}
	results := jobs.Accept(ctx, s.table, rows, s.clock.Now())
	return tickets, results[tickets[0]]
}

// step advances the clock by one period and runs one step of the given controllers.
func (s *sim) step(controllers ...int) {
	s.clock.Advance(stepPeriod)
	for _, i := range controllers {
		_ = s.controllers[i].Step(ctx, s.clock.Now())
	}
}

// runFor runs the first keeper for a virtual time and calls afterStep, unless it is nil, after each
// step.
func (s *sim) runFor(d time.Duration, afterStep func()) {
	for end := s.clock.Now().Add(d); s.clock.Now().Before(end); {
		s.step(0)
		if afterStep != nil {
			afterStep()
		}
	}
}

// warmUp gives the keepers time to become leaders.
func (s *sim) warmUp() { s.runFor(10*time.Second, nil) }

func (s *sim) jobRow(ticket glade.Ticket) glade.JobRow {
	record, _ := jobs.Find(ctx, s.table, ticket)
	return record.Data()
}

func (s *sim) countPhase(phase glade.JobPhase) int { return s.counts[phase] }

// observedTable records the job phases that keepers write.
type observedTable struct {
	*memory.Table
	sim *sim
}

// Commit runs a transaction. An uncertain result counts as applied, because memory.LoseAnswers
// applies a transaction and then loses the answer.
func (t observedTable) Commit(ctx context.Context, txn glade.Txn) glade.CommitResult {
	t.sim.callBeforeWrite()
	result := t.Table.Commit(ctx, txn)
	if result != glade.Committed && result != glade.Uncertain {
		return result
	}
	if t.sim.onCommit != nil {
		t.sim.onCommit(txn)
	}
	for _, write := range txn.Writes {
		if strings.HasPrefix(write.Key, glade.PrefixJob) {
			record, _ := table.Decode[glade.JobRow](glade.Row{Key: write.Key, Version: 1, Value: write.Value})
			t.sim.recordPhase(record.Data())
		}
	}
	return result
}

// observedWorkers calls sim.beforeWrite right before each start.
type observedWorkers struct {
	*memory.Workers
	sim *sim
}

// Start starts a task on a host.
func (w observedWorkers) Start(ctx context.Context, host glade.Host, epoch uint64, task glade.Task) error {
	w.sim.callBeforeWrite()
	return w.Workers.Start(ctx, host, epoch, task)
}

func (s *sim) callBeforeWrite() {
	if s.beforeWrite != nil {
		s.beforeWrite()
	}
}

// hostRow reads a host row right after a transaction took effect, so the table is up.
func (s *sim) hostRow(key string) glade.HostRow {
	record, _ := table.Load[glade.HostRow](ctx, s.table, key)
	return record.Data()
}

func (s *sim) recordPhase(row glade.JobRow) {
	if old, known := s.phases[row.Ticket]; known {
		s.counts[old]--
	}
	s.phases[row.Ticket] = row.Phase
	s.counts[row.Phase]++
}
