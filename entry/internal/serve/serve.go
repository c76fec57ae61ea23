// Package serve is the callers' side of an entry host: HTTP in, one explicit
// outcome out.
package serve

import (
	"context"
	"expvar"
	"io"
	"net/http"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/google/uuid"
	"github.com/labstack/echo/v4"
	"github.com/pkg/errors"

	glade "indigoglade"
	"indigoglade/adopt"
	"indigoglade/burn"
	"indigoglade/daemon"
	"indigoglade/demand"
	"indigoglade/entry/internal/desk"
	"indigoglade/send"
)

// Headers of the callers' HTTP interface.
const (
	IDHeader       = "Request-Id"
	DeadlineHeader = "Request-Deadline" // milliseconds left
	OutcomeHeader  = "Outcome"
	ReasonHeader   = "Reason"
	VersionHeader  = "Contract-Version"
	AgeHeader      = "Contract-Age" // milliseconds since the platform confirmed it
)

// maxBody bounds the size of a request body, in bytes.
const maxBody = 1 << 20

// maxTries bounds the attempts of one request. Only attempts that wrote no byte
// are followed by another.
const maxTries = 3

// Config configures a Server.
type Config struct {
	Book   *adopt.Book
	Desk   *desk.Desk
	Sender *send.Sender
	Meter  *burn.Meter
	Demand *demand.Meter
	Clock  glade.Clock
	// Routes add further routes for callers.
	Routes []func(e *echo.Echo)
}

// Server answers callers.
type Server struct {
	config   Config
	stopping atomic.Bool
	outcomes *expvar.Map
}

// New returns a server that counts outcomes in the expvar map "outcomes".
func New(config Config) *Server {
	return &Server{config: config, outcomes: expvar.NewMap("outcomes")}
}

// Handler returns the callers' routes.
func (s *Server) Handler() http.Handler {
	e := daemon.NewEcho()
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
	return c.String(http.StatusOK, "ready\n")
}

// noticeTime is how long the balancer may take to see that the entry host is
// not ready.
const noticeTime = 500 * time.Millisecond

// Stop makes the entry host unready and waits until the balancer has noticed.
func (s *Server) Stop(ctx context.Context) {
	s.stopping.Store(true)
	_ = s.config.Clock.Sleep(ctx, noticeTime)
}

// work is one request on its way through the entry host.
type work struct {
	id       string
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
}

func refused(reason glade.Reason) result {
	return result{outcome: glade.Refused, reason: reason}
}

func (s *Server) request(c echo.Context) error {
	start := s.config.Clock.Now()
	w, bad := s.parse(c, start)
	if bad != glade.ReasonNone {
		return s.reply(c, w, refused(bad))
	}
	return s.reply(c, w, s.run(c.Request().Context(), w))
}

func (s *Server) parse(c echo.Context, start time.Time) (work, glade.Reason) {
	w := work{id: c.Request().Header.Get(IDHeader), start: start}
	if w.id == "" {
		w.id = uuid.NewString()
	}
	contract, ok := s.config.Book.Find(glade.Customer(c.Param("customer")))
	if !ok {
		return w, s.unknownCustomer(start)
	}
	w.contract = contract
	if w.pool, ok = contract.PoolFor(glade.Service(c.Param("service"))); !ok {
		return w, glade.ReasonService
	}
	left, reason := deadlineOf(c, contract)
	if reason != glade.ReasonNone {
		return w, reason
	}
	w.deadline = start.Add(left)
	body, err := io.ReadAll(http.MaxBytesReader(c.Response(), c.Request().Body, maxBody))
	if err != nil {
		return w, BodyReason(err)
	}
	w.body = body
	return w, glade.ReasonNone
}

func (s *Server) unknownCustomer(now time.Time) glade.Reason {
	if _, confirmed := s.config.Book.Age(now); !confirmed {
		return glade.ReasonCold
	}
	return glade.ReasonCustomer
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
	var large *http.MaxBytesError
	if errors.As(err, &large) {
		return glade.ReasonLarge
	}
	return glade.ReasonMalformed
}

// run makes attempts until one ends the request.
func (s *Server) run(ctx context.Context, w work) result {
	last := refused(glade.ReasonConnect)
	for range maxTries {
		answer := s.config.Desk.Acquire(ctx, desk.Ask{Contract: w.contract, Pool: w.pool, Deadline: w.deadline})
		grant, ok := answer.Grant()
		if !ok {
			return refused(answer.Reason())
		}
		r := s.config.Sender.Do(ctx, send.Call{
			ID: w.id, Service: w.pool.Serve, Address: grant.Address(), Body: w.body, Deadline: w.deadline,
		})
		s.config.Desk.Release(grant, w.pool.Serve, r.IsLeaving())
		if r.Outcome() != glade.Refused {
			return result{outcome: r.Outcome(), reason: r.Reason(), body: r.Body()}
		}
		last = refused(r.Reason())
	}
	return last
}

func (s *Server) reply(c echo.Context, w work, r result) error {
	now := s.config.Clock.Now()
	s.outcomes.Add(r.outcome.String(), 1)
	if r.reason != glade.ReasonNone {
		s.outcomes.Add(r.outcome.String()+"."+string(r.reason), 1)
	}
	if customer := w.contract.Customer(); customer != "" {
		s.config.Demand.Record(w.pool.Serve, r.outcome, now.Sub(w.start))
		s.config.Meter.Record(customer, r.outcome, now.Sub(w.start), w.contract.Spec().Answer.Deadline.Duration())
	}
	h := c.Response().Header()
	h.Set(IDHeader, w.id)
	h.Set(OutcomeHeader, r.outcome.String())
	h.Set(VersionHeader, strconv.FormatUint(w.contract.Version(), 10))
	if age, confirmed := s.config.Book.Age(now); confirmed {
		h.Set(AgeHeader, strconv.FormatInt(age.Milliseconds(), 10))
	}
	if r.outcome == glade.Answered {
		return c.Blob(http.StatusOK, echo.MIMEOctetStream, r.body)
	}
	h.Set(ReasonHeader, string(r.reason))
	return c.String(statusOf(r), r.outcome.String()+": "+string(r.reason)+"\n")
}

// statusOf maps an outcome to the HTTP status that callers see.
func statusOf(r result) int {
	switch r.outcome {
	case glade.Failed:
		return http.StatusBadGateway
	case glade.Unknown:
		return http.StatusGatewayTimeout
	}
	return RefusedStatus(r.reason)
}

// RefusedStatus maps the reason of a refusal to the HTTP status that callers
// see.
func RefusedStatus(reason glade.Reason) int {
	switch reason {
	case glade.ReasonCustomer, glade.ReasonService:
		return http.StatusNotFound
	case glade.ReasonMalformed:
		return http.StatusBadRequest
	case glade.ReasonLarge:
		return http.StatusRequestEntityTooLarge
	case glade.ReasonQueue, glade.ReasonLimit:
		return http.StatusTooManyRequests
	case glade.ReasonDuplicate, glade.ReasonHistory:
		return http.StatusConflict
	}
	return http.StatusServiceUnavailable
}
