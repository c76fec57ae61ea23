// Command stand runs the stand-ins for the platform: table service, object
// store, host list, workers and their endpoints, in one process.
package main

import (
	"fmt"
	"os"
	"time"

	"github.com/alecthomas/kong"
	"github.com/pkg/errors"

	"indigoglade/clock"
	"indigoglade/daemon"
	"indigoglade/stand/internal/fleet"
	"indigoglade/stand/internal/ledger"
	"indigoglade/stand/internal/server"
)

type flags struct {
	Config string `arg:"" type:"existingfile" help:"Settings file, JSON with comments."`
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
	file := fleet.ReadConfig(f.Config, source)
	if problems := file.Problems(); len(problems) > 0 {
		for _, p := range problems {
			fmt.Fprintln(os.Stderr, p)
		}
		return errors.Errorf("%s: %d problems", f.Config, len(problems))
	}
	config := file.Value()
	book := ledger.New()
	hosts, err := fleet.New(config, clock.System{}, book)
	if err != nil {
		return err
	}
	group := daemon.New(daemon.Config{Name: "stand", Output: os.Stderr, Grace: grace})
	platform := server.New(server.Config{Fleet: hosts, Ledger: book})
	if err := group.Serve(config.Platform, platform.Handler(), nil); err != nil {
		return err
	}
	for _, runner := range hosts.Runners() {
		group.ServeOn(runner.Listener(), runner, nil)
	}
	return group.Run()
}
