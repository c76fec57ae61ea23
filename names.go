package glade

// Zone names an availability zone.
type Zone string

// Rack names a rack inside an availability zone.
type Rack string

// Customer names a customer, the party to one contract.
type Customer string

// Tenant names one of the parties that share a customer's contract.
type Tenant string

// Pool names a pool of hosts.
type Pool string

// Service names a service that the endpoints of a pool run.
type Service string

// Host names a worker host of the platform.
type Host string

// Node names a process of the system itself: an entry host, a keeper, or a process
// that does the work of both.
type Node string

// Endpoint identifies one incarnation of a runner on a host. A host that
// reboots returns as an endpoint with a higher incarnation, so that events
// about an old incarnation never affect the new one.
type Endpoint struct {
	Host        Host   `json:"host"`
	Incarnation uint64 `json:"inc"`
}
