package scale

import (
	"fmt"
	"time"

	glade "indigoglade"
)

// Dimensions and daily events of the fleet that the users expect.
const (
	workerCount    = 26000
	accelCount     = 56000
	poolCount      = 196
	teamCount      = 240
	zoneCount      = 10
	changesPerDay  = 16000 // contract changes per day
	restartsPerDay = 7800  // hosts restarted or replaced per day
	failuresPerDay = 190   // hosts that fail per day
	// waveDays is the number of days in which every host is maintained once.
	waveDays = 35
)

// entriesPerZone is the number of entry hosts per zone. The users name no figure, so it is that of
// their current deployments.
const entriesPerZone = 9

// Dimensions derived from the above.
const (
	entryCount   = zoneCount * entriesPerZone
	hostsPerPool = workerCount / poolCount
	// customerCount assumes one customer per pool, which gives the largest number of contracts.
	customerCount = poolCount
	// hostsPerLeader is the number of hosts of the customers whose jobs one keeper places.
	hostsPerLeader = (customerCount + entryCount - 1) / entryCount * hostsPerPool
	daySeconds     = 24 * 60 * 60 // seconds
)

// Upper bounds of the control cost of a node, and of the load on the table service.
const (
	maxHeapKB          = 32e3 // KB
	maxCPUPercent      = 1.1  // percent of a core
	maxWireKBPerSecond = 5.0  // KB per second
	maxReadsPerSecond  = 2000 // rows per second
	maxWritesPerSecond = 300  // rows per second
)

// contractOf returns the contract of customer i, with one pool and the customer's share of the
// teams.
func contractOf(i int) glade.ContractSpec {
	pool := glade.Pool(fmt.Sprintf("pool%04d", i))
	spec := glade.ContractSpec{
		Customer: glade.Customer(fmt.Sprintf("customer%04d", i)),
		Pools: []glade.PoolSpec{{
			Name: pool, Serve: glade.Service(pool), Hosts: hostsPerPool, MinHosts: hostsPerPool / 2, MaxHosts: 2 * hostsPerPool, Slots: 8, MaxConns: 64,
		}},
		Answer: glade.AnswerSpec{
			Deadline: glade.Span(3 * time.Second), Target: 99, Rate: 400, MaxInFlight: 80, MaxQueued: 200,
			Window: glade.Span(10 * time.Minute), RetryPercent: 10,
		},
		Budget:  glade.BudgetSpec{Down: hostsPerPool / 10, Minutes: 60000, Window: glade.Span(24 * time.Hour), Domain: "host"},
		Wave:    glade.WaveSpec{DrainTime: glade.Span(10 * time.Second)},
		Weights: glade.WeightSpec{Rollout: 1, Moves: 1},
	}
	for t := range (teamCount + customerCount - 1) / customerCount {
		spec.Teams = append(spec.Teams, glade.TeamSpec{Name: fmt.Sprintf("team%d", t), Cores: 1000, Accels: 200})
	}
	return spec
}

// listedHost returns entry i of the host list.
func listedHost(i int) glade.HostListing {
	rack := i / 4
	return glade.HostListing{
		Host:        glade.Host(fmt.Sprintf("h%05d", i)),
		Zone:        glade.Zone(fmt.Sprintf("zone%02d", rack%zoneCount)),
		Rack:        glade.Rack(fmt.Sprintf("r%05d", rack)),
		Address:     fmt.Sprintf("10.%d.%d.%d:7600", i>>16&255, i>>8&255, i&255),
		Incarnation: 7,
		Service:     glade.Service(fmt.Sprintf("pool%04d", i/hostsPerPool)),
		Cores:       32,
		Memory:      128 << 30,
		Accels:      accelCount / workerCount,
	}
}

func hostList(n int) []glade.HostListing {
	list := make([]glade.HostListing, n)
	for i := range list {
		list[i] = listedHost(i)
	}
	return list
}

// accountOf returns the account of a pool with n serving hosts.
func accountOf(n int) glade.AccountRow {
	account := glade.AccountRow{Customer: "customer0000", Pool: "pool0000", Members: make(map[glade.Host]glade.Member)}
	for i := range n {
		row := listedHost(i)
		account.Members[row.Host] = glade.Member{Zone: row.Zone, Rack: row.Rack, Wave: "december", Incarnation: 7}
	}
	return account
}
