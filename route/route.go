// Package route chooses an endpoint for each attempt from the live endpoints
// of a service and the share of their slots that this entry host may use.
//
// The endpoint with the fewest requests in flight is taken. An endpoint that
// fails fast looks idle, so those whose success ratio falls are ejected for a
// time, up to a cap, and come back slowly.
package route

import (
	"math/rand/v2"
	"time"

	glade "indigoglade"
)

// Config configures a Router.
type Config struct {
	// Share returns the number of slots of an endpoint that this entry host may
	// fill, at most 16, when kept slots stay free over all entry hosts. It is
	// asked when the host list changes.
	Share func(row glade.Listed, kept int) int
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

// Grant is the permission for one attempt on one endpoint.
type Grant struct {
	target *target
}

// Endpoint returns the endpoint to send to.
func (g Grant) Endpoint() glade.Endpoint { return g.target.row.Endpoint() }

// Address returns the endpoint's IP number and port.
func (g Grant) Address() string { return g.target.row.Address }

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
func (r *Router) Update(now time.Time, list []glade.Listed) {
	known := make(map[glade.Endpoint]*target, len(list))
	services := make(map[glade.Service]*group)
	for _, row := range list {
		if row.Leaving {
			r.Leave(row.Endpoint())
		}
		if row.Service == "" || row.Incarnation <= r.left[row.Host] {
			continue
		}
		if known[row.Endpoint()] != nil {
			continue
		}
		t, ok := r.known[row.Endpoint()]
		if !ok {
			t = newTarget(now, r.left[row.Host] > 0)
		}
		known[row.Endpoint()] = t
		g := services[row.Service]
		if g == nil {
			g = &group{}
			services[row.Service] = g
		}
		t.row = row
		t.group = g
		t.share = min(r.config.Share(row, t.kept(now)), maxShare)
		g.add(t)
	}
	for endpoint, t := range r.known {
		if known[endpoint] == nil {
			t.group = nil
			// A row can be missing from one list and back in the next: what is
			// in flight must still count then.
			if t.flight > 0 {
				known[endpoint] = t
			}
		}
	}
	r.known = known
	r.services = services
	for _, g := range services {
		g.restore(now)
	}
}

func (g *group) add(t *target) {
	t.listed = false
	g.targets = append(g.targets, t)
	if t.ejected {
		g.out = append(g.out, t)
	}
	g.slots += t.share
	g.place(t)
}

// Leave takes an incarnation out for good and tells whether that was news.
func (r *Router) Leave(endpoint glade.Endpoint) bool {
	if r.left[endpoint.Host] >= endpoint.Incarnation {
		return false
	}
	r.left[endpoint.Host] = endpoint.Incarnation
	if t := r.known[endpoint]; t != nil {
		t.leave()
	}
	return true
}

func (t *target) leave() {
	t.left = true
	if t.group != nil {
		t.group.slots -= t.share
		t.group.place(t)
	}
}

// Pick grants one attempt on an endpoint of a service, other than avoid if
// there is another. The second result is false when no endpoint has a slot
// free.
func (r *Router) Pick(now time.Time, service glade.Service, avoid glade.Endpoint) (Grant, bool) {
	g := r.services[service]
	if g == nil {
		return Grant{}, false
	}
	if len(g.out) > 0 {
		g.restore(now)
	}
	t := g.choose(r.config.Random, avoid)
	if t == nil {
		return Grant{}, false
	}
	t.flight++
	g.place(t)
	return Grant{target: t}, true
}

// Result is what an attempt showed of its endpoint.
type Result int

// Results.
const (
	// Unused means that no attempt was made.
	Unused Result = iota
	// Good means that the endpoint answered.
	Good
	// Bad means that it failed, broke off, or can't be reached.
	Bad
)

// Done returns a grant.
func (r *Router) Done(now time.Time, grant Grant, result Result) {
	t := grant.target
	t.flight--
	if t.group == nil {
		return
	}
	if result != Unused && t.record(result == Good) {
		t.group.eject(now, t)
		return
	}
	t.group.place(t)
}

// Slots returns the number of slots of a service's live endpoints that this
// entry host may fill.
func (r *Router) Slots(service glade.Service) int {
	if g := r.services[service]; g != nil {
		return g.slots
	}
	return 0
}
