package lead

import (
	"context"
	"slices"

	glade "indigoglade"
)

// departed returns the services that have had a leader, are not in the contract and may have batches.
// The caller must hold the lock.
func (d *Directory) departed() []glade.Service {
	if len(d.services) == 0 {
		return nil
	}
	var list []glade.Service
	for service, e := range d.entries {
		if e.term.Epoch > 0 && !e.term.Ended && !slices.Contains(d.services, service) {
			list = append(list, service)
		}
	}
	slices.Sort(list)
	return list
}

// Departed returns the services that have left the contract and may have batches.
func (d *Directory) Departed() []glade.Service {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.departed()
}

// IsOver reports whether a service has left the contract and has no batches any more.
func (d *Directory) IsOver(service glade.Service) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	e, ok := d.entries[service]
	return ok && e.term.Ended && len(d.services) > 0 && !slices.Contains(d.services, service)
}

// NeedsLeader reports whether a service is in the contract, or has left it and may have batches.
func (d *Directory) NeedsLeader(service glade.Service) bool {
	services, _ := d.Services()
	return slices.Contains(services, service)
}

// listDeparted returns the services with a term that are not in the contract. Without an answer there are
// none: the feed tells of those that have a leader.
func (d *Directory) listDeparted(ctx context.Context, services []glade.Service) []glade.Service {
	if len(services) == 0 {
		return nil
	}
	parts, err := d.config.PartitionedTable.Partitions(ctx, tableTerm)
	if err != nil {
		d.config.Log.Info("services that have left the contract are not known", "error", err.Error())
		return nil
	}
	var departed []glade.Service
	for _, part := range parts {
		if service := glade.Service(part); !slices.Contains(services, service) {
			departed = append(departed, service)
		}
	}
	return departed
}
