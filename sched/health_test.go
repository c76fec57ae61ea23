package sched

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

func TestQuarantine(t *testing.T) {
	t.Run("does not end earlier when a shorter one is added", func(t *testing.T) {
		now := time.Unix(1_000_000, 0)
		r := &runner{}
		r.health.extendQuarantine(now.Add(maxQuarantine))
		r.backOff(now)
		r.health.extendQuarantine(now.Add(minQuarantine))
		qt.Assert(t, r.health.quarantinedUntil, qt.Equals, now.Add(maxQuarantine))
	})
}
