// Package serve is the callers' side of an entry host: HTTP in, one explicit
// outcome out.
package serve

import (
	"expvar"
	"io"
	"net/http"
	"os"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/google/uuid"
	"github.com/labstack/echo/v4"
	"github.com/pkg/errors"

	glade "indigoglade"
	"indigoglade/adopt"
	"indigoglade/burn"
	"indigoglade/claim"
	"indigoglade/daemon"
	"indigoglade/demand"
	"indigoglade/desk"
	"indigoglade/loans"
	"indigoglade/once"
	"indigoglade/send"
)

// Headers of the callers' HTTP interface.
const (
	IDHeader       = "Request-Id"
	KeyHeader      = "Request-Key"      // names the work; defaults to the caller's Request-Id
	ResendHeader   = "Request-Resend"   // "true" when the key was sent before
	KeyAgeHeader   = "Request-Age"      // milliseconds since the key was first sent
	DeadlineHeader = "Request-Deadline" // milliseconds left
	OutcomeHeader  = "Outcome"
	ReasonHeader   = "Reason"
	VersionHeader  = "Contract-Version"
	AgeHeader      = "Contract-Age" // milliseconds since the platform confirmed it
	RetryHeader    = "Retry-After"  // seconds
)

// maxBody bounds the size of a request body, in bytes.
const maxBody = 1 << 20

// maxCalls bounds the requests under way at once, those whose body is still
// coming included.
const maxCalls = 2048

// Config configures a Server.
type Config struct {
	Book   *adopt.Registry
	Desk   *desk.Desk
	Sender *send.Sender
	// Claimer claims keyed work of pools that are not repeatable.
	Claimer *claim.Claimer
	// Loans keeps the contract's limits; without it there are none.
	Loans *loans.Exchange
	// End is told of endpoint incarnations that said they are leaving.
	End   func(endpoint glade.Endpoint)
	Meter *burn.Meter
	Clock glade.Clock
	// Peers are asked for room when no slot is free here.
	Peers []Peer
	// Demand measures what callers ask for; nil measures nothing.
	Demand *demand.Meter
	// Counters receives the counts; a nil map is replaced by one of its own.
	Counters *expvar.Map
	// Routes add further routes for callers.
	Routes []func(e *echo.Echo)
}

// Server answers callers.
type Server struct {
	config   Config
	stopping atomic.Bool
	outcomes *expvar.Map
	budgets  budgets
	rooms    rooms
	// calls holds a place for each request under way.
	calls chan struct{}
	// relays counts the requests of peers under way, and attempts the slots of
	// endpoints in use.
	relays   atomic.Int64
	attempts atomic.Int64
}

// New returns a server.
func New(config Config) *Server {
	if config.Counters == nil {
		config.Counters = new(expvar.Map).Init()
	}
	if config.End == nil {
		config.End = func(glade.Endpoint) {}
	}
	return &Server{config: config, outcomes: config.Counters, calls: make(chan struct{}, maxCalls)}
}

// Handler returns the callers' routes.
func (s *Server) Handler() http.Handler {
	e := daemon.NewEcho()
	e.Use(unbound)
	e.GET("/ready", s.ready)
	e.POST("/v1/:customer/:service", s.request)
	for _, add := range s.config.Routes {
		add(e)
	}
	return e
}

func (s *Server) ready(c echo.Context) error {
	if s.stopping.Load() {
		return c.String(http.StatusServiceUnavailable, "stopping\n")
	}
	if !s.config.Book.IsReady() {
		return c.String(http.StatusServiceUnavailable, "cold\n")
	}
	return c.String(http.StatusOK, "ready\n")
}

// work is one request on its way through the entry host.
type work struct {
	id     string
	key    string
	resend bool
	// age is the longest time since the key was first sent.
	age      time.Duration
	contract glade.Contract
	pool     glade.PoolSpec
	body     []byte
	start    time.Time
	deadline time.Time
}

// result is the outcome of a request with what goes to the caller.
type result struct {
	outcome glade.Outcome
	reason  glade.Reason
	body    []byte
	// retry is the time after which a refused request may be sent again.
	retry time.Duration
}

func refused(reason glade.Reason) result {
	return result{outcome: glade.Refused, reason: reason}
}

func (s *Server) request(c echo.Context) error {
	start := s.config.Clock.Now()
	select {
	case s.calls <- struct{}{}:
		defer s.leave()
	default:
		return s.reply(c, work{id: uuid.NewString(), start: start}, refused(glade.ReasonQueue))
	}
	w, bad := s.parse(c, start)
	if bad != glade.ReasonNone {
		return s.reply(c, w, refused(bad))
	}
	return s.reply(c, w, s.runOnce(c.Request().Context(), w))
}

func (s *Server) leave() { <-s.calls }

// UnderWay returns the number of requests under way.
func (s *Server) UnderWay() int { return len(s.calls) }

func (s *Server) parse(c echo.Context, start time.Time) (work, glade.Reason) {
	w := work{id: c.Request().Header.Get(IDHeader), start: start}
	w.key = c.Request().Header.Get(KeyHeader)
	if w.key == "" {
		w.key = w.id
	}
	w.resend = isSet(c.Request().Header.Get(ResendHeader))
	if (w.id != "" && !once.IsValidCallerKey(w.id)) || (w.key != "" && !once.IsValidCallerKey(w.key)) {
		w.id = uuid.NewString()
		return w, glade.ReasonMalformed
	}
	if w.id == "" {
		w.id = uuid.NewString()
	}
	contract, ok := s.config.Book.Find(glade.Customer(c.Param("customer")))
	if !ok {
		return w, s.unknownCustomer()
	}
	w.contract = contract
	if w.age, ok = ageOf(c, w); !ok {
		return w, glade.ReasonMalformed
	}
	if w.pool, ok = contract.PoolFor(glade.Service(c.Param("service"))); !ok {
		return w, glade.ReasonService
	}
	left, reason := deadlineOf(c, contract)
	if reason != glade.ReasonNone {
		return w, reason
	}
	w.deadline = start.Add(left)
	bound(c, w.deadline)
	body, err := io.ReadAll(http.MaxBytesReader(c.Response(), c.Request().Body, maxBody))
	if err != nil {
		return w, BodyReason(err)
	}
	unboundRead(c)
	w.body = body
	return w, glade.ReasonNone
}

func isSet(text string) bool { return text != "" && text != "false" && text != "0" }

// ageOf returns the time since a key was first sent. A resend that doesn't say
// may be as old as the time that keys are remembered.
func ageOf(c echo.Context, w work) (time.Duration, bool) {
	text := c.Request().Header.Get(KeyAgeHeader)
	switch {
	case !w.resend:
		return 0, true
	case text == "":
		return w.contract.Spec().Answer.Window.Duration(), true
	}
	ms, err := strconv.ParseInt(text, 10, 32)
	return time.Duration(ms) * time.Millisecond, err == nil && ms >= 0
}

func (s *Server) unknownCustomer() glade.Reason {
	if !s.config.Book.IsReady() {
		return glade.ReasonCold
	}
	return glade.ReasonCustomer
}

// writeTime is how long a caller may take to read its answer after the
// deadline.
const writeTime = 5 * time.Second

// bound ends the connection of a caller that sends its request or reads its
// answer too slowly. Connections without deadlines, as in tests, stay so.
func bound(c echo.Context, deadline time.Time) {
	control := http.NewResponseController(c.Response())
	_ = control.SetReadDeadline(deadline)
	_ = control.SetWriteDeadline(deadline.Add(writeTime))
}

// unbound ends the bounds of an earlier request on the same connection.
func unbound(next echo.HandlerFunc) echo.HandlerFunc {
	return func(c echo.Context) error {
		_ = http.NewResponseController(c.Response()).SetWriteDeadline(time.Time{})
		unboundRead(c)
		return next(c)
	}
}

// unboundRead ends the bound on reading once the body is whole: the server goes
// on reading to notice that the caller leaves.
func unboundRead(c echo.Context) {
	_ = http.NewResponseController(c.Response()).SetReadDeadline(time.Time{})
}

// deadlineOf returns the time left: the caller's, at most the contract's.
func deadlineOf(c echo.Context, contract glade.Contract) (time.Duration, glade.Reason) {
	promised := contract.Spec().Answer.Deadline.Duration()
	text := c.Request().Header.Get(DeadlineHeader)
	if text == "" {
		return promised, glade.ReasonNone
	}
	ms, err := strconv.ParseInt(text, 10, 32)
	if err != nil {
		return 0, glade.ReasonMalformed
	}
	if ms <= 0 {
		return 0, glade.ReasonDeadline
	}
	return min(time.Duration(ms)*time.Millisecond, promised), glade.ReasonNone
}

// BodyReason explains why a request body could not be read.
func BodyReason(err error) glade.Reason {
	if errors.Is(err, os.ErrDeadlineExceeded) {
		return glade.ReasonDeadline
	}
	var large *http.MaxBytesError
	if errors.As(err, &large) {
		return glade.ReasonLarge
	}
	return glade.ReasonMalformed
}
