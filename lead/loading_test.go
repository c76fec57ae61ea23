package lead_test

import (
	"bytes"
	"context"
	"fmt"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	glade "indigoglade"
	"indigoglade/bubble"
	"indigoglade/lead"
	"indigoglade/sched"
)

// slowLink is the link of a host on which all its reads of rows share the bandwidth.
type slowLink struct {
	mu             sync.Mutex
	bytesPerSecond float64
	freeAt         time.Time
	// timeout is how long a read may take, after which its connection breaks; 0 means no limit.
	timeout time.Duration
}

// maxPage is the largest size of a page of the platform, in bytes.
const maxPage = 1 << 20

// cut shortens a page to maxPage.
func cut(page glade.RowPage) glade.RowPage {
	size := 0
	for i, row := range page.Rows {
		if size += len(row.Value); size > maxPage && i > 0 {
			page.Rows, page.Next = page.Rows[:i], row.Key
			break
		}
	}
	return page
}

// transfer waits for the way of some rows over the link, in base64.
func (l *slowLink) transfer(ctx context.Context, rows []glade.PartitionRow) error {
	if l == nil {
		return nil
	}
	const rowOverhead = 100
	size := 0
	for _, row := range rows {
		size += len(row.Value)*4/3 + rowOverhead
	}
	l.mu.Lock()
	now := time.Now()
	if l.freeAt.Before(now) {
		l.freeAt = now
	}
	l.freeAt = l.freeAt.Add(time.Duration(float64(size) / l.bytesPerSecond * float64(time.Second)))
	wait := l.freeAt.Sub(now)
	breaks := l.timeout > 0 && wait > l.timeout
	if breaks {
		l.freeAt = now.Add(l.timeout)
		wait = l.timeout
	}
	l.mu.Unlock()
	bounded, cancel := context.WithTimeout(ctx, wait)
	defer cancel()
	<-bounded.Done()
	if breaks || ctx.Err() != nil {
		return errNoAnswer
	}
	return nil
}

// slowServices are those that a host with a slow link takes over at once.
var slowServices = []glade.Service{"s0", "s1", "s2", "s3", "s4"}

// newSlowCluster returns a cluster without hosts whose store has rows of accepted batches that
// wait for their time.
func newSlowCluster(c *qt.C, rows, specBytes int) *cluster {
	s := newCluster(c)
	s.rules = glade.Rules{Version: 1}
	spec := string(bytes.Repeat([]byte("x"), specBytes))
	for i, service := range slowServices {
		queue := glade.Queue(fmt.Sprintf("q%d", i))
		s.rules.Services = append(s.rules.Services, glade.ServiceRule{Service: service})
		s.rules.Queues = append(s.rules.Queues, glade.QueueRule{Queue: queue, Service: service, MaxFailures: 3, Stretch: 2, Slack: time.Second})
		for k := range rows {
			work := sched.WorkRow{Queue: queue, SubmittedAt: time.Now().UnixMilli(), Work: glade.Batch{
				Spec: spec, Steps: []glade.Step{{Count: 1, Need: glade.Need{CPU: 1000}, Estimate: 500}},
				Times: 1, FirstDue: time.Now().Add(time.Hour).UnixMilli(),
			}}
			s.table.Put(glade.PartitionRow{Table: "work", Part: string(service), Key: fmt.Sprintf("%016x", k), Value: sched.Encode(work)})
		}
	}
	return s
}

// ledBy returns the number of services of whose batches a host knows the state.
func (s *cluster) ledBy(node glade.Node) (n int) {
	for _, service := range slowServices {
		reply, err := s.managers[node].Router().State(context.Background(), lead.BatchArgs{Service: service, ID: "0000000000000000"}, time.Millisecond)
		if err == nil && reply.Known {
			n++
		}
	}
	return n
}

// TestSlowLink guards against services that nobody leads again: the only hosts that are left
// have slow links, each takes over several services at once, and their reads never end in time
// or start from the first page again and again.
func TestSlowLink(t *testing.T) {
	const link = 10e6 / 8 // bytes per second
	// expectLed checks that a host leads all services within a time after it has claimed them.
	expectLed := func(name string, rows, specBytes int, slow func() *slowLink, within func(stats lead.TakeoverStats) time.Duration) {
		t.Run(name, func(t *testing.T) {
			bubble.Test(t, func(t *testing.T) {
				c := qt.New(t)
				s := newSlowCluster(c, rows, specBytes)
				defer s.shutdown()
				s.prepare = func(l *tableLink) { l.slow = slow() }
				s.start("h1")
				for _, service := range slowServices { // it claims them
					for range 100 {
						if s.termOf(service).Node != "" {
							break
						}
						s.sleep(50 * time.Millisecond)
					}
				}
				limit := within(s.stored(slowServices[0]))
				began := time.Now()
				for ; s.ledBy("h1") < len(slowServices); s.sleep(50 * time.Millisecond) {
					c.Assert(time.Since(began) <= limit, qt.IsTrue, qt.Commentf("%d of %d services are led after %s", s.ledBy("h1"), len(slowServices), limit))
				}
				c.Logf("%d services of %d rows are led after %s, limit %s", len(slowServices), rows, time.Since(began), limit)
				for _, service := range slowServices {
					c.Assert(s.termOf(service).Epoch, qt.Equals, int64(1), qt.Commentf("service %s", service))
				}
			})
		})
	}
	expectBound := func(name string, rows, specBytes int, bytesPerSecond float64) {
		slow := func() *slowLink { return &slowLink{bytesPerSecond: bytesPerSecond} }
		expectLed(name, rows, specBytes, slow, func(stats lead.TakeoverStats) time.Duration { return stats.Bound(bytesPerSecond, len(slowServices)) })
	}
	for _, times := range []int{1, 2, 5, 10} {
		expectBound(fmt.Sprintf("%d times the usual rows", times), times*660, 2000, link)
	}
	expectBound("the largest rows", 100, 60000, link)
	expectBound("a link that is squeezed to a tenth", 200, 2000, link/10)
	breaking := func() *slowLink { return &slowLink{bytesPerSecond: link, timeout: 1500 * time.Millisecond} }
	expectLed("connections that break", 660, 2000, breaking, func(lead.TakeoverStats) time.Duration { return 30 * time.Second })
}

// stored returns the size of the rows that the next leader of a service reads.
func (s *cluster) stored(service glade.Service) lead.TakeoverStats {
	s.c.Helper()
	rows, _, err := s.table.List(context.Background(), "work", string(service))
	s.c.Assert(err, qt.IsNil)
	stats := lead.TakeoverStats{Rows: len(rows)}
	for _, row := range rows {
		stats.Bytes += int64(len(row.Value))
	}
	return stats
}

// TestStalledTakeover guards against a host that renews its term for ever although it can't read
// the rows: no other host, not even one that could, takes the service over.
func TestStalledTakeover(t *testing.T) {
	t.Run("another host leads", func(t *testing.T) {
		bubble.Test(t, func(t *testing.T) {
			c := qt.New(t)
			s := newCluster(c)
			defer s.shutdown()
			s.prepare = func(l *tableLink) { l.failLists.Store(true) }
			s.start("h1")
			for range 100 {
				if s.term().Node == "h1" {
					break
				}
				s.sleep(50 * time.Millisecond)
			}
			c.Assert(s.term().Node, qt.Equals, glade.Node("h1"))
			s.prepare = nil
			s.start("h2")
			s.sleep(12 * time.Second)
			c.Assert(s.term().Node, qt.Equals, glade.Node("h2"))
			c.Assert(s.submit("h2", "a", 1).Code, qt.Equals, lead.SubmitAccepted)
		})
	})
	t.Run("an outage of the store is no reason to release the term", func(t *testing.T) {
		bubble.Test(t, func(t *testing.T) {
			c := qt.New(t)
			s := newCluster(c)
			defer s.shutdown()
			s.prepare = func(l *tableLink) { l.failLists.Store(true) }
			s.start("h1")
			s.sleep(2 * time.Second)
			c.Assert(s.term().Node, qt.Equals, glade.Node("h1"))
			s.links["h1"].refusal.set(refuseAll)
			s.sleep(20 * time.Second)
			s.links["h1"].failLists.Store(false)
			s.links["h1"].refusal.set(refuseNothing)
			s.sleep(2 * time.Second)
			c.Assert(s.term().Epoch, qt.Equals, int64(1))
			c.Assert(s.submit("h1", "a", 1).Code, qt.Equals, lead.SubmitAccepted)
		})
	})
}
