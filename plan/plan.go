// Package plan works out what a contract would do to the fleet before it is
// applied.
package plan

import (
	"fmt"
	"time"

	glade "indigoglade"
	"indigoglade/budget"
	"indigoglade/sizer"
	"indigoglade/wave"
)

// Config configures a plan.
type Config struct {
	Spec glade.ContractSpec
	// Accounts are the accounts of every pool of every customer.
	Accounts []glade.AccountRow
	Now      time.Time
}

// Pool is what the contract would do to one pool.
type Pool struct {
	Pool glade.Pool `json:"pool"`
	// Hosts is the number of members now, Size the number that the fleet aims
	// for under the contract.
	Hosts int `json:"hosts"`
	Size  int `json:"size"`
	// Moves is the number of hosts that would change pools, those that the wave
	// borrows and gives back included.
	Moves int `json:"moves"`
	// Buffer is the number of hosts held for failures and bursts at the
	// promised size.
	Buffer int `json:"buffer"`
	// Wave is the number of hosts that the wave has left, Atonce how many it
	// takes down at once.
	Wave   int `json:"wave"`
	AtOnce int `json:"atonce"`
	// Rollout is the time that the wave takes when nothing fails; 0 for none.
	Rollout glade.Span `json:"rollout"`
	// Risks are the promises that the contract can't keep, or not yet.
	Risks []string `json:"risks"`
}

// Make works out the plan of every pool of the contract.
func Make(config Config) []Pool {
	var pools []Pool
	for _, pool := range config.Spec.Pools {
		pools = append(pools, makePool(config, pool))
	}
	return append(pools, orphans(config)...)
}

func makePool(config Config, pool glade.PoolSpec) Pool {
	account := find(config, pool.Name)
	rule := budget.NewRule(config.Spec, pool)
	size := rule.Size(account)
	if pool.Spare {
		size = pool.Hosts
	}
	p := Pool{Pool: pool.Name, Hosts: len(account.Members), Size: size}
	p.Moves = max(size-p.Hosts, p.Hosts-size)
	p.Buffer = buffer(config.Spec, pool)
	p.Wave, p.AtOnce = steps(config, pool, account)
	if p.AtOnce > 0 {
		rounds := (p.Wave + p.AtOnce - 1) / p.AtOnce
		p.Rollout = glade.Span(time.Duration(rounds) * stepTime(config.Spec, account))
	}
	p.Risks = risks(config, pool, account, p)
	return p
}

func find(config Config, pool glade.Pool) glade.AccountRow {
	for _, account := range config.Accounts {
		if account.Customer == config.Spec.Customer && account.Pool == pool {
			return account
		}
	}
	return glade.AccountRow{}
}

// buffer returns how many of the promised hosts the promised rate leaves idle,
// a fair share of the rate for each pool.
func buffer(spec glade.ContractSpec, pool glade.PoolSpec) int {
	load := sizer.New(sizer.Config{Pool: pool, Deadline: spec.Answer.Deadline.Duration(), Weights: spec.Weights}).TargetLoad()
	return pool.Hosts - int(load*float64(pool.Hosts))
}

// steps returns how many hosts the wave has left, and how many it would take
// down at once if every member served. A pool that may borrow has its borrowed
// hosts too.
func steps(config Config, pool glade.PoolSpec, account glade.AccountRow) (left, atOnce int) {
	if !wave.IsRunning(config.Spec, account) {
		return 0, 0
	}
	done, total := wave.Progress(account, config.Spec.Wave.Name)
	whole := restored(account)
	rule := budget.NewRule(config.Spec, pool)
	if config.Spec.Weights.Rollout > config.Spec.Weights.Moves && !pool.Spare {
		for i := range min(rule.LargestDomain(whole), pool.Ceiling-len(whole.Members)) {
			borrowed := fmt.Sprintf("borrowed%d", i)
			whole.Members[glade.Host(borrowed)] = glade.Member{Rack: glade.Rack(borrowed), Zone: glade.Zone(borrowed), Wave: config.Spec.Wave.Name}
		}
	}
	for {
		host, ok := wave.Next(config.Spec, pool, whole, config.Now).Host()
		if !ok {
			return total - done, atOnce
		}
		member := whole.Members[host]
		member.Cause, member.Since = glade.CausePlan, config.Now.UnixMilli()
		whole.Members[host] = member
		atOnce++
	}
}

// restored returns the account as if every member served and nothing was spent.
func restored(account glade.AccountRow) glade.AccountRow {
	whole := account
	whole.Spent = nil
	whole.Members = make(map[glade.Host]glade.Member, len(account.Members))
	for host, member := range account.Members {
		member.Cause, member.Since = glade.CauseNone, 0
		whole.Members[host] = member
	}
	return whole
}

// restartTime is taken for reboot and verification while the pool has no
// planned step behind it.
const restartTime = time.Minute

// stepTime returns how long one planned step takes: the mean of those that the
// account remembers.
func stepTime(spec glade.ContractSpec, account glade.AccountRow) time.Duration {
	var sum, count int64
	for _, span := range account.Spent {
		if span.Cause == glade.CausePlan {
			sum += span.To - span.From
			count++
		}
	}
	if count == 0 {
		return spec.Wave.Drain.Duration() + restartTime
	}
	return time.Duration(sum/count) * time.Millisecond
}

// risks names what the contract can't keep.
func risks(config Config, pool glade.PoolSpec, account glade.AccountRow, p Pool) []string {
	var risks []string
	add := func(format string, args ...any) { risks = append(risks, fmt.Sprintf(format, args...)) }
	rule := budget.NewRule(config.Spec, pool)
	if up, need := budget.Serving(account), rule.MinServing(account); up < need {
		add("%d hosts serve, the promise needs %d", up, need)
	}
	if free := others(config); p.Size > p.Hosts+free {
		add("%d more hosts are wanted, other pools can lend %d", p.Size-p.Hosts, free)
	}
	if p.Wave > 0 && p.AtOnce == 0 {
		wait := wave.Next(config.Spec, pool, restored(account), config.Now).Wait()
		add("the wave can take no host down, even when every host serves: %s", budget.Explain(wait))
	}
	spent := time.Duration(p.Wave) * rule.Allowance()
	limit := time.Duration(config.Spec.Budget.Minutes) * time.Minute
	if windows := int(spent / limit); windows > 0 {
		add("the wave may need the minutes of %d windows of %s", windows+1, config.Spec.Budget.Window)
	}
	return risks
}

// others returns the number of serving hosts in the pools of other customers.
func others(config Config) int {
	free := 0
	for _, account := range config.Accounts {
		if account.Customer != config.Spec.Customer {
			free += budget.Serving(account)
		}
	}
	return free
}

// orphans returns the pools that have hosts and that the contract no longer
// names.
func orphans(config Config) []Pool {
	contract := glade.NewContract(config.Spec, 0)
	var pools []Pool
	for _, account := range config.Accounts {
		if _, named := contract.Pool(account.Pool); named || account.Customer != config.Spec.Customer || len(account.Members) == 0 {
			continue
		}
		hosts := len(account.Members)
		risk := "the contract no longer names the pool; its hosts move to spare pools"
		pools = append(pools, Pool{Pool: account.Pool, Hosts: hosts, Moves: hosts, Risks: []string{risk}})
	}
	return pools
}
