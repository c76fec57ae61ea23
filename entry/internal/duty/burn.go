package duty

import (
	"context"
	"time"

	glade "indigoglade"
	"indigoglade/burn"
)

// Periods of handing over the counts of outcomes.
const (
	// savePeriod bounds the counts that are lost with a killed entry host.
	savePeriod = 30 * time.Second
	// saveTimeout bounds the last hand-over of a graceful stop.
	saveTimeout = 3 * time.Second
)

// Burn hands the counts of outcomes to the table service every so often, and
// the last ones when ctx ends. It has to be added to the group after the
// callers' server, which is stopped first, so that the last counts are whole.
func (d *Duties) Burn(ctx context.Context) error {
	d.forgetCounts(ctx)
	for {
		if d.config.Clock.Sleep(ctx, savePeriod) != nil {
			break
		}
		d.saveCounts(ctx, d.config.Meter.Snapshot())
	}
	last := d.config.Meter.Snapshot()
	last.Final = true
	ctx, cancel := context.WithTimeout(context.Background(), saveTimeout)
	defer cancel()
	d.saveCounts(ctx, last)
	return nil
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
