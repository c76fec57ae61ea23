package days

// Comparison holds what each policy cost over the same days.
type Comparison struct {
	learned  Result
	fixed    Result
	reactive Result
}

// comparedRuns is the number of runs, of different seeds, in a comparison.
const comparedRuns = 3

// Compare runs every policy over the same demand and failures.
func Compare(d Deployment, seed uint64) Comparison {
	var c Comparison
	for i := range uint64(comparedRuns) {
		c.learned.add(Run(d, Learn, seed*comparedRuns+i))
		c.fixed.add(Run(d, Fixed, seed*comparedRuns+i))
		c.reactive.add(Run(d, Follow, seed*comparedRuns+i))
	}
	return c
}

func (r *Result) add(s Result) {
	r.Buffer += s.Buffer
	r.Moves += s.Moves
	r.Broken += s.Broken
}

// Buffer returns the hosts held idle, as a share of what fixed sizes hold.
func (c Comparison) Buffer() float64 { return c.learned.Buffer / c.fixed.Buffer }

// Broken returns how many more promises were broken than with fixed sizes.
func (c Comparison) Broken() float64 { return float64(c.learned.Broken - c.fixed.Broken) }

// Moves returns the moves, as a share of those that follow the load.
func (c Comparison) Moves() float64 { return float64(c.learned.Moves) / float64(c.reactive.Moves) }
