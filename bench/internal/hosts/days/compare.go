package days

// Comparison holds the result of each policy over the same days.
type Comparison struct {
	learned  Result
	fixed    Result
	reactive Result
}

// comparedRuns is the number of runs that a comparison adds up, each with its own seed.
const comparedRuns = 3

// Compare runs every policy with the same demand and failures.
func Compare(d Deployment, seed uint64) Comparison {
	var c Comparison
	for i := range uint64(comparedRuns) {
		c.learned.add(Run(d, Learned, seed*comparedRuns+i))
		c.fixed.add(Run(d, Fixed, seed*comparedRuns+i))
		c.reactive.add(Run(d, Reactive, seed*comparedRuns+i))
	}
	return c
}

func (r *Result) add(s Result) {
	r.IdleHosts += s.IdleHosts
	r.Moves += s.Moves
	r.DeadlineMisses += s.DeadlineMisses
}

// IdleHosts returns the idle hosts of the learned sizes, relative to those of the fixed sizes.
func (c Comparison) IdleHosts() float64 { return c.learned.IdleHosts / c.fixed.IdleHosts }

// DeadlineMisses returns how many more ticks exceeded the deadline with learned sizes than with fixed
// sizes.
func (c Comparison) DeadlineMisses() float64 {
	return float64(c.learned.DeadlineMisses - c.fixed.DeadlineMisses)
}

// Moves returns the host moves of the learned sizes, relative to those of sizes that follow the
// load.
func (c Comparison) Moves() float64 { return float64(c.learned.Moves) / float64(c.reactive.Moves) }
