// Package burn counts outcomes and works out how fast a customer's error
// budget is spent.
//
// Counts belong to one incarnation of an entry host and only grow while it
// lives, so that the counts of all incarnations add up without any being
// counted twice. An incarnation that stops hands its last counts to the table
// service; one that is killed leaves what it wrote there last.
package burn

// Counts are numbers of requests by outcome.
type Counts struct {
	Answered uint64 `json:"answered"`
	Refused  uint64 `json:"refused"`
	Failed   uint64 `json:"failed"`
	Unknown  uint64 `json:"unknown"`
	// Late counts answers after the contract's deadline; they are part of
	// Answered too.
	Late uint64 `json:"late"`
}

// Total returns the number of requests.
func (c Counts) Total() uint64 { return c.Answered + c.Refused + c.Failed + c.Unknown }

// Good returns the number of requests that kept the promise.
func (c Counts) Good() uint64 { return c.Answered - c.Late }

// Add returns the sum of two counts.
func (c Counts) Add(d Counts) Counts {
	return Counts{
		Answered: c.Answered + d.Answered,
		Refused:  c.Refused + d.Refused,
		Failed:   c.Failed + d.Failed,
		Unknown:  c.Unknown + d.Unknown,
		Late:     c.Late + d.Late,
	}
}

// Rate returns the burn rate: 1 spends the error budget exactly over the
// window of the promise, 2 spends it in half the time. target is the promised
// share of good requests in percent.
func (c Counts) Rate(target float64) float64 {
	total := c.Total()
	if total == 0 {
		return 0
	}
	bad := float64(total-c.Good()) / float64(total)
	return bad / (1 - target/100)
}
