package calls

import (
	"bufio"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"

	"indigoglade/send"
)

// ledger counts the executions at the endpoints, by the key in the request body.
type ledger struct {
	mu        sync.Mutex
	runs      map[string]int
	totalRuns int
}

func newLedger() *ledger { return &ledger{runs: make(map[string]int)} }

func (l *ledger) start(key string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.runs[key]++
	l.totalRuns++
}

func (l *ledger) count(key string) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.runs[key]
}

func (l *ledger) total() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.totalRuns
}

// fault is a kind of misbehavior of an endpoint.
type fault int

const (
	healthy         fault = iota
	failStatus            // answers with status 500
	truncating            // closes the connection in the middle of the body
	misdirecting          // sends the answer of another request
	garbling              // sends bytes that are no HTTP
	oversizing            // sends more than maxAnswerBytes
	trickling             // sends the answer byte by byte
	neverCompleting       // announces more bytes than it sends, byte by byte
	answeringLate         // answers after the deadline
	closing               // closes the connection without running the request
	faultCount
)

// endpoint is an HTTP server on loopback that misbehaves for a share of its requests.
type endpoint struct {
	listener net.Listener
	ledger   *ledger
	work     time.Duration
	// faultRate is the share of requests that hit one of faults.
	faultRate float64
	faults    []fault

	mu          sync.Mutex
	random      *rand.Rand
	inFlight    int
	maxInFlight int
	conns       map[net.Conn]bool
}

func newEndpoint(l *ledger, work time.Duration, faultRate float64, faults []fault, random *rand.Rand) (*endpoint, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	e := &endpoint{
		listener: listener, ledger: l, work: work, faultRate: faultRate, faults: faults, random: random, conns: make(map[net.Conn]bool),
	}
	go e.run()
	return e, nil
}

func (e *endpoint) run() {
	for {
		conn, err := e.listener.Accept()
		if err != nil {
			return
		}
		e.mu.Lock()
		e.conns[conn] = true
		e.mu.Unlock()
		s := session{endpoint: e, conn: conn}
		go s.run()
	}
}

func (e *endpoint) close() {
	e.listener.Close()
	e.mu.Lock()
	defer e.mu.Unlock()
	for conn := range e.conns {
		conn.Close()
	}
}

func (e *endpoint) begin() fault {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.inFlight++
	e.maxInFlight = max(e.maxInFlight, e.inFlight)
	if e.random.Float64() >= e.faultRate {
		return healthy
	}
	return e.faults[e.random.IntN(len(e.faults))]
}

func (e *endpoint) end() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.inFlight--
}

// session serves one connection to an endpoint.
type session struct {
	endpoint *endpoint
	conn     net.Conn
}

func (s session) run() {
	defer s.conn.Close()
	reader := bufio.NewReader(s.conn)
	for {
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		body, err := io.ReadAll(request.Body)
		if err != nil {
			return
		}
		if !s.serve(request.Header.Get(send.RequestHeader), string(body)) {
			return
		}
	}
}

// lateDelay exceeds the deadline of every request.
const lateDelay = 700 * time.Millisecond

// serve runs one request and reports whether the connection stays open.
func (s session) serve(id, key string) bool {
	kind := s.endpoint.begin()
	defer s.endpoint.end()
	if kind == closing {
		return false
	}
	s.endpoint.ledger.start(key)
	switch kind {
	case failStatus:
		return s.write("HTTP/1.1 500 Failed\r\nContent-Length: 0\r\n\r\n")
	case garbling:
		s.write("\x00\xffgarbage\r\n\r\n")
		return false
	case oversizing:
		s.write(responseHead(id, maxAnswerBytes*2))
		s.write(strings.Repeat("x", maxAnswerBytes*2))
		return false
	case answeringLate:
		time.Sleep(lateDelay)
	default:
		time.Sleep(s.endpoint.work)
	}
	return s.answer(kind, id, answerFor(key))
}

func (s session) answer(kind fault, id, body string) bool {
	switch kind {
	case truncating:
		s.write(responseHead(id, len(body)) + body[:len(body)/2])
		return false
	case misdirecting:
		other := "another" + id
		return s.write(responseHead(other, len(answerFor(other))) + answerFor(other))
	case trickling:
		return s.trickle(responseHead(id, len(body)) + body)
	case neverCompleting:
		return s.trickle(responseHead(id, maxAnswerBytes) + strings.Repeat(body, 40))
	}
	return s.write(responseHead(id, len(body)) + body)
}

// trickleDelay is the pause between the bytes of an answer that is sent byte by byte.
const trickleDelay = 20 * time.Millisecond

func (s session) trickle(text string) bool {
	for i := range len(text) {
		if !s.write(text[i : i+1]) {
			return false
		}
		time.Sleep(trickleDelay)
	}
	return true
}

func (s session) write(text string) bool {
	_, err := io.WriteString(s.conn, text)
	return err == nil
}

func responseHead(id string, length int) string {
	return fmt.Sprintf("HTTP/1.1 200 OK\r\n%s: %s\r\nContent-Length: %d\r\n\r\n", send.RequestHeader, id, length)
}

// answerFor returns the complete answer body for a key.
func answerFor(key string) string { return "price for " + key + " end" }
