package fleet

import (
	"context"
	"time"

	"github.com/pkg/errors"

	glade "indigoglade"
	"indigoglade/send"
)

// probeTime bounds one request to an endpoint that is being verified.
const probeTime = 2 * time.Second

// Prober runs requests on endpoints.
type Prober struct {
	sender *send.Sender
	clock  glade.Clock
}

// NewProber returns a prober that sends through sender.
func NewProber(sender *send.Sender, clock glade.Clock) *Prober {
	return &Prober{sender: sender, clock: clock}
}

// Probe returns nil when the endpoint gave a whole answer to the request.
func (p *Prober) Probe(ctx context.Context, address string, service glade.Service, id string) error {
	deadline := p.clock.Now().Add(probeTime)
	ctx, cancel := context.WithTimeout(ctx, probeTime)
	defer cancel()
	result := p.sender.Do(ctx, send.Call{ID: id, Service: service, Address: address, Body: []byte("verify"), Deadline: deadline})
	if result.Outcome() != glade.Answered {
		return errors.Errorf("endpoint %s: %s %s", address, result.Outcome(), result.Reason())
	}
	return nil
}
