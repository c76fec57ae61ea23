package learn_test

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	glade "indigoglade"
	"indigoglade/learn"
)

var (
	key = learn.Key{Customer: "c", Kind: "study"}
	now = time.Unix(1000, 0)
)

// failJobs records failures of different jobs on each of n hosts, and returns the
// number of hosts that became suspect.
func failJobs(h *learn.Health, n, jobs int) int {
	suspects := 0
	for job := range jobs {
		for i := range n {
			host := glade.Host(fmt.Sprintf("h%02d", i))
			if h.RecordFailure(host, "p", key, glade.Ticket(fmt.Sprintf("c.%d-%d", job, i)), now) {
				suspects++
			}
		}
	}
	return suspects
}

func TestHostThatFailsEverythingIsSuspect(t *testing.T) {
	h := learn.NewHealth()
	h.SetPoolSize("p", 40)
	for range 20 {
		h.RecordSuccess("good", "p", key)
	}
	qt.Check(t, failJobs(h, 1, 3), qt.Equals, 1)
	qt.Check(t, h.IsSuspect("h00", now), qt.IsTrue)
	qt.Check(t, h.IsSuspect("h00", now.Add(time.Hour)), qt.IsFalse)
}

func TestKindThatFailsEverywhereMakesFewSuspects(t *testing.T) {
	h := learn.NewHealth()
	h.SetPoolSize("p", 40)
	qt.Check(t, failJobs(h, 40, 20) <= 2, qt.IsTrue)
}

func TestRepeatedFailuresOfOneJobMakeNoSuspect(t *testing.T) {
	h := learn.NewHealth()
	h.SetPoolSize("p", 40)
	for range 10 {
		qt.Check(t, h.RecordFailure("h", "p", key, "c.1", now), qt.IsFalse)
	}
}

func expectMemory(t *testing.T, m *learn.Model, declared, want int64) {
	t.Helper()
	qt.Check(t, m.Memory(key, declared), qt.Equals, want)
}

func TestMemoryPrediction(t *testing.T) {
	unknown := learn.New()
	expectMemory(t, unknown, 100, 100*learn.MaxCorrection)

	proportional := learn.New()
	constant := learn.New()
	for i := range int64(10) {
		proportional.ObserveMemory(key, 100*(i+1), 1000*(i+1))
		constant.ObserveMemory(key, 100*(i+1), 1000)
	}
	expectMemory(t, proportional, 50, 500)
	expectMemory(t, constant, 500, 1000)
	expectMemory(t, constant, 10, 10*learn.MaxCorrection)
}
