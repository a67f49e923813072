package calltrack

import (
	"slices"
	"time"

	"ternbeam/choice"
	"ternbeam/internal/decide/aging"
	"ternbeam/internal/decide/learned"
	"ternbeam/internal/decide/lifecycle"
)

// Learned holds what the decision module has learned, with the identity of each server. Export reuses its slices.
type Learned struct {
	Memory  choice.Memory    // the decision module's own export
	Servers []learned.Server // the servers in Memory that calls can be sent to
	Fleet   []uint64         // identities of all servers that calls can be sent to
}

// Export writes what was learned to into. lastConnected returns which of a server's addresses connected last, or "" if none
// did; it may be nil.
func (t *Tracker) Export(now time.Duration, into *Learned, lastConnected func(addrs []string) string) {
	t.balancer.Export(now, &into.Memory)
	into.Servers, into.Fleet = into.Servers[:0], into.Fleet[:0]
	lastAddr := func(s *lifecycle.Server) string {
		if lastConnected == nil || len(s.Addrs) < 2 {
			return ""
		}
		return lastConnected(s.Addrs)
	}
	multiAddr := 0 // number of servers with several addresses
	for _, m := range into.Memory.Servers {
		if s := t.servers[m.ID]; s != nil {
			into.Servers = append(into.Servers, learned.Server{ServerMemory: m, Addr: s.Addr, Identity: s.Identity, Worked: lastAddr(s)})
		}
	}
	for _, s := range t.servers {
		into.Fleet = append(into.Fleet, s.Identity)
		if len(s.Addrs) > 1 {
			multiAddr++
		}
	}
	if multiAddr == 0 || lastConnected == nil {
		return
	}
	known := make(map[string]bool, len(into.Servers))
	for _, s := range into.Servers {
		known[s.ID] = true
	}
	for _, s := range t.servers { // servers of which only the address that connected is known
		if addr := lastAddr(s); addr != "" && !known[s.ID] {
			into.Servers = append(into.Servers, learned.Server{Addr: s.Addr, Identity: s.Identity, Worked: addr,
				ServerMemory: choice.ServerMemory{ID: s.ID, Started: time.Duration(s.Started) * time.Millisecond}})
		}
	}
}

// Revision returns a count that grows whenever the decision module learns something.
func (t *Tracker) Revision() uint64 { return t.balancer.Revision() }

// LoadStored takes the facts that an earlier process had learned and stored. ImportNewlyListed gives them to the decision module.
func (t *Tracker) LoadStored(past *aging.Restored) {
	t.past, t.newlyListed = past, nil
	for _, s := range t.servers {
		t.newlyListed = append(t.newlyListed, listedServer(s))
	}
}

func listedServer(s *lifecycle.Server) aging.ListedServer {
	return aging.ListedServer{ID: s.ID, Started: time.Duration(s.Started) * time.Millisecond, Identity: s.Identity}
}

// ImportNewlyListed gives the decision module the facts of LoadStored that are still valid about the servers that were listed
// since the last call. It returns the number of servers with such facts, and the addresses that connected last for servers with
// several. Facts about servers that are never listed are dropped with DropStored.
func (t *Tracker) ImportNewlyListed(now time.Duration, clock learned.Clock) (servers int, connected []string) {
	if t.past == nil || len(t.newlyListed) == 0 {
		return 0, nil
	}
	t.newlyListed = slices.DeleteFunc(t.newlyListed, func(n aging.ListedServer) bool { // a server may have restarted within one list
		s := t.servers[n.ID]
		return s == nil || s.Identity != n.Identity
	})
	m, connected := t.past.Recall(clock, t.newlyListed, len(t.servers))
	if t.newlyListed = t.newlyListed[:0]; t.past.Remaining() == 0 {
		t.past = nil
	}
	t.balancer.Recall(now, m)
	return len(m.Servers), connected
}

// DropStored drops the facts of the earlier process that were not imported yet.
func (t *Tracker) DropStored() { t.past, t.newlyListed = nil, nil }
