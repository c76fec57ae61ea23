package cmds

import (
	"context"
	"fmt"
	"io"
	"slices"
	"time"

	"github.com/pkg/errors"

	glade "indigoglade"
	"indigoglade/clock"
	"indigoglade/jobs"
	"indigoglade/remote"
)

// jobCommands holds the commands for jobs.
type jobCommands struct {
	Cancel cancelCommand `cmd:"" help:"Cancel the jobs that match the flags."`
}

// jobQueries holds the show subcommands for jobs.
type jobQueries struct {
	Job  showJob  `cmd:"" help:"Show one job: phase, host, failed runs."`
	Jobs showJobs `cmd:"" help:"Count the jobs of a customer by kind, phase and reason."`
}

// jobSelector selects jobs of one customer.
type jobSelector struct {
	Customer glade.Customer `required:"" help:"Customer that the jobs belong to."`
	Kind     glade.Service  `help:"Only jobs of this kind."`
	State    glade.JobPhase `help:"Only jobs in this phase: accepted, placed, running or parked."`
}

func (s jobSelector) matches(row glade.JobRow) bool {
	return (s.Kind == "" || row.Kind == s.Kind) && (s.State == "" || row.Phase == s.State)
}

// matching reads the jobs that match the selector from the table service.
func (s jobSelector) matching(ctx context.Context, platform *remote.Client) ([]glade.JobRow, error) {
	rows, err := loadRows[glade.JobRow](ctx, platform, string(glade.PrefixJob+s.Customer+"."))
	return slices.DeleteFunc(rows, func(row glade.JobRow) bool { return !s.matches(row) }), err
}

type cancelCommand struct {
	jobSelector

	DryRun bool `help:"Only count what would be cancelled."`
}

// Cancelled is the output of the cancel command.
type Cancelled struct {
	Matched   int  `json:"matched"`
	Requested int  `json:"ordered"`
	DryRun    bool `json:"dryrun"`
}

// Run requests the cancellation of the matching jobs that are not final. The
// keepers process these requests before other work.
func (k cancelCommand) Run(c *commands, e *env) error {
	platform, err := c.load(e)
	if err != nil {
		return err
	}
	ctx := context.Background()
	matching, err := k.matching(ctx, platform)
	if err != nil {
		return err
	}
	var items []glade.InboxItem
	for _, row := range matching {
		if !row.Phase.IsFinal() {
			items = append(items, glade.InboxItem{Ticket: row.Ticket, Priority: row.Priority})
		}
	}
	summary := Cancelled{Matched: len(items), DryRun: k.DryRun}
	if k.DryRun {
		return e.print(summary, func(w io.Writer) { fmt.Fprintf(w, "%d jobs would be cancelled\n", summary.Matched) })
	}
	requested, result := jobs.CancelAll(ctx, platform, k.Customer, items, clock.System{}.Now())
	summary.Requested = requested
	if result != glade.Committed {
		return errors.Wrapf(errPlatform, "requested the cancellation of %d of %d jobs, then the table service returned %s; it is safe to repeat the command", requested, len(items), result)
	}
	return e.print(summary, func(w io.Writer) {
		fmt.Fprintf(w, "ordered the cancellation of %d jobs; `indigo show jobs` tells how far it is\n", requested)
	})
}

type showJob struct {
	Ticket glade.Ticket `arg:"" help:"Ticket of the job."`
}

// Run prints one job without its payload.
func (s showJob) Run(c *commands, e *env) error {
	platform, err := c.load(e)
	if err != nil {
		return err
	}
	record, err := jobs.Find(context.Background(), platform, s.Ticket)
	if err != nil {
		return platformError(err)
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
	for _, attempt := range row.FailedRuns {
		fmt.Fprintf(w, "failed on host %s, rack %s: %s\n", attempt.Host, attempt.Rack, attempt.Reason)
	}
}

func age(now time.Time, since int64) time.Duration {
	return now.Sub(time.UnixMilli(since)).Round(time.Second)
}

type showJobs struct {
	jobSelector
}

// jobCount is the number of jobs with the same kind, phase and reason.
type jobCount struct {
	Kind   glade.Service  `json:"kind"`
	Phase  glade.JobPhase `json:"phase"`
	Reason string         `json:"reason,omitempty"`
	Count  int            `json:"count"`
	// Oldest is the earliest time at which one of the jobs entered the phase,
	// in Unix milliseconds.
	Oldest int64 `json:"oldest"`
}

// Run prints the job counts.
func (s showJobs) Run(c *commands, e *env) error {
	platform, err := c.load(e)
	if err != nil {
		return err
	}
	matching, err := s.matching(context.Background(), platform)
	if err != nil {
		return err
	}
	lines := countJobs(matching)
	now := clock.System{}.Now()
	return e.print(lines, func(w io.Writer) {
		for _, line := range lines {
			fmt.Fprintf(w, "%-12s %-10s %-8s %6d jobs, the oldest for %s\n", line.Kind, line.Phase, line.Reason, line.Count, age(now, line.Oldest))
		}
	})
}

// countJobs groups jobs by kind, phase and reason, in order of first occurrence.
func countJobs(rows []glade.JobRow) []jobCount {
	type key struct {
		kind   glade.Service
		phase  glade.JobPhase
		reason string
	}
	index := make(map[key]int)
	var lines []jobCount
	for _, row := range rows {
		k := key{row.Kind, row.Phase, row.Reason}
		i, known := index[k]
		if !known {
			i = len(lines)
			index[k] = i
			lines = append(lines, jobCount{Kind: row.Kind, Phase: row.Phase, Reason: row.Reason, Oldest: row.Since})
		}
		lines[i].Count++
		lines[i].Oldest = min(lines[i].Oldest, row.Since)
	}
	return lines
}
