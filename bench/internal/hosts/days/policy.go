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
	seen   float64
	row    glade.ShapeRow
	bin    int64
	sum    float64
	looks  int
}

// Look-alikes of the fleet duty's own constants.
const (
	lookPeriod = time.Minute
	smoothing  = 0.1
	margin     = 0.15
)

// look takes in the mean demand of the last period and decides.
func (c *chooser) look(now time.Time, mean float64) int {
	if c.seen == 0 {
		c.seen = mean
	}
	c.seen += smoothing * (mean - c.seen)
	c.peak = max(c.peak, c.seen)
	c.learn(now, mean)
	switch c.policy {
	case Fixed:
		c.size = c.bound(c.sizer.Hosts(c.peak * (1 + margin)))
	case Follow:
		c.size = c.bound(c.sizer.Hosts(mean * (1 + margin)))
	default:
		c.size = c.sizer.Size(c.size, c.seen, c.row)
	}
	return c.size
}

func (c *chooser) bound(size int) int { return min(max(size, c.pool.Floor), c.pool.Ceiling) }

func (c *chooser) learn(now time.Time, mean float64) {
	bin := shape.BinAt(now)
	if bin != c.bin && c.looks > 0 {
		c.row = shape.Fold(c.row, c.bin, c.sum/float64(c.looks))
		c.sum, c.looks = 0, 0
	}
	c.bin = bin
	c.sum += mean
	c.looks++
}
