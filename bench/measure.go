package main

import (
	_ "embed"
	"os"
	"strings"

	"github.com/pkg/errors"

	"indigoglade/bench/internal/calls"
	"indigoglade/bench/internal/gauge"
	"indigoglade/bench/internal/hosts"
	"indigoglade/bench/internal/jobs"
	"indigoglade/bench/internal/peers"
	"indigoglade/bench/internal/scale"
	"indigoglade/config"
)

//go:embed bounds.json
var boundsSource []byte

// measureCommand runs the measures and compares them with the bounds file.
type measureCommand struct {
	Seed uint64 `default:"1" help:"Seed of the random numbers."`
	Only string `help:"Run only measures whose names contain this text."`
	Red  string `default:"KNOWN-RED.txt" help:"File of known failures."`
}

// Run prints one row for each selected measure.
func (m measureCommand) Run() error {
	bounds, err := config.ReportProblems(gauge.ReadBounds("bench/bounds.json", boundsSource), os.Stderr)
	if err != nil {
		return err
	}
	known, err := readKnown(m.Red)
	if err != nil {
		return err
	}
	return gauge.Run(gauge.Config{
		Measures:      m.pick(measures()),
		Bounds:        m.pickBounds(bounds),
		KnownFailures: known,
		Seed:          m.Seed,
		Output:        os.Stdout,
	})
}

func measures() []gauge.Measure {
	var all []gauge.Measure
	all = append(all, calls.Measures()...)
	all = append(all, peers.Measures()...)
	all = append(all, hosts.Measures()...)
	all = append(all, jobs.Measures()...)
	return append(all, scale.Measures()...)
}

func (m measureCommand) pick(all []gauge.Measure) []gauge.Measure {
	var picked []gauge.Measure
	for _, measure := range all {
		if strings.Contains(measure.Name, m.Only) {
			picked = append(picked, measure)
		}
	}
	return picked
}

func (m measureCommand) pickBounds(all gauge.BoundsSpec) gauge.BoundsSpec {
	var picked gauge.BoundsSpec
	for _, bound := range all.Bounds {
		if strings.Contains(bound.Name, m.Only) {
			picked.Bounds = append(picked.Bounds, bound)
		}
	}
	return picked
}

// knownPrefix starts a line of KNOWN-RED.txt that names a measure.
const knownPrefix = "measure: "

// readKnown returns the measures that KNOWN-RED.txt lists; none if the file does not exist.
func readKnown(name string) (map[string]bool, error) {
	source, err := os.ReadFile(name)
	if os.IsNotExist(err) {
		return nil, nil
	}
	if err != nil {
		return nil, errors.Wrap(err, "read known failures")
	}
	known := make(map[string]bool)
	for line := range strings.Lines(string(source)) {
		if measure, ok := strings.CutPrefix(line, knownPrefix); ok {
			known[strings.TrimSpace(measure)] = true
		}
	}
	return known, nil
}
