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
	// leaderCheckPeriod is the interval between two checks of the leader rows.
	leaderCheckPeriod = 2 * time.Second
	// heartbeatPeriod is the interval between two heartbeats of a leader.
	heartbeatPeriod = 3 * time.Second
	// leaderTimeout is how long a leader row must be unchanged before the shard
	// can be claimed from a leader that the roster lists. A released shard can
	// be claimed by its preferred keeper at once, and by others after this
	// time.
	leaderTimeout = 8 * time.Second
	// absentLeaderTimeout is the shorter time after which the preferred keeper
	// may claim the shard of a leader that the roster does not list.
	absentLeaderTimeout = 4 * time.Second
)

// ShardOf returns the shard of a customer, from 0 to Shards-1.
func ShardOf(customer glade.Customer) int {
	return int(xxhash.Sum64String(string(customer)) % Shards)
}

func leaderKey(shardID int) string { return fmt.Sprintf("%s%02d", glade.PrefixLeader, shardID) }

// elector tracks the leader of each shard. Safety does not depend on the election:
// each transaction on a job is conditional on the version of the leader row, so a
// keeper that was paused can't write after another keeper has taken over. The
// election only avoids duplicate work.
type elector struct {
	config Config
	// nextCheck is when the next check of the leader rows is due.
	nextCheck time.Time
	// held holds the leader rows of the shards that this keeper leads.
	held map[int]ShardLeader
	// observed holds what was seen of each leader row.
	observed map[int]observation
	// writes counts written rows since the last call of takeWriteCount.
	writes int
}

type observation struct {
	version uint64
	// firstSeen is when the version was first seen.
	firstSeen time.Time
	// lastWritten is when this keeper last wrote the row as leader.
	lastWritten time.Time
}

func newElector(config Config) *elector {
	return &elector{config: config, held: make(map[int]ShardLeader), observed: make(map[int]observation)}
}

// step claims, renews and hands over shards, once per leaderCheckPeriod. It
// returns the shards that were gained and lost.
func (e *elector) step(ctx context.Context, now time.Time) (gained, lost []int, err error) {
	if now.Before(e.nextCheck) {
		return nil, nil, nil
	}
	e.nextCheck = now.Add(leaderCheckPeriod)
	records, err := table.LoadAll[glade.LeaderRow](ctx, e.config.Table, glade.PrefixLeader)
	if err != nil {
		return nil, nil, err
	}
	byKey := make(map[string]ShardLeader, len(records))
	for _, record := range records {
		byKey[record.Key()] = record
	}
	for shardID := range Shards {
		record, exists := byKey[leaderKey(shardID)]
		if !exists {
			record = table.Absent[glade.LeaderRow](leaderKey(shardID))
		}
		before, wasLeader := e.held[shardID]
		e.checkShard(ctx, shardID, record, now)
		after, isLeader := e.held[shardID]
		switch {
		case isLeader && (!wasLeader || before.Data().Term != after.Data().Term):
			gained = append(gained, shardID)
		case wasLeader && !isLeader:
			lost = append(lost, shardID)
		}
	}
	return gained, lost, nil
}

// checkShard renews a shard that this keeper leads. Another shard is claimed
// when that is allowed, or else requested from its leader if this keeper is
// preferred.
func (e *elector) checkShard(ctx context.Context, shardID int, record ShardLeader, now time.Time) {
	seen := e.observed[shardID]
	if seen.version != record.Version() || seen.firstSeen.IsZero() {
		seen.version = record.Version()
		seen.firstSeen = now
	}
	e.observed[shardID] = seen
	row := record.Data()
	if own, ok := e.held[shardID]; ok && own.Data().Term == row.Term && row.Node == e.config.Roster.Self() {
		e.held[shardID] = record
		e.renew(ctx, shardID, record, now)
		return
	}
	delete(e.held, shardID)
	self := e.config.Roster.Self()
	switch {
	case e.mayClaim(shardID, row, now.Sub(seen.firstSeen)):
		row.Node = self
		row.RequestedBy = ""
		row.Term++
		e.writeAsLeader(ctx, shardID, record, row, now)
	case row.RequestedBy == "" && shard.OwnedBySelf(leaderKey(shardID), e.config.Roster):
		row.RequestedBy = self
		e.writeRow(ctx, record, row)
	}
}

// renew writes a heartbeat, or hands the shard over to the node that requests it
// and is preferred. A shard is not handed over without a request, because the
// preferred node may be dead.
func (e *elector) renew(ctx context.Context, shardID int, record ShardLeader, now time.Time) {
	row := record.Data()
	self := e.config.Roster.Self()
	switch {
	case row.RequestedBy != "" && row.RequestedBy != self && row.RequestedBy == shard.Owner(leaderKey(shardID), e.config.Roster.Live()):
		row.Node = row.RequestedBy
		row.RequestedBy = ""
		delete(e.held, shardID)
		e.writeRow(ctx, record, row)
	case row.RequestedBy != "" || now.Sub(e.observed[shardID].lastWritten) >= heartbeatPeriod:
		row.RequestedBy = ""
		row.Heartbeats++
		e.writeAsLeader(ctx, shardID, record, row, now)
	}
}

// releaseAll releases all shards, so that other keepers need not wait for a
// timeout.
func (e *elector) releaseAll(ctx context.Context) {
	for shardID, record := range e.held {
		row := record.Data()
		row.Node = ""
		delete(e.held, shardID)
		e.writeRow(ctx, record, row)
	}
}

// mayClaim reports whether this keeper may claim a shard whose leader row has been
// unchanged for some time.
func (e *elector) mayClaim(shardID int, row glade.LeaderRow, unchanged time.Duration) bool {
	live := e.config.Roster.Live()
	preferred := shard.Owner(leaderKey(shardID), live) == e.config.Roster.Self()
	switch {
	case row.Node == "" || row.Node == e.config.Roster.Self():
		return preferred || unchanged >= leaderTimeout
	case !isLive(row.Node, live) && len(live) > 1:
		return preferred && unchanged >= absentLeaderTimeout
	}
	return unchanged >= leaderTimeout
}

func isLive(node glade.Node, live []glade.Node) bool {
	for _, other := range live {
		if other == node {
			return true
		}
	}
	return false
}

// takeWriteCount returns the number of rows written since the last call, but no
// more than the number of shards.
func (e *elector) takeWriteCount() int {
	writes := min(e.writes, Shards)
	e.writes = 0
	return writes
}

// writeRow writes a leader row. It returns the operation id and whether the row was
// written.
func (e *elector) writeRow(ctx context.Context, record ShardLeader, row glade.LeaderRow) (string, bool) {
	e.writes++
	batch := table.NewBatch()
	table.Replace(batch, record, row)
	result, err := batch.Commit(ctx, e.config.Table)
	return batch.Op(), err == nil && result == glade.Committed
}

// writeAsLeader writes a leader row that names this node, and reads the row
// back to learn its version. The shard counts as lost when either fails.
func (e *elector) writeAsLeader(ctx context.Context, shardID int, record ShardLeader, row glade.LeaderRow, now time.Time) {
	op, ok := e.writeRow(ctx, record, row)
	if !ok {
		delete(e.held, shardID)
		return
	}
	written, err := table.Load[glade.LeaderRow](ctx, e.config.Table, record.Key())
	if err != nil || !written.HasOp(op) || written.Data().Term != row.Term {
		delete(e.held, shardID)
		return
	}
	e.held[shardID] = written
	e.observed[shardID] = observation{version: written.Version(), firstSeen: now, lastWritten: now}
}
