// Command stand3 plays a scene of the review: it starts node processes against stand-ins of the store, the runners and a
// caller, brings one disruption about and checks a rule by what callers and runners have seen.
package main

import (
	"bytes"
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
	"os/signal"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/pkg/errors"

	glade "indigoglade"
	"indigoglade/clock"
	"indigoglade/memory"
	"indigoglade/platform/fake"
)

// What the users' pages set, as in a small deployment.
const (
	holdMax     = 10 * time.Second
	maxAttempts = 3
	room        = 8000 // thousandths of a core of each runner
	nodes       = 7
	runners     = 9
	zones       = 3
	beat        = 1500 * time.Millisecond
	contact     = 3 * time.Second // contactMs
)

// Exit codes of a scene.
const (
	held      = 0
	broken    = 1
	cannotRun = 2
)

// step is a step of a job as a caller sends it.
type step struct {
	Count       int  `json:"count"`
	CPU         int  `json:"cpu"`
	EstimatedMs int  `json:"estimatedMs"`
	LongRunning bool `json:"longRunning,omitempty"`
	MayMiss     int  `json:"mayMiss,omitempty"`
	Spread      int  `json:"antiAffinity,omitempty"`
}

// world is the platform, the product's processes and what was seen.
type world struct {
	mu      sync.Mutex
	began   time.Time
	table   *memory.PartitionedTable
	runners []*runner
	procs   []*proc
	record  *os.File
	prefix  string // of all addresses
	program string // of the product
	// step is that of the job in play, outcome how and when the n-th run of a task ends; it lasts if that is empty.
	step    step
	outcome func(index, n int) (how string, after time.Duration)
	starts  map[int]int // by the task's index
	failed  map[int]int // ends "failed" that were acknowledged
	last    map[int]time.Time
	late    []string // starts beyond the budget
	crashes int      // of runners under the task that crashes them
	quiet   bool     // single starts and ends are not recorded, but those of the task traced
	traced  int
	// toStore and toRunners forward the connections of the processes.
	toStore, toRunners links
	inventory          string // its address
	ended              bool   // guarded by processes
}

// listMachines answers as the inventory, with one pool of sound machines but for those whose runner is down.
func (w *world) listMachines(out http.ResponseWriter, in *http.Request) {
	if in.Method != http.MethodGet || in.URL.Path != "/machines" {
		out.WriteHeader(http.StatusBadRequest)
		return
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	machines := []map[string]any{}
	for i, r := range w.runners {
		state := "up"
		if !r.up {
			state = "down"
		}
		machines = append(machines, map[string]any{
			"machine": fmt.Sprintf("m-%d", i+1), "pool": "alpha", "state": state, "zone": r.zone, "labels": []string{"a", "r1"},
			"capacity": map[string]int{"cpu": room, "memMb": 32768}, "id": r.id,
		})
	}
	answer(out, http.StatusOK, map[string]any{"machines": machines, "nextPageToken": ""})
}

// links forwards connections.
type links struct {
	mu   sync.Mutex
	open []*link
}

// link is one connection. A hushed one stays open and delivers nothing any more.
type link struct {
	near, far net.Conn
	hushed    atomic.Bool
}

func (l *links) listen(address, target string) (string, error) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return "", err
	}
	go func() {
		for {
			near, err := listener.Accept()
			if err != nil {
				return
			}
			far, err := net.Dial("tcp", target)
			if err != nil {
				near.Close()
				continue
			}
			k := &link{near: near, far: far}
			l.mu.Lock()
			l.open = append(l.open, k)
			l.mu.Unlock()
			go k.pass(far, near)
			go k.pass(near, far)
		}
	}()
	return listener.Addr().String(), nil
}

// pass copies until one side closes.
func (k *link) pass(to, from net.Conn) {
	buffer := make([]byte, 64<<10)
	for {
		n, err := from.Read(buffer)
		if k.hushed.Load() {
			if err != nil && from == k.near { // the node has given it up
				k.near.Close()
				k.far.Close()
				return
			}
			if err != nil {
				return
			}
			continue
		}
		if n > 0 {
			_, _ = to.Write(buffer[:n]) // a failure shows in the next read
		}
		if err != nil {
			to.Close()
			from.Close()
			return
		}
	}
}

// hush makes all present connections silent for good. New ones work.
func (l *links) hush() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, k := range l.open {
		k.hushed.Store(true)
	}
	return len(l.open)
}

func (w *world) note(format string, args ...any) {
	fmt.Fprintf(w.record, "%7.3f %s\n", time.Since(w.began).Seconds(), fmt.Sprintf(format, args...))
}

// run is a task at work, and then an end that is listed.
type run struct {
	task  string
	index int
	n     int64
	seq   int64
	how   string
	began time.Time
	lasts time.Duration // 0 without an end of its own
}

// percent returns how far a run is. A task that lasts is at work at once.
func (x *run) percent() int {
	if x.lasts == 0 {
		return 100
	}
	return int(min(100*time.Since(x.began)/x.lasts, 99))
}

// runner is a stand-in for a runner of the service.
type runner struct {
	w       *world
	id      string
	zone    string
	address string
	up      bool
	started time.Time
	fence   int64
	runs    map[string]*run
	lastRun map[string]int64
	ends    []*run
	seq     int64
	lease   time.Time
	wake    chan struct{}
}

func (r *runner) clock() int64 { return time.Since(r.started).Milliseconds() }

// start begins a life of the runner, which may have the id of the one before.
func (r *runner) start() {
	r.up, r.started, r.fence, r.seq, r.lease = true, time.Now(), 0, 0, time.Time{}
	r.runs, r.lastRun, r.ends, r.wake = make(map[string]*run), make(map[string]int64), nil, make(chan struct{})
}

// crash ends a life: nothing runs any more, and nothing is sent.
func (r *runner) crash() {
	for _, x := range r.runs {
		r.w.last[x.index] = time.Now()
	}
	r.up, r.runs = false, nil
	close(r.wake)
	r.wake = make(chan struct{})
}

// report writes the runner's entry. The caller holds the lock.
func (r *runner) report() {
	entry := map[string]any{
		"service": "alpha", "address": r.address, "zone": r.zone, "version": "1", "slots": 8, "state": "ready", "sequence": r.clock(),
		"born": r.started.UnixMilli(), "capacity": map[string]int{"cpu": room, "memMb": 32768}, "labels": []string{"a", "r1"},
	}
	data, err := json.Marshal(entry)
	if err != nil {
		panic(err)
	}
	r.w.table.Put(glade.PartitionRow{Table: "servers", Key: r.id, Value: data})
}

// listed keeps the entry of a runner: it is removed after three check-ins of silence.
func (r *runner) listed(ctx context.Context) {
	silent := 0
	for ctx.Err() == nil {
		r.w.mu.Lock()
		up := r.up
		if up {
			r.report()
		}
		r.w.mu.Unlock()
		if up {
			silent = 0
		} else if silent++; silent == 3 {
			r.w.table.Put(glade.PartitionRow{Table: "servers", Key: r.id, Deleted: true})
		}
		time.Sleep(beat)
	}
}

// expire kills what runs when the lease is over.
func (r *runner) expire(ctx context.Context) {
	for ctx.Err() == nil {
		r.w.mu.Lock()
		for _, x := range r.runs {
			if time.Now().After(r.lease) {
				r.end(x, "lapsed")
			}
		}
		r.w.mu.Unlock()
		time.Sleep(10 * time.Millisecond)
	}
}

func (r *runner) end(x *run, how string) {
	if r.runs[x.task] != x {
		return
	}
	delete(r.runs, x.task)
	r.seq++
	r.lastRun[x.task], x.seq, x.how = max(r.lastRun[x.task], x.n), r.seq, how
	r.ends = append(r.ends, x)
	r.w.last[x.index] = time.Now()
	if !r.w.quiet {
		r.w.note("runner %s: run %d of task %d has ended as %s", r.id, x.n, x.index, how)
	}
	close(r.wake)
	r.wake = make(chan struct{})
}

type order struct {
	Task     string `json:"task"`
	Run      int64  `json:"run"`
	Deadline int64  `json:"deadlineMs"`
	Fence    int64  `json:"fencingToken"`
	Seen     int64  `json:"lastSeen"`
	Wait     int64  `json:"waitMs"`
}

func answer(out http.ResponseWriter, status int, body map[string]any) {
	data, err := json.Marshal(body)
	if err != nil {
		panic(err)
	}
	out.Header().Set("Content-Type", "application/json")
	out.WriteHeader(status)
	_, _ = out.Write(data) // a caller that is gone needs none
}

// ServeHTTP carries an order out. A runner that is down answers nothing.
func (r *runner) ServeHTTP(out http.ResponseWriter, in *http.Request) {
	var o order
	if err := json.NewDecoder(in.Body).Decode(&o); err != nil {
		out.WriteHeader(http.StatusBadRequest)
		return
	}
	r.w.mu.Lock()
	defer r.w.mu.Unlock()
	life := r.started
	if !r.up {
		r.silence(in)
		return
	}
	if id := in.Header.Get("X-Indigoglade-Expect-Instance"); id != "" && id != r.id {
		out.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	body := map[string]any{"clockMs": r.clock(), "born": r.started.UnixMilli()}
	if o.Fence < r.fence {
		body["reason"] = "fence"
		answer(out, http.StatusConflict, body)
		return
	}
	r.fence = o.Fence
	if o.Deadline > 0 {
		until := r.started.Add(time.Duration(o.Deadline) * time.Millisecond)
		if longest := time.Now().Add(holdMax); until.After(longest) {
			until = longest
		}
		if until.After(r.lease) {
			r.lease = until
		}
	}
	switch in.URL.Path {
	case "/run-start":
		if reason := r.startRun(o); reason != "" {
			body["reason"] = reason
			answer(out, http.StatusConflict, body)
			return
		}
	case "/run-stop":
		if x := r.runs[o.Task]; x != nil && x.n <= o.Run {
			r.end(x, "stopped")
		}
		r.lastRun[o.Task] = max(r.lastRun[o.Task], o.Run)
	case "/hold":
		r.acknowledge(o.Seen)
		if len(r.ends) == 0 && o.Wait > 0 {
			wake := r.wake
			r.w.mu.Unlock()
			select {
			case <-wake:
			case <-in.Context().Done():
			case <-time.After(time.Duration(o.Wait) * time.Millisecond):
			}
			r.w.mu.Lock()
		}
		if !r.up || !r.started.Equal(life) {
			r.silence(in)
			return
		}
		r.list(body)
	}
	answer(out, http.StatusOK, body)
}

// silence waits until the caller has given up. The lock is released meanwhile.
func (r *runner) silence(in *http.Request) {
	r.w.mu.Unlock()
	defer r.w.mu.Lock()
	<-in.Context().Done()
}

func (r *runner) list(body map[string]any) {
	running, ended := [][]any{}, [][]any{}
	for _, x := range r.runs {
		running = append(running, []any{x.task, x.n, "", x.percent(), r.w.step.CPU})
	}
	for _, x := range r.ends[:min(len(r.ends), 500)] {
		ended = append(ended, []any{x.seq, x.task, x.n, x.how, ""})
	}
	body["clockMs"], body["running"], body["ended"] = r.clock(), running, ended
}

func (r *runner) acknowledge(seen int64) {
	for len(r.ends) > 0 && r.ends[0].seq <= seen {
		if r.ends[0].how == "failed" {
			r.w.failed[r.ends[0].index]++
		}
		r.ends = r.ends[1:]
	}
}

func (r *runner) startRun(o order) (refused string) {
	w := r.w
	switch x := r.runs[o.Task]; {
	case x != nil && x.n == o.Run:
		return ""
	case x != nil || o.Run <= r.lastRun[o.Task]:
		return "old"
	case o.Deadline < r.clock():
		return "late"
	}
	index, err := strconv.Atoi(o.Task[strings.LastIndex(o.Task, ".")+1:])
	if err != nil {
		return "old"
	}
	x := &run{task: o.Task, index: index, n: o.Run, began: time.Now()}
	r.runs[o.Task] = x
	w.starts[index]++
	if !w.quiet || index == w.traced {
		w.note("runner %s: run %d of task %d has begun, its start %d", r.id, o.Run, index, w.starts[index])
	}
	if most := w.failed[index]; most >= maxAttempts {
		w.late = append(w.late, fmt.Sprintf("task %d was started as run %d after %d of its runs had ended as failed", index, o.Run, most))
		w.note("runner %s: %s", r.id, w.late[len(w.late)-1])
	}
	if how, after := w.outcome(index, w.starts[index]); how != "" {
		x.lasts = after
		time.AfterFunc(after, func() {
			w.mu.Lock()
			defer w.mu.Unlock()
			if how == "crash" {
				w.crash(r, x)
				return
			}
			r.end(x, how)
		})
	}
	return ""
}

const backAfter = 4 * time.Second // a crashed runner's time away

// crash lets a run crash its runner, which is back after some seconds. The caller holds the lock.
func (w *world) crash(r *runner, x *run) {
	if r.runs[x.task] != x {
		return
	}
	r.crash()
	w.crashes++
	w.note("runner %s has crashed under run %d of task %d: crash %d", r.id, x.n, x.index, w.crashes)
	time.AfterFunc(backAfter, func() {
		w.mu.Lock()
		defer w.mu.Unlock()
		r.start()
		r.report()
		w.note("runner %s is back", r.id)
	})
}

// isRunning reports whether a task is at work on a runner that is up. The caller holds the lock.
func (w *world) isRunning(index int) *runner {
	for _, r := range w.runners {
		for _, x := range r.runs {
			if x.index == index {
				return r
			}
		}
	}
	return nil
}

// processes guards the start and the end of all processes.
var processes sync.Mutex

// proc is a process of the product.
type proc struct {
	name, ip, zone string
	settings, log  string // paths
	command        *exec.Cmd
}

// start starts the process with the command of the deploy file.
func (p *proc) start(w *world) error {
	processes.Lock()
	defer processes.Unlock()
	if w.ended {
		return errors.New("the scene has ended")
	}
	out, err := os.OpenFile(p.log, os.O_APPEND|os.O_CREATE|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer out.Close()
	command := exec.Command(w.program)
	command.Env = append(os.Environ(), "INDIGOGLADE_SETTINGS="+p.settings)
	command.Stdout, command.Stderr = out, out
	if err := command.Start(); err != nil {
		return err
	}
	p.command = command
	return nil
}

// kill ends the process, which is not started again.
func (p *proc) kill() {
	processes.Lock()
	defer processes.Unlock()
	p.killLocked()
}

// killLocked is kill for a caller that holds processes.
func (p *proc) killLocked() {
	if p.command != nil {
		_ = p.command.Process.Signal(syscall.SIGKILL) // it may have ended
		_ = p.command.Wait()
		p.command = nil
	}
}

// addProc adds a process with settings like those of the deploy file's template, and starts it.
func (w *world) addProc(i int, dir, store string) error {
	name := fmt.Sprintf("front-%d", i+1)
	p := &proc{
		name: name, ip: fmt.Sprintf("%s%d", w.prefix, i+1), zone: fmt.Sprintf("z%d", i%zones),
		settings: filepath.Join(dir, name+".json"), log: filepath.Join(dir, name+".log"),
	}
	settings, err := json.Marshal(map[string]any{
		"name": p.name, "zone": p.zone, "ip": p.ip, "front": p.ip + ":8624", "ready": p.ip + ":8622", "ports": []int{7060, 7075},
		"store": store, "cloud": w.inventory, "memory": 284, "files": 4100, "share": 0.4, "cores": 1, "link": 1000,
		"bounds": map[string]any{
			"graceS": 6, "holdMaxMs": holdMax.Milliseconds(), "status_s": 120, "stopTimeoutMs": 200, "restoreMs": 250, "moveS": 1.5, "maintenanceS": 2,
			"fencingEnabled": true, "leaseMs": 3000, "remoteFactor": 3,
		},
	})
	if err != nil {
		return err
	}
	if err := os.WriteFile(p.settings, settings, 0o600); err != nil {
		return err
	}
	processes.Lock()
	w.procs = append(w.procs, p)
	processes.Unlock()
	return p.start(w)
}

// leader returns the process that leads the service, by the row of its term.
func (w *world) leader() *proc {
	row, err := w.table.Get(context.Background(), "term", "alpha", "it")
	var term struct {
		Node string `json:"node"`
	}
	if err != nil || json.Unmarshal(row.Value, &term) != nil {
		return nil
	}
	for _, p := range w.procs {
		if p.name == term.Node && p.command != nil {
			return p
		}
	}
	return nil
}

// call sends one call of a caller to the first process that is up, and returns the status and the body of the answer.
func (w *world) call(method, path string, body []byte) (int, string) {
	for _, p := range w.procs {
		if p.command == nil {
			continue
		}
		ctx, cancel := context.WithTimeout(context.Background(), 3*time.Second)
		defer cancel()
		request, err := http.NewRequestWithContext(ctx, method, "http://"+p.ip+":8624"+path, bytes.NewReader(body))
		if err != nil {
			panic(err)
		}
		request.Host = "quotes.example"
		request.Header.Set("X-Indigoglade-Deadline-Ms", "3000")
		response, err := http.DefaultClient.Do(request)
		if err != nil {
			return 0, err.Error()
		}
		defer response.Body.Close()
		data, err := io.ReadAll(response.Body)
		if err != nil {
			return 0, err.Error()
		}
		return response.StatusCode, string(data)
	}
	return 0, "no process is up"
}

const jobPath = "/quotes/5c0e7a21d94b36f8"

// submit hands the job in, and reports whether it was accepted.
func (w *world) submit(s step) bool {
	w.mu.Lock()
	w.step = s
	w.mu.Unlock()
	body, err := json.Marshal(map[string]any{"spec": "review", "steps": []step{s}})
	if err != nil {
		panic(err)
	}
	for range 10 {
		status, text := w.call(http.MethodPost, jobPath, body)
		w.note("caller: POST %s -> %d %s", body, status, text)
		if status == http.StatusOK {
			return true
		}
		time.Sleep(time.Second)
	}
	return false
}

func (w *world) serve(address string, handler http.Handler) (string, error) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return "", err
	}
	server := &http.Server{Handler: handler, ReadHeaderTimeout: time.Minute}
	go func() { _ = server.Serve(listener) }() // ends with this process
	return listener.Addr().String(), nil
}

// freePrefix returns the first three numbers of loopback addresses whose ports are free; "" if none are.
func freePrefix() string {
	for range 100 {
		prefix := fmt.Sprintf("127.%d.%d.", 60+rand.IntN(150), 1+rand.IntN(250))
		free := true
		for i := range nodes {
			for _, port := range []int{8624, 8622, 7060, 7075} {
				listener, err := net.Listen("tcp", fmt.Sprintf("%s%d:%d", prefix, i+1, port))
				if err != nil {
					free = false
					continue
				}
				listener.Close()
			}
		}
		if free {
			return prefix
		}
	}
	return ""
}

// open starts the stand-ins and the product's processes.
func (w *world) open(ctx context.Context, dir string) error {
	if w.prefix = freePrefix(); w.prefix == "" {
		return errors.New("no free loopback addresses")
	}
	view := fake.NewStore(fake.StoreConfig{PartitionedTable: w.table, Clock: clock.System{}}).NewView(nil)
	behind, err := w.serve(w.prefix+"200:0", view)
	if err != nil {
		return err
	}
	store, err := w.toStore.listen(w.prefix+"201:0", behind)
	if err != nil {
		return err
	}
	if w.inventory, err = w.serve(w.prefix+"202:0", http.HandlerFunc(w.listMachines)); err != nil {
		return err
	}
	for i := range runners {
		r := &runner{w: w, id: fmt.Sprintf("i-%d", i+1), zone: fmt.Sprintf("z%d", i%zones)}
		r.start()
		behind, err := w.serve(fmt.Sprintf("%s%d:0", w.prefix, 20+i), r)
		if err != nil {
			return err
		}
		if r.address, err = w.toRunners.listen(fmt.Sprintf("%s%d:0", w.prefix, 20+i), behind); err != nil {
			return err
		}
		w.runners = append(w.runners, r)
		go r.listed(ctx)
		go r.expire(ctx)
	}
	manifest, err := json.Marshal(map[string]any{
		"version": 3, "limits": map[string]int{"maxBodyBytes": 65536}, "services": []any{map[string]string{"name": "alpha"}},
		"routes": []any{map[string]any{
			"name": "quotes", "host": "quotes.example", "pathPrefix": "/quotes/", "service": "alpha", "timeoutMs": 3000,
			"targetLatencyMs": 600, "maxAttempts": maxAttempts, "stretch": 1.6,
		}},
	})
	if err != nil {
		return err
	}
	w.table.Put(glade.PartitionRow{Table: "op", Key: "config", Value: manifest})
	for i := range nodes {
		if err := w.addProc(i, dir, store); err != nil {
			return err
		}
	}
	return nil
}

// end kills all processes, and lets none start any more.
func (w *world) end() {
	processes.Lock()
	defer processes.Unlock()
	w.ended = true
	for _, p := range w.procs {
		p.killLocked()
	}
}

func main() {
	scene := flag.String("scene", "", "orphan, budget, cancel or deadly")
	program := flag.String("node", "target/node", "the product's program")
	recordPath := flag.String("record", "record.txt", "file that gets what was sent, answered and run")
	flag.Parse()
	os.Exit(play(*scene, *program, *recordPath, os.Getenv("TROUBLE") != "0"))
}

func play(scene, program, recordPath string, trouble bool) int {
	record, err := os.Create(recordPath)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return cannotRun
	}
	defer record.Close()
	dir, err := os.MkdirTemp("", "stand3")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return cannotRun
	}
	if os.Getenv("KEEP") == "" {
		defer os.RemoveAll(dir)
	} else {
		fmt.Println("logs are kept in", dir)
	}
	w := &world{
		began: time.Now(), table: memory.NewPartitionedTable(), record: record, starts: make(map[int]int), failed: make(map[int]int),
		last: make(map[int]time.Time), outcome: func(int, int) (string, time.Duration) { return "", 0 },
		program: program,
	}
	play, ok := map[string]func(*world, bool) int{"orphan": (*world).orphan, "budget": (*world).budget, "cancel": (*world).cancel, "deadly": (*world).deadly}[scene]
	if !ok {
		fmt.Fprintln(os.Stderr, "no such scene")
		return cannotRun
	}
	ctx, stop := context.WithCancel(context.Background())
	defer stop()
	defer w.end()
	go func() {
		signals := make(chan os.Signal, 1)
		signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT, syscall.SIGHUP)
		<-signals
		w.end()
		os.RemoveAll(dir)
		os.Exit(cannotRun)
	}()
	if err := w.open(ctx, dir); err != nil {
		fmt.Fprintln(os.Stderr, err)
		return cannotRun
	}
	time.Sleep(3 * time.Second)
	return play(w, trouble)
}

// orphan has a job whose tasks last. A runner with one of them is lost for good, and some seconds later the machine of the
// service's leader. No task may be without a run from 9 s after its last run on, if the 7 s before that are calm.
func (w *world) orphan(trouble bool) int {
	const (
		tasks    = 6
		settled  = 12 * time.Second // also the longest lease of before is over
		gap      = 4 * time.Second
		watched  = 20 * time.Second
		unrunFor = 9 * time.Second // 6 s after its last run, and the 3 s
		calmFor  = 7 * time.Second
	)
	if !w.submit(step{Count: tasks, CPU: 600, EstimatedMs: 1000, LongRunning: true, MayMiss: 1, Spread: 1}) {
		return cannotRun
	}
	time.Sleep(settled)
	w.mu.Lock()
	lost := w.isRunning(0)
	w.mu.Unlock()
	if lost == nil {
		return cannotRun
	}
	lastTrouble := time.Now()
	if trouble {
		w.mu.Lock()
		lost.crash()
		w.note("trouble: runner %s, which ran task 0, is lost for good", lost.id)
		w.mu.Unlock()
		time.Sleep(gap)
		p := w.leader()
		if p == nil {
			return cannotRun
		}
		p.kill()
		lastTrouble = time.Now()
		w.note("trouble: machine %s, which led the service, is removed for good", p.name)
	}
	worst := time.Duration(0)
	for end := time.Now().Add(watched); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		w.mu.Lock()
		for i := range tasks {
			if w.isRunning(i) == nil && time.Since(lastTrouble) > calmFor {
				worst = max(worst, time.Since(w.last[i]))
			}
		}
		w.mu.Unlock()
	}
	status, text := w.call(http.MethodGet, jobPath, nil)
	w.note("caller: GET -> %d %s", status, text)
	w.note("longest time without a run of a task that lasts, seen after %s of calm: %.2f s; at most %s are allowed", calmFor, worst.Seconds(), unrunFor)
	if worst > unrunFor {
		return broken
	}
	return held
}

// budget has a job of many tasks whose first runs fail by their own fault, and one task that always fails. The process
// that leads the service is killed when that one has failed twice. After three failures it may not start again.
func (w *world) budget(trouble bool) int {
	const (
		tasks   = 700
		hopeful = 12 * time.Second // the second run of a task that can be done
		watched = 40 * time.Second
	)
	w.quiet, w.traced = true, tasks-1
	w.outcome = func(index, n int) (string, time.Duration) {
		switch {
		case index == tasks-1:
			return "failed", 3 * time.Second
		case n == 1:
			return "failed", time.Second
		}
		return "done", hopeful
	}
	if !w.submit(step{Count: tasks, CPU: 80, EstimatedMs: 3000}) {
		return cannotRun
	}
	failures := func() int {
		w.mu.Lock()
		defer w.mu.Unlock()
		return w.failed[tasks-1]
	}
	starts := func() int {
		w.mu.Lock()
		defer w.mu.Unlock()
		return w.starts[tasks-1]
	}
	end := time.Now().Add(watched)
	for failures() < maxAttempts-1 && time.Now().Before(end) {
		time.Sleep(10 * time.Millisecond)
	}
	w.note("%d failures of task %d are taken note of", failures(), tasks-1)
	if trouble {
		time.Sleep(time.Second)
		p := w.leader()
		if p == nil {
			return cannotRun
		}
		p.kill()
		w.note("trouble: process %s, which led the service, is killed", p.name)
		time.Sleep(time.Second)
		if err := p.start(w); err != nil {
			return cannotRun
		}
		w.note("process %s is started again", p.name)
	}
	for state := ""; time.Now().Before(end) && !strings.Contains(state, "failed"); time.Sleep(500 * time.Millisecond) {
		var status int
		status, state = w.call(http.MethodGet, jobPath, nil)
		w.note("caller: GET -> %d %s; task %d was started %d times, and %d failures are taken note of", status, state, tasks-1, starts(), failures())
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.note("task %d was started %d times; %d starts after %d failures", tasks-1, w.starts[tasks-1], len(w.late), maxAttempts)
	if len(w.late) > 0 {
		return broken
	}
	return held
}

// cancel has a job whose tasks last, and a job of short tasks on all runners. The open channels to the runners go silent for
// good. After some seconds without any trouble the job is cancelled: its tasks have to be gone in time.
func (w *world) cancel(trouble bool) int {
	const (
		tasks    = 6
		perEach  = 8 // short tasks on each runner
		calm     = 10 * time.Second
		watched  = 12 * time.Second
		stopTime = 200 * time.Millisecond // stopTimeoutMs
		cancels  = 3 * time.Second        // cancel_ms
	)
	if !w.submit(step{Count: tasks, CPU: 600, EstimatedMs: 1000, LongRunning: true, MayMiss: 1, Spread: 1}) {
		return cannotRun
	}
	time.Sleep(8 * time.Second)
	body, err := json.Marshal(map[string]any{"spec": "review", "steps": []step{{Count: perEach * runners, CPU: 100, EstimatedMs: 300, Spread: perEach}}})
	if err != nil {
		panic(err)
	}
	w.mu.Lock()
	w.quiet, w.traced = true, -1
	w.outcome = func(int, int) (string, time.Duration) { return "done", 300 * time.Millisecond }
	w.mu.Unlock()
	status, text := w.call(http.MethodPost, "/quotes/5c0e7a21d94b36f9", body)
	w.note("caller: POST %s -> %d %s", body, status, text)
	time.Sleep(3 * time.Second)
	if trouble {
		w.note("trouble: %d open channels to runners go silent for good", w.toRunners.hush())
	}
	time.Sleep(calm)
	w.mu.Lock()
	w.quiet = false
	w.mu.Unlock()
	status, text = w.call(http.MethodDelete, jobPath, nil)
	acknowledged := time.Now()
	w.note("caller: DELETE -> %d %s", status, text)
	if status != http.StatusOK {
		return cannotRun
	}
	last := time.Duration(0)
	for end := time.Now().Add(watched); time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
		w.mu.Lock()
		for i := range tasks {
			if w.isRunning(i) != nil {
				last = time.Since(acknowledged)
			}
		}
		w.mu.Unlock()
	}
	w.note("the last task of the cancelled job ran until %.2f s after the acknowledgement; %s are allowed", last.Seconds(), cancels+stopTime)
	if last > cancels+stopTime {
		return broken
	}
	return held
}

// deadly has a job of one task that crashes each runner that starts it. The process that leads the service is killed after
// the third, the fourth and the fifth crash. The task may not be started three times more after three crashes.
func (w *world) deadly(trouble bool) int {
	const (
		lives    = 2 * time.Second // the task's time until it crashes its runner
		lag      = 300 * time.Millisecond
		away     = 2 * time.Second // a killed process's time until it is started again
		allowed  = 3               // crashes, after which fewer than tooMany starts may follow
		tooMany  = 3
		lastKill = 5 // crashes
		watched  = 80 * time.Second
	)
	after := 0
	disturbed := make(map[*proc]time.Time) // killed or started again
	w.outcome = func(int, int) (string, time.Duration) {
		p := w.leader()
		if w.crashes >= allowed && p != nil && time.Since(disturbed[p]) > contact {
			after++
			w.note("process %s, in touch, starts the task after %d crashes", p.name, w.crashes)
		}
		return "crash", lives
	}
	if !w.submit(step{Count: 1, CPU: 600, EstimatedMs: 4000}) {
		return cannotRun
	}
	var killed *proc
	killedAt, seen, asked := time.Time{}, 0, time.Now()
	for end := time.Now().Add(watched); time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
		w.mu.Lock()
		crashes := w.crashes
		w.mu.Unlock()
		if trouble && crashes > seen && crashes >= allowed && crashes <= lastKill {
			time.Sleep(lag)
			if killed = w.leader(); killed == nil {
				return cannotRun
			}
			killed.kill()
			killedAt = time.Now()
			w.mu.Lock()
			disturbed[killed] = killedAt
			w.mu.Unlock()
			w.note("trouble: process %s, which led the service, is killed", killed.name)
		}
		seen = crashes
		if killed != nil && time.Since(killedAt) > away {
			if err := killed.start(w); err != nil {
				return cannotRun
			}
			w.mu.Lock()
			disturbed[killed] = time.Now()
			w.mu.Unlock()
			w.note("process %s is started again", killed.name)
			killed = nil
		}
		if time.Since(asked) < time.Second {
			continue
		}
		asked = time.Now()
		status, state := w.call(http.MethodGet, jobPath, nil)
		w.note("caller: GET -> %d %s", status, state)
		if strings.Contains(state, "failed") {
			break
		}
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.note("%d runners have crashed under the task; %d starts after %d crashes, fewer than %d are allowed", w.crashes, after, allowed, tooMany)
	if after >= tooMany {
		return broken
	}
	return held
}
