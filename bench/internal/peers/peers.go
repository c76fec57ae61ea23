// Package peers measures entry hosts acting together.
package peers

import "indigoglade/bench/internal/gauge"

// Measures returns the measures of this package.
func Measures() []gauge.Measure {
	return nil
}
