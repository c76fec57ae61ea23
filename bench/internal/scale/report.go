package scale

import (
	"context"
	"flag"
	"fmt"
	"io"
	"os"
	"strings"
	"testing"

	"github.com/pkg/errors"

	glade "indigoglade"
	"indigoglade/owner"
)

// Command prints the measured costs, their growth, and the cost of each role at the target size.
type Command struct {
	Part string `help:"Measure only parts of a role whose name contains this text."`
}

// Run measures every selected probe and prints the results.
func (c Command) Run() error {
	// The default benchmark time of one second is not needed for two significant digits.
	testing.Init()
	if err := flag.Set("test.benchtime", "100ms"); err != nil {
		return errors.Wrap(err, "set benchmark duration")
	}
	sums := make(map[string]Cost)
	for _, p := range probes() {
		if !strings.Contains(p.Part, c.Part) {
			continue
		}
		result, err := measure(p, benchmarkNanos)
		if err != nil {
			return errors.Wrapf(err, "%s %s", p.Role, p.Part)
		}
		result.print(os.Stdout)
		sums[p.Role] = addAtTarget(sums[p.Role], result)
	}
	for _, role := range []string{"entry", "keeper"} {
		printTotal(os.Stdout, role, sums[role])
	}
	return nil
}

func probes() []Probe { return append(entryProbes(), keeperProbes()...) }

func (r Result) print(w io.Writer) {
	fmt.Fprintf(w, "%s: %s, by %s\n", r.Probe.Role, r.Probe.Part, r.Probe.SizeUnit)
	for _, a := range metrics {
		line, measured := r.line(a)
		if !measured {
			continue
		}
		fmt.Fprintf(w, "  %-7s", a.name)
		for i, size := range r.Probe.Sizes {
			fmt.Fprintf(w, " %10.4g at %-5d", a.get(r.Costs[i]), size)
		}
		fmt.Fprintf(w, "  slope %.3g, off by at most %.0f %%; at %d: %.4g %s\n",
			line.Slope, 100*line.MaxError, r.Probe.Target, line.At(r.Probe.Target), a.unit)
	}
}

// addAtTarget adds the cost of a part of a role at its target size to sum.
func addAtTarget(sum Cost, r Result) Cost {
	at := func(a metric) float64 {
		line, _ := r.line(a)
		return line.At(r.Probe.Target)
	}
	return Cost{
		HeapBytes: sum.HeapBytes + at(metrics[0])*1e3,
		CPUNanos:  sum.CPUNanos + at(metrics[1])*1e7,
		Traffic:   sum.Traffic + at(metrics[2])*1e3,
		Reads:     sum.Reads + at(metrics[3]),
		Writes:    sum.Writes + at(metrics[4]),
	}
}

func printTotal(w io.Writer, role string, c Cost) {
	fmt.Fprintf(w, "%s in all: heap %.1f MB (bound %.0f), cpu %.2f %% of a core (bound %.1f), wire %.1f KB/s (bound %.0f), "+
		"table reads %.0f (bound %d) and writes %.1f rows/s (bound %d)\n",
		role, c.HeapBytes/1e6, maxHeapKB/1e3, c.CPUNanos/1e7, maxCPUPercent, c.Traffic/1e3, maxWireKBPerSecond, c.Reads, maxReadsPerSecond, c.Writes, maxWritesPerSecond)
}

func loadAccount(t glade.Table, spec glade.ContractSpec) (glade.AccountRow, error) {
	account, err := owner.LoadAccount(context.Background(), t, spec.Customer, spec.Pools[0].Name)
	return account.Data(), err
}
