package lead

import (
	"context"
	"sync"
	"time"

	"github.com/go-logr/logr"

	glade "indigoglade"
	"indigoglade/sched"
)

// Config configures a Keep.
type Config struct {
	Self      glade.Node
	Address   string
	Ledger    glade.Ledger
	Runners   glade.Runners
	Advisor   glade.Advisor
	Inventory glade.Inventory
	Clock     glade.Clock
	Log       logr.Logger
	Board     *Board
	Bounds    Bounds
}

// Bounds are times that the platform promises.
type Bounds struct {
	// HoldMax is the longest lease that a runner grants.
	HoldMax time.Duration
	// Restore is how long a task takes to go on from its saved work.
	Restore time.Duration
	// Keep is how long the state of an ended batch must be told.
	Keep time.Duration
	// MoveTime and MaintainTime are how long a host is away.
	MoveTime, MaintainTime time.Duration
}

// Keep holds the leads of this process.
type Keep struct {
	config Config
	mu     sync.Mutex
	seats  map[glade.Service]*Seat
	fleet  *Fleet
	gate   *Gate
	rules  glade.Rules
	list   map[glade.Service][]glade.RunnerInfo
	waves  []glade.WaveOrder
	ending bool
	wait   sync.WaitGroup
}

// New returns a Keep that leads nothing yet.
func New(config Config) *Keep {
	k := &Keep{config: config, seats: make(map[glade.Service]*Seat)}
	k.gate = newGate(k)
	return k
}

// SetRules takes over a version of the contract. An older one is ignored.
func (k *Keep) SetRules(rules glade.Rules) {
	k.mu.Lock()
	if rules.Version <= k.rules.Version {
		k.mu.Unlock()
		return
	}
	k.rules = rules
	seats := k.held()
	k.mu.Unlock()
	duties := []glade.Service{fleetDuty}
	for _, service := range rules.Services {
		if !service.Spare {
			duties = append(duties, service.Service)
		}
	}
	k.config.Board.SetDuties(duties)
	for _, seat := range seats {
		seat.setRules(rules)
	}
}

// SetRunners takes over the platform's list of runners.
func (k *Keep) SetRunners(list []glade.RunnerInfo) {
	byService := make(map[glade.Service][]glade.RunnerInfo)
	for _, info := range list {
		byService[info.Service] = append(byService[info.Service], info)
	}
	k.mu.Lock()
	k.list = byService
	seats := k.held()
	k.mu.Unlock()
	for _, seat := range seats {
		seat.setRunners(byService[seat.service])
	}
}

// SetWaves takes over the waves that are asked for.
func (k *Keep) SetWaves(waves []glade.WaveOrder) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.waves = waves
}

func (k *Keep) held() []*Seat {
	seats := make([]*Seat, 0, len(k.seats))
	for _, seat := range k.seats {
		seats = append(seats, seat)
	}
	return seats
}

// Gate returns the way to the leads of all services.
func (k *Keep) Gate() *Gate { return k.gate }

// Seat returns the seat of a service that this process leads.
func (k *Keep) Seat(service glade.Service) (*Seat, bool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	seat, ok := k.seats[service]
	return seat, ok
}

// Stats returns the counters of the services that this process leads.
func (k *Keep) Stats() map[glade.Service]sched.Stats {
	k.mu.Lock()
	seats := k.held()
	k.mu.Unlock()
	stats := make(map[glade.Service]sched.Stats, len(seats))
	for _, seat := range seats {
		seat.with(func(built *sched.Sched) { stats[seat.service] = built.Stats() })
	}
	return stats
}

// Leads returns how many services this process leads.
func (k *Keep) Leads() int {
	k.mu.Lock()
	defer k.mu.Unlock()
	return len(k.seats)
}

// Times of the leads.
const (
	// renewPeriod is the time between two signs of life of a lead.
	renewPeriod = 800 * time.Millisecond
	// silence is how long a lead that shows no sign is waited for: two signs
	// lost, and the time that a slow store takes for one.
	silence = 2 * time.Second
	// turnTime separates the claims of two hosts that would both lead.
	turnTime = 120 * time.Millisecond
	// maxTurns bounds the wait for hosts that may all be gone.
	maxTurns = 8
	// claimPeriod is the time between two looks at who leads.
	claimPeriod = 60 * time.Millisecond
	// newcomers is how long a host waits at a first start for the others.
	newcomers = 500 * time.Millisecond
	// leaseTime is how long runs go on without a hold: a new lead must be there
	// before it ends.
	leaseTime = 4500 * time.Millisecond
	// reachTime bounds leases from the last renewal of a lead: an outage of the
	// store up to it costs no run.
	reachTime = 9 * time.Second
	// lookTime is how long a hold waits for an end.
	lookTime = time.Second
)

// Run claims services until ctx ends, and then gives them up.
func (k *Keep) Run(ctx context.Context) error {
	for k.config.Clock.Sleep(ctx, claimPeriod) == nil {
		duties, known := k.config.Board.Duties()
		if !known {
			continue
		}
		for _, service := range duties {
			k.consider(ctx, service)
		}
	}
	k.wait.Wait()
	return nil
}

// GiveUp hands every service over and takes no new one.
func (k *Keep) GiveUp() {
	k.mu.Lock()
	k.ending = true
	seats := k.held()
	fleet := k.fleet
	k.mu.Unlock()
	if fleet != nil {
		fleet.giveUp()
	}
	var group sync.WaitGroup
	for _, seat := range seats {
		group.Add(1)
		h := handover{seat: seat, group: &group}
		go h.run()
	}
	group.Wait()
}

type handover struct {
	seat  *Seat
	group *sync.WaitGroup
}

func (h handover) run() {
	defer h.group.Done()
	h.seat.giveUp()
}

// consider claims a service whose lead is gone, when it is this host's turn.
func (k *Keep) consider(ctx context.Context, service glade.Service) {
	k.mu.Lock()
	_, mine := k.seats[service]
	if service == fleetDuty {
		mine = k.fleet != nil
	}
	ending := k.ending
	k.mu.Unlock()
	if mine || ending {
		return
	}
	now := k.config.Clock.Now()
	heard := k.config.Board.Silence(service, now)
	term, idle := heard.Term, heard.Idle
	rank := min(k.config.Board.Rank(service), maxTurns)
	wait := time.Duration(rank) * turnTime
	switch {
	case term.Node == k.config.Self && k.config.Board.IsStrong():
		wait = 0 // an earlier process of this host
	case heard.Version == 0:
		wait += newcomers
	case term.Node != "":
		wait += silence
		idle = heard.Silent
	}
	if idle < wait {
		return
	}
	if term.Node != "" && term.Node != k.config.Self && !k.isSilent(ctx, service, heard, idle-wait, rank) {
		return
	}
	k.claim(ctx, service, term, heard.Version, idle)
}

// slowFactor times the time of a call is how much longer a lead is waited for
// when the store is slow: its sign of life takes two calls, and a look another.
const slowFactor = 4

// isSilent reads the term itself before its lead is given up. A feed may lag, and
// a slow store delays the signs of a lead that is well. Beyond is the silence
// beyond what is usual. With a slow store the turns of hosts are longer too, or a
// weak one that happens to read first would lead.
func (k *Keep) isSilent(ctx context.Context, service glade.Service, heard Silence, beyond time.Duration, rank int) bool {
	began := k.config.Clock.Now()
	bounded, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	row, err := k.config.Ledger.Get(bounded, tableTerm, string(service), keyOnly)
	if err != nil {
		return false
	}
	took := k.config.Clock.Now().Sub(began)
	if row.Version != heard.Version {
		k.config.Board.take([]glade.PartRow{row})
		return false
	}
	return beyond >= time.Duration(slowFactor+rank)*took-quickCall
}

// quickCall is what four calls to a sound store take, with some reserve.
const quickCall = 100 * time.Millisecond

func (k *Keep) claim(ctx context.Context, service glade.Service, old Term, version int64, idle time.Duration) {
	term := Term{Node: k.config.Self, Address: k.config.Address, Epoch: old.Epoch + 1}
	sent := k.config.Clock.Now()
	bounded, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	row := glade.PartRow{Table: tableTerm, Part: string(service), Key: keyOnly, Value: encode(term)}
	check := row
	check.Version = version
	next, rows, result := k.config.Ledger.Commit(bounded, glade.PartTxn{
		Checks: []glade.PartRow{check}, Puts: []glade.PartRow{row},
	})
	k.config.Log.Info("claim", "service", service, "epoch", term.Epoch, "over", old.Node, "idle", idle.Milliseconds(),
		"version", version, "result", result.String())
	switch result {
	case glade.Committed:
	case glade.Conflicted:
		k.config.Board.take(rows)
		return
	case glade.Uncertain:
		found, err := k.config.Ledger.Get(bounded, tableTerm, string(service), keyOnly)
		if err != nil || string(found.Value) != string(row.Value) {
			return
		}
		next = found.Version
	default:
		return
	}
	k.config.Board.Note(service, term, next)
	k.install(ctx, service, term, next, sent)
}

func (k *Keep) install(ctx context.Context, service glade.Service, term Term, version int64, sent time.Time) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.ending {
		return
	}
	k.wait.Add(1)
	t := &tenure{keep: k, service: service, term: term, version: version, renewed: sent, beaten: sent, clock: k.config.Clock, kick: make(chan struct{}, 1)}
	if service == fleetDuty {
		k.fleet = newFleet(k, t)
		ctx, k.fleet.stop = context.WithCancel(ctx)
		go k.fleet.run(ctx)
		return
	}
	seat := newSeat(k, t)
	ctx, seat.stop = context.WithCancel(ctx)
	k.seats[service] = seat
	go seat.run(ctx)
}

// remove forgets a seat that was lost or given up.
func (k *Keep) remove(service glade.Service) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if service == fleetDuty {
		k.fleet = nil
	} else {
		delete(k.seats, service)
	}
	k.wait.Done()
}

// schedConfig returns the settings of a service's decisions.
func (k *Keep) schedConfig(service glade.Service, epoch int64) sched.Config {
	return sched.Config{
		Service: service, Epoch: epoch, Lease: leaseTime, Reach: reachTime, HoldMax: k.config.Bounds.HoldMax, Restore: k.config.Bounds.Restore,
		Keep: k.config.Bounds.Keep * 3 / 2, Look: lookTime,
	}
}
