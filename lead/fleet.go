package lead

import (
	"context"
	"encoding/json"
	"slices"
	"sync"
	"time"

	glade "indigoglade"
	"indigoglade/fence"
	"indigoglade/moves"
)

// fleetService is a pseudo-service whose leader maintains hosts and moves them
// between pools. Names of the platform's services have no slash, so the names
// can't collide.
const fleetService glade.Service = "fleet/"

// FleetLeader is the leader of the fleet pseudo-service: it plans the
// maintenance and the moves of hosts and carries them out.
type FleetLeader struct {
	*leadership
	mu       sync.Mutex
	planner  *moves.Planner
	waveRows map[int64]WaveRow
	cancel   context.CancelFunc
	quit     chan struct{} // closed by stepDown
	inFlight sync.WaitGroup
	// savedRows holds the encoded form of each row as it was last handed to a writer.
	savedRows map[int64]string
	// reported is the newest state of each wave that the operator has received.
	reported map[int64]waveState
	// inventoryAt is when the inventory was last read.
	inventoryAt time.Time
	// writeDone is closed when the write in flight has ended, and nil when there is
	// none. writeErr is why leadership was lost.
	writeDone chan struct{}
	writeErr  error
	// lastConfirmed is when the newest write that confirmed the leadership was sent.
	// It is the copy of confirmedAt that mu guards.
	lastConfirmed time.Time
	// pending holds maintenance actions whose wave row is not written yet.
	pending []moves.Action
	// gate tells which hosts may be ordered; it is nil where hosts check fencing tokens.
	gate *fence.Gate
	// savedLives holds the runners of hosts as they were last handed to a writer, at livesAt.
	savedLives map[glade.Host]glade.RunnerID
	livesAt    time.Time
	// savedOrders is the number of orders in the row that was last handed to a writer.
	savedOrders int
	// steppingDown is set when no new actions may start.
	steppingDown bool
}

func newFleetLeader(m *Manager, l *leadership) *FleetLeader {
	f := &FleetLeader{
		leadership: l, quit: make(chan struct{}), lastConfirmed: l.confirmedAt,
		waveRows: make(map[int64]WaveRow), savedRows: make(map[int64]string), reported: make(map[int64]waveState),
		planner: moves.New(moves.Config{MoveDowntime: m.config.Limits.MoveDowntime, MaintenanceDowntime: m.config.Limits.MaintenanceDowntime}),
	}
	if !m.config.Limits.HostsCheckFences {
		f.gate = fence.New(fence.Config{Lease: m.config.Limits.HostLease})
	}
	return f
}

// Intervals and timeouts of the fleet leader.
const (
	fleetStepPeriod  = 200 * time.Millisecond // short against a demand burst, which lasts some seconds
	inventoryPeriod  = 900 * time.Millisecond // a host is moved or maintained for longer than this
	inventoryTimeout = 1500 * time.Millisecond
	loadTimeout      = 250 * time.Millisecond
	// moveGrace is how long after the last write that confirmed its leadership the
	// leader still moves hosts. Most store outages are shorter. The time is bounded
	// because another host may lead as well meanwhile.
	moveGrace = 6 * time.Second
)

// run leads until the term is lost or released, or ctx ends.
func (f *FleetLeader) run(ctx context.Context) {
	defer f.manager.remove(f.service)
	defer f.cancel()
	monitor := &handoverMonitor{leadership: f.leadership, giveUp: f.loseLeadership}
	go monitor.run(ctx)
	if err := f.loadRows(ctx); err != nil {
		f.manager.config.Log.Error(err, "leadership not taken: the rows could not be read", "service", f.service)
		return
	}
	f.manager.config.Log.Info("leadership taken", "service", f.service, "epoch", f.term.Epoch)
	for {
		timer := time.NewTimer(fleetStepPeriod)
		select {
		case <-ctx.Done():
			timer.Stop()
			return
		case <-f.quit:
			timer.Stop()
			f.release(ctx)
			return
		case <-timer.C:
		}
		if err := f.step(ctx); err != nil {
			f.loseLeadership(err.Error())
			return
		}
	}
}

// loseLeadership stops this leader because another host leads.
func (f *FleetLeader) loseLeadership(reason string) {
	f.logLost(reason)
	f.cancel()
}

// stepDown starts no more actions, lets run release the term, and waits for the
// actions in flight.
func (f *FleetLeader) stepDown() {
	f.mu.Lock()
	f.steppingDown = true
	f.mu.Unlock()
	close(f.quit)
	f.inFlight.Wait()
}

// release releases the term once the write in flight has ended. If that write
// does not end in time, the term is left to expire.
func (f *FleetLeader) release(ctx context.Context) {
	f.mu.Lock()
	done := f.writeDone
	f.mu.Unlock()
	if f.gate != nil {
		f.inFlight.Wait() // the next leader must not meet orders under way
	}
	if done != nil {
		select {
		case <-done:
		case <-ctx.Done():
			return
		case <-time.After(storeTimeout):
			return
		}
	}
	f.leadership.release(ctx)
}

// loadRows reads the progress of the waves, and the hosts that an earlier leader may
// have ordered. It retries until the store answers.
func (f *FleetLeader) loadRows(ctx context.Context) error {
	for {
		rows, _, err := f.manager.config.PartitionedTable.List(ctx, tableWave, string(f.service))
		if err == nil {
			err = f.loadOrdered(ctx)
		}
		if err == nil {
			err = f.loadLives(ctx)
		}
		if err == nil {
			parts := make(map[wavePart]WaveRow)
			for _, row := range rows {
				var progress WaveRow
				p, err := parseWavePart(row.Key)
				if err != nil || json.Unmarshal(row.Value, &progress) != nil {
					f.manager.config.Log.Info("wave row ignored: its key is not a number or its value is not valid JSON", "key", row.Key)
					continue
				}
				parts[p] = progress
			}
			for number, progress := range mergeWaves(parts) {
				f.waveRows[number] = progress
				f.savedRows[number] = string(encodeRow(progress))
			}
			return nil
		}
		if err := f.clock.Sleep(ctx, storeRetryPause); err != nil {
			return err
		}
	}
}

// step runs one round of planning and starts its actions. An error means that
// another host leads or that ctx has ended.
func (f *FleetLeader) step(ctx context.Context) error {
	now := f.clock.Now()
	f.manager.mu.Lock()
	rules := f.manager.rules
	waves := f.manager.waves
	f.manager.mu.Unlock()
	f.refreshInventory(ctx, now)
	loads, err := f.fetchLoads(ctx, rules)
	if err != nil {
		return err
	}
	f.mu.Lock()
	now = f.clock.Now()
	f.planner.SetSparePools(rules)
	for _, wave := range waves {
		f.addWave(wave, now)
	}
	for service, load := range loads {
		f.planner.SetLoad(service, load, now)
	}
	var actions []moves.Action
	if !f.inventoryAt.IsZero() {
		actions = append(f.planner.Step(now), f.planner.UnansweredActions(now)...)
	}
	finished := f.planner.FinishedWaves()
	events := f.planner.Events()
	f.mu.Unlock()
	for _, e := range events {
		f.manager.config.Log.Info(e.Name, append(e.Pairs, "epoch", f.term.Epoch)...)
	}
	f.reportWaves(ctx, finished)
	return f.dispatchAll(ctx, actions)
}

// dispatchAll carries out actions. Maintenance waits until the row of its wave,
// which lists the host, is written. Moves need no row where hosts check the fencing
// token and refuse a former leader, so they go on for moveGrace while the store is
// unreachable. Where hosts don't, every action waits for the row of the gate.
func (f *FleetLeader) dispatchAll(ctx context.Context, actions []moves.Action) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := f.clock.Now()
	for _, action := range actions {
		switch {
		case f.gate != nil && f.gate.Remaining(action.Host, f.clock.Uptime()) > 0:
			// The planner sends it again later.
		case action.Kind == moves.KindMaintain || f.gate != nil:
			if !slices.Contains(f.pending, action) {
				f.pending = append(f.pending, action)
			}
		case now.Sub(f.lastConfirmed) < moveGrace:
			f.dispatch(ctx, action, 0)
		}
	}
	if f.writeErr != nil {
		return f.writeErr
	}
	if f.writeDone != nil {
		return nil
	}
	w := &waveWriter{fleet: f, puts: f.changedRows(), actions: f.pending, renew: now.Sub(f.heartbeatAt) >= heartbeatPeriod-fleetStepPeriod}
	f.pending = nil
	if w.renew { // with a write that is made anyway
		w.puts = append(w.puts, f.changedLives(now)...)
	}
	if f.gate != nil {
		w.record()
	}
	if len(w.puts) == 0 && !w.renew {
		for _, action := range w.actions {
			f.dispatch(ctx, action, 0)
		}
		return nil
	}
	f.writeDone = make(chan struct{})
	go w.run(ctx)
	return nil
}

// dispatch starts one action, which must be carried out before the uptime expiry
// unless that is 0. The caller must hold the lock.
func (f *FleetLeader) dispatch(ctx context.Context, action moves.Action, expiry time.Duration) {
	if f.steppingDown {
		return
	}
	f.inFlight.Add(1)
	c := &hostCall{fleet: f, action: action, permit: glade.Permit{Fence: f.term.Epoch, Expiry: expiry}}
	go c.run(ctx)
}

func (f *FleetLeader) refreshInventory(ctx context.Context, now time.Time) {
	if now.Sub(f.inventoryAt) < inventoryPeriod {
		return
	}
	bounded, cancel := context.WithTimeout(ctx, inventoryTimeout)
	defer cancel()
	hosts, err := f.manager.config.Inventory.Hosts(bounded)
	if err != nil {
		f.manager.config.Log.Info("host inventory could not be read", "error", err.Error())
		return
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.planner.SetHosts(hosts)
	f.inventoryAt = now
}

// hostCall is one call in flight to the inventory that moves or maintains a host.
type hostCall struct {
	fleet  *FleetLeader
	action moves.Action
	permit glade.Permit
}

func (c *hostCall) run(ctx context.Context) {
	f := c.fleet
	defer f.inFlight.Done()
	timeout := inventoryTimeout
	if c.permit.Expiry > 0 {
		timeout = min(timeout, c.permit.Expiry-f.clock.Uptime())
	}
	bounded, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	var refusal glade.HostRefusal
	var err error
	if c.action.Kind == moves.KindMaintain {
		refusal, err = f.manager.config.Inventory.Maintain(bounded, c.action.Host, c.action.Wave, c.permit)
	} else {
		refusal, err = f.manager.config.Inventory.Move(bounded, c.action.Host, c.action.Pool, c.permit)
	}
	f.mu.Lock()
	f.planner.HandleAnswer(c.action, refusal, err, f.clock.Now())
	f.mu.Unlock()
	if refusal == glade.HostFenced {
		f.cancel()
	}
}
