package paths_test

import (
	"encoding/json"
	"fmt"
	"testing"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	glade "indigoglade"
	"indigoglade/paths"
	"indigoglade/seeds"
)

const path = "/p/"

// rules returns a version of the contract that sends the path to a service.
func rules(version int64, to glade.Service, services ...glade.Service) glade.Rules {
	r := glade.Rules{Version: version, Queues: []glade.QueueRule{{Queue: "q", Prefix: path, Service: to}}}
	for _, service := range services {
		r.Services = append(r.Services, glade.ServiceRule{Service: service})
	}
	return r
}

// leader is the leader of a service with its stored row.
type leader struct {
	table   *paths.Table
	service glade.Service
	stored  []byte
	// knows holds the IDs of accepted batches, which are stored.
	knows map[string]bool
}

func newLeader(service glade.Service) *leader {
	return &leader{table: paths.New(service), service: service, knows: make(map[string]bool)}
}

// restart replaces the leader by one that has read the row.
func (l *leader) restart() {
	l.table = paths.New(l.service)
	if l.stored != nil {
		if err := l.table.Load(l.stored); err != nil {
			panic(err)
		}
	}
}

func (l *leader) write() {
	if !l.table.HasWrite() {
		return
	}
	row, gen := l.table.BeginWrite()
	data, err := json.Marshal(row)
	if err != nil {
		panic(err)
	}
	l.stored = data
	l.table.FinishWrite(gen, true)
}

// ask asks the former services once.
func (l *leader) ask(others map[glade.Service]*leader) {
	for service, q := range l.table.Questions() {
		other := others[service]
		l.table.Apply(q, service, other.table.Answer(q, func(paths.Hash) bool { return len(other.knows) > 0 }))
	}
}

func TestTable(t *testing.T) {
	newPair := func() (a, b *leader, all map[glade.Service]*leader) {
		a, b = newLeader("a"), newLeader("b")
		all = map[glade.Service]*leader{"a": a, "b": b}
		for _, l := range all {
			l.table.SetRules(rules(1, "a", "a", "b"))
			l.write()
		}
		return a, b, all
	}
	settle := func(all map[glade.Service]*leader) {
		for range 4 {
			for _, l := range all {
				l.ask(all)
				l.write()
			}
		}
	}
	expectFormer := func(c *qt.C, l *leader, want ...glade.Service) {
		c.Helper()
		former, _, ok := l.table.Formers(path)
		c.Assert(ok, qt.IsTrue)
		c.Assert(append([]glade.Service(nil), former...), qt.DeepEquals, want)
	}
	t.Run("a path that is new may be known elsewhere until the others have answered", func(t *testing.T) {
		c := qt.New(t)
		a, _, all := newPair()
		expectFormer(c, a, "b")
		settle(all)
		expectFormer(c, a)
		a.restart()
		a.table.SetRules(rules(1, "a", "a", "b"))
		expectFormer(c, a)
		c.Assert(a.table.Questions(), qt.HasLen, 0)
	})
	t.Run("the earlier service stays a former one while it knows batches", func(t *testing.T) {
		c := qt.New(t)
		a, b, all := newPair()
		settle(all)
		a.knows["x"] = true
		for _, l := range all {
			l.table.SetRules(rules(2, "b", "a", "b"))
		}
		_, _, ok := a.table.Formers(path)
		c.Assert(ok, qt.IsFalse)
		settle(all)
		expectFormer(c, b, "a")
		delete(a.knows, "x")
		settle(all)
		expectFormer(c, b)
	})
	t.Run("a service whose leader has an older contract answers nothing", func(t *testing.T) {
		c := qt.New(t)
		_, b, all := newPair()
		settle(all)
		b.table.SetRules(rules(2, "b", "a", "b"))
		settle(all)
		expectFormer(c, b, "a")
	})
	t.Run("a later leader with an older contract does not have the path again", func(t *testing.T) {
		c := qt.New(t)
		a, _, all := newPair()
		for _, l := range all {
			l.table.SetRules(rules(2, "b", "a", "b"))
		}
		settle(all)
		a.restart()
		a.table.SetRules(rules(1, "a", "a", "b"))
		_, _, ok := a.table.Formers(path)
		c.Assert(ok, qt.IsFalse)
	})
	t.Run("a service that had its paths before there were rows keeps them", func(t *testing.T) {
		c := qt.New(t)
		a := newLeader("a")
		a.table.Inherit(true)
		a.table.SetRules(rules(1, "a", "a", "b"))
		expectFormer(c, a)
		c.Assert(a.table.HasWrite(), qt.IsTrue)
		a.write()
		a.table.SetRules(rules(2, "b", "a", "b"))
		a.table.SetRules(rules(3, "a", "a", "b"))
		expectFormer(c, a, "b")
	})
	t.Run("a row that can't be decoded is an error", func(t *testing.T) {
		qt.Assert(t, paths.New("a").Load([]byte(`{"number":"x"`)), qt.ErrorMatches, "decode the paths of service a: .*")
	})
	t.Run("the row of many paths is small", func(t *testing.T) {
		r := glade.Rules{Version: 1, Services: []glade.ServiceRule{{Service: "a"}, {Service: "b"}, {Service: "c"}}}
		for i := range 5000 {
			r.Queues = append(r.Queues, glade.QueueRule{Prefix: fmt.Sprintf("/p%d/", i), Service: "a"})
		}
		l := newLeader("a")
		l.table.SetRules(r)
		l.write()
		qt.Assert(t, len(l.stored) < paths.MaxRowBytes, qt.IsTrue, qt.Commentf("%d bytes", len(l.stored)))
	})
}

// TestMovingPath guards against a batch that two services accept: the contract moves its path to
// and fro, hosts and leaders apply versions late, leaders are replaced by ones with older versions,
// and callers repeat submissions.
func TestMovingPath(t *testing.T) {
	seeds.Check(t, 3000, func(r *rapid.T) {
		services := []glade.Service{"a", "b", "c"}
		all := make(map[glade.Service]*leader)
		for _, service := range services {
			all[service] = newLeader(service)
		}
		contracts := []glade.Rules{rules(1, "a", services...)}
		// pending are submissions that were cleared by all former services.
		type submission struct {
			id      string
			to      glade.Service
			cleared []glade.Service
			version int64
		}
		var pending []submission
		accept := func(s submission) {
			l := all[s.to]
			former, needed, ok := l.table.Formers(path)
			if !ok {
				return
			}
			for _, service := range former {
				found := false
				for _, cleared := range s.cleared {
					found = found || cleared == service
				}
				if !found || s.version < needed {
					return
				}
			}
			l.knows[s.id] = true
		}
		for range rapid.IntRange(1, 80).Draw(r, "steps") {
			l := all[rapid.SampledFrom(services).Draw(r, "service")]
			switch rapid.IntRange(0, 8).Draw(r, "step") {
			case 0:
				to := rapid.SampledFrom(services).Draw(r, "to")
				contracts = append(contracts, rules(int64(len(contracts)+1), to, services...))
			case 1, 2:
				l.table.SetRules(rapid.SampledFrom(contracts).Draw(r, "contract"))
			case 3:
				l.restart()
				l.table.SetRules(rapid.SampledFrom(contracts).Draw(r, "contract"))
			case 4:
				l.write()
			case 5:
				l.ask(all)
			case 6, 7: // a host with any version of the contract
				id := fmt.Sprint(rapid.IntRange(0, 2).Draw(r, "id"))
				to := rapid.SampledFrom(contracts).Draw(r, "contract").Queues[0].Service
				former, version, ok := all[to].table.Formers(path)
				if !ok || all[to].knows[id] {
					break
				}
				cleared := true
				for _, service := range former {
					other := all[service]
					other.table.Answer(paths.Question{Version: version}, nil)
					cleared = cleared && !other.knows[id] && other.table.IsStored(version)
				}
				if cleared {
					pending = append(pending, submission{id: id, to: to, cleared: former, version: version})
				}
			case 8:
				for _, s := range pending {
					accept(s)
				}
				pending = nil
			}
			for id := range 3 {
				count := 0
				for _, service := range services {
					if all[service].knows[fmt.Sprint(id)] {
						count++
					}
				}
				if count > 1 {
					r.Fatalf("batch %d was accepted by %d services", id, count)
				}
			}
		}
	})
}
