// Package load sends requests to running entry hosts and checks every outcome against the
// executions that the endpoints recorded in their ledger.
//
// The load is open-loop: requests start at their scheduled time whether or not earlier ones have
// ended. Latency is counted from that time, so a stall of the system shows in every request that it
// delays.
package load

import (
	"context"
	"fmt"
	"io"
	"os"
	"time"

	"github.com/pkg/errors"

	glade "indigoglade"
	"indigoglade/config"
	"indigoglade/remote"
	"indigoglade/table"
)

// Command runs the load generator.
type Command struct {
	Site   string        `default:"site.json" type:"existingfile" help:"Site file."`
	Time   time.Duration `default:"10s" help:"How long to send."`
	Turn   time.Duration `default:"3s" help:"How long each service peaks before the next one."`
	Mean   float64       `default:"1.25" help:"Mean requests per second for each slot that the contracts promise."`
	Flight int           `default:"4096" help:"Maximum number of requests in flight; further ones are counted as unsent."`
	Seed   uint64        `default:"1" help:"Seed of the random numbers."`
	Faults string        `type:"existingfile" help:"Fault script to start on the simulated platform together with the load."`
	Output string        `short:"o" enum:"text,json" default:"text" help:"Output format: ${enum}."`
}

// settleTime is how long endpoints may still work after the last caller has finished.
const settleTime = 2 * time.Second

// errViolation is returned when a guarantee was violated during the run.
var errViolation = errors.New("a guarantee was violated")

// Run sends requests, compares the outcomes with the ledger and prints the report. It returns an
// error if a guarantee was violated.
func (l Command) Run() error {
	site, err := readSite(l.Site)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(context.Background(), l.Time)
	defer cancel()
	targets, err := findTargets(ctx, site)
	if err != nil {
		return err
	}
	if err := startFaults(site.Platform, l.Faults); err != nil {
		return err
	}
	watcher := newWatcher(site)
	go watcher.run(ctx)
	recorder := newRecorder(l.progress())
	l.drive(ctx, site, targets, recorder)
	report, err := l.report(recorder, watcher, site.Platform)
	if err != nil {
		return err
	}
	return report.finish(os.Stdout, l.Output == "json")
}

func (l Command) report(recorder *recorder, watcher *watcher, platform string) (Report, error) {
	records := recorder.finish()
	time.Sleep(settleTime)
	ledger, err := fetch[Ledger](platform, "/ledger")
	if err != nil {
		return Report{}, err
	}
	watcher.wait()
	return newReport(records, ledger, watcher), nil
}

func readSite(name string) (config.SiteSpec, error) {
	source, err := os.ReadFile(name)
	if err != nil {
		return config.SiteSpec{}, errors.Wrap(err, "read site file")
	}
	return config.ReportProblems(config.ReadSite(name, source), os.Stderr)
}

// target is a service that receives requests.
type target struct {
	customer   glade.Customer
	service    glade.Service
	slots      int
	repeatable bool
}

func findTargets(ctx context.Context, site config.SiteSpec) ([]target, error) {
	platform := remote.New(remote.Config{Address: site.Platform, Zone: "operator"})
	records, err := table.LoadAll[glade.ContractRow](ctx, platform, glade.PrefixContract)
	if err != nil {
		return nil, err
	}
	var targets []target
	for _, record := range records {
		for _, pool := range record.Data().Spec.Pools {
			if pool.Hosts > 0 && pool.Serve != "" {
				targets = append(targets, target{
					customer:   record.Data().Spec.Customer,
					service:    pool.Serve,
					slots:      pool.Hosts * pool.Slots,
					repeatable: pool.Repeatable,
				})
			}
		}
	}
	if len(targets) == 0 {
		return nil, errors.New("no contract has a pool with hosts; apply contracts first")
	}
	return targets, nil
}

// drive sends requests until ctx ends and waits for those in flight.
func (l Command) drive(ctx context.Context, site config.SiteSpec, targets []target, recorder *recorder) {
	client := newClient(site)
	go client.run(ctx)
	start := time.Now()
	inFlight := make(chan struct{}, l.Flight)
	var generators []*generator
	for i, t := range targets {
		s := &generator{
			target:   t,
			pattern:  arrivalPattern{meanRate: l.Mean * float64(t.slots), turn: l.Turn, index: i, count: len(targets)},
			random:   newRandom(l.Seed, uint64(i)),
			start:    start,
			client:   client,
			inFlight: inFlight,
			recorder: recorder,
			done:     make(chan struct{}),
		}
		generators = append(generators, s)
		go s.run(ctx)
	}
	for _, s := range generators {
		<-s.done
	}
	for range l.Flight {
		inFlight <- struct{}{}
	}
}

// progress returns the writer for the progress line, or nil if standard error is not a terminal.
func (l Command) progress() io.Writer {
	info, err := os.Stderr.Stat()
	if err != nil || info.Mode()&os.ModeCharDevice == 0 {
		return nil
	}
	return os.Stderr
}

// finish prints the report and returns an error if a guarantee was violated.
func (r Report) finish(w io.Writer, asJSON bool) error {
	if err := r.print(w, asJSON); err != nil {
		return err
	}
	if violations := r.violations(); len(violations) > 0 {
		return errors.Wrap(errViolation, fmt.Sprint(violations))
	}
	return nil
}
