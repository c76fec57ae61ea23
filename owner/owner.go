// Package owner changes the ownership rows of hosts and the availability
// accounts of pools by transactions.
//
// Every step is one transaction whose conditions carry the promise: a host is
// in one pool because it has one row; a planned step never overspends a budget
// because it is conditional on the account that it was decided on. Two keepers
// that race, or one that was paused, only meet a conflict.
package owner

import (
	"context"
	"time"

	glade "indigoglade"
	"indigoglade/table"
)

// Host is the ownership record of a host.
type Host = table.Record[glade.HostRow]

// Account is the availability record of a pool.
type Account = table.Record[glade.AccountRow]

// AccountKey returns the key of a pool's availability account.
func AccountKey(customer glade.Customer, pool glade.Pool) string {
	return glade.PrefixAccount + string(customer) + "/" + string(pool)
}

// HostKey returns the key of a host's ownership row.
func HostKey(host glade.Host) string { return glade.PrefixHost + string(host) }

// LoadHost reads the ownership record of a host.
func LoadHost(ctx context.Context, t glade.Table, host glade.Host) (Host, error) {
	return table.Load[glade.HostRow](ctx, t, HostKey(host))
}

// LoadAccount reads the availability record of a pool.
func LoadAccount(ctx context.Context, t glade.Table, customer glade.Customer, pool glade.Pool) (Account, error) {
	return table.Load[glade.AccountRow](ctx, t, AccountKey(customer, pool))
}

// Assignment names the pool that a host without an owner joins.
type Assignment struct {
	Listed   glade.Listed
	Customer glade.Customer
	Pool     glade.PoolSpec
}

// Assign gives a host that has no row to a pool. The host is rebooted into the
// pool's service before it serves.
func Assign(ctx context.Context, t glade.Table, absent Host, a Assignment, now time.Time) (glade.Commit, error) {
	batch := table.NewBatch()
	table.Replace(batch, absent, glade.HostRow{
		Host:        a.Listed.Host,
		Zone:        a.Listed.Zone,
		Rack:        a.Listed.Rack,
		Customer:    a.Customer,
		Pool:        a.Pool.Name,
		Service:     a.Pool.Serve,
		Epoch:       1,
		Phase:       glade.HostReboot,
		Since:       now.UnixMilli(),
		Incarnation: a.Listed.Incarnation,
	})
	return batch.Commit(ctx, t)
}

// BeginDrain starts a planned stop: the host drains and the account counts it
// as down, in one transaction.
func BeginDrain(ctx context.Context, t glade.Table, host Host, account Account, wave string, now time.Time) (glade.Commit, error) {
	row := host.Data()
	row.Epoch++
	row.Phase = glade.HostDraining
	row.Since = now.UnixMilli()
	row.Wave = wave
	batch := table.NewBatch()
	table.Replace(batch, host, row)
	table.Replace(batch, account, withDown(account.Data(), row, now))
	return batch.Commit(ctx, t)
}

// Advance moves a host to its next phase without touching the account.
func Advance(ctx context.Context, t glade.Table, host Host, phase glade.HostPhase, incarnation uint64, now time.Time) (glade.Commit, error) {
	row := host.Data()
	row.Phase = phase
	row.Since = now.UnixMilli()
	row.Incarnation = incarnation
	batch := table.NewBatch()
	table.Replace(batch, host, row)
	return batch.Commit(ctx, t)
}

// Return puts a verified host back in service and ends its down time in the
// account, in one transaction.
func Return(ctx context.Context, t glade.Table, host Host, account Account, now time.Time) (glade.Commit, error) {
	row := host.Data()
	row.Phase = glade.HostServing
	row.Since = now.UnixMilli()
	batch := table.NewBatch()
	table.Replace(batch, host, row)
	if from, down := account.Data().Down[row.Host]; down {
		table.Replace(batch, account, withoutDown(account.Data(), row.Host, from, now))
	}
	return batch.Commit(ctx, t)
}

func withDown(account glade.AccountRow, row glade.HostRow, now time.Time) glade.AccountRow {
	next := copyAccount(account)
	next.Pool = row.Pool
	if _, already := next.Down[row.Host]; !already {
		next.Down[row.Host] = now.UnixMilli()
	}
	return next
}

func withoutDown(account glade.AccountRow, host glade.Host, from int64, now time.Time) glade.AccountRow {
	next := copyAccount(account)
	delete(next.Down, host)
	next.Spent = append(next.Spent, glade.DownSpan{Host: host, From: from, To: now.UnixMilli()})
	return next
}

func copyAccount(account glade.AccountRow) glade.AccountRow {
	next := account
	next.Down = make(map[glade.Host]int64, len(account.Down)+1)
	for host, at := range account.Down {
		next.Down[host] = at
	}
	next.Spent = append([]glade.DownSpan(nil), account.Spent...)
	return next
}
