// Command bench measures the decisions and drives running programs with load.
package main

import (
	"fmt"
	"os"

	"github.com/alecthomas/kong"

	"indigoglade/bench/internal/hosts/days"
	"indigoglade/bench/internal/load"
	"indigoglade/bench/internal/scale"
)

type commands struct {
	Measure  measureCommand `cmd:"" default:"withargs" help:"Run every measure that has a bound and print one row each."`
	Capacity scale.Command  `cmd:"" help:"Measure the slopes of docs/CAPACITY.md and work out the cost at its size."`
	Day      days.Command   `cmd:"" help:"Draw demand, pool size and moves around a clock change."`
	Load     load.Command   `cmd:"" help:"Send work to running entry hosts and check each outcome against the endpoints' ledger."`
}

func main() {
	var c commands
	parsed := kong.Parse(&c, kong.Name("bench"), kong.Description("Measures and load for indigoglade."))
	if err := parsed.Run(); err != nil {
		fmt.Fprintln(os.Stderr, "bench:", err)
		os.Exit(1)
	}
}
