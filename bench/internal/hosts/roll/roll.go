// Package roll measures how long waves and contract changes take, with the real
// fleet duty on a fake clock.
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

// Sizes of the deployment: five pools of ten hosts, four hosts to a rack.
const (
	hostCount = 50
	rackHosts = 4
	zoneCount = 3
	poolHosts = 10
	ceiling   = 16
	bootTime  = 2 * time.Minute
	drainTime = 10 * time.Second
	stepTime  = 500 * time.Millisecond
	bound     = 6 * time.Hour
	keepers   = 3
)

var customers = []glade.Customer{"quotes", "dossier", "shading", "yield", "support"}

// site is the deployment with its keepers.
type site struct {
	table   *memory.Table
	workers *memory.Workers
	clock   *clock.Fake
	keepers []*fleet.Controller
	specs   map[glade.Customer]glade.ContractSpec
}

func newSite() (*site, error) {
	s := &site{table: memory.NewTable(), clock: clock.NewFake(time.Unix(1_000_000, 0)), specs: make(map[glade.Customer]glade.ContractSpec)}
	var listed []glade.Listed
	for i := range hostCount {
		name := fmt.Sprintf("h%02d", i)
		rack := i / rackHosts
		listed = append(listed, glade.Listed{Host: glade.Host(name), Address: name, Rack: glade.Rack(fmt.Sprint(rack)), Zone: glade.Zone(fmt.Sprint(rack % zoneCount))})
	}
	s.workers = memory.NewWorkers(memory.WorkersConfig{Clock: s.clock, Boot: bootTime, Hosts: listed})
	for _, customer := range customers {
		s.specs[customer] = contract(customer)
		if err := s.apply(s.specs[customer]); err != nil {
			return nil, err
		}
	}
	nodes := []glade.Node{"k0", "k1", "k2"}
	for _, node := range nodes[:keepers] {
		s.keepers = append(s.keepers, fleet.New(fleet.Config{
			Table: s.table, Hosts: s.workers, Workers: s.workers, Prober: s.workers, Book: adopt.New(),
			Roster: glade.NewStaticRoster(node, nodes), Clock: s.clock, Log: logr.Discard(),
		}))
	}
	_, err := s.until(func() (bool, error) { return s.holds(poolHosts, customers...) })
	return s, err
}

// contract is that of one pool of Güneşçatı.
func contract(customer glade.Customer) glade.ContractSpec {
	name := glade.Pool(customer)
	isSpare := customer == "support"
	floor := 2
	if isSpare {
		floor = 4
	}
	return glade.ContractSpec{
		Customer: customer,
		Pools:    []glade.PoolSpec{{Name: name, Serve: glade.Service(name), Hosts: poolHosts, Floor: floor, Ceiling: ceiling, Slots: 8, Spare: isSpare}},
		Budget:   glade.BudgetSpec{Down: 2, Minutes: 600, Window: glade.Span(24 * time.Hour), Domain: "host"},
		Wave:     glade.WaveSpec{Drain: glade.Span(drainTime)},
		Weights:  glade.WeightSpec{Rollout: 3, Moves: 1},
	}
}

func (s *site) apply(spec glade.ContractSpec) error {
	record, err := owner.LoadContract(context.Background(), s.table, spec.Customer)
	if err != nil {
		return err
	}
	_, err = adopt.Accept(context.Background(), s.table, spec, record.Data().Version)
	return err
}

// until takes rounds until the condition holds, and returns the virtual time.
func (s *site) until(isDone func() (bool, error)) (time.Duration, error) {
	start := s.clock.Now()
	for s.clock.Now().Sub(start) < bound {
		for _, k := range s.keepers {
			if err := k.Reconcile(context.Background()); err != nil {
				return 0, err
			}
		}
		s.clock.Advance(stepTime)
		done, err := isDone()
		if err != nil || done {
			return s.clock.Now().Sub(start), err
		}
	}
	return 0, errors.Errorf("not done after %s", bound)
}

func (s *site) accounts() ([]glade.AccountRow, error) {
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

// holds tells whether pools have exactly size members and all of them serve.
func (s *site) holds(size int, pools ...glade.Customer) (bool, error) {
	accounts, err := s.accounts()
	if err != nil {
		return false, err
	}
	held := make(map[glade.Customer]int)
	for _, account := range accounts {
		for _, member := range account.Members {
			if member.Cause == glade.CauseNone {
				held[account.Customer]++
			}
		}
	}
	for _, pool := range pools {
		if held[pool] != size {
			return false, nil
		}
	}
	return true, nil
}

// Wave returns the time of a wave over all 50 hosts, as a share of maintaining
// the same hosts one at a time. Every host is then as fast as it was in the
// wave.
func Wave(uint64) (float64, error) {
	s, err := newSite()
	if err != nil {
		return 0, err
	}
	took, err := s.wave()
	if err != nil {
		return 0, err
	}
	each, err := s.meanStep()
	return took.Seconds() / (each.Seconds() * hostCount), err
}

// wave maintains every host and returns the time that it took.
func (s *site) wave() (time.Duration, error) {
	for _, customer := range customers {
		spec := s.specs[customer]
		spec.Wave.Name, spec.Wave.State = "w", "run"
		if err := s.apply(spec); err != nil {
			return 0, err
		}
	}
	return s.until(s.isMaintained)
}

func (s *site) isMaintained() (bool, error) {
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

// meanStep returns the mean time of a planned step.
func (s *site) meanStep() (time.Duration, error) {
	accounts, err := s.accounts()
	if err != nil {
		return 0, err
	}
	var sum, count int64
	for _, account := range accounts {
		for _, span := range account.Spent {
			sum += span.To - span.From
			count++
		}
	}
	if count == 0 {
		return 0, errors.New("no step was taken")
	}
	return time.Duration(sum/count) * time.Millisecond, nil
}

// grown is the promised size of a pool after the contract change.
const grown = poolHosts + 4

// Change returns the time until a pool that was promised four more hosts has
// them, as a share of moving one host at a time.
func Change(uint64) (float64, error) {
	one, err := grow(poolHosts + 1)
	if err != nil {
		return 0, err
	}
	all, err := grow(grown)
	return all.Seconds() / (one.Seconds() * (grown - poolHosts)), err
}

func grow(size int) (time.Duration, error) {
	s, err := newSite()
	if err != nil {
		return 0, err
	}
	spec := s.specs["quotes"]
	spec.Pools[0].Hosts = size
	if err := s.apply(spec); err != nil {
		return 0, err
	}
	return s.until(func() (bool, error) { return s.holds(size, "quotes") })
}
