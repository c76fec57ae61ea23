// Package server implements the HTTP API of the simulated platform on in-memory
// services.
package server

import (
	"net/http"

	"github.com/labstack/echo/v4"
	"github.com/pkg/errors"

	glade "indigoglade"
	"indigoglade/daemon"
	"indigoglade/memory"
	"indigoglade/remote"
	"indigoglade/stand/internal/fault"
	"indigoglade/stand/internal/fleet"
	"indigoglade/stand/internal/ledger"
)

// Config holds the dependencies of a Server.
type Config struct {
	Fleet  *fleet.Fleet
	Ledger *ledger.Ledger
	Faults *fault.Schedule
	Clock  glade.Clock
}

// Server serves the platform's HTTP API.
type Server struct {
	table   *memory.Table
	objects *memory.ObjectStore
	fleet   *fleet.Fleet
	ledger  *ledger.Ledger
	faults  *fault.Schedule
	clock   glade.Clock
}

// New returns a server with an empty table and an empty object store.
func New(config Config) *Server {
	return &Server{
		table:   memory.NewTable(),
		objects: memory.NewObjectStore(),
		fleet:   config.Fleet,
		ledger:  config.Ledger,
		faults:  config.Faults,
		clock:   config.Clock,
	}
}

// Handler returns the HTTP handler of the platform API and of the test routes
// (/ledger, /truth, /fault).
func (s *Server) Handler() http.Handler {
	e := daemon.NewEcho()
	e.Use(s.abortCutZones)
	e.POST("/table/get", handle(s.get), s.refuseOrDelay(fault.Table))
	e.POST("/table/scan", handle(s.scan), s.refuseOrDelay(fault.Table))
	e.POST("/table/commit", handle(s.commit), s.refuseOrDelay(fault.Table), s.dropResponses(fault.Table))
	e.POST("/object/get", handle(s.getObject), s.refuseOrDelay(fault.ObjectStore))
	e.POST("/object/create", handle(s.createObject), s.refuseOrDelay(fault.ObjectStore), s.dropResponses(fault.ObjectStore))
	e.POST("/hosts", handle(s.listHosts), s.refuseOrDelay(fault.HostList))
	e.POST("/worker/state", handle(s.workerState))
	e.POST("/worker/drain", handle(s.drainWorker))
	e.POST("/worker/reboot", handle(s.rebootWorker))
	e.POST("/worker/start", handle(s.startTask))
	e.POST("/worker/stop", handle(s.stopTask))
	e.POST("/worker/throttle", handle(s.throttleTask))
	e.POST("/worker/tasks", handle(s.listTasks))
	e.GET("/ledger", s.getLedger)
	e.GET("/truth", s.hostStates)
	e.GET("/fault", s.activeFaults)
	e.POST("/fault", s.startFaults)
	return e
}

// errUnknownHost is returned for a command to a host that does not exist.
var errUnknownHost = errors.New("no such host")

// handle returns a handler that decodes the request, calls fn and encodes its
// result. Errors of fn are mapped to status codes.
func handle[In, Out any](fn func(c echo.Context, in In) (Out, error)) echo.HandlerFunc {
	return func(c echo.Context) error {
		var in In
		if err := c.Bind(&in); err != nil {
			return c.String(http.StatusBadRequest, err.Error())
		}
		out, err := fn(c, in)
		switch {
		case errors.Is(err, memory.ErrDown):
			return c.String(http.StatusServiceUnavailable, err.Error())
		case errors.Is(err, fleet.ErrStaleEpoch), errors.Is(err, glade.ErrRefused):
			return c.String(http.StatusConflict, err.Error())
		case err != nil:
			return c.String(http.StatusBadGateway, err.Error())
		}
		return c.JSON(http.StatusOK, out)
	}
}

func (s *Server) get(c echo.Context, in remote.GetCall) (glade.Row, error) {
	return s.table.Get(c.Request().Context(), in.Key)
}

func (s *Server) scan(c echo.Context, in remote.ScanCall) ([]glade.Row, error) {
	return s.table.Scan(c.Request().Context(), in.Prefix, in.After, in.Limit)
}

func (s *Server) commit(c echo.Context, in glade.Txn) (remote.CommitReply, error) {
	result := s.table.Commit(c.Request().Context(), in)
	if result == glade.Unavailable {
		return remote.CommitReply{}, memory.ErrDown
	}
	return remote.CommitReply{Result: result}, nil
}

func (s *Server) getObject(c echo.Context, in remote.GetCall) (remote.ObjectReply, error) {
	value, found, err := s.objects.Get(c.Request().Context(), in.Key)
	return remote.ObjectReply{Value: value, Found: found}, err
}

func (s *Server) createObject(c echo.Context, in remote.CreateCall) (remote.CommitReply, error) {
	return remote.CommitReply{Result: s.objects.Create(c.Request().Context(), in.Key, in.Value)}, nil
}

func (s *Server) listHosts(echo.Context, remote.Empty) ([]glade.HostListing, error) {
	return s.fleet.List(), nil
}

func (s *Server) workerState(_ echo.Context, in remote.HostCall) (glade.WorkerState, error) {
	runner, err := s.reachableRunner(in.Host)
	if err != nil {
		return glade.WorkerState{}, err
	}
	return runner.State()
}

func (s *Server) drainWorker(_ echo.Context, in remote.HostCall) (remote.Empty, error) {
	runner, err := s.reachableRunner(in.Host)
	if err != nil {
		return remote.Empty{}, err
	}
	return remote.Empty{}, runner.Drain(in.Epoch)
}

func (s *Server) rebootWorker(_ echo.Context, in remote.HostCall) (remote.Empty, error) {
	runner, err := s.reachableRunner(in.Host)
	if err != nil {
		return remote.Empty{}, err
	}
	return remote.Empty{}, runner.Reboot(in.Epoch, in.Service)
}

// reachableRunner returns the runner of a host. It fails if commands can't reach
// the host because it is down or its zone is cut off from the platform.
func (s *Server) reachableRunner(host glade.Host) (*fleet.Runner, error) {
	runner, ok := s.fleet.Runner(host)
	if !ok {
		return nil, errUnknownHost
	}
	if runner.IsDown() || s.faults.IsCut(runner.Zone(), s.clock.Now()) {
		return nil, fleet.ErrDown
	}
	return runner, nil
}

func (s *Server) getLedger(c echo.Context) error {
	return c.JSON(http.StatusOK, LedgerReply{Counts: s.ledger.Counts(), Totals: s.ledger.Totals()})
}

func (s *Server) hostStates(c echo.Context) error { return c.JSON(http.StatusOK, s.fleet.HostStates()) }

// LedgerReply is the response of /ledger: what the endpoints actually executed.
type LedgerReply struct {
	Counts map[string]ledger.Count `json:"counts"`
	Totals ledger.Totals           `json:"totals"`
}
