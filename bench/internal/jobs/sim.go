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

// Sizes and times of the simulated platform.
const (
	gigabyte   = 1 << 30
	stepPeriod = 500 * time.Millisecond
	usageLag   = 5 * time.Second
	leaseTime  = 10 * time.Second
	writeRate  = 100
	waveRate   = 180
	customer   = glade.Customer("c")
)

var start = time.Unix(1_000_000, 0)

// sim is keepers over in-memory twins of the platform, in virtual time.
type sim struct {
	rand    *rand.Rand
	clock   *clock.Fake
	table   *memory.Table
	objects *memory.Objects
	workers *memory.Workers
	crews   []*jobs.Controller
	hosts   []glade.Listed
	// started is when each job's work first began.
	started map[glade.Ticket]time.Time
	onRun   func(ticket glade.Ticket)
	// between is called between what a keeper read and what it writes or starts.
	between func()
	// onCommit is called after each transaction of a keeper that took effect.
	onCommit func(txn glade.Txn)
	// phases holds the phase that keepers wrote last of each job, and counts how
	// many jobs are in each.
	phases map[glade.Ticket]glade.JobPhase
	counts map[glade.JobPhase]int
	jobs   int
}

// fleetSpec describes the hosts of a sim.
type fleetSpec struct {
	hosts  int
	pools  int
	cores  int
	memory int64
	// accels is the number of accelerators of each of the first accelHosts
	// hosts.
	accels     int
	accelHosts int
}

func poolName(i int) glade.Pool       { return glade.Pool(fmt.Sprintf("p%03d", i)) }
func serviceName(i int) glade.Service { return glade.Service(fmt.Sprintf("s%03d", i)) }

func newSim(seed uint64, spec fleetSpec, keepers int) *sim {
	s := &sim{
		rand: rand.New(rand.NewPCG(seed, 7)), clock: clock.NewFake(start), table: memory.NewTable(), objects: memory.NewObjects(),
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
		Clock: s.clock, Hosts: s.hosts, OnRun: s.run, Tasks: memory.TasksConfig{Work: time.Minute, Usage: usageLag, Lease: leaseTime},
	})
	book := adopt.New()
	book.ActivateIfNewer(glade.NewContract(contract, 1))
	var nodes []glade.Node
	for i := range keepers {
		nodes = append(nodes, glade.Node(fmt.Sprintf("k%d", i)))
	}
	for _, node := range nodes {
		s.crews = append(s.crews, jobs.New(jobs.Config{
			Table: watchedTable{s.table, s}, Objects: s.objects, Workers: watchedWorkers{s.workers, s}, Hosts: s.workers, Book: book,
			Roster: glade.NewStaticRoster(node, nodes), WriteRate: writeRate, WaveWriteRate: waveRate, MaxCalls: 1,
		}))
	}
	return s
}

// addHost adds a host with its ownership row. Four hosts make a rack, and racks
// go round ten availability zones.
func (s *sim) addHost(i int, spec fleetSpec) {
	rack := i / 4
	pool := i % spec.pools
	listed := glade.Listed{
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

func (s *sim) run(_ glade.Host, _ uint64, task glade.Task) {
	ticket := glade.Ticket(task.Job)
	if _, known := s.started[ticket]; !known {
		s.started[ticket] = s.clock.Now()
	}
	if s.onRun != nil {
		s.onRun(ticket)
	}
}

// offer describes a job: what it declares and how it really behaves.
type offer struct {
	kind     int
	priority glade.Priority
	declared glade.Size
	truth    memory.Truth
}

// accept accepts jobs in one transaction.
func (s *sim) accept(offers ...offer) []glade.Ticket {
	tickets, _ := s.acceptSeen(offers...)
	return tickets
}

// acceptSeen is accept with the result that the caller of the first job sees.
func (s *sim) acceptSeen(offers ...offer) ([]glade.Ticket, glade.Commit) {
	var rows []glade.JobRow
	var tickets []glade.Ticket
	for _, o := range offers {
		s.jobs++
		payload, _ := json.Marshal(o.truth)
		ticket := jobs.TicketFor(customer, serviceName(o.kind), fmt.Sprint(s.jobs))
		tickets = append(tickets, ticket)
		rows = append(rows, glade.JobRow{
			Ticket: ticket, Customer: customer, Kind: serviceName(o.kind), Priority: o.priority, Repeatable: true,
			Size: o.declared, Time: o.truth.Work, Payload: payload,
		})
	}
	results := jobs.Accept(ctx, s.table, rows, s.clock.Now())
	return tickets, results[tickets[0]]
}

// step lets the given keepers take one step.
func (s *sim) step(crews ...int) {
	s.clock.Advance(stepPeriod)
	for _, i := range crews {
		_ = s.crews[i].Step(ctx, s.clock.Now())
	}
}

// each runs the first keeper for a time and calls tick after each step.
func (s *sim) each(d time.Duration, tick func()) {
	for end := s.clock.Now().Add(d); s.clock.Now().Before(end); {
		s.step(0)
		if tick != nil {
			tick()
		}
	}
}

// warm lets the keepers take the leads.
func (s *sim) warm() { s.each(10*time.Second, nil) }

func (s *sim) row(ticket glade.Ticket) glade.JobRow {
	record, _ := jobs.Find(ctx, s.table, ticket)
	return record.Data()
}

// countPhase counts the jobs in a phase.
func (s *sim) countPhase(phase glade.JobPhase) int { return s.counts[phase] }

// watchedTable counts the phases that keepers write.
type watchedTable struct {
	*memory.Table
	sim *sim
}

// Commit runs a transaction. One whose answer is lost took effect, as the
// in-memory table has it.
func (t watchedTable) Commit(ctx context.Context, txn glade.Txn) glade.Commit {
	t.sim.interfere()
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
			t.sim.note(record.Data())
		}
	}
	return result
}

// watchedWorkers lets others act right before each start.
type watchedWorkers struct {
	*memory.Workers
	sim *sim
}

// Start runs a task.
func (w watchedWorkers) Start(ctx context.Context, host glade.Host, epoch uint64, task glade.Task) error {
	w.sim.interfere()
	return w.Workers.Start(ctx, host, epoch, task)
}

func (s *sim) interfere() {
	if s.between != nil {
		s.between()
	}
}

// peek reads a host row right after a transaction took effect, when the table is
// up.
func (s *sim) peek(key string) glade.HostRow {
	record, _ := table.Load[glade.HostRow](ctx, s.table, key)
	return record.Data()
}

func (s *sim) note(row glade.JobRow) {
	if old, known := s.phases[row.Ticket]; known {
		s.counts[old]--
	}
	s.phases[row.Ticket] = row.Phase
	s.counts[row.Phase]++
}
