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

// slowDelay is how long a slow service takes longer.
const slowDelay = 800 * time.Millisecond

// maxScript bounds the size of a script of faults, in bytes.
const maxScript = 1 << 20

// cutZones breaks calls from a zone that is cut off. The caller can't tell
// whether the call took effect.
func (s *Server) cutZones(next echo.HandlerFunc) echo.HandlerFunc {
	return func(c echo.Context) error {
		zone := glade.Zone(c.Request().Header.Get(remote.ZoneHeader))
		if zone != "" && s.faults.IsCut(zone, s.clock.Now()) {
			panic(http.ErrAbortHandler)
		}
		return next(c)
	}
}

// faulty refuses or delays calls while a service is down or slow.
func (s *Server) faulty(where string) echo.MiddlewareFunc {
	return func(next echo.HandlerFunc) echo.HandlerFunc {
		return func(c echo.Context) error {
			switch s.faults.At(where, s.clock.Now()) {
			case fault.Down:
				return c.String(http.StatusServiceUnavailable, where+" is down\n")
			case fault.Slow:
				if err := s.clock.Sleep(c.Request().Context(), slowDelay); err != nil {
					return err
				}
			}
			return next(c)
		}
	}
}

// lossy lets a write take effect and breaks its answer off.
func (s *Server) lossy(where string) echo.MiddlewareFunc {
	return func(next echo.HandlerFunc) echo.HandlerFunc {
		return func(c echo.Context) error {
			if s.faults.At(where, s.clock.Now()) != fault.Lossy {
				return next(c)
			}
			c.Response().Writer = discard{c.Response().Writer}
			_ = next(c)
			panic(http.ErrAbortHandler)
		}
	}
}

// discard is a response that goes nowhere.
type discard struct{ http.ResponseWriter }

// Write drops the bytes.
func (discard) Write(data []byte) (int, error) { return len(data), nil }

// WriteHeader drops the status.
func (discard) WriteHeader(int) {}

// startFaults takes up a script whose times count from now.
func (s *Server) startFaults(c echo.Context) error {
	source, err := io.ReadAll(http.MaxBytesReader(c.Response(), c.Request().Body, maxScript))
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

// activeFaults shows the faults that are on.
func (s *Server) activeFaults(c echo.Context) error {
	return c.JSON(http.StatusOK, s.faults.Active(s.clock.Now()))
}
