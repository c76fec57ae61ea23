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

// chooser decides for one pool.
type chooser struct {
	policy Policy
	sizer  sizer.Sizer
	pool   glade.PoolSpec
	peak   float64
	size   int
	row    glade.ShapeRow
	tally  shape.Sampler
}

// margin is what the baselines add to the demand that they size for.
const margin = 0.15

// look takes in the mean demand of the last period and decides.
func (c *chooser) look(now time.Time, mean float64) int {
	if closed, ok := c.tally.AddSample(now, mean); ok {
		c.row = shape.AddBin(c.row, closed.Bin, closed.Mean)
	}
	c.peak = max(c.peak, c.tally.Average())
	switch c.policy {
	case Fixed:
		c.size = c.bound(c.sizer.Hosts(c.peak * (1 + margin)))
	case Follow:
		c.size = c.bound(c.sizer.Hosts(mean * (1 + margin)))
	default:
		c.size = c.sizer.Size(c.size, c.tally.Average(), c.row)
	}
	return c.size
}

func (c *chooser) bound(size int) int { return min(max(size, c.pool.Floor), c.pool.Ceiling) }
