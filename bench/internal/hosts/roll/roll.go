// Package roll measures how long maintenance waves and contract changes take. It runs the real
// fleet controllers of the keepers on a fake clock.
package roll

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
	"indigoglade/owner"
	"indigoglade/table"
	"indigoglade/wave"
)

// Dimensions and timing of the deployment: five pools of ten hosts, four hosts per rack.
const (
	hostCount    = 50
	hostsPerRack = 4
	zoneCount    = 3
	hostsPerPool = 10
	poolCeiling  = 16
	bootTime     = 2 * time.Minute
	drainTime    = 10 * time.Second
	roundPeriod  = 500 * time.Millisecond
	timeLimit    = 6 * time.Hour
	keeperCount  = 3
)

var customers = []glade.Customer{"quotes", "dossier", "shading", "yield", "support"}

// deployment is a simulated fleet with its keepers.
type deployment struct {
	table   *memory.Table
	workers *memory.Workers
	clock   *clock.Fake
	keepers []*fleet.Controller
	specs   map[glade.Customer]glade.ContractSpec
}

func newDeployment() (*deployment, error) {
	s := &deployment{table: memory.NewTable(), clock: clock.NewFake(time.Unix(1_000_000, 0)), specs: make(map[glade.Customer]glade.ContractSpec)}
	var listed []glade.HostListing
	for i := range hostCount {
		name := fmt.Sprintf("h%02d", i)
		rack := i / hostsPerRack
		listed = append(listed, glade.HostListing{Host: glade.Host(name), Address: name, Rack: glade.Rack(fmt.Sprint(rack)), Zone: glade.Zone(fmt.Sprint(rack % zoneCount))})
	}
	s.workers = memory.NewWorkers(memory.WorkersConfig{Clock: s.clock, BootTime: bootTime, Hosts: listed})
	for _, customer := range customers {
		s.specs[customer] = contract(customer)
		if err := s.apply(s.specs[customer]); err != nil {
			return nil, err
		}
	}
	nodes := []glade.Node{"k0", "k1", "k2"}
	for _, node := range nodes[:keeperCount] {
		s.keepers = append(s.keepers, fleet.New(fleet.Config{
			Table: s.table, Hosts: s.workers, Workers: s.workers, Prober: s.workers, Registry: adopt.New(),
			Roster: glade.NewStaticRoster(node, nodes), Clock: s.clock, Log: logr.Discard(),
		}))
	}
	_, err := s.runUntil(func() (bool, error) { return s.poolsServe(hostsPerPool, customers...) })
	return s, err
}

// contract returns the contract of one customer of the Güneşçatı deployment, with one pool.
func contract(customer glade.Customer) glade.ContractSpec {
	name := glade.Pool(customer)
	isSpare := customer == "support"
	floor := 2
	if isSpare {
		floor = 4
	}
	return glade.ContractSpec{
		Customer: customer,
		Pools:    []glade.PoolSpec{{Name: name, Serve: glade.Service(name), Hosts: hostsPerPool, MinHosts: floor, MaxHosts: poolCeiling, Slots: 8, Spare: isSpare}},
		Budget:   glade.BudgetSpec{Down: 2, Minutes: 600, Window: glade.Span(24 * time.Hour), Domain: "host"},
		Wave:     glade.WaveSpec{DrainTime: glade.Span(drainTime)},
		Weights:  glade.WeightSpec{Rollout: 3, Moves: 1},
	}
}

func (s *deployment) apply(spec glade.ContractSpec) error {
	record, err := owner.LoadContract(context.Background(), s.table, spec.Customer)
	if err != nil {
		return err
	}
	_, err = adopt.Accept(context.Background(), s.table, spec, record.Data().Version)
	return err
}

// runUntil runs rounds of all keepers until isDone, and returns the virtual time that passed. It
// fails after timeLimit.
func (s *deployment) runUntil(isDone func() (bool, error)) (time.Duration, error) {
	start := s.clock.Now()
	for s.clock.Now().Sub(start) < timeLimit {
		for _, k := range s.keepers {
			if err := k.Reconcile(context.Background()); err != nil {
				return 0, err
			}
		}
		s.clock.Advance(roundPeriod)
		done, err := isDone()
		if err != nil || done {
			return s.clock.Now().Sub(start), err
		}
	}
	return 0, errors.Errorf("condition not met after %s of virtual time", timeLimit)
}

func (s *deployment) accounts() ([]glade.AccountRow, error) {
	records, err := table.LoadAll[glade.AccountRow](context.Background(), s.table, glade.PrefixAccount)
	if err != nil {
		return nil, err
	}
	var rows []glade.AccountRow
	for _, record := range records {
		rows = append(rows, record.Data())
	}
	return rows, nil
}

// poolsServe reports whether each pool has exactly size members that serve.
func (s *deployment) poolsServe(size int, pools ...glade.Customer) (bool, error) {
	accounts, err := s.accounts()
	if err != nil {
		return false, err
	}
	serving := make(map[glade.Customer]int)
	for _, account := range accounts {
		for _, member := range account.Members {
			if member.Cause == glade.CauseNone {
				serving[account.Customer]++
			}
		}
	}
	for _, pool := range pools {
		if serving[pool] != size {
			return false, nil
		}
	}
	return true, nil
}

// WaveTimeRatio returns the time of a wave over all 50 hosts, relative to maintaining them one at a time.
// The serial time is the mean time that a host took in the wave, times the number of hosts.
func WaveTimeRatio(uint64) (float64, error) {
	s, err := newDeployment()
	if err != nil {
		return 0, err
	}
	took, err := s.runWave()
	if err != nil {
		return 0, err
	}
	each, err := s.meanStepTime()
	return took.Seconds() / (each.Seconds() * hostCount), err
}

// runWave maintains every host and returns the virtual time it took.
func (s *deployment) runWave() (time.Duration, error) {
	for _, customer := range customers {
		spec := s.specs[customer]
		spec.Wave.Name, spec.Wave.State = "w", "run"
		if err := s.apply(spec); err != nil {
			return 0, err
		}
	}
	return s.runUntil(s.isMaintained)
}

func (s *deployment) isMaintained() (bool, error) {
	accounts, err := s.accounts()
	if err != nil {
		return false, err
	}
	for _, account := range accounts {
		if done, total := wave.Progress(account, "w"); done < total {
			return false, nil
		}
	}
	return true, nil
}

// meanStepTime returns the mean down time of the planned steps that the accounts recorded.
func (s *deployment) meanStepTime() (time.Duration, error) {
	accounts, err := s.accounts()
	if err != nil {
		return 0, err
	}
	var sum, count int64
	for _, account := range accounts {
		for _, span := range account.DownTimes {
			sum += span.To - span.From
			count++
		}
	}
	if count == 0 {
		return 0, errors.New("no planned step was recorded")
	}
	return time.Duration(sum/count) * time.Millisecond, nil
}

// grownPoolSize is the number of hosts that the changed contract promises.
const grownPoolSize = hostsPerPool + 4

// ChangeTimeRatio returns the time until a pool has the four additional hosts that its contract promises,
// relative to moving them one at a time.
func ChangeTimeRatio(uint64) (float64, error) {
	oneHost, err := timeToGrow(hostsPerPool + 1)
	if err != nil {
		return 0, err
	}
	allHosts, err := timeToGrow(grownPoolSize)
	return allHosts.Seconds() / (oneHost.Seconds() * (grownPoolSize - hostsPerPool)), err
}

func timeToGrow(size int) (time.Duration, error) {
	s, err := newDeployment()
	if err != nil {
		return 0, err
	}
	spec := s.specs["quotes"]
	spec.Pools[0].Hosts = size
	if err := s.apply(spec); err != nil {
		return 0, err
	}
	return s.runUntil(func() (bool, error) { return s.poolsServe(size, "quotes") })
}
