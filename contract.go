package glade

import "time"

// PoolSpec configures one pool of a contract.
type PoolSpec struct {
	Name Pool `json:"name"`
	// Serve is the service that the pool runs.
	Serve Service `json:"serve"`
	// Hosts is the promised number of hosts.
	Hosts int `json:"hosts"`
	// MinHosts and MaxHosts are the minimum and maximum pool size that the keepers
	// may choose, in hosts.
	MinHosts int `json:"floor"`
	MaxHosts int `json:"ceiling"`
	// Slots is the number of requests that a runner works on concurrently.
	Slots int `json:"slots"`
	// MaxConns is the maximum number of connections that a runner accepts.
	MaxConns int `json:"links"`
	// Spare marks the pool that lends hosts to the other pools.
	Spare bool `json:"spare"`
	// Repeatable marks a pool whose work may safely run more than once.
	Repeatable bool `json:"repeatable"`
}

// AnswerSpec configures the promised answer times and the load limits of a
// customer.
type AnswerSpec struct {
	// Deadline is the time within which a request is answered.
	Deadline Span `json:"deadline"`
	// Target is the share of requests answered within the deadline, in percent.
	Target float64 `json:"target"`
	// Rate is the promised rate in requests per second.
	Rate float64 `json:"rate"`
	// MaxInFlight is the promised number of requests in flight over all entry hosts.
	MaxInFlight int `json:"flight"`
	// MaxQueued is the maximum number of queued requests on each entry host.
	MaxQueued int `json:"queue"`
	// Window is how long a request key is remembered for deduplication.
	Window Span `json:"window"`
	// RetryPercent is the retry budget, in percent of first attempts.
	RetryPercent float64 `json:"retry"`
}

// BudgetSpec configures the availability budget of every pool of a customer.
type BudgetSpec struct {
	// Down is the maximum number of hosts of a pool that are down at once.
	Down int `json:"down"`
	// Minutes is the down time that a pool may use in one window, in host
	// minutes.
	Minutes int `json:"minutes"`
	// Window is the length of the sliding window of the down time.
	Window Span `json:"window"`
	// Domain is the largest failure domain to keep headroom for: "host", "rack"
	// or "zone".
	Domain string `json:"domain"`
}

// WaveSpec configures a maintenance wave over the customer's pools.
type WaveSpec struct {
	// Name identifies the wave; a new name starts a new wave.
	Name string `json:"name"`
	// State is "run", "pause" or "cancel".
	State string `json:"state"`
	// DrainTime is how long running work may take to finish.
	DrainTime Span `json:"drain"`
}

// WeightSpec decides what has priority when the promises allow a choice.
type WeightSpec struct {
	Rollout int `json:"rollout"`
	Moves   int `json:"moves"`
}

// TeamSpec configures the quota of one team.
type TeamSpec struct {
	Name   string `json:"name"`
	Cores  int    `json:"cores"`
	Accels int    `json:"accels"`
}

// ContractSpec configures a contract. Its JSON form is the file that operators
// keep under version control.
type ContractSpec struct {
	Customer Customer   `json:"customer"`
	Pools    []PoolSpec `json:"pools"`
	Answer   AnswerSpec `json:"answer"`
	Budget   BudgetSpec `json:"budget"`
	Wave     WaveSpec   `json:"wave"`
	Weights  WeightSpec `json:"weights"`
	Teams    []TeamSpec `json:"teams"`
}

// Contract is an accepted contract: a specification with the version under
// which it was committed to the table service. It is read-only.
type Contract struct {
	spec    ContractSpec
	version uint64
}

// NewContract returns an accepted contract; it validates nothing.
func NewContract(spec ContractSpec, version uint64) Contract {
	return Contract{spec: spec, version: version}
}

// Spec returns the specification. The caller must not change its slices.
func (c Contract) Spec() ContractSpec { return c.spec }

// Version returns the version. Versions of a customer's contract only rise.
func (c Contract) Version() uint64 { return c.version }

// Customer returns the customer that the contract is for.
func (c Contract) Customer() Customer { return c.spec.Customer }

// Pool returns the pool of that name, and false when there is none.
func (c Contract) Pool(name Pool) (PoolSpec, bool) {
	for _, p := range c.spec.Pools {
		if p.Name == name {
			return p, true
		}
	}
	return PoolSpec{}, false
}

// PoolFor returns the pool that runs a service, and false when there is none.
func (c Contract) PoolFor(service Service) (PoolSpec, bool) {
	for _, p := range c.spec.Pools {
		if p.Serve == service {
			return p, true
		}
	}
	return PoolSpec{}, false
}

// Span is a duration that is written as "250ms" or "5s" in files.
type Span time.Duration

// Duration converts the span to a time.Duration.
func (s Span) Duration() time.Duration { return time.Duration(s) }

// String formats the span as in files.
func (s Span) String() string { return time.Duration(s).String() }

// MarshalText formats the span as in files.
func (s Span) MarshalText() ([]byte, error) { return []byte(s.String()), nil }

// UnmarshalText parses a duration such as "5s".
func (s *Span) UnmarshalText(text []byte) error {
	d, err := time.ParseDuration(string(text))
	if err != nil {
		return err
	}
	*s = Span(d)
	return nil
}
