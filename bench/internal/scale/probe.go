// Package scale measures the cost of each role at several sizes and extrapolates it to the size of
// docs/CAPACITY.md.
package scale

import (
	"math"
	"runtime"
	"slices"
	"testing"
)

// Cost is what one node uses in steady state.
type Cost struct {
	// Reachable heap in bytes.
	HeapBytes float64
	// Processor time in nanoseconds per second.
	CPUNanos float64
	// Control traffic in bytes per second, sent and received.
	Traffic float64
	// Rows per second at the table service, over all nodes.
	Reads  float64
	Writes float64
}

// metric is one component of a Cost, converted to a unit for printing.
type metric struct {
	name string
	unit string
	get  func(Cost) float64
}

var metrics = []metric{
	{"heap", "KB", func(c Cost) float64 { return c.HeapBytes / 1e3 }},
	{"cpu", "% core", func(c Cost) float64 { return c.CPUNanos / 1e7 }},
	{"wire", "KB/s", func(c Cost) float64 { return c.Traffic / 1e3 }},
	{"reads", "rows/s", func(c Cost) float64 { return c.Reads }},
	{"writes", "rows/s", func(c Cost) float64 { return c.Writes }},
}

// Probe measures one part of a role at several sizes.
type Probe struct {
	Role string
	Part string
	// SizeUnit names what the size counts.
	SizeUnit string
	Sizes    []int
	// Target is the size in docs/CAPACITY.md that the cost is extrapolated to.
	Target int
	Run    func(n int, time timerFunc) (Cost, error)
}

// timerFunc returns the CPU time of one call of op, in nanoseconds.
type timerFunc func(op func()) float64

// untimed is a timerFunc for measures that must be reproducible: it reports no CPU time.
func untimed(func()) float64 { return 0 }

// Line is a straight line fitted to measured points.
type Line struct {
	Intercept float64
	Slope     float64
	// MaxError is the largest distance of a point from the line, relative to the value of the point.
	MaxError float64
}

// At returns the value of the line at size n.
func (l Line) At(n int) float64 { return l.Intercept + l.Slope*float64(n) }

// fit returns the least-squares line through the points.
func fit(sizes []int, values []float64) Line {
	var sx, sy, sxx, sxy float64
	n := float64(len(sizes))
	for i, size := range sizes {
		x := float64(size)
		sx += x
		sy += values[i]
		sxx += x * x
		sxy += x * values[i]
	}
	slope := (n*sxy - sx*sy) / (n*sxx - sx*sx)
	line := Line{Intercept: (sy - slope*sx) / n, Slope: slope}
	for i, size := range sizes {
		if values[i] != 0 {
			line.MaxError = max(line.MaxError, math.Abs(line.At(size)-values[i])/math.Abs(values[i]))
		}
	}
	return line
}

// Result is a probe with the cost at each of its sizes.
type Result struct {
	Probe Probe
	Costs []Cost
}

func measure(p Probe, time timerFunc) (Result, error) {
	r := Result{Probe: p}
	for _, n := range p.Sizes {
		cost, err := p.Run(n, time)
		if err != nil {
			return r, err
		}
		r.Costs = append(r.Costs, cost)
	}
	return r, nil
}

// line fits one component of the cost and reports whether the probe measured it.
func (r Result) line(a metric) (Line, bool) {
	values := make([]float64, len(r.Costs))
	for i, cost := range r.Costs {
		values[i] = a.get(cost)
	}
	return fit(r.Probe.Sizes, values), slices.Max(values) > 0
}

// heapOf returns the bytes of heap that the result of build keeps reachable.
func heapOf(build func() any) float64 {
	before := liveHeapBytes()
	kept := build()
	after := liveHeapBytes()
	runtime.KeepAlive(kept)
	return max(0, after-before)
}

func liveHeapBytes() float64 {
	var m runtime.MemStats
	runtime.GC()
	runtime.GC()
	runtime.ReadMemStats(&m)
	return float64(m.HeapAlloc)
}

// benchmarkNanos is a timerFunc that runs op many times and returns the mean.
func benchmarkNanos(op func()) float64 {
	result := testing.Benchmark(func(b *testing.B) {
		for b.Loop() {
			op()
		}
	})
	return float64(result.T.Nanoseconds()) / float64(result.N)
}
