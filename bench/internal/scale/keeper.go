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

// keeperProbes measure the parts of a keeper. Duties are shared out by pool, so
// that a keeper's part of the cost is the cost of all over the entry hosts.
func keeperProbes() []Probe {
	maintained := workers/waveDays + restarts + failures
	return []Probe{
		{Role: "keeper", Part: "rounds", Per: "hosts", Sizes: []int{133, 266, 532}, Target: workers, Run: roundCost},
		{Role: "keeper", Part: "host list", Per: "hosts", Sizes: []int{500, 2000, 8000}, Target: workers, Run: keeperListCost},
		{Role: "keeper", Part: "maintenance", Per: "hosts a day", Sizes: []int{20, 40, 80}, Target: maintained, Run: waveCost},
		{Role: "keeper", Part: "placement", Per: "hosts", Sizes: []int{100, 400, 1600}, Target: ledHosts, Run: placeCost},
	}
}

// rig is a fleet with one keeper that has every duty, on a fake clock.
type rig struct {
	clock *clock.Fake
	store *memory.Table
	bytes *meter
	fleet *fleet.Controller
	specs []glade.ContractSpec
}

// newRig returns a fleet of n hosts in pools of size hosts each, all serving.
func newRig(n, size int) (*rig, error) {
	r := &rig{clock: clock.NewFake(start), store: memory.NewTable()}
	r.bytes = &meter{Table: r.store}
	list := hostList(n)
	for i := range list {
		list[i].Service = ""
		// The in-memory workers are probed by their names.
		list[i].Address = string(list[i].Host)
	}
	for i := range (n + size - 1) / size {
		spec := contractOf(i)
		spec.Pools[0].Hosts = size
		spec.Pools[0].Floor = 1
		r.specs = append(r.specs, spec)
		if _, err := adopt.Accept(context.Background(), r.store, spec, 0); err != nil {
			return nil, err
		}
	}
	hosts := memory.NewWorkers(memory.WorkersConfig{Clock: r.clock, Boot: time.Second, Hosts: list})
	r.fleet = fleet.New(fleet.Config{
		Table: r.bytes, Hosts: hosts, Workers: hosts, Prober: hosts, Book: adopt.New(),
		Roster: glade.NewStaticRoster("k1", []glade.Node{"k1"}), Clock: r.clock, Log: logr.Discard(),
	})
	return r, r.until(func(serving, _ int) bool { return serving == n })
}

const (
	roundPeriod = 500 * time.Millisecond
	maxRounds   = 20000
)

// round moves the clock by one period and lets the keeper act.
func (r *rig) round() error {
	r.clock.Advance(roundPeriod)
	return r.fleet.Reconcile(context.Background())
}

// until runs rounds until the fleet looks as asked for.
func (r *rig) until(done func(serving, maintained int) bool) error {
	for range maxRounds {
		if err := r.round(); err != nil {
			return err
		}
		serving, maintained, err := r.look()
		if err != nil {
			return err
		}
		if done(serving, maintained) {
			return nil
		}
	}
	return errors.Errorf("the fleet did not settle within %d rounds", maxRounds)
}

// look counts hosts without counting as a read of the keeper.
func (r *rig) look() (serving, maintained int, err error) {
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

// roundCost measures the rounds of a fleet in which nothing happens.
func roundCost(n int, cpu timer) (Cost, error) {
	r, err := newRig(n, poolHosts+1)
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
	// The change head is read by every keeper, all else by the one whose duty
	// the pool is.
	heads := rounds
	took := cpu(func() { err = r.round() })
	return Cost{
		CPU:    took / roundPeriod.Seconds() / entries,
		Wire:   bytes / seconds / entries,
		Reads:  float64(after-before-heads)/seconds + entries/roundPeriod.Seconds(),
		Writes: float64(writesAfter-writesBefore) / seconds,
	}, err
}

// keeperListCost measures the host list that every keeper reads whole, once a
// second.
func keeperListCost(n int, cpu timer) (Cost, error) {
	cost, err := hostListCost(n, cpu)
	return Cost{Heap: cost.Heap, CPU: cost.CPU / listRate, Wire: cost.Wire / listRate}, err
}

// waveCost measures the rows that the maintenance of n hosts writes, as if it
// were spread over a day. A host that is replaced goes through the same steps.
func waveCost(n int, _ timer) (Cost, error) {
	r, err := newRig(n, n)
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
	err = r.until(func(serving, maintained int) bool { return serving == n && maintained == n })
	_, after := r.store.Counts()
	return Cost{Writes: float64(after-before) / day}, err
}

// placeRate is the number of tasks that a customer's leader places in a second.
const placeRate = 10

// placeCost measures the index over n hosts, half full of tasks, and the
// placing of one more task.
func placeCost(n int, cpu timer) (Cost, error) {
	var f *place.Fleet
	build := func() any {
		f = place.New(place.Config{})
		hosts := make([]place.Host, n)
		for i, row := range hostList(n) {
			size := glade.Size{Cores: row.Cores, Memory: row.Memory, Accels: row.Accels}
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
	return Cost{Heap: heap, CPU: took * placeRate}, nil
}

func taskOf(i int) place.Task {
	return place.Task{
		ID:       glade.Ticket(fmt.Sprintf("task%08d", i)),
		Pool:     "pool",
		Group:    fmt.Sprintf("group%03d", i%1000),
		Team:     fmt.Sprintf("team%03d", i%teams),
		Priority: glade.Urgent,
		Size:     glade.Size{Cores: 16, Memory: 32 << 30, Accels: 1},
	}
}
