package scale

import (
	"context"
	"fmt"
	"time"

	"github.com/go-logr/logr"
	"github.com/pkg/errors"

	glade "indigoglade"
	"indigoglade/adopt"
	"indigoglade/clock"
	"indigoglade/fleet"
	"indigoglade/memory"
	"indigoglade/place"
)

// keeperProbes returns the probes of the parts of a keeper. Pools are distributed over the nodes, so a
// keeper's part of the cost is the total divided by the number of entry hosts.
func keeperProbes() []Probe {
	maintained := workerCount/waveDays + restartsPerDay + failuresPerDay
	return []Probe{
		{Role: "keeper", Part: "rounds", SizeUnit: "hosts", Sizes: []int{133, 266, 532}, Target: workerCount, Run: roundCost},
		{Role: "keeper", Part: "host list", SizeUnit: "hosts", Sizes: []int{500, 2000, 8000}, Target: workerCount, Run: keeperListCost},
		{Role: "keeper", Part: "maintenance", SizeUnit: "hosts a day", Sizes: []int{20, 40, 80}, Target: maintained, Run: waveCost},
		{Role: "keeper", Part: "placement", SizeUnit: "hosts", Sizes: []int{100, 400, 1600}, Target: hostsPerLeader, Run: placeCost},
	}
}

// testFleet is a fleet with one keeper that acts for every pool, on a fake clock.
type testFleet struct {
	clock *clock.Fake
	store *memory.Table
	bytes *byteCounter
	fleet *fleet.Controller
	specs []glade.ContractSpec
}

// newTestFleet returns a fleet of n hosts in pools of size hosts each, after all of them have come
// into service.
func newTestFleet(n, size int) (*testFleet, error) {
	r := &testFleet{clock: clock.NewFake(startTime), store: memory.NewTable()}
	r.bytes = &byteCounter{Table: r.store}
	list := hostList(n)
	for i := range list {
		list[i].Service = ""
		// The in-memory workers are probed by host name.
		list[i].Address = string(list[i].Host)
	}
	for i := range (n + size - 1) / size {
		spec := contractOf(i)
		spec.Pools[0].Hosts = size
		spec.Pools[0].MinHosts = 1
		r.specs = append(r.specs, spec)
		if _, err := adopt.Accept(context.Background(), r.store, spec, 0); err != nil {
			return nil, err
		}
	}
	hosts := memory.NewWorkers(memory.WorkersConfig{Clock: r.clock, BootTime: time.Second, Hosts: list})
	r.fleet = fleet.New(fleet.Config{
		Table: r.bytes, Hosts: hosts, Workers: hosts, Prober: hosts, Registry: adopt.New(),
		Roster: glade.NewStaticRoster("k1", []glade.Node{"k1"}), Clock: r.clock, Log: logr.Discard(),
	})
	return r, r.runUntil(func(serving, _ int) bool { return serving == n })
}

const (
	roundPeriod = 500 * time.Millisecond
	maxRounds   = 20000
)

// round advances the clock by one period and runs a round of the keeper.
func (r *testFleet) round() error {
	r.clock.Advance(roundPeriod)
	return r.fleet.Reconcile(context.Background())
}

// runUntil runs rounds until done reports true for the number of serving and of maintained hosts.
// It fails after maxRounds.
func (r *testFleet) runUntil(done func(serving, maintained int) bool) error {
	for range maxRounds {
		if err := r.round(); err != nil {
			return err
		}
		serving, maintained, err := r.countHosts()
		if err != nil {
			return err
		}
		if done(serving, maintained) {
			return nil
		}
	}
	return errors.Errorf("the fleet did not settle within %d rounds", maxRounds)
}

// countHosts counts hosts through the underlying table, so that its own reads add nothing to the
// keeper's traffic.
func (r *testFleet) countHosts() (serving, maintained int, err error) {
	for _, spec := range r.specs {
		account, err := loadAccount(r.store, spec)
		if err != nil {
			return 0, 0, err
		}
		for _, member := range account.Members {
			if member.Cause != glade.CauseNone {
				continue
			}
			serving++
			if member.Wave != "" {
				maintained++
			}
		}
	}
	return serving, maintained, nil
}

// roundCost measures the rounds of a fleet without failures or changes.
func roundCost(n int, cpu timerFunc) (Cost, error) {
	r, err := newTestFleet(n, hostsPerPool+1)
	if err != nil {
		return Cost{}, err
	}
	const rounds = 20
	r.bytes.bytes = 0
	before, writesBefore := r.store.Counts()
	for range rounds {
		if err := r.round(); err != nil {
			return Cost{}, err
		}
	}
	after, writesAfter := r.store.Counts()
	bytes := float64(r.bytes.bytes)
	seconds := rounds * roundPeriod.Seconds()
	// Every keeper reads the change counter. All other rows are read only by the keeper that owns
	// the pool.
	headReads := rounds
	took := cpu(func() { err = r.round() })
	return Cost{
		CPUNanos: took / roundPeriod.Seconds() / entryCount,
		Traffic:  bytes / seconds / entryCount,
		Reads:    float64(after-before-headReads)/seconds + entryCount/roundPeriod.Seconds(),
		Writes:   float64(writesAfter-writesBefore) / seconds,
	}, err
}

// keeperListCost measures reading the host list in full, which every keeper does once a second.
func keeperListCost(n int, cpu timerFunc) (Cost, error) {
	cost, err := hostListCost(n, cpu)
	return Cost{HeapBytes: cost.HeapBytes, CPUNanos: cost.CPUNanos / hostListReadRate, Traffic: cost.Traffic / hostListReadRate}, err
}

// waveCost measures the rows written to maintain n hosts, spread over a day. Replacing a host takes
// the same steps.
func waveCost(n int, _ timerFunc) (Cost, error) {
	r, err := newTestFleet(n, n)
	if err != nil {
		return Cost{}, err
	}
	_, before := r.store.Counts()
	spec := r.specs[0]
	spec.Wave.Name, spec.Wave.State = "december", "run"
	spec.Budget.Down = 2
	if _, err := adopt.Accept(context.Background(), r.store, spec, 1); err != nil {
		return Cost{}, err
	}
	err = r.runUntil(func(serving, maintained int) bool { return serving == n && maintained == n })
	_, after := r.store.Counts()
	return Cost{Writes: float64(after-before) / daySeconds}, err
}

// placeRate is the number of tasks that the leader of a customer places per second.
const placeRate = 10

// placeCost measures the placement index with n hosts and n placed tasks, which take half of the
// cores, and placing one more task.
func placeCost(n int, cpu timerFunc) (Cost, error) {
	var f *place.Fleet
	build := func() any {
		f = place.New(place.Config{})
		hosts := make([]place.Host, n)
		for i, row := range hostList(n) {
			size := glade.Resources{Cores: row.Cores, Memory: row.Memory, Accels: row.Accels}
			hosts[i] = place.Host{Host: row.Host, Zone: row.Zone, Rack: row.Rack, Pool: "pool", Size: size, Open: true}
		}
		f.SetHosts(hosts)
		for i := range n {
			f.Enqueue(taskOf(i))
		}
		f.Round(place.Limits{Urgent: n, Others: n})
		return f
	}
	heap := heapOf(build)
	if f.RunningCount() != n {
		return Cost{}, errors.Errorf("placed %d of %d tasks", f.RunningCount(), n)
	}
	next := n
	took := cpu(func() {
		task := taskOf(next)
		next++
		f.Enqueue(task)
		f.Round(place.Limits{Urgent: 1, Others: 1})
		f.Remove(task.ID)
	})
	return Cost{HeapBytes: heap, CPUNanos: took * placeRate}, nil
}

func taskOf(i int) place.Task {
	return place.Task{
		ID:       glade.Ticket(fmt.Sprintf("task%08d", i)),
		Pool:     "pool",
		Group:    fmt.Sprintf("group%03d", i%1000),
		Team:     fmt.Sprintf("team%03d", i%teamCount),
		Priority: glade.Urgent,
		Size:     glade.Resources{Cores: 16, Memory: 32 << 30, Accels: 1},
	}
}
