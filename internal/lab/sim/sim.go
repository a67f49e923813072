// Package sim is agents and their servers in virtual time: another host of the same ledger and module that serve on
// sockets. Nothing of them is approximated; the network and the servers are models. One seed gives one run, and what
// happens to a call does not depend on what happened to others, so that two variants meet the same calls and the same luck.
// What an agent can't know of the others it does not know here: they meet only at the servers.
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
	"ternbeam/internal/decide/subset"
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
	Agents  int             // 1 where 0
	Rate    float64         // calls a second, at all agents together
	Shares  []float64       // the agents' parts of them; nil where all are equal
	Mix     []float64       // their classes, by share
	Work    []time.Duration // mean work of a call, by class; exponentially spread
	Network time.Duration   // one way
	Reports bool            // answers say the server's load
	Told    bool            // the agent knows of no server but those that Tell names
	Seed    uint64

	// Place says what an agent believes of its place among all. nil where each knows.
	Place func(agent int) (me, agents int)
	// Got is told of each attempt that reaches a server. nil for nobody.
	Got func(at time.Duration, agent int, server string)
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
	sums    []float64 // of the shares

	agents []*agent
	calls  []*Call // in the order in which they arrived
}

// agent is one life of the agent.
type agent struct {
	number int
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

// New returns a world with agents that know nothing.
func New(cfg Config) (*World, error) {
	w := &World{cfg: cfg, now: Base, servers: map[string]*server{}, arrive: rand.New(rand.NewPCG(cfg.Seed, 1))}
	if len(cfg.Mix) != len(cfg.Module.Classes) || len(cfg.Work) != len(cfg.Module.Classes) || !(cfg.Rate > 0) {
		return nil, fmt.Errorf("a world needs a rate above 0, and a share and a mean work for each of its %d classes", len(cfg.Module.Classes))
	}
	for _, s := range cfg.Servers {
		w.servers[s.ID] = &server{Server: s, since: w.now}
	}
	w.cfg.Agents = max(1, cfg.Agents)
	if len(cfg.Shares) != 0 && len(cfg.Shares) != w.cfg.Agents {
		return nil, fmt.Errorf("a world of %d agents has shares for %d", w.cfg.Agents, len(cfg.Shares))
	}
	sum := 0.0
	for i := range w.cfg.Agents {
		if len(cfg.Shares) > 0 {
			sum += cfg.Shares[i]
		} else {
			sum++
		}
		w.sums = append(w.sums, sum)
		w.agents = append(w.agents, nil)
		if err := w.start(i, nil, 0); err != nil {
			return nil, err
		}
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
	at, _ := slices.BinarySearch(w.sums, w.luck(n, "agent")*w.sums[len(w.sums)-1])
	agent := w.agents[at]
	c := &Call{At: w.now, Class: class}
	w.calls = append(w.calls, c)
	call := &ledger.Call{Request: choice.Request{ID: fmt.Sprint(n), Class: class, Deadline: w.now + w.cfg.Module.Classes[class].Deadline,
		Key: fmt.Sprint("k", n)}, Payload: &payload{n, c}}
	call.Answer = func(a ledger.Answer) { c.Kind, c.Answered = a.Kind, w.now }
	w.do(agent, agent.ledger.Arrived(w.now, call))
}

type payload struct {
	n    int
	call *Call
}

// start begins a life of an agent, with what an earlier one knew if that is not nil.
func (w *World) start(number int, past *aging.Past, seed uint64) error {
	me, agents := number, w.cfg.Agents
	if w.cfg.Place != nil {
		me, agents = w.cfg.Place(number)
	}
	set, own := w.cfg.Module, w.cfg.Seed+seed+uint64(number)<<32
	set.Balancers = agents
	module, err := choice.New(set, own)
	if err != nil {
		return err
	}
	a := &agent{number: number, tries: map[*ledger.Attempt]*try{}}
	a.ledger = ledger.New(ledger.Settings{MaxAttempts: set.MaxAttempts,
		Places: subset.New(subset.Settings{Agents: agents, Me: me, Seed: own}), Carries: func(choice.Protocols) bool { return true }}, module)
	w.agents[number] = a
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

// Add starts a server, which no agent knows by that.
func (w *World) Add(s Server) { w.servers[s.ID] = &server{Server: s, since: w.now} }

// Kill ends a server: it refuses connections, and what it has in hand is never answered.
func (w *World) Kill(id string) {
	s := w.servers[id]
	s.dead, s.Silent, s.queue = true, true, nil
}

// At lets something happen at a time.
func (w *World) At(at time.Duration, do func()) { w.after(at-w.now, do) }

// Mute has a server take calls and answer none, or answer again; what came meanwhile is never answered.
func (w *World) Mute(id string, silent bool) { w.servers[id].Silent = silent }

// Tell tells the agents of changes of the list. The address of a server is its id in this world.
func (w *World) Tell(changes []ledger.Entry) {
	if len(changes) == 0 {
		return
	}
	for _, a := range w.agents {
		w.do(a, a.ledger.List(w.now, false, changes))
	}
}

// Clock is that of the agent's machine.
func (w *World) Clock() learned.Clock { return learned.Clock{Wall: w.now, Boot: w.now, BootID: bootID} }

// Kept is what the first agent would keep now.
func (w *World) Kept() learned.State {
	var l ledger.Learned
	w.agents[0].ledger.Export(w.now, &l, nil)
	return learned.New(w.Clock(), "sim", l.Memory, l.Servers, l.Fleet, nil)
}

// Restart ends the first agent, whose calls in hand are lost, and begins the next one.
func (w *World) Restart(past *aging.Past) error {
	w.agents[0].over = true
	return w.start(0, past, 1)
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
		if w.cfg.Got != nil {
			w.cfg.Got(w.now, a.number, at.Server.Addr)
		}
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
