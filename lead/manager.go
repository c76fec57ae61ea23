package lead

import (
	"context"
	"sync"
	"time"

	"github.com/go-logr/logr"

	glade "indigoglade"
	"indigoglade/sched"
)

// Config configures a manager of leaders.
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

// Bounds holds the time limits that the platform guarantees or requires.
type Bounds struct {
	// HoldMax is the longest lease that a runner grants.
	HoldMax time.Duration
	// Restore is how long a task takes to resume from its checkpoint.
	Restore time.Duration
	// Keep is how long the state of an ended batch must stay available.
	Keep time.Duration
	// MoveTime and MaintainTime are how long a host is unavailable for a move and for
	// maintenance.
	MoveTime, MaintainTime time.Duration
}

// Keep claims services and holds their leaders in this process.
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

// New returns a manager that leads no service until Run is called.
func New(config Config) *Keep {
	k := &Keep{config: config, seats: make(map[glade.Service]*Seat)}
	k.gate = newGate(k)
	return k
}

// SetRules applies a version of the contract. Versions that are not newer than
// the present one are ignored.
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

// SetRunners replaces the list of the platform's runners.
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

// SetWaves replaces the list of requested maintenance waves.
func (k *Keep) SetWaves(waves []glade.WaveOrder) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.waves = waves
}

// localLeaders returns the service leaders of this process. The caller must hold
// the lock.
func (k *Keep) held() []*Seat {
	seats := make([]*Seat, 0, len(k.seats))
	for _, seat := range k.seats {
		seats = append(seats, seat)
	}
	return seats
}

// Gate returns the router to the leaders of all services.
func (k *Keep) Gate() *Gate { return k.gate }

// Seat returns the leader of a service, and false if this process does not lead
// the service.
func (k *Keep) Seat(service glade.Service) (*Seat, bool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	seat, ok := k.seats[service]
	return seat, ok
}

// Stats returns the scheduler's counters for each service that this process leads.
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

// Leads returns the number of services that this process leads, without the fleet
// pseudo-service.
func (k *Keep) Leads() int {
	k.mu.Lock()
	defer k.mu.Unlock()
	return len(k.seats)
}

// Intervals and timeouts of leader election and of leases.
const (
	// heartbeatPeriod is the time between two heartbeats of a leader.
	renewPeriod = 800 * time.Millisecond
	// heartbeatTimeout is how long a leader may show no heartbeat before it is
	// replaced: two lost heartbeats, and the time that a slow store takes for one.
	silence = 2 * time.Second
	// claimStagger is the extra wait per rank, so that two candidates do not claim a
	// service at the same time.
	turnTime = 120 * time.Millisecond
	// maxClaimRank caps the rank in the wait before a claim, because the preferred hosts
	// may all be down.
	maxTurns = 8
	// claimPeriod is the time between two checks for services without a leader.
	claimPeriod = 60 * time.Millisecond
	// firstClaimWait is the extra wait for a service that never had a leader, in which
	// the other hosts can start.
	newcomers = 500 * time.Millisecond
	// runLease is how long runs go on after the last hold that renewed their lease. A
	// new leader must take over before that ends.
	leaseTime = 4500 * time.Millisecond
	// maxLeaseReach bounds the end of leases, counted from the last confirmed renewal
	// of the leadership: a store outage up to this length costs no run.
	reachTime = 9 * time.Second
	// holdWait is how long a runner may delay its answer to a hold until a run ends.
	lookTime = time.Second
)

// Run claims services without a leader until ctx ends, and then waits until the
// leaders of this process have stopped.
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

// GiveUp releases every service, so that other hosts can lead them, and claims no
// more. It returns when the service leaders have written their last changes and the
// fleet leader has no action in flight.
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

// claimIfVacant claims a service without a live leader, once the wait that this
// host's rank demands is over.
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
		wait = 0 // the term of an earlier process of this host
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

// slowStoreFactor times the duration of a store call is added to the wait for a
// leader, so that a slow store is allowed for: a heartbeat takes two calls, and
// the check of the term row another.
const slowFactor = 4

// isLeaderGone reads the term row itself before a leader is replaced: the feed may
// lag, and a slow store delays the heartbeats of a healthy leader. excess is the
// time since the end of the usual wait. A slow store also lengthens the stagger
// between candidates; otherwise a low-capacity host whose read happens to finish
// first would lead.
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

// healthyCallsTime is the time of four calls to a healthy store, with some reserve.
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

// startLeader starts the leader of a service whose term this host has just
// committed with a write sent at the given time.
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

// remove drops the leader of a service when it has stopped.
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

// schedConfig returns the configuration of a service's scheduler.
func (k *Keep) schedConfig(service glade.Service, epoch int64) sched.Config {
	return sched.Config{
		Service: service, Epoch: epoch, Lease: leaseTime, Reach: reachTime, HoldMax: k.config.Bounds.HoldMax, Restore: k.config.Bounds.Restore,
		Keep: k.config.Bounds.Keep * 3 / 2, Look: lookTime,
	}
}
