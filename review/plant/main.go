// Command plant runs a small deployment on loopback addresses for the cases of this folder: processes of
// the product, and stand-ins of the store, the inventory, the runners and the callers.
package main

import (
	"bytes"
	"cmp"
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"runtime"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	glade "indigoglade"
	"indigoglade/clock"
	"indigoglade/memory"
	"indigoglade/platform/fake"
)

// Sizes and bounds of the deployment, as in the settings of a small one.
const (
	portsPerNode = 4
	runnerCPU    = 16000
	maxRowBytes  = 64 << 10 // rowBytes
	maxCallBytes = 1 << 20  // of a transaction
	maxEntries   = 100      // of a transaction
	startTime    = 10 * time.Second
	restartTime  = 500 * time.Millisecond
	maxFiles     = 4100 // maxFds
	deadline     = 3 * time.Second
	finishTime   = 14 * time.Second
	idleTime     = 3 * time.Second
	lookTime     = 5 * time.Second
	visibleTime  = 3 * time.Second // visible_ms
	staleTime    = 2 * time.Second // age of the number of jobs that wait
	hostName     = "a.example"
	service      = "bayi"
	prefix       = "/bayi/"
)

// nodeCount is the number of processes of the product.
var nodeCount = 5

// pool is a service with its runners.
type pool struct {
	service string
	runners int
}

// pools are the services of a scene. Jobs are for the first one.
var pools = []pool{{service, 9}}

// step is a step of a job in the callers' JSON.
type step struct {
	Count       int   `json:"count"`
	CPU         int   `json:"cpu"`
	MemMb       int   `json:"memMb"`
	EstimatedMs int   `json:"estimatedMs"`
	DependsOn   []int `json:"dependsOn,omitempty"`
	Gang        bool  `json:"gang,omitempty"`
	LongRunning bool  `json:"longRunning,omitempty"`
}

// job is a job as its caller knows it.
type job struct {
	ID       string `json:"-"`
	Spec     string `json:"spec"`
	Steps    []step `json:"steps"`
	StartAt  int64  `json:"startAtMs,omitempty"`
	Interval int64  `json:"intervalMs,omitempty"`
	Repeat   int    `json:"repeatCount,omitempty"`

	acceptedAt time.Time
	idleSince  time.Time
}

// newJob returns a job of a chain of steps, each with some tasks of a duration.
func newJob(steps, tasks, millis int) *job {
	j := &job{ID: fmt.Sprintf("%016x", rand.Uint64())}
	var spec fake.TaskSpec
	for i := range steps {
		s := step{Count: tasks, CPU: 10, MemMb: 1, EstimatedMs: millis}
		if i > 0 {
			s.DependsOn = []int{i - 1}
		}
		j.Steps = append(j.Steps, s)
		spec.Millis, spec.CPU = append(spec.Millis, millis), append(spec.CPU, s.CPU)
	}
	j.Spec = spec.Spec()
	return j
}

// newLasting returns a job of tasks that last.
func newLasting(tasks, cpu int) *job {
	j := newJob(1, tasks, 600)
	j.Steps[0].CPU, j.Steps[0].LongRunning = cpu, true
	j.Spec = fake.TaskSpec{Millis: []int{600}, CPU: []int{cpu}, UntilStopped: true}.Spec()
	return j
}

// plant is the deployment.
type plant struct {
	table   *memory.PartitionedTable
	runners []*fake.Runner
	cloud   *fake.Inventory
	nodes   []*node
	client  *http.Client
	down    atomic.Bool // the store answers 503
	began   time.Time

	mu       sync.Mutex
	record   *os.File
	jobs     []*job
	running  map[string]int    // active runs by task
	done     map[string]bool   // tasks that have ended as done
	listed   map[string]bool   // ends that runners list, by task and run
	begun    map[string]bool   // jobs of which a task has started
	writers  map[string]string // the node that last wrote under a condition, by part
	answers  map[string]int    // answers to callers, by method and status
	tooLarge int
	broken   []string
}

// node is a process of the product. The platform starts it again when it has ended by itself.
type node struct {
	name, front, ready string
	log                string // file
	start              func() (*exec.Cmd, error)
	channels           atomic.Int64
	mu                 sync.Mutex
	command            *exec.Cmd
	stopped            bool // for good, by this program
	hit                bool // by a kill, and not started again yet
	exits              int  // by itself
}

// stop ends the process for good.
func (n *node) stop() {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.stopped = true
	_ = n.command.Process.Kill()
}

// kill kills the process, which the platform starts again.
func (n *node) kill() {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.hit = true
	_ = n.command.Process.Kill()
}

// isStopped records that the process has ended, and reports whether it is not to start again.
func (n *node) isStopped(p *plant, err error) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	if !n.stopped && !n.hit {
		n.exits++
		p.logf("%s has ended by itself, %d times so far: %v, %s", n.name, n.exits, err, n.lastLine())
	}
	return n.stopped
}

// restart starts the process again.
func (n *node) restart() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.hit = false
	command, err := n.start()
	if n.stopped || err != nil {
		return false
	}
	n.command = command
	return true
}

// lastLine returns the last line of the process's log.
func (n *node) lastLine() string {
	data, err := os.ReadFile(n.log)
	if err != nil {
		return err.Error()
	}
	lines := strings.Split(strings.TrimSpace(string(data)), "\n")
	return lines[len(lines)-1]
}

// watch starts the process again each time it has ended.
func (n *node) watch(p *plant) {
	for !n.isStopped(p, n.command.Wait()) {
		time.Sleep(restartTime)
		if !n.restart() {
			return
		}
	}
}

func (p *plant) logf(format string, args ...any) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.write(format, args...)
}

// write writes a line of the record. The caller holds the lock.
func (p *plant) write(format string, args ...any) {
	fmt.Fprintf(p.record, "%7.2f %s\n", time.Since(p.began).Seconds(), fmt.Sprintf(format, args...))
}

// violate records that a rule was broken.
func (p *plant) violate(format string, args ...any) {
	p.mu.Lock()
	defer p.mu.Unlock()
	line := fmt.Sprintf(format, args...)
	p.broken = append(p.broken, line)
	p.write("BROKEN %s", line)
}

// ip is a loopback address that no other run of this program uses.
var ip = fmt.Sprintf("127.%d.%d.1", 20+os.Getpid()%200, os.Getpid()/200%250+1)

// serve serves HTTP at a free port, and returns the address.
func serve(handler http.Handler) (string, error) {
	listener, err := net.Listen("tcp", ip+":0")
	if err != nil {
		return "", err
	}
	server := &http.Server{Handler: handler, ReadHeaderTimeout: time.Minute}
	go func() { _ = server.Serve(listener) }()
	return listener.Addr().String(), nil
}

// freePorts returns ports that were free when the last one was found.
func freePorts(count int) ([]int, error) {
	var ports []int
	for range count {
		listener, err := net.Listen("tcp", ip+":0")
		if err != nil {
			return nil, err
		}
		defer listener.Close()
		ports = append(ports, listener.Addr().(*net.TCPAddr).Port)
	}
	return ports, nil
}

// store is the store with the limits of its page: of a row, and of a transaction.
type store struct {
	plant *plant
	view  *fake.View
	node  string // the only caller
}

func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if s.plant.down.Load() {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	if r.URL.Path != "/rows-tx" {
		s.view.ServeHTTP(w, r)
		return
	}
	data, err := io.ReadAll(r.Body)
	var in struct {
		Checks []struct {
			Part string `json:"part"`
		} `json:"expectedRevision"`
		Puts []struct {
			Table string `json:"table"`
			Key   string `json:"key"`
			Value []byte `json:"value"`
		} `json:"setKeys"`
		Deletes []json.RawMessage `json:"remove"`
	}
	if err == nil {
		err = json.Unmarshal(data, &in)
	}
	why := ""
	if entries := len(in.Checks) + len(in.Puts) + len(in.Deletes); entries > maxEntries {
		why = fmt.Sprintf("%d entries", entries)
	}
	if len(data) > maxCallBytes {
		why = fmt.Sprintf("a call of %d bytes with %d rows", len(data), len(in.Puts))
	}
	for _, put := range in.Puts {
		if len(put.Value) > maxRowBytes {
			why = fmt.Sprintf("row %s/%s of %d bytes", put.Table, put.Key, len(put.Value))
		}
	}
	if err != nil || why != "" {
		s.plant.refuseWrite(why)
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	if len(in.Checks) > 0 && len(in.Puts) > 0 {
		s.plant.noteWriter(in.Checks[0].Part, s.node)
	}
	r.Body = io.NopCloser(bytes.NewReader(data))
	s.view.ServeHTTP(w, r)
}

func (p *plant) noteWriter(part, node string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.writers[part] = node
}

// writer returns the node that last wrote to a part under a condition.
func (p *plant) writer(part string) string {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.writers[part]
}

// refuseWrite records a transaction beyond a limit; of many, one in 50.
func (p *plant) refuseWrite(why string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.tooLarge%50 == 0 {
		p.write("store refuses a transaction (%d so far): %s", p.tooLarge, why)
	}
	p.tooLarge++
}

// start starts the platform and the processes, which write their logs to dir.
func (p *plant) start(program, dir string) error {
	inventory := fake.NewInventory(fake.InventoryConfig{
		Downtime: 1500 * time.Millisecond, Clock: clock.System{}, Lease: 3 * time.Second,
		OnViolation: func(what string) { p.logf("inventory: %s", what) },
	})
	cloud, err := serve(inventory)
	if err != nil {
		return err
	}
	for _, pool := range pools {
		for range pool.runners {
			if err := p.addRunner(inventory, pool.service); err != nil {
				return err
			}
		}
	}
	p.setContract(3, service, service)
	rows := fake.NewStore(fake.StoreConfig{PartitionedTable: p.table, Clock: clock.System{}})
	var stores []string
	for i := range nodeCount {
		address, err := serve(&store{plant: p, view: rows.NewView(nil), node: nodeName(i)})
		if err != nil {
			return err
		}
		stores = append(stores, address)
	}
	ports, err := freePorts(nodeCount * portsPerNode)
	if err != nil {
		return err
	}
	for i, address := range stores {
		if err := p.startNode(program, dir, i, ports[i*portsPerNode:], address, cloud); err != nil {
			return err
		}
	}
	return nil
}

func nodeName(i int) string { return fmt.Sprintf("front-%d", i) }

// awaitReady waits until every process is ready.
func (p *plant) awaitReady() error {
	for _, n := range p.nodes {
		for began := time.Now(); ; time.Sleep(50 * time.Millisecond) {
			response, err := p.client.Get("http://" + n.ready + "/readiness")
			if err == nil {
				response.Body.Close()
				if response.StatusCode == http.StatusOK {
					break
				}
			}
			if time.Since(began) > startTime {
				return fmt.Errorf("%s is not ready after %s", n.name, startTime)
			}
		}
	}
	return nil
}

// setContract writes a version of the manifest, in which a service's own route goes to another one; each
// service has one.
func (p *plant) setContract(version int, from, to string) {
	var services, routes []map[string]any
	for _, pool := range pools {
		services = append(services, map[string]any{"name": pool.service})
		target := pool.service
		if target == from {
			target = to
		}
		routes = append(routes, map[string]any{
			"name": "queue-" + pool.service, "host": hostName, "pathPrefix": "/" + pool.service + "/", "service": target, "timeoutMs": 3000,
			"targetLatencyMs": 600, "priority": 0, "maxAttempts": 4, "stretch": 1.6,
		})
	}
	contract, err := json.Marshal(map[string]any{
		"version": version, "limits": map[string]int{"maxBodyBytes": 262144}, "services": services, "routes": routes,
	})
	if err != nil {
		panic(err) // it holds only plain values
	}
	p.table.Put(glade.PartitionRow{Table: "op", Key: "config", Value: contract})
	p.logf("manifest %d: the route of %s goes to %s", version, from, to)
}

func (p *plant) addRunner(inventory *fake.Inventory, service string) error {
	i := len(p.runners)
	handler := &lateHandler{}
	address, err := serve(handler)
	if err != nil {
		return err
	}
	runner := fake.NewRunner(fake.RunnerConfig{
		ID: glade.RunnerID(fmt.Sprintf("r%d", i)), Address: address, Service: glade.Service(service), Zone: glade.Zone(fmt.Sprintf("z%d", i%3)),
		Rack: glade.Rack(fmt.Sprintf("k%d", i/4)), Kind: "a", CPU: runnerCPU, MaxLease: 10 * time.Second, PartitionedTable: p.table, Clock: clock.System{},
		OnStarted: p.started, OnEnded: p.ended, OnAcknowledged: p.acknowledged,
	})
	handler.Handler = runner
	inventory.Add(glade.Host(fmt.Sprintf("m%d", i)), runner)
	p.runners = append(p.runners, runner)
	go func() { _ = runner.Run(context.Background()) }()
	return nil
}

// lateHandler is a handler that is set after its server has started, before any call.
type lateHandler struct{ http.Handler }

func (p *plant) startNode(program, dir string, i int, ports []int, store, cloud string) error {
	name, zone := nodeName(i), fmt.Sprintf("z%d", i%3)
	first, last := min(ports[2], ports[3]), max(ports[2], ports[3])
	n := &node{name: name, front: fmt.Sprintf("%s:%d", ip, ports[0]), ready: fmt.Sprintf("%s:%d", ip, ports[1])}
	settings, err := json.Marshal(map[string]any{
		"name": name, "zone": zone, "ip": ip, "front": n.front, "ready": n.ready,
		"ports": []int{first, last}, "store": store, "cloud": cloud, "memory": 284, "share": 0.4, "cores": 1, "link": 1000,
		"bounds": map[string]any{
			"graceS": 6, "holdMaxMs": 10000, "restoreMs": 250, "stopTimeoutMs": 200, "status_s": 120, "moveS": 1.5,
			"maintenanceS": 2, "fencingEnabled": true, "leaseMs": 3000, "remoteFactor": 3,
		},
	})
	if err != nil {
		return err
	}
	path := filepath.Join(dir, name+".json")
	if err := os.WriteFile(path, settings, 0o600); err != nil {
		return err
	}
	n.log = filepath.Join(dir, name+".log")
	n.start = func() (*exec.Cmd, error) {
		log, err := os.OpenFile(n.log, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
		if err != nil {
			return nil, err
		}
		defer log.Close()
		command := exec.Command("sh", "-c", fmt.Sprintf("ulimit -n %d && exec %s", maxFiles, program))
		command.Env = []string{"INDIGOGLADE_SETTINGS=" + path, "GOMAXPROCS=1"}
		command.Stdout, command.Stderr = log, log
		command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
		return command, command.Start()
	}
	if n.command, err = n.start(); err != nil {
		return err
	}
	p.nodes = append(p.nodes, n)
	go n.watch(p)
	return nil
}

func (p *plant) stop() {
	for _, n := range p.nodes {
		n.stop()
	}
}

func runName(e fake.RunEvent) string { return fmt.Sprintf("%s#%d", e.Task, e.Run) }

func (p *plant) started(e fake.RunEvent) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.running[e.Task]++
	p.begun[e.Task[:16]] = true
	p.write("start %s %s", e.Runner, runName(e))
}

func (p *plant) ended(e fake.RunEvent, how glade.EndReason) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.running[e.Task]--
	p.done[e.Task] = p.done[e.Task] || how == glade.EndDone
	p.listed[runName(e)] = true
	if how != glade.EndDone {
		p.write("%s %s %s", how, e.Runner, runName(e))
	}
}

func (p *plant) acknowledged(e fake.RunEvent, _ glade.EndReason) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.listed, runName(e))
}

// send sends one request of a caller to a process, and returns the status and the body; 0 if no complete
// answer came before the deadline.
func (p *plant) send(n *node, method, id string, body []byte) (int, string) {
	ctx, cancel := context.WithTimeout(context.Background(), deadline)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, method, "http://"+n.front+prefix+id, bytes.NewReader(body))
	if err != nil {
		return 0, ""
	}
	request.Host = hostName
	request.Header.Set("Content-Type", "application/json")
	request.Header.Set("X-Indigoglade-Deadline-Ms", fmt.Sprint(deadline.Milliseconds()))
	status, text := 0, ""
	if response, err := p.client.Do(request); err == nil {
		if data, err := io.ReadAll(response.Body); err == nil {
			status, text = response.StatusCode, strings.TrimSpace(string(data))
		}
		response.Body.Close()
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.answers[fmt.Sprintf("%s %d", method, status)]++
	p.write("%s %s at %s: %d %s", method, id, n.name, status, text)
	return status, text
}

// anyNode returns a random process.
func (p *plant) anyNode() *node { return p.nodes[rand.IntN(len(p.nodes))] }

// submit sends a job, up to five times, until it is accepted.
func (p *plant) submit(j *job) {
	body, err := json.Marshal(j)
	if err != nil {
		return
	}
	for range 5 {
		status, _ := p.send(p.anyNode(), http.MethodPost, j.ID, body)
		if status == http.StatusOK {
			p.mu.Lock()
			j.acceptedAt = time.Now()
			p.jobs = append(p.jobs, j)
			p.mu.Unlock()
			return
		}
		time.Sleep(time.Second)
	}
}

// load hands in a small job at each interval until a time, and waits for the last ones.
func (p *plant) load(interval time.Duration, until time.Time) {
	var group sync.WaitGroup
	for time.Now().Before(until) {
		group.Go(func() { p.submit(newJob(2, 2, 300)) })
		time.Sleep(interval)
	}
	group.Wait()
}

// isWaiting reports whether nothing of a job runs although the turn of a task has come: the steps form a
// chain, and occurrences are due at intervals. The caller holds the lock.
func (p *plant) isWaiting(j *job, now time.Time) bool {
	turn := false
	for k := range max(j.Repeat, 1) {
		if j.Repeat > 0 && now.UnixMilli() < j.StartAt+int64(k)*j.Interval {
			break
		}
		isTurn := true // of the first step that is not done
		for i, s := range j.Steps {
			left := false
			for t := range s.Count {
				name := fmt.Sprintf("%s.%d.%d.%d", j.ID, k, i, t)
				if p.running[name] > 0 {
					return false
				}
				left = left || !p.done[name]
			}
			turn = turn || left && isTurn
			isTurn = isTurn && !left
		}
	}
	return turn
}

// watch follows how long each accepted job waits, until ctx ends.
func (p *plant) watch(ctx context.Context) {
	ticker := time.NewTicker(200 * time.Millisecond)
	defer ticker.Stop()
	for ctx.Err() == nil {
		now := <-ticker.C
		p.mu.Lock()
		for _, j := range p.jobs {
			switch {
			case !p.isWaiting(j, now) || j.Steps[0].Gang: // a gang has no room twice over
				j.idleSince = time.Time{}
			case j.idleSince.IsZero():
				j.idleSince = now
			}
		}
		p.mu.Unlock()
	}
}

// used returns the share of the pool's capacity that is in use.
func (p *plant) used() float64 {
	used, capacity := 0, 0
	for _, r := range p.runners {
		u, c := r.Load()
		used, capacity = used+u, capacity+c
	}
	return float64(used) / float64(max(capacity, 1))
}

// waitingLong returns the number of jobs that have waited for idleTime.
func (p *plant) waitingLong() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	n := 0
	for _, j := range p.jobs {
		if !j.idleSince.IsZero() && time.Since(j.idleSince) >= idleTime {
			n++
		}
	}
	return n
}

// expectEnd checks what holds after the end of the traffic: each accepted job is known and its state is
// answered, none waits while there is room, and the ends that runners list are taken note of.
func (p *plant) expectEnd() {
	time.Sleep(finishTime)
	used, waiting := p.used(), 0
	for began := time.Now(); waiting == 0 && time.Since(began) < lookTime; time.Sleep(200 * time.Millisecond) {
		used, waiting = p.used(), p.waitingLong()
	}
	p.mu.Lock()
	jobs := p.jobs
	unnoted := len(p.listed)
	p.mu.Unlock()
	var group sync.WaitGroup
	var unanswered, unknown, open atomic.Int64
	for _, j := range jobs {
		group.Go(func() {
			switch status, text := p.send(p.anyNode(), http.MethodGet, j.ID, nil); {
			case status == http.StatusGone:
				unknown.Add(1)
			case status != http.StatusOK:
				unanswered.Add(1)
			case !strings.Contains(text, "completed"):
				open.Add(1)
			}
		})
	}
	group.Wait()
	p.logf("%d accepted jobs, %s after the end of the traffic: %d unknown, %d without an answer, %d not completed; %d wait with nothing running, %.2f of the pool in use; %d ends listed and not taken note of",
		len(jobs), finishTime, unknown.Load(), unanswered.Load(), open.Load(), waiting, used, unnoted)
	if n := unknown.Load(); n > 0 {
		p.violate("LOST: %d accepted jobs are answered 410", n)
	}
	if n := unanswered.Load(); n > 0 {
		p.violate("LOST: %d accepted jobs get no answer in time", n)
	}
	if waiting > 0 && used < 0.5 {
		p.violate("LOST: %d accepted jobs have had nothing running for %s or longer though the turn of a task has come, with %.2f of the pool in use", waiting, idleTime, used)
	}
}

// occurrences hands in one large job beside the small ones: a chain of 64 steps of one task, 250 times, of
// which many overlap.
func (p *plant) occurrences(trouble bool) {
	end := time.Now().Add(45 * time.Second)
	if trouble {
		j := newJob(64, 1, 400)
		j.StartAt, j.Interval, j.Repeat = time.Now().UnixMilli()+2000, 100, 250
		go p.submit(j)
	}
	p.load(250*time.Millisecond, end)
}

// outage hands in recurring jobs one after the other, most of whose occurrences are due at once. When all
// have many behind them and go on slowly, the store is down for a time.
func (p *plant) outage(trouble bool) {
	const jobs, due, interval = 48, 850, 2000
	end := time.Now().Add(80 * time.Second)
	go func() {
		for range jobs {
			j := newJob(1, 1, 100)
			j.Interval, j.Repeat = interval, 1000
			j.StartAt = time.Now().UnixMilli() - due*interval
			go p.submit(j)
			time.Sleep(1250 * time.Millisecond)
		}
	}()
	if trouble {
		time.AfterFunc(66*time.Second, func() {
			p.logf("the store is down: it answers 503")
			p.down.Store(true)
			time.AfterFunc(5*time.Second, func() {
				p.down.Store(false)
				p.logf("the store is back")
			})
		})
	}
	p.load(time.Second, end)
}

// waitingJobs returns how many accepted jobs have not begun that every process has to count.
func (p *plant) waitingJobs() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	n := 0
	for _, j := range p.jobs {
		if !p.begun[j.ID] && time.Since(j.acceptedAt) > visibleTime+staleTime {
			n++
		}
	}
	return n
}

// askWaiting asks a process how many jobs wait, and checks the answer.
func (p *plant) askWaiting(n *node) {
	least := p.waitingJobs()
	status, text := p.send(n, http.MethodGet, "", nil)
	var body struct {
		Waiting int `json:"waiting"`
	}
	if status != http.StatusOK {
		return // it answers later
	}
	if err := json.Unmarshal([]byte(text), &body); err != nil || 2*body.Waiting < least {
		p.violate("MIXED: %s gives %s, and %d accepted jobs have not begun", n.name, text, least)
	}
}

// gang hands in a gang that lasts, with a task for each runner, and small jobs beside it. Then a runner is
// lost for good.
func (p *plant) gang(trouble bool) {
	j := newLasting(len(p.runners), runnerCPU*5/8)
	j.Steps[0].Gang = true
	p.submit(j)
	if trouble {
		time.AfterFunc(8*time.Second, func() {
			p.logf("runner %s is lost for good", p.runners[0].ID())
			p.runners[0].Crash()
		})
	}
	p.load(250*time.Millisecond, time.Now().Add(20*time.Second))
}

// moved hands in lasting jobs, more than there is room for, and sends their route to another service. Then
// the process is killed that leads the first one. The others are asked how many jobs wait.
func (p *plant) moved(trouble bool) {
	for range 40 {
		p.submit(newLasting(1, runnerCPU/2))
	}
	time.Sleep(2 * time.Second)
	to := ""
	for _, pool := range pools[1:] {
		if p.writer(pool.service) != p.writer(service) {
			to = pool.service
		}
	}
	if to == "" {
		p.logf("one process leads all services")
		p.jobs = nil
		return
	}
	p.setContract(8, service, to)
	time.Sleep(visibleTime + staleTime + time.Second)
	p.logf("%d accepted jobs have not begun", p.waitingJobs())
	victim := p.writer(service)
	if trouble {
		for _, n := range p.nodes {
			if n.name == victim {
				p.logf("%s is killed, which last wrote for %s", n.name, service)
				n.stop()
			}
		}
	}
	for range 30 {
		for _, n := range p.nodes {
			if n.name != victim {
				go p.askWaiting(n)
			}
		}
		time.Sleep(100 * time.Millisecond)
	}
	time.Sleep(deadline)
}

// consumer holds one channel, and opens another one when it has broken.
type consumer struct{ plant *plant }

func (c consumer) run() {
	for {
		c.hold(c.plant.anyNode())
		time.Sleep(100 * time.Millisecond)
	}
}

func (c consumer) hold(n *node) {
	conn, err := net.DialTimeout("tcp", n.front, deadline)
	if err != nil {
		return
	}
	defer conn.Close()
	if _, err := fmt.Fprintf(conn, "GET %s HTTP/1.1\r\nHost: %s\r\n\r\n", prefix, hostName); err != nil {
		return
	}
	n.channels.Add(1)
	defer n.channels.Add(-1)
	_, _ = io.Copy(io.Discard, conn) // until it breaks
}

// channels lets consumers hold two thirds of the channels that the processes have descriptors for. Then the
// process with the most channels is killed, some times, and its consumers come to the others.
func (p *plant) channels(trouble bool) {
	const (
		consumers = 8200
		kills     = 4
		pause     = 12 * time.Second
	)
	for range consumers {
		go consumer{p}.run()
		time.Sleep(300 * time.Microsecond)
	}
	go p.visitors()
	time.Sleep(5 * time.Second)
	p.logChannels()
	for range kills {
		if trouble {
			most := slices.MaxFunc(p.nodes, func(x, y *node) int { return cmp.Compare(x.channels.Load(), y.channels.Load()) })
			p.logf("%s is killed", most.name)
			most.kill()
		}
		for began := time.Now(); time.Since(began) < pause; time.Sleep(time.Second) {
			p.logChannels()
		}
	}
	often := 0
	for _, n := range p.nodes {
		n.mu.Lock()
		p.logf("%s has ended by itself %d times", n.name, n.exits)
		if n.exits >= 3 {
			often++
		}
		n.mu.Unlock()
	}
	if often >= 2 {
		p.violate("FAULT: on %d of %d machines processes have ended by themselves three times", often, len(p.nodes))
	}
}

// visitors are consumers that come for one request each.
func (p *plant) visitors() {
	client := &http.Client{Timeout: deadline, Transport: &http.Transport{DisableKeepAlives: true}}
	for {
		go func() {
			service := pools[rand.IntN(len(pools))].service
			request, err := http.NewRequest(http.MethodGet, "http://"+p.anyNode().front+"/"+service+"/", nil)
			if err != nil {
				return
			}
			request.Host = hostName
			if response, err := client.Do(request); err == nil {
				response.Body.Close()
			}
		}()
		time.Sleep(25 * time.Millisecond)
	}
}

func (p *plant) logChannels() {
	line := ""
	for _, n := range p.nodes {
		line += fmt.Sprintf(" %d at %s", n.channels.Load(), n.name)
	}
	p.logf("channels:%s", line)
}

func run() int {
	scene := flag.String("scene", "", "what to play")
	dir := flag.String("dir", "", "folder of the record")
	program := flag.String("node", "target/node", "program of the product")
	flag.Parse()
	logs, err := os.MkdirTemp("", "plant")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	defer os.RemoveAll(logs)
	record, err := os.Create(filepath.Join(*dir, "record.txt"))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	defer record.Close()
	p := &plant{
		table: memory.NewPartitionedTable(), record: record, began: time.Now(), running: make(map[string]int),
		done: make(map[string]bool), begun: make(map[string]bool), writers: make(map[string]string), listed: make(map[string]bool), answers: make(map[string]int),
		client: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 64}},
	}
	scenes := map[string]func(trouble bool){"occurrences": p.occurrences, "gang": p.gang, "outage": p.outage, "moved": p.moved, "channels": p.channels}
	play, ok := scenes[*scene]
	switch *scene {
	case "channels":
		nodeCount, pools = 3, []pool{{service, 2}, {"oneri", 2}, {"saha", 2}, {"ticari", 2}, {"destek", 2}}
	case "moved":
		pools = append(pools, pool{"oneri", 2}, pool{"saha", 2})
	}
	defer p.stop()
	if err := p.start(*program, logs); err != nil || !ok {
		fmt.Fprintln(os.Stderr, "the case could not run:", *scene, err)
		return 2
	}
	if err := p.awaitReady(); err != nil {
		fmt.Fprintln(os.Stderr, "the case could not run:", err)
		return 2
	}
	time.Sleep(3 * time.Second) // until leaders are found
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go p.watch(ctx)
	play(os.Getenv("TROUBLE") != "0")
	p.logf("the traffic has ended")
	if *scene != "moved" && *scene != "channels" {
		p.expectEnd()
	}
	p.logf("answers: %v; transactions beyond a limit of the store: %d", p.answers, p.tooLarge)
	for _, line := range p.broken {
		fmt.Println(line)
	}
	switch {
	case len(p.broken) > 0:
		return 1
	case len(p.jobs) == 0 && *scene != "channels":
		return 2
	}
	return 0
}

func main() {
	runtime.LockOSThread() // the processes end with the thread that has started them
	os.Exit(run())
}
