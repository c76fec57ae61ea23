package cmds

import (
	"bytes"
	"context"
	"encoding/json"
	"net"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"
	"github.com/pkg/errors"

	glade "indigoglade"
	"indigoglade/jrpc"
	"indigoglade/lead"
	"indigoglade/sched"
)

// explainHost answers explain as a host would, and keeps the last call.
type explainHost struct {
	reply lead.ExplainReply
	asked lead.ExplainArgs
	// server is nil after stop.
	server *jrpc.Server
	ctx    context.Context
	done   chan struct{}
}

func (h *explainHost) run() {
	defer close(h.done)
	_ = h.server.Run(h.ctx) // the error at the end of ctx is of no interest
}

// serve answers calls until the test ends, and returns the address. A host of an older
// version doesn't know the call.
func (h *explainHost) serve(t *testing.T, isOld bool) string {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	qt.Assert(t, err, qt.IsNil)
	mux := jrpc.NewMux()
	if !isOld {
		jrpc.Handle(mux, lead.MethodExplain, func(_ context.Context, in lead.ExplainArgs) (lead.ExplainReply, error) {
			h.asked = in
			return h.reply, nil
		})
	}
	ctx, cancel := context.WithCancel(context.Background())
	h.ctx, h.server, h.done = ctx, jrpc.NewServer(listener, mux), make(chan struct{})
	go h.run()
	t.Cleanup(func() {
		cancel()
		<-h.done
	})
	return listener.Addr().String()
}

const explainFile = `{"service": "quotes", "queue": "fast", "id": "9bd91c444063ad52", "tenant": "few",
 "batch": {"spec": "x", "steps": [{"count": 2, "cpu": 1000, "memMb": 10, "estimatedMs": 400}, {"count": 1, "cpu": 500, "dependsOn": [0]}]}}`

// decodeTestBatch decodes what the tests' batches hold, in the format of the platform's callers.
func decodeTestBatch(id string, body []byte) (glade.Batch, error) {
	var in struct {
		Spec  string
		Steps []struct {
			Count, CPU, MemMb int
			EstimatedMs       int64
			DependsOn         []int
		}
	}
	if len(id) != 16 {
		return glade.Batch{}, errors.Errorf("id %q: an id has 16 hexadecimal digits", id)
	}
	if err := json.Unmarshal(body, &in); err != nil {
		return glade.Batch{}, errors.Wrap(err, "read the batch")
	}
	out := glade.Batch{Spec: in.Spec}
	for i, s := range in.Steps {
		if s.Count <= 0 || slices.ContainsFunc(s.DependsOn, func(j int) bool { return j >= i }) {
			return glade.Batch{}, errors.Errorf("step %d has %d tasks and depends on steps %v, one of which is not an earlier one", i, s.Count, s.DependsOn)
		}
		out.Steps = append(out.Steps, glade.Step{Count: s.Count, Need: glade.Need{CPU: s.CPU, Memory: s.MemMb}, Estimate: s.EstimatedMs, After: s.DependsOn})
	}
	return out, nil
}

// newExplainReply returns the reply of a leader whose tenant is at its limit.
func newExplainReply() lead.ExplainReply {
	need := glade.Need{CPU: 1000}
	return lead.ExplainReply{
		IsLeader: true, Node: "front-howrah-3", Epoch: 3, RenewalAgeMs: 120, Contract: 7,
		Explanation: &sched.Explanation{
			Accepted: true, PathMs: 400, ObjectiveMs: 5800, Pool: 8000, AheadMs: 40, BacklogMs: 60, BacklogAgeMs: 3,
			Tenant: &sched.TenantExplained{Tenant: "few", InContract: true, Limit: need, Share: need, Reachable: need, IsShareKnown: true, InUse: need, Weight: 5, Excess: 1},
			Steps: []sched.StepExplanation{{Tasks: 2, Places: 2, Blocked: "the tenant's limit", Candidates: []sched.Candidate{
				{Runner: "r0", Rack: "ova-1", Cost: 0.5, Excluded: "silent"}, {Runner: "r1", Rack: "ova-1", Cost: 1}, {Runner: "r2", Rack: "ova-2", Cost: 0.5},
			}}},
		},
	}
}

// TestExplain guards against explanations of another batch than that of the file, and against
// an exit code that hides that there is no explanation.
func TestExplain(t *testing.T) {
	file := func(t *testing.T, text string) string {
		t.Helper()
		name := filepath.Join(t.TempDir(), "batch.json")
		qt.Assert(t, os.WriteFile(name, []byte(text), 0o600), qt.IsNil)
		return name
	}
	run := func(args ...string) (int, string) {
		var out, errOut bytes.Buffer
		code := Main(append([]string{"explain"}, args...), Config{Out: &out, ErrOut: &errOut, DecodeBatch: decodeTestBatch})
		return code, out.String() + errOut.String()
	}
	t.Run("text", func(t *testing.T) {
		c, h := qt.New(t), &explainHost{reply: newExplainReply()}
		code, text := run(file(t, explainFile), "--host", h.serve(t, false))
		c.Assert(code, qt.Equals, exitOK, qt.Commentf("%s", text))
		c.Assert(h.asked, qt.DeepEquals, lead.ExplainArgs{Service: "quotes", Queue: "fast", ID: "9bd91c444063ad52", Batch: glade.Batch{
			Spec: "x", Tenant: "few",
			Steps: []glade.Step{{Count: 2, Need: glade.Need{CPU: 1000, Memory: 10}, Estimate: 400}, {Count: 1, Need: glade.Need{CPU: 500}, After: []int{0}}},
		}})
		c.Assert("\n"+text, qt.Equals, `
leader of quotes: node front-howrah-3, epoch 3, renewed 120 ms ago; contract version 7
admission of 9bd91c444063ad52: accepted
  objective 5800 ms, longest chain 400 ms; work ahead 40 ms, all waiting work 60 ms, starts 0 ms
  pool 8000 millicores; sums 3 ms old
tenant few: limit cpu 1000, here cpu 1000, soon cpu 1000; in use cpu 1000 mem 0 gpu 0
  weight 5, load 1.00 of its part, 0 ms old
step 0: 2 tasks, room for 2 on runners, 0 within the limit here; does not start now: the tenant's limit
  r2               ova-2        cost  0.500
  r1               ova-1        cost  1.000
  r0               ova-1        cost  0.500  excluded: silent
`)
	})
	t.Run("json", func(t *testing.T) {
		c, h := qt.New(t), &explainHost{reply: newExplainReply()}
		code, text := run(file(t, explainFile), "--output", "json", "--host", h.serve(t, false))
		c.Assert(code, qt.Equals, exitOK)
		var got lead.ExplainReply
		c.Assert(json.Unmarshal([]byte(text), &got), qt.IsNil)
		c.Assert(got, qt.DeepEquals, h.reply)
	})
	expectText := func(name, want string, change func(r *lead.ExplainReply)) {
		t.Run(name, func(t *testing.T) {
			c, h := qt.New(t), &explainHost{reply: newExplainReply()}
			change(&h.reply)
			code, text := run(file(t, explainFile), "--host", h.serve(t, false))
			c.Assert(code, qt.Equals, exitOK)
			c.Assert(strings.Contains(text, want), qt.IsTrue, qt.Commentf("%s", text))
		})
	}
	expectText("a refusal by the share", "refused (load: the tenant is beyond its share), retry after 3500 ms", func(r *lead.ExplainReply) {
		r.Explanation.Accepted, r.Explanation.Reason, r.Explanation.ByShare, r.Explanation.AfterMs = false, "load", true, 3500
	})
	expectText("a refusal by the limit", "refused (limit: the tenant's limit)", func(r *lead.ExplainReply) {
		r.Explanation.Accepted, r.Explanation.Reason = false, "limit"
	})
	expectText("a leader without a renewal", "another host may lead by now", func(r *lead.ExplainReply) { r.IsReplaceable = true })
	expectText("a store that takes no writes", "every batch is refused (store)", func(r *lead.ExplainReply) { r.StoreFailing = true })
	expectText("a batch of a former service", "accepted, as the ID is known: a submission is not run again\n  service old knows it, which had the path before", func(r *lead.ExplainReply) {
		r.Explanation.Known, r.Holder = true, "old"
	})
	expectText("a former service that doesn't answer", "had the path before and don't answer: [old]", func(r *lead.ExplainReply) { r.Unasked = []glade.Service{"old"} })
	expectCode := func(name string, code int, want, source string, h *explainHost, isOld bool) {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			got, text := run(file(t, source), "--host", h.serve(t, isOld))
			c.Assert(got, qt.Equals, code, qt.Commentf("%s", text))
			c.Assert(strings.Contains(text, want), qt.IsTrue, qt.Commentf("%s", text))
		})
	}
	expectCode("no leader", exitPlatform, "knows no leader of service quotes", explainFile, &explainHost{}, false)
	known := &lead.KnownTerm{Term: lead.Term{Node: "h3", Epoch: 4}, Version: 1}
	expectCode("a leader that does not answer", exitPlatform, `knows node "h3" with epoch 4`, explainFile, &explainHost{reply: lead.ExplainReply{KnownTerm: known}}, false)
	expectCode("an unknown queue", exitInvalid, `version 7 of the contract has no queue "fast"`, explainFile,
		&explainHost{reply: lead.ExplainReply{IsLeader: true, Contract: 7, Unknown: true}}, false)
	expectCode("a host of an older version", exitFailed, "host can't explain batches", explainFile, &explainHost{}, true)
	expectCode("a fault of the explanation", exitFailed, "no explanation: fault", explainFile, &explainHost{reply: lead.ExplainReply{IsLeader: true, Problem: "fault"}}, false)
	t.Run("host unreachable", func(t *testing.T) {
		code, text := run(file(t, explainFile), "--host", "127.0.0.1:1") // nothing listens on port 1
		qt.Assert(t, code, qt.Equals, exitPlatform)
		qt.Assert(t, strings.Contains(text, "host not reached"), qt.IsTrue, qt.Commentf("%s", text))
	})
	expectInvalid := func(name, want string, edit ...string) {
		expectCode(name, exitInvalid, want, strings.NewReplacer(edit...).Replace(explainFile), &explainHost{}, false)
	}
	expectInvalid("not JSON", "read the file", "{", "")
	expectInvalid("an unknown field", "unknown field", `"tenant"`, `"tenat"`)
	expectInvalid("no queue", "service, queue and batch are required", `"queue": "fast",`, "")
	expectInvalid("an ID that is none", "16 hexadecimal digits", "9bd91c444063ad52", "9bd9")
	expectInvalid("a step that depends on itself", "not an earlier one", `"dependsOn": [0]`, `"dependsOn": [1]`)
	t.Run("usage", func(t *testing.T) {
		code, _ := run(file(t, explainFile))
		qt.Assert(t, code, qt.Equals, exitUsage)
	})
}
