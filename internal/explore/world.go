// Package explore tries every ordering of what can happen to a few calls at a few servers, on the code that runs in
// service: the decision module, the ledger of calls, the lives of attempts and the book of connections. It plays their
// host and everything outside: the clock, clients, the list, the network and servers.
package explore

import (
	"cmp"
	"encoding/binary"
	"fmt"
	"slices"
	"time"

	"ternbeam/choice"
	"ternbeam/internal/ledger"
	"ternbeam/internal/life"
)

// Config says how large the world is.
type Config struct {
	Servers  int
	Calls    []choice.Effect // the effect of each call's class
	Attempts int             // the most that one call may have
	Places   int             // for connections
	Lists    int             // how many changes of the list may come
	Leaves   int             // how many clients may leave
	Cells    int             // over which the servers are spread
}

// The times of the world. The module's look at health comes after all is over.
const (
	start    = time.Second
	window   = 60 * time.Millisecond // of keyed calls
	deadline = 100 * time.Millisecond
	aim      = 1600 * time.Millisecond
	size     = 2 // bytes of a message: the last one and one before
)

// chance is a source that gives the least or the most that chance can give, whichever the step says.
type chance struct{ most bool }

func (c *chance) Uint64() uint64 {
	if c.most {
		return 1<<64 - 1
	}
	return 0
}

// world is one state of the world.
type world struct {
	cfg     Config
	now     time.Duration
	chance  chance
	ledger  *ledger.Ledger
	module  *choice.Balancer
	book    *life.Book
	timers  []timer
	posts   []post // endings on their way to the loop, in their order
	calls   []*call
	servers []choice.Server
	tries   []*try // attempts that were begun, in their order
	lists   int
	leaves  int
	fault   string // the first property that does not hold
}

type timer struct {
	at    time.Duration
	token uint64
}

type post struct {
	try    *try
	ending ledger.Ending
}

// call is a call as its client and the servers see it.
type call struct {
	life     *ledger.Call
	effect   choice.Effect
	asked    bool
	left     bool
	answers  []ledger.Answer
	runs     []run
	attempts int
}

// run is one time that a server may have run a call.
type run struct {
	server string
	cell   int
	at     time.Duration
}

// try is an attempt as its host sees it.
type try struct {
	*ledger.Attempt
	n         int
	call      *call
	cell      int
	claim     *life.Claim
	conn      *life.Conn
	withdrawn bool
	ran       bool // its server got it whole, and has not said otherwise
	taken     bool // the loop has taken its ending
}

// wire is what is on a connection besides what its attempt waits for.
type wire struct {
	foreign bool // bytes that nobody asked for
	by      *try // the attempt that it carries
}

func newWorld(cfg Config) *world {
	w := &world{cfg: cfg, now: start}
	set := choice.Settings{Balancers: 1, Tick: time.Millisecond, MaxAttempts: cfg.Attempts, CanCancel: true}
	effects := []choice.Effect{choice.Safe, choice.Keyed, choice.Unsafe}
	for _, e := range effects {
		c := choice.Class{Name: fmt.Sprint(e), Effect: e, Aim: aim, Deadline: deadline, Worth: 1}
		if e == choice.Keyed {
			c.Group, c.Window = choice.GroupCell, window
		}
		set.Classes = append(set.Classes, c)
	}
	var err error
	if w.module, err = choice.NewWithSource(set, &w.chance); err != nil {
		panic(err) // of plain values
	}
	w.ledger = ledger.New(ledger.Settings{MaxAttempts: cfg.Attempts, Carries: func(choice.Protocols) bool { return true },
		Illegal: func(err error) { w.violate("%v", err) }}, w.module)
	w.book = life.NewBook(cfg.Places)
	for i, e := range cfg.Calls {
		c := &call{effect: e}
		c.life = &ledger.Call{Request: choice.Request{ID: fmt.Sprint("call ", i), Class: slices.Index(effects, e)}}
		w.calls = append(w.calls, c)
	}
	var entries []ledger.Entry
	for i := range cfg.Servers {
		s := choice.Server{ID: fmt.Sprint("server ", i), Cell: i % max(1, cfg.Cells)}
		w.servers = append(w.servers, s)
		entries = append(entries, ledger.Entry{Server: s, Addr: s.ID})
	}
	w.do(w.ledger.Start(w.now))
	w.do(w.ledger.List(w.now, true, entries))
	return w
}

func (w *world) violate(format string, args ...any) {
	if w.fault == "" {
		w.fault = fmt.Sprintf(format, args...)
	}
}

// do carries out the ledger's orders, as the core does.
func (w *world) do(orders []ledger.Order) {
	for _, o := range orders {
		switch o.Kind {
		case ledger.SetTimer:
			w.timers = append(w.timers, timer{o.At, o.Token})
		case ledger.Begin:
			w.begin(o.Attempt)
		case ledger.Withdraw:
			for _, t := range w.tries {
				if t.Attempt == o.Attempt {
					t.withdrawn = true
				}
			}
		case ledger.Reply:
			for _, c := range w.calls {
				if c.life == o.Call {
					w.answered(c, o.Answer)
				}
			}
		case ledger.Retire:
			closed, _ := w.book.Retire(o.Server)
			for _, c := range closed {
				w.closed(c)
			}
		}
	}
}

func (w *world) begin(at *ledger.Attempt) {
	t := &try{Attempt: at, n: len(w.tries)}
	for _, c := range w.calls {
		if c.life == at.Call {
			t.call = c
		}
	}
	for _, s := range w.servers {
		if s.ID == at.Server.ID {
			t.cell = s.Cell
		}
	}
	w.tries = append(w.tries, t)
	w.checkBegin(t)
}

// wireOf is what is on a connection.
func wireOf(c *life.Conn) *wire { return c.Host.(*wire) }

func (w *world) closed(c *life.Conn) { wireOf(c).by = nil }

// The steps of an attempt's host, as internal/pool and internal/exchange take them.

// acquire takes an idle connection, if it is silent, or claims a place.
func (w *world) acquire(t *try) {
	for c := w.book.Lend(t.Server, t.Call.Needs); c != nil; c = w.book.Lend(t.Server, t.Call.Needs) {
		if !wireOf(c).foreign {
			t.Heed(t.Life.Connect())
			w.carry(t, c)
			return
		}
		w.release(c, false)
	}
	claim, evicted := w.book.Claim()
	if evicted != nil {
		w.closed(evicted)
	}
	t.claim = claim
}

// carry lets a connection carry an attempt.
func (w *world) carry(t *try, c *life.Conn) {
	on := wireOf(c)
	if on.by != nil {
		w.violate("a connection carries attempts %d and %d", on.by.n, t.n)
	}
	if on.foreign {
		w.violate("attempt %d uses a connection with foreign bytes", t.n)
	}
	t.conn, on.by = c, t
}

func (w *world) release(c *life.Conn, reuse bool) {
	wireOf(c).by = nil
	_, _, err := w.book.Return(c, reuse)
	if err != nil {
		w.violate("%v", err)
	}
}

// opened says that the dial of an attempt succeeded.
func (w *world) opened(t *try) {
	t.Heed(t.Life.Connect())
	t.claim = nil
	w.carry(t, w.book.Opened(t.Server, t.Call.Needs, &wire{}))
}

// send asks whether the attempt may be sent, and begins.
func (w *world) send(t *try) {
	retired := t.Server.Retired()
	ok, err := t.Life.Begin(size, life.Now{Withdrawn: t.withdrawn, Late: w.now >= t.End || t.SendBy != 0 && w.now >= t.SendBy, Over: t.Call.Over(), Retired: retired})
	t.Heed(err)
	if !ok {
		w.release(t.conn, true)
		w.end(t, ledger.Ended(t.Life.Result()))
		return
	}
	w.checkSend(t, retired)
}

// write says that so many bytes are written; with the last the server has the call.
func (w *world) write(t *try, n int) {
	t.Heed(t.Life.Wrote(n))
	if n == size {
		t.ran = true
		t.call.runs = append(t.call.runs, run{t.Server.ID, t.cell, w.now})
		w.checkRun(t.call)
	}
}

// answer ends an attempt with its server's answer.
func (w *world) answer(t *try, r choice.Result, reuse bool) {
	t.Heed(t.Life.Read())
	t.Heed(t.Life.Answer(r))
	if r == choice.Rejected && t.ran {
		t.ran = false
		c := t.call
		i := slices.IndexFunc(c.runs, func(r run) bool { return r.server == t.Server.ID })
		c.runs = slices.Delete(c.runs, i, i+1)
	}
	w.release(t.conn, reuse)
	w.end(t, ledger.Ending{Result: t.Life.Result(), Report: choice.NoReport, Reply: t})
}

// fail ends an attempt without an answer; its connection is closed.
func (w *world) fail(t *try, cause life.Cause) {
	if t.conn == nil && t.claim != nil {
		if t.claim.Granted() || !w.book.Cancel(t.claim) {
			w.book.Free()
		}
		t.claim = nil
	}
	t.Heed(t.Life.Fail(cause))
	if t.conn != nil {
		w.release(t.conn, false)
	}
	w.end(t, ledger.Ended(t.Life.Result()))
}

// end posts an attempt's ending to the loop.
func (w *world) end(t *try, e ledger.Ending) {
	t.conn = nil
	w.checkEnding(t, e)
	w.posts = append(w.posts, post{t, e})
}

// key is a fingerprint of the state: all that what comes next depends on, and what the properties look at.
func (w *world) key(to []byte) []byte {
	num := func(all ...int) {
		for _, x := range all {
			to = binary.AppendVarint(to, int64(x))
		}
	}
	flag := func(all ...bool) {
		for _, x := range all {
			to = append(to, map[bool]byte{true: 1}[x])
		}
	}
	num(int(w.now), w.lists, w.leaves, len(w.posts))
	if w.open() || w.now == start && !w.calls[len(w.calls)-1].asked {
		to = w.module.Fingerprint(to)
	} // or there is nothing left that it could decide
	timers := slices.Clone(w.timers)
	slices.SortFunc(timers, func(a, b timer) int { return int(a.at - b.at) })
	for _, t := range timers {
		num(int(t.at))
	}
	for _, s := range w.servers {
		num(int(s.State), int(s.Started))
		if l := w.ledger.Server(s.ID); l != nil {
			num(int(l.Started))
		}
	}
	for _, c := range w.calls {
		flag(c.asked, c.left, c.life.Over())
		num(len(c.answers), len(c.runs), c.attempts)
		for _, a := range c.answers {
			num(int(a.Kind))
		}
		for _, r := range c.runs {
			to = append(append(to, r.server...), 0)
			num(r.cell, int(r.at))
		}
	}
	conn := func(c *life.Conn) {
		to = append(append(to, c.Server.ID...), 0)
		num(int(c.Server.Started))
		flag(wireOf(c).foreign, c.Server.Retired())
	}
	// Those whose ending the loop has taken are in the books above. The others by their calls: in what order they were
	// begun is a matter of names.
	live := slices.DeleteFunc(slices.Clone(w.tries), func(t *try) bool { return t.taken })
	slices.SortFunc(live, func(a, b *try) int {
		return cmp.Or(cmp.Compare(a.Call.ID, b.Call.ID), cmp.Compare(a.Number, b.Number))
	})
	for _, t := range live {
		a := t.Life
		num(t.Number, int(a.Stage()), int(a.Result()), int(t.End), int(t.SendBy))
		to = append(append(to, t.Call.ID...), 0)
		to = append(append(to, t.Server.ID...), 0)
		flag(t.withdrawn, t.ran, a.CanHaveRun(), t.claim != nil, t.claim != nil && t.claim.Granted(), t.Server.Retired())
		if t.conn != nil {
			conn(t.conn)
		}
	}
	for _, p := range w.posts {
		to = append(append(to, p.try.Call.ID...), 0)
		num(p.try.Number, int(p.ending.Result))
	}
	open, idle, waiting := w.book.Count()
	num(open, idle, waiting)
	for _, c := range w.book.Idle() {
		conn(c)
	}
	return to
}
