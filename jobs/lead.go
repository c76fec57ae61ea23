package jobs

import (
	"context"
	"fmt"
	"time"

	"github.com/cespare/xxhash/v2"

	glade "indigoglade"
	"indigoglade/table"
)

// Shards is the number of shards that customers are divided into.
const Shards = 16

// Times of the leads.
const (
	// leadPeriod is the time between two looks at the lead rows.
	leadPeriod = time.Second
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

func leadKey(shard int) string { return fmt.Sprintf("%s%02d", glade.PrefixLead, shard) }

// leads tracks who leads each shard. A lead saves work only: each transaction
// on a job is conditional on the lead row, so a keeper that was paused can't
// write after another one took over.
type leads struct {
	config Config
	next   time.Time
	held   map[int]Lead
	// watched is the version of each row and when it was first seen.
	watched map[int]watch
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
	for shard := range Shards {
		record, exists := byKey[leadKey(shard)]
		if !exists {
			record = table.Absent[glade.LeadRow](leadKey(shard))
		}
		before, had := l.held[shard]
		l.look(ctx, shard, record, now)
		after, has := l.held[shard]
		switch {
		case has && (!had || before.Data().Term != after.Data().Term):
			gained = append(gained, shard)
		case had && !has:
			lost = append(lost, shard)
		}
	}
	return gained, lost, nil
}

// look handles one shard.
func (l *leads) look(ctx context.Context, shard int, record Lead, now time.Time) {
	w := l.watched[shard]
	if w.version != record.Version() || w.since.IsZero() {
		w.version = record.Version()
		w.since = now
	}
	l.watched[shard] = w
	row := record.Data()
	if mine, ok := l.held[shard]; ok && mine.Data().Term == row.Term && row.Node == l.config.Roster.Self() {
		l.held[shard] = record
		l.renew(ctx, shard, record, now)
		return
	}
	delete(l.held, shard)
	if l.mayClaim(shard, row, now.Sub(w.since)) {
		row.Node = l.config.Roster.Self()
		row.Term++
		l.write(ctx, shard, record, row, now)
	}
}

// renew gives a sign of life, or gives the shard up to the node that should
// lead it.
func (l *leads) renew(ctx context.Context, shard int, record Lead, now time.Time) {
	row := record.Data()
	if winner(shard, l.config.Roster.Live()) != l.config.Roster.Self() {
		row.Node = ""
		delete(l.held, shard)
		l.write(ctx, shard, record, row, now)
		delete(l.held, shard)
		return
	}
	if now.Sub(l.watched[shard].beaten) >= beatPeriod {
		row.Beat++
		l.write(ctx, shard, record, row, now)
	}
}

// mayClaim tells whether to take a shard that stood still for a time.
func (l *leads) mayClaim(shard int, row glade.LeadRow, still time.Duration) bool {
	live := l.config.Roster.Live()
	preferred := winner(shard, live) == l.config.Roster.Self()
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

// write writes a lead row and reads it back, so that its version is known.
func (l *leads) write(ctx context.Context, shard int, record Lead, row glade.LeadRow, now time.Time) {
	batch := table.NewBatch()
	table.Replace(batch, record, row)
	result, err := batch.Commit(ctx, l.config.Table)
	if err != nil || result != glade.Committed {
		delete(l.held, shard)
		return
	}
	written, err := table.Load[glade.LeadRow](ctx, l.config.Table, record.Key())
	if err != nil || !written.HasOp(batch.Op()) || written.Data().Term != row.Term {
		delete(l.held, shard)
		return
	}
	l.held[shard] = written
	l.watched[shard] = watch{version: written.Version(), since: now, beaten: now}
}

// winner returns the node that should lead a shard: the one with the highest
// hash of its name and the shard, so that few shards move when a node comes or
// goes.
func winner(shard int, nodes []glade.Node) glade.Node {
	var best glade.Node
	var most uint64
	for _, node := range nodes {
		if hash := xxhash.Sum64String(fmt.Sprintf("%s/%d", node, shard)); best == "" || hash > most {
			best = node
			most = hash
		}
	}
	return best
}
