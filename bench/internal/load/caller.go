package load

import (
	"bytes"
	"context"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"time"

	"github.com/google/uuid"
	"github.com/pkg/errors"

	glade "indigoglade"
	"indigoglade/config"
)

// HTTP headers of the callers' interface.
const (
	idHeader      = "Request-Id"
	keyHeader     = "Request-Key"
	resendHeader  = "Request-Resend"
	ageHeader     = "Request-Age"
	outcomeHeader = "Outcome"
	reasonHeader  = "Reason"
)

// behavior is how a caller sends its request.
type behavior string

const (
	// plain sends the request, and resends it to another entry host if shouldResend.
	plain behavior = "plain"
	// duplicating sends the request to two entry hosts at the same time.
	duplicating behavior = "twin"
	// slow sends the body in two parts with a pause in between.
	slow behavior = "slow"
	// impatient disconnects before most answers arrive.
	impatient behavior = "leaver"
)

// Shares of the behaviors in percent; the remaining callers are plain.
const (
	duplicatingShare = 4
	slowShare        = 4
	impatientShare   = 4
	// otherZoneShare is the percentage of resends that go to an entry host of another zone.
	otherZoneShare = 25
)

// Timeouts, delays and limits of the callers.
const (
	callTimeout      = 10 * time.Second
	resendDelay      = 200 * time.Millisecond
	slowBodyDelay    = 100 * time.Millisecond
	impatientTimeout = 150 * time.Millisecond
	maxAttempts      = 3
	idlePerEntry     = 64
)

// attempt is the outcome of one send as the caller saw it.
type attempt struct {
	outcome glade.Outcome
	reason  glade.Reason
	intact  bool
}

// caller makes one request, sending it one or more times. It holds one place in semaphore, which
// bounds the requests in flight, until it has finished.
type caller struct {
	client     *client
	target     target
	dueAt      time.Time
	behavior   behavior
	id         string
	firstEntry config.StatusSpec
	random     *rand.Rand
	recorder   *recorder
	semaphore  chan struct{}
}

func newCaller(c *client, t target, dueAt time.Time, random *rand.Rand) *caller {
	entries := c.entries()
	return &caller{
		client:     c,
		target:     t,
		dueAt:      dueAt,
		behavior:   pickBehavior(random.IntN(100)),
		id:         uuid.NewString(),
		firstEntry: entries[random.IntN(len(entries))],
		random:     newRandom(random.Uint64(), 0),
	}
}

func pickBehavior(n int) behavior {
	switch {
	case n < duplicatingShare:
		return duplicating
	case n < duplicatingShare+slowShare:
		return slow
	case n < duplicatingShare+slowShare+impatientShare:
		return impatient
	}
	return plain
}

func (c *caller) run() {
	defer func() { <-c.semaphore }()
	attempts := c.send()
	c.recorder.add(record{
		id:       c.id,
		target:   c.target,
		zone:     c.firstEntry.Zone,
		behavior: c.behavior,
		attempts: attempts,
		latency:  time.Since(c.dueAt),
	})
}

func (c *caller) send() []attempt {
	if c.behavior == duplicating {
		return c.sendConcurrently()
	}
	attempts := []attempt{c.call(c.firstEntry, 0)}
	for len(attempts) < maxAttempts && c.shouldResend(attempts[len(attempts)-1]) {
		time.Sleep(resendDelay)
		attempts = append(attempts, c.call(c.otherEntry(), len(attempts)))
	}
	return attempts
}

// shouldResend reports whether a caller sends its request again: it was refused for a reason that
// may pass, or its outcome is unknown.
func (c *caller) shouldResend(t attempt) bool {
	if c.behavior == impatient {
		return false
	}
	switch t.outcome {
	case glade.Unknown:
		return true
	case glade.Refused:
		return t.reason != glade.ReasonUnknownCustomer && t.reason != glade.ReasonUnknownService && t.reason != glade.ReasonMalformed
	}
	return false
}

// concurrentCall is one of two concurrent sends of a request.
type concurrentCall struct {
	caller *caller
	entry  config.StatusSpec
	resend int
	result chan attempt
}

func (t concurrentCall) run() { t.result <- t.caller.call(t.entry, t.resend) }

func (c *caller) sendConcurrently() []attempt {
	result := make(chan attempt, 2)
	go concurrentCall{caller: c, entry: c.firstEntry, resend: 0, result: result}.run()
	go concurrentCall{caller: c, entry: c.otherEntry(), resend: 1, result: result}.run()
	return []attempt{<-result, <-result}
}

// otherEntry returns an entry host other than the first one, mostly of the same zone. If there is
// none, it returns the first one.
func (c *caller) otherEntry() config.StatusSpec {
	otherZone := c.random.IntN(100) < otherZoneShare
	var candidates []config.StatusSpec
	for _, e := range c.client.entries() {
		if e.Node != c.firstEntry.Node && (e.Zone == c.firstEntry.Zone) != otherZone {
			candidates = append(candidates, e)
		}
	}
	if len(candidates) == 0 {
		return c.firstEntry
	}
	return candidates[c.random.IntN(len(candidates))]
}

// call sends the request once to one entry host.
func (c *caller) call(entry config.StatusSpec, resend int) attempt {
	ctx, cancel := context.WithTimeout(context.Background(), c.timeout())
	defer cancel()
	url := "http://" + entry.Listen + "/v1/" + string(c.target.customer) + "/" + string(c.target.service)
	text := "roof " + c.id
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, url, c.body(text))
	if err != nil {
		return attempt{outcome: glade.Refused}
	}
	request.ContentLength = int64(len(text))
	request.Header.Set(idHeader, c.id)
	// The key names its home zone, whose entry hosts decide on it. A zone that is cut off can
	// therefore still serve the callers that live there.
	request.Header.Set(keyHeader, string(c.firstEntry.Zone)+"."+c.id)
	if resend > 0 {
		request.Header.Set(resendHeader, strconv.Itoa(resend))
		request.Header.Set(ageHeader, strconv.FormatInt(time.Since(c.dueAt).Milliseconds()+1, 10))
	}
	reply, err := c.client.http.Do(request)
	if err != nil {
		return classifyError(err)
	}
	defer reply.Body.Close()
	return c.read(reply, c.id+" "+text)
}

// classifyError returns the attempt for a failed send. The request certainly did not run only if no
// connection could be made.
func classifyError(err error) attempt {
	var op *net.OpError
	if errors.As(err, &op) && op.Op == "dial" {
		return attempt{outcome: glade.Refused, reason: glade.ReasonConnect}
	}
	return attempt{outcome: glade.Unknown}
}

func (c *caller) read(reply *http.Response, want string) attempt {
	body, err := io.ReadAll(reply.Body)
	t := attempt{outcome: parseOutcome(reply.Header.Get(outcomeHeader)), reason: glade.Reason(reply.Header.Get(reasonHeader))}
	t.intact = err == nil && string(body) == want
	if err != nil {
		// The caller can detect an incomplete transfer, so it does not count as an answer.
		t.outcome = glade.Unknown
	}
	return t
}

func parseOutcome(text string) glade.Outcome {
	for _, o := range []glade.Outcome{glade.Refused, glade.Answered, glade.Failed} {
		if o.String() == text {
			return o
		}
	}
	return glade.Unknown
}

// timeout returns how long the caller waits for one send.
func (c *caller) timeout() time.Duration {
	if c.behavior == impatient {
		return impatientTimeout
	}
	return callTimeout
}

func (c *caller) body(text string) io.Reader {
	if c.behavior == slow {
		return &slowBody{rest: []byte(text)}
	}
	return bytes.NewReader([]byte(text))
}

// slowBody is a reader that returns its bytes in two parts with a pause in between.
type slowBody struct {
	rest    []byte
	started bool
}

// Read returns the first half at once and the rest after slowBodyDelay.
func (s *slowBody) Read(p []byte) (int, error) {
	if len(s.rest) == 0 {
		return 0, io.EOF
	}
	n := len(s.rest)
	if s.started {
		time.Sleep(slowBodyDelay)
	} else {
		n = (n + 1) / 2
	}
	s.started = true
	n = copy(p, s.rest[:n])
	s.rest = s.rest[n:]
	return n, nil
}
