// Package calls measures the request path.
package calls

import "indigoglade/bench/internal/gauge"

// Measures returns the measures of this package.
func Measures() []gauge.Measure {
	return nil
}
