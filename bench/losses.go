package main

import (
	"encoding/json"
	"io"
	"os"

	"github.com/pkg/errors"

	"indigoglade/worth"
)

// readDays reads the days in a file; main sets it.
type readDays func(path string) ([]worth.Day, error)

// lossesCommand prints where the worth of played days was lost.
type lossesCommand struct {
	Files  []string `arg:"" type:"existingfile" help:"Journal entries or reports of played days."`
	Base   []string `type:"existingfile" placeholder:"FILE" help:"Entries or reports to compare with; only the differences are printed."`
	Output string   `enum:"text,json" default:"text" help:"Form of the report: text or json."`
	HTML   string   `name:"html" type:"path" placeholder:"FILE" help:"Also write a self-contained HTML page to this file."`
}

// Run prints the report to standard output.
func (c *lossesCommand) Run(read readDays) error {
	report, err := summarizeFiles(read, c.Files)
	if err != nil {
		return err
	}
	if c.HTML != "" {
		if err := writeFile(c.HTML, report.WriteHTML); err != nil {
			return err
		}
	}
	switch {
	case len(c.Base) > 0:
		base, err := summarizeFiles(read, c.Base)
		if err != nil {
			return err
		}
		return worth.WriteChange(os.Stdout, report, base)
	case c.Output == "json":
		return errors.Wrap(json.NewEncoder(os.Stdout).Encode(report), "print report")
	}
	return report.WriteText(os.Stdout)
}

func summarizeFiles(read readDays, paths []string) (worth.Report, error) {
	var days []worth.Day
	for _, path := range paths {
		list, err := read(path)
		if err != nil {
			return worth.Report{}, err
		}
		days = append(days, list...)
	}
	return worth.Summarize(days), nil
}

func writeFile(path string, write func(io.Writer) error) (err error) {
	file, err := os.Create(path)
	if err != nil {
		return errors.Wrap(err, "create HTML file; choose another path with --html")
	}
	defer func() {
		if closeErr := file.Close(); err == nil {
			err = errors.Wrap(closeErr, "close HTML file")
		}
	}()
	return write(file)
}
