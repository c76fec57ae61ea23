// Package fence keeps the orders of successive leaders for one host apart where
// hosts don't check fencing tokens.
//
// There only time separates two leaders. A leader records the hosts that it is about
// to order in a row, in a transaction that renews its term and fails once another host
// leads, and sends the orders within a limited time after that write. The next leader
// reads the row after its own claim. It may order a host that the row doesn't name at
// once, because no order for it can be under way. For the others it waits until their
// orders have arrived and the lease after them is over; that time counts from the
// renewal of the earlier leader's term that it saw last.
//
// All times are uptimes: the time since the machine's start on its own clock,
// including the time for which it was suspended. Uptimes of two machines are not
// compared. A Gate has no clock, does no I/O and is not safe for concurrent use.
package fence

import (
	"cmp"
	"maps"
	"slices"
	"time"

	glade "indigoglade"
)

// Config configures a gate.
type Config struct {
	// Lease is the least time between the orders of two leaders for one host.
	Lease time.Duration
}

const (
	// Window is how long after the start of the write that recorded an order the
	// order may be under way: its connection is then reset. The write itself takes
	// some milliseconds, and with a slow store about half of this time.
	Window = 1200 * time.Millisecond
	// transit bounds how long a host takes to carry out an order whose bytes have
	// reached the platform before the connection was reset.
	transit = 500 * time.Millisecond
	// driftFactor covers two clocks that each run 2 % off.
	driftFactor = 1.05
)

// Gate decides which hosts one leader may order.
type Gate struct {
	wait time.Duration
	// allClosedUntil is when the wait ends for hosts of which nothing is known.
	allClosedUntil time.Duration
	// closedUntil is when the wait for the orders of earlier leaders for a host ends.
	closedUntil map[glade.Host]time.Duration
	// recordedAt is when the last write that recorded an order for a host began.
	recordedAt map[glade.Host]time.Duration
}

// New returns the gate of a leader that has found no records of earlier leaders.
func New(config Config) *Gate {
	return &Gate{
		wait:        time.Duration(float64(Window+transit+config.Lease) * driftFactor),
		closedUntil: make(map[glade.Host]time.Duration), recordedAt: make(map[glade.Host]time.Duration),
	}
}

// Record is an entry of the row: a host for which an order of the row's writer, or of
// a leader before it, may be under way.
type Record struct {
	Host glade.Host `json:"host"`
	// AgeMs is how long before the row was written the order was recorded at the
	// latest, in milliseconds.
	AgeMs int64 `json:"age"`
}

// Load closes the gate for the hosts in the row of the earlier leader. The row must
// be read after this leader's claim is confirmed, and renewed is the uptime at which
// this leader had seen the last renewal of the earlier term.
func (g *Gate) Load(row []Record, renewed time.Duration) {
	for _, record := range row {
		g.closedUntil[record.Host] = renewed - time.Duration(record.AgeMs)*time.Millisecond + g.wait
	}
}

// LoadUnknown closes the gate for every host, because the row of the earlier leader
// can't be read. renewed is as for Load.
func (g *Gate) LoadUnknown(renewed time.Duration) { g.allClosedUntil = renewed + g.wait }

// Remaining returns how long this leader must still wait before it orders a host;
// 0 if it may now.
func (g *Gate) Remaining(host glade.Host, now time.Duration) time.Duration {
	until := max(g.closedUntil[host], g.allClosedUntil)
	if now >= until {
		delete(g.closedUntil, host)
		return 0
	}
	return until - now
}

// Add notes that a write that begins now records orders for hosts.
func (g *Gate) Add(hosts []glade.Host, now time.Duration) {
	for _, host := range hosts {
		g.recordedAt[host] = now
	}
}

// Row returns the records that the next leader must respect, sorted by host: those of
// orders of this leader that may be under way or whose lease is not over, and of
// those that this leader still waits for itself.
func (g *Gate) Row(now time.Duration) []Record {
	maps.DeleteFunc(g.recordedAt, func(_ glade.Host, at time.Duration) bool { return now-at > g.wait })
	maps.DeleteFunc(g.closedUntil, func(_ glade.Host, until time.Duration) bool { return now >= until })
	row := make([]Record, 0, len(g.recordedAt)+len(g.closedUntil))
	for host, at := range g.recordedAt {
		row = append(row, Record{Host: host, AgeMs: (now - at).Milliseconds()})
	}
	for host, until := range g.closedUntil {
		if _, own := g.recordedAt[host]; !own {
			row = append(row, Record{Host: host, AgeMs: (now - until + g.wait).Milliseconds()})
		}
	}
	slices.SortFunc(row, func(a, b Record) int { return cmp.Compare(a.Host, b.Host) })
	return row
}

// Expiry returns the uptime at which an order must have reached its host, if the
// write that recorded it began at the given uptime.
func Expiry(recorded time.Duration) time.Duration { return recorded + Window }
