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

	listed bool
	level  int
	index  int
}

func newTarget() *target { return &target{score: 1, ramp: maxShare} }

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
