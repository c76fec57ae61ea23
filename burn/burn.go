// Package burn counts outcomes and works out how fast a customer's error
// budget is spent.
package burn

import (
	"sort"
	"sync"
	"time"

	glade "indigoglade"
)

// Counts are the outcomes of one customer's requests on one entry host since
// it started. Counts of different incarnations add up.
type Counts struct {
	Answered uint64 `json:"answered"`
	Refused  uint64 `json:"refused"`
	Failed   uint64 `json:"failed"`
	Unknown  uint64 `json:"unknown"`
	// Late counts answers after the contract's deadline; they are part of
	// Answered too.
	Late uint64 `json:"late"`
}

// Total returns the number of requests.
func (c Counts) Total() uint64 { return c.Answered + c.Refused + c.Failed + c.Unknown }

// Good returns the number of requests that kept the promise.
func (c Counts) Good() uint64 { return c.Answered - c.Late }

// Add returns the sum of two counts.
func (c Counts) Add(d Counts) Counts {
	return Counts{
		Answered: c.Answered + d.Answered,
		Refused:  c.Refused + d.Refused,
		Failed:   c.Failed + d.Failed,
		Unknown:  c.Unknown + d.Unknown,
		Late:     c.Late + d.Late,
	}
}

// Rate returns the burn rate: 1 spends the error budget exactly over the
// window of the promise, 2 spends it in half the time. target is the promised
// share of good requests in percent.
func (c Counts) Rate(target float64) float64 {
	total := c.Total()
	if total == 0 {
		return 0
	}
	bad := float64(total-c.Good()) / float64(total)
	return bad / (1 - target/100)
}

// Meter counts outcomes by customer.
type Meter struct {
	mu     sync.Mutex
	counts map[glade.Customer]Counts
}

// New returns a meter without counts.
func New() *Meter {
	return &Meter{counts: make(map[glade.Customer]Counts)}
}

// Record counts one outcome. Late is set when a whole answer took more than
// the contract's deadline.
func (m *Meter) Record(customer glade.Customer, outcome glade.Outcome, took, deadline time.Duration) {
	m.mu.Lock()
	defer m.mu.Unlock()
	c := m.counts[customer]
	switch outcome {
	case glade.Answered:
		c.Answered++
		if took > deadline {
			c.Late++
		}
	case glade.Refused:
		c.Refused++
	case glade.Failed:
		c.Failed++
	case glade.Unknown:
		c.Unknown++
	}
	m.counts[customer] = c
}

// Row is the counts of one customer.
type Row struct {
	Customer glade.Customer `json:"customer"`
	Counts   Counts         `json:"counts"`
}

// Rows returns the counts of every customer, ordered by customer.
func (m *Meter) Rows() []Row {
	m.mu.Lock()
	defer m.mu.Unlock()
	rows := make([]Row, 0, len(m.counts))
	for customer, counts := range m.counts {
		rows = append(rows, Row{Customer: customer, Counts: counts})
	}
	sort.Slice(rows, func(i, j int) bool { return rows[i].Customer < rows[j].Customer })
	return rows
}
