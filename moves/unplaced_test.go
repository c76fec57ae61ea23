package moves

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// TestHostsThatComeBack guards against a pool that keeps the hosts of others in vain: a host that crashes and comes back
// again and again counts as progress.
func TestHostsThatComeBack(t *testing.T) {
	var tracker unplacedTracker
	began := time.Unix(1_000_000, 0)
	for now := began; now.Sub(began) < 15*time.Second; now = now.Add(200 * time.Millisecond) {
		ready := 8 + int(now.Sub(began)/(2*time.Second))%2
		if hosts := tracker.observe(4, ready, 0, now); hosts == 0 {
			qt.Assert(t, now.Sub(began) > maxStall, qt.IsTrue)
			return
		}
	}
	t.Fatal("hosts are asked for after 15 s")
}
