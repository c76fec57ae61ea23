package lead

import (
	"context"
	"fmt"
	"strconv"
	"strings"
	"time"

	"github.com/pkg/errors"

	glade "indigoglade"
	"indigoglade/moves"
)

// tableWave holds the progress of maintenance waves, in the partition of the fleet
// pseudo-service.
const tableWave = "wave"

// WaveRow is the row with the progress of a maintenance wave.
type WaveRow struct {
	// FirstSeenMs is when the wave was first seen, in milliseconds since 1970.
	FirstSeenMs int64 `json:"since"`
	// Started lists the hosts whose maintenance has started.
	Started []glade.Host `json:"begun,omitempty"`
	// Requested lists the hosts for which a maintenance call may be in flight.
	Requested []glade.Host `json:"ordered,omitempty"`
	// Done means that the operator has received the report that the wave is complete.
	Done bool `json:"done,omitempty"`
	// Parts is the number of rows if there are several; the first one has it.
	Parts int `json:"parts,omitempty"`
}

// maxWaveBytes bounds one row of a wave, of the 64 KB that the store takes.
const maxWaveBytes = 48 << 10

// split returns the rows as which the progress is stored.
func (r WaveRow) split() []WaveRow {
	rest := WaveRow{Started: r.Started, Requested: r.Requested}
	r.Started, r.Requested = nil, nil
	parts, bytes := []WaveRow{r}, 0
	add := func(host glade.Host, to func(*WaveRow) *[]glade.Host) {
		size := len(encodeRow(host)) + 1
		if bytes += size; bytes > maxWaveBytes {
			parts, bytes = append(parts, WaveRow{}), size
		}
		list := to(&parts[len(parts)-1])
		*list = append(*list, host)
	}
	for _, host := range rest.Started {
		add(host, func(part *WaveRow) *[]glade.Host { return &part.Started })
	}
	for _, host := range rest.Requested {
		add(host, func(part *WaveRow) *[]glade.Host { return &part.Requested })
	}
	if len(parts) > 1 {
		parts[0].Parts = len(parts)
	}
	return parts
}

// wavePart names one of the rows of a wave. The key of the first one is the number of the wave.
type wavePart struct {
	wave int64
	part int
}

func (p wavePart) key() string {
	if p.part == 0 {
		return fmt.Sprint(p.wave)
	}
	return fmt.Sprintf("%d.%d", p.wave, p.part)
}

// parseWavePart returns the row that a key names.
func parseWavePart(key string) (wavePart, error) {
	number, part, hasPart := strings.Cut(key, ".")
	wave, err := strconv.ParseInt(number, 10, 64)
	if err != nil || !hasPart {
		return wavePart{wave: wave}, err
	}
	index, err := strconv.Atoi(part)
	if err == nil && index < 1 {
		err = errors.Errorf("part %d of wave %d", index, wave)
	}
	return wavePart{wave: wave, part: index}, err
}

// mergeWaves returns the progress of each wave from its rows. Rows beyond the parts that the first
// one tells are left from an earlier write.
func mergeWaves(rows map[wavePart]WaveRow) map[int64]WaveRow {
	waves := make(map[int64]WaveRow)
	for p, row := range rows {
		if p.part > 0 {
			continue
		}
		merged := row
		merged.Parts = 0
		for part := 1; part < row.Parts; part++ {
			next := rows[wavePart{wave: p.wave, part: part}]
			merged.Started = append(merged.Started, next.Started...)
			merged.Requested = append(merged.Requested, next.Requested...)
		}
		waves[p.wave] = merged
	}
	return waves
}

// waveState is the state of a wave that was last reported to the operator.
type waveState int

const (
	waveUnreported waveState = iota
	waveRunning
	waveDone
)

// addWave passes a wave to the planner with the progress that is stored. Waves that
// are done are skipped.
func (f *FleetLeader) addWave(wave glade.WaveOrder, now time.Time) {
	row, ok := f.waveRows[wave.Wave]
	if row.Done {
		return
	}
	if !ok {
		row = WaveRow{FirstSeenMs: now.UnixMilli()}
		f.waveRows[wave.Wave] = row
	}
	since := now.Add(-time.Duration(max(now.UnixMilli()-row.FirstSeenMs, 0)) * time.Millisecond)
	f.planner.AddWave(wave, row.Started, row.Requested, since, now)
}

// changedRows returns the rows of waves whose progress is not written yet, and
// counts them as written. The caller must hold the lock.
func (f *FleetLeader) changedRows() []glade.PartitionRow {
	var puts []glade.PartitionRow
	for number, row := range f.waveRows {
		if row.Done {
			continue
		}
		next := WaveRow{FirstSeenMs: row.FirstSeenMs, Done: f.reported[number] == waveDone}
		next.Started, next.Requested = f.planner.WaveProgress(number)
		if string(encodeRow(next)) == f.savedRows[number] {
			continue
		}
		f.waveRows[number] = next
		f.savedRows[number] = string(encodeRow(next))
		for i, part := range next.split() {
			puts = append(puts, glade.PartitionRow{
				Table: tableWave, Part: string(f.service), Key: wavePart{wave: number, part: i}.key(), Value: encodeRow(part),
			})
		}
	}
	return puts
}

// waveWriter writes the progress of waves and renews the term, and then starts the
// actions on the hosts that the rows list.
type waveWriter struct {
	fleet   *FleetLeader
	puts    []glade.PartitionRow
	actions []moves.Action
	renew   bool
	// expiry is the uptime at which the recorded actions expire; 0 if they don't.
	expiry time.Duration
}

func (w *waveWriter) run(ctx context.Context) {
	f := w.fleet
	err := w.write(ctx)
	f.mu.Lock()
	defer f.mu.Unlock()
	// Closed last, because release uses the term after this.
	defer close(f.writeDone)
	f.writeDone, f.writeErr = nil, err
	if err != nil {
		return
	}
	f.lastConfirmed = f.confirmedAt
	for _, action := range w.actions {
		// The write may have taken as long as an outage of the store, and evacuations end on their own.
		if f.planner.MaySend(action, f.clock.Now()) {
			f.dispatch(ctx, action, w.expiry)
		}
	}
}

// write retries until the rows are written. An error means that another host leads
// or that ctx has ended.
func (w *waveWriter) write(ctx context.Context) error {
	f := w.fleet
	for {
		result, err := f.commit(ctx, w.puts, nil, w.renew)
		if err != nil || result == glade.Committed {
			return err
		}
		if result == glade.Uncertain {
			if err := f.fencePendingWrite(ctx); err != nil {
				return err
			}
			w.renew = false
			continue
		}
		pause := storeRetryPause
		if result == glade.Rejected && len(w.puts) > 0 {
			f.manager.config.Log.Info("the store rejects the rows of waves", "rows", len(w.puts), "bytes", glade.PartitionTxn{Puts: w.puts}.EncodedSize())
			if _, err := f.renewAlone(ctx); err != nil {
				return err
			}
			pause = heartbeatPeriod
		}
		if err := f.clock.Sleep(ctx, pause); err != nil {
			return err
		}
	}
}

// reportWaves reports the waves that have started or finished to the operator. A
// wave's row is marked as done only after its report was received, so that the next
// leader repeats a report that failed.
func (f *FleetLeader) reportWaves(ctx context.Context, finished []int64) {
	f.mu.Lock()
	states := make(map[int64]waveState)
	writing := f.writeDone != nil
	for number, row := range f.waveRows {
		if !row.Done && f.reported[number] == waveUnreported {
			states[number] = waveRunning
		}
	}
	f.mu.Unlock()
	if writing {
		return // a write is in flight: moves must not wait for a slow store
	}
	for _, number := range finished {
		states[number] = waveDone
	}
	for number, state := range states {
		f.reportWave(ctx, number, state)
	}
}

func (f *FleetLeader) reportWave(ctx context.Context, number int64, state waveState) {
	bounded, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	if err := f.manager.config.Inventory.Report(bounded, number, state == waveDone); err != nil {
		f.manager.config.Log.Info("wave report to the operator failed", "wave", number, "done", state == waveDone, "error", err.Error())
		return
	}
	f.manager.config.Log.Info("wave reported to the operator", "wave", number, "done", state == waveDone, "epoch", f.term.Epoch)
	f.mu.Lock()
	defer f.mu.Unlock()
	f.reported[number] = state
	if state == waveDone {
		f.planner.MarkWaveReported(number)
	}
}
