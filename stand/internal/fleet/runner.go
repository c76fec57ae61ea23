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

// Headers of the runners' HTTP API.
const (
	// RequestHeader carries the request ID. Runners echo it in the response.
	RequestHeader = "Request-Id"
	// LeavingHeader is set in responses of a runner that is draining, and when a
	// runner rejects a request.
	LeavingHeader = "Runner-Leaving"
)

// drainGrace is how long after the start of a drain requests may still be started.
// Later starts are recorded as late.
const drainGrace = 3 * time.Second

// Parameters of the injected faults.
const (
	slowFactor      = 10
	oversizeBytes   = 8 << 20
	trickleInterval = 100 * time.Millisecond
)

// maxBodyBytes is the maximum size of a request body.
const maxBodyBytes = 1 << 20

// ErrStaleEpoch is returned for a command whose epoch is older than the newest epoch
// that the host has seen.
var ErrStaleEpoch = errors.New("epoch is stale")

// ErrDown is returned for a command to a host that is booting or down.
var ErrDown = errors.New("host is not up")

// Runner is one simulated worker host with its endpoint.
type Runner struct {
	config   Config
	clock    glade.Clock
	ledger   *ledger.Ledger
	faults   *fault.Schedule
	listener net.Listener

	mu         sync.Mutex
	listed     glade.HostListing
	epoch      uint64
	inFlight   int
	queued     int
	drainStart time.Time
	bootEnd    time.Time
	slots      chan struct{}
	aborted    chan struct{}
	tasks      *memory.Tasks
}

func newRunner(listed glade.HostListing, config Config, deps Deps) (*Runner, error) {
	r := &Runner{
		config:  config,
		clock:   deps.Clock,
		ledger:  deps.Ledger,
		faults:  deps.Faults,
		listed:  listed,
		slots:   make(chan struct{}, config.Slots),
		aborted: make(chan struct{}),
		tasks: memory.NewTasks(memory.TasksConfig{
			RunTime: config.TaskTime.Duration(), Usage: config.Usage.Duration(), Lease: config.Lease.Duration(),
		}),
	}
	listener, err := newHostListener(listed.Address, r.IsDown)
	r.listener = listener
	return r, err
}

// Listener returns the listener for the runner's endpoint.
func (r *Runner) Listener() net.Listener { return r.listener }

// Fault returns the active fault of the host or its rack.
func (r *Runner) Fault() fault.Kind {
	return r.faults.AtHost(r.listed.Host, r.listed.Rack, r.clock.Now())
}

// Zone returns the availability zone of the host.
func (r *Runner) Zone() glade.Zone { return r.listed.Zone }

// IsDown reports whether the host is down because of a fault.
func (r *Runner) IsDown() bool { return r.Fault() == fault.Down }

// listEntry returns the current host list entry, and whether the host is up. Only
// hosts that are up are listed.
func (r *Runner) listEntry() (glade.HostListing, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.listed, !r.isBooting() && !r.IsDown()
}

func (r *Runner) isBooting() bool { return r.clock.Now().Before(r.bootEnd) }

// State returns the state that the worker reports. It fails if the host is booting
// or down.
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
		Running:     r.inFlight + r.queued + r.tasks.Running(r.clock.Now()),
		Service:     r.listed.Service,
		Epoch:       r.epoch,
	}, nil
}

// Drain makes the runner report that it is draining. It still accepts requests.
func (r *Runner) Drain(epoch uint64) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	if epoch < r.epoch {
		return ErrStaleEpoch
	}
	r.epoch = epoch
	if !r.listed.Leaving {
		r.listed.Leaving = true
		r.drainStart = r.clock.Now()
	}
	return nil
}

// Reboot starts a new incarnation that runs service, and aborts running requests
// and tasks. It is idempotent: a repeated command with the same epoch and service
// has no effect.
func (r *Runner) Reboot(epoch uint64, service glade.Service) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	if epoch < r.epoch {
		return ErrStaleEpoch
	}
	if epoch == r.epoch && !r.listed.Leaving && r.listed.Service == service {
		return nil
	}
	if running := r.inFlight + r.queued; running > 0 {
		r.ledger.Aborted(running)
		close(r.aborted)
		r.aborted = make(chan struct{})
	}
	r.ledger.DropTasks(r.tasks.DropAll(r.clock.Now()))
	r.epoch = epoch
	r.listed.Incarnation++
	r.listed.Leaving = false
	r.listed.Service = service
	r.bootEnd = r.clock.Now().Add(r.config.BootTime.Duration())
	return nil
}

// ServeHTTP executes one request and responds as the active fault demands.
func (r *Runner) ServeHTTP(w http.ResponseWriter, request *http.Request) {
	id := request.Header.Get(RequestHeader)
	service := strings.TrimPrefix(request.URL.Path, "/run/")
	body, err := io.ReadAll(http.MaxBytesReader(w, request.Body, maxBodyBytes))
	if err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	aborted, kind, ok := r.admit(glade.Service(service))
	if !ok {
		w.Header().Set(LeavingHeader, "true")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	select {
	case r.slots <- struct{}{}:
	case <-request.Context().Done():
		r.cancelQueued()
		return
	}
	defer r.release()
	r.startRequest(id)
	if !r.simulateWork(request.Context(), aborted, kind) {
		panic(http.ErrAbortHandler)
	}
	r.ledger.Done(id)
	r.respond(w, id, body, kind)
}

func (r *Runner) admit(service glade.Service) (<-chan struct{}, fault.Kind, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.isBooting() || service != r.listed.Service || r.inFlight+r.queued >= r.config.MaxRequests {
		return nil, fault.None, false
	}
	r.queued++
	return r.aborted, r.Fault(), true
}

func (r *Runner) startRequest(id string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.queued--
	r.inFlight++
	late := r.listed.Leaving && r.clock.Now().Sub(r.drainStart) > drainGrace
	r.ledger.Start(id, r.inFlight+r.queued, late)
}

// cancelQueued removes a queued request whose caller disconnected before a slot
// was free.
func (r *Runner) cancelQueued() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.queued--
}

// release frees the slot of a request.
func (r *Runner) release() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.inFlight--
	<-r.slots
}

// simulateWork waits for the execution time of one request. It returns false if a
// reboot aborted the request or the caller disconnected.
func (r *Runner) simulateWork(ctx context.Context, aborted <-chan struct{}, kind fault.Kind) bool {
	duration := r.config.RequestTime.Duration()
	switch kind {
	case fault.Slow:
		duration *= slowFactor
	case fault.Fail:
		duration = 0
	case fault.Dead:
		duration = time.Hour
	}
	timer := time.NewTimer(duration)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-aborted:
		return false
	case <-ctx.Done():
		return false
	}
}

func (r *Runner) respond(w http.ResponseWriter, id string, body []byte, kind fault.Kind) {
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
		writeTrickle(w, reply)
	case fault.Cut:
		w.Header().Set("Content-Length", strconv.Itoa(len(reply)))
		w.Write(reply[:len(reply)/2])
		panic(http.ErrAbortHandler)
	default:
		w.Header().Set("Content-Length", strconv.Itoa(len(reply)))
		w.Write(reply)
	}
}

// writeGarbage sends bytes that are not a valid HTTP response.
func writeGarbage(w http.ResponseWriter) {
	conn, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	defer conn.Close()
	conn.Write([]byte("\x00\xffno answer\r\n\r\n"))
}

// writeTrickle sends the response one byte at a time.
func writeTrickle(w http.ResponseWriter, reply []byte) {
	w.Header().Set("Content-Length", strconv.Itoa(len(reply)))
	controller := http.NewResponseController(w)
	for i := range reply {
		w.Write(reply[i : i+1])
		if controller.Flush() != nil {
			return
		}
		time.Sleep(trickleInterval)
	}
}
