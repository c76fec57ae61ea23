package lead

import (
	"context"
	"encoding/json"
	"fmt"
	"slices"
	"sync"
	"time"

	glade "indigoglade"
	"indigoglade/moves"
)

// fleetService is a pseudo-service whose leader maintains hosts and moves them
// between pools. Names of the platform's services have no slash, so the names
// can't collide.
const fleetDuty glade.Service = "fleet/"

// Fleet is the leader of the fleet pseudo-service: it plans the maintenance and
// the moves of hosts and carries them out.
type Fleet struct {
	*tenure
	mu    sync.Mutex
	plan  *moves.Plan
	rows  map[int64]WaveRow
	stop  context.CancelFunc
	quit  chan struct{}
	ended sync.WaitGroup
	// savedRows holds the encoded form of each row as it was last handed to a writer.
	saved map[int64]string
	// reported is the newest state of each wave that the operator has received.
	told map[int64]waveState
	// inventoryAt is when the inventory was last read.
	listed time.Time
	// writeDone is closed when the write in flight has ended, and nil when there is
	// none. writeErr is why leadership was lost.
	writing chan struct{}
	failed  error
	// lastConfirmed is when the newest write that confirmed the leadership was sent.
	// It is the copy of confirmedAt that mu guards.
	proved time.Time
	// pending holds maintenance actions whose wave row is not written yet.
	held []moves.Order
	// steppingDown is set when no new actions may start.
	leaving bool
}

func newFleet(k *Keep, t *tenure) *Fleet {
	return &Fleet{
		tenure: t, quit: make(chan struct{}), proved: t.renewed,
		rows: make(map[int64]WaveRow), saved: make(map[int64]string), told: make(map[int64]waveState),
		plan: moves.New(moves.Config{MoveTime: k.config.Bounds.MoveTime, MaintainTime: k.config.Bounds.MaintainTime}),
	}
}

// Intervals and timeouts of the fleet leader.
const (
	fleetPeriod = 200 * time.Millisecond // short against a demand burst, which lasts some seconds
	listPeriod  = 900 * time.Millisecond // a host is moved or maintained for longer than this
	cloudTime   = 1500 * time.Millisecond
	loadTime    = 250 * time.Millisecond
	// moveGrace is how long after the last write that confirmed its leadership the
	// leader still moves hosts. Most store outages are shorter. The time is bounded
	// because another host may lead as well meanwhile.
	moveReach = 6 * time.Second
)

// run leads until the term is lost or released, or ctx ends.
func (f *Fleet) run(ctx context.Context) {
	defer f.keep.remove(f.service)
	defer f.stop()
	if err := f.load(ctx); err != nil {
		f.keep.config.Log.Error(err, "leadership not taken: the rows could not be read", "service", f.service)
		return
	}
	f.keep.config.Log.Info("leadership taken", "service", f.service, "epoch", f.term.Epoch)
	for {
		timer := time.NewTimer(fleetPeriod)
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
			f.keep.config.Log.Info("leadership lost", "service", f.service, "epoch", f.term.Epoch, "why", err.Error())
			return
		}
	}
}

// stepDown starts no more actions, lets run release the term, and waits for the
// actions in flight.
func (f *Fleet) giveUp() {
	f.mu.Lock()
	f.leaving = true
	f.mu.Unlock()
	close(f.quit)
	f.ended.Wait()
}

// release releases the term once the write in flight has ended. If that write
// does not end in time, the term is left to expire.
func (f *Fleet) release(ctx context.Context) {
	f.mu.Lock()
	writing := f.writing
	f.mu.Unlock()
	if writing != nil {
		select {
		case <-writing:
		case <-ctx.Done():
			return
		case <-time.After(storeTimeout):
			return
		}
	}
	f.term.Node, f.term.Address = "", ""
	result, err := f.commit(ctx, nil, nil, true)
	f.keep.config.Log.Info("leadership released", "service", f.service, "epoch", f.term.Epoch, "result", result.String(), "lost", err != nil)
}

// loadWaves reads the progress of the waves, and retries until the store answers.
func (f *Fleet) load(ctx context.Context) error {
	for {
		rows, _, err := f.keep.config.Ledger.List(ctx, tableWave, string(f.service))
		if err == nil {
			for _, row := range rows {
				var progress WaveRow
				var number int64
				if _, err := fmt.Sscan(row.Key, &number); err != nil || json.Unmarshal(row.Value, &progress) != nil {
					f.keep.config.Log.Info("wave row is not valid", "key", row.Key)
					continue
				}
				f.rows[number] = progress
				f.saved[number] = string(encode(progress))
			}
			return nil
		}
		if err := f.clock.Sleep(ctx, storePause); err != nil {
			return err
		}
	}
}

// step runs one round of planning and starts its actions. An error means that
// another host leads or that ctx has ended.
func (f *Fleet) step(ctx context.Context) error {
	now := f.clock.Now()
	f.keep.mu.Lock()
	rules := f.keep.rules
	waves := f.keep.waves
	f.keep.mu.Unlock()
	f.readHosts(ctx, now)
	loads := f.readLoads(ctx, rules)
	f.mu.Lock()
	now = f.clock.Now()
	f.plan.SetPools(rules)
	for _, wave := range waves {
		f.takeWave(wave, now)
	}
	for service, load := range loads {
		f.plan.SetLoad(service, load, now)
	}
	var orders []moves.Order
	if !f.listed.IsZero() {
		orders = append(f.plan.Step(now), f.plan.Repeat(now)...)
	}
	finished := f.plan.Finished()
	events := f.plan.Events()
	f.mu.Unlock()
	for _, e := range events {
		f.keep.config.Log.Info(e.Name, append(e.Pairs, "epoch", f.term.Epoch)...)
	}
	f.tell(ctx, finished)
	return f.giveAll(ctx, orders)
}

// dispatchAll carries out actions. Maintenance waits until the row of its wave,
// which lists the host, is written. Moves need no row, so they go on for moveGrace
// while the store is unreachable: hosts check the fencing token and refuse a former
// leader.
func (f *Fleet) giveAll(ctx context.Context, orders []moves.Order) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := f.clock.Now()
	for _, order := range orders {
		switch {
		case order.Kind == moves.KindMaintain:
			if !slices.Contains(f.held, order) {
				f.held = append(f.held, order)
			}
		case now.Sub(f.proved) < moveReach:
			f.give(ctx, order)
		}
	}
	if f.failed != nil {
		return f.failed
	}
	if f.writing != nil {
		return nil
	}
	puts := f.changedRows()
	w := &fleetWriter{fleet: f, puts: puts, orders: f.held, renew: now.Sub(f.beaten) >= renewPeriod-fleetPeriod}
	f.held = nil
	if len(puts) == 0 && !w.renew {
		for _, order := range w.orders {
			f.give(ctx, order)
		}
		return nil
	}
	f.writing = make(chan struct{})
	go w.run(ctx)
	return nil
}

// dispatch starts one action. The caller must hold the lock.
func (f *Fleet) give(ctx context.Context, order moves.Order) {
	if f.leaving {
		return
	}
	f.ended.Add(1)
	o := &fleetOrder{fleet: f, order: order}
	go o.run(ctx)
}

func (f *Fleet) readHosts(ctx context.Context, now time.Time) {
	if now.Sub(f.listed) < listPeriod {
		return
	}
	bounded, cancel := context.WithTimeout(ctx, cloudTime)
	defer cancel()
	hosts, err := f.keep.config.Inventory.Hosts(bounded)
	if err != nil {
		f.keep.config.Log.Info("host inventory could not be read", "error", err.Error())
		return
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.plan.SetHosts(hosts)
	f.listed = now
}

// hostCall is one call in flight to the inventory that moves or maintains a host.
type fleetOrder struct {
	fleet *Fleet
	order moves.Order
}

func (o *fleetOrder) run(ctx context.Context) {
	f := o.fleet
	defer f.ended.Done()
	bounded, cancel := context.WithTimeout(ctx, cloudTime)
	defer cancel()
	var refused glade.HostRefusal
	var err error
	if o.order.Kind == moves.KindMaintain {
		refused, err = f.keep.config.Inventory.Maintain(bounded, o.order.Host, o.order.Wave, f.term.Epoch)
	} else {
		refused, err = f.keep.config.Inventory.Move(bounded, o.order.Host, o.order.Pool, f.term.Epoch)
	}
	f.mu.Lock()
	f.plan.Ordered(o.order, refused, err, f.clock.Now())
	f.mu.Unlock()
	if refused == glade.HostFenced {
		f.stop()
	}
}
