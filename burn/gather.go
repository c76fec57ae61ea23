package burn

import (
	"sort"

	glade "indigoglade"
)

// Gap is counts that a report lacks, wholly or in part.
type Gap struct {
	Node glade.Node `json:"node"`
	// Start names the incarnation; 0 when it is not known.
	Start int64 `json:"start"`
	// Until is the time up to which its counts are in the report, in
	// milliseconds since 1970; 0 when there are none.
	Until int64 `json:"until"`
	Cause Cause `json:"cause"`
}

// Cause tells why counts are missing.
type Cause string

// Causes of gaps.
const (
	// Unreached means that the entry host did not answer; counts since Until
	// are missing.
	Unreached Cause = "unreached"
	// Killed means that the incarnation ended without handing over its last
	// counts.
	Killed Cause = "killed"
)

// Gathered is the newest counts of every incarnation, and what is missing.
type Gathered struct {
	snapshots []Snapshot
	gaps      []Gap
}

// Snapshots returns one snapshot for each incarnation.
func (g Gathered) Snapshots() []Snapshot { return g.snapshots }

// Gaps returns what is missing, ordered by node.
func (g Gathered) Gaps() []Gap { return g.gaps }

// Gather joins the answers of the entry hosts that were reached with the
// snapshots that the table service keeps. Each incarnation counts once, with
// its later snapshot.
func Gather(live, kept []Snapshot, unreached []glade.Node) Gathered {
	newest := make(map[Incarnation]Snapshot)
	for _, s := range append(append([]Snapshot(nil), kept...), live...) {
		if s.At >= newest[s.Incarnation].At {
			newest[s.Incarnation] = s
		}
	}
	isLive := make(map[Incarnation]bool)
	for _, s := range live {
		isLive[s.Incarnation] = true
	}
	last := latestOf(newest, unreached)
	var g Gathered
	for i, s := range newest {
		g.snapshots = append(g.snapshots, s)
		if !s.Final && !isLive[i] && last[i.Node] != i {
			g.gaps = append(g.gaps, Gap{Node: i.Node, Start: i.Start, Until: s.At, Cause: Killed})
		}
	}
	for _, node := range unreached {
		if s := newest[last[node]]; !s.Final {
			g.gaps = append(g.gaps, Gap{Node: node, Start: last[node].Start, Until: s.At, Cause: Unreached})
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

// latestOf returns the newest known incarnation of each unreached node: it may
// still be alive.
func latestOf(newest map[Incarnation]Snapshot, unreached []glade.Node) map[glade.Node]Incarnation {
	last := make(map[glade.Node]Incarnation)
	for _, node := range unreached {
		last[node] = Incarnation{Node: node}
		for i := range newest {
			if i.Node == node && i.Start > last[node].Start {
				last[node] = i
			}
		}
	}
	return last
}
