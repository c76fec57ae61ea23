package cmds

import (
	"context"
	"fmt"
	"io"
	"time"

	"github.com/pkg/errors"

	glade "indigoglade"
	"indigoglade/clock"
	"indigoglade/jobs"
	"indigoglade/remote"
	"indigoglade/table"
)

// jobCommands are the commands about jobs.
type jobCommands struct {
	Cancel cancelCommand `cmd:"" help:"Cancel the jobs that a selector names."`
}

// jobShows are the queries about jobs.
type jobShows struct {
	Job  showJob  `cmd:"" help:"Show one job: phase, place, runs that failed."`
	Jobs showJobs `cmd:"" help:"Count the jobs of a customer by kind, phase and reason."`
}

// selector names jobs of one customer.
type selector struct {
	Customer glade.Customer `required:"" help:"Customer that the jobs belong to."`
	Kind     glade.Service  `help:"Only jobs of this kind."`
	State    glade.JobPhase `help:"Only jobs in this phase: accepted, placed, running or parked."`
}

func (s selector) matches(row glade.JobRow) bool {
	return (s.Kind == "" || row.Kind == s.Kind) && (s.State == "" || row.Phase == s.State)
}

// rows reads the customer's jobs that match.
func (s selector) rows(ctx context.Context, platform *remote.Client) ([]glade.JobRow, error) {
	records, err := table.LoadAll[glade.JobRow](ctx, platform, string(glade.PrefixJob+s.Customer+"."))
	if err != nil {
		return nil, err
	}
	var rows []glade.JobRow
	for _, record := range records {
		if s.matches(record.Data()) {
			rows = append(rows, record.Data())
		}
	}
	return rows, nil
}

type cancelCommand struct {
	selector

	DryRun bool `help:"Only count what would be cancelled."`
}

// Cancelled is the result of a cancellation.
type Cancelled struct {
	Matched int  `json:"matched"`
	Ordered int  `json:"ordered"`
	DryRun  bool `json:"dryrun"`
}

// Run orders the cancellation. The keepers carry it out ahead of other work.
func (k cancelCommand) Run(c *commands, e *env) error {
	platform, err := c.load(e)
	if err != nil {
		return err
	}
	ctx := context.Background()
	rows, err := k.rows(ctx, platform)
	if err != nil {
		return err
	}
	var items []glade.InboxItem
	for _, row := range rows {
		if !row.Phase.IsFinal() {
			items = append(items, glade.InboxItem{Ticket: row.Ticket, Priority: row.Priority})
		}
	}
	done := Cancelled{Matched: len(items), DryRun: k.DryRun}
	if k.DryRun {
		return e.print(done, func(w io.Writer) { fmt.Fprintf(w, "%d jobs would be cancelled\n", done.Matched) })
	}
	ordered, result := jobs.CancelAll(ctx, platform, k.Customer, items, clock.System{}.Now())
	done.Ordered = ordered
	if result != glade.Committed {
		return errors.Errorf("ordered the cancellation of %d of %d jobs, then the table service gave the result %s; the same command again does no harm", ordered, len(items), result)
	}
	return e.print(done, func(w io.Writer) {
		fmt.Fprintf(w, "ordered the cancellation of %d jobs; `indigo show jobs` tells how far it is\n", ordered)
	})
}

type showJob struct {
	Ticket glade.Ticket `arg:"" help:"Ticket of the job."`
}

// Run shows one job.
func (s showJob) Run(c *commands, e *env) error {
	platform, err := c.load(e)
	if err != nil {
		return err
	}
	record, err := jobs.Find(context.Background(), platform, s.Ticket)
	if err != nil {
		return err
	}
	if !record.Exists() {
		return errors.Errorf("no job has the ticket %s", s.Ticket)
	}
	row := record.Data()
	row.Payload = nil
	return e.print(row, func(w io.Writer) { printJob(w, row) })
}

func printJob(w io.Writer, row glade.JobRow) {
	now := clock.System{}.Now()
	fmt.Fprintf(w, "%s: %s for %s", row.Ticket, row.Phase, age(now, row.Since))
	if row.Reason != "" {
		fmt.Fprintf(w, " (%s)", row.Reason)
	}
	if row.Cancel && row.Phase.IsOpen() {
		fmt.Fprint(w, ", cancellation asked for")
	}
	fmt.Fprintf(w, "\naccepted %s ago, %s, kind %s, team %q, repeatable %v\n", age(now, row.Accepted), row.Priority, row.Kind, row.Team, row.Repeatable)
	fmt.Fprintf(w, "declared %d cores, %d MB, %d accelerators, %s\n", row.Size.Cores, row.Size.Memory>>20, row.Size.Accels, row.Time)
	if row.Fence > 0 {
		fmt.Fprintf(w, "run %d on host %s, rack %s, epoch %d\n", row.Fence, row.Host, row.Rack, row.Epoch)
	}
	for _, try := range row.Tries {
		fmt.Fprintf(w, "failed on host %s, rack %s: %s\n", try.Host, try.Rack, try.Reason)
	}
}

func age(now time.Time, since int64) time.Duration {
	return now.Sub(time.UnixMilli(since)).Round(time.Second)
}

type showJobs struct {
	selector
}

// jobLine counts jobs.
type jobLine struct {
	Kind   glade.Service  `json:"kind"`
	Phase  glade.JobPhase `json:"phase"`
	Reason string         `json:"reason,omitempty"`
	Count  int            `json:"count"`
	// Oldest is when the longest in this phase came into it, in milliseconds
	// since 1970.
	Oldest int64 `json:"oldest"`
}

// Run counts jobs.
func (s showJobs) Run(c *commands, e *env) error {
	platform, err := c.load(e)
	if err != nil {
		return err
	}
	rows, err := s.rows(context.Background(), platform)
	if err != nil {
		return err
	}
	lines := countJobs(rows)
	now := clock.System{}.Now()
	return e.print(lines, func(w io.Writer) {
		for _, line := range lines {
			fmt.Fprintf(w, "%-12s %-10s %-8s %6d jobs, the oldest for %s\n", line.Kind, line.Phase, line.Reason, line.Count, age(now, line.Oldest))
		}
	})
}

// countJobs sums rows up, in the order in which they first occur.
func countJobs(rows []glade.JobRow) []jobLine {
	type key struct {
		kind   glade.Service
		phase  glade.JobPhase
		reason string
	}
	at := make(map[key]int)
	var lines []jobLine
	for _, row := range rows {
		k := key{row.Kind, row.Phase, row.Reason}
		i, known := at[k]
		if !known {
			i = len(lines)
			at[k] = i
			lines = append(lines, jobLine{Kind: row.Kind, Phase: row.Phase, Reason: row.Reason, Oldest: row.Since})
		}
		lines[i].Count++
		lines[i].Oldest = min(lines[i].Oldest, row.Since)
	}
	return lines
}
