package agent

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"os"
	"path/filepath"
	"runtime/debug"
	"slices"
	"sync"

	"golang.org/x/sys/unix"

	"ternbeam/internal/decide/handover"
	"ternbeam/internal/discovery"
	"ternbeam/internal/host/core"
	"ternbeam/internal/host/takeover"
	"ternbeam/internal/sysio/transient"
)

const (
	socketName = "ternbeam.sock"
	// maxPathLen is the maximum length of the path in bytes: with a process id appended it must still fit a Unix socket address.
	maxPathLen = 90
)

// handoverState is what an Agent knows of the processes that it replaces and that replace it.
type handoverState struct {
	socketPath string           // Unix socket on which a replacing process requests the handover; empty if this process can't be replaced
	received   *takeover.Result // what the previous process handed over; nil if there was none

	mu              sync.Mutex
	concurrent      int           // other processes that serve at the same time
	replacements    int           // those of them that replace this one
	replacementGone chan struct{} // signals that no replacing process is left, so this process must listen on socketPath again
	subscribers     map[*takeover.Link]*core.Subscriber
}

// socketPath returns the path of the Unix socket in a folder. If the path is too long for a socket address, it opens the folder
// and returns a path through the descriptor, which stays open.
func socketPath(folder string) (string, error) {
	path := filepath.Join(folder, socketName)
	if len(path) <= maxPathLen {
		return path, nil
	}
	dirFD, err := unix.Open(folder, unix.O_PATH|unix.O_DIRECTORY|unix.O_CLOEXEC, 0)
	if err != nil {
		return "", &os.PathError{Op: "open", Path: folder, Err: err}
	}
	return fmt.Sprintf("/proc/self/fd/%d/%s", dirFD, socketName), nil
}

// requestHandover requests the handover from the process that serves under this agent's name: its state and listeners. If there is
// none, or the request fails, the agent starts without them.
func (a *Agent) requestHandover(shared string) {
	if shared == "" || a.cfg.Ops == "" {
		return
	}
	path, err := socketPath(shared)
	if err != nil {
		a.log.Warn("the shared folder can't be opened: a replacement begins from nothing", "error", err)
		return
	}
	a.handover.socketPath = path
	received, err := takeover.Claim(path, a.cfg.Name)
	switch {
	case errors.Is(err, takeover.ErrNoPreviousProcess):
		return
	case err != nil:
		a.log.Warn("starting from nothing, as what was left can't be had", "error", err)
		return
	}
	a.handover.received = received
	a.leaveAbandonedDiscovery(received.State)
	var list discovery.List
	if json.Unmarshal(received.State.List, &list) == nil && len(list.Servers) > 0 {
		if received.State.Discovery != a.cfg.Discovery {
			list.Version = discovery.UnknownVersion // another discovery service numbers its versions differently
		}
		list.Full = true
		a.cfg.InitialList = list
	}
	a.log.Info("replacing another process", "servers", len(list.Servers), "out", len(received.State.Overrides.Offline), "listeners", len(received.Listeners))
}

// leaveAbandonedDiscovery replaces the address of discovery by the one in the configuration file, or else by that of the process before, if a new
// configuration has moved that process away from it. The address then comes from an environment that is older than the file: an old service does not
// tell of servers that drain, and would not be left again before the next SIGHUP.
func (a *Agent) leaveAbandonedDiscovery(previous handover.State) {
	if !slices.Contains(previous.Abandoned, a.cfg.Discovery) {
		return
	}
	addr, err := a.cfg.ReloadDiscovery()
	if err != nil {
		addr = previous.Discovery
	}
	if addr != a.cfg.Discovery {
		a.log.Warn("discovery was moved by a new configuration: the address of the environment is not used", "discovery", addr, "environment", a.cfg.Discovery)
		a.cfg.Discovery = addr
	}
}

// receivedState returns the state that was handed over, with which the core starts, or nil if there is none.
func (h *handoverState) receivedState() *core.InheritedState {
	if h.received == nil {
		return nil
	}
	return &core.InheritedState{Overrides: h.received.State.Overrides, Learned: h.received.State.Learned, IDs: h.received.State.IDs,
		Abandoned: h.received.State.Abandoned}
}

// receivedListener returns the listener that was handed over for an address, or nil, and passes its ownership to the caller.
func (h *handoverState) receivedListener(addr string) *net.TCPListener {
	if h.received == nil {
		return nil
	}
	for i, listener := range h.received.Listeners {
		if listener != nil && listener.Addr().String() == addr {
			h.received.Listeners[i] = nil
			return listener
		}
	}
	return nil
}

// runHandover exchanges updates with the previous process as long as both run, and serves handover requests of the next process
// once this one is ready for clients. The returned function stops that.
func (a *Agent) runHandover(ctx context.Context) (end func()) {
	if a.handover.socketPath == "" {
		return func() {}
	}
	if received := a.handover.received; received != nil {
		for _, l := range received.Listeners { // those for addresses on which this process does not listen
			if l != nil {
				l.Close()
			}
		}
		previous := a.core.Subscribe(received.Link.Send)
		a.addProcesses(1, 0)
		go func() {
			received.Link.Run(func(u handover.Update) { a.core.ReceiveUpdate(ctx, u, previous) })
			a.core.Unsubscribe(previous)
			a.addProcesses(-1, 0)
			a.log.Info("the process before is gone")
		}()
	}
	ctx, cancel := context.WithCancel(ctx)
	a.handover.replacementGone = make(chan struct{}, 1)
	go func() {
		select {
		case <-a.core.Ready():
		case <-ctx.Done():
			return
		}
		for ctx.Err() == nil { // again after a replacing process has exited: it took over the path, so nobody listens there now
			server := a.newHandoverServer(ctx)
			if server == nil {
				return
			}
			go server.Serve(a.handOver, a.serveReplacement)
			select {
			case <-ctx.Done():
			case <-a.handover.replacementGone:
			}
			server.Close()
		}
	}()
	return cancel
}

// newHandoverServer starts the server from which the next process requests the handover, and retries until its socket can be opened
// in the shared folder. It returns nil if ctx is canceled first.
func (a *Agent) newHandoverServer(ctx context.Context) (server *takeover.Server) {
	transient.Retry(ctx, func() (err error) {
		server, err = takeover.NewServer(a.handover.socketPath, a.cfg.Name, a.log)
		return err
	}, transient.NotifyFirst(func(err error) {
		a.log.Warn("until this succeeds a replacement begins from nothing, trying again", "error", err)
	}, transient.Always))
	return server
}

// handOver returns the state and listeners for the next process, and subscribes it to updates.
func (a *Agent) handOver(l *takeover.Link) (handover.State, []*net.TCPListener, error) {
	s, next, err := a.core.HandOver(context.Background(), l.Send)
	s.Name = a.cfg.Name
	for _, listener := range a.listeners {
		s.Listeners = append(s.Listeners, listener.Addr().String())
	}
	a.handover.mu.Lock()
	defer a.handover.mu.Unlock()
	if a.handover.subscribers == nil {
		a.handover.subscribers = map[*takeover.Link]*core.Subscriber{}
	}
	a.handover.subscribers[l] = next
	return s, a.listeners, err
}

// serveReplacement exchanges updates with a process that replaces this one, until one of the two exits.
func (a *Agent) serveReplacement(l *takeover.Link) {
	a.handover.mu.Lock()
	next := a.handover.subscribers[l]
	delete(a.handover.subscribers, l)
	a.handover.mu.Unlock()
	if next == nil {
		return // nothing was handed over
	}
	a.addProcesses(1, 1)
	a.log.Info("a process that replaces this one has begun")
	a.core.Broadcast(handover.Update{Replaced: true}) // for the previous process
	replacedToo := false
	l.Run(func(u handover.Update) {
		replacedToo = replacedToo || u.Replaced
		a.core.ReceiveUpdate(context.Background(), u, next)
	})
	a.core.Unsubscribe(next)
	if replacedToo { // a third process serves now
		a.addProcesses(-1, 0)
		a.log.Info("the process that replaced this one was replaced, too")
		return
	}
	a.addProcesses(-1, -1)
	a.log.Info("the process that replaces this one is gone")
	if !a.replaced() {
		select {
		case a.handover.replacementGone <- struct{}{}:
		default: // a signal is already pending
		}
	}
}

// addProcesses adds to the number of concurrent processes, and of those that replace this one, and updates the limits of this
// process: together all may use what one process may use. Client connections are not limited this way: they belong to the same
// clients whichever process holds them, and closing some would turn away clients that are about to send a call.
func (a *Agent) addProcesses(concurrentDelta, replacementsDelta int) {
	a.handover.mu.Lock()
	defer a.handover.mu.Unlock()
	a.handover.concurrent += concurrentDelta
	a.handover.replacements += replacementsDelta
	parts := 1
	if a.handover.concurrent > 0 {
		parts = 2 // a third process starts only while the first shuts down
	}
	a.pool.SetMaxConns(max(1, a.cfg.BackendSockets()/parts))
	if a.cfg.Limits.MemoryMB > 0 {
		debug.SetMemoryLimit(a.cfg.Limits.HeapLimit() / int64(parts))
	}
}

// replaced reports whether a running process has taken over the state of this one and listens on the same addresses.
func (a *Agent) replaced() bool {
	a.handover.mu.Lock()
	defer a.handover.mu.Unlock()
	return a.handover.replacements > 0
}
