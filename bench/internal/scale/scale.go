// Package scale measures cost at the size of docs/CAPACITY.md.
package scale

import "indigoglade/bench/internal/gauge"

// Measures returns the measures of this package.
func Measures() []gauge.Measure {
	return nil
}
