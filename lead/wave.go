package lead

import (
	"context"
	"fmt"
	"time"

	glade "indigoglade"
	"indigoglade/moves"
)

// tableWave holds the progress of waves, in the partition of the fleet duty.
const tableWave = "wave"

// WaveRow is the progress of a wave.
type WaveRow struct {
	// Since is when the wave was first seen, in milliseconds since 1970.
	Since int64 `json:"since"`
	// Begun lists hosts whose maintenance has begun, Ordered those for which an
	// order may be under way.
	Begun   []glade.Host `json:"begun,omitempty"`
	Ordered []glade.Host `json:"ordered,omitempty"`
	// Done waves were told to be completed.
	Done bool `json:"done,omitempty"`
}

// waveState is a state of a wave that the operator is told.
type waveState int

const (
	waveUntold waveState = iota
	waveRunning
	waveDone
)

func (f *Fleet) takeWave(wave glade.WaveOrder, now time.Time) {
	row, ok := f.rows[wave.Wave]
	if row.Done {
		return
	}
	if !ok {
		row = WaveRow{Since: now.UnixMilli()}
		f.rows[wave.Wave] = row
	}
	since := now.Add(-time.Duration(max(now.UnixMilli()-row.Since, 0)) * time.Millisecond)
	f.plan.SetWave(wave, row.Begun, row.Ordered, since, now)
}

// changedRows returns the progress of waves that is not written yet. The caller
// holds the lock.
func (f *Fleet) changedRows() []glade.PartRow {
	var puts []glade.PartRow
	for number, row := range f.rows {
		if row.Done {
			continue
		}
		next := WaveRow{Since: row.Since, Done: f.told[number] == waveDone}
		next.Begun, next.Ordered = f.plan.Progress(number)
		if string(encode(next)) == f.saved[number] {
			continue
		}
		f.rows[number] = next
		f.saved[number] = string(encode(next))
		puts = append(puts, glade.PartRow{
			Table: tableWave, Part: string(f.service), Key: fmt.Sprint(number), Value: encode(next),
		})
	}
	return puts
}

// fleetWriter writes the progress of waves and renews the term, and then gives
// the orders that the rows name.
type fleetWriter struct {
	fleet  *Fleet
	puts   []glade.PartRow
	orders []moves.Order
	renew  bool
}

func (w *fleetWriter) run(ctx context.Context) {
	f := w.fleet
	err := w.write(ctx)
	f.mu.Lock()
	defer f.mu.Unlock()
	// Closed last: release goes on with the term after it.
	defer close(f.writing)
	f.writing, f.failed = nil, err
	if err != nil {
		return
	}
	f.proved = f.renewed
	for _, order := range w.orders {
		f.give(ctx, order)
	}
}

// write tries until the rows are written. The error tells that another host
// leads, or that ctx has ended.
func (w *fleetWriter) write(ctx context.Context) error {
	f := w.fleet
	for {
		result, err := f.commit(ctx, w.puts, nil, w.renew)
		if err != nil || result == glade.Committed {
			return err
		}
		if result == glade.Uncertain {
			if err := f.settle(ctx); err != nil {
				return err
			}
			w.renew = false
		} else if err := f.clock.Sleep(ctx, storePause); err != nil {
			return err
		}
	}
}

// tell tells the operator of waves that have begun or ended. A wave's row says
// that it is done only after that, so that a next lead tells it again.
func (f *Fleet) tell(ctx context.Context, finished []int64) {
	f.mu.Lock()
	news := make(map[int64]waveState)
	away := f.writing != nil
	for number, row := range f.rows {
		if !row.Done && f.told[number] == waveUntold {
			news[number] = waveRunning
		}
	}
	f.mu.Unlock()
	if away {
		return // the store has not answered yet: moves must not wait for it
	}
	for _, number := range finished {
		news[number] = waveDone
	}
	for number, state := range news {
		f.report(ctx, number, state)
	}
}

func (f *Fleet) report(ctx context.Context, number int64, state waveState) {
	bounded, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	if err := f.keep.config.Inventory.Report(bounded, number, state == waveDone); err != nil {
		f.keep.config.Log.Info("wave not reported", "wave", number, "done", state == waveDone, "error", err.Error())
		return
	}
	f.keep.config.Log.Info("wave reported", "wave", number, "done", state == waveDone, "epoch", f.term.Epoch)
	f.mu.Lock()
	defer f.mu.Unlock()
	f.told[number] = state
	if state == waveDone {
		f.plan.SetDone(number)
	}
}
