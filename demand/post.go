package demand

import (
	"context"
	"time"

	glade "indigoglade"
	"indigoglade/table"
)

// Period is the time between two writes of an entry host's row.
const Period = 30 * time.Second

// fresh is how old a row may be to count: a node that stopped writing has left.
const fresh = 3 * Period

// Config configures a Post.
type Config struct {
	Node  glade.Node
	Table glade.Table
	Meter *Meter
	Clock glade.Clock
}

// Post writes the demand of an entry host to the table service.
type Post struct {
	config Config
}

// NewPost returns the duty of writing an entry host's row.
func NewPost(config Config) *Post { return &Post{config: config} }

// Run writes the row once a period until ctx ends. A period whose write fails
// is lost; the next one says what is needed.
func (p *Post) Run(ctx context.Context) error {
	for {
		if p.config.Clock.Sleep(ctx, Period) != nil {
			return nil
		}
		_, _ = p.Write(ctx)
	}
}

// Write writes the demand since the last write.
func (p *Post) Write(ctx context.Context) (glade.Commit, error) {
	now := p.config.Clock.Now()
	busy := p.config.Meter.Take(now)
	record, err := table.Load[glade.DemandRow](ctx, p.config.Table, glade.PrefixDemand+string(p.config.Node))
	if err != nil {
		return glade.Unavailable, err
	}
	batch := table.NewBatch()
	table.Replace(batch, record, glade.DemandRow{Node: p.config.Node, At: now.UnixMilli(), Busy: busy})
	return batch.Commit(ctx, p.config.Table)
}

// Total is the demand over all entry hosts.
type Total struct {
	busy map[glade.Service]float64
	rows int
}

// Sum adds up the rows that are fresh.
func Sum(rows []glade.DemandRow, now time.Time) Total {
	t := Total{busy: make(map[glade.Service]float64)}
	for _, row := range rows {
		if now.UnixMilli()-row.At > fresh.Milliseconds() {
			continue
		}
		t.rows++
		for service, busy := range row.Busy {
			t.busy[service] += busy
		}
	}
	return t
}

// Busy returns the slots that a service asks for. The second result is false
// while no entry host reports, which says nothing about demand.
func (t Total) Busy(service glade.Service) (float64, bool) { return t.busy[service], t.rows > 0 }
