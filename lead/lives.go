package lead

import (
	"context"
	"encoding/json"
	"maps"
	"slices"
	"time"

	glade "indigoglade"
)

// tableLives holds, in the partition of the fleet pseudo-service, the runner of each host as the leader last listed it. By
// that the next leader knows that a runner has ended: its host has another one.
const tableLives = "lives"

// LivesRow is a row with the runners of some hosts.
type LivesRow struct {
	Runners map[glade.Host]glade.RunnerID `json:"runners"`
	// Parts is the number of rows if there are several; the first one has it.
	Parts int `json:"parts,omitempty"`
}

const (
	// livesPeriod is the least time between two writes of the rows, and livesShare that for each host: on a large
	// fleet some runners change each second, and the rows are written as a whole.
	livesPeriod = 2 * time.Second
	livesShare  = 12 * time.Millisecond
	// maxLivesBytes bounds one row, of the 64 KB that the store takes.
	maxLivesBytes = 48 << 10
)

// loadLives passes the stored runners to the planner. Rows that can't be read tell nothing.
func (f *FleetLeader) loadLives(ctx context.Context) error {
	rows, _, err := f.manager.config.PartitionedTable.List(ctx, tableLives, string(f.service))
	if err != nil {
		return err
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	parts := make(map[string]LivesRow)
	for _, row := range rows {
		var part LivesRow
		if err := json.Unmarshal(row.Value, &part); err != nil {
			f.manager.config.Log.Error(err, "row of the runners of hosts is not valid JSON", "key", row.Key)
			continue
		}
		parts[row.Key] = part
	}
	runners := make(map[glade.Host]glade.RunnerID)
	for i := range max(parts[livesKey(0)].Parts, 1) {
		maps.Copy(runners, parts[livesKey(i)].Runners)
	}
	f.planner.RestoreRunners(runners)
	f.savedLives = runners
	return nil
}

func livesKey(part int) string { return wavePart{part: part}.key() }

// changedLives returns the rows of the runners of hosts if they have changed and are due, and counts them as written.
// The caller must hold the lock.
func (f *FleetLeader) changedLives(now time.Time) []glade.PartitionRow {
	runners := f.planner.Runners()
	if now.Sub(f.livesAt) < max(livesPeriod, time.Duration(len(runners))*livesShare) || maps.Equal(runners, f.savedLives) {
		return nil
	}
	f.livesAt, f.savedLives = now, runners
	var puts []glade.PartitionRow
	for i, row := range splitLives(runners) {
		puts = append(puts, glade.PartitionRow{Table: tableLives, Part: string(f.service), Key: livesKey(i), Value: encodeRow(row)})
	}
	return puts
}

// splitLives returns the rows as which the runners of hosts are stored.
func splitLives(runners map[glade.Host]glade.RunnerID) []LivesRow {
	newRow := func() LivesRow { return LivesRow{Runners: make(map[glade.Host]glade.RunnerID)} }
	rows, bytes := []LivesRow{newRow()}, 0
	for _, host := range slices.Sorted(maps.Keys(runners)) {
		size := len(encodeRow(host)) + len(encodeRow(runners[host])) + 2 // with a colon and a comma
		if bytes += size; bytes > maxLivesBytes {
			rows, bytes = append(rows, newRow()), size
		}
		rows[len(rows)-1].Runners[host] = runners[host]
	}
	if len(rows) > 1 {
		rows[0].Parts = len(rows)
	}
	return rows
}
