//go:build review

package standin

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"os"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

func init() { cases["random"] = randomFaults }

// search is one run of randomFaults.
type search struct {
	w      *world
	rng    *rand.Rand
	mu     sync.Mutex
	hang   map[string]bool // by server
	told   map[string]time.Duration
	killed map[string][]time.Duration // by agent name
	sent   map[string]*clientReq
	stats  map[string]int
	opt    map[string]bool
}

// clientReq is a request as its client sent it.
type clientReq struct {
	id, class string
	lastByte  time.Duration
	left      time.Duration
	closed    time.Duration // client left; 0 if not
	body      int
}

func (c *search) count(k string) { c.mu.Lock(); c.stats[k]++; c.mu.Unlock() }
func (c *search) f() float64     { c.mu.Lock(); defer c.mu.Unlock(); return c.rng.Float64() }
func (c *search) n(n int) int    { c.mu.Lock(); defer c.mu.Unlock(); return c.rng.IntN(n) }

// randomFaults is no case: it is the search that the report tells of. Two agents, eight backends and two lists of them run under faults
// that are drawn by SEED for DUR. FAULTS names them, separated by commas: hang, drain, crash, err, reset, dup, sighup, kill, term, stop;
// ops (a second address), upgrade and long (bodies and answers over 64 KiB) with it; and of clients leave, slow, big, short, pipe, crowd.
// SETTINGS replaces texts of the settings (from=>to, separated by semicolons), WINDOW is the window for repeats that they then have, and
// with NOPAR=1 two attempts of a request may not be out at once.
func randomFaults(w *world, _ bool) error {
	seed, _ := strconv.ParseUint(os.Getenv("SEED"), 10, 64)
	dur, _ := time.ParseDuration(os.Getenv("DUR"))
	opt := map[string]bool{}
	for _, o := range strings.Split(os.Getenv("FAULTS"), ",") {
		opt[o] = true
	}
	c := &search{w: w, rng: rand.New(rand.NewPCG(seed, 1)), hang: map[string]bool{}, told: map[string]time.Duration{}, killed: map[string][]time.Duration{}, sent: map[string]*clientReq{}, stats: map[string]int{}, opt: opt}
	serve := func(id string) func(a *attempt) reply {
		return func(a *attempt) reply {
			c.check(a)
			c.mu.Lock()
			h := c.hang[id]
			c.mu.Unlock()
			if h {
				return reply{silent: true}
			}
			d := time.Duration(100+c.n(250)) * time.Millisecond
			x := c.f()
			switch {
			case opt["err"] && x < 0.02:
				return reply{after: d, status: 500, body: "error"}
			case opt["err"] && x < 0.05:
				return reply{after: 5 * time.Millisecond, status: 503, header: "X-Unprocessed: 1\r\n", body: "full"}
			case opt["reset"] && x < 0.10:
				return reply{after: d, reset: true}
			case opt["dup"] && x < 0.2:
				return reply{after: d, again: time.Duration(c.n(6)) * time.Millisecond}
			case opt["long"] && x < 0.4:
				return reply{after: d, pieces: []piece{{0, 30 << 10}, {time.Duration(c.n(100)) * time.Millisecond, 100 << 10}, {time.Duration(c.n(100)) * time.Millisecond, 200 << 10}}, close: c.n(2) == 0}
			}
			return reply{after: d}
		}
	}
	var entries []entry
	backends := map[string]*backend{}
	ids := []string{}
	seq := 0
	newBackend := func(started int64) *backend {
		id := fmt.Sprintf("s-%d", seq)
		b := w.backend(id, seq%2, serve(id))
		b.started = started
		seq++
		backends[id] = b
		ids = append(ids, id)
		return b
	}
	for range 8 {
		entries = append(entries, newBackend(0).entry("in_service"))
	}
	lists := []*list{w.list("d1", 40, entries...), w.list("d2", 400, entries...)}
	set := func(e ...entry) {
		for _, l := range lists {
			l.set(e...)
		}
	}
	cur := 0
	const agents = 2
	names := []string{"n1", "n2"}
	listen := []string{}
	tmp := []string{}
	current := make([]atomic.Pointer[agent], agents)
	opts := func(i int) options {
		o := options{listen: listen[i], balancers: agents, settings: func(s string) string {
			s = strings.Replace(s, `],
"Discovery"`, `,{"AimNs":600000000,"DeadlineNs":2000000000,"Effect":"once","Group":"","LateWorth":0.0,"Name":"pay-out","Streamed":false,"WindowNs":0,"Worth":10.0}],
"Discovery"`, 1)
			if x := os.Getenv("SETTINGS"); x != "" {
				for _, pair := range strings.Split(x, ";") {
					from, to, _ := strings.Cut(pair, "=>")
					if !strings.Contains(s, from) {
						panic(from)
					}
					s = strings.ReplaceAll(s, from, to)
				}
			}
			return s
		}, known: lists[cur].full()}
		if opt["ops"] {
			o.ops = freeAddr()
			o.tmp = tmp[i]
		}
		return o
	}
	for i := range agents {
		listen = append(listen, freeAddr())
		t := fmt.Sprintf("%s/t%d", w.dir, i)
		os.Mkdir(t, 0o755)
		tmp = append(tmp, t)
		a, err := w.agent(names[i], lists[cur], opts(i))
		if err != nil {
			return err
		}
		current[i].Store(a)
	}
	time.Sleep(300 * time.Millisecond)
	end := time.Now().Add(dur)
	var wg sync.WaitGroup
	var reqSeq atomic.Int64
	stop := func() bool { return time.Now().After(end) }
	for i := range agents {
		for range 12 {
			wg.Add(1)
			go func() {
				defer wg.Done()
				for !stop() {
					if c.opt["pipe"] {
						c.pipeClient(listen[i], names[i], &reqSeq, stop)
						continue
					}
					c.client(listen[i], names[i], &reqSeq, stop)
				}
			}()
		}
	}
	if opt["crowd"] {
		for i := range 2 * 450 {
			go func() {
				for !stop() {
					conn, err := net.Dial("tcp", listen[i%2])
					if err != nil {
						time.Sleep(20 * time.Millisecond)
						continue
					}
					if c.n(2) == 0 {
						id := fmt.Sprintf("%016x", reqSeq.Add(1))
						conn.Write(w.text(request{id: id, class: "form-check", left: 2 * time.Second}))
						c.count("crowdreq")
						if got := w.readAnswer(bufio.NewReader(conn)); got.status == 0 {
							c.count("crowdlost")
						}
					}
					conn.SetReadDeadline(time.Now().Add(time.Duration(5+c.n(20)) * time.Second))
					conn.Read(make([]byte, 1))
					conn.Close()
					time.Sleep(time.Duration(c.n(300)) * time.Millisecond)
				}
			}()
		}
	}
	for !stop() {
		time.Sleep(time.Duration(500+c.n(1500)) * time.Millisecond)
		ev := []string{}
		for o := range opt {
			switch o {
			case "hang", "drain", "sighup", "upgrade", "kill", "stop", "crash", "term":
				ev = append(ev, o)
			}
		}
		if len(ev) == 0 {
			continue
		}
		live := []string{}
		for _, id := range ids {
			if backends[id] != nil {
				live = append(live, id)
			}
		}
		id := live[c.n(len(live))]
		i := c.n(agents)
		switch ev[c.n(len(ev))] {
		case "hang":
			c.mu.Lock()
			n := len(c.hang)
			if n < 2 {
				c.hang[id] = true
			}
			c.mu.Unlock()
			if n < 2 {
				w.note("hang %s", id)
				time.AfterFunc(5*time.Second, func() { c.mu.Lock(); delete(c.hang, id); c.mu.Unlock(); w.note("hang over %s", id) })
			}
		case "drain":
			if len(live) < 5 {
				continue
			}
			b := backends[id]
			delete(backends, id)
			c.mu.Lock()
			c.told[id] = w.now()
			c.mu.Unlock()
			set(b.entry("terminating"))
			nb := newBackend(time.Now().UnixMilli())
			set(nb.entry("in_service"))
			time.AfterFunc(4*time.Second, func() { set(b.entry("terminated")); time.Sleep(time.Second); b.close() })
		case "crash":
			if len(live) < 5 {
				continue
			}
			b := backends[id]
			addr := b.listener.Addr().String()
			b.close()
			w.note("crash %s", id)
			time.AfterFunc(700*time.Millisecond, func() {
				l, err := net.Listen("tcp", addr)
				if err != nil {
					return
				}
				b.mu.Lock()
				b.listener, b.started, b.conns = l, time.Now().UnixMilli(), map[net.Conn]bool{}
				b.mu.Unlock()
				go b.accept(l)
				set(b.entry("in_service"))
			})
		case "sighup":
			cur = 1 - cur
			for j := range agents {
				a := current[j].Load()
				o := opts(j)
				o.ops = a.ops
				w.writeConfig(a, lists[cur].addr(), lists[cur], o)
				a.signal(syscall.SIGHUP)
			}
		case "upgrade":
			old := current[i].Load()
			a, err := w.agent(names[i], lists[cur], opts(i))
			if err != nil {
				return err
			}
			current[i].Store(a)
			old.signal(syscall.SIGTERM)
			time.AfterFunc(2700*time.Millisecond, old.kill)
		case "term":
			old := current[i].Load()
			old.signal(syscall.SIGTERM)
			select {
			case <-old.exited:
			case <-time.After(2700 * time.Millisecond):
				old.kill()
			}
			os.RemoveAll(tmp[i])
			os.Mkdir(tmp[i], 0o755)
			a, err := w.agent(names[i], lists[cur], opts(i))
			if err != nil {
				return err
			}
			current[i].Store(a)
		case "kill":
			old := current[i].Load()
			c.mu.Lock()
			c.killed[names[i]] = append(c.killed[names[i]], w.now())
			c.mu.Unlock()
			old.kill()
			os.RemoveAll(tmp[i])
			os.Mkdir(tmp[i], 0o755)
			a, err := w.agent(names[i], lists[cur], opts(i))
			if err != nil {
				return err
			}
			current[i].Store(a)
		case "stop":
			a := current[i].Load()
			a.cmd.Process.Signal(syscall.SIGSTOP)
			time.Sleep(140 * time.Millisecond)
			a.cmd.Process.Signal(syscall.SIGCONT)
		}
	}
	wg.Wait()
	c.checkAttempts()
	for i := range agents {
		if !current[i].Load().alive() {
			w.breaks("agent %d is dead", i)
		}
	}
	fmt.Println(c.stats)
	return nil
}

// check checks an attempt as it comes.
func (c *search) check(a *attempt) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.stats["attempts"]++
	if t, ok := c.told[a.server]; ok && a.first > t+560*time.Millisecond {
		go c.w.breaks("drain: %s to %s %.3f after told", a.id, a.server, (a.first - t).Seconds())
	}
	r := c.sent[a.id]
	if r == nil {
		return
	}
	if r.closed > 0 && a.first > r.closed+120*time.Millisecond {
		go c.w.breaks("gone: %s attempt %.3f after the close", a.id, (a.first - r.closed).Seconds())
	}
	if left := r.left - (a.last - r.lastByte); r.lastByte > 0 && a.body == r.body && a.timeLeft > left.Seconds()+0.17 {
		go c.w.breaks("time: %s told %.3f, left %.3f", a.id, a.timeLeft, left.Seconds())
	}
}

// checkAttempts checks repeats.
func (c *search) checkAttempts() {
	window := 2 * time.Second
	if d, err := time.ParseDuration(os.Getenv("WINDOW")); err == nil {
		window = d
	}
	by := map[string][]*attempt{}
	for _, a := range c.w.attempts {
		by[a.id] = append(by[a.id], a)
	}
	for id, all := range by {
		r := c.sent[id]
		if r == nil {
			continue
		}
		first := all[0]
		for i, a := range all[1:] {
			c.stats["further"]++
			if os.Getenv("NOPAR") != "" && all[i].ended > a.first+2*time.Millisecond {
				c.w.breaks("two out: %s at %s and %s", id, all[i].server, a.server)
			}
			if all[i].neverRan {
				first = a
				continue
			}
			switch a.class {
			case "pay-out":
				c.w.breaks("duplicate: unsafe %s at %s and %s", id, first.server, a.server)
			case "refund-record":
				if a.cell != first.cell || a.last-first.last > window+50*time.Millisecond {
					c.w.breaks("duplicate: keyed %s at %s (%d) and %s (%d), %.3f", id, first.server, first.cell, a.server, a.cell, (a.last - first.last).Seconds())
				}
			}
		}
	}
}

// client uses one connection until it ends.
func (c *search) client(addr, agentName string, seq *atomic.Int64, stop func() bool) {
	w := c.w
	conn, err := net.Dial("tcp", addr)
	if err != nil {
		time.Sleep(20 * time.Millisecond)
		return
	}
	defer conn.Close()
	in := bufio.NewReader(conn)
	for first := true; !stop(); first = false {
		r := c.newRequest(seq)
		again := false
	send:
		text := w.text(request{id: r.id, class: r.class, left: r.left, body: r.body})
		conn.SetDeadline(time.Now().Add(5 * time.Second))
		if c.opt["slow"] && c.n(10) == 0 {
			for len(text) > 0 {
				n := min(len(text), 1+c.n(max(200, r.body/3)))
				if _, err := conn.Write(text[:n]); err != nil {
					break
				}
				text = text[n:]
				time.Sleep(time.Duration(c.n(60)) * time.Millisecond)
			}
		}
		if len(text) > 0 {
			_, err = conn.Write(text)
		}
		c.mu.Lock()
		r.lastByte = w.now()
		c.mu.Unlock()
		if c.opt["leave"] && c.n(12) == 0 {
			time.Sleep(time.Duration(c.n(300)) * time.Millisecond)
			conn.Close()
			c.mu.Lock()
			r.closed = w.now()
			c.mu.Unlock()
			c.count("left")
			return
		}
		got := w.readAnswer(in)
		took := got.at - r.lastByte
		switch {
		case got.status == 0:
			c.mu.Lock()
			kills := c.killed[agentName]
			c.mu.Unlock()
			killed := false
			for _, k := range kills {
				killed = killed || k > r.lastByte-500*time.Millisecond && k < got.at+100*time.Millisecond
			}
			if killed {
				c.count("killed")
				return
			}
			var nerr net.Error
			timeout := errors.As(got.err, &nerr) && nerr.Timeout()
			w.mu.Lock()
			forwarded := false
			for _, a := range w.attempts {
				forwarded = forwarded || a.id == r.id
			}
			w.mu.Unlock()
			if !first && !again && !timeout && !forwarded && (errors.Is(got.err, io.EOF) || errors.Is(got.err, io.ErrUnexpectedEOF) || errors.Is(got.err, syscall.ECONNRESET) || errors.Is(got.err, syscall.EPIPE)) {
				c.count("crossed")
				conn.Close()
				for range 200 {
					if conn, err = net.Dial("tcp", addr); err == nil {
						break
					}
					time.Sleep(20 * time.Millisecond)
				}
				if err != nil {
					return
				}
				in = bufio.NewReader(conn)
				again, first = true, true
				goto send
			}
			if strings.Contains(fmt.Sprint(got.err), "broke off") {
				c.count("brokeoff")
				return
			}
			w.breaks("lost: %s %s first=%t again=%t forwarded=%t after %.3f: %v", r.id, r.class, first, again, forwarded, took.Seconds(), got.err)
			return
		case took > r.left+560*time.Millisecond:
			w.breaks("late: %s %d after %.3f of %.3f", r.id, got.status, took.Seconds(), r.left.Seconds())
		case got.status == 200 && !w.wasMade(r.id, got.body):
			w.breaks("foreign: %s got %.80q", r.id, got.body)
		}
		c.count(fmt.Sprint(got.status))
		if got.close {
			return
		}
		if c.n(3) == 0 {
			time.Sleep(time.Duration(c.n(200)) * time.Millisecond)
		}
	}
}

func (c *search) newRequest(seq *atomic.Int64) *clientReq {
	r := &clientReq{id: fmt.Sprintf("%016x", seq.Add(1)), class: []string{"form-check", "refund-record", "pay-out"}[c.n(3)], left: time.Duration(1400+c.n(600)) * time.Millisecond}
	if c.opt["short"] {
		r.left = time.Duration(50+c.n(1000)) * time.Millisecond
	}
	if r.class != "form-check" {
		r.body = c.n(2000)
		if c.opt["big"] && c.n(4) == 0 {
			r.body = c.n(64 << 10)
		}
		if c.opt["long"] && c.n(6) == 0 {
			r.body = c.n(800 << 10)
		}
	}
	c.mu.Lock()
	c.sent[r.id] = r
	c.mu.Unlock()
	return r
}

// pipeClient sends bursts on one connection until it ends.
func (c *search) pipeClient(addr, agentName string, seq *atomic.Int64, stop func() bool) {
	w := c.w
	conn, err := net.Dial("tcp", addr)
	if err != nil {
		time.Sleep(20 * time.Millisecond)
		return
	}
	defer conn.Close()
	in := bufio.NewReader(conn)
	for !stop() {
		var burst []*clientReq
		var text []byte
		for range 1 + c.n(8) {
			r := c.newRequest(seq)
			r.body = min(r.body, 3000)
			burst = append(burst, r)
			text = append(text, w.text(request{id: r.id, class: r.class, left: r.left, body: r.body})...)
		}
		conn.SetDeadline(time.Now().Add(20 * time.Second))
		for len(text) > 0 {
			n := min(len(text), 1+c.n(8000))
			if !c.opt["slow"] {
				n = len(text)
			}
			if _, err := conn.Write(text[:n]); err != nil {
				break
			}
			text = text[n:]
			if c.opt["slow"] {
				time.Sleep(time.Duration(c.n(10)) * time.Millisecond)
			}
		}
		at := w.now()
		c.mu.Lock()
		for _, r := range burst {
			r.lastByte = at
		}
		c.mu.Unlock()
		leaveAfter := -1
		if c.opt["leave"] && c.n(6) == 0 {
			leaveAfter = c.n(len(burst))
		}
		for i, r := range burst {
			if i == leaveAfter {
				time.Sleep(time.Duration(c.n(200)) * time.Millisecond)
				conn.Close()
				c.mu.Lock()
				for _, r := range burst[i:] {
					r.closed = w.now()
				}
				c.mu.Unlock()
				return
			}
			got := w.readAnswer(in)
			took := got.at - at
			if got.status == 0 {
				c.mu.Lock()
				kills := c.killed[agentName]
				c.mu.Unlock()
				for _, k := range kills {
					if k > at-500*time.Millisecond && k < got.at+100*time.Millisecond {
						return
					}
				}
				if i == 0 && took < 60*time.Millisecond {
					c.count("crossed")
					return
				}
				w.breaks("lost: %s number %d of %d, %.3f after the burst: %v", r.id, i+1, len(burst), took.Seconds(), got.err)
				return
			}
			c.count(fmt.Sprint(got.status))
			if took > r.left+560*time.Millisecond {
				w.breaks("late: %s %d after %.3f of %.3f", r.id, got.status, took.Seconds(), r.left.Seconds())
			}
			if got.status == 200 && !w.wasMade(r.id, got.body) {
				w.breaks("foreign: %s got %.80q", r.id, got.body)
			}
			if got.close {
				if i < len(burst)-1 {
					w.breaks("lost: closed after %d of %d, %.3f after the burst", i+1, len(burst), took.Seconds())
				}
				return
			}
		}
		time.Sleep(time.Duration(c.n(300)) * time.Millisecond)
	}
}
