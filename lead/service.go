package lead

import (
	"context"
	"encoding/json"
	"sync"
	"time"

	"github.com/pkg/errors"

	glade "indigoglade"
	"indigoglade/sched"
)

// Seat is the leader of one service: it runs the service's scheduler, stores its
// state and carries out its decisions.
type Seat struct {
	*tenure
	mu     sync.Mutex
	sched  *sched.Sched // nil until the rows are read
	list   []glade.RunnerInfo
	tried  chan struct{} // closed and replaced after each attempt to write
	dirty  chan struct{} // wakes the writer
	orders chan struct{} // semaphore that bounds the calls in flight
	asking sync.Mutex    // the advice service takes one call at a time
	stop   context.CancelFunc
	quit   chan struct{} // closed when this host steps down on its own
	ended  sync.WaitGroup
	// failingSince is when the store stopped taking writes, zero while it takes them.
	broken time.Time
}

// maxCalls bounds the calls in flight to runners and to the advice service.
const maxOrders = 192

func newSeat(k *Keep, t *tenure) *Seat {
	return &Seat{
		tenure: t, tried: make(chan struct{}), dirty: make(chan struct{}, 1), list: k.list[t.service],
		orders: make(chan struct{}, maxOrders), quit: make(chan struct{}),
	}
}

// run leads until the term is lost or released, or ctx ends.
func (s *Seat) run(ctx context.Context) {
	defer s.keep.remove(s.service)
	defer s.ended.Wait()
	defer s.stop()
	began := s.clock.Now()
	if err := s.load(ctx); err != nil {
		s.keep.config.Log.Error(err, "leadership not taken: the rows could not be read", "service", s.service)
		return
	}
	s.keep.config.Log.Info("leadership taken", "service", s.service, "epoch", s.term.Epoch,
		"took", s.clock.Now().Sub(began).Milliseconds())
	s.ended.Add(1)
	w := &writer{seat: s}
	go w.run(ctx)
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-s.quit:
			return
		case <-s.kick:
		case <-timer.C:
		}
		next := s.step(ctx)
		timer.Reset(max(next.Sub(s.clock.Now()), minStep))
	}
}

// minStepPause is the shortest pause before a scheduling step that no event has
// triggered.
const minStep = 5 * time.Millisecond

// loadState reads the rows of the service and builds its scheduler. It retries until
// the rows are read, and fails only when leadership is lost or ctx ends.
func (s *Seat) load(ctx context.Context) error {
	for {
		err := s.tryLoad(ctx)
		if err == nil || errors.Is(err, errDeposed) || ctx.Err() != nil {
			return err
		}
		s.keep.config.Log.Info("service rows could not be read", "service", s.service, "error", err.Error())
		if err := s.clock.Sleep(ctx, storePause); err != nil {
			return err
		}
	}
}

func (s *Seat) tryLoad(ctx context.Context) error {
	if s.clock.Now().Sub(s.beaten) > renewPeriod {
		if err := s.settle(ctx); err != nil {
			return err
		}
	}
	part := string(s.service)
	works, _, err := s.keep.config.Ledger.List(ctx, tableWork, part)
	if err != nil {
		return err
	}
	marks, _, err := s.keep.config.Ledger.List(ctx, tableMark, part)
	if err != nil {
		return err
	}
	crew, err := s.keep.config.Ledger.Get(ctx, tableCrew, part, keyOnly)
	if err != nil {
		return err
	}
	now := s.clock.Now()
	built := sched.New(s.keep.schedConfig(s.service, s.term.Epoch), now)
	if err := loadRows(built, works, marks, now); err != nil {
		s.keep.config.Log.Error(err, "a batch row was skipped: it is not valid", "service", s.service)
	}
	var ids []glade.RunnerID
	if crew.Version > 0 {
		if err := json.Unmarshal(crew.Value, &ids); err != nil {
			return errors.Wrap(err, "decode the list of runners in use")
		}
	}
	built.LoadCrew(ids)
	built.Renewed(s.renewed)
	s.keep.mu.Lock()
	rules := s.keep.rules
	list := s.keep.list[s.service]
	s.keep.mu.Unlock()
	built.SetRules(rules)
	built.SetRunners(list, now)
	s.mu.Lock()
	s.sched = built
	s.mu.Unlock()
	s.keep.config.Log.Info("service rows read", "service", s.service, "batches", len(works), "marks", len(marks), "crew", len(ids))
	return nil
}

// loadBatches passes the rows to the scheduler. An invalid row does not stop it; the
// error is that of the last one.
func loadRows(built *sched.Sched, works, marks []glade.PartRow, now time.Time) error {
	var failed error
	byKey := make(map[string]*sched.MarkRow, len(marks))
	for _, row := range marks {
		var mark sched.MarkRow
		if err := json.Unmarshal(row.Value, &mark); err != nil {
			failed = errors.Wrapf(err, "decode the progress row of batch %s", row.Key)
			continue
		}
		byKey[row.Key] = &mark
	}
	for _, row := range works {
		var work sched.WorkRow
		if err := json.Unmarshal(row.Value, &work); err != nil {
			failed = errors.Wrapf(err, "decode the row of batch %s", row.Key)
			continue
		}
		if err := built.Load(glade.BatchID(row.Key), &work, byKey[row.Key], now); err != nil {
			failed = err
		}
		delete(byKey, row.Key)
	}
	for key, mark := range byKey {
		if err := built.Load(glade.BatchID(key), nil, mark, now); err != nil {
			failed = err
		}
	}
	return failed
}

func (s *Seat) setRules(rules glade.Rules) {
	s.with(func(built *sched.Sched) { built.SetRules(rules) })
}

func (s *Seat) setRunners(list []glade.RunnerInfo) {
	now := s.clock.Now()
	s.with(func(built *sched.Sched) { built.SetRunners(list, now) })
}

// withSched calls do with the scheduler under the lock, and then wakes the step loop
// and, if needed, the writer. It returns false if the rows are not loaded yet.
func (s *Seat) with(do func(built *sched.Sched)) bool {
	s.mu.Lock()
	if s.sched == nil {
		s.mu.Unlock()
		return false
	}
	do(s.sched)
	writes := s.sched.HasWrites()
	s.mu.Unlock()
	wake(s.kick)
	if writes {
		wake(s.dirty)
	}
	return true
}

// wake sends a signal unless one is already waiting.
func wake(ch chan struct{}) {
	select {
	case ch <- struct{}{}:
	default:
	}
}

// step runs one scheduling step and starts the calls that it asks for. It returns
// the time at which the next step is due at the latest.
func (s *Seat) step(ctx context.Context) time.Time {
	s.mu.Lock()
	orders := s.sched.Step(s.clock.Now())
	for _, o := range orders.Starts {
		s.give(ctx, &order{seat: s, kind: orderStart, start: o, runAt: o.Order(s.sched), to: o.To()})
	}
	for _, o := range orders.Stops {
		s.give(ctx, &order{seat: s, kind: orderStop, stop: o, to: o.To()})
	}
	for _, o := range orders.Paces {
		s.give(ctx, &order{seat: s, kind: orderPace, pace: o, to: o.To()})
	}
	for _, o := range orders.Holds {
		s.give(ctx, &order{seat: s, kind: orderHold, hold: o, to: o.To})
	}
	for _, o := range orders.Asks {
		s.give(ctx, &order{seat: s, kind: orderAsk, ask: o})
	}
	events := s.sched.Events()
	writes := s.sched.HasWrites() || s.sched.NeedsProof()
	s.mu.Unlock()
	for _, e := range events {
		s.keep.config.Log.Info(e.Name, append(e.Pairs, "service", s.service, "epoch", s.term.Epoch)...)
	}
	if writes {
		wake(s.dirty)
	}
	return orders.Next
}

func (s *Seat) give(ctx context.Context, o *order) { go o.run(ctx) }

// lose stops this leader because another host leads.
func (s *Seat) lose(why string) {
	s.keep.config.Log.Info("leadership lost", "service", s.service, "epoch", s.term.Epoch, "why", why)
	s.stop()
}

// Intervals of the writer.
const (
	// writePause is the pause between two writes, so that one write carries the ends
	// of several runs.
	writePause = 18 * time.Millisecond
	// cleanupPeriod is the time between two checks for rows that can be deleted.
	sweepPeriod = 10 * time.Second
)

// writer writes the rows of a service, one transaction after another, and renews
// the term.
type writer struct{ seat *Seat }

func (w *writer) run(ctx context.Context) {
	s := w.seat
	defer s.ended.Done()
	timer := time.NewTimer(renewPeriod)
	defer timer.Stop()
	swept := s.clock.Now()
	for {
		select {
		case <-ctx.Done():
			return
		case <-s.quit:
			s.release(ctx)
			return
		case <-s.dirty:
		case <-timer.C:
		}
		if err := s.write(ctx); err != nil {
			s.lose(err.Error())
			return
		}
		if s.clock.Now().Sub(swept) > sweepPeriod {
			swept = s.clock.Now()
			if err := s.sweep(ctx); err != nil {
				s.lose(err.Error())
				return
			}
		}
		if s.clock.Sleep(ctx, writePause) != nil {
			return
		}
		timer.Reset(max(renewPeriod-s.clock.Now().Sub(s.beaten), writePause))
	}
}

// write writes the changes that are queued and renews the term when that is due.
// If the outcome of the transaction is uncertain, it fences the transaction off
// and repeats the write until the outcome is known.
func (s *Seat) write(ctx context.Context) error {
	s.mu.Lock()
	var w sched.Write
	has := s.sched.HasWrites()
	if has {
		w = s.sched.TakeWrite()
	}
	proof := s.sched.NeedsProof()
	s.mu.Unlock()
	due := proof || s.clock.Now().Sub(s.beaten) >= renewPeriod-writePause
	if !has && !due {
		return nil
	}
	puts := s.rows(w)
	result, err := s.commit(ctx, puts, nil, due)
	for err == nil && result == glade.Uncertain {
		s.noteBroken()
		if err = s.settle(ctx); err == nil {
			result, err = s.commit(ctx, puts, nil, false)
		}
	}
	if err != nil {
		return err
	}
	if result != glade.Committed {
		s.noteBroken()
	}
	s.finishWrite(w, has, result == glade.Committed)
	if result != glade.Committed {
		wake(s.dirty)
		return s.clock.Sleep(ctx, storePause)
	}
	return nil
}

// markStoreFailing records the start of an outage of the store, if none is recorded.
func (s *Seat) noteBroken() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.broken.IsZero() {
		s.broken = s.clock.Now()
		s.keep.config.Log.Info("store does not take writes", "service", s.service, "epoch", s.term.Epoch)
	}
}

// finishWrite passes the outcome of a write to the scheduler, and wakes those who
// wait for it.
func (s *Seat) finishWrite(w sched.Write, has, ok bool) {
	s.mu.Lock()
	if has {
		s.sched.Wrote(w, ok, s.clock.Now())
	}
	if ok {
		s.sched.Renewed(s.renewed)
		if !s.broken.IsZero() {
			s.keep.config.Log.Info("store takes writes again", "service", s.service, "lost", s.clock.Now().Sub(s.broken).Milliseconds())
			s.broken = time.Time{}
		}
	}
	close(s.tried)
	s.tried = make(chan struct{})
	more := s.sched.HasWrites()
	s.mu.Unlock()
	wake(s.kick)
	if more {
		wake(s.dirty)
	}
}

func (s *Seat) rows(w sched.Write) []glade.PartRow {
	part := string(s.service)
	var puts []glade.PartRow
	for id, row := range w.Work {
		puts = append(puts, glade.PartRow{Table: tableWork, Part: part, Key: string(id), Value: encode(row)})
	}
	for id, row := range w.Marks {
		puts = append(puts, glade.PartRow{Table: tableMark, Part: part, Key: string(id), Value: encode(row)})
	}
	if w.Crew != nil {
		puts = append(puts, glade.PartRow{Table: tableCrew, Part: part, Key: keyOnly, Value: encode(w.Crew)})
	}
	return puts
}

// deleteExpired deletes the rows of batches that ended longer ago than their state
// must stay available.
func (s *Seat) sweep(ctx context.Context) error {
	s.mu.Lock()
	ids := s.sched.Sweep(s.clock.Now())
	s.mu.Unlock()
	if len(ids) == 0 {
		return nil
	}
	var rows []glade.PartRow
	for _, id := range ids {
		for _, table := range []string{tableWork, tableMark} {
			rows = append(rows, glade.PartRow{Table: table, Part: string(s.service), Key: string(id)})
		}
	}
	result, err := s.commit(ctx, nil, rows, false)
	if result == glade.Uncertain {
		return s.settle(ctx) // rows that remain are deleted by the next leader
	}
	return err
}

// stepDown makes this host release the service, and returns when the writer has
// stopped.
func (s *Seat) giveUp() {
	close(s.quit)
	s.ended.Wait()
}

// maxFinalWrites bounds the transactions that are written before the term is
// released.
const lastWrites = 5

// release writes the changes that are queued and releases the term, so that another
// host can lead without waiting for heartbeatTimeout.
func (s *Seat) release(ctx context.Context) {
	for range lastWrites {
		s.mu.Lock()
		more := s.sched.HasWrites()
		s.mu.Unlock()
		if !more {
			break
		}
		if err := s.write(ctx); err != nil {
			s.lose(err.Error())
			return
		}
	}
	s.term.Node, s.term.Address = "", ""
	result, err := s.commit(ctx, nil, nil, true)
	s.keep.config.Log.Info("leadership released", "service", s.service, "epoch", s.term.Epoch, "result", result.String(), "lost", err != nil)
}
