package lead

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

func TestRest(t *testing.T) {
	expectRest := func(name string, step, want time.Duration) {
		t.Run(name, func(t *testing.T) { qt.Assert(t, restAfter(step), qt.Equals, want) })
	}
	expectRest("a short step is followed by the next event at once", 40*time.Microsecond, 0)
	expectRest("a long step by a rest in proportion", time.Millisecond, 4*time.Millisecond)
	expectRest("an interrupted step by a bounded rest", time.Second, 40*time.Millisecond)
}
