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

// Rates of the entry hosts' duties, as in entry/internal/duty.
const (
	fetchRate = 2.0 // reads of the change head a second
	listRate  = 2.0 // reads of the host list a second
)

var start = time.Date(2026, 3, 29, 0, 0, 0, 0, time.UTC)

// entryProbes measure the parts of an entry host.
func entryProbes() []Probe {
	return []Probe{
		{Role: "entry", Part: "contracts", Per: "contracts", Sizes: []int{50, 200, 800}, Target: customers, Run: contractCost},
		{Role: "entry", Part: "host list", Per: "hosts", Sizes: []int{500, 2000, 8000}, Target: workers, Run: hostListCost},
		{Role: "entry", Part: "outcomes", Per: "customers", Sizes: []int{100, 200, 400}, Target: customers, Run: outcomeCost},
	}
}

// meter counts the bytes that pass between a node and the table service.
type meter struct {
	glade.Table
	bytes int
}

// Get counts the row.
func (m *meter) Get(ctx context.Context, key string) (glade.Row, error) {
	row, err := m.Table.Get(ctx, key)
	m.bytes += sizeOf(row)
	return row, err
}

// Scan counts the rows.
func (m *meter) Scan(ctx context.Context, prefix, after string, limit int) ([]glade.Row, error) {
	rows, err := m.Table.Scan(ctx, prefix, after, limit)
	m.bytes += sizeOf(rows)
	return rows, err
}

// Commit counts the transaction.
func (m *meter) Commit(ctx context.Context, txn glade.Txn) glade.Commit {
	m.bytes += sizeOf(txn)
	return m.Table.Commit(ctx, txn)
}

// sizeOf returns the size of a message in bytes.
func sizeOf(message any) int {
	text, err := json.Marshal(message)
	if err != nil {
		return 0
	}
	return len(text)
}

// contractCost measures a book of n contracts and the adoption of the letter's
// number of changes. How changes reach the entry hosts is measured by
// peers.bytes.90 and peers.reads.90.
func contractCost(n int, cpu timer) (Cost, error) {
	var book *adopt.Registry
	heap := heapOf(func() any {
		book = adopt.New()
		for i := range n {
			book.ActivateIfNewer(glade.NewContract(contractOf(i), 1))
		}
		return book
	})
	version := uint64(1)
	took := cpu(func() {
		version++
		book.ActivateIfNewer(glade.NewContract(contractOf(0), version))
	})
	return Cost{Heap: heap, CPU: took * changes / day}, nil
}

// hostListCost measures a host list of n hosts that is read whole.
func hostListCost(n int, cpu timer) (Cost, error) {
	text, err := json.Marshal(hostList(n))
	if err != nil {
		return Cost{}, err
	}
	router := newRouter()
	update := func() {
		var list []glade.Listed
		if json.Unmarshal(text, &list) == nil {
			router.Update(start, list)
		}
	}
	heap := heapOf(func() any {
		router = newRouter()
		update()
		return router
	})
	return Cost{Heap: heap, CPU: listRate * cpu(update), Wire: listRate * float64(len(text))}, nil
}

func newRouter() *route.Router {
	return route.New(route.Config{Share: shareOf, Random: rand.New(rand.NewPCG(1, 1))})
}

// shareOf gives an entry host a share of the runners of its own zone.
func shareOf(row glade.Listed, _ int) int {
	if row.Zone != "zone00" {
		return 0
	}
	return 1
}

// outcomeCost measures the counts of n customers who were all served through a
// whole day, as they are kept and handed over.
func outcomeCost(n int, cpu timer) (Cost, error) {
	var meter *burn.Meter
	now := clock.NewFake(start)
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
	rate := 1 / burn.Pause(text).Seconds()
	encode := func() { sizeOf(meter.Snapshot()) }
	return Cost{
		Heap: heap,
		CPU:  rate * cpu(encode),
		// The row is read before it is written.
		Wire:   rate * 2 * float64(text),
		Reads:  rate * entries,
		Writes: rate * entries,
	}, nil
}
