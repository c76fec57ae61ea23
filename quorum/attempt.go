package quorum

import glade "indigoglade"

// Verdict is the decision that the votes on a claim lead to.
type Verdict int

// Verdicts on a claim.
const (
	// Undecided means that the votes so far do not decide the claim.
	Undecided Verdict = iota
	// Won means that a quorum granted the claim: the request may run.
	Won
	// Lost means that another request has the key.
	Lost
)

// AttemptConfig configures an Attempt.
type AttemptConfig struct {
	Voters Voters
	Claim  Claim
}

// Attempt collects the votes on one claim. The first round asks the fewest entry
// hosts that can form a quorum; later rounds ask all that vote on the key.
type Attempt struct {
	config   AttemptConfig
	allAsked bool
	votes    map[glade.Node]Vote
}

// NewAttempt returns an attempt without votes, whose claim expects incarnations
// only of the entry hosts asked in the first round.
func NewAttempt(config AttemptConfig) *Attempt {
	a := &Attempt{config: config, votes: make(map[glade.Node]Vote)}
	expect := make(map[glade.Node]uint64)
	for _, node := range a.Targets() {
		if inc, ok := config.Claim.Incarnations[node]; ok {
			expect[node] = inc
		}
	}
	a.config.Claim.Incarnations = expect
	return a
}

// Claim returns the claim to send in the current round.
func (a *Attempt) Claim() Claim { return a.config.Claim }

// Targets returns the entry hosts to ask in the current round.
func (a *Attempt) Targets() []glade.Node {
	if a.allAsked {
		return a.config.Voters.Nodes()
	}
	return a.config.Voters.FirstRound()
}

// AskAll starts a new round that asks every entry host that votes on the key, and
// expects the incarnations in expect. Votes of earlier rounds are dropped,
// because they were given for other incarnations.
func (a *Attempt) AskAll(expect map[glade.Node]uint64) {
	a.allAsked = true
	a.config.Claim.Incarnations = expect
	a.votes = make(map[glade.Node]Vote)
}

// AsksAll reports whether the current round asks every entry host that votes.
func (a *Attempt) AsksAll() bool { return a.allAsked }

// Add counts a vote on the current claim. It ignores votes of entry hosts that
// were not asked, and votes of another incarnation than the claim expects.
func (a *Attempt) Add(v Vote) {
	if expected, ok := a.config.Claim.Incarnations[v.Node]; !ok || expected != v.Incarnation {
		return
	}
	a.votes[v.Node] = v
}

// Holder returns the entry host and the token of the request that has the key.
// The last result is false when no vote named one.
func (a *Attempt) Holder() (glade.Node, uint64, bool) {
	for _, node := range a.config.Voters.Nodes() {
		if v := a.votes[node]; v.State == HeldByOther {
			return v.Holder, v.Token, true
		}
	}
	return "", 0, false
}

// Verdict returns the decision by the votes so far. Votes of entry hosts with an
// incomplete history do not count as grants.
func (a *Attempt) Verdict() Verdict {
	var grants []glade.Node
	heldByOther := false
	for node, v := range a.votes {
		switch v.State {
		case Granted:
			grants = append(grants, node)
		case HeldByOther:
			heldByOther = true
		}
	}
	switch {
	case a.config.Voters.isQuorum(grants):
		return Won
	case heldByOther:
		return Lost
	}
	return Undecided
}
