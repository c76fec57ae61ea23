// Package jobs measures long work.
package jobs

import "indigoglade/bench/internal/gauge"

// Measures returns the measures of this package.
func Measures() []gauge.Measure {
	return nil
}
