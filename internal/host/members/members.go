// Package members is the host of the membership: it watches the platform's list, has name servers asked, and hands what is
// said to the deciding part, which one goroutine owns.
package members

import (
	"context"
	"log/slog"
	"sync"
	"time"

	"ternbeam/internal/clock"
	"ternbeam/internal/decide/asking"
	"ternbeam/internal/decide/ledger"
	"ternbeam/internal/decide/membership"
	"ternbeam/internal/decide/resolve"
	"ternbeam/internal/discovery"
	"ternbeam/internal/discovery/dnssource"
	"ternbeam/internal/settings/sourceconf"
)

// Settings are what a Host is made of.
type Settings struct {
	sourceconf.Config
	Discovery string         // the platform's list; none where empty
	Known     discovery.List // as it was last had
	Asking    asking.Settings
	Zones     []string
	Seed      uint64
	Log       *slog.Logger
}

// Host keeps the membership of one agent.
type Host struct {
	set    Settings
	events chan func()
	list   int // source number of the list; -1 for none

	mu  sync.Mutex // held while the goroutine of Feed works on the membership
	all *membership.Set
}

// forEver is how long the word of a source counts that nothing is said of.
const forEver = 100 * 365 * 24 * time.Hour

// ListName is the name of the platform's list among the sources.
const ListName = "list"

// New returns a Host that is ready to Feed.
func New(set Settings) *Host {
	h := &Host{set: set, events: make(chan func(), 64), list: -1}
	m := set.Membership
	hold := func(d time.Duration) time.Duration {
		if d == 0 {
			return forEver
		}
		return d
	}
	if set.Discovery != "" {
		h.list = 0
		m.Sources = append(m.Sources, membership.Source{Name: ListName, Hold: hold(set.ListHold), Absent: true, Guard: len(set.DNS) > 0})
	}
	for _, d := range set.DNS {
		m.Sources = append(m.Sources, membership.Source{Name: d.Name, Hold: hold(d.Hold), Absent: true, Guard: true})
	}
	h.all = membership.New(m)
	return h
}

// Feed is core.Feed: it tells every change, until the context ends.
func (h *Host) Feed(ctx context.Context, deliver func([]ledger.Entry)) {
	if h.list >= 0 {
		if len(h.set.Known.Servers) > 0 {
			h.report(h.word(h.set.Known), deliver)
		}
		go h.watch(ctx, deliver)
	}
	for i, d := range h.set.DNS {
		number := h.list + 1 + i
		go dnssource.Run(ctx, dnssource.Settings{Settings: d.Resolve, Addrs: d.Servers, Seed: h.set.Seed + uint64(i), Log: h.set.Log, Now: clock.Now},
			func(w resolve.Word) {
				h.post(ctx, func() {
					h.report(membership.Report{Source: number, Full: true, Claims: w.Claims, Until: w.Until}, deliver)
				})
			}, func() {
				h.set.Log.Warn("no name server answers", "name", d.Name)
				h.post(ctx, func() {
					h.change(deliver, func(s *membership.Set) []ledger.Entry { return s.Lost(clock.Now(), number) })
				})
			})
	}
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		wait := time.Minute
		h.mu.Lock()
		if at, any := h.all.Next(); any {
			wait = min(wait, max(0, at-clock.Now()))
		}
		h.mu.Unlock()
		timer.Reset(wait)
		select {
		case <-ctx.Done():
			return
		case event := <-h.events:
			event()
		case <-timer.C:
			h.change(deliver, func(s *membership.Set) []ledger.Entry { return s.Tick(clock.Now()) })
		}
	}
}

func (h *Host) post(ctx context.Context, event func()) {
	select {
	case h.events <- event:
	case <-ctx.Done():
	}
}

func (h *Host) report(r membership.Report, deliver func([]ledger.Entry)) {
	h.change(deliver, func(s *membership.Set) []ledger.Entry { return s.Report(clock.Now(), r) })
}

// change works on the membership and tells what came of it.
func (h *Host) change(deliver func([]ledger.Entry), do func(*membership.Set) []ledger.Entry) {
	h.mu.Lock()
	changes := append([]ledger.Entry(nil), do(h.all)...)
	h.mu.Unlock()
	if len(changes) > 0 {
		deliver(changes)
	}
}

// Members lists all servers with what is said of them. It may be called by any goroutine.
func (h *Host) Members() []membership.View {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.all.Members()
}

// word is what a list says.
func (h *Host) word(l discovery.List) membership.Report {
	r := membership.Report{Source: h.list, Full: l.Full, Version: l.Version}
	for _, e := range l.Servers {
		s, err := e.Server(h.set.Zones)
		if err != nil {
			h.set.Log.Error("passing over an entry of the list", "error", err)
			continue
		}
		addrs := e.Addrs
		if len(addrs) == 0 {
			addrs = []string{e.Addr}
		}
		r.Claims = append(r.Claims, membership.Claim{Key: s.ID, ID: s.ID, Addrs: addrs, State: s.State, Weight: s.Weight, Details: true,
			Zone: s.Zone, Cell: s.Cell, Started: s.Started, Speaks: s.Speaks, Multi: e.Multiplexed, Shapes: e.Shapes})
	}
	return r
}

// watch watches the platform's list, again and again.
func (h *Host) watch(ctx context.Context, deliver func([]ledger.Entry)) {
	discovery.New(h.set.Discovery, h.set.Known, h.set.Log).KeepWatching(ctx, asking.New(h.set.Asking, h.set.Seed), func(l discovery.List) {
		r := h.word(l)
		h.post(ctx, func() { h.report(r, deliver) })
	}, func() {
		h.post(ctx, func() {
			h.change(deliver, func(s *membership.Set) []ledger.Entry { return s.Lost(clock.Now(), h.list) })
		})
	})
}
