package fleet

import (
	"context"
	"time"

	"github.com/pkg/errors"

	glade "indigoglade"
	"indigoglade/send"
)

// probeTimeout bounds one request to an endpoint that is being verified.
const probeTimeout = 2 * time.Second

// Prober sends verification requests to endpoints.
type Prober struct {
	sender *send.Sender
	clock  glade.Clock
}

// NewProber returns a prober that sends requests through sender.
func NewProber(sender *send.Sender, clock glade.Clock) *Prober {
	return &Prober{sender: sender, clock: clock}
}

// Probe sends one request to an endpoint. It returns nil if the endpoint gave a
// complete answer.
func (p *Prober) Probe(ctx context.Context, address string, service glade.Service, id string) error {
	deadline := p.clock.Now().Add(probeTimeout)
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	result := p.sender.Do(ctx, send.Call{ID: id, Service: service, Address: address, Body: []byte("verify"), Deadline: deadline})
	if result.Outcome() != glade.Answered {
		return errors.Errorf("probe of endpoint %s: outcome %s, reason %s", address, result.Outcome(), result.Reason())
	}
	return nil
}
