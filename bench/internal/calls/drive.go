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

// driveConfig configures a load on a site.
type driveConfig struct {
	requests int
	callers  int
	// resend is the share of requests that are sent to two entry hosts at once,
	// the one or the other first.
	resend float64
	// again is the number of times that a caller sends again what was not
	// answered.
	again int
	// leave is the share of sends whose caller leaves before the answer.
	leave float64
}

// tally counts what the callers saw.
type tally struct {
	mu       sync.Mutex
	sent     int
	outcomes map[string]int
	// twice, refusedRan, cut and wrong count broken promises.
	twice, refusedRan, cut, wrong int
}

// load drives requests at a site.
type load struct {
	site   *site
	config driveConfig
	next   atomic.Int64
	tally  tally
	keys   map[string][]string
	wait   sync.WaitGroup
	client *http.Client
}

// restTime is how long a run may still begin after its callers have gone.
const restTime = 2 * deadline

// drive sends every request, waits for the last of them to end at the
// endpoints, and compares what callers saw with what ran.
func drive(s *site, config driveConfig) *tally {
	l := &load{site: s, config: config, client: &http.Client{
		Timeout:   4 * deadline,
		Transport: &http.Transport{MaxIdleConnsPerHost: config.callers},
	}}
	l.tally.outcomes = make(map[string]int)
	l.keys = make(map[string][]string)
	for i := range config.callers {
		c := &caller{load: l, random: rand.New(rand.NewPCG(s.config.seed, uint64(i)))}
		l.wait.Add(1)
		go c.run()
	}
	l.wait.Wait()
	l.client.CloseIdleConnections()
	time.Sleep(restTime)
	for key, outcomes := range l.keys {
		l.check(key, outcomes)
	}
	return &l.tally
}

// caller sends one request after the other.
type caller struct {
	load   *load
	random *rand.Rand
	// first is when the key at hand was first sent.
	first time.Time
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

// request sends a key until it is answered or given up.
func (c *caller) request(key string) {
	var outcomes []string
	c.first = time.Now()
	if c.random.Float64() < c.load.config.resend {
		outcomes = c.both(key)
	} else {
		outcomes = []string{c.send(key, false)}
	}
	for range c.load.config.again {
		if outcomes[len(outcomes)-1] == "answered" {
			break
		}
		outcomes = append(outcomes, c.send(key, true))
	}
	c.load.keep(key, outcomes)
}

// both sends a key to two entry hosts at once.
func (c *caller) both(key string) []string {
	twin := &twin{caller: &caller{load: c.load, random: rand.New(rand.NewPCG(c.random.Uint64(), 0)), first: c.first}, key: key}
	twin.resend = c.random.IntN(2) == 0
	twin.done.Add(1)
	go twin.run()
	own := c.send(key, !twin.resend)
	twin.done.Wait()
	return []string{twin.outcome, own}
}

// twin is the other of two simultaneous sends.
type twin struct {
	caller  *caller
	key     string
	resend  bool
	outcome string
	done    sync.WaitGroup
}

func (t *twin) run() {
	defer t.done.Done()
	t.outcome = t.caller.send(t.key, t.resend)
}

// send sends a key to a random entry host and returns the outcome: "unsent"
// when no connection was made, "broken" when the connection broke.
func (c *caller) send(key string, resend bool) string {
	entry := c.load.site.entries[c.random.IntN(len(c.load.site.entries))]
	url := fmt.Sprintf("http://%s/v1/%s/%s", entry.callers.address(), customer, service)
	request, err := http.NewRequest(http.MethodPost, url, strings.NewReader(key))
	if err != nil {
		return "unsent"
	}
	request.Header.Set(serve.IDHeader, fmt.Sprintf("%s-%x", key, c.random.Uint64()))
	request.Header.Set(serve.KeyHeader, key)
	if resend {
		request.Header.Set(serve.ResendHeader, "true")
		request.Header.Set(serve.KeyAgeHeader, strconv.FormatInt(time.Since(c.first).Milliseconds()+1, 10))
	}
	client := *c.load.client
	if c.random.Float64() < c.load.config.leave {
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
		c.load.compare(key, string(body))
	}
	if reason := reply.Header.Get(serve.ReasonHeader); reason != "" {
		c.load.count(outcome + "." + reason)
	}
	return outcome
}

func (l *load) count(name string) {
	l.tally.mu.Lock()
	defer l.tally.mu.Unlock()
	l.tally.outcomes[name]++
}

// compare checks that an answer is whole and belongs to its caller.
func (l *load) compare(key, body string) {
	l.tally.mu.Lock()
	defer l.tally.mu.Unlock()
	whole := replyTo(key)
	switch {
	case body == whole:
	case strings.HasPrefix(whole, body):
		l.tally.cut++
	default:
		l.tally.wrong++
	}
}

func (l *load) keep(key string, outcomes []string) {
	l.tally.mu.Lock()
	defer l.tally.mu.Unlock()
	l.keys[key] = outcomes
}

// check compares the outcomes of a key with the ledger, when all runs have
// ended.
func (l *load) check(key string, outcomes []string) {
	runs := l.site.ledger.count(key)
	refused := true
	for _, outcome := range outcomes {
		l.tally.sent++
		l.tally.outcomes[outcome]++
		refused = refused && (outcome == "refused" || outcome == "unsent")
	}
	if refused && runs > 0 {
		l.tally.refusedRan++
	}
	if runs > 1 {
		l.tally.twice++
	}
}
