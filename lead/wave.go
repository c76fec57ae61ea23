package lead

import (
	"context"
	"fmt"
	"time"

	glade "indigoglade"
	"indigoglade/moves"
)

// tableWave holds the progress of maintenance waves, in the partition of the fleet
// pseudo-service.
const tableWave = "wave"

// WaveRow is the row with the progress of a maintenance wave.
type WaveRow struct {
	// Since is when the wave was first seen, in milliseconds since 1970.
	Since int64 `json:"since"`
	// Begun lists the hosts whose maintenance has started, Ordered those for which a
	// maintenance call may be in flight.
	Begun   []glade.Host `json:"begun,omitempty"`
	Ordered []glade.Host `json:"ordered,omitempty"`
	// Done means that the operator has received the report that the wave is complete.
	Done bool `json:"done,omitempty"`
}

// waveState is the state of a wave that was last reported to the operator.
type waveState int

const (
	waveUntold waveState = iota
	waveRunning
	waveDone
)

// addWave passes a wave to the planner with the progress that is stored. Waves that
// are done are skipped.
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

// changedRows returns the rows of waves whose progress is not written yet, and
// counts them as written. The caller must hold the lock.
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

// waveWriter writes the progress of waves and renews the term, and then starts the
// actions on the hosts that the rows list.
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
	// Closed last, because release uses the term after this.
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

// write retries until the rows are written. An error means that another host leads
// or that ctx has ended.
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

// reportWaves reports the waves that have started or finished to the operator. A
// wave's row is marked as done only after its report was received, so that the next
// leader repeats a report that failed.
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
		return // a write is in flight: moves must not wait for a slow store
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
		f.keep.config.Log.Info("wave report to the operator failed", "wave", number, "done", state == waveDone, "error", err.Error())
		return
	}
	f.keep.config.Log.Info("wave reported to the operator", "wave", number, "done", state == waveDone, "epoch", f.term.Epoch)
	f.mu.Lock()
	defer f.mu.Unlock()
	f.told[number] = state
	if state == waveDone {
		f.plan.SetDone(number)
	}
}
