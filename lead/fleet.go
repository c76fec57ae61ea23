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

// fleetDuty is the duty of maintaining and moving hosts. It is led like a
// service; no service has this name, as the platform's have no slash.
const fleetDuty glade.Service = "fleet/"

// Fleet is the lead of the fleet duty.
type Fleet struct {
	*tenure
	mu    sync.Mutex
	plan  *moves.Plan
	rows  map[int64]WaveRow
	stop  context.CancelFunc
	quit  chan struct{}
	ended sync.WaitGroup
	// saved is each row as it is written.
	saved map[int64]string
	// told is what the operator was told of each wave.
	told map[int64]waveState
	// listed is when the inventory was last read.
	listed time.Time
	// writing is closed when the write under way has ended; failed is why the
	// lead is lost.
	writing chan struct{}
	failed  error
	// proved is when the newest write was sent that proved the lead.
	proved time.Time
	// held are orders whose rows wait to be written.
	held []moves.Order
	// leaving means that the duty is being given up.
	leaving bool
}

func newFleet(k *Keep, t *tenure) *Fleet {
	return &Fleet{
		tenure: t, quit: make(chan struct{}), proved: t.renewed,
		rows: make(map[int64]WaveRow), saved: make(map[int64]string), told: make(map[int64]waveState),
		plan: moves.New(moves.Config{MoveTime: k.config.Bounds.MoveTime, MaintainTime: k.config.Bounds.MaintainTime}),
	}
}

// Times of the fleet duty.
const (
	fleetPeriod = 200 * time.Millisecond // a turn of demand lasts some seconds
	listPeriod  = 900 * time.Millisecond // hosts are away for longer than that
	cloudTime   = 1500 * time.Millisecond
	loadTime    = 250 * time.Millisecond
	// moveReach is how long after the last renewal hosts are moved: most outages
	// of the store are shorter, and all the while another host may lead too.
	moveReach = 6 * time.Second
)

// run leads the duty until the term is lost or given up, or ctx ends.
func (f *Fleet) run(ctx context.Context) {
	defer f.keep.remove(f.service)
	defer f.stop()
	if err := f.load(ctx); err != nil {
		f.keep.config.Log.Error(err, "lead not taken", "service", f.service)
		return
	}
	f.keep.config.Log.Info("lead taken", "service", f.service, "epoch", f.term.Epoch)
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
			f.keep.config.Log.Info("lead lost", "service", f.service, "epoch", f.term.Epoch, "why", err.Error())
			return
		}
	}
}

// giveUp begins no more orders and waits for those under way.
func (f *Fleet) giveUp() {
	f.mu.Lock()
	f.leaving = true
	f.mu.Unlock()
	close(f.quit)
	f.ended.Wait()
}

// release gives the duty up, after the write that is under way. When that does
// not end in time, the term is left to lapse.
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
	f.keep.config.Log.Info("lead given up", "service", f.service, "epoch", f.term.Epoch, "result", result.String(), "lost", err != nil)
}

// load reads the progress of the waves.
func (f *Fleet) load(ctx context.Context) error {
	for {
		rows, _, err := f.keep.config.Ledger.List(ctx, tableWave, string(f.service))
		if err == nil {
			for _, row := range rows {
				var progress WaveRow
				var number int64
				if _, err := fmt.Sscan(row.Key, &number); err != nil || json.Unmarshal(row.Value, &progress) != nil {
					f.keep.config.Log.Info("unreadable wave", "key", row.Key)
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

// step decides once. The error tells that another host leads.
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

// giveAll gives orders. Those of a wave wait until its row names them. Moves need
// no row, so that they go on for a time while the store is away: the fence of
// each host keeps a deposed lead out.
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

// give carries out an order. The caller holds the lock.
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
		f.keep.config.Log.Info("hosts not read", "error", err.Error())
		return
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.plan.SetHosts(hosts)
	f.listed = now
}

// fleetOrder is one order on a host under way.
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
