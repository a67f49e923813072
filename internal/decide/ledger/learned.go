package ledger

import (
	"slices"
	"time"

	"ternbeam/choice"
	"ternbeam/internal/decide/aging"
	"ternbeam/internal/decide/learned"
	"ternbeam/internal/decide/life"
)

// Learned is what the module has learned, with what makes each server the one that it is. Its parts are used again by the
// next export.
type Learned struct {
	Memory  choice.Memory
	Servers []learned.Server // those of the memory that can be sent to
	Fleet   []uint64         // identities of all that can be sent to
}

// Export writes what was learned into a value. Worked says which of several addresses connected last, if any; it may be nil.
func (l *Ledger) Export(now time.Duration, into *Learned, worked func(addrs []string) string) {
	l.balancer.Export(now, &into.Memory)
	into.Servers, into.Fleet = into.Servers[:0], into.Fleet[:0]
	by := func(s *life.Server) string {
		if worked == nil || len(s.Addrs) < 2 {
			return ""
		}
		return worked(s.Addrs)
	}
	several := 0
	for _, m := range into.Memory.Servers {
		if s := l.servers[m.ID]; s != nil {
			into.Servers = append(into.Servers, learned.Server{ServerMemory: m, Addr: s.Addr, Identity: s.Identity, Worked: by(s)})
		}
	}
	for _, s := range l.servers {
		into.Fleet = append(into.Fleet, s.Identity)
		if len(s.Addrs) > 1 {
			several++
		}
	}
	if several == 0 || worked == nil {
		return
	}
	known := make(map[string]bool, len(into.Servers))
	for _, s := range into.Servers {
		known[s.ID] = true
	}
	for _, s := range l.servers { // of which nothing else is known
		if addr := by(s); addr != "" && !known[s.ID] {
			into.Servers = append(into.Servers, learned.Server{Addr: s.Addr, Identity: s.Identity, Worked: addr,
				ServerMemory: choice.ServerMemory{ID: s.ID, Started: time.Duration(s.Started) * time.Millisecond}})
		}
	}
}

// News counts what the module learned.
func (l *Ledger) News() uint64 { return l.balancer.News() }

// Remember takes what an earlier agent knew. Recall tells the module.
func (l *Ledger) Remember(past *aging.Past) {
	l.past, l.named = past, nil
	for _, s := range l.servers {
		l.named = append(l.named, listed(s))
	}
}

func listed(s *life.Server) aging.Listed {
	return aging.Listed{ID: s.ID, Started: time.Duration(s.Started) * time.Millisecond, Identity: s.Identity}
}

// Recall tells the module what is still worth remembering of the servers that the list named since the last time, and
// returns of how many that is anything, and which of their addresses connected. What is never asked for in the past is
// forgotten with it.
func (l *Ledger) Recall(now time.Duration, clock learned.Clock) (servers int, worked []string) {
	if l.past == nil || len(l.named) == 0 {
		return 0, nil
	}
	l.named = slices.DeleteFunc(l.named, func(n aging.Listed) bool { // one list may name several lives of a server
		s := l.servers[n.ID]
		return s == nil || s.Identity != n.Identity
	})
	m, worked := l.past.Recall(clock, l.named, len(l.servers))
	if l.named = l.named[:0]; l.past.Left() == 0 {
		l.past = nil
	}
	l.balancer.Recall(now, m)
	return len(m.Servers), worked
}

// Forget ends the remembering.
func (l *Ledger) Forget() { l.past, l.named = nil, nil }
