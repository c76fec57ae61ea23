package calls

import (
	"fmt"
	"io"
	"net/http"
	"slices"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/pkg/errors"

	"indigoglade/send"
	"indigoglade/serve"
)

// cost holds the latencies and the CPU time of a number of requests.
type cost struct {
	times []time.Duration
	cpu   time.Duration
}

func (c cost) quantile(q float64) float64 {
	slices.Sort(c.times)
	return float64(c.times[int(q*float64(len(c.times)-1))]) / float64(time.Microsecond)
}

func cpuTime(b *testing.B) time.Duration {
	var usage syscall.Rusage
	qt.Assert(b, syscall.Getrusage(syscall.RUSAGE_SELF, &usage), qt.IsNil)
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}

// prober sends n requests one after the other.
type prober struct {
	client *http.Client
	url    string
	header string
	n      int
	times  []time.Duration
	err    error
	done   *sync.WaitGroup
}

func (p *prober) run() {
	defer p.done.Done()
	for i := 0; i < p.n && p.err == nil; i++ {
		start := time.Now()
		p.err = p.send(fmt.Sprintf("%p-%d-%d", p, start.UnixNano(), i))
		p.times = append(p.times, time.Since(start))
	}
}

func (p *prober) send(id string) error {
	request, err := http.NewRequest(http.MethodPost, p.url, strings.NewReader("roof"))
	if err != nil {
		return err
	}
	request.Header.Set(p.header, id)
	reply, err := p.client.Do(request)
	if err != nil {
		return err
	}
	defer reply.Body.Close()
	if reply.StatusCode != http.StatusOK {
		return errors.Errorf("status %d", reply.StatusCode)
	}
	_, err = io.Copy(io.Discard, reply.Body)
	return err
}

// measure sends n requests in all from concurrent callers.
func measure(b *testing.B, callers, n int, client *http.Client, url, header string) cost {
	c := cost{cpu: -cpuTime(b)}
	var done sync.WaitGroup
	probers := make([]*prober, callers)
	for i := range probers {
		probers[i] = &prober{client: client, url: url, header: header, n: n / callers, done: &done}
		done.Add(1)
		go probers[i].run()
	}
	done.Wait()
	for _, p := range probers {
		qt.Assert(b, p.err, qt.IsNil)
		c.times = append(c.times, p.times...)
	}
	c.cpu += cpuTime(b)
	return c
}

// reportOverhead compares requests through an entry host with requests sent directly to an
// endpoint. The two alternate within one run.
func reportOverhead(b *testing.B, repeatable bool, callers int) {
	s, err := newSite(siteConfig{
		entries: 7, endpoints: 12, repeatable: repeatable, seed: 1, faultRate: func(int) float64 { return 0 },
	})
	qt.Assert(b, err, qt.IsNil)
	defer s.close()
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: callers}}
	directURL := fmt.Sprintf("http://%s/run/%s", s.listed[0].Address, service)
	routedURL := fmt.Sprintf("http://%s/v1/%s/%s", s.entries[0].callerListener.address(), customer, service)
	var direct, routed cost
	const requestsPerTurn = 480
	for range max(b.N/requestsPerTurn, 1) {
		d := measure(b, callers, requestsPerTurn, client, directURL, send.RequestHeader)
		r := measure(b, callers, requestsPerTurn, client, routedURL, serve.IDHeader)
		direct = cost{append(direct.times, d.times...), direct.cpu + d.cpu}
		routed = cost{append(routed.times, r.times...), routed.cpu + r.cpu}
	}
	b.ReportMetric(float64(direct.cpu)/float64(routed.cpu), "per-core-ratio")
	b.ReportMetric(routed.quantile(0.5)-direct.quantile(0.5), "added-p50-µs")
	b.ReportMetric(routed.quantile(0.99)-direct.quantile(0.99), "added-p99-µs")
	b.ReportMetric(float64(routed.cpu-direct.cpu)/float64(time.Microsecond)/float64(len(routed.times)), "added-cpu-µs")
}

func BenchmarkOverhead(b *testing.B) {
	for _, callers := range []int{1, 16} {
		b.Run(fmt.Sprint("repeatable/callers=", callers), func(b *testing.B) { reportOverhead(b, true, callers) })
		b.Run(fmt.Sprint("claimed/callers=", callers), func(b *testing.B) { reportOverhead(b, false, callers) })
	}
}
