// Package load sends work to running entry hosts and checks every outcome
// against the endpoints' own ledger.
package load

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"os"
	"sync"
	"time"

	"github.com/google/uuid"
	"github.com/pkg/errors"

	glade "indigoglade"
	"indigoglade/config"
	"indigoglade/remote"
	"indigoglade/table"
)

// Command drives load.
type Command struct {
	Site    string        `default:"site.json" type:"existingfile" help:"Site file."`
	Time    time.Duration `default:"10s" help:"How long to send."`
	Callers int           `default:"16" help:"Callers that send at once."`
	Seed    uint64        `default:"1" help:"Seed of the order of work."`
}

// target is one service that can be asked.
type target struct {
	customer glade.Customer
	service  glade.Service
}

// sent is what a caller saw of one request.
type sent struct {
	id      string
	outcome string
	whole   bool
}

// Run sends, then compares.
func (l Command) Run() error {
	source, err := os.ReadFile(l.Site)
	if err != nil {
		return errors.Wrap(err, "read site file")
	}
	site, err := config.Finish(config.ReadSite(l.Site, source), os.Stderr)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(context.Background(), l.Time)
	defer cancel()
	targets, err := findTargets(ctx, site)
	if err != nil {
		return err
	}
	all := l.drive(ctx, site, targets)
	counts, err := fetchLedger(site.Platform)
	if err != nil {
		return err
	}
	fmt.Println(compare(all, counts))
	return nil
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
			if pool.Hosts > 0 {
				targets = append(targets, target{customer: record.Data().Spec.Customer, service: pool.Serve})
			}
		}
	}
	if len(targets) == 0 {
		return nil, errors.New("no contract has a pool with hosts")
	}
	return targets, nil
}

// drive runs the callers until ctx ends and returns what they saw.
func (l Command) drive(ctx context.Context, site config.SiteSpec, targets []target) []sent {
	var wait sync.WaitGroup
	callers := make([]*caller, l.Callers)
	for i := range callers {
		callers[i] = &caller{
			site:    site,
			targets: targets,
			random:  rand.New(rand.NewPCG(l.Seed, uint64(i))),
			wait:    &wait,
			client:  &http.Client{Timeout: callTimeout, Transport: &http.Transport{MaxIdleConnsPerHost: 4}},
		}
		wait.Add(1)
		go callers[i].run(ctx)
	}
	wait.Wait()
	var all []sent
	for _, c := range callers {
		all = append(all, c.saw...)
	}
	return all
}

const callTimeout = 10 * time.Second

// caller sends one request after the other.
type caller struct {
	site    config.SiteSpec
	targets []target
	random  *rand.Rand
	wait    *sync.WaitGroup
	client  *http.Client
	saw     []sent
}

func (c *caller) run(ctx context.Context) {
	defer c.wait.Done()
	for ctx.Err() == nil {
		c.saw = append(c.saw, c.call())
	}
}

func (c *caller) call() sent {
	entry := c.site.Entries[c.random.IntN(len(c.site.Entries))]
	t := c.targets[c.random.IntN(len(c.targets))]
	id := uuid.NewString()
	url := fmt.Sprintf("http://%s/v1/%s/%s", entry.Listen, t.customer, t.service)
	request, err := http.NewRequest(http.MethodPost, url, bytes.NewReader([]byte("roof "+id)))
	if err != nil {
		return sent{id: id, outcome: "refused"}
	}
	request.Header.Set("Request-Id", id)
	reply, err := c.client.Do(request)
	if err != nil {
		return sent{id: id, outcome: "unknown"}
	}
	defer reply.Body.Close()
	body, err := io.ReadAll(reply.Body)
	whole := err == nil && string(body) == id+" roof "+id
	return sent{id: id, outcome: reply.Header.Get("Outcome"), whole: whole}
}

// Count is what the endpoints know of one request.
type Count struct {
	Runs int `json:"runs"`
	Done int `json:"done"`
}

// Ledger is what the endpoints really ran.
type Ledger struct {
	Counts map[string]Count `json:"counts"`
	Totals struct {
		Cut  int `json:"cut"`
		Late int `json:"late"`
		Peak int `json:"peak"`
	} `json:"totals"`
}

func fetchLedger(platform string) (Ledger, error) {
	var ledger Ledger
	reply, err := http.Get("http://" + platform + "/ledger")
	if err != nil {
		return ledger, errors.Wrap(err, "fetch ledger")
	}
	defer reply.Body.Close()
	return ledger, errors.Wrap(json.NewDecoder(reply.Body).Decode(&ledger), "decode ledger")
}

// Totals compares what callers saw with what endpoints ran.
type Totals struct {
	Sent     int `json:"sent"`
	Answered int `json:"answered"`
	Refused  int `json:"refused"`
	Failed   int `json:"failed"`
	Unknown  int `json:"unknown"`
	// Twice counts requests that ran more than once.
	Twice int `json:"twice"`
	// Lost counts answers that did not run or were not whole, and refusals that
	// ran.
	Lost int `json:"lost"`
}

// String formats the totals as the demo's last line.
func (t Totals) String() string {
	return fmt.Sprintf("sent %d answered %d refused %d failed %d unknown %d twice %d lost %d",
		t.Sent, t.Answered, t.Refused, t.Failed, t.Unknown, t.Twice, t.Lost)
}

func compare(all []sent, ledger Ledger) Totals {
	t := Totals{Sent: len(all)}
	for _, s := range all {
		count := ledger.Counts[s.id]
		if count.Runs > 1 {
			t.Twice++
		}
		switch s.outcome {
		case "answered":
			t.Answered++
			if count.Done == 0 || !s.whole {
				t.Lost++
			}
		case "refused":
			t.Refused++
			if count.Runs > 0 {
				t.Lost++
			}
		case "failed":
			t.Failed++
		default:
			t.Unknown++
		}
	}
	return t
}
