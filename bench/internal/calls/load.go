package calls

import (
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"indigoglade/serve"
)

type loadConfig struct {
	requests int
	callers  int
	// duplicateShare is the share of requests that are sent to two entry hosts at the same time.
	duplicateShare float64
	// retries is the number of times that a caller sends an unanswered request again.
	retries int
	// abandonShare is the share of sends whose caller gives up after a few milliseconds.
	abandonShare float64
}

// callCounts counts the outcomes that callers saw, and violations.
type callCounts struct {
	mu       sync.Mutex
	sent     int
	outcomes map[string]int
	// Violations: requests that ran twice, refused requests that ran, and answers that were
	// truncated or belonged to another request.
	ranTwice, refusedRan, truncated, wrongAnswer int
}

// load sends requests to a site and collects their outcomes.
type load struct {
	site   *site
	config loadConfig
	next   atomic.Int64
	counts callCounts
	keys   map[string][]string
	wait   sync.WaitGroup
	client *http.Client
}

// drainTime is how long executions may still start after all callers have finished.
const drainTime = 2 * requestDeadline

// drive sends every request, waits until the endpoints have finished, and compares the outcomes
// that callers saw with the executions in the ledger.
func drive(s *site, config loadConfig) *callCounts {
	l := &load{site: s, config: config, client: &http.Client{
		Timeout:   4 * requestDeadline,
		Transport: &http.Transport{MaxIdleConnsPerHost: config.callers},
	}}
	l.counts.outcomes = make(map[string]int)
	l.keys = make(map[string][]string)
	for i := range config.callers {
		c := &caller{load: l, random: rand.New(rand.NewPCG(s.config.seed, uint64(i)))}
		l.wait.Add(1)
		go c.run()
	}
	l.wait.Wait()
	l.client.CloseIdleConnections()
	time.Sleep(drainTime)
	for key, outcomes := range l.keys {
		l.checkKey(key, outcomes)
	}
	return &l.counts
}

// caller sends one request after the other.
type caller struct {
	load   *load
	random *rand.Rand
	// firstSent is when the current key was first sent.
	firstSent time.Time
}

func (c *caller) run() {
	defer c.load.wait.Done()
	for {
		n := c.load.next.Add(1)
		if n > int64(c.load.config.requests) {
			return
		}
		c.request(fmt.Sprint("k", n))
	}
}

// request sends a key until it is answered or the retries are used up.
func (c *caller) request(key string) {
	var outcomes []string
	c.firstSent = time.Now()
	if c.random.Float64() < c.load.config.duplicateShare {
		outcomes = c.sendTwice(key)
	} else {
		outcomes = []string{c.send(key, false)}
	}
	for range c.load.config.retries {
		if outcomes[len(outcomes)-1] == "answered" {
			break
		}
		outcomes = append(outcomes, c.send(key, true))
	}
	c.load.saveOutcomes(key, outcomes)
}

// sendTwice sends a key to two entry hosts at the same time. One of the sends is marked as a
// resend.
func (c *caller) sendTwice(key string) []string {
	duplicateSend := &duplicateSend{caller: &caller{load: c.load, random: rand.New(rand.NewPCG(c.random.Uint64(), 0)), firstSent: c.firstSent}, key: key}
	duplicateSend.resend = c.random.IntN(2) == 0
	duplicateSend.done.Add(1)
	go duplicateSend.run()
	own := c.send(key, !duplicateSend.resend)
	duplicateSend.done.Wait()
	return []string{duplicateSend.outcome, own}
}

// duplicateSend is the second of two concurrent sends of a key.
type duplicateSend struct {
	caller  *caller
	key     string
	resend  bool
	outcome string
	done    sync.WaitGroup
}

func (t *duplicateSend) run() {
	defer t.done.Done()
	t.outcome = t.caller.send(t.key, t.resend)
}

// send sends a key to a random entry host and returns the outcome: "unsent" if no connection was
// made, "broken" if the connection failed later.
func (c *caller) send(key string, resend bool) string {
	entry := c.load.site.entries[c.random.IntN(len(c.load.site.entries))]
	url := fmt.Sprintf("http://%s/v1/%s/%s", entry.callerListener.address(), customer, service)
	request, err := http.NewRequest(http.MethodPost, url, strings.NewReader(key))
	if err != nil {
		return "unsent"
	}
	request.Header.Set(serve.IDHeader, fmt.Sprintf("%s-%x", key, c.random.Uint64()))
	request.Header.Set(serve.KeyHeader, key)
	if resend {
		request.Header.Set(serve.ResendHeader, "true")
		request.Header.Set(serve.KeyAgeHeader, strconv.FormatInt(time.Since(c.firstSent).Milliseconds()+1, 10))
	}
	client := *c.load.client
	if c.random.Float64() < c.load.config.abandonShare {
		client.Timeout = time.Duration(c.random.IntN(6)+1) * time.Millisecond
	}
	reply, err := client.Do(request)
	var dial *net.OpError
	if errors.As(err, &dial) && dial.Op == "dial" {
		return "unsent"
	}
	if err != nil {
		return "broken"
	}
	defer reply.Body.Close()
	body, err := io.ReadAll(reply.Body)
	if err != nil {
		return "broken"
	}
	outcome := reply.Header.Get(serve.OutcomeHeader)
	if outcome == "answered" {
		c.load.checkBody(key, string(body))
	}
	if reason := reply.Header.Get(serve.ReasonHeader); reason != "" {
		c.load.countOutcome(outcome + "." + reason)
	}
	return outcome
}

func (l *load) countOutcome(name string) {
	l.counts.mu.Lock()
	defer l.counts.mu.Unlock()
	l.counts.outcomes[name]++
}

// checkBody checks that an answer is complete and belongs to the key.
func (l *load) checkBody(key, body string) {
	l.counts.mu.Lock()
	defer l.counts.mu.Unlock()
	expected := answerFor(key)
	switch {
	case body == expected:
	case strings.HasPrefix(expected, body):
		l.counts.truncated++
	default:
		l.counts.wrongAnswer++
	}
}

func (l *load) saveOutcomes(key string, outcomes []string) {
	l.counts.mu.Lock()
	defer l.counts.mu.Unlock()
	l.keys[key] = outcomes
}

// checkKey compares the outcomes of a key with its executions, after all of them have ended.
func (l *load) checkKey(key string, outcomes []string) {
	runs := l.site.ledger.count(key)
	refused := true
	for _, outcome := range outcomes {
		l.counts.sent++
		l.counts.outcomes[outcome]++
		refused = refused && (outcome == "refused" || outcome == "unsent")
	}
	if refused && runs > 0 {
		l.counts.refusedRan++
	}
	if runs > 1 {
		l.counts.ranTwice++
	}
}
