// Command bench runs the benchmarks of indigoglade and sends load to running entry hosts.
package main

import (
	"fmt"
	"os"

	"github.com/alecthomas/kong"

	"indigoglade/bench/internal/hosts/days"
	"indigoglade/bench/internal/load"
	"indigoglade/bench/internal/scale"
	"indigoglade/platform/marks"
)

type commands struct {
	Measure  measureCommand `cmd:"" default:"withargs" help:"Run every measure and compare it with its bound."`
	Capacity scale.Command  `cmd:"" help:"Measure the cost of each role at several sizes and extrapolate it to the size of docs/CAPACITY.md."`
	Day      days.Command   `cmd:"" help:"Plot demand, pool size and host moves around a daylight saving change."`
	Losses   lossesCommand  `cmd:"" help:"Print where the worth of played days was lost, from journal entries or reports."`
	Load     load.Command   `cmd:"" help:"Send requests to running entry hosts and check each outcome against the endpoints' ledger."`
}

func main() {
	var c commands
	parsed := kong.Parse(&c, kong.Name("bench"), kong.Description("Benchmarks and load generator for indigoglade."))
	if err := parsed.Run(readDays(marks.Read)); err != nil {
		fmt.Fprintln(os.Stderr, "bench:", err)
		os.Exit(1)
	}
}
