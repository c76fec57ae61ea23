package burn

import (
	"sort"
	"strconv"
	"sync"
	"time"

	glade "indigoglade"
)

// Config configures a Meter.
type Config struct {
	Node  glade.Node
	Clock glade.Clock
}

// Meter counts the outcomes of one incarnation of an entry host.
type Meter struct {
	config Config
	start  int64

	mu        sync.Mutex
	customers map[glade.Customer]*series
}

// New returns a meter without counts. The time of the call names the
// incarnation.
func New(config Config) *Meter {
	return &Meter{
		config:    config,
		start:     config.Clock.Now().UnixMilli(),
		customers: make(map[glade.Customer]*series),
	}
}

// Record counts one outcome. A whole answer that took more than the contract's
// deadline is late.
func (m *Meter) Record(customer glade.Customer, outcome glade.Outcome, took, deadline time.Duration) {
	now := m.config.Clock.Now()
	m.mu.Lock()
	defer m.mu.Unlock()
	s, ok := m.customers[customer]
	if !ok {
		s = newSeries()
		m.customers[customer] = s
	}
	s.add(now, countsOf(outcome, took > deadline))
}

func countsOf(outcome glade.Outcome, late bool) Counts {
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

// Incarnation names one life of an entry host.
type Incarnation struct {
	Node glade.Node `json:"node"`
	// Start is in milliseconds since 1970.
	Start int64 `json:"start"`
}

// Key returns the key of the incarnation's row in the table service.
func (i Incarnation) Key() string {
	return PrefixBurn + string(i.Node) + "/" + strconv.FormatInt(i.Start, 10)
}

// PrefixBurn is followed by the node and its start.
const PrefixBurn = "burn/"

// Snapshot is the counts of one incarnation at a time.
type Snapshot struct {
	Incarnation Incarnation `json:"inc"`
	// At is in milliseconds since 1970.
	At int64 `json:"at"`
	// Final is set when the incarnation counts no more.
	Final bool  `json:"final"`
	Rows  []Row `json:"rows"`
}

// Snapshot returns the counts of every customer, ordered by customer.
func (m *Meter) Snapshot() Snapshot {
	now := m.config.Clock.Now()
	m.mu.Lock()
	defer m.mu.Unlock()
	s := Snapshot{Incarnation: Incarnation{Node: m.config.Node, Start: m.start}, At: now.UnixMilli()}
	for customer, counts := range m.customers {
		s.Rows = append(s.Rows, Row{
			Customer: customer,
			Total:    counts.total,
			Fine:     append(Buckets(nil), counts.fine.buckets...),
			Coarse:   append(Buckets(nil), counts.coarse.buckets...),
		})
	}
	sort.Slice(s.Rows, func(i, j int) bool { return s.Rows[i].Customer < s.Rows[j].Customer })
	return s
}
