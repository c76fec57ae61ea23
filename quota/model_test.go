package quota_test

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	glade "indigoglade"
	"indigoglade/quota"
	"indigoglade/seeds"
)

// modelTask is a task of the modelled tenant, alone or as a whole gang.
type modelTask struct {
	need glade.Need
	// knownTo is the newest epoch whose leader accepted the task: later ones inherit it.
	accepted int64
	runs     bool
	lasting  bool
	// open is set if the task started while memory was not limited.
	open   bool
	began  time.Time
	endsAt time.Time
}

// modelOp is a call to the store whose result is not delivered yet.
type modelOp struct{ action quota.Action }

// modelLeader is one leader process of a service.
type modelLeader struct {
	service   int
	epoch     int64
	holder    *quota.Holder
	contract  int
	suspended time.Time // zero while it runs
	// isFenced is set once every runner has seen this leader: its predecessors can start
	// nothing more.
	isFenced bool
	// isCut is set if its last call to the store failed.
	isCut bool
	op    *modelOp
	// isWoken is set when something happened since the last decision, and dueAt is when
	// that one asked for the next.
	isWoken  bool
	dueAt    time.Time
	requests map[glade.Service]quota.Request
}

// model is a store with late writes, a contract that changes, and services whose leaders
// are replaced.
type model struct {
	t         *rapid.T
	now       time.Time
	row       quota.Row
	version   int64
	late      []quota.Write
	down      bool
	refused   map[*modelLeader]bool
	limits    []glade.Need // by contract version
	leaders   [][]*modelLeader
	tasks     [][]*modelTask
	calls     int
	writes    int
	quiet     bool // no more faults
	maxWaited time.Duration
}

func serviceName(i int) glade.Service { return glade.Service(fmt.Sprintf("s%d", i)) }

func newModel(t *rapid.T) *model {
	m := &model{t: t, now: time.Unix(1000, 0), refused: make(map[*modelLeader]bool), limits: []glade.Need{{}, {CPU: 100, Memory: 100}}}
	n := rapid.IntRange(2, 4).Draw(t, "services")
	m.leaders, m.tasks = make([][]*modelLeader, n), make([][]*modelTask, n)
	for i := range n {
		m.takeOver(i)
	}
	return m
}

func (m *model) current(service int) *modelLeader {
	list := m.leaders[service]
	return list[len(list)-1]
}

// takeOver starts a new leader of a service; the earlier one is suspended or was cut off.
func (m *model) takeOver(service int) {
	l := &modelLeader{service: service, epoch: int64(len(m.leaders[service]) + 1), contract: len(m.limits) - 1}
	l.holder = quota.New(quota.Config{Service: serviceName(service), Epoch: l.epoch})
	l.isFenced = l.epoch == 1
	if l.epoch > 1 {
		before := m.current(service)
		l.contract = before.contract
		if before.suspended.IsZero() && rapid.Bool().Draw(m.t, "suspend") {
			before.suspended = m.now
		}
	}
	l.holder.SetRule(m.rule(l.contract), m.now)
	m.leaders[service] = append(m.leaders[service], l)
}

func (m *model) rule(version int) quota.Rule {
	return quota.Rule{Version: int64(version), Limit: m.limits[version], Listed: true}
}

// canStart reports whether runners still accept orders of a leader.
func (m *model) canStart(l *modelLeader) bool {
	if !l.suspended.IsZero() {
		return false
	}
	for _, other := range m.leaders[l.service] {
		if other.epoch > l.epoch && other.isFenced {
			return false
		}
	}
	return true
}

// demand returns what a leader knows. A new leader counts the waiting tasks that it
// inherited as used until its predecessors can start nothing more.
func (m *model) demand(l *modelLeader) quota.Demand {
	var d quota.Demand
	for _, task := range m.tasks[l.service] {
		switch {
		case task.accepted > l.epoch:
			continue // a predecessor does not know it
		case task.runs, !l.isFenced && task.accepted < l.epoch:
			d.Used = d.Used.Plus(task.need)
		default:
			d.Wanted = d.Wanted.Plus(task.need)
			d.Waited = max(d.Waited, m.now.Sub(task.began))
		}
		if task.lasting && task.runs {
			d.Lasting = d.Lasting.Plus(task.need)
			continue
		}
		d.Largest.CPU, d.Largest.Memory = max(d.Largest.CPU, task.need.CPU), max(d.Largest.Memory, task.need.Memory)
	}
	d.Wanted = d.Wanted.Plus(d.Used)
	return d
}

// act lets a leader decide and start what it may.
func (m *model) act(l *modelLeader) {
	if !l.suspended.IsZero() {
		return
	}
	for _, task := range m.tasks[l.service] {
		d := m.demand(l)
		l.holder.SetDemand(d, m.now)
		inherited := task.accepted < l.epoch && !l.isFenced
		if task.runs || inherited || task.accepted > l.epoch || !m.canStart(l) || !d.Used.Plus(task.need).Fits(l.holder.Share()) {
			continue
		}
		task.runs, task.open = true, l.holder.Limit().Memory == 0
		m.maxWaited = max(m.maxWaited, m.now.Sub(task.began))
		task.endsAt = m.now.Add(time.Duration(rapid.IntRange(100, 1000).Draw(m.t, "runs")) * time.Millisecond)
		m.checkStart(l, task)
		l.isWoken = true
	}
	l.holder.SetDemand(m.demand(l), m.now)
	if l.op != nil {
		return
	}
	before := l.holder.Share()
	action := l.holder.Next(m.now)
	l.isWoken, l.dueAt = l.holder.Share() != before, action.At // more may start then
	switch action.Kind {
	case quota.ActionRead, quota.ActionWrite:
		l.op = &modelOp{action}
	case quota.ActionAsk:
		l.requests = action.Requests
		m.calls += len(action.Requests)
	}
}

// checkStart fails if more runs than the highest limit that may be in force. Old limits
// may be until every leader that can start something has seen a newer one and the row says
// so, to a leader that the store refuses until it sees that row. A first limit is in force
// once no task of the time before it runs.
func (m *model) checkStart(l *modelLeader, started *modelTask) {
	var running glade.Need
	open := false
	for _, tasks := range m.tasks {
		for _, task := range tasks {
			if task.runs {
				running, open = running.Plus(task.need), open || task.open
			}
		}
	}
	allowed, unlimited := m.row.Limit, m.version > 0 && m.row.Limit.Memory == 0
	oldest := len(m.limits) - 1
	for _, list := range m.leaders {
		for _, other := range list {
			if m.canStart(other) {
				oldest = min(oldest, other.contract)
			}
		}
	}
	for _, limit := range m.limits[oldest:] {
		allowed.CPU, allowed.Memory = max(allowed.CPU, limit.CPU), max(allowed.Memory, limit.Memory)
		unlimited = unlimited || limit.Memory == 0
	}
	if l.isCut {
		known, _ := l.holder.Row()
		allowed.CPU, allowed.Memory = max(allowed.CPU, known.Limit.CPU), max(allowed.Memory, known.Limit.Memory)
		unlimited = unlimited || known.Limit.Memory == 0
	}
	if running.CPU > allowed.CPU || (running.Memory > allowed.Memory && !unlimited && !open) {
		m.t.Fatalf("%s of epoch %d started %v: %v runs, %v allowed, row %+v", serviceName(l.service), l.epoch, started.need, running, allowed, m.row)
	}
}

// commit applies a transaction whose condition holds.
func (m *model) commit(w quota.Write) bool {
	if w.Version != m.version {
		return false
	}
	if w.Row.Version < m.row.Version {
		m.t.Fatalf("the row of contract %d was replaced by one of contract %d", m.row.Version, w.Row.Version)
	}
	m.row, m.version = w.Row, m.version+1
	m.writes++
	return true
}

// finishOp delivers the result of a leader's call to the store.
func (m *model) finishOp(l *modelLeader) {
	action := l.op.action
	l.op, l.isWoken = nil, true
	outcome := 0
	if !m.quiet {
		outcome = rapid.IntRange(0, 9).Draw(m.t, "outcome")
	}
	isRead := action.Kind == quota.ActionRead
	l.isCut = m.down || m.refused[l] || (!isRead && outcome >= 8)
	switch {
	case (m.down || m.refused[l]) && isRead:
		l.holder.ReadFailed(m.now)
	case m.down || m.refused[l]:
		l.holder.Failed(action.Write, m.now)
	case isRead:
		l.holder.ReadDone(m.row, m.version, m.now)
	case outcome == 8: // the answer is lost
		m.commit(action.Write)
		l.holder.Uncertain(m.now)
	case outcome == 9: // the write comes late
		m.late = append(m.late, action.Write)
		l.holder.Uncertain(m.now)
	case m.commit(action.Write):
		l.holder.Written(action.Write, m.version, m.now)
	default:
		l.holder.Conflicted(action.Write, m.now)
		if outcome%2 == 0 {
			l.holder.Observe(m.row, m.version, m.now)
		}
	}
}

// deliver delivers one request of a leader, or loses it or its answer.
func (m *model) deliver(l *modelLeader) {
	for i := range m.leaders {
		request, ok := l.requests[serviceName(i)]
		if !ok {
			continue
		}
		delete(l.requests, serviceName(i))
		to, outcome := m.current(i), 0
		if !m.quiet {
			outcome = rapid.IntRange(0, 5).Draw(m.t, "message")
			to = rapid.SampledFrom(m.leaders[i]).Draw(m.t, "to")
		}
		if outcome == 5 || !to.suspended.IsZero() {
			l.holder.Unanswered(serviceName(i), m.now)
			l.isWoken = true
			break
		}
		to.holder.SetDemand(m.demand(to), m.now)
		answer := to.holder.Asked(request, m.now)
		to.isWoken, l.isWoken = true, true
		if outcome != 4 {
			l.holder.Answered(serviceName(i), answer, m.now)
		}
		break
	}
	if len(l.requests) == 0 {
		l.requests = nil
		l.holder.AskEnded()
	}
}

func (m *model) tick(d time.Duration) {
	m.now = m.now.Add(d)
	for i, tasks := range m.tasks {
		var kept []*modelTask
		for _, task := range tasks {
			if !task.runs || m.now.Before(task.endsAt) {
				kept = append(kept, task)
			}
		}
		if len(kept) < len(tasks) {
			m.current(i).isWoken = true
		}
		m.tasks[i] = kept
	}
}

// each calls do for every leader process.
func (m *model) each(do func(l *modelLeader)) {
	for _, list := range m.leaders {
		for _, l := range list {
			do(l)
		}
	}
}

// event draws one event.
func (m *model) event() {
	service := rapid.IntRange(0, len(m.leaders)-1).Draw(m.t, "service")
	l := rapid.SampledFrom(m.leaders[service]).Draw(m.t, "leader")
	switch kind := rapid.IntRange(0, 29).Draw(m.t, "event"); {
	case kind < 6:
		// The longest is one after which idle shares are released.
		m.tick(time.Duration(rapid.SampledFrom([]int{1, 10, 50, 200, 400, 16000}).Draw(m.t, "ms")) * time.Millisecond)
	case kind < 11:
		size := rapid.SampledFrom([]int{1, 5, 20, 50, 100}).Draw(m.t, "size")
		m.tasks[service] = append(m.tasks[service], &modelTask{
			need: glade.Need{CPU: size, Memory: rapid.IntRange(1, 60).Draw(m.t, "memory")}, accepted: m.current(service).epoch, began: m.now,
			lasting: rapid.Bool().Draw(m.t, "lasting"),
		})
	case kind < 18 && l.op != nil:
		m.finishOp(l)
	case kind < 22 && l.requests != nil && l.suspended.IsZero():
		m.deliver(l)
	case kind == 22 && len(m.leaders[service]) < 4:
		m.takeOver(service)
	case kind == 23:
		l.suspended = time.Time{}
	case kind == 24:
		m.current(service).isFenced = true
	case kind == 25 && len(m.limits) < 6:
		m.limits = append(m.limits, glade.Need{
			CPU: rapid.IntRange(50, 200).Draw(m.t, "limit"), Memory: rapid.SampledFrom([]int{0, 60, 150}).Draw(m.t, "limit"),
		})
	case kind == 26 && l.contract < len(m.limits)-1:
		l.contract++
		l.holder.SetRule(m.rule(l.contract), m.now)
	case kind == 27:
		m.down = !m.down
	case kind == 28:
		m.refused[l] = !m.refused[l]
	case kind == 29:
		for _, w := range m.late {
			m.commit(w)
		}
		m.late = nil
	}
	m.each(m.act)
}

// settle ends all faults. Every task that the limit allows must then start in time.
func (m *model) settle() {
	m.down, m.quiet, m.refused = false, true, make(map[*modelLeader]bool)
	limit := m.limits[len(m.limits)-1]
	waiting := 0
	var all glade.Need
	for i, list := range m.leaders {
		m.current(i).isFenced = true
		m.current(i).suspended = time.Time{}
		for _, l := range list {
			l.contract, l.isWoken = len(m.limits)-1, true
			l.holder.SetRule(m.rule(l.contract), m.now)
		}
		var kept []*modelTask
		for _, task := range m.tasks[i] {
			if task.need.CPU <= limit.CPU && (limit.Memory == 0 || task.need.Memory <= limit.Memory) {
				kept = append(kept, task)
				all = all.Plus(task.need)
				waiting++
			}
		}
		m.tasks[i] = kept
	}
	// Each task may need the whole limit: it waits for its turn, for the requests and for
	// the end of the one before.
	deadline := m.now.Add(4*time.Second + time.Duration(waiting)*2500*time.Millisecond)
	if 2*all.CPU <= limit.CPU && (limit.Memory == 0 || 2*all.Memory <= limit.Memory) {
		deadline = m.now.Add(3 * time.Second)
	}
	for m.now.Before(deadline) {
		m.each(func(l *modelLeader) {
			if l.op != nil {
				m.finishOp(l)
			}
			if l.requests != nil {
				m.deliver(l)
			}
			if l.isWoken || (!l.dueAt.IsZero() && !m.now.Before(l.dueAt)) {
				m.act(l)
			}
		})
		m.tick(10 * time.Millisecond)
	}
	for i, tasks := range m.tasks {
		for _, task := range tasks {
			if !task.runs {
				m.t.Fatalf("%s still waits for %v after %s, limit %v, row %+v, demand %+v, share %v",
					serviceName(i), task.need, m.now.Sub(task.began), limit, m.row, m.demand(m.current(i)), m.current(i).holder.Share())
			}
		}
	}
}

// Guards against work above the limit, and work that never starts, when leaders are
// replaced and resume, writes are lost or late, and limits change.
func TestModel(t *testing.T) {
	seeds.Check(t, 2000, func(t *rapid.T) {
		m := newModel(t)
		for range rapid.IntRange(20, 200).Draw(t, "events") {
			m.event()
		}
		m.settle()
	})
}
