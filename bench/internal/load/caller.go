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

// Headers of the callers' HTTP interface.
const (
	idHeader      = "Request-Id"
	keyHeader     = "Request-Key"
	resendHeader  = "Request-Resend"
	ageHeader     = "Request-Age"
	outcomeHeader = "Outcome"
	reasonHeader  = "Reason"
)

// manner is how a caller behaves.
type manner string

const (
	// plain sends, and sends again to another entry host when that is right.
	plain manner = "plain"
	// twin sends to two entry hosts at once.
	twin manner = "twin"
	// slow takes its time to send the body.
	slow manner = "slow"
	// leaver hangs up before most answers come.
	leaver manner = "leaver"
)

// Shares of the manners, in percent; the rest are plain.
const (
	twinShare   = 4
	slowShare   = 4
	leaverShare = 4
	// strayShare of the resends go to an entry host of another zone.
	strayShare = 25
)

// Times of the callers.
const (
	callTimeout  = 10 * time.Second
	resendPause  = 200 * time.Millisecond
	slowPause    = 100 * time.Millisecond
	leaverPause  = 150 * time.Millisecond
	maxTries     = 3
	idlePerEntry = 64
)

// try is what a caller saw of one send.
type try struct {
	outcome glade.Outcome
	reason  glade.Reason
	whole   bool
}

// caller makes one request.
type caller struct {
	client   *client
	target   target
	due      time.Time
	manner   manner
	id       string
	first    config.StatusSpec
	random   *rand.Rand
	saw      *recorder
	finished chan struct{}
}

func newCaller(c *client, t target, due time.Time, random *rand.Rand) *caller {
	entries := c.entries()
	return &caller{
		client: c,
		target: t,
		due:    due,
		manner: drawManner(random.IntN(100)),
		id:     uuid.NewString(),
		first:  entries[random.IntN(len(entries))],
		random: newRandom(random.Uint64(), 0),
	}
}

func drawManner(n int) manner {
	switch {
	case n < twinShare:
		return twin
	case n < twinShare+slowShare:
		return slow
	case n < twinShare+slowShare+leaverShare:
		return leaver
	}
	return plain
}

func (c *caller) run() {
	defer func() { <-c.finished }()
	tries := c.send()
	c.saw.add(record{
		id:      c.id,
		target:  c.target,
		zone:    c.first.Zone,
		manner:  c.manner,
		tries:   tries,
		latency: time.Since(c.due),
	})
}

func (c *caller) send() []try {
	if c.manner == twin {
		return c.sendTwins()
	}
	tries := []try{c.call(c.first, 0)}
	for len(tries) < maxTries && c.isWorthResend(tries[len(tries)-1]) {
		time.Sleep(resendPause)
		tries = append(tries, c.call(c.another(), len(tries)))
	}
	return tries
}

// isWorthResend tells whether a caller would send again: the request did not
// run for a reason that may pass, or nothing is known of it.
func (c *caller) isWorthResend(t try) bool {
	if c.manner == leaver {
		return false
	}
	switch t.outcome {
	case glade.Unknown:
		return true
	case glade.Refused:
		return t.reason != glade.ReasonCustomer && t.reason != glade.ReasonService && t.reason != glade.ReasonMalformed
	}
	return false
}

// twinCall is one of two sends at the same time.
type twinCall struct {
	caller *caller
	entry  config.StatusSpec
	resend int
	result chan try
}

func (t twinCall) run() { t.result <- t.caller.call(t.entry, t.resend) }

func (c *caller) sendTwins() []try {
	result := make(chan try, 2)
	go twinCall{caller: c, entry: c.first, resend: 0, result: result}.run()
	go twinCall{caller: c, entry: c.another(), resend: 1, result: result}.run()
	return []try{<-result, <-result}
}

// another returns a different entry host, mostly of the same zone.
func (c *caller) another() config.StatusSpec {
	stray := c.random.IntN(100) < strayShare
	var choice []config.StatusSpec
	for _, e := range c.client.entries() {
		if e.Node != c.first.Node && (e.Zone == c.first.Zone) != stray {
			choice = append(choice, e)
		}
	}
	if len(choice) == 0 {
		return c.first
	}
	return choice[c.random.IntN(len(choice))]
}

// call makes one send to one entry host.
func (c *caller) call(entry config.StatusSpec, resend int) try {
	ctx, cancel := context.WithTimeout(context.Background(), c.patience())
	defer cancel()
	url := "http://" + entry.Listen + "/v1/" + string(c.target.customer) + "/" + string(c.target.service)
	text := "roof " + c.id
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, url, c.body(text))
	if err != nil {
		return try{outcome: glade.Refused}
	}
	request.ContentLength = int64(len(text))
	request.Header.Set(idHeader, c.id)
	// The key names its home zone, whose entry hosts decide on it: a zone that
	// is cut off goes on serving the callers that live there.
	request.Header.Set(keyHeader, string(c.first.Zone)+"."+c.id)
	if resend > 0 {
		request.Header.Set(resendHeader, strconv.Itoa(resend))
		request.Header.Set(ageHeader, strconv.FormatInt(time.Since(c.due).Milliseconds()+1, 10))
	}
	reply, err := c.client.http.Do(request)
	if err != nil {
		return unsent(err)
	}
	defer reply.Body.Close()
	return c.read(reply, c.id+" "+text)
}

// unsent judges a call without an answer: it did not run only if there was no
// connection to send it on.
func unsent(err error) try {
	var op *net.OpError
	if errors.As(err, &op) && op.Op == "dial" {
		return try{outcome: glade.Refused, reason: glade.ReasonConnect}
	}
	return try{outcome: glade.Unknown}
}

func (c *caller) read(reply *http.Response, want string) try {
	body, err := io.ReadAll(reply.Body)
	t := try{outcome: parseOutcome(reply.Header.Get(outcomeHeader)), reason: glade.Reason(reply.Header.Get(reasonHeader))}
	t.whole = err == nil && string(body) == want
	if err != nil {
		// A transfer that broke off is no answer, and the caller can see it.
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

// patience is how long the caller waits for one send.
func (c *caller) patience() time.Duration {
	if c.manner == leaver {
		return leaverPause
	}
	return callTimeout
}

func (c *caller) body(text string) io.Reader {
	if c.manner == slow {
		return &slowBody{rest: []byte(text)}
	}
	return bytes.NewReader([]byte(text))
}

// slowBody gives its bytes in two parts with a pause between them.
type slowBody struct {
	rest    []byte
	started bool
}

// Read returns the first half, then the rest after a pause.
func (s *slowBody) Read(p []byte) (int, error) {
	if len(s.rest) == 0 {
		return 0, io.EOF
	}
	n := len(s.rest)
	if s.started {
		time.Sleep(slowPause)
	} else {
		n = (n + 1) / 2
	}
	s.started = true
	n = copy(p, s.rest[:n])
	s.rest = s.rest[n:]
	return n, nil
}
