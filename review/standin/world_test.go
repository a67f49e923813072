//go:build review

// Command standin is, for the cases of the review, the platform, the backends, discovery and the clients of one agent. The file names
// end in _test.go and the build tag keeps them out of the default build and test run; review/build.sh builds them.
package standin

import (
	"bufio"
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

// world is one run of a case: the stand-ins, the agent, and the record of what happened.
type world struct {
	start  time.Time
	dir    string // temporary folder, removed at the end
	mu     sync.Mutex
	record *bufio.Writer
	broken []string // how the rule was broken

	sent     map[string]bool   // ids that clients have sent
	made     map[string]string // body of the 200 answer, by id and server
	attempts []*attempt

	agents   []*agent
	backends []*backend
	lists    []*list
}

// attempt is one request that a backend has received whole.
type attempt struct {
	id, class, server, key string
	cell                   int
	first, last            time.Duration // of its bytes, since the start
	ended                  time.Duration // when the agent closed the connection of one that got no answer
	timeLeft               float64       // as told by the agent
	body                   int
	number                 int  // among the attempts of its id, from 1
	neverRan               bool // answered as not processed
	cutOff                 bool // the agent closed the connection while the answer was given
}

func newWorld(recordPath string) (*world, error) {
	f, err := os.Create(recordPath)
	if err != nil {
		return nil, err
	}
	dir, err := os.MkdirTemp("", "review")
	if err != nil {
		return nil, err
	}
	return &world{start: time.Now(), dir: dir, record: bufio.NewWriter(f), sent: map[string]bool{}, made: map[string]string{}}, nil
}

func (w *world) now() time.Duration { return time.Since(w.start) }

// note writes one line to the record.
func (w *world) note(format string, args ...any) {
	w.mu.Lock()
	defer w.mu.Unlock()
	fmt.Fprintf(w.record, "%8.3f  %s\n", w.now().Seconds(), fmt.Sprintf(format, args...))
}

// breaks records that the rule was broken.
func (w *world) breaks(format string, args ...any) {
	text := fmt.Sprintf(format, args...)
	w.note("BROKEN: %s", text)
	w.mu.Lock()
	defer w.mu.Unlock()
	w.broken = append(w.broken, text)
}

// close ends all that the world has started.
func (w *world) close() {
	for _, a := range w.agents {
		a.kill()
	}
	for _, b := range w.backends {
		b.close()
	}
	for _, l := range w.lists {
		l.listener.Close()
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.record.Flush()
	os.RemoveAll(w.dir)
}

// reply is what a backend does with a request.
type reply struct {
	after  time.Duration
	status int
	header string // further header lines, each with its line break
	body   string
	silent bool          // no answer; the connection stays open
	reset  bool          // resets the connection in place of an answer
	again  time.Duration // sends the same answer once more after this time
	pieces []piece       // the body, in place of body
	close  bool          // the answer has no length; its end is that of the connection
}

// piece is a part of a body, which is written after a pause.
type piece struct {
	after time.Duration
	bytes int
}

// backend is one server of the fleet.
type backend struct {
	w        *world
	id       string
	cell     int
	started  int64
	listener net.Listener
	serve    func(*attempt) reply
	idle     time.Duration // closes connections that are idle for this long
	mu       sync.Mutex
	conns    map[net.Conn]bool
}

func (w *world) backend(id string, cell int, serve func(*attempt) reply) *backend {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		panic(err)
	}
	b := &backend{w: w, id: id, cell: cell, listener: l, serve: serve, idle: 15 * time.Second, conns: map[net.Conn]bool{}}
	w.backends = append(w.backends, b)
	go b.accept(l)
	return b
}

func (b *backend) accept(l net.Listener) {
	for {
		c, err := l.Accept()
		if err != nil {
			return
		}
		b.mu.Lock()
		b.conns[c] = true
		b.mu.Unlock()
		go b.handle(c)
	}
}

func (b *backend) close() {
	b.listener.Close()
	b.mu.Lock()
	defer b.mu.Unlock()
	for c := range b.conns {
		c.(*net.TCPConn).SetLinger(0)
		c.Close()
	}
}

func (b *backend) entry(state string) entry {
	return entry{ID: b.id, Addr: b.listener.Addr().String(), Zone: "edinburgh-dc", Kind: "twin-core", Cell: b.cell, State: state, Weight: 1, StartedMS: b.started}
}

// handle serves one connection, one request at a time.
func (b *backend) handle(c net.Conn) {
	defer func() {
		b.mu.Lock()
		delete(b.conns, c)
		b.mu.Unlock()
		c.Close()
	}()
	in := bufio.NewReader(c)
	for {
		c.SetReadDeadline(time.Now().Add(b.idle))
		if _, err := in.Peek(1); err != nil {
			return
		}
		first := b.w.now()
		c.SetReadDeadline(time.Time{})
		req, err := http.ReadRequest(in)
		if err != nil {
			return
		}
		body, err := io.ReadAll(req.Body)
		if err != nil {
			b.w.note("backend %s: body of %s broke off after %d bytes", b.id, req.Header.Get("X-Correlation-Id"), len(body))
			return
		}
		left, _ := strconv.ParseFloat(req.Header.Get("X-Time-Left"), 64)
		a := &attempt{id: req.Header.Get("X-Correlation-Id"), class: req.Header.Get("X-Service-Class"), server: b.id, cell: b.cell, key: req.Header.Get("Idempotency-Key"),
			first: first, last: b.w.now(), timeLeft: left, body: len(body), number: 1}
		b.w.mu.Lock()
		known := b.w.sent[a.id]
		for _, other := range b.w.attempts {
			if other.id == a.id {
				a.number++
			}
		}
		b.w.attempts = append(b.w.attempts, a)
		b.w.mu.Unlock()
		b.w.note("backend %s: attempt %d of %s, %d bytes, X-Time-Left %.3f, first byte at %.3f", b.id, a.number, a.id, a.body, left, first.Seconds())
		if !known {
			b.w.breaks("backend %s got a request that no client sent: %q", b.id, a.id)
		}
		r := b.serve(a)
		if r.status == 0 {
			r.status = 200
		}
		if strings.Contains(r.header, "X-Unprocessed: 1") {
			b.w.mu.Lock()
			a.neverRan = true
			b.w.mu.Unlock()
		}
		time.Sleep(r.after)
		if r.silent {
			io.Copy(io.Discard, in)
			b.w.mu.Lock()
			a.ended = b.w.now()
			b.w.mu.Unlock()
			return
		}
		if r.reset {
			c.(*net.TCPConn).SetLinger(0)
			return
		}
		if len(r.pieces) > 0 {
			if !b.give(c, a, r) {
				return
			}
			continue
		}
		if r.body == "" && r.status == 200 {
			r.body = fmt.Sprintf("answer to %s by %s", a.id, b.id)
		}
		if r.status == 200 {
			b.w.mu.Lock()
			b.w.made[a.id+" "+r.body] = b.id
			b.w.mu.Unlock()
		}
		text := fmt.Sprintf("HTTP/1.1 %d %s\r\nContent-Length: %d\r\nX-Backend-Load: TEXT util=0.3, qps=30, eps=0\r\n%s\r\n%s", r.status, http.StatusText(r.status), len(r.body), r.header, r.body)
		b.w.note("backend %s: answers %s with %d", b.id, a.id, r.status)
		if _, err := io.WriteString(c, text); err != nil {
			return
		}
		if r.again > 0 {
			time.AfterFunc(r.again, func() {
				b.w.note("backend %s: sends the answer to %s a second time", b.id, a.id)
				io.WriteString(c, text)
			})
		}
	}
}

// give writes an answer in pieces. It returns false if the connection cannot be used again.
func (b *backend) give(c net.Conn, a *attempt, r reply) bool {
	total := 0
	for _, p := range r.pieces {
		total += p.bytes
	}
	mark := fmt.Sprintf("answer to %s by %s ", a.id, b.id)
	body := strings.Repeat(mark, total/len(mark)+1)[:total]
	b.w.mu.Lock()
	b.w.made[a.id+" "+body] = b.id
	b.w.mu.Unlock()
	head := fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\nX-Backend-Load: TEXT util=0.3, qps=30, eps=0\r\n\r\n", total)
	if r.close {
		head = "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n"
	}
	b.w.note("backend %s: begins the answer to %s, %d bytes in %d pieces", b.id, a.id, total, len(r.pieces))
	gave := 0
	if _, err := io.WriteString(c, head); err != nil {
		return false
	}
	for _, p := range r.pieces {
		gone := make(chan bool, 1)
		go func() { // the agent has nothing to send now: a read ends when it closes the connection
			_, err := c.Read(make([]byte, 1))
			var timeout net.Error
			gone <- !(errors.As(err, &timeout) && timeout.Timeout())
		}()
		time.Sleep(p.after)
		c.SetReadDeadline(time.Unix(1, 0))
		if <-gone {
			b.w.mu.Lock()
			a.cutOff = true
			b.w.mu.Unlock()
			b.w.note("backend %s: the agent has closed the connection after %d of %d bytes of the answer to %s", b.id, gave, total, a.id)
			return false
		}
		c.SetReadDeadline(time.Time{})
		n, err := io.WriteString(c, body[gave:gave+p.bytes])
		gave += n
		if err != nil {
			b.w.mu.Lock()
			a.cutOff = true
			b.w.mu.Unlock()
			b.w.note("backend %s: writing the answer to %s ended after %d of %d bytes: %v", b.id, a.id, gave, total, err)
			return false
		}
	}
	b.w.note("backend %s: the answer to %s is written", b.id, a.id)
	return !r.close
}

// entry is an entry of the list of servers.
type entry struct {
	ID        string  `json:"id"`
	Addr      string  `json:"addr"`
	Zone      string  `json:"zone"`
	Kind      string  `json:"kind"`
	Cell      int     `json:"cell"`
	State     string  `json:"state"`
	Weight    float64 `json:"weight"`
	StartedMS int64   `json:"started_ms"`
}

type changes struct {
	Version int     `json:"version"`
	Full    bool    `json:"full"`
	Servers []entry `json:"servers"`
}

// list is discovery, where lists are pushed.
type list struct {
	w        *world
	name     string
	listener net.Listener
	mu       sync.Mutex
	log      []entry // change number i has version i+1
	base     int     // version before the first of log
	changed  chan struct{}
}

func (w *world) list(name string, base int, entries ...entry) *list {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		panic(err)
	}
	d := &list{w: w, name: name, listener: l, base: base, log: entries, changed: make(chan struct{})}
	w.lists = append(w.lists, d)
	go http.Serve(l, d)
	return d
}

func (d *list) addr() string { return d.listener.Addr().String() }

// set changes entries.
func (d *list) set(entries ...entry) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, e := range entries {
		d.w.note("discovery %s: %s is %s", d.name, e.ID, e.State)
	}
	d.log = append(d.log, entries...)
	close(d.changed)
	d.changed = make(chan struct{})
}

// full returns the whole list.
func (d *list) full() changes {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.fullLocked()
}

func (d *list) fullLocked() changes {
	c := changes{Version: d.base + len(d.log), Full: true, Servers: []entry{}}
	at := map[string]int{}
	for _, e := range d.log {
		i, known := at[e.ID]
		if !known {
			i = len(c.Servers)
			at[e.ID] = i
			c.Servers = append(c.Servers, e)
		}
		c.Servers[i] = e
	}
	kept := c.Servers[:0]
	for _, e := range c.Servers {
		if e.State != "terminated" {
			kept = append(kept, e)
		}
	}
	c.Servers = kept
	return c
}

func (d *list) since(version int) (changes, chan struct{}) {
	d.mu.Lock()
	defer d.mu.Unlock()
	last := d.base + len(d.log)
	if version < d.base || version > last {
		return d.fullLocked(), d.changed
	}
	return changes{Version: last, Servers: d.log[version-d.base:]}, d.changed
}

func (d *list) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path != "/v1/endpoints" {
		http.NotFound(w, r)
		return
	}
	if r.URL.Query().Get("stream") != "1" {
		json.NewEncoder(w).Encode(d.full())
		return
	}
	version, _ := strconv.Atoi(r.URL.Query().Get("index"))
	d.w.note("discovery %s: a watch from version %d", d.name, version)
	control := http.NewResponseController(w)
	for {
		c, changed := d.since(version)
		if len(c.Servers) > 0 || c.Full {
			json.NewEncoder(w).Encode(c)
			d.w.note("discovery %s: told version %d", d.name, c.Version)
		}
		version = c.Version
		control.Flush()
		select {
		case <-changed:
		case <-r.Context().Done():
			return
		case <-time.After(2 * time.Second):
			io.WriteString(w, "\n")
		}
	}
}

// fleet starts backends that answer after the given time, and discovery with their list.
func (w *world) fleet(n int, after time.Duration) (*list, []*backend) {
	return w.fleetThat(n, func(*attempt) reply { return reply{after: after} })
}

func (w *world) fleetThat(n int, serve func(*attempt) reply) (*list, []*backend) {
	var all []*backend
	var entries []entry
	for i := range n {
		b := w.backend(fmt.Sprintf("s-%d", i), i%2, serve)
		all, entries = append(all, b), append(entries, b.entry("in_service"))
	}
	return w.list("d", 40, entries...), all
}

// settings are those of the small deployment, in the words of the wire page.
const settings = `{"Balancers":%BALANCERS%,"Callers":{"MarksRetry":false},
"Ceilings":{"ConnIdleNs":15000000000,"ConnectTimeoutNs":250000000,"CpuUsPerRequest":0.0,"CpuUsPerS":11927,"MaxRetryAfterNs":1000000000,"MaxStreams":1,"MayCancel":true,"MostHeld":29817,"MostTries":5,"ParallelTries":true,"Peers":false,"Probes":false,"RetryAfter":false},
"Classes":[{"AimNs":600000000,"DeadlineNs":2000000000,"Effect":"repeatable","Group":"all","LateWorth":0.0,"Name":"form-check","Streamed":false,"WindowNs":5000000000,"Worth":2.0},
{"AimNs":600000000,"DeadlineNs":2000000000,"Effect":"by_key","Group":"cell","LateWorth":0.0,"Name":"refund-record","Streamed":false,"WindowNs":2000000000,"Worth":10.0}],
"Discovery":"automatic","Domain":{"WarmKeys":true},"Family":"mesh","Me":0,"OverShareWorth":0.1,
"Prices":{"Connection":0.0,"CrossZone":0.0,"Discovery":0.0,"Handshake":0.0,"LateFail":0.05,"Moves":0.0,"Origin":0.0,"Peer":0.0,"Probe":0.0,"Waste":0.1},
"Report":{"Fields":["util","qps","eps"],"Via":"piggyback"},
"Rules":{"ColdFrom":0.32,"ColdNs":8700000000,"DrainGraceNs":500000000,"FallNs":3000000000,"GraceToAnswerNs":20000000,"MustAskInNs":10000000000,"OverloadFactor":3.0},
"Skus":["twin-core","quad-core"],
"Tenants":[{"Name":"edinburgh-airport","Portion":0.6,"QuotaPerS":135.0},{"Name":"glasgow-airport","Portion":0.4,"QuotaPerS":90.0}],
"TickNs":5000000,"Tier":0,"Tiers":["form-servers"],"WeightKind":"silent","WorthBy":"request","Zone":0,"Zones":["edinburgh-dc"]}`

// agent is one process of the program under review.
type agent struct {
	w      *world
	name   string
	listen string
	ops    string
	cmd    *exec.Cmd
	exited chan struct{}
	code   int
	config string
	log    string
}

func freeAddr() string {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		panic(err)
	}
	defer l.Close()
	return l.Addr().String()
}

// options of an agent.
type options struct {
	listen, ops string
	tmp         string // its $TMPDIR; a new folder if empty
	settings    func(string) string
	balancers   int
	known       changes
	config      string // an existing file in place of a new one
}

var runLine = regexp.MustCompile(`(?m)^run = "(.*)"$`)

// agent starts the program by the deploy file's command and waits until it is ready.
func (w *world) agent(name string, d *list, o options) (*agent, error) {
	return w.agentAt(name, d.addr(), d, o)
}

// agentAt is agent for one that reaches discovery under another address than d's own.
func (w *world) agentAt(name, discovery string, d *list, o options) (*agent, error) {
	deploy, err := os.ReadFile("deploy/balancer.toml")
	if err != nil {
		return nil, err
	}
	run := runLine.FindSubmatch(deploy)
	if run == nil {
		return nil, errors.New("no run in the deploy file")
	}
	if o.listen == "" {
		o.listen = freeAddr()
	}
	if o.tmp == "" {
		o.tmp = filepath.Join(w.dir, name+".tmp")
		os.MkdirAll(o.tmp, 0o755)
	}
	a := &agent{w: w, name: name, listen: o.listen, ops: o.ops, exited: make(chan struct{}), config: o.config, log: filepath.Join(w.dir, fmt.Sprintf("%s.%d.log", name, len(w.agents)))}
	if a.config == "" {
		a.config = filepath.Join(w.dir, name+".json")
		if err := w.writeConfig(a, discovery, d, o); err != nil {
			return nil, err
		}
	}
	logFile, err := os.Create(a.log)
	if err != nil {
		return nil, err
	}
	a.cmd = exec.Command("/bin/sh", "-c", string(run[1]))
	for _, v := range os.Environ() {
		if !strings.HasPrefix(v, "NODE_") && !strings.HasPrefix(v, "TMPDIR=") {
			a.cmd.Env = append(a.cmd.Env, v)
		}
	}
	a.cmd.Env = append(a.cmd.Env, "NODE_CONFIG="+a.config, "NODE_NAME="+name, "NODE_LISTEN="+o.listen, "NODE_DISCOVERY="+discovery, "TMPDIR="+o.tmp)
	if o.ops != "" {
		a.cmd.Env = append(a.cmd.Env, "NODE_OPS="+o.ops)
	}
	a.cmd.Stdout, a.cmd.Stderr = logFile, logFile
	if err := a.cmd.Start(); err != nil {
		return nil, err
	}
	w.agents = append(w.agents, a)
	go func() {
		a.cmd.Wait()
		logFile.Close()
		a.code = a.cmd.ProcessState.ExitCode()
		w.note("agent %s has ended: %v", name, a.cmd.ProcessState)
		close(a.exited)
	}()
	w.note("agent %s starts", name)
	return a, a.awaitReady()
}

func (w *world) writeConfig(a *agent, discovery string, d *list, o options) error {
	text := strings.Replace(settings, "%BALANCERS%", strconv.Itoa(max(1, o.balancers)), 1)
	if o.settings != nil {
		text = o.settings(text)
	}
	known := o.known
	if known.Servers == nil {
		known = d.full()
	}
	knownText, err := json.Marshal(known)
	if err != nil {
		return err
	}
	ops := ""
	if o.ops != "" {
		ops = fmt.Sprintf(`"ops":%q,`, o.ops)
	}
	return os.WriteFile(a.config, fmt.Appendf(nil, `{"name":%q,"listen":%q,"discovery":%q,%s"seed":"8c1f30d27a5be964","limits":{"cores":1.0,"memory_mb":192,"sockets":1024},"known":%s,"settings":%s}`,
		a.name, a.listen, discovery, ops, knownText, text), 0o644)
}

// awaitReady waits until the agent says that it is ready.
func (a *agent) awaitReady() error {
	for end := time.Now().Add(30 * time.Second); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		select {
		case <-a.exited:
			text, _ := os.ReadFile(a.log)
			return fmt.Errorf("agent %s has ended: %s", a.name, bytes.TrimSpace(text))
		default:
		}
		target := "http://" + a.listen + "/ready"
		if a.ops != "" {
			target = "http://" + a.ops + "/control/ready"
		}
		c := http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
		resp, err := c.Get(target)
		if err != nil {
			continue
		}
		resp.Body.Close()
		if resp.StatusCode == http.StatusOK {
			a.w.note("agent %s is ready", a.name)
			return nil
		}
	}
	return fmt.Errorf("agent %s is not ready after 30 s", a.name)
}

func (a *agent) signal(s syscall.Signal) {
	a.w.note("agent %s gets %v", a.name, s)
	a.cmd.Process.Signal(s)
}

// alive reports whether the process still runs.
func (a *agent) alive() bool {
	select {
	case <-a.exited:
		return false
	default:
		return true
	}
}

func (a *agent) kill() {
	if a.alive() {
		a.cmd.Process.Kill()
		<-a.exited
	}
}

// request is a request of a client.
type request struct {
	id, class string
	left      time.Duration
	body      int // bytes; for refund-record
	account   string
	object    string
	header    string
}

// text returns the request as it is written, and records that a client sends it.
func (w *world) text(r request) []byte {
	w.mu.Lock()
	w.sent[r.id] = true
	w.mu.Unlock()
	if r.account == "" {
		r.account = "edinburgh-airport"
	}
	if r.object == "" {
		r.object = "obj-" + r.id
	}
	method, further := "GET", r.header
	if r.class != "form-check" {
		method = "POST"
		further += fmt.Sprintf("Content-Length: %d\r\n", r.body)
	}
	if r.class == "refund-record" {
		further += "Idempotency-Key: key-" + r.id + "\r\n"
	}
	head := fmt.Sprintf("%s /%s/%s HTTP/1.1\r\nHost: service.internal\r\nX-Correlation-Id: %s\r\nX-Service-Class: %s\r\nX-Account: %s\r\nX-Time-Left: %.3f\r\n%s\r\n",
		method, r.class, r.object, r.id, r.class, r.account, r.left.Seconds(), further)
	return append([]byte(head), bytes.Repeat([]byte("x"), r.body)...)
}

// answer is a final answer as a client saw it; status is 0 if there was none.
type answer struct {
	status int
	body   string
	close  bool
	err    error
	at     time.Duration
}

// readAnswer reads one answer.
func (w *world) readAnswer(in *bufio.Reader) answer {
	resp, err := http.ReadResponse(in, nil)
	if err != nil {
		return answer{err: err, at: w.now()}
	}
	body, err := io.ReadAll(resp.Body)
	if err != nil {
		return answer{err: fmt.Errorf("the answer %d broke off after %d bytes: %w", resp.StatusCode, len(body), err), at: w.now()}
	}
	return answer{status: resp.StatusCode, body: string(body), close: resp.Close, at: w.now()}
}

// wasMade reports whether a backend made this body for a request.
func (w *world) wasMade(id, body string) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.made[id+" "+body] != ""
}
