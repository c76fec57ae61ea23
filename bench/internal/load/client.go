package load

import (
	"context"
	"net/http"
	"sync"
	"time"

	"indigoglade/config"
)

// client reaches the entry hosts in place of the platform's balancer: it asks
// each of them every so often whether it is ready, and sends nothing to those
// that are not.
type client struct {
	http  *http.Client
	probe *http.Client
	all   []config.StatusSpec

	mu    sync.RWMutex
	ready []config.StatusSpec
}

// Times of the balancer's checks.
const (
	checkPeriod  = 100 * time.Millisecond
	checkTimeout = 250 * time.Millisecond
)

func newClient(site config.SiteSpec) *client {
	transport := &http.Transport{MaxIdleConnsPerHost: idlePerEntry, MaxIdleConns: 0}
	return &client{
		http:  &http.Client{Timeout: callTimeout, Transport: transport},
		probe: &http.Client{Timeout: checkTimeout},
		all:   site.Entries,
		ready: site.Entries,
	}
}

// run checks the entry hosts until ctx ends.
func (c *client) run(ctx context.Context) {
	for ctx.Err() == nil {
		c.check()
		select {
		case <-ctx.Done():
		case <-time.After(checkPeriod):
		}
	}
}

// check asks every entry host once. With none ready, all are kept: the balancer
// has to send somewhere.
func (c *client) check() {
	var ready []config.StatusSpec
	for _, entry := range c.all {
		if c.isReady(entry) {
			ready = append(ready, entry)
		}
	}
	if len(ready) == 0 {
		ready = c.all
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.ready = ready
}

func (c *client) isReady(entry config.StatusSpec) bool {
	reply, err := c.probe.Get("http://" + entry.Listen + "/ready")
	if err != nil {
		return false
	}
	defer reply.Body.Close()
	return reply.StatusCode == http.StatusOK
}

// entries returns the entry hosts that take requests. It must not be changed.
func (c *client) entries() []config.StatusSpec {
	c.mu.RLock()
	defer c.mu.RUnlock()
	return c.ready
}
