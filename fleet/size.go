package fleet

import (
	"context"

	glade "indigoglade"
	"indigoglade/budget"
	"indigoglade/daily"
	"indigoglade/demand"
	"indigoglade/owner"
	"indigoglade/sizer"
	"indigoglade/table"
	"indigoglade/wave"
)

// resize samples the demand of a pool, updates its learnt daily profile and
// chooses its size.
func (c *Controller) resize(ctx context.Context, v poolView) error {
	if v.pool.Spare {
		return nil
	}
	sampler, ok := c.samplers[v.account.Key()]
	if !ok {
		// The learnt profile is in the table; only the samples of the current
		// bin are lost when another keeper takes over the pool.
		sampler = &daily.Sampler{}
		c.samplers[v.account.Key()] = sampler
	}
	if !sampler.IsDue(v.now) {
		return nil
	}
	busy, known, err := c.demandOf(ctx, v)
	if err != nil || !known {
		return err
	}
	row, err := c.learnDemand(ctx, v, sampler, busy)
	if err != nil {
		return err
	}
	account := v.account.Data()
	size := budget.NewRule(v.contract.Spec(), v.pool).Size(account)
	chosen := sizerOf(v).Size(size, sampler.Average(), row)
	if chosen == size {
		return nil
	}
	return c.countStep("resize")(owner.SetSize(ctx, c.config.Table, v.account, v.contract.Customer(), v.pool.Name, chosen))
}

func sizerOf(v poolView) sizer.Sizer {
	spec := v.contract.Spec()
	return sizer.New(sizer.Config{Pool: v.pool, Deadline: spec.Answer.Deadline.Duration(), Weights: spec.Weights})
}

// demandOf returns the slots that the pool's service asks for. The rows of the
// entry hosts are read once for all pools of the keeper.
func (c *Controller) demandOf(ctx context.Context, v poolView) (float64, bool, error) {
	if v.now.Sub(c.demandAt) >= daily.SamplePeriod {
		records, err := table.LoadAll[glade.DemandRow](ctx, c.config.Table, glade.PrefixDemand)
		if err != nil {
			return 0, false, err
		}
		rows := make([]glade.DemandRow, 0, len(records))
		for _, record := range records {
			rows = append(rows, record.Data())
		}
		c.demand = demand.Sum(rows, v.now)
		c.demandAt = v.now
	}
	busy, known := c.demand.Busy(v.pool.Serve)
	return busy, known, nil
}

// learnDemand adds a sample, writes a bin to the table when it is closed, and
// returns the learnt daily profile.
func (c *Controller) learnDemand(ctx context.Context, v poolView, sampler *daily.Sampler, busy float64) (glade.DemandProfileRow, error) {
	record, err := table.Load[glade.DemandProfileRow](ctx, c.config.Table, shapeKey(v))
	if err != nil {
		return glade.DemandProfileRow{}, err
	}
	closed, isClosed := sampler.AddSample(v.now, busy)
	if !isClosed || record.Data().Bin >= closed.Bin {
		return record.Data(), nil
	}
	next := daily.AddBin(record.Data(), closed.Bin, closed.Mean)
	batch := table.NewBatch()
	table.Replace(batch, record, next)
	result, err := batch.Commit(ctx, c.config.Table)
	c.counters.Add("learn."+result.String(), 1)
	return next, err
}

func shapeKey(v poolView) string {
	return glade.PrefixDemandProfile + string(v.contract.Customer()) + "/" + string(v.pool.Name)
}

// wantedHosts returns the number of hosts that a pool should have now. A spare
// pool takes free hosts up to its promise. While a wave runs in a pool whose
// contract weighs the time of a roll-out more than moves, the pool borrows as
// many hosts as its largest failure domain has, up to its ceiling, so that the
// wave can use the whole budget and keep the headroom for a failure domain.
func wantedHosts(spec glade.ContractSpec, pool glade.PoolSpec, account glade.AccountRow) int {
	if pool.Spare {
		return pool.Hosts
	}
	rule := budget.NewRule(spec, pool)
	size := rule.Size(account)
	if spec.Weights.Rollout <= spec.Weights.Moves || !wave.IsRunning(spec, account) {
		return size
	}
	return min(size+rule.LargestDomain(account), max(pool.MaxHosts, size))
}

// shrink begins to move one surplus host to a spare pool.
func (c *Controller) shrink(ctx context.Context, v poolView) error {
	account := v.account.Data()
	surplus := budget.Serving(account) - wantedHosts(v.contract.Spec(), v.pool, account)
	if v.pool.Spare || surplus <= 0 {
		return nil
	}
	source := poolRef{v.contract.Customer(), v.pool}
	for _, spare := range c.sparePools {
		move := owner.Destination{Customer: spare.customer, Pool: spare.pool, DesiredSize: spare.pool.MaxHosts}
		done, err := c.beginMove(ctx, v.now, source, move)
		if err != nil || done {
			return err
		}
	}
	return nil
}
