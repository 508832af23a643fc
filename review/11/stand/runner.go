package main

import (
	"encoding/json"
	"fmt"
	"io"
	"log"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// behaviour is what a run does: how long it works, and how it ends.
type behaviour struct {
	work time.Duration
	how  string
	cpu  int64
	mem  int64
}

// run is one run of a task on a runner.
type run struct {
	task    string
	number  int64
	begun   time.Time
	does    behaviour
	timer   *time.Timer
	stopped bool
}

// ended is an end that the runner lists until it is acknowledged.
type ended struct {
	number int64
	task   string
	run    int64
	how    string
}

// runner is a stand-in for one life of a runner, behind an address of its own.
type runner struct {
	fleet    *fleet
	index    int
	id       string
	address  string
	listener net.Listener
	server   *http.Server
	born     time.Time
	stop     chan struct{}

	mu      sync.Mutex
	fence   int64
	until   int64
	runs    map[string]*run
	over    map[string]int64
	ends    []ended
	lastEnd int64
	seen    int64
	changed chan struct{}
	seq     int64
	dead    bool
	// channels is the number of open channels.
	channels atomic.Int64
}

// maxChannels is how many channels a runner has, as on the users' sheets. It resets further ones.
const maxChannels = 64

// limitedListener resets the channels beyond maxChannels.
type limitedListener struct {
	net.Listener
	open *atomic.Int64
}

// countedConn is a channel that counts until it is closed.
type countedConn struct {
	net.Conn
	open   *atomic.Int64
	closed sync.Once
}

// Close implements [net.Conn].
func (c *countedConn) Close() error {
	c.closed.Do(func() { c.open.Add(-1) })
	return c.Conn.Close()
}

// Accept implements [net.Listener].
func (l limitedListener) Accept() (net.Conn, error) {
	for {
		accepted, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		if l.open.Add(1) > maxChannels {
			l.open.Add(-1)
			_ = accepted.(*net.TCPConn).SetLinger(0)
			_ = accepted.Close()
			continue
		}
		return &countedConn{Conn: accepted, open: l.open}, nil
	}
}

// fleet is all runners of a small installation.
type fleet struct {
	record  *record
	store   *store
	service string
	cpu     int64
	mem     int64
	maxHold time.Duration
	perRack int
	// others holds the runners of kind "b"; all others are of kind "a".
	others map[int]bool
	does   func(task, spec string, run int64) behaviour

	runners []*runner

	mu sync.Mutex
	// events holds all starts and ends, in order.
	events []event
}

// event is a start or an end of a run.
type event struct {
	at     time.Time
	start  bool
	task   string
	run    int64
	runner string
	how    string
}

const (
	heartbeat   = 1500 * time.Millisecond
	missedBeats = 3
	stopTime    = 50 * time.Millisecond
	listedEnds  = 500
	serviceName = "glazedesk"
)

func newFleet(rec *record, st *store, size int, cpu, mem int64, perRack int, does func(task, spec string, run int64) behaviour, others ...int) (*fleet, error) {
	f := &fleet{record: rec, store: st, service: serviceName, cpu: cpu, mem: mem, maxHold: 10 * time.Second, perRack: perRack, does: does, runners: make([]*runner, size), others: map[int]bool{}}
	for _, i := range others {
		f.others[i] = true
	}
	for i := range size {
		if err := f.start(i, fmt.Sprintf("i-%08x", 0x7f3a0000+i), "127.0.0.1:0"); err != nil {
			return nil, err
		}
	}
	return f, nil
}

// start starts a runner. It registers at once and with each heartbeat.
func (f *fleet) start(index int, id, address string) error {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return err
	}
	r := &runner{
		fleet: f, index: index, id: id, address: l.Addr().String(), listener: l, born: time.Now(), stop: make(chan struct{}),
		runs: map[string]*run{}, over: map[string]int64{}, changed: make(chan struct{}),
	}
	r.server = &http.Server{Handler: r, ErrorLog: log.New(io.Discard, "", 0)}
	f.runners[index] = r
	go func() { _ = r.server.Serve(limitedListener{l, &r.channels}) }()
	f.record.printf("runner %s up at %s", id, r.address)
	go r.beat()
	go r.watchLease()
	return nil
}

// crash ends a runner for good: its runs and connections are gone, and nothing listens.
func (f *fleet) crash(index int) {
	r := f.runners[index]
	r.mu.Lock()
	r.dead = true
	close(r.stop)
	lost := []string{}
	for name, x := range r.runs {
		x.timer.Stop()
		lost = append(lost, fmt.Sprintf("%s run %d", name, x.number))
		f.note(event{at: time.Now(), task: name, run: x.number, runner: r.id, how: "crashed"})
	}
	r.runs = map[string]*run{}
	r.mu.Unlock()
	_ = r.server.Close()
	f.record.printf("runner %s crashes with %d runs: %s", r.id, len(lost), strings.Join(lost, ", "))
}

func (f *fleet) note(e event) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.events = append(f.events, e)
}

// where returns the index of the runner on which a task runs, -1 if there is none.
func (f *fleet) where(task string) int {
	for i, r := range f.runners {
		r.mu.Lock()
		_, ok := r.runs[task]
		ok = ok && !r.dead
		r.mu.Unlock()
		if ok {
			return i
		}
	}
	return -1
}

// use is what a runner holds.
type use struct{ cpu, mem int64 }

// usage returns the room that is in use on each runner that is up, and the names of all tasks
// that run.
func (f *fleet) usage() (perRunner []use, running map[string]int) {
	running = map[string]int{}
	for _, r := range f.runners {
		r.mu.Lock()
		if !r.dead {
			u := use{}
			for name, x := range r.runs {
				u.cpu += x.does.cpu
				u.mem += x.does.mem
				running[name]++
			}
			perRunner = append(perRunner, u)
		}
		r.mu.Unlock()
	}
	return perRunner, running
}

func (r *runner) clock() int64 { return time.Since(r.born).Milliseconds() }

// beat registers the runner in the store every heartbeat.
func (r *runner) beat() {
	for {
		r.seq++
		kind, rack := "a", fmt.Sprintf("r1-%d", r.index/r.fleet.perRack)
		if r.fleet.others[r.index] {
			kind = "b"
		}
		r.fleet.store.put("servers/"+r.id, map[string]any{
			"service": r.fleet.service, "addr": r.address, "zone": "zone-1", "version": "1.0", "slots": 8, "state": "ready", "cold_left_ms": 0,
			"seq": r.seq, "born": r.born.UnixMilli(), "labels": []string{kind, rack},
			"capacity": map[string]int64{"cpu": r.fleet.cpu, "mem_mb": r.fleet.mem, "gpu": 0},
		})
		select {
		case <-r.stop:
			time.AfterFunc(missedBeats*heartbeat, r.expire)
			return
		case <-time.After(heartbeat):
		}
	}
}

// expire removes the entry of a runner that has been silent.
func (r *runner) expire() {
	r.fleet.store.drop("servers/" + r.id)
	r.fleet.record.printf("entry of runner %s removed", r.id)
}

// watchLease kills everything when the lease ends.
func (r *runner) watchLease() {
	for {
		select {
		case <-r.stop:
			return
		case <-time.After(10 * time.Millisecond):
		}
		r.mu.Lock()
		if r.clock() > r.until && !r.dead {
			for _, x := range r.runs {
				r.finish(x, "lapsed")
			}
		}
		r.mu.Unlock()
	}
}

// extend applies a lease. It never shortens. The caller holds mu.
func (r *runner) extend(until int64) {
	r.until = max(r.until, min(until, r.clock()+r.fleet.maxHold.Milliseconds()))
}

// finish lists the end of a run. The caller holds mu.
func (r *runner) finish(x *run, how string) {
	if r.dead || r.runs[x.task] != x {
		return
	}
	x.timer.Stop()
	delete(r.runs, x.task)
	r.over[x.task] = max(r.over[x.task], x.number)
	r.lastEnd++
	r.ends = append(r.ends, ended{r.lastEnd, x.task, x.number, how})
	r.fleet.note(event{at: time.Now(), task: x.task, run: x.number, runner: r.id, how: how})
	r.fleet.record.printf("runner %s: %s run %d ended %s", r.id, x.task, x.number, how)
	close(r.changed)
	r.changed = make(chan struct{})
}

type order struct {
	Task  string `json:"task"`
	Run   int64  `json:"run"`
	Spec  string `json:"spec"`
	Until int64  `json:"deadline_ms"`
	Fence int64  `json:"fence"`
	Seen  int64  `json:"last_seen"`
	Wait  int64  `json:"wait_ms"`
}

// ServeHTTP implements [http.Handler].
func (r *runner) ServeHTTP(w http.ResponseWriter, q *http.Request) {
	if q.URL.Path == "/health" {
		w.WriteHeader(http.StatusOK)
		return
	}
	if expected := q.Header.Get("X-Expect-Instance"); expected != "" && expected != r.id {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	var in order
	if json.NewDecoder(q.Body).Decode(&in) != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	r.mu.Lock()
	dead := r.dead
	r.mu.Unlock()
	if dead {
		panic(http.ErrAbortHandler)
	}
	switch q.URL.Path {
	case "/run-start":
		r.serveStart(w, in)
	case "/run-stop":
		r.serveStop(w, in)
	case "/hold":
		r.serveHold(w, q, in)
	default:
		w.WriteHeader(http.StatusNotFound)
	}
}

func (r *runner) refuse(w http.ResponseWriter, reason string) {
	reply(w, http.StatusConflict, map[string]any{"clock_ms": r.clock(), "born": r.born.UnixMilli(), "reason": reason})
}

func (r *runner) accept(w http.ResponseWriter) {
	reply(w, http.StatusOK, map[string]any{"clock_ms": r.clock(), "born": r.born.UnixMilli()})
}

func (r *runner) serveStart(w http.ResponseWriter, in order) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if in.Fence < r.fence {
		r.refuse(w, "fence")
		return
	}
	r.fence = in.Fence
	x := r.runs[in.Task]
	switch {
	case in.Until <= r.clock():
		r.refuse(w, "late")
	case in.Run <= r.over[in.Task], x != nil && in.Run < x.number:
		r.extend(in.Until)
		r.refuse(w, "old")
	case x != nil && in.Run == x.number:
		r.extend(in.Until)
		r.accept(w)
	default:
		r.extend(in.Until)
		does := r.fleet.does(in.Task, in.Spec, in.Run)
		x = &run{task: in.Task, number: in.Run, begun: time.Now(), does: does}
		x.timer = time.AfterFunc(does.work, func() {
			r.mu.Lock()
			defer r.mu.Unlock()
			r.finish(x, does.how)
		})
		r.runs[in.Task] = x
		r.fleet.note(event{at: time.Now(), start: true, task: in.Task, run: in.Run, runner: r.id})
		r.fleet.record.printf("runner %s: %s run %d started (fence %d)", r.id, in.Task, in.Run, in.Fence)
		r.accept(w)
	}
}

func (r *runner) serveStop(w http.ResponseWriter, in order) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if in.Fence < r.fence {
		r.refuse(w, "fence")
		return
	}
	r.fence = in.Fence
	x := r.runs[in.Task]
	if x == nil || x.number != in.Run {
		r.over[in.Task] = max(r.over[in.Task], in.Run)
		r.accept(w)
		return
	}
	if !x.stopped {
		x.stopped = true
		time.AfterFunc(stopTime, func() {
			r.mu.Lock()
			defer r.mu.Unlock()
			r.finish(x, "stopped")
		})
	}
	r.accept(w)
}

func (r *runner) serveHold(w http.ResponseWriter, q *http.Request, in order) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if in.Fence < r.fence {
		r.refuse(w, "fence")
		return
	}
	r.fence = in.Fence
	if in.Until > 0 {
		r.extend(in.Until)
	}
	r.seen = max(r.seen, in.Seen)
	for len(r.ends) > 0 && r.ends[0].number <= r.seen {
		r.ends = r.ends[1:]
	}
	if in.Wait > 0 && len(r.ends) == 0 {
		changed := r.changed
		r.mu.Unlock()
		select {
		case <-changed:
		case <-time.After(time.Duration(min(in.Wait, 2000)) * time.Millisecond):
		case <-q.Context().Done():
		case <-r.stop:
		}
		r.mu.Lock()
		if r.dead {
			// A process that has ended sends nothing more.
			panic(http.ErrAbortHandler)
		}
	}
	running, ends := [][]any{}, [][]any{}
	for name, x := range r.runs {
		running = append(running, []any{name, x.number, "", 100, 0})
	}
	for n, e := range r.ends {
		if n < listedEnds {
			ends = append(ends, []any{e.number, e.task, e.run, e.how, ""})
		}
	}
	reply(w, http.StatusOK, map[string]any{"clock_ms": r.clock(), "born": r.born.UnixMilli(), "running": running, "ended": ends})
}
