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
	"indigoglade/intake"
	"indigoglade/jrpc"
	"indigoglade/quorum"
	"indigoglade/send"
	"indigoglade/serve"
)

// entryHost is an entry host that is alone in its zone. It counts the runs of
// its one endpoint.
type entryHost struct {
	server     *serve.Server
	dispatcher *intake.Dispatcher
	runs       atomic.Int32
}

func (h *entryHost) run(ctx context.Context) { _ = h.dispatcher.Run(ctx) }

func newHost(t *testing.T, node glade.Node, peers []serve.Peer) *entryHost {
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	sysClock := clock.System{}
	h := &entryHost{dispatcher: intake.New(intake.Config{Node: node, Zone: "z", Nodes: []glade.Node{node}, Clock: sysClock, QueueLength: 16})}
	registry := adopt.New()
	registry.Confirm(1, sysClock.Now())
	registry.ActivateIfNewer(glade.NewContract(glade.ContractSpec{
		Customer: "dealers",
		Pools:    []glade.PoolSpec{{Name: "quotes", Serve: "quotes"}},
		Answer:   glade.AnswerSpec{Deadline: glade.Span(10 * time.Second), MaxQueued: 10, Window: glade.Span(time.Minute)},
	}, 7))
	h.server = serve.New(serve.Config{
		Registry: registry, Dispatcher: h.dispatcher, Meter: burn.New(burn.Config{Node: node, Clock: sysClock}), Clock: sysClock, Peers: peers,
		Sender: send.New(send.Config{MaxIdleConns: 1, MaxBodyBytes: 1 << 10, ConnectTimeout: time.Second}),
		Claimer: claim.New(claim.Config{
			Self: node, Members: []quorum.Member{quorum.NewMember(node, "z")}, Clock: sysClock,
			Random: rand.New(rand.NewPCG(1, 1)), MaxKeys: 10, MaxAnswerBytes: 1 << 10,
		}),
	})
	go h.run(ctx)
	return h
}

// addEndpoint adds an endpoint that answers with the request's body.
func (h *entryHost) addEndpoint(t *testing.T) {
	open := make(chan struct{})
	close(open)
	h.addGatedEndpoint(t, open)
}

// addGatedEndpoint adds an endpoint that answers once gate is closed.
func (h *entryHost) addGatedEndpoint(t *testing.T, gate <-chan struct{}) {
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
	h.dispatcher.UpdateHosts([]glade.HostListing{{Host: "h", Zone: "z", Incarnation: 1, Service: "quotes", Address: address}})
}

func (h *entryHost) call(path, body string, headers ...string) *httptest.ResponseRecorder {
	request := httptest.NewRequest(http.MethodPost, path, strings.NewReader(body))
	for i := 0; i < len(headers); i += 2 {
		request.Header.Set(headers[i], headers[i+1])
	}
	reply := httptest.NewRecorder()
	h.server.Handler().ServeHTTP(reply, request)
	return reply
}

// expectReply checks the status, outcome and reason of a reply.
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
	qt.Check(t, reply.Header().Get(serve.ContractVersionHeader), qt.Equals, "7")
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

func TestNoEndpointsSetsRetryAfter(t *testing.T) {
	h := newHost(t, "e1", nil)
	reply := h.call("/v1/dealers/quotes", "roof")
	expectReply(t, reply, 503, "refused", "endpoints")
	qt.Check(t, reply.Header().Get(serve.RetryHeader), qt.Equals, "1")
}

// blockedBody is a request body that ends once release is closed.
type blockedBody struct{ release chan struct{} }

func (b blockedBody) Read([]byte) (int, error) {
	<-b.release
	return 0, io.EOF
}

// stalledRequest is a request whose body does not arrive.
type stalledRequest struct {
	entryHost *entryHost
	body      blockedBody
	done      *sync.WaitGroup
}

func (h stalledRequest) run() {
	defer h.done.Done()
	request := httptest.NewRequest(http.MethodPost, "/v1/dealers/quotes", h.body)
	h.entryHost.server.Handler().ServeHTTP(httptest.NewRecorder(), request)
}

func TestRequestsInFlightAreBounded(t *testing.T) {
	h := newHost(t, "e1", nil)
	var done sync.WaitGroup
	body := blockedBody{release: make(chan struct{})}
	for range 2048 {
		done.Add(1)
		go stalledRequest{entryHost: h, body: body, done: &done}.run()
	}
	for h.server.InFlight() < 2048 {
		runtime.Gosched()
	}
	expectReply(t, h.call("/v1/dealers/quotes", "roof"), 429, "refused", "queue")
	close(body.release)
	done.Wait()
	expectReply(t, h.call("/v1/dealers/quotes", "roof"), 503, "refused", "endpoints")
}

// peerServer is the server of a host for its peers.
type peerServer struct {
	server *jrpc.Server
	ctx    context.Context
}

func (p peerServer) run() { _ = p.server.Run(p.ctx) }

// newPeer returns a host without endpoints whose only peer is the given host.
func newPeer(t *testing.T, peer *entryHost) *entryHost {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	qt.Assert(t, err, qt.IsNil)
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	mux := jrpc.NewMux()
	peer.server.Register(mux)
	go peerServer{jrpc.NewServer(listener, mux), ctx}.run()
	client := jrpc.NewClient(jrpc.Config{Address: listener.Addr().String(), Timeout: 10 * time.Second})
	return newHost(t, "e1", []serve.Peer{{Node: "e2", Client: client}})
}

func TestPeerWithRoomTakesTheRequest(t *testing.T) {
	peer := newHost(t, "e2", nil)
	peer.addEndpoint(t)
	local := newPeer(t, peer)
	reply := local.call("/v1/dealers/quotes", "roof")
	expectReply(t, reply, 200, "answered", "")
	qt.Check(t, reply.Body.String(), qt.Equals, "roof")
	qt.Check(t, peer.runs.Load(), qt.Equals, int32(1))
}

// asyncCall is a request that runs in a goroutine of its own.
type asyncCall struct {
	entryHost *entryHost
	reply     chan *httptest.ResponseRecorder
}

func (c asyncCall) run() { c.reply <- c.entryHost.call("/v1/dealers/quotes", "roof") }

func TestStopWaitsForRelaysAndTakesNoMore(t *testing.T) {
	gate := make(chan struct{})
	peer := newHost(t, "e2", nil)
	peer.addGatedEndpoint(t, gate)
	local := newPeer(t, peer)
	first := asyncCall{entryHost: local, reply: make(chan *httptest.ResponseRecorder, 1)}
	go first.run()
	for peer.runs.Load() == 0 {
		runtime.Gosched()
	}
	shortCtx, cancel := context.WithTimeout(context.Background(), 2*time.Second)
	defer cancel()
	peer.server.Stop(shortCtx)
	qt.Check(t, shortCtx.Err(), qt.IsNotNil, qt.Commentf("stopped before its peer had the answer"))
	expectReply(t, local.call("/v1/dealers/quotes", "roof"), 503, "refused", "endpoints")
	close(gate)
	peer.server.Stop(context.Background())
	peer.server.Drain(context.Background())
	expectReply(t, <-first.reply, 200, "answered", "")
	qt.Check(t, peer.runs.Load(), qt.Equals, int32(1))
}
