// Package explore tries every ordering of what can happen to a few calls at a few servers, on the code that runs in
// service: the decision module, the ledger of calls, the lives of attempts and the book of connections. It plays their
// host and everything outside: the clock, clients, the list, the network and servers.
package explore

import (
	"cmp"
	"fmt"
	"math"
	"slices"
	"time"

	"ternbeam/choice"
	"ternbeam/internal/decide/addresses"
	"ternbeam/internal/decide/ledger"
	"ternbeam/internal/decide/life"
)

// Config says how large the world is.
type Config struct {
	Servers  int
	Calls    []choice.Effect // the effect of each call's class
	Attempts int             // the most that one call may have
	Places   int             // for connections
	Lists    int             // how many changes of the list may come
	Words    int             `json:",omitempty"` // how many words of the operators may come
	Streams  bool            `json:",omitempty"` // answers may begin to be passed on
	More     bool            `json:",omitempty"` // servers may be missing from the whole list, or move
	Leaves   int             // how many clients may leave
	Cells    int             // over which the servers are spread
	Past     Past            `json:",omitempty"`
	Races    bool            `json:",omitempty"` // each server has two addresses
	Lines    bool            `json:",omitempty"` // a connection carries several calls at a time
	Plain    bool            `json:",omitempty"` // every order of steps that do not touch one another is tried, too
}

// Past is what the module has lived through before the world begins.
type Past string

// The pasts. But for none, the module looks at health while calls are open.
const (
	NoPast Past = ""
	Losing Past = "losing" // servers lost some calls: late ones are copied
	Quick  Past = "quick"  // servers were so quick that late calls are withdrawn from them

	// What an earlier agent is said to have known, as bad as it can be.
	Ill    Past = "ill"    // every server fails, one is out and due to be tried, all was lost and took no time
	Out    Past = "out"    // one is out for good, the others have no capacity, all took for ever
	Absurd Past = "absurd" // figures that are none, servers that are none, other starts
)

// memories are what the module is told for such pasts.
var memories = map[Past]choice.Memory{
	Ill: remembered(choice.ServerMemory{Failing: 1, Ejected: true, Rate: 1e30, Trust: 1}, choice.ClassMemory{Usual: 1, Least: 1, Trust: 1}, 1),
	Out: remembered(choice.ServerMemory{Failing: 1, Ejected: true, Trial: math.MaxInt64, Rate: 1e-30, Use: 1, Trust: 1},
		choice.ClassMemory{Usual: math.MaxInt64, Least: math.MaxInt64, Trust: 1}, 0),
	Absurd: remembered(choice.ServerMemory{Started: 1, Failing: math.NaN(), Ejected: true, Trial: math.MinInt64, Rate: math.Inf(1), Use: -1,
		Trust: math.NaN()}, choice.ClassMemory{Usual: math.MinInt64, Least: math.MaxInt64, Trust: math.Inf(-1)}, math.NaN()),
}

// remembered says the same of every server and class, and of some that are not there.
func remembered(s choice.ServerMemory, c choice.ClassMemory, share float64) choice.Memory {
	m := choice.Memory{Served: share * 1e9, Lost: share, ColdBad: share, ColdSeen: share * 100}
	for i := range 8 {
		s.ID, c.Name = fmt.Sprint("server ", i), fmt.Sprint(choice.Effect(i))
		m.Servers, m.Classes = append(m.Servers, s), append(m.Classes, c)
		s.Started = 0 // it holds for the start of all but the first
	}
	return m
}

// The times of the world.
const (
	start    = time.Minute
	window   = 60 * time.Millisecond // of keyed calls
	deadline = 100 * time.Millisecond
	aim      = 1600 * time.Millisecond // the first look at health comes after all is over
	nearAim  = 400 * time.Millisecond  // the looks come every 50 ms
	size     = 3                       // bytes of a message
)

// chance is a source that gives the least or the most that chance can give, whichever the step says.
type chance struct {
	most  bool
	asked bool
}

func (c *chance) Uint64() uint64 {
	c.asked = true
	if c.most {
		return 1<<64 - 1
	}
	return 0
}

// world is one state of the world.
type world struct {
	cfg     *Config
	set     choice.Settings
	now     time.Duration
	chance  *chance
	ledger  *ledger.Ledger
	module  *choice.Balancer
	book    *life.Book
	addrs   *addresses.Book
	lines   []*line // whose connections are in use or idle
	timers  []timer
	calls   []*call
	servers []choice.Server // as the list has told of them: the world's own memory, which nobody else changes
	moves   []int           // how often each has moved to another address, by the list
	out     []bool          // which are out by hand, and how often each was restarted while it was: the world's own memory, too
	lives   []int
	words   int
	tries   []*try // attempts that the loop has not taken the end of, by their calls: in what order they were begun is a matter of names
	begun   int    // attempts
	lists   int
	leaves  int
	fault   string // the first property that does not hold
}

type timer struct {
	at    time.Duration
	token uint64
}

// call is a call as its client and the servers see it.
type call struct {
	life     *ledger.Call
	effect   choice.Effect
	asked    bool
	left     bool
	answers  []ledger.Kind
	runs     []run
	attempts int
}

// run is one time that a server may have run a call.
type run struct {
	by     int // the attempt
	server string
	cell   int
	at     time.Duration
}

// try is an attempt as its host sees it.
type try struct {
	*ledger.Attempt
	n         int // among all
	call      int
	cell      int
	conn      *life.Conn      // that it waits for or has
	withdrawn bool            // its host has been told
	taken     bool            // the module has withdrawn it
	race      *addresses.Race // its dials, where servers have several addresses
	sent      int             // on how many connections it was begun
	ran       bool            // its server may have run it, and has not said otherwise
	unsent    bool            // it ended when it was to be sent
	waits     bool            // for another's dial
	hangs     bool            // nothing more comes by the network
	begins    bool            // its answer has begun, and the loop does not know yet
	passes    bool            // its answer has begun
	dropped   bool            // nobody took that
	rests     bool            // its host takes no step until something changes that it depends on
}

// on is what is on a connection.
type on struct {
	foreign bool    // bytes that nobody asked for
	by      int     // the attempt that it carries, or -1
	to      process // at its other end
}

// process is one life of a server at one address, as the list told of it when a connection to it came up.
type process struct {
	server  int
	started time.Duration
	moves   int
	lives   int // restarts while it was out by hand
}

// process is the one that a server is now, by all that the list has told.
func (w *world) process(id string) process {
	i := slices.IndexFunc(w.servers, func(s choice.Server) bool { return s.ID == id })
	return process{i, w.servers[i].Started, w.moves[i], w.lives[i]}
}

// watched is the module as the ledger has it: what it withdraws is noted, whatever the ledger makes of that.
type watched struct {
	*choice.Balancer
	w *world
}

// Handle hands an event on and looks at what is ordered.
func (m watched) Handle(now time.Duration, ev choice.Event) []choice.Action {
	actions := m.Balancer.Handle(now, ev)
	for _, a := range actions {
		if a.Kind != choice.Cancel {
			continue
		}
		for _, t := range m.w.tries {
			if t.Call.ID == a.Request && t.Number == a.Attempt {
				t.taken, t.rests = true, false
			}
		}
	}
	return actions
}

// newWorld returns the world before anything has happened.
func newWorld(cfg *Config) *world {
	w := &world{cfg: cfg, now: start, chance: &chance{}}
	w.set = choice.Settings{Balancers: 1, Tick: time.Millisecond, MaxAttempts: cfg.Attempts, CanCancel: true,
		ParallelCopies: cfg.Past == Losing}
	effects := []choice.Effect{choice.Safe, choice.Keyed, choice.Unsafe}
	for _, e := range effects {
		c := choice.Class{Name: fmt.Sprint(e), Effect: e, Aim: aim, Deadline: deadline, Worth: 1}
		if cfg.Past != NoPast {
			c.Aim = nearAim
		}
		if e == choice.Keyed {
			c.Group, c.Window = choice.GroupCell, window
		}
		w.set.Classes = append(w.set.Classes, c)
	}
	var err error
	if w.module, err = choice.NewWithSource(w.set, w.chance); err != nil {
		panic(err) // of plain values
	}
	w.ledger = ledger.New(w.books(), watched{w.module, w})
	w.book, w.addrs = life.NewBook(cfg.Places), addresses.NewBook(addresses.Defaults)
	var entries []ledger.Entry
	for i := range cfg.Servers {
		s := choice.Server{ID: fmt.Sprint("server ", i), Cell: i % max(1, cfg.Cells)}
		w.servers, w.moves = append(w.servers, s), append(w.moves, 0)
		w.out, w.lives = append(w.out, false), append(w.lives, 0)
		entries = append(entries, w.entry(i))
	}
	if cfg.Past != NoPast {
		w.now = start - time.Second // looks come every 50 ms from then on
	}
	w.do(w.ledger.Start(w.now))
	w.do(w.ledger.List(w.now, true, entries))
	w.live(cfg.Past)
	if m, ok := memories[cfg.Past]; ok {
		w.fireBy(start)
		w.module.Recall(start, m)
	}
	w.now = start
	for i, e := range cfg.Calls {
		c := &call{effect: e}
		c.life = &ledger.Call{Request: choice.Request{ID: fmt.Sprint("call ", i), Class: slices.Index(effects, e)}}
		w.calls = append(w.calls, c)
	}
	return w
}

// books are the ledger's settings.
func (w *world) books() ledger.Settings {
	return ledger.Settings{MaxAttempts: w.cfg.Attempts, Carries: func(choice.Protocols) bool { return true },
		Illegal: func(err error) { w.violate("%v", err) }}
}

// live lets the module live through its past: calls that are served, and some that are lost by a server which answers
// others.
func (w *world) live(past Past) {
	var pace time.Duration
	switch past {
	case Losing:
		pace = 10 * time.Millisecond
	case Quick:
		pace = time.Millisecond
	default:
		return
	}
	var lost *ledger.Attempt
	for n := 0; ; n++ {
		at := w.now + time.Millisecond
		last := at+deadline >= start // of those that end before the world begins
		w.fireBy(at)
		if w.now = at; last {
			break
		}
		c := &ledger.Call{Request: choice.Request{ID: fmt.Sprint("before ", n), Class: n % len(w.set.Classes), Deadline: at + deadline}}
		for _, o := range w.keepTimers(w.ledger.Arrived(at, c)) {
			if o.Kind != ledger.Begin {
				continue
			}
			if past == Losing && lost == nil && at+2*deadline >= start {
				lost = o.Attempt
				continue
			}
			w.keepTimers(w.ledger.Ended(at+pace, o.Attempt, ledger.Ended(choice.OK)))
		}
	}
	if lost != nil {
		w.keepTimers(w.ledger.Ended(w.now, lost, ledger.Ended(choice.TimedOut)))
	}
	w.fireBy(start) // those of calls that are over, and a look that finds nothing
}

// fireBy fires what is due by some time, in the past.
func (w *world) fireBy(at time.Duration) {
	for i := w.due(at); i >= 0; i = w.due(at) {
		t := w.pop(i)
		w.keepTimers(w.ledger.Fired(t.at, t.token))
	}
}

// pop takes a timer off the list.
func (w *world) pop(i int) timer {
	t := w.timers[i]
	w.timers = slices.Delete(w.timers, i, i+1)
	return t
}

// keepTimers sets the timers that are ordered, and returns what else is.
func (w *world) keepTimers(orders []ledger.Order) (others []ledger.Order) {
	for _, o := range orders {
		if o.Kind == ledger.SetTimer {
			w.timers = append(w.timers, timer{o.At, o.Token})
		} else {
			others = append(others, o)
		}
	}
	return others
}

// copy returns an equal world.
func (w *world) copy() *world {
	twins := ledger.NewTwins()
	c := &world{cfg: w.cfg, set: w.set, now: w.now, chance: &chance{}, timers: slices.Clone(w.timers),
		servers: slices.Clone(w.servers), moves: slices.Clone(w.moves), out: slices.Clone(w.out), lives: slices.Clone(w.lives), words: w.words,
		begun: w.begun, lists: w.lists, leaves: w.leaves, fault: w.fault}
	c.module = w.module.Copy(c.chance)
	c.ledger = w.ledger.Copy(c.books(), watched{c.module, c}, twins)
	conns := life.Twins[life.Conn]{Fill: func(o, twin *life.Conn) {
		var host any
		if what, ok := o.Host.(*on); ok {
			same := *what
			host = &same
		}
		o.CopyTo(twin, &twins.Servers, host)
	}}
	c.book, c.addrs = w.book.Copy(&conns, &twins.Servers), w.addrs.Copy()
	c.calls = make([]*call, len(w.calls))
	for i, k := range w.calls {
		same := *k
		same.life = twins.Calls.Of(k.life)
		same.answers, same.runs = slices.Clone(k.answers), slices.Clone(k.runs)
		c.calls[i] = &same
	}
	c.tries = make([]*try, len(w.tries))
	for i, t := range w.tries {
		same := *t
		same.Attempt = twins.Attempts.Of(t.Attempt)
		same.Illegal = func(err error) { c.violate("%v", err) }
		same.conn, same.race = conns.Of(t.conn), t.race.Copy(c.addrs)
		c.tries[i] = &same
	}
	c.lines = w.copyLines(twins, &conns)
	return c
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
					t.withdrawn, t.rests = true, false
				}
			}
		case ledger.Reply:
			for i, c := range w.calls {
				if c.life == o.Call {
					w.answered(c, o.Answer)
					w.wakeCall(i)
				}
			}
		case ledger.Discard:
			for _, t := range w.tries {
				if t.Attempt == o.Reply {
					t.dropped = true
				}
			}
		case ledger.Retire:
			closed, _ := w.book.Retire(o.Server)
			for _, c := range closed {
				c.Host.(*on).by = -1
				w.dropLine(c)
			}
			for _, t := range w.tries {
				if t.Server == o.Server && t.Life.Stage() == life.Ready {
					t.rests = false
				}
			}
			if len(closed) > 0 {
				w.wakeBook(o.Server, true)
			}
		}
	}
}

func (w *world) begin(at *ledger.Attempt) {
	t := &try{Attempt: at, n: w.begun, call: slices.IndexFunc(w.calls, func(c *call) bool { return c.life == at.Call })}
	w.begun++
	for _, s := range w.servers {
		if s.ID == at.Server.ID {
			t.cell = s.Cell
		}
	}
	w.tries = append(w.tries, t)
	slices.SortFunc(w.tries, func(a, b *try) int { return cmp.Or(a.call-b.call, a.Number-b.Number) })
	w.checkBegin(t)
}

// try returns an attempt by its number, or nil.
func (w *world) try(n int) *try {
	for _, t := range w.tries {
		if t.n == n {
			return t
		}
	}
	return nil
}

func (w *world) of(t *try) *call { return w.calls[t.call] }

// open reports whether a call waits for its answer.
func (w *world) open() bool {
	open, _ := w.ledger.Count()
	return open > 0
}

// due is the timer that is to be fired next by some time, or -1.
func (w *world) due(by time.Duration) int {
	best := -1
	for i, t := range w.timers {
		if t.at <= by && (best < 0 || t.at < w.timers[best].at) {
			best = i
		}
	}
	return best
}

// next is the next moment that matters: the midst of a keyed call's window and its end, where there is such a call, a
// look at health, and the deadline.
func (w *world) next() time.Duration {
	next := time.Duration(0)
	add := func(at time.Duration) {
		if at > w.now && (next == 0 || at < next) {
			next = at
		}
	}
	if slices.Contains(w.cfg.Calls, choice.Keyed) {
		add(start + window/2)
		add(start + window)
	}
	if w.cfg.Past != NoPast {
		add(start + nearAim/8)
	}
	add(start + deadline)
	return next
}
