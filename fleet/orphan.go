package fleet

import (
	"context"
	"time"

	glade "indigoglade"
	"indigoglade/owner"
)

// orphansOf returns the pools that have members and that no contract in force
// names any more.
func (c *Controller) orphansOf(accounts []owner.Account) []poolRef {
	var orphans []poolRef
	for _, account := range accounts {
		row := account.Data()
		contract, known := c.config.Registry.Find(row.Customer)
		if _, named := contract.Pool(row.Pool); !known || named || len(row.Members) == 0 {
			continue
		}
		orphans = append(orphans, poolRef{customer: row.Customer, pool: glade.PoolSpec{Name: row.Pool}})
	}
	return orphans
}

// emptyOrphan continues the steps on the hosts of a pool that no contract names
// any more, and moves the hosts to spare pools. Nothing is promised for the
// pool, so the moves wait only for the work of its hosts. This is done by the
// keeper that assigns hosts to pools.
func (c *Controller) emptyOrphan(ctx context.Context, now time.Time, orphan poolRef) error {
	account, err := c.account(ctx, orphan.customer, orphan.pool.Name)
	if err != nil {
		return err
	}
	contract, known := c.config.Registry.Find(orphan.customer)
	if !known {
		return nil
	}
	for host := range account.Data().Members {
		record, err := owner.LoadHost(ctx, c.config.Table, host)
		if err != nil {
			return err
		}
		// No contract names the pool's service any more, but the rows of its
		// hosts do.
		orphan.pool.Serve = record.Data().Service
		break
	}
	v := poolView{now: now, contract: contract, pool: orphan.pool, account: account}
	if err := c.reconcileMembers(ctx, v); err != nil {
		return err
	}
	return c.shrink(ctx, v)
}
