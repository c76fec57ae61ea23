package adopt

import (
	"context"
	"time"

	glade "indigoglade"
	"indigoglade/table"
)

// Fetch brings the book up to date from the table service and returns the
// number of contracts that came in force. A book that is up to date costs one
// read.
func Fetch(ctx context.Context, t glade.Table, book *Book, now time.Time) (int, error) {
	head, err := table.Load[glade.HeadRow](ctx, t, glade.KeyHead)
	if err != nil {
		return 0, err
	}
	count := head.Data().Count
	seen := book.Change()
	if count <= seen {
		book.Confirm(count, now)
		return 0, nil
	}
	rows, err := fetchRows(ctx, t, seen)
	if err != nil {
		return 0, err
	}
	adopted := 0
	for _, row := range rows {
		if book.Adopt(glade.NewContract(row.Spec, row.Version)) {
			adopted++
		}
	}
	book.Confirm(count, now)
	return adopted, nil
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
