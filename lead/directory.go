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

// Tables, partitions and keys of the rows that this package stores, besides tablePaths and tableWave.
const (
	tableQuota     = "quota" // the shares of each tenant's limit, one partition a tenant
	tableTerm      = "term"  // the leader of each service
	tableNode      = "node"  // the hosts of this system
	tableBatch     = "work"  // batches as they were accepted
	tableProgress  = "mark"  // progress and final state of batches
	tableRunners   = "crew"  // runners that may be running tasks
	singletonKey   = "it"    // the only key of a partition in tableTerm and tableRunners
	nodesPartition = "nodes" // the only partition of tableNode
)

// Term is the row that names the leader of a service.
type Term struct {
	// Node is empty when the last leader has released the service.
	Node    glade.Node `json:"node"`
	Address string     `json:"address"`
	// Epoch is the fencing token: every new leader increments it.
	Epoch int64 `json:"epoch"`
	// Heartbeats counts the leader's heartbeats.
	Heartbeats int64 `json:"beat"`
	// LeasesMs is how long leases on runners may last after the release of the service, in milliseconds; 0 if that
	// is not known.
	LeasesMs int64 `json:"leases,omitempty"`
	// IsSettled means that the leases on runners that earlier leaders have granted are over.
	IsSettled bool `json:"settled,omitempty"`
	// Ended means that the service had left the contract and has no batches any more.
	Ended bool `json:"over,omitempty"`
}

// termEntry is the newest term of a service that this process has seen, and when
// it was first seen.
type termEntry struct {
	term      Term
	version   int64
	changedAt time.Time
	// current ends when a newer leader is seen, by a call of replaced.
	current  context.Context
	replaced context.CancelFunc
}

// NodeRow is the row of one of the system's hosts.
type NodeRow struct {
	Address string     `json:"address"`
	Zone    glade.Zone `json:"zone"`
	// Capacity is the work that the host can do within the limits of its processor
	// and its network link, in millicores.
	Capacity int `json:"power"`
}

// DirectoryConfig configures a directory of leaders.
type DirectoryConfig struct {
	Self             glade.Node
	Row              NodeRow
	PartitionedTable glade.PartitionedTable
	Clock            glade.Clock
	Log              logr.Logger
}

// Directory tracks which host leads each service, and the hosts that can lead.
type Directory struct {
	config   DirectoryConfig
	mu       sync.Mutex
	services []glade.Service
	entries  map[glade.Service]*termEntry
	nodes    map[glade.Node]NodeRow
	// feedOKSince is when the term feed was last established, lastAnswer when it last
	// answered.
	feedOKSince, lastAnswer time.Time
	synced                  bool
	lostAt                  time.Time
	resync                  bool
	// refresh ends the pause between two polls of the term feed.
	refresh chan struct{}
}

// NewDirectory returns a directory that knows only its own host until its feeds run.
func NewDirectory(config DirectoryConfig) *Directory {
	return &Directory{
		config: config, entries: make(map[glade.Service]*termEntry),
		nodes:   map[glade.Node]NodeRow{config.Self: config.Row},
		refresh: make(chan struct{}, 1),
	}
}

// SetServices sets the services that need a leader.
func (d *Directory) SetServices(services []glade.Service) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if !slices.Equal(d.services, services) {
		d.services = services
		d.resync = true
	}
}

// Services returns the services that need a leader, and whether their terms are
// in sync with the store. Those that have left the contract need one until their batches are over.
func (d *Directory) Services() ([]glade.Service, bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	return slices.Concat(d.services, d.departed()), d.synced
}

// Leader returns the term of a service's leader as last seen, and false if no
// leader is known.
func (d *Directory) Leader(service glade.Service) (Term, bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	e, ok := d.entries[service]
	if !ok || e.term.Node == "" {
		return Term{}, false
	}
	return e.term, true
}

// boundToEpoch returns a context that also ends when another host leads the service than the
// leader of an epoch: an answer of that one would come late or never.
func (d *Directory) boundToEpoch(ctx context.Context, service glade.Service, epoch int64) (context.Context, context.CancelFunc) {
	bounded, cancel := context.WithCancel(ctx)
	d.mu.Lock()
	defer d.mu.Unlock()
	e, ok := d.entries[service]
	if !ok || e.term.Epoch != epoch {
		return bounded, cancel
	}
	stop := context.AfterFunc(e.current, cancel)
	return bounded, func() {
		stop()
		cancel()
	}
}

// Heartbeat describes the last heartbeat that was seen of a service's leader.
type Heartbeat struct {
	Term    Term
	Version int64
	// Age is the time since the last heartbeat, or since the feed was established
	// if that is shorter. ObservedAge is the part of it up to the store's last
	// answer: while the store does not answer, no leader's heartbeat can be seen.
	Age, ObservedAge time.Duration
}

// LastHeartbeat returns the last heartbeat of a service's leader as of the time now.
func (d *Directory) LastHeartbeat(service glade.Service, now time.Time) Heartbeat {
	d.mu.Lock()
	defer d.mu.Unlock()
	since := d.feedOKSince
	var out Heartbeat
	if e, ok := d.entries[service]; ok {
		out.Term, out.Version = e.term, e.version
		if e.changedAt.After(since) {
			since = e.changedAt
		}
	}
	out.Age = now.Sub(since)
	out.ObservedAge = max(d.lastAnswer.Sub(since), 0)
	return out
}

// highCapacityShare is the share of the largest host's capacity that a host needs to
// be preferred as a leader.
const highCapacityShare = 0.6

// Rank returns how many nodes are preferred over this one as the leader of a
// service: nodes of high capacity come first, then nodes that lead fewer services,
// then the order of a rendezvous hash.
func (d *Directory) Rank(service glade.Service) int {
	d.mu.Lock()
	defer d.mu.Unlock()
	preferred := d.preference(service)
	rank := 0
	for node := range d.nodes {
		if node != d.config.Self && preferred(node, d.config.Self) < 0 {
			rank++
		}
	}
	return rank
}

// successors returns the other hosts, the preferred ones for a service first.
func (d *Directory) successors(service glade.Service) []successor {
	d.mu.Lock()
	defer d.mu.Unlock()
	var list []successor
	for node, row := range d.nodes {
		if node != d.config.Self {
			list = append(list, successor{node: node, address: row.Address})
		}
	}
	preferred := d.preference(service)
	slices.SortFunc(list, func(x, y successor) int { return preferred(x.node, y.node) })
	return list
}

// preference returns the order of hosts as the leader of a service. The caller must hold
// the lock.
func (d *Directory) preference(service glade.Service) func(x, y glade.Node) int {
	ledServices := make(map[glade.Node]int)
	for _, e := range d.entries {
		ledServices[e.term.Node]++
	}
	largest := d.maxCapacity()
	tier := func(node glade.Node) int {
		if float64(d.nodes[node].Capacity) >= highCapacityShare*largest {
			return 0
		}
		return 1
	}
	return func(x, y glade.Node) int {
		return cmp.Or(cmp.Compare(tier(x), tier(y)), cmp.Compare(ledServices[x], ledServices[y]),
			cmp.Compare(rendezvousWeight(service, y), rendezvousWeight(service, x)))
	}
}

// maxCapacity returns the capacity of the largest host, in millicores. The caller
// must hold the lock.
func (d *Directory) maxCapacity() float64 {
	largest := 0
	for _, row := range d.nodes {
		largest = max(largest, row.Capacity)
	}
	return float64(largest)
}

// HasHighCapacity reports whether this host has a high capacity compared to the
// largest host, which makes it a preferred leader.
func (d *Directory) HasHighCapacity() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return float64(d.config.Row.Capacity) >= highCapacityShare*d.maxCapacity()
}

// rendezvousWeight returns the weight of a node for a service; the node with the
// highest weight is preferred.
func rendezvousWeight(service glade.Service, node glade.Node) uint64 {
	return xxhash.Sum64String(string(service) + "\x00" + string(node))
}

// RecordTerm records a term that this process has written or read. Versions
// that are not newer than the known one are ignored.
func (d *Directory) RecordTerm(service glade.Service, term Term, version int64) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.record(service, term, version)
}

// record records a term. The caller must hold the lock.
func (d *Directory) record(service glade.Service, term Term, version int64) {
	e, ok := d.entries[service]
	if !ok {
		e = &termEntry{}
		e.current, e.replaced = context.WithCancel(context.Background())
		d.entries[service] = e
	}
	if version <= e.version {
		return
	}
	if e.term.Node != term.Node || e.term.Epoch != term.Epoch {
		d.config.Log.Info("lead", "service", service, "node", term.Node, "epoch", term.Epoch, "version", version)
	}
	if e.term.Epoch != term.Epoch && term.Node != "" {
		e.replaced()
		e.current, e.replaced = context.WithCancel(context.Background())
	}
	e.term, e.version, e.changedAt = term, version, d.config.Clock.Now()
}

// Intervals and timeouts of the feeds.
const (
	// termFeedWait bounds a long poll of the term feed. Each answer, even an empty one,
	// shows that the feed works, and a missing heartbeat counts only up to the last answer.
	termFeedWait = time.Second
	// lateFeedWait bounds it on hosts that may claim a service whose heartbeat is overdue,
	// so that they don't notice a missing one up to a second late.
	lateFeedWait = 200 * time.Millisecond
	// termPollPause is the pause between two polls of the term feed, so that one answer
	// carries the heartbeats of several leaders.
	termPollPause = 120 * time.Millisecond
	// maxFeedGap is the longest interruption of the term feed after which the time without a
	// heartbeat still counts from the last one: together with heartbeatPeriod it is below
	// heartbeatTimeout. A store that refuses single calls would otherwise delay takeovers.
	maxFeedGap = 700 * time.Millisecond
	// remotePollPause is the pause on hosts that many others are preferred to for every
	// service. They need the terms only to find the leaders, and poll at once when a
	// call to one fails.
	remotePollPause = 500 * time.Millisecond
	feedRetryPause  = 200 * time.Millisecond // after an error
	nodeFeedWait    = 20 * time.Second       // bounds a long poll of the node feed; hosts rarely change
)

// FollowTerms reads the terms and follows their changes until ctx ends.
func (d *Directory) FollowTerms(ctx context.Context) error {
	for ctx.Err() == nil {
		after, err := d.loadTerms(ctx)
		for err == nil && ctx.Err() == nil && !d.needsResync() {
			after, err = d.pollTerms(ctx, after)
			if d.pausePolls(ctx) != nil {
				return nil
			}
		}
		if err != nil && ctx.Err() == nil {
			d.markFeedLost(err)
			if d.config.Clock.Sleep(ctx, feedRetryPause) != nil {
				return nil
			}
		}
	}
	return nil
}

// Refresh polls the term feed without waiting for the end of the pause.
func (d *Directory) Refresh() { wake(d.refresh) }

// pausePolls waits for the pause between two polls of the term feed.
func (d *Directory) pausePolls(ctx context.Context) error {
	if err := d.config.Clock.Sleep(ctx, termPollPause); err != nil || d.mayClaim() {
		return err
	}
	bounded, cancel := context.WithTimeout(ctx, remotePollPause-termPollPause)
	defer cancel()
	select {
	case <-bounded.Done():
	case <-d.refresh:
	}
	return ctx.Err()
}

// mayClaim reports whether this host leads a service, or is among the first that would
// claim one.
func (d *Directory) mayClaim() bool {
	services, _ := d.Services()
	for _, service := range services {
		if d.Rank(service) < maxClaimRank {
			return true
		}
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, e := range d.entries {
		if e.term.Node == d.config.Self {
			return true
		}
	}
	return false
}

func (d *Directory) needsResync() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.resync
}

func (d *Directory) markFeedLost(err error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.synced {
		d.lostAt = d.config.Clock.Now()
		d.config.Log.Info("term feed lost; the terms are read again", "feed", tableTerm, "error", err.Error())
	}
	d.synced = false
}

// StoreOutage returns how long the store has been unreachable. It returns 0
// while the store is reachable, and before it was reached for the first time.
func (d *Directory) StoreOutage(now time.Time) time.Duration {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.synced || d.lostAt.IsZero() {
		return 0
	}
	return now.Sub(d.lostAt)
}

// OtherZoneAddresses returns the addresses of the known hosts in other availability zones.
func (d *Directory) OtherZoneAddresses() []string {
	d.mu.Lock()
	defer d.mu.Unlock()
	var addresses []string
	for _, node := range d.nodes {
		if node.Zone != d.config.Row.Zone {
			addresses = append(addresses, node.Address)
		}
	}
	return addresses
}

// loadTerms reads the term of every service and returns the version after which
// the feed continues: the lowest version of the lists, so that no change is missed.
func (d *Directory) loadTerms(ctx context.Context) (int64, error) {
	d.mu.Lock()
	services := d.services
	d.resync = false
	d.mu.Unlock()
	services = append(slices.Clip(services), d.listDeparted(ctx, services)...)
	from := int64(-1)
	for _, service := range services {
		rows, version, err := d.config.PartitionedTable.List(ctx, tableTerm, string(service))
		if err != nil {
			return 0, err
		}
		d.applyTerms(rows)
		if from < 0 || version < from {
			from = version
		}
	}
	if from < 0 {
		_, version, err := d.config.PartitionedTable.List(ctx, tableTerm, "")
		if err != nil {
			return 0, err
		}
		from = version
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	now := d.config.Clock.Now()
	if d.synced || now.Sub(d.lastAnswer) > maxFeedGap {
		d.feedOKSince = now
	}
	d.lastAnswer = now
	d.synced = true
	d.config.Log.Info("term feed established", "feed", tableTerm, "version", from, "services", len(services))
	return from, nil
}

// missesHeartbeat reports whether a leader's heartbeat is overdue.
func (d *Directory) missesHeartbeat() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := d.config.Clock.Now()
	for _, service := range d.services {
		if e, ok := d.entries[service]; ok && e.term.Node != "" && now.Sub(e.changedAt) > heartbeatPeriod+lateFeedWait {
			return true
		}
	}
	return false
}

func (d *Directory) pollTerms(ctx context.Context, after int64) (int64, error) {
	wait := termFeedWait
	if d.missesHeartbeat() && d.mayClaim() {
		wait = lateFeedWait
	}
	rows, version, err := d.config.PartitionedTable.Feed(ctx, tableTerm, after, wait)
	if err != nil {
		return 0, err
	}
	d.applyTerms(rows)
	d.mu.Lock()
	d.lastAnswer = d.config.Clock.Now()
	d.mu.Unlock()
	return version, nil
}

func (d *Directory) applyTerms(rows []glade.PartitionRow) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, row := range rows {
		var term Term
		if err := json.Unmarshal(row.Value, &term); err != nil {
			d.config.Log.Error(errors.WithStack(err), "term row is not valid JSON", "service", row.Part)
			continue
		}
		d.record(glade.Service(row.Part), term, row.Version)
	}
}

func encodeRow(value any) []byte {
	data, err := json.Marshal(value)
	if err != nil {
		panic(errors.Wrap(err, "encode row as JSON")) // can't happen: rows hold only plain values
	}
	return data
}
