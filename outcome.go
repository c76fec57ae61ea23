package glade

// Outcome is the final result of one request. Every request ends in exactly one
// outcome.
type Outcome int

const (
	// Refused means that the request did not run. It is used only when that is
	// certain: the request never left the entry host's queue, or no byte of it
	// was written to an endpoint.
	Refused Outcome = iota + 1
	// Answered means that the endpoint's complete answer was sent to the
	// caller.
	Answered
	// Failed means that the endpoint itself reported an error. The request ran
	// or may have run.
	Failed
	// Unknown means that the request may or may not have run, and no complete
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

// Reason explains an outcome in one word, for counters and headers.
type Reason string

// Reasons that callers can see.
const (
	ReasonNone               Reason = ""
	ReasonUnknownCustomer    Reason = "customer"   // no contract names this customer
	ReasonUnknownService     Reason = "service"    // the contract has no pool for this service
	ReasonNoContracts        Reason = "cold"       // this entry host has not loaded any contracts yet
	ReasonDeadline           Reason = "deadline"   // the deadline has passed or can't be met
	ReasonBodyTooLarge       Reason = "large"      // the request body is too large
	ReasonMalformed          Reason = "malformed"  // a header or the body can't be read or is invalid
	ReasonQueueFull          Reason = "queue"      // the admission queue is full
	ReasonLimit              Reason = "limit"      // the contract's limit is reached
	ReasonNoEndpoints        Reason = "endpoints"  // no live endpoint is known
	ReasonStopping           Reason = "stopping"   // the entry host is stopping
	ReasonConnect            Reason = "connect"    // no endpoint accepted a connection
	ReasonEndpointError      Reason = "endpoint"   // the endpoint reported an error
	ReasonConnectionLost     Reason = "cut"        // the connection broke before the answer was complete
	ReasonAnswerTooLarge     Reason = "oversize"   // the answer is too large
	ReasonWrongAnswer        Reason = "mismatch"   // the answer belongs to another request
	ReasonTimeout            Reason = "timeout"    // the deadline passed while the endpoint was working
	ReasonDuplicate          Reason = "duplicate"  // the key already ran or is running
	ReasonHistoryIncomplete  Reason = "history"    // the key's history is incomplete
	ReasonCallerDisconnected Reason = "callerleft" // the caller disconnected
	ReasonStoreUnavailable   Reason = "store"      // the platform's table service is needed but unreachable
)
