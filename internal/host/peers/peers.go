// Package peers is the host of what an agent shares with the others: it sends and receives datagrams, watches the list service
// when the deciding part says so, and hands the module what changes.
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
	"ternbeam/internal/decide/asking"
	"ternbeam/internal/decide/company"
	"ternbeam/internal/decide/ledger"
	"ternbeam/internal/decide/sharing"
	"ternbeam/internal/discovery"
)

// Settings are what a Host is made of.
type Settings struct {
	sharing.Settings
	Listen    string   // where the others reach this agent
	Peers     []string // where it reaches them, by place
	Discovery string
	Known     discovery.List // as it was last had
	Asking    asking.Settings
	Zones     []string
	Seed      uint64
	Log       *slog.Logger
}

// Host shares lists for one agent.
type Host struct {
	set    Settings
	conn   *net.UDPConn
	addrs  []netip.AddrPort // of the others, by place
	events chan func()
	node   *sharing.Node
	watch  context.CancelFunc // ends the watch; nil while there is none
	given  map[string]bool    // servers that the module knows of

	Odd atomic.Int64 // datagrams that no agent can have sent
}

// queued is how many events wait at the most; datagrams beyond are lost, as they may be on any link.
const queued = 1024

// New returns a Host that listens.
func New(set Settings) (*Host, error) {
	if set.Listen == "" || len(set.Peers) == 0 {
		return nil, errors.New("peers: the configuration names no peer_listen or no peers")
	}
	if set.Asking.Me < 0 || set.Asking.Me >= len(set.Peers) {
		return nil, fmt.Errorf("peers: this agent's place is %d, and there are %d peers", set.Asking.Me, len(set.Peers))
	}
	h := &Host{set: set, events: make(chan func(), queued), given: map[string]bool{}}
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
	set.Asking.Agents = len(set.Peers)
	members := company.New(company.Settings{Agents: len(set.Peers), Me: set.Asking.Me, Epoch: uint64(time.Now().UnixMilli())}, set.Seed)
	rows := make([]sharing.Row, 0, len(set.Known.Servers))
	for _, e := range set.Known.Servers {
		rows = append(rows, row(e))
	}
	h.node = sharing.New(set.Settings, members, asking.New(set.Asking, set.Seed), set.Known.Version, rows, set.Seed)
	return h, nil
}

// Feed is core.Feed: it tells every change, until the context ends.
func (h *Host) Feed(ctx context.Context, deliver func([]ledger.Entry)) {
	defer h.conn.Close()
	if len(h.set.Known.Servers) > 0 {
		h.give(h.set.Known.Servers, false, deliver)
	}
	go h.receive(ctx, deliver)
	h.do(ctx, h.node.Start(clock.Now()), deliver)
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		timer.Reset(max(0, h.node.Next()-clock.Now()))
		select {
		case <-ctx.Done():
			h.do(ctx, h.node.Leave(clock.Now()), deliver)
			return
		case event := <-h.events:
			event()
		case <-timer.C:
			h.do(ctx, h.node.Tick(clock.Now()), deliver)
		}
	}
}

// receive takes datagrams until the socket is closed. Only those that come from the address of the agent that they name count.
func (h *Host) receive(ctx context.Context, deliver func([]ledger.Entry)) {
	buffer := make([]byte, sharing.MostSize+1)
	for {
		n, from, err := h.conn.ReadFromUDPAddrPort(buffer)
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			continue // an ICMP error of an earlier send: that agent is not there
		}
		d, err := sharing.Decode(buffer[:n])
		if err != nil || d.From.Place >= len(h.addrs) || h.addrs[d.From.Place] != netip.AddrPortFrom(from.Addr().Unmap(), from.Port()) {
			if h.Odd.Add(1) == 1 {
				h.set.Log.Warn("a datagram that no agent can have sent, further ones are counted only", "from", from, "bytes", n, "error", err)
			}
			continue
		}
		select {
		case h.events <- func() { h.do(ctx, h.node.Heard(clock.Now(), d), deliver) }:
		default:
		}
	}
}

// do carries out actions.
func (h *Host) do(ctx context.Context, actions []sharing.Action, deliver func([]ledger.Entry)) {
	for _, a := range actions {
		switch a.Kind {
		case sharing.Send:
			h.conn.WriteToUDPAddrPort(a.Datagram.Encode(), h.addrs[a.To]) // one that can't be sent is one that was lost
		case sharing.Watch:
			h.begin(ctx, a.Version, deliver)
		case sharing.Unwatch:
			h.watch()
			h.set.Log.Info("others watch the list")
		case sharing.Deliver:
			var entries []discovery.Entry
			for _, r := range a.Rows {
				e, err := entry(r)
				if err != nil {
					h.set.Log.Error("passing over a row of the list", "server", r.ID, "error", err)
					continue
				}
				entries = append(entries, e)
			}
			h.give(entries, a.Full, deliver)
		}
	}
}

// give tells the module.
func (h *Host) give(entries []discovery.Entry, full bool, deliver func([]ledger.Entry)) {
	var changes []ledger.Entry
	named := make(map[string]bool, len(entries))
	for _, e := range entries {
		listed, err := e.Listed(h.set.Zones)
		if err != nil {
			h.set.Log.Error("passing over an entry of the list", "error", err)
			continue
		}
		if named[e.ID] = true; listed.State == choice.Gone {
			delete(h.given, e.ID)
		} else {
			h.given[e.ID] = true
		}
		changes = append(changes, listed)
	}
	if full {
		for id := range h.given {
			if !named[id] {
				delete(h.given, id)
				changes = append(changes, ledger.Entry{Server: choice.Server{ID: id, State: choice.Gone}})
			}
		}
	}
	if len(changes) > 0 {
		deliver(changes)
	}
}

// begin begins a watch that goes on from the list as it is.
func (h *Host) begin(ctx context.Context, version int64, deliver func([]ledger.Entry)) {
	known := h.set.Known
	if gen, _ := h.node.Version(); gen > 0 {
		known.Servers = nil
		for _, r := range h.node.Rows() {
			if e, err := entry(r); err == nil {
				known.Servers = append(known.Servers, e)
			}
		}
	}
	known.Version, known.Full = version, true
	ctx, h.watch = context.WithCancel(ctx)
	post := func(event func() []sharing.Action) {
		select {
		case h.events <- func() {
			if ctx.Err() == nil {
				h.do(ctx, event(), deliver)
			}
		}:
		case <-ctx.Done():
		}
	}
	d := discovery.New(h.set.Discovery, known, h.set.Log)
	go func() {
		silent := d.Watch(ctx, discovery.Events{
			Within:   asking.CallWait,
			Answered: func() { post(func() []sharing.Action { return h.node.Answered(clock.Now()) }) },
			Alive:    func() { post(func() []sharing.Action { return h.node.Alive(clock.Now()) }) },
			Deliver: func(l discovery.List) {
				rows := make([]sharing.Row, 0, len(l.Servers))
				for _, e := range l.Servers {
					rows = append(rows, row(e))
				}
				post(func() []sharing.Action { return h.node.List(clock.Now(), l.Version, l.Full, rows) })
			},
		})
		post(func() []sharing.Action { return h.node.Over(clock.Now(), silent) })
	}()
}

// body is an entry of the list as it is passed on. Numbers of fields are never used again for something else.
type body struct {
	Addr        string   `cbor:"1,keyasint,omitempty"`
	Addrs       []string `cbor:"2,keyasint,omitempty"`
	Zone        string   `cbor:"3,keyasint,omitempty"`
	Cell        int      `cbor:"4,keyasint,omitempty"`
	State       string   `cbor:"5,keyasint,omitempty"` // in service where absent
	Weight      float64  `cbor:"6,keyasint,omitempty"` // 1 where absent
	StartedMS   int64    `cbor:"7,keyasint,omitempty"`
	Protocol    string   `cbor:"8,keyasint,omitempty"`
	Multiplexed bool     `cbor:"9,keyasint,omitempty"`
	Shapes      []string `cbor:"10,keyasint,omitempty"`
	Weightless  bool     `cbor:"11,keyasint,omitempty"` // its weight is 0
}

const inService = "in_service"

// encoding words numbers as short as they go.
var encoding = func() cbor.EncMode {
	mode, err := cbor.EncOptions{ShortestFloat: cbor.ShortestFloat16}.EncMode()
	if err != nil {
		panic(err) // of constants
	}
	return mode
}()

// row words an entry for the others.
func row(e discovery.Entry) sharing.Row {
	b := body{Addr: e.Addr, Addrs: e.Addrs, Zone: e.Zone, Cell: e.Cell, State: e.State, Weight: e.Weight, StartedMS: e.StartedMS, Protocol: e.Protocol,
		Multiplexed: e.Multiplexed, Shapes: e.Shapes, Weightless: e.Weight == 0}
	if b.State == inService {
		b.State = ""
	}
	if b.Weight == 1 {
		b.Weight = 0
	}
	text, err := encoding.Marshal(b)
	if err != nil {
		panic(err) // of plain values
	}
	return sharing.Row{ID: e.ID, Gone: e.State == "terminated", Less: e.State == "terminating", Body: text}
}

// entry reads a row.
func entry(r sharing.Row) (discovery.Entry, error) {
	if r.Gone {
		return discovery.Entry{ID: r.ID, State: "terminated"}, nil
	}
	var b body
	if err := cbor.Unmarshal(r.Body, &b); err != nil {
		return discovery.Entry{}, err
	}
	e := discovery.Entry{ID: r.ID, Addr: b.Addr, Addrs: b.Addrs, Zone: b.Zone, Cell: b.Cell, State: b.State, Weight: b.Weight, StartedMS: b.StartedMS,
		Protocol: b.Protocol, Multiplexed: b.Multiplexed, Shapes: b.Shapes}
	if e.State == "" {
		e.State = inService
	}
	if e.Weight == 0 && !b.Weightless {
		e.Weight = 1
	}
	return e, nil
}
