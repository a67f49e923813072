// Package learned is what an agent has learned as a value that outlives it: what of it is kept in which record, how these
// are worded, and how much one such value differs from another. It does no I/O and reads no clock.
package learned

import (
	"cmp"
	"math"
	"math/bits"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"ternbeam/choice"
)

// Clock is a moment on the clocks of a machine. The wall clock may be set; the time since the machine's boot cannot, and
// says nothing to another boot.
type Clock struct {
	Wall   time.Duration // Unix time
	Boot   time.Duration // since the boot
	BootID string        // which boot; empty where it is not known
	Unsure time.Duration // by how much the wall clock was seen to step while the agent ran
}

// Server is what was learned of a server.
type Server struct {
	choice.ServerMemory
	Addr     string // for those who read it
	Worked   string // of several addresses, the one that connected last; empty where none did
	Identity uint64 // of all that the list says which makes it this server, in this life
}

// Identity sums up what makes an entry of the list this server in this life: another start, address, protocol, place or
// size makes it another one, of which nothing is known.
func Identity(s choice.Server, addr string, multiplexed bool) uint64 {
	b := make([]byte, 0, 128)
	text := func(t string) { b = append(append(b, byte(len(t)), byte(len(t)>>8)), t...) }
	number := func(x uint64) {
		for ; ; x >>= 8 {
			if b = append(b, byte(x)); x < 256 {
				b = append(b, 0xff)
				return
			}
		}
	}
	text(s.ID)
	text(addr)
	number(uint64(s.Started.Milliseconds()))
	number(uint64(s.Speaks))
	number(uint64(s.Zone))
	number(uint64(s.Cell))
	number(math.Float64bits(s.Weight))
	if multiplexed {
		b = append(b, 1)
	}
	return xxhash.Sum64(b)
}

// Shared is what was learned of no single server.
type Shared struct {
	At      Clock
	Agent   string        // whose it is
	Memory  choice.Memory // without servers
	Fleet   []uint64      // identities of all servers that the list named, in order
	Buckets int           // over which the servers are spread, a power of two
}

// Bucket is a part of the servers, in the order of their ids.
type Bucket struct {
	At      Clock
	Servers []Server
}

// State is all that was learned.
type State struct {
	Shared  Shared
	Buckets []Bucket
}

// perBucket is about how many servers a bucket holds: as a whole it is what is written of them at the least.
const perBucket = 64

// MaxBuckets bounds them.
const MaxBuckets = 1 << 12

// bucketsFor is how many buckets so many servers are spread over.
func bucketsFor(servers int) int {
	n := max(1, (servers+perBucket-1)/perBucket)
	return min(MaxBuckets, 1<<bits.Len(uint(n-1)))
}

// Place is the bucket of a server.
func Place(id string, buckets int) int { return int(xxhash.Sum64String(id) & uint64(buckets-1)) }

// New puts a State together. Servers are those of which anything is known, the fleet is all. It gives way after each some
// servers, as others may wait for the core that it runs on; nil for never.
func New(at Clock, agent string, memory choice.Memory, servers []Server, fleet []uint64, giveWay func()) State {
	if giveWay == nil {
		giveWay = func() {}
	}
	memory.Servers = nil
	memory.Classes = slices.Clone(memory.Classes)
	s := State{Shared: Shared{At: at, Agent: agent, Memory: memory, Fleet: slices.Sorted(slices.Values(fleet)),
		Buckets: bucketsFor(len(fleet))}}
	s.Buckets = make([]Bucket, s.Shared.Buckets)
	for i := range s.Buckets {
		s.Buckets[i].At = at
	}
	for i := range servers {
		b := &s.Buckets[Place(servers[i].ID, s.Shared.Buckets)]
		b.Servers = append(b.Servers, servers[i])
		if i%perBucket == 0 {
			giveWay()
		}
	}
	for _, b := range s.Buckets {
		slices.SortFunc(b.Servers, func(x, y Server) int { return cmp.Compare(x.ID, y.ID) })
		giveWay()
	}
	return s
}

// Count returns how many servers a State knows of.
func (s State) Count() (n int) {
	for _, b := range s.Buckets {
		n += len(b.Servers)
	}
	return n
}

// Weights of what may differ: one server's worth is 1.
const (
	weighCapacity = 1.0  // for a capacity that doubled, halved, came or went
	weighFailing  = 1.0  // for a share of failures of 1 more or less
	weighEjected  = 1.0  // for one that is ejected, or no longer is
	weighTimes    = 1.0  // for a class whose usual time doubled or halved
	weighAddress  = 0.25 // for a server that connects by another address
	weighFleet    = 0.5  // for a server that the list names, or no longer does
)

// doublings is how far two figures are apart, as a multiple of a doubling, 1 at most.
func doublings(a, b float64) float64 {
	switch {
	case a == b:
		return 0
	case a <= 0 || b <= 0:
		return 1
	}
	return min(1, math.Abs(math.Log2(a/b)))
}

// DifferBucket is how much a bucket differs from a later one, in servers' worths.
func DifferBucket(old, now Bucket) (worth float64) {
	known := make(map[string]*Server, len(old.Servers))
	for i := range old.Servers {
		known[old.Servers[i].ID] = &old.Servers[i]
	}
	for i := range now.Servers {
		s := &now.Servers[i]
		was := known[s.ID]
		if was == nil || was.Identity != s.Identity {
			worth += weighCapacity
			continue
		}
		delete(known, s.ID)
		if was.Worked != s.Worked {
			worth += weighAddress
		}
		worth += weighCapacity*doublings(was.Rate, s.Rate) + weighFailing*math.Abs(was.Failing-s.Failing)
		if was.Ejected != s.Ejected {
			worth += weighEjected
		}
	}
	return worth + weighCapacity*float64(len(known))
}

// DifferShared is how much what is shared differs from what is later.
func DifferShared(old, now Shared) (worth float64) {
	if old.Buckets != now.Buckets || old.Agent != now.Agent {
		return float64(len(now.Fleet)) + 1
	}
	for i, c := range now.Memory.Classes {
		if i >= len(old.Memory.Classes) || old.Memory.Classes[i].Name != c.Name {
			worth += weighTimes
			continue
		}
		worth += weighTimes * max(doublings(float64(old.Memory.Classes[i].Usual), float64(c.Usual)),
			doublings(float64(old.Memory.Classes[i].Least), float64(c.Least)))
	}
	worth += math.Abs(old.Memory.Lost-now.Memory.Lost) + math.Abs(old.Memory.ColdBad-now.Memory.ColdBad)
	return worth + weighFleet*float64(len(old.Fleet)+len(now.Fleet)-2*Common(old.Fleet, now.Fleet))
}

// Common counts what two lists in order have in common.
func Common(a, b []uint64) (n int) {
	for len(a) > 0 && len(b) > 0 {
		switch {
		case a[0] < b[0]:
			a = a[1:]
		case a[0] > b[0]:
			b = b[1:]
		default:
			n, a, b = n+1, a[1:], b[1:]
		}
	}
	return n
}
