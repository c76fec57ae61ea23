package adopt

import (
	"context"
	"fmt"

	"github.com/pkg/errors"

	glade "indigoglade"
	"indigoglade/table"
)

// Acceptance is the result of committing contracts to the table service.
type Acceptance struct {
	result   glade.CommitResult
	version  uint64
	customer glade.Customer
	current  glade.ContractRow
}

// Result returns the result of the transaction.
func (a Acceptance) Result() glade.CommitResult { return a.result }

// Version returns the version of the first contract, if the contracts were
// committed.
func (a Acceptance) Version() uint64 { return a.version }

// Customer returns the customer whose contract conflicted; empty without conflict.
func (a Acceptance) Customer() glade.Customer { return a.customer }

// CurrentContract returns the contract that another operator committed first,
// if the result is a conflict.
func (a Acceptance) CurrentContract() glade.ContractRow { return a.current }

// maxCommitTries is how often the transaction is tried when contracts of other
// customers are committed in between and take the next change number.
const maxCommitTries = 8

// Offer is a new contract of a customer and the version that it was edited from.
// Versions count from 1; the edited version is 0 for a customer without a contract.
type Offer struct {
	Spec        glade.ContractSpec
	BaseVersion uint64
}

// Accept commits one contract as the version after baseVersion. The result is a
// conflict when the customer's contract is no longer at baseVersion.
func Accept(ctx context.Context, t glade.Table, spec glade.ContractSpec, baseVersion uint64) (Acceptance, error) {
	return AcceptAll(ctx, t, []Offer{{Spec: spec, BaseVersion: baseVersion}})
}

// AcceptAll commits all offers in one transaction, or none of them. The version
// in the result is that of the first offer's contract. It returns an error when
// the table service can't be read, or when other contract changes were committed
// in between on every try.
func AcceptAll(ctx context.Context, t glade.Table, offers []Offer) (Acceptance, error) {
	for range maxCommitTries {
		currents := make([]table.Record[glade.ContractRow], len(offers))
		for i, offer := range offers {
			current, err := table.Load[glade.ContractRow](ctx, t, glade.PrefixContract+string(offer.Spec.Customer))
			if err != nil {
				return Acceptance{result: glade.Unavailable}, err
			}
			if current.Data().Version != offer.BaseVersion {
				return Acceptance{result: glade.Conflicted, customer: offer.Spec.Customer, current: current.Data()}, nil
			}
			currents[i] = current
		}
		result, err := accept(ctx, t, offers, currents)
		if err != nil || result != glade.Conflicted {
			return Acceptance{result: result, version: offers[0].BaseVersion + 1}, err
		}
	}
	return Acceptance{result: glade.Unavailable}, errors.New("too many concurrent contract changes; apply again")
}

// accept commits the contracts with one change row each. The transaction is
// conditional on the head row, which counts the changes, so that two operators
// never use the same change number.
func accept(ctx context.Context, t glade.Table, offers []Offer, currents []table.Record[glade.ContractRow]) (glade.CommitResult, error) {
	head, err := table.Load[glade.ContractHeadRow](ctx, t, glade.KeyContractHead)
	if err != nil {
		return glade.Unavailable, err
	}
	batch := table.NewBatch()
	change := head.Data().Count
	for i, offer := range offers {
		change++
		changeRecord, err := table.Load[glade.ChangeRow](ctx, t, changeKey(change))
		if err != nil {
			return glade.Unavailable, err
		}
		version := currents[i].Data().Version + 1
		table.Replace(batch, currents[i], glade.ContractRow{Version: version, Change: change, Spec: offer.Spec})
		table.Replace(batch, changeRecord, glade.ChangeRow{Customer: offer.Spec.Customer, Version: version})
	}
	table.Replace(batch, head, glade.ContractHeadRow{Count: change})
	return batch.Commit(ctx, t)
}

// changeKey returns the key of a change row. The number is padded to twenty
// digits, so that the keys sort in the order of the numbers:
// change/00000000000000000009 comes before change/00000000000000000010.
func changeKey(change uint64) string {
	return fmt.Sprintf("%s%020d", glade.PrefixChange, change)
}
