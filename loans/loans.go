// Package loans shares the contracts' limits between entry hosts: it runs the
// ticks of package limit and carries its messages between the hosts.
package loans

import (
	"context"
	"expvar"
	"sync"

	glade "indigoglade"
	"indigoglade/adopt"
	"indigoglade/limit"
	"indigoglade/link"
	"indigoglade/peer"
)

// Config holds what a loan exchange depends on.
type Config struct {
	Peers *peer.Peers
	Book  *adopt.Book
	Table glade.Table
	Clock glade.Clock
	// Counters counts refused requests, lent and borrowed units, and dropped
	// messages.
	Counters *expvar.Map
}

// Loans gives out this process's part of every contract's limits and exchanges
// units with the other entry hosts. Acquire and Release accept a nil receiver,
// which limits nothing.
type Loans struct {
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
func New(config Config) *Loans {
	return &Loans{
		config: config,
		limiter: limit.New(limit.Config{
			Self: config.Peers.Self(), Nodes: config.Peers.All(), Run: uint64(config.Clock.Now().UnixNano()),
		}),
		queue: make(chan func(ctx context.Context), queueLength),
	}
}

// Acquire takes one unit for an attempt. It returns false if the contract's
// limit is reached.
func (l *Loans) Acquire(contract glade.Contract) bool {
	if l == nil {
		return true
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	ok := l.limiter.Acquire(l.config.Clock.Now(), contract)
	if !ok {
		l.config.Counters.Add("refused", 1)
	}
	return ok
}

// Release returns the unit of a finished attempt.
func (l *Loans) Release(customer glade.Customer) {
	if l == nil {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.limiter.Release(customer)
}

// Register adds the RPC methods that other entry hosts call.
func (l *Loans) Register(mux *link.Mux) {
	link.Handle(mux, "lend", l.handleLend)
	link.Handle(mux, "audit", l.handleAudit)
	link.Handle(mux, "return", l.handleReturn)
}

func (l *Loans) handleLend(_ context.Context, in limit.Ask) (limit.Loan, error) {
	contract, ok := l.config.Book.Find(in.Customer)
	if !ok {
		return limit.Loan{}, nil
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.row.requested = true
	if !l.row.mayLend || l.row.leaving {
		return limit.Loan{}, nil
	}
	loan := l.limiter.Lend(contract, in)
	l.config.Counters.Add("lent", int64(loan.Units))
	return loan, nil
}

func (l *Loans) handleAudit(_ context.Context, in limit.Audit) (limit.Held, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.limiter.Answer(in), nil
}

func (l *Loans) handleReturn(_ context.Context, in limit.Loan) (bool, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.limiter.Returned(in)
	return true, nil
}

// Run borrows, returns and audits loans until ctx ends.
func (l *Loans) Run(ctx context.Context) error {
	var wait sync.WaitGroup
	for range sendWorkers {
		wait.Add(1)
		w := &sendWorker{loans: l, wait: &wait}
		go w.run(ctx)
	}
	defer wait.Wait()
	for tick := 0; ; tick++ {
		if tick%rowTicks == 0 {
			if access := l.nextAccess(); access != nil {
				l.enqueue(access)
			}
		}
		live := l.config.Peers.Live()
		l.mu.Lock()
		messages := l.limiter.Tick(live)
		l.mu.Unlock()
		l.enqueueAll(messages)
		if l.config.Clock.Sleep(ctx, limit.Period) != nil {
			return nil
		}
	}
}

type sendWorker struct {
	loans *Loans
	wait  *sync.WaitGroup
}

func (w *sendWorker) run(ctx context.Context) {
	defer w.wait.Done()
	for {
		select {
		case <-ctx.Done():
			return
		case send := <-w.loans.queue:
			send(ctx)
		}
	}
}

// enqueueAll queues the messages of a tick. A message is dropped when the queue
// is full; a later tick or audit makes up for it.
func (l *Loans) enqueueAll(messages limit.Plan) {
	for _, request := range messages.Asks {
		l.enqueue(func(ctx context.Context) { l.requestLoan(ctx, request) })
	}
	for node, audit := range messages.Audits {
		l.enqueue(func(ctx context.Context) { l.sendAudit(ctx, node, audit) })
	}
	for _, loan := range messages.Returns {
		l.enqueue(func(ctx context.Context) { l.returnLoan(ctx, loan) })
	}
}

func (l *Loans) enqueue(send func(ctx context.Context)) {
	select {
	case l.queue <- send:
	default:
		l.config.Counters.Add("dropped", 1)
	}
}

func (l *Loans) requestLoan(ctx context.Context, request limit.Ask) {
	client, ok := l.config.Peers.Client(request.To)
	if !ok {
		return
	}
	loan, err := link.Call[limit.Ask, limit.Loan](ctx, client, "lend", request)
	if err != nil || loan.Units == 0 {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.limiter.Borrow(request, loan) {
		l.config.Counters.Add("borrowed", int64(loan.Units))
	}
}

func (l *Loans) sendAudit(ctx context.Context, node glade.Node, audit limit.Audit) {
	client, ok := l.config.Peers.Client(node)
	if !ok {
		return
	}
	held, err := link.Call[limit.Audit, limit.Held](ctx, client, "audit", audit)
	if err != nil {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.limiter.Audited(node, audit, held)
}

func (l *Loans) returnLoan(ctx context.Context, loan limit.Loan) {
	if client, ok := l.config.Peers.Client(loan.Lender); ok {
		// The lender's next audit detects a return that was lost.
		_, _ = link.Call[limit.Loan, bool](ctx, client, "return", loan)
	}
}

// Leave stops lending and returns the held loans that no request in flight
// needs. If no loan of this process is outstanding, it also clears the lender
// row.
func (l *Loans) Leave(ctx context.Context) {
	l.mu.Lock()
	returns := l.limiter.Leave()
	l.row.leaving = true
	noneLent := l.row.mayLend && !l.limiter.HasLent()
	l.mu.Unlock()
	for _, loan := range returns {
		l.returnLoan(ctx, loan)
	}
	if noneLent {
		l.writeRow(ctx, false)
	}
}
