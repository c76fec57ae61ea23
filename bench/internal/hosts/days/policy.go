package days

import (
	"time"

	glade "indigoglade"
	"indigoglade/shape"
	"indigoglade/sizer"
)

// Policy chooses pool sizes.
type Policy int

// Policies.
const (
	// Learn is the product's: it learns the day and its shift.
	Learn Policy = iota
	// Fixed holds the size that the highest peak of the run needs, which it
	// knows beforehand.
	Fixed
	// Follow takes the size that the demand of the last minute needs.
	Follow
)

// poolSizer decides for one pool.
type poolSizer struct {
	policy Policy
	sizer  sizer.Sizer
	pool   glade.PoolSpec
	peak   float64
	size   int
	row    glade.ShapeRow
	tally  shape.Tally
}

// baselineMargin is what the baselines add to the demand that they size for.
const baselineMargin = 0.15

// adjust takes in the mean demand of the last period and decides.
func (c *poolSizer) adjust(now time.Time, mean float64) int {
	if closed, ok := c.tally.Look(now, mean); ok {
		c.row = shape.Fold(c.row, closed.Bin, closed.Mean)
	}
	c.peak = max(c.peak, c.tally.Seen())
	switch c.policy {
	case Fixed:
		c.size = c.clamp(c.sizer.Hosts(c.peak * (1 + baselineMargin)))
	case Follow:
		c.size = c.clamp(c.sizer.Hosts(mean * (1 + baselineMargin)))
	default:
		c.size = c.sizer.Size(c.size, c.tally.Seen(), c.row)
	}
	return c.size
}

func (c *poolSizer) clamp(size int) int { return min(max(size, c.pool.Floor), c.pool.Ceiling) }
