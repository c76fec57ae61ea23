package burn

import (
	"context"
	"time"

	glade "indigoglade"
	"indigoglade/table"
)

// Bounds of the time between two hand-overs.
const (
	minPause = 30 * time.Second
	maxPause = 30 * time.Minute
	// SaveRate is the traffic that hand-overs may take, in bytes a second. With
	// many customers a snapshot is large, and is handed over less often.
	SaveRate = 500
)

// Pause returns the time to wait after a snapshot of that size in bytes was
// handed over. It bounds the counts that are lost with a killed entry host.
func Pause(size int) time.Duration {
	return min(max(time.Duration(size)*time.Second/SaveRate, minPause), maxPause)
}

// Save writes a snapshot to the table service. A snapshot that is no later than
// the one kept is left out, so that a write that comes late does no harm.
func Save(ctx context.Context, t glade.Table, s Snapshot) (glade.Commit, error) {
	record, err := table.Load[Snapshot](ctx, t, s.Incarnation.Key())
	if err != nil {
		return glade.Unavailable, err
	}
	if record.Exists() && record.Data().At >= s.At {
		return glade.Committed, nil
	}
	batch := table.NewBatch()
	table.Replace(batch, record, s)
	return batch.Commit(ctx, t)
}

// Forget removes the snapshots of a node that no window reaches any more, and
// returns their number.
func Forget(ctx context.Context, t glade.Table, node glade.Node, now time.Time) (int, error) {
	records, err := table.LoadAll[Snapshot](ctx, t, PrefixBurn+string(node)+"/")
	if err != nil {
		return 0, err
	}
	batch := table.NewBatch()
	for _, record := range records {
		if now.Sub(time.UnixMilli(record.Data().At)) > MaxWindow {
			table.Remove(batch, record)
		}
	}
	if batch.Rows() == 0 {
		return 0, nil
	}
	_, err = batch.Commit(ctx, t)
	return batch.Rows(), err
}
