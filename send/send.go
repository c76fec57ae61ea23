// Package send makes one attempt of a request on one endpoint.
//
// It uses its own connections in place of http.Transport, because that sends a
// request again by itself when a kept-alive connection dies: an attempt that no
// budget counts, and a second run where the method says that it is safe. Here
// one call is one attempt, and the result tells whether any byte was written.
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
	// RequestHeader carries the id of a request; endpoints echo it.
	RequestHeader = "Request-Id"
	// LeavingHeader is set by an endpoint that is leaving.
	LeavingHeader = "Runner-Leaving"
)

// Config configures a Sender.
type Config struct {
	// Links bounds the idle connections kept for each endpoint.
	Links int
	// MaxReply bounds the size of an answer's body, in bytes.
	MaxReply int64
	// Connect bounds the time to open a connection.
	Connect time.Duration
}

// Call is one attempt.
type Call struct {
	ID       string
	Service  glade.Service
	Address  string
	Body     []byte
	Deadline time.Time
}

// Result is the result of one attempt.
type Result struct {
	outcome glade.Outcome
	reason  glade.Reason
	status  int
	body    []byte
	leaving bool
	rest    *Rest
}

// Outcome tells what is known of the attempt.
func (r Result) Outcome() glade.Outcome { return r.outcome }

// Reason explains an outcome other than Answered.
func (r Result) Reason() glade.Reason { return r.reason }

// Status returns the endpoint's HTTP status, or 0 without an answer.
func (r Result) Status() int { return r.status }

// Body returns the endpoint's whole answer.
func (r Result) Body() []byte { return r.body }

// IsLeaving tells whether the endpoint said that it is leaving.
func (r Result) IsLeaving() bool { return r.leaving }

// Rest returns what is left of an attempt whose endpoint may still be working
// when the deadline has passed, or nil.
func (r Result) Rest() *Rest { return r.rest }

// Rest is an attempt that was given up while its endpoint may be working.
type Rest struct {
	conn *conn
}

// Wait returns when the endpoint has ended the attempt, at the latest at until.
// Until then the endpoint's slot is taken.
func (r *Rest) Wait(until time.Time) {
	defer r.conn.Close()
	// The half-close asks the endpoint to end the connection when it is done.
	tcp, ok := r.conn.Conn.(*net.TCPConn)
	if !ok || tcp.CloseWrite() != nil {
		return
	}
	if r.conn.SetReadDeadline(until) != nil {
		return
	}
	_, _ = io.Copy(io.Discard, r.conn.Conn)
}

// Sender makes attempts over kept-alive connections.
type Sender struct {
	config Config
	mu     sync.Mutex
	idle   map[string][]*conn
}

// maxHead bounds the size of an answer's head, and of what chunks add to its
// body, in bytes.
const maxHead = 64 << 10

// conn is a connection to an endpoint. The limit bounds what is read of one
// answer, since http.ReadResponse has no bound of its own.
type conn struct {
	net.Conn
	limit  *io.LimitedReader
	reader *bufio.Reader
}

func newConn(raw net.Conn) *conn {
	c := newReader(raw)
	c.Conn = raw
	return c
}

func newReader(r io.Reader) *conn {
	limit := &io.LimitedReader{R: r}
	return &conn{limit: limit, reader: bufio.NewReader(limit)}
}

// New returns a sender without connections.
func New(config Config) *Sender {
	return &Sender{config: config, idle: make(map[string][]*conn)}
}

// Do makes one attempt. A connection carries one request at a time, and is
// closed after anything but a whole answer.
func (s *Sender) Do(ctx context.Context, call Call) Result {
	c, err := s.take(ctx, call)
	if err != nil {
		return Result{outcome: glade.Refused, reason: glade.ReasonConnect}
	}
	stop := context.AfterFunc(ctx, func() { c.SetDeadline(time.Unix(1, 0)) })
	result, keep := s.exchange(ctx, c, call)
	switch {
	case stop() && keep:
		s.put(call.Address, c)
	case result.reason == glade.ReasonTimeout:
		result.rest = &Rest{conn: c}
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
		return unknown(ctx, err), false
	}
	return s.receive(ctx, c, call)
}

// receive reads one answer, and tells whether the connection may be kept.
func (s *Sender) receive(ctx context.Context, c *conn, call Call) (Result, bool) {
	c.limit.N = maxHead
	reply, err := http.ReadResponse(c.reader, nil)
	if err != nil {
		return unknown(ctx, err), false
	}
	defer reply.Body.Close()
	c.limit.N = maxHead + s.config.MaxReply
	return s.read(ctx, reply, call)
}

func (s *Sender) read(ctx context.Context, reply *http.Response, call Call) (Result, bool) {
	result := Result{status: reply.StatusCode, leaving: reply.Header.Get(LeavingHeader) != ""}
	if !isDelimited(reply) {
		result.outcome, result.reason = glade.Unknown, glade.ReasonCut
		return result, false
	}
	body, err := io.ReadAll(io.LimitReader(reply.Body, s.config.MaxReply+1))
	if err != nil {
		cut := unknown(ctx, err)
		cut.leaving = result.leaving
		return cut, false
	}
	if int64(len(body)) > s.config.MaxReply {
		result.outcome, result.reason = glade.Unknown, glade.ReasonOversize
		return result, false
	}
	if echoed := reply.Header.Get(RequestHeader); echoed != call.ID && reply.StatusCode == http.StatusOK {
		result.outcome, result.reason = glade.Unknown, glade.ReasonMismatch
		return result, false
	}
	if reply.StatusCode != http.StatusOK {
		result.outcome, result.reason = glade.Failed, glade.ReasonEndpoint
		return result, !reply.Close
	}
	result.outcome = glade.Answered
	result.body = body
	return result, !reply.Close
}

// isDelimited tells whether the end of an answer shows. A body that ends with
// its connection could be cut anywhere, and an interim answer is not the end.
func isDelimited(reply *http.Response) bool {
	return reply.StatusCode >= http.StatusOK && (reply.ContentLength >= 0 || len(reply.TransferEncoding) > 0)
}

func unknown(ctx context.Context, err error) Result {
	var network net.Error
	switch {
	case ctx.Err() != nil:
		return Result{outcome: glade.Unknown, reason: glade.ReasonCallerLeft}
	case errors.As(err, &network) && network.Timeout():
		return Result{outcome: glade.Unknown, reason: glade.ReasonTimeout}
	}
	return Result{outcome: glade.Unknown, reason: glade.ReasonCut}
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

// take returns an idle connection that is still open, or a new one.
func (s *Sender) take(ctx context.Context, call Call) (*conn, error) {
	for {
		c := s.pop(call.Address)
		if c == nil {
			break
		}
		if c.isOpen() {
			return c, nil
		}
		c.Close()
	}
	dialer := net.Dialer{Timeout: s.config.Connect, Deadline: call.Deadline}
	raw, err := dialer.DialContext(ctx, "tcp", call.Address)
	if err != nil {
		return nil, err
	}
	return newConn(raw), nil
}

// isOpen peeks at an idle connection without waiting. Only a connection with
// nothing to read is fit for use: an end of file or stray bytes would cost the
// next request an unknown outcome. A read deadline in the past can't be used to
// look, because a read with an expired deadline never asks the kernel.
func (c *conn) isOpen() bool {
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
	var peeked error
	err = raw.Read(func(fd uintptr) bool {
		var one [1]byte
		_, _, peeked = syscall.Recvfrom(int(fd), one[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		return true
	})
	return err == nil && errors.Is(peeked, syscall.EAGAIN)
}

func (s *Sender) pop(address string) *conn {
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

func (s *Sender) put(address string, c *conn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.idle[address]) >= s.config.Links {
		c.Close()
		return
	}
	s.idle[address] = append(s.idle[address], c)
}

// Close closes every idle connection.
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
