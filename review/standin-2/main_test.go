//go:build review

// Package standin holds the stand-ins of the second review: form servers, clients and a platform round the agent's own program. It is built as
// a test binary by review/build-2.sh; each script review/N/run.sh starts it with the name of its case.
package standin

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"os/signal"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"
)

// cases maps the names of the cases to their functions. A case returns what broke the rule, empty if nothing did.
var cases = map[string]func(w *world) string{}

func TestMain(m *testing.M) {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: review-standin-2 CASE FOLDER")
		os.Exit(2)
	}
	w, err := newWorld(os.Args[2])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(2)
	}
	code := w.run(cases[os.Args[1]])
	os.Exit(code)
}

// world is one run of a case.
type world struct {
	trouble bool
	folder  string // temporary
	begun   time.Time
	mu      sync.Mutex
	record  *os.File
	agents  []*agent
	servers []*server
	ids     atomic.Int64
	keys    atomic.Int64
	answers map[string]int
}

// cannotRun ends a run whose case can't be played.
type cannotRun struct{ why string }

func newWorld(folder string) (*world, error) {
	record, err := os.Create(filepath.Join(folder, "record.txt"))
	if err != nil {
		return nil, err
	}
	tmp, err := os.MkdirTemp("", "review-")
	if err != nil {
		return nil, err
	}
	return &world{trouble: os.Getenv("TROUBLE") != "0", folder: tmp, begun: time.Now(), record: record, answers: map[string]int{}}, nil
}

func (w *world) run(play func(*world) string) (code int) {
	defer func() {
		for _, a := range w.agents {
			a.kill()
		}
		os.RemoveAll(w.folder)
		w.record.Close()
	}()
	defer func() {
		if p := recover(); p != nil {
			c, ok := p.(cannotRun)
			if !ok {
				c.why = fmt.Sprint(p)
			}
			w.log("the case can't run: %s", c.why)
			fmt.Println("could not run:", c.why)
			code = 2
		}
	}()
	go func() { // no process is left behind when the run takes too long or is told to end
		told := make(chan os.Signal, 1)
		signal.Notify(told, syscall.SIGTERM, syscall.SIGINT, syscall.SIGHUP)
		select {
		case <-told:
		case <-time.After(112 * time.Second):
		}
		w.mu.Lock()
		for _, a := range w.agents {
			a.cmd.Process.Kill()
		}
		os.Exit(2)
	}()
	broken := play(w)
	w.mu.Lock()
	answers := fmt.Sprint(w.answers)
	w.mu.Unlock()
	w.log("answers to clients: %s", answers)
	if broken != "" {
		w.log("broken: %s", broken)
		fmt.Println("broken:", broken)
		return 1
	}
	w.log("held")
	fmt.Println("held")
	return 0
}

// since returns the time since the start of the run.
func (w *world) since(t time.Time) float64 { return t.Sub(w.begun).Seconds() }

// log writes a line to the record.
func (w *world) log(format string, args ...any) {
	w.mu.Lock()
	defer w.mu.Unlock()
	fmt.Fprintf(w.record, "%8.3f %s\n", time.Since(w.begun).Seconds(), fmt.Sprintf(format, args...))
}

// must ends the run if there is an error.
func must(err error) {
	if err != nil {
		panic(cannotRun{err.Error()})
	}
}

// freePort returns a free loopback address.
func freePort() string {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	must(err)
	defer l.Close()
	return l.Addr().String()
}

// arrival is a request that a server has received.
type arrival struct {
	at              time.Time
	server, id, key string
	agent           string
}

// server is a form server that answers each request after its service time.
type server struct {
	w        *world
	id, addr string
	cell     int
	took     time.Duration
	handler  func(s *server, rw http.ResponseWriter, r *http.Request) bool // reports whether it has answered; may be nil
	http     *http.Server

	mu       sync.Mutex
	arrivals []arrival
}

func (w *world) newServer(id string, cell int) *server { return w.newServerAt("127.0.0.1:0", id, cell) }

func (w *world) newServerAt(addr, id string, cell int) *server {
	l, err := net.Listen("tcp", addr)
	must(err)
	s := &server{w: w, id: id, addr: l.Addr().String(), cell: cell, took: 20 * time.Millisecond}
	s.http = &http.Server{Handler: s}
	go s.http.Serve(l)
	w.servers = append(w.servers, s)
	return s
}

func (s *server) ServeHTTP(rw http.ResponseWriter, r *http.Request) {
	at := time.Now()
	io.Copy(io.Discard, r.Body)
	id := r.Header.Get("X-Correlation-Id")
	if id == "" {
		rw.WriteHeader(http.StatusNotFound)
		return
	}
	s.mu.Lock()
	s.arrivals = append(s.arrivals, arrival{at, s.id, id, r.Header.Get("Idempotency-Key"), r.Header.Get("X-Facts")})
	s.mu.Unlock()
	s.w.log("server %s got %s %s id=%s", s.id, r.Method, r.URL.Path, id)
	if s.handler != nil && s.handler(s, rw, r) {
		return
	}
	time.Sleep(s.took)
	rw.Header().Set("X-Backend-Load", "TEXT util=0.3, qps=20, eps=0")
	rw.Write([]byte("done " + id))
}

// after returns the arrivals later than a time.
func (s *server) after(t time.Time) (late []arrival) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, a := range s.arrivals {
		if a.at.After(t) {
			late = append(late, a)
		}
	}
	return late
}

// entry is a server in discovery's form.
type entry struct {
	ID      string  `json:"id"`
	Addr    string  `json:"addr"`
	Zone    string  `json:"zone"`
	Kind    string  `json:"kind"`
	Cell    int     `json:"cell"`
	State   string  `json:"state"`
	Weight  float64 `json:"weight"`
	Started int64   `json:"started_ms"`
}

func (s *server) entry(state string) entry {
	return entry{s.id, s.addr, "edinburgh-dc", "twin-core", s.cell, state, 1, 0}
}

type list struct {
	Version int64   `json:"version"`
	Full    bool    `json:"full"`
	Servers []entry `json:"servers"`
}

// directory is a discovery service as the protocol page describes it.
type directory struct {
	w    *world
	name string
	addr string
	http *http.Server

	mu      sync.Mutex
	version int64
	now     map[string]entry
	order   []string
	log     []entry // the change at i made version base+i+1
	base    int64
	changed chan struct{}
	crowded bool          // calls wait for patience, then end with 503
	cut     chan struct{} // closed to end all watches
}

const patience = 2500 * time.Millisecond

func (w *world) newDirectory(name string, version int64, entries ...entry) *directory {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	must(err)
	d := &directory{w: w, name: name, addr: l.Addr().String(), version: version, base: version, now: map[string]entry{}, changed: make(chan struct{}), cut: make(chan struct{})}
	for _, e := range entries {
		d.now[e.ID] = e
		d.order = append(d.order, e.ID)
	}
	d.http = &http.Server{Handler: d}
	go d.http.Serve(l)
	return d
}

// change applies a change and tells it on all watches.
func (d *directory) change(entries ...entry) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, e := range entries {
		d.version++
		if e.State == "terminated" {
			delete(d.now, e.ID)
		} else {
			if _, known := d.now[e.ID]; !known {
				d.order = append(d.order, e.ID)
			}
			d.now[e.ID] = e
		}
		d.log = append(d.log, e)
		d.w.log("discovery %s has version %d: %s %s", d.name, d.version, e.ID, e.State)
	}
	close(d.changed)
	d.changed = make(chan struct{})
}

// crowd begins or ends a time in which all calls are given up. All watches end at its beginning.
func (d *directory) crowd(on bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.crowded = on
	if on {
		close(d.cut)
		d.cut = make(chan struct{})
	}
	d.w.log("discovery %s turns callers away: %t", d.name, on)
}

// endWatchesAndForget removes servers, ends all watches without telling, and answers older versions with the whole list from now on.
func (d *directory) endWatchesAndForget(removed ...entry) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, e := range removed {
		d.version++
		delete(d.now, e.ID)
		d.w.log("discovery %s has version %d without %s, which no watch tells", d.name, d.version, e.ID)
	}
	d.base, d.log = d.version, nil
	close(d.cut)
	d.cut = make(chan struct{})
}

func (d *directory) full() list {
	d.mu.Lock()
	defer d.mu.Unlock()
	l := list{Version: d.version, Full: true, Servers: []entry{}}
	for _, id := range d.order {
		if e, ok := d.now[id]; ok {
			l.Servers = append(l.Servers, e)
		}
	}
	return l
}

func (d *directory) since(version int64) (l list, changed, cut chan struct{}) {
	d.mu.Lock()
	changed, cut = d.changed, d.cut
	if version >= d.base && version <= d.version {
		l = list{Version: d.version, Servers: append([]entry{}, d.log[version-d.base:]...)}
		d.mu.Unlock()
		return l, changed, cut
	}
	d.mu.Unlock()
	return d.full(), changed, cut
}

func (d *directory) ServeHTTP(rw http.ResponseWriter, r *http.Request) {
	d.w.log("discovery %s is called: %s", d.name, r.URL)
	d.mu.Lock()
	crowded := d.crowded
	d.mu.Unlock()
	if crowded {
		select {
		case <-time.After(patience):
		case <-r.Context().Done():
			d.w.log("discovery %s: the caller has given up", d.name)
			return
		}
		d.w.log("discovery %s turns the caller away", d.name)
		rw.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	lines := json.NewEncoder(rw)
	if !r.URL.Query().Has("stream") {
		lines.Encode(d.full())
		return
	}
	version := int64(-1)
	fmt.Sscan(r.URL.Query().Get("index"), &version)
	flush := http.NewResponseController(rw).Flush
	for {
		l, changed, cut := d.since(version)
		if l.Full || len(l.Servers) > 0 {
			lines.Encode(l)
			version = l.Version
		}
		flush()
		select {
		case <-changed:
		case <-time.After(2 * time.Second):
			fmt.Fprintln(rw)
		case <-cut:
			panic(http.ErrAbortHandler)
		case <-r.Context().Done():
			return
		}
	}
}

// platform is what an agent is told.
type platform struct {
	name, listen, discovery, ops string
	asked                        bool // discovery is one service for all agents
	known                        list
	me, agents                   int
	seed                         string
	classes                      []any
	peerListen                   string
	peers                        []string
}

func class(name, effect, group string, worth float64) map[string]any {
	c := map[string]any{"Name": name, "Effect": effect, "Group": group, "AimNs": 600000000, "DeadlineNs": 2000000000, "LateWorth": 0.0, "Streamed": false,
		"WindowNs": 2000000000, "Worth": worth}
	return c
}

// config writes the configuration file and returns its path.
func (p platform) config(w *world) string {
	mode := "automatic"
	if p.asked {
		mode = "subscribe"
	}
	if p.classes == nil {
		p.classes = []any{class("form-check", "repeatable", "all", 2), class("refund-record", "by_key", "cell", 10)}
	}
	if p.seed == "" {
		p.seed = "8c1f30d27a5be964"
	}
	settings := map[string]any{
		"Balancers": max(1, p.agents), "Me": p.me, "Classes": p.classes, "Discovery": mode, "Domain": map[string]any{"WarmKeys": true}, "Family": "mesh",
		"Ceilings": map[string]any{"ConnIdleNs": 15000000000, "ConnectTimeoutNs": 250000000, "CpuUsPerRequest": 0.0, "CpuUsPerS": 11927, "MaxRetryAfterNs": 1000000000,
			"MaxStreams": 1, "MayCancel": true, "MostHeld": 29817, "MostTries": 5, "ParallelTries": true, "Peers": len(p.peers) > 0, "Probes": false, "RetryAfter": false},
		"Prices": map[string]any{"LateFail": 0.05, "Waste": 0.1}, "Report": map[string]any{"Fields": []string{"util", "qps", "eps"}, "Via": "piggyback"},
		"Rules": map[string]any{"ColdFrom": 0.32, "ColdNs": 8700000000, "DrainGraceNs": 500000000, "FallNs": 3000000000, "GraceToAnswerNs": 20000000,
			"MustAskInNs": 10000000000, "OverloadFactor": 3.0},
		"Skus": []string{"twin-core", "quad-core"}, "Tenants": []any{map[string]any{"Name": "leith", "Portion": 1.0, "QuotaPerS": 500.0}}, "TickNs": 5000000,
		"Tier": 0, "Tiers": []string{"form-servers"}, "WeightKind": "silent", "WorthBy": "request", "Zone": 0, "Zones": []string{"edinburgh-dc"}}
	text, err := json.MarshalIndent(map[string]any{"name": p.name, "listen": p.listen, "discovery": p.discovery, "seed": p.seed,
		"limits": map[string]any{"cores": 1.0, "memory_mb": 192, "sockets": 1024}, "known": p.known, "settings": settings,
		"peer_listen": p.peerListen, "peers": p.peers}, "", " ")
	must(err)
	path := filepath.Join(w.folder, p.name+".json")
	must(os.WriteFile(path+".new", text, 0o644))
	must(os.Rename(path+".new", path)) // never half written
	return path
}

// agent is one process of the program.
type agent struct {
	w      *world
	what   string
	listen string
	ops    string
	cmd    *exec.Cmd
	ended  chan struct{}
	log    bytes.Buffer
}

// start starts the program by the command of the deploy file, with options where a case needs a part that is off in it.
func (w *world) start(what string, p platform, config, options string) *agent {
	tmp := filepath.Join(w.folder, "tmp-"+p.name) // the two processes of an upgrade share it
	must(os.MkdirAll(tmp, 0o755))
	a := &agent{w: w, what: what, listen: p.listen, ops: p.ops, ended: make(chan struct{})}
	a.cmd = exec.Command("/bin/sh", "-c", strings.TrimSpace("exec bin/ternbeam "+options))
	a.cmd.Env = append(os.Environ(), "NODE_CONFIG="+config, "NODE_NAME="+p.name, "NODE_LISTEN="+p.listen, "NODE_DISCOVERY="+p.discovery, "TMPDIR="+tmp)
	if p.ops != "" {
		a.cmd.Env = append(a.cmd.Env, "NODE_OPS="+p.ops)
	}
	logFile, err := os.Create(filepath.Join(w.folder, what+".log"))
	must(err)
	a.cmd.Stdout, a.cmd.Stderr = logFile, logFile
	must(a.cmd.Start())
	w.log("platform starts %s: %s", what, strings.ReplaceAll(a.cmd.Args[2], w.folder+"/", ""))
	w.mu.Lock()
	w.agents = append(w.agents, a)
	w.mu.Unlock()
	go func() {
		err := a.cmd.Wait()
		text, _ := os.ReadFile(logFile.Name())
		if os.Getenv("KEEP_LOG") != "" {
			os.WriteFile(filepath.Join(os.Getenv("KEEP_LOG"), what+".log"), text, 0o644)
		}
		w.log("%s has ended: %v", what, err)
		close(a.ended)
	}()
	return a
}

func (a *agent) signal(s syscall.Signal) {
	a.w.log("platform sends %s %v", a.what, s)
	a.cmd.Process.Signal(s)
}

// kill ends the process, if it has not ended.
func (a *agent) kill() {
	select {
	case <-a.ended:
	default:
		a.cmd.Process.Kill()
		<-a.ended
	}
}

func (a *agent) hasEnded() bool {
	select {
	case <-a.ended:
		return true
	default:
		return false
	}
}

// ready waits until the process says yes, at its second address if it has one.
func (a *agent) ready(within time.Duration) bool {
	url := "http://" + a.listen + "/ready"
	if a.ops != "" {
		url = "http://" + a.ops + "/control/ready"
	}
	for end := time.Now().Add(within); time.Now().Before(end) && !a.hasEnded(); time.Sleep(20 * time.Millisecond) {
		if status, _ := call(http.MethodGet, url); status == http.StatusOK {
			a.w.log("%s says that it is ready", a.what)
			return true
		}
	}
	return false
}

// call makes one call on a connection of its own.
func call(method, url string) (status int, body string) {
	ctx, cancel := context.WithTimeout(context.Background(), 2*time.Second)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, method, url, nil)
	must(err)
	req.Close = true
	resp, err := http.DefaultTransport.RoundTrip(req)
	if err != nil {
		return 0, err.Error()
	}
	defer resp.Body.Close()
	text, _ := io.ReadAll(resp.Body)
	return resp.StatusCode, string(text)
}

// clients sends requests to an address at a steady rate until ctx ends: two form-checks to one refund-record.
func (w *world) clients(ctx context.Context, name, addr string, perSecond int) {
	transport := &http.Transport{MaxIdleConnsPerHost: 64}
	ticker := time.NewTicker(time.Second / time.Duration(perSecond))
	defer ticker.Stop()
	for n := 0; ; n++ {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		go w.request(transport, name, addr, n%3 == 2)
	}
}

func (w *world) request(transport *http.Transport, name, addr string, record bool) {
	id := fmt.Sprintf("%016x", w.ids.Add(1))
	method, what := http.MethodGet, "form-check"
	if record {
		method, what = http.MethodPost, "refund-record"
	}
	var body io.Reader
	if record {
		body = strings.NewReader("refund " + id)
	}
	ctx, cancel := context.WithTimeout(context.Background(), 3*time.Second)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, method, "http://"+addr+"/"+what+"/f"+id[12:], body)
	must(err)
	req.Header.Set("X-Correlation-Id", id)
	req.Header.Set("X-Service-Class", what)
	req.Header.Set("X-Account", "leith")
	req.Header.Set("X-Time-Left", "2.000")
	req.Header.Set("X-Facts", "agent="+name)
	if record {
		req.Header.Set("Idempotency-Key", fmt.Sprintf("%032x", w.keys.Add(1)))
	}
	answer := ""
	resp, err := transport.RoundTrip(req)
	if err != nil {
		answer = "no answer: " + err.Error()
	} else {
		text, err := io.ReadAll(resp.Body)
		resp.Body.Close()
		answer = fmt.Sprint(resp.StatusCode)
		if err != nil {
			answer = "cut off"
		} else if resp.StatusCode == 200 && string(text) != "done "+id {
			answer = "foreign answer"
		}
	}
	w.mu.Lock()
	w.answers[answer]++
	w.mu.Unlock()
	w.log("client of %s: %s %s -> %s", name, what, id, answer)
}

// fleet starts form servers in cells of four.
func (w *world) fleet(n int) (all []*server, entries []entry) {
	for i := range n {
		s := w.newServer(fmt.Sprintf("s-%d", i+1), i/4)
		all, entries = append(all, s), append(entries, s.entry("in_service"))
	}
	return all, entries
}
