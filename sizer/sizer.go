// Package sizer chooses the size of a pool from its demand.
package sizer

import (
	"math"
	"time"

	glade "indigoglade"
	"indigoglade/shape"
)

// Demand swings within seconds as the brief of the users describes it: a queue
// in its moment asks for burstFactor times its mean for burstLength. Queues
// carry that; a pool must be large enough that the queue empties in time.
const (
	burstFactor = 5.0
	burstLength = 6 * time.Second
)

// Config configures a Sizer.
type Config struct {
	Pool     glade.PoolSpec
	Deadline time.Duration
	Weights  glade.WeightSpec
}

// Sizer chooses the size of one pool.
type Sizer struct {
	config Config
}

// New returns the sizer of a pool.
func New(config Config) Sizer { return Sizer{config: config} }

// Load returns the share of a host's slots that demand may use on average. A
// burst of length d leaves a queue of d·(5m-n) host seconds behind n hosts with
// the mean m; its last request waits d·(5m-n)/n, which must stay within the
// deadline D. That gives m/n = (1+D/d)/5.
func (s Sizer) Load() float64 {
	slack := s.config.Deadline.Seconds() / burstLength.Seconds()
	return min((1+slack)/burstFactor, 1)
}

// domainShare is the share of hosts held against the failure of a rack or a
// zone, until other hosts have taken their place.
const domainShare = 1.0 / 6

// Hosts returns the number of hosts for a mean demand in slots, with what is
// held against failures: one host and domainShare of the others.
func (s Sizer) Hosts(demand float64) int {
	hosts := demand / float64(s.config.Pool.Slots) / s.Load()
	return int(math.Ceil(hosts*(1+domainShare))) + 1
}

// Look-aheads, by what the contract weighs most.
const (
	growAhead       = 30 * time.Minute
	shrinkAhead     = 90 * time.Minute
	shrinkAheadCalm = 3 * time.Hour
)

// margin is the share by which demand may exceed what was seen last, or what is
// expected, while a host is on its way.
const margin = 0.4

// price and priceCalm are the least numbers of hosts that a smaller size must
// save: the price of the moves there and back.
const (
	price     = 2
	priceCalm = 3
)

// isCalm tells whether moves weigh more than the time of a roll-out.
func (s Sizer) isCalm() bool { return s.config.Weights.Moves > s.config.Weights.Rollout }

// Size returns the size that the pool should have now. seen is the demand of
// the last minutes, in slots; size is the present one. The pool grows for what
// comes within half an hour and shrinks only when nothing greater is expected
// for hours, so that a size is kept over a peak. While no day was learnt it
// keeps the promised size.
func (s Sizer) Size(size int, seen float64, row glade.ShapeRow) int {
	pool := s.config.Pool
	soon, known := shape.Peak(row, growAhead)
	if !known {
		return pool.Hosts
	}
	need := s.bound(s.Hosts(max(seen*(1+margin), soon)))
	if need > size {
		return need
	}
	later, _ := shape.Peak(row, s.ahead())
	keep := s.bound(s.Hosts(max(seen*(1+margin), later)))
	if size-keep < s.price() {
		return size
	}
	return keep
}

func (s Sizer) ahead() time.Duration {
	if s.isCalm() {
		return shrinkAheadCalm
	}
	return shrinkAhead
}

func (s Sizer) price() int {
	if s.isCalm() {
		return priceCalm
	}
	return price
}

func (s Sizer) bound(size int) int {
	return min(max(size, s.config.Pool.Floor), s.config.Pool.Ceiling)
}
