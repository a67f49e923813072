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

// World is an agent that translates between players and stand-in servers, with its list service.
type World struct {
	Servers    []*standin.Server
	List       *standin.List
	Agent      *agent.Agent
	HTTP       string // address at which the agent accepts HTTP calls
	Thrift     string // the same for Thrift
	stopAgent  context.CancelFunc
	agentEnded chan error
	reload     chan os.Signal

	mu         sync.Mutex
	deliveries map[string][]standin.Call
}

// NewWorld starts a World with one server for each of the options. It wraps their OnCall to record the deliveries. The
// shapes function is called again with each Reload; if it is nil, the agent knows no shapes.
func NewWorld(p standin.Platform, shapes func() (*translate.Set, error), log *slog.Logger, servers ...standin.Options) (w *World, err error) {
	w = &World{deliveries: map[string][]standin.Call{}, agentEnded: make(chan error, 1), reload: make(chan os.Signal, 1)}
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
	p.Listen, p.Discovery, p.InitialList = "127.0.0.1:0", w.List.Addr(), w.List.Full()
	p.InitialList.Version = 0 // makes the first watch answer contain the list, so that the agent is ready at once
	cfg, service, err := p.Load()
	if err != nil {
		return w, err
	}
	if w.Agent, err = agent.NewWithOptions(cfg, agent.Options{Service: service, Shapes: shapes}, log); err != nil {
		return w, err
	}
	w.Agent.AssumeProcessesKnown()
	addrs, err := w.Agent.Listen()
	if err != nil {
		return w, err
	}
	w.HTTP, w.Thrift = addrs[0], addrs[1]
	ctx, cancel := context.WithCancel(context.Background())
	w.stopAgent = cancel
	go func() { w.agentEnded <- w.Agent.Run(ctx, w.reload) }()
	select {
	case <-w.Agent.Ready():
	case err := <-w.agentEnded:
		w.stopAgent = nil
		return w, fmt.Errorf("the agent ended before it was ready: %w", err)
	}
	return w, nil
}

// Add starts another server and adds it to the list. It must not be called concurrently with itself or Close.
func (w *World) Add(opts standin.Options) (*standin.Server, error) {
	onCall := opts.OnCall
	opts.OnCall = func(c standin.Call) {
		w.mu.Lock()
		w.deliveries[c.ID] = append(w.deliveries[c.ID], c)
		w.mu.Unlock()
		if onCall != nil {
			onCall(c)
		}
	}
	s, err := standin.Start(opts)
	if err != nil {
		return nil, err
	}
	w.Servers = append(w.Servers, s)
	w.List.Update(s.Entry())
	return s, nil
}

// Reload makes the agent reload its shapes.
func (w *World) Reload() { w.reload <- os.Interrupt }

// Deliveries returns the deliveries of a call to servers, in order.
func (w *World) Deliveries(id string) []standin.Call {
	w.mu.Lock()
	defer w.mu.Unlock()
	return slices.Clone(w.deliveries[id])
}

// Close stops the agent, then the servers and the list service.
func (w *World) Close() {
	if w.stopAgent != nil {
		w.stopAgent()
		<-w.agentEnded
	}
	for _, s := range w.Servers {
		s.Close()
	}
	if w.List != nil {
		w.List.Close()
	}
}

// Player returns a new Player for the World. The timeout applies to each request.
func (w *World) Player(timeout time.Duration) *Player {
	return &Player{w, newPlayer(w.HTTP, w.Thrift, timeout)}
}

// Player sends the requests of exchanges to a World. It is not safe for concurrent use.
type Player struct {
	world *World
	*player
}

// Close closes its connections.
func (p *Player) Close() { p.close() }

// Do sends the request of an exchange and returns the answer.
func (p *Player) Do(e Exchange) (Message, error) { return p.send(e.Protocol, e.Request) }

// Report is the result of a comparison.
type Report struct {
	Same           int      // number of calls without a difference
	Untranslatable []string // calls that the new shape cannot represent, which were refused before anything was sent
	Different      []string // calls with a difference, and which
}

// Compare sends the requests of exchanges to a World of the old shape and to one of the new shape. It compares the answers to
// the clients, byte for byte, and what the servers received. Each request must have a unique correlation id. The timeout
// applies to each request.
func Compare(old, new *World, all []Exchange, timeout time.Duration) Report {
	var r Report
	before, after := old.Player(timeout), new.Player(timeout)
	defer before.Close()
	defer after.Close()
	for i, e := range all {
		name := "call " + strconv.Itoa(i+1)
		id, key, err := e.envelope()
		if err == nil {
			name += " (" + id + ")"
		}
		want, err1 := before.Do(e)
		got, err2 := after.Do(e)
		oldCalls, newCalls := old.Deliveries(id), new.Deliveries(id)
		addDifference := func(format string, args ...any) {
			r.Different = append(r.Different, name+": "+fmt.Sprintf(format, args...))
		}
		switch {
		case err != nil:
			addDifference("%v", err)
		case err1 != nil || err2 != nil:
			addDifference("request failed: %v with the old servers, %v with the new ones", err1, err2)
		case isUntranslatable(got) && len(newCalls) == 0:
			r.Untranslatable = append(r.Untranslatable, name+": "+refusalText(got))
		case !got.same(want):
			addDifference("the client received %v, with the old servers %v", got, want)
		case len(oldCalls) != len(newCalls):
			addDifference("%d deliveries to the new servers, %d to the old ones", len(newCalls), len(oldCalls))
		case len(newCalls) == 1 && (newCalls[0].Refund != oldCalls[0].Refund || newCalls[0].ParseError != oldCalls[0].ParseError):
			addDifference("a new server received %+v %s, an old one %+v %s", newCalls[0].Refund, newCalls[0].ParseError, oldCalls[0].Refund, oldCalls[0].ParseError)
		case len(newCalls) == 1 && (newCalls[0].IdempotencyKey != key || oldCalls[0].IdempotencyKey != key):
			addDifference("key %q was received as %q", key, newCalls[0].IdempotencyKey)
		case len(newCalls) == 1 && (newCalls[0].Tenant != oldCalls[0].Tenant || newCalls[0].ClientRetry != oldCalls[0].ClientRetry):
			addDifference("tenant %q, repeat %t; the old servers received %q, %t", newCalls[0].Tenant, newCalls[0].ClientRetry, oldCalls[0].Tenant, oldCalls[0].ClientRetry)
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

// isUntranslatable reports whether an answer says that the call cannot be represented in a shape that servers accept.
func isUntranslatable(m Message) bool {
	if m.Thrift == nil {
		return m.Status == 422
	}
	h, err := thriftwire.ReadHead(m.Thrift)
	return err == nil && h.Type == thriftwire.Exception
}

func refusalText(m Message) string {
	if m.Thrift == nil {
		return string(m.Body)
	}
	exception, err := standin.DecodeThrift(m.Thrift)
	if err != nil {
		return err.Error()
	}
	return fmt.Sprintf("%v: %v", exception[2], exception[1])
}
