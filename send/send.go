// Package send makes one attempt of a request on one endpoint.
//
// It manages its own connections because http.Transport retries a request by
// itself when a kept-alive connection breaks: no retry budget counts that
// attempt, and a request whose method counts as idempotent could run twice.
// Here one call is one attempt, and the result tells whether any byte was
// written.
package send

import (
	"bufio"
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"syscall"
	"time"

	"github.com/pkg/errors"

	glade "indigoglade"
)

// Headers of the endpoints' HTTP interface.
const (
	// RequestHeader carries the id of a request; endpoints echo it in the
	// answer.
	RequestHeader = "Request-Id"
	// LeavingHeader is set in the answers of an endpoint that is leaving.
	LeavingHeader = "Runner-Leaving"
)

// Config configures a Sender.
type Config struct {
	// MaxIdleConns is the maximum number of idle connections kept for each endpoint.
	MaxIdleConns int
	// MaxBodyBytes is the maximum size of an answer's body, in bytes.
	MaxBodyBytes int64
	// ConnectTimeout is the timeout for opening a connection.
	ConnectTimeout time.Duration
}

// Call describes one attempt.
type Call struct {
	ID       string
	Service  glade.Service
	Address  string
	Body     []byte
	Deadline time.Time
}

// Result describes how one attempt ended.
type Result struct {
	outcome glade.Outcome
	reason  glade.Reason
	status  int
	body    []byte
	leaving bool
	pending *Pending
}

// Outcome returns what is known about the execution of the request.
func (r Result) Outcome() glade.Outcome { return r.outcome }

// Reason returns the reason for an outcome other than Answered.
func (r Result) Reason() glade.Reason { return r.reason }

// Status returns the HTTP status of the endpoint's answer, or 0 if there was
// none or reading it failed.
func (r Result) Status() int { return r.status }

// Body returns the whole body of the endpoint's answer. It is nil unless the
// outcome is Answered.
func (r Result) Body() []byte { return r.body }

// IsLeaving returns whether the endpoint's answer says that it is leaving.
func (r Result) IsLeaving() bool { return r.leaving }

// Pending returns the attempt if it timed out and its endpoint may still be
// working on it, or nil.
func (r Result) Pending() *Pending { return r.pending }

// Pending is an attempt that timed out while its endpoint may still be working on
// it.
type Pending struct {
	conn *conn
}

// Wait returns when the endpoint has ended the attempt, or at the latest at
// until. The endpoint's slot is occupied for that time.
func (r *Pending) Wait(until time.Time) {
	defer r.conn.Close()
	// Half-closing the connection asks the endpoint to close it when it is
	// done.
	tcp, ok := r.conn.Conn.(*net.TCPConn)
	if !ok || tcp.CloseWrite() != nil {
		return
	}
	if r.conn.SetReadDeadline(until) != nil {
		return
	}
	_, _ = io.Copy(io.Discard, r.conn.Conn)
}

// Sender makes attempts over persistent connections.
type Sender struct {
	config Config
	mu     sync.Mutex
	idle   map[string][]*conn
}

// maxHeadBytes bounds the size of an answer's head, and of what the chunked
// encoding adds to its body.
const maxHeadBytes = 64 << 10

// conn is a connection to an endpoint. limit bounds what is read of one answer,
// because http.ReadResponse has no bound of its own.
type conn struct {
	net.Conn
	limit  *io.LimitedReader
	reader *bufio.Reader
}

func newConn(raw net.Conn) *conn {
	c := newConnReader(raw)
	c.Conn = raw
	return c
}

func newConnReader(r io.Reader) *conn {
	limit := &io.LimitedReader{R: r}
	return &conn{limit: limit, reader: bufio.NewReader(limit)}
}

// New returns a sender without open connections.
func New(config Config) *Sender {
	return &Sender{config: config, idle: make(map[string][]*conn)}
}

// Do makes one attempt. A connection carries one request at a time, and is
// reused only after a complete answer.
func (s *Sender) Do(ctx context.Context, call Call) Result {
	c, err := s.connect(ctx, call)
	if err != nil {
		return Result{outcome: glade.Refused, reason: glade.ReasonConnect}
	}
	stop := context.AfterFunc(ctx, func() { c.SetDeadline(time.Unix(1, 0)) })
	result, reusable := s.exchange(ctx, c, call)
	switch {
	case stop() && reusable:
		s.putIdle(call.Address, c)
	case result.reason == glade.ReasonTimeout:
		result.pending = &Pending{conn: c}
	default:
		c.Close()
	}
	return result
}

func (s *Sender) exchange(ctx context.Context, c *conn, call Call) (Result, bool) {
	if err := c.SetDeadline(call.Deadline); err != nil {
		return Result{outcome: glade.Refused, reason: glade.ReasonConnect}, false
	}
	n, err := c.Write(encode(call))
	if n == 0 && err != nil {
		return Result{outcome: glade.Refused, reason: glade.ReasonConnect}, false
	}
	if err != nil {
		return unknownResult(ctx, err), false
	}
	return s.receive(ctx, c, call)
}

// receive reads one answer and returns whether the connection may be reused.
func (s *Sender) receive(ctx context.Context, c *conn, call Call) (Result, bool) {
	c.limit.N = maxHeadBytes
	reply, err := http.ReadResponse(c.reader, nil)
	if err != nil {
		return unknownResult(ctx, err), false
	}
	defer reply.Body.Close()
	c.limit.N = maxHeadBytes + s.config.MaxBodyBytes
	return s.read(ctx, reply, call)
}

func (s *Sender) read(ctx context.Context, reply *http.Response, call Call) (Result, bool) {
	result := Result{status: reply.StatusCode, leaving: reply.Header.Get(LeavingHeader) != ""}
	if !isDelimited(reply) {
		result.outcome, result.reason = glade.Unknown, glade.ReasonConnectionLost
		return result, false
	}
	body, err := io.ReadAll(io.LimitReader(reply.Body, s.config.MaxBodyBytes+1))
	if err != nil {
		truncated := unknownResult(ctx, err)
		truncated.leaving = result.leaving
		return truncated, false
	}
	if int64(len(body)) > s.config.MaxBodyBytes {
		result.outcome, result.reason = glade.Unknown, glade.ReasonAnswerTooLarge
		return result, false
	}
	if echoed := reply.Header.Get(RequestHeader); echoed != call.ID && reply.StatusCode == http.StatusOK {
		result.outcome, result.reason = glade.Unknown, glade.ReasonWrongAnswer
		return result, false
	}
	if reply.StatusCode != http.StatusOK {
		result.outcome, result.reason = glade.Failed, glade.ReasonEndpointError
		return result, !reply.Close
	}
	result.outcome = glade.Answered
	result.body = body
	return result, !reply.Close
}

// isDelimited returns whether the end of an answer can be detected. A body that
// ends with its connection may be truncated anywhere, and an interim answer is
// not the final one.
func isDelimited(reply *http.Response) bool {
	return reply.StatusCode >= http.StatusOK && (reply.ContentLength >= 0 || len(reply.TransferEncoding) > 0)
}

func unknownResult(ctx context.Context, err error) Result {
	var netErr net.Error
	switch {
	case ctx.Err() != nil:
		return Result{outcome: glade.Unknown, reason: glade.ReasonCallerDisconnected}
	case errors.As(err, &netErr) && netErr.Timeout():
		return Result{outcome: glade.Unknown, reason: glade.ReasonTimeout}
	}
	return Result{outcome: glade.Unknown, reason: glade.ReasonConnectionLost}
}

func encode(call Call) []byte {
	var b bytes.Buffer
	b.WriteString("POST /run/" + string(call.Service) + " HTTP/1.1\r\n")
	b.WriteString("Host: " + call.Address + "\r\n")
	b.WriteString(RequestHeader + ": " + call.ID + "\r\n")
	b.WriteString("Content-Length: " + strconv.Itoa(len(call.Body)) + "\r\n\r\n")
	b.Write(call.Body)
	return b.Bytes()
}

// connect returns an idle connection that is still open, or opens a new one.
func (s *Sender) connect(ctx context.Context, call Call) (*conn, error) {
	for {
		c := s.popIdle(call.Address)
		if c == nil {
			break
		}
		if c.isReusable() {
			return c, nil
		}
		c.Close()
	}
	dialer := net.Dialer{Timeout: s.config.ConnectTimeout, Deadline: call.Deadline}
	raw, err := dialer.DialContext(ctx, "tcp", call.Address)
	if err != nil {
		return nil, err
	}
	return newConn(raw), nil
}

// isReusable peeks at an idle connection without blocking. Only a connection
// with nothing to read can be reused: after an end of file or stray bytes, the
// next request would have an unknown outcome. A read deadline in the past can't
// be used for this check, because a read with an expired deadline never asks
// the kernel.
func (c *conn) isReusable() bool {
	if c.reader.Buffered() > 0 || c.SetDeadline(time.Time{}) != nil {
		return false
	}
	tcp, ok := c.Conn.(*net.TCPConn)
	if !ok {
		return false
	}
	raw, err := tcp.SyscallConn()
	if err != nil {
		return false
	}
	var peekErr error
	err = raw.Read(func(fd uintptr) bool {
		var buf [1]byte
		_, _, peekErr = syscall.Recvfrom(int(fd), buf[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		return true
	})
	return err == nil && errors.Is(peekErr, syscall.EAGAIN)
}

func (s *Sender) popIdle(address string) *conn {
	s.mu.Lock()
	defer s.mu.Unlock()
	list := s.idle[address]
	if len(list) == 0 {
		return nil
	}
	c := list[len(list)-1]
	s.idle[address] = list[:len(list)-1]
	return c
}

func (s *Sender) putIdle(address string, c *conn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.idle[address]) >= s.config.MaxIdleConns {
		c.Close()
		return
	}
	s.idle[address] = append(s.idle[address], c)
}

// Close closes all idle connections.
func (s *Sender) Close() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for address, list := range s.idle {
		for _, c := range list {
			c.Close()
		}
		delete(s.idle, address)
	}
}
