package glade

// Outcome is the final result of one request. Every request ends in exactly
// one outcome.
type Outcome int

const (
	// Refused means that the request did not run. It is used only where that
	// is proved: the request never left the entry host's queue, or no byte of
	// it was written to an endpoint.
	Refused Outcome = iota + 1
	// Answered means that the endpoint's whole answer went to the caller.
	Answered
	// Failed means that the endpoint itself reported an error. The request ran
	// or may have run.
	Failed
	// Unknown means that the request may or may not have run, and no whole
	// answer came back.
	Unknown
)

// String returns the lower-case name that callers see in a response header.
func (o Outcome) String() string {
	switch o {
	case Refused:
		return "refused"
	case Answered:
		return "answered"
	case Failed:
		return "failed"
	case Unknown:
		return "unknown"
	}
	return "invalid"
}

// Reason explains an outcome in one short word for counters and headers.
type Reason string

// Reasons that callers can meet.
const (
	ReasonNone       Reason = ""
	ReasonCustomer   Reason = "customer"   // no contract names this customer
	ReasonService    Reason = "service"    // the contract has no pool for this service
	ReasonCold       Reason = "cold"       // this entry host has no contracts yet
	ReasonDeadline   Reason = "deadline"   // the deadline passed or can't be met
	ReasonLarge      Reason = "large"      // the request body is over the bound
	ReasonMalformed  Reason = "malformed"  // a header or the body can't be read
	ReasonQueue      Reason = "queue"      // the admission queue is full
	ReasonLimit      Reason = "limit"      // the contract's limit is reached
	ReasonEndpoints  Reason = "endpoints"  // no live endpoint is known
	ReasonStopping   Reason = "stopping"   // the entry host is stopping
	ReasonConnect    Reason = "connect"    // no endpoint accepted a connection
	ReasonEndpoint   Reason = "endpoint"   // the endpoint reported an error
	ReasonCut        Reason = "cut"        // the answer broke off
	ReasonOversize   Reason = "oversize"   // the answer is over the bound
	ReasonMismatch   Reason = "mismatch"   // the answer belongs to another request
	ReasonTimeout    Reason = "timeout"    // the deadline passed while the endpoint worked
	ReasonDuplicate  Reason = "duplicate"  // the key already ran or is running
	ReasonHistory    Reason = "history"    // the key's history is not whole
	ReasonCallerLeft Reason = "callerleft" // the caller went away
	ReasonStore      Reason = "store"      // the platform's table service is needed and unreachable
)
