package server

import (
	"github.com/labstack/echo/v4"

	glade "indigoglade"
	"indigoglade/remote"
)

func (s *Server) start(_ echo.Context, in remote.HostCall) (remote.None, error) {
	runner, ok := s.fleet.Runner(in.Host)
	if !ok {
		return remote.None{}, errNoHost
	}
	return remote.None{}, runner.StartTask(in.Epoch, in.Task)
}

func (s *Server) stop(_ echo.Context, in remote.HostCall) (remote.None, error) {
	runner, ok := s.fleet.Runner(in.Host)
	if !ok {
		return remote.None{}, errNoHost
	}
	return remote.None{}, runner.StopTask(in.TaskID, in.Checkpoint)
}

func (s *Server) throttle(_ echo.Context, in remote.HostCall) (remote.None, error) {
	runner, ok := s.fleet.Runner(in.Host)
	if !ok {
		return remote.None{}, errNoHost
	}
	return remote.None{}, runner.ThrottleTask(in.TaskID, in.Cores)
}

func (s *Server) tasks(_ echo.Context, in remote.HostCall) ([]glade.TaskState, error) {
	runner, ok := s.fleet.Runner(in.Host)
	if !ok {
		return nil, errNoHost
	}
	return runner.Tasks()
}
