// Package sched runs the fleet controllers of several keepers through random failure schedules on a fake
// clock, and audits every write that takes effect.
package sched

import (
	"time"

	"pgregory.net/rapid"

	glade "indigoglade"
	"indigoglade/memory"
)

// Kind is the type of an event.
type Kind int

// The types of events.
const (
	Round             Kind = iota // a keeper runs a round
	Pause                         // a keeper is suspended within a round while the others go on
	Wait                          // time passes
	FailHost                      // a host fails
	FailRack                      // every host of a rack fails
	FailZone                      // every host of a zone fails
	RestoreHosts                  // every failed host comes back
	BreakHost                     // a host comes up but fails everything it starts
	StartRequests                 // requests start on a host
	EndRequests                   // the requests on all hosts end
	ChangeTableMode               // the table service changes its mode
	Wave                          // an operator starts a wave or changes its state
	Budget                        // an operator changes how many hosts may be down
	ConcurrentChanges             // two operators change a contract concurrently
	kindCount
)

// Event is one event of a schedule. A and B select the affected host, keeper or contract and the
// variant of the event.
type Event struct {
	Kind Kind
	A    int
	B    int
}

// Schedule describes the budgets of a fleet and the events that it goes through.
type Schedule struct {
	Domain  string
	Down    int
	Minutes int
	Events  []Event
}

// Dimensions of the fleet and bounds of a generated schedule.
const (
	keeperCount = 3
	zoneCount   = 3
	rackCount   = 6
	hostCount   = 9
	maxEvents   = 24
	maxArgument = 59
	// minEvents is enough for a failure to coincide with a wave.
	minEvents = 12
)

// weightedKinds repeats common events, so that a uniformly drawn index selects them more often.
var weightedKinds = []Kind{
	Round, Round, Round, Round, Round, Round, Round, Round,
	Pause, Pause, Pause, Wait, Wait, FailHost, FailHost, FailRack, FailZone, RestoreHosts, BreakHost,
	StartRequests, StartRequests, EndRequests, ChangeTableMode, ChangeTableMode, Wave, Wave, Wave, Budget, ConcurrentChanges,
}

// Schedules returns a generator of random schedules.
func Schedules() *rapid.Generator[Schedule] {
	event := rapid.Custom(func(t *rapid.T) Event {
		return Event{
			Kind: weightedKinds[rapid.IntRange(0, len(weightedKinds)-1).Draw(t, "kind")],
			A:    rapid.IntRange(0, maxArgument).Draw(t, "a"),
			B:    rapid.IntRange(0, maxArgument).Draw(t, "b"),
		}
	})
	return rapid.Custom(func(t *rapid.T) Schedule {
		return Schedule{
			Domain:  rapid.SampledFrom([]string{"host", "rack", "zone"}).Draw(t, "domain"),
			Down:    rapid.IntRange(1, 3).Draw(t, "down"),
			Minutes: rapid.SampledFrom([]int{20, 60, 600}).Draw(t, "minutes"),
			Events:  rapid.SliceOfN(event, minEvents, maxEvents).Draw(t, "events"),
		}
	})
}

// tableModes are the modes of the table service that an event selects from. Half of them are
// memory.Up.
var tableModes = []memory.Mode{
	memory.Up, memory.Up, memory.Up, memory.Up,
	memory.Down, memory.LoseAnswers, memory.LoseWrites, memory.DelayWrites,
}

// spec returns the contract of a customer with one pool of the given size.
func (s Schedule) spec(customer glade.Customer, size int, spare bool) glade.ContractSpec {
	name := glade.Pool(customer)
	floor := size
	if spare {
		floor = 1
	}
	return glade.ContractSpec{
		Customer: customer,
		Pools:    []glade.PoolSpec{{Name: name, Serve: glade.Service(name), Hosts: size, MinHosts: floor, MaxHosts: 2 * size, Spare: spare}},
		Budget:   glade.BudgetSpec{Down: s.Down, Minutes: s.Minutes, Window: glade.Span(time.Hour), Domain: s.Domain},
		Wave:     glade.WaveSpec{Name: "first", State: "run", DrainTime: glade.Span(30 * time.Second)},
	}
}
