package replay

import (
	"bytes"
	"context"
	"fmt"
	"log/slog"
	"os"
	"slices"
	"strconv"
	"sync"
	"time"

	"ternbeam/internal/agent"
	"ternbeam/internal/lab/standin"
	"ternbeam/internal/thrift/thriftwire"
	"ternbeam/internal/translate"
)

// World is an agent that translates, between a player and servers of one protocol that take some versions.
type World struct {
	Servers []*standin.Server
	List    *standin.List
	Agent   *agent.Agent
	HTTP    string // where the agent takes calls
	Thrift  string
	end     context.CancelFunc
	done    chan error
	reload  chan os.Signal

	mu  sync.Mutex
	saw map[string][]standin.Call
}

// NewWorld starts a World with servers as the options say, whose Saw it uses itself. The shapes are read again with each
// Reload.
func NewWorld(p standin.Platform, shapes func() (*translate.Set, error), log *slog.Logger, servers ...standin.Options) (w *World, err error) {
	w = &World{saw: map[string][]standin.Call{}, done: make(chan error, 1), reload: make(chan os.Signal, 1)}
	defer func() {
		if err != nil {
			w.Close()
		}
	}()
	if w.List, err = standin.NewList(); err != nil {
		return w, err
	}
	for _, opts := range servers {
		if _, err := w.Add(opts); err != nil {
			return w, err
		}
	}
	p.Listen, p.Discovery, p.Known = "127.0.0.1:0", w.List.Addr(), w.List.Full()
	p.Known.Version = 0 // so that the watch has something to say, and the agent is ready at once
	cfg, service, err := p.Load()
	if err != nil {
		return w, err
	}
	if w.Agent, err = agent.NewWith(cfg, agent.Options{Service: service, Shapes: shapes}, log); err != nil {
		return w, err
	}
	addrs, err := w.Agent.Listen()
	if err != nil {
		return w, err
	}
	w.HTTP, w.Thrift = addrs[0], addrs[1]
	ctx, cancel := context.WithCancel(context.Background())
	w.end = cancel
	go func() { w.done <- w.Agent.Run(ctx, w.reload) }()
	select {
	case <-w.Agent.Ready():
	case err := <-w.done:
		w.end = nil
		return w, fmt.Errorf("the agent ended: %w", err)
	}
	return w, nil
}

// Add starts one more server and tells the list.
func (w *World) Add(opts standin.Options) (*standin.Server, error) {
	also := opts.Saw
	opts.Saw = func(c standin.Call) {
		w.mu.Lock()
		w.saw[c.ID] = append(w.saw[c.ID], c)
		w.mu.Unlock()
		if also != nil {
			also(c)
		}
	}
	s, err := standin.Start(opts)
	if err != nil {
		return nil, err
	}
	w.Servers = append(w.Servers, s)
	w.List.Tell(s.Entry())
	return s, nil
}

// Reload has the agent read its shapes again.
func (w *World) Reload() { w.reload <- os.Interrupt }

// Saw are the deliveries of a call to servers, in their order.
func (w *World) Saw(id string) []standin.Call {
	w.mu.Lock()
	defer w.mu.Unlock()
	return slices.Clone(w.saw[id])
}

// Close ends the agent, then the servers.
func (w *World) Close() {
	if w.end != nil {
		w.end()
		<-w.done
	}
	for _, s := range w.Servers {
		s.Close()
	}
	if w.List != nil {
		w.List.Close()
	}
}

// Player plays exchanges to a World, one after the other.
func (w *World) Player(patience time.Duration) *Player {
	return &Player{w, newPlayer(w.HTTP, w.Thrift, patience)}
}

// Player plays exchanges to a World. It is for one goroutine.
type Player struct {
	world *World
	*player
}

// Close ends its connections.
func (p *Player) Close() { p.close() }

// Ask plays a request.
func (p *Player) Ask(e Exchange) (Message, error) { return p.ask(e.Protocol, e.Request) }

// Report is what a replay came to.
type Report struct {
	Same      int
	Unfit     []string // what the new shape can't hold, and so was refused before anything was sent
	Different []string
}

// Compare plays exchanges to a World of the old shape and to one of the new, and holds against each other what the clients
// were told, byte for byte, and what the servers got. Each must have an id of its own.
func Compare(old, new *World, all []Exchange, patience time.Duration) Report {
	var r Report
	before, after := old.Player(patience), new.Player(patience)
	defer before.Close()
	defer after.Close()
	for i, e := range all {
		name := "call " + strconv.Itoa(i+1)
		id, key, err := e.envelope()
		if err == nil {
			name += " (" + id + ")"
		}
		want, err1 := before.Ask(e)
		got, err2 := after.Ask(e)
		there, here := old.Saw(id), new.Saw(id)
		say := func(format string, args ...any) {
			r.Different = append(r.Different, name+": "+fmt.Sprintf(format, args...))
		}
		switch {
		case err != nil:
			say("%v", err)
		case err1 != nil || err2 != nil:
			say("asked: %v, %v", err1, err2)
		case unfit(got) && len(here) == 0:
			r.Unfit = append(r.Unfit, name+": "+why(got))
		case !got.same(want):
			say("told %v, of the old servers %v", got, want)
		case len(there) != len(here):
			say("%d deliveries, %d to the old servers", len(here), len(there))
		case len(here) == 1 && (here[0].Refund != there[0].Refund || here[0].Broken != there[0].Broken):
			say("a server got %+v %s, an old one %+v %s", here[0].Refund, here[0].Broken, there[0].Refund, there[0].Broken)
		case len(here) == 1 && (here[0].Idempotency != key || there[0].Idempotency != key):
			say("key %q came as %q", key, here[0].Idempotency)
		case len(here) == 1 && (here[0].Tenant != there[0].Tenant || here[0].Again != there[0].Again):
			say("tenant %q, repeat %t; the old servers got %q, %t", here[0].Tenant, here[0].Again, there[0].Tenant, there[0].Again)
		default:
			r.Same++
		}
	}
	return r
}

func (m Message) same(other Message) bool {
	return m.Status == other.Status && slices.Equal(m.Headers, other.Headers) && bytes.Equal(m.Body, other.Body) &&
		bytes.Equal(m.Thrift, other.Thrift)
}

// unfit reports whether an answer says that the call can't be put in the shape that servers take.
func unfit(m Message) bool {
	if m.Thrift == nil {
		return m.Status == 422
	}
	h, err := thriftwire.ReadHead(m.Thrift)
	return err == nil && h.Type == thriftwire.Exception
}

func why(m Message) string {
	if m.Thrift == nil {
		return string(m.Body)
	}
	exception, err := standin.ReadThrift(m.Thrift)
	if err != nil {
		return err.Error()
	}
	return fmt.Sprintf("%v: %v", exception[2], exception[1])
}
