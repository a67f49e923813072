// Package sim simulates agents and their servers in virtual time. The agents run the same call tracker (package calltrack) and
// balancer (package choice) as in production, without approximation; the network and the servers are models. Runs are
// deterministic by seed. The random figures of a call do not depend on other calls, so that variants under comparison see the
// same calls with the same random figures. Agents share no state: they influence each other only through the servers.
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
	"ternbeam/internal/decide/calltrack"
	"ternbeam/internal/decide/learned"
	"ternbeam/internal/decide/subset"
)

// Server configures the model of a server: a FIFO queue of calls, worked on by a number of cores.
type Server struct {
	ID     string
	Cores  int
	Speed  float64 // seconds of work that a core does per second
	Silent bool    // accepts calls, but never answers
	dead   bool    // refuses connections
}

// Config configures a World.
type Config struct {
	Module     choice.Settings
	Servers    []Server
	Agents     int             // 0 means 1
	Rate       float64         // calls per second, all agents together
	Shares     []float64       // relative share of the calls of each agent; nil for equal shares
	Mix        []float64       // share of the calls of each class
	Work       []time.Duration // mean work of a call, by class; exponentially distributed
	Network    time.Duration   // one-way latency
	Reports    bool            // answers report the server's load
	StartEmpty bool            // agents start without servers and know only those passed to UpdateList
	Seed       uint64

	// BelievedRank returns the rank of an agent among all agents and their number, as the agent believes. nil for the true values.
	BelievedRank func(agent int) (me, agents int)
	// OnAttempt, if not nil, is called for each attempt that reaches a server.
	OnAttempt func(at time.Duration, agent int, server string)
}

// StartTime is the time of the balancers' clock at which a World starts.
const StartTime = 1000 * time.Hour

// bootID is the boot id of the simulated machine that the agents run on.
const bootID = "00000000-0000-4000-8000-000000000001"

// World is a running simulation. It is not safe for concurrent use.
type World struct {
	cfg              Config
	now              time.Duration
	events           events
	eventCount       uint64 // events so far; orders events of the same time
	servers          map[string]*server
	arrivals         *rand.Rand
	callCount        int
	cumulativeShares []float64 // prefix sums of the agents' shares

	agents []*agent
	calls  []*Call // in the order in which they arrived
}

// agent is one run of an agent process: a restarted agent is a new one.
type agent struct {
	number   int
	tracker  *calltrack.Tracker
	stopped  bool
	attempts map[*calltrack.Attempt]*attempt
}

// Call is a client's call and its result.
type Call struct {
	At         time.Duration // of arrival
	Class      int
	Kind       calltrack.AnswerKind
	AnsweredAt time.Duration // 0 if its agent stopped before
	Attempts   int
}

type attempt struct {
	tracked *calltrack.Attempt
	ended   bool
}

type server struct {
	Server
	busy        int
	queue       []*job
	rate        float64 // completed calls per second, smoothed
	utilization float64 // busy share of the cores, smoothed
	averagedAt  time.Duration
}

type job struct {
	work time.Duration
	done func()
}

type event struct {
	at  time.Duration
	seq uint64
	run func()
}

type events []event

func (e events) Len() int      { return len(e) }
func (e events) Swap(i, j int) { e[i], e[j] = e[j], e[i] }
func (e events) Less(i, j int) bool {
	return cmp.Or(cmp.Compare(e[i].at, e[j].at), cmp.Compare(e[i].seq, e[j].seq)) < 0
}
func (e *events) Push(x any) { *e = append(*e, x.(event)) }
func (e *events) Pop() any {
	last := (*e)[len(*e)-1]
	*e = (*e)[:len(*e)-1]
	return last
}

// New returns a World whose agents start without learned state. It returns an error if the lengths in cfg do not match or the
// rate is not above 0.
func New(cfg Config) (*World, error) {
	w := &World{cfg: cfg, now: StartTime, servers: map[string]*server{}, arrivals: rand.New(rand.NewPCG(cfg.Seed, 1))}
	if len(cfg.Mix) != len(cfg.Module.Classes) || len(cfg.Work) != len(cfg.Module.Classes) || !(cfg.Rate > 0) {
		return nil, fmt.Errorf("the simulation needs a rate above 0, and a share and a mean work for each of its %d classes", len(cfg.Module.Classes))
	}
	for _, s := range cfg.Servers {
		w.servers[s.ID] = &server{Server: s, averagedAt: w.now}
	}
	w.cfg.Agents = max(1, cfg.Agents)
	if len(cfg.Shares) != 0 && len(cfg.Shares) != w.cfg.Agents {
		return nil, fmt.Errorf("%d agents configured, but shares for %d", w.cfg.Agents, len(cfg.Shares))
	}
	sum := 0.0
	for i := range w.cfg.Agents {
		if len(cfg.Shares) > 0 {
			sum += cfg.Shares[i]
		} else {
			sum++
		}
		w.cumulativeShares = append(w.cumulativeShares, sum)
		w.agents = append(w.agents, nil)
		if err := w.startAgent(i, nil, 0); err != nil {
			return nil, err
		}
	}
	w.scheduleAfter(w.interarrivalTime(), w.callArrives)
	return w, nil
}

// Now returns the virtual time.
func (w *World) Now() time.Duration { return w.now }

// Calls returns all calls so far, in order of arrival.
func (w *World) Calls() []*Call { return w.calls }

// scheduleAfter runs a function after a delay in virtual time, or at once if the delay is negative.
func (w *World) scheduleAfter(delay time.Duration, run func()) {
	w.eventCount++
	heap.Push(&w.events, event{w.now + max(0, delay), w.eventCount, run})
}

// RunUntil processes all events up to the time end, inclusive, and sets the clock to it.
func (w *World) RunUntil(end time.Duration) {
	for len(w.events) > 0 && w.events[0].at <= end {
		e := heap.Pop(&w.events).(event)
		w.now = e.at
		e.run()
	}
	w.now = end
}

// random returns a number between 0 and 1 that depends only on the seed, the call and the purpose.
func (w *World) random(call int, purpose string) float64 {
	h := xxhash.Sum64String(fmt.Sprintf("%d/%d/%s", w.cfg.Seed, call, purpose))
	return (float64(h>>11) + 0.5) / (1 << 53)
}

// interarrivalTime draws the time to the next call, exponentially distributed.
func (w *World) interarrivalTime() time.Duration {
	return time.Duration(w.arrivals.ExpFloat64() / w.cfg.Rate * float64(time.Second))
}

func (w *World) classAt(quantile float64) int {
	for i, share := range w.cfg.Mix {
		if quantile -= share; quantile < 0 {
			return i
		}
	}
	return len(w.cfg.Mix) - 1
}

func (w *World) callArrives() {
	w.scheduleAfter(w.interarrivalTime(), w.callArrives)
	number := w.callCount
	w.callCount++
	class := w.classAt(w.random(number, "class"))
	index, _ := slices.BinarySearch(w.cumulativeShares, w.random(number, "agent")*w.cumulativeShares[len(w.cumulativeShares)-1])
	agent := w.agents[index]
	c := &Call{At: w.now, Class: class}
	w.calls = append(w.calls, c)
	call := &calltrack.Call{Request: choice.Request{ID: fmt.Sprint(number), Class: class, Deadline: w.now + w.cfg.Module.Classes[class].Deadline,
		Key: fmt.Sprint("k", number)}, Payload: &payload{number, c}}
	call.Answer = func(a calltrack.Answer) { c.Kind, c.AnsweredAt = a.Kind, w.now }
	w.execute(agent, agent.tracker.CallArrived(w.now, call))
}

// payload links a call in the call tracker to its number in the World and its result.
type payload struct {
	number int
	call   *Call
}

// startAgent starts an agent, with the learned state of an earlier one if past is not nil. seedOffset distinguishes the runs
// of one agent, so that each draws other random numbers.
func (w *World) startAgent(number int, past *aging.Restored, seedOffset uint64) error {
	me, agents := number, w.cfg.Agents
	if w.cfg.BelievedRank != nil {
		me, agents = w.cfg.BelievedRank(number)
	}
	settings, agentSeed := w.cfg.Module, w.cfg.Seed+seedOffset+uint64(number)<<32
	settings.Balancers = agents
	balancer, err := choice.New(settings, agentSeed)
	if err != nil {
		return err
	}
	a := &agent{number: number, attempts: map[*calltrack.Attempt]*attempt{}}
	a.tracker = calltrack.New(calltrack.Settings{MaxAttempts: settings.MaxAttempts,
		Ranks: subset.New(subset.Settings{Agents: agents, Me: me, Seed: agentSeed}), HasTransport: func(choice.Protocols) bool { return true }}, balancer)
	w.agents[number] = a
	w.execute(a, a.tracker.Start(w.now))
	var entries []calltrack.Entry
	for _, s := range w.cfg.Servers {
		if w.cfg.StartEmpty {
			break
		}
		entries = append(entries, calltrack.Entry{Server: choice.Server{ID: s.ID, Weight: 1}, Addr: s.ID})
	}
	if past != nil {
		a.tracker.LoadStored(past)
	}
	w.execute(a, a.tracker.UpdateServers(w.now, true, entries))
	a.tracker.ImportNewlyListed(w.now, w.Clock())
	return nil
}

// AddServer starts a server. Agents do not know it until UpdateList is called with it.
func (w *World) AddServer(s Server) { w.servers[s.ID] = &server{Server: s, averagedAt: w.now} }

// KillServer stops a server: it refuses connections, and its open calls are never answered.
func (w *World) KillServer(id string) {
	s := w.servers[id]
	s.dead, s.Silent, s.queue = true, true, nil
}

// Schedule runs a function at a virtual time, or at once if that has passed.
func (w *World) Schedule(at time.Duration, run func()) { w.scheduleAfter(at-w.now, run) }

// SetSilent makes a server accept calls without answering, or answer again. Calls received while it was silent are never
// answered.
func (w *World) SetSilent(id string, silent bool) { w.servers[id].Silent = silent }

// UpdateList passes changes of the server list to the agents. The address of a server is its id here.
func (w *World) UpdateList(changes []calltrack.Entry) {
	if len(changes) == 0 {
		return
	}
	for _, a := range w.agents {
		w.execute(a, a.tracker.UpdateServers(w.now, false, changes))
	}
}

// Clock returns the clock readings of the simulated machine.
func (w *World) Clock() learned.Clock { return learned.Clock{Wall: w.now, Boot: w.now, BootID: bootID} }

// Export returns the learned state that the first agent would persist now.
func (w *World) Export() learned.State {
	var l calltrack.Learned
	w.agents[0].tracker.Export(w.now, &l, nil)
	return learned.New(w.Clock(), "sim", l.Memory, l.Servers, l.Fleet, nil)
}

// Restart stops the first agent, whose open calls are lost, and starts its successor, with learned state if past is not nil.
func (w *World) Restart(past *aging.Restored) error {
	w.agents[0].stopped = true
	return w.startAgent(0, past, 1)
}

// execute carries out the commands of an agent's call tracker.
func (w *World) execute(a *agent, commands []calltrack.Command) {
	for _, o := range slices.Clone(commands) { // carrying one out may lead to new commands
		switch o.Kind {
		case calltrack.SetTimer:
			token := o.Token
			w.scheduleAfter(o.At-w.now, func() {
				if !a.stopped {
					w.execute(a, a.tracker.TimerFired(w.now, token))
				}
			})
		case calltrack.StartAttempt:
			w.startAttempt(a, o.Attempt)
		case calltrack.CancelAttempt:
			if t := a.attempts[o.Attempt]; t != nil {
				w.scheduleAfter(0, func() { w.endAttempt(a, t, calltrack.ResultOnly(choice.Canceled)) })
			}
		case calltrack.Reply:
			o.Call.Answer(o.Answer)
		}
	}
}

func (w *World) startAttempt(a *agent, tracked *calltrack.Attempt) {
	t := &attempt{tracked: tracked}
	a.attempts[tracked] = t
	p := tracked.Payload.(*payload)
	p.call.Attempts++
	w.scheduleAfter(tracked.Deadline-w.now, func() { w.endAttempt(a, t, calltrack.ResultOnly(choice.TimedOut)) })
	s := w.servers[tracked.Server.Addr]
	mean := float64(w.cfg.Work[tracked.Call.Class])
	work := time.Duration(-math.Log(w.random(p.number, "work"))*mean/s.Speed) + 1
	w.scheduleAfter(w.cfg.Network, func() {
		if w.cfg.OnAttempt != nil {
			w.cfg.OnAttempt(w.now, a.number, tracked.Server.Addr)
		}
		switch {
		case s == nil || s.dead:
			w.scheduleAfter(w.cfg.Network, func() { w.endAttempt(a, t, calltrack.ResultOnly(choice.ConnectFailed)) })
			return
		case s.Silent:
			return
		}
		w.serve(s, &job{work, func() {
			e := calltrack.ResultOnly(choice.OK)
			if w.cfg.Reports {
				e.Report = s.report(w.now)
			}
			w.scheduleAfter(w.cfg.Network, func() { w.endAttempt(a, t, e) })
		}})
	})
}

func (w *World) endAttempt(a *agent, t *attempt, e calltrack.AttemptOutcome) {
	if t.ended || a.stopped {
		return
	}
	t.ended = true
	delete(a.attempts, t.tracked)
	w.execute(a, a.tracker.AttemptEnded(w.now, t.tracked, e))
}

// serve makes a server work on a job, or queue it. Calls that the agent canceled are worked on all the same, as real servers do.
func (w *World) serve(s *server, j *job) {
	s.updateAverages(w.now)
	if s.busy >= s.Cores {
		s.queue = append(s.queue, j)
		return
	}
	s.busy++
	w.scheduleAfter(j.work, func() {
		s.updateAverages(w.now)
		s.busy--
		s.rate += 1 / reportHorizon.Seconds()
		if !s.dead {
			j.done()
		}
		if len(s.queue) > 0 && s.busy < s.Cores {
			next := s.queue[0]
			s.queue = s.queue[1:]
			w.serve(s, next)
		}
	})
}

// reportHorizon is the time constant of the averages that servers report.
const reportHorizon = time.Second

// updateAverages decays the server's averages up to now.
func (s *server) updateAverages(now time.Duration) {
	keep := math.Exp(-float64(now-s.averagedAt) / float64(reportHorizon))
	s.rate *= keep
	s.utilization = s.utilization*keep + (1-keep)*float64(s.busy)/float64(s.Cores)
	s.averagedAt = now
}

func (s *server) report(now time.Duration) choice.Report {
	s.updateAverages(now)
	r := choice.NoReport
	r.Util, r.Rate = s.utilization, s.rate
	return r
}

// LostShare returns which share of the value of the calls that arrived in the half-open interval [from, to) was lost. A call that
// is served within its class's aim earns its full value, one served at the deadline nothing, with a linear decrease between;
// all other calls earn nothing.
func (w *World) LostShare(from, to time.Duration) float64 {
	total, lost := 0.0, 0.0
	for _, c := range w.calls {
		if c.At < from || c.At >= to {
			continue
		}
		class := w.cfg.Module.Classes[c.Class]
		total += class.Value
		earned := 0.0
		if took := c.AnsweredAt - c.At; c.AnsweredAt > 0 && c.Kind == calltrack.Served {
			earned = min(1, max(0, float64(class.Deadline-took)/float64(class.Deadline-class.Aim)))
		}
		lost += class.Value * (1 - earned)
	}
	if total == 0 {
		return 0
	}
	return lost / total
}
