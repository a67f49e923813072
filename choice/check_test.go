package choice

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"testing"
	"time"
)

// world simulates clients, servers and the server list with random events, and checks every action of a
// Balancer against the rules. It shares no code with the package: it keeps its own records, from events and
// actions alone.
type world struct {
	settings Settings
	rng      *rand.Rand
	now      time.Duration
	servers  map[string]*worldServer
	ids      []string // of all servers ever listed, in order
	requests map[string]*worldRequest
	openIDs  []string
	timers   []worldTimer
	probes   []worldProbe
	faults   []string
	count    int
	sends    int
	refusals int
	failures int
}

type worldServer struct {
	Server
	stoppedAt time.Duration // when the list told the balancer to send no more; 0 while ready
}

type worldRequest struct {
	Request
	sent   []worldAttempt
	closed bool
}

type worldAttempt struct {
	server   *worldServer
	from     Server // as it was at the send
	sentAt   time.Duration
	inFlight bool
	neverRan bool
	endsAt   time.Duration
	result   Result

	answerStarted bool
}

type worldProbe struct {
	at     time.Duration
	server string
}

type worldTimer struct {
	at    time.Duration
	token uint64
}

func newWorld(settings Settings, seed uint64) *world {
	return &world{settings: settings, rng: rand.New(rand.NewPCG(seed, 7)), now: time.Hour,
		servers: map[string]*worldServer{}, requests: map[string]*worldRequest{}}
}

func (w *world) addFault(format string, args ...any) {
	w.faults = append(w.faults, fmt.Sprintf("at %v: ", w.now)+fmt.Sprintf(format, args...))
}

// apply checks and carries out the actions.
func (w *world) apply(actions []Action) {
	for _, a := range slices.Clone(actions) {
		r := w.requests[a.Request]
		if r == nil && (a.Kind == Send || a.Kind == Cancel || a.Kind == Refuse || a.Kind == Fail) {
			w.addFault("action for the unknown request %q", a.Request)
			continue
		}
		switch a.Kind {
		case SetTimer:
			w.timers = append(w.timers, worldTimer{w.now + a.After, a.Token})
		case Probe:
			if s := w.servers[a.Server]; !w.settings.CanProbe || s == nil {
				w.addFault("illegal probe of %q", a.Server)
			}
			w.probes = append(w.probes, worldProbe{w.now + time.Duration(w.rng.ExpFloat64()*20e6), a.Server})
		case Send:
			w.send(r, a)
		case Cancel:
			w.cancel(r, a)
		case Refuse:
			w.refusals++
			w.refuse(r)
			w.finalAnswer(r)
		case Fail:
			w.failures++
			w.finalAnswer(r)
		}
	}
}

func (w *world) send(r *worldRequest, a Action) {
	w.sends++
	s, c := w.servers[a.Server], w.settings.Classes[r.Class]
	if s == nil {
		w.addFault("send to the unknown server %q", a.Server)
		return
	}
	if r.closed {
		w.addFault("send for the closed request %s", r.ID)
	}
	if s.stoppedAt != 0 {
		w.addFault("send to %s, which drains or is removed", s.ID)
	}
	if len(r.sent) >= w.settings.MaxAttempts {
		w.addFault("attempt %d of %d allowed", len(r.sent)+1, w.settings.MaxAttempts)
	}
	if last := c.Effect == Unsafe || len(r.sent)+1 == w.settings.MaxAttempts; a.Last != last {
		w.addFault("a send says %t of being the last, want %t", a.Last, last)
	}
	inFlight := 0
	var first *worldAttempt
	for i := range r.sent {
		p := &r.sent[i]
		if p.inFlight {
			inFlight++
		}
		if p.neverRan {
			continue
		}
		if first == nil {
			first = p
		}
		switch {
		case c.Effect == Unsafe:
			w.addFault("an unsafe request is repeated")
		case c.Effect == Keyed && c.DedupScope == DedupZone && (p.from.Zone != s.Zone || p.from.ZoneUnknown || s.ZoneUnknown),
			c.Effect == Keyed && c.DedupScope == DedupCell && (p.from.Cell != s.Cell || p.from.CellUnknown || s.CellUnknown):
			w.addFault("a keyed request is sent outside its deduplication scope")
		}
	}
	if c.Effect == Keyed && first != nil && w.now-first.sentAt >= c.DedupWindow {
		w.addFault("a keyed request is repeated after its window")
	}
	if inFlight > 1 || inFlight == 1 && !w.settings.ParallelAttempts {
		w.addFault("%d attempts in flight already", inFlight)
	}
	// Outcomes arrive early, late or not before the deadline, with results of every kind.
	results := []Result{OK, OK, OK, OK, OK, Failed, Rejected, TimedOut, ConnectFailed, Reset}
	p := worldAttempt{server: s, from: s.Server, sentAt: w.now, inFlight: true,
		result: results[w.rng.IntN(len(results))]}
	p.endsAt = w.now + time.Duration(w.rng.ExpFloat64()*float64(c.Aim)/3) + time.Millisecond
	if p.endsAt > r.Deadline {
		p.endsAt, p.result = r.Deadline, TimedOut
	}
	r.sent = append(r.sent, p)
}

func (w *world) cancel(r *worldRequest, a Action) {
	if !w.settings.CanCancel || a.Attempt >= len(r.sent) {
		w.addFault("cancel is not allowed or the attempt does not exist")
		return
	}
	if p := &r.sent[a.Attempt]; p.inFlight {
		if p.answerStarted && !r.closed {
			w.addFault("an attempt is canceled whose answer has begun")
		}
		p.endsAt, p.result = w.now+time.Millisecond, Canceled
	}
}

func (w *world) refuse(r *worldRequest) {
	c := w.settings.Classes[r.Class]
	for _, p := range r.sent {
		if !p.neverRan && (c.Effect == Unsafe || c.Effect == Keyed && c.DedupScope != DedupAll) {
			w.addFault("a request that may have run is refused")
			return
		}
	}
}

func (w *world) finalAnswer(r *worldRequest) {
	if r.closed {
		w.addFault("a second final answer for %s", r.ID)
	}
	if w.now > r.Deadline+2*w.settings.Tick {
		w.addFault("a final answer %v after the deadline", w.now-r.Deadline)
	}
	r.closed = true
}

// step advances the clock by a tick and returns the events that are due, in order. Each event changes the
// records only when it is delivered, since the balancer does not know of the later ones.
func (w *world) step(load float64) (events []func() Event) {
	w.now += w.settings.Tick
	kept := w.timers[:0]
	for _, t := range w.timers {
		if t.at > w.now {
			kept = append(kept, t)
			continue
		}
		events = append(events, func() Event { return TimerFired{t.token} })
	}
	w.timers = kept
	w.probes = slices.DeleteFunc(w.probes, func(p worldProbe) bool {
		if p.at <= w.now {
			// The result is OK or TimedOut.
			e := Probed{Server: p.server, Result: Result(w.rng.IntN(2) * int(TimedOut)), Report: w.report()}
			events = append(events, func() Event { return e })
		}
		return p.at <= w.now
	})
	if w.rng.Float64() < 0.02 {
		events = append(events, w.churn)
	}
	open := w.openIDs[:0]
	for _, id := range w.openIDs {
		r := w.requests[id]
		waiting := false
		for i := range r.sent {
			p := &r.sent[i]
			if p.inFlight && p.endsAt <= w.now {
				events = append(events, func() Event {
					p := &r.sent[i] // the slice may have been reallocated
					p.inFlight, p.neverRan = false, p.result.neverRanInTests()
					r.closed = r.closed || p.result == OK
					return Outcome{Request: id, Attempt: i, Server: p.server.ID, Result: p.result,
						Took: w.now - p.sentAt, Closed: r.closed, Report: w.report()}
				})
			}
			if p.inFlight && w.rng.Float64() < 0.01 {
				stalled := p.answerStarted
				events = append(events, func() Event {
					r.sent[i].answerStarted = true
					return AnswerStarted{id, i, stalled}
				})
			}
			waiting = waiting || p.inFlight
		}
		if !r.closed && w.rng.Float64() < 0.001 {
			events = append(events, func() Event {
				r.closed = true
				return ClientDisconnected{id}
			})
		}
		if !r.closed && w.now > r.Deadline+2*w.settings.Tick {
			w.addFault("no final answer for %s", id)
			r.closed = true
		}
		if !r.closed || waiting {
			open = append(open, id)
		}
	}
	w.openIDs = open
	for w.rng.Float64() < load {
		w.count++
		c := w.rng.IntN(len(w.settings.Classes))
		e := Request{ID: fmt.Sprint("r", w.count), Class: c, Key: fmt.Sprint("k", w.rng.IntN(20)),
			Deadline: w.now + time.Duration(float64(w.settings.Classes[c].Deadline)*(0.3+0.7*w.rng.Float64()))}
		w.requests[e.ID] = &worldRequest{Request: e}
		w.openIDs = append(w.openIDs, e.ID)
		events = append(events, func() Event { return e })
	}
	return events
}

// neverRanInTests states, independently of the package, which results prove that the request never ran.
func (r Result) neverRanInTests() bool {
	return slices.Contains([]Result{Rejected, ConnectFailed, NotSent}, r)
}

func (w *world) report() Report {
	if w.rng.Float64() < 0.3 {
		return NoReport
	}
	r := NoReport
	r.Util, r.Rate, r.InFlight = w.rng.Float64(), 100*w.rng.Float64(), float64(w.rng.IntN(20))
	return r
}

// churn adds, restarts, drains or removes a server, or repeats the full list.
func (w *world) churn() Event {
	if len(w.ids) < 3 || w.rng.Float64() < 0.3 {
		s := &worldServer{Server: Server{ID: fmt.Sprint("s", len(w.ids)), Zone: w.rng.IntN(2), Cell: w.rng.IntN(3),
			ZoneUnknown: len(w.ids)%5 == 3, CellUnknown: len(w.ids)%5 == 4, Weight: 1 + w.rng.Float64(), Started: w.now}}
		w.servers[s.ID] = s
		w.ids = append(w.ids, s.ID)
		return ServerList{Servers: []Server{s.Server}}
	}
	if w.rng.Float64() < 0.2 {
		all := ServerList{Full: true}
		for _, id := range w.ids {
			s := w.servers[id]
			if s.State == Removed || w.rng.Float64() < 0.05 { // a server missing from a full list is removed
				s.State, s.stoppedAt = Removed, w.now
				continue
			}
			all.Servers = append(all.Servers, s.Server)
		}
		return all
	}
	s := w.servers[w.ids[w.rng.IntN(len(w.ids))]]
	s.State = []State{Ready, Ready, Draining, Removed}[w.rng.IntN(4)]
	switch {
	case s.State == Ready:
		s.Started, s.stoppedAt = w.now, 0
	case s.stoppedAt == 0:
		s.stoppedAt = w.now
	}
	return ServerList{Servers: []Server{s.Server}}
}

// tamper may change the actions before they are carried out.
type tamper func(*Balancer, []Action) []Action

// run simulates the given number of steps, then goes on without new requests until all have ended.
func (w *world) run(t *testing.T, steps int, load float64, tamper tamper) *Balancer {
	t.Helper()
	b, err := New(w.settings, 1)
	if err != nil {
		t.Fatal(err)
	}
	w.apply(b.Start(w.now))
	for i := range steps + int(w.longest()/w.settings.Tick) + 4 {
		l := load
		if i >= steps {
			l = 0
		}
		for _, event := range w.step(l) {
			actions := b.Handle(w.now, event())
			if tamper != nil {
				actions = tamper(b, actions)
			}
			w.apply(actions)
		}
	}
	return b
}

func (w *world) longest() (d time.Duration) {
	for _, c := range w.settings.Classes {
		d = max(d, c.Deadline)
	}
	return d
}

// randomSettings returns random settings.
func randomSettings(rng *rand.Rand) Settings {
	settings := Settings{Balancers: 1 + rng.IntN(5), Tick: 5 * time.Millisecond, Zone: rng.IntN(2),
		CrossZoneCost: 0.1 * float64(rng.IntN(2)), UseListWeights: rng.IntN(2) == 0,
		KeyAffinity: rng.IntN(2) == 0, MaxAttempts: 1 + rng.IntN(5), ParallelAttempts: rng.IntN(2) == 0,
		CanCancel: rng.IntN(3) > 0, CanProbe: rng.IntN(2) == 0, ReportsInFlight: rng.IntN(2) == 0,
		ProbeCost: 0.01 * float64(rng.IntN(3)), SlowStartMinShare: 0.3, SlowStartWindow: 5 * time.Second, MaxRetryAfter: time.Second}
	for i := range 1 + rng.IntN(3) {
		aim := time.Duration(100+rng.IntN(900)) * time.Millisecond
		settings.Classes = append(settings.Classes, Class{Name: fmt.Sprint("c", i), Effect: Effect(rng.IntN(3)),
			DedupScope: DedupScope(rng.IntN(3)), DedupWindow: aim, Aim: aim, Deadline: 3 * aim, Value: 1 + 9*rng.Float64()})
	}
	return settings
}

func TestRulesOverRandomEvents(t *testing.T) {
	sends, refusals, failures := 0, 0, 0
	for seed := range uint64(60) {
		rng := rand.New(rand.NewPCG(seed, 1))
		w := newWorld(randomSettings(rng), seed)
		b := w.run(t, 3000, 0.2+rng.Float64()*0.7, nil)
		for _, f := range w.faults {
			t.Errorf("seed %d: %s", seed, f)
		}
		if len(b.requests) != 0 {
			t.Errorf("seed %d: %d requests are kept after all have ended", seed, len(b.requests))
		}
		sends, refusals, failures = sends+w.sends, refusals+w.refusals, failures+w.failures
	}
	if sends < 10000 || refusals < 100 || failures < 100 {
		t.Errorf("the events cover too little: %d sends, %d refusals, %d failures", sends, refusals, failures)
	}
}

// Equal seeds give equal actions.
func TestDeterminism(t *testing.T) {
	trace := func() string {
		out := ""
		w := newWorld(randomSettings(rand.New(rand.NewPCG(3, 1))), 3)
		w.run(t, 1000, 0.5, func(_ *Balancer, a []Action) []Action {
			out += fmt.Sprint(a)
			return a
		})
		return out
	}
	if first, second := trace(), trace(); first != second {
		t.Error("two runs differ")
	}
}

// The checker must detect a planted violation of each rule.
func TestCheckerCatchesViolations(t *testing.T) {
	plants := map[string]func(w *world) tamper{
		"no final answer": func(*world) tamper {
			return func(_ *Balancer, a []Action) []Action {
				return slices.DeleteFunc(slices.Clone(a), func(a Action) bool {
					return a.Kind == Fail || a.Kind == Refuse
				})
			}
		},
		"a second final answer": func(*world) tamper {
			return func(_ *Balancer, a []Action) []Action {
				for _, x := range a {
					if x.Kind == Fail || x.Kind == Refuse {
						return append(slices.Clone(a), x)
					}
				}
				return a
			}
		},
		"which drains": func(w *world) tamper {
			return func(_ *Balancer, a []Action) []Action {
				a = slices.Clone(a)
				for i := range a {
					for _, id := range w.ids {
						if s := w.servers[id]; a[i].Kind == Send && s.stoppedAt != 0 {
							a[i].Server = id
						}
					}
				}
				return a
			}
		},
		"repeated": func(w *world) tamper {
			return func(_ *Balancer, a []Action) []Action {
				a = slices.Clone(a)
				for i := range a { // sends again instead of ending
					if (a[i].Kind == Fail || a[i].Kind == Refuse) && len(w.requests[a[i].Request].sent) > 0 {
						a[i] = Action{Kind: Send, Request: a[i].Request, Server: w.ids[0]}
					}
				}
				return a
			}
		},
		"is refused": func(*world) tamper {
			return func(_ *Balancer, a []Action) []Action {
				a = slices.Clone(a)
				for i := range a {
					if a[i].Kind == Fail {
						a[i].Kind = Refuse
					}
				}
				return a
			}
		},
		"attempts in flight": func(*world) tamper {
			return func(_ *Balancer, a []Action) []Action {
				for _, x := range a {
					if x.Kind == Send {
						return append(slices.Clone(a), x)
					}
				}
				return a
			}
		},
	}
	for name, plant := range plants {
		w := newWorld(Settings{}, 5)
		w.settings = randomSettings(rand.New(rand.NewPCG(2, 1)))
		w.settings.ParallelAttempts, w.settings.MaxAttempts = false, 3
		w.settings.Classes = []Class{{Effect: Unsafe, Aim: 200e6, Deadline: 600e6, Value: 1},
			{Effect: Keyed, DedupScope: DedupCell, DedupWindow: 200e6, Aim: 200e6, Deadline: 600e6, Value: 1}}
		w.run(t, 3000, 0.5, plant(w))
		if !slices.ContainsFunc(w.faults, func(f string) bool { return strings.Contains(f, name) }) {
			t.Errorf("planted violation not detected: %s; %d faults reported", name, len(w.faults))
		}
	}
}
