package load

import (
	"context"
	"net/http"
	"sync"
	"time"

	"indigoglade/config"
)

// client stands in for the platform's load balancer: it checks periodically which entry hosts are
// ready and sends requests only to those.
type client struct {
	http  *http.Client
	probe *http.Client
	all   []config.StatusSpec

	mu    sync.RWMutex
	ready []config.StatusSpec
}

// Interval and timeout of the readiness checks.
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

// run checks the entry hosts periodically until ctx ends.
func (c *client) run(ctx context.Context) {
	for ctx.Err() == nil {
		c.check()
		select {
		case <-ctx.Done():
		case <-time.After(checkPeriod):
		}
	}
}

// check checks every entry host once. If none is ready, it keeps all of them, because a load
// balancer has to choose one.
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

// entries returns the ready entry hosts. Callers must not modify the slice.
func (c *client) entries() []config.StatusSpec {
	c.mu.RLock()
	defer c.mu.RUnlock()
	return c.ready
}
