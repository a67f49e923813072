package discovery

import (
	"fmt"
	"net"
	"slices"
	"time"

	"ternbeam/choice"
	"ternbeam/internal/decide/addresses"
	"ternbeam/internal/decide/calltrack"
	"ternbeam/internal/decide/listcheck"
	"ternbeam/internal/protocol"
)

// List is a list of servers, or a change of one, in the format of the discovery service.
type List struct {
	Version int64   `json:"version"`
	Full    bool    `json:"full"`
	Servers []Entry `json:"servers"`
}

// Entry is a server in a List.
type Entry struct {
	ID          string   `json:"id"`
	Addr        string   `json:"addr"`
	Addrs       []string `json:"addrs,omitempty"` // all its addresses, the best first; Addr alone if absent
	Zone        string   `json:"zone"`
	Cell        int      `json:"cell"`
	State       string   `json:"state"`
	Weight      float64  `json:"weight"`
	StartedMS   int64    `json:"started_ms"`
	Protocol    string   `json:"protocol,omitempty"`    // HTTP/1.1 if absent
	Multiplexed bool     `json:"multiplexed,omitempty"` // accepts concurrent calls on a connection
	Shapes      []string `json:"shapes,omitempty"`      // class/version of the messages that it accepts, if limited
}

// Apply applies a newer list, or a change, to the list and returns the entries of the servers that it drains or removes. The list holds no
// removed servers.
func (l *List) Apply(newer List) (ended []Entry) {
	indexes := make(map[string]int, len(l.Servers))
	for i, e := range l.Servers {
		indexes[e.ID] = i
	}
	if newer.Full {
		present := make(map[string]bool, len(newer.Servers))
		for _, e := range newer.Servers {
			present[e.ID] = true
		}
		for _, e := range l.Servers {
			if !present[e.ID] {
				e.State = terminated
				ended = append(ended, e)
			}
		}
		l.Servers, indexes = nil, map[string]int{}
	}
	for _, e := range newer.Servers {
		i, known := indexes[e.ID]
		if !known {
			i = len(l.Servers)
			indexes[e.ID] = i
			l.Servers = append(l.Servers, e)
		}
		l.Servers[i] = e
		if states[e.State] != choice.Ready {
			ended = append(ended, e)
		}
	}
	l.Servers = slices.DeleteFunc(l.Servers, func(e Entry) bool { return e.State == terminated })
	l.Version, l.Full = newer.Version, true
	return ended
}

// Limits for one server.
const (
	maxAddrs  = 16
	maxShapes = 64
)

// States of servers.
const (
	terminating = "terminating" // it drains
	terminated  = "terminated"
)

var states = map[string]choice.State{"in_service": choice.Ready, terminating: choice.Draining, terminated: choice.Removed}

// Server converts an entry for the choice module. The module's clock counts from the Unix epoch, so a start time only changes its unit,
// and 0 still means "long ago".
func (e Entry) Server(zones []string) (choice.Server, error) {
	state, ok := states[e.State]
	if !ok {
		return choice.Server{}, fmt.Errorf("backend %q has the unknown state %q", e.ID, e.State)
	}
	server, err := e.toServer(zones)
	server.ID, server.State = e.ID, state
	if state != choice.Ready { // a drain or removal takes effect, even if the rest of the entry is invalid
		err = nil
	}
	return server, err
}

// toServer converts the fields other than the id and the state.
func (e Entry) toServer(zones []string) (choice.Server, error) {
	if len(e.Addrs) > maxAddrs {
		return choice.Server{}, fmt.Errorf("backend %q: %d addresses, at most %d are accepted", e.ID, len(e.Addrs), maxAddrs)
	}
	for _, addr := range append([]string{e.Addr}, e.Addrs...) {
		if kind, _, target := addresses.Parse(addr); kind == addresses.Unix && target != "" {
			continue
		}
		if _, _, err := net.SplitHostPort(addr); err != nil {
			return choice.Server{}, fmt.Errorf("backend %q: %w", e.ID, err)
		}
	}
	if len(e.Shapes) > maxShapes {
		return choice.Server{}, fmt.Errorf("backend %q: %d shapes, at most %d are accepted", e.ID, len(e.Shapes), maxShapes)
	}
	speaks, err := protocol.Parse(e.Protocol)
	if err != nil {
		return choice.Server{}, fmt.Errorf("backend %q: %w", e.ID, err)
	}
	if e.Multiplexed && speaks&protocol.HTTP != 0 {
		return choice.Server{}, fmt.Errorf("backend %q: HTTP/1.1 is not multiplexed", e.ID)
	}
	zone := slices.Index(zones, e.Zone)
	return choice.Server{Protocols: speaks, Zone: max(zone, 0), ZoneUnknown: zone < 0, Cell: e.Cell,
		Weight: e.Weight, Started: time.Duration(e.StartedMS) * time.Millisecond}, nil
}

// forCheck returns the fields of the list that decide whether it is accepted.
func (l List) forCheck() listcheck.List {
	out := listcheck.List{Version: l.Version, Full: l.Full, Entries: make([]listcheck.Entry, 0, len(l.Servers))}
	for _, e := range l.Servers {
		out.Entries = append(out.Entries, listcheck.Entry{ID: e.ID, State: states[e.State], Started: e.StartedMS})
	}
	return out
}

// TrackerEntry converts an entry for the call tracker.
func (e Entry) TrackerEntry(zones []string) (calltrack.Entry, error) {
	s, err := e.Server(zones)
	return calltrack.Entry{Server: s, Addr: e.Addr, Addrs: e.Addrs, Multiplexed: e.Multiplexed, Shapes: e.Shapes}, err
}
