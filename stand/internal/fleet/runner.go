package fleet

import (
	"context"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/pkg/errors"

	glade "indigoglade"
	"indigoglade/stand/internal/ledger"
)

// Headers of the runners' HTTP interface.
const (
	// RequestHeader carries the id of a request; runners echo it.
	RequestHeader = "Request-Id"
	// LeavingHeader is set by a runner that is leaving.
	LeavingHeader = "Runner-Leaving"
)

// leaveGrace is the time after which new work on a leaving runner is late.
const leaveGrace = 3 * time.Second

// maxBody bounds the size of a request body, in bytes.
const maxBody = 1 << 20

// ErrEpoch refuses a command that carries an older epoch than seen before.
var ErrEpoch = errors.New("epoch is stale")

// ErrBusy refuses a reboot while work runs.
var ErrBusy = errors.New("host has running work")

// Runner is one worker host with the endpoint on it.
type Runner struct {
	config   Config
	clock    glade.Clock
	book     *ledger.Ledger
	listener net.Listener

	mu       sync.Mutex
	listed   glade.Listed
	epoch    uint64
	flight   int
	waiting  int
	leftAt   time.Time
	upAt     time.Time
	slots    chan struct{}
	fault    Fault
	stopping chan struct{}
	tasks    map[string]*task
	// ended holds the tasks that may not start any more.
	ended map[string]bool
	// lease is when the leases of the tasks were renewed last.
	lease time.Time
}

// Fault is a misbehaviour of a runner that can be switched on.
type Fault string

// Faults of a runner.
const (
	FaultNone Fault = ""
	// FaultFail reports an error for every request at once.
	FaultFail Fault = "fail"
	// FaultCut breaks answers off half way.
	FaultCut Fault = "cut"
	// FaultSlow takes ten times as long.
	FaultSlow Fault = "slow"
	// FaultCross answers with the id of another request.
	FaultCross Fault = "cross"
	// FaultDead accepts connections and never answers.
	FaultDead Fault = "dead"
)

func newRunner(listed glade.Listed, config Config, clock glade.Clock, book *ledger.Ledger, listener net.Listener) *Runner {
	return &Runner{
		config:   config,
		clock:    clock,
		book:     book,
		listener: listener,
		listed:   listed,
		slots:    make(chan struct{}, config.Slots),
		stopping: make(chan struct{}),
		tasks:    make(map[string]*task),
		ended:    make(map[string]bool),
	}
}

// Listener returns the listener of the runner's endpoint.
func (r *Runner) Listener() net.Listener { return r.listener }

// SetFault switches a misbehaviour on or off.
func (r *Runner) SetFault(fault Fault) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.fault = fault
}

// row returns the runner's row of the host list, and whether the host is up.
func (r *Runner) row() (glade.Listed, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.listed, !r.isBooting()
}

func (r *Runner) isBooting() bool { return r.clock.Now().Before(r.upAt) }

// State returns what the worker reports of itself.
func (r *Runner) State() (glade.WorkerState, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.isBooting() {
		return glade.WorkerState{}, errors.New("host is booting")
	}
	return glade.WorkerState{
		Host:        r.listed.Host,
		Incarnation: r.listed.Incarnation,
		Draining:    r.listed.Leaving,
		Running:     r.flight + r.waiting + r.runningTasks(),
		Service:     r.listed.Service,
		Epoch:       r.epoch,
	}, nil
}

// Drain marks the runner as leaving.
func (r *Runner) Drain(epoch uint64) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	if epoch < r.epoch {
		return ErrEpoch
	}
	r.epoch = epoch
	if !r.listed.Leaving {
		r.listed.Leaving = true
		r.leftAt = r.clock.Now()
	}
	return nil
}

// Reboot starts a new incarnation that runs service. The command repeated with
// the epoch of a reboot that was done already has no effect.
func (r *Runner) Reboot(epoch uint64, service glade.Service) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	if epoch < r.epoch {
		return ErrEpoch
	}
	if epoch == r.epoch && !r.listed.Leaving && r.listed.Service == service {
		return nil
	}
	if running := r.flight + r.waiting; running > 0 {
		r.book.Cut(running)
		close(r.stopping)
		r.stopping = make(chan struct{})
	}
	r.book.CutTasks(r.dropTasks())
	r.epoch = epoch
	r.listed.Incarnation++
	r.listed.Leaving = false
	r.listed.Service = service
	r.upAt = r.clock.Now().Add(r.config.Boot.Duration())
	return nil
}

// ServeHTTP runs one request.
func (r *Runner) ServeHTTP(w http.ResponseWriter, request *http.Request) {
	id := request.Header.Get(RequestHeader)
	service := strings.TrimPrefix(request.URL.Path, "/run/")
	body, err := io.ReadAll(http.MaxBytesReader(w, request.Body, maxBody))
	if err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	stop, fault, ok := r.enter(glade.Service(service))
	if !ok {
		w.Header().Set(LeavingHeader, "true")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	select {
	case r.slots <- struct{}{}:
	case <-request.Context().Done():
		r.abandon()
		return
	}
	defer r.leave()
	r.start(id)
	if !r.work(request.Context(), stop, fault) {
		panic(http.ErrAbortHandler)
	}
	r.book.Done(id)
	r.answer(w, id, body, fault)
}

func (r *Runner) enter(service glade.Service) (<-chan struct{}, Fault, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.isBooting() || service != r.listed.Service || r.flight+r.waiting >= r.config.Links {
		return nil, FaultNone, false
	}
	r.waiting++
	return r.stopping, r.fault, true
}

func (r *Runner) start(id string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.waiting--
	r.flight++
	late := r.listed.Leaving && r.clock.Now().Sub(r.leftAt) > leaveGrace
	r.book.Start(id, r.flight+r.waiting, late)
}

// abandon forgets a request whose caller left before it had a slot.
func (r *Runner) abandon() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.waiting--
}

// leave frees the slot of a request.
func (r *Runner) leave() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.flight--
	<-r.slots
}

// work takes the time of one request. It returns false when it was broken off.
func (r *Runner) work(ctx context.Context, stop <-chan struct{}, fault Fault) bool {
	took := r.config.Work.Duration()
	switch fault {
	case FaultSlow:
		took *= 10
	case FaultFail:
		took = 0
	case FaultDead:
		took = time.Hour
	}
	timer := time.NewTimer(took)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-stop:
		return false
	case <-ctx.Done():
		return false
	}
}

func (r *Runner) answer(w http.ResponseWriter, id string, body []byte, fault Fault) {
	if fault == FaultCross {
		id += "x"
	}
	w.Header().Set(RequestHeader, id)
	if state, err := r.State(); err == nil && state.Draining {
		w.Header().Set(LeavingHeader, "true")
	}
	if fault == FaultFail {
		w.WriteHeader(http.StatusInternalServerError)
		return
	}
	reply := append([]byte(id+" "), body...)
	w.Header().Set("Content-Length", strconv.Itoa(len(reply)))
	if fault == FaultCut {
		reply = reply[:len(reply)/2]
	}
	w.Write(reply)
	if fault == FaultCut {
		panic(http.ErrAbortHandler)
	}
}
