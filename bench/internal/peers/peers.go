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
	lossRate                 = 0.1
	changesPerDay            = 16000
	customerCount            = 200
)

// Measures returns the measures of this package.
func Measures() []gauge.Measure {
	return []gauge.Measure{
		{Name: "peers.spread.9", Unit: "s virtual", Run: func(seed uint64) (float64, error) { return propagationTime(seed, smallZones, smallPerZone) }},
		{Name: "peers.spread.90", Unit: "s virtual", Run: func(seed uint64) (float64, error) { return propagationTime(seed, largeZones, largePerZone) }},
		{Name: "peers.reverts", Unit: "count", Run: countReverts},
		{Name: "peers.bytes.9", Unit: "B/s a node", Run: func(seed uint64) (float64, error) { return trafficPerNode(seed, smallZones, smallPerZone) }},
		{Name: "peers.bytes.90", Unit: "B/s a node", Run: func(seed uint64) (float64, error) { return trafficPerNode(seed, largeZones, largePerZone) }},
		{Name: "peers.reads.90", Unit: "reads/s", Run: readsPerSecond},
		{Name: "peers.ends.90", Unit: "s virtual", Run: endpointEndTime},
	}
}

// warmUp is the time after which every process has started.
const warmUp = 10 * time.Second

// newStartedNet returns a net whose processes know the contracts of every customer.
func newStartedNet(seed uint64, zones, perZone int) (*fakeNet, error) {
	return newStartedNetWith(seed, zones, perZone, customerCount)
}

func newStartedNetWith(seed uint64, zones, perZone, count int) (*fakeNet, error) {
	n := newNet(seed, zones, perZone, lossRate)
	for i := range count {
		if err := n.accept(customer(i), 0); err != nil {
			return nil, err
		}
	}
	n.run(warmUp)
	for _, p := range n.running() {
		if len(p.book.All()) != count {
			return nil, errors.Errorf("%s knows %d of %d contracts after %s", p.self.Node, len(p.book.All()), count, warmUp)
		}
	}
	return n, nil
}

func customer(i int) glade.Customer { return glade.Customer(fmt.Sprintf("c%03d", i)) }

// acceptChanges accepts changes at the rate of a busy day for d, and returns when
// each was accepted.
func acceptChanges(n *fakeNet, d time.Duration) (map[uint64]time.Time, error) {
	accepted := make(map[uint64]time.Time)
	versions := make(map[glade.Customer]uint64)
	change := uint64(customerCount)
	interval := 24 * time.Hour / changesPerDay
	for until := n.now.Add(d); n.now.Before(until); {
		n.run(interval/2 + time.Duration(n.random.Int64N(int64(interval))))
		name := customer(n.random.IntN(customerCount))
		if err := n.accept(name, versions[name]+1); err != nil {
			return nil, err
		}
		versions[name]++
		change++
		accepted[change] = n.now
	}
	n.run(warmUp)
	return accepted, nil
}

const propagationRunTime = 5 * time.Minute

// propagationTime returns the longest time until a change was in force everywhere.
func propagationTime(seed uint64, zones, perZone int) (float64, error) {
	n, err := newStartedNet(seed, zones, perZone)
	if err != nil {
		return 0, err
	}
	accepted, err := acceptChanges(n, propagationRunTime)
	if err != nil {
		return 0, err
	}
	return slowestAdoption(n, accepted)
}

func slowestAdoption(n *fakeNet, accepted map[uint64]time.Time) (float64, error) {
	var worst time.Duration
	for change, at := range accepted {
		for _, p := range n.running() {
			when, ok := p.adoptionTime(change)
			if !ok {
				return 0, errors.Errorf("change %d is not in force at %s", change, p.self.Node)
			}
			worst = max(worst, when.Sub(at))
		}
	}
	return worst.Seconds(), nil
}

// adoptionTime returns when a change or a later one came in force.
func (p *process) adoptionTime(change uint64) (time.Time, bool) {
	var first time.Time
	for c, at := range p.adoptedAt {
		if c >= change && (first.IsZero() || at.Before(first)) {
			first = at
		}
	}
	return first, !first.IsZero()
}

// countReverts replaces processes at random while changes go on, the table fails at
// times and zones are cut off, and counts older versions after newer ones.
func countReverts(seed uint64) (float64, error) {
	n, err := newStartedNetWith(seed, smallZones, smallPerZone, revertCustomers)
	if err != nil {
		return 0, err
	}
	versions := make(map[glade.Customer]uint64)
	f := &activeFaults{}
	for range revertRounds {
		n.injectFault(f)
		name := customer(n.random.IntN(revertCustomers))
		if err := n.accept(name, versions[name]+1); err != nil {
			return 0, err
		}
		versions[name]++
		n.run(time.Duration(n.random.Int64N(int64(2 * time.Second))))
	}
	return float64(n.reverts()), nil
}

const (
	revertRounds    = 2000
	revertCustomers = 4
)

const trafficRunTime = 2 * time.Minute

// trafficPerNode returns the control traffic of the busiest node, in and out together,
// in trafficPerNode per second, while changes go on.
func trafficPerNode(seed uint64, zones, perZone int) (float64, error) {
	n, err := newStartedNet(seed, zones, perZone)
	if err != nil {
		return 0, err
	}
	n.countBytes = true
	before := make(map[glade.Node]int)
	for _, p := range n.running() {
		before[p.self.Node] = p.bytes
	}
	from := n.now
	if _, err := acceptChanges(n, trafficRunTime); err != nil {
		return 0, err
	}
	highest := 0
	for _, p := range n.running() {
		highest = max(highest, p.bytes-before[p.self.Node])
	}
	return float64(highest) / n.now.Sub(from).Seconds(), nil
}

// readsPerSecond returns the rows read from the table service per second by every
// process together, while changes go on.
func readsPerSecond(seed uint64) (float64, error) {
	n, err := newStartedNet(seed, largeZones, largePerZone)
	if err != nil {
		return 0, err
	}
	before, _ := n.table.Counts()
	from := n.now
	accepted, err := acceptChanges(n, trafficRunTime)
	if err != nil {
		return 0, err
	}
	after, _ := n.table.Counts()
	// Accepting a change reads three rows; that is the operators' part.
	own := after - before - 3*len(accepted)
	return float64(own) / n.now.Sub(from).Seconds(), nil
}

// endpointEndTime returns the longest time until every node knew of an endpoint
// incarnation that one node saw leaving.
func endpointEndTime(seed uint64) (float64, error) {
	n, err := newStartedNet(seed, largeZones, largePerZone)
	if err != nil {
		return 0, err
	}
	var worst time.Duration
	for i := range 100 {
		endpoint := glade.Endpoint{Host: glade.Host(fmt.Sprintf("h%02d", i)), Incarnation: 7}
		p := n.processes[n.names[n.random.IntN(len(n.names))]]
		at := n.now
		n.perform(p, p.node.End(endpoint))
		n.run(warmUp)
		for _, q := range n.running() {
			when, ok := q.endpointEnds[endpoint]
			if !ok {
				return 0, errors.Errorf("%s never heard that %s leaves", q.self.Node, endpoint.Host)
			}
			worst = max(worst, when.Sub(at))
		}
	}
	return worst.Seconds(), nil
}
