// Package addresses decides how a server that has several addresses is dialled: which address first, when the next one
// beside it (in the manner of RFC 8305), and how long one that failed is put last. Only dials race: a race has one winner
// and closes every other connection. It does no I/O and reads no clock.
package addresses

import (
	"cmp"
	"net/netip"
	"slices"
	"strings"
	"time"
)

// Kind is a kind of address.
type Kind int

// The kinds.
const (
	Unix Kind = iota
	IPv6
	IPv4
	Name // that is resolved by the system
)

const unixPrefix = "unix:"

// Of is the kind of an address, and how it is dialled.
func Of(addr string) (kind Kind, network, target string) {
	if path, ok := strings.CutPrefix(addr, unixPrefix); ok {
		return Unix, "unix", path
	}
	ap, err := netip.ParseAddrPort(addr)
	switch {
	case err != nil:
		return Name, "tcp", addr
	case ap.Addr().Unmap().Is4():
		return IPv4, "tcp", addr
	}
	return IPv6, "tcp", addr
}

// IsUnix reports whether an address is the path of a Unix socket.
func IsUnix(addr string) bool { return strings.HasPrefix(addr, unixPrefix) }

// Settings say how addresses are tried.
type Settings struct {
	Order     []Kind        // the kinds, the best first; those that are not named come last
	Delay     time.Duration // after which the next address is tried beside one that has not connected yet
	Avoid     time.Duration // for which an address that failed is put last; it doubles with each further failure
	MostAvoid time.Duration
	Remember  time.Duration // for which the address that worked last goes first
	Most      int           // dials of one race at a time
}

// Defaults are the settings where none are given; the delay is RFC 8305's (section 5).
var Defaults = Settings{Order: []Kind{Unix, IPv6, IPv4}, Delay: 250 * time.Millisecond, Avoid: time.Second,
	MostAvoid: time.Minute, Remember: 10 * time.Minute, Most: 3}

// Book remembers how addresses fared. It is not safe for concurrent use.
type Book struct {
	set   Settings
	known map[string]*record // by address
}

type record struct {
	worked time.Duration // when it connected last; 0 for never
	fails  int           // since then
	until  time.Duration // it is put last till then
}

// maxKnown bounds what is remembered.
const maxKnown = 1 << 16

// NewBook returns a Book that knows nothing.
func NewBook(set Settings) *Book { return &Book{set: set, known: map[string]*record{}} }

// Worked notes that an address connected.
func (b *Book) Worked(now time.Duration, addr string) {
	r := b.record(now, addr)
	r.worked, r.fails, r.until = now, 0, 0
}

// Failed notes that an address did not connect.
func (b *Book) Failed(now time.Duration, addr string) {
	r := b.record(now, addr)
	wait := b.set.Avoid << min(r.fails, 20)
	if wait > b.set.MostAvoid || wait <= 0 {
		wait = b.set.MostAvoid
	}
	r.fails++
	r.worked, r.until = 0, now+wait
}

func (b *Book) record(now time.Duration, addr string) *record {
	r := b.known[addr]
	if r == nil {
		if len(b.known) >= maxKnown {
			b.sweep(now)
		}
		r = new(record)
		b.known[addr] = r
	}
	return r
}

// sweep forgets what says nothing any more, or everything where that is not enough.
func (b *Book) sweep(now time.Duration) {
	for addr, r := range b.known {
		if now >= r.until && now-r.worked >= b.set.Remember {
			delete(b.known, addr)
		}
	}
	if len(b.known) >= maxKnown {
		clear(b.known)
	}
}

// Order lists addresses as they are to be tried: the one that worked last, then by kinds, then those that failed lately,
// the one that is avoided the shortest first. None is left out: where all failed, all are tried.
func (b *Book) Order(now time.Duration, addrs []string) []string {
	all := slices.Clone(addrs)
	rank := func(addr string) (avoided bool, until, worked time.Duration, kind int) {
		k, _, _ := Of(addr)
		if kind = slices.Index(b.set.Order, k); kind < 0 {
			kind = len(b.set.Order) + int(k)
		}
		if r := b.known[addr]; r != nil {
			if now < r.until {
				return true, r.until, 0, kind
			}
			if r.worked > 0 && now-r.worked < b.set.Remember {
				worked = r.worked
			}
		}
		return false, 0, worked, kind
	}
	slices.SortStableFunc(all, func(x, y string) int {
		ax, ux, wx, kx := rank(x)
		ay, uy, wy, ky := rank(y)
		switch {
		case ax != ay && ax:
			return 1
		case ax != ay:
			return -1
		case ax:
			return cmp.Compare(ux, uy)
		}
		return cmp.Or(cmp.Compare(wy, wx), cmp.Compare(kx, ky))
	})
	return all
}

// Best returns the address that connected last and is remembered; empty for none.
func (b *Book) Best(now time.Duration, addrs []string) (best string) {
	latest := time.Duration(0)
	for _, addr := range addrs {
		if r := b.known[addr]; r != nil && r.worked > latest && now-r.worked < b.set.Remember {
			best, latest = addr, r.worked
		}
	}
	return best
}

// Race is the dialling of one connection. It is not safe for concurrent use.
type Race struct {
	book  *Book
	addrs []string // in their order
	next  int      // the first that was not tried
	out   []string // that are being dialled
	due   time.Duration
	won   bool
}

// Race begins a race over a server's addresses.
func (b *Book) Race(now time.Duration, addrs []string) *Race {
	return &Race{book: b, addrs: b.Order(now, addrs), due: now}
}

// Start lists the addresses to be dialled now: the first at once, the next one when those before it have failed, or have
// not connected for a while. Room is how many further dials there may be at a time beside the first.
func (r *Race) Start(now time.Duration, room int) (dial []string) {
	for !r.won && r.next < len(r.addrs) && (len(r.out) == 0 || now >= r.due && len(r.out) < min(r.book.set.Most, 1+room)) {
		addr := r.addrs[r.next]
		r.next++
		r.out = append(r.out, addr)
		r.due = now + r.book.set.Delay
		dial = append(dial, addr)
	}
	return dial
}

// Due is when Start may have more, if it may.
func (r *Race) Due() (at time.Duration, any bool) {
	return r.due, !r.won && r.next < len(r.addrs)
}

// Connected takes the news that a dial connected, and reports whether it is the winner. One that is not must be closed.
func (r *Race) Connected(now time.Duration, addr string) (wins bool) {
	r.end(addr)
	r.book.Worked(now, addr)
	wins = !r.won
	r.won = true
	return wins
}

// Failed takes the news that a dial failed by itself, and reports whether the race is lost: none is left.
func (r *Race) Failed(now time.Duration, addr string) (lost bool) {
	r.end(addr)
	r.book.Failed(now, addr)
	return !r.won && len(r.out) == 0 && r.next >= len(r.addrs)
}

// GaveUp says that the time is over: what has not connected by then counts as failed, as far as it was tried for as long as
// the next one waits for.
func (r *Race) GaveUp(now time.Duration) {
	for _, addr := range r.out {
		r.book.Failed(now, addr)
	}
	r.out, r.next = nil, len(r.addrs)
}

func (r *Race) end(addr string) {
	if i := slices.Index(r.out, addr); i >= 0 {
		r.out = slices.Delete(r.out, i, i+1)
	}
}

// Copies are how an explorer tries what may come next from one state, several times.

// Copy returns an equal Book.
func (b *Book) Copy() *Book {
	twin := &Book{set: b.set, known: make(map[string]*record, len(b.known))}
	for addr, r := range b.known {
		same := *r
		twin.known[addr] = &same
	}
	return twin
}

// Copy returns an equal Race over an equal Book; nil is its own.
func (r *Race) Copy(book *Book) *Race {
	if r == nil {
		return nil
	}
	twin := *r
	twin.book, twin.out = book, slices.Clone(r.out)
	return &twin
}

// Out lists the addresses that are being dialled, in the order in which that was begun.
func (r *Race) Out() []string { return r.out }
