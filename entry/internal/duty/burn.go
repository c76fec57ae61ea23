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

// saveTimeout bounds the last hand-over of a graceful stop.
const saveTimeout = 3 * time.Second

// Burn hands the counts of outcomes to the table service every so often, and
// the last ones when ctx ends. It has to be added to the group after the
// callers' server, which is stopped first, so that the last counts are whole.
func (d *Duties) Burn(ctx context.Context) error {
	d.forgetCounts(ctx)
	pause := burn.Pause(0)
	for d.config.Clock.Sleep(ctx, pause) == nil {
		s := d.config.Meter.Snapshot()
		d.saveCounts(ctx, s)
		pause = burn.Pause(sizeOf(s))
	}
	last := d.config.Meter.Snapshot()
	last.Final = true
	ctx, cancel := context.WithTimeout(context.Background(), saveTimeout)
	defer cancel()
	d.saveCounts(ctx, last)
	return nil
}

// sizeOf returns the size of a snapshot as it is written, in bytes.
func sizeOf(s burn.Snapshot) int {
	text, err := json.Marshal(s)
	if err != nil {
		return 0
	}
	return len(text)
}

// BurnStatus answers operators' queries for the counts of outcomes.
func (d *Duties) BurnStatus(c echo.Context) error {
	return c.JSON(http.StatusOK, d.config.Meter.Snapshot())
}

// forgetCounts removes what earlier incarnations of this entry host left and no
// window reaches any more.
func (d *Duties) forgetCounts(ctx context.Context) {
	n, err := burn.Forget(ctx, d.config.Platform, d.config.Node, d.config.Clock.Now())
	if err != nil {
		d.counters.Add("burn.failed", 1)
		return
	}
	d.counters.Add("burn.forgotten", int64(n))
}

// saveCounts writes a snapshot that counts something. One that could not be
// written is made up for by the next, which counts everything since the start.
func (d *Duties) saveCounts(ctx context.Context, s burn.Snapshot) {
	if len(s.Rows) == 0 {
		return
	}
	result, err := burn.Save(ctx, d.config.Platform, s)
	if err != nil || result != glade.Committed {
		d.counters.Add("burn.failed", 1)
		return
	}
	d.counters.Add("burn.saved", 1)
}
