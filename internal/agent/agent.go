// Package agent assembles an agent: the core, the fronts that receive calls and the transports that send attempts. It also
// reloads the configuration and hands over to a replacing process.
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
	"ternbeam/internal/decide/gossip"
	"ternbeam/internal/decide/lifecycle"
	"ternbeam/internal/decide/routes"
	"ternbeam/internal/decide/shutdown"
	"ternbeam/internal/discovery"
	"ternbeam/internal/host/accept"
	"ternbeam/internal/host/conntrack"
	"ternbeam/internal/host/core"
	"ternbeam/internal/host/members"
	"ternbeam/internal/host/membudget"
	"ternbeam/internal/host/peers"
	"ternbeam/internal/host/pool"
	"ternbeam/internal/host/stallwatch"
	"ternbeam/internal/host/statestore"
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

// Agent is a client-side load balancer on real sockets.
type Agent struct {
	cfg    *config.Config
	thrift *thriftmap.Map // nil if Thrift is off
	log    *slog.Logger
	core   *core.Core
	pool   *pool.Pool
	conns  *conntrack.Tracker
	budget *membudget.Budget // for data of clients and servers

	stateStore *statestore.Runner // nil if learned state is not persisted
	bridge     *bridge.Bridge     // nil if no shapes are configured
	shapes     func() (*translate.Set, error)

	listeners    []*net.TCPListener // HTTP for the application, then Thrift if it is on
	ops          net.Listener       // the operations address; nil if there is none
	handover     handoverState
	reloads      reloads
	illegalSteps atomic.Int64 // illegal state transitions of attempts and connections
}

// front receives the calls of one listener.
type front interface {
	Serve() error
	Stop(begin time.Time, plan shutdown.Schedule)
}

// New returns an Agent that is ready to Run. If service is not nil, the agent also accepts Thrift calls.
func New(cfg *config.Config, service *thriftmap.Map, log *slog.Logger) (*Agent, error) {
	return NewWithOptions(cfg, Options{Service: service}, log)
}

// Options are the optional parts of an agent that are not in its configuration.
type Options struct {
	Service   *thriftmap.Map                 // the Thrift service; nil for HTTP only
	Sources   *sourceconf.Config             // sources of servers; nil for the platform's list only
	Peers     *gossip.Settings               // gossip of server lists among agents; nil for none
	Shapes    func() (*translate.Set, error) // reads the shapes of calls, at start and at each reload; nil for no translation
	SharedDir string                         // folder shared with a replacing process; empty for none
}

// NewWithOptions is New with more options.
func NewWithOptions(cfg *config.Config, opts Options, log *slog.Logger) (*Agent, error) {
	service, sources := opts.Service, opts.Sources
	budget := membudget.New(cfg.PeerDataBytes())
	a := &Agent{cfg: cfg, thrift: service, log: log, conns: conntrack.New(cfg.ClientSockets(), budget), budget: budget, shapes: opts.Shapes}
	a.requestHandover(opts.SharedDir)
	poolSettings := pool.Settings{DialTimeout: cfg.ConnectTimeout(), IdleTimeout: cfg.IdleTimeout(), MaxConns: cfg.BackendSockets(),
		OnIllegalStep: a.recordIllegalStep, OnReuseDelay: a.logReuseDelay, Addresses: addresses.Defaults}
	freshness := new(discovery.Freshness)
	if opts.Peers == nil { // lists from other agents do not say until when they were current
		poolSettings.ListCurrentAt = freshness.CurrentAt
	}
	var feed core.Feed
	if sources != nil {
		poolSettings.Addresses = sources.Addresses
		feed = members.New(members.Settings{Config: *sources, Discovery: cfg.Discovery, LastList: cfg.InitialList, Pacing: cfg.Pacing, Zones: cfg.Host.Zones, Seed: cfg.Seed,
			Freshness: freshness, Log: log})
	}
	a.pool = pool.New(poolSettings)
	if opts.Peers != nil {
		if sources != nil {
			return nil, errors.New("server lists from other agents and additional sources of servers can't be combined yet")
		}
		peerHost, err := peers.New(peers.Settings{Settings: *opts.Peers, Listen: cfg.Peers.Listen, Peers: cfg.Peers.Addrs, Discovery: cfg.Discovery,
			LastList: cfg.InitialList, Pacing: cfg.Pacing, Zones: cfg.Host.Zones, Seed: cfg.Seed, Log: log})
		if err != nil {
			return nil, err
		}
		feed = peerHost
	}
	transports := map[choice.Protocols]core.Transport{protocol.HTTP: httpback.New(a.pool, cfg.ReportFields, cfg.AllowsLongBodies(), budget)}
	if service != nil {
		t := thriftback.New(a.pool, service)
		transports[protocol.ThriftBinary], transports[protocol.ThriftCompact] = t, t
	}
	var callRoutes *routes.Router
	if opts.Shapes != nil {
		set, err := opts.Shapes()
		if err != nil {
			return nil, err
		}
		if a.bridge, err = bridge.New(set, cfg, service); err != nil {
			return nil, err
		}
		if callRoutes, err = a.bridge.NewRouter(); err != nil {
			return nil, err
		}
		for p, t := range transports {
			transports[p] = a.bridge.Wrap(t)
		}
	}
	var err error
	a.core, err = core.New(core.Settings{Module: cfg.Module, Seed: cfg.Seed, Zones: cfg.Host.Zones,
		MaxUnanswered: cfg.Host.Ceilings.MostHeld, InitialList: cfg.InitialList, Discovery: cfg.Discovery, Freshness: freshness, Pacing: cfg.Pacing, Feed: feed, Pool: a.pool, Log: log,
		Transports: transports, OnIllegalStep: a.recordIllegalStep, Routes: callRoutes,
		OpsEnabled: cfg.Ops != "", ClientStats: a.conns.Stats, BudgetStats: budget.Stats, Inherited: a.handover.receivedState()})
	return a, err
}

// PersistLearned makes the agent store what it learns in a folder, and start with the state that is stored there. It must be
// called before Run.
func (a *Agent) PersistLearned(set stateconf.Config) {
	a.stateStore = statestore.New(statestore.Settings{Config: set, Name: a.cfg.Name, Seed: a.cfg.Seed, Log: a.log})
}

// AssumeProcessesKnown makes the processes of servers count as known, see pool.Pool.AssumeProcessesKnown.
func (a *Agent) AssumeProcessesKnown() { a.pool.AssumeProcessesKnown() }

// logReuseDelay logs that a server has sent data without a request, and that connections to all servers rest for longer because of that.
func (a *Agent) logReuseDelay(s *lifecycle.Server, after, delay time.Duration) {
	a.log.Warn("a server sent data on an idle connection, as if it answered twice", "server", s.ID, "after", after.Round(time.Millisecond), "reuse_delay", delay.Round(time.Millisecond))
}

// recordIllegalStep counts an illegal state transition, which is a bug in this program. Only the first one is logged, and the
// agent continues.
func (a *Agent) recordIllegalStep(err error) {
	if a.illegalSteps.Add(1) == 1 {
		a.log.Error("an illegal step, further ones are counted only", "error", err)
	}
}

// Listen opens the listeners and returns their addresses: the application's, then Thrift's if it is on. Connections wait in the
// accept queue until Run is called.
func (a *Agent) Listen() (addrs []string, err error) {
	for _, l := range []struct{ addr, what string }{{a.cfg.Listen, "the application"}, {a.thriftAddr(), "Thrift"}} {
		if l.addr == "" {
			continue
		}
		listener, err := a.listenForClients(l.addr)
		if err != nil {
			a.closeListeners()
			return nil, fmt.Errorf("listening for %s: %w", l.what, err)
		}
		a.listeners = append(a.listeners, listener)
		addrs = append(addrs, listener.Addr().String())
	}
	if a.cfg.Ops != "" {
		ops, err := a.listen(net.ListenConfig{}, a.cfg.Ops)
		if err != nil {
			a.closeListeners()
			return nil, fmt.Errorf("listening on the operations address: %w", err)
		}
		wrapped, err := accept.Wrap(ops.(*net.TCPListener), a.log)
		if err != nil {
			ops.Close()
			a.closeListeners()
			return nil, fmt.Errorf("listening on the operations address: %w", err)
		}
		a.ops = wrapped
	}
	return addrs, nil
}

// closeListeners closes what a failed Listen has opened.
func (a *Agent) closeListeners() {
	for _, open := range a.listeners {
		open.Close()
	}
	a.listeners = nil
}

// listenForClients listens on an address for clients, or returns the listener that the previous process handed over. If the
// agent has an operations address, it may be replaced while it serves, so SO_REUSEPORT lets two processes listen there.
func (a *Agent) listenForClients(addr string) (*net.TCPListener, error) {
	if l := a.handover.receivedListener(addr); l != nil {
		return l, nil
	}
	var lc net.ListenConfig
	if a.cfg.Ops != "" {
		lc.Control = func(_, _ string, raw syscall.RawConn) (err error) {
			if controlErr := raw.Control(func(fd uintptr) {
				err = unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_REUSEPORT, 1)
			}); controlErr != nil {
				return controlErr
			}
			return err
		}
	}
	l, err := a.listen(lc, addr)
	if err != nil {
		return nil, err
	}
	return l.(*net.TCPListener), nil
}

// listenTimeout is how long opening a listener is retried after transient errors: an agent must be ready within 10 s.
const listenTimeout = 4 * time.Second

// errNoLocalAddress is returned for a listener whose local address is unknown because getsockname(2) failed.
var errNoLocalAddress = errors.New("the system does not report the local address of the listener")

// isTransientErrno reports whether a listen error may be transient. The errors given here are permanent: they mean that the
// address can't be listened on.
var isTransientErrno = transient.ErrnoExcept(syscall.EACCES, syscall.EADDRNOTAVAIL, syscall.EAFNOSUPPORT)

// isTransientListenError reports whether listening is worth a retry: an address in use may belong to a process that is shutting
// down, and socket(2) may fail with EACCES for any address and succeed soon after.
func isTransientListenError(err error) bool {
	var call *os.SyscallError
	denied := errors.As(err, &call) && call.Syscall == "socket" && call.Err == syscall.EACCES
	return denied || errors.Is(err, errNoLocalAddress) || isTransientErrno(err)
}

// listen opens a listener and retries after transient errors.
func (a *Agent) listen(lc net.ListenConfig, addr string) (l net.Listener, err error) {
	ctx, cancel := context.WithTimeout(context.Background(), listenTimeout)
	defer cancel()
	err = transient.Retry(ctx, func() error {
		if l, err = lc.Listen(ctx, "tcp", addr); err == nil && l.Addr() == nil { // getsockname(2) failed
			l.Close()
			err = errNoLocalAddress
		}
		return err
	}, transient.NotifyFirst(func(err error) {
		a.log.Warn("listening failed", "address", addr, "error", err)
	}, isTransientListenError))
	return l, err
}

// OpsAddr returns the operations address, or an empty string if there is none.
func (a *Agent) OpsAddr() string {
	if a.ops == nil {
		return ""
	}
	return a.ops.Addr().String()
}

// Ready returns a channel that is closed when clients may send calls.
func (a *Agent) Ready() <-chan struct{} { return a.core.Ready() }

// Snapshot returns the current counts and servers of the agent, which must be running.
func (a *Agent) Snapshot() core.Snapshot { return a.core.Snapshot() }

// IllegalSteps returns the number of illegal state transitions so far.
func (a *Agent) IllegalSteps() int64 { return a.illegalSteps.Load() }

func (a *Agent) thriftAddr() string {
	if a.thrift == nil {
		return ""
	}
	return a.thrift.Listen
}

// Run serves until ctx is canceled, then answers the calls it has received and returns. An error means that a listener could not
// be opened or has failed. On each value from reload it reads the configuration again. It calls Listen first if the caller has not.
func (a *Agent) Run(ctx context.Context, reload <-chan os.Signal) error {
	if a.listeners == nil {
		if _, err := a.Listen(); err != nil {
			return err
		}
	}
	fronts := a.fronts()
	work, stop := context.WithCancel(context.Background())
	defer stop()
	if a.stateStore != nil {
		go a.stateStore.Run(a.core)
		if restored := a.stateStore.Restored(); restored != nil {
			a.core.LoadStored(restored, a.stateStore.Clock)
		}
	}
	go a.core.Run(work)
	a.watchStalls(work)
	endHandover := a.runHandover(work)
	defer endHandover()
	failed := make(chan error, len(fronts)+1)
	for _, f := range fronts {
		go func() { failed <- f.Serve() }()
	}
	if a.ops != nil {
		ops := httpops.New(a.core, a.cfg.Module.Classes, a.cfg.OpsSockets(), a.log)
		defer ops.Close() // last, since its counters are of interest until the process exits
		go func() { failed <- ops.Serve(a.ops) }()
	}
	a.log.Info("started", "name", a.cfg.Name, "listen", a.listeners[0].Addr().String(), "discovery", a.cfg.Discovery,
		"backends", len(a.cfg.InitialList.Servers), "longest_deadline", a.cfg.MaxDeadline(), "cores", a.cfg.Limits.Cores, "memory_mb", a.cfg.Limits.MemoryMB,
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
	plan := shutdown.Plan(a.cfg.MaxDeadline(), replaced)
	a.core.BeginShutdown(begin, begin.Add(plan.AnswerBy))
	a.log.Info("ending", "replaced", replaced, "answers_in", plan.AnswerBy, "closes_in", plan.CloseBy,
		"killed_after", shutdown.KillAfter(a.cfg.MaxDeadline()))
	stopped := make(chan struct{}, len(fronts))
	for _, f := range fronts {
		go func() { f.Stop(begin, plan); stopped <- struct{}{} }()
	}
	if a.stateStore != nil {
		a.stateStore.Close() // first, as the process may be killed before the fronts have stopped
	}
	for range fronts {
		<-stopped
	}
	a.core.Report()
	return nil
}

// watchStalls logs parts of the agent that make no progress: all other parts soon wait for them.
func (a *Agent) watchStalls(ctx context.Context) {
	watch := stallwatch.Watch{Log: a.log, Interval: stallwatch.Interval, Limit: stallwatch.Limit}
	watch.Run(ctx,
		stallwatch.Check{Part: "event loop", Run: a.core.Ping},
		stallwatch.Check{Part: "connections of clients", Run: func(context.Context) { a.conns.Count() }})
}

// fronts returns the fronts, one for each listener.
func (a *Agent) fronts() []front {
	httpFront := httpfront.New(a.cfg, a.core, a.conns, a.listeners[0], a.log)
	if a.bridge != nil {
		httpFront.WithShapes(a.bridge)
	}
	if a.thrift == nil {
		return []front{httpFront}
	}
	a.log.Info("taking Thrift", "listen", a.listeners[1].Addr().String())
	thriftFront := thriftfront.New(a.cfg, a.thrift, a.core, a.conns, a.listeners[1], a.log)
	if a.bridge != nil {
		thriftFront.WithShapes(a.bridge)
	}
	return []front{httpFront, thriftFront}
}
