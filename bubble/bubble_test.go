package bubble

import (
	"runtime"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"
)

// TestTimersAtOnce guards against the end of the process in the race detector
// when goroutines of a bubble run timers that are due at the same time.
func TestTimersAtOnce(t *testing.T) {
	const (
		bubbles    = 100
		goroutines = 64
		rounds     = 50
	)
	for range bubbles {
		Test(t, func(*testing.T) {
			var group sync.WaitGroup
			for range goroutines {
				group.Go(func() {
					for range rounds {
						timer := time.NewTimer(time.Second)
						time.AfterFunc(time.Second, func() {})
						time.Sleep(time.Second)
						// Runs the timer in this goroutine.
						<-timer.C
					}
				})
			}
			group.Wait()
			synctest.Wait()
		})
	}
}

func TestProcessors(t *testing.T) {
	c := qt.New(t)
	before := runtime.GOMAXPROCS(0)
	within := 0
	Test(t, func(*testing.T) { within = runtime.GOMAXPROCS(0) })
	if isRace {
		c.Assert(within, qt.Equals, 1)
	} else {
		c.Assert(within, qt.Equals, before)
	}
	c.Assert(runtime.GOMAXPROCS(0), qt.Equals, before)
}
