// Package route chooses an endpoint for each attempt from the live endpoints of
// a service, within the share of their slots that this entry host may use.
//
// It takes the endpoint with the fewest requests in flight. Because an endpoint
// that fails fast looks idle, endpoints with a low success ratio are ejected
// for a time, up to a cap, and get slots back one by one (outlier ejection with
// slow start).
package route

import (
	"math/rand/v2"
	"time"

	glade "indigoglade"
)

// Config configures a Router.
type Config struct {
	// Share returns the number of slots of an endpoint that this entry host may
	// fill when kept of its slots stay free over all entry hosts. A result above
	// 16 counts as 16. Share is called when the host list changes.
	Share func(row glade.HostListing, kept int) int
	// Random is the source of the random choice between endpoints.
	Random *rand.Rand
}

// Router holds the live endpoints of each service. It is not safe for
// concurrent use.
type Router struct {
	config    Config
	services  map[glade.Service]*group
	endpoints map[glade.Endpoint]*target
	excluded  map[glade.Host]uint64
}

// Grant is a slot of an endpoint that is reserved for one attempt.
type Grant struct {
	target *target
}

// Endpoint returns the endpoint to send the attempt to.
func (g Grant) Endpoint() glade.Endpoint { return g.target.row.Endpoint() }

// Address returns the endpoint's IP address and port.
func (g Grant) Address() string { return g.target.row.Address }

// New returns a router without endpoints.
func New(config Config) *Router {
	return &Router{
		config:    config,
		services:  make(map[glade.Service]*group),
		endpoints: make(map[glade.Endpoint]*target),
		excluded:  make(map[glade.Host]uint64),
	}
}

// Update applies a host list. The list lags, so an incarnation that is known to
// be leaving stays excluded whatever the list says.
func (r *Router) Update(now time.Time, list []glade.HostListing) {
	endpoints := make(map[glade.Endpoint]*target, len(list))
	services := make(map[glade.Service]*group)
	for _, row := range list {
		if row.Leaving {
			r.ExcludeEndpoint(row.Endpoint())
		}
		if row.Service == "" || row.Incarnation <= r.excluded[row.Host] {
			continue
		}
		if endpoints[row.Endpoint()] != nil {
			continue
		}
		t, ok := r.endpoints[row.Endpoint()]
		if !ok {
			t = newTarget(now, r.excluded[row.Host] > 0)
		}
		endpoints[row.Endpoint()] = t
		g := services[row.Service]
		if g == nil {
			g = &group{}
			services[row.Service] = g
		}
		t.row = row
		t.group = g
		t.slotShare = min(r.config.Share(row, t.reservedSlots(now)), maxShare)
		g.add(t)
	}
	for endpoint, t := range r.endpoints {
		if endpoints[endpoint] == nil {
			t.group = nil
			// A row can be missing from one list and back in the next: its
			// requests in flight must still count then.
			if t.inFlight > 0 {
				endpoints[endpoint] = t
			}
		}
	}
	r.endpoints = endpoints
	r.services = services
	for _, g := range services {
		g.restore(now)
	}
}

func (g *group) add(t *target) {
	t.indexed = false
	g.targets = append(g.targets, t)
	if t.ejected {
		g.ejectedTargets = append(g.ejectedTargets, t)
	}
	g.slots += t.slotShare
	g.reindex(t)
}

// ExcludeEndpoint excludes an endpoint incarnation permanently. It returns
// false if that incarnation of the host, or a later one, was excluded before.
func (r *Router) ExcludeEndpoint(endpoint glade.Endpoint) bool {
	if r.excluded[endpoint.Host] >= endpoint.Incarnation {
		return false
	}
	r.excluded[endpoint.Host] = endpoint.Incarnation
	if t := r.endpoints[endpoint]; t != nil {
		t.exclude()
	}
	return true
}

func (t *target) exclude() {
	t.excluded = true
	if t.group != nil {
		t.group.slots -= t.slotShare
		t.group.reindex(t)
	}
}

// Pick reserves a slot of an endpoint of a service, other than avoid if there
// is another. The second result is false when no endpoint has a free slot.
func (r *Router) Pick(now time.Time, service glade.Service, avoid glade.Endpoint) (Grant, bool) {
	g := r.services[service]
	if g == nil {
		return Grant{}, false
	}
	if len(g.ejectedTargets) > 0 {
		g.restore(now)
	}
	t := g.choose(r.config.Random, avoid)
	if t == nil {
		return Grant{}, false
	}
	t.inFlight++
	g.reindex(t)
	return Grant{target: t}, true
}

// Result is what an attempt showed about its endpoint.
type Result int

// Results of an attempt.
const (
	// NotAttempted means that no attempt was made, so that nothing is known
	// about the endpoint.
	NotAttempted Result = iota
	// Success means that the endpoint answered.
	Success
	// Failure means that the endpoint failed, broke off its answer, or can't be
	// reached.
	Failure
)

// Done releases a grant and records the result of its attempt.
func (r *Router) Done(now time.Time, grant Grant, result Result) {
	t := grant.target
	t.inFlight--
	if t.group == nil {
		return
	}
	if result != NotAttempted && t.record(result == Success) {
		t.group.eject(now, t)
		return
	}
	t.group.reindex(t)
}

// Slots returns the number of slots of a service's live endpoints that this
// entry host may fill. Ejected endpoints count too.
func (r *Router) Slots(service glade.Service) int {
	if g := r.services[service]; g != nil {
		return g.slots
	}
	return 0
}
