// Package learned holds the state that an agent has learned, in a form that outlives the process: which part of it is
// stored in which record, how records are encoded, and how much one state differs from another. It does no I/O and reads
// no clock.
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

// Clock is a moment on the clocks of a machine. The wall clock may be set; the time since boot cannot, and has no
// meaning for another boot.
type Clock struct {
	Wall   time.Duration // Unix time
	Boot   time.Duration // since boot
	BootID string        // identifies the boot; empty where unknown
	Unsure time.Duration // sum of the steps of the wall clock that were observed while the agent ran
}

// Server is what was learned about a server.
type Server struct {
	choice.ServerMemory
	Addr     string // informational
	Worked   string // of several addresses, the one that connected last; empty if none did
	Identity uint64 // hash of the server's properties, see the function Identity
}

// Identity returns a hash of the properties that identify a server and its process in the list: with another start time,
// address, protocol, zone, cell or weight it counts as another server, about which nothing is known.
func Identity(s choice.Server, addr string, multiplexed bool) uint64 {
	b := make([]byte, 0, 128)
	text := func(t string) { b = append(append(b, byte(len(t)), byte(len(t)>>8)), t...) }
	number := func(x uint64) { // its bytes, the lowest first, and an end mark
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
	number(uint64(s.Protocols))
	number(uint64(s.Zone))
	number(uint64(s.Cell))
	number(math.Float64bits(s.Weight))
	if multiplexed {
		b = append(b, 1)
	}
	return xxhash.Sum64(b)
}

// Shared is what was learned that belongs to no single server.
type Shared struct {
	At      Clock
	Agent   string        // name of the agent that learned it
	Memory  choice.Memory // without servers
	Fleet   []uint64      // identities of all servers in the list, sorted
	Buckets int           // number of buckets over which the servers are spread, a power of two
}

// Bucket holds a part of the servers, ordered by id.
type Bucket struct {
	At      Clock
	Servers []Server
}

// State is all that an agent has learned.
type State struct {
	Shared  Shared
	Buckets []Bucket
}

// serversPerBucket is about how many servers a bucket holds. Servers are written by whole buckets.
const serversPerBucket = 64

// MaxBuckets bounds the number of buckets.
const MaxBuckets = 1 << 12

// bucketCount returns the number of buckets for a number of servers.
func bucketCount(servers int) int {
	n := max(1, (servers+serversPerBucket-1)/serversPerBucket)
	return min(MaxBuckets, 1<<bits.Len(uint(n-1)))
}

// BucketOf returns the bucket of a server.
func BucketOf(id string, buckets int) int { return int(xxhash.Sum64String(id) & uint64(buckets-1)) }

// New builds a State. Servers are those about which anything is known, fleet has the identities of all. It calls yield
// every few servers, as other goroutines may be waiting for the CPU that it runs on; yield may be nil.
func New(at Clock, agent string, memory choice.Memory, servers []Server, fleet []uint64, yield func()) State {
	if yield == nil {
		yield = func() {}
	}
	memory.Servers = nil
	memory.Classes = slices.Clone(memory.Classes)
	s := State{Shared: Shared{At: at, Agent: agent, Memory: memory, Fleet: slices.Sorted(slices.Values(fleet)),
		Buckets: bucketCount(len(fleet))}}
	s.Buckets = make([]Bucket, s.Shared.Buckets)
	for i := range s.Buckets {
		s.Buckets[i].At = at
	}
	for i := range servers {
		b := &s.Buckets[BucketOf(servers[i].ID, s.Shared.Buckets)]
		b.Servers = append(b.Servers, servers[i])
		if i%serversPerBucket == 0 {
			yield()
		}
	}
	for _, b := range s.Buckets {
		slices.SortFunc(b.Servers, func(x, y Server) int { return cmp.Compare(x.ID, y.ID) })
		yield()
	}
	return s
}

// Count returns the number of servers about which a State has data.
func (s State) Count() (n int) {
	for _, b := range s.Buckets {
		n += len(b.Servers)
	}
	return n
}

// Weights of differences between two states; 1 is the difference by one server that is new or no longer known.
const (
	weightCapacity = 1.0  // a capacity that doubled, halved, appeared or disappeared
	weightFailing  = 1.0  // a failure rate that changed by 1
	weightEjected  = 1.0  // a server that was ejected, or is no longer
	weightLatency  = 1.0  // a class whose usual time doubled or halved
	weightAddress  = 0.25 // a server that connects by another address
	weightFleet    = 0.5  // a server that was added to the list or removed from it
)

// ratioDistance returns by how many doublings two figures differ, 1 at most.
func ratioDistance(a, b float64) float64 {
	switch {
	case a == b:
		return 0
	case a <= 0 || b <= 0:
		return 1
	}
	return min(1, math.Abs(math.Log2(a/b)))
}

// BucketDistance returns how much a bucket differs from a later one, in units of one server.
func BucketDistance(old, now Bucket) (distance float64) {
	known := make(map[string]*Server, len(old.Servers))
	for i := range old.Servers {
		known[old.Servers[i].ID] = &old.Servers[i]
	}
	for i := range now.Servers {
		s := &now.Servers[i]
		before := known[s.ID]
		if before == nil || before.Identity != s.Identity {
			distance += weightCapacity
			continue
		}
		delete(known, s.ID)
		if before.Worked != s.Worked {
			distance += weightAddress
		}
		distance += weightCapacity*ratioDistance(before.Rate, s.Rate) + weightFailing*math.Abs(before.Failing-s.Failing)
		if before.Ejected != s.Ejected {
			distance += weightEjected
		}
	}
	return distance + weightCapacity*float64(len(known))
}

// SharedDistance returns how much the shared data differs from later data, in units of one server.
func SharedDistance(old, now Shared) (distance float64) {
	if old.Buckets != now.Buckets || old.Agent != now.Agent {
		return float64(len(now.Fleet)) + 1
	}
	for i, c := range now.Memory.Classes {
		if i >= len(old.Memory.Classes) || old.Memory.Classes[i].Name != c.Name {
			distance += weightLatency
			continue
		}
		distance += weightLatency * max(ratioDistance(float64(old.Memory.Classes[i].Usual), float64(c.Usual)),
			ratioDistance(float64(old.Memory.Classes[i].Least), float64(c.Least)))
	}
	distance += math.Abs(old.Memory.Lost-now.Memory.Lost) + math.Abs(old.Memory.ColdBad-now.Memory.ColdBad)
	return distance + weightFleet*float64(len(old.Fleet)+len(now.Fleet)-2*CountCommon(old.Fleet, now.Fleet))
}

// CountCommon returns the number of elements that two sorted lists have in common.
func CountCommon(a, b []uint64) (n int) {
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
