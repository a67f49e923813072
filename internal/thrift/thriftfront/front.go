// Package thriftfront takes calls in framed Thrift, binary or compact, and gives their final answers.
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
	// writeTimeout is how long a client may take none of what it is sent.
	writeTimeout = time.Second
	// mostUnsent is how many bytes may wait for a client before no more of its calls are read.
	mostUnsent = 1 << 20
)

// Front is the Thrift side of the agent towards its clients.
type Front struct {
	cfg     *config.Config
	shapes  Shapes // nil where calls have none
	m       *thriftmap.Map
	core    *core.Core
	log     *slog.Logger
	tracker *conntrack.Tracker
	listen  *conntrack.Listener
	idOf    string        // what the ids begin with that are given to calls without one
	ids     atomic.Uint64 // how many were given

	stopping atomic.Bool
	mu       sync.Mutex
	clients  map[*client]bool
	left     chan struct{} // told when one is forgotten
}

// Shapes finds the shapes of calls.
type Shapes interface {
	// Thrift finds that of a call in an encoding. The zero Tag is that of a class without shapes; a method that is in none
	// of its class's is an error.
	Thrift(c *thriftmap.Call, spoken choice.Protocols) (routes.Tag, error)
}

// WithShapes has the Front find the shapes of calls. It is called before Serve.
func (f *Front) WithShapes(s Shapes) { f.shapes = s }

// New returns a Front that takes the connections of a listener through a connection tracker.
func New(cfg *config.Config, m *thriftmap.Map, c *core.Core, d *conntrack.Tracker, l *net.TCPListener, log *slog.Logger) *Front {
	return &Front{cfg: cfg, m: m, core: c, log: log, tracker: d, listen: d.Listen(l, log),
		idOf: fmt.Sprintf("%s-%x-", cfg.Name, cfg.Seed), clients: map[*client]bool{}, left: make(chan struct{}, 1)}
}

// Serve takes calls until Stop; it always ends with an error.
func (f *Front) Serve() error {
	for {
		c, err := f.listen.Accept()
		if err != nil {
			return err
		}
		f.open(c.(*conntrack.Conn))
	}
}

// Stop ends the front gently, as for HTTP: connections are accepted for a while; those on which nothing is under way
// are closed after a while, the others when everything on them is answered; who has said nothing is not waited for.
func (f *Front) Stop(begin time.Time, plan shutdown.Schedule) {
	by := begin.Add(plan.CloseBy)
	end := time.NewTimer(time.Until(by))
	defer end.Stop()
	time.Sleep(plan.Idle) // in Thrift there is no word for a goodbye: who calls meanwhile is answered
	f.stopping.Store(true)
	f.mu.Lock()
	for c := range f.clients {
		c.wake()
	}
	f.mu.Unlock()
	f.listen.CloseAfter(max(0, plan.Accept-plan.Idle), by)
	silent := time.AfterFunc(min(conntrack.SilentGrace, time.Until(by)-conntrack.AnswerWriteTime), f.listen.CloseSilent)
	defer silent.Stop()
	for f.count() > 0 {
		select {
		case <-f.left:
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

// forget drops a client of which nothing is under way.
func (f *Front) forget(c *client) {
	f.mu.Lock()
	delete(f.clients, c)
	f.mu.Unlock()
	select {
	case f.left <- struct{}{}:
	default: // one that waits to be heard stands for any number
	}
}

// needs are what a server must speak to be sent a call as it is.
var needs = map[thriftwire.Encoding]choice.Protocols{thriftwire.Binary: protocol.ThriftBinary,
	thriftwire.Compact: protocol.ThriftCompact}

// call turns what was read into a call for the core. An error is what the client is told.
func (f *Front) call(read *thriftmap.Call, arrival time.Duration) (*core.Call, error) {
	call := &core.Call{Payload: read}
	if call.Tenant = f.cfg.Tenant(read.Tenant); call.Tenant < 0 {
		return nil, &thriftmap.Refusal{Kind: thriftwire.ProtocolError, Text: fmt.Sprintf("unknown tenant %q", read.Tenant)}
	}
	if call.ID = read.ID; call.ID == "" {
		call.ID = fmt.Sprint(f.idOf, f.ids.Add(1))
	}
	call.Class, call.Key, call.Again, call.Needs = read.Method.Class, read.Key, read.Again, needs[read.Head.Encoding]
	if f.shapes != nil {
		var err error
		if call.Tag, err = f.shapes.Thrift(read, call.Needs); err != nil {
			return nil, &thriftmap.Refusal{Kind: thriftwire.UnknownMethod, Text: err.Error()}
		}
	}
	left := f.cfg.Module.Classes[call.Class].Deadline
	if read.Left > 0 {
		left = min(left, read.Left)
	}
	call.Deadline = arrival + left
	return call, nil
}
