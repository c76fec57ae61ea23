package loans

import (
	"context"

	glade "indigoglade"
	"indigoglade/table"
)

// prefixLender begins the key of a node's lender row and is followed by the
// node.
const prefixLender = "lender/"

// LenderRow records whether a node's process may have loans outstanding. It is
// set before the first loan of a process, and cleared when a process stops
// without outstanding loans. A process that finds it clear need not ask every
// other node what an earlier process lent, and so uses its whole share at once
// even if other nodes are down.
type LenderRow struct {
	Lending bool `json:"lending"`
}

// rowState is what this process knows of its node's lender row.
type rowState struct {
	record table.Record[LenderRow]
	loaded bool
	// mayLend tells that the row is known to be set, so that units may be lent.
	mayLend bool
	// requested tells that another entry host asked for units.
	requested bool
	leaving   bool
}

// loadRow reads the row. If the first read finds it clear, no earlier process
// of the node has loans outstanding.
func (e *Exchange) loadRow(ctx context.Context) {
	record, err := table.Load[LenderRow](ctx, e.config.Table, prefixLender+string(e.config.Peers.Self()))
	if err != nil {
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	first := !e.row.loaded
	e.row.record = record
	e.row.loaded = true
	if first && !record.Data().Lending {
		e.limiter.SkipRecovery()
	}
}

// writeRow writes the row. Units may be lent only after a write that is known
// to have been committed.
func (e *Exchange) writeRow(ctx context.Context, lending bool) {
	e.mu.Lock()
	record := e.row.record
	e.mu.Unlock()
	batch := table.NewBatch()
	table.Replace(batch, record, LenderRow{Lending: lending})
	result, err := batch.Commit(ctx, e.config.Table)
	e.loadRow(ctx)
	e.mu.Lock()
	defer e.mu.Unlock()
	e.row.mayLend = lending && err == nil && result == glade.Committed
}

// nextAccess returns the read or write of the row that is due in this period,
// or nil.
func (e *Exchange) nextAccess() func(ctx context.Context) {
	e.mu.Lock()
	defer e.mu.Unlock()
	switch {
	case !e.row.loaded:
		return e.loadRow
	case e.row.requested && !e.row.mayLend && e.limiter.IsRecovered() && !e.row.leaving:
		return func(ctx context.Context) { e.writeRow(ctx, true) }
	}
	return nil
}
