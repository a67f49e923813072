// Package members runs the sources of the list of servers: it watches the platform's list, queries name servers, and passes their reports to
// the membership (internal/decide/membership), which only the goroutine of Feed changes.
package members

import (
	"context"
	"log/slog"
	"slices"
	"sync"
	"time"

	"ternbeam/internal/clock"
	"ternbeam/internal/decide/calltrack"
	"ternbeam/internal/decide/membership"
	"ternbeam/internal/decide/pacing"
	"ternbeam/internal/decide/resolve"
	"ternbeam/internal/discovery"
	"ternbeam/internal/discovery/dnssource"
	"ternbeam/internal/settings/sourceconf"
)

// Settings configure a Host.
type Settings struct {
	sourceconf.Config
	Discovery string               // address of the platform's list; empty for none
	LastList  discovery.List       // the platform's list as it was known last
	Freshness *discovery.Freshness // of the platform's list: is kept up to date while it is watched; may be nil
	Pacing    pacing.Settings
	Zones     []string
	Seed      uint64
	Log       *slog.Logger
}

// Host runs the membership of one agent.
type Host struct {
	set        Settings
	events     chan func()
	listSource int // source number of the platform's list; -1 for none

	mu        sync.Mutex // held while the goroutine of Feed uses the membership
	members   *membership.Set
	list      discovery.List // the platform's list
	discovery string         // address of the platform's list

	// The following fields are used by the goroutine of Feed only.
	deliver   func([]calltrack.Entry)
	onEnded   func([]discovery.Entry)
	stopWatch context.CancelFunc // of the platform's list
}

// noExpiry is how long the reports of a source without a configured limit stay valid; it stands for no limit.
const noExpiry = 100 * 365 * 24 * time.Hour

// ListName is the name of the source that is the platform's list.
const ListName = "list"

// New returns a Host that has not started its sources; Feed does.
func New(set Settings) *Host {
	h := &Host{set: set, events: make(chan func(), 64), listSource: -1, onEnded: func([]discovery.Entry) {}, list: set.LastList, discovery: set.Discovery}
	h.list.Servers = slices.Clone(set.LastList.Servers)
	m := set.Membership
	hold := func(d time.Duration) time.Duration {
		if d == 0 {
			return noExpiry
		}
		return d
	}
	if set.Discovery != "" {
		h.listSource = 0
		m.Sources = append(m.Sources, membership.Source{Name: ListName, Hold: hold(set.ListHold), RemoveAbsent: true, Guard: len(set.DNS) > 0})
	}
	for _, d := range set.DNS {
		m.Sources = append(m.Sources, membership.Source{Name: d.Name, Hold: hold(d.Hold), RemoveAbsent: true, Guard: true})
	}
	h.members = membership.New(m)
	return h
}

// Feed implements core.Feed: it runs the sources and delivers every change of the list until ctx is done.
func (h *Host) Feed(ctx context.Context, deliver func([]calltrack.Entry)) {
	h.deliver = deliver
	if h.listSource >= 0 {
		if len(h.set.LastList.Servers) > 0 {
			h.report(h.listReport(h.set.LastList), deliver)
		}
		h.startWatch(ctx, h.set.Discovery, h.set.LastList)
	}
	for i, d := range h.set.DNS {
		number := h.listSource + 1 + i
		go dnssource.Run(ctx, dnssource.Settings{Settings: d.Resolve, Addrs: d.Servers, Seed: h.set.Seed + uint64(i), Log: h.set.Log, Now: clock.Now},
			func(snapshot resolve.Snapshot) {
				h.post(ctx, func() {
					h.report(membership.Report{Source: number, Full: true, Claims: snapshot.Claims, ValidUntil: snapshot.ValidUntil}, deliver)
				})
			}, func() {
				h.set.Log.Warn("no name server answers", "name", d.Name)
				h.post(ctx, func() {
					h.change(deliver, func(s *membership.Set) []calltrack.Entry { return s.SourceUnreachable(clock.Now(), number) })
				})
			})
	}
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		wait := time.Minute
		h.mu.Lock()
		if at, any := h.members.NextTimer(); any {
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
			h.change(deliver, func(s *membership.Set) []calltrack.Entry { return s.Tick(clock.Now()) })
		}
	}
}

func (h *Host) post(ctx context.Context, event func()) {
	select {
	case h.events <- event:
	case <-ctx.Done():
	}
}

func (h *Host) report(r membership.Report, deliver func([]calltrack.Entry)) {
	h.change(deliver, func(s *membership.Set) []calltrack.Entry { return s.Report(clock.Now(), r) })
}

// change applies do to the membership and delivers the resulting changes.
func (h *Host) change(deliver func([]calltrack.Entry), do func(*membership.Set) []calltrack.Entry) {
	h.mu.Lock()
	changes := append([]calltrack.Entry(nil), do(h.members)...)
	h.mu.Unlock()
	if len(changes) > 0 {
		deliver(changes)
	}
}

// Members returns all servers with what the sources report about them. It may be called from any goroutine.
func (h *Host) Members() []membership.MemberView {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.members.Members()
}

// listReport converts a platform's list to a report for the membership.
func (h *Host) listReport(l discovery.List) membership.Report {
	r := membership.Report{Source: h.listSource, Full: l.Full, Version: max(l.Version, 0)} // 0 for discovery.UnknownVersion
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
		r.Claims = append(r.Claims, membership.Claim{Key: s.ID, ID: s.ID, Addrs: addrs, State: s.State, Weight: s.Weight, HasDetails: true,
			Zone: s.Zone, ZoneUnknown: s.ZoneUnknown, Cell: s.Cell, Started: s.Started, Speaks: s.Protocols, Multiplexed: e.Multiplexed, Shapes: e.Shapes})
	}
	return r
}

// startWatch keeps watching the platform's list at an address and reports each update, until ctx is done or another watch is started. It runs on
// the goroutine of Feed.
func (h *Host) startWatch(ctx context.Context, addr string, known discovery.List) {
	ctx, h.stopWatch = context.WithCancel(ctx)
	post := func(event func()) { // nothing of an ended watch is applied
		h.post(ctx, func() {
			if ctx.Err() == nil {
				event()
			}
		})
	}
	client := discovery.New(addr, known, h.set.Log)
	client.ReportFreshness(h.set.Freshness)
	go client.KeepWatching(ctx, pacing.New(h.set.Pacing, h.set.Seed), func(l discovery.List) {
		r := h.listReport(l)
		post(func() {
			h.mu.Lock()
			ended := h.list.Apply(l)
			h.mu.Unlock()
			h.onEnded(ended)
			h.report(r, h.deliver)
		})
	}, func() {
		post(func() {
			h.change(h.deliver, func(s *membership.Set) []calltrack.Entry { return s.SourceUnreachable(clock.Now(), h.listSource) })
		})
	})
}

// SetDiscovery implements core.Feed: it switches to the platform's list at another address. What the list before has told counts until the first
// list of the new one, whose versions are not related to the former ones.
func (h *Host) SetDiscovery(ctx context.Context, addr string) bool {
	if h.listSource < 0 {
		return false
	}
	h.mu.Lock()
	h.discovery = addr
	h.mu.Unlock()
	go h.post(ctx, func() {
		h.mu.Lock()
		latest := h.discovery // another call may have followed
		h.list.Version = discovery.UnknownVersion
		h.members.SourceReplaced(h.listSource)
		h.mu.Unlock()
		h.stopWatch()
		h.startWatch(ctx, latest, discovery.List{Version: discovery.UnknownVersion})
	})
	return true
}

// PlatformList implements core.Feed.
func (h *Host) PlatformList() (discovery.List, string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	list := h.list
	list.Servers = slices.Clone(list.Servers)
	return list, h.discovery
}

// OnEnded implements core.Feed. What SRV records tell each process asks for by itself.
func (h *Host) OnEnded(f func([]discovery.Entry)) { h.onEnded = f }

// EndedElsewhere implements core.Feed.
func (h *Host) EndedElsewhere(ctx context.Context, ended []discovery.Entry) {
	go h.post(ctx, func() {
		h.change(h.deliver, func(s *membership.Set) []calltrack.Entry {
			ids := make([]string, 0, len(ended))
			for _, e := range ended {
				ids = append(ids, e.ID)
			}
			return s.Drain(clock.Now(), ids)
		})
	})
}
