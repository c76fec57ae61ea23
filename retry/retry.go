// Package retry bounds the attempts that follow a first one.
package retry

// Config configures a Budget.
type Config struct {
	// Percent is the share of fresh requests that may be tried again.
	Percent float64
	// Burst bounds the retries that are saved up.
	Burst float64
}

// Budget counts the retries of one service. It is not safe for concurrent use.
type Budget struct {
	tokens float64
}

// Fresh counts a fresh request.
func (b *Budget) Fresh(c Config) {
	b.tokens = min(b.tokens+c.Percent/100, c.Burst)
}

// Take spends one retry and tells whether there was one.
func (b *Budget) Take() bool {
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}
