package peers

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	glade "indigoglade"
	"indigoglade/memory"
)

// newTestNet returns a small network in which every process knows one contract.
func newTestNet(t *testing.T) *fakeNet {
	t.Helper()
	n, err := newStartedNetWith(1, smallZones, smallPerZone, 1)
	qt.Assert(t, err, qt.IsNil)
	return n
}

func (n *fakeNet) commitChange(t *testing.T, seen uint64) {
	t.Helper()
	qt.Assert(t, n.accept(customer(0), seen), qt.IsNil)
}

// expectVersion checks which contract version is in force at some nodes; 0 means none.
func (n *fakeNet) expectVersion(t *testing.T, want uint64, nodes ...glade.Node) {
	t.Helper()
	for _, node := range nodes {
		contract, _ := n.processes[node].registry.Find(customer(0))
		qt.Check(t, contract.Version(), qt.Equals, want, qt.Commentf("node %s", node))
	}
}

// expectLive checks how many nodes a node considers live.
func (n *fakeNet) expectLive(t *testing.T, node glade.Node, want int) {
	t.Helper()
	qt.Check(t, n.processes[node].node.Live(), qt.HasLen, want, qt.Commentf("at %s", node))
}

func (n *fakeNet) expectAge(t *testing.T, node glade.Node, least time.Duration) {
	t.Helper()
	age, confirmed := n.processes[node].registry.Age(n.now)
	qt.Check(t, confirmed, qt.IsTrue)
	qt.Check(t, age >= least, qt.IsTrue, qt.Commentf("age %s at %s", age, node))
}

func TestRestartAfterTheOnlyProcessThatReadAVersionDied(t *testing.T) {
	n := newTestNet(t)
	n.commitChange(t, 1)
	for n.processes["e00"].newestVersion[customer(0)] < 2 {
		n.run(time.Millisecond)
	}
	n.table.SetMode(memory.Down)
	n.start("e00")
	n.run(10 * time.Second)
	n.expectVersion(t, 2, "e00")
	n.expectAge(t, "e00", 9*time.Second)
}

func TestStartWhileTheTableIsDown(t *testing.T) {
	n := newTestNet(t)
	n.table.SetMode(memory.Down)
	n.start("e04")
	n.run(10 * time.Second)
	n.expectVersion(t, 1, "e04")
	n.expectAge(t, "e04", 10*time.Second)
}

func TestStartOfAllWhileTheTableIsDown(t *testing.T) {
	n := newTestNet(t)
	n.table.SetMode(memory.Down)
	for _, node := range n.names {
		n.start(node)
	}
	n.run(10 * time.Second)
	n.expectVersion(t, 0, n.names...)
	n.table.SetMode(memory.Up)
	n.run(10 * time.Second)
	n.expectVersion(t, 1, n.names...)
}

func TestStartOfAWholeZoneWhileTheTableIsDown(t *testing.T) {
	n := newTestNet(t)
	n.table.SetMode(memory.Down)
	for _, node := range []glade.Node{"e00", "e01", "e02"} {
		n.start(node)
	}
	n.run(20 * time.Second)
	n.expectVersion(t, 1, "e00", "e01", "e02")
}

func TestZoneThatRejoinsWithAnOldVersion(t *testing.T) {
	n := newTestNet(t)
	n.isCut = func(a, b glade.Zone) bool { return a != b && (a == "z0" || b == "z0") }
	n.commitChange(t, 1)
	n.run(20 * time.Minute)
	n.expectVersion(t, 1, "e00", "e01", "e02")
	n.expectVersion(t, 2, "e03", "e08")
	n.expectAge(t, "e00", 20*time.Minute)
	n.expectLive(t, "e00", 3)
	n.expectLive(t, "e03", 6)
	n.isCut = func(a, b glade.Zone) bool { return a != b && (a == platform || b == platform) }
	n.run(30 * time.Second)
	n.expectVersion(t, 2, n.names...)
	n.expectLive(t, "e00", 9)
	n.expectLive(t, "e03", 9)
}

func TestMembersThatDieAndLeave(t *testing.T) {
	n := newTestNet(t)
	n.processes["e08"].stopped = true
	n.run(20 * time.Second)
	n.expectLive(t, "e00", 8)
	left := n.processes["e07"]
	n.perform(left, left.node.Leave())
	left.stopped = true
	n.run(time.Second)
	n.expectLive(t, "e06", 7)
	n.start("e07")
	n.start("e08")
	n.run(20 * time.Second)
	n.expectLive(t, "e00", 9)
}

func TestEndedEndpointStaysEndedForAProcessThatStarts(t *testing.T) {
	n := newTestNet(t)
	endpoint := glade.Endpoint{Host: "h1", Incarnation: 3}
	n.perform(n.processes["e00"], n.processes["e00"].node.EndpointLeaving(endpoint))
	n.run(time.Minute)
	n.start("e05")
	n.run(5 * time.Second)
	_, known := n.processes["e05"].endpointEnds[endpoint]
	qt.Check(t, known, qt.IsTrue)
}
