// Package recentids remembers the ids of calls that may have run, so that a call with the id of an earlier one is not run a second time. Ids are
// kept as hashes, for a limited time and number. The package does no I/O and reads no clock.
package recentids

import (
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// Retention is how long an id is remembered.
	Retention = 30 * time.Second
	// MaxIDs is the number of ids that are remembered; beyond it the oldest is forgotten.
	MaxIDs = 8192
)

// Hash is the hash of an id. It is the same in all processes and builds.
type Hash uint64

// HashOf returns the hash of an id.
func HashOf(id string) Hash { return Hash(xxhash.Sum64String(id)) }

// Set is a set of ids. All times are on one monotonic clock. The zero Set is empty. It is not safe for concurrent use.
type Set struct {
	until map[Hash]time.Duration // when an id is forgotten
	order []entry                // the oldest first
}

type entry struct {
	hash  Hash
	until time.Duration
}

// Add remembers an id from now on.
func (s *Set) Add(now time.Duration, h Hash) {
	if s.until == nil {
		s.until = map[Hash]time.Duration{}
	}
	s.until[h] = now + Retention
	s.order = append(s.order, entry{h, now + Retention})
	s.forget(now)
}

// forget drops ids that are too old or too many.
func (s *Set) forget(now time.Duration) {
	for len(s.order) > 0 && (s.order[0].until <= now || len(s.order) > MaxIDs) {
		oldest := s.order[0]
		s.order = s.order[1:]
		if s.until[oldest.hash] == oldest.until { // not added again since
			delete(s.until, oldest.hash)
		}
	}
}

// Contains reports whether an id is remembered.
func (s *Set) Contains(now time.Duration, h Hash) bool { return s.until[h] > now }

// Hashes returns the ids that are remembered, in no particular order.
func (s *Set) Hashes(now time.Duration) (all []Hash) {
	s.forget(now)
	for h := range s.until {
		all = append(all, h)
	}
	return all
}
