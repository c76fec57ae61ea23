package lead

import (
	"context"
	"slices"
	"sync"
	"time"

	glade "indigoglade"
	"indigoglade/jrpc"
)

// RPC methods of a hand-over by a leader that the store refuses.
const (
	methodCanLead  = "canlead"
	methodTakeOver = "takeover"
)

// HandoverArgs asks a host whether it can lead a service, or to claim it.
type HandoverArgs struct {
	Service glade.Service `json:"service"`
	// Node and Epoch are those of the leader that asks.
	Node  glade.Node `json:"node"`
	Epoch int64      `json:"epoch"`
	// Heartbeats is the newest count that the leader may have written. If the term row has
	// a higher one, the leader has recovered and the request is obsolete.
	Heartbeats int64 `json:"beat"`
	// Reserve asks a host to claim that answered with HandoverReserve.
	Reserve bool `json:"reserve,omitempty"`
}

// HandoverResult is the answer of a host that is asked to lead.
type HandoverResult string

// Answers to HandoverArgs.
const (
	// HandoverReady means that the store takes writes of the called host.
	HandoverReady HandoverResult = "ready"
	// HandoverReserve means that it does, but has refused it a moment ago.
	HandoverReserve HandoverResult = "reserve"
	// HandoverClaimed means that the called host leads the service now.
	HandoverClaimed HandoverResult = "claimed"
	// HandoverReplaced means that the stored term is not that of the leader that asks: another
	// one has claimed the service, or it was released.
	HandoverReplaced HandoverResult = "replaced"
	// HandoverDeclined means that the called host has not claimed the service.
	HandoverDeclined HandoverResult = "declined"
	// HandoverUnknown means that the called host may have claimed the service.
	HandoverUnknown HandoverResult = "unknown"
)

// HandoverReply is the answer of a host that is asked to lead, with the term as it knows it.
type HandoverReply struct {
	Result  HandoverResult `json:"result"`
	Reason  string         `json:"reason,omitempty"`
	Term    Term           `json:"term"`
	Version int64          `json:"ver"`
}

func (m *Manager) handleHandover(mux *jrpc.Mux) {
	jrpc.Handle(mux, methodCanLead, func(ctx context.Context, in HandoverArgs) (HandoverReply, error) {
		return m.canLead(ctx, in), nil
	})
	jrpc.Handle(mux, methodTakeOver, func(_ context.Context, in HandoverArgs) (HandoverReply, error) {
		return m.takeOver(in), nil
	})
}

// handoverReply returns an answer with the newest term that this host knows.
func (m *Manager) handoverReply(service glade.Service, result HandoverResult, reason string) HandoverReply {
	known := m.config.Directory.LastHeartbeat(service, m.config.Clock.Now())
	return HandoverReply{Result: result, Reason: reason, Term: known.Term, Version: known.Version}
}

// probeTimeLimit bounds a probe of the store. A store that is slower serves no host well.
const probeTimeLimit = 300 * time.Millisecond

// A store that refuses a share of the calls of all hosts must not look as if it refused the leader
// alone: a new leader would need as many attempts, and has to read the rows.
const (
	// refusedProbes is the number of successive probes that must fail before a leader asks others.
	refusedProbes = 3
	// refusedProbePause is the pause between them. Callers wait meanwhile.
	refusedProbePause = 10 * time.Millisecond
	// successorProbes is the number of probes of a host that must all be served before it answers
	// that it can lead. They are sent at once, so that a slow store counts once.
	successorProbes = 2
)

// takesWrites reports whether the store takes writes of this host, and records the term of a
// service as stored. It sends a transaction whose condition fails: that there is no term row.
func (m *Manager) takesWrites(ctx context.Context, service glade.Service) bool {
	return m.probe(ctx, service) == probeServed
}

type probeResult int

const (
	probeServed probeResult = iota
	probeRefused
	probeSilent // no answer within probeTimeLimit
)

func (m *Manager) probe(ctx context.Context, service glade.Service) probeResult {
	bounded, cancel := context.WithTimeout(ctx, probeTimeLimit)
	defer cancel()
	absent := glade.PartitionRow{Table: tableTerm, Part: string(service), Key: singletonKey, Value: encodeRow(Term{})}
	_, rows, result := m.config.PartitionedTable.Commit(bounded, glade.PartitionTxn{
		Checks: []glade.PartitionRow{absent}, Puts: []glade.PartitionRow{absent},
	})
	switch {
	case result == glade.Conflicted:
		m.config.Directory.applyTerms(rows)
		return probeServed
	case result == glade.Committed:
		return probeServed
	case bounded.Err() != nil:
		return probeSilent
	}
	return probeRefused
}

// successorProbe is a probe of a host that is asked whether it can lead.
type successorProbe struct {
	manager *Manager
	service glade.Service
	served  chan bool
}

func (p *successorProbe) run(ctx context.Context) { p.served <- p.manager.takesWrites(ctx, p.service) }

// canLead answers a leader that the store refuses: whether this host could lead its service.
func (m *Manager) canLead(ctx context.Context, in HandoverArgs) HandoverReply {
	reason := m.declines(in.Service)
	if reason != "" && reason != reasonHeld {
		return m.handoverReply(in.Service, HandoverDeclined, reason)
	}
	probes := &successorProbe{manager: m, service: in.Service, served: make(chan bool, successorProbes)}
	for range successorProbes {
		go probes.run(ctx)
	}
	for range successorProbes {
		if !<-probes.served {
			return m.handoverReply(in.Service, HandoverDeclined, "store")
		}
	}
	reply := m.handoverReply(in.Service, HandoverReady, "")
	if reason == reasonHeld {
		reply.Result, reply.Reason = HandoverReserve, reason
	}
	if reply.Term.Epoch != in.Epoch || reply.Term.Node != in.Node {
		reply.Result = HandoverReplaced
	}
	return reply
}

// reasonHeld is why a host leads no further service that the store has refused a moment ago.
const reasonHeld = "refused"

// declines returns why this host leads no further service, or an empty text.
func (m *Manager) declines(service glade.Service) string {
	m.mu.Lock()
	defer m.mu.Unlock()
	switch {
	case m.stopping || m.runCtx == nil:
		return "stopping"
	case m.isLeading(service):
		return "leading"
	case m.claiming[service]:
		return "claiming"
	case m.hold.isActive(m.config.Clock.Now()):
		return reasonHeld
	}
	return ""
}

// takeOver claims a service on request of its leader, which the store refuses, if the store
// takes writes of this host and the leader has written nothing since the request.
func (m *Manager) takeOver(in HandoverArgs) HandoverReply {
	reason := m.declines(in.Service)
	if reason == reasonHeld && in.Reserve {
		reason = ""
	}
	if reason == "" && !m.beginClaim(in.Service) {
		reason = "claiming"
	}
	if reason != "" {
		m.logTakeOver(in, HandoverDeclined, reason)
		return m.handoverReply(in.Service, HandoverDeclined, reason)
	}
	defer m.endClaim(in.Service)
	m.mu.Lock()
	ctx := m.runCtx
	m.mu.Unlock()
	if !m.takesWrites(ctx, in.Service) {
		m.logTakeOver(in, HandoverDeclined, "store")
		return m.handoverReply(in.Service, HandoverDeclined, "store")
	}
	now := m.config.Clock.Now()
	found := m.config.Directory.LastHeartbeat(in.Service, now)
	switch {
	case found.Term.Epoch != in.Epoch || found.Term.Node != in.Node:
		m.logTakeOver(in, HandoverReplaced, "")
		return m.handoverReply(in.Service, HandoverReplaced, "")
	case found.Term.Heartbeats > in.Heartbeats:
		m.logTakeOver(in, HandoverDeclined, "recovered")
		return m.handoverReply(in.Service, HandoverDeclined, "recovered")
	}
	result, reason := HandoverDeclined, "claim"
	switch m.claim(ctx, in.Service, found, now) {
	case glade.Committed:
		result, reason = HandoverClaimed, ""
	case glade.Uncertain:
		result = HandoverUnknown
	}
	m.logTakeOver(in, result, reason)
	return m.handoverReply(in.Service, result, reason)
}

func (m *Manager) logTakeOver(in HandoverArgs, result HandoverResult, reason string) {
	m.handovers.count("received." + string(result))
	m.config.Log.Info("takeover", "service", in.Service, "from", in.Node, "epoch", in.Epoch, "beat", in.Heartbeats,
		"result", result, "why", reason)
}

// handoverCounts counts hand-overs by their outcome.
type handoverCounts struct {
	mu     sync.Mutex
	counts map[string]int64
}

func (h *handoverCounts) count(name string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.counts == nil {
		h.counts = make(map[string]int64)
	}
	h.counts[name]++
}

// Handovers returns the hand-overs that this process has asked for (asked.*) and that it was
// asked for (received.*), by outcome, and the probes of the store by leaders (probe.*).
func (m *Manager) Handovers() map[string]int64 {
	m.handovers.mu.Lock()
	defer m.handovers.mu.Unlock()
	out := make(map[string]int64, len(m.handovers.counts))
	for name, n := range m.handovers.counts {
		out[name] = n
	}
	return out
}

// handoverMonitor hands a term over when the store refuses this host alone.
type handoverMonitor struct {
	leadership *leadership
	// giveUp ends the leadership, for a reason.
	giveUp func(reason string)
	// asked is called when other hosts were asked and none took over.
	asked func()
	// hasReserve is set if a host that the store has refused a moment ago could lead.
	hasReserve bool
}

// Intervals and timeouts of a hand-over.
const (
	refusalCheckPeriod = 50 * time.Millisecond
	// canLeadTimeout covers a probe of the called host.
	canLeadTimeout = probeTimeLimit + 100*time.Millisecond
	// preferenceWait is how long a leader waits for the answers of preferred hosts when
	// another one can lead.
	preferenceWait = 60 * time.Millisecond
	// takeOverTimeout covers a probe of the called host, and its claim.
	takeOverTimeout = 700 * time.Millisecond
	askedHosts      = 5 // at once; the next round asks others
)

// run checks until ctx ends.
func (h *handoverMonitor) run(ctx context.Context) {
	clock := h.leadership.clock
	for clock.Sleep(ctx, refusalCheckPeriod) == nil {
		if h.leadership.health.isDue(clock.Now()) {
			h.check(ctx)
		}
	}
}

// check probes the store, and hands the term over if the probe fails and another host can
// lead.
func (h *handoverMonitor) check(ctx context.Context) {
	l := h.leadership
	m := l.manager
	result := m.probe(ctx, l.service)
	for i := 1; i < refusedProbes && result == probeRefused; i++ {
		if l.clock.Sleep(ctx, refusedProbePause) != nil {
			return
		}
		result = m.probe(ctx, l.service)
	}
	now := l.clock.Now()
	switch {
	case ctx.Err() != nil:
		return
	case result == probeServed:
		m.handovers.count("probe.served")
		if known := m.config.Directory.LastHeartbeat(l.service, now).Term; known.Epoch > l.term.Epoch {
			h.giveUp(errNotLeader.Error())
			return
		}
		failing := l.health.failingFor(now)
		if gaveUp := l.health.recordServed(now); gaveUp {
			m.config.Log.Info("write without answer given up, as the store serves this host", "service", l.service, "epoch", l.term.Epoch, "failing", failing.Milliseconds())
		}
		return
	case !l.health.mayAsk(now, result == probeSilent):
		return // a write has succeeded meanwhile, or may still succeed
	}
	m.handovers.count("probe.failed")
	hosts := m.config.Directory.successors(l.service)
	rounds := l.health.rounds(now)
	h.handOver(ctx, chooseAsked(hosts, rounds), rounds)
	l.health.recordAsked(l.clock.Now(), len(hosts)-(rounds+1)*askedHosts)
	if h.hasReserve {
		l.health.recordReserve(l.clock.Now())
	}
	if h.asked != nil {
		h.asked()
	}
}

// chooseAsked returns the hosts to ask in a round: the preferred ones in the first, and the
// next ones in each that follows.
func chooseAsked(hosts []successor, round int) []successor {
	if len(hosts) <= askedHosts {
		return hosts
	}
	first := round * askedHosts % len(hosts)
	return slices.Concat(hosts[first:], hosts[:first])[:askedHosts]
}

// handOver looks for a host that can lead, and asks it to claim the service.
func (h *handoverMonitor) handOver(ctx context.Context, asked []successor, round int) {
	l := h.leadership
	m := l.manager
	in := HandoverArgs{Service: l.service, Node: m.config.Self, Epoch: l.term.Epoch}
	next, replies := h.findSuccessor(ctx, asked, in)
	in.Reserve = next.reserve
	m.config.Log.Info("store refuses this host; others were asked to lead", "service", l.service, "epoch", l.term.Epoch,
		"failing", l.health.failingFor(l.clock.Now()).Milliseconds(), "round", round, "asked", len(asked), "answered", len(replies), "ready", next.node)
	if h.isReplaced(replies) || next.node == "" || ctx.Err() != nil {
		return
	}
	before := l.health.isHandingOver()
	var ok bool
	if in.Heartbeats, ok = l.health.beginHandover(); !ok {
		return
	}
	m.mu.Lock()
	m.hold.extend(l.clock.Now())
	m.mu.Unlock()
	bounded, cancel := context.WithTimeout(ctx, takeOverTimeout)
	defer cancel()
	reply, err := jrpc.Call[HandoverArgs, HandoverReply](bounded, m.router.peerClient(next.address), methodTakeOver, in)
	if err != nil {
		reply = HandoverReply{Result: HandoverUnknown, Reason: err.Error()}
	}
	m.handovers.count("asked." + string(reply.Result))
	m.config.Log.Info("handover", "service", l.service, "epoch", l.term.Epoch, "to", next.node, "result", reply.Result, "why", reply.Reason,
		"next", reply.Term.Epoch, "failing", l.health.failingFor(l.clock.Now()).Milliseconds())
	if h.isReplaced([]HandoverReply{reply}) {
		return
	}
	if reply.Result == HandoverDeclined {
		l.health.cancelHandover(before)
	}
}

// isReplaced gives up the leadership if a reply names a newer term.
func (h *handoverMonitor) isReplaced(replies []HandoverReply) bool {
	l := h.leadership
	for _, reply := range replies {
		if reply.Term.Epoch > l.term.Epoch {
			l.manager.config.Directory.RecordTerm(l.service, reply.Term, reply.Version)
			h.giveUp("handed over to " + string(reply.Term.Node))
			return true
		}
	}
	return false
}

// successor is a host that could lead a service.
type successor struct {
	node    glade.Node
	address string
	// reserve is set if the store has refused the host a moment ago.
	reserve bool
}

// canLeadCall asks one host.
type canLeadCall struct {
	client  *jrpc.Client
	in      HandoverArgs
	index   int
	answers chan<- canLeadAnswer
}

type canLeadAnswer struct {
	index int
	reply HandoverReply
	err   error
}

func (c *canLeadCall) run(ctx context.Context) {
	reply, err := jrpc.Call[HandoverArgs, HandoverReply](ctx, c.client, methodCanLead, c.in)
	c.answers <- canLeadAnswer{index: c.index, reply: reply, err: err}
}

// findSuccessor asks hosts whether they can lead, the preferred ones first in the list, and
// returns the first of them that can. If writes have failed for reserveAfter, a host that the
// store has refused a moment ago will do.
func (h *handoverMonitor) findSuccessor(ctx context.Context, asked []successor, in HandoverArgs) (next successor, replies []HandoverReply) {
	bounded, cancel := context.WithTimeout(ctx, canLeadTimeout)
	defer cancel()
	answers := make(chan canLeadAnswer, len(asked))
	for i, s := range asked {
		c := &canLeadCall{client: h.leadership.manager.router.peerClient(s.address), in: in, index: i, answers: answers}
		go c.run(bounded)
	}
	best := len(asked)
	var reserve successor
	defer func() {
		h.hasReserve = reserve.node != ""
		if next.node == "" && h.leadership.health.failingFor(h.leadership.clock.Now()) >= reserveAfter {
			next = reserve
		}
	}()
	var grace <-chan time.Time
	for range asked {
		select {
		case a := <-answers:
			if a.err != nil {
				continue
			}
			replies = append(replies, a.reply)
			if a.reply.Result == HandoverReserve && reserve.node == "" {
				reserve = asked[a.index]
				reserve.reserve = true
			}
			if a.reply.Result == HandoverReady && a.index < best {
				best, next = a.index, asked[a.index]
				if grace == nil {
					timer := time.NewTimer(preferenceWait)
					defer timer.Stop()
					grace = timer.C
				}
			}
			if best == 0 {
				return next, replies
			}
		case <-grace:
			return next, replies
		case <-bounded.Done():
			return next, replies
		}
	}
	return next, replies
}
