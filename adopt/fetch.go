package adopt

import (
	"context"
	"time"

	"github.com/pkg/errors"

	glade "indigoglade"
	"indigoglade/table"
)

// RefreshAndActivate reads new contract versions from the table service, activates
// them and returns the number of customers whose active contract changed.
func RefreshAndActivate(ctx context.Context, t glade.Table, registry *Registry, now time.Time) (int, error) {
	if err := Refresh(ctx, t, registry, now); err != nil {
		return 0, err
	}
	return registry.ActivatePending(), nil
}

// Refresh reads new contract versions from the table service and leaves them
// pending. When there are none, it reads a single row. It returns an error when the
// table service can't be read, or is behind the last change that is known here.
func Refresh(ctx context.Context, t glade.Table, registry *Registry, now time.Time) error {
	head, err := table.Load[glade.ContractHeadRow](ctx, t, glade.KeyContractHead)
	if err != nil {
		return err
	}
	count := head.Data().Count
	known := registry.Change()
	if count < known {
		return errors.Errorf("the table service reports contract change %d, but change %d is already known", count, known)
	}
	if count > known {
		rows, err := readChangedRows(ctx, t, known)
		if err != nil {
			return err
		}
		registry.AddVersions(rows, count)
	}
	registry.Confirm(count, now)
	return nil
}

// readChangedRows reads the contracts that changed after the change known, or all
// of them when known is 0.
func readChangedRows(ctx context.Context, t glade.Table, known uint64) ([]glade.ContractRow, error) {
	if known == 0 {
		return readAllRows(ctx, t)
	}
	changes, err := table.LoadAfter[glade.ChangeRow](ctx, t, glade.PrefixChange, changeKey(known))
	if err != nil {
		return nil, err
	}
	done := make(map[glade.Customer]bool)
	var rows []glade.ContractRow
	for _, change := range changes {
		customer := change.Data().Customer
		if done[customer] {
			continue
		}
		done[customer] = true
		record, err := table.Load[glade.ContractRow](ctx, t, glade.PrefixContract+string(customer))
		if err != nil {
			return nil, err
		}
		rows = append(rows, record.Data())
	}
	return rows, nil
}

func readAllRows(ctx context.Context, t glade.Table) ([]glade.ContractRow, error) {
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
