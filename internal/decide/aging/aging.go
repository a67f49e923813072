// Package aging decides how much weight a remembered fact still has: less the older it is and the more the fleet has
// changed since, none for a server that has been replaced, and never more than a bound. It does no I/O and reads no
// clock.
package aging

import (
	"math"
	"slices"
	"time"

	"ternbeam/choice"
	"ternbeam/internal/decide/learned"
)

// Settings are the half-lives of facts, after each of which a fact has half the weight that it had, and bounds.
type Settings struct {
	Capacity     time.Duration // capacity of a server
	Failing      time.Duration // failure rate of a server, and losses over all
	Ejection     time.Duration
	Latency      time.Duration // usual and shortest response times
	Traffic      time.Duration // the agent's responses per second
	ColdFailures time.Duration // outcomes of cold starts
	Address      time.Duration // which of a server's addresses connected
	ClampFactor  float64       // remembered capacities are clamped to this many times the median one, and to its reciprocal
	MaxAge       time.Duration // older facts have no weight
}

// Defaults are the settings where none are configured. Failures and latencies have the same half-life: if latencies were
// remembered longer than failures, agents with little traffic lost more requests than without stored state
// (docs/design/learning.md has the figures).
var Defaults = Settings{Capacity: 10 * time.Minute, Failing: 15 * time.Minute, Ejection: time.Minute, Latency: 15 * time.Minute,
	Traffic: 15 * time.Minute, ColdFailures: 24 * time.Hour, Address: time.Hour, ClampFactor: 4, MaxAge: 72 * time.Hour}

const (
	// minWeight is the weight below which a fact does not count.
	minWeight = 1.0 / 32
	// minEjectionWeight is the weight below which an ejection is not restored: a doubtful one is detected again soon
	// enough.
	minEjectionWeight = 1.0 / 4
	// minAddressWeight is the weight below which an address that connected is not tried first.
	minAddressWeight = 1.0 / 4
	// minSimilarity is the part of the fleet that must be unchanged for anything to count.
	minSimilarity = 0.1
	// clockTolerance is how far in the future a moment may lie and still count as now: the two clocks are read one after the
	// other.
	clockTolerance = time.Second
)

// Since returns how long ago a moment was, and whether that is known at all. The time since boot cannot be set, and is
// used if both moments are of the same boot. The wall clock may have been set: a moment in its future has an unknown
// age, and the steps observed count as additional age.
func Since(then, now learned.Clock) (age time.Duration, known bool) {
	if then.BootID != "" && then.BootID == now.BootID {
		age = now.Boot - then.Boot
		return max(0, age), age >= -clockTolerance
	}
	if age = now.Wall - then.Wall; age < -clockTolerance || then.Wall <= 0 {
		return 0, false
	}
	return max(0, age) + then.Unsure, true
}

// Weight returns the weight of a fact of an age, from 0 to 1.
func (s Settings) Weight(halfLife, age time.Duration) float64 {
	if age > s.MaxAge || halfLife <= 0 {
		return 0
	}
	w := math.Exp2(-float64(max(0, age)) / float64(halfLife))
	if w < minWeight {
		return 0
	}
	return w
}

// ListedServer is a server in the current list.
type ListedServer struct {
	ID       string
	Started  time.Duration
	Identity uint64 // see learned.Identity
}

// Restored is the state that an earlier process of the agent stored. Each fact of it is returned at most once. It is not
// safe for concurrent use.
type Restored struct {
	settings       Settings
	shared         learned.Shared
	facts          map[string]fact
	recognized     map[uint64]bool // remembered identities that are in the list again
	medianRate     float64         // of the remembered capacities
	sharedRecalled bool            // the shared data was returned
}

// fact is what is remembered about a server, and when it was stored.
type fact struct {
	learned.Server
	at learned.Clock
}

// New returns the Restored of a State.
func New(set Settings, state learned.State) *Restored {
	r := &Restored{settings: set, shared: state.Shared, facts: map[string]fact{}, recognized: map[uint64]bool{}}
	var rates []float64
	for _, b := range state.Buckets {
		for _, s := range b.Servers {
			r.facts[s.ID] = fact{s, b.At}
			if s.Rate > 0 {
				rates = append(rates, s.Rate)
			}
		}
	}
	if slices.Sort(rates); len(rates) > 0 {
		r.medianRate = rates[len(rates)/2]
	}
	return r
}

// Remaining returns the number of remembered servers that were not in any list yet.
func (r *Restored) Remaining() int { return len(r.facts) }

// Recall returns the facts about servers that are new in the list, which has the given number of servers in all, and the
// first time also the shared data. For servers with several addresses it also returns those that connected. It takes
// time in proportion to the servers named.
func (r *Restored) Recall(now learned.Clock, named []ListedServer, fleet int) (m choice.Memory, connected []string) {
	for _, l := range named {
		if _, found := slices.BinarySearch(r.shared.Fleet, l.Identity); found {
			r.recognized[l.Identity] = true
		}
	}
	similarity := r.Similarity(fleet)
	if !r.sharedRecalled && len(named) > 0 {
		r.sharedRecalled = true
		m = r.agedShared(now, similarity)
	}
	for _, l := range named {
		f, ok := r.facts[l.ID]
		if !ok || f.Identity != l.Identity || f.Started != l.Started {
			continue // it restarted, was replaced, moved or changed its protocol; or this list is older than the stored state
		}
		delete(r.facts, l.ID)
		if s, ok := r.agedServer(f, now, similarity); ok {
			m.Servers = append(m.Servers, s)
		}
		if age, known := Since(f.at, now); known && f.Worked != "" && similarity*r.settings.Weight(r.settings.Address, age) >= minAddressWeight {
			connected = append(connected, f.Worked)
		}
	}
	return m, connected
}

// Similarity returns the number of servers that are in the fleet unchanged, divided by the number of all servers that are or
// were in it. It returns 0 where that is below minSimilarity.
func (r *Restored) Similarity(fleet int) float64 {
	recognized := len(r.recognized)
	all := len(r.shared.Fleet) + fleet - recognized
	if all <= 0 {
		return 0
	}
	if similarity := float64(recognized) / float64(all); similarity >= minSimilarity {
		return min(1, similarity)
	}
	return 0
}

// agedShared returns what still counts of the shared data.
func (r *Restored) agedShared(now learned.Clock, similarity float64) (m choice.Memory) {
	age, known := Since(r.shared.At, now)
	if !known {
		return m
	}
	remembered := r.shared.Memory
	age += remembered.Idle
	weight := func(halfLife time.Duration) float64 { return similarity * r.settings.Weight(halfLife, age) }
	latencyWeight := weight(r.settings.Latency)
	m = choice.Memory{Served: remembered.Served * weight(r.settings.Traffic), Lost: remembered.Lost * weight(r.settings.Failing),
		ColdBad: remembered.ColdBad, ColdSeen: remembered.ColdSeen * weight(r.settings.ColdFailures)}
	for _, c := range remembered.Classes {
		if c.Trust = min(1, c.Trust) * latencyWeight; c.Trust > 0 {
			m.Classes = append(m.Classes, c)
		}
	}
	return m
}

// agedServer returns what still counts of the facts about a server, and whether anything does.
func (r *Restored) agedServer(f fact, now learned.Clock, similarity float64) (s choice.ServerMemory, ok bool) {
	age, known := Since(f.at, now)
	if !known || similarity == 0 {
		return s, false
	}
	s = choice.ServerMemory{ID: f.ID, Started: f.Started}
	if trust := f.Trust * similarity * r.settings.Weight(r.settings.Capacity, age+f.Reported); trust > 0 && f.Rate > 0 {
		s.Rate = min(max(f.Rate, r.medianRate/r.settings.ClampFactor), r.medianRate*r.settings.ClampFactor)
		s.Use, s.Trust, s.Reported = f.Use, trust, age+f.Reported
	}
	s.Failing = f.Failing * similarity * r.settings.Weight(r.settings.Failing, age+f.Judged)
	s.Judged = age + f.Judged
	if weight := similarity * r.settings.Weight(r.settings.Ejection, age); f.Ejected && weight >= minEjectionWeight {
		s.Ejected, s.Trial = true, time.Duration(weight*float64(f.Trial))
	}
	return s, s.Trust > 0 || s.Failing > 0 || s.Ejected
}

// Fact is what is remembered about a server, with what would count of it now if it were in the list unchanged and the
// fleet had not changed.
type Fact struct {
	learned.Server
	Age      time.Duration
	AgeKnown bool // Age is known
	Current  choice.ServerMemory
}

// Facts returns all remembered facts, ordered by server id.
func (r *Restored) Facts(now learned.Clock) []Fact {
	var all []Fact
	for _, f := range r.facts {
		age, known := Since(f.at, now)
		s, _ := r.agedServer(f, now, 1)
		all = append(all, Fact{Server: f.Server, Age: age, AgeKnown: known, Current: s})
	}
	slices.SortFunc(all, func(a, b Fact) int {
		if a.ID < b.ID {
			return -1
		}
		return 1
	})
	return all
}

// SharedFacts returns the age of the shared data, whether that is known, and what would count of it now.
func (r *Restored) SharedFacts(now learned.Clock) (age time.Duration, known bool, m choice.Memory) {
	age, known = Since(r.shared.At, now)
	return age, known, r.agedShared(now, 1)
}
