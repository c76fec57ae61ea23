package claim

import (
	"context"
	"time"

	glade "indigoglade"
	"indigoglade/jrpc"
	"indigoglade/quorum"
)

// copyRetryDelay is the delay between attempts to copy from entry hosts that did not
// answer.
const copyRetryDelay = time.Second

// Run copies the records of all other entry hosts, so that the history becomes
// complete, and then waits until ctx ends. It retries those that do not answer.
func (c *Claimer) Run(ctx context.Context) error {
	remaining := c.otherNodes()
	for len(remaining) > 0 {
		remaining = c.copyAll(ctx, remaining)
		if c.config.Clock.Sleep(ctx, copyRetryDelay) != nil {
			return nil
		}
	}
	<-ctx.Done()
	return nil
}

func (c *Claimer) otherNodes() []glade.Node {
	var nodes []glade.Node
	for _, node := range c.rendezvous.Nodes() {
		if node != c.config.Self {
			nodes = append(nodes, node)
		}
	}
	return nodes
}

// copyAll tries to copy from each node and returns those still to copy from: the
// ones that failed, or all others when the own incarnation had to be raised.
func (c *Claimer) copyAll(ctx context.Context, nodes []glade.Node) []glade.Node {
	var remaining []glade.Node
	for _, node := range nodes {
		done, raised := c.copyFrom(ctx, node)
		if raised {
			return c.otherNodes()
		}
		if !done {
			remaining = append(remaining, node)
		}
	}
	return remaining
}

// copyFrom copies every page of a node's records. raised tells that the node
// knew a higher incarnation of this entry host, so that the own one was raised
// and copying has to start over from every node.
func (c *Claimer) copyFrom(ctx context.Context, node glade.Node) (done, raised bool) {
	incarnation := c.incarnation()
	var since time.Time
	for page := range quorum.CopyPages {
		request := quorum.CopyRequest{Node: c.config.Self, Incarnation: incarnation, Page: page}
		reply, err := jrpc.Call[quorum.CopyRequest, quorum.CopyPage](ctx, c.config.Peers[node], "copy", request)
		if err != nil {
			return false, false
		}
		if reply.KnownIncarnation > incarnation {
			c.raiseIncarnation(reply.KnownIncarnation)
			return false, true
		}
		c.merge(reply)
		if pageSince := reply.CompleteSince(c.config.Clock.Now()); pageSince.After(since) {
			since = pageSince
		}
	}
	c.markCopied(node, since)
	return true, false
}

func (c *Claimer) incarnation() uint64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.store.Incarnation()
}

func (c *Claimer) raiseIncarnation(known uint64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.store.RaiseIncarnation(known)
}

func (c *Claimer) merge(page quorum.CopyPage) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.store.Merge(c.config.Clock.Now(), page)
}

func (c *Claimer) markCopied(node glade.Node, since time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.store.MarkCopied(node, since)
	c.counters.Add("copied", 1)
}

func (c *Claimer) copyPage(in quorum.CopyRequest) quorum.CopyPage {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.store.ReadPage(c.config.Clock.Now(), in)
}
