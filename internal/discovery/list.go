package discovery

import (
	"fmt"
	"net"
	"slices"
	"time"

	"ternbeam/choice"
	"ternbeam/internal/decide/addresses"
	"ternbeam/internal/decide/ledger"
	"ternbeam/internal/decide/listing"
	"ternbeam/internal/protocol"
)

// List is a list of servers, or a change of one, as discovery words it.
type List struct {
	Version int64   `json:"version"`
	Full    bool    `json:"full"`
	Servers []Entry `json:"servers"`
}

// Entry is a server in a List.
type Entry struct {
	ID          string   `json:"id"`
	Addr        string   `json:"addr"`
	Addrs       []string `json:"addrs,omitempty"` // all under which it can be reached, the best first; Addr alone where absent
	Zone        string   `json:"zone"`
	Cell        int      `json:"cell"`
	State       string   `json:"state"`
	Weight      float64  `json:"weight"`
	StartedMS   int64    `json:"started_ms"`
	Protocol    string   `json:"protocol,omitempty"`    // HTTP/1.1 where absent
	Multiplexed bool     `json:"multiplexed,omitempty"` // takes several calls at a time on a connection
	Shapes      []string `json:"shapes,omitempty"`      // class/version of the messages that it takes, where it minds
}

// What one server may have.
const (
	maxAddrs  = 16
	maxShapes = 64
)

// terminating is the state of a server that drains.
const terminating = "terminating"

var states = map[string]choice.State{"in_service": choice.Ready, terminating: choice.Draining,
	"terminated": choice.Gone}

// Server words an entry for the module. Module time is Unix time, so a start needs no mapping, and 0 stays
// 'long ago'.
func (e Entry) Server(zones []string) (choice.Server, error) {
	state, ok := states[e.State]
	if !ok {
		return choice.Server{}, fmt.Errorf("backend %q has the unknown state %q", e.ID, e.State)
	}
	server, err := e.describe(zones)
	server.ID, server.State = e.ID, state
	if state != choice.Ready { // that it drains or is gone counts, whatever is wrong with the rest
		err = nil
	}
	return server, err
}

// describe words what the module needs beside the id and the state.
func (e Entry) describe(zones []string) (choice.Server, error) {
	if len(e.Addrs) > maxAddrs {
		return choice.Server{}, fmt.Errorf("backend %q: %d addresses, %d at most are taken", e.ID, len(e.Addrs), maxAddrs)
	}
	for _, addr := range append([]string{e.Addr}, e.Addrs...) {
		if kind, _, target := addresses.Of(addr); kind == addresses.Unix && target != "" {
			continue
		}
		if _, _, err := net.SplitHostPort(addr); err != nil {
			return choice.Server{}, fmt.Errorf("backend %q: %w", e.ID, err)
		}
	}
	if len(e.Shapes) > maxShapes {
		return choice.Server{}, fmt.Errorf("backend %q: %d shapes, %d at most are taken", e.ID, len(e.Shapes), maxShapes)
	}
	speaks, err := protocol.Parse(e.Protocol)
	if err != nil {
		return choice.Server{}, fmt.Errorf("backend %q: %w", e.ID, err)
	}
	if e.Multiplexed && speaks&protocol.HTTP != 0 {
		return choice.Server{}, fmt.Errorf("backend %q: HTTP/1.1 is not multiplexed", e.ID)
	}
	return choice.Server{Speaks: speaks, Zone: max(slices.Index(zones, e.Zone), 0), Cell: e.Cell,
		Weight: e.Weight, Started: time.Duration(e.StartedMS) * time.Millisecond}, nil
}

// judged is the list as far as it matters for whether it is believed.
func (l List) judged() listing.List {
	out := listing.List{Version: l.Version, Full: l.Full, Entries: make([]listing.Entry, 0, len(l.Servers))}
	for _, e := range l.Servers {
		out.Entries = append(out.Entries, listing.Entry{ID: e.ID, State: states[e.State], Started: e.StartedMS})
	}
	return out
}

// Listed is the entry as the ledger takes it.
func (e Entry) Listed(zones []string) (ledger.Entry, error) {
	s, err := e.Server(zones)
	return ledger.Entry{Server: s, Addr: e.Addr, Addrs: e.Addrs, Multiplexed: e.Multiplexed, Shapes: e.Shapes}, err
}
