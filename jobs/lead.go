package jobs

import (
	"context"
	"fmt"
	"time"

	"github.com/cespare/xxhash/v2"

	glade "indigoglade"
	"indigoglade/shard"
	"indigoglade/table"
)

// Shards is the number of shards that customers are divided into.
const Shards = 16

// Times of the leads.
const (
	// leadPeriod is the time between two looks at the lead rows.
	leadPeriod = 2 * time.Second
	// beatPeriod is the time between two signs of life.
	beatPeriod = 3 * time.Second
	// lapseTime is how long a lead without a sign of life is left alone.
	lapseTime = 8 * time.Second
	// absentTime is the same for a keeper that the roster does not list.
	absentTime = 4 * time.Second
)

// ShardOf returns the shard of a customer.
func ShardOf(customer glade.Customer) int {
	return int(xxhash.Sum64String(string(customer)) % Shards)
}

func leadKey(number int) string { return fmt.Sprintf("%s%02d", glade.PrefixLead, number) }

// leads tracks who leads each shard. A lead saves work only: each transaction
// on a job is conditional on the lead row, so a keeper that was paused can't
// write after another one took over.
type leads struct {
	config Config
	next   time.Time
	held   map[int]Lead
	// watched is the version of each row and when it was first seen.
	watched map[int]watch
	writes  int
}

type watch struct {
	version uint64
	since   time.Time
	beaten  time.Time
}

func newLeads(config Config) *leads {
	return &leads{config: config, held: make(map[int]Lead), watched: make(map[int]watch)}
}

// step claims, renews and gives up leads. It returns the shards that were
// gained and lost.
func (l *leads) step(ctx context.Context, now time.Time) (gained, lost []int, err error) {
	if now.Before(l.next) {
		return nil, nil, nil
	}
	l.next = now.Add(leadPeriod)
	records, err := table.LoadAll[glade.LeadRow](ctx, l.config.Table, glade.PrefixLead)
	if err != nil {
		return nil, nil, err
	}
	byKey := make(map[string]Lead, len(records))
	for _, record := range records {
		byKey[record.Key()] = record
	}
	for number := range Shards {
		record, exists := byKey[leadKey(number)]
		if !exists {
			record = table.Absent[glade.LeadRow](leadKey(number))
		}
		before, had := l.held[number]
		l.look(ctx, number, record, now)
		after, has := l.held[number]
		switch {
		case has && (!had || before.Data().Term != after.Data().Term):
			gained = append(gained, number)
		case had && !has:
			lost = append(lost, number)
		}
	}
	return gained, lost, nil
}

// look handles one shard.
func (l *leads) look(ctx context.Context, number int, record Lead, now time.Time) {
	w := l.watched[number]
	if w.version != record.Version() || w.since.IsZero() {
		w.version = record.Version()
		w.since = now
	}
	l.watched[number] = w
	row := record.Data()
	if mine, ok := l.held[number]; ok && mine.Data().Term == row.Term && row.Node == l.config.Roster.Self() {
		l.held[number] = record
		l.renew(ctx, number, record, now)
		return
	}
	delete(l.held, number)
	self := l.config.Roster.Self()
	switch {
	case l.mayClaim(number, row, now.Sub(w.since)):
		row.Node = self
		row.Want = ""
		row.Term++
		l.write(ctx, number, record, row, now)
	case row.Want == "" && shard.IsMine(leadKey(number), l.config.Roster):
		row.Want = self
		l.put(ctx, record, row)
	}
}

// renew gives a sign of life, or hands the shard over to the node that asks for
// it and should lead it. A node that does not ask may be dead.
func (l *leads) renew(ctx context.Context, number int, record Lead, now time.Time) {
	row := record.Data()
	self := l.config.Roster.Self()
	switch {
	case row.Want != "" && row.Want != self && row.Want == shard.Owner(leadKey(number), l.config.Roster.Live()):
		row.Node = row.Want
		row.Want = ""
		delete(l.held, number)
		l.put(ctx, record, row)
	case row.Want != "" || now.Sub(l.watched[number].beaten) >= beatPeriod:
		row.Want = ""
		row.Beat++
		l.write(ctx, number, record, row, now)
	}
}

// stop gives every shard up, so that others need not wait for a lapse.
func (l *leads) stop(ctx context.Context) {
	for number, record := range l.held {
		row := record.Data()
		row.Node = ""
		delete(l.held, number)
		l.put(ctx, record, row)
	}
}

// mayClaim tells whether to take a shard that stood still for a time.
func (l *leads) mayClaim(number int, row glade.LeadRow, still time.Duration) bool {
	live := l.config.Roster.Live()
	preferred := shard.Owner(leadKey(number), live) == l.config.Roster.Self()
	switch {
	case row.Node == "" || row.Node == l.config.Roster.Self():
		return preferred || still >= lapseTime
	case !isListed(row.Node, live) && len(live) > 1:
		return preferred && still >= absentTime
	}
	return still >= lapseTime
}

func isListed(node glade.Node, live []glade.Node) bool {
	for _, one := range live {
		if one == node {
			return true
		}
	}
	return false
}

// takeWrites returns the number of rows written since it was called last, at
// most one for each shard.
func (l *leads) takeWrites() int {
	writes := min(l.writes, Shards)
	l.writes = 0
	return writes
}

// put writes a lead row. It returns the operation id and whether the row was
// written.
func (l *leads) put(ctx context.Context, record Lead, row glade.LeadRow) (string, bool) {
	l.writes++
	batch := table.NewBatch()
	table.Replace(batch, record, row)
	result, err := batch.Commit(ctx, l.config.Table)
	return batch.Op(), err == nil && result == glade.Committed
}

// write writes a lead row that names the own node, and reads it back, so that
// its version is known.
func (l *leads) write(ctx context.Context, number int, record Lead, row glade.LeadRow, now time.Time) {
	op, ok := l.put(ctx, record, row)
	if !ok {
		delete(l.held, number)
		return
	}
	written, err := table.Load[glade.LeadRow](ctx, l.config.Table, record.Key())
	if err != nil || !written.HasOp(op) || written.Data().Term != row.Term {
		delete(l.held, number)
		return
	}
	l.held[number] = written
	l.watched[number] = watch{version: written.Version(), since: now, beaten: now}
}
