package send_test

import (
	"bufio"
	"context"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	glade "indigoglade"
	"indigoglade/send"
)

// endpoint answers every request on a connection with the same bytes. If
// closeAfterReply is set, it closes the connection after the first answer.
type endpoint struct {
	listener        net.Listener
	reply           string
	closeAfterReply bool
	requests        chan string
}

func newEndpoint(t *testing.T, reply string, closeAfterReply bool) *endpoint {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	qt.Assert(t, err, qt.IsNil)
	e := &endpoint{listener: listener, reply: reply, closeAfterReply: closeAfterReply, requests: make(chan string, 16)}
	t.Cleanup(func() { listener.Close() })
	go e.run()
	return e
}

func (e *endpoint) run() {
	for {
		conn, err := e.listener.Accept()
		if err != nil {
			return
		}
		e.serve(conn)
	}
}

func (e *endpoint) serve(conn net.Conn) {
	defer conn.Close()
	reader := bufio.NewReader(conn)
	for {
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		e.requests <- request.Header.Get(send.RequestHeader)
		conn.Write([]byte(e.reply))
		if e.closeAfterReply {
			return
		}
	}
}

// expectResult makes one attempt against an endpoint that sends reply, and
// checks its outcome and reason.
func expectResult(t *testing.T, reply string, outcome glade.Outcome, reason glade.Reason) {
	t.Helper()
	t.Run(outcome.String()+" "+string(reason), func(t *testing.T) {
		e := newEndpoint(t, reply, true)
		sender := send.New(send.Config{MaxIdleConns: 1, MaxBodyBytes: 8, ConnectTimeout: time.Second})
		r := sender.Do(context.Background(), send.Call{
			ID: "a", Service: "quotes", Address: e.listener.Addr().String(), Deadline: time.Now().Add(5 * time.Second),
		})
		qt.Check(t, r.Outcome(), qt.Equals, outcome)
		qt.Check(t, r.Reason(), qt.Equals, reason)
		qt.Check(t, len(e.requests), qt.Equals, 1)
	})
}

func TestDo(t *testing.T) {
	const head = "HTTP/1.1 200 OK\r\nRequest-Id: a\r\n"
	expectResult(t, head+"Content-Length: 2\r\n\r\nok", glade.Answered, glade.ReasonNone)
	expectResult(t, head+"Content-Length: 9\r\n\r\nok", glade.Unknown, glade.ReasonConnectionLost)
	expectResult(t, head+"Content-Length: 9\r\n\r\n123456789", glade.Unknown, glade.ReasonAnswerTooLarge)
	expectResult(t, head+"Transfer-Encoding: chunked\r\n\r\n2\r\nok\r\n", glade.Unknown, glade.ReasonConnectionLost)
	expectResult(t, "HTTP/1.1 200 OK\r\nRequest-Id: b\r\nContent-Length: 0\r\n\r\n", glade.Unknown, glade.ReasonWrongAnswer)
	expectResult(t, "HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n", glade.Failed, glade.ReasonEndpointError)
	expectResult(t, head+"\r\nok", glade.Unknown, glade.ReasonConnectionLost)
	expectResult(t, "HTTP/1.1 100 Continue\r\n\r\n"+head+"Content-Length: 2\r\n\r\nok", glade.Unknown, glade.ReasonConnectionLost)
	expectResult(t, "garbage\r\n\r\n", glade.Unknown, glade.ReasonConnectionLost)
	expectResult(t, "", glade.Unknown, glade.ReasonConnectionLost)
}

func TestDoRefusesWithoutAConnection(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	qt.Assert(t, err, qt.IsNil)
	address := listener.Addr().String()
	listener.Close()
	sender := send.New(send.Config{MaxIdleConns: 1, MaxBodyBytes: 8, ConnectTimeout: time.Second})
	r := sender.Do(context.Background(), send.Call{ID: "a", Address: address, Deadline: time.Now().Add(5 * time.Second)})
	qt.Check(t, r.Outcome(), qt.Equals, glade.Refused)
}

func TestDoBoundsTheHead(t *testing.T) {
	flood := "HTTP/1.1 200 OK\r\nRequest-Id: a\r\nX: " + strings.Repeat("x", 1<<20)
	expectResult(t, flood, glade.Unknown, glade.ReasonConnectionLost)
	expectResult(t, "HTTP/1.1 200 OK\r\n"+strings.Repeat("X: y\r\n", 1<<18), glade.Unknown, glade.ReasonConnectionLost)
}

func TestDoKeepsTheSlotOfALateAnswer(t *testing.T) {
	e := newEndpoint(t, "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nab", false)
	sender := send.New(send.Config{MaxIdleConns: 1, MaxBodyBytes: 8, ConnectTimeout: time.Second})
	r := sender.Do(context.Background(), send.Call{
		ID: "a", Address: e.listener.Addr().String(), Deadline: time.Now().Add(50 * time.Millisecond),
	})
	qt.Check(t, r.Reason(), qt.Equals, glade.ReasonTimeout)
	qt.Assert(t, r.Pending(), qt.IsNotNil)
	r.Pending().Wait(time.Now().Add(5 * time.Second))
	qt.Check(t, len(e.requests), qt.Equals, 1)
}
