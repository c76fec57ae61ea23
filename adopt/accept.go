package adopt

import (
	"context"
	"fmt"

	"github.com/pkg/errors"

	glade "indigoglade"
	"indigoglade/table"
)

// Acceptance is the result of offering a contract to the table service.
type Acceptance struct {
	result  glade.Commit
	version uint64
	current glade.ContractRow
}

// Result tells whether the contract was committed.
func (a Acceptance) Result() glade.Commit { return a.result }

// Version returns the version of the committed contract.
func (a Acceptance) Version() uint64 { return a.version }

// Current returns the contract that another operator committed first, when the
// result is Conflicted.
func (a Acceptance) Current() glade.ContractRow { return a.current }

// headTries bounds how often the count of changes is fetched again because
// another customer's contract was committed in between.
const headTries = 8

// Accept commits spec as the version after seen. It conflicts when the
// customer's contract is no longer at version seen. Versions count from 1;
// seen is 0 for a customer without a contract.
func Accept(ctx context.Context, t glade.Table, spec glade.ContractSpec, seen uint64) (Acceptance, error) {
	for range headTries {
		current, err := table.Load[glade.ContractRow](ctx, t, glade.PrefixContract+string(spec.Customer))
		if err != nil {
			return Acceptance{result: glade.Unavailable}, err
		}
		if current.Data().Version != seen {
			return Acceptance{result: glade.Conflicted, current: current.Data()}, nil
		}
		result, err := accept(ctx, t, spec, current)
		if err != nil || result != glade.Conflicted {
			return Acceptance{result: result, version: seen + 1}, err
		}
	}
	return Acceptance{result: glade.Unavailable}, errors.New("too many contract changes at once; apply again")
}

func accept(ctx context.Context, t glade.Table, spec glade.ContractSpec, current table.Record[glade.ContractRow]) (glade.Commit, error) {
	head, err := table.Load[glade.HeadRow](ctx, t, glade.KeyHead)
	if err != nil {
		return glade.Unavailable, err
	}
	change := head.Data().Count + 1
	slot, err := table.Load[glade.ChangeRow](ctx, t, changeKey(change))
	if err != nil {
		return glade.Unavailable, err
	}
	version := current.Data().Version + 1
	batch := table.NewBatch()
	table.Replace(batch, current, glade.ContractRow{Version: version, Change: change, Spec: spec})
	table.Replace(batch, head, glade.HeadRow{Count: change})
	table.Replace(batch, slot, glade.ChangeRow{Customer: spec.Customer, Version: version})
	return batch.Commit(ctx, t)
}

// changeKey returns the key of a change. Twenty digits keep the keys in the
// order of the numbers: change/00000000000000000009 comes before
// change/00000000000000000010.
func changeKey(change uint64) string {
	return fmt.Sprintf("%s%020d", glade.PrefixChange, change)
}
