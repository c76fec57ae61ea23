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

// Timings of leader election.
const (
	// leadPeriod is the interval between two checks of the leader rows.
	leadPeriod = 2 * time.Second
	// beatPeriod is the interval between two heartbeats of a leader.
	beatPeriod = 3 * time.Second
	// lapseTime is how long a leader row must be unchanged before the shard can be
	// claimed from a leader that the roster lists. A released shard can be claimed
	// by its preferred keeper at once, and by others after this time.
	lapseTime = 8 * time.Second
	// absentTime is the shorter time after which the preferred keeper may claim
	// the shard of a leader that the roster does not list.
	absentTime = 4 * time.Second
)

// ShardOf returns the shard of a customer, from 0 to Shards-1.
func ShardOf(customer glade.Customer) int {
	return int(xxhash.Sum64String(string(customer)) % Shards)
}

func leadKey(number int) string { return fmt.Sprintf("%s%02d", glade.PrefixLead, number) }

// leads tracks the leader of each shard. Safety does not depend on the election:
// each transaction on a job is conditional on the version of the leader row, so a
// keeper that was paused can't write after another keeper has taken over. The
// election only avoids duplicate work.
type leads struct {
	config Config
	// next is when the leader rows are checked next.
	next time.Time
	// held holds the leader rows of the shards that this keeper leads.
	held map[int]Lead
	// watched holds what was seen of each leader row.
	watched map[int]watch
	// writes counts written rows since the last call of takeWrites.
	writes int
}

type watch struct {
	version uint64
	// since is when the version was first seen.
	since time.Time
	// beaten is when this keeper last wrote the row as leader.
	beaten time.Time
}

func newLeads(config Config) *leads {
	return &leads{config: config, held: make(map[int]Lead), watched: make(map[int]watch)}
}

// step claims, renews and hands over shards, once per leadPeriod. It returns the
// shards that were gained and lost.
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

// look renews a shard that this keeper leads. Another shard is claimed when that
// is allowed, or else requested from its leader if this keeper is preferred.
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

// renew writes a heartbeat, or hands the shard over to the node that requests it
// and is preferred. A shard is not handed over without a request, because the
// preferred node may be dead.
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

// stop releases all shards, so that other keepers need not wait for a timeout.
func (l *leads) stop(ctx context.Context) {
	for number, record := range l.held {
		row := record.Data()
		row.Node = ""
		delete(l.held, number)
		l.put(ctx, record, row)
	}
}

// mayClaim reports whether this keeper may claim a shard whose leader row has not
// changed for the time still.
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

// takeWrites returns the number of rows written since the last call, but no more
// than the number of shards.
func (l *leads) takeWrites() int {
	writes := min(l.writes, Shards)
	l.writes = 0
	return writes
}

// put writes a leader row. It returns the operation id and whether the row was
// written.
func (l *leads) put(ctx context.Context, record Lead, row glade.LeadRow) (string, bool) {
	l.writes++
	batch := table.NewBatch()
	table.Replace(batch, record, row)
	result, err := batch.Commit(ctx, l.config.Table)
	return batch.Op(), err == nil && result == glade.Committed
}

// write writes a leader row that names this node, and reads the row back to learn
// its version. The shard counts as lost when either fails.
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
