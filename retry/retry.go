// Package retry limits the number of retries with a token bucket.
package retry

// Config configures a Budget.
type Config struct {
	// Percent is the number of retries allowed per 100 first attempts.
	Percent float64
	// Burst is the maximum number of unused retries that accumulate.
	Burst float64
}

// Budget holds the retries that one service has left. It is not safe for
// concurrent use.
type Budget struct {
	tokens float64
}

// CountRequest counts the first attempt of a request.
func (b *Budget) CountRequest(c Config) {
	b.tokens = min(b.tokens+c.Percent/100, c.Burst)
}

// Take consumes one retry. It returns false if none is left.
func (b *Budget) Take() bool {
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}
