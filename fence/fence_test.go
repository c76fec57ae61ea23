package fence_test

import (
	"fmt"
	"math"
	"slices"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	glade "indigoglade"
	"indigoglade/fence"
	"indigoglade/seeds"
)

const (
	lease = 3 * time.Second
	// longestWait bounds how long a host may be closed.
	longestWait = lease + 2*time.Second
)

func TestGate(t *testing.T) {
	t.Run("is open for a host that no earlier leader has ordered", func(t *testing.T) {
		g := fence.New(fence.Config{Lease: lease})
		g.Load([]fence.Record{{Host: "a"}}, 0)
		qt.Assert(t, g.Remaining("b", 0), qt.Equals, time.Duration(0))
	})
	t.Run("waits longer than an order may be under way and the lease", func(t *testing.T) {
		g := fence.New(fence.Config{Lease: lease})
		g.Load([]fence.Record{{Host: "a"}, {Host: "b", AgeMs: 1000}}, 0)
		qt.Assert(t, g.Remaining("a", fence.Window+lease) > 0, qt.IsTrue)
		qt.Assert(t, g.Remaining("a", 0)-g.Remaining("b", 0), qt.Equals, time.Second)
		qt.Assert(t, g.Remaining("a", longestWait), qt.Equals, time.Duration(0))
	})
	t.Run("is closed for every host after a row that can't be read", func(t *testing.T) {
		g := fence.New(fence.Config{Lease: lease})
		g.LoadUnknown(0)
		qt.Assert(t, g.Remaining("a", lease) > 0, qt.IsTrue)
		qt.Assert(t, g.Remaining("a", longestWait), qt.Equals, time.Duration(0))
	})
	t.Run("names its own orders and those that it waits for, until they are over", func(t *testing.T) {
		g := fence.New(fence.Config{Lease: lease})
		g.Load([]fence.Record{{Host: "b", AgeMs: 200}}, 0)
		g.Add([]glade.Host{"a"}, time.Second)
		qt.Assert(t, g.Row(2*time.Second), qt.DeepEquals, []fence.Record{{Host: "a", AgeMs: 1000}, {Host: "b", AgeMs: 2200}})
		qt.Assert(t, g.Row(longestWait), qt.HasLen, 1)
		qt.Assert(t, g.Row(time.Second+longestWait), qt.HasLen, 0)
	})
}

// world is a table row, two hosts that check no fencing token, and leaders that take
// over from each other at any moment. Each leader's uptime runs up to 2 % off; leaders
// are suspended between any two of their actions, lose answers of the store and
// requests, and orders arrive late.
type world struct {
	t       *rapid.T
	now     time.Duration
	epoch   int64
	row     []fence.Record
	renewed time.Duration // when the term was last renewed
	leaders []*leader
	writes  []write
	// underWay holds the orders that may still arrive.
	underWay []order
	last     map[glade.Host]order
	ignore   bool // leaders ignore the gate
	broken   string
}

type leader struct {
	epoch int64
	rate  float64 // of the uptime
	gate  *fence.Gate
	// suspendedUntil is when the leader acts again.
	suspendedUntil time.Duration
	// permitted maps the hosts whose record is confirmed to the expiry of the orders.
	permitted map[glade.Host]time.Duration
	pending   bool // a write of this leader has no answer yet
	deposed   bool
}

// write is a conditional write of a leader that the store carries out at a later time.
type write struct {
	at      time.Duration
	by      *leader
	row     []fence.Record
	hosts   []glade.Host
	expiry  time.Duration
	answers bool
}

type order struct {
	at    time.Duration // when it arrives
	host  glade.Host
	epoch int64
}

func (l *leader) uptime(now time.Duration) time.Duration {
	return time.Duration(float64(now) * l.rate)
}

// maxTransit is how late an order arrives at most, after its connection is reset.
const maxTransit = 500 * time.Millisecond

func (w *world) claim() {
	w.epoch++
	l := &leader{
		epoch: w.epoch, rate: rapid.Float64Range(0.98, 1.02).Draw(w.t, "rate"), gate: fence.New(fence.Config{Lease: lease}),
		permitted: make(map[glade.Host]time.Duration),
	}
	seen := min(w.renewed+delay(w.t, time.Second), w.now)
	l.gate.Load(w.row, l.uptime(seen))
	w.leaders = append(w.leaders, l)
	w.renewed = w.now
}

// record starts the write that names the hosts which a leader wants to order.
func (w *world) record(l *leader, host glade.Host) {
	now := l.uptime(w.now)
	if l.pending || l.deposed || (!w.ignore && l.gate.Remaining(host, now) > 0) {
		return
	}
	l.gate.Add([]glade.Host{host}, now)
	l.pending = true
	w.writes = append(w.writes, write{
		at: w.now + delay(w.t, 1500*time.Millisecond), by: l, row: l.gate.Row(now), hosts: []glade.Host{host},
		expiry: fence.Expiry(now), answers: rapid.IntRange(0, 4).Draw(w.t, "answer") > 0,
	})
}

// send sends an order whose record is confirmed, unless it has expired. Its bytes may
// wait in a cut link until the connection is reset at its expiry.
func (w *world) send(l *leader, host glade.Host) {
	expiry, ok := l.permitted[host]
	now := l.uptime(w.now)
	if !ok || now >= expiry {
		return
	}
	held := time.Duration(float64(expiry-now) / l.rate * float64(rapid.IntRange(0, 2).Draw(w.t, "held")) / 2)
	w.underWay = append(w.underWay, order{at: w.now + held + delay(w.t, maxTransit), host: host, epoch: l.epoch})
}

// delay draws a time of at most limit; short ones are as likely as long ones.
func delay(t *rapid.T, limit time.Duration) time.Duration {
	return time.Duration(math.Pow(float64(rapid.IntRange(0, 10).Draw(t, "delay"))/10, 2) * float64(limit))
}

func (w *world) advance(d time.Duration) {
	for end := w.now + d; w.now < end; w.now += 10 * time.Millisecond {
		for i := 0; i < len(w.writes); i++ {
			if x := w.writes[i]; x.at <= w.now {
				w.writes = slices.Delete(w.writes, i, i+1)
				i--
				w.carryOut(x)
			}
		}
		for i := 0; i < len(w.underWay); i++ {
			if o := w.underWay[i]; o.at <= w.now {
				w.underWay = slices.Delete(w.underWay, i, i+1)
				i--
				w.arrive(o)
			}
		}
	}
}

func (w *world) carryOut(x write) {
	x.by.pending = false
	if x.by.epoch != w.epoch {
		x.by.deposed = true // the condition on the term fails
		return
	}
	w.row, w.renewed = x.row, w.now
	if x.answers {
		for _, host := range x.hosts {
			x.by.permitted[host] = x.expiry
		}
	}
}

func (w *world) arrive(o order) {
	last, ok := w.last[o.host]
	switch {
	case ok && o.epoch < last.epoch:
		w.broken = fmt.Sprintf("order of leader %d after one of leader %d", o.epoch, last.epoch)
	case ok && o.epoch != last.epoch && o.at-last.at < lease:
		w.broken = fmt.Sprintf("orders of leaders %d and %d within %s", last.epoch, o.epoch, o.at-last.at)
	}
	w.last[o.host] = o
}

// maxLeaders is the number of leaders in one schedule.
const maxLeaders = 3

// play runs one random schedule and returns what went wrong.
func play(t *rapid.T, ignore bool) string {
	w := &world{t: t, last: make(map[glade.Host]order), ignore: ignore}
	w.claim()
	for range rapid.IntRange(20, 100).Draw(t, "actions") {
		l := w.leaders[rapid.IntRange(max(len(w.leaders)-3, 0), len(w.leaders)-1).Draw(t, "leader")]
		host := rapid.SampledFrom([]glade.Host{"a", "a", "a", "b"}).Draw(t, "host")
		switch action := rapid.IntRange(0, 11).Draw(t, "action"); {
		case w.now < l.suspendedUntil:
		case action < 4:
			w.record(l, host)
		case action < 8:
			w.send(l, host)
		case (action == 8 || action == 10) && len(w.leaders) < maxLeaders:
			w.claim()
		case action == 9:
			l.suspendedUntil = w.now + delay(t, 8*time.Second)
		}
		w.advance(delay(t, 600*time.Millisecond))
	}
	w.advance(10 * time.Second)
	return w.broken
}

// TestModel guards against two leaders that order one host within the lease, or in
// the wrong order, on hosts that accept any token.
func TestModel(t *testing.T) {
	t.Run("leaders that obey the gate are kept apart", func(t *testing.T) {
		seeds.Check(t, 10000, func(t *rapid.T) {
			if broken := play(t, false); broken != "" {
				t.Fatal(broken)
			}
		})
	})
	t.Run("the schedules find leaders that don't", func(t *testing.T) {
		found := false
		seeds.Check(t, 300, func(t *rapid.T) { found = found || play(t, true) != "" })
		qt.Assert(t, found, qt.IsTrue)
	})
}
