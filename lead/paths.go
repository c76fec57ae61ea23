package lead

import (
	"context"
	"sync"
	"time"

	glade "indigoglade"
	"indigoglade/jrpc"
	"indigoglade/paths"
	"indigoglade/sched"
)

// tablePaths holds, for each service, the paths from which it accepts batches.
const tablePaths = "paths"

// RPC methods to the leader of a former service: methodHeld asks what it knows of paths, methodKnown
// submits a batch that it may know.
const (
	methodHeld  = "held"
	methodKnown = "known"
)

// HeldArgs is the question to the leader of a service.
type HeldArgs struct {
	Service glade.Service `json:"service"`
	paths.Question
}

// HeldReply is the answer.
type HeldReply struct {
	// IsLeader is false if the called host does not lead the service, or has not loaded its
	// state yet.
	IsLeader bool `json:"leads"`
	paths.Answer
}

// servicePaths are the paths of a service, of which its leader asks former services.
type servicePaths struct {
	leader *ServiceLeader
	mu     sync.Mutex
	table  *paths.Table
	wakeUp chan struct{} // the set of paths has changed
	// isOversize is set while the row exceeds what the platform stores.
	isOversize bool
	// heldUntil is until when the row is not written, because the store has rejected it.
	heldUntil time.Time
}

func newServicePaths(leader *ServiceLeader) *servicePaths {
	return &servicePaths{leader: leader, table: paths.New(leader.service), wakeUp: make(chan struct{}, 1)}
}

// load reads the stored row. One that can't be decoded counts as absent: all services are asked again. A
// service that has batches and no row had leaders of earlier versions, which knew of no former services.
func (p *servicePaths) load(row glade.PartitionRow, hasBatches bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if row.Version == 0 {
		p.table.Inherit(hasBatches)
		return
	}
	if err := p.table.Load(row.Value); err != nil {
		p.leader.manager.config.Log.Error(err, "paths row is not valid", "service", p.leader.service)
	}
}

func (p *servicePaths) setRules(rules glade.Rules) {
	p.mu.Lock()
	p.table.SetRules(rules, p.leader.manager.config.Directory.Departed()...)
	changed := p.table.HasWrite()
	p.mu.Unlock()
	if changed {
		wake(p.wakeUp)
		wake(p.leader.writeWake)
	}
}

// formers returns the other services that may know a batch which came by a path. It returns
// false if the service does not have the path in the contract that this host knows. Queues
// without a path have no former services.
func (p *servicePaths) formers(path string) (former []glade.Service, version int64, ok bool) {
	if path == "" {
		return nil, 0, true
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.table.Formers(path)
}

// isCleared reports whether a caller has asked all former services of a path.
func (p *servicePaths) isCleared(path string, cleared []glade.Service, version int64) (former []glade.Service, needed int64, ok bool) {
	former, needed, has := p.formers(path)
	if !has {
		return nil, 0, false
	}
	asked := make(map[glade.Service]bool, len(cleared))
	for _, service := range cleared {
		asked[service] = version >= needed
	}
	for _, service := range former {
		if !asked[service] {
			return former, needed, false
		}
	}
	return nil, needed, true
}

// isStored reports whether the stored row is that of the newest contract.
func (p *servicePaths) isStored() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return !p.table.HasWrite()
}

// proves reports whether the row as of a version of the contract is stored: from then on the service
// accepts nothing that the row does not list. What it knows must be looked up after that. If the
// contract is known, the row is written.
func (p *servicePaths) proves(version int64) bool {
	p.mu.Lock()
	p.table.Answer(paths.Question{Version: version}, nil)
	stored, hasWrite := p.table.IsStored(version), p.table.HasWrite()
	p.mu.Unlock()
	if hasWrite {
		wake(p.leader.writeWake)
	}
	return stored
}

// pathsWrite is a write of the row.
type pathsWrite struct {
	row glade.PartitionRow
	gen int64
}

// beginWrite returns the row if it has changed, and nil otherwise.
func (p *servicePaths) beginWrite() *pathsWrite {
	p.mu.Lock()
	defer p.mu.Unlock()
	if !p.table.HasWrite() || p.leader.clock.Now().Before(p.heldUntil) {
		return nil
	}
	row, gen := p.table.BeginWrite()
	value := encodeRow(row)
	if oversize := len(value) > paths.MaxRowBytes; oversize != p.isOversize {
		p.isOversize = oversize
		p.leader.manager.config.Log.Info("paths", "service", p.leader.service, "bytes", len(value), "oversize", oversize)
	}
	if p.isOversize {
		p.table.FinishWrite(gen, false)
		return nil
	}
	return &pathsWrite{row: glade.PartitionRow{Table: tablePaths, Part: string(p.leader.service), Key: singletonKey, Value: value}, gen: gen}
}

func (p *servicePaths) finishWrite(w *pathsWrite, ok bool) {
	if w == nil {
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.table.FinishWrite(w.gen, ok)
}

// rejectedPathsPause is how long the row is not written after the store has rejected a transaction with it.
const rejectedPathsPause = time.Second

// reject records that the store has rejected a transaction with the row. Others may have been the cause.
func (p *servicePaths) reject(w *pathsWrite) {
	if w == nil {
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.table.FinishWrite(w.gen, false)
	p.heldUntil = p.leader.clock.Now().Add(rejectedPathsPause)
	p.leader.manager.config.Log.Info("paths", "service", p.leader.service, "bytes", len(w.row.Value), "rejected", true)
}

// Pauses between two rounds of questions to former services.
const (
	firstHeldPause = 200 * time.Millisecond
	maxHeldPause   = 5 * time.Second // batches that last keep a path with its former service
	heldTimeout    = 500 * time.Millisecond
)

// run asks the former services until ctx ends.
func (p *servicePaths) run(ctx context.Context) {
	pause := firstHeldPause
	for ctx.Err() == nil {
		p.mu.Lock()
		questions := p.table.Questions()
		p.mu.Unlock()
		if len(questions) == 0 {
			select {
			case <-ctx.Done():
				return
			case <-p.wakeUp:
			}
			pause = firstHeldPause
			continue
		}
		var group sync.WaitGroup
		for service, question := range questions {
			group.Add(1)
			c := &heldCall{paths: p, group: &group, args: HeldArgs{Service: service, Question: question}}
			go c.run(ctx)
		}
		group.Wait()
		timer := time.NewTimer(pause)
		select {
		case <-ctx.Done():
		case <-p.wakeUp:
			pause = firstHeldPause
		case <-timer.C:
			pause = min(2*pause, maxHeldPause)
		}
		timer.Stop()
	}
}

// heldCall asks one former service.
type heldCall struct {
	paths *servicePaths
	group *sync.WaitGroup
	args  HeldArgs
}

func (c *heldCall) run(ctx context.Context) {
	defer c.group.Done()
	p, m := c.paths, c.paths.leader.manager
	bounded, cancel := context.WithTimeout(ctx, heldTimeout)
	defer cancel()
	reply, found, err := route(bounded, m.router, c.args.Service, methodHeld, c.args, func() (HeldReply, error) { return m.heldLocal(c.args), nil })
	if !found || err != nil || !reply.IsLeader {
		if !m.config.Directory.IsOver(c.args.Service) {
			return
		}
		reply = HeldReply{Answer: paths.Answer{Version: c.args.Version}} // its stored row has no paths
	}
	p.mu.Lock()
	p.table.Apply(c.args.Question, c.args.Service, reply.Answer)
	changed := p.table.HasWrite()
	p.mu.Unlock()
	if changed {
		m.config.Log.Info("paths", "service", p.leader.service, "former", c.args.Service, "asked", len(c.args.Paths), "held", len(reply.Held), "number", reply.Version)
		wake(p.leader.writeWake)
	}
}

// heldLocal answers the leader of another service from the state of a service that this process leads.
func (m *Manager) heldLocal(in HeldArgs) HeldReply {
	leader, ok := m.LocalLeader(in.Service)
	if !ok || leader.hasEnded() {
		return HeldReply{}
	}
	p := leader.paths
	if !p.proves(in.Version) {
		return HeldReply{} // what it knows may still change
	}
	known := make(map[paths.Hash]bool)
	if !leader.withSched(func(scheduler *sched.Scheduler) {
		for path := range scheduler.Paths() {
			known[paths.HashOf(path)] = true
		}
	}) || leader.mayBeReplaced() {
		return HeldReply{}
	}
	p.mu.Lock()
	reply := HeldReply{IsLeader: true, Answer: p.table.Answer(in.Question, func(hash paths.Hash) bool { return known[hash] })}
	changed := p.table.HasWrite()
	p.mu.Unlock()
	if changed {
		wake(p.wakeUp)
		wake(leader.writeWake)
	}
	return reply
}

func (m *Manager) handleHeld(mux *jrpc.Mux) {
	jrpc.Handle(mux, methodHeld, func(_ context.Context, in HeldArgs) (HeldReply, error) { return m.heldLocal(in), nil })
	jrpc.Handle(mux, methodKnown, func(ctx context.Context, in SubmitArgs) (SubmitReply, error) { return m.knownLocal(ctx, in), nil })
}

// askFormers sends a batch to the former services of its path. It returns the reply of one that
// knows the batch, or else whether all have answered that they don't and never will.
func (r *Router) askFormers(ctx context.Context, in SubmitArgs, former FormerServices) (reply SubmitReply, known, cleared bool) {
	in.Epoch, in.Version = 0, former.Version
	cleared = true
	for _, service := range former.Services {
		in.Service = service
		reply, found, err := route(ctx, r, service, methodKnown, in, func() (SubmitReply, error) { return r.manager.knownLocal(ctx, in), nil })
		r.learn(service, reply.Known)
		switch {
		case !found || err != nil || reply.Code == SubmitNotLeader:
			cleared = false
		case reply.Code == SubmitMoved:
			return SubmitReply{Code: SubmitUnknown, Reason: "former"}, true, false
		case reply.Code != SubmitAbsent:
			return reply, true, false
		}
	}
	return SubmitReply{}, false, cleared
}

func (m *Manager) knownLocal(ctx context.Context, in SubmitArgs) SubmitReply {
	return m.decideLocal(ctx, in.Service, in.TimeoutMs, func(ctx context.Context, leader *ServiceLeader) SubmitReply {
		return leader.submitKnown(ctx, in)
	})
}

// submitKnown answers for a former service of a batch's path, which takes no new batch.
func (s *ServiceLeader) submitKnown(ctx context.Context, in SubmitArgs) SubmitReply {
	var admission sched.Admission
	known, proven := false, s.paths.proves(in.Version)
	if !s.withSched(func(scheduler *sched.Scheduler) {
		admission, known = scheduler.AdmitKnown(in.ID, in.Queue, in.Batch.Tenant)
	}) {
		return SubmitReply{Code: SubmitNotLeader, Reason: "loading"}
	}
	switch {
	case known:
		return s.replyTo(ctx, in.ID, admission)
	case s.mayBeReplaced():
		return s.manager.notLeader(s.service, "unconfirmed")
	case !proven:
		return s.manager.notLeader(s.service, reasonContract)
	}
	return SubmitReply{Code: SubmitAbsent, Epoch: s.term.Epoch}
}
