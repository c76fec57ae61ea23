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

// Fleet is the set of worker hosts.
type Fleet struct {
	config  Config
	clock   glade.Clock
	board   *fault.Board
	runners []*Runner
	byHost  map[glade.Host]*Runner

	mu      sync.Mutex
	listed  []glade.Listed
	history []snapshot
}

type snapshot struct {
	at   time.Time
	list []glade.Listed
}

// Parts are what a fleet works with.
type Parts struct {
	Clock  glade.Clock
	Ledger *ledger.Ledger
	Faults *fault.Board
}

// New returns a fleet whose runners listen on consecutive ports.
func New(config Config, with Parts) (*Fleet, error) {
	f := &Fleet{config: config, clock: with.Clock, board: with.Faults, byHost: make(map[glade.Host]*Runner)}
	base, err := netip.ParseAddrPort(config.Base)
	if err != nil {
		return nil, errors.Wrap(err, "base address")
	}
	for i := range config.Hosts {
		address := netip.AddrPortFrom(base.Addr(), base.Port()+uint16(i)).String()
		runner, err := newRunner(f.place(i, address), config, with)
		if err != nil {
			return nil, err
		}
		f.runners = append(f.runners, runner)
		f.byHost[runner.listed.Host] = runner
	}
	return f, nil
}

// place spreads racks over the zones by turns.
func (f *Fleet) place(i int, address string) glade.Listed {
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

// Runners returns every runner.
func (f *Fleet) Runners() []*Runner { return f.runners }

// Runner returns the runner of a host.
func (f *Fleet) Runner(host glade.Host) (*Runner, bool) {
	r, ok := f.byHost[host]
	return r, ok
}

// List returns the host list as it stood one lag ago.
func (f *Fleet) List() []glade.Listed {
	now := f.clock.Now()
	if f.board.At(fault.List, now) == fault.Frozen {
		return f.last()
	}
	var current []glade.Listed
	for _, r := range f.runners {
		if row, up := r.row(); up {
			current = append(current, row)
		}
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.history = append(f.history, snapshot{at: now, list: current})
	for len(f.history) > 1 && now.Sub(f.history[0].at) >= f.config.Lag.Duration() {
		f.listed = f.history[0].list
		f.history = f.history[1:]
	}
	if f.listed == nil {
		f.listed = current
	}
	return f.listed
}

// last returns the list as it was given before.
func (f *Fleet) last() []glade.Listed {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.listed
}

// Truth is the state of a host without the lag of the host list.
type Truth struct {
	Host    glade.Host    `json:"host"`
	Service glade.Service `json:"service"`
	// Open is set when the host takes new work.
	Open bool `json:"open"`
}

// Truths returns the state of every host.
func (f *Fleet) Truths() []Truth {
	truths := make([]Truth, 0, len(f.runners))
	for _, r := range f.runners {
		row, up := r.row()
		truths = append(truths, Truth{Host: row.Host, Service: row.Service, Open: up && !row.Leaving && row.Service != ""})
	}
	return truths
}
