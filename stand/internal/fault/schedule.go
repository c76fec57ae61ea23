package fault

import (
	"sync"
	"time"

	glade "indigoglade"
)

// Schedule holds the scheduled faults of all started scripts. Whether a fault is
// active is computed from the time of the query, so no timers are needed.
type Schedule struct {
	mu    sync.RWMutex
	spans []span
}

type span struct {
	spec Spec
	from time.Time
	to   time.Time
}

// New returns an empty schedule.
func New() *Schedule { return &Schedule{} }

// Start schedules the faults of a script relative to now, in addition to those
// already scheduled. Faults that have ended are dropped.
func (s *Schedule) Start(script Script, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	var spans []span
	for _, s := range s.spans {
		if now.Before(s.to) {
			spans = append(spans, s)
		}
	}
	for _, spec := range script.Faults {
		from := now.Add(spec.At.Duration())
		spans = append(spans, span{spec: spec, from: from, to: from.Add(spec.For.Duration())})
	}
	s.spans = spans
}

// At returns the fault that is active at a location, or None. If several are, the
// one scheduled first applies.
func (s *Schedule) At(where string, now time.Time) Kind {
	s.mu.RLock()
	defer s.mu.RUnlock()
	for _, s := range s.spans {
		if s.spec.Where == where && s.isActive(now) {
			return s.spec.Fault
		}
	}
	return None
}

func (s span) isActive(now time.Time) bool { return !now.Before(s.from) && now.Before(s.to) }

// AtHost returns the active fault of a host, or else that of its rack.
func (s *Schedule) AtHost(host glade.Host, rack glade.Rack, now time.Time) Kind {
	if kind := s.At(hostPrefix+string(host), now); kind != None {
		return kind
	}
	return s.At(rackPrefix+string(rack), now)
}

// IsCut reports whether an availability zone is cut off from the network.
func (s *Schedule) IsCut(zone glade.Zone, now time.Time) bool {
	return s.At(zonePrefix+string(zone), now) == Cut
}

// Active returns all active faults. The result is never nil, so that it encodes
// as a JSON array.
func (s *Schedule) Active(now time.Time) []Spec {
	s.mu.RLock()
	defer s.mu.RUnlock()
	active := []Spec{}
	for _, s := range s.spans {
		if s.isActive(now) {
			active = append(active, s.spec)
		}
	}
	return active
}
