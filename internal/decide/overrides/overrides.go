// Package overrides holds the operators' manual overrides of servers: which servers are offline, and how that changes their
// entries in the server list. It does no I/O and reads no clock.
package overrides

import (
	"maps"
	"time"

	"ternbeam/choice"
)

// MaxOffline is the maximum number of servers that may be offline at a time. Without it the overrides of servers that never return
// would accumulate, as when servers are replaced while they are offline.
const MaxOffline = 10_000

// Set is a set of overrides. The zero value has none. It is not safe for concurrent use.
type Set struct {
	offline    map[string]time.Duration // by server id: when it was taken offline
	backOnline map[string]offlinePeriod // by server id: offline periods of servers that were put back online and are still listed
}

// offlinePeriod is the time in which a server was offline. The server is assumed to have been restarted within it.
type offlinePeriod struct{ from, to time.Duration }

// IsOffline reports whether an operator has taken a server offline.
func (o *Set) IsOffline(id string) bool {
	_, offline := o.offline[id]
	return offline
}

// Offline takes a server offline. It returns false if MaxOffline servers are offline already. For a server that is offline already
// the first time remains in effect.
func (o *Set) Offline(now time.Duration, id string) bool {
	if o.offline == nil {
		o.offline = map[string]time.Duration{}
	}
	if !o.IsOffline(id) {
		if len(o.offline) >= MaxOffline {
			return false
		}
		o.offline[id] = now.Truncate(time.Millisecond) // the precision of start times in the server list
	}
	delete(o.backOnline, id)
	return true
}

// Online puts a server back online, however often it was taken offline. It returns false if it was not offline.
func (o *Set) Online(now time.Duration, id string) bool {
	from, offline := o.offline[id]
	if !offline {
		return false
	}
	delete(o.offline, id)
	if o.backOnline == nil {
		o.backOnline = map[string]offlinePeriod{}
	}
	o.backOnline[id] = offlinePeriod{from, now.Truncate(time.Millisecond)}
	return true
}

// Apply returns an entry of the server list with the overrides applied. A server that is offline counts as draining, unless the list
// says that it is gone. A server that was put back online is assumed to have been restarted meanwhile. The start time in the list
// is used if it is not before the server was taken offline. Otherwise the list does not know of the restart yet, and may never do;
// the server then counts as started when it was put back online, so that a cold server is not overloaded.
func (o *Set) Apply(s choice.Server) choice.Server {
	if o.IsOffline(s.ID) && s.State == choice.Ready {
		s.State = choice.Draining
	}
	if period, ok := o.backOnline[s.ID]; ok && s.Started < period.from {
		s.Started = period.to
	}
	return s
}

// ServerRemoved records that a server is no longer listed. A server that is offline stays so, as it may be listed again.
func (o *Set) ServerRemoved(id string) { delete(o.backOnline, id) }

// Snapshot is the serializable form of a Set, to hand over to another process; the JSON keys are part of the handover format.
// Times are Unix milliseconds.
type Snapshot struct {
	Offline    map[string]int64    `json:"out,omitempty"`  // by server id: when it was taken offline
	BackOnline map[string][2]int64 `json:"back,omitempty"` // by server id: start and end of the offline period
}

// Snapshot returns the overrides in serializable form.
func (o *Set) Snapshot() Snapshot {
	s := Snapshot{Offline: make(map[string]int64, len(o.offline)), BackOnline: make(map[string][2]int64, len(o.backOnline))}
	for id, from := range o.offline {
		s.Offline[id] = from.Milliseconds()
	}
	for id, period := range o.backOnline {
		s.BackOnline[id] = [2]int64{period.from.Milliseconds(), period.to.Milliseconds()}
	}
	return s
}

// Restore adds the overrides of another process, up to MaxOffline. A time in the future, which a wrong clock can cause, counts as
// now: otherwise a server would count as cold until that time.
func (o *Set) Restore(now time.Duration, s Snapshot) {
	notFuture := func(ms int64) time.Duration { return min(now, time.Duration(ms)*time.Millisecond) }
	for id, from := range s.Offline {
		o.Offline(notFuture(from), id)
	}
	for id, period := range s.BackOnline {
		if len(o.backOnline) >= MaxOffline || o.IsOffline(id) {
			continue
		}
		if o.backOnline == nil {
			o.backOnline = map[string]offlinePeriod{}
		}
		o.backOnline[id] = offlinePeriod{notFuture(period[0]), notFuture(period[1])}
	}
}

// Copy returns a deep copy.
func (o *Set) Copy() Set {
	return Set{offline: maps.Clone(o.offline), backOnline: maps.Clone(o.backOnline)}
}
