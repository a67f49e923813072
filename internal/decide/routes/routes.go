// Package routes decides which servers can take a call whose message has a certain shape (version of a message schema), and
// in which shape each of them is sent it: unchanged if the server accepts the call's shape, else translated if the table has
// a translation to a shape that the server accepts. It runs before the decision module, which selects among the capable
// servers: to the module, a shape is a capability, like a protocol.
//
// A server accepts the shapes that its entry in the server list states, except those that it has rejected as unknown. The
// package does no I/O and reads no clock.
package routes

import (
	"errors"
	"fmt"
	"slices"
	"strings"
	"time"

	"ternbeam/choice"
)

// Shape is a version of the message schema of a class of calls, in one protocol family.
type Shape struct {
	Name    string           // unique in its table
	Version string           // class/version, as in the server list
	Speaks  choice.Protocols // a server must speak at least one of them to be sent this shape
}

// Route describes how a call is sent to a server.
type Route struct {
	To       *Shape           // shape in which the call is sent
	Protocol choice.Protocols // over which it is sent, one bit
	Plan     any              // translation plan; nil if the call is sent unchanged
}

// translation is a translation from one shape to another.
type translation struct {
	to   int // index of the target shape
	plan any
}

// Table holds the shapes and the translations between them. It does not change once it is in use: a call keeps the table
// that it started with.
type Table struct {
	shapes       []Shape
	translations [][]translation // by the index of the source shape, in order of preference
}

// NewTable returns a Table with shapes and no translations.
func NewTable(shapes []Shape) *Table {
	return &Table{shapes: shapes, translations: make([][]translation, len(shapes))}
}

// AddTranslation adds a translation between two shapes, by name. If a shape has several, the first one whose target a server
// accepts is used. An error is returned if a shape does not exist.
func (t *Table) AddTranslation(from, to string, plan any) error {
	f, o := t.Index(from), t.Index(to)
	if f < 0 || o < 0 {
		return fmt.Errorf("routes: no shape %q or %q", from, to)
	}
	t.translations[f] = append(t.translations[f], translation{o, plan})
	return nil
}

// Index returns the index of a shape in the table, or -1.
func (t *Table) Index(name string) int {
	return slices.IndexFunc(t.shapes, func(s Shape) bool { return s.Name == name })
}

// CallShape is the shape in which a call was received. The zero value stands for a call without a shape.
type CallShape struct {
	Table *Table // the one in use when the call was received
	Shape int    // index in Table
	// Protocol is the client's protocol, one bit. To be sent unchanged, the call needs a server that speaks it.
	Protocol choice.Protocols
}

// IsSet reports whether the call has a shape.
func (t CallShape) IsSet() bool { return t.Table != nil }

// Settings configure for how long rejections are remembered.
type Settings struct {
	RejectionTTL    time.Duration // how long a server is not sent a shape after it has rejected it for the first time
	MaxRejectionTTL time.Duration // maximum of that, which doubles with each further rejection
}

// rejection records that a server has rejected a version as unknown.
type rejection struct {
	version string
	until   time.Duration // the version is not sent until then; 0 if it may be sent again
	wait    time.Duration // for how long the next rejection counts
}

// server is the state of a server.
type server struct {
	listed     choice.Server // its entry in the server list
	versions   []string      // class/version of the shapes in its entry
	rejections []rejection   // at most one per version
}

// Limits on the versions of a server, and the layout of the capability bits, which are assigned once per process.
const (
	MaxVersions = 64 // versions per server; further ones are ignored
	firstBit    = 16 // the bits below are protocols, but for noServer
	maxBits     = 64 - firstBit
	noServer    = 1 << (firstBit - 1) // a bit that no server has: a need of 0 would be met by all of them
)

// ErrTooManyShapes is returned if no capability bits are left for the shapes of a new table. Each pair of version and protocol
// takes two of the 48 bits, and keeps them until the process ends.
var ErrTooManyShapes = errors.New("routes: more than 24 pairs of shape version and protocol since the agent was started, restart it")

// capability is what a bit stands for: that a server can take calls of a version and client protocol.
type capability struct {
	version      string
	protocol     choice.Protocols
	untranslated bool // the server takes them unchanged; if false, unchanged or translated
}

// Router holds the table in use and the state of all servers. It is not safe for concurrent use.
type Router struct {
	settings Settings
	table    *Table
	bits     map[capability]choice.Protocols // the bit of each capability
	servers  map[string]*server
}

// New returns a Router without servers. It returns ErrTooManyShapes if the table has too many shapes.
func New(set Settings, t *Table) (*Router, error) {
	r := &Router{settings: set, bits: map[capability]choice.Protocols{}, servers: map[string]*server{}}
	return r, r.assignBits(t)
}

// splitProtocols returns the protocols of a set, one bit each.
func splitProtocols(set choice.Protocols) (all []choice.Protocols) {
	for ; set != 0; set &= set - 1 {
		all = append(all, set&-set)
	}
	return all
}

// assignBits sets the table and assigns bits to its new capabilities. Bits never change their meaning, as calls in flight
// refer to the ones assigned before.
func (r *Router) assignBits(t *Table) error {
	var added []capability
	seen := map[capability]bool{}
	for _, s := range t.shapes {
		for _, proto := range splitProtocols(s.Speaks) {
			for _, untranslated := range []bool{false, true} {
				c := capability{s.Version, proto, untranslated}
				if r.bits[c] == 0 && !seen[c] {
					added, seen[c] = append(added, c), true
				}
			}
		}
	}
	if len(r.bits)+len(added) > maxBits {
		return ErrTooManyShapes
	}
	for _, c := range added {
		r.bits[c] = 1 << (firstBit + len(r.bits))
	}
	r.table = t
	return nil
}

// ReplaceTable sets another table and returns the servers whose capabilities have changed, for the module. On error the old
// table stays in use.
func (r *Router) ReplaceTable(t *Table) ([]choice.Server, error) {
	before := r.advertiseAll()
	if err := r.assignBits(t); err != nil {
		return nil, err
	}
	return r.changedSince(before), nil
}

// Needs returns the bit of the capability that a server must have for a call: to take it unchanged if untranslated is set, else
// to take it unchanged or translated.
func (r *Router) Needs(t CallShape, untranslated bool) choice.Protocols {
	if bit := r.bits[capability{t.Table.shapes[t.Shape].Version, t.Protocol, untranslated}]; bit != 0 {
		return bit
	}
	return noServer
}

// UpdateServer records a server's entry in the server list and returns the server with its capabilities, for the module. If
// the server has restarted, or its protocols or shapes have changed, its rejections are forgotten.
func (r *Router) UpdateServer(s choice.Server, versions []string) choice.Server {
	if s.State == choice.Removed {
		r.RemoveServer(s.ID)
		return s
	}
	if len(versions) > MaxVersions {
		versions = versions[:MaxVersions]
	}
	old := r.servers[s.ID]
	if old == nil || old.listed.Started != s.Started || old.listed.Protocols != s.Protocols || !slices.Equal(old.versions, versions) {
		old = &server{versions: slices.Clone(versions)}
		r.servers[s.ID] = old
	}
	old.listed = s
	return r.advertise(old)
}

// RemoveServer deletes a server.
func (r *Router) RemoveServer(id string) { delete(r.servers, id) }

// advertise returns a server with its capabilities, as the module is to see it.
func (r *Router) advertise(s *server) choice.Server {
	out := s.listed
	for i := range r.table.shapes {
		shape := &r.table.shapes[i]
		accepted, translatable := r.accepts(s, shape), r.translatable(s, i)
		for _, proto := range splitProtocols(shape.Speaks) {
			untranslated := accepted && s.listed.Protocols&proto != 0
			if untranslated {
				out.Protocols |= r.bits[capability{shape.Version, proto, true}]
			}
			if untranslated || translatable {
				out.Protocols |= r.bits[capability{shape.Version, proto, false}]
			}
		}
	}
	return out
}

// translatable reports whether a call of a shape can be translated for a server.
func (r *Router) translatable(s *server, shape int) bool {
	return slices.ContainsFunc(r.table.translations[shape], func(tr translation) bool { return r.accepts(s, &r.table.shapes[tr.to]) })
}

// accepts reports whether a server accepts a shape: its entry lists the version, and the server has not rejected it. A server
// that has rejected all versions of the class in its entry was rolled back, or forward. As it checks what it receives, it can
// be sent other versions of the class, too; it rejects those that it does not know.
func (r *Router) accepts(s *server, shape *Shape) bool {
	if shape.Speaks&s.listed.Protocols == 0 || s.rejects(shape.Version) {
		return false
	}
	if slices.Contains(s.versions, shape.Version) {
		return true
	}
	class := className(shape.Version)
	rejected := false
	for _, v := range s.versions {
		if className(v) == class {
			if rejected = true; !s.rejects(v) {
				return false
			}
		}
	}
	return rejected
}

// rejects reports whether a server is not to be sent a version, as it has rejected it.
func (s *server) rejects(version string) bool {
	return slices.ContainsFunc(s.rejections, func(r rejection) bool { return r.version == version && r.until > 0 })
}

// className returns the class of a version.
func className(version string) string {
	name, _, _ := strings.Cut(version, "/")
	return name
}

// Route returns how a call is to be sent to a server at present; false if the server cannot take it. A call uses the
// translations of the table that it started with.
func (r *Router) Route(t CallShape, id string) (Route, bool) {
	s := r.servers[id]
	if s == nil {
		return Route{}, false
	}
	own := &t.Table.shapes[t.Shape]
	if s.listed.Protocols&t.Protocol != 0 && r.accepts(s, own) {
		return Route{To: own, Protocol: t.Protocol}, true
	}
	for _, tr := range t.Table.translations[t.Shape] {
		to := &t.Table.shapes[tr.to]
		if r.accepts(s, to) {
			speaks := to.Speaks & s.listed.Protocols
			if same := speaks & t.Protocol; same != 0 {
				speaks = same
			}
			return Route{To: to, Protocol: speaks & -speaks, Plan: tr.plan}, true
		}
	}
	return Route{}, false
}

// AnyUntranslated reports whether any ready server takes a call unchanged.
func (r *Router) AnyUntranslated(t CallShape) bool {
	needs := r.Needs(t, true)
	for _, s := range r.servers {
		if s.listed.State == choice.Ready && needs&^r.advertise(s).Protocols == 0 {
			return true
		}
	}
	return false
}

// MarkUnknown records that a server, started at the given time, has rejected a version as unknown. It returns the server if its
// capabilities have changed, for the module.
func (r *Router) MarkUnknown(now time.Duration, id string, started time.Duration, version string) []choice.Server {
	s := r.servers[id]
	if s == nil || s.listed.Started != started {
		return nil // the rejection is from before a restart
	}
	before := r.advertise(s)
	at := slices.IndexFunc(s.rejections, func(rej rejection) bool { return rej.version == version })
	if at < 0 {
		if len(s.rejections) == MaxVersions {
			return nil
		}
		s.rejections = append(s.rejections, rejection{version: version, wait: r.settings.RejectionTTL})
		at = len(s.rejections) - 1
	}
	rej := &s.rejections[at]
	if rej.until > 0 {
		return nil // already recorded: this call was in flight then
	}
	rej.until, rej.wait = now+rej.wait, min(2*rej.wait, r.settings.MaxRejectionTTL)
	if after := r.advertise(s); after != before {
		return []choice.Server{after}
	}
	return nil
}

// MarkKnown records that a server has served a call of a version. If the server rejects the version again later, that counts
// for Settings.RejectionTTL, as for the first time.
func (r *Router) MarkKnown(id string, version string) {
	s := r.servers[id]
	if s == nil || len(s.rejections) == 0 {
		return
	}
	s.rejections = slices.DeleteFunc(s.rejections, func(rej rejection) bool { return rej.version == version && rej.until == 0 })
}

// Expire ends the rejections that are due and returns the servers whose capabilities have changed, for the module.
func (r *Router) Expire(now time.Duration) (changed []choice.Server) {
	for _, s := range r.servers {
		before, due := choice.Server{}, false
		for i := range s.rejections {
			if rej := &s.rejections[i]; rej.until > 0 && rej.until <= now {
				if !due {
					before, due = r.advertise(s), true
				}
				rej.until = 0
			}
		}
		if due {
			if after := r.advertise(s); after != before {
				changed = append(changed, after)
			}
		}
	}
	slices.SortFunc(changed, byID)
	return changed
}

// NextExpiry returns when Expire has to be called next; any is false if no rejection is in effect.
func (r *Router) NextExpiry() (at time.Duration, any bool) {
	for _, s := range r.servers {
		for _, rej := range s.rejections {
			if rej.until > 0 && (!any || rej.until < at) {
				at, any = rej.until, true
			}
		}
	}
	return at, any
}

// advertiseAll returns all servers with their capabilities, by id.
func (r *Router) advertiseAll() map[string]choice.Server {
	servers := make(map[string]choice.Server, len(r.servers))
	for id, s := range r.servers {
		servers[id] = r.advertise(s)
	}
	return servers
}

// changedSince returns the servers whose capabilities differ from those in before, sorted by id.
func (r *Router) changedSince(before map[string]choice.Server) (changed []choice.Server) {
	for id, s := range r.servers {
		if now := r.advertise(s); now != before[id] {
			changed = append(changed, now)
		}
	}
	slices.SortFunc(changed, byID)
	return changed
}

// byID compares servers by id.
func byID(a, b choice.Server) int { return strings.Compare(a.ID, b.ID) }
