package fleet

import (
	"fmt"
	"net/netip"
	"sync"
	"time"

	"github.com/pkg/errors"

	glade "indigoglade"
	"indigoglade/stand/internal/fault"
	"indigoglade/stand/internal/ledger"
)

// Fleet is the set of simulated worker hosts.
type Fleet struct {
	config  Config
	clock   glade.Clock
	faults  *fault.Board
	runners []*Runner
	byHost  map[glade.Host]*Runner

	mu        sync.Mutex
	published []glade.Listed
	history   []listSnapshot
}

type listSnapshot struct {
	at   time.Time
	list []glade.Listed
}

// Parts holds the dependencies of a fleet.
type Parts struct {
	Clock  glade.Clock
	Ledger *ledger.Ledger
	Faults *fault.Board
}

// New returns a fleet whose runners listen on consecutive ports from the base
// address.
func New(config Config, deps Parts) (*Fleet, error) {
	f := &Fleet{config: config, clock: deps.Clock, faults: deps.Faults, byHost: make(map[glade.Host]*Runner)}
	base, err := netip.ParseAddrPort(config.Base)
	if err != nil {
		return nil, errors.Wrap(err, "parse base address")
	}
	for i := range config.Hosts {
		address := netip.AddrPortFrom(base.Addr(), base.Port()+uint16(i)).String()
		runner, err := newRunner(f.newListed(i, address), config, deps)
		if err != nil {
			return nil, err
		}
		f.runners = append(f.runners, runner)
		f.byHost[runner.listed.Host] = runner
	}
	return f, nil
}

// newListed returns the host list entry of host i. Racks are assigned to the zones
// round-robin.
func (f *Fleet) newListed(i int, address string) glade.Listed {
	rack := i / f.config.Rack
	return glade.Listed{
		Host:        glade.Host(fmt.Sprintf("h%03d", i)),
		Zone:        f.config.Zones[rack%len(f.config.Zones)],
		Rack:        glade.Rack(fmt.Sprintf("r%02d", rack)),
		Address:     address,
		Incarnation: 1,
		Cores:       f.config.Cores,
		Memory:      f.config.Memory,
		Accels:      f.config.Accels,
	}
}

// Runners returns the runners of all hosts.
func (f *Fleet) Runners() []*Runner { return f.runners }

// Runner returns the runner of a host, and whether the host exists.
func (f *Fleet) Runner(host glade.Host) (*Runner, bool) {
	r, ok := f.byHost[host]
	return r, ok
}

// List returns the host list as recorded by an earlier call, one that was made at
// least the configured delay ago, or by the first call until there is one. Each
// call records the current state. While the list is frozen, List returns the same
// result as the previous call.
func (f *Fleet) List() []glade.Listed {
	now := f.clock.Now()
	if f.faults.At(fault.List, now) == fault.Frozen {
		return f.publishedList()
	}
	var current []glade.Listed
	for _, r := range f.runners {
		if row, up := r.listEntry(); up {
			current = append(current, row)
		}
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.history = append(f.history, listSnapshot{at: now, list: current})
	for len(f.history) > 1 && now.Sub(f.history[0].at) >= f.config.Lag.Duration() {
		f.published = f.history[0].list
		f.history = f.history[1:]
	}
	if f.published == nil {
		f.published = current
	}
	return f.published
}

// publishedList returns the result of the previous call of List.
func (f *Fleet) publishedList() []glade.Listed {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.published
}

// Truth is the current state of a host, without the lag of the host list.
type Truth struct {
	Host    glade.Host    `json:"host"`
	Service glade.Service `json:"service"`
	// Open is set if the host is up, runs a service and is not draining, so that new
	// requests may be sent to it.
	Open bool `json:"open"`
}

// Truths returns the current state of all hosts.
func (f *Fleet) Truths() []Truth {
	states := make([]Truth, 0, len(f.runners))
	for _, r := range f.runners {
		row, up := r.listEntry()
		states = append(states, Truth{Host: row.Host, Service: row.Service, Open: up && !row.Leaving && row.Service != ""})
	}
	return states
}
