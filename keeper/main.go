// Command keeper decides about the fleet on an entry host: ownership of hosts,
// availability budgets and maintenance waves.
package main

import (
	"fmt"
	"os"
	"time"

	"github.com/alecthomas/kong"

	glade "indigoglade"
	"indigoglade/adopt"
	"indigoglade/clock"
	"indigoglade/config"
	"indigoglade/daemon"
	"indigoglade/keeper/internal/fleet"
	"indigoglade/keeper/internal/tasks"
	"indigoglade/remote"
)

type flags struct {
	Config string `arg:"" type:"existingfile" help:"Settings file, JSON with comments."`
}

const grace = 5 * time.Second

func main() {
	var f flags
	kong.Parse(&f, kong.Name("keeper"), kong.Description("Decides about the fleet on an entry host."))
	if err := runKeeper(f); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}

func runKeeper(f flags) error {
	spec, err := config.LoadNode(f.Config, os.Stderr)
	if err != nil {
		return err
	}
	group := daemon.New(daemon.Config{Name: "keeper." + string(spec.Node), Output: os.Stderr, Grace: grace, Status: spec.Status})
	platform := remote.New(remote.Config{Address: spec.Platform, Zone: string(spec.Zone)})
	book := adopt.New()
	roster := glade.NewStaticRoster(spec.Node, []glade.Node{spec.Node})
	duties := fleet.New(fleet.Config{
		Table: platform, Hosts: platform, Workers: platform,
		Book: book, Roster: roster, Clock: clock.System{}, Log: group.Log(),
	})
	work := tasks.New(tasks.Config{
		Table: platform, Objects: remote.NewObjects(platform), Hosts: platform, Workers: platform,
		Book: book, Roster: roster, Clock: clock.System{}, Log: group.Log(),
	})
	group.Add(duties.Run)
	group.Add(work.Run)
	return group.Run()
}
