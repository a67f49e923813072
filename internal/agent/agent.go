// Package agent runs a decision module on real sockets: it takes the application's requests, makes the
// attempts that the module orders and gives the final answers. It decides nothing itself.
package agent

import (
	"container/heap"
	"context"
	"fmt"
	"log/slog"
	"net"
	"net/http"
	"net/url"
	"os"
	"sync/atomic"
	"time"

	"ternbeam/choice"
)

// Agent is one client-side balancer. One goroutine, the loop, owns the Balancer and all the tables; everything
// else posts events to it.
type Agent struct {
	cfg       *Config
	log       *slog.Logger
	upstream  *upstream
	events    chan func()
	malformed atomic.Int64  // malformed requests, which the loop never sees
	ready     chan struct{} // closed when the application may begin
	started   time.Time
	origin    time.Duration // module time at the start: Unix time, so that starts of backends need no mapping

	// What follows belongs to the loop.
	balancer  *choice.Balancer
	queue     []choice.Event // to be handled; actions of one event may cause the next
	handling  bool
	timers    timerHeap
	requests  map[string]*request // not answered yet, or with attempts in flight
	backends  map[string]*backend
	open      int    // requests not answered yet
	discovery string // the address that is followed
	watch     func() // begins a watch there
	unwatch   func() // ends it; nothing that it has delivered is applied from then on
	haveWatch bool
	stats     stats
}

// stats are counts since the start, for the log.
type stats struct {
	Requests, Served, Refused, Failed, Gone int
	Attempts, Reports                       int
	Results                                 [choice.NotSent + 1]int
}

// request is one request of a client.
type request struct {
	choice.Request
	method string
	url    *url.URL
	header http.Header
	body   []byte

	reply    chan answer               // takes the one final answer
	over     atomic.Bool               // the final answer is given, or the client is gone
	attempts []context.CancelCauseFunc // by number; nil for one that has ended
	out      int                       // attempts in flight
}

// answer is a final answer to a client.
type answer struct {
	status      int
	retryAfter  time.Duration
	contentType string
	body        []byte
}

// New returns an Agent that is ready to Run.
func New(cfg *Config, log *slog.Logger) (*Agent, error) {
	balancer, err := choice.New(cfg.module, cfg.seed)
	if err != nil {
		return nil, fmt.Errorf("settings: %w", err)
	}
	now := time.Now()
	return &Agent{cfg: cfg, log: log, upstream: newUpstream(cfg), events: make(chan func(), 1024), ready: make(chan struct{}),
		started: now, origin: time.Duration(now.UnixNano()), balancer: balancer,
		requests: map[string]*request{}, backends: map[string]*backend{}}, nil
}

const (
	// firstList is how long the agent waits for discovery's word before it calls itself ready.
	firstList = 200 * time.Millisecond
	// lingering is how long an ending agent goes on accepting: clients hear of its end a little later.
	lingering = 500 * time.Millisecond
	// closing is what an ending agent may take beyond the longest deadline.
	closing = 600 * time.Millisecond
)

// Run serves until ctx ends, then answers what it has taken and returns. Whenever reload says so, it reads the
// configuration again.
func (a *Agent) Run(ctx context.Context, reload <-chan os.Signal) error {
	listener, err := net.Listen("tcp", a.cfg.Listen)
	if err != nil {
		return fmt.Errorf("listening for the application: %w", err)
	}
	work, stop := context.WithCancel(context.Background())
	defer stop()
	go a.loop(work)
	server := newServer(a, listener.(*net.TCPListener))
	failed := make(chan error, 1)
	go func() { failed <- server.serve() }()
	a.log.Info("started", "name", a.cfg.Name, "listen", listener.Addr().String(), "discovery", a.cfg.Discovery,
		"backends", len(a.cfg.known.Servers), "cores", a.cfg.Limits.Cores, "memory_mb", a.cfg.Limits.MemoryMB,
		"sockets", a.cfg.Limits.Sockets)
	for ctx.Err() == nil {
		select {
		case err := <-failed:
			return fmt.Errorf("serving the application: %w", err)
		case <-reload:
			a.reload(work)
		case <-ctx.Done():
		}
	}
	a.log.Info("ending")
	server.stop(lingering, a.cfg.longestDeadline()+closing)
	done := make(chan struct{})
	a.post(func() { a.report(); close(done) })
	<-done
	return nil
}

// now is the module's clock: monotonic, in Unix time.
func (a *Agent) now() time.Duration { return a.origin + time.Since(a.started) }

// at turns a time of the module's clock into one of the system's.
func (a *Agent) at(t time.Duration) time.Time { return a.started.Add(t - a.origin) }

// post hands an event to the loop.
func (a *Agent) post(event func()) { a.events <- event }

const (
	sweepEvery  = time.Second
	reportEvery = 5 * time.Second
)

// loop owns the Balancer: it takes one event after the other, and timers when they are due.
func (a *Agent) loop(ctx context.Context) {
	a.follow(ctx, a.cfg.Discovery, a.cfg.known.Version)
	a.perform(a.balancer.Start(a.now()))
	a.list(a.cfg.known)
	if !a.cfg.module.Subscribe {
		a.beginWatch()
	}
	first := time.AfterFunc(firstList, func() { a.post(a.markReady) })
	defer first.Stop()
	sweep, report := time.NewTicker(sweepEvery), time.NewTicker(reportEvery)
	defer sweep.Stop()
	defer report.Stop()
	due := time.NewTimer(0)
	defer due.Stop()
	for {
		for len(a.timers) > 0 && a.timers[0].at <= a.now() {
			t := heap.Pop(&a.timers).(timer)
			a.handle(choice.TimerFired{Token: t.token})
		}
		if len(a.timers) > 0 {
			due.Reset(a.timers[0].at - a.now())
		}
		select {
		case event := <-a.events:
			event()
		case <-due.C:
		case <-sweep.C:
			a.upstream.sweep()
		case <-report.C:
			a.report()
		case <-ctx.Done():
			return
		}
	}
}

func (a *Agent) markReady() {
	select {
	case <-a.ready:
	default:
		close(a.ready)
	}
}

// reload takes a changed configuration: discovery may have moved. One that can't be read changes nothing.
func (a *Agent) reload(ctx context.Context) {
	addr, err := a.cfg.newDiscovery()
	if err != nil {
		a.log.Error("keeping the old configuration", "error", err)
		return
	}
	a.post(func() {
		a.log.Info("new configuration", "discovery", addr, "before", a.discovery)
		if addr != a.discovery {
			a.follow(ctx, addr, unknown)
			if a.haveWatch {
				a.beginWatch()
			}
		}
	})
}

// follow sets the discovery that is watched from now on; the watch on another ends. Lists of that one may still be
// queued: they count by other versions and must not be applied after the first list of the new one.
func (a *Agent) follow(ctx context.Context, addr string, version int64) {
	if a.unwatch != nil {
		a.unwatch()
	}
	ctx, a.unwatch = context.WithCancel(ctx)
	a.discovery = addr
	d := newDiscovery(addr, version, a.log)
	current := func(event func()) {
		a.post(func() {
			if ctx.Err() == nil {
				event()
			}
		})
	}
	deliver := func(l endpointList) { current(func() { a.list(l); a.markReady() }) }
	a.watch = func() { d.keepWatching(ctx, deliver) }
	if a.cfg.module.Subscribe {
		a.watch = func() { // each time that the module asks for it
			err := d.watch(ctx, deliver)
			current(func() {
				a.log.Warn("the watch ended", "error", err)
				a.haveWatch = false
				a.handle(choice.ListUnavailable{})
			})
		}
	}
}

func (a *Agent) beginWatch() {
	a.haveWatch = true
	go a.watch()
}

// report logs the counts.
func (a *Agent) report() {
	s := &a.stats
	a.log.Info("counts", "requests", s.Requests, "served", s.Served, "refused", s.Refused, "failed", s.Failed,
		"gone", s.Gone, "malformed", a.malformed.Load(), "attempts", s.Attempts, "reports", s.Reports, "results", s.Results, "open", a.open, "held", len(a.requests),
		"timers", len(a.timers), "backends", len(a.backends), "connections", a.upstream.count())
}

// handle gives the module an event and performs what it orders. Events that the actions cause wait until all
// actions are performed, as these are valid only until the module's next call.
func (a *Agent) handle(ev choice.Event) {
	a.queue = append(a.queue, ev)
	if a.handling {
		return
	}
	a.handling = true
	for i := 0; i < len(a.queue); i++ {
		a.perform(a.balancer.Handle(a.now(), a.queue[i]))
	}
	clear(a.queue)
	a.queue, a.handling = a.queue[:0], false
}

// perform carries out the module's actions. It has no case for probes and messages to peers: the configuration
// rules the ones out, and the module sends none of the others.
func (a *Agent) perform(actions []choice.Action) {
	for _, act := range actions {
		switch act.Kind {
		case choice.SetTimer:
			heap.Push(&a.timers, timer{at: a.now() + act.After, token: act.Token})
		case choice.Subscribe:
			if !a.haveWatch {
				a.beginWatch()
			}
		case choice.Send:
			if r := a.requests[act.Request]; r != nil {
				a.send(r, act.Server, act.After)
			}
		case choice.Cancel:
			if r := a.requests[act.Request]; r != nil && act.Attempt < len(r.attempts) && r.attempts[act.Attempt] != nil {
				r.attempts[act.Attempt](errWithdrawn)
			}
		case choice.Refuse:
			if a.finish(act.Request, answer{status: http.StatusServiceUnavailable, retryAfter: act.After}) {
				a.stats.Refused++
			}
		case choice.Fail:
			if a.finish(act.Request, answer{status: http.StatusBadGateway}) {
				a.stats.Failed++
			}
		}
	}
}

// send begins an attempt, or tells the module at once why there is none. Attempts are numbered in the order in
// which the module orders them, those that are not sent included.
func (a *Agent) send(r *request, server string, after time.Duration) {
	now, n := a.now(), len(r.attempts)
	r.attempts = append(r.attempts, nil)
	a.stats.Attempts++
	end := r.Deadline
	if after != 0 {
		end = min(end, now+after)
	}
	b := a.backends[server]
	failed := choice.Outcome{Request: r.ID, Attempt: n, Server: server, Closed: r.over.Load(), Report: choice.NoReport}
	switch {
	case failed.Closed || n >= a.cfg.module.MaxAttempts || end <= now:
		failed.Result = choice.NotSent
	case b == nil:
		failed.Result = choice.ConnectFailed
	default:
		ctx, cancel := context.WithCancelCause(context.Background())
		r.attempts[n] = cancel
		r.out++
		at := &attempt{req: r, n: n, backend: b, sent: now}
		go func() {
			ctx, stop := context.WithDeadline(ctx, a.at(end))
			defer stop()
			result := a.upstream.do(ctx, at)
			a.post(func() { a.outcome(at, result) })
		}()
		return
	}
	a.stats.Results[failed.Result]++
	a.handle(failed)
}

// outcome takes the end of an attempt. The first that is served answers the client.
func (a *Agent) outcome(at *attempt, res attemptResult) {
	r := at.req
	r.attempts[at.n](nil)
	r.attempts[at.n] = nil
	r.out--
	a.stats.Results[res.result]++
	if res.report != choice.NoReport {
		a.stats.Reports++
	}
	if res.result == choice.OK && a.finish(r.ID, answer{status: http.StatusOK, contentType: res.contentType,
		body: res.body}) {
		a.stats.Served++
	}
	a.handle(choice.Outcome{Request: r.ID, Attempt: at.n, Server: at.backend.id, Result: res.result,
		Took: a.now() - at.sent, Closed: r.over.Load(), Report: res.report})
	a.forget(r)
}

// arrived takes a request from the server.
func (a *Agent) arrived(r *request) {
	a.stats.Requests++
	switch {
	case a.requests[r.ID] != nil:
		r.reply <- answer{status: http.StatusConflict} // an id is never repeated
		return
	case a.cfg.host.Ceilings.MostHeld > 0 && a.open >= a.cfg.host.Ceilings.MostHeld:
		r.reply <- answer{status: http.StatusServiceUnavailable} // turned away before the module, as in the simulator
		return
	}
	a.requests[r.ID] = r
	a.open++
	a.handle(r.Request)
}

// left takes the news that a client has gone away.
func (a *Agent) left(r *request) {
	if a.requests[r.ID] != r || r.over.Load() {
		return
	}
	a.stats.Gone++
	a.end(r)
	a.handle(choice.ClientGone{Request: r.ID})
	a.forget(r)
}

// finish gives a request its final answer, if it has none yet.
func (a *Agent) finish(id string, ans answer) bool {
	r := a.requests[id]
	if r == nil || r.over.Load() {
		return false
	}
	a.end(r)
	r.reply <- ans
	a.forget(r)
	return true
}

func (a *Agent) end(r *request) {
	r.over.Store(true)
	a.open--
}

// forget drops a request that is answered and has no attempt in flight.
func (a *Agent) forget(r *request) {
	if r.over.Load() && r.out == 0 && a.requests[r.ID] == r {
		delete(a.requests, r.ID)
	}
}

// list applies the list of backends or a change of it, here and in the module.
func (a *Agent) list(l endpointList) {
	ev := choice.ServerList{Full: l.Full}
	named := make(map[string]bool, len(l.Servers))
	for _, e := range l.Servers {
		s, err := e.server(a.cfg.host.Zones)
		if err != nil {
			a.log.Error("passing over an entry of the list", "error", err)
			continue
		}
		ev.Servers = append(ev.Servers, s)
		named[e.ID] = true
		a.entry(e, s.State)
	}
	for id, b := range a.backends {
		if l.Full && !named[id] {
			a.upstream.retire(b)
			delete(a.backends, id)
		}
	}
	a.log.Info("list", "version", l.Version, "full", l.Full, "entries", len(l.Servers), "backends", len(a.backends))
	a.handle(ev)
}

// entry applies one entry of a list. A backend that restarted or moved gets new connections.
func (a *Agent) entry(e endpoint, state choice.State) {
	b := a.backends[e.ID]
	if b != nil && (b.addr != e.Addr || b.startedMS != e.StartedMS || state != choice.Ready) {
		a.upstream.retire(b)
		delete(a.backends, e.ID)
		b = nil
	}
	if b == nil && state == choice.Ready {
		a.backends[e.ID] = &backend{id: e.ID, addr: e.Addr, startedMS: e.StartedMS}
	}
}

// timer is a timer of the module's.
type timer struct {
	at    time.Duration
	token uint64
}

// timerHeap is a heap of timers by their times.
type timerHeap []timer

func (h timerHeap) Len() int           { return len(h) }
func (h timerHeap) Less(i, j int) bool { return h[i].at < h[j].at }
func (h timerHeap) Swap(i, j int)      { h[i], h[j] = h[j], h[i] }
func (h *timerHeap) Push(x any)        { *h = append(*h, x.(timer)) }
func (h *timerHeap) Pop() any {
	last := (*h)[len(*h)-1]
	*h = (*h)[:len(*h)-1]
	return last
}
