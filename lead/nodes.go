package lead

import (
	"context"
	"encoding/json"

	"github.com/pkg/errors"

	glade "indigoglade"
)

// FollowNodes writes the row of this host and follows the rows of the other hosts
// until ctx ends.
func (d *Directory) FollowNodes(ctx context.Context) error {
	for ctx.Err() == nil {
		after, err := d.loadNodes(ctx)
		for err == nil && ctx.Err() == nil {
			var rows []glade.PartitionRow
			rows, after, err = d.config.PartitionedTable.Feed(ctx, tableNode, after, nodeFeedWait)
			d.applyNodes(rows)
		}
		if d.config.Clock.Sleep(ctx, feedRetryPause) != nil {
			return nil
		}
	}
	return nil
}

func (d *Directory) loadNodes(ctx context.Context) (int64, error) {
	rows, version, err := d.config.PartitionedTable.List(ctx, tableNode, nodesPartition)
	if err != nil {
		return 0, err
	}
	d.applyNodes(rows)
	own := glade.PartitionRow{Table: tableNode, Part: nodesPartition, Key: string(d.config.Self), Value: encodeRow(d.config.Row)}
	for _, row := range rows {
		if row.Key == own.Key && string(row.Value) == string(own.Value) {
			return version, nil
		}
	}
	if _, _, result := d.config.PartitionedTable.Commit(ctx, glade.PartitionTxn{Puts: []glade.PartitionRow{own}}); result != glade.Committed {
		return 0, errors.Errorf("node row of %s was not committed: %s", d.config.Self, result)
	}
	return version, nil
}

func (d *Directory) applyNodes(rows []glade.PartitionRow) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, row := range rows {
		if row.Deleted {
			delete(d.nodes, glade.Node(row.Key))
			continue
		}
		var node NodeRow
		if err := json.Unmarshal(row.Value, &node); err != nil {
			d.config.Log.Error(errors.WithStack(err), "node row is not valid JSON", "node", row.Key)
			continue
		}
		d.nodes[glade.Node(row.Key)] = node
	}
}
