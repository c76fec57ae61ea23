package route

import (
	"time"

	glade "indigoglade"
)

// Bounds of outlier ejection.
const (
	// ejectScore is the success ratio below which an endpoint is ejected.
	ejectScore = 0.5
	// scoreWeight is the weight of the newest result in the success ratio.
	scoreWeight = 0.15
	// returnScore is the success ratio of an endpoint that comes back. A few
	// failures eject it again.
	returnScore = 0.6
	// ejectCap is the greatest share of a service's endpoints that are out at
	// once. When more fail, it is hardly the endpoints.
	ejectCap       = 0.5
	ejectPause     = time.Second
	ejectMost      = 30 * time.Second
	ejectDoublings = 5
	// healthyScore is the success ratio at which past ejections are forgotten.
	healthyScore = 0.95
)

// target is one endpoint with what this entry host knows of it.
type target struct {
	row    glade.Listed
	group  *group
	share  int
	flight int
	left   bool

	// score is the moving success ratio.
	score     float64
	ejected   bool
	ejections int
	until     time.Time
	// ramp bounds the slots of an endpoint that comes back.
	ramp int

	// verified is when the keeper has had time to verify the endpoint.
	verified time.Time

	listed bool
	level  int
	index  int
}

// Bounds of verification. A keeper sends requests of its own, one at a time, to
// an endpoint that comes back from a reboot. The entry hosts keep a slot free
// for them, or they would be one more than the endpoint's slots.
const (
	verifyTime  = 30 * time.Second
	verifySlots = 1
)

// newTarget returns an endpoint that was not known before. It came back when an
// earlier incarnation of its host has left.
func newTarget(now time.Time, cameBack bool) *target {
	t := &target{score: 1, ramp: maxShare}
	if cameBack {
		t.verified = now.Add(verifyTime)
	}
	return t
}

// kept returns the number of slots that stay free over all entry hosts.
func (t *target) kept(now time.Time) int {
	if now.Before(t.verified) {
		return verifySlots
	}
	return 0
}

func (t *target) isFree() bool {
	return !t.left && !t.ejected && t.flight < min(t.share, t.ramp)
}

// record takes up a result and tells whether the endpoint is an outlier.
func (t *target) record(ok bool) bool {
	if !ok {
		t.score -= scoreWeight * t.score
		return t.score < ejectScore && !t.ejected
	}
	t.score += scoreWeight * (1 - t.score)
	if t.ramp < maxShare {
		t.ramp++
	}
	if t.score > healthyScore {
		t.ejections = 0
	}
	return false
}
