// Package quota decides how the leaders of several services share the limit of a tenant.
//
// Each tenant has one row in the platform's store with its limit and the share of each
// service. The sum of the shares is at most the limit, and a leader's running work is at
// most its share. A leader raises its share only by a transaction that is conditional on
// the row's version and uses the raise once it is confirmed; it lowers its share in memory
// first. So no clock and no lease is needed, and shares stay in force while the store is
// down. A Holder has no clock, does no I/O and is not safe for concurrent use.
package quota

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"maps"
	"math"
	"strings"

	"github.com/pkg/errors"

	glade "indigoglade"
)

// Unlimited is the share of a resource that is not limited. Sums of some of them do not
// overflow.
const Unlimited = math.MaxInt / 64

// Share is the entry of one service in a row.
type Share struct {
	// Epoch is that of the leader that claimed the entry.
	Epoch int64 `json:"epoch"`
	glade.Need
}

// Row is the stored row of a tenant.
type Row struct {
	// Version is that of the contract which set the limit.
	Version int64 `json:"version"`
	// Limit is the limit of the sum of all shares; a resource of 0 is not limited.
	Limit  glade.Need              `json:"limit"`
	Shares map[glade.Service]Share `json:"shares"`
}

// ParseRow decodes a stored row.
func ParseRow(value []byte) (Row, error) {
	var row Row
	if err := json.Unmarshal(value, &row); err != nil {
		return Row{}, errors.Wrap(err, "quota row is not valid JSON")
	}
	for service, share := range row.Shares {
		if !isNonNegative(share.Need) {
			return Row{}, errors.Errorf("quota row has a negative share of service %s", service)
		}
	}
	if !isNonNegative(row.Limit) {
		return Row{}, errors.New("quota row has a negative limit")
	}
	return row, nil
}

// with returns a copy of the row with another share of a service.
func (r Row) with(service glade.Service, share Share) Row {
	shares := maps.Clone(r.Shares)
	if shares == nil {
		shares = make(map[glade.Service]Share)
	}
	shares[service] = share
	r.Shares = shares
	return r
}

// sum returns the sum of all shares.
func (r Row) sum() glade.Need {
	var sum glade.Need
	for _, share := range r.Shares {
		sum = sum.Plus(share.Need)
	}
	return sum
}

// maxPartitionName is the length up to which the store takes partition names, in bytes.
const maxPartitionName = 200

// hashedPrefix begins the partition names that stand for a tenant's name.
const hashedPrefix = "#"

// Partition returns the name of a tenant's partition: its own name, or a hash of the name
// where the store would not take it.
func Partition(tenant glade.Tenant) string {
	name := string(tenant)
	if name != "" && len(name) <= maxPartitionName && !strings.HasPrefix(name, hashedPrefix) {
		return name
	}
	hash := sha256.Sum256([]byte(name))
	return hashedPrefix + hex.EncodeToString(hash[:])
}

// vector holds the resources of a need, so that rules can be written once for each of them.
type vector [3]int

func toVector(n glade.Need) vector { return vector{n.CPU, n.Memory, n.Accels} }

func (v vector) need() glade.Need { return glade.Need{CPU: v[0], Memory: v[1], Accels: v[2]} }

// combine applies f to each resource of two needs.
func combine(a, b glade.Need, f func(a, b int) int) glade.Need {
	x, y := toVector(a), toVector(b)
	for i := range x {
		x[i] = f(x[i], y[i])
	}
	return x.need()
}

func atLeast(a, b glade.Need) glade.Need {
	return combine(a, b, func(a, b int) int { return max(a, b) })
}

func atMost(a, b glade.Need) glade.Need {
	return combine(a, b, func(a, b int) int { return min(a, b) })
}

// lack returns what a exceeds b by, 0 where it does not.
func lack(a, b glade.Need) glade.Need {
	return combine(a, b, func(a, b int) int { return max(a-b, 0) })
}

// scale returns n x numerator / denominator, rounded down; n where the denominator is 0.
func scale(n, numerator, denominator glade.Need) glade.Need {
	x, a, b := toVector(n), toVector(numerator), toVector(denominator)
	for i := range x {
		if b[i] > 0 {
			x[i] = int(float64(x[i]) * float64(a[i]) / float64(b[i]))
		}
	}
	return x.need()
}

// limitedOnly returns n with 0 in the resources that a limit leaves open.
func limitedOnly(n, limit glade.Need) glade.Need {
	return combine(n, limit, func(a, l int) int {
		if l == 0 {
			return 0
		}
		return a
	})
}

// openUnlimited returns n with Unlimited in the resources that a limit leaves open.
func openUnlimited(n, limit glade.Need) glade.Need {
	return combine(n, limit, func(a, l int) int {
		if l == 0 {
			return Unlimited
		}
		return a
	})
}

func isNonNegative(n glade.Need) bool { return n.CPU >= 0 && n.Memory >= 0 && n.Accels >= 0 }

func isZero(n glade.Need) bool { return n == glade.Need{} }
