package duty

import (
	"context"
	"encoding/json"
	"net/http"
	"time"

	"github.com/labstack/echo/v4"

	glade "indigoglade"
	"indigoglade/burn"
)

// finalSaveTimeout bounds the last save of a graceful stop.
const finalSaveTimeout = 3 * time.Second

// SaveOutcomes periodically saves the outcome counts to the table service, and once
// more when ctx ends. It must be added to the group after the callers' server,
// which is stopped first, so that the last counts are complete.
func (t *Tasks) SaveOutcomes(ctx context.Context) error {
	t.deleteOldCounts(ctx)
	interval := burn.SaveInterval(0)
	for t.config.Clock.Sleep(ctx, interval) == nil {
		s := t.config.Meter.Snapshot()
		t.saveCounts(ctx, s)
		interval = burn.SaveInterval(encodedBytes(s))
	}
	last := t.config.Meter.Snapshot()
	last.Final = true
	ctx, cancel := context.WithTimeout(context.Background(), finalSaveTimeout)
	defer cancel()
	t.saveCounts(ctx, last)
	return nil
}

// encodedBytes returns the size of the JSON form of a snapshot.
func encodedBytes(s burn.Snapshot) int {
	text, err := json.Marshal(s)
	if err != nil {
		return 0
	}
	return len(text)
}

// OutcomeStatus answers operators with the outcome counts.
func (t *Tasks) OutcomeStatus(c echo.Context) error {
	return c.JSON(http.StatusOK, t.config.Meter.Snapshot())
}

// deleteOldCounts deletes the counts of earlier incarnations of this entry host
// that no window covers any more.
func (t *Tasks) deleteOldCounts(ctx context.Context) {
	n, err := burn.DeleteExpired(ctx, t.config.Platform, t.config.Node, t.config.Clock.Now())
	if err != nil {
		t.counters.Add("burn.failed", 1)
		return
	}
	t.counters.Add("burn.forgotten", int64(n))
}

// saveCounts saves a snapshot, unless it is empty. A failed save is made up for
// by the next one, because counts are cumulative since the start.
func (t *Tasks) saveCounts(ctx context.Context, s burn.Snapshot) {
	if len(s.Customers) == 0 {
		return
	}
	result, err := burn.Save(ctx, t.config.Platform, s)
	if err != nil || result != glade.Committed {
		t.counters.Add("burn.failed", 1)
		return
	}
	t.counters.Add("burn.saved", 1)
}
