package lifecycle

import (
	"slices"
	"time"
)

const (
	// IdentityDoubt is how long a server may be another process than the one that the list names, after a connection to it was lost: the list
	// tells of a process that has ended without a word up to 14 s later.
	IdentityDoubt = 15 * time.Second

	// ListingDelay is how long a process may be up at an address before the list names it there: 2.5 s at most, and the way of the list.
	ListingDelay = 3 * time.Second
)

// Identity tracks whether the process at a server's address is still the one that the list names. A process that ends loses all its connections,
// and another one may come up at its address before the list says so. A connection that was opened before others were lost, and is open, shows
// that the process is still there. All times are on one monotonic clock. The zero Identity has lost nothing. It is not safe for concurrent use.
type Identity struct {
	lost   bool
	lostAt time.Duration
}

// ConnectionLost records that a connection to the server was lost or refused.
func (i *Identity) ConnectionLost(now time.Duration) { i.lost, i.lostAt = true, now }

// Evidence is what tells which process a connection to a server leads to.
type Evidence struct {
	ListingDelay        time.Duration   // the constant, but for tests
	ListCurrentAt       time.Duration   // the list as it was at this time is known
	KnownSince          time.Duration   // since when the process has been there at least, by connections that were open at the same time
	AddressLastSharedAt time.Duration   // see Server
	OpenedAt            []time.Duration // when the connections to the server that are open were opened
}

// IsCertain reports whether the process that a connection leads to is certain to be the one that the list names.
func (i *Identity) IsCertain(e Evidence) bool {
	switch {
	case e.ListCurrentAt-e.KnownSince < e.ListingDelay: // another process need not be listed yet
		return false
	case e.AddressLastSharedAt > 0 && e.ListCurrentAt-e.AddressLastSharedAt < IdentityDoubt: // one of the two has ended, and the list does not say which
		return false
	case !i.lost || e.ListCurrentAt-i.lostAt >= IdentityDoubt:
		return true
	}
	return slices.ContainsFunc(e.OpenedAt, func(at time.Duration) bool { return at < i.lostAt })
}
