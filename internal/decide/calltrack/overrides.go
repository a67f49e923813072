package calltrack

import (
	"time"

	"ternbeam/choice"
	"ternbeam/internal/decide/overrides"
)

// Offline takes a server offline by an operator's request, until Online. It returns false if the server is unknown, or if
// the maximum number of servers is offline already.
func (t *Tracker) Offline(now time.Duration, id string) ([]Command, bool) {
	t.startStep(now)
	e, listed := t.listed[id]
	if !listed && !t.overrides.IsOffline(id) || !t.overrides.Offline(now, id) {
		return nil, false
	}
	if listed {
		t.applyEntries(false, nil, []Entry{e})
	}
	return t.commands, true
}

// Online puts a server back online. It returns false if the server is unknown. A server that was not offline is unaffected.
func (t *Tracker) Online(now time.Duration, id string) ([]Command, bool) {
	t.startStep(now)
	e, listed := t.listed[id]
	if !listed && !t.overrides.IsOffline(id) {
		return nil, false
	}
	if t.overrides.Online(now, id) && listed {
		t.applyEntries(false, nil, []Entry{e})
	}
	return t.commands, true
}

// Overrides returns the operators' overrides, to hand over to another process.
func (t *Tracker) Overrides() overrides.Snapshot { return t.overrides.Snapshot() }

// RestoreOverrides applies the overrides that operators made in an earlier process.
func (t *Tracker) RestoreOverrides(now time.Duration, s overrides.Snapshot) []Command {
	t.startStep(now)
	t.overrides.Restore(now, s)
	var entries []Entry
	for _, e := range t.listed {
		if c := t.overrides.Apply(e.Server); c != e.Server {
			entries = append(entries, e)
		}
	}
	if len(entries) > 0 {
		t.applyEntries(false, nil, entries)
	}
	return t.commands
}

// ImportInherited gives the decision module what the process that this one replaces has learned. Unlike the facts of
// LoadStored, these are not aged.
func (t *Tracker) ImportInherited(now time.Duration, m choice.Memory) { t.balancer.Recall(now, m) }

// ListedServer returns the entry of a server in the server list, before the operators' overrides.
func (t *Tracker) ListedServer(id string) (s choice.Server, listed bool) {
	e, listed := t.listed[id]
	return e.Server, listed
}

// FleetCounts returns the number of listed servers and the number of avoided ones: taken offline by operators, or ejected by
// the decision module.
func (t *Tracker) FleetCounts() (listed, avoided int) {
	avoided = t.balancer.Ejected()
	for id := range t.listed {
		if t.overrides.IsOffline(id) {
			avoided++
		}
	}
	return len(t.listed), avoided
}
