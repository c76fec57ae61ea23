package loans

import (
	"context"

	glade "indigoglade"
	"indigoglade/table"
)

// prefixLender is followed by the node.
const prefixLender = "lender/"

// LenderRow tells whether a node's process may have loans outstanding. It is
// written before the first loan of a process, and when one stops without loans.
// A process that finds it unset need not ask every other node what an earlier
// one lent, and so uses its whole share at once, whoever is down.
type LenderRow struct {
	Lending bool `json:"lending"`
}

// marker is what is known of the own row.
type marker struct {
	record table.Record[LenderRow]
	known  bool
	// isSet tells that the row says lending, so that units may be lent.
	isSet bool
	// wanted tells that a peer asked for units.
	wanted  bool
	leaving bool
}

// read looks up what an earlier process of the node left behind.
func (l *Loans) read(ctx context.Context) {
	record, err := table.Load[LenderRow](ctx, l.config.Table, prefixLender+string(l.config.Peers.Self()))
	if err != nil {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	first := !l.mark.known
	l.mark.record = record
	l.mark.known = true
	if first && !record.Data().Lending {
		l.limiter.Settle()
	}
}

// write sets the row. Only a write that is known to have taken effect counts.
func (l *Loans) write(ctx context.Context, lending bool) {
	l.mu.Lock()
	record := l.mark.record
	l.mu.Unlock()
	batch := table.NewBatch()
	table.Replace(batch, record, LenderRow{Lending: lending})
	result, err := batch.Commit(ctx, l.config.Table)
	l.read(ctx)
	l.mu.Lock()
	defer l.mu.Unlock()
	l.mark.isSet = lending && err == nil && result == glade.Committed
}

// duty returns what to do about the row in this period.
func (l *Loans) duty() func(ctx context.Context) {
	l.mu.Lock()
	defer l.mu.Unlock()
	switch {
	case !l.mark.known:
		return l.read
	case l.mark.wanted && !l.mark.isSet && l.limiter.IsSettled() && !l.mark.leaving:
		return func(ctx context.Context) { l.write(ctx, true) }
	}
	return nil
}
