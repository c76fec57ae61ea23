// Package cmds implements the commands of the indigo command-line tool. Only
// apply and cancel change data of the platform.
package cmds

import (
	"encoding/json"
	"fmt"
	"io"
	"os"

	"github.com/alecthomas/kong"
	"github.com/pkg/errors"
	"github.com/willabides/kongplete"

	glade "indigoglade"
	"indigoglade/config"
	"indigoglade/remote"
)

// Exit codes; description lists their meaning.
const (
	exitOK       = 0
	exitFailed   = 1
	exitUsage    = 2
	exitInvalid  = 3
	exitConflict = 4
	exitPlatform = 5
	exitUnknown  = 6
	exitPending  = 7
)

// Errors with their own exit codes.
var (
	// errUsage means that the flags and arguments don't fit together.
	errUsage = errors.New("see --help")
	// errInvalid means that a file has problems, which are already printed.
	errInvalid = errors.New("the file has problems; nothing was applied")
	// errConflict means that another operator changed the contract first.
	errConflict = errors.New("the contract has changed since the version that you saw")
	// errPlatform means that the platform is unreachable or refuses the call.
	errPlatform = errors.New("the platform can't serve the call; try again")
	// errUnknown means that the change may or may not have been made.
	errUnknown = errors.New("it is not known whether the change was made")
	// errPending means that contracts were accepted but are not yet in force
	// at all entry hosts.
	errPending = errors.New("accepted, but some entry hosts do not have the contracts in force yet; they follow once they are reachable")
)

var exitCodes = []struct {
	err  error
	code int
}{
	{errUsage, exitUsage},
	{errInvalid, exitInvalid},
	{errConflict, exitConflict},
	{errPlatform, exitPlatform},
	{errUnknown, exitUnknown},
	{errPending, exitPending},
}

const description = `Operates indigoglade: contracts, pools, hosts and service-level burn.

Exit codes: 0 done, 1 failed, 2 wrong usage, 3 a file has problems, 4 another operator was first, 5 the platform
can't be reached or refuses, 6 it is not known whether the change was made, 7 accepted, but not yet in force at every entry host.

Completion in bash: complete -C indigo indigo`

type commands struct {
	Site   string `default:"site.json" env:"INDIGO_SITE" type:"path" help:"Site file: addresses of the platform and the entry hosts."`
	Output string `short:"o" enum:"text,json" default:"text" help:"Output format: ${enum}."`

	Check   checkCommand   `cmd:"" help:"Check contract files without changing anything."`
	Apply   applyCommand   `cmd:"" help:"Put contracts in force."`
	Show    showCommand    `cmd:"" help:"Show contracts, pools, hosts, waves or jobs."`
	Burn    burnCommand    `cmd:"" help:"Report service-level burn from every reachable entry host."`
	Version versionCommand `cmd:"" help:"Print the version of this program."`

	Explain explainCommand `cmd:"" help:"Tell where a batch would go now, and why, without sending it."`

	Keys keysCommand `cmd:"" help:"Issue keys for the connections between the processes of the site."`

	fleetCommands
	jobCommands
}

// Config configures the commands.
type Config struct {
	// Out receives what a command prints, ErrOut its errors.
	Out, ErrOut io.Writer
	// DecodeBatch decodes a batch as callers of the platform send it, with the ID that they
	// chose.
	DecodeBatch func(id string, body []byte) (glade.Batch, error)
}

// env holds the output streams, the output format and, after load, the site file.
type env struct {
	Config
	json bool
	site config.SiteSpec
}

// Main runs the command in args and returns its exit code.
func Main(args []string, config Config) int {
	var c commands
	parser, err := kong.New(&c, kong.Name("indigo"), kong.Writers(config.Out, config.ErrOut),
		kong.Description(description))
	if err != nil {
		panic(err)
	}
	// Handles a shell completion request, if this is one, and exits.
	kongplete.Complete(parser)
	parsed, err := parser.Parse(args)
	if err != nil {
		fmt.Fprintln(config.ErrOut, "indigo:", err)
		return exitUsage
	}
	if err := parsed.Run(&c, &env{Config: config, json: c.Output == "json"}); err != nil {
		fmt.Fprintln(config.ErrOut, "indigo:", err)
		return exitOf(err)
	}
	return exitOK
}

func exitOf(err error) int {
	for _, e := range exitCodes {
		if errors.Is(err, e.err) {
			return e.code
		}
	}
	return exitFailed
}

// load reads the site file into e.site and returns a client for its platform.
func (c *commands) load(e *env) (*remote.Client, error) {
	source, err := os.ReadFile(c.Site)
	if err != nil {
		return nil, errors.Wrap(err, "read site file; set its path with --site")
	}
	site, err := config.ReportProblems(config.ReadSite(c.Site, source), e.ErrOut)
	if err != nil {
		return nil, errInvalid
	}
	e.site = site
	return remote.New(remote.Config{Address: site.Platform, Zone: "operator"}), nil
}

// print writes value as JSON, or calls text to write it as text.
func (e *env) print(value any, text func(w io.Writer)) error {
	if !e.json {
		text(e.Out)
		return nil
	}
	encoder := json.NewEncoder(e.Out)
	encoder.SetIndent("", "  ")
	return errors.Wrap(encoder.Encode(value), "write output")
}

// version is printed by the version command.
const version = "0.1.0"

type versionCommand struct{}

// Run prints the version of the program.
func (versionCommand) Run(e *env) error {
	return e.print(map[string]string{"version": version}, func(w io.Writer) { fmt.Fprintln(w, "indigo", version) })
}
