// Command stand runs the stand-ins for the platform: table service, object
// store, host list, workers and their endpoints, in one process.
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
	Faults string `type:"existingfile" help:"Script of faults, which starts with the program."`
}

const grace = 5 * time.Second

func main() {
	var f flags
	kong.Parse(&f, kong.Name("stand"), kong.Description("Stand-ins for the platform, for tests and the demo."))
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
	settings, err := config.Finish(fleet.ReadConfig(f.Config, source), os.Stderr)
	if err != nil {
		return err
	}
	board := fault.New()
	if err := startScript(f.Faults, board); err != nil {
		return err
	}
	parts := fleet.Parts{Clock: clock.System{}, Ledger: ledger.New(), Faults: board}
	hosts, err := fleet.New(settings, parts)
	if err != nil {
		return err
	}
	group := daemon.New(daemon.Config{Name: "stand", Output: os.Stderr, Grace: grace})
	platform := server.New(server.Config{Fleet: hosts, Ledger: parts.Ledger, Faults: board, Clock: parts.Clock})
	if err := group.Serve(settings.Platform, platform.Handler(), nil); err != nil {
		return err
	}
	for _, runner := range hosts.Runners() {
		group.ServeOn(runner.Listener(), runner, nil)
	}
	if err := addTunnels(group, settings.Tunnels, board); err != nil {
		return err
	}
	return group.Run()
}

// startScript takes up the script of faults in a file, if one is named.
func startScript(name string, board *fault.Board) error {
	if name == "" {
		return nil
	}
	source, err := os.ReadFile(name)
	if err != nil {
		return errors.Wrap(err, "read script of faults")
	}
	script, err := config.Finish(fault.Read(name, source), os.Stderr)
	if err != nil {
		return err
	}
	board.Start(script, clock.System{}.Now())
	return nil
}

func addTunnels(group *daemon.Group, specs []fleet.Tunnel, board *fault.Board) error {
	isCut := func(zone glade.Zone) bool { return board.IsCut(zone, clock.System{}.Now()) }
	for _, spec := range specs {
		one, err := tunnel.New(tunnel.Config{
			Listen: spec.Listen, Address: spec.Address, Mode: func() tunnel.Mode { return spec.Mode(isCut) },
		})
		if err != nil {
			return err
		}
		group.Add(one.Run)
	}
	return nil
}
