package fleet

import (
	"context"
	"time"

	glade "indigoglade"
	"indigoglade/owner"
)

// orphansOf returns the pools that have members and that no contract in force
// names any more.
func (f *Fleet) orphansOf(accounts []owner.Account) []place {
	var orphans []place
	for _, account := range accounts {
		row := account.Data()
		contract, known := f.config.Book.Find(row.Customer)
		if _, named := contract.Pool(row.Pool); !known || named || len(row.Members) == 0 {
			continue
		}
		orphans = append(orphans, place{customer: row.Customer, pool: glade.PoolSpec{Name: row.Pool}})
	}
	return orphans
}

// empty follows the hosts of a pool that is no longer named, and moves them to
// the spare pools. Nothing is promised for the pool, so only its hosts' work
// sets the pace. The keeper that searches the accounts has the duty.
func (f *Fleet) empty(ctx context.Context, now time.Time, orphan place) error {
	account, err := f.account(ctx, orphan.customer, orphan.pool.Name)
	if err != nil {
		return err
	}
	contract, known := f.config.Book.Find(orphan.customer)
	if !known {
		return nil
	}
	for host := range account.Data().Members {
		record, err := owner.LoadHost(ctx, f.config.Table, host)
		if err != nil {
			return err
		}
		// The service is in no contract any more, but in the hosts' rows.
		orphan.pool.Serve = record.Data().Service
		break
	}
	v := poolView{now: now, contract: contract, pool: orphan.pool, account: account}
	if err := f.followAll(ctx, v); err != nil {
		return err
	}
	return f.shrink(ctx, v)
}
