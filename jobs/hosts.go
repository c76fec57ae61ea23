package jobs

import (
	"context"
	"slices"
	"strings"

	glade "indigoglade"
	"indigoglade/owner"
	"indigoglade/table"
)

// sweepRows is the number of host rows that the sweep reads in one step.
const sweepRows = 10

// maxHostReloads is the maximum number of host rows that one step reads because
// they may be stale.
const maxHostReloads = 50

// hostView caches the platform's host list, which lags, and the ownership rows of
// the hosts. A row is read again when its list entry changes, when a placement on
// the host was not written or a worker refused a start, and by a slow sweep over
// all rows. A stale row causes a conflict but never a wrong placement, because
// placements are conditional on the version of the row.
type hostView struct {
	config Config
	listed map[glade.Host]glade.HostListing
	rows   map[glade.Host]owner.Host
	stale  map[glade.Host]bool
	// owned holds the hosts of each customer, and changed the customers whose
	// hosts may have changed.
	owned   map[glade.Customer]map[glade.Host]bool
	changed map[glade.Customer]bool
	// cursor is the key after which the sweep continues.
	cursor string
	// loaded is set once all rows were read.
	loaded bool
}

func newHostView(config Config) *hostView {
	return &hostView{
		config:  config,
		listed:  make(map[glade.Host]glade.HostListing),
		rows:    make(map[glade.Host]owner.Host),
		stale:   make(map[glade.Host]bool),
		owned:   make(map[glade.Customer]map[glade.Host]bool),
		changed: make(map[glade.Customer]bool),
	}
}

// step updates the view from the host list and the host rows.
func (v *hostView) step(ctx context.Context) error {
	list, err := v.config.Hosts.List(ctx)
	if err != nil {
		return err
	}
	for _, entry := range list {
		if before, known := v.listed[entry.Host]; !known || before != entry {
			v.listed[entry.Host] = entry
			v.stale[entry.Host] = true
			v.changed[v.rows[entry.Host].Data().Customer] = true
		}
	}
	if !v.loaded {
		return v.loadAll(ctx)
	}
	if err := v.reload(ctx); err != nil {
		return err
	}
	return v.sweep(ctx)
}

func (v *hostView) loadAll(ctx context.Context) error {
	records, err := table.LoadAll[glade.HostRow](ctx, v.config.Table, glade.PrefixHost)
	if err != nil {
		return err
	}
	for _, record := range records {
		v.setRow(record.Data().Host, record)
	}
	v.loaded = true
	clear(v.stale)
	return nil
}

// setRow stores a host's row and updates the hosts of its old and new customer.
func (v *hostView) setRow(host glade.Host, record owner.Host) {
	old := v.rows[host]
	v.rows[host] = record
	if old.Version() == record.Version() {
		return
	}
	before, after := old.Data().Customer, record.Data().Customer
	delete(v.owned[before], host)
	if v.owned[after] == nil {
		v.owned[after] = make(map[glade.Host]bool)
	}
	v.owned[after][host] = true
	v.changed[before] = true
	v.changed[after] = true
}

func (v *hostView) reload(ctx context.Context) error {
	hosts := make([]glade.Host, 0, len(v.stale))
	for host := range v.stale {
		hosts = append(hosts, host)
	}
	slices.Sort(hosts)
	for _, host := range hosts[:min(len(hosts), maxHostReloads)] {
		record, err := owner.LoadHost(ctx, v.config.Table, host)
		if err != nil {
			return err
		}
		v.setRow(host, record)
		delete(v.stale, host)
	}
	return nil
}

func (v *hostView) sweep(ctx context.Context) error {
	rows, err := v.config.Table.Scan(ctx, glade.PrefixHost, v.cursor, sweepRows)
	if err != nil {
		return err
	}
	v.cursor = ""
	for _, row := range rows {
		record, err := table.Decode[glade.HostRow](row)
		if err != nil {
			return err
		}
		v.setRow(glade.Host(strings.TrimPrefix(row.Key, glade.PrefixHost)), record)
		if len(rows) == sweepRows {
			v.cursor = row.Key
		}
	}
	return nil
}

// target returns the placement target for a host, and whether the host accepts new
// tasks.
func (v *hostView) target(host glade.Host) (Target, bool) {
	row := v.rows[host].Data()
	listed, known := v.listed[host]
	target := Target{Host: host, Rack: row.Rack, Epoch: row.Epoch, Incarnation: listed.Incarnation}
	serves := listed.Service == row.Service && !listed.Leaving
	return target, known && serves && row.Phase == glade.HostServing
}

// mustVacate reports whether the customer's tasks must stop on a host: it is not
// serving, for example draining, or belongs to another customer.
func (v *hostView) mustVacate(host glade.Host, customer glade.Customer) bool {
	row := v.rows[host].Data()
	return row.Phase != glade.HostServing || row.Customer != customer
}
