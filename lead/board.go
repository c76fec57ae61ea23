// Package lead shares the services out over the hosts: one lead each, which
// runs the decisions of package sched against the platform.
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

// Tables of the system's own rows.
const (
	tableTerm = "term"  // who leads a service
	tableNode = "node"  // the system's own hosts
	tableWork = "work"  // batches as they were accepted
	tableMark = "mark"  // what happened to them
	tableCrew = "crew"  // runners that may run tasks
	keyOnly   = "it"    // the one key of a partition in tableTerm and tableCrew
	partNodes = "nodes" // the one partition of tableNode
)

// Term is the row that names the lead of a service.
type Term struct {
	// Node is empty when the last lead has given the service up.
	Node    glade.Node `json:"node"`
	Address string     `json:"address"`
	// Epoch is the fence: it rises with every lead.
	Epoch int64 `json:"epoch"`
	Beat  int64 `json:"beat"`
}

// seat is a service's term as the board knows it.
type seat struct {
	term    Term
	version int64
	changed time.Time
}

// NodeRow is the row of one of the system's hosts.
type NodeRow struct {
	Address string     `json:"address"`
	Zone    glade.Zone `json:"zone"`
	// Power tells how much work the host can do, in thousandths of a core, as
	// its processor and its link allow.
	Power int `json:"power"`
}

// BoardConfig configures a Board.
type BoardConfig struct {
	Self   glade.Node
	Row    NodeRow
	Ledger glade.Ledger
	Clock  glade.Clock
	Log    logr.Logger
}

// Board follows who leads which service.
type Board struct {
	config BoardConfig
	mu     sync.Mutex
	duties []glade.Service
	seats  map[glade.Service]*seat
	nodes  map[glade.Node]NodeRow
	// steady is since when the feed has gone on without an error, answered when
	// it last answered.
	steady, answered time.Time
	synced           bool
	lostAt           time.Time
	resync           bool
}

// NewBoard returns a board that knows nothing yet.
func NewBoard(config BoardConfig) *Board {
	return &Board{
		config: config, seats: make(map[glade.Service]*seat),
		nodes: map[glade.Node]NodeRow{config.Self: config.Row},
	}
}

// SetDuties tells the board which services there are.
func (b *Board) SetDuties(duties []glade.Service) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if !slices.Equal(b.duties, duties) {
		b.duties = duties
		b.resync = true
	}
}

// Duties returns the services, and whether the board knows their terms.
func (b *Board) Duties() ([]glade.Service, bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.duties, b.synced
}

// Lead returns the node and address of a service's lead, as far as is known.
func (b *Board) Lead(service glade.Service) (Term, bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	s, ok := b.seats[service]
	if !ok || s.term.Node == "" {
		return Term{}, false
	}
	return s.term, true
}

// Silence is what is known of the signs of life of a service's lead.
type Silence struct {
	Term    Term
	Version int64
	// Idle is the time since its last sign, Silent the part of it over which the
	// store has answered: while the store is silent, so is every lead.
	Idle, Silent time.Duration
}

// Silence returns how long nothing has been heard of a service's lead.
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

// strongShare of the strongest host's power is what a host needs to be among the
// first to lead.
const strongShare = 0.6

// Rank returns how many nodes would rather lead a service than the own one: the
// strong ones first, then those with fewer services, then by a hash.
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

// mostPower returns the power of the strongest host. The caller holds the lock.
func (b *Board) mostPower() float64 {
	most := 0
	for _, row := range b.nodes {
		most = max(most, row.Power)
	}
	return float64(most)
}

// IsStrong tells whether the own host is among the first to lead.
func (b *Board) IsStrong() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return float64(b.config.Row.Power) >= strongShare*b.mostPower()
}

func weight(service glade.Service, node glade.Node) uint64 {
	return xxhash.Sum64String(string(service) + "\x00" + string(node))
}

// Note takes over a term that this process wrote or met.
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

// Times of the board.
const (
	// feedWait is how long the platform may wait for a change: silence of a lead
	// shows only over a feed that is known to work.
	feedWait = time.Second
	// termPause collects the signs of life of some leads into one answer.
	termPause = 120 * time.Millisecond
	feedPause = 200 * time.Millisecond // after an error
	nodeWait  = 20 * time.Second       // hosts come and go seldom
)

// RunTerms follows the terms until ctx ends.
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
		b.config.Log.Info("store lost", "feed", tableTerm, "error", err.Error())
	}
	b.synced = false
}

// LostFor returns how long the store has not been reached; 0 while it is, and
// before it was for the first time.
func (b *Board) LostFor(now time.Time) time.Duration {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.synced || b.lostAt.IsZero() {
		return 0
	}
	return now.Sub(b.lostAt)
}

// Far returns the addresses of the hosts in other zones.
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

// readTerms reads the term of every service, and returns the version from which
// the feed goes on.
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
	b.config.Log.Info("store found", "feed", tableTerm, "version", from, "services", len(duties))
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
			b.config.Log.Error(errors.WithStack(err), "unreadable term", "service", row.Part)
			continue
		}
		b.note(glade.Service(row.Part), term, row.Version)
	}
}

// RunNodes writes the own row and follows those of the other hosts.
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
		return 0, errors.Errorf("write of node %s: %s", b.config.Self, result)
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
			b.config.Log.Error(errors.WithStack(err), "unreadable node", "node", row.Key)
			continue
		}
		b.nodes[glade.Node(row.Key)] = node
	}
}

func encode(value any) []byte {
	data, err := json.Marshal(value)
	if err != nil {
		panic(errors.Wrap(err, "encode a row")) // rows hold only plain values
	}
	return data
}
