package load

import (
	"context"
	"sort"
	"time"

	glade "indigoglade"
	"indigoglade/config"
	"indigoglade/remote"
	"indigoglade/table"
)

// pollPeriod is the interval at which the watcher polls the fleet.
const pollPeriod = 200 * time.Millisecond

// Budget is the observed use of one pool's availability budget.
type Budget struct {
	Pool glade.Pool `json:"pool"`
	// MaxDown is the largest number of hosts that may be down at the same time.
	MaxDown int `json:"allowed"`
	// PeakDown is the largest number of hosts that were down at the same time.
	PeakDown int `json:"most"`
}

// IsExceeded reports whether more hosts were down than allowed.
func (b Budget) IsExceeded() bool { return b.PeakDown > b.MaxDown }

// downTracker counts the hosts that are down. It compares the rows of the table service with the
// state of the hosts at the simulated platform and does not rely on what keepers report.
type downTracker struct {
	// lastOpenPool is the pool in which each host was last open. A host that joins a pool counts as
	// down only after it has been open there once.
	lastOpenPool map[glade.Host]glade.Pool
	budgets      map[glade.Pool]*Budget
}

func newDownTracker() *downTracker {
	return &downTracker{lastOpenPool: make(map[glade.Host]glade.Pool), budgets: make(map[glade.Pool]*Budget)}
}

// update records one state of the fleet.
func (t *downTracker) update(contracts []glade.ContractSpec, rows []glade.HostRow, states []hostState) {
	open := make(map[glade.Host]glade.Service)
	for _, state := range states {
		if state.Open {
			open[state.Host] = state.Service
		}
	}
	down := make(map[glade.Pool]int)
	for _, row := range rows {
		if open[row.Host] == row.Service {
			t.lastOpenPool[row.Host] = row.Pool
		} else if t.lastOpenPool[row.Host] == row.Pool && row.Target == "" {
			// A host that moves to another pool is surplus to this one, not down.
			down[row.Pool]++
		}
	}
	for _, spec := range contracts {
		for _, pool := range spec.Pools {
			t.recordDown(pool.Name, spec.Budget.Down, down[pool.Name])
		}
	}
}

func (t *downTracker) recordDown(pool glade.Pool, allowed, down int) {
	b, ok := t.budgets[pool]
	if !ok {
		b = &Budget{Pool: pool, MaxDown: allowed}
		t.budgets[pool] = b
	}
	// A later contract with a lower budget does not turn earlier states into violations.
	b.MaxDown = max(b.MaxDown, allowed)
	b.PeakDown = max(b.PeakDown, down)
}

func (t *downTracker) report() []Budget {
	budgets := make([]Budget, 0, len(t.budgets))
	for _, b := range t.budgets {
		budgets = append(budgets, *b)
	}
	sort.Slice(budgets, func(i, j int) bool { return budgets[i].Pool < budgets[j].Pool })
	return budgets
}

// watcher polls the fleet while load runs.
type watcher struct {
	platform    *remote.Client
	address     string
	downTracker *downTracker
	polls       int
	failedPolls int
	done        chan struct{}
}

func newWatcher(site config.SiteSpec) *watcher {
	return &watcher{
		platform:    remote.New(remote.Config{Address: site.Platform, Zone: "operator"}),
		address:     site.Platform,
		downTracker: newDownTracker(),
		done:        make(chan struct{}),
	}
}

func (w *watcher) run(ctx context.Context) {
	defer close(w.done)
	for ctx.Err() == nil {
		if err := w.update(ctx); err != nil {
			w.failedPolls++
		} else {
			w.polls++
		}
		select {
		case <-ctx.Done():
		case <-time.After(pollPeriod):
		}
	}
}

func (w *watcher) wait() { <-w.done }

func (w *watcher) update(ctx context.Context) error {
	contracts, err := table.LoadAll[glade.ContractRow](ctx, w.platform, glade.PrefixContract)
	if err != nil {
		return err
	}
	hosts, err := table.LoadAll[glade.HostRow](ctx, w.platform, glade.PrefixHost)
	if err != nil {
		return err
	}
	states, err := fetch[[]hostState](w.address, "/truth")
	if err != nil {
		return err
	}
	var specs []glade.ContractSpec
	for _, record := range contracts {
		specs = append(specs, record.Data().Spec)
	}
	var rows []glade.HostRow
	for _, record := range hosts {
		rows = append(rows, record.Data())
	}
	w.downTracker.update(specs, rows, states)
	return nil
}
