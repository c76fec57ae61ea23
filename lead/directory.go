// Package lead elects one host as the leader of each service. The leader runs
// the service's scheduler (package sched) and carries out its decisions on the
// platform.
package lead

import (
	"cmp"
	"context"
	"encoding/json"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/go-logr/logr"
	"github.com/pkg/errors"

	glade "indigoglade"
)

// Tables, partitions and keys of the rows that this package stores.
const (
	tableTerm = "term"  // the leader of each service
	tableNode = "node"  // the hosts of this system
	tableWork = "work"  // batches as they were accepted
	tableMark = "mark"  // progress and final state of batches
	tableCrew = "crew"  // runners that may be running tasks
	keyOnly   = "it"    // the only key of a partition in tableTerm and tableRunners
	partNodes = "nodes" // the only partition of tableNode
)

// Term is the row that names the leader of a service.
type Term struct {
	// Node is empty when the last leader has released the service.
	Node    glade.Node `json:"node"`
	Address string     `json:"address"`
	// Epoch is the fencing token: every new leader increments it.
	Epoch int64 `json:"epoch"`
	// Beat counts the leader's heartbeats.
	Beat int64 `json:"beat"`
}

// termEntry is the newest term of a service that this process has seen, and when
// it was first seen.
type seat struct {
	term    Term
	version int64
	changed time.Time
}

// NodeRow is the row of one of the system's hosts.
type NodeRow struct {
	Address string     `json:"address"`
	Zone    glade.Zone `json:"zone"`
	// Power is the work that the host can do within the limits of its processor
	// and its network link, in millicores.
	Power int `json:"power"`
}

// BoardConfig configures a directory of leaders.
type BoardConfig struct {
	Self   glade.Node
	Row    NodeRow
	Ledger glade.Ledger
	Clock  glade.Clock
	Log    logr.Logger
}

// Board tracks which host leads each service, and the hosts that can lead.
type Board struct {
	config BoardConfig
	mu     sync.Mutex
	duties []glade.Service
	seats  map[glade.Service]*seat
	nodes  map[glade.Node]NodeRow
	// feedOKSince is when the term feed was last established, lastAnswer when it last
	// answered.
	steady, answered time.Time
	synced           bool
	lostAt           time.Time
	resync           bool
}

// NewBoard returns a directory that knows only its own host until its feeds run.
func NewBoard(config BoardConfig) *Board {
	return &Board{
		config: config, seats: make(map[glade.Service]*seat),
		nodes: map[glade.Node]NodeRow{config.Self: config.Row},
	}
}

// SetDuties sets the services that need a leader.
func (b *Board) SetDuties(duties []glade.Service) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if !slices.Equal(b.duties, duties) {
		b.duties = duties
		b.resync = true
	}
}

// Duties returns the services that need a leader, and whether their terms are
// in sync with the store.
func (b *Board) Duties() ([]glade.Service, bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.duties, b.synced
}

// Lead returns the term of a service's leader as last seen, and false if no
// leader is known.
func (b *Board) Lead(service glade.Service) (Term, bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	s, ok := b.seats[service]
	if !ok || s.term.Node == "" {
		return Term{}, false
	}
	return s.term, true
}

// Silence describes the last heartbeat that was seen of a service's leader.
type Silence struct {
	Term    Term
	Version int64
	// Idle is the time since the last heartbeat, or since the feed was established if
	// that is shorter. Silent is the part of it up to the store's last answer: while
	// the store does not answer, no leader's heartbeat can be seen.
	Idle, Silent time.Duration
}

// Silence returns the last heartbeat of a service's leader, seen from now.
func (b *Board) Silence(service glade.Service, now time.Time) Silence {
	b.mu.Lock()
	defer b.mu.Unlock()
	since := b.steady
	var out Silence
	if s, ok := b.seats[service]; ok {
		out.Term, out.Version = s.term, s.version
		if s.changed.After(since) {
			since = s.changed
		}
	}
	out.Idle = now.Sub(since)
	out.Silent = max(b.answered.Sub(since), 0)
	return out
}

// highCapacityShare is the share of the largest host's capacity from which a host
// is preferred as a leader.
const strongShare = 0.6

// Rank returns how many nodes are preferred over this one as the leader of a
// service: nodes of high capacity come first, then nodes that lead fewer services,
// then the order of a rendezvous hash.
func (b *Board) Rank(service glade.Service) int {
	b.mu.Lock()
	defer b.mu.Unlock()
	held := make(map[glade.Node]int)
	for _, s := range b.seats {
		held[s.term.Node]++
	}
	most := b.mostPower()
	class := func(node glade.Node) int {
		if float64(b.nodes[node].Power) >= strongShare*most {
			return 0
		}
		return 1
	}
	before := func(x, y glade.Node) int {
		return cmp.Or(cmp.Compare(class(x), class(y)), cmp.Compare(held[x], held[y]),
			cmp.Compare(weight(service, y), weight(service, x)))
	}
	rank := 0
	for node := range b.nodes {
		if node != b.config.Self && before(node, b.config.Self) < 0 {
			rank++
		}
	}
	return rank
}

// maxCapacity returns the capacity of the largest host, in millicores. The caller
// must hold the lock.
func (b *Board) mostPower() float64 {
	most := 0
	for _, row := range b.nodes {
		most = max(most, row.Power)
	}
	return float64(most)
}

// IsStrong reports whether this host has a high capacity compared to the largest
// host, which makes it a preferred leader.
func (b *Board) IsStrong() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return float64(b.config.Row.Power) >= strongShare*b.mostPower()
}

// rendezvousWeight returns the weight of a node for a service; the node with the
// highest weight is preferred.
func weight(service glade.Service, node glade.Node) uint64 {
	return xxhash.Sum64String(string(service) + "\x00" + string(node))
}

// Note records a term that this process has written or read. Versions older than
// the known one are ignored.
func (b *Board) Note(service glade.Service, term Term, version int64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.note(service, term, version)
}

func (b *Board) note(service glade.Service, term Term, version int64) {
	s, ok := b.seats[service]
	if !ok {
		s = &seat{}
		b.seats[service] = s
	}
	if version <= s.version {
		return
	}
	if s.term.Node != term.Node || s.term.Epoch != term.Epoch {
		b.config.Log.Info("lead", "service", service, "node", term.Node, "epoch", term.Epoch, "version", version)
	}
	s.term, s.version, s.changed = term, version, b.config.Clock.Now()
}

// Intervals and timeouts of the feeds.
const (
	// termFeedWait bounds a long poll of the term feed: a missing heartbeat counts only
	// while the feed is known to work.
	feedWait = time.Second
	// termPollPause is the pause between two polls of the term feed, so that one answer
	// carries the heartbeats of several leaders.
	termPause = 120 * time.Millisecond
	feedPause = 200 * time.Millisecond // after an error
	nodeWait  = 20 * time.Second       // bounds a long poll of the node feed; hosts rarely change
)

// RunTerms reads the terms and follows their changes until ctx ends.
func (b *Board) RunTerms(ctx context.Context) error {
	for ctx.Err() == nil {
		after, err := b.readTerms(ctx)
		for err == nil && ctx.Err() == nil && !b.wantsResync() {
			after, err = b.follow(ctx, after)
			if b.config.Clock.Sleep(ctx, termPause) != nil {
				return nil
			}
		}
		if err != nil && ctx.Err() == nil {
			b.lost(err)
			if b.config.Clock.Sleep(ctx, feedPause) != nil {
				return nil
			}
		}
	}
	return nil
}

func (b *Board) wantsResync() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.resync
}

func (b *Board) lost(err error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.synced {
		b.lostAt = b.config.Clock.Now()
		b.config.Log.Info("term feed lost: the store does not answer", "feed", tableTerm, "error", err.Error())
	}
	b.synced = false
}

// LostFor returns how long the store has been unreachable. It returns 0 while the
// store is reachable, and before it was reached for the first time.
func (b *Board) LostFor(now time.Time) time.Duration {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.synced || b.lostAt.IsZero() {
		return 0
	}
	return now.Sub(b.lostAt)
}

// Far returns the addresses of the known hosts in other availability zones.
func (b *Board) Far() []string {
	b.mu.Lock()
	defer b.mu.Unlock()
	var far []string
	for _, node := range b.nodes {
		if node.Zone != b.config.Row.Zone {
			far = append(far, node.Address)
		}
	}
	return far
}

// loadTerms reads the term of every service and returns the version after which
// the feed continues: the lowest version of the lists, so that no change is missed.
func (b *Board) readTerms(ctx context.Context) (int64, error) {
	b.mu.Lock()
	duties := b.duties
	b.resync = false
	b.mu.Unlock()
	from := int64(-1)
	for _, service := range duties {
		rows, version, err := b.config.Ledger.List(ctx, tableTerm, string(service))
		if err != nil {
			return 0, err
		}
		b.take(rows)
		if from < 0 || version < from {
			from = version
		}
	}
	if from < 0 {
		_, version, err := b.config.Ledger.List(ctx, tableTerm, "")
		if err != nil {
			return 0, err
		}
		from = version
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	b.steady = b.config.Clock.Now()
	b.answered = b.steady
	b.synced = true
	b.config.Log.Info("term feed established", "feed", tableTerm, "version", from, "services", len(duties))
	return from, nil
}

func (b *Board) follow(ctx context.Context, after int64) (int64, error) {
	rows, version, err := b.config.Ledger.Feed(ctx, tableTerm, after, feedWait)
	if err != nil {
		return 0, err
	}
	b.take(rows)
	b.mu.Lock()
	b.answered = b.config.Clock.Now()
	b.mu.Unlock()
	return version, nil
}

func (b *Board) take(rows []glade.PartRow) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, row := range rows {
		var term Term
		if err := json.Unmarshal(row.Value, &term); err != nil {
			b.config.Log.Error(errors.WithStack(err), "term row is not valid JSON", "service", row.Part)
			continue
		}
		b.note(glade.Service(row.Part), term, row.Version)
	}
}

// RunNodes writes the row of this host and follows the rows of the other hosts
// until ctx ends.
func (b *Board) RunNodes(ctx context.Context) error {
	for ctx.Err() == nil {
		after, err := b.readNodes(ctx)
		for err == nil && ctx.Err() == nil {
			var rows []glade.PartRow
			rows, after, err = b.config.Ledger.Feed(ctx, tableNode, after, nodeWait)
			b.takeNodes(rows)
		}
		if b.config.Clock.Sleep(ctx, feedPause) != nil {
			return nil
		}
	}
	return nil
}

func (b *Board) readNodes(ctx context.Context) (int64, error) {
	rows, version, err := b.config.Ledger.List(ctx, tableNode, partNodes)
	if err != nil {
		return 0, err
	}
	b.takeNodes(rows)
	own := glade.PartRow{Table: tableNode, Part: partNodes, Key: string(b.config.Self), Value: encode(b.config.Row)}
	for _, row := range rows {
		if row.Key == own.Key && string(row.Value) == string(own.Value) {
			return version, nil
		}
	}
	if _, _, result := b.config.Ledger.Commit(ctx, glade.PartTxn{Puts: []glade.PartRow{own}}); result != glade.Committed {
		return 0, errors.Errorf("node row of %s was not committed: %s", b.config.Self, result)
	}
	return version, nil
}

func (b *Board) takeNodes(rows []glade.PartRow) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, row := range rows {
		if row.Gone {
			delete(b.nodes, glade.Node(row.Key))
			continue
		}
		var node NodeRow
		if err := json.Unmarshal(row.Value, &node); err != nil {
			b.config.Log.Error(errors.WithStack(err), "node row is not valid JSON", "node", row.Key)
			continue
		}
		b.nodes[glade.Node(row.Key)] = node
	}
}

func encode(value any) []byte {
	data, err := json.Marshal(value)
	if err != nil {
		panic(errors.Wrap(err, "encode row as JSON")) // can't happen: rows hold only plain values
	}
	return data
}
