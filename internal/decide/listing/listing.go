// Package listing decides which lists of servers are believed. Discovery that is overbooked or begins anew sends lists
// that are empty, older than the last or name a server twice; the last good one holds then, and a drain that was told
// binds, whatever list told it. It does no I/O and reads no clock.
package listing

import (
	"fmt"

	"ternbeam/choice"
)

// Unknown is the version where none has come from that discovery yet: another one may count otherwise.
const Unknown = -1

const (
	// behindMost is how many lists in a row that are older than the last one are held to be mistakes. One more is
	// believed: discovery has begun anew and counts from the start.
	behindMost = 3
	// Most is how many servers a list may name.
	Most = 50_000
)

// Entry is what a list says of a server, as far as it matters here.
type Entry struct {
	ID      string
	State   choice.State
	Started int64 // any number that grows with each start of the server
}

// List is a list or a change of one.
type List struct {
	Version int64
	Full    bool
	Entries []Entry
}

// Verdict says what to make of a list.
type Verdict struct {
	Hold     bool   // nothing of it is applied but its drains: the last good list holds
	Reason   string // what is wrong with it, empty for nothing
	Skip     []int  // entries that are not applied, of servers that it names again, in their order
	Draining []int  // entries that count as draining, whatever they say; of one that is held, all that count
}

// Keeper judges the lists of one discovery in the order in which they come. Its zero value is not of use.
type Keeper struct {
	version int64
	behind  int
	known   map[string]Entry // by the lists that were believed
}

// New returns a Keeper of one whose lists so far ended with a version, or Unknown.
func New(version int64) *Keeper { return &Keeper{version: version, known: map[string]Entry{}} }

// Version is that of the latest list that was believed.
func (k *Keeper) Version() int64 { return k.version }

// Judge takes a list. What is believed of it is what later ones are judged by.
func (k *Keeper) Judge(l List) (v Verdict) {
	back := k.version != Unknown && l.Version < k.version
	switch {
	case len(l.Entries) > Most:
		return Verdict{Hold: true, Reason: fmt.Sprintf("%d servers, %d at most are taken", len(l.Entries), Most)}
	case l.Full && len(l.Entries) == 0 && len(k.known) > 0:
		return Verdict{Hold: true, Reason: fmt.Sprintf("a whole list without a server, where %d were known", len(k.known))}
	case back && !l.Full:
		return Verdict{Hold: true, Reason: fmt.Sprintf("a change to version %d after version %d", l.Version, k.version), Draining: k.drains(l)}
	case back && k.behind < behindMost:
		k.behind++
		return Verdict{Hold: true, Reason: fmt.Sprintf("version %d after version %d", l.Version, k.version), Draining: k.drains(l)}
	case back:
		v.Reason = fmt.Sprintf("version %d after version %d, believed as it comes for the %dth time", l.Version, k.version, k.behind+1)
	}
	k.behind, k.version = 0, l.Version
	last := make(map[string]int, len(l.Entries)) // the entry of a server that counts
	for i, e := range l.Entries {
		other, twice := last[e.ID]
		if !twice || beats(e, l.Entries[other]) {
			last[e.ID] = i
		}
		if twice && v.Reason == "" {
			v.Reason = fmt.Sprintf("server %q is named twice", e.ID)
		}
	}
	known := k.known
	if l.Full {
		known = make(map[string]Entry, len(last))
	}
	for i, e := range l.Entries {
		if last[e.ID] != i {
			v.Skip = append(v.Skip, i)
			continue
		}
		// An older list has not heard of the drain, and one that began anew has forgotten it.
		if before, ok := k.known[e.ID]; back && ok && before.State == choice.Draining && e.State == choice.Ready && e.Started <= before.Started {
			e.State, v.Draining = choice.Draining, append(v.Draining, i)
		}
		if e.State == choice.Gone {
			delete(known, e.ID)
			continue
		}
		if known[e.ID] = e; len(known) > Most {
			delete(known, e.ID) // judged by no more than the bound
		}
	}
	k.known = known
	return v
}

// Drains takes the drains of a list of which nothing else is to count, and returns the entries that do.
func (k *Keeper) Drains(l List) []int {
	if len(l.Entries) > Most {
		return nil
	}
	return k.drains(l)
}

// drains are the entries of an older list by which a server that is sent to drains or is gone. It may be the only one to tell: discovery
// that has begun anew counts from the start. A server that was only put back since is whole again by the next list.
func (k *Keeper) drains(l List) (all []int) {
	for i, e := range l.Entries {
		if before, known := k.known[e.ID]; e.State == choice.Ready || known && (before.State != choice.Ready || e.Started < before.Started) {
			continue
		}
		all = append(all, i)
		e.State = choice.Draining
		if k.known[e.ID] = e; len(k.known) > Most {
			delete(k.known, e.ID)
		}
	}
	return all
}

// beats reports whether an entry counts and not another of the same server: that of the later start, or else the one
// that sends less there.
func beats(e, other Entry) bool {
	if e.Started != other.Started {
		return e.Started > other.Started
	}
	return e.State > other.State
}
