// Command node runs all of indigoglade on one host of the platform: it answers
// callers and may become the leader of services.
package main

import (
	"context"
	"fmt"
	"os"
	"runtime/debug"

	"github.com/alecthomas/kong"
	"github.com/pkg/errors"

	"indigoglade/platform/conf"
	"indigoglade/platform/host"
)

type flags struct {
	Settings string `arg:"" optional:"" type:"path" env:"INDIGOGLADE_SETTINGS" help:"Settings file, JSON with comments."`
	Check    bool   `help:"Check the settings and end."`
}

func main() {
	signals := host.NotifySignals()
	var f flags
	kong.Parse(&f, kong.Name("node"), kong.Description("All of indigoglade on one host of the platform."))
	if err := runNode(f, signals); err != nil {
		fmt.Fprintln(os.Stderr, "node:", err)
		os.Exit(1)
	}
}

// Memory settings of the process. memoryLimitShare is the part of the
// configured memory that the Go runtime may use before the garbage collector
// runs continuously.
const (
	memoryLimitShare = 0.6
	bytesPerMegabyte = 1 << 20
	// gcPercent lets the heap grow to four times its live part before it is
	// collected: the live part is small, and each collection costs CPU time at the
	// expense of callers.
	gcPercent = 300
)

func runNode(f flags, signals <-chan os.Signal) error {
	if f.Settings == "" {
		return errors.New("no settings file is given as an argument or in the environment variable " + conf.EnvVar)
	}
	settings, err := conf.Read(f.Settings)
	if err != nil {
		return err
	}
	if f.Check {
		fmt.Println("settings are valid")
		return nil
	}
	debug.SetGCPercent(gcPercent)
	if settings.MemoryMB > 0 {
		debug.SetMemoryLimit(int64(float64(settings.MemoryMB) * bytesPerMegabyte * memoryLimitShare))
	}
	return host.New(host.Config{Settings: settings, Signals: signals}).Run(context.Background())
}
