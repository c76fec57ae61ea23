package scale

import (
	"sync"

	"github.com/pkg/errors"

	"indigoglade/bench/internal/gauge"
)

// Measures returns the measures of this package. They leave out CPU time, which differs from run to
// run; bench capacity prints it.
func Measures() []gauge.Measure {
	all := &totalCosts{}
	return []gauge.Measure{
		all.measure("scale.entry.heap", "MB", func(s costByRole) float64 { return s["entry"].HeapBytes / 1e6 }),
		all.measure("scale.keeper.heap", "MB", func(s costByRole) float64 { return s["keeper"].HeapBytes / 1e6 }),
		all.measure("scale.entry.wire", "KB/s", func(s costByRole) float64 { return s["entry"].Traffic / 1e3 }),
		all.measure("scale.keeper.wire", "KB/s", func(s costByRole) float64 { return s["keeper"].Traffic / 1e3 }),
		all.measure("scale.table.reads", "rows/s", func(s costByRole) float64 { return s["entry"].Reads + s["keeper"].Reads }),
		all.measure("scale.table.writes", "rows/s", func(s costByRole) float64 { return s["entry"].Writes + s["keeper"].Writes }),
	}
}

// costByRole is the cost of each role at the size of docs/CAPACITY.md.
type costByRole map[string]Cost

// totalCosts runs the probes once and keeps the result for all measures.
type totalCosts struct {
	once  sync.Once
	roles costByRole
	err   error
}

func (s *totalCosts) measure(name, unit string, get func(costByRole) float64) gauge.Measure {
	return gauge.Measure{Name: name, Unit: unit, Run: func(uint64) (float64, error) {
		s.once.Do(s.run)
		return get(s.roles), s.err
	}}
}

func (s *totalCosts) run() {
	s.roles = make(costByRole)
	for _, p := range probes() {
		result, err := measure(p, untimed)
		if err != nil {
			s.err = errors.Wrapf(err, "%s %s", p.Role, p.Part)
			return
		}
		s.roles[p.Role] = addAtTarget(s.roles[p.Role], result)
	}
}
