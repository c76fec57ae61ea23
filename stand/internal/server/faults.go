package server

import (
	"io"
	"net/http"
	"time"

	"github.com/labstack/echo/v4"

	glade "indigoglade"
	"indigoglade/remote"
	"indigoglade/stand/internal/fault"
)

// slowServiceDelay is the delay added to each call to a slow service.
const slowServiceDelay = 800 * time.Millisecond

// maxScriptBytes is the maximum size of a fault script.
const maxScriptBytes = 1 << 20

// abortCutZones closes the connection of calls from a zone that is cut off, before
// they take effect. The caller can't tell whether they did.
func (s *Server) abortCutZones(next echo.HandlerFunc) echo.HandlerFunc {
	return func(c echo.Context) error {
		zone := glade.Zone(c.Request().Header.Get(remote.ZoneHeader))
		if zone != "" && s.faults.IsCut(zone, s.clock.Now()) {
			panic(http.ErrAbortHandler)
		}
		return next(c)
	}
}

// refuseOrDelay refuses calls while a service is down, and delays them while it is
// slow.
func (s *Server) refuseOrDelay(service string) echo.MiddlewareFunc {
	return func(next echo.HandlerFunc) echo.HandlerFunc {
		return func(c echo.Context) error {
			switch s.faults.At(service, s.clock.Now()) {
			case fault.Down:
				return c.String(http.StatusServiceUnavailable, service+" is down\n")
			case fault.Slow:
				if err := s.clock.Sleep(c.Request().Context(), slowServiceDelay); err != nil {
					return err
				}
			}
			return next(c)
		}
	}
}

// dropResponses applies a write but closes the connection without a response while
// the service is lossy.
func (s *Server) dropResponses(service string) echo.MiddlewareFunc {
	return func(next echo.HandlerFunc) echo.HandlerFunc {
		return func(c echo.Context) error {
			if s.faults.At(service, s.clock.Now()) != fault.Lossy {
				return next(c)
			}
			c.Response().Writer = discardWriter{c.Response().Writer}
			_ = next(c)
			panic(http.ErrAbortHandler)
		}
	}
}

// discardWriter is a response writer that discards the response.
type discardWriter struct{ http.ResponseWriter }

// Write discards the data.
func (discardWriter) Write(data []byte) (int, error) { return len(data), nil }

// WriteHeader discards the status.
func (discardWriter) WriteHeader(int) {}

// startFaults starts the fault script in the request body; its times are relative
// to now.
func (s *Server) startFaults(c echo.Context) error {
	source, err := io.ReadAll(http.MaxBytesReader(c.Response(), c.Request().Body, maxScriptBytes))
	if err != nil {
		return c.String(http.StatusRequestEntityTooLarge, "the script is too large\n")
	}
	script := fault.Read("script", source)
	if problems := script.Problems(); len(problems) > 0 {
		return c.String(http.StatusBadRequest, problems[0].String()+"\n")
	}
	s.faults.Start(script.Value(), s.clock.Now())
	return s.activeFaults(c)
}

// activeFaults responds with the active faults.
func (s *Server) activeFaults(c echo.Context) error {
	return c.JSON(http.StatusOK, s.faults.Active(s.clock.Now()))
}
