package fleet

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"sync"
	"time"

	"ternbeam/internal/discovery"
	"ternbeam/internal/lab/standin"
)

// ListOptions configures a List.
type ListOptions struct {
	Agents        int
	CallWork      time.Duration          // time of work for a call
	MaxWait       time.Duration          // a call that has waited this long is answered 503; its work is done all the same
	VersionedList *standin.VersionedList // the list
}

// Mode is how a List behaves towards an agent at the moment.
type Mode int

// The modes of a List. In those up to Full it accepts calls.
const (
	Up              Mode = iota
	Late                 // answers every call after a fixed time, regardless of the queue
	Breaks               // closes the connection in the middle of the list
	Old                  // serves the list as it was at the start, without changes
	Full                 // accepts only a limited number of watches
	Refuses              // answers 503 at once; watches end
	Resets               // resets connections; watches end
	Silent               // accepts connections, but sends nothing, not even on open watches
	SilencesWatches      // used only in scenarios, for SilenceWatches: open watches become silent for good, and new calls are not affected
)

// acceptsCalls reports whether calls are queued and answered.
func (m Mode) acceptsCalls() bool { return m <= Full }

// servesCurrentList reports whether a call is answered with the current list.
func (m Mode) servesCurrentList() bool { return m == Up || m == Late }

// modesByName has the modes by their names in scenarios.
var modesByName = map[string]Mode{"late": Late, "breaks": Breaks, "old": Old, "full": Full, "refuses": Refuses, "resets": Resets, "silent": Silent, "hushes": SilencesWatches}

// heartbeatInterval is the interval of empty lines on a watch without changes.
const heartbeatInterval = 2 * time.Second

// List is a model of a list service that works through calls one after the other. Each agent has its own address at the service,
// which identifies the agent. Its methods are safe for concurrent use.
type List struct {
	opts      ListOptions
	record    *Record
	listeners []net.Listener // by agent
	http      *http.Server

	mu            sync.Mutex
	modes         []Mode           // by agent
	silenceCounts []int            // how often its watches were silenced, by agent
	answerDelay   time.Duration    // time to an answer in mode Late
	maxWatches    int              // limit of watches in mode Full
	watches       int              // open watches
	initial       discovery.List   // list at the start, served in mode Old
	changed       chan struct{}    // closed at the next change of a mode or silencing
	idleAt        time.Time        // when all work accepted so far will be done
	conns         map[net.Conn]int // open connections, with the agent at the other end
	agentByAddr   map[string]int   // agents by their addresses at the service
}

type agentKey struct{}

// NewList starts a List, which runs until Close.
func NewList(opts ListOptions, record *Record) (*List, error) {
	l := &List{opts: opts, record: record, initial: opts.VersionedList.Full(), changed: make(chan struct{}), conns: map[net.Conn]int{}, agentByAddr: map[string]int{},
		modes: make([]Mode, opts.Agents), silenceCounts: make([]int, opts.Agents)}
	l.http = &http.Server{Handler: http.HandlerFunc(l.serve), ReadHeaderTimeout: 5 * time.Second,
		ConnContext: func(ctx context.Context, c net.Conn) context.Context {
			return context.WithValue(ctx, agentKey{}, l.agentByAddr[c.LocalAddr().String()])
		},
		ConnState: l.connState}
	for i := range opts.Agents {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			l.Close()
			return nil, err
		}
		l.listeners = append(l.listeners, listener)
		l.agentByAddr[listener.Addr().String()] = i
	}
	for _, listener := range l.listeners {
		go l.http.Serve(listener)
	}
	return l, nil
}

// Addr returns the address at which an agent calls the service.
func (l *List) Addr(agent int) string { return l.listeners[agent].Addr().String() }

// Close stops the service and ends all connections.
func (l *List) Close() {
	l.http.Close()
	for _, listener := range l.listeners {
		listener.Close()
	}
}

// SetLimits sets the time to an answer in mode Late and the number of watches in mode Full.
func (l *List) SetLimits(answerDelay time.Duration, maxWatches int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.answerDelay, l.maxWatches = answerDelay, maxWatches
}

// SilenceWatches makes the open watches of some agents silent for good.
func (l *List) SilenceWatches(agents ...int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, a := range agents {
		l.silenceCounts[a]++
	}
	l.notifyLocked()
}

// notifyLocked notifies calls and watches of a change.
func (l *List) notifyLocked() {
	close(l.changed)
	l.changed = make(chan struct{})
}

// SetMode sets the mode for some agents. If they are all agents, the queued work is dropped:
// work that was accepted before an outage is lost when the service is back.
func (l *List) SetMode(m Mode, agents ...int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if len(agents) == len(l.modes) {
		l.idleAt = time.Time{}
	}
	affected := make(map[int]bool, len(agents))
	for _, a := range agents {
		switch before := l.modes[a]; {
		case before.servesCurrentList() && !m.servesCurrentList():
			l.record.Add(ListUnreachable, a, "")
		case !before.servesCurrentList() && m.servesCurrentList():
			l.record.Add(ListReachable, a, "")
		}
		l.modes[a], affected[a] = m, true
	}
	l.notifyLocked()
	if m == Refuses || m == Resets {
		for c, agent := range l.conns {
			if affected[agent] {
				resetConn(c)
			}
		}
	}
}

// resetConn closes a connection with a TCP reset.
func resetConn(c net.Conn) {
	if tcp, ok := c.(*net.TCPConn); ok {
		tcp.SetLinger(0)
	}
	c.Close()
}

func (l *List) connState(c net.Conn, s http.ConnState) {
	l.mu.Lock()
	defer l.mu.Unlock()
	switch s {
	case http.StateNew:
		agent := l.agentByAddr[c.LocalAddr().String()]
		if l.conns[c] = agent; l.modes[agent] == Resets {
			go resetConn(c)
		}
	case http.StateClosed, http.StateHijacked:
		delete(l.conns, c)
	}
}

// enqueue adds a call to the queue. It returns the mode for the call, a channel that is closed when a mode changes, the time until
// the call is answered or abandoned, and whether it is answered with the list.
func (l *List) enqueue(agent int, now time.Time) (m Mode, changed <-chan struct{}, wait time.Duration, served bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	switch m = l.modes[agent]; {
	case !m.acceptsCalls():
		return m, l.changed, 0, false
	case m == Full && l.watches >= l.maxWatches:
		return Refuses, l.changed, 0, false
	case m == Late:
		return m, l.changed, min(l.answerDelay, l.opts.MaxWait), l.answerDelay <= l.opts.MaxWait
	}
	if l.idleAt.Before(now) {
		l.idleAt = now
	}
	l.idleAt = l.idleAt.Add(l.opts.CallWork)
	if wait = l.idleAt.Sub(now); wait > l.opts.MaxWait {
		return m, l.changed, l.opts.MaxWait, false
	}
	return m, l.changed, wait, true
}

func (l *List) serve(w http.ResponseWriter, r *http.Request) {
	agent := r.Context().Value(agentKey{}).(int)
	mode, modeChanged, wait, served := l.enqueue(agent, time.Now())
	how := Answered
	switch {
	case mode == Silent:
		l.record.Add(ListCalled, agent, Hung)
		<-r.Context().Done()
		return
	case !mode.acceptsCalls():
		how = Down
	case !served:
		how = GivenUp
	}
	l.record.Add(ListCalled, agent, how)
	for waited := time.After(wait); waited != nil; {
		select {
		case <-waited:
			waited = nil
		case <-modeChanged:
			if mode, modeChanged, _ = l.agentState(agent); !mode.acceptsCalls() {
				how, waited = Down, nil
			}
		case <-r.Context().Done():
			return
		}
	}
	if mode == Resets {
		panic(http.ErrAbortHandler) // the connection ends without an answer
	}
	if how != Answered {
		http.Error(w, how, http.StatusServiceUnavailable)
		return
	}
	flush := http.NewResponseController(w).Flush
	if mode == Breaks {
		fmt.Fprint(w, `{"version":7,"full":true,"servers":[{"id":"forms-0","addr":"127.0.`)
		flush()
		panic(http.ErrAbortHandler) // closes the connection in the middle of the list
	}
	lines := json.NewEncoder(w)
	if !r.URL.Query().Has("stream") {
		lines.Encode(l.opts.VersionedList.Full())
		return
	}
	_, _, silences := l.agentState(agent)
	version := int64(-1)
	fmt.Sscan(r.URL.Query().Get("index"), &version)
	counted := false
	// setCounted counts this watch as open or not, and records a change.
	setCounted := func(count bool) {
		if count != counted {
			counted = count
			l.mu.Lock()
			if l.watches--; count {
				l.watches += 2
			}
			l.mu.Unlock()
			l.record.Add(map[bool]string{true: WatchStarted, false: WatchEnded}[count], agent, "")
		}
	}
	defer setCounted(false)
	old := mode == Old
	if old {
		lines.Encode(l.initial)
	}
	ticker := time.NewTicker(heartbeatInterval)
	defer ticker.Stop()
	for first := true; ; first = false { // the first line of a watch is sent at once, even without a change
		change, changed := l.opts.VersionedList.ChangesSince(version)
		setCounted(mode.acceptsCalls() && mode != Old)
		if mode == Silent || mode == Old { // the connection stays open
			changed = nil
			flush()
		} else if first || change.Full || len(change.Servers) > 0 {
			if lines.Encode(change) != nil || flush() != nil {
				return
			}
			version = change.Version
			last := map[string]string{} // last state of each server in the line
			for _, e := range change.Servers {
				last[e.ID] = e.State
			}
			for id, state := range last {
				if state != "in_service" {
					l.record.Add(DrainNotified, agent, id)
				}
			}
		} else if flush() != nil {
			return
		}
		select {
		case <-changed:
		case <-modeChanged:
			before := silences
			if mode, modeChanged, silences = l.agentState(agent); silences != before && counted {
				setCounted(false)
				l.record.Add(WatchSilenced, agent, "")
				<-r.Context().Done()
				return
			}
			if mode == Refuses || mode == Resets || old != (mode == Old) {
				return
			}
		case <-ticker.C:
			if mode == Silent {
				continue
			}
			if _, err := fmt.Fprintln(w); err != nil {
				return
			}
		case <-r.Context().Done():
			return
		}
	}
}

// agentState returns the mode for an agent, a channel that is closed when a mode changes, and how often its watches were silenced.
func (l *List) agentState(agent int) (Mode, <-chan struct{}, int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.modes[agent], l.changed, l.silenceCounts[agent]
}
