package cmds

import (
	"context"
	"fmt"
	"io"
	"os"
	"time"

	"github.com/pkg/errors"

	glade "indigoglade"
	"indigoglade/adopt"
	"indigoglade/clock"
	"indigoglade/config"
	"indigoglade/remote"
	"indigoglade/table"
)

type checkCommand struct {
	Files []string `arg:"" type:"existingfile" help:"Contract files."`
}

// Run checks the files.
func (k checkCommand) Run(e *env) error {
	specs, err := readAll(e, k.Files)
	if err != nil {
		return err
	}
	return e.print(specs, func(w io.Writer) {
		for i, spec := range specs {
			fmt.Fprintf(w, "%s: contract of %s is valid\n", k.Files[i], spec.Customer)
		}
	})
}

// readAll reads every file and prints every problem. It returns nothing when
// there is one.
func readAll(e *env, files []string) ([]glade.ContractSpec, error) {
	var specs []glade.ContractSpec
	seen := make(map[glade.Customer]string)
	bad := false
	for _, name := range files {
		source, err := os.ReadFile(name)
		if err != nil {
			return nil, errors.Wrap(err, "read contract")
		}
		f := config.ReadContract(name, source)
		spec := f.Value()
		if other, twice := seen[spec.Customer]; twice {
			f.Add("/customer", "customer %q has a contract in %s already", spec.Customer, other)
		}
		seen[spec.Customer] = name
		for _, p := range f.Problems() {
			fmt.Fprintln(e.errOut, p)
			bad = true
		}
		specs = append(specs, spec)
	}
	if bad {
		return nil, errInvalid
	}
	return specs, nil
}

type applyCommand struct {
	Files   []string      `arg:"" type:"existingfile" help:"Contract files."`
	Seen    int64         `default:"-1" help:"Version that the change was made from; -1 takes the newest."`
	Wait    bool          `help:"Wait until the contracts are in force at every entry host."`
	Timeout time.Duration `default:"10s" help:"Longest wait."`
}

// Applied is the result of applying one contract.
type Applied struct {
	Customer glade.Customer `json:"customer"`
	Version  uint64         `json:"version"`
}

// Run commits the contracts.
func (a applyCommand) Run(c *commands, e *env) error {
	specs, err := readAll(e, a.Files)
	if err != nil {
		return err
	}
	platform, err := c.load(e)
	if err != nil {
		return err
	}
	ctx := context.Background()
	var applied []Applied
	for _, spec := range specs {
		one, err := a.apply(ctx, platform, spec)
		if err != nil {
			return err
		}
		applied = append(applied, one)
	}
	err = e.print(applied, func(w io.Writer) {
		for _, one := range applied {
			fmt.Fprintf(w, "%s: version %d accepted\n", one.Customer, one.Version)
		}
	})
	if err != nil || !a.Wait {
		return err
	}
	return a.wait(ctx, e, applied)
}

func (a applyCommand) apply(ctx context.Context, platform *remote.Client, spec glade.ContractSpec) (Applied, error) {
	seen := uint64(a.Seen)
	if a.Seen < 0 {
		current, err := table.Load[glade.ContractRow](ctx, platform, glade.PrefixContract+string(spec.Customer))
		if err != nil {
			return Applied{}, err
		}
		seen = current.Data().Version
	}
	acceptance, err := adopt.Accept(ctx, platform, spec, seen)
	if err != nil {
		return Applied{}, err
	}
	switch acceptance.Result() {
	case glade.Committed:
		return Applied{Customer: spec.Customer, Version: acceptance.Version()}, nil
	case glade.Conflicted:
		return Applied{}, errors.Wrapf(errConflict, "%s is at version %d, not %d", spec.Customer, acceptance.Current().Version, seen)
	}
	return Applied{}, errors.Errorf("%s: the table service gave the result %s; see `indigo show contracts` before you apply again", spec.Customer, acceptance.Result())
}

const waitPeriod = 100 * time.Millisecond

// wait polls the entry hosts until every one has the versions in force.
func (a applyCommand) wait(ctx context.Context, e *env, applied []Applied) error {
	system := clock.System{}
	start := system.Now()
	for {
		behind := lagging(ctx, e, applied)
		took := system.Now().Sub(start)
		if len(behind) == 0 {
			fmt.Fprintf(e.out, "in force at %d of %d entry hosts after %.1f s\n", len(e.site.Entries), len(e.site.Entries), took.Seconds())
			return nil
		}
		if took > a.Timeout {
			n := len(e.site.Entries)
			return errors.Errorf("in force at %d of %d entry hosts after %.1f s; not at %v", n-len(behind), n, took.Seconds(), behind)
		}
		if err := system.Sleep(ctx, waitPeriod); err != nil {
			return err
		}
	}
}

// lagging names the entry hosts that do not have every version in force, or
// can't be reached.
func lagging(ctx context.Context, e *env, applied []Applied) []glade.Node {
	var behind []glade.Node
	for _, entry := range e.site.Entries {
		report, err := fetchReport(ctx, entry.Status)
		if err != nil || !hasVersions(report, applied) {
			behind = append(behind, entry.Node)
		}
	}
	return behind
}

func hasVersions(report nodeReport, applied []Applied) bool {
	versions := make(map[glade.Customer]uint64)
	for _, v := range report.Versions {
		versions[v.Customer] = v.Version
	}
	for _, one := range applied {
		if versions[one.Customer] < one.Version {
			return false
		}
	}
	return true
}
