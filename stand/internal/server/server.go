// Package server answers the platform's HTTP interface from in-memory twins.
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

// Config configures a Server.
type Config struct {
	Fleet  *fleet.Fleet
	Ledger *ledger.Ledger
	Faults *fault.Board
	Clock  glade.Clock
}

// Server is the platform's front.
type Server struct {
	table   *memory.Table
	objects *memory.Objects
	fleet   *fleet.Fleet
	ledger  *ledger.Ledger
	faults  *fault.Board
	clock   glade.Clock
}

// New returns a platform with an empty table and object store.
func New(config Config) *Server {
	return &Server{
		table:   memory.NewTable(),
		objects: memory.NewObjects(),
		fleet:   config.Fleet,
		ledger:  config.Ledger,
		faults:  config.Faults,
		clock:   config.Clock,
	}
}

// Handler returns the routes of the platform.
func (s *Server) Handler() http.Handler {
	e := daemon.NewEcho()
	e.Use(s.cutZones)
	e.POST("/table/get", handle(s.get), s.faulty(fault.Table))
	e.POST("/table/scan", handle(s.scan), s.faulty(fault.Table))
	e.POST("/table/commit", handle(s.commit), s.faulty(fault.Table), s.lossy(fault.Table))
	e.POST("/object/get", handle(s.getObject), s.faulty(fault.Objects))
	e.POST("/object/create", handle(s.createObject), s.faulty(fault.Objects), s.lossy(fault.Objects))
	e.POST("/hosts", handle(s.hosts), s.faulty(fault.List))
	e.POST("/worker/state", handle(s.state))
	e.POST("/worker/drain", handle(s.drain))
	e.POST("/worker/reboot", handle(s.reboot))
	e.POST("/worker/start", handle(s.start))
	e.POST("/worker/stop", handle(s.stop))
	e.POST("/worker/throttle", handle(s.throttle))
	e.POST("/worker/tasks", handle(s.tasks))
	e.GET("/ledger", s.book)
	e.GET("/truth", s.truth)
	e.GET("/fault", s.activeFaults)
	e.POST("/fault", s.startFaults)
	return e
}

// errNoHost marks a command for a host that does not exist.
var errNoHost = errors.New("no such host")

// handle decodes a message, runs fn and encodes its answer.
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
		case errors.Is(err, fleet.ErrEpoch), errors.Is(err, glade.ErrRefused):
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

func (s *Server) createObject(c echo.Context, in remote.ObjectCall) (remote.CommitReply, error) {
	return remote.CommitReply{Result: s.objects.Create(c.Request().Context(), in.Key, in.Value)}, nil
}

func (s *Server) hosts(echo.Context, remote.None) ([]glade.Listed, error) {
	return s.fleet.List(), nil
}

func (s *Server) state(_ echo.Context, in remote.HostCall) (glade.WorkerState, error) {
	runner, err := s.runner(in.Host)
	if err != nil {
		return glade.WorkerState{}, err
	}
	return runner.State()
}

func (s *Server) drain(_ echo.Context, in remote.HostCall) (remote.None, error) {
	runner, err := s.runner(in.Host)
	if err != nil {
		return remote.None{}, err
	}
	return remote.None{}, runner.Drain(in.Epoch)
}

func (s *Server) reboot(_ echo.Context, in remote.HostCall) (remote.None, error) {
	runner, err := s.runner(in.Host)
	if err != nil {
		return remote.None{}, err
	}
	return remote.None{}, runner.Reboot(in.Epoch, in.Service)
}

// runner returns the runner of a host that commands can reach: it is up, and
// its zone is not cut off from the platform.
func (s *Server) runner(host glade.Host) (*fleet.Runner, error) {
	runner, ok := s.fleet.Runner(host)
	if !ok {
		return nil, errNoHost
	}
	if runner.IsDown() || s.faults.IsCut(runner.Zone(), s.clock.Now()) {
		return nil, fleet.ErrDown
	}
	return runner, nil
}

func (s *Server) book(c echo.Context) error {
	return c.JSON(http.StatusOK, LedgerReply{Counts: s.ledger.Counts(), Totals: s.ledger.Totals()})
}

func (s *Server) truth(c echo.Context) error { return c.JSON(http.StatusOK, s.fleet.Truths()) }

// LedgerReply is what the endpoints really ran.
type LedgerReply struct {
	Counts map[string]ledger.Count `json:"counts"`
	Totals ledger.Totals           `json:"totals"`
}
