package adopt

import (
	"context"
	"time"

	"github.com/pkg/errors"

	glade "indigoglade"
	"indigoglade/table"
)

// Fetch learns what is new in the table service, puts it in force and returns
// the number of contracts that came in force.
func Fetch(ctx context.Context, t glade.Table, book *Book, now time.Time) (int, error) {
	if err := Read(ctx, t, book, now); err != nil {
		return 0, err
	}
	return book.Enforce(), nil
}

// Read learns what is new in the table service without putting it in force. A
// book that is up to date costs one read.
func Read(ctx context.Context, t glade.Table, book *Book, now time.Time) error {
	head, err := table.Load[glade.HeadRow](ctx, t, glade.KeyHead)
	if err != nil {
		return err
	}
	count := head.Data().Count
	seen := book.Change()
	if count < seen {
		return errors.Errorf("the table service is at change %d, before change %d that is known", count, seen)
	}
	if count > seen {
		rows, err := fetchRows(ctx, t, seen)
		if err != nil {
			return err
		}
		book.Learn(rows, count)
	}
	book.Confirm(count, now)
	return nil
}

// fetchRows reads the contracts that changed after the change seen, or all of
// them for an empty book.
func fetchRows(ctx context.Context, t glade.Table, seen uint64) ([]glade.ContractRow, error) {
	if seen == 0 {
		return allRows(ctx, t)
	}
	changes, err := table.LoadAfter[glade.ChangeRow](ctx, t, glade.PrefixChange, changeKey(seen))
	if err != nil {
		return nil, err
	}
	customers := make(map[glade.Customer]bool)
	var rows []glade.ContractRow
	for _, change := range changes {
		customer := change.Data().Customer
		if customers[customer] {
			continue
		}
		customers[customer] = true
		record, err := table.Load[glade.ContractRow](ctx, t, glade.PrefixContract+string(customer))
		if err != nil {
			return nil, err
		}
		rows = append(rows, record.Data())
	}
	return rows, nil
}

func allRows(ctx context.Context, t glade.Table) ([]glade.ContractRow, error) {
	records, err := table.LoadAll[glade.ContractRow](ctx, t, glade.PrefixContract)
	if err != nil {
		return nil, err
	}
	rows := make([]glade.ContractRow, 0, len(records))
	for _, record := range records {
		rows = append(rows, record.Data())
	}
	return rows, nil
}
