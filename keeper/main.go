// Command keeper manages the fleet from an entry host: ownership of hosts,
// availability budgets, maintenance waves and jobs.
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
	"indigoglade/mtls"
	"indigoglade/peer"
	"indigoglade/remote"
	"indigoglade/send"
)

type flags struct {
	Config string `arg:"" type:"existingfile" help:"Settings file, JSON with comments."`
}

// Limits of the program.
const (
	stopTimeout         = 5 * time.Second
	connectTimeout      = 500 * time.Millisecond
	maxProbeAnswerBytes = 4 << 20
)

func main() {
	var f flags
	kong.Parse(&f, kong.Name("keeper"), kong.Description("Manages the fleet and its jobs from an entry host."))
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
	keys, err := mtls.New(spec.Keys)
	if err != nil {
		return err
	}
	group := daemon.New(daemon.Config{
		Name: "keeper." + string(spec.Node), Output: os.Stderr, StopTimeout: stopTimeout, Status: spec.Status,
	})
	platform := remote.New(remote.Config{Address: spec.Platform, Zone: string(spec.Zone)})
	sysClock := clock.System{}
	sender := send.New(send.Config{MaxIdleConns: 1, MaxBodyBytes: maxProbeAnswerBytes, ConnectTimeout: connectTimeout})
	registry := adopt.New()
	peers := peer.New(peer.Config{Spec: spec, Keys: keys, Registry: registry, Table: platform, Clock: sysClock, Log: group.Log()})
	group.OnStop(peers.Leave)
	if err := peers.Join(group); err != nil {
		return err
	}
	fleetController := fleet.New(fleet.Config{
		Table: platform, Hosts: platform, Workers: platform, Prober: fleet.NewProber(sender, sysClock),
		Registry: registry, Roster: peers, Clock: sysClock, Log: group.Log(),
	})
	jobTasks := tasks.New(tasks.Config{
		Table: platform, Objects: remote.NewObjectStore(platform), Hosts: platform, Workers: platform,
		Registry: registry, Roster: peers, Clock: sysClock, Log: group.Log(),
	})
	expvar.Publish("fleet", fleetController.Counters())
	group.Add(fleetController.Run)
	group.Add(jobTasks.Run)
	return group.Run()
}
