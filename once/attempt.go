package once

import glade "indigoglade"

// Verdict is the state of an Attempt.
type Verdict int

// Verdicts.
const (
	// Open means that the votes so far decide nothing.
	Open Verdict = iota
	// Won means that the send may run.
	Won
	// Lost means that another send has the key.
	Lost
)

// AttemptConfig configures an Attempt.
type AttemptConfig struct {
	Electors Electors
	Claim    Claim
}

// Attempt collects the votes on one claim. It first asks the fewest electors
// that suffice, then all.
type Attempt struct {
	config AttemptConfig
	wide   bool
	votes  map[glade.Node]Vote
}

// NewAttempt returns an attempt without votes.
func NewAttempt(config AttemptConfig) *Attempt {
	a := &Attempt{config: config, votes: make(map[glade.Node]Vote)}
	expect := make(map[glade.Node]uint64)
	for _, node := range a.Asks() {
		if inc, ok := config.Claim.Expect[node]; ok {
			expect[node] = inc
		}
	}
	a.config.Claim.Expect = expect
	return a
}

// Claim returns the claim to send.
func (a *Attempt) Claim() Claim { return a.config.Claim }

// Asks returns the entry hosts to ask now.
func (a *Attempt) Asks() []glade.Node {
	if a.wide {
		return a.config.Electors.Nodes()
	}
	return a.config.Electors.First()
}

// Widen starts over with all electors, and the incarnations known by now.
// Votes from before don't count, because they were given for others.
func (a *Attempt) Widen(expect map[glade.Node]uint64) {
	a.wide = true
	a.config.Claim.Expect = expect
	a.votes = make(map[glade.Node]Vote)
}

// IsWide tells whether all electors are asked.
func (a *Attempt) IsWide() bool { return a.wide }

// Add takes up a vote on the current claim.
func (a *Attempt) Add(v Vote) {
	if expected, ok := a.config.Claim.Expect[v.Node]; !ok || expected != v.Inc {
		return
	}
	a.votes[v.Node] = v
}

// Holder returns the send that has the key, when a vote named one.
func (a *Attempt) Holder() (glade.Node, uint64, bool) {
	for _, node := range a.config.Electors.Nodes() {
		if v := a.votes[node]; v.State == Seen {
			return v.Holder, v.Token, true
		}
	}
	return "", 0, false
}

// Verdict weighs the votes. Those without whole history don't count.
func (a *Attempt) Verdict() Verdict {
	var grants []glade.Node
	seen := false
	for node, v := range a.votes {
		switch v.State {
		case Granted:
			grants = append(grants, node)
		case Seen:
			seen = true
		}
	}
	switch {
	case a.config.Electors.isQuorum(grants):
		return Won
	case seen:
		return Lost
	}
	return Open
}
