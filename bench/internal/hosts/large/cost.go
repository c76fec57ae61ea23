package large

// Costs holds the cost at each of the fleet sizes, or the error that prevented measuring it.
type Costs struct {
	costs []Cost
	err   error
}

// fleetSizes are the measured fleet sizes, in hosts.
var fleetSizes = []int{1000, 5000, 26000}

// MeasureAll measures a fleet of each size in fleetSizes.
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

// Err returns the error that prevented the measurement, if any.
func (c Costs) Err() error { return c.err }

func (c Costs) largest() Cost { return c.costs[len(c.costs)-1] }

// CPUPercent returns the CPU time of a keeper in the largest fleet, in percent of one core.
func (c Costs) CPUPercent() float64 { return 100 * c.largest().cpuShare }

const bytesPerMB = 1 << 20

// HeapMB returns the heap that a keeper holds in the largest fleet, in MB.
func (c Costs) HeapMB() float64 { return float64(c.largest().heapBytes) / bytesPerMB }

// ReadsPerSecond returns the rows per second that all keepers together read in the largest fleet, as if each
// of them read as many as the busiest.
func (c Costs) ReadsPerSecond() float64 { return nodeCount * c.largest().readsPerSecond }

// WorkGrowth returns the growth of the work, counted in allocations, relative to the growth of the
// fleet: 1 is linear. The largest value over the larger sizes counts.
func (c Costs) WorkGrowth() float64 {
	worst := 0.0
	base := c.costs[0]
	for _, cost := range c.costs[1:] {
		work := float64(cost.mallocs) / float64(base.mallocs)
		worst = max(worst, work/(float64(cost.hosts)/float64(base.hosts)))
	}
	return worst
}
