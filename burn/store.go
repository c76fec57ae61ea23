package burn

import (
	"context"
	"time"

	glade "indigoglade"
	"indigoglade/table"
)

// Limits of how often snapshots are saved.
const (
	minSaveInterval = 30 * time.Second
	maxSaveInterval = 30 * time.Minute
	// SaveBytesPerSecond is the bandwidth that saving may use, in bytes per second. With
	// many customers a snapshot is large and is therefore saved less often.
	SaveBytesPerSecond = 500
)

// SaveInterval returns the time to wait after saving a snapshot of size bytes. The
// counts of at most this time are lost if the entry host is killed.
func SaveInterval(size int) time.Duration {
	return min(max(time.Duration(size)*time.Second/SaveBytesPerSecond, minSaveInterval), maxSaveInterval)
}

// Save writes a snapshot to the table service. It does nothing if the stored
// snapshot is as recent or newer, so a delayed write can't undo a later one.
func Save(ctx context.Context, t glade.Table, s Snapshot) (glade.CommitResult, error) {
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

// DeleteExpired deletes the stored snapshots of a node that are older than MaxWindow,
// and returns their number.
func DeleteExpired(ctx context.Context, t glade.Table, node glade.Node, now time.Time) (int, error) {
	records, err := table.LoadAll[Snapshot](ctx, t, KeyPrefix+string(node)+"/")
	if err != nil {
		return 0, err
	}
	batch := table.NewBatch()
	for _, record := range records {
		if now.Sub(time.UnixMilli(record.Data().At)) > MaxWindow {
			table.Remove(batch, record)
		}
	}
	if batch.WriteCount() == 0 {
		return 0, nil
	}
	_, err = batch.Commit(ctx, t)
	return batch.WriteCount(), err
}
