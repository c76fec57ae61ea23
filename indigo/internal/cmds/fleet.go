package cmds

import (
	"context"
	"fmt"
	"io"
	"time"

	glade "indigoglade"
	"indigoglade/budget"
	"indigoglade/clock"
	"indigoglade/owner"
	"indigoglade/plan"
	"indigoglade/wave"
)

// fleetCommands holds the commands for pools and waves.
type fleetCommands struct {
	Plan planCommand `cmd:"" help:"Show what contract files would do to the fleet."`
	Diff diffCommand `cmd:"" help:"Show how contract files differ from the accepted contracts."`
}

// fleetQueries holds the show subcommands for pools and waves.
type fleetQueries struct {
	Wave showWave `cmd:"" help:"Show the progress of the waves and why they wait."`
}

type planCommand struct {
	Files []string `arg:"" type:"existingfile" help:"Contract files."`
}

// contractPlan holds the plans of the pools of one contract.
type contractPlan struct {
	Customer glade.Customer `json:"customer"`
	Pools    []plan.Pool    `json:"pools"`
}

// Run prints the plans. It is read-only.
func (p planCommand) Run(c *commands, e *env) error {
	specs, err := readContracts(e, p.Files)
	if err != nil {
		return err
	}
	platform, err := c.load(e)
	if err != nil {
		return err
	}
	accounts, err := loadRows[glade.AccountRow](context.Background(), platform, glade.PrefixAccount)
	if err != nil {
		return err
	}
	var plans []contractPlan
	for _, spec := range specs {
		pools := plan.Compute(plan.Input{Spec: spec, Accounts: accounts, Now: clock.System{}.Now()})
		plans = append(plans, contractPlan{Customer: spec.Customer, Pools: pools})
	}
	return e.print(plans, func(w io.Writer) {
		for _, p := range plans {
			p.printText(w)
		}
	})
}

func (p contractPlan) printText(w io.Writer) {
	for _, pool := range p.Pools {
		fmt.Fprintf(w, "%-12s %-12s hosts %d -> %d  moves %d  buffer %d", p.Customer, pool.Pool, pool.Hosts, pool.Size, pool.Moves, pool.Buffer)
		if pool.WaveRemaining > 0 {
			fmt.Fprintf(w, "  wave %d hosts, %d at once, %s", pool.WaveRemaining, pool.Concurrency, pool.Rollout)
		}
		fmt.Fprintln(w)
		for _, risk := range pool.Risks {
			fmt.Fprintln(w, "  at risk:", risk)
		}
	}
}

type diffCommand struct {
	Files []string `arg:"" type:"existingfile" help:"Contract files."`
}

// contractDiff lists the differences of a contract file from the accepted
// contract. Version is that of the accepted contract.
type contractDiff struct {
	Customer glade.Customer `json:"customer"`
	Version  uint64         `json:"version"`
	Changes  []plan.Change  `json:"changes"`
}

// Run prints the differences. It is read-only.
func (d diffCommand) Run(c *commands, e *env) error {
	specs, err := readContracts(e, d.Files)
	if err != nil {
		return err
	}
	platform, err := c.load(e)
	if err != nil {
		return err
	}
	var diffs []contractDiff
	for _, spec := range specs {
		record, err := owner.LoadContract(context.Background(), platform, spec.Customer)
		if err != nil {
			return platformError(err)
		}
		changes, err := plan.Diff(record.Data().Spec, spec)
		if err != nil {
			return err
		}
		diffs = append(diffs, contractDiff{Customer: spec.Customer, Version: record.Data().Version, Changes: changes})
	}
	return e.print(diffs, func(w io.Writer) {
		for _, diff := range diffs {
			fmt.Fprintf(w, "%s: %d changes to version %d\n", diff.Customer, len(diff.Changes), diff.Version)
			for _, change := range diff.Changes {
				fmt.Fprintf(w, "  %s: %s -> %s\n", change.Path, change.Old, change.New)
			}
		}
	})
}

type showWave struct{}

// waveLine is the state of a wave in one pool: Done of Hosts hosts are done, and
// Planned and Failed hosts are down.
type waveLine struct {
	Customer glade.Customer    `json:"customer"`
	Pool     glade.Pool        `json:"pool"`
	Wave     string            `json:"wave"`
	Done     int               `json:"done"`
	Hosts    int               `json:"hosts"`
	Planned  int               `json:"planned"`
	Failed   int               `json:"failed"`
	Spent    glade.Span        `json:"spent"`
	Wait     budget.WaitReason `json:"wait"`
}

// Run prints the wave state of each pool.
func (showWave) Run(c *commands, e *env) error {
	platform, err := c.load(e)
	if err != nil {
		return err
	}
	ctx := context.Background()
	contracts, err := loadRows[glade.ContractRow](ctx, platform, glade.PrefixContract)
	if err != nil {
		return err
	}
	var lines []waveLine
	for _, row := range contracts {
		spec := row.Spec
		for _, pool := range spec.Pools {
			account, err := owner.LoadAccount(ctx, platform, spec.Customer, pool.Name)
			if err != nil {
				return platformError(err)
			}
			lines = append(lines, waveOf(spec, pool, account.Data()))
		}
	}
	return e.print(lines, func(w io.Writer) {
		for _, line := range lines {
			line.printText(w)
		}
	})
}

func waveOf(spec glade.ContractSpec, pool glade.PoolSpec, account glade.AccountRow) waveLine {
	now := clock.System{}.Now()
	line := waveLine{Customer: spec.Customer, Pool: pool.Name, Wave: spec.Wave.Name}
	line.Done, line.Hosts = wave.Progress(account, spec.Wave.Name)
	line.Planned = budget.Count(account, glade.CausePlan)
	line.Failed = budget.Count(account, glade.CauseFail)
	line.Spent = glade.Span(budget.NewRule(spec, pool).Spent(account, now).Truncate(time.Second))
	line.Wait = wave.Next(spec, pool, account, now).Wait()
	return line
}

func (l waveLine) printText(w io.Writer) {
	if l.Wait == budget.WaitNoWave {
		fmt.Fprintf(w, "%-12s %-12s no wave  failed %d  spent %s\n", l.Customer, l.Pool, l.Failed, l.Spent)
		return
	}
	fmt.Fprintf(w, "%-12s %-12s wave %s: %d of %d hosts  planned down %d  failed %d  spent %s: %s\n",
		l.Customer, l.Pool, l.Wave, l.Done, l.Hosts, l.Planned, l.Failed, l.Spent, budget.Explain(l.Wait))
}
