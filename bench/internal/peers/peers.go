// Package peers measures entry hosts acting together.
package peers

import (
	"fmt"
	"time"

	"github.com/pkg/errors"

	glade "indigoglade"
	"indigoglade/bench/internal/gauge"
)

// Sizes of the measures.
const (
	smallZones, smallPerZone = 3, 3
	largeZones, largePerZone = 10, 9
	loss                     = 0.1
	changesPerDay            = 16000
	customers                = 200
)

// Measures returns the measures of this package.
func Measures() []gauge.Measure {
	return []gauge.Measure{
		{Name: "peers.spread.9", Unit: "s virtual", Run: func(seed uint64) (float64, error) { return spread(seed, smallZones, smallPerZone) }},
		{Name: "peers.spread.90", Unit: "s virtual", Run: func(seed uint64) (float64, error) { return spread(seed, largeZones, largePerZone) }},
		{Name: "peers.reverts", Unit: "count", Run: reverts},
		{Name: "peers.bytes.9", Unit: "B/s a node", Run: func(seed uint64) (float64, error) { return bytes(seed, smallZones, smallPerZone) }},
		{Name: "peers.bytes.90", Unit: "B/s a node", Run: func(seed uint64) (float64, error) { return bytes(seed, largeZones, largePerZone) }},
		{Name: "peers.reads.90", Unit: "reads/s", Run: reads},
		{Name: "peers.ends.90", Unit: "s virtual", Run: endpointNews},
	}
}

// warmUp is the time after which every process has started.
const warmUp = 10 * time.Second

// started returns a net whose processes know the contracts of every customer.
func started(seed uint64, zones, perZone int) (*fakeNet, error) {
	return startedWith(seed, zones, perZone, customers)
}

func startedWith(seed uint64, zones, perZone, customers int) (*fakeNet, error) {
	n := newNet(seed, zones, perZone, loss)
	for i := range customers {
		if err := n.accept(customer(i), 0); err != nil {
			return nil, err
		}
	}
	n.run(warmUp)
	for _, p := range n.live() {
		if len(p.book.All()) != customers {
			return nil, errors.Errorf("%s knows %d of %d contracts after %s", p.self.Node, len(p.book.All()), customers, warmUp)
		}
	}
	return n, nil
}

func customer(i int) glade.Customer { return glade.Customer(fmt.Sprintf("c%03d", i)) }

// changing accepts changes at the rate of a busy day for d, and returns when
// each was accepted.
func changing(n *fakeNet, d time.Duration) (map[uint64]time.Time, error) {
	accepted := make(map[uint64]time.Time)
	versions := make(map[glade.Customer]uint64)
	change := uint64(customers)
	gap := 24 * time.Hour / changesPerDay
	for until := n.now.Add(d); n.now.Before(until); {
		n.run(gap/2 + time.Duration(n.random.Int64N(int64(gap))))
		who := customer(n.random.IntN(customers))
		if err := n.accept(who, versions[who]+1); err != nil {
			return nil, err
		}
		versions[who]++
		change++
		accepted[change] = n.now
	}
	n.run(warmUp)
	return accepted, nil
}

const spreadTime = 5 * time.Minute

// spread returns the longest time until a change was in force everywhere.
func spread(seed uint64, zones, perZone int) (float64, error) {
	n, err := started(seed, zones, perZone)
	if err != nil {
		return 0, err
	}
	accepted, err := changing(n, spreadTime)
	if err != nil {
		return 0, err
	}
	return slowest(n, accepted)
}

func slowest(n *fakeNet, accepted map[uint64]time.Time) (float64, error) {
	var worst time.Duration
	for change, at := range accepted {
		for _, p := range n.live() {
			when, ok := p.since(change)
			if !ok {
				return 0, errors.Errorf("change %d is not in force at %s", change, p.self.Node)
			}
			worst = max(worst, when.Sub(at))
		}
	}
	return worst.Seconds(), nil
}

// since returns when a change or a later one came in force.
func (p *proc) since(change uint64) (time.Time, bool) {
	var first time.Time
	for c, at := range p.forced {
		if c >= change && (first.IsZero() || at.Before(first)) {
			first = at
		}
	}
	return first, !first.IsZero()
}

// reverts replaces processes at random while changes go on, the table fails at
// times and zones are cut off, and counts older versions after newer ones.
func reverts(seed uint64) (float64, error) {
	n, err := startedWith(seed, smallZones, smallPerZone, fewCustomers)
	if err != nil {
		return 0, err
	}
	versions := make(map[glade.Customer]uint64)
	f := &faults{}
	for range rounds {
		n.disturb(f)
		who := customer(n.random.IntN(fewCustomers))
		if err := n.accept(who, versions[who]+1); err != nil {
			return 0, err
		}
		versions[who]++
		n.run(time.Duration(n.random.Int64N(int64(2 * time.Second))))
	}
	return float64(n.reverts()), nil
}

const (
	rounds       = 2000
	fewCustomers = 4
)

const byteTime = 2 * time.Minute

// bytes returns the control traffic of the busiest node, in and out together,
// in bytes per second, while changes go on.
func bytes(seed uint64, zones, perZone int) (float64, error) {
	n, err := started(seed, zones, perZone)
	if err != nil {
		return 0, err
	}
	n.weigh = true
	before := make(map[glade.Node]int)
	for _, p := range n.live() {
		before[p.self.Node] = p.bytes
	}
	from := n.now
	if _, err := changing(n, byteTime); err != nil {
		return 0, err
	}
	most := 0
	for _, p := range n.live() {
		most = max(most, p.bytes-before[p.self.Node])
	}
	return float64(most) / n.now.Sub(from).Seconds(), nil
}

// reads returns the rows read from the table service per second by every
// process together, while changes go on.
func reads(seed uint64) (float64, error) {
	n, err := started(seed, largeZones, largePerZone)
	if err != nil {
		return 0, err
	}
	before, _ := n.table.Counts()
	from := n.now
	accepted, err := changing(n, byteTime)
	if err != nil {
		return 0, err
	}
	after, _ := n.table.Counts()
	// Accepting a change reads three rows; that is the operators' part.
	own := after - before - 3*len(accepted)
	return float64(own) / n.now.Sub(from).Seconds(), nil
}

// endpointNews returns the longest time until every node knew of an endpoint
// incarnation that one node saw leaving.
func endpointNews(seed uint64) (float64, error) {
	n, err := started(seed, largeZones, largePerZone)
	if err != nil {
		return 0, err
	}
	var worst time.Duration
	for i := range 100 {
		endpoint := glade.Endpoint{Host: glade.Host(fmt.Sprintf("h%02d", i)), Incarnation: 7}
		p := n.procs[n.names[n.random.IntN(len(n.names))]]
		at := n.now
		n.act(p, p.node.End(endpoint))
		n.run(warmUp)
		for _, q := range n.live() {
			when, ok := q.ends[endpoint]
			if !ok {
				return 0, errors.Errorf("%s never heard that %s leaves", q.self.Node, endpoint.Host)
			}
			worst = max(worst, when.Sub(at))
		}
	}
	return worst.Seconds(), nil
}
