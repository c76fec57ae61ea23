package cmds

import (
	"bytes"
	"cmp"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"os"
	"slices"
	"strings"
	"time"

	"github.com/pkg/errors"

	glade "indigoglade"
	"indigoglade/jrpc"
	"indigoglade/lead"
	"indigoglade/sched"
)

// explainTimeout is longer than a host searches for the leader, with its last call.
const explainTimeout = 5 * time.Second

type explainCommand struct {
	File string `arg:"" type:"existingfile" help:"Batch file."`
	Host string `required:"" placeholder:"ADDRESS" help:"Address and port on which a host of the platform serves other hosts."`
}

// Help returns the detailed help text.
func (explainCommand) Help() string {
	return `The batch file names the service, queue, ID and, if any, the tenant, and has the body that a caller would send:

  {"service": "quotes", "queue": "fast", "id": "9bd91c444063ad52", "tenant": "few",
   "batch": {"spec": "x", "steps": [{"count": 2, "cpu": 1000, "memMb": 10, "estimatedMs": 400}]}}

The command exits with 0 also if the batch would be refused, with 3 if the file or its queue is wrong, and with 5 if no
leader can be asked.`
}

// batchFile is the content of a batch file.
type batchFile struct {
	Service glade.Service   `json:"service"`
	Queue   glade.Queue     `json:"queue"`
	Tenant  glade.Tenant    `json:"tenant"`
	ID      glade.BatchID   `json:"id"`
	Batch   json.RawMessage `json:"batch"`
}

// parseBatchFile returns the call for a batch file.
func (e *env) parseBatchFile(source []byte) (lead.ExplainArgs, error) {
	var f batchFile
	decoder := json.NewDecoder(bytes.NewReader(source))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(&f); err != nil {
		return lead.ExplainArgs{}, errors.Wrap(err, "read the file")
	}
	if f.Service == "" || f.Queue == "" || len(f.Batch) == 0 {
		return lead.ExplainArgs{}, errors.New("service, queue and batch are required")
	}
	work, err := e.DecodeBatch(string(f.ID), f.Batch)
	if err != nil {
		return lead.ExplainArgs{}, err
	}
	work.Tenant = f.Tenant
	return lead.ExplainArgs{Service: f.Service, ID: f.ID, Queue: f.Queue, Batch: work}, nil
}

// Run prints what the leader would do with the batch. It is read-only.
func (x explainCommand) Run(e *env) error {
	source, err := os.ReadFile(x.File)
	if err != nil {
		return errors.Wrap(err, "read batch file")
	}
	args, err := e.parseBatchFile(source)
	if err != nil {
		fmt.Fprintf(e.ErrOut, "%s: %v\n", x.File, err)
		return errInvalid
	}
	reply, err := x.ask(args)
	if err != nil {
		return err
	}
	if reply.Unknown {
		fmt.Fprintf(e.ErrOut, "%s: version %d of the contract has no queue %q in service %q\n", x.File, reply.Contract, args.Queue, args.Service)
		return errInvalid
	}
	return e.print(reply, func(w io.Writer) { printExplanation(w, args, reply) })
}

// ask calls the host, and returns the answer of the service's leader.
func (x explainCommand) ask(args lead.ExplainArgs) (lead.ExplainReply, error) {
	client := jrpc.NewClient(jrpc.Config{Address: x.Host, Timeout: explainTimeout})
	defer client.Close()
	reply, err := jrpc.Call[lead.ExplainArgs, lead.ExplainReply](context.Background(), client, lead.MethodExplain, args)
	switch {
	case err != nil && jrpc.IsAnswered(err):
		return reply, errors.Wrap(err, "host can't explain batches")
	case err != nil:
		return reply, errors.Wrapf(errPlatform, "host not reached: %v", err)
	case !reply.IsLeader && reply.KnownTerm == nil:
		return reply, errors.Wrapf(errPlatform, "host %s knows no leader of service %s", x.Host, args.Service)
	case !reply.IsLeader:
		return reply, errors.Wrapf(errPlatform, "no leader of service %s answers host %s, which knows node %q with epoch %d",
			args.Service, x.Host, reply.KnownTerm.Term.Node, reply.KnownTerm.Term.Epoch)
	case reply.Explanation == nil && !reply.Unknown:
		return reply, errors.Errorf("node %s has no explanation: %s", reply.Node, reply.Problem)
	}
	return reply, nil
}

func printExplanation(w io.Writer, args lead.ExplainArgs, reply lead.ExplainReply) {
	x := reply.Explanation
	fmt.Fprintf(w, "leader of %s: node %s, epoch %d, renewed %d ms ago; contract version %d\n", args.Service, reply.Node, reply.Epoch, reply.RenewalAgeMs, reply.Contract)
	if reply.IsReplaceable {
		fmt.Fprintln(w, "  another host may lead by now")
	}
	if reply.StoreFailing {
		fmt.Fprintln(w, "  the store takes no writes: every batch is refused (store)")
	}
	fmt.Fprintf(w, "admission of %s: %s\n", args.ID, describeAdmission(x))
	if reply.Holder != "" {
		fmt.Fprintf(w, "  service %s knows it, which had the path before\n", reply.Holder)
	}
	if len(reply.Unasked) > 0 {
		fmt.Fprintf(w, "  it may be known to services that had the path before and don't answer: %v\n", reply.Unasked)
	}
	if x.Known {
		return
	}
	fmt.Fprintf(w, "  objective %d ms, longest chain %d ms; work ahead %d ms, all waiting work %d ms, starts %d ms\n",
		x.ObjectiveMs, x.PathMs, x.AheadMs, x.BacklogMs, x.StartsMs)
	fmt.Fprintf(w, "  pool %d millicores; sums %d ms old\n", x.Pool, x.BacklogAgeMs)
	if x.Tenant != nil {
		printTenant(w, x.Tenant)
	}
	for i := range x.Steps {
		printStep(w, i, &x.Steps[i])
	}
}

func describeAdmission(x *sched.Explanation) string {
	switch {
	case x.Accepted && x.Known:
		return "accepted, as the ID is known: a submission is not run again"
	case x.Accepted:
		return "accepted"
	}
	cause := ""
	switch {
	case x.ByShare:
		cause = ": the tenant is beyond its share"
	case strings.HasPrefix(x.Reason, "limit"):
		cause = ": the tenant's limit"
	}
	return fmt.Sprintf("refused (%s%s), retry after %d ms", x.Reason, cause, x.AfterMs)
}

func printTenant(w io.Writer, t *sched.TenantExplained) {
	fmt.Fprintf(w, "tenant %s: ", t.Tenant)
	if !t.InContract {
		fmt.Fprint(w, "not in the contract, ")
	}
	switch {
	case t.Limit == (glade.Need{}):
		fmt.Fprint(w, "no limit")
	case !t.IsShareKnown:
		fmt.Fprintf(w, "limit %s, the service's part is not known", describeNeed(t.Limit, t.Limit))
	default:
		fmt.Fprintf(w, "limit %s, here %s, soon %s", describeNeed(t.Limit, t.Limit), describeNeed(t.Share, t.Limit), describeNeed(t.Reachable, t.Limit))
	}
	fmt.Fprintf(w, "; in use %s\n  weight %g, load %.2f of its part, %d ms old", describeNeed(t.InUse, glade.Need{CPU: 1, Memory: 1, Accels: 1}), t.Weight, t.Excess, t.AgeMs)
	if t.Beyond {
		fmt.Fprintf(w, ": beyond its share of %d millicores", t.Part)
	}
	fmt.Fprintln(w)
}

// describeNeed returns the resources that a limit limits: the others have values without a
// meaning.
func describeNeed(n, limit glade.Need) string {
	var parts []string
	add := func(name string, value, limit int) {
		if limit > 0 {
			parts = append(parts, fmt.Sprintf("%s %d", name, value))
		}
	}
	add("cpu", n.CPU, limit.CPU)
	add("mem", n.Memory, limit.Memory)
	add("gpu", n.Accels, limit.Accels)
	return strings.Join(parts, " ")
}

func printStep(w io.Writer, index int, st *sched.StepExplanation) {
	fmt.Fprintf(w, "step %d: %d tasks, room for %d on runners, %d within the limit here", index, st.Tasks, st.Places, st.Startable)
	if len(st.DependsOn) > 0 {
		fmt.Fprintf(w, "; as if steps %v were done", st.DependsOn)
	}
	if st.Behind {
		fmt.Fprint(w, "; after earlier work of the tenant, if that finds room")
	}
	if st.Beyond {
		fmt.Fprint(w, "; after other tenants")
	}
	switch {
	case st.Blocked != "":
		fmt.Fprintf(w, "; does not start now: %s", st.Blocked)
	case st.Runner != "":
		fmt.Fprintf(w, "; the first starts on %s", st.Runner)
	default:
		fmt.Fprint(w, "; starts now as a gang")
	}
	fmt.Fprintln(w)
	if wait := st.Wait; wait != nil {
		fmt.Fprintf(w, "  waits for rack %s up to %d ms, %d ms expected, chance %.2f; elsewhere it takes %d ms longer\n",
			wait.Rack, wait.LongestMs, wait.ExpectedMs, wait.Chance, wait.DistanceMs)
	}
	candidates := slices.Clone(st.Candidates)
	slices.SortStableFunc(candidates, func(a, b sched.Candidate) int {
		return cmp.Or(cmp.Compare(a.Excluded, b.Excluded), cmp.Compare(a.Cost, b.Cost))
	})
	for _, c := range candidates {
		fmt.Fprintf(w, "  %-16s %-12s cost %6.3f", c.Runner, c.Rack, c.Cost)
		if c.Excluded != "" {
			fmt.Fprintf(w, "  excluded: %s", c.Excluded)
		}
		fmt.Fprintln(w)
	}
}
