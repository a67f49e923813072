// Package thriftfront accepts calls from clients in framed Thrift, binary or compact, and writes their final answers.
package thriftfront

import (
	"fmt"
	"log/slog"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"ternbeam/choice"
	"ternbeam/internal/decide/routes"
	"ternbeam/internal/decide/shutdown"
	"ternbeam/internal/host/conntrack"
	"ternbeam/internal/host/core"
	"ternbeam/internal/protocol"
	"ternbeam/internal/settings/config"
	"ternbeam/internal/thrift/thriftmap"
	"ternbeam/internal/thrift/thriftwire"
)

const (
	// writeTimeout is how long one write to a client may take.
	writeTimeout = time.Second
	// maxUnsentBytes is how many bytes of answers may wait for a client before the front stops reading its calls.
	maxUnsentBytes = 1 << 20
)

// Front is the Thrift server that the agent's clients connect to.
type Front struct {
	cfg         *config.Config
	shapes      ShapeFinder // nil if calls have no shapes
	service     *thriftmap.Map
	core        *core.Core
	log         *slog.Logger
	tracker     *conntrack.Tracker
	listener    *conntrack.Listener
	idPrefix    string        // prefix of the ids assigned to calls without one
	assignedIDs atomic.Uint64 // number of ids assigned

	stopping atomic.Bool
	mu       sync.Mutex
	clients  map[*client]bool
	removed  chan struct{} // receives a value when a client is removed
}

// ShapeFinder determines the shapes of calls.
type ShapeFinder interface {
	// Thrift returns the shape of a call in an encoding. The result is the zero CallShape if the call's class has no shapes. It is an error if
	// none of the class's shapes has the call's method.
	Thrift(c *thriftmap.Call, encoding choice.Protocols) (routes.CallShape, error)
}

// WithShapes sets how the Front determines the shapes of calls. It must be called before Serve.
func (f *Front) WithShapes(s ShapeFinder) { f.shapes = s }

// New returns a Front that accepts connections from a listener through a connection tracker.
func New(cfg *config.Config, m *thriftmap.Map, c *core.Core, tracker *conntrack.Tracker, l *net.TCPListener, log *slog.Logger) *Front {
	return &Front{cfg: cfg, service: m, core: c, log: log, tracker: tracker, listener: tracker.Listen(l, log),
		idPrefix: fmt.Sprintf("%s-%x-", cfg.Name, cfg.Seed), clients: map[*client]bool{}, removed: make(chan struct{}, 1)}
}

// Serve accepts connections until Stop closes the listener. It always returns a non-nil error.
func (f *Front) Serve() error {
	for {
		c, err := f.listener.Accept()
		if err != nil {
			return err
		}
		f.serveConn(c.(*conntrack.Conn))
	}
}

// Stop shuts the front down gracefully, as httpfront.Front.Stop does for HTTP: new connections are accepted for some time (plan.Accept), idle
// connections are closed after plan.Idle, and other connections once all their calls are answered. Connections on which no call has arrived are
// closed after conntrack.SilentGrace at the latest. Stop returns when all clients are removed, or at plan.CloseBy.
func (f *Front) Stop(begin time.Time, plan shutdown.Schedule) {
	closeBy := begin.Add(plan.CloseBy)
	end := time.NewTimer(time.Until(closeBy))
	defer end.Stop()
	time.Sleep(plan.Idle) // Thrift has no message that announces a close; calls that arrive meanwhile are answered
	f.stopping.Store(true)
	f.mu.Lock()
	for c := range f.clients {
		c.wake()
	}
	f.mu.Unlock()
	f.listener.CloseAfter(max(0, plan.Accept-plan.Idle), closeBy)
	silent := time.AfterFunc(min(conntrack.SilentGrace, time.Until(closeBy)-conntrack.AnswerWriteTime), f.listener.CloseSilent)
	defer silent.Stop()
	for f.count() > 0 {
		select {
		case <-f.removed:
		case <-end.C:
			f.log.Warn("Thrift connections were still open at the end", "connections", f.count())
			return
		}
	}
}

func (f *Front) count() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return len(f.clients)
}

// remove removes a client that has no calls in flight.
func (f *Front) remove(c *client) {
	f.mu.Lock()
	delete(f.clients, c)
	f.mu.Unlock()
	select {
	case f.removed <- struct{}{}:
	default: // one pending signal is enough
	}
}

// requiredProtocol maps an encoding to the protocol that a server must speak to receive the call without translation.
var requiredProtocol = map[thriftwire.Encoding]choice.Protocols{thriftwire.Binary: protocol.ThriftBinary,
	thriftwire.Compact: protocol.ThriftCompact}

// call converts a decoded call into one for the core. An error is a *thriftmap.Refusal to send to the client.
func (f *Front) call(decoded *thriftmap.Call, arrival time.Duration) (*core.Call, error) {
	call := &core.Call{Payload: decoded}
	if call.Tenant = f.cfg.TenantIndex(decoded.Tenant); call.Tenant < 0 {
		return nil, &thriftmap.Refusal{Kind: thriftwire.ProtocolError, Text: fmt.Sprintf("unknown tenant %q", decoded.Tenant)}
	}
	if call.ID = decoded.ID; call.ID == "" {
		call.ID = fmt.Sprint(f.idPrefix, f.assignedIDs.Add(1))
	}
	call.Class, call.Key, call.ClientRetry, call.RequiredProtocols = decoded.Method.Class, decoded.Key, decoded.ClientRetry, requiredProtocol[decoded.Head.Encoding]
	if f.shapes != nil {
		var err error
		if call.Shape, err = f.shapes.Thrift(decoded, call.RequiredProtocols); err != nil {
			return nil, &thriftmap.Refusal{Kind: thriftwire.UnknownMethod, Text: err.Error()}
		}
	}
	left := f.cfg.Module.Classes[call.Class].Deadline
	if decoded.TimeLeft > 0 {
		left = min(left, decoded.TimeLeft)
	}
	call.Deadline = arrival + left
	return call, nil
}
