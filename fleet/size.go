package fleet

import (
	"context"

	glade "indigoglade"
	"indigoglade/budget"
	"indigoglade/demand"
	"indigoglade/owner"
	"indigoglade/shape"
	"indigoglade/sizer"
	"indigoglade/table"
	"indigoglade/wave"
)

// resize samples the demand of a pool, updates its learnt daily profile and
// chooses its size.
func (f *Fleet) resize(ctx context.Context, v poolView) error {
	if v.pool.Spare {
		return nil
	}
	sampler, ok := f.samplers[v.account.Key()]
	if !ok {
		// The learnt profile is in the table; only the samples of the current
		// bin are lost when another keeper takes over the pool.
		sampler = &shape.Tally{}
		f.samplers[v.account.Key()] = sampler
	}
	if !sampler.IsDue(v.now) {
		return nil
	}
	busy, known, err := f.demandOf(ctx, v)
	if err != nil || !known {
		return err
	}
	row, err := f.learnDemand(ctx, v, sampler, busy)
	if err != nil {
		return err
	}
	account := v.account.Data()
	size := budget.NewRule(v.contract.Spec(), v.pool).Size(account)
	chosen := sizerOf(v).Size(size, sampler.Seen(), row)
	if chosen == size {
		return nil
	}
	return f.countStep("resize")(owner.Resize(ctx, f.config.Table, v.account, v.contract.Customer(), v.pool.Name, chosen))
}

func sizerOf(v poolView) sizer.Sizer {
	spec := v.contract.Spec()
	return sizer.New(sizer.Config{Pool: v.pool, Deadline: spec.Answer.Deadline.Duration(), Weights: spec.Weights})
}

// demandOf returns the slots that the pool's service asks for. The rows of the
// entry hosts are read once for all pools of the keeper.
func (f *Fleet) demandOf(ctx context.Context, v poolView) (float64, bool, error) {
	if v.now.Sub(f.demandAt) >= shape.LookPeriod {
		records, err := table.LoadAll[glade.DemandRow](ctx, f.config.Table, glade.PrefixDemand)
		if err != nil {
			return 0, false, err
		}
		rows := make([]glade.DemandRow, 0, len(records))
		for _, record := range records {
			rows = append(rows, record.Data())
		}
		f.demand = demand.Sum(rows, v.now)
		f.demandAt = v.now
	}
	busy, known := f.demand.Busy(v.pool.Serve)
	return busy, known, nil
}

// learnDemand adds a sample, writes a bin to the table when it is closed, and
// returns the learnt daily profile.
func (f *Fleet) learnDemand(ctx context.Context, v poolView, sampler *shape.Tally, busy float64) (glade.ShapeRow, error) {
	record, err := table.Load[glade.ShapeRow](ctx, f.config.Table, shapeKey(v))
	if err != nil {
		return glade.ShapeRow{}, err
	}
	closed, isClosed := sampler.Look(v.now, busy)
	if !isClosed || record.Data().Bin >= closed.Bin {
		return record.Data(), nil
	}
	next := shape.Fold(record.Data(), closed.Bin, closed.Mean)
	batch := table.NewBatch()
	table.Replace(batch, record, next)
	result, err := batch.Commit(ctx, f.config.Table)
	f.counters.Add("learn."+result.String(), 1)
	return next, err
}

func shapeKey(v poolView) string {
	return glade.PrefixShape + string(v.contract.Customer()) + "/" + string(v.pool.Name)
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
	return min(size+rule.Largest(account), max(pool.Ceiling, size))
}

// shrink begins to move one surplus host to a spare pool.
func (f *Fleet) shrink(ctx context.Context, v poolView) error {
	account := v.account.Data()
	surplus := budget.Up(account) - wantedHosts(v.contract.Spec(), v.pool, account)
	if v.pool.Spare || surplus <= 0 {
		return nil
	}
	source := poolRef{v.contract.Customer(), v.pool}
	for _, spare := range f.sparePools {
		move := owner.Move{Customer: spare.customer, Pool: spare.pool, Want: spare.pool.Ceiling}
		done, err := f.beginMove(ctx, v.now, source, move)
		if err != nil || done {
			return err
		}
	}
	return nil
}
