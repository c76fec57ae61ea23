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
	"indigoglade/memory"
	"indigoglade/stand/internal/fault"
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

// Sizes of the faults.
const (
	slowFactor    = 10
	oversizeBytes = 8 << 20
	trickleGap    = 100 * time.Millisecond
)

// maxBody bounds the size of a request body, in bytes.
const maxBody = 1 << 20

// ErrEpoch refuses a command that carries an older epoch than seen before.
var ErrEpoch = errors.New("epoch is stale")

// ErrDown refuses a command to a host that is booting or down.
var ErrDown = errors.New("host is not up")

// Runner is one worker host with the endpoint on it.
type Runner struct {
	config   Config
	clock    glade.Clock
	book     *ledger.Ledger
	board    *fault.Board
	listener net.Listener

	mu       sync.Mutex
	listed   glade.Listed
	epoch    uint64
	flight   int
	waiting  int
	leftAt   time.Time
	upAt     time.Time
	slots    chan struct{}
	stopping chan struct{}
	tasks    *memory.Tasks
}

func newRunner(listed glade.Listed, config Config, with Parts) (*Runner, error) {
	r := &Runner{
		config:   config,
		clock:    with.Clock,
		book:     with.Ledger,
		board:    with.Faults,
		listed:   listed,
		slots:    make(chan struct{}, config.Slots),
		stopping: make(chan struct{}),
		tasks: memory.NewTasks(memory.TasksConfig{
			Work: config.Task.Duration(), Usage: config.Usage.Duration(), Lease: config.Lease.Duration(),
		}),
	}
	listener, err := newGate(listed.Address, r.IsDown)
	r.listener = listener
	return r, err
}

// Listener returns the listener of the runner's endpoint.
func (r *Runner) Listener() net.Listener { return r.listener }

// Fault returns the misbehaviour of the host that is on.
func (r *Runner) Fault() fault.Kind {
	return r.board.Runner(r.listed.Host, r.listed.Rack, r.clock.Now())
}

// Zone returns the availability zone of the host.
func (r *Runner) Zone() glade.Zone { return r.listed.Zone }

// IsDown tells whether the host is down by a fault.
func (r *Runner) IsDown() bool { return r.Fault() == fault.Down }

// row returns the runner's row of the host list, and whether the host is up.
func (r *Runner) row() (glade.Listed, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.listed, !r.isBooting() && !r.IsDown()
}

func (r *Runner) isBooting() bool { return r.clock.Now().Before(r.upAt) }

// State returns what the worker reports of itself.
func (r *Runner) State() (glade.WorkerState, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.isBooting() || r.IsDown() {
		return glade.WorkerState{}, ErrDown
	}
	return glade.WorkerState{
		Host:        r.listed.Host,
		Incarnation: r.listed.Incarnation,
		Draining:    r.listed.Leaving,
		Running:     r.flight + r.waiting + r.tasks.Running(r.clock.Now()),
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
	r.book.CutTasks(r.tasks.Drop(r.clock.Now()))
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
	stop, kind, ok := r.enter(glade.Service(service))
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
	if !r.work(request.Context(), stop, kind) {
		panic(http.ErrAbortHandler)
	}
	r.book.Done(id)
	r.answer(w, id, body, kind)
}

func (r *Runner) enter(service glade.Service) (<-chan struct{}, fault.Kind, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.isBooting() || service != r.listed.Service || r.flight+r.waiting >= r.config.Links {
		return nil, fault.None, false
	}
	r.waiting++
	return r.stopping, r.Fault(), true
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
func (r *Runner) work(ctx context.Context, stop <-chan struct{}, kind fault.Kind) bool {
	took := r.config.Work.Duration()
	switch kind {
	case fault.Slow:
		took *= slowFactor
	case fault.Fail:
		took = 0
	case fault.Dead:
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

func (r *Runner) answer(w http.ResponseWriter, id string, body []byte, kind fault.Kind) {
	if kind == fault.Cross {
		id += "x"
	}
	w.Header().Set(RequestHeader, id)
	if state, err := r.State(); err == nil && state.Draining {
		w.Header().Set(LeavingHeader, "true")
	}
	reply := append([]byte(id+" "), body...)
	switch kind {
	case fault.Fail:
		w.WriteHeader(http.StatusInternalServerError)
	case fault.Garbage:
		writeGarbage(w)
	case fault.Oversize:
		w.Write(make([]byte, oversizeBytes))
	case fault.Trickle:
		trickle(w, reply)
	case fault.Cut:
		w.Header().Set("Content-Length", strconv.Itoa(len(reply)))
		w.Write(reply[:len(reply)/2])
		panic(http.ErrAbortHandler)
	default:
		w.Header().Set("Content-Length", strconv.Itoa(len(reply)))
		w.Write(reply)
	}
}

// writeGarbage sends bytes that are no HTTP answer.
func writeGarbage(w http.ResponseWriter) {
	raw, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	defer raw.Close()
	raw.Write([]byte("\x00\xffno answer\r\n\r\n"))
}

// trickle sends the answer a byte at a time.
func trickle(w http.ResponseWriter, reply []byte) {
	w.Header().Set("Content-Length", strconv.Itoa(len(reply)))
	flush := http.NewResponseController(w)
	for i := range reply {
		w.Write(reply[i : i+1])
		if flush.Flush() != nil {
			return
		}
		time.Sleep(trickleGap)
	}
}
