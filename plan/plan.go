// Package plan predicts how applying a contract would change the fleet.
package plan

import (
	"fmt"
	"time"

	glade "indigoglade"
	"indigoglade/budget"
	"indigoglade/sizer"
	"indigoglade/wave"
)

// Input holds the data that a plan is computed from.
type Input struct {
	Spec glade.ContractSpec
	// Accounts holds the accounts of all pools of all customers.
	Accounts []glade.AccountRow
	Now      time.Time
}

// Pool is the predicted effect of the contract on one pool.
type Pool struct {
	Pool glade.Pool `json:"pool"`
	// Hosts is the current number of members, Size the target number under the
	// contract.
	Hosts int `json:"hosts"`
	Size  int `json:"size"`
	// Moves is the number of hosts that would join or leave the pool to reach
	// Size.
	Moves int `json:"moves"`
	// Buffer is the number of hosts of the promised size that stay idle as
	// headroom for failures and bursts.
	Buffer int `json:"buffer"`
	// WaveRemaining is the number of hosts that the running wave has not done yet.
	WaveRemaining int `json:"wave"`
	// Concurrency is the number of hosts that the wave takes down at the same time.
	Concurrency int `json:"atonce"`
	// Rollout is the duration of the wave if nothing fails; 0 if no wave can run.
	Rollout glade.Span `json:"rollout"`
	// Risks describes the promises that can't be kept, or not yet.
	Risks []string `json:"risks"`
}

// Compute returns the plans of all pools of the contract, followed by those of the
// customer's pools that the contract no longer lists but that still have hosts.
func Compute(config Input) []Pool {
	var pools []Pool
	for _, pool := range config.Spec.Pools {
		pools = append(pools, planPool(config, pool))
	}
	return append(pools, removedPools(config)...)
}

func planPool(config Input, pool glade.PoolSpec) Pool {
	account := findAccount(config, pool.Name)
	rule := budget.NewRule(config.Spec, pool)
	size := rule.Size(account)
	if pool.Spare {
		size = pool.Hosts
	}
	p := Pool{Pool: pool.Name, Hosts: len(account.Members), Size: size}
	p.Moves = max(size-p.Hosts, p.Hosts-size)
	p.Buffer = idleHosts(config.Spec, pool)
	p.WaveRemaining, p.Concurrency = waveCapacity(config, pool, account)
	if p.Concurrency > 0 {
		rounds := (p.WaveRemaining + p.Concurrency - 1) / p.Concurrency
		p.Rollout = glade.Span(time.Duration(rounds) * meanStepTime(config.Spec, account))
	}
	p.Risks = findRisks(config, pool, account, p)
	return p
}

func findAccount(config Input, pool glade.Pool) glade.AccountRow {
	for _, account := range config.Accounts {
		if account.Customer == config.Spec.Customer && account.Pool == pool {
			return account
		}
	}
	return glade.AccountRow{}
}

// idleHosts returns how many of the pool's promised hosts are idle at the highest
// mean load that the sizer allows.
func idleHosts(spec glade.ContractSpec, pool glade.PoolSpec) int {
	load := sizer.New(sizer.Config{Pool: pool, Deadline: spec.Answer.Deadline.Duration(), Weights: spec.Weights}).TargetLoad()
	return pool.Hosts - int(load*float64(pool.Hosts))
}

// waveCapacity returns how many hosts the wave has not done yet, and how many it
// would take down at the same time if all members were serving. If the pool may
// borrow hosts for the wave, the borrowed hosts are included as members.
func waveCapacity(config Input, pool glade.PoolSpec, account glade.AccountRow) (remaining, concurrent int) {
	if !wave.IsRunning(config.Spec, account) {
		return 0, 0
	}
	done, total := wave.Progress(account, config.Spec.Wave.Name)
	healthy := allServing(account)
	rule := budget.NewRule(config.Spec, pool)
	if config.Spec.Weights.Rollout > config.Spec.Weights.Moves && !pool.Spare {
		for i := range min(rule.LargestDomain(healthy), pool.MaxHosts-len(healthy.Members)) {
			borrowed := fmt.Sprintf("borrowed%d", i)
			healthy.Members[glade.Host(borrowed)] = glade.Member{Rack: glade.Rack(borrowed), Zone: glade.Zone(borrowed), Wave: config.Spec.Wave.Name}
		}
	}
	for {
		host, ok := wave.Next(config.Spec, pool, healthy, config.Now).Host()
		if !ok {
			return total - done, concurrent
		}
		member := healthy.Members[host]
		member.Cause, member.Since = glade.CausePlan, config.Now.UnixMilli()
		healthy.Members[host] = member
		concurrent++
	}
}

// allServing returns a copy of the account in which all members serve and none of
// the down time budget is spent.
func allServing(account glade.AccountRow) glade.AccountRow {
	healthy := account
	healthy.DownTimes = nil
	healthy.Members = make(map[glade.Host]glade.Member, len(account.Members))
	for host, member := range account.Members {
		member.Cause, member.Since = glade.CauseNone, 0
		healthy.Members[host] = member
	}
	return healthy
}

// defaultRestartTime is the assumed time for reboot and verification if the
// account records no planned step yet.
const defaultRestartTime = time.Minute

// meanStepTime returns the expected duration of one planned step: the mean of the
// planned steps that the account records.
func meanStepTime(spec glade.ContractSpec, account glade.AccountRow) time.Duration {
	var sum, count int64
	for _, span := range account.DownTimes {
		if span.Cause == glade.CausePlan {
			sum += span.To - span.From
			count++
		}
	}
	if count == 0 {
		return spec.Wave.DrainTime.Duration() + defaultRestartTime
	}
	return time.Duration(sum/count) * time.Millisecond
}

// findRisks returns a description of each promise that can't be kept.
func findRisks(config Input, pool glade.PoolSpec, account glade.AccountRow, p Pool) []string {
	var risks []string
	add := func(format string, args ...any) { risks = append(risks, fmt.Sprintf(format, args...)) }
	rule := budget.NewRule(config.Spec, pool)
	if up, need := budget.Serving(account), rule.MinServing(account); up < need {
		add("%d hosts serve, the promise needs %d", up, need)
	}
	if free := lendableHosts(config); p.Size > p.Hosts+free {
		add("%d more hosts are wanted, other pools can lend %d", p.Size-p.Hosts, free)
	}
	if p.WaveRemaining > 0 && p.Concurrency == 0 {
		wait := wave.Next(config.Spec, pool, allServing(account), config.Now).Wait()
		add("the wave can take no host down, even when every host serves: %s", budget.Explain(wait))
	}
	spent := time.Duration(p.WaveRemaining) * rule.Allowance()
	windowBudget := time.Duration(config.Spec.Budget.Minutes) * time.Minute
	if windows := int(spent / windowBudget); windows > 0 {
		add("the wave may need the minutes of %d windows of %s", windows+1, config.Spec.Budget.Window)
	}
	return risks
}

// lendableHosts returns the number of serving hosts in the pools of other
// customers.
func lendableHosts(config Input) int {
	free := 0
	for _, account := range config.Accounts {
		if account.Customer != config.Spec.Customer {
			free += budget.Serving(account)
		}
	}
	return free
}

// removedPools returns the plans of the customer's pools that still have hosts but
// are no longer in the contract.
func removedPools(config Input) []Pool {
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
