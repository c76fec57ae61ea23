// Package calls defines the benchmarks of the request path. Some compare, over real sockets, the
// outcomes that callers see with what endpoints executed; others measure in virtual time how well
// slots are used.
package calls

import "indigoglade/bench/internal/gauge"

// Measures returns the measures of this package.
func Measures() []gauge.Measure {
	outcomes := &outcomeRun{}
	return []gauge.Measure{
		{Name: "calls.twice", Unit: "requests", Run: outcomes.measureOf(func(t *callCounts) int { return t.ranTwice })},
		{Name: "calls.refused.ran", Unit: "requests", Run: outcomes.measureOf(func(t *callCounts) int { return t.refusedRan })},
		{Name: "calls.cut.whole", Unit: "answers", Run: outcomes.measureOf(func(t *callCounts) int { return t.truncated })},
		{Name: "calls.wrong.caller", Unit: "answers", Run: outcomes.measureOf(func(t *callCounts) int { return t.wrongAnswer })},
		{Name: "calls.slots.7", Unit: "in flight", Run: runSlots(7)},
		{Name: "calls.slots.9", Unit: "in flight", Run: runSlots(9)},
		{Name: "calls.amplify", Unit: "of fresh", Run: runAmplify},
		{Name: "calls.peak.7", Unit: "of slots", Run: runPeak(7)},
		{Name: "calls.peak.9", Unit: "of slots", Run: runPeak(9)},
		{Name: "calls.peak.gain", Unit: "of baseline", Run: runPeakGain},
		{Name: "calls.relay.wait", Unit: "of none", Run: runRelayWait},
		{Name: "calls.allocs", Unit: "a decision", Run: runAllocs},
		{Name: "calls.cost.2600", Unit: "of 10", Run: runCost},
	}
}
