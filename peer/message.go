// Package peer exchanges state with the other processes by gossip: which nodes are
// up, which contracts are accepted, and which endpoints are leaving. All three
// are carried by one message, which serves both as a probe and as the reply to
// one.
//
// The protocol's state and decisions are in Gossip. It does no I/O and gets the
// time as an argument, so that tests can simulate many processes. Peers runs the
// protocol over real connections and timers.
package peer

import (
	"time"

	glade "indigoglade"
	"indigoglade/adopt"
	"indigoglade/member"
)

// Message is exchanged between peers, both as a call and as the reply.
type Message struct {
	// Updates are the states of nodes as the sender believes them, its own first.
	Updates []member.Update `json:"facts"`
	// Freshness says how recent the sender's contracts are.
	Freshness adopt.Freshness `json:"head"`
	// Contracts holds what the receiver lacks of the sender's contracts.
	Contracts []glade.ContractRow `json:"rows,omitempty"`
	// CompleteTo is the number of the last contract change up to which the
	// receiver, with these contracts, knows all.
	CompleteTo uint64 `json:"whole,omitempty"`
	// LeavingEndpoints are endpoint incarnations that are leaving.
	LeavingEndpoints []glade.Endpoint `json:"ends,omitempty"`
}

// From returns the sender's node; "" for a message without updates.
func (m Message) From() glade.Node {
	if len(m.Updates) == 0 {
		return ""
	}
	return m.Updates[0].Node
}

// Actions is what the caller has to do after a step of the protocol.
type Actions struct {
	// SendTo names the peers to send a message to now.
	SendTo []glade.Node
	// ReadTable tells the caller to read new contracts from the table service.
	ReadTable bool
	// LeavingEndpoints are endpoint incarnations that were not yet known to be leaving.
	LeavingEndpoints []glade.Endpoint
	// Activated is the number of contracts that became active, for the counters.
	Activated int
}

// leavingEndpoints holds the endpoint incarnations that are leaving or have left. An
// incarnation never comes back, so of two on one host the higher is kept.
type leavingEndpoints struct {
	// incarnations maps each host to its highest leaving incarnation, sendsLeft to
	// how often that is still to be sent.
	incarnations map[glade.Host]uint64
	sendsLeft    map[glade.Host]int
	// recent lists the most recent endpoints, oldest first.
	recent []glade.Endpoint
}

// Limits for the gossip about leaving endpoints.
const (
	// maxEndpoints is the maximum number of endpoints in one message.
	maxEndpoints = 8
	// endpointSends is how often a process sends a leaving endpoint on after the first
	// round, which goes out at once.
	endpointSends = 8
	// maxRecentEndpoints is the number of most recent endpoints that are sent to a
	// process that is starting.
	maxRecentEndpoints = 64
)

func newLeavingEndpoints() *leavingEndpoints {
	return &leavingEndpoints{incarnations: make(map[glade.Host]uint64), sendsLeft: make(map[glade.Host]int)}
}

// add records a leaving endpoint and reports whether it was new. A new endpoint
// will be sent in urgent messages that go out at once, and in endpointSends more.
func (l *leavingEndpoints) add(endpoint glade.Endpoint, urgentSends int) bool {
	if l.incarnations[endpoint.Host] >= endpoint.Incarnation {
		return false
	}
	l.incarnations[endpoint.Host] = endpoint.Incarnation
	l.sendsLeft[endpoint.Host] = endpointSends + urgentSends
	l.recent = append(l.recent, endpoint)
	if len(l.recent) > maxRecentEndpoints {
		l.recent = append([]glade.Endpoint(nil), l.recent[1:]...)
	}
	return true
}

// nextBatch returns the leaving endpoints for one message, the most recent first, and
// counts them as sent once more.
func (l *leavingEndpoints) nextBatch() []glade.Endpoint {
	var some []glade.Endpoint
	for i := len(l.recent) - 1; i >= 0 && len(some) < maxEndpoints; i-- {
		endpoint := l.recent[i]
		if l.sendsLeft[endpoint.Host] <= 0 || l.incarnations[endpoint.Host] != endpoint.Incarnation {
			continue
		}
		l.sendsLeft[endpoint.Host]--
		some = append(some, endpoint)
	}
	return some
}

// Periods of reading new contracts from the table service.
const (
	// pollPeriod is the period of the few processes of each zone that poll for
	// the others too, and of a process that is starting.
	pollPeriod = 500 * time.Millisecond
	// sparePollPeriod is the period of all other processes, which normally learn of
	// changes from the peers that poll.
	sparePollPeriod = 5 * time.Second
)

// pollersPerZone is the number of processes in each zone that read the table service
// with the short period. The others learn of changes from them.
const pollersPerZone = 2
