package cmds

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"sort"
	"time"

	"github.com/pkg/errors"

	glade "indigoglade"
	"indigoglade/remote"
	"indigoglade/table"
)

// nodeReport is the status that an entry host reports. Change is the number
// of the newest contract change that it knows.
type nodeReport struct {
	Node     glade.Node `json:"node"`
	Change   uint64     `json:"change"`
	Age      int64      `json:"age"`
	Versions []struct {
		Customer glade.Customer `json:"customer"`
		Version  uint64         `json:"version"`
	} `json:"versions"`
}

const statusTimeout = time.Second

// fetchStatus fetches a JSON document from the status address of an entry host.
func fetchStatus[T any](ctx context.Context, address, path string) (T, error) {
	ctx, cancel := context.WithTimeout(ctx, statusTimeout)
	defer cancel()
	var page T
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+path, nil)
	if err != nil {
		return page, errors.Wrap(err, "create request")
	}
	reply, err := http.DefaultClient.Do(request)
	if err != nil {
		return page, errors.Wrap(err, "query entry host")
	}
	defer reply.Body.Close()
	return page, errors.Wrap(json.NewDecoder(reply.Body).Decode(&page), "decode response")
}

// fetchReports fetches the reports of all entry hosts. Those that don't respond
// are missing from the result.
func fetchReports(ctx context.Context, e *env) map[glade.Node]nodeReport {
	reports := make(map[glade.Node]nodeReport)
	for _, entry := range e.site.Entries {
		if report, err := fetchStatus[nodeReport](ctx, entry.Status, "/status"); err == nil {
			reports[entry.Node] = report
		}
	}
	return reports
}

type showCommand struct {
	Contracts showContracts `cmd:"" help:"Show the accepted contracts and where they are in force."`
	Pools     showPools     `cmd:"" help:"Show the pools with their hosts by phase."`
	Hosts     showHosts     `cmd:"" help:"Show the hosts with their pools and phases."`

	fleetQueries
	jobQueries
}

type showContracts struct{}

// contractLine is one accepted contract, with the number of entry hosts at which
// it is in force, the number of all entry hosts, and the names of the others.
type contractLine struct {
	Customer   glade.Customer `json:"customer"`
	Version    uint64         `json:"version"`
	Change     uint64         `json:"change"`
	InForce    int            `json:"at"`
	EntryHosts int            `json:"of"`
	Missing    []glade.Node   `json:"missing"`
}

// Run prints the accepted contracts.
func (showContracts) Run(c *commands, e *env) error {
	platform, err := c.load(e)
	if err != nil {
		return err
	}
	ctx := context.Background()
	rows, err := loadRows[glade.ContractRow](ctx, platform, glade.PrefixContract)
	if err != nil {
		return err
	}
	reports := fetchReports(ctx, e)
	lines := make([]contractLine, 0, len(rows))
	for _, row := range rows {
		pending := pendingHosts(e, reports, []Applied{{Customer: row.Spec.Customer, Version: row.Version}})
		n := len(e.site.Entries)
		lines = append(lines, contractLine{
			Customer: row.Spec.Customer, Version: row.Version, Change: row.Change, InForce: n - len(pending), EntryHosts: n, Missing: pending,
		})
	}
	return e.print(lines, func(w io.Writer) {
		for _, line := range lines {
			fmt.Fprintf(w, "%-12s version %d, change %d, in force at %d of %d entry hosts", line.Customer, line.Version, line.Change, line.InForce, line.EntryHosts)
			if len(line.Missing) > 0 {
				fmt.Fprint(w, "; not yet, or not reached: ", line.Missing)
			}
			fmt.Fprintln(w)
		}
	})
}

// poolLine is the number of hosts of one pool, in total and by phase.
type poolLine struct {
	Customer glade.Customer          `json:"customer"`
	Pool     glade.Pool              `json:"pool"`
	Hosts    int                     `json:"hosts"`
	Phases   map[glade.HostPhase]int `json:"phases"`
}

type showPools struct{}

// Run prints the pools.
func (showPools) Run(c *commands, e *env) error {
	hosts, err := loadHosts(c, e)
	if err != nil {
		return err
	}
	byPool := make(map[glade.Pool]*poolLine)
	var lines []*poolLine
	for _, row := range hosts {
		line, ok := byPool[row.Pool]
		if !ok {
			line = &poolLine{Customer: row.Customer, Pool: row.Pool, Phases: make(map[glade.HostPhase]int)}
			byPool[row.Pool] = line
			lines = append(lines, line)
		}
		line.Hosts++
		line.Phases[row.Phase]++
	}
	sort.Slice(lines, func(i, j int) bool { return lines[i].Pool < lines[j].Pool })
	return e.print(lines, func(w io.Writer) {
		for _, line := range lines {
			fmt.Fprintf(w, "%-12s %-12s %3d hosts %v\n", line.Customer, line.Pool, line.Hosts, line.Phases)
		}
	})
}

type showHosts struct{}

// Run prints the hosts.
func (showHosts) Run(c *commands, e *env) error {
	hosts, err := loadHosts(c, e)
	if err != nil {
		return err
	}
	return e.print(hosts, func(w io.Writer) {
		for _, row := range hosts {
			fmt.Fprintf(w, "%-6s %-10s %-5s %-12s %-9s epoch %d wave %s\n", row.Host, row.Zone, row.Rack, row.Pool, row.Phase, row.Epoch, row.Wave)
		}
	})
}

func loadHosts(c *commands, e *env) ([]glade.HostRow, error) {
	platform, err := c.load(e)
	if err != nil {
		return nil, err
	}
	return loadRows[glade.HostRow](context.Background(), platform, glade.PrefixHost)
}

// loadRows reads the data of all rows whose keys start with prefix.
func loadRows[T any](ctx context.Context, platform *remote.Client, prefix string) ([]T, error) {
	records, err := table.LoadAll[T](ctx, platform, prefix)
	if err != nil {
		return nil, platformError(err)
	}
	rows := make([]T, 0, len(records))
	for _, record := range records {
		rows = append(rows, record.Data())
	}
	return rows, nil
}

// platformError marks an error of a read as one of the platform.
func platformError(err error) error { return errors.Wrap(errPlatform, err.Error()) }
