package server

import (
	"github.com/labstack/echo/v4"

	glade "indigoglade"
	"indigoglade/remote"
)

func (s *Server) startTask(_ echo.Context, in remote.HostCall) (remote.Empty, error) {
	runner, ok := s.fleet.Runner(in.Host)
	if !ok {
		return remote.Empty{}, errUnknownHost
	}
	return remote.Empty{}, runner.StartTask(in.Epoch, in.Task)
}

func (s *Server) stopTask(_ echo.Context, in remote.HostCall) (remote.Empty, error) {
	runner, ok := s.fleet.Runner(in.Host)
	if !ok {
		return remote.Empty{}, errUnknownHost
	}
	return remote.Empty{}, runner.StopTask(in.TaskID, in.Checkpoint)
}

func (s *Server) throttleTask(_ echo.Context, in remote.HostCall) (remote.Empty, error) {
	runner, ok := s.fleet.Runner(in.Host)
	if !ok {
		return remote.Empty{}, errUnknownHost
	}
	return remote.Empty{}, runner.ThrottleTask(in.TaskID, in.Cores)
}

func (s *Server) listTasks(_ echo.Context, in remote.HostCall) ([]glade.TaskState, error) {
	runner, ok := s.fleet.Runner(in.Host)
	if !ok {
		return nil, errUnknownHost
	}
	return runner.Tasks()
}
