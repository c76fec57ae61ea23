package route

import (
	"time"

	glade "indigoglade"
)

// Parameters of outlier ejection.
const (
	// ejectRatio is the success ratio below which an endpoint is ejected.
	ejectRatio = 0.5
	// resultWeight is the weight of the newest result in the success ratio.
	resultWeight = 0.15
	// restoredRatio is the success ratio of an endpoint whose ejection has
	// expired. A few failures eject it again.
	restoredRatio = 0.6
	// maxEjectedPart is the greatest part of a service's endpoints that are
	// ejected at once. When more fail, the endpoints are probably not the
	// cause.
	maxEjectedPart  = 0.5
	firstEjection   = time.Second
	longestEjection = 30 * time.Second
	maxDoublings    = 5
	// healthyRatio is the success ratio above which earlier ejections no longer
	// lengthen the next one.
	healthyRatio = 0.95
)

// target is one endpoint with its state as seen by this entry host.
type target struct {
	row       glade.HostListing
	group     *group
	slotShare int
	inFlight  int
	excluded  bool

	// successRatio is an exponentially weighted moving average over the
	// attempts.
	successRatio float64
	ejected      bool
	ejections    int
	ejectedUntil time.Time
	// rampSlots bounds the slots in use after an ejection; each success adds
	// one.
	rampSlots int

	// verifyUntil is the time until which a slot stays free for the keeper that
	// verifies the endpoint.
	verifyUntil time.Time

	indexed bool
	level   int
	index   int
}

// Verification of an endpoint after a reboot: a keeper sends it requests, one
// at a time. The entry hosts keep a slot free for them; otherwise the requests
// would exceed the endpoint's slots.
const (
	verifyDuration = 30 * time.Second
	verifySlots    = 1
)

// newTarget returns the state of an endpoint that was not known before.
// returning tells that an earlier incarnation of its host has left.
func newTarget(now time.Time, returning bool) *target {
	t := &target{successRatio: 1, rampSlots: maxShare}
	if returning {
		t.verifyUntil = now.Add(verifyDuration)
	}
	return t
}

// reservedSlots returns the number of slots that stay free over all entry
// hosts.
func (t *target) reservedSlots(now time.Time) int {
	if now.Before(t.verifyUntil) {
		return verifySlots
	}
	return 0
}

func (t *target) hasFreeSlot() bool {
	return !t.excluded && !t.ejected && t.inFlight < min(t.slotShare, t.rampSlots)
}

// record updates the success ratio with a result and returns whether the
// endpoint is an outlier to eject.
func (t *target) record(ok bool) bool {
	if !ok {
		t.successRatio -= resultWeight * t.successRatio
		return t.successRatio < ejectRatio && !t.ejected
	}
	t.successRatio += resultWeight * (1 - t.successRatio)
	if t.rampSlots < maxShare {
		t.rampSlots++
	}
	if t.successRatio > healthyRatio {
		t.ejections = 0
	}
	return false
}
