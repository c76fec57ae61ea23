package lead

import (
	"context"
	"encoding/json"
	"maps"
	"strconv"
	"sync"
	"time"

	"github.com/pkg/errors"

	glade "indigoglade"
	"indigoglade/sched"
)

// errLoadStalled means that this host can't read the rows of a service although the store
// takes its writes: another host may be able to.
var errLoadStalled = errors.New("no page of the rows has arrived in time")

// Sizes of the pages that a new leader reads, and times.
const (
	// firstPageRows is the size of the first page of a table, while the size of a row is not
	// known: a row may have 64 KB.
	firstPageRows  = 8
	maxPageRows    = 500 // in one response of the platform
	firstPageBytes = 64 << 10
	minPageBytes   = 1 << 10
	maxPageBytes   = 1 << 20 // in one response of the platform
	// A page that takes longer than slowPage is followed by one of half the size, a full one
	// that takes less than fastPage by one of twice the size. What a failed read has
	// transferred is lost.
	slowPage = time.Second
	fastPage = 500 * time.Millisecond
	// pageTimeout is how long a host keeps a term without reading a page. Ten first pages of
	// the largest rows take 5.5 s at 10 Mbit/s.
	pageTimeout = 8 * time.Second
)

// pageSize is the size of the values to read at once, in bytes. It adapts to the link of this
// host, which the services that it takes over at the same time share.
type pageSize struct {
	mu    sync.Mutex
	bytes int
}

func newPageSize() *pageSize { return &pageSize{bytes: firstPageBytes} }

// rows returns the number of rows to ask for after those that were read.
func (p *pageSize) rows(read, bytes int) int {
	if read == 0 {
		return firstPageRows
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	return min(max(p.bytes*read/max(bytes, 1), 1), maxPageRows)
}

// observe adapts the size to how the read of a page of some bytes went.
func (p *pageSize) observe(bytes int, took time.Duration, err error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	switch {
	case err != nil || took > slowPage:
		p.bytes = max(p.bytes/2, minPageBytes)
	case took < fastPage && bytes > p.bytes/2:
		p.bytes = min(2*p.bytes, maxPageBytes)
	}
}

// tableRows holds the rows of one table that a new leader has read so far. No older write can
// take effect any more, so that they stay valid when a later read fails.
type tableRows struct {
	table    string
	rows     []glade.PartitionRow
	bytes    int    // size of the rows' values
	next     string // where the listing continues
	complete bool
}

// TakeoverStats describes how a leader has read the rows of its service.
type TakeoverStats struct {
	Rows  int `json:"rows"`
	Pages int `json:"pages"`
	// Bytes is the size of the rows' values.
	Bytes int64 `json:"bytes"`
	// Ms is how long the reads took, in milliseconds.
	Ms int64 `json:"ms"`
	// BoundMs is Bound for the services that this host leads, if all are of this size.
	BoundMs int64 `json:"bound"`
}

// Bound returns how long the reads take over a link of so many bytes per second, if the store
// serves this host and as many services of this size are taken over at once.
func (s TakeoverStats) Bound(bytesPerSecond float64, services int) time.Duration {
	const (
		rowOverhead = 150                   // names, version and punctuation, in bytes
		answerTime  = 20 * time.Millisecond // of the store, without the transfer
		usualBytes  = firstPageBytes / 2    // of a page, while it adapts
	)
	sent := float64(s.Bytes)*4/3 + float64(s.Rows)*rowOverhead // values are sent in base64
	transfer := time.Duration(float64(services) * sent / bytesPerSecond * float64(time.Second))
	pages := 6 + s.Bytes/usualBytes
	return transfer + time.Duration(pages)*answerTime
}

// loader reads the rows of a service for its new leader, page by page, and renews the term
// meanwhile.
type loader struct {
	leader            *ServiceLeader
	batches, progress tableRows
	// runners are the rows of the runners in use; there is none before the first one.
	runners []glade.PartitionRow
	paths   glade.PartitionRow
	stats   TakeoverStats
	// progressAt is when a page was last read, or when the store last did not take a
	// renewal: an outage of the store is no reason to release the term.
	progressAt time.Time
}

func newLoader(leader *ServiceLeader) *loader {
	return &loader{
		leader: leader, batches: tableRows{table: tableBatch}, progress: tableRows{table: tableProgress},
		progressAt: leader.clock.Now(),
	}
}

// load reads until all rows are there. It fails when leadership is lost, ctx ends or no page
// arrives for pageTimeout.
func (l *loader) load(ctx context.Context) error {
	began := l.leader.clock.Now()
	for _, t := range []*tableRows{&l.batches, &l.progress} {
		for !t.complete {
			if err := l.readPage(ctx, t); err != nil {
				return err
			}
		}
	}
	if err := l.readRunners(ctx); err != nil {
		return err
	}
	if err := l.readRow(ctx, tablePaths, singletonKey, &l.paths); err != nil {
		return err
	}
	l.stats.Ms = l.leader.clock.Now().Sub(began).Milliseconds()
	return nil
}

// pageRead is one read in flight.
type pageRead struct {
	table       glade.PartitionedTable
	clock       glade.Clock
	name, part  string
	from        string
	limit       int
	began, over time.Time
	page        glade.RowPage
	err         error
	done        chan struct{} // closed when run has ended
}

func (r *pageRead) run(ctx context.Context) {
	defer close(r.done)
	r.page, r.err = r.table.ListPage(ctx, r.name, r.part, r.from, r.limit)
	r.over = r.clock.Now()
}

// readPage reads the next page of a table. A read that fails is logged, and is to be repeated.
func (l *loader) readPage(ctx context.Context, t *tableRows) error {
	s := l.leader
	pages := s.manager.pages
	bounded, cancel := context.WithCancel(ctx)
	defer cancel()
	r := &pageRead{
		table: s.manager.config.PartitionedTable, clock: s.clock, name: t.table, part: string(s.service), from: t.next,
		limit: pages.rows(len(t.rows), t.bytes), began: s.clock.Now(), done: make(chan struct{}),
	}
	go r.run(bounded)
	if err := l.renewUntil(ctx, r.done); err != nil {
		return err
	}
	bytes := 0
	for _, row := range r.page.Rows {
		bytes += len(row.Value)
	}
	pages.observe(bytes, r.over.Sub(r.began), r.err)
	if r.err != nil {
		s.manager.config.Log.Info("service rows could not be read", "service", s.service, "table", t.table, "read", len(t.rows),
			"limit", r.limit, "error", r.err.Error())
		return s.clock.Sleep(ctx, storeRetryPause)
	}
	l.progressAt = r.over
	t.rows = append(t.rows, r.page.Rows...)
	t.next, t.complete = r.page.Next, r.page.Next == ""
	l.stats.Pages++
	l.stats.Rows += len(r.page.Rows)
	l.stats.Bytes += int64(bytes)
	t.bytes += bytes
	return nil
}

// renewUntil renews the term whenever that is due, until a read is done.
func (l *loader) renewUntil(ctx context.Context, done <-chan struct{}) error {
	s := l.leader
	for {
		if err := l.renew(ctx); err != nil {
			return err
		}
		if s.clock.Now().Sub(l.progressAt) > pageTimeout {
			return errLoadStalled
		}
		timer := time.NewTimer(storeRetryPause)
		select {
		case <-done:
			timer.Stop()
			return nil
		case <-ctx.Done():
			timer.Stop()
			return ctx.Err()
		case <-timer.C:
		}
	}
}

// renew renews the term if that is due.
func (l *loader) renew(ctx context.Context) error {
	s := l.leader
	if s.clock.Now().Sub(s.heartbeatAt) < heartbeatPeriod {
		return nil
	}
	result, err := s.commit(ctx, nil, nil, true)
	if err == nil && result == glade.Uncertain {
		err = s.fencePendingWrite(ctx)
	}
	if result != glade.Committed {
		l.progressAt = s.clock.Now()
	}
	return err
}

// runnersKey returns the key of one of the rows of the runners in use.
func runnersKey(part int) string {
	if part == 0 {
		return singletonKey
	}
	return strconv.Itoa(part)
}

// readRunners reads the rows of the runners in use. The first one tells how many there are.
func (l *loader) readRunners(ctx context.Context) error {
	for part, count := 0, 1; part < count; part++ {
		var row glade.PartitionRow
		if err := l.readRow(ctx, tableRunners, runnersKey(part), &row); err != nil {
			return err
		}
		l.runners = append(l.runners, row)
		var first sched.RegistryRow
		if part == 0 && row.Version > 0 && json.Unmarshal(row.Value, &first) == nil {
			count = max(first.Parts, 1)
		}
	}
	return nil
}

// decodeRunners decodes the rows of the runners in use. They are written in one transaction, so that it is an
// error if one of several is missing.
func decodeRunners(rows []glade.PartitionRow) ([]sched.RegistryRow, error) {
	decoded := make([]sched.RegistryRow, len(rows))
	for i, row := range rows {
		if row.Version == 0 && len(rows) == 1 {
			return nil, nil
		}
		if err := json.Unmarshal(row.Value, &decoded[i]); err != nil {
			return nil, errors.Wrapf(err, "row %s", row.Key)
		}
	}
	return decoded, nil
}

// readRow reads a row.
func (l *loader) readRow(ctx context.Context, table, key string, row *glade.PartitionRow) error {
	s := l.leader
	for {
		found, err := s.manager.config.PartitionedTable.Get(ctx, table, string(s.service), key)
		if err == nil {
			*row = found
			return nil
		}
		s.manager.config.Log.Info("service rows could not be read", "service", s.service, "table", table, "error", err.Error())
		if err := l.renew(ctx); err != nil {
			return err
		}
		if s.clock.Now().Sub(l.progressAt) > pageTimeout {
			return errLoadStalled
		}
		if err := s.clock.Sleep(ctx, storeRetryPause); err != nil {
			return err
		}
	}
}

// giveUpLoading releases the term for another host. This host claims no service for a time, so
// that one with a better link goes first.
func (s *ServiceLeader) giveUpLoading(ctx context.Context) {
	m := s.manager
	m.mu.Lock()
	m.hold.extend(s.clock.Now())
	m.mu.Unlock()
	m.config.Log.Info("term given up", "service", s.service, "epoch", s.term.Epoch, "why", errLoadStalled.Error())
	s.leadership.release(ctx)
}

// recordTakeover records and logs what a new leader has read.
func (m *Manager) recordTakeover(service glade.Service, stats TakeoverStats) {
	m.mu.Lock()
	if m.config.Limits.LinkRate > 0 {
		stats.BoundMs = stats.Bound(m.config.Limits.LinkRate, max(len(m.leaders), 1)).Milliseconds()
	}
	m.takeovers[service] = stats
	m.mu.Unlock()
	m.config.Log.Info("service rows read", "service", service, "rows", stats.Rows, "pages", stats.Pages, "bytes", stats.Bytes,
		"ms", stats.Ms, "bound", stats.BoundMs)
}

// Takeovers returns, for each service that this process has led, what it read when it last took
// the service over.
func (m *Manager) Takeovers() map[glade.Service]TakeoverStats {
	m.mu.Lock()
	defer m.mu.Unlock()
	return maps.Clone(m.takeovers)
}
