package fleet

import (
	"math"
	"strconv"
	"sync"
	"time"

	"ternbeam/internal/discovery"
	"ternbeam/internal/lab/standin"
)

// ServerOptions say what the servers are like.
type ServerOptions struct {
	Capacity float64       // calls a second, warm
	Service  time.Duration // of a call where none waits
	Queue    time.Duration // of work that may wait; calls beyond are turned away unseen
	ColdFrom float64       // share of its capacity that a server starts with
	ColdFor  time.Duration // until it has all of it; 0 for servers that are never cold
	Push     float64       // a cold one falls over that is sent so many times what it can do
	FallIn   time.Duration // in a window of this length
	Reports  bool          // answers say the load
}

// fallSlack is how many calls beyond its push a cold server bears in a window: chance among few.
const fallSlack = 12

// server is a form server that may be silent, crash, start again cold and fall over.
type server struct {
	id     string
	number int
	cell   int
	opts   ServerOptions
	pod    *standin.Pod
	record *Record
	now    func() time.Duration

	mu       sync.Mutex
	live     *standin.Server // nil while it is down
	started  time.Time
	cold     bool
	silent   bool
	draining bool
	free     time.Duration   // when all work taken so far is done
	recent   []time.Duration // arrivals within the window
	warmed   []float64       // what could be done a second at each of them
	peak     float64         // the most that a cold life was sent, as a multiple of what it could do
}

// start lets a life begin, cold or not.
func (s *server) start(cold bool) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	live, err := standin.Start(standin.Options{ID: s.id, Protocol: "http", Cell: s.cell, Pod: s.pod, Script: s.take, Load: s.load, NoLoad: !s.opts.Reports})
	if err != nil {
		return err
	}
	s.live, s.started, s.cold, s.silent, s.draining = live, time.Now(), cold && s.opts.ColdFor > 0, false, false
	s.free, s.recent = 0, nil
	return nil
}

// stop ends its life.
func (s *server) stop() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.live != nil {
		s.live.Close()
		s.live = nil
	}
}

// mute has it answer nothing, or answer again.
func (s *server) mute(silent bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.silent = silent; silent {
		s.record.Add(Mutes, -1, s.id)
	} else {
		s.record.Add(Speaks, -1, s.id)
	}
}

// drain has it want nothing new.
func (s *server) drain() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.draining = true
}

// pushed is the most that a cold life was sent, as a multiple of what it could do.
func (s *server) pushed() float64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.peak
}

// entry is its entry in the list; one that is down keeps the address of its last life.
func (s *server) entry() discovery.Entry {
	s.mu.Lock()
	defer s.mu.Unlock()
	e := discovery.Entry{ID: s.id, Zone: "z", Cell: s.cell, State: "in_service", Weight: 1}
	if s.live != nil {
		e.Addr = s.live.Addr()
	}
	if s.cold {
		e.StartedMS = s.started.UnixMilli()
	}
	if s.draining {
		e.State = "terminating"
	}
	return e
}

// canDo is what it can do a second.
func (s *server) canDo() float64 {
	if !s.cold {
		return s.opts.Capacity
	}
	warm := min(1, float64(time.Since(s.started))/float64(s.opts.ColdFor))
	return s.opts.Capacity * (s.opts.ColdFrom + (1-s.opts.ColdFrom)*warm)
}

// take says how a call fares: those before it go first.
func (s *server) take(c standin.Call) standin.Step {
	agent, call := agentOf(c.ID)
	s.record.Put(Event{Kind: Got, Agent: agent, Call: call, Said: s.id})
	s.mu.Lock()
	defer s.mu.Unlock()
	now, can := s.now(), s.canDo()
	s.count(now, can)
	switch {
	case s.silent:
		return standin.Step{Fault: standin.Silence}
	case s.live == nil:
		return standin.Step{Fault: standin.ResetBefore}
	}
	s.free = max(s.free, now) + time.Duration(float64(time.Second)/can)
	if s.free-now > s.opts.Queue+s.opts.Service {
		s.free -= time.Duration(float64(time.Second) / can)
		return standin.Step{Fault: standin.Reject}
	}
	return standin.Step{Delay: s.free - now + s.opts.Service}
}

// count notes an arrival, and whether a cold server falls over by it. All that is sent counts, also what it turns away.
func (s *server) count(now time.Duration, can float64) {
	for len(s.recent) > 0 && s.recent[0] < now-s.opts.FallIn {
		s.recent, s.warmed = s.recent[1:], s.warmed[1:]
	}
	s.recent, s.warmed = append(s.recent, now), append(s.warmed, can)
	if !s.cold || s.live == nil || time.Since(s.started) > s.opts.ColdFor {
		return
	}
	sum := 0.0
	for _, w := range s.warmed {
		sum += w
	}
	bears := sum / float64(len(s.warmed)) * s.opts.FallIn.Seconds()
	s.peak = max(s.peak, math.Max(0, float64(len(s.recent))-fallSlack)/bears)
	if s.peak > s.opts.Push {
		s.record.Add(Fell, -1, s.id)
		s.live.Close()
		s.live = nil
	}
}

// load is what it says of its load.
func (s *server) load() (util, perSecond float64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now, n := s.now(), 0
	for i := len(s.recent) - 1; i >= 0 && s.recent[i] > now-time.Second; i-- {
		n++
	}
	can := s.canDo()
	return min(1, float64(n)/can), min(float64(n), can)
}

// callID names a call of an agent's kiosk so that servers know whose it is.
func callID(agent, call int) string {
	id := uint64(agent+1)<<40 | uint64(call)
	text := strconv.FormatUint(id, 16)
	return "0000000000000000"[len(text):] + text
}

// agentOf is the agent that a call's name tells, and its number.
func agentOf(id string) (agent, call int) {
	n, err := strconv.ParseUint(id, 16, 64)
	if err != nil {
		return -1, 0
	}
	return int(n>>40) - 1, int(n & (1<<40 - 1))
}
