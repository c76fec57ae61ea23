// Command stand simulates the platform in one process: table service, object
// store, host list, and the worker hosts with their endpoints. Faults can be
// injected by a script.
package main

import (
	"fmt"
	"os"
	"time"

	"github.com/alecthomas/kong"
	"github.com/pkg/errors"

	glade "indigoglade"
	"indigoglade/clock"
	"indigoglade/config"
	"indigoglade/daemon"
	"indigoglade/stand/internal/fault"
	"indigoglade/stand/internal/fleet"
	"indigoglade/stand/internal/ledger"
	"indigoglade/stand/internal/server"
	"indigoglade/tunnel"
)

type flags struct {
	Config string `arg:"" type:"existingfile" help:"Settings file, JSON with comments."`
	Faults string `type:"existingfile" help:"Fault script; it starts with the program."`
}

const shutdownGrace = 5 * time.Second

func main() {
	var f flags
	kong.Parse(&f, kong.Name("stand"), kong.Description("Simulated platform for tests and the demo."))
	if err := serve(f); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}

func serve(f flags) error {
	source, err := os.ReadFile(f.Config)
	if err != nil {
		return errors.Wrap(err, "read settings")
	}
	settings, err := config.ReportProblems(fleet.ReadConfig(f.Config, source), os.Stderr)
	if err != nil {
		return err
	}
	schedule := fault.New()
	if err := startFaultScript(f.Faults, schedule); err != nil {
		return err
	}
	deps := fleet.Deps{Clock: clock.System{}, Ledger: ledger.New(), Faults: schedule}
	hosts, err := fleet.New(settings, deps)
	if err != nil {
		return err
	}
	group := daemon.New(daemon.Config{Name: "stand", Output: os.Stderr, StopTimeout: shutdownGrace})
	platform := server.New(server.Config{Fleet: hosts, Ledger: deps.Ledger, Faults: schedule, Clock: deps.Clock})
	if err := group.Serve(settings.PlatformAddress, platform.Handler(), nil); err != nil {
		return err
	}
	for _, runner := range hosts.Runners() {
		group.ServeOn(runner.Listener(), runner, nil)
	}
	if err := addTunnels(group, settings.Tunnels, schedule); err != nil {
		return err
	}
	return group.Run()
}

// startFaultScript reads the fault script in the named file and starts it. It does
// nothing if name is empty.
func startFaultScript(name string, schedule *fault.Schedule) error {
	if name == "" {
		return nil
	}
	source, err := os.ReadFile(name)
	if err != nil {
		return errors.Wrap(err, "read fault script")
	}
	script, err := config.ReportProblems(fault.Read(name, source), os.Stderr)
	if err != nil {
		return err
	}
	schedule.Start(script, clock.System{}.Now())
	return nil
}

func addTunnels(group *daemon.Group, specs []fleet.Tunnel, schedule *fault.Schedule) error {
	isCut := func(zone glade.Zone) bool { return schedule.IsCut(zone, clock.System{}.Now()) }
	for _, spec := range specs {
		tun, err := tunnel.New(tunnel.Config{
			Listen: spec.Listen, Address: spec.Address, Mode: func() tunnel.Mode { return spec.Mode(isCut) },
		})
		if err != nil {
			return err
		}
		group.Add(tun.Run)
	}
	return nil
}
