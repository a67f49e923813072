package fleet

import (
	"math"
	"strconv"
	"sync"
	"time"

	"ternbeam/internal/discovery"
	"ternbeam/internal/lab/standin"
)

// ServerOptions configures the model servers.
type ServerOptions struct {
	Capacity float64       // calls per second of a warm server
	Service  time.Duration // time of a call on an idle server
	Queue    time.Duration // limit of the queue; calls beyond it are rejected without an effect
	ColdFrom float64       // share of its capacity that a cold server has at its start
	ColdFor  time.Duration // time from the start to full capacity; 0 for servers that are never cold
	Push     float64       // multiple of its capacity at which a cold server crashes
	FallIn   time.Duration // window over which the load is measured for that
	Reports  bool          // answers report the load
}

// overloadSlack is the number of calls per window that a cold server accepts beyond its limit, for random variation in small numbers.
const overloadSlack = 12

// server is a form server that may be silent, crash, start again cold and crash of overload.
type server struct {
	id     string
	number int
	cell   int
	opts   ServerOptions
	group  *standin.DedupGroup
	record *Record
	now    func() time.Duration

	mu           sync.Mutex
	running      *standin.Server // nil while the server is down
	started      time.Time
	cold         bool
	silent       bool
	draining     bool
	idleAt       time.Duration   // when all work accepted so far will be done
	arrivals     []time.Duration // arrivals within the window FallIn
	capacities   []float64       // capacity at each arrival, in calls per second
	peakOverload float64         // highest load received while cold, as a multiple of the capacity
}

// start starts the server, cold or warm.
func (s *server) start(cold bool) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	running, err := standin.Start(standin.Options{ID: s.id, Protocol: "http", Cell: s.cell, DedupGroup: s.group, Script: s.handleCall, Load: s.load, NoLoad: !s.opts.Reports})
	if err != nil {
		return err
	}
	s.running, s.started, s.cold, s.silent, s.draining = running, time.Now(), cold && s.opts.ColdFor > 0, false, false
	s.idleAt, s.arrivals = 0, nil
	return nil
}

// stop stops the server, if it runs.
func (s *server) stop() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.running != nil {
		s.running.Close()
		s.running = nil
	}
}

// setSilent makes the server stop answering, or answer again.
func (s *server) setSilent(silent bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.silent = silent; silent {
		s.record.Add(ServerSilenced, -1, s.id)
	} else {
		s.record.Add(ServerAnswersAgain, -1, s.id)
	}
}

// startDraining marks the server as draining in its entry.
func (s *server) startDraining() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.draining = true
}

// maxOverload returns the highest load that the server received while cold, as a multiple of its capacity.
func (s *server) maxOverload() float64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.peakOverload
}

// entry returns the server's entry for the list. It has no address while the server is down.
func (s *server) entry() discovery.Entry {
	s.mu.Lock()
	defer s.mu.Unlock()
	e := discovery.Entry{ID: s.id, Zone: "z", Cell: s.cell, State: "in_service", Weight: 1}
	if s.running != nil {
		e.Addr = s.running.Addr()
	}
	if s.cold {
		e.StartedMS = s.started.UnixMilli()
	}
	if s.draining {
		e.State = "terminating"
	}
	return e
}

// capacity returns the server's present capacity in calls per second.
func (s *server) capacity() float64 {
	if !s.cold {
		return s.opts.Capacity
	}
	warmth := min(1, float64(time.Since(s.started))/float64(s.opts.ColdFor))
	return s.opts.Capacity * (s.opts.ColdFrom + (1-s.opts.ColdFrom)*warmth)
}

// handleCall decides how a call is answered, in order of arrival.
func (s *server) handleCall(c standin.Call) standin.Step {
	agent, call := parseCallID(c.ID)
	s.record.AddEvent(Event{Kind: CallReceived, Agent: agent, Call: call, Said: s.id})
	s.mu.Lock()
	defer s.mu.Unlock()
	now, capacity := s.now(), s.capacity()
	s.recordArrival(now, capacity)
	switch {
	case s.silent:
		return standin.Step{Fault: standin.NoReply}
	case s.running == nil:
		return standin.Step{Fault: standin.ResetBefore}
	}
	s.idleAt = max(s.idleAt, now) + time.Duration(float64(time.Second)/capacity)
	if s.idleAt-now > s.opts.Queue+s.opts.Service {
		s.idleAt -= time.Duration(float64(time.Second) / capacity)
		return standin.Step{Fault: standin.Reject}
	}
	return standin.Step{Delay: s.idleAt - now + s.opts.Service}
}

// recordArrival adds a call to the load, including calls that are rejected, and crashes a cold server that is overloaded.
func (s *server) recordArrival(now time.Duration, capacity float64) {
	for len(s.arrivals) > 0 && s.arrivals[0] < now-s.opts.FallIn {
		s.arrivals, s.capacities = s.arrivals[1:], s.capacities[1:]
	}
	s.arrivals, s.capacities = append(s.arrivals, now), append(s.capacities, capacity)
	if !s.cold || s.running == nil || time.Since(s.started) > s.opts.ColdFor {
		return
	}
	sum := 0.0
	for _, c := range s.capacities {
		sum += c
	}
	expected := sum / float64(len(s.capacities)) * s.opts.FallIn.Seconds()
	s.peakOverload = max(s.peakOverload, math.Max(0, float64(len(s.arrivals))-overloadSlack)/expected)
	if s.peakOverload > s.opts.Push {
		s.record.Add(ServerOverloaded, -1, s.id)
		s.running.Close()
		s.running = nil
	}
}

// load returns the load that the server reports: its utilization, and the calls per second of the last second.
func (s *server) load() (util, perSecond float64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now, n := s.now(), 0
	for i := len(s.arrivals) - 1; i >= 0 && s.arrivals[i] > now-time.Second; i-- {
		n++
	}
	capacity := s.capacity()
	return min(1, float64(n)/capacity), min(float64(n), capacity)
}

// callID returns an id for a call of an agent's kiosk, from which servers can tell the agent and the call's number.
func callID(agent, call int) string {
	id := uint64(agent+1)<<40 | uint64(call)
	text := strconv.FormatUint(id, 16)
	return "0000000000000000"[len(text):] + text
}

// parseCallID returns the agent and the call's number of an id by callID; -1 and 0 if the id has another form.
func parseCallID(id string) (agent, call int) {
	n, err := strconv.ParseUint(id, 16, 64)
	if err != nil {
		return -1, 0
	}
	return int(n>>40) - 1, int(n & (1<<40 - 1))
}
