package bodies_test

import (
	"bytes"
	"fmt"
	"io"
	"strings"
	"testing"
	"testing/iotest"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/pkg/errors"

	"indigoglade/bodies"
	"indigoglade/bubble"
	"indigoglade/clock"
)

const kb = 1 << 10

// uptime is a clock that works in a bubble.
type uptime struct {
	clock.System
	start time.Time
}

func (u uptime) Uptime() time.Duration { return time.Since(u.start) }

func newBudget(bytes, reserve int64) *bodies.Budget {
	return bodies.New(bodies.Config{Bytes: bytes, Reserve: reserve, SmallBody: 8 * kb, MinTime: 200 * time.Millisecond, Clock: uptime{start: time.Now()}})
}

func Example() {
	budget := bodies.New(bodies.Config{Bytes: 1 << 20, Clock: clock.System{}})
	body, err := budget.Read(bodies.Source{Reader: strings.NewReader("{}"), Length: 2, Limit: 100})
	fmt.Println(string(body.Data()), err, budget.Stats().Held)
	body.Release()
	fmt.Println(budget.Stats().Held)
	// Output:
	// {} <nil> 2
	// 0
}

// stalled is a body that brings some bytes and then nothing until it is stopped.
type stalled struct {
	start   io.Reader
	stopped chan struct{}
	done    chan error
}

func (s *stalled) Read(data []byte) (int, error) {
	if n, err := s.start.Read(data); err == nil {
		return n, nil
	}
	<-s.stopped
	return 0, errors.New("stopped")
}

func (s *stalled) run(b *bodies.Budget, length int64) {
	_, err := b.Read(bodies.Source{Reader: s, Length: length, Limit: 1 << 20, Stop: func() { close(s.stopped) }})
	s.done <- err
}

// stall begins a body of an announced length that stops after some bytes.
func stall(b *bodies.Budget, length int64, after int) *stalled {
	s := &stalled{start: bytes.NewReader(make([]byte, after)), stopped: make(chan struct{}), done: make(chan error, 1)}
	go s.run(b, length)
	return s
}

func read(b *bodies.Budget, length, announced int64) (*bodies.Body, error) {
	return b.Read(bodies.Source{Reader: iotest.HalfReader(bytes.NewReader(make([]byte, length))), Length: announced, Limit: 256 * kb, Stop: func() {}})
}

// TestRead guards against bodies that are read beyond their limit, or cut.
func TestRead(t *testing.T) {
	expect := func(name string, length, announced int64, want error) {
		t.Run(name, func(t *testing.T) {
			b := newBudget(0, 0)
			body, err := read(b, length, announced)
			qt.Assert(t, errors.Is(err, want), qt.IsTrue, qt.Commentf("%v", err))
			if want == nil {
				qt.Assert(t, int64(len(body.Data())), qt.Equals, length)
				qt.Assert(t, b.Stats().Held >= length, qt.IsTrue)
				body.Release()
			}
			qt.Assert(t, b.Stats().Held, qt.Equals, int64(0))
			qt.Assert(t, b.Stats().Arriving, qt.Equals, 0)
		})
	}
	expect("empty", 0, 0, nil)
	expect("empty, not announced", 0, -1, nil)
	expect("small", 1200, 1200, nil)
	expect("several steps", 100*kb, 100*kb, nil)
	expect("several steps, not announced", 100*kb, -1, nil)
	expect("at its limit", 256*kb, 256*kb, nil)
	expect("at its limit, not announced", 256*kb, -1, nil)
	expect("announced beyond its limit", 1<<20, 1<<20, bodies.ErrTooLarge)
	expect("beyond its limit", 256*kb+1, -1, bodies.ErrTooLarge)
	expect("shorter than announced", 100, 200, io.ErrUnexpectedEOF)
	t.Run("nothing is read of a body that is announced beyond its limit", func(t *testing.T) {
		_, err := newBudget(0, 0).Read(bodies.Source{Reader: nil, Length: 1 << 40, Limit: 1 << 20})
		qt.Assert(t, err, qt.Equals, bodies.ErrTooLarge)
	})
}

// expectHeld checks what is held once all bodies wait.
func expectHeld(t *testing.T, b *bodies.Budget, atMost int64) {
	t.Helper()
	stats := b.Stats()
	qt.Assert(t, stats.Held <= atMost && stats.Most <= atMost, qt.IsTrue, qt.Commentf("%+v", stats))
}

// TestBudget guards against bodies that take more memory together than there is, and against ones that never end and keep
// all others out.
func TestBudget(t *testing.T) {
	for name, test := range map[string]func(t *testing.T){
		"an announced length alone takes one step": func(t *testing.T) {
			b := newBudget(256*kb, 0)
			s := stall(b, 200*kb, 0)
			time.Sleep(time.Second)
			expectHeld(t, b, 16*kb)
			close(s.stopped)
			qt.Assert(t, <-s.done, qt.IsNotNil)
			expectHeld(t, b, 16*kb)
		},
		"a body alone may exceed the budget": func(t *testing.T) {
			body, err := read(newBudget(64*kb, 0), 200*kb, 200*kb)
			qt.Assert(t, err, qt.IsNil)
			body.Release()
		},
		"a body for which there is no memory is refused at once": func(t *testing.T) {
			b := newBudget(64*kb, 0)
			s := stall(b, 60*kb, 50*kb)
			time.Sleep(100 * time.Millisecond)
			_, err := read(b, 20*kb, 20*kb)
			qt.Assert(t, err, qt.Equals, bodies.ErrFull)
			qt.Assert(t, b.Stats().Full, qt.Equals, int64(1))
			expectHeld(t, b, 64*kb)
			close(s.stopped)
			<-s.done
		},
		"a body that stays unfinished makes room for another": func(t *testing.T) {
			b := newBudget(64*kb, 0)
			s := stall(b, 60*kb, 50*kb)
			time.Sleep(300 * time.Millisecond)
			body, err := read(b, 20*kb, 20*kb)
			qt.Assert(t, err, qt.IsNil)
			qt.Assert(t, <-s.done, qt.Equals, bodies.ErrSlow)
			qt.Assert(t, b.Stats().Slow, qt.Equals, int64(1))
			body.Release()
			expectHeld(t, b, 64*kb)
		},
		"of two unfinished bodies the one that has held more for longer is given up": func(t *testing.T) {
			b := newBudget(64*kb, 0)
			small := stall(b, 2*kb, 1*kb)
			large := stall(b, 60*kb, 40*kb)
			time.Sleep(time.Second)
			body, err := read(b, 20*kb, 20*kb)
			qt.Assert(t, err, qt.IsNil)
			qt.Assert(t, <-large.done, qt.Equals, bodies.ErrSlow)
			body.Release()
			close(small.stopped)
			<-small.done
		},
		"small bodies get through beside large ones": func(t *testing.T) {
			b := newBudget(64*kb, 16*kb)
			s := stall(b, 60*kb, 40*kb)
			time.Sleep(100 * time.Millisecond)
			_, err := read(b, 20*kb, 20*kb)
			qt.Assert(t, err, qt.Equals, bodies.ErrFull)
			body, err := read(b, 4*kb, 4*kb)
			qt.Assert(t, err, qt.IsNil)
			body.Release()
			close(s.stopped)
			<-s.done
		},
		"a decoded body keeps its part until its release": func(t *testing.T) {
			b := newBudget(1<<20, 0)
			body, err := read(b, 200*kb, 200*kb)
			qt.Assert(t, err, qt.IsNil)
			body.Shrink(50 * kb)
			qt.Assert(t, b.Stats().Held, qt.Equals, int64(50*kb))
			body.Release()
			qt.Assert(t, b.Stats().Held, qt.Equals, int64(0))
		},
	} {
		t.Run(name, func(t *testing.T) { bubble.Test(t, test) })
	}
}

// TestManyBodies guards against memory that is not given back, whatever the order of ends and refusals.
func TestManyBodies(t *testing.T) {
	bubble.Test(t, func(t *testing.T) {
		b := newBudget(512*kb, 64*kb)
		var all []*stalled
		for i := range 300 {
			all = append(all, stall(b, int64(1+i)*kb, i*kb/2))
			time.Sleep(10 * time.Millisecond)
		}
		expectHeld(t, b, 512*kb)
		synctest.Wait()
		for _, s := range all {
			select {
			case <-s.done:
			default:
				close(s.stopped)
				<-s.done
			}
		}
		qt.Assert(t, b.Stats().Held, qt.Equals, int64(0))
		qt.Assert(t, b.Stats().Arriving, qt.Equals, 0)
	})
}
