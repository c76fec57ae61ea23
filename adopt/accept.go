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
	result   glade.Commit
	version  uint64
	customer glade.Customer
	current  glade.ContractRow
}

// Result tells whether the contract was committed.
func (a Acceptance) Result() glade.Commit { return a.result }

// Version returns the version of the committed contract.
func (a Acceptance) Version() uint64 { return a.version }

// Customer returns the customer whose contract conflicted.
func (a Acceptance) Customer() glade.Customer { return a.customer }

// Current returns the contract that another operator committed first, when the
// result is Conflicted.
func (a Acceptance) Current() glade.ContractRow { return a.current }

// headTries bounds how often the count of changes is fetched again because
// another customer's contract was committed in between.
const headTries = 8

// Offer is a contract and the version that the change was made from. Versions
// count from 1; Seen is 0 for a customer without a contract.
type Offer struct {
	Spec glade.ContractSpec
	Seen uint64
}

// Accept commits one contract as the version after seen. It conflicts when the
// customer's contract is no longer at version seen.
func Accept(ctx context.Context, t glade.Table, spec glade.ContractSpec, seen uint64) (Acceptance, error) {
	return AcceptAll(ctx, t, []Offer{{Spec: spec, Seen: seen}})
}

// AcceptAll commits every offer or none of them, in one transaction. The
// version of the result is that of the first offer.
func AcceptAll(ctx context.Context, t glade.Table, offers []Offer) (Acceptance, error) {
	for range headTries {
		currents := make([]table.Record[glade.ContractRow], len(offers))
		for i, offer := range offers {
			current, err := table.Load[glade.ContractRow](ctx, t, glade.PrefixContract+string(offer.Spec.Customer))
			if err != nil {
				return Acceptance{result: glade.Unavailable}, err
			}
			if current.Data().Version != offer.Seen {
				return Acceptance{result: glade.Conflicted, customer: offer.Spec.Customer, current: current.Data()}, nil
			}
			currents[i] = current
		}
		result, err := accept(ctx, t, offers, currents)
		if err != nil || result != glade.Conflicted {
			return Acceptance{result: result, version: offers[0].Seen + 1}, err
		}
	}
	return Acceptance{result: glade.Unavailable}, errors.New("too many contract changes at once; apply again")
}

// accept writes every contract with its own change. The head row that counts
// the changes is a condition, so that two operators never share a number.
func accept(ctx context.Context, t glade.Table, offers []Offer, currents []table.Record[glade.ContractRow]) (glade.Commit, error) {
	head, err := table.Load[glade.HeadRow](ctx, t, glade.KeyHead)
	if err != nil {
		return glade.Unavailable, err
	}
	batch := table.NewBatch()
	change := head.Data().Count
	for i, offer := range offers {
		change++
		slot, err := table.Load[glade.ChangeRow](ctx, t, changeKey(change))
		if err != nil {
			return glade.Unavailable, err
		}
		version := currents[i].Data().Version + 1
		table.Replace(batch, currents[i], glade.ContractRow{Version: version, Change: change, Spec: offer.Spec})
		table.Replace(batch, slot, glade.ChangeRow{Customer: offer.Spec.Customer, Version: version})
	}
	table.Replace(batch, head, glade.HeadRow{Count: change})
	return batch.Commit(ctx, t)
}

// changeKey returns the key of a change. Twenty digits keep the keys in the
// order of the numbers: change/00000000000000000009 comes before
// change/00000000000000000010.
func changeKey(change uint64) string {
	return fmt.Sprintf("%s%020d", glade.PrefixChange, change)
}
