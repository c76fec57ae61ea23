package days

import (
	"time"

	glade "indigoglade"
	"indigoglade/daily"
	"indigoglade/sizer"
)

// Policy is a way of choosing pool sizes.
type Policy int

// The sizing policy of the product and the two baselines.
const (
	// Learned sizes pools by the learned daily load, as the product does.
	Learned Policy = iota
	// Fixed holds the size that the highest demand of the run needs. That demand is known
	// beforehand.
	Fixed
	// Reactive uses the size that the demand of the last minute needs.
	Reactive
)

// poolSizer chooses the size of one pool under a policy.
type poolSizer struct {
	policy Policy
	sizer  sizer.Sizer
	pool   glade.PoolSpec
	peak   float64
	size   int
	row    glade.DemandProfileRow
	tally  daily.Sampler
}

// baselineMargin is the share by which the baselines oversize for the expected demand.
const baselineMargin = 0.15

// adjust records the mean demand of the last period and returns the new pool size.
func (c *poolSizer) adjust(now time.Time, mean float64) int {
	if closed, ok := c.tally.AddSample(now, mean); ok {
		c.row = daily.AddBin(c.row, closed.Bin, closed.Mean)
	}
	c.peak = max(c.peak, c.tally.Average())
	switch c.policy {
	case Fixed:
		c.size = c.clamp(c.sizer.Hosts(c.peak * (1 + baselineMargin)))
	case Reactive:
		c.size = c.clamp(c.sizer.Hosts(mean * (1 + baselineMargin)))
	default:
		c.size = c.sizer.Size(c.size, c.tally.Average(), c.row)
	}
	return c.size
}

func (c *poolSizer) clamp(size int) int { return min(max(size, c.pool.MinHosts), c.pool.MaxHosts) }
