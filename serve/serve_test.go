package serve_test

import (
	"context"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"net/http/httptest"
	"runtime"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	glade "indigoglade"
	"indigoglade/adopt"
	"indigoglade/burn"
	"indigoglade/claim"
	"indigoglade/clock"
	"indigoglade/desk"
	"indigoglade/link"
	"indigoglade/once"
	"indigoglade/send"
	"indigoglade/serve"
)

// host is an entry host in a zone of its own, and counts the runs of its one
// endpoint.
type host struct {
	server *serve.Server
	desk   *desk.Desk
	runs   atomic.Int32
}

func (h *host) run(ctx context.Context) { _ = h.desk.Run(ctx) }

func newHost(t *testing.T, node glade.Node, peers []serve.Peer) *host {
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	system := clock.System{}
	h := &host{desk: desk.New(desk.Config{Node: node, Zone: "z", Nodes: []glade.Node{node}, Clock: system, Ring: 16})}
	book := adopt.New()
	book.Confirm(1, system.Now())
	book.ActivateIfNewer(glade.NewContract(glade.ContractSpec{
		Customer: "dealers",
		Pools:    []glade.PoolSpec{{Name: "quotes", Serve: "quotes"}},
		Answer:   glade.AnswerSpec{Deadline: glade.Span(10 * time.Second), Queue: 10, Window: glade.Span(time.Minute)},
	}, 7))
	h.server = serve.New(serve.Config{
		Book: book, Desk: h.desk, Meter: burn.New(burn.Config{Node: node, Clock: system}), Clock: system, Peers: peers,
		Sender: send.New(send.Config{MaxIdleConns: 1, MaxBodyBytes: 1 << 10, ConnectTimeout: time.Second}),
		Claimer: claim.New(claim.Config{
			Self: node, Members: []once.Member{once.NewMember(node, "z")}, Clock: system,
			Random: rand.New(rand.NewPCG(1, 1)), MaxKeys: 10, MaxAnswerBytes: 1 << 10,
		}),
	})
	go h.run(ctx)
	return h
}

// addEndpoint gives the host an endpoint that answers with the request's body.
func (h *host) addEndpoint(t *testing.T) {
	open := make(chan struct{})
	close(open)
	h.addGatedEndpoint(t, open)
}

// addGatedEndpoint is addEndpoint for one that answers once the gate is closed.
func (h *host) addGatedEndpoint(t *testing.T, gate <-chan struct{}) {
	endpoint := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		h.runs.Add(1)
		<-gate
		body, _ := io.ReadAll(r.Body)
		w.Header().Set(send.RequestHeader, r.Header.Get(send.RequestHeader))
		w.Header().Set("Content-Length", strconv.Itoa(len(body)))
		_, _ = w.Write(body)
	}))
	t.Cleanup(endpoint.Close)
	address := strings.TrimPrefix(endpoint.URL, "http://")
	h.desk.Update([]glade.Listed{{Host: "h", Zone: "z", Incarnation: 1, Service: "quotes", Address: address}})
}

func (h *host) call(path, body string, headers ...string) *httptest.ResponseRecorder {
	request := httptest.NewRequest(http.MethodPost, path, strings.NewReader(body))
	for i := 0; i < len(headers); i += 2 {
		request.Header.Set(headers[i], headers[i+1])
	}
	reply := httptest.NewRecorder()
	h.server.Handler().ServeHTTP(reply, request)
	return reply
}

// expectReply checks status, outcome and reason of a reply.
func expectReply(t *testing.T, reply *httptest.ResponseRecorder, status int, outcome, reason string) {
	t.Helper()
	qt.Check(t, reply.Code, qt.Equals, status)
	qt.Check(t, reply.Header().Get(serve.OutcomeHeader), qt.Equals, outcome)
	qt.Check(t, reply.Header().Get(serve.ReasonHeader), qt.Equals, reason)
}

func TestBadInputRunsNothing(t *testing.T) {
	h := newHost(t, "e1", nil)
	h.addEndpoint(t)
	const path = "/v1/dealers/quotes"
	expectReply(t, h.call("/v1/nobody/quotes", ""), 404, "refused", "customer")
	expectReply(t, h.call("/v1/dealers/nothing", ""), 404, "refused", "service")
	expectReply(t, h.call(path, "", serve.DeadlineHeader, "soon"), 400, "refused", "malformed")
	expectReply(t, h.call(path, "", serve.DeadlineHeader, "0"), 503, "refused", "deadline")
	expectReply(t, h.call(path, "", serve.KeyHeader, "two words"), 400, "refused", "malformed")
	expectReply(t, h.call(path, "", serve.ResendHeader, "true", serve.KeyAgeHeader, "-1"), 400, "refused", "malformed")
	expectReply(t, h.call(path, "", serve.IDHeader, strings.Repeat("x", 200)), 400, "refused", "malformed")
	expectReply(t, h.call(path, strings.Repeat("x", 1<<20+1)), 413, "refused", "large")
	qt.Check(t, h.runs.Load(), qt.Equals, int32(0))
}

func TestAnswer(t *testing.T) {
	h := newHost(t, "e1", nil)
	h.addEndpoint(t)
	reply := h.call("/v1/dealers/quotes", "roof", serve.KeyHeader, "k")
	expectReply(t, reply, 200, "answered", "")
	qt.Check(t, reply.Body.String(), qt.Equals, "roof")
	qt.Check(t, reply.Header().Get(serve.VersionHeader), qt.Equals, "7")
}

func TestResendIsAnsweredWithoutASecondRun(t *testing.T) {
	h := newHost(t, "e1", nil)
	h.addEndpoint(t)
	for range 3 {
		reply := h.call("/v1/dealers/quotes", "roof", serve.KeyHeader, "k", serve.ResendHeader, "true")
		expectReply(t, reply, 200, "answered", "")
	}
	qt.Check(t, h.runs.Load(), qt.Equals, int32(1))
}

func TestWithoutEndpointsTheCallerIsToldWhenToComeBack(t *testing.T) {
	h := newHost(t, "e1", nil)
	reply := h.call("/v1/dealers/quotes", "roof")
	expectReply(t, reply, 503, "refused", "endpoints")
	qt.Check(t, reply.Header().Get(serve.RetryHeader), qt.Equals, "1")
}

// slowBody never ends until it is released.
type slowBody struct{ release chan struct{} }

func (b slowBody) Read([]byte) (int, error) {
	<-b.release
	return 0, io.EOF
}

// holding is a request whose body doesn't come.
type holding struct {
	host *host
	body slowBody
	done *sync.WaitGroup
}

func (h holding) run() {
	defer h.done.Done()
	request := httptest.NewRequest(http.MethodPost, "/v1/dealers/quotes", h.body)
	h.host.server.Handler().ServeHTTP(httptest.NewRecorder(), request)
}

func TestRequestsUnderWayAreBounded(t *testing.T) {
	h := newHost(t, "e1", nil)
	var done sync.WaitGroup
	body := slowBody{release: make(chan struct{})}
	for range 2048 {
		done.Add(1)
		go holding{host: h, body: body, done: &done}.run()
	}
	for h.server.UnderWay() < 2048 {
		runtime.Gosched()
	}
	expectReply(t, h.call("/v1/dealers/quotes", "roof"), 429, "refused", "queue")
	close(body.release)
	done.Wait()
	expectReply(t, h.call("/v1/dealers/quotes", "roof"), 503, "refused", "endpoints")
}

// peering is the server for peers of a host.
type peering struct {
	server *link.Server
	ctx    context.Context
}

func (p peering) run() { _ = p.server.Run(p.ctx) }

// newPeer returns a host without endpoints that asks the given one for room.
func newPeer(t *testing.T, rich *host) *host {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	qt.Assert(t, err, qt.IsNil)
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	mux := link.NewMux()
	rich.server.Register(mux)
	go peering{link.NewServer(listener, mux), ctx}.run()
	client := link.NewClient(link.Config{Address: listener.Addr().String(), Timeout: 10 * time.Second})
	return newHost(t, "e1", []serve.Peer{{Node: "e2", Client: client}})
}

func TestPeerWithRoomTakesTheRequest(t *testing.T) {
	rich := newHost(t, "e2", nil)
	rich.addEndpoint(t)
	poor := newPeer(t, rich)
	reply := poor.call("/v1/dealers/quotes", "roof")
	expectReply(t, reply, 200, "answered", "")
	qt.Check(t, reply.Body.String(), qt.Equals, "roof")
	qt.Check(t, rich.runs.Load(), qt.Equals, int32(1))
}

// calling is a request that is answered later.
type calling struct {
	host  *host
	reply chan *httptest.ResponseRecorder
}

func (c calling) run() { c.reply <- c.host.call("/v1/dealers/quotes", "roof") }

func TestStopWaitsForRelaysAndTakesNoMore(t *testing.T) {
	gate := make(chan struct{})
	rich := newHost(t, "e2", nil)
	rich.addGatedEndpoint(t, gate)
	poor := newPeer(t, rich)
	first := calling{host: poor, reply: make(chan *httptest.ResponseRecorder, 1)}
	go first.run()
	for rich.runs.Load() == 0 {
		runtime.Gosched()
	}
	short, cancel := context.WithTimeout(context.Background(), 2*time.Second)
	defer cancel()
	rich.server.Stop(short)
	qt.Check(t, short.Err(), qt.IsNotNil, qt.Commentf("stopped before its peer had the answer"))
	expectReply(t, poor.call("/v1/dealers/quotes", "roof"), 503, "refused", "endpoints")
	close(gate)
	rich.server.Stop(context.Background())
	rich.server.Drain(context.Background())
	expectReply(t, <-first.reply, 200, "answered", "")
	qt.Check(t, rich.runs.Load(), qt.Equals, int32(1))
}
