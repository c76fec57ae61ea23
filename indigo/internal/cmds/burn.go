package cmds

import (
	"context"
	"fmt"
	"io"
	"os"
	"time"

	"github.com/pkg/errors"

	glade "indigoglade"
	"indigoglade/burn"
	"indigoglade/clock"
	"indigoglade/indigo/internal/page"
	"indigoglade/owner"
	"indigoglade/remote"
)

type burnCommand struct {
	HTML string `name:"html" type:"path" placeholder:"FILE" help:"Also write a self-contained HTML page with plots to this file."`
}

// Help returns the detailed help text.
func (burnCommand) Help() string {
	return `Examples:

  indigo burn
  indigo burn --output json
  indigo burn --html burn.html

"fast" would spend a quarter of a budget in a 24th of its window, "slow" half of it in a quarter; "spent" has none left.
The last lines list missing counts.`
}

// Run reports the burn rates from the counts of all reachable entry hosts and the
// snapshots stored by earlier ones.
func (b burnCommand) Run(c *commands, e *env) error {
	platform, err := c.load(e)
	if err != nil {
		return err
	}
	report, err := collectBurn(context.Background(), platform, e)
	if err != nil {
		return err
	}
	if b.HTML != "" {
		if err := writePage(b.HTML, report); err != nil {
			return err
		}
	}
	return e.print(report, func(w io.Writer) { printBurn(w, report) })
}

func collectBurn(ctx context.Context, platform *remote.Client, e *env) (burn.Report, error) {
	var live []burn.Snapshot
	var unreachable []glade.Node
	for _, entry := range e.site.Entries {
		snapshot, err := fetchStatus[burn.Snapshot](ctx, entry.Status, "/burn")
		if err != nil {
			unreachable = append(unreachable, entry.Node)
			continue
		}
		live = append(live, snapshot)
	}
	stored, err := loadRows[burn.Snapshot](ctx, platform, burn.KeyPrefix)
	if err != nil {
		return burn.Report{}, err
	}
	in := burn.Input{
		Merged:   burn.Merge(live, stored, unreachable),
		Accounts: make(map[string]glade.AccountRow),
		Now:      clock.System{}.Now(),
	}
	contracts, err := loadRows[glade.ContractRow](ctx, platform, glade.PrefixContract)
	if err != nil {
		return burn.Report{}, err
	}
	for _, row := range contracts {
		in.Contracts = append(in.Contracts, row.Spec)
	}
	accounts, err := loadRows[glade.AccountRow](ctx, platform, glade.PrefixAccount)
	if err != nil {
		return burn.Report{}, err
	}
	for _, account := range accounts {
		in.Accounts[owner.AccountKey(account.Customer, account.Pool)] = account
	}
	return burn.NewReport(in), nil
}

func writePage(name string, report burn.Report) error {
	file, err := os.Create(name)
	if err != nil {
		return errors.Wrap(err, "create HTML file; choose another path with --html")
	}
	defer file.Close()
	if err := page.Write(file, report); err != nil {
		return err
	}
	return errors.Wrap(file.Close(), "write HTML file")
}

func printBurn(w io.Writer, report burn.Report) {
	for _, line := range report.Lines {
		fmt.Fprintf(w, "%-10s %-9s %-10s %-6s budget left %7.2f %% of %s ", line.Customer, line.Promise, line.Pool, line.Level, line.Left, line.Window)
		for _, rate := range line.Rates {
			fmt.Fprintf(w, "  %s %.2f", rate.Length, rate.Rate)
		}
		if line.Promise == burn.PromiseAnswers {
			fmt.Fprintf(w, "  kept %d of %d", line.Counts.Good(), line.Counts.Total())
		}
		fmt.Fprintln(w)
	}
	for _, gap := range report.Gaps {
		fmt.Fprintln(w, gapText(gap))
	}
}

func gapText(gap burn.Gap) string {
	missing := "all of its counts are missing"
	if gap.Until > 0 {
		missing = "its counts since " + time.UnixMilli(gap.Until).UTC().Format(time.RFC3339) + " are missing"
	}
	if gap.Cause == burn.Killed {
		return fmt.Sprintf("%s ended without a graceful stop: %s", gap.Node, missing)
	}
	return fmt.Sprintf("%s was not reached: %s", gap.Node, missing)
}
