package effect_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"indigoglade/effect"
	"indigoglade/seeds"
)

var start = time.Unix(1_000_000, 0)

func after(seconds int) time.Time { return start.Add(time.Duration(seconds) * time.Second) }

func TestEffect(t *testing.T) {
	expectState := func(name string, want effect.State, results ...effect.Result) {
		t.Run(name, func(t *testing.T) {
			var e effect.Effect
			for i, result := range results {
				e.Record(result, after(i))
			}
			qt.Assert(t, e.State(), qt.Equals, want)
		})
	}
	expectState("no attempt", effect.None)
	expectState("a rejection", effect.None, effect.Rejected)
	expectState("no answer", effect.Unknown, effect.Lost)
	expectState("a rejected repetition after no answer", effect.Unknown, effect.Lost, effect.Rejected)
	expectState("no answer after a rejection", effect.Unknown, effect.Rejected, effect.Lost)
	expectState("a repetition that is carried out", effect.Done, effect.Lost, effect.Rejected, effect.Applied)
	expectState("a late rejection", effect.Done, effect.Applied, effect.Rejected)
	t.Run("a lease that has expired covers all attempts", func(t *testing.T) {
		var e effect.Effect
		e.Record(effect.Lost, after(0))
		e.Exclude()
		qt.Assert(t, e.State(), qt.Equals, effect.None)
		e.Record(effect.Applied, after(1))
		e.Exclude()
		qt.Assert(t, e.State(), qt.Equals, effect.Done)
	})
	t.Run("the first time of the effect counts", func(t *testing.T) {
		var e effect.Effect
		e.Record(effect.Applied, after(1))
		e.Record(effect.Applied, after(5))
		qt.Assert(t, e.IsDoneBefore(after(1)), qt.IsFalse)
		qt.Assert(t, e.IsDoneBefore(after(2)), qt.IsTrue)
	})
}

// TestLateExecution guards against an operation that is reported as not executed and then takes
// effect: attempts are carried out, rejected or lost, and a lost one may be carried out later.
func TestLateExecution(t *testing.T) {
	seeds.Check(t, 500, func(r *rapid.T) {
		var e effect.Effect
		executed, late, excluded := false, 0, false
		for i := range rapid.IntRange(1, 12).Draw(r, "steps") {
			switch rapid.IntRange(0, 5).Draw(r, "step") {
			case 0:
				executed = executed || !excluded
				if !excluded {
					e.Record(effect.Applied, after(i))
				}
			case 1:
				e.Record(effect.Rejected, after(i))
			case 2: // the answer is lost
				executed = executed || !excluded
				e.Record(effect.Lost, after(i))
			case 3: // the order is held up
				late++
				e.Record(effect.Lost, after(i))
			case 4: // an order that was held up arrives
				if late > 0 {
					late--
					executed = executed || !excluded
				}
			case 5: // the other system accepts no attempt from now on, and shows that it has none
				if !executed {
					excluded = true
					e.Exclude()
				}
			}
			if e.State() == effect.None && executed {
				r.Fatalf("an operation that has taken effect counts as not executed")
			}
			if e.State() == effect.None && late > 0 && !excluded {
				r.Fatalf("an operation that may still take effect counts as not executed")
			}
			if e.State() == effect.Done && !executed {
				r.Fatalf("an operation that has not taken effect counts as executed")
			}
		}
	})
}
