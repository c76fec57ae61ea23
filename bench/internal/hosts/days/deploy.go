package days

import (
	"time"

	glade "indigoglade"
)

// Deployment describes the load and the priorities of a user's fleet.
type Deployment struct {
	name     string
	weights  glade.WeightSpec
	deadline time.Duration
	// replaceDelay is how long a pool waits for a single failed host before replacing it.
	replaceDelay time.Duration
	busyPeriods  [][]busyPeriod
}

// Gunescati is a fleet that prices quotes during site visits. Its contracts weigh roll-out time
// most.
func Gunescati() Deployment {
	return Deployment{
		name:         "gunescati",
		weights:      glade.WeightSpec{Rollout: 3, Moves: 1},
		deadline:     3 * time.Second,
		replaceDelay: time.Minute,
		busyPeriods: [][]busyPeriod{
			{{hour: 10.5, width: 1.3, share: 0.9}, {hour: 15, width: 1.6, share: 0.7}},
			{{hour: 11, width: 1.5, share: 0.8}, {hour: 16, width: 1.2, share: 0.9}},
			{{hour: 14, width: 2.2, share: 0.9}},
			{{hour: 17.5, width: 1.6, share: 0.9}},
		},
	}
}

// Monsoon is a fleet that collects sensor readings and publishes bulletins. Its contracts weigh
// host moves most.
func Monsoon() Deployment {
	return Deployment{
		name:         "monsoon",
		weights:      glade.WeightSpec{Rollout: 1, Moves: 3},
		deadline:     2 * time.Second,
		replaceDelay: 10 * time.Minute,
		busyPeriods: [][]busyPeriod{
			{{hour: 6.5, width: 1.4, share: 0.9}},
			{{hour: 7.5, width: 1.4, share: 0.9}, {hour: 18, width: 1.2, share: 0.5}},
			{{hour: 9, width: 1.5, share: 0.9}},
			{{hour: 18.5, width: 1.8, share: 0.9}},
		},
	}
}

// Dimensions of both fleets.
const (
	hostCount     = 50
	hostsPerRack  = 4
	zoneCount     = 3
	slotsPerHost  = 8
	poolFloor     = 2
	poolCeiling   = 14
	promisedHosts = 10
	baseShare     = 0.08
	spareFloor    = 4
)

func (d Deployment) pool() glade.PoolSpec {
	return glade.PoolSpec{Hosts: promisedHosts, MinHosts: poolFloor, MaxHosts: poolCeiling, Slots: slotsPerHost}
}
