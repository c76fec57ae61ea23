package large

// Costs holds the costs at the three sizes.
type Costs struct {
	costs []Cost
	err   error
}

// fleetSizes are the fleets that are measured, in hosts.
var fleetSizes = []int{1000, 5000, 26000}

// MeasureAll measures every size.
func MeasureAll() Costs {
	var all Costs
	for _, hosts := range fleetSizes {
		cost, err := Measure(hosts)
		if err != nil {
			return Costs{err: err}
		}
		all.costs = append(all.costs, cost)
	}
	return all
}

// Err returns why there are no costs.
func (c Costs) Err() error { return c.err }

// largest returns the cost of the largest fleet.
func (c Costs) largest() Cost { return c.costs[len(c.costs)-1] }

// Core returns the share of a core at the largest size, in percent.
func (c Costs) Core() float64 { return 100 * c.largest().cpuShare }

// bytesPerMB is the number of bytes in a megabyte.
const bytesPerMB = 1 << 20

// Heap returns the state of a keeper at the largest size, in megabytes.
func (c Costs) Heap() float64 { return float64(c.largest().heapBytes) / bytesPerMB }

// Reads returns the rows that all keepers read a second at the largest size,
// taken as if each read as much as the busiest.
func (c Costs) Reads() float64 { return nodeCount * c.largest().readsPerSecond }

// Growth returns how much faster work grows than the number of hosts, as the
// worst of the larger sizes: 1 is linear.
func (c Costs) Growth() float64 {
	worst := 0.0
	base := c.costs[0]
	for _, cost := range c.costs[1:] {
		work := float64(cost.mallocs) / float64(base.mallocs)
		worst = max(worst, work/(float64(cost.hosts)/float64(base.hosts)))
	}
	return worst
}
