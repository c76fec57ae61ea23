package burn

import (
	"sort"

	glade "indigoglade"
)

// Gap describes counts of one entry host that are missing from a report, in part
// or entirely.
type Gap struct {
	Node glade.Node `json:"node"`
	// Start identifies the incarnation; 0 if it is unknown.
	Start int64 `json:"start"`
	// Until is the time up to which the report includes the counts of the
	// incarnation, in Unix milliseconds; 0 if the report has none of them.
	Until int64 `json:"until"`
	Cause Cause `json:"cause"`
}

// Cause is the reason why counts are missing.
type Cause string

// Causes of gaps.
const (
	// Unreachable means that the entry host did not respond: its counts since
	// the last stored snapshot are missing.
	Unreachable Cause = "unreached"
	// Killed means that the incarnation ended without saving its final
	// snapshot.
	Killed Cause = "killed"
)

// Merged holds the latest snapshot of each incarnation and the gaps.
type Merged struct {
	snapshots []Snapshot
	gaps      []Gap
}

// Snapshots returns one snapshot for each incarnation, ordered by table key.
func (m Merged) Snapshots() []Snapshot { return m.snapshots }

// Gaps returns the missing counts, ordered by node and start.
func (m Merged) Gaps() []Gap { return m.gaps }

// Merge merges the snapshots reported by the reachable entry hosts (live) with
// those stored in the table service. For each incarnation the latest snapshot
// is used. Nodes in unreachable did not respond.
func Merge(live, stored []Snapshot, unreachable []glade.Node) Merged {
	newest := make(map[Incarnation]Snapshot)
	for _, s := range append(append([]Snapshot(nil), stored...), live...) {
		if s.At >= newest[s.Incarnation].At {
			newest[s.Incarnation] = s
		}
	}
	isLive := make(map[Incarnation]bool)
	for _, s := range live {
		isLive[s.Incarnation] = true
	}
	latest := latestIncarnations(newest, unreachable)
	var g Merged
	for i, s := range newest {
		g.snapshots = append(g.snapshots, s)
		if !s.Final && !isLive[i] && latest[i.Node] != i {
			g.gaps = append(g.gaps, Gap{Node: i.Node, Start: i.Start, Until: s.At, Cause: Killed})
		}
	}
	for _, node := range unreachable {
		if s := newest[latest[node]]; !s.Final {
			g.gaps = append(g.gaps, Gap{Node: node, Start: latest[node].Start, Until: s.At, Cause: Unreachable})
		}
	}
	sort.Slice(g.snapshots, func(i, j int) bool { return g.snapshots[i].Incarnation.Key() < g.snapshots[j].Incarnation.Key() })
	sort.Slice(g.gaps, func(i, j int) bool {
		if g.gaps[i].Node != g.gaps[j].Node {
			return g.gaps[i].Node < g.gaps[j].Node
		}
		return g.gaps[i].Start < g.gaps[j].Start
	})
	return g
}

// latestIncarnations returns the latest known incarnation of each unreachable
// node. It may still be running, so it is not reported as killed.
func latestIncarnations(newest map[Incarnation]Snapshot, unreachable []glade.Node) map[glade.Node]Incarnation {
	latest := make(map[glade.Node]Incarnation)
	for _, node := range unreachable {
		latest[node] = Incarnation{Node: node}
		for i := range newest {
			if i.Node == node && i.Start > latest[node].Start {
				latest[node] = i
			}
		}
	}
	return latest
}
