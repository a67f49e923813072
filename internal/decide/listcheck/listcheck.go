// Package listcheck decides which server lists from discovery are accepted. A discovery service that is overloaded or has
// restarted may send lists that are empty, older than the last one, or contain a server twice. The last good list stays in
// effect then, but drains are applied even from a list that is rejected. The package does no I/O and reads no clock.
package listcheck

import (
	"fmt"

	"ternbeam/choice"
)

// UnknownVersion is the version of a discovery service that has not sent a list yet. Versions of another service do not
// count, as each service may number its lists differently.
const UnknownVersion = -1

const (
	// maxOlderInRow is the number of consecutive older lists that are rejected as mistakes. The next one is accepted:
	// discovery has restarted and numbers its lists from the start.
	maxOlderInRow = 3
	// MaxServers is the maximum number of servers in a list.
	MaxServers = 50_000
)

// Entry is the part of a server's list entry that the checks need.
type Entry struct {
	ID      string
	State   choice.State
	Started int64 // any number that increases with each start of the server
}

// List is a full list or a list of changes.
type List struct {
	Version int64
	Full    bool // it contains all servers, not only changes
	Entries []Entry
}

// Verdict tells the caller what to apply of a list.
type Verdict struct {
	Reject   bool   // apply only its drains; the last good list stays in effect
	Reason   string // what is wrong with it; empty if nothing is
	Skip     []int  // indexes of entries to leave out, as another entry of the same server takes precedence; ascending
	Draining []int  // indexes of entries to apply as draining, whatever their state; of a rejected list, apply only these
}

// Checker checks the lists of one discovery service in the order in which they arrive. Create it with New. It is not safe
// for concurrent use.
type Checker struct {
	version    int64            // of the last accepted list
	olderInRow int              // consecutive older lists that were rejected
	known      map[string]Entry // servers by the accepted lists and applied drains, without those that are gone
}

// New returns a Checker for a service whose last list had the given version, or UnknownVersion.
func New(version int64) *Checker { return &Checker{version: version, known: map[string]Entry{}} }

// Version returns the version of the last accepted list.
func (c *Checker) Version() int64 { return c.version }

// Check checks a list. Later lists are checked against what was accepted of it.
func (c *Checker) Check(l List) (v Verdict) {
	older := c.version != UnknownVersion && l.Version < c.version
	switch {
	case len(l.Entries) > MaxServers:
		return Verdict{Reject: true, Reason: fmt.Sprintf("%d servers, at most %d are accepted", len(l.Entries), MaxServers)}
	case l.Full && len(l.Entries) == 0 && len(c.known) > 0:
		return Verdict{Reject: true, Reason: fmt.Sprintf("a full list without a server, although %d were known", len(c.known))}
	case older && !l.Full:
		return Verdict{Reject: true, Reason: fmt.Sprintf("a change to version %d after version %d", l.Version, c.version), Draining: c.recordDrains(l)}
	case older && c.olderInRow < maxOlderInRow:
		c.olderInRow++
		return Verdict{Reject: true, Reason: fmt.Sprintf("version %d after version %d", l.Version, c.version), Draining: c.recordDrains(l)}
	case older:
		v.Reason = fmt.Sprintf("version %d after version %d, accepted as it is the %dth older list in a row", l.Version, c.version, c.olderInRow+1)
	}
	c.olderInRow, c.version = 0, l.Version
	preferred := make(map[string]int, len(l.Entries)) // index of the entry that takes precedence, by server
	for i, e := range l.Entries {
		other, duplicate := preferred[e.ID]
		if !duplicate || takesPrecedence(e, l.Entries[other]) {
			preferred[e.ID] = i
		}
		if duplicate && v.Reason == "" {
			v.Reason = fmt.Sprintf("server %q is listed twice", e.ID)
		}
	}
	known := c.known
	if l.Full {
		known = make(map[string]Entry, len(preferred))
	}
	for i, e := range l.Entries {
		if preferred[e.ID] != i {
			v.Skip = append(v.Skip, i)
			continue
		}
		// An older list was made before the drain, or by a restarted discovery service that has lost the drain.
		if prev, ok := c.known[e.ID]; older && ok && prev.State == choice.Draining && e.State == choice.Ready && e.Started <= prev.Started {
			e.State, v.Draining = choice.Draining, append(v.Draining, i)
		}
		if e.State == choice.Removed {
			delete(known, e.ID)
			continue
		}
		if known[e.ID] = e; len(known) > MaxServers {
			delete(known, e.ID) // the bound applies to the known servers, too
		}
	}
	c.known = known
	return v
}

// ApplyDrains records only the drains of a list that is otherwise ignored, and returns the indexes of the entries to apply
// as draining.
func (c *Checker) ApplyDrains(l List) []int {
	if len(l.Entries) > MaxServers {
		return nil
	}
	return c.recordDrains(l)
}

// recordDrains records as draining the ready or unknown servers that an older list reports as draining or gone, and returns
// the indexes of their entries. The list may be the only one to report this: a restarted discovery service numbers its
// lists from the start. If the drain has been undone since, the next list makes the server ready again.
func (c *Checker) recordDrains(l List) (all []int) {
	for i, e := range l.Entries {
		if prev, known := c.known[e.ID]; e.State == choice.Ready || known && (prev.State != choice.Ready || e.Started < prev.Started) {
			continue
		}
		all = append(all, i)
		e.State = choice.Draining
		if c.known[e.ID] = e; len(c.known) > MaxServers {
			delete(c.known, e.ID)
		}
	}
	return all
}

// takesPrecedence reports whether an entry is used instead of another one of the same server: that of the later start, or
// else the one whose state gets the server fewer calls.
func takesPrecedence(e, other Entry) bool {
	if e.Started != other.Started {
		return e.Started > other.Started
	}
	return e.State > other.State
}
