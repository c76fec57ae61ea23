// Package loans shares the contracts' limits between entry hosts: it runs the
// ticks of package limit and carries its messages between the hosts.
package loans

import (
	"context"
	"expvar"
	"sync"

	glade "indigoglade"
	"indigoglade/adopt"
	"indigoglade/jrpc"
	"indigoglade/limit"
	"indigoglade/peer"
)

// Config holds what a loan exchange depends on.
type Config struct {
	Peers    *peer.Peers
	Registry *adopt.Registry
	Table    glade.Table
	Clock    glade.Clock
	// Counters counts refused requests, lent and borrowed units, and dropped
	// messages.
	Counters *expvar.Map
}

// Exchange gives out this process's part of every contract's limits and exchanges
// units with the other entry hosts. Acquire and Release accept a nil receiver,
// which limits nothing.
type Exchange struct {
	config  Config
	mu      sync.Mutex
	limiter *limit.Limiter
	row     rowState
	queue   chan func(ctx context.Context)
}

// Bounds of the messages to other entry hosts.
const (
	sendWorkers = 4
	queueLength = 256
	// rowTicks is the number of ticks between two attempts to read or write
	// this node's lender row.
	rowTicks = 5
)

// New returns the loan exchange with all entry hosts of the settings.
func New(config Config) *Exchange {
	return &Exchange{
		config: config,
		limiter: limit.New(limit.Config{
			Self: config.Peers.Self(), Nodes: config.Peers.All(), RunID: uint64(config.Clock.Now().UnixNano()),
		}),
		queue: make(chan func(ctx context.Context), queueLength),
	}
}

// Acquire takes one unit for an attempt. It returns false if this process's part
// of the contract's limits is used up.
func (e *Exchange) Acquire(contract glade.Contract) bool {
	if e == nil {
		return true
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	ok := e.limiter.Acquire(e.config.Clock.Now(), contract)
	if !ok {
		e.config.Counters.Add("refused", 1)
	}
	return ok
}

// Release returns the unit of a finished attempt.
func (e *Exchange) Release(customer glade.Customer) {
	if e == nil {
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.limiter.Release(customer)
}

// Register adds the RPC methods that other entry hosts call.
func (e *Exchange) Register(mux *jrpc.Mux) {
	jrpc.Handle(mux, "lend", e.handleLend)
	jrpc.Handle(mux, "audit", e.handleAudit)
	jrpc.Handle(mux, "return", e.handleReturn)
}

func (e *Exchange) handleLend(_ context.Context, in limit.LoanRequest) (limit.Loan, error) {
	contract, ok := e.config.Registry.Find(in.Customer)
	if !ok {
		return limit.Loan{}, nil
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.row.requested = true
	if !e.row.mayLend || e.row.leaving {
		return limit.Loan{}, nil
	}
	loan := e.limiter.Lend(contract, in)
	e.config.Counters.Add("lent", int64(loan.Units))
	return loan, nil
}

func (e *Exchange) handleAudit(_ context.Context, in limit.Audit) (limit.AuditReply, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.limiter.HandleAudit(in), nil
}

func (e *Exchange) handleReturn(_ context.Context, in limit.Loan) (bool, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.limiter.HandleReturn(in)
	return true, nil
}

// Run borrows, returns and audits loans until ctx ends.
func (e *Exchange) Run(ctx context.Context) error {
	var wait sync.WaitGroup
	for range sendWorkers {
		wait.Add(1)
		w := &sendWorker{exchange: e, wait: &wait}
		go w.run(ctx)
	}
	defer wait.Wait()
	for tick := 0; ; tick++ {
		if tick%rowTicks == 0 {
			if access := e.nextAccess(); access != nil {
				e.enqueue(access)
			}
		}
		live := e.config.Peers.Live()
		e.mu.Lock()
		messages := e.limiter.Tick(live)
		e.mu.Unlock()
		e.enqueueAll(messages)
		if e.config.Clock.Sleep(ctx, limit.TickPeriod) != nil {
			return nil
		}
	}
}

type sendWorker struct {
	exchange *Exchange
	wait     *sync.WaitGroup
}

func (w *sendWorker) run(ctx context.Context) {
	defer w.wait.Done()
	for {
		select {
		case <-ctx.Done():
			return
		case send := <-w.exchange.queue:
			send(ctx)
		}
	}
}

// enqueueAll queues the messages of a tick. A message is dropped when the queue
// is full; a later tick or audit makes up for it.
func (e *Exchange) enqueueAll(messages limit.Messages) {
	for _, request := range messages.Requests {
		e.enqueue(func(ctx context.Context) { e.requestLoan(ctx, request) })
	}
	for node, audit := range messages.Audits {
		e.enqueue(func(ctx context.Context) { e.sendAudit(ctx, node, audit) })
	}
	for _, loan := range messages.Returns {
		e.enqueue(func(ctx context.Context) { e.returnLoan(ctx, loan) })
	}
}

func (e *Exchange) enqueue(send func(ctx context.Context)) {
	select {
	case e.queue <- send:
	default:
		e.config.Counters.Add("dropped", 1)
	}
}

func (e *Exchange) requestLoan(ctx context.Context, request limit.LoanRequest) {
	client, ok := e.config.Peers.Client(request.To)
	if !ok {
		return
	}
	loan, err := jrpc.Call[limit.LoanRequest, limit.Loan](ctx, client, "lend", request)
	if err != nil || loan.Units == 0 {
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.limiter.AcceptLoan(request, loan) {
		e.config.Counters.Add("borrowed", int64(loan.Units))
	}
}

func (e *Exchange) sendAudit(ctx context.Context, node glade.Node, audit limit.Audit) {
	client, ok := e.config.Peers.Client(node)
	if !ok {
		return
	}
	held, err := jrpc.Call[limit.Audit, limit.AuditReply](ctx, client, "audit", audit)
	if err != nil {
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.limiter.HandleAuditReply(node, audit, held)
}

func (e *Exchange) returnLoan(ctx context.Context, loan limit.Loan) {
	if client, ok := e.config.Peers.Client(loan.Lender); ok {
		// The lender's next audit detects a return that was lost.
		_, _ = jrpc.Call[limit.Loan, bool](ctx, client, "return", loan)
	}
}

// Leave stops lending and returns the held loans that no request in flight
// needs. If no loan of this process is outstanding, it also clears the lender
// row.
func (e *Exchange) Leave(ctx context.Context) {
	e.mu.Lock()
	returns := e.limiter.Leave()
	e.row.leaving = true
	noneLent := e.row.mayLend && !e.limiter.HasOutstandingLoans()
	e.mu.Unlock()
	for _, loan := range returns {
		e.returnLoan(ctx, loan)
	}
	if noneLent {
		e.writeRow(ctx, false)
	}
}
