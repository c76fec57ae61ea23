package quota_test

import (
	"encoding/json"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	glade "indigoglade"
	"indigoglade/quota"
)

var now = time.Unix(1000, 0)

// newHolder returns the holder of service a in epoch 1 that has seen a row with a limit of
// 100 CPU.
func newHolder(row string) *quota.Holder {
	h := quota.New(quota.Config{Service: "a", Epoch: 1})
	h.SetRule(quota.Rule{Version: 1, Limit: glade.Need{CPU: 100}, Listed: true}, now)
	parsed, err := quota.ParseRow([]byte(row))
	if err != nil {
		panic(err)
	}
	h.Observe(parsed, 5, now)
	return h
}

func want(cpu int) quota.Demand {
	return quota.Demand{Wanted: glade.Need{CPU: cpu}, Largest: glade.Need{CPU: cpu}}
}

func TestHolder(t *testing.T) {
	// A predecessor's write may still lower the entry, so that others use what it had.
	t.Run("an entry that is not claimed may not be used", func(t *testing.T) {
		h := newHolder(`{"version":1,"limit":{"cpu":100},"shares":{"a":{"epoch":0,"cpu":60}}}`)
		h.SetDemand(want(50), now)
		qt.Assert(t, h.Share().CPU, qt.Equals, 0)
		action := h.Next(now)
		qt.Assert(t, action.Write.Claims, qt.IsTrue)
		qt.Assert(t, h.Share().CPU, qt.Equals, 0)
		h.Written(action.Write, 6, now)
		qt.Assert(t, h.Share().CPU, qt.Equals, 60)
	})
	t.Run("the entry of a newer leader may not be used", func(t *testing.T) {
		h := newHolder(`{"version":1,"limit":{"cpu":100},"shares":{"a":{"epoch":2,"cpu":60}}}`)
		h.SetDemand(want(50), now)
		qt.Assert(t, h.Share().CPU, qt.Equals, 0)
		qt.Assert(t, h.Next(now).Kind, qt.Equals, quota.ActionNone)
	})
	// An uncertain lowering may take effect later, when others use what it has freed.
	t.Run("the smaller value counts until a newer row is seen", func(t *testing.T) {
		h := newHolder(`{"version":1,"limit":{"cpu":100},"shares":{"a":{"epoch":1,"cpu":60}}}`)
		h.Next(now)
		later := now.Add(time.Minute)
		lower := h.Next(later)
		qt.Assert(t, lower.Write.To.CPU, qt.Equals, 0)
		h.Uncertain(later)
		h.SetDemand(want(90), later)
		later = later.Add(time.Second)
		raise := h.Next(later)
		qt.Assert(t, raise.Write.Version, qt.Equals, int64(5))
		qt.Assert(t, raise.Write.To.CPU >= 90, qt.IsTrue)
		qt.Assert(t, h.Share().CPU, qt.Equals, 0)
		h.Written(raise.Write, 6, later)
		qt.Assert(t, h.Share().CPU, qt.Equals, raise.Write.To.CPU)
	})
	t.Run("a refused lowering has no effect", func(t *testing.T) {
		h := newHolder(`{"version":1,"limit":{"cpu":100},"shares":{"a":{"epoch":1,"cpu":60}}}`)
		h.Next(now)
		later := now.Add(time.Minute)
		lower := h.Next(later)
		qt.Assert(t, h.Share().CPU, qt.Equals, 0)
		h.Failed(lower.Write, later)
		qt.Assert(t, h.Share().CPU, qt.Equals, 60)
	})
	t.Run("an older contract does not raise above the limit of a newer row", func(t *testing.T) {
		h := newHolder(`{"version":2,"limit":{"cpu":50},"shares":{}}`)
		h.SetDemand(want(90), now)
		qt.Assert(t, h.Next(now).Write.Row.Limit.CPU, qt.Equals, 50)
		qt.Assert(t, h.Limit().CPU, qt.Equals, 50)
	})
	// Others may run more than their part of the new limit.
	t.Run("a limit that fell stops starts until the row says so, or can't", func(t *testing.T) {
		h := newHolder(`{"version":1,"limit":{"cpu":100},"shares":{"a":{"epoch":1,"cpu":60},"b":{"epoch":1,"cpu":40}}}`)
		h.SetRule(quota.Rule{Version: 2, Limit: glade.Need{CPU: 50}, Listed: true}, now)
		qt.Assert(t, h.Share().CPU, qt.Equals, 0)
		action := h.Next(now)
		qt.Assert(t, action.Write.Row.Limit.CPU, qt.Equals, 50)
		qt.Assert(t, action.Write.To.CPU, qt.Equals, 30)
		h.Failed(action.Write, now)
		qt.Assert(t, h.Share().CPU, qt.Equals, 30)
		action = h.Next(now.Add(time.Second))
		h.Written(action.Write, 6, now)
		qt.Assert(t, h.Share().CPU, qt.Equals, 0) // 30 + 40 > 50
		row := action.Write.Row
		row.Shares["b"] = quota.Share{Epoch: 1, Need: glade.Need{CPU: 20}}
		h.Observe(row, 7, now)
		qt.Assert(t, h.Share().CPU, qt.Equals, 30)
	})
	// The row that it knows may be old: others may have raised their shares since.
	t.Run("a limit that fell to more than the known shares stops starts until the row says so", func(t *testing.T) {
		h := newHolder(`{"version":1,"limit":{"cpu":100},"shares":{"a":{"epoch":1,"cpu":30},"b":{"epoch":1,"cpu":10}}}`)
		h.SetRule(quota.Rule{Version: 2, Limit: glade.Need{CPU: 50}, Listed: true}, now)
		qt.Assert(t, h.Share().CPU, qt.Equals, 0)
		h.SetDemand(want(30), now)
		action := h.Next(now)
		h.Written(action.Write, 6, now)
		qt.Assert(t, h.Share().CPU, qt.Equals, action.Write.To.CPU)
		qt.Assert(t, action.Write.To.CPU > 0, qt.IsTrue)
	})
	// The rest of the share has no room for it, and long-running tasks may never end.
	t.Run("a task is asked for beside the long-running ones, of equal parts as well", func(t *testing.T) {
		h := newHolder(`{"version":1,"limit":{"cpu":100},"shares":{"a":{"epoch":1,"cpu":50},"b":{"epoch":1,"cpu":50}}}`)
		cpu := func(n int) glade.Need { return glade.Need{CPU: n} }
		h.SetDemand(quota.Demand{Used: cpu(40), Lasting: cpu(40), Wanted: cpu(100), Largest: cpu(20), Waited: time.Second}, now)
		h.Next(now)
		h.AskEnded()
		request := h.Next(now.Add(time.Second)).Requests["b"]
		qt.Assert(t, []glade.Need{request.Least, request.Largest}, qt.DeepEquals, []glade.Need{cpu(10), cpu(20)})
	})
	// The holder is faster than the one that asked: it would take it back each time.
	t.Run("what was given is not taken back at once", func(t *testing.T) {
		h := newHolder(`{"version":1,"limit":{"cpu":100},"shares":{"a":{"epoch":1,"cpu":100}}}`)
		h.SetDemand(quota.Demand{Wanted: glade.Need{CPU: 200}, Largest: glade.Need{CPU: 20}}, now)
		row, version := h.Row()
		answer := h.Asked(quota.Request{From: "b", Split: glade.Need{CPU: 50}, Row: row, RowVersion: version}, now)
		qt.Assert(t, answer.Given.CPU, qt.Equals, 50)
		qt.Assert(t, h.Share().CPU, qt.Equals, 50)
		h.Written(h.Next(now).Write, 6, now)
		qt.Assert(t, h.Next(now).Kind, qt.Equals, quota.ActionNone)
		qt.Assert(t, h.Next(now.Add(time.Second)).Kind, qt.Equals, quota.ActionWrite)
	})
	// The pause had grown to 2 s while nothing was given, and the holder's write took longer than its answer waited for
	// it: the part given up stayed unused for the rest of the pause (soak, seed 8076).
	t.Run("the next request follows soon after an answer that gave something", func(t *testing.T) {
		h := newHolder(`{"version":1,"limit":{"cpu":100},"shares":{"a":{"epoch":1,"cpu":50},"b":{"epoch":1,"cpu":50}}}`)
		h.SetDemand(quota.Demand{Wanted: glade.Need{CPU: 100}, Largest: glade.Need{CPU: 10}}, now)
		row, version := h.Row()
		at := now
		pause := func(given int) time.Duration { // after a round that gives so much
			h.Answered("b", quota.Answer{Given: glade.Need{CPU: given}, Row: row, RowVersion: version}, at)
			h.AskEnded()
			began := at
			for h.Next(at).Kind != quota.ActionAsk && at.Sub(began) < time.Minute {
				at = at.Add(10 * time.Millisecond)
			}
			return at.Sub(began)
		}
		for range 8 {
			pause(0)
		}
		qt.Assert(t, pause(0), qt.Equals, 2*time.Second)
		qt.Assert(t, pause(50), qt.Equals, 250*time.Millisecond)
	})
	t.Run("a resource without a limit is never short", func(t *testing.T) {
		h := newHolder(`{"version":1,"limit":{"cpu":100},"shares":{"a":{"epoch":1,"cpu":60}}}`)
		qt.Assert(t, h.Share(), qt.Equals, glade.Need{CPU: 60, Memory: quota.Unlimited, Accels: quota.Unlimited})
	})
}

// Rows are read by hosts of other versions.
func TestRow(t *testing.T) {
	const wire = `{"version":3,"limit":{"cpu":100,"mem":50},"shares":{"a":{"epoch":2,"cpu":60,"acc":1}}}`
	row, err := quota.ParseRow([]byte(wire))
	qt.Assert(t, err, qt.IsNil)
	encoded, err := json.Marshal(row)
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, string(encoded), qt.Equals, wire)
	for _, invalid := range []string{`{`, `{"shares":{"a":{"cpu":-1}}}`, `{"limit":{"mem":-1}}`} {
		_, err := quota.ParseRow([]byte(invalid))
		qt.Assert(t, err, qt.ErrorMatches, "quota row .*")
	}
}

// The store refuses names that are empty or longer than 200 bytes.
func TestPartition(t *testing.T) {
	long := glade.Tenant(strings.Repeat("x", 201))
	qt.Assert(t, quota.Partition("x"), qt.Equals, "x")
	qt.Assert(t, quota.Partition("") == "", qt.IsFalse)
	qt.Assert(t, len(quota.Partition(long)) <= 200, qt.IsTrue)
	qt.Assert(t, quota.Partition(long) == quota.Partition(long+"x"), qt.IsFalse)
	qt.Assert(t, quota.Partition(glade.Tenant(quota.Partition(long))) == quota.Partition(long), qt.IsFalse)
}
