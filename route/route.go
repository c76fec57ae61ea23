// Package route chooses an endpoint for each attempt from the live endpoints
// of a service and the share of their slots that this entry host may use.
package route

import (
	"math/rand/v2"
	"time"

	glade "indigoglade"
)

// Config configures a Router.
type Config struct {
	// Zone is the entry host's own availability zone.
	Zone glade.Zone
	// Share returns the number of slots of an endpoint in the given zone that
	// this entry host may fill.
	Share func(zone glade.Zone) int
	// Random chooses between endpoints.
	Random *rand.Rand
}

// Router holds the live endpoints by service. It is not safe for concurrent
// use.
type Router struct {
	config   Config
	services map[glade.Service]*group
	known    map[glade.Endpoint]*target
	left     map[glade.Host]uint64
}

type group struct {
	near []*target
	far  []*target
}

type target struct {
	listed glade.Listed
	flight int
}

// Grant is the permission for one attempt on one endpoint.
type Grant struct {
	target *target
}

// Endpoint returns the endpoint to send to.
func (g Grant) Endpoint() glade.Endpoint { return g.target.listed.Endpoint() }

// Address returns the endpoint's IP number and port.
func (g Grant) Address() string { return g.target.listed.Address }

// New returns a router without endpoints.
func New(config Config) *Router {
	return &Router{
		config:   config,
		services: make(map[glade.Service]*group),
		known:    make(map[glade.Endpoint]*target),
		left:     make(map[glade.Host]uint64),
	}
}

// Update takes up a host list. The list lags, so an incarnation that is known
// to be leaving stays out, whatever the list says.
func (r *Router) Update(list []glade.Listed) {
	known := make(map[glade.Endpoint]*target, len(list))
	services := make(map[glade.Service]*group)
	for _, row := range list {
		if row.Leaving {
			r.Leave(row.Endpoint())
		}
		if row.Service == "" || row.Incarnation <= r.left[row.Host] {
			continue
		}
		t, ok := r.known[row.Endpoint()]
		if !ok {
			t = &target{}
		}
		t.listed = row
		known[row.Endpoint()] = t
		g := services[row.Service]
		if g == nil {
			g = &group{}
			services[row.Service] = g
		}
		if row.Zone == r.config.Zone {
			g.near = append(g.near, t)
		} else {
			g.far = append(g.far, t)
		}
	}
	r.known = known
	r.services = services
}

// Leave takes an incarnation out for good and tells whether that was news.
func (r *Router) Leave(endpoint glade.Endpoint) bool {
	if r.left[endpoint.Host] >= endpoint.Incarnation {
		return false
	}
	r.left[endpoint.Host] = endpoint.Incarnation
	return true
}

// Pick grants one attempt on an endpoint of a service. Endpoints of the own
// availability zone come first. The second result is false when no endpoint
// has a slot free.
func (r *Router) Pick(_ time.Time, service glade.Service) (Grant, bool) {
	g := r.services[service]
	if g == nil {
		return Grant{}, false
	}
	if t := r.choose(g.near); t != nil {
		t.flight++
		return Grant{target: t}, true
	}
	if t := r.choose(g.far); t != nil {
		t.flight++
		return Grant{target: t}, true
	}
	return Grant{}, false
}

// Done returns a grant.
func (r *Router) Done(_ time.Time, grant Grant) {
	grant.target.flight--
}

// Live returns the number of endpoints of a service that take new work.
func (r *Router) Live(service glade.Service) int {
	g := r.services[service]
	if g == nil {
		return 0
	}
	live := 0
	for _, t := range append(append([]*target(nil), g.near...), g.far...) {
		if r.isOpen(t) {
			live++
		}
	}
	return live
}

func (r *Router) isOpen(t *target) bool {
	return t.listed.Incarnation > r.left[t.listed.Host]
}

// choose takes the less loaded of two random endpoints, and falls back to the
// first one with a free slot.
func (r *Router) choose(targets []*target) *target {
	if len(targets) == 0 {
		return nil
	}
	a := targets[r.config.Random.IntN(len(targets))]
	b := targets[r.config.Random.IntN(len(targets))]
	if b.flight < a.flight {
		a, b = b, a
	}
	if r.isFree(a) {
		return a
	}
	if r.isFree(b) {
		return b
	}
	start := r.config.Random.IntN(len(targets))
	for i := range targets {
		t := targets[(start+i)%len(targets)]
		if r.isFree(t) {
			return t
		}
	}
	return nil
}

func (r *Router) isFree(t *target) bool {
	return r.isOpen(t) && t.flight < r.config.Share(t.listed.Zone)
}
