// Package serve is the HTTP interface of an entry host for callers. Every
// request ends in exactly one outcome.
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
	"indigoglade/intake"
	"indigoglade/jrpc"
	"indigoglade/loans"
	"indigoglade/quorum"
	"indigoglade/send"
)

// Headers of the callers' HTTP interface.
const (
	IDHeader              = "Request-Id"
	KeyHeader             = "Request-Key"      // identifies the work for deduplication; defaults to Request-Id
	ResendHeader          = "Request-Resend"   // "true" if the key may have been sent before
	KeyAgeHeader          = "Request-Age"      // milliseconds since the key was first sent
	DeadlineHeader        = "Request-Deadline" // milliseconds until the deadline
	OutcomeHeader         = "Outcome"
	ReasonHeader          = "Reason"
	ContractVersionHeader = "Contract-Version"
	ContractAgeHeader     = "Contract-Age" // milliseconds since the contracts were last confirmed to be current
	RetryHeader           = "Retry-After"  // seconds
)

// maxBodyBytes is the maximum size of a request body.
const maxBodyBytes = 1 << 20

// maxInFlight is the maximum number of requests in flight, including those
// whose body is still being received.
const maxInFlight = 2048

// Config configures a Server.
type Config struct {
	Registry   *adopt.Registry
	Dispatcher *intake.Dispatcher
	Sender     *send.Sender
	// Claimer deduplicates keyed requests to pools that are not repeatable.
	Claimer *claim.Claimer
	// Loans enforces the limits of the contracts; nil means no limits.
	Loans *loans.Exchange
	// EndpointLeaving is called for endpoint incarnations that reported that they are
	// leaving.
	EndpointLeaving func(endpoint glade.Endpoint)
	Meter           *burn.Meter
	Clock           glade.Clock
	// Peers are asked for a free slot when this entry host has none.
	Peers []Peer
	// Demand measures the load that callers offer; nil measures nothing.
	Demand *demand.Meter
	// Counters receives the outcome counts; nil means a map of its own.
	Counters *expvar.Map
	// Routes add further routes for callers.
	Routes []func(e *echo.Echo)
}

// Server answers the callers of an entry host.
type Server struct {
	config       Config
	stopping     atomic.Bool
	outcomes     *expvar.Map
	retryBudgets retryBudgets
	peerPauses   peerPauses
	// inFlight is a semaphore with one place for each request in flight.
	inFlight chan struct{}
	// bodies bounds the bodies of requests in flight.
	bodies *jrpc.Limit
	// relays counts the requests of peers in flight, and attempts the endpoint
	// slots in use.
	relays   atomic.Int64
	attempts atomic.Int64
}

// New returns a server that is ready to answer requests.
func New(config Config) *Server {
	if config.Counters == nil {
		config.Counters = new(expvar.Map).Init()
	}
	if config.EndpointLeaving == nil {
		config.EndpointLeaving = func(glade.Endpoint) {}
	}
	return &Server{config: config, outcomes: config.Counters, inFlight: make(chan struct{}, maxInFlight), bodies: newBodyLimit()}
}

// Handler returns the handler of the callers' routes.
func (s *Server) Handler() http.Handler {
	e := daemon.NewEcho()
	e.Use(clearDeadlines)
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
	if !s.config.Registry.IsReady() {
		return c.String(http.StatusServiceUnavailable, "cold\n")
	}
	return c.String(http.StatusOK, "ready\n")
}

// requestInfo is a parsed request.
type requestInfo struct {
	id     string
	key    string
	resend bool
	// age is an upper bound of the time since the key was first sent.
	age      time.Duration
	contract glade.Contract
	pool     glade.PoolSpec
	body     []byte
	start    time.Time
	deadline time.Time
}

// result is the outcome of a request and the answer to the caller.
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
	case s.inFlight <- struct{}{}:
		defer s.endRequest()
	default:
		return s.reply(c, requestInfo{id: uuid.NewString(), start: start}, refused(glade.ReasonQueueFull))
	}
	body := s.bodyOf(c)
	defer body.giveBack()
	w, reason := s.parse(c, start, body)
	if reason != glade.ReasonNone {
		return s.reply(c, w, refused(reason))
	}
	return s.reply(c, w, s.claimAndRun(c.Request().Context(), w))
}

func (s *Server) endRequest() { <-s.inFlight }

// InFlight returns the number of requests in flight.
func (s *Server) InFlight() int { return len(s.inFlight) }

func (s *Server) parse(c echo.Context, start time.Time, content io.Reader) (requestInfo, glade.Reason) {
	w := requestInfo{id: c.Request().Header.Get(IDHeader), start: start}
	w.key = c.Request().Header.Get(KeyHeader)
	if w.key == "" {
		w.key = w.id
	}
	w.resend = isTrue(c.Request().Header.Get(ResendHeader))
	if (w.id != "" && !quorum.IsValidCallerKey(w.id)) || (w.key != "" && !quorum.IsValidCallerKey(w.key)) {
		w.id = uuid.NewString()
		return w, glade.ReasonMalformed
	}
	if w.id == "" {
		w.id = uuid.NewString()
	}
	contract, ok := s.config.Registry.Find(glade.Customer(c.Param("customer")))
	if !ok {
		return w, s.unknownCustomerReason()
	}
	w.contract = contract
	if w.age, ok = keyAge(c, w); !ok {
		return w, glade.ReasonMalformed
	}
	if w.pool, ok = contract.PoolFor(glade.Service(c.Param("service"))); !ok {
		return w, glade.ReasonUnknownService
	}
	left, reason := timeLeft(c, contract)
	if reason != glade.ReasonNone {
		return w, reason
	}
	w.deadline = start.Add(left)
	setDeadlines(c, w.deadline)
	body, err := io.ReadAll(http.MaxBytesReader(c.Response(), io.NopCloser(content), maxBodyBytes))
	if err != nil {
		return w, BodyReason(err)
	}
	clearReadDeadline(c)
	w.body = body
	return w, glade.ReasonNone
}

func isTrue(text string) bool { return text != "" && text != "false" && text != "0" }

// keyAge returns an upper bound of the time since the key was first sent. A
// resend without an age may be as old as the deduplication window.
func keyAge(c echo.Context, w requestInfo) (time.Duration, bool) {
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

func (s *Server) unknownCustomerReason() glade.Reason {
	if !s.config.Registry.IsReady() {
		return glade.ReasonNoContracts
	}
	return glade.ReasonUnknownCustomer
}

// answerReadTime is how long after the deadline a caller may take to read the
// answer.
const answerReadTime = 5 * time.Second

// setDeadlines makes the connection of a caller that sends or reads too slowly
// time out. Connections that support no deadlines, as in tests, are left as
// they are.
func setDeadlines(c echo.Context, deadline time.Time) {
	control := http.NewResponseController(c.Response())
	_ = control.SetReadDeadline(deadline)
	_ = control.SetWriteDeadline(deadline.Add(answerReadTime))
}

// clearDeadlines clears the deadlines of an earlier request on the same
// connection.
func clearDeadlines(next echo.HandlerFunc) echo.HandlerFunc {
	return func(c echo.Context) error {
		_ = http.NewResponseController(c.Response()).SetWriteDeadline(time.Time{})
		clearReadDeadline(c)
		return next(c)
	}
}

// clearReadDeadline clears the read deadline once the body is complete: the
// server keeps reading to notice that the caller disconnects.
func clearReadDeadline(c echo.Context) {
	_ = http.NewResponseController(c.Response()).SetReadDeadline(time.Time{})
}

// timeLeft returns the time until the deadline: the caller's, but at most the
// contract's.
func timeLeft(c echo.Context, contract glade.Contract) (time.Duration, glade.Reason) {
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

// BodyReason returns the reason for refusing a request whose body could not be
// read.
func BodyReason(err error) glade.Reason {
	if errors.Is(err, os.ErrDeadlineExceeded) {
		return glade.ReasonDeadline
	}
	if errors.Is(err, errNoRoom) {
		return glade.ReasonQueueFull
	}
	var large *http.MaxBytesError
	if errors.As(err, &large) {
		return glade.ReasonBodyTooLarge
	}
	return glade.ReasonMalformed
}
