package claim

import (
	"context"
	"time"

	glade "indigoglade"
	"indigoglade/link"
	"indigoglade/once"
)

// copyPeriod is the time between tries to copy from entry hosts that did not
// answer.
const copyPeriod = time.Second

// Run copies the records of all other entry hosts, so that the history becomes
// whole, then waits until ctx ends.
func (c *Claimer) Run(ctx context.Context) error {
	left := c.others()
	for len(left) > 0 {
		left = c.copyAll(ctx, left)
		if c.config.Clock.Sleep(ctx, copyPeriod) != nil {
			return nil
		}
	}
	<-ctx.Done()
	return nil
}

func (c *Claimer) others() []glade.Node {
	var nodes []glade.Node
	for _, node := range c.ring.Nodes() {
		if node != c.config.Self {
			nodes = append(nodes, node)
		}
	}
	return nodes
}

// copyAll copies from each node and returns those still to copy from.
func (c *Claimer) copyAll(ctx context.Context, nodes []glade.Node) []glade.Node {
	var left []glade.Node
	for _, node := range nodes {
		done, higher := c.copyFrom(ctx, node)
		if higher {
			return c.others()
		}
		if !done {
			left = append(left, node)
		}
	}
	return left
}

// copyFrom copies every page of a node. The second result tells that the own
// incarnation had to rise, after which all copies start again.
func (c *Claimer) copyFrom(ctx context.Context, node glade.Node) (done, higher bool) {
	inc := c.inc()
	var since time.Time
	for page := range once.CopyPages {
		ask := once.CopyAsk{Node: c.config.Self, Inc: inc, Page: page}
		in, err := link.Call[once.CopyAsk, once.CopyPage](ctx, c.config.Peers[node], "copy", ask)
		if err != nil {
			return false, false
		}
		if in.Known > inc {
			c.rise(in.Known)
			return false, true
		}
		c.merge(in)
		if begin := in.Since(c.config.Clock.Now()); begin.After(since) {
			since = begin
		}
	}
	c.copied(node, since)
	return true, false
}

func (c *Claimer) inc() uint64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.store.Inc()
}

func (c *Claimer) rise(known uint64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.store.Rise(known)
}

func (c *Claimer) merge(page once.CopyPage) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.store.Merge(c.config.Clock.Now(), page)
}

func (c *Claimer) copied(node glade.Node, since time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.store.Copied(node, since)
	c.counters.Add("copied", 1)
}

func (c *Claimer) page(in once.CopyAsk) once.CopyPage {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.store.Copy(c.config.Clock.Now(), in)
}
