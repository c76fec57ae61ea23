package scale

import (
	"context"
	"encoding/json"
	"math/rand/v2"
	"time"

	glade "indigoglade"
	"indigoglade/adopt"
	"indigoglade/burn"
	"indigoglade/clock"
	"indigoglade/route"
)

// Polling rates of the entry hosts, as in entry/internal/duty.
const (
	headReadRate     = 2.0 // reads of the change counter per second
	hostListReadRate = 2.0 // reads of the host list per second
)

var startTime = time.Date(2026, 3, 29, 0, 0, 0, 0, time.UTC)

// entryProbes returns the probes of the parts of an entry host.
func entryProbes() []Probe {
	return []Probe{
		{Role: "entry", Part: "contracts", SizeUnit: "contracts", Sizes: []int{50, 200, 800}, Target: customerCount, Run: contractCost},
		{Role: "entry", Part: "host list", SizeUnit: "hosts", Sizes: []int{500, 2000, 8000}, Target: workerCount, Run: hostListCost},
		{Role: "entry", Part: "outcomes", SizeUnit: "customers", Sizes: []int{100, 200, 400}, Target: customerCount, Run: outcomeCost},
	}
}

// byteCounter counts the bytes sent between a node and the table service.
type byteCounter struct {
	glade.Table
	bytes int
}

// Get reads a row and counts its size.
func (m *byteCounter) Get(ctx context.Context, key string) (glade.Row, error) {
	row, err := m.Table.Get(ctx, key)
	m.bytes += sizeOf(row)
	return row, err
}

// Scan reads rows and counts their size.
func (m *byteCounter) Scan(ctx context.Context, prefix, after string, limit int) ([]glade.Row, error) {
	rows, err := m.Table.Scan(ctx, prefix, after, limit)
	m.bytes += sizeOf(rows)
	return rows, err
}

// Commit runs a transaction and counts its size.
func (m *byteCounter) Commit(ctx context.Context, txn glade.Txn) glade.CommitResult {
	m.bytes += sizeOf(txn)
	return m.Table.Commit(ctx, txn)
}

// sizeOf returns the size of the encoded message in bytes.
func sizeOf(message any) int {
	encoded, err := json.Marshal(message)
	if err != nil {
		return 0
	}
	return len(encoded)
}

// contractCost measures a registry of n contracts and the adoption of changesPerDay changes a day. How
// changes reach the entry hosts is measured by peers.bytes.90 and peers.reads.90.
func contractCost(n int, cpu timerFunc) (Cost, error) {
	var registry *adopt.Registry
	heap := heapOf(func() any {
		registry = adopt.New()
		for i := range n {
			registry.ActivateIfNewer(glade.NewContract(contractOf(i), 1))
		}
		return registry
	})
	version := uint64(1)
	took := cpu(func() {
		version++
		registry.ActivateIfNewer(glade.NewContract(contractOf(0), version))
	})
	return Cost{HeapBytes: heap, CPUNanos: took * changesPerDay / daySeconds}, nil
}

// hostListCost measures reading a list of n hosts in full at hostListReadRate.
func hostListCost(n int, cpu timerFunc) (Cost, error) {
	encoded, err := json.Marshal(hostList(n))
	if err != nil {
		return Cost{}, err
	}
	router := newRouter()
	update := func() {
		var list []glade.HostListing
		if json.Unmarshal(encoded, &list) == nil {
			router.Update(startTime, list)
		}
	}
	heap := heapOf(func() any {
		router = newRouter()
		update()
		return router
	})
	return Cost{HeapBytes: heap, CPUNanos: hostListReadRate * cpu(update), Traffic: hostListReadRate * float64(len(encoded))}, nil
}

func newRouter() *route.Router {
	return route.New(route.Config{Share: shareOf, Random: rand.New(rand.NewPCG(1, 1))})
}

// shareOf gives an entry host one slot of each runner in its own zone.
func shareOf(row glade.HostListing, _ int) int {
	if row.Zone != "zone00" {
		return 0
	}
	return 1
}

// outcomeCost measures the outcome counts of n customers that were served throughout a day: keeping
// them in memory and saving them to the table service.
func outcomeCost(n int, cpu timerFunc) (Cost, error) {
	var meter *burn.Meter
	now := clock.NewFake(startTime)
	heap := heapOf(func() any {
		meter = burn.New(burn.Config{Node: "e1", Clock: now})
		for range int(burn.MaxWindow / time.Minute) {
			now.Advance(time.Minute)
			for i := range n {
				meter.Record(contractOf(i).Customer, glade.Answered, time.Second, time.Minute)
			}
		}
		return meter
	})
	text := sizeOf(glade.Entry[burn.Snapshot]{Data: meter.Snapshot()})
	rate := 1 / burn.SaveInterval(text).Seconds()
	encode := func() { sizeOf(meter.Snapshot()) }
	return Cost{
		HeapBytes: heap,
		CPUNanos:  rate * cpu(encode),
		// The row is read before every write.
		Traffic: rate * 2 * float64(text),
		Reads:   rate * entryCount,
		Writes:  rate * entryCount,
	}, nil
}
