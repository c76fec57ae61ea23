package lead

import (
	"context"
	"encoding/json"
	"time"

	glade "indigoglade"
	"indigoglade/fence"
)

// tableOrdered holds, in the partition of the fleet pseudo-service, the hosts for
// which orders of a leader may be under way. It is used only where hosts don't check
// fencing tokens.
const tableOrdered = "sent"

// OrderedRow is the row with the hosts that the next leader may not order at once.
type OrderedRow struct {
	Orders []fence.Record `json:"orders"`
}

// loadOrdered closes the gate for the hosts that an earlier leader may have ordered; for
// all hosts if its row is invalid.
func (f *FleetLeader) loadOrdered(ctx context.Context) error {
	if f.gate == nil {
		return nil
	}
	found, err := f.manager.config.PartitionedTable.Get(ctx, tableOrdered, string(f.service), singletonKey)
	if err != nil {
		return err
	}
	if found.Version == 0 {
		return nil
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	uptime, now := f.clock.Uptime(), f.clock.Now()
	renewed := uptime - now.Sub(f.predecessorSeen)
	var row OrderedRow
	if err := json.Unmarshal(found.Value, &row); err != nil {
		f.manager.config.Log.Error(err, "row of ordered hosts is not valid JSON: no host is ordered until any order of the earlier leader is over")
		f.gate.LoadUnknown(renewed)
		return nil
	}
	f.gate.Load(row.Orders, renewed)
	f.savedOrders = len(row.Orders)
	longest := time.Duration(0)
	for _, record := range row.Orders {
		wait := f.gate.Remaining(record.Host, uptime)
		f.planner.Hold(record.Host, now.Add(wait))
		longest = max(longest, wait)
	}
	f.manager.config.Log.Info("hosts wait until orders of the earlier leader are over", "epoch", f.term.Epoch, "hosts", len(row.Orders), "wait", longest.Milliseconds())
	return nil
}

// record adds the row of ordered hosts to the write if hosts are added or dropped. The
// row is written only with a renewal of the term: the next leader counts its wait from
// the last renewal that it saw. The caller must hold the lock.
func (w *waveWriter) record() {
	f := w.fleet
	now := f.clock.Uptime()
	hosts := make([]glade.Host, 0, len(w.actions))
	for _, action := range w.actions {
		hosts = append(hosts, action.Host)
	}
	f.gate.Add(hosts, now)
	if len(w.actions) > 0 {
		w.expiry = fence.Expiry(now)
		w.renew = true
	}
	row := OrderedRow{Orders: f.gate.Row(now)}
	if w.renew && (len(w.actions) > 0 || len(row.Orders) != f.savedOrders) {
		f.savedOrders = len(row.Orders)
		w.puts = append(w.puts, glade.PartitionRow{Table: tableOrdered, Part: string(f.service), Key: singletonKey, Value: encodeRow(row)})
	}
}
