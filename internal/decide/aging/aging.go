// Package aging decides what a remembered fact is still worth: less the older it is and the more the fleet changed since,
// nothing for a server that is another one by now, and never more than a bound. It does no I/O and reads no clock.
package aging

import (
	"math"
	"slices"
	"time"

	"ternbeam/choice"
	"ternbeam/internal/decide/learned"
)

// Settings say how fast facts lose their worth: after each half-life it is half of what it was.
type Settings struct {
	Capacity time.Duration // of a server
	Failing  time.Duration // of a server, and losses over all
	Ejection time.Duration
	Times    time.Duration // usual and least times to an answer
	Traffic  time.Duration // own answers a second
	Cold     time.Duration // how cold starts went
	Address  time.Duration // which of a server's addresses connected
	Bend     float64       // remembered capacities count as at most so many times the median one, and as its part at least
	Forget   time.Duration // what is older is worth nothing
}

// Defaults are the settings where none are given. Failures and times go together: usual times that outlive what is known
// of silent servers made quiet agents lose more than without a memory (docs/design/learning.md has the figures).
var Defaults = Settings{Capacity: 10 * time.Minute, Failing: 15 * time.Minute, Ejection: time.Minute, Times: 15 * time.Minute,
	Traffic: 15 * time.Minute, Cold: 24 * time.Hour, Address: time.Hour, Bend: 4, Forget: 72 * time.Hour}

const (
	// leastWorth is what a fact must be worth to count at all.
	leastWorth = 1.0 / 32
	// leastEjection is what an ejection must be worth to come back: one in doubt is found again soon enough.
	leastEjection = 1.0 / 4
	// leastAddress is what an address that connected must be worth to be tried first.
	leastAddress = 1.0 / 4
	// sameLeast is the part of the fleet that must be the same for anything to count.
	sameLeast = 0.1
	// ahead is by how much a moment may lie in the future: clocks are read one after the other.
	ahead = time.Second
)

// Since is how long ago a moment was, and whether that can be told at all. The clock since the boot cannot be set and is
// believed where both moments are of one boot. The wall clock may have been: a moment in its future has no age, and what
// it was seen to step counts as more age.
func Since(then, now learned.Clock) (age time.Duration, known bool) {
	if then.BootID != "" && then.BootID == now.BootID {
		age = now.Boot - then.Boot
		return max(0, age), age >= -ahead
	}
	if age = now.Wall - then.Wall; age < -ahead || then.Wall <= 0 {
		return 0, false
	}
	return max(0, age) + then.Unsure, true
}

// Worth is what is left of a fact of an age.
func (s Settings) Worth(halfLife, age time.Duration) float64 {
	if age > s.Forget || halfLife <= 0 {
		return 0
	}
	w := math.Exp2(-float64(max(0, age)) / float64(halfLife))
	if w < leastWorth {
		return 0
	}
	return w
}

// Listed is a server that the list names now.
type Listed struct {
	ID       string
	Started  time.Duration
	Identity uint64
}

// Past is what an earlier agent knew. Each fact of it is given out once at most.
type Past struct {
	set    Settings
	shared learned.Shared
	sure   bool // the age of what is shared is known
	facts  map[string]fact
	met    map[uint64]bool // identities that were remembered and are named again
	median float64         // of the remembered capacities
	told   bool            // what is shared was given out
}

type fact struct {
	learned.Server
	at learned.Clock
}

// New returns the Past that a State is.
func New(set Settings, state learned.State) *Past {
	p := &Past{set: set, shared: state.Shared, facts: map[string]fact{}, met: map[uint64]bool{}}
	var rates []float64
	for _, b := range state.Buckets {
		for _, s := range b.Servers {
			p.facts[s.ID] = fact{s, b.At}
			if s.Rate > 0 {
				rates = append(rates, s.Rate)
			}
		}
	}
	if slices.Sort(rates); len(rates) > 0 {
		p.median = rates[len(rates)/2]
	}
	return p
}

// Left is how many servers are remembered that the list has not named yet.
func (p *Past) Left() int { return len(p.facts) }

// Recall gives what is worth remembering of servers that the list names anew, of so many in all; and, the first time, what
// is shared. Of servers with several addresses it gives those that connected, too. It costs in proportion to the servers
// named.
func (p *Past) Recall(now learned.Clock, named []Listed, fleet int) (m choice.Memory, worked []string) {
	for _, l := range named {
		if _, found := slices.BinarySearch(p.shared.Fleet, l.Identity); found {
			p.met[l.Identity] = true
		}
	}
	same := p.Same(fleet)
	if !p.told && len(named) > 0 {
		p.told = true
		m = p.sharedMemory(now, same)
	}
	for _, l := range named {
		f, ok := p.facts[l.ID]
		if !ok || f.Identity != l.Identity || f.Started != l.Started {
			continue // it restarted, was replaced, moved or speaks otherwise; or this list is older than what is remembered
		}
		delete(p.facts, l.ID)
		if s, any := p.aged(f, now, same); any {
			m.Servers = append(m.Servers, s)
		}
		if age, known := Since(f.at, now); known && f.Worked != "" && same*p.set.Worth(p.set.Address, age) >= leastAddress {
			worked = append(worked, f.Worked)
		}
	}
	return m, worked
}

// Same is the part of the fleet that is as it was, of all that it was and is, and nothing where that is next to nothing.
func (p *Past) Same(fleet int) float64 {
	met := len(p.met)
	all := len(p.shared.Fleet) + fleet - met
	if all <= 0 {
		return 0
	}
	if same := float64(met) / float64(all); same >= sameLeast {
		return min(1, same)
	}
	return 0
}

func (p *Past) sharedMemory(now learned.Clock, same float64) (m choice.Memory) {
	age, known := Since(p.shared.At, now)
	if !known {
		return m
	}
	was := p.shared.Memory
	age += was.Idle
	worth := func(halfLife time.Duration) float64 { return same * p.set.Worth(halfLife, age) }
	times := worth(p.set.Times)
	m = choice.Memory{Served: was.Served * worth(p.set.Traffic), Lost: was.Lost * worth(p.set.Failing), ColdBad: was.ColdBad,
		ColdSeen: was.ColdSeen * worth(p.set.Cold)}
	for _, c := range was.Classes {
		if c.Trust = min(1, c.Trust) * times; c.Trust > 0 {
			m.Classes = append(m.Classes, c)
		}
	}
	return m
}

// aged is what is left of what was known of a server.
func (p *Past) aged(f fact, now learned.Clock, same float64) (s choice.ServerMemory, any bool) {
	age, known := Since(f.at, now)
	if !known || same == 0 {
		return s, false
	}
	s = choice.ServerMemory{ID: f.ID, Started: f.Started}
	if trust := f.Trust * same * p.set.Worth(p.set.Capacity, age+f.Reported); trust > 0 && f.Rate > 0 {
		s.Rate = min(max(f.Rate, p.median/p.set.Bend), p.median*p.set.Bend)
		s.Use, s.Trust, s.Reported = f.Use, trust, age+f.Reported
	}
	s.Failing = f.Failing * same * p.set.Worth(p.set.Failing, age+f.Judged)
	s.Judged = age + f.Judged
	if worth := same * p.set.Worth(p.set.Ejection, age); f.Ejected && worth >= leastEjection {
		s.Ejected, s.Trial = true, time.Duration(worth*float64(f.Trial))
	}
	return s, s.Trust > 0 || s.Failing > 0 || s.Ejected
}

// Fact is a remembered server with what it would be worth now, if the list named it as it was and nothing else changed.
type Fact struct {
	learned.Server
	Age   time.Duration
	Known bool // the age
	Now   choice.ServerMemory
}

// Show lists what is remembered, by ids, with what it would be worth.
func (p *Past) Show(now learned.Clock) []Fact {
	var all []Fact
	for _, f := range p.facts {
		age, known := Since(f.at, now)
		s, _ := p.aged(f, now, 1)
		all = append(all, Fact{Server: f.Server, Age: age, Known: known, Now: s})
	}
	slices.SortFunc(all, func(a, b Fact) int {
		if a.ID < b.ID {
			return -1
		}
		return 1
	})
	return all
}

// ShowShared is what is shared with what it would be worth.
func (p *Past) ShowShared(now learned.Clock) (age time.Duration, known bool, m choice.Memory) {
	age, known = Since(p.shared.At, now)
	return age, known, p.sharedMemory(now, 1)
}
