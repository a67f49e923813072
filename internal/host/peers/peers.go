// Package peers runs the gossip of server lists for one agent: it sends and receives datagrams, opens and closes the
// watch on the discovery service when the gossip node asks for it, and delivers changes of the list to the core.
package peers

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"net"
	"net/netip"
	"sync/atomic"
	"time"

	"github.com/fxamacker/cbor/v2"

	"ternbeam/choice"
	"ternbeam/internal/clock"
	"ternbeam/internal/decide/calltrack"
	"ternbeam/internal/decide/gossip"
	"ternbeam/internal/decide/pacing"
	"ternbeam/internal/decide/peerstate"
	"ternbeam/internal/discovery"
)

// Settings configure a Host.
type Settings struct {
	gossip.Settings
	Listen    string   // UDP address on which other agents reach this one
	Peers     []string // UDP addresses of all agents, by index
	Discovery string
	LastList  discovery.List // the list as it was known last
	Pacing    pacing.Settings
	Zones     []string
	Seed      uint64
	Log       *slog.Logger
}

// Host exchanges lists with the other agents. Feed is its event loop; Rejected may be read at any time.
type Host struct {
	settings    Settings
	conn        *net.UDPConn
	addrs       []netip.AddrPort // of all agents, by index
	events      chan func()
	node        *gossip.Node
	cancelWatch context.CancelFunc // cancels the watch; nil while there is none
	delivered   map[string]bool    // ids of the servers that were delivered and not removed since

	Rejected atomic.Int64 // datagrams that no agent can have sent
}

// maxQueuedEvents is how many events may wait. Datagrams beyond that are dropped, as a network may drop them.
const maxQueuedEvents = 1024

// New returns a Host that listens for datagrams.
func New(set Settings) (*Host, error) {
	if set.Listen == "" || len(set.Peers) == 0 {
		return nil, errors.New("peers: the configuration has no peer_listen or no peers")
	}
	if set.Pacing.Me < 0 || set.Pacing.Me >= len(set.Peers) {
		return nil, fmt.Errorf("peers: index %d of this agent is out of range, there are %d peers", set.Pacing.Me, len(set.Peers))
	}
	h := &Host{settings: set, events: make(chan func(), maxQueuedEvents), delivered: map[string]bool{}}
	for i, text := range set.Peers {
		addr, err := netip.ParseAddrPort(text)
		if err != nil {
			return nil, fmt.Errorf("peers: entry %d: %w", i, err)
		}
		h.addrs = append(h.addrs, addr)
	}
	at, err := netip.ParseAddrPort(set.Listen)
	if err != nil {
		return nil, fmt.Errorf("peer_listen: %w", err)
	}
	if h.conn, err = net.ListenUDP("udp", net.UDPAddrFromAddrPort(at)); err != nil {
		return nil, fmt.Errorf("listening for other agents: %w", err)
	}
	set.Pacing.Agents = len(set.Peers)
	table := peerstate.New(peerstate.Settings{Agents: len(set.Peers), Me: set.Pacing.Me, Epoch: uint64(time.Now().UnixMilli())}, set.Seed)
	rows := make([]gossip.Row, 0, len(set.LastList.Servers))
	for _, e := range set.LastList.Servers {
		rows = append(rows, encodeRow(e))
	}
	h.node = gossip.New(set.Settings, table, pacing.New(set.Pacing, set.Seed), set.LastList.Version, rows, set.Seed)
	return h, nil
}

// Feed implements core.Feed: it delivers every change of the list until the context ends.
func (h *Host) Feed(ctx context.Context, deliver func([]calltrack.Entry)) {
	defer h.conn.Close()
	if len(h.settings.LastList.Servers) > 0 {
		h.deliverEntries(h.settings.LastList.Servers, false, deliver)
	}
	go h.receive(ctx, deliver)
	h.apply(ctx, h.node.Start(clock.Now()), deliver)
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		timer.Reset(max(0, h.node.NextTick()-clock.Now()))
		select {
		case <-ctx.Done():
			h.apply(ctx, h.node.Leave(clock.Now()), deliver)
			return
		case event := <-h.events:
			event()
		case <-timer.C:
			h.apply(ctx, h.node.Tick(clock.Now()), deliver)
		}
	}
}

// SetDiscovery implements core.Feed: agents that share lists do not switch while they run.
func (h *Host) SetDiscovery(context.Context, string) bool { return false }

// PlatformList implements core.Feed: an agent that shares lists can't be replaced while it runs.
func (h *Host) PlatformList() (discovery.List, string) { return discovery.List{}, "" }

// OnEnded implements core.Feed, see PlatformList.
func (h *Host) OnEnded(func([]discovery.Entry)) {}

// EndedElsewhere implements core.Feed, see PlatformList.
func (h *Host) EndedElsewhere(context.Context, []discovery.Entry) {}

// receive reads datagrams until the socket is closed. It drops those that do not come from the address of the agent that
// they name.
func (h *Host) receive(ctx context.Context, deliver func([]calltrack.Entry)) {
	buffer := make([]byte, gossip.MaxDatagramBytes+1)
	for {
		n, from, err := h.conn.ReadFromUDPAddrPort(buffer)
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			continue // an ICMP error for an earlier datagram: that agent is not reachable
		}
		d, err := gossip.Decode(buffer[:n])
		if err != nil || d.From.Index >= len(h.addrs) || h.addrs[d.From.Index] != netip.AddrPortFrom(from.Addr().Unmap(), from.Port()) {
			if h.Rejected.Add(1) == 1 {
				h.settings.Log.Warn("a datagram that no agent can have sent, further ones are counted only", "from", from, "bytes", n, "error", err)
			}
			continue
		}
		select {
		case h.events <- func() { h.apply(ctx, h.node.Receive(clock.Now(), d), deliver) }:
		default:
		}
	}
}

// apply carries out actions.
func (h *Host) apply(ctx context.Context, actions []gossip.Action, deliver func([]calltrack.Entry)) {
	for _, a := range actions {
		switch a.Kind {
		case gossip.Send:
			h.conn.WriteToUDPAddrPort(a.Datagram.Encode(), h.addrs[a.To]) // a datagram that cannot be sent counts as lost
		case gossip.Watch:
			h.openWatch(ctx, a.Version, deliver)
		case gossip.Unwatch:
			h.cancelWatch()
			h.settings.Log.Info("others watch the list")
		case gossip.Deliver:
			var entries []discovery.Entry
			for _, r := range a.Rows {
				e, err := decodeRow(r)
				if err != nil {
					h.settings.Log.Error("passing over a row of the list", "server", r.ID, "error", err)
					continue
				}
				entries = append(entries, e)
			}
			h.deliverEntries(entries, a.Full, deliver)
		}
	}
}

// deliverEntries delivers entries of the list to the core. If the list is full, it also removes the servers that it does not name.
func (h *Host) deliverEntries(entries []discovery.Entry, full bool, deliver func([]calltrack.Entry)) {
	var changes []calltrack.Entry
	named := make(map[string]bool, len(entries))
	for _, e := range entries {
		listed, err := e.TrackerEntry(h.settings.Zones)
		if err != nil {
			h.settings.Log.Error("passing over an entry of the list", "error", err)
			continue
		}
		if named[e.ID] = true; listed.State == choice.Removed {
			delete(h.delivered, e.ID)
		} else {
			h.delivered[e.ID] = true
		}
		changes = append(changes, listed)
	}
	if full {
		for id := range h.delivered {
			if !named[id] {
				delete(h.delivered, id)
				changes = append(changes, calltrack.Entry{Server: choice.Server{ID: id, State: choice.Removed}})
			}
		}
	}
	if len(changes) > 0 {
		deliver(changes)
	}
}

// openWatch opens a watch that continues from the current list.
func (h *Host) openWatch(ctx context.Context, version int64, deliver func([]calltrack.Entry)) {
	known := h.settings.LastList
	if gen, _ := h.node.Version(); gen > 0 {
		known.Servers = nil
		for _, r := range h.node.Rows() {
			if e, err := decodeRow(r); err == nil {
				known.Servers = append(known.Servers, e)
			}
		}
	}
	known.Version, known.Full = version, true
	ctx, h.cancelWatch = context.WithCancel(ctx)
	post := func(event func() []gossip.Action) {
		select {
		case h.events <- func() {
			if ctx.Err() == nil {
				h.apply(ctx, event(), deliver)
			}
		}:
		case <-ctx.Done():
		}
	}
	d := discovery.New(h.settings.Discovery, known, h.settings.Log)
	go func() {
		silent := d.Watch(ctx, discovery.Events{
			Timeout:     pacing.CallTimeout,
			Unreachable: func() { post(func() []gossip.Action { return h.node.WatchUnreachable(clock.Now()) }) },
			Answered:    func() { post(func() []gossip.Action { return h.node.WatchAnswered(clock.Now()) }) },
			Alive:       func() { post(func() []gossip.Action { return h.node.WatchAlive(clock.Now()) }) },
			Deliver: func(l discovery.List) {
				rows := make([]gossip.Row, 0, len(l.Servers))
				for _, e := range l.Servers {
					rows = append(rows, encodeRow(e))
				}
				post(func() []gossip.Action { return h.node.ListReceived(clock.Now(), l.Version, l.Full, rows) })
			},
		})
		post(func() []gossip.Action { return h.node.WatchEnded(clock.Now(), silent) })
	}()
}

// entryBody is an entry of the list in a datagram. Field numbers are never reused.
type entryBody struct {
	Addr        string   `cbor:"1,keyasint,omitempty"`
	Addrs       []string `cbor:"2,keyasint,omitempty"`
	Zone        string   `cbor:"3,keyasint,omitempty"`
	Cell        int      `cbor:"4,keyasint,omitempty"`
	State       string   `cbor:"5,keyasint,omitempty"` // in service if absent
	Weight      float64  `cbor:"6,keyasint,omitempty"` // 1 if absent
	StartedMS   int64    `cbor:"7,keyasint,omitempty"`
	Protocol    string   `cbor:"8,keyasint,omitempty"`
	Multiplexed bool     `cbor:"9,keyasint,omitempty"`
	Shapes      []string `cbor:"10,keyasint,omitempty"`
	Weightless  bool     `cbor:"11,keyasint,omitempty"` // the weight is 0
}

const inService = "in_service"

// encoding encodes floating-point numbers in the shortest form.
var encoding = func() cbor.EncMode {
	mode, err := cbor.EncOptions{ShortestFloat: cbor.ShortestFloat16}.EncMode()
	if err != nil {
		panic(err) // constant options are valid
	}
	return mode
}()

// encodeRow encodes an entry for other agents.
func encodeRow(e discovery.Entry) gossip.Row {
	b := entryBody{Addr: e.Addr, Addrs: e.Addrs, Zone: e.Zone, Cell: e.Cell, State: e.State, Weight: e.Weight,
		StartedMS: e.StartedMS, Protocol: e.Protocol, Multiplexed: e.Multiplexed, Shapes: e.Shapes, Weightless: e.Weight == 0}
	if b.State == inService {
		b.State = ""
	}
	if b.Weight == 1 {
		b.Weight = 0
	}
	text, err := encoding.Marshal(b)
	if err != nil {
		panic(err) // plain values always encode
	}
	return gossip.Row{ID: e.ID, Removed: e.State == "terminated", Draining: e.State == "terminating", Body: text}
}

// decodeRow decodes the entry of a row.
func decodeRow(r gossip.Row) (discovery.Entry, error) {
	if r.Removed {
		return discovery.Entry{ID: r.ID, State: "terminated"}, nil
	}
	var b entryBody
	if err := cbor.Unmarshal(r.Body, &b); err != nil {
		return discovery.Entry{}, err
	}
	e := discovery.Entry{ID: r.ID, Addr: b.Addr, Addrs: b.Addrs, Zone: b.Zone, Cell: b.Cell, State: b.State, Weight: b.Weight,
		StartedMS: b.StartedMS, Protocol: b.Protocol, Multiplexed: b.Multiplexed, Shapes: b.Shapes}
	if e.State == "" {
		e.State = inService
	}
	if e.Weight == 0 && !b.Weightless {
		e.Weight = 1
	}
	return e, nil
}
