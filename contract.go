package glade

import "time"

// PoolSpec configures one pool of a contract.
type PoolSpec struct {
	Name  Pool    `json:"name"`
	Serve Service `json:"serve"`
	// Hosts is the promised number of hosts.
	Hosts int `json:"hosts"`
	// Floor and Ceiling bound the size that the fleet may choose, in hosts.
	Floor   int `json:"floor"`
	Ceiling int `json:"ceiling"`
	// Slots is the number of requests that a runner works on at once.
	Slots int `json:"slots"`
	// Links is the number of connections that a runner accepts.
	Links int `json:"links"`
	// Spare marks the pool that lends hosts to the others.
	Spare bool `json:"spare"`
	// Repeatable marks work that may run twice without harm.
	Repeatable bool `json:"repeatable"`
}

// AnswerSpec configures how fast and how much a customer's work is answered.
type AnswerSpec struct {
	// Deadline is the time within which a request is answered.
	Deadline Span `json:"deadline"`
	// Target is the share of requests answered within the deadline, in percent.
	Target float64 `json:"target"`
	// Rate is the promised rate in requests per second.
	Rate float64 `json:"rate"`
	// Flight is the promised number of requests in flight over all entry hosts.
	Flight int `json:"flight"`
	// Queue is the number of requests that each entry host lets wait.
	Queue int `json:"queue"`
	// Window is how long a key is remembered.
	Window Span `json:"window"`
	// Retry is the retry budget as a share of fresh load, in percent.
	Retry float64 `json:"retry"`
}

// BudgetSpec configures the availability budget of every pool of a customer.
type BudgetSpec struct {
	// Down is the greatest number of hosts of a pool down at once.
	Down int `json:"down"`
	// Minutes is the down time that a pool may spend in a window, in host
	// minutes.
	Minutes int `json:"minutes"`
	// Window is the length of the window.
	Window Span `json:"window"`
	// Domain is the largest failure domain to keep head-room for: "host",
	// "rack" or "zone".
	Domain string `json:"domain"`
}

// WaveSpec configures a maintenance wave over the customer's pools.
type WaveSpec struct {
	// Name identifies the wave; a new name starts a new wave.
	Name string `json:"name"`
	// State is "run", "pause" or "cancel".
	State string `json:"state"`
	// Drain is how long running work may take to finish.
	Drain Span `json:"drain"`
}

// WeightSpec says what matters more when promises allow a choice.
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

// ContractSpec configures a contract. It is the form of the file that
// operators keep under version control.
type ContractSpec struct {
	Customer Customer   `json:"customer"`
	Pools    []PoolSpec `json:"pools"`
	Answer   AnswerSpec `json:"answer"`
	Budget   BudgetSpec `json:"budget"`
	Wave     WaveSpec   `json:"wave"`
	Weights  WeightSpec `json:"weights"`
	Teams    []TeamSpec `json:"teams"`
}

// Contract is an accepted contract: a specification and the version under
// which the table service committed it. It is read-only.
type Contract struct {
	spec    ContractSpec
	version uint64
}

// NewContract returns the contract that spec and version describe.
func NewContract(spec ContractSpec, version uint64) Contract {
	return Contract{spec: spec, version: version}
}

// Spec returns the specification. The caller must not change its slices.
func (c Contract) Spec() ContractSpec { return c.spec }

// Version returns the version; versions of a customer's contract only rise.
func (c Contract) Version() uint64 { return c.version }

// Customer returns the customer that the contract is for.
func (c Contract) Customer() Customer { return c.spec.Customer }

// Pool returns the pool of that name.
func (c Contract) Pool(name Pool) (PoolSpec, bool) {
	for _, p := range c.spec.Pools {
		if p.Name == name {
			return p, true
		}
	}
	return PoolSpec{}, false
}

// PoolFor returns the pool that runs a service.
func (c Contract) PoolFor(service Service) (PoolSpec, bool) {
	for _, p := range c.spec.Pools {
		if p.Serve == service {
			return p, true
		}
	}
	return PoolSpec{}, false
}

// Span is a length of time that is written as "250ms" or "5s" in files.
type Span time.Duration

// Duration returns the length as a time.Duration.
func (s Span) Duration() time.Duration { return time.Duration(s) }

// String formats the length as in files.
func (s Span) String() string { return time.Duration(s).String() }

// MarshalText writes the length as in files.
func (s Span) MarshalText() ([]byte, error) { return []byte(s.String()), nil }

// UnmarshalText reads a length such as "5s".
func (s *Span) UnmarshalText(text []byte) error {
	d, err := time.ParseDuration(string(text))
	if err != nil {
		return err
	}
	*s = Span(d)
	return nil
}
