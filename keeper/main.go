// Command keeper decides about the fleet on an entry host: ownership of hosts,
// availability budgets and maintenance waves.
package main

import (
	"expvar"
	"fmt"
	"os"
	"time"

	"github.com/alecthomas/kong"

	"indigoglade/adopt"
	"indigoglade/clock"
	"indigoglade/config"
	"indigoglade/daemon"
	"indigoglade/fleet"
	"indigoglade/keeper/internal/tasks"
	"indigoglade/peer"
	"indigoglade/remote"
	"indigoglade/send"
	"indigoglade/trust"
)

type flags struct {
	Config string `arg:"" type:"existingfile" help:"Settings file, JSON with comments."`
}

// Bounds of the program.
const (
	grace         = 5 * time.Second
	dialBound     = 500 * time.Millisecond
	maxProbeReply = 4 << 20
)

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
	keys, err := trust.New(spec.Keys)
	if err != nil {
		return err
	}
	group := daemon.New(daemon.Config{Name: "keeper." + string(spec.Node), Output: os.Stderr, Grace: grace, Status: spec.Status})
	platform := remote.New(remote.Config{Address: spec.Platform, Zone: string(spec.Zone)})
	system := clock.System{}
	sender := send.New(send.Config{MaxIdleConns: 1, MaxBodyBytes: maxProbeReply, ConnectTimeout: dialBound})
	book := adopt.New()
	peers := peer.New(peer.Config{Spec: spec, Keys: keys, Book: book, Table: platform, Clock: system, Log: group.Log()})
	group.OnStop(peers.Leave)
	if err := peers.Join(group); err != nil {
		return err
	}
	duties := fleet.New(fleet.Config{
		Table: platform, Hosts: platform, Workers: platform, Prober: fleet.NewProber(sender, system),
		Book: book, Roster: peers, Clock: system, Log: group.Log(),
	})
	work := tasks.New(tasks.Config{
		Table: platform, Objects: remote.NewObjects(platform), Hosts: platform, Workers: platform,
		Book: book, Roster: peers, Clock: system, Log: group.Log(),
	})
	expvar.Publish("fleet", duties.Counters())
	group.Add(duties.Run)
	group.Add(work.Run)
	return group.Run()
}
