package demand

import (
	"context"
	"time"

	glade "indigoglade"
	"indigoglade/table"
)

// Period is the time between two writes of an entry host's row.
const Period = 30 * time.Second

// maxRowAge is the age up to which a row counts. An entry host whose row is
// older is taken as gone.
const maxRowAge = 3 * Period

// Config holds what is needed to write an entry host's row.
type Config struct {
	Node  glade.Node
	Table glade.Table
	Meter *Meter
	Clock glade.Clock
}

// Publisher writes the demand of an entry host to the table service.
type Publisher struct {
	config Config
}

// NewPublisher returns the writer of an entry host's row.
func NewPublisher(config Config) *Publisher { return &Publisher{config: config} }

// Run writes the row once per period until ctx ends. If a write fails, the
// demand of that period is lost; the next write reports only its own period.
func (p *Publisher) Run(ctx context.Context) error {
	for {
		if p.config.Clock.Sleep(ctx, Period) != nil {
			return nil
		}
		_, _ = p.Write(ctx)
	}
}

// Write writes the mean demand since the last write.
func (p *Publisher) Write(ctx context.Context) (glade.CommitResult, error) {
	now := p.config.Clock.Now()
	busy := p.config.Meter.Take(now)
	record, err := table.Load[glade.DemandRow](ctx, p.config.Table, glade.PrefixDemand+string(p.config.Node))
	if err != nil {
		return glade.Unavailable, err
	}
	batch := table.NewBatch()
	table.Replace(batch, record, glade.DemandRow{Node: p.config.Node, PeriodEnd: now.UnixMilli(), SlotsUsed: busy})
	return batch.Commit(ctx, p.config.Table)
}

// Total is the sum of the demand of all entry hosts.
type Total struct {
	busy map[glade.Service]float64
	rows int
}

// Sum adds up the rows that are not older than three periods.
func Sum(rows []glade.DemandRow, now time.Time) Total {
	t := Total{busy: make(map[glade.Service]float64)}
	for _, row := range rows {
		if now.UnixMilli()-row.PeriodEnd > maxRowAge.Milliseconds() {
			continue
		}
		t.rows++
		for service, busy := range row.SlotsUsed {
			t.busy[service] += busy
		}
	}
	return t
}

// Busy returns the slots that a service asks for. The second result is false if
// no entry host has a recent row, so that the demand is unknown.
func (t Total) Busy(service glade.Service) (float64, bool) { return t.busy[service], t.rows > 0 }
