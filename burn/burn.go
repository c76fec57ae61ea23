// Package burn counts request outcomes and computes the burn rate of each
// customer's error budget.
//
// An incarnation is one run of an entry host process. Its counts only increase
// while it runs, so the latest snapshots of all incarnations can be summed
// without counting a request twice. An incarnation saves snapshots to the table
// service periodically and once more on a graceful stop. If it is killed, the
// counts since its last saved snapshot are lost.
package burn

// Counts holds the number of requests by outcome.
type Counts struct {
	Answered uint64 `json:"answered"`
	Refused  uint64 `json:"refused"`
	Failed   uint64 `json:"failed"`
	Unknown  uint64 `json:"unknown"`
	// Late is the number of answers after the contract's deadline. It is
	// included in Answered.
	Late uint64 `json:"late"`
}

// Total returns the number of requests with any outcome.
func (c Counts) Total() uint64 { return c.Answered + c.Refused + c.Failed + c.Unknown }

// Good returns the number of requests answered within the deadline.
func (c Counts) Good() uint64 { return c.Answered - c.Late }

// Add returns the sum of c and d, field by field.
func (c Counts) Add(d Counts) Counts {
	return Counts{
		Answered: c.Answered + d.Answered,
		Refused:  c.Refused + d.Refused,
		Failed:   c.Failed + d.Failed,
		Unknown:  c.Unknown + d.Unknown,
		Late:     c.Late + d.Late,
	}
}

// Rate returns the burn rate: a rate of 1 spends the error budget exactly over
// its window, a rate of 2 in half that time. target is the promised percentage
// of good requests. Without requests the rate is 0.
func (c Counts) Rate(target float64) float64 {
	total := c.Total()
	if total == 0 {
		return 0
	}
	bad := float64(total-c.Good()) / float64(total)
	return bad / (1 - target/100)
}
