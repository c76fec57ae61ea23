// Package hosts measures pools, budgets and waves.
package hosts

import "indigoglade/bench/internal/gauge"

// Measures returns the measures of this package.
func Measures() []gauge.Measure {
	return nil
}
