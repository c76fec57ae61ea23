package fleet

import (
	"context"
	"time"

	glade "indigoglade"
	"indigoglade/budget"
	"indigoglade/demand"
	"indigoglade/owner"
	"indigoglade/shape"
	"indigoglade/sizer"
	"indigoglade/table"
	"indigoglade/wave"
)

// sizePeriod is the time between two looks at the demand of a pool.
const sizePeriod = time.Minute

// smoothing is the weight of the newest look in the demand that counts as seen.
const smoothing = 0.1

// sizing is what a keeper remembers of one pool between two looks. A keeper that
// takes a pool over starts anew; what was learnt of the day is in the table.
type sizing struct {
	at    time.Time
	seen  float64
	bin   int64
	sum   float64
	looks int
}

// size looks at the demand of a pool, learns its day and chooses its size.
func (f *Fleet) size(ctx context.Context, v poolView) error {
	if v.pool.Spare {
		return nil
	}
	s, ok := f.sizings[v.account.Key()]
	if !ok {
		s = &sizing{}
		f.sizings[v.account.Key()] = s
	}
	if v.now.Sub(s.at) < sizePeriod {
		return nil
	}
	busy, known, err := f.busy(ctx, v)
	if err != nil || !known {
		return err
	}
	row, err := f.learn(ctx, v, s, busy)
	if err != nil {
		return err
	}
	account := v.account.Data()
	size := budget.NewRule(v.contract.Spec(), v.pool).Size(account)
	chosen := sizerOf(v).Size(size, s.seen, row)
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
	if v.now.Sub(f.demandAt) >= sizePeriod {
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

// learn adds one look to the open bin, writes the bin when it is closed, and
// returns the learnt day.
func (f *Fleet) learn(ctx context.Context, v poolView, s *sizing, busy float64) (glade.ShapeRow, error) {
	record, err := table.Load[glade.ShapeRow](ctx, f.config.Table, shapeKey(v))
	if err != nil {
		return glade.ShapeRow{}, err
	}
	if s.at.IsZero() {
		s.seen = busy
	}
	s.at = v.now
	s.seen += smoothing * (busy - s.seen)
	closed, mean := s.bin, s.sum/float64(max(s.looks, 1))
	isClosed := s.looks > 0 && shape.BinAt(v.now) > s.bin
	if s.bin != shape.BinAt(v.now) {
		s.bin, s.sum, s.looks = shape.BinAt(v.now), 0, 0
	}
	s.sum += busy
	s.looks++
	if !isClosed || record.Data().Bin >= closed {
		return record.Data(), nil
	}
	next := shape.Fold(record.Data(), closed, mean)
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
	for _, contract := range f.config.Book.All() {
		for _, pool := range contract.Spec().Pools {
			if !pool.Spare {
				continue
			}
			move := owner.Move{Customer: contract.Customer(), Pool: pool, Want: pool.Ceiling}
			done, err := f.take(ctx, v.now, place{v.contract.Customer(), v.pool}, move)
			if err != nil || done {
				return err
			}
		}
	}
	return nil
}
