// Package sim is an agent and its servers in virtual time: another host of the same ledger and module that serve on
// sockets. Nothing of them is approximated; the network and the servers are models. One seed gives one run, and what
// happens to a call does not depend on what happened to others, so that two variants meet the same calls and the same luck.
package sim

import (
	"cmp"
	"container/heap"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"ternbeam/choice"
	"ternbeam/internal/decide/aging"
	"ternbeam/internal/decide/learned"
	"ternbeam/internal/decide/ledger"
)

// Server is the model of a server: so many cores that take calls in their order.
type Server struct {
	ID     string
	Cores  int
	Speed  float64 // work done in a second of a core, in seconds
	Silent bool    // it takes calls and answers none
	dead   bool    // it refuses connections
}

// Config is a world.
type Config struct {
	Module  choice.Settings
	Servers []Server
	Rate    float64         // calls a second
	Mix     []float64       // their classes, by share
	Work    []time.Duration // mean work of a call, by class; exponentially spread
	Network time.Duration   // one way
	Reports bool            // answers say the server's load
	Told    bool            // the agent knows of no server but those that Tell names
	Seed    uint64
}

// Base is the module's time at which a world begins.
const Base = 1000 * time.Hour

// bootID is that of the machine that the agent runs on.
const bootID = "00000000-0000-4000-8000-000000000001"

// World is a world under way.
type World struct {
	cfg     Config
	now     time.Duration
	events  events
	count   uint64 // events so far, which orders those of one moment
	servers map[string]*server
	arrive  *rand.Rand
	asked   int

	agent *agent
	calls []*Call // in the order in which they arrived
}

// agent is one life of the agent.
type agent struct {
	ledger *ledger.Ledger
	over   bool
	tries  map[*ledger.Attempt]*try
}

// Call is what became of a call.
type Call struct {
	At       time.Duration
	Class    int
	Kind     ledger.Kind
	Answered time.Duration // 0 where its agent ended before
	Attempts int
}

type try struct {
	at    *ledger.Attempt
	ended bool
}

type server struct {
	Server
	busy  int
	queue []*job
	done  float64 // smoothed, a second
	used  float64 // smoothed share of cores
	since time.Duration
}

type job struct {
	work time.Duration
	then func()
}

type event struct {
	at    time.Duration
	order uint64
	do    func()
}

type events []event

func (e events) Len() int      { return len(e) }
func (e events) Swap(i, j int) { e[i], e[j] = e[j], e[i] }
func (e events) Less(i, j int) bool {
	return cmp.Or(cmp.Compare(e[i].at, e[j].at), cmp.Compare(e[i].order, e[j].order)) < 0
}
func (e *events) Push(x any) { *e = append(*e, x.(event)) }
func (e *events) Pop() any {
	last := (*e)[len(*e)-1]
	*e = (*e)[:len(*e)-1]
	return last
}

// New returns a world with an agent that knows nothing.
func New(cfg Config) (*World, error) {
	w := &World{cfg: cfg, now: Base, servers: map[string]*server{}, arrive: rand.New(rand.NewPCG(cfg.Seed, 1))}
	if len(cfg.Mix) != len(cfg.Module.Classes) || len(cfg.Work) != len(cfg.Module.Classes) || !(cfg.Rate > 0) {
		return nil, fmt.Errorf("a world needs a rate above 0, and a share and a mean work for each of its %d classes", len(cfg.Module.Classes))
	}
	for _, s := range cfg.Servers {
		w.servers[s.ID] = &server{Server: s, since: w.now}
	}
	if err := w.start(nil, 0); err != nil {
		return nil, err
	}
	w.after(w.gap(), w.arrival)
	return w, nil
}

// Now is the time of the world.
func (w *World) Now() time.Duration { return w.now }

// Calls are all calls so far.
func (w *World) Calls() []*Call { return w.calls }

func (w *World) after(d time.Duration, do func()) {
	w.count++
	heap.Push(&w.events, event{w.now + max(0, d), w.count, do})
}

// RunUntil lets the world go on.
func (w *World) RunUntil(end time.Duration) {
	for len(w.events) > 0 && w.events[0].at <= end {
		e := heap.Pop(&w.events).(event)
		w.now = e.at
		e.do()
	}
	w.now = end
}

// luck is a number from 0 to 1 that follows from what it is for.
func (w *World) luck(call int, what string) float64 {
	h := xxhash.Sum64String(fmt.Sprintf("%d/%d/%s", w.cfg.Seed, call, what))
	return (float64(h>>11) + 0.5) / (1 << 53)
}

// gap is the time to the next arrival.
func (w *World) gap() time.Duration {
	return time.Duration(w.arrive.ExpFloat64() / w.cfg.Rate * float64(time.Second))
}

func (w *World) class(x float64) int {
	for i, share := range w.cfg.Mix {
		if x -= share; x < 0 {
			return i
		}
	}
	return len(w.cfg.Mix) - 1
}

func (w *World) arrival() {
	w.after(w.gap(), w.arrival)
	n := w.asked
	w.asked++
	class := w.class(w.luck(n, "class"))
	c := &Call{At: w.now, Class: class}
	w.calls = append(w.calls, c)
	agent := w.agent
	call := &ledger.Call{Request: choice.Request{ID: fmt.Sprint(n), Class: class, Deadline: w.now + w.cfg.Module.Classes[class].Deadline,
		Key: fmt.Sprint("k", n)}, Payload: &payload{n, c}}
	call.Answer = func(a ledger.Answer) { c.Kind, c.Answered = a.Kind, w.now }
	w.do(agent, agent.ledger.Arrived(w.now, call))
}

type payload struct {
	n    int
	call *Call
}

// start begins a life of the agent, with what an earlier one knew if that is not nil.
func (w *World) start(past *aging.Past, seed uint64) error {
	module, err := choice.New(w.cfg.Module, w.cfg.Seed+seed)
	if err != nil {
		return err
	}
	a := &agent{tries: map[*ledger.Attempt]*try{}}
	a.ledger = ledger.New(ledger.Settings{MaxAttempts: w.cfg.Module.MaxAttempts, Carries: func(choice.Protocols) bool { return true }}, module)
	w.agent = a
	w.do(a, a.ledger.Start(w.now))
	var entries []ledger.Entry
	for _, s := range w.cfg.Servers {
		if w.cfg.Told {
			break
		}
		entries = append(entries, ledger.Entry{Server: choice.Server{ID: s.ID, Weight: 1}, Addr: s.ID})
	}
	if past != nil {
		a.ledger.Remember(past)
	}
	w.do(a, a.ledger.List(w.now, true, entries))
	a.ledger.Recall(w.now, w.Clock())
	return nil
}

// Add starts a server, which the agent does not know by that.
func (w *World) Add(s Server) { w.servers[s.ID] = &server{Server: s, since: w.now} }

// Kill ends a server: it refuses connections, and what it has in hand is never answered.
func (w *World) Kill(id string) {
	s := w.servers[id]
	s.dead, s.Silent, s.queue = true, true, nil
}

// At lets something happen at a time.
func (w *World) At(at time.Duration, do func()) { w.after(at-w.now, do) }

// Tell tells the agent of changes of its list. The address of a server is its id in this world.
func (w *World) Tell(changes []ledger.Entry) {
	if len(changes) > 0 {
		w.do(w.agent, w.agent.ledger.List(w.now, false, changes))
	}
}

// Clock is that of the agent's machine.
func (w *World) Clock() learned.Clock { return learned.Clock{Wall: w.now, Boot: w.now, BootID: bootID} }

// Kept is what the agent would keep now.
func (w *World) Kept() learned.State {
	var l ledger.Learned
	w.agent.ledger.Export(w.now, &l, nil)
	return learned.New(w.Clock(), "sim", l.Memory, l.Servers, l.Fleet, nil)
}

// Restart ends the agent, whose calls in hand are lost, and begins the next one.
func (w *World) Restart(past *aging.Past) error {
	w.agent.over = true
	return w.start(past, 1)
}

// do carries out a ledger's orders.
func (w *World) do(a *agent, orders []ledger.Order) {
	for _, o := range slices.Clone(orders) { // what follows from one may order anew
		switch o.Kind {
		case ledger.SetTimer:
			token := o.Token
			w.after(o.At-w.now, func() {
				if !a.over {
					w.do(a, a.ledger.Fired(w.now, token))
				}
			})
		case ledger.Begin:
			w.begin(a, o.Attempt)
		case ledger.Withdraw:
			if t := a.tries[o.Attempt]; t != nil {
				w.after(0, func() { w.end(a, t, ledger.Ended(choice.Cancelled)) })
			}
		case ledger.Reply:
			o.Call.Answer(o.Answer)
		}
	}
}

func (w *World) begin(a *agent, at *ledger.Attempt) {
	t := &try{at: at}
	a.tries[at] = t
	p := at.Payload.(*payload)
	p.call.Attempts++
	w.after(at.End-w.now, func() { w.end(a, t, ledger.Ended(choice.TimedOut)) })
	s := w.servers[at.Server.Addr]
	mean := float64(w.cfg.Work[at.Call.Class])
	work := time.Duration(-math.Log(w.luck(p.n, "work"))*mean/s.Speed) + 1
	w.after(w.cfg.Network, func() {
		switch {
		case s == nil || s.dead:
			w.after(w.cfg.Network, func() { w.end(a, t, ledger.Ended(choice.ConnectFailed)) })
			return
		case s.Silent:
			return
		}
		w.serve(s, &job{work, func() {
			e := ledger.Ended(choice.OK)
			if w.cfg.Reports {
				e.Report = s.report(w.now)
			}
			w.after(w.cfg.Network, func() { w.end(a, t, e) })
		}})
	})
}

func (w *World) end(a *agent, t *try, e ledger.Ending) {
	if t.ended || a.over {
		return
	}
	t.ended = true
	delete(a.tries, t.at)
	w.do(a, a.ledger.Ended(w.now, t.at, e))
}

// serve has a server work on a job, or queue it. What was given up is worked on all the same, as servers do.
func (w *World) serve(s *server, j *job) {
	s.pass(w.now)
	if s.busy >= s.Cores {
		s.queue = append(s.queue, j)
		return
	}
	s.busy++
	w.after(j.work, func() {
		s.pass(w.now)
		s.busy--
		s.done += 1 / horizon.Seconds()
		if !s.dead {
			j.then()
		}
		if len(s.queue) > 0 && s.busy < s.Cores {
			next := s.queue[0]
			s.queue = s.queue[1:]
			w.serve(s, next)
		}
	})
}

// horizon is over what time servers average what they report.
const horizon = time.Second

// pass lets time pass for a server's averages.
func (s *server) pass(now time.Duration) {
	keep := math.Exp(-float64(now-s.since) / float64(horizon))
	s.done *= keep
	s.used = s.used*keep + (1-keep)*float64(s.busy)/float64(s.Cores)
	s.since = now
}

func (s *server) report(now time.Duration) choice.Report {
	s.pass(now)
	r := choice.NoReport
	r.Util, r.Rate = s.used, s.done
	return r
}

// Lost is the share of the worth that calls which came within a time did not earn. An answer within the aim earns all, one
// at the deadline nothing, one between them its part; all else earns nothing.
func (w *World) Lost(from, to time.Duration) float64 {
	most, lost := 0.0, 0.0
	for _, c := range w.calls {
		if c.At < from || c.At >= to {
			continue
		}
		class := w.cfg.Module.Classes[c.Class]
		most += class.Worth
		earned := 0.0
		if took := c.Answered - c.At; c.Answered > 0 && c.Kind == ledger.Served {
			earned = min(1, max(0, float64(class.Deadline-took)/float64(class.Deadline-class.Aim)))
		}
		lost += class.Worth * (1 - earned)
	}
	if most == 0 {
		return 0
	}
	return lost / most
}
