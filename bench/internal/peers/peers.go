// Package peers defines the benchmarks of the communication among entry hosts.
package peers

import (
	"fmt"
	"time"

	"github.com/pkg/errors"

	glade "indigoglade"
	"indigoglade/bench/internal/gauge"
)

// Dimensions of the small and the large deployment, and their load.
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

// warmUp is enough time for every process to start and to learn all contracts.
const warmUp = 10 * time.Second

// newStartedNet returns a network whose processes know the contracts of every customer.
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
		if len(p.registry.All()) != count {
			return nil, errors.Errorf("%s knows %d of %d contracts after %s", p.self.Node, len(p.registry.All()), count, warmUp)
		}
	}
	return n, nil
}

func customer(i int) glade.Customer { return glade.Customer(fmt.Sprintf("c%03d", i)) }

// acceptChanges commits contract changes at the rate of a busy day for d, and returns when each was
// committed.
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

// propagationTime returns the longest time, in seconds, until a contract change was in force at
// every node.
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

// adoptionTime returns when the given change or a later one came into force at the process.
func (p *process) adoptionTime(change uint64) (time.Time, bool) {
	var first time.Time
	for c, at := range p.adoptedAt {
		if c >= change && (first.IsZero() || at.Before(first)) {
			first = at
		}
	}
	return first, !first.IsZero()
}

// countReverts restarts nodes at random while contracts change, the table service fails at times
// and zones are cut off. It returns how often an older contract version replaced a newer one.
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

// trafficPerNode returns the control traffic of the busiest node while contracts change, in bytes
// per second, sent and received together.
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

// readsPerSecond returns the rows per second that all processes together read from the table
// service while contracts change.
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
	// Committing a change reads three rows on behalf of the operator, which are not counted.
	own := after - before - 3*len(accepted)
	return float64(own) / n.now.Sub(from).Seconds(), nil
}

// endpointEndTime returns the longest time, in seconds, until every node knew that an endpoint
// incarnation is leaving which one node had seen leave.
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
		n.perform(p, p.node.EndpointLeaving(endpoint))
		n.run(warmUp)
		for _, q := range n.running() {
			when, ok := q.endpointEnds[endpoint]
			if !ok {
				return 0, errors.Errorf("%s never learned that %s is leaving", q.self.Node, endpoint.Host)
			}
			worst = max(worst, when.Sub(at))
		}
	}
	return worst.Seconds(), nil
}
