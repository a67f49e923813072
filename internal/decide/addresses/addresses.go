// Package addresses decides how to dial a server that has several addresses: which address to try first, when to try the
// next one in parallel (similar to Happy Eyeballs, RFC 8305), and for how long a failed address is tried last. Only dials
// race: one connection wins, and the caller closes all others. The package does no I/O and reads no clock.
package addresses

import (
	"cmp"
	"net/netip"
	"slices"
	"strings"
	"time"
)

// Kind classifies an address.
type Kind int

// The kinds.
const (
	Unix Kind = iota // path of a Unix socket
	IPv6
	IPv4     // including IPv4-mapped IPv6 addresses
	Hostname // a host name, resolved by the system
)

// unixPrefix precedes the path of a Unix socket in an address.
const unixPrefix = "unix:"

// Parse returns the kind of an address, and the network and target to pass to net.Dialer.
func Parse(addr string) (kind Kind, network, target string) {
	if path, ok := strings.CutPrefix(addr, unixPrefix); ok {
		return Unix, "unix", path
	}
	ap, err := netip.ParseAddrPort(addr)
	switch {
	case err != nil:
		return Hostname, "tcp", addr
	case ap.Addr().Unmap().Is4():
		return IPv4, "tcp", addr
	}
	return IPv6, "tcp", addr
}

// IsUnix reports whether an address is that of a Unix socket.
func IsUnix(addr string) bool { return strings.HasPrefix(addr, unixPrefix) }

// Settings configure a History and its races.
type Settings struct {
	Order    []Kind        // preferred kinds, the best first; kinds not listed come last
	Delay    time.Duration // after which the next address is dialed in parallel if none has connected yet
	Avoid    time.Duration // for which a failed address is tried last; doubles with each further failure
	MaxAvoid time.Duration // maximum of that
	Remember time.Duration // for which the address that connected last is tried first
	MaxDials int           // maximum number of parallel dials of one race
}

// Defaults are the default settings. The delay is the one that RFC 8305, section 5, recommends.
var Defaults = Settings{Order: []Kind{Unix, IPv6, IPv4}, Delay: 250 * time.Millisecond, Avoid: time.Second,
	MaxAvoid: time.Minute, Remember: 10 * time.Minute, MaxDials: 3}

// History records which addresses connected and which failed. It is not safe for concurrent use.
type History struct {
	settings Settings
	records  map[string]*record // by address
}

// record is the history of one address.
type record struct {
	connectedAt time.Duration // when it last connected; 0 for never, or if it has failed since
	failures    int           // consecutive failures
	avoidUntil  time.Duration // it is tried last until then
}

// maxRecords limits the number of addresses in a History.
const maxRecords = 1 << 16

// NewHistory returns an empty History.
func NewHistory(set Settings) *History { return &History{settings: set, records: map[string]*record{}} }

// RecordSuccess records that an address connected.
func (h *History) RecordSuccess(now time.Duration, addr string) {
	r := h.record(now, addr)
	r.connectedAt, r.failures, r.avoidUntil = now, 0, 0
}

// RecordFailure records that an address did not connect.
func (h *History) RecordFailure(now time.Duration, addr string) {
	r := h.record(now, addr)
	wait := h.settings.Avoid << min(r.failures, 20) // the 20 bounds the shift
	if wait > h.settings.MaxAvoid || wait <= 0 {    // at or below 0 it has overflowed
		wait = h.settings.MaxAvoid
	}
	r.failures++
	r.connectedAt, r.avoidUntil = 0, now+wait
}

// record returns the record of an address, and creates it if there is none.
func (h *History) record(now time.Duration, addr string) *record {
	r := h.records[addr]
	if r == nil {
		if len(h.records) >= maxRecords {
			h.sweep(now)
		}
		r = new(record)
		h.records[addr] = r
	}
	return r
}

// sweep deletes the records that no longer have an effect, or all records if that does not make room.
func (h *History) sweep(now time.Duration) {
	for addr, r := range h.records {
		if now >= r.avoidUntil && now-r.connectedAt >= h.settings.Remember {
			delete(h.records, addr)
		}
	}
	if len(h.records) >= maxRecords {
		clear(h.records)
	}
}

// Sorted returns the addresses in the order in which to try them: the one that connected last, then the others by kind, then
// those that failed recently, the one that is avoided for the shortest time first. No address is left out: if all of them
// failed, all are tried.
func (h *History) Sorted(now time.Duration, addrs []string) []string {
	all := slices.Clone(addrs)
	rank := func(addr string) (avoided bool, until, connectedAt time.Duration, kind int) {
		k, _, _ := Parse(addr)
		if kind = slices.Index(h.settings.Order, k); kind < 0 {
			kind = len(h.settings.Order) + int(k)
		}
		if r := h.records[addr]; r != nil {
			if now < r.avoidUntil {
				return true, r.avoidUntil, 0, kind
			}
			if r.connectedAt > 0 && now-r.connectedAt < h.settings.Remember {
				connectedAt = r.connectedAt
			}
		}
		return false, 0, connectedAt, kind
	}
	slices.SortStableFunc(all, func(x, y string) int {
		ax, ux, cx, kx := rank(x)
		ay, uy, cy, ky := rank(y)
		switch {
		case ax != ay && ax:
			return 1
		case ax != ay:
			return -1
		case ax:
			return cmp.Compare(ux, uy)
		}
		return cmp.Or(cmp.Compare(cy, cx), cmp.Compare(kx, ky))
	})
	return all
}

// LastConnected returns the address that connected last, if that is not longer ago than Settings.Remember; else "".
func (h *History) LastConnected(now time.Duration, addrs []string) (best string) {
	latest := time.Duration(0)
	for _, addr := range addrs {
		if r := h.records[addr]; r != nil && r.connectedAt > latest && now-r.connectedAt < h.settings.Remember {
			best, latest = addr, r.connectedAt
		}
	}
	return best
}

// Race is the dialing of one connection over several addresses. It is not safe for concurrent use.
type Race struct {
	history *History
	addrs   []string      // in the order in which to try them
	next    int           // index of the first address not tried yet
	dialing []string      // addresses being dialed
	nextAt  time.Duration // when the next address may be dialed in parallel
	won     bool          // a dial has connected
}

// NewRace starts a race over a server's addresses.
func (h *History) NewRace(now time.Duration, addrs []string) *Race {
	return &Race{history: h, addrs: h.Sorted(now, addrs), nextAt: now}
}

// Start returns the addresses to be dialed now: the first one at once, the next one when those before it have failed or have
// not connected within Settings.Delay. room is the number of parallel dials that are allowed in addition to the first.
func (r *Race) Start(now time.Duration, room int) (dial []string) {
	for !r.won && r.next < len(r.addrs) && (len(r.dialing) == 0 || now >= r.nextAt && len(r.dialing) < min(r.history.settings.MaxDials, 1+room)) {
		addr := r.addrs[r.next]
		r.next++
		r.dialing = append(r.dialing, addr)
		r.nextAt = now + r.history.settings.Delay
		dial = append(dial, addr)
	}
	return dial
}

// NextStart returns when Start may return more addresses; any is false if there will be none.
func (r *Race) NextStart() (at time.Duration, any bool) {
	return r.nextAt, !r.won && r.next < len(r.addrs)
}

// Connected records that a dial connected, and reports whether it wins the race. The caller must close a connection that
// does not.
func (r *Race) Connected(now time.Duration, addr string) (wins bool) {
	r.removeDialing(addr)
	r.history.RecordSuccess(now, addr)
	wins = !r.won
	r.won = true
	return wins
}

// Failed records that a dial failed by itself, and reports whether the race is lost: no address is left.
func (r *Race) Failed(now time.Duration, addr string) (lost bool) {
	r.removeDialing(addr)
	r.history.RecordFailure(now, addr)
	return !r.won && len(r.dialing) == 0 && r.next >= len(r.addrs)
}

// TimedOut ends the race because its time is over. The addresses still being dialed are recorded as failed.
func (r *Race) TimedOut(now time.Duration) {
	for _, addr := range r.dialing {
		r.history.RecordFailure(now, addr)
	}
	r.dialing, r.next = nil, len(r.addrs)
}

// removeDialing removes an address from those being dialed.
func (r *Race) removeDialing(addr string) {
	if i := slices.Index(r.dialing, addr); i >= 0 {
		r.dialing = slices.Delete(r.dialing, i, i+1)
	}
}

// The copies below let a model checker try several continuations of one state.

// Copy returns an equal History.
func (h *History) Copy() *History {
	dst := &History{settings: h.settings, records: make(map[string]*record, len(h.records))}
	for addr, r := range h.records {
		same := *r
		dst.records[addr] = &same
	}
	return dst
}

// Copy returns an equal Race that uses the given History, a copy of its own. The copy of a nil Race is nil.
func (r *Race) Copy(history *History) *Race {
	if r == nil {
		return nil
	}
	dst := *r
	dst.history, dst.dialing = history, slices.Clone(r.dialing)
	return &dst
}

// Dialing returns the addresses being dialed, in the order in which their dials were started.
func (r *Race) Dialing() []string { return r.dialing }
