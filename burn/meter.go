package burn

import (
	"sort"
	"strconv"
	"sync"
	"time"

	glade "indigoglade"
)

// Config holds the settings of a Meter.
type Config struct {
	Node  glade.Node
	Clock glade.Clock
}

// Meter counts the outcomes of one incarnation of an entry host.
type Meter struct {
	config Config
	start  int64

	mu        sync.Mutex
	customers map[glade.Customer]*customerSeries
}

// New returns a meter without counts. The time of the call identifies the
// incarnation.
func New(config Config) *Meter {
	return &Meter{
		config:    config,
		start:     config.Clock.Now().UnixMilli(),
		customers: make(map[glade.Customer]*customerSeries),
	}
}

// Record counts one request. An answered request that took longer than the
// contract's deadline counts as late.
func (m *Meter) Record(customer glade.Customer, outcome glade.Outcome, took, deadline time.Duration) {
	now := m.config.Clock.Now()
	m.mu.Lock()
	defer m.mu.Unlock()
	s, ok := m.customers[customer]
	if !ok {
		s = newCustomerSeries()
		m.customers[customer] = s
	}
	s.add(now, outcomeCounts(outcome, took > deadline))
}

func outcomeCounts(outcome glade.Outcome, late bool) Counts {
	switch outcome {
	case glade.Answered:
		if late {
			return Counts{Answered: 1, Late: 1}
		}
		return Counts{Answered: 1}
	case glade.Refused:
		return Counts{Refused: 1}
	case glade.Failed:
		return Counts{Failed: 1}
	}
	return Counts{Unknown: 1}
}

// Incarnation identifies one run of an entry host process.
type Incarnation struct {
	Node glade.Node `json:"node"`
	// Start is the start time of the run in Unix milliseconds.
	Start int64 `json:"start"`
}

// Key returns the key of the incarnation's row in the table service.
func (i Incarnation) Key() string {
	return KeyPrefix + string(i.Node) + "/" + strconv.FormatInt(i.Start, 10)
}

// KeyPrefix is the key prefix of snapshot rows; the node and the start time of
// the incarnation follow.
const KeyPrefix = "burn/"

// Snapshot holds the counts of one incarnation at one point in time.
type Snapshot struct {
	Incarnation Incarnation `json:"inc"`
	// At is the time of the snapshot in Unix milliseconds.
	At int64 `json:"at"`
	// Final is set in the last snapshot of an incarnation, on a graceful stop.
	Final     bool             `json:"final"`
	Customers []CustomerCounts `json:"rows"`
}

// Snapshot returns a copy of the current counts, ordered by customer.
func (m *Meter) Snapshot() Snapshot {
	now := m.config.Clock.Now()
	m.mu.Lock()
	defer m.mu.Unlock()
	s := Snapshot{Incarnation: Incarnation{Node: m.config.Node, Start: m.start}, At: now.UnixMilli()}
	for customer, counts := range m.customers {
		s.Customers = append(s.Customers, CustomerCounts{
			Customer: customer,
			Total:    counts.total,
			Fine:     append(Buckets(nil), counts.fine.buckets...),
			Coarse:   append(Buckets(nil), counts.coarse.buckets...),
		})
	}
	sort.Slice(s.Customers, func(i, j int) bool { return s.Customers[i].Customer < s.Customers[j].Customer })
	return s
}
