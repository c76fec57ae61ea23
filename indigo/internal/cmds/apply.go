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

// Run validates the contract files.
func (k checkCommand) Run(e *env) error {
	specs, err := readContracts(e, k.Files)
	if err != nil {
		return err
	}
	return e.print(specs, func(w io.Writer) {
		for i, spec := range specs {
			fmt.Fprintf(w, "%s: contract of %s is valid\n", k.Files[i], spec.Customer)
		}
	})
}

// readContracts reads all contract files and prints all problems found. If there
// are any, it returns errInvalid and no contracts.
func readContracts(e *env, files []string) ([]glade.ContractSpec, error) {
	var specs []glade.ContractSpec
	seen := make(map[glade.Customer]string)
	invalid := false
	for _, name := range files {
		source, err := os.ReadFile(name)
		if err != nil {
			return nil, errors.Wrap(err, "read contract")
		}
		f := config.ReadContract(name, source)
		spec := f.Value()
		if first, duplicate := seen[spec.Customer]; duplicate {
			f.Add("/customer", "customer %q has a contract in %s already", spec.Customer, first)
		}
		seen[spec.Customer] = name
		for _, p := range f.Problems() {
			fmt.Fprintln(e.ErrOut, p)
			invalid = true
		}
		specs = append(specs, spec)
	}
	if invalid {
		return nil, errInvalid
	}
	return specs, nil
}

type applyCommand struct {
	Files   []string      `arg:"" type:"existingfile" help:"Contract files."`
	Seen    int64         `default:"-1" help:"Version that the change is based on; -1 means the current version. Only with one file."`
	Wait    bool          `help:"Wait until the contracts are in force at every entry host."`
	Timeout time.Duration `default:"10s" help:"Maximum time to wait."`
}

// Help returns the detailed help text.
func (applyCommand) Help() string {
	return `All files are applied in one transaction, or none of them.

Examples:

  indigo apply contracts/*.json
  indigo apply --wait contracts/dealers.json
  indigo apply --seen 4 contracts/dealers.json    # refused when another operator was first`
}

// Applied is the accepted version of one contract.
type Applied struct {
	Customer glade.Customer `json:"customer"`
	Version  uint64         `json:"version"`
}

// Activation is the result of waiting until contracts are in force: InForce is the number of
// entry hosts that have all of them in force, EntryHosts the number of all entry hosts, and
// Missing lists the others.
type Activation struct {
	InForce    int          `json:"at"`
	EntryHosts int          `json:"of"`
	Seconds    float64      `json:"seconds"`
	Missing    []glade.Node `json:"missing"`
}

// applyReport is the output of the apply command. Without --wait it has only the
// accepted versions.
type applyReport struct {
	Applied    []Applied   `json:"applied"`
	Activation *Activation `json:"force,omitempty"`
}

// Run commits all contracts in one transaction.
func (a applyCommand) Run(c *commands, e *env) error {
	if a.Seen >= 0 && len(a.Files) > 1 {
		return errors.Wrap(errUsage, "--seen accepts only one file; apply the files one by one")
	}
	specs, err := readContracts(e, a.Files)
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
		for _, contract := range report.Applied {
			fmt.Fprintf(e.Out, "%s: version %d accepted\n", contract.Customer, contract.Version)
		}
	}
	if a.Wait {
		activation := a.wait(ctx, e, report.Applied)
		report.Activation = &activation
	}
	if err := e.print(report, report.printText); err != nil {
		return err
	}
	if report.Activation != nil && report.Activation.InForce < report.Activation.EntryHosts {
		return errPending
	}
	return nil
}

func (r applyReport) printText(w io.Writer) {
	if r.Activation == nil {
		return
	}
	fmt.Fprintf(w, "in force at %d of %d entry hosts after %.1f s\n", r.Activation.InForce, r.Activation.EntryHosts, r.Activation.Seconds)
	if len(r.Activation.Missing) > 0 {
		fmt.Fprintln(w, "not yet, or not reached:", r.Activation.Missing)
	}
}

func (a applyCommand) apply(ctx context.Context, platform *remote.Client, specs []glade.ContractSpec) ([]Applied, error) {
	offers := make([]adopt.Offer, len(specs))
	for i, spec := range specs {
		seen, err := a.baseVersion(ctx, platform, spec.Customer)
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
		return appliedContracts(offers), nil
	case glade.Conflicted:
		return nil, errors.Wrapf(errConflict, "%s is at version %d now; nothing was applied; see `indigo show contracts`",
			acceptance.Customer(), acceptance.CurrentContract().Version)
	case glade.Unavailable:
		return nil, errors.Wrap(errPlatform, "the table service is unavailable; nothing was applied")
	}
	return nil, errors.Wrap(errUnknown, "the response of the table service was lost; check `indigo show contracts` before applying again")
}

func appliedContracts(offers []adopt.Offer) []Applied {
	applied := make([]Applied, len(offers))
	for i, offer := range offers {
		applied[i] = Applied{Customer: offer.Spec.Customer, Version: offer.BaseVersion + 1}
	}
	return applied
}

// baseVersion returns the contract version that the change is based on: --seen, or
// the current version.
func (a applyCommand) baseVersion(ctx context.Context, platform *remote.Client, customer glade.Customer) (uint64, error) {
	if a.Seen >= 0 {
		return uint64(a.Seen), nil
	}
	current, err := table.Load[glade.ContractRow](ctx, platform, glade.PrefixContract+string(customer))
	if err != nil {
		return 0, errors.Wrapf(errPlatform, "nothing was applied: %v", err)
	}
	return current.Data().Version, nil
}

const pollInterval = 100 * time.Millisecond

// wait polls the entry hosts until all of them have the versions in force, or the
// timeout has passed.
func (a applyCommand) wait(ctx context.Context, e *env, applied []Applied) Activation {
	sysClock := clock.System{}
	start := sysClock.Now()
	for {
		pending := pendingHosts(e, fetchReports(ctx, e), applied)
		took := sysClock.Now().Sub(start)
		n := len(e.site.Entries)
		activation := Activation{InForce: n - len(pending), EntryHosts: n, Seconds: took.Seconds(), Missing: pending}
		if len(pending) == 0 || took > a.Timeout || sysClock.Sleep(ctx, pollInterval) != nil {
			return activation
		}
	}
}

// pendingHosts returns the entry hosts that did not respond or do not have all
// versions in force yet.
func pendingHosts(e *env, reports map[glade.Node]nodeReport, applied []Applied) []glade.Node {
	var pending []glade.Node
	for _, entry := range e.site.Entries {
		report, ok := reports[entry.Node]
		if !ok || !hasVersions(report, applied) {
			pending = append(pending, entry.Node)
		}
	}
	return pending
}

func hasVersions(report nodeReport, applied []Applied) bool {
	versions := make(map[glade.Customer]uint64)
	for _, v := range report.Versions {
		versions[v.Customer] = v.Version
	}
	for _, contract := range applied {
		if versions[contract.Customer] < contract.Version {
			return false
		}
	}
	return true
}
