// Package bubble runs tests in bubbles of testing/synctest.
package bubble

import (
	"runtime"
	"testing"
	"testing/synctest"
)

// Test calls synctest.Test. Callers must not run in parallel with other tests.
//
// In builds with the race detector the bubble has one processor: goroutines that
// run timers of one bubble at once corrupt the detector's state of the bubble and
// end the process, as of Go 1.26. Races are found from the order of
// synchronization and so on one processor too.
func Test(t *testing.T, f func(*testing.T)) {
	t.Helper()
	if isRace {
		defer runtime.GOMAXPROCS(runtime.GOMAXPROCS(1))
	}
	synctest.Test(t, f)
}
