// Package agent puts an agent together: the core, the fronts that take calls and the transports that make attempts.
package agent

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"net"
	"os"
	"sync/atomic"
	"syscall"
	"time"

	"golang.org/x/sys/unix"

	"ternbeam/choice"
	"ternbeam/internal/bridge"
	"ternbeam/internal/decide/addresses"
	"ternbeam/internal/decide/routes"
	"ternbeam/internal/decide/sharing"
	"ternbeam/internal/decide/shutdown"
	"ternbeam/internal/host/accept"
	"ternbeam/internal/host/conntrack"
	"ternbeam/internal/host/core"
	"ternbeam/internal/host/keeper"
	"ternbeam/internal/host/members"
	"ternbeam/internal/host/peers"
	"ternbeam/internal/host/pool"
	"ternbeam/internal/host/stallwatch"
	"ternbeam/internal/http/httpback"
	"ternbeam/internal/http/httpfront"
	"ternbeam/internal/http/httpops"
	"ternbeam/internal/protocol"
	"ternbeam/internal/settings/config"
	"ternbeam/internal/settings/sourceconf"
	"ternbeam/internal/settings/stateconf"
	"ternbeam/internal/sysio/transient"
	"ternbeam/internal/thrift/thriftback"
	"ternbeam/internal/thrift/thriftfront"
	"ternbeam/internal/thrift/thriftmap"
	"ternbeam/internal/translate"
)

// Agent is one client-side balancer on real sockets.
type Agent struct {
	cfg     *config.Config
	thrift  *thriftmap.Map // nil where Thrift is off
	log     *slog.Logger
	core    *core.Core
	pool    *pool.Pool
	tracker *conntrack.Tracker

	keeper *keeper.Keeper // nil where nothing is kept
	bridge *bridge.Bridge // nil where calls have no shapes
	shapes func() (*translate.Set, error)

	listeners []*net.TCPListener // the application's, then Thrift's if it is on
	ops       net.Listener       // the second address; nil where there is none
	line      line
	reloads   reloads
	illegal   atomic.Int64 // steps of attempts and connections that must not come
}

// front takes the calls of one listener.
type front interface {
	Serve() error
	Stop(begin time.Time, plan shutdown.Schedule)
}

// New returns an Agent that is ready to Run. With a Thrift service, which may be nil, it takes calls in Thrift too.
func New(cfg *config.Config, service *thriftmap.Map, log *slog.Logger) (*Agent, error) {
	return NewWith(cfg, Options{Service: service}, log)
}

// Options are what an agent may have beside its configuration.
type Options struct {
	Service *thriftmap.Map                 // takes Thrift too
	Sources *sourceconf.Config             // where servers come from; the platform's list alone where nil
	Peers   *sharing.Settings              // lists pass among agents; they do not where nil
	Shapes  func() (*translate.Set, error) // reads the shapes of calls, again with each reload; calls have none where nil
	Shared  string                         // the folder that a process shares with the one that replaces it; empty for none
}

// NewWith is New with more options.
func NewWith(cfg *config.Config, opts Options, log *slog.Logger) (*Agent, error) {
	service, sources := opts.Service, opts.Sources
	a := &Agent{cfg: cfg, thrift: service, log: log, tracker: conntrack.New(cfg.ClientSockets()), shapes: opts.Shapes}
	a.claim(opts.Shared)
	pooled := pool.Settings{DialTimeout: cfg.ConnectTimeout(), IdleFor: cfg.IdleFor(), Most: cfg.BackendSockets(),
		Illegal: a.noteIllegal, Addresses: addresses.Defaults}
	var feed core.Feed
	if sources != nil {
		pooled.Addresses = sources.Addresses
		feed = members.New(members.Settings{Config: *sources, Discovery: cfg.Discovery, Known: cfg.Known, Asking: cfg.Asking, Zones: cfg.Host.Zones, Seed: cfg.Seed,
			Log: log}).Feed
	}
	a.pool = pool.New(pooled)
	if opts.Peers != nil {
		if sources != nil {
			return nil, errors.New("lists from other agents and further sources of servers don't go together yet")
		}
		others, err := peers.New(peers.Settings{Settings: *opts.Peers, Listen: cfg.Peers.Listen, Peers: cfg.Peers.All, Discovery: cfg.Discovery,
			Known: cfg.Known, Asking: cfg.Asking, Zones: cfg.Host.Zones, Seed: cfg.Seed, Log: log})
		if err != nil {
			return nil, err
		}
		feed = others.Feed
	}
	transports := map[choice.Protocols]core.Transport{protocol.HTTP: httpback.New(a.pool, cfg.Fields, cfg.Long())}
	if service != nil {
		t := thriftback.New(a.pool, service)
		transports[protocol.ThriftBinary], transports[protocol.ThriftCompact] = t, t
	}
	var ways *routes.Routes
	if opts.Shapes != nil {
		set, err := opts.Shapes()
		if err != nil {
			return nil, err
		}
		if a.bridge, err = bridge.New(set, cfg, service); err != nil {
			return nil, err
		}
		if ways, err = a.bridge.Routes(); err != nil {
			return nil, err
		}
		for p, t := range transports {
			transports[p] = a.bridge.Over(t)
		}
	}
	var err error
	a.core, err = core.New(core.Settings{Module: cfg.Module, Seed: cfg.Seed, Zones: cfg.Host.Zones,
		MostHeld: cfg.Host.Ceilings.MostHeld, Known: cfg.Known, Discovery: cfg.Discovery, Asking: cfg.Asking, Feed: feed, Pool: a.pool, Log: log,
		Transports: transports, Illegal: a.noteIllegal, Routes: ways,
		Publish: cfg.Ops != "", Clients: a.tracker.Stats, Inherited: a.line.inheritance()})
	return a, err
}

// Keep has the agent keep what it learns in a folder, and begin with what is there. It is called before Run.
func (a *Agent) Keep(set stateconf.Config) {
	a.keeper = keeper.New(keeper.Settings{Config: set, Name: a.cfg.Name, Seed: a.cfg.Seed, Log: a.log})
}

// noteIllegal takes a step that must not come, a fault of this program: it is logged once and survived.
func (a *Agent) noteIllegal(err error) {
	if a.illegal.Add(1) == 1 {
		a.log.Error("an illegal step, further ones are counted only", "error", err)
	}
}

// Listen opens the listeners and returns their addresses: the application's, then Thrift's if it is on. Clients that
// connect wait until the agent runs.
func (a *Agent) Listen() (addrs []string, err error) {
	for _, l := range []struct{ addr, what string }{{a.cfg.Listen, "the application"}, {a.thriftAddr(), "Thrift"}} {
		if l.addr == "" {
			continue
		}
		listener, err := a.bind(l.addr)
		if err != nil {
			a.unlisten()
			return nil, fmt.Errorf("listening for %s: %w", l.what, err)
		}
		a.listeners = append(a.listeners, listener)
		addrs = append(addrs, listener.Addr().String())
	}
	if a.cfg.Ops != "" {
		ops, err := a.listen(net.ListenConfig{}, a.cfg.Ops)
		if err != nil {
			a.unlisten()
			return nil, fmt.Errorf("listening for those who run the agent: %w", err)
		}
		wrapped, err := accept.Wrap(ops.(*net.TCPListener), a.log)
		if err != nil {
			ops.Close()
			a.unlisten()
			return nil, fmt.Errorf("listening for those who run the agent: %w", err)
		}
		a.ops = wrapped
	}
	return addrs, nil
}

// unlisten closes what a Listen that failed has opened.
func (a *Agent) unlisten() {
	for _, open := range a.listeners {
		open.Close()
	}
	a.listeners = nil
}

// bind listens at an address of clients. Where a process may be replaced while it serves, two may listen there.
func (a *Agent) bind(addr string) (*net.TCPListener, error) {
	if l := a.line.inherited(addr); l != nil {
		return l, nil
	}
	var how net.ListenConfig
	if a.cfg.Ops != "" {
		how.Control = func(_, _ string, raw syscall.RawConn) (err error) {
			if failed := raw.Control(func(fd uintptr) {
				err = unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_REUSEPORT, 1)
			}); failed != nil {
				return failed
			}
			return err
		}
	}
	l, err := a.listen(how, addr)
	if err != nil {
		return nil, err
	}
	return l.(*net.TCPListener), nil
}

// listenWithin is how long a listener may fail to open for a reason that passes: an agent is to be ready in 10 s.
const listenWithin = 4 * time.Second

// errNoLocalAddress is why a listener is opened anew of which the system does not tell the address.
var errNoLocalAddress = errors.New("the system does not tell its address")

// passingErrno reports whether an error of listening is none of those that last: such an address can't be listened at.
var passingErrno = transient.Passing(syscall.EACCES, syscall.EADDRNOTAVAIL, syscall.EAFNOSUPPORT)

// listeningFailed reports whether listening failed in a way that may pass: an address that is still in use may be that of a process which is
// ending, and a system that denies a socket (socket(2), EACCES), as it may for any address, may grant one soon.
func listeningFailed(err error) bool {
	var call *os.SyscallError
	denied := errors.As(err, &call) && call.Syscall == "socket" && call.Err == syscall.EACCES
	return denied || errors.Is(err, errNoLocalAddress) || passingErrno(err)
}

// listen opens a listener, in spite of errors that may pass.
func (a *Agent) listen(how net.ListenConfig, addr string) (l net.Listener, err error) {
	ctx, cancel := context.WithTimeout(context.Background(), listenWithin)
	defer cancel()
	err = transient.Until(ctx, func() error {
		if l, err = how.Listen(ctx, "tcp", addr); err == nil && l.Addr() == nil { // getsockname(2) has failed
			l.Close()
			err = errNoLocalAddress
		}
		return err
	}, transient.TellingFirst(func(err error) {
		a.log.Warn("listening failed", "address", addr, "error", err)
	}, listeningFailed))
	return l, err
}

// Ops returns the second address, empty where there is none.
func (a *Agent) Ops() string {
	if a.ops == nil {
		return ""
	}
	return a.ops.Addr().String()
}

// Ready is closed when clients may begin.
func (a *Agent) Ready() <-chan struct{} { return a.core.Ready() }

// Snapshot asks the agent, which must run, what it holds.
func (a *Agent) Snapshot() core.Snapshot { return a.core.Snapshot() }

// Illegal is how many steps have come that must not.
func (a *Agent) Illegal() int64 { return a.illegal.Load() }

func (a *Agent) thriftAddr() string {
	if a.thrift == nil {
		return ""
	}
	return a.thrift.Listen
}

// Run serves until ctx ends, then answers what it has taken and returns. Whenever reload says so, it reads the
// configuration again. It listens first, if Listen was not called.
func (a *Agent) Run(ctx context.Context, reload <-chan os.Signal) error {
	if a.listeners == nil {
		if _, err := a.Listen(); err != nil {
			return err
		}
	}
	fronts := a.fronts()
	work, stop := context.WithCancel(context.Background())
	defer stop()
	if a.keeper != nil {
		go a.keeper.Run(a.core)
		if past := a.keeper.Past(); past != nil {
			a.core.Remember(past, a.keeper.Clock)
		}
	}
	go a.core.Run(work)
	a.watchStalls(work)
	endLine := a.succeed(work)
	defer endLine()
	failed := make(chan error, len(fronts)+1)
	for _, f := range fronts {
		go func() { failed <- f.Serve() }()
	}
	if a.ops != nil {
		ops := httpops.New(a.core, a.cfg.Module.Classes, a.cfg.OpsSockets(), a.log)
		defer ops.Close() // with the process: until then its figures are of interest
		go func() { failed <- ops.Serve(a.ops) }()
	}
	a.log.Info("started", "name", a.cfg.Name, "listen", a.listeners[0].Addr().String(), "discovery", a.cfg.Discovery,
		"backends", len(a.cfg.Known.Servers), "longest_deadline", a.cfg.LongestDeadline(), "cores", a.cfg.Limits.Cores, "memory_mb", a.cfg.Limits.MemoryMB,
		"sockets", a.cfg.Limits.Sockets)
	for ctx.Err() == nil {
		select {
		case err := <-failed:
			return fmt.Errorf("serving: %w", err)
		case <-reload:
			a.reload(work)
		case <-ctx.Done():
		}
	}
	begin, replaced := time.Now(), a.replaced()
	plan := shutdown.Plan(a.cfg.LongestDeadline(), replaced)
	a.core.End(begin, begin.Add(plan.AnswerBy))
	a.log.Info("ending", "replaced", replaced, "answers_in", plan.AnswerBy, "closes_in", plan.CloseBy,
		"killed_after", shutdown.KillAfter(a.cfg.LongestDeadline()))
	stopped := make(chan struct{}, len(fronts))
	for _, f := range fronts {
		go func() { f.Stop(begin, plan); stopped <- struct{}{} }()
	}
	if a.keeper != nil {
		a.keeper.End() // at once: what kills an agent that ends too slowly gives no further notice
	}
	for range fronts {
		<-stopped
	}
	a.core.Report()
	return nil
}

// watchStalls has parts of the agent logged that no longer go on: all others wait for them before long.
func (a *Agent) watchStalls(ctx context.Context) {
	watch := stallwatch.Watch{Log: a.log, Interval: stallwatch.Interval, Limit: stallwatch.Limit}
	watch.Run(ctx,
		stallwatch.Check{Part: "event loop", Run: a.core.Respond},
		stallwatch.Check{Part: "connections of clients", Run: func(context.Context) { a.tracker.Count() }})
}

// fronts are those that take calls.
func (a *Agent) fronts() []front {
	inHTTP := httpfront.New(a.cfg, a.core, a.tracker, a.listeners[0], a.log)
	if a.bridge != nil {
		inHTTP.WithShapes(a.bridge)
	}
	if a.thrift == nil {
		return []front{inHTTP}
	}
	a.log.Info("taking Thrift", "listen", a.listeners[1].Addr().String())
	inThrift := thriftfront.New(a.cfg, a.thrift, a.core, a.tracker, a.listeners[1], a.log)
	if a.bridge != nil {
		inThrift.WithShapes(a.bridge)
	}
	return []front{inHTTP, inThrift}
}
