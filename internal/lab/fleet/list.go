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
)

// ListOptions say what a List is like.
type ListOptions struct {
	Agents   int
	Each     time.Duration // work for one call
	Patience time.Duration // a caller that has waited for so long is given up; the work for it is done all the same
	Known    discovery.List
}

// Mode is how a List is at the moment.
type Mode int

// The modes of a List. In all but Up its watches have ended or are silent.
const (
	Up      Mode = iota
	Refuses      // answers 503 at once
	Resets       // resets who connects
	Silent       // lets connect and says nothing, on watches neither
)

// modes are their names in a scenario.
var modes = map[string]Mode{"refuses": Refuses, "resets": Resets, "silent": Silent}

// heartbeat is how often a watch carries a line while nothing changes.
const heartbeat = 2 * time.Second

// List is a list service that works through its callers in turn. It knows each agent by the address where that one asks.
type List struct {
	opts   ListOptions
	record *Record
	doors  []net.Listener // by agent
	http   *http.Server

	mu    sync.Mutex
	mode  Mode
	turn  chan struct{} // closed at the next change of the mode
	free  time.Time     // when all work taken so far is done
	conns map[net.Conn]bool
}

type doorKey struct{}

// NewList runs a List until Close.
func NewList(opts ListOptions, record *Record) (*List, error) {
	l := &List{opts: opts, record: record, turn: make(chan struct{}), conns: map[net.Conn]bool{}}
	numbers := map[string]int{}
	l.http = &http.Server{Handler: http.HandlerFunc(l.serve), ReadHeaderTimeout: 5 * time.Second,
		ConnContext: func(ctx context.Context, c net.Conn) context.Context {
			return context.WithValue(ctx, doorKey{}, numbers[c.LocalAddr().String()])
		},
		ConnState: l.connState}
	for i := range opts.Agents {
		door, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			l.Close()
			return nil, err
		}
		l.doors = append(l.doors, door)
		numbers[door.Addr().String()] = i
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

// Be changes the mode. Work that was taken before the service went down is gone when it is back.
func (l *List) Be(m Mode) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.mode, l.free = m, time.Time{}
	close(l.turn)
	l.turn = make(chan struct{})
	if m == Refuses || m == Resets {
		for c := range l.conns {
			reset(c)
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
		if l.conns[c] = true; l.mode == Resets {
			go reset(c)
		}
	case http.StateClosed, http.StateHijacked:
		delete(l.conns, c)
	}
}

// take takes a call into the queue. It returns when it is answered or given up, and what ends it before.
func (l *List) take(now time.Time) (m Mode, turn <-chan struct{}, wait time.Duration, served bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.mode != Up {
		return l.mode, l.turn, 0, false
	}
	if l.free.Before(now) {
		l.free = now
	}
	l.free = l.free.Add(l.opts.Each)
	if wait = l.free.Sub(now); wait > l.opts.Patience {
		return Up, l.turn, l.opts.Patience, false
	}
	return Up, l.turn, wait, true
}

func (l *List) serve(w http.ResponseWriter, r *http.Request) {
	agent := r.Context().Value(doorKey{}).(int)
	mode, turn, wait, served := l.take(time.Now())
	how := Answered
	switch {
	case mode == Silent:
		l.record.Add(Called, agent, Hung)
		<-r.Context().Done()
		return
	case mode != Up:
		how = Down
	case !served:
		how = GivenUp
	}
	l.record.Add(Called, agent, how)
	select {
	case <-time.After(wait):
	case <-turn:
		how = Down
	case <-r.Context().Done():
		return
	}
	if how != Answered {
		http.Error(w, how, http.StatusServiceUnavailable)
		return
	}
	lines := json.NewEncoder(w)
	if !r.URL.Query().Has("stream") {
		lines.Encode(l.opts.Known)
		return
	}
	l.record.Add(Began, agent, "")
	defer l.record.Add(Ended, agent, "")
	if r.URL.Query().Get("index") != fmt.Sprint(l.opts.Known.Version) {
		lines.Encode(l.opts.Known)
	}
	flush := http.NewResponseController(w).Flush
	beat := time.NewTicker(heartbeat)
	defer beat.Stop()
	for flush() == nil {
		select {
		case <-turn:
			l.mu.Lock()
			mode, turn = l.mode, l.turn
			l.mu.Unlock()
			switch mode {
			case Refuses, Resets:
				return
			case Silent: // the connection stays open
				beat.Stop()
			case Up:
				beat.Reset(heartbeat)
			}
		case <-beat.C:
			if _, err := fmt.Fprintln(w); err != nil {
				return
			}
		case <-r.Context().Done():
			return
		}
	}
}
