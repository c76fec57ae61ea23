// Package jobapi is the HTTP interface for long-running jobs. Callers submit a
// job, look it up by its ticket at any entry host, fetch its result, and cancel
// it. Submitting a key again finds the same job.
package jobapi

import (
	"encoding/json"
	"expvar"
	"net/http"
	"strconv"
	"time"

	lru "github.com/hashicorp/golang-lru/v2"
	"github.com/labstack/echo/v4"

	glade "indigoglade"
	"indigoglade/adopt"
	"indigoglade/jobs"
	"indigoglade/serve"
)

// Limits of the HTTP interface.
const (
	// maxBodyBytes is the maximum size of a job description with its payload.
	maxBodyBytes = 64 << 10
	// maxReading is the maximum number of job descriptions that are received at a time. Each takes up to twice its size.
	maxReading = 512
	// defaultBodyTimeout is the time that each of them may take.
	defaultBodyTimeout = 5 * time.Second
	// maxCachedJobs is the number of jobs whose last known status is cached.
	maxCachedJobs = 4096
	// retryAfterSeconds is sent in Retry-After headers.
	retryAfterSeconds = 2
)

// AgeHeader is the age of a cached status in milliseconds. It is set when the
// table service can't be read.
const AgeHeader = "Job-Age"

// Config configures a Server.
type Config struct {
	Table    glade.Table
	Objects  glade.ObjectStore
	Registry *adopt.Registry
	Clock    glade.Clock
	// BodyTimeout bounds the time in which a job description arrives; 0 means defaultBodyTimeout.
	BodyTimeout time.Duration
	// Counters receives the counts of requests; nil means a map of its own.
	Counters *expvar.Map
}

// Server accepts, looks up and cancels jobs.
type Server struct {
	config   Config
	writer   *writer
	cache    *lru.Cache[glade.Ticket, cachedStatus]
	counters *expvar.Map
	// reading is a semaphore with one place for each description that is received.
	reading chan struct{}
}

// cachedStatus is the last known status of a job.
type cachedStatus struct {
	status Status
	readAt time.Time
}

// New returns a server that is ready to answer requests.
func New(config Config) *Server {
	cache, err := lru.New[glade.Ticket, cachedStatus](maxCachedJobs)
	if err != nil {
		panic(err)
	}
	if config.Counters == nil {
		config.Counters = new(expvar.Map).Init()
	}
	if config.BodyTimeout == 0 {
		config.BodyTimeout = defaultBodyTimeout
	}
	return &Server{config: config, writer: newWriter(config), cache: cache, counters: config.Counters, reading: make(chan struct{}, maxReading)}
}

// Routes adds the callers' routes to e.
func (s *Server) Routes(e *echo.Echo) {
	e.POST("/v1/:customer/jobs/:kind", s.accept)
	e.GET("/v1/jobs/:ticket", s.lookUp)
	e.GET("/v1/jobs/:ticket/result", s.getResult)
	e.DELETE("/v1/jobs/:ticket", s.cancel)
}

// JobRequest is a caller's description of a job.
type JobRequest struct {
	// Key determines the ticket: the same key finds the same job.
	Key      string         `json:"key"`
	Team     string         `json:"team"`
	Priority glade.Priority `json:"prio"`
	Cores    int            `json:"cores"`
	// Memory is in bytes.
	Memory int64 `json:"memory"`
	Accels int   `json:"accels"`
	// Time is the expected run time.
	Time    glade.Span      `json:"time"`
	Payload json.RawMessage `json:"payload"`
}

// Status is the status of a job that callers see.
type Status struct {
	Ticket glade.Ticket   `json:"ticket"`
	Phase  glade.JobPhase `json:"phase"`
	Reason string         `json:"reason,omitempty"`
	// CancelPending means that cancellation was requested and the run has not ended
	// yet.
	CancelPending bool `json:"ending,omitempty"`
}

func statusOf(row glade.JobRow) Status {
	return Status{Ticket: row.Ticket, Phase: row.Phase, Reason: row.Reason, CancelPending: row.Cancel && row.Phase.IsOpen()}
}

func (s *Server) accept(c echo.Context) error {
	row, reason := s.receive(c)
	if reason != glade.ReasonNone {
		return s.refuse(c, reason)
	}
	result, ok := s.writer.write(c.Request().Context(), row)
	if !ok {
		return s.refuse(c, glade.ReasonQueueFull)
	}
	s.counters.Add("accept."+result.String(), 1)
	switch result {
	case glade.Committed:
		return c.JSON(http.StatusAccepted, Status{Ticket: row.Ticket, Phase: glade.JobAccepted})
	case glade.Unavailable:
		return s.refuse(c, glade.ReasonStoreUnavailable)
	}
	// The row may or may not be written. The caller can look it up by the
	// ticket.
	c.Response().Header().Set(serve.OutcomeHeader, glade.Unknown.String())
	c.Response().Header().Set(serve.ReasonHeader, string(glade.ReasonStoreUnavailable))
	return c.JSON(http.StatusGatewayTimeout, Status{Ticket: row.Ticket})
}

// receive parses a description, if not too many others are received.
func (s *Server) receive(c echo.Context) (glade.JobRow, glade.Reason) {
	select {
	case s.reading <- struct{}{}:
		defer func() { <-s.reading }()
	default:
		return glade.JobRow{}, glade.ReasonQueueFull
	}
	// Connections that support no deadlines, as in tests, have none.
	control := http.NewResponseController(c.Response())
	_ = control.SetReadDeadline(time.Now().Add(s.config.BodyTimeout))
	row, reason := s.parse(c)
	if reason == glade.ReasonNone {
		_ = control.SetReadDeadline(time.Time{}) // the server reads on, to notice that the caller disconnects
	}
	return row, reason
}

func (s *Server) parse(c echo.Context) (glade.JobRow, glade.Reason) {
	customer := glade.Customer(c.Param("customer"))
	kind := glade.Service(c.Param("kind"))
	contract, ok := s.config.Registry.Find(customer)
	if !ok {
		return glade.JobRow{}, s.unknownCustomerReason()
	}
	pool, ok := contract.PoolFor(kind)
	if !ok {
		return glade.JobRow{}, glade.ReasonUnknownService
	}
	order := JobRequest{Priority: glade.Normal, Cores: 1}
	body := http.MaxBytesReader(c.Response(), c.Request().Body, maxBodyBytes)
	decoder := json.NewDecoder(body)
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(&order); err != nil {
		return glade.JobRow{}, serve.BodyReason(err)
	}
	if !order.isValid() {
		return glade.JobRow{}, glade.ReasonMalformed
	}
	return glade.JobRow{
		Ticket:     jobs.TicketFor(customer, kind, order.Key),
		Customer:   customer,
		Kind:       kind,
		Team:       order.Team,
		Priority:   order.Priority,
		Repeatable: pool.Repeatable,
		Size:       glade.Resources{Cores: order.Cores, Memory: order.Memory, Accels: order.Accels},
		Time:       order.Time,
		Payload:    order.Payload,
	}, glade.ReasonNone
}

func (o JobRequest) isValid() bool {
	return o.Priority.IsValid() && o.Cores >= 0 && o.Memory >= 0 && o.Accels >= 0 && o.Time >= 0
}

func (s *Server) unknownCustomerReason() glade.Reason {
	if _, confirmed := s.config.Registry.Age(s.config.Clock.Now()); !confirmed {
		return glade.ReasonNoContracts
	}
	return glade.ReasonUnknownCustomer
}

// refuse answers that the job was not accepted.
func (s *Server) refuse(c echo.Context, reason glade.Reason) error {
	s.counters.Add("refused."+string(reason), 1)
	h := c.Response().Header()
	h.Set(serve.OutcomeHeader, glade.Refused.String())
	h.Set(serve.ReasonHeader, string(reason))
	h.Set(echo.HeaderRetryAfter, strconv.Itoa(retryAfterSeconds))
	return c.String(serve.RefusedStatus(reason), "refused: "+string(reason)+"\n")
}

// lookUp answers with the status of a job. While the table service can't be
// read, it answers with the cached status and its age.
func (s *Server) lookUp(c echo.Context) error {
	ticket := glade.Ticket(c.Param("ticket"))
	if _, ok := ticket.Customer(); !ok {
		return c.String(http.StatusNotFound, "no such job\n")
	}
	old, known := s.cache.Get(ticket)
	if known && old.status.Phase.IsFinal() {
		return c.JSON(http.StatusOK, old.status)
	}
	record, err := jobs.Find(c.Request().Context(), s.config.Table, ticket)
	now := s.config.Clock.Now()
	switch {
	case err != nil && known:
		c.Response().Header().Set(AgeHeader, strconv.FormatInt(now.Sub(old.readAt).Milliseconds(), 10))
		return c.JSON(http.StatusOK, old.status)
	case err != nil:
		return s.refuse(c, glade.ReasonStoreUnavailable)
	case !record.Exists():
		return c.String(http.StatusNotFound, "no such job\n")
	}
	status := statusOf(record.Data())
	s.cache.Add(ticket, cachedStatus{status: status, readAt: now})
	return c.JSON(http.StatusOK, status)
}

// getResult answers with the result of a job that is done.
func (s *Server) getResult(c echo.Context) error {
	ctx := c.Request().Context()
	record, err := jobs.Find(ctx, s.config.Table, glade.Ticket(c.Param("ticket")))
	if err != nil {
		return s.refuse(c, glade.ReasonStoreUnavailable)
	}
	row := record.Data()
	if !record.Exists() {
		return c.String(http.StatusNotFound, "no such job\n")
	}
	if row.Phase != glade.JobDone {
		return c.JSON(http.StatusConflict, statusOf(row))
	}
	result, found, err := s.config.Objects.Get(ctx, row.Result)
	if err != nil || !found {
		return s.refuse(c, glade.ReasonStoreUnavailable)
	}
	return c.Blob(http.StatusOK, echo.MIMEOctetStream, result)
}

// cancel requests the cancellation of a job. It answers 200 if the job has
// ended, and 202 while its run is being stopped.
func (s *Server) cancel(c echo.Context) error {
	ticket := glade.Ticket(c.Param("ticket"))
	row, result := jobs.Cancel(c.Request().Context(), s.config.Table, ticket, s.config.Clock.Now())
	s.counters.Add("cancel."+result.String(), 1)
	switch {
	case result != glade.Committed:
		c.Response().Header().Set(echo.HeaderRetryAfter, strconv.Itoa(retryAfterSeconds))
		return c.String(http.StatusServiceUnavailable, "unknown: send the cancellation again\n")
	case row.Ticket == "":
		return c.String(http.StatusNotFound, "no such job\n")
	case row.Phase.IsFinal():
		return c.JSON(http.StatusOK, statusOf(row))
	}
	return c.JSON(http.StatusAccepted, statusOf(row))
}
