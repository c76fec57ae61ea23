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

// size looks at the demand of a pool, learns its day and chooses its size.
func (f *Fleet) size(ctx context.Context, v poolView) error {
	if v.pool.Spare {
		return nil
	}
	tally, ok := f.tallies[v.account.Key()]
	if !ok {
		// What was learnt of the day is in the table; only the open bin is lost
		// when a pool changes keepers.
		tally = &shape.Tally{}
		f.tallies[v.account.Key()] = tally
	}
	if !tally.IsDue(v.now) {
		return nil
	}
	busy, known, err := f.busy(ctx, v)
	if err != nil || !known {
		return err
	}
	row, err := f.learn(ctx, v, tally, busy)
	if err != nil {
		return err
	}
	account := v.account.Data()
	size := budget.NewRule(v.contract.Spec(), v.pool).Size(account)
	chosen := sizerOf(v).Size(size, tally.Seen(), row)
	if chosen == size {
		return nil
	}
	return f.count("resize")(owner.Resize(ctx, f.config.Table, v.account, v.contract.Customer(), v.pool.Name, chosen))
}

func sizerOf(v poolView) sizer.Sizer {
	spec := v.contract.Spec()
	return sizer.New(sizer.Config{Pool: v.pool, Deadline: spec.Answer.Deadline.Duration(), Weights: spec.Weights})
}

// busy returns the slots that the pool's service asks for, from the rows of the
// entry hosts, which are read once for every pool of the keeper.
func (f *Fleet) busy(ctx context.Context, v poolView) (float64, bool, error) {
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

// learn adds one look to the tally, writes the bin when it is closed, and
// returns the learnt day.
func (f *Fleet) learn(ctx context.Context, v poolView, tally *shape.Tally, busy float64) (glade.ShapeRow, error) {
	record, err := table.Load[glade.ShapeRow](ctx, f.config.Table, shapeKey(v))
	if err != nil {
		return glade.ShapeRow{}, err
	}
	closed, isClosed := tally.Look(v.now, busy)
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

// wanted returns the number of hosts that a pool should have now. A spare pool
// takes free hosts up to its promise. While a wave runs in a pool whose contract
// weighs the time of a roll-out more than moves, the pool borrows what lets the
// wave use the whole budget beside the head-room for a failure domain.
func wanted(spec glade.ContractSpec, pool glade.PoolSpec, account glade.AccountRow) int {
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
	surplus := budget.Up(account) - wanted(v.contract.Spec(), v.pool, account)
	if v.pool.Spare || surplus <= 0 {
		return nil
	}
	source := place{v.contract.Customer(), v.pool}
	for _, spare := range f.spares {
		move := owner.Move{Customer: spare.customer, Pool: spare.pool, Want: spare.pool.Ceiling}
		done, err := f.take(ctx, v.now, source, move)
		if err != nil || done {
			return err
		}
	}
	return nil
}
