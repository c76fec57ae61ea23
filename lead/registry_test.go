package lead

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	glade "indigoglade"
	"indigoglade/memory"
	"indigoglade/sched"
)

// TestReadRunners guards against a new leader that reads one of several rows of the runners in use: it would start
// tasks anew that run on the runners of the others.
func TestReadRunners(t *testing.T) {
	read := func(c *qt.C, rows ...string) ([]sched.RegistryRow, error) {
		m := newLoadedManager()
		table := memory.NewPartitionedTable()
		m.config.PartitionedTable = table
		for i, value := range rows {
			table.Put(glade.PartitionRow{Table: tableRunners, Part: string(testService), Key: runnersKey(i), Value: []byte(value)})
		}
		leader := m.leaders[testService]
		leader.heartbeatAt = time.Now()
		l := newLoader(leader)
		c.Assert(l.readRunners(c.Context()), qt.IsNil)
		return decodeRunners(l.runners)
	}
	expectRunners := func(name string, want []glade.RunnerID, rows ...string) {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			decoded, err := read(c, rows...)
			c.Assert(err, qt.IsNil)
			var got []glade.RunnerID
			for _, row := range decoded {
				got = append(got, row.Runners...)
			}
			c.Assert(got, qt.DeepEquals, want)
		})
	}
	expectRunners("no row", nil)
	expectRunners("one row", []glade.RunnerID{"a", "b"}, `{"ids":["a","b"],"born":[1,2]}`)
	expectRunners("of an earlier version", []glade.RunnerID{"a", "b"}, `["a","b"]`)
	expectRunners("several rows", []glade.RunnerID{"a", "b", "c"}, `{"ids":["a"],"parts":3}`, `{"ids":["b"]}`, `{"ids":["c"]}`)
	expectRunners("a row that is left from more", []glade.RunnerID{"a", "b"}, `{"ids":["a"],"parts":2}`, `{"ids":["b"]}`, `{"ids":["c"]}`)
	for _, rows := range [][]string{{`{`}, {`{"ids":["a"],"parts":2}`}, {`{"ids":["a"],"parts":2}`, `{`}} {
		t.Run(fmt.Sprint("not valid: ", rows), func(t *testing.T) {
			c := qt.New(t)
			_, err := read(c, rows...)
			c.Assert(err, qt.IsNotNil)
		})
	}
}
