// Package daemon runs the duties of a program as one group, with structured
// logs, a status address, and a graceful stop on SIGTERM or SIGINT.
package daemon

import (
	"context"
	"expvar"
	"fmt"
	"io"
	"net"
	"net/http"
	"syscall"
	"time"

	"github.com/go-logr/logr"
	"github.com/go-logr/logr/funcr"
	"github.com/labstack/echo/v4"
	"github.com/oklog/run"
	"github.com/pkg/errors"
)

// Duty is one job of a program. It returns when ctx ends.
type Duty func(ctx context.Context) error

// Config configures a Group.
type Config struct {
	Name   string
	Status string
	// Output receives the log, one JSON object a line.
	Output io.Writer
	// Grace bounds each duty that stops gracefully.
	Grace time.Duration
}

// Group is the set of duties of a program. All of them stop when one ends.
type Group struct {
	config Config
	log    logr.Logger
	group  run.Group
	status *echo.Echo
}

// New returns a group whose status address answers /vars and /ready.
func New(config Config) *Group {
	output := config.Output
	sink := funcr.NewJSON(func(line string) { fmt.Fprintln(output, line) }, funcr.Options{LogTimestamp: true})
	g := &Group{config: config, log: sink.WithName(config.Name), status: NewEcho()}
	g.status.GET("/vars", echo.WrapHandler(expvar.Handler()))
	return g
}

// NewEcho returns an HTTP router without banners.
func NewEcho() *echo.Echo {
	e := echo.New()
	e.HideBanner = true
	e.HidePort = true
	return e
}

// Log returns the program's logger.
func (g *Group) Log() logr.Logger { return g.log }

// Status returns the router of the status address.
func (g *Group) Status() *echo.Echo { return g.status }

// Add adds a duty.
func (g *Group) Add(duty Duty) {
	ctx, cancel := context.WithCancel(context.Background())
	g.group.Add(func() error { return duty(ctx) }, func(error) { cancel() })
}

// OnStop adds what is done first on a stop, at most for the group's grace. It
// must be added before the duties that it needs.
func (g *Group) OnStop(do func(ctx context.Context)) {
	done := make(chan struct{})
	g.group.Add(func() error {
		<-done
		return nil
	}, func(error) {
		ctx, cancel := context.WithTimeout(context.Background(), g.config.Grace)
		defer cancel()
		do(ctx)
		close(done)
	})
}

// Serve adds an HTTP server. On a stop it runs before, closes the listener and
// waits for running requests, at most the group's grace.
func (g *Group) Serve(address string, handler http.Handler, before func(ctx context.Context)) error {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return errors.Wrapf(err, "listen on %s", address)
	}
	g.ServeOn(listener, handler, before)
	return nil
}

// Bounds of the HTTP servers.
const (
	headerTimeout  = 5 * time.Second
	idleTimeout    = 60 * time.Second
	maxHeaderBytes = 16 << 10
)

// ServeOn is Serve with a listener that is open already.
func (g *Group) ServeOn(listener net.Listener, handler http.Handler, before func(ctx context.Context)) {
	server := &http.Server{
		Handler:           handler,
		ReadHeaderTimeout: headerTimeout,
		IdleTimeout:       idleTimeout,
		MaxHeaderBytes:    maxHeaderBytes,
	}
	g.group.Add(func() error {
		err := server.Serve(listener)
		if errors.Is(err, http.ErrServerClosed) {
			return nil
		}
		return errors.Wrap(err, "serve")
	}, func(error) {
		ctx, cancel := context.WithTimeout(context.Background(), g.config.Grace)
		defer cancel()
		if before != nil {
			before(ctx)
		}
		if err := server.Shutdown(ctx); err != nil {
			g.log.Error(err, "stop cut running requests", "address", listener.Addr().String())
		}
	})
}

// Run runs every duty until a signal comes or one of them ends.
func (g *Group) Run() error {
	if g.config.Status != "" {
		if err := g.Serve(g.config.Status, g.status, nil); err != nil {
			return err
		}
	}
	g.group.Add(run.SignalHandler(context.Background(), syscall.SIGTERM, syscall.SIGINT))
	g.log.Info("started")
	err := g.group.Run()
	g.log.Info("stopped", "cause", fmt.Sprint(err))
	if errors.As(err, &run.SignalError{}) {
		return nil
	}
	return err
}
