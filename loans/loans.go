// Package loans shares the contracts' limits between entry hosts: it carries
// the messages that package limit decides on.
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

// Config configures the Loans.
type Config struct {
	Peers *peer.Peers
	Book  *adopt.Book
	Table glade.Table
	Clock glade.Clock
	// Counters receives the counts.
	Counters *expvar.Map
}

// Loans is this process's part of every contract's limits. A nil one limits
// nothing.
type Loans struct {
	config  Config
	mu      sync.Mutex
	limiter *limit.Limiter
	mark    marker
	sends   chan func(ctx context.Context)
}

// Bounds of the messages to other entry hosts.
const (
	callers    = 4
	ringLength = 256
	// markTicks is the number of ticks between two tries to read or write the
	// own row.
	markTicks = 5
)

// New returns loans over every entry host of the settings.
func New(config Config) *Loans {
	return &Loans{
		config: config,
		limiter: limit.New(limit.Config{
			Self: config.Peers.Self(), Nodes: config.Peers.All(), Run: uint64(config.Clock.Now().UnixNano()),
		}),
		sends: make(chan func(ctx context.Context), ringLength),
	}
}

// Acquire takes one unit for an attempt, and tells whether there was one.
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

// Release gives the unit of an attempt back.
func (l *Loans) Release(customer glade.Customer) {
	if l == nil {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.limiter.Release(customer)
}

// Register adds the methods that other entry hosts call.
func (l *Loans) Register(mux *link.Mux) {
	link.Handle(mux, "lend", l.lend)
	link.Handle(mux, "audit", l.answer)
	link.Handle(mux, "return", l.returned)
}

func (l *Loans) lend(_ context.Context, in limit.Ask) (limit.Loan, error) {
	contract, ok := l.config.Book.Find(in.Customer)
	if !ok {
		return limit.Loan{}, nil
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.mark.wanted = true
	if !l.mark.isSet || l.mark.leaving {
		return limit.Loan{}, nil
	}
	loan := l.limiter.Lend(contract, in)
	l.config.Counters.Add("lent", int64(loan.Units))
	return loan, nil
}

func (l *Loans) answer(_ context.Context, in limit.Audit) (limit.Held, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.limiter.Answer(in), nil
}

func (l *Loans) returned(_ context.Context, in limit.Loan) (bool, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.limiter.Returned(in)
	return true, nil
}

// Run asks for loans and gives them back until ctx ends.
func (l *Loans) Run(ctx context.Context) error {
	var wait sync.WaitGroup
	for range callers {
		wait.Add(1)
		c := &caller{loans: l, wait: &wait}
		go c.run(ctx)
	}
	defer wait.Wait()
	for tick := 0; ; tick++ {
		if tick%markTicks == 0 {
			if do := l.duty(); do != nil {
				l.push(do)
			}
		}
		live := l.config.Peers.Live()
		l.mu.Lock()
		plan := l.limiter.Tick(live)
		l.mu.Unlock()
		l.do(plan)
		if l.config.Clock.Sleep(ctx, limit.Period) != nil {
			return nil
		}
	}
}

type caller struct {
	loans *Loans
	wait  *sync.WaitGroup
}

func (c *caller) run(ctx context.Context) {
	defer c.wait.Done()
	for {
		select {
		case <-ctx.Done():
			return
		case send := <-c.loans.sends:
			send(ctx)
		}
	}
}

// do carries a plan out. A message that finds the ring full is dropped; a later
// tick or audit makes up for it.
func (l *Loans) do(plan limit.Plan) {
	for _, ask := range plan.Asks {
		l.push(func(ctx context.Context) { l.borrow(ctx, ask) })
	}
	for node, audit := range plan.Audits {
		l.push(func(ctx context.Context) { l.audit(ctx, node, audit) })
	}
	for _, loan := range plan.Returns {
		l.push(func(ctx context.Context) { l.giveBack(ctx, loan) })
	}
}

func (l *Loans) push(send func(ctx context.Context)) {
	select {
	case l.sends <- send:
	default:
		l.config.Counters.Add("dropped", 1)
	}
}

func (l *Loans) borrow(ctx context.Context, ask limit.Ask) {
	client, ok := l.config.Peers.Client(ask.To)
	if !ok {
		return
	}
	loan, err := link.Call[limit.Ask, limit.Loan](ctx, client, "lend", ask)
	if err != nil || loan.Units == 0 {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.limiter.Borrow(ask, loan) {
		l.config.Counters.Add("borrowed", int64(loan.Units))
	}
}

func (l *Loans) audit(ctx context.Context, node glade.Node, audit limit.Audit) {
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

func (l *Loans) giveBack(ctx context.Context, loan limit.Loan) {
	if client, ok := l.config.Peers.Client(loan.Lender); ok {
		// A lost return is found by the lender's next audit.
		_, _ = link.Call[limit.Loan, bool](ctx, client, "return", loan)
	}
}

// Leave lends no more and gives back the loans that nothing in flight rests on.
func (l *Loans) Leave(ctx context.Context) {
	l.mu.Lock()
	done := l.limiter.Leave()
	l.mark.leaving = true
	isClean := l.mark.isSet && !l.limiter.HasLent()
	l.mu.Unlock()
	for _, loan := range done {
		l.giveBack(ctx, loan)
	}
	if isClean {
		l.write(ctx, false)
	}
}
