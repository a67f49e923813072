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
	"sync"

	"golang.org/x/sys/unix"

	"ternbeam/internal/decide/succession"
	"ternbeam/internal/discovery"
	"ternbeam/internal/host/core"
	"ternbeam/internal/host/successor"
	"ternbeam/internal/sysio/transient"
)

const (
	claimName = "ternbeam.sock"
	// longestPath is what the name of a Unix socket may have, with the number of a process behind it.
	longestPath = 90
)

// line is the part of an Agent that is about the processes before and after it.
type line struct {
	path string          // where claims are made; empty where this process is never replaced
	heir *successor.Heir // what this process has from the one before; nil where it began from nothing

	mu      sync.Mutex
	beside  int           // processes that serve beside this one
	younger int           // those of them that have taken over from this one
	again   chan struct{} // says that none of them is left: claims are to come here again
	others  map[*successor.Link]*core.Other
}

// socketPath returns the path of the Unix socket in a folder: by the folder's descriptor, which stays open, where its name is too long for one.
func socketPath(folder string) (string, error) {
	path := filepath.Join(folder, claimName)
	if len(path) <= longestPath {
		return path, nil
	}
	opened, err := unix.Open(folder, unix.O_PATH|unix.O_DIRECTORY|unix.O_CLOEXEC, 0)
	if err != nil {
		return "", &os.PathError{Op: "open", Path: folder, Err: err}
	}
	return fmt.Sprintf("/proc/self/fd/%d/%s", opened, claimName), nil
}

// claim asks whoever serves under this agent's name for what it leaves. Where that is nobody, or not to be had, the agent
// starts plainly.
func (a *Agent) claim(shared string) {
	if shared == "" || a.cfg.Ops == "" {
		return
	}
	path, err := socketPath(shared)
	if err != nil {
		a.log.Warn("the shared folder can't be opened: a replacement begins from nothing", "error", err)
		return
	}
	a.line.path = path
	heir, err := successor.Claim(path, a.cfg.Name)
	switch {
	case errors.Is(err, successor.ErrNobody):
		return
	case err != nil:
		a.log.Warn("starting from nothing, as what was left can't be had", "error", err)
		return
	}
	a.line.heir = heir
	var list discovery.List
	if json.Unmarshal(heir.State.List, &list) == nil && len(list.Servers) > 0 {
		if heir.State.Discovery != a.cfg.Discovery {
			list.Version = discovery.Unknown // counted otherwise
		}
		list.Full = true
		a.cfg.Known = list
	}
	a.log.Info("replacing another process", "servers", len(list.Servers), "out", len(heir.State.Said.Out), "listeners", len(heir.Listeners))
}

// inheritance is what the core begins with; nil where that is nothing.
func (l *line) inheritance() *core.Inheritance {
	if l.heir == nil {
		return nil
	}
	return &core.Inheritance{Said: l.heir.State.Said, Learned: l.heir.State.Learned}
}

// inherited returns the listener that was left for an address, or nil.
func (l *line) inherited(addr string) *net.TCPListener {
	if l.heir == nil {
		return nil
	}
	for i, left := range l.heir.Listeners {
		if left != nil && left.Addr().String() == addr {
			l.heir.Listeners[i] = nil
			return left
		}
	}
	return nil
}

// succeed tells and hears the process before this one, for as long as both live, and lets the next one claim once this
// one takes clients. It returns what ends that.
func (a *Agent) succeed(ctx context.Context) (end func()) {
	if a.line.path == "" {
		return func() {}
	}
	if heir := a.line.heir; heir != nil {
		for _, l := range heir.Listeners { // for addresses at which this one does not listen
			if l != nil {
				l.Close()
			}
		}
		before := a.core.Join(heir.Link.Say)
		a.share(1, 0)
		go func() {
			heir.Link.Run(func(n succession.News) { a.core.Hear(ctx, n, before) })
			a.core.Part(before)
			a.share(-1, 0)
			a.log.Info("the process before is gone")
		}()
	}
	ctx, cancel := context.WithCancel(ctx)
	a.line.again = make(chan struct{}, 1)
	go func() {
		select {
		case <-a.core.Ready():
		case <-ctx.Done():
			return
		}
		for ctx.Err() == nil { // one that took the path over and is gone has left nobody there
			offer := a.offer(ctx)
			if offer == nil {
				return
			}
			go offer.Serve(a.leave, a.linked)
			select {
			case <-ctx.Done():
			case <-a.line.again:
			}
			offer.Close()
		}
	}()
	return cancel
}

// offer lets the next process claim, as soon as the shared folder allows. It returns nil where ctx ends before.
func (a *Agent) offer(ctx context.Context) (offer *successor.Offer) {
	transient.Until(ctx, func() (err error) {
		offer, err = successor.NewOffer(a.line.path, a.cfg.Name, a.log)
		return err
	}, transient.TellingFirst(func(err error) {
		a.log.Warn("until this succeeds a replacement begins from nothing, trying again", "error", err)
	}, transient.Always))
	return offer
}

// leave is what the next process gets.
func (a *Agent) leave(l *successor.Link) (succession.State, []*net.TCPListener, error) {
	s, next, err := a.core.Leave(context.Background(), l.Say)
	s.Name = a.cfg.Name
	for _, listener := range a.listeners {
		s.Listeners = append(s.Listeners, listener.Addr().String())
	}
	a.line.mu.Lock()
	defer a.line.mu.Unlock()
	if a.line.others == nil {
		a.line.others = map[*successor.Link]*core.Other{}
	}
	a.line.others[l] = next
	return s, a.listeners, err
}

// linked serves beside the next process, until one of the two ends.
func (a *Agent) linked(l *successor.Link) {
	a.line.mu.Lock()
	next := a.line.others[l]
	delete(a.line.others, l)
	a.line.mu.Unlock()
	if next == nil {
		return // nothing was left
	}
	a.share(1, 1)
	a.log.Info("a process that replaces this one has begun")
	a.core.Tell(succession.News{Replaced: true}) // for the one before
	further := false
	l.Run(func(n succession.News) {
		further = further || n.Replaced
		a.core.Hear(context.Background(), n, next)
	})
	a.core.Part(next)
	if further { // and another serves in its place
		a.share(-1, 0)
		a.log.Info("the process that replaced this one was replaced, too")
		return
	}
	a.share(-1, -1)
	a.log.Info("the process that replaces this one is gone")
	if !a.replaced() {
		select {
		case a.line.again <- struct{}{}:
		default: // one that waits stands for any number
		}
	}
}

// share counts the processes beside this one: together they hold what one may. Clients' connections are no part of that:
// they are those of the same clients, whichever process has them, and to close some would turn away who is about to ask.
func (a *Agent) share(beside, younger int) {
	a.line.mu.Lock()
	defer a.line.mu.Unlock()
	a.line.beside += beside
	a.line.younger += younger
	parts := 1
	if a.line.beside > 0 {
		parts = 2 // a third process comes only while the first ends
	}
	a.pool.Bound(max(1, a.cfg.BackendSockets()/parts))
	if a.cfg.Limits.MemoryMB > 0 {
		debug.SetMemoryLimit(a.cfg.Limits.HeapLimit() / int64(parts))
	}
}

// replaced reports whether another process has what this one leaves, and listens where it does.
func (a *Agent) replaced() bool {
	a.line.mu.Lock()
	defer a.line.mu.Unlock()
	return a.line.younger > 0
}
