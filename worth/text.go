package worth

import (
	"fmt"
	"io"
	"text/tabwriter"

	"github.com/pkg/errors"
)

// Limits of what a text report prints.
const (
	// minPrintedLoss is the smallest loss in a report; smaller ones are summed up.
	minPrintedLoss = 0.001
	printedWindows = 5
)

// WriteText prints the mean of all days, and then each day.
func (r Report) WriteText(w io.Writer) error {
	table := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintf(table, "mean of %d days\tworth %.3f\n", len(r.Days), r.Value)
	writeLosses(table, r.Losses)
	for _, day := range r.Days {
		fmt.Fprintf(table, "\n%s\tworth %.3f\n", day.title(), day.Value())
		writeLosses(table, day.Losses())
		writeGroups(table, "queue", day.Queues)
		writeGroups(table, "availability zone", day.Zones)
		writeGroups(table, "worst windows, from second", day.WorstWindows(printedWindows))
	}
	return errors.Wrap(table.Flush(), "print report")
}

// WriteChange prints the differences of two reports.
func WriteChange(w io.Writer, report, base Report) error {
	table := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintf(table, "worth\t%.3f\tbefore %.3f\t%+.3f\n", report.Value, base.Value, report.Value-base.Value)
	for _, loss := range report.Compare(base) {
		if max(loss.Worth, -loss.Worth) >= minPrintedLoss {
			fmt.Fprintf(table, "%s\t\t\t%+.3f\n", loss.Cause, -loss.Worth)
		}
	}
	return errors.Wrap(table.Flush(), "print comparison")
}

func (d Day) title() string {
	if d.Seed == 0 {
		return d.Name
	}
	return fmt.Sprintf("%s, seed %d", d.Name, d.Seed)
}

func writeLosses(w io.Writer, losses []Loss) {
	rest := 0.0
	for _, loss := range losses {
		if loss.Worth < minPrintedLoss {
			rest += loss.Worth
			continue
		}
		fmt.Fprintf(w, "  %s\t%.3f\n", loss.Cause, loss.Worth)
	}
	fmt.Fprintf(w, "  all others\t%.3f\n", rest)
}

func writeGroups(w io.Writer, kind string, groups []Group) {
	if len(groups) == 0 {
		return
	}
	fmt.Fprintf(w, "  %s\tasked\tin time\tlate\trefused\tfailed\tearned\n", kind)
	for _, g := range groups {
		fmt.Fprintf(w, "  %s\t%d\t%d\t%d\t%d\t%d\t%.3f\n", g.Name, g.Asked, g.InTime, g.Late, g.Refused, g.Failed, g.Earned)
	}
}
