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
	Seen    int64         `default:"-1" help:"Version that the change was made from; -1 takes the newest. Only with one file."`
	Wait    bool          `help:"Wait until the contracts are in force at every entry host."`
	Timeout time.Duration `default:"10s" help:"Longest wait."`
}

// Help shows examples.
func (applyCommand) Help() string {
	return `All files are applied in one transaction, or none of them.

Examples:

  indigo apply contracts/*.json
  indigo apply --wait contracts/dealers.json
  indigo apply --seen 4 contracts/dealers.json    # refused when another operator was first`
}

// Applied is the result of applying one contract.
type Applied struct {
	Customer glade.Customer `json:"customer"`
	Version  uint64         `json:"version"`
}

// Force tells where contracts are in force.
type Force struct {
	At      int          `json:"at"`
	Of      int          `json:"of"`
	Seconds float64      `json:"seconds"`
	Missing []glade.Node `json:"missing"`
}

// applyReport is the result of an apply.
type applyReport struct {
	Applied []Applied `json:"applied"`
	Force   *Force    `json:"force,omitempty"`
}

// Run commits the contracts.
func (a applyCommand) Run(c *commands, e *env) error {
	if a.Seen >= 0 && len(a.Files) > 1 {
		return errors.Wrap(errUsage, "--seen goes with one file; apply the files one by one")
	}
	specs, err := readAll(e, a.Files)
	if err != nil {
		return err
	}
	platform, err := c.load(e)
	if err != nil {
		return err
	}
	ctx := context.Background()
	report := applyReport{}
	if report.Applied, err = a.apply(ctx, platform, specs); err != nil {
		return err
	}
	if !e.json {
		for _, one := range report.Applied {
			fmt.Fprintf(e.out, "%s: version %d accepted\n", one.Customer, one.Version)
		}
	}
	if a.Wait {
		force := a.wait(ctx, e, report.Applied)
		report.Force = &force
	}
	if err := e.print(report, report.text); err != nil {
		return err
	}
	if report.Force != nil && report.Force.At < report.Force.Of {
		return errPending
	}
	return nil
}

func (r applyReport) text(w io.Writer) {
	if r.Force == nil {
		return
	}
	fmt.Fprintf(w, "in force at %d of %d entry hosts after %.1f s\n", r.Force.At, r.Force.Of, r.Force.Seconds)
	if len(r.Force.Missing) > 0 {
		fmt.Fprintln(w, "not yet, or not reached:", r.Force.Missing)
	}
}

func (a applyCommand) apply(ctx context.Context, platform *remote.Client, specs []glade.ContractSpec) ([]Applied, error) {
	offers := make([]adopt.Offer, len(specs))
	for i, spec := range specs {
		seen, err := a.seen(ctx, platform, spec.Customer)
		if err != nil {
			return nil, err
		}
		offers[i] = adopt.Offer{Spec: spec, BaseVersion: seen}
	}
	acceptance, err := adopt.AcceptAll(ctx, platform, offers)
	if err != nil {
		return nil, errors.Wrapf(errPlatform, "nothing was applied: %v", err)
	}
	switch acceptance.Result() {
	case glade.Committed:
		return appliedOf(offers), nil
	case glade.Conflicted:
		return nil, errors.Wrapf(errConflict, "%s is at version %d now; nothing was applied; look at `indigo show contracts`",
			acceptance.Customer(), acceptance.CurrentContract().Version)
	case glade.Unavailable:
		return nil, errors.Wrap(errPlatform, "the table service refused; nothing was applied")
	}
	return nil, errors.Wrap(errUnsure, "the table service lost its answer; see `indigo show contracts` before you apply again")
}

func appliedOf(offers []adopt.Offer) []Applied {
	applied := make([]Applied, len(offers))
	for i, offer := range offers {
		applied[i] = Applied{Customer: offer.Spec.Customer, Version: offer.BaseVersion + 1}
	}
	return applied
}

// seen returns the version that the change was made from.
func (a applyCommand) seen(ctx context.Context, platform *remote.Client, customer glade.Customer) (uint64, error) {
	if a.Seen >= 0 {
		return uint64(a.Seen), nil
	}
	current, err := table.Load[glade.ContractRow](ctx, platform, glade.PrefixContract+string(customer))
	if err != nil {
		return 0, errors.Wrapf(errPlatform, "nothing was applied: %v", err)
	}
	return current.Data().Version, nil
}

const waitPeriod = 100 * time.Millisecond

// wait polls the entry hosts until every one has the versions in force, or the
// longest wait is over.
func (a applyCommand) wait(ctx context.Context, e *env, applied []Applied) Force {
	system := clock.System{}
	start := system.Now()
	for {
		behind := lagging(e, fetchReports(ctx, e), applied)
		took := system.Now().Sub(start)
		n := len(e.site.Entries)
		force := Force{At: n - len(behind), Of: n, Seconds: took.Seconds(), Missing: behind}
		if len(behind) == 0 || took > a.Timeout || system.Sleep(ctx, waitPeriod) != nil {
			return force
		}
	}
}

// lagging names the entry hosts that do not have every version in force, or
// did not answer.
func lagging(e *env, reports map[glade.Node]nodeReport, applied []Applied) []glade.Node {
	var behind []glade.Node
	for _, entry := range e.site.Entries {
		report, ok := reports[entry.Node]
		if !ok || !hasVersions(report, applied) {
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
