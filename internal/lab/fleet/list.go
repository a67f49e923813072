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

// ListOptions say what a List is like.
type ListOptions struct {
	Agents   int
	Each     time.Duration // work for one call
	Patience time.Duration // a caller that has waited for so long is given up; the work for it is done all the same
	Book     *standin.Book
}

// Mode is how a List is at the moment.
type Mode int

// The modes of a List. In those up to Full it takes calls.
const (
	Up      Mode = iota
	Late         // answers every call after one and the same time, whatever its queue
	Breaks       // answers, and breaks off in the midst of the list
	Old          // has the list as it was when the fleet began, and tells no change
	Full         // takes so many watches and no more
	Refuses      // answers 503 at once; its watches have ended
	Resets       // resets who connects; its watches have ended
	Silent       // lets connect and says nothing, on watches neither
	Hushes       // a scenario's word for Hush: open watches fall silent for good, and new calls find the service as it is
)

func (m Mode) takes() bool { return m <= Full }

// tells reports whether an agent that asks now is told the list as it is.
func (m Mode) tells() bool { return m == Up || m == Late }

// modes are their names in a scenario.
var modes = map[string]Mode{"late": Late, "breaks": Breaks, "old": Old, "full": Full, "refuses": Refuses, "resets": Resets, "silent": Silent, "hushes": Hushes}

// heartbeat is how often a watch carries a line while nothing changes.
const heartbeat = 2 * time.Second

// List is a list service that works through its callers in turn. It knows each agent by the address where that one asks.
type List struct {
	opts   ListOptions
	record *Record
	doors  []net.Listener // by agent
	http   *http.Server

	mu    sync.Mutex
	modes []Mode           // by agent
	hush  []int            // how often its watches have fallen silent, by agent
	late  time.Duration    // what a Late one takes
	most  int              // watches that a Full one takes
	held  int              // watches
	old   discovery.List   // as the list was when the fleet began
	turn  chan struct{}    // closed at the next change of a mode
	free  time.Time        // when all work taken so far is done
	conns map[net.Conn]int // the agent at the other end
	asked map[string]int   // agents by the addresses where they ask
}

type doorKey struct{}

// NewList runs a List until Close.
func NewList(opts ListOptions, record *Record) (*List, error) {
	l := &List{opts: opts, record: record, old: opts.Book.Full(), turn: make(chan struct{}), conns: map[net.Conn]int{}, asked: map[string]int{},
		modes: make([]Mode, opts.Agents), hush: make([]int, opts.Agents)}
	l.http = &http.Server{Handler: http.HandlerFunc(l.serve), ReadHeaderTimeout: 5 * time.Second,
		ConnContext: func(ctx context.Context, c net.Conn) context.Context {
			return context.WithValue(ctx, doorKey{}, l.asked[c.LocalAddr().String()])
		},
		ConnState: l.connState}
	for i := range opts.Agents {
		door, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			l.Close()
			return nil, err
		}
		l.doors = append(l.doors, door)
		l.asked[door.Addr().String()] = i
	}
	for _, door := range l.doors {
		go l.http.Serve(door)
	}
	return l, nil
}

// Addr returns where an agent asks.
func (l *List) Addr(agent int) string { return l.doors[agent].Addr().String() }

// Close ends it and all watches.
func (l *List) Close() {
	l.http.Close()
	for _, door := range l.doors {
		door.Close()
	}
}

// Bounds sets what a Late one takes and a Full one holds.
func (l *List) Bounds(late time.Duration, most int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.late, l.most = late, most
}

// Hush has the open watches of some agents fall silent.
func (l *List) Hush(agents ...int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, a := range agents {
		l.hush[a]++
	}
	l.turnLocked()
}

// turnLocked tells calls and watches that something has changed.
func (l *List) turnLocked() {
	close(l.turn)
	l.turn = make(chan struct{})
}

// Be changes the mode as some agents meet it. Work that was taken before the service went down for all is gone when it is back.
func (l *List) Be(m Mode, agents ...int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if len(agents) == len(l.modes) {
		l.free = time.Time{}
	}
	hit := make(map[int]bool, len(agents))
	for _, a := range agents {
		switch was := l.modes[a]; {
		case was.tells() && !m.tells():
			l.record.Add(LostList, a, "")
		case !was.tells() && m.tells():
			l.record.Add(HasList, a, "")
		}
		l.modes[a], hit[a] = m, true
	}
	l.turnLocked()
	if m == Refuses || m == Resets {
		for c, agent := range l.conns {
			if hit[agent] {
				reset(c)
			}
		}
	}
}

func reset(c net.Conn) {
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
		agent := l.asked[c.LocalAddr().String()]
		if l.conns[c] = agent; l.modes[agent] == Resets {
			go reset(c)
		}
	case http.StateClosed, http.StateHijacked:
		delete(l.conns, c)
	}
}

// take takes a call into the queue. It returns when it is answered or given up, and what ends it before.
func (l *List) take(agent int, now time.Time) (m Mode, turn <-chan struct{}, wait time.Duration, served bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	switch m = l.modes[agent]; {
	case !m.takes():
		return m, l.turn, 0, false
	case m == Full && l.held >= l.most:
		return Refuses, l.turn, 0, false
	case m == Late:
		return m, l.turn, min(l.late, l.opts.Patience), l.late <= l.opts.Patience
	}
	if l.free.Before(now) {
		l.free = now
	}
	l.free = l.free.Add(l.opts.Each)
	if wait = l.free.Sub(now); wait > l.opts.Patience {
		return m, l.turn, l.opts.Patience, false
	}
	return m, l.turn, wait, true
}

func (l *List) serve(w http.ResponseWriter, r *http.Request) {
	agent := r.Context().Value(doorKey{}).(int)
	mode, turn, wait, served := l.take(agent, time.Now())
	how := Answered
	switch {
	case mode == Silent:
		l.record.Add(Called, agent, Hung)
		<-r.Context().Done()
		return
	case !mode.takes():
		how = Down
	case !served:
		how = GivenUp
	}
	l.record.Add(Called, agent, how)
	for waited := time.After(wait); waited != nil; {
		select {
		case <-waited:
			waited = nil
		case <-turn:
			if mode, turn, _ = l.now(agent); !mode.takes() {
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
		panic(http.ErrAbortHandler) // which ends the connection in the midst of it
	}
	lines := json.NewEncoder(w)
	if !r.URL.Query().Has("stream") {
		lines.Encode(l.opts.Book.Full())
		return
	}
	_, _, hushed := l.now(agent)
	version := int64(-1)
	fmt.Sscan(r.URL.Query().Get("index"), &version)
	holds := false
	hold := func(now bool) {
		if now != holds {
			holds = now
			l.mu.Lock()
			if l.held--; now {
				l.held += 2
			}
			l.mu.Unlock()
			l.record.Add(map[bool]string{true: Began, false: Ended}[now], agent, "")
		}
	}
	defer hold(false)
	old := mode == Old
	if old {
		lines.Encode(l.old)
	}
	beat := time.NewTicker(heartbeat)
	defer beat.Stop()
	for first := true; ; first = false { // the first line of a watch comes at once, whether or not anything has changed
		change, changed := l.opts.Book.Since(version)
		hold(mode.takes() && mode != Old)
		if mode == Silent || mode == Old { // the connection stays open
			changed = nil
			flush()
		} else if first || change.Full || len(change.Servers) > 0 {
			if lines.Encode(change) != nil || flush() != nil {
				return
			}
			version = change.Version
			last := map[string]string{} // what the line says of a server in the end
			for _, e := range change.Servers {
				last[e.ID] = e.State
			}
			for id, state := range last {
				if state != "in_service" {
					l.record.Add(Told, agent, id)
				}
			}
		} else if flush() != nil {
			return
		}
		select {
		case <-changed:
		case <-turn:
			was := hushed
			if mode, turn, hushed = l.now(agent); hushed != was && holds {
				hold(false)
				l.record.Add(Hushed, agent, "")
				<-r.Context().Done()
				return
			}
			if mode == Refuses || mode == Resets || old != (mode == Old) {
				return
			}
		case <-beat.C:
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

// now is the mode as an agent meets it, what is closed when one changes, and how often its watches have fallen silent.
func (l *List) now(agent int) (Mode, <-chan struct{}, int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.modes[agent], l.turn, l.hush[agent]
}
