// Package daemon runs the background tasks of a program as one group, with
// structured logs, a status address, and a graceful stop on SIGTERM or SIGINT.
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

	"indigoglade/drain"
)

// Task is a background task of a program. It returns when ctx ends.
type Task func(ctx context.Context) error

// Config configures a Group.
type Config struct {
	Name   string
	Status string
	// Output receives the log, one JSON object per line.
	Output io.Writer
	// StopTimeout bounds each graceful stop, of a server or of an OnStop function.
	StopTimeout time.Duration
}

// Group is the set of tasks of a program. When one of them ends, all stop.
type Group struct {
	config Config
	log    logr.Logger
	group  run.Group
	status *echo.Echo
}

// New returns a group whose status address serves /vars.
func New(config Config) *Group {
	output := config.Output
	sink := funcr.NewJSON(func(line string) { fmt.Fprintln(output, line) }, funcr.Options{LogTimestamp: true})
	g := &Group{config: config, log: sink.WithName(config.Name), status: NewEcho()}
	g.status.GET("/vars", echo.WrapHandler(expvar.Handler()))
	return g
}

// NewEcho returns an HTTP router that prints no banner.
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

// Add adds a task.
func (g *Group) Add(duty Task) {
	ctx, cancel := context.WithCancel(context.Background())
	g.group.Add(func() error { return duty(ctx) }, func(error) { cancel() })
}

// OnStop adds a function that is called on a stop and may take at most the
// group's grace. It must be added before the tasks that it needs, because the
// group stops its members in the order of their addition.
func (g *Group) OnStop(fn func(ctx context.Context)) {
	done := make(chan struct{})
	g.group.Add(func() error {
		<-done
		return nil
	}, func(error) {
		ctx, cancel := context.WithTimeout(context.Background(), g.config.StopTimeout)
		defer cancel()
		fn(ctx)
		close(done)
	})
}

// Serve adds an HTTP server. On a stop it calls onStop and drains the server. All of
// that takes at most the group's grace.
func (g *Group) Serve(address string, handler http.Handler, onStop func(ctx context.Context)) error {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return errors.Wrapf(err, "listen on %s", address)
	}
	g.ServeOn(listener, handler, onStop)
	return nil
}

// Limits of the HTTP servers.
const (
	headerTimeout  = 5 * time.Second
	idleTimeout    = 60 * time.Second
	maxHeaderBytes = 16 << 10
)

// ServeOn is like Serve with a listener that is already open.
func (g *Group) ServeOn(listener net.Listener, handler http.Handler, onStop func(ctx context.Context)) {
	server := drain.New(drain.Config{
		Listener: listener, Handler: handler,
		HeaderTimeout: headerTimeout, IdleTimeout: idleTimeout, MaxHeaderBytes: maxHeaderBytes,
	})
	g.group.Add(server.Serve, func(error) {
		ctx, cancel := context.WithTimeout(context.Background(), g.config.StopTimeout)
		defer cancel()
		server.CloseConnections()
		if onStop != nil {
			onStop(ctx)
		}
		if err := server.Drain(ctx); err != nil {
			g.log.Error(err, "server did not stop gracefully; running requests are aborted", "address", listener.Addr().String())
		}
	})
}

// Run runs all tasks until one of them ends or the process gets a signal.
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
