// Package logs writes structured log lines without ever blocking the caller.
// Lines beyond the limits are counted and dropped.
package logs

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"sync/atomic"
	"time"

	"github.com/go-logr/logr"
	"github.com/go-logr/logr/funcr"
)

// Config configures a Log.
type Config struct {
	Output io.Writer
	// Rate is the sustained number of lines written per second, and Burst the
	// number of lines that can be buffered.
	Rate, Burst int
}

// Log is a rate-limited log with a bounded buffer.
type Log struct {
	config  Config
	lines   chan string
	dropped atomic.Int64
	written atomic.Int64
}

// New returns a log whose lines are written by Run.
func New(config Config) *Log {
	return &Log{config: config, lines: make(chan string, max(config.Burst, 1))}
}

// Logger returns a logger that writes JSON lines to the log.
func (l *Log) Logger() logr.Logger {
	return funcr.NewJSON(l.add, funcr.Options{LogTimestamp: true, TimestampFormat: "15:04:05.000"})
}

func (l *Log) add(line string) {
	select {
	case l.lines <- line:
	default:
		l.dropped.Add(1)
	}
}

// Dropped returns the number of lines that were dropped.
func (l *Log) Dropped() int64 { return l.dropped.Load() }

// Written returns the number of lines that were written.
func (l *Log) Written() int64 { return l.written.Load() }

// flushPeriod is the time between two writes, each of which costs a system
// call.
const flushPeriod = 200 * time.Millisecond

// Run writes lines until ctx ends, and then the buffered ones.
func (l *Log) Run(ctx context.Context) error {
	out := bufio.NewWriterSize(l.config.Output, 64<<10)
	ticker := time.NewTicker(flushPeriod)
	defer ticker.Stop()
	tokens := float64(l.config.Burst)
	reported := int64(0)
	for {
		tokens = min(tokens+float64(l.config.Rate)*flushPeriod.Seconds(), float64(l.config.Burst))
		tokens -= float64(l.writeLines(out, int(tokens)))
		if dropped := l.Dropped(); dropped > reported {
			fmt.Fprintf(out, "{\"msg\":\"dropped\",\"lines\":%d}\n", dropped-reported)
			reported = dropped
		}
		if err := out.Flush(); err != nil {
			l.dropped.Add(1) // the log can't be written; the program continues without it
			out.Reset(l.config.Output)
		}
		select {
		case <-ctx.Done():
			l.writeLines(out, cap(l.lines))
			return out.Flush()
		case <-ticker.C:
		}
	}
}

// writeLines writes up to limit buffered lines and returns their number.
func (l *Log) writeLines(out *bufio.Writer, limit int) int {
	for n := range max(limit, 0) {
		select {
		case line := <-l.lines:
			fmt.Fprintln(out, line)
			l.written.Add(1)
		default:
			return n
		}
	}
	return max(limit, 0)
}
