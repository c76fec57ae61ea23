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
	faults  *fault.Schedule
	runners []*Runner
	byHost  map[glade.Host]*Runner

	mu        sync.Mutex
	published []glade.HostListing
	history   []listSnapshot
}

type listSnapshot struct {
	at   time.Time
	list []glade.HostListing
}

// Deps holds the dependencies of a fleet.
type Deps struct {
	Clock  glade.Clock
	Ledger *ledger.Ledger
	Faults *fault.Schedule
}

// New returns a fleet whose runners listen on consecutive ports from the base
// address.
func New(config Config, deps Deps) (*Fleet, error) {
	f := &Fleet{config: config, clock: deps.Clock, faults: deps.Faults, byHost: make(map[glade.Host]*Runner)}
	base, err := netip.ParseAddrPort(config.BaseAddress)
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
func (f *Fleet) newListed(i int, address string) glade.HostListing {
	rack := i / f.config.Rack
	return glade.HostListing{
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
func (f *Fleet) List() []glade.HostListing {
	now := f.clock.Now()
	if f.faults.At(fault.HostList, now) == fault.Frozen {
		return f.publishedList()
	}
	var current []glade.HostListing
	for _, r := range f.runners {
		if row, up := r.listEntry(); up {
			current = append(current, row)
		}
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.history = append(f.history, listSnapshot{at: now, list: current})
	for len(f.history) > 1 && now.Sub(f.history[0].at) >= f.config.ListDelay.Duration() {
		f.published = f.history[0].list
		f.history = f.history[1:]
	}
	if f.published == nil {
		f.published = current
	}
	return f.published
}

// publishedList returns the result of the previous call of List.
func (f *Fleet) publishedList() []glade.HostListing {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.published
}

// HostState is the current state of a host, without the lag of the host list.
type HostState struct {
	Host    glade.Host    `json:"host"`
	Service glade.Service `json:"service"`
	// Accepting is set if the host is up, runs a service and is not draining, so that new
	// requests may be sent to it.
	Accepting bool `json:"open"`
}

// HostStates returns the current state of all hosts.
func (f *Fleet) HostStates() []HostState {
	states := make([]HostState, 0, len(f.runners))
	for _, r := range f.runners {
		row, up := r.listEntry()
		states = append(states, HostState{Host: row.Host, Service: row.Service, Accepting: up && !row.Leaving && row.Service != ""})
	}
	return states
}
