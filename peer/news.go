// Package peer joins a process with its peers: who lives, which contracts are
// accepted, and which endpoints are leaving. All three travel in one message,
// the news, which is sent as a probe and returned as its answer.
//
// The decisions are in Node, which has no socket and no clock. Peers is the
// shell around it.
package peer

import (
	"time"

	glade "indigoglade"
	"indigoglade/adopt"
	"indigoglade/member"
)

// News is the message between peers.
type News struct {
	// Facts are beliefs about nodes, the sender's own first.
	Facts []member.Fact `json:"facts"`
	Head  adopt.Head    `json:"head"`
	// Rows are the contracts that the receiver lacks, whole up to Whole.
	Rows  []glade.ContractRow `json:"rows,omitempty"`
	Whole uint64              `json:"whole,omitempty"`
	// Ends are endpoint incarnations that are leaving.
	Ends []glade.Endpoint `json:"ends,omitempty"`
}

// From returns the sender.
func (n News) From() glade.Node {
	if len(n.Facts) == 0 {
		return ""
	}
	return n.Facts[0].Node
}

// Act is what a process does next.
type Act struct {
	// Send names the peers to send news to at once.
	Send []glade.Node
	// Poll asks to read the table service.
	Poll bool
	// Ends are endpoint incarnations that were not known to be leaving.
	Ends []glade.Endpoint
	// Adopted is the number of contracts that came in force.
	Adopted int
}

// ends remembers the incarnations that left, and how often each is still to be
// passed on. An incarnation never comes back, so of two the higher is kept.
type ends struct {
	last  map[glade.Host]uint64
	news  map[glade.Host]int
	order []glade.Endpoint
}

// Bounds of endpoint news.
const (
	// maxEnds is the number of endpoints in one message.
	maxEnds = 8
	// endSends is how often a process passes an endpoint on after the first,
	// immediate round.
	endSends = 8
	// recentEnds is the number of endpoints that a process which starts is
	// told.
	recentEnds = 64
)

func newEnds() *ends {
	return &ends{last: make(map[glade.Host]uint64), news: make(map[glade.Host]int)}
}

// learn tells whether an endpoint was not known to be leaving. It is passed on
// to urgent peers at once and endSends times after that.
func (e *ends) learn(endpoint glade.Endpoint, urgent int) bool {
	if e.last[endpoint.Host] >= endpoint.Incarnation {
		return false
	}
	e.last[endpoint.Host] = endpoint.Incarnation
	e.news[endpoint.Host] = endSends + urgent
	e.order = append(e.order, endpoint)
	if len(e.order) > recentEnds {
		e.order = append([]glade.Endpoint(nil), e.order[1:]...)
	}
	return true
}

// pass returns the endpoints for one message.
func (e *ends) pass() []glade.Endpoint {
	var some []glade.Endpoint
	for i := len(e.order) - 1; i >= 0 && len(some) < maxEnds; i-- {
		endpoint := e.order[i]
		if e.news[endpoint.Host] <= 0 || e.last[endpoint.Host] != endpoint.Incarnation {
			continue
		}
		e.news[endpoint.Host]--
		some = append(some, endpoint)
	}
	return some
}

// Periods of reading the contract head in the table service.
const (
	// pollPeriod is the period of the pollers of a zone.
	pollPeriod = 500 * time.Millisecond
	// sparePeriod is the period of every other process.
	sparePeriod = 5 * time.Second
)

// pollers is the number of processes of a zone that read the head often. The
// others learn of changes from them.
const pollers = 2
