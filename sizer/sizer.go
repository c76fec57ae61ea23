// Package sizer chooses the size of a pool from its demand.
package sizer

import (
	"math"
	"time"

	glade "indigoglade"
	"indigoglade/daily"
)

// Demand has bursts within seconds: in a burst a service asks for burstFactor
// times its mean demand for burstLength. Queues absorb that; a pool must be
// large enough that the queue empties in time.
const (
	burstFactor = 5.0
	burstLength = 6 * time.Second
)

// Config holds the parts of a contract that decide on the size of a pool.
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

// TargetLoad returns the fraction of a host's slots that demand may use on
// average. A burst of length d leaves a queue of d·(5m-n) host seconds behind n
// hosts with the mean demand m, in hosts. Its last request waits d·(5m-n)/n,
// which must stay within the deadline D. That gives m/n = (1+D/d)/5.
func (s Sizer) TargetLoad() float64 {
	slack := s.config.Deadline.Seconds() / burstLength.Seconds()
	return min((1+slack)/burstFactor, 1)
}

// domainReserve is the fraction of hosts that is added for the failure of a
// rack or a zone, until other hosts have taken the place of the failed ones.
const domainReserve = 1.0 / 6

// Hosts returns the number of hosts for a mean demand in slots. It includes the
// reserve for failures: domainReserve of the hosts and one host more.
func (s Sizer) Hosts(demand float64) int {
	hosts := demand / float64(s.config.Pool.Slots) / s.TargetLoad()
	return int(math.Ceil(hosts*(1+domainReserve))) + 1
}

// How far ahead the expected demand counts for growing and for shrinking. A
// pool whose contract weighs moves more than roll-outs looks further ahead
// before it shrinks.
const (
	growAhead           = 30 * time.Minute
	shrinkAhead         = 90 * time.Minute
	shrinkAheadFewMoves = 3 * time.Hour
)

// demandMargin is the fraction by which demand may exceed the present demand
// while a host is being added.
const demandMargin = 0.4

// minSavedHosts and minSavedHostsFewMoves are the numbers of hosts that a
// smaller size must save to be worth the moves there and back.
const (
	minSavedHosts         = 2
	minSavedHostsFewMoves = 3
)

// prefersFewMoves returns whether moves weigh more than the time of a roll-out.
func (s Sizer) prefersFewMoves() bool { return s.config.Weights.Moves > s.config.Weights.Rollout }

// Size returns the size that the pool should have now. size is the present one,
// and seen is the present demand in slots, averaged over some minutes. The pool
// grows for the demand expected within growAhead. It shrinks only to a size that
// suffices for the demand expected over the longer time of shrinkLookAhead, and
// only if that saves enough hosts, so that it doesn't shrink for a short time
// between two peaks. While the profile is incomplete, it keeps the promised size.
func (s Sizer) Size(size int, seen float64, row glade.DemandProfileRow) int {
	pool := s.config.Pool
	soon, known := daily.ExpectedPeak(row, growAhead)
	if !known {
		return pool.Hosts
	}
	need := s.clamp(s.Hosts(max(seen*(1+demandMargin), soon)))
	if need > size {
		return need
	}
	later, _ := daily.ExpectedPeak(row, s.shrinkLookAhead())
	smaller := s.clamp(s.Hosts(max(seen*(1+demandMargin), later)))
	if size-smaller < s.requiredSaving() {
		return size
	}
	return smaller
}

func (s Sizer) shrinkLookAhead() time.Duration {
	if s.prefersFewMoves() {
		return shrinkAheadFewMoves
	}
	return shrinkAhead
}

func (s Sizer) requiredSaving() int {
	if s.prefersFewMoves() {
		return minSavedHostsFewMoves
	}
	return minSavedHosts
}

func (s Sizer) clamp(size int) int {
	return min(max(size, s.config.Pool.MinHosts), s.config.Pool.MaxHosts)
}
