// Package routes decides which servers can take a call that is worded in some shape, and in which shape each is sent it:
// as it came where the server takes that, translated where the table has a way to a shape that it takes. It stands in
// front of the decision module, which draws among the servers that can: a shape is a capability there, like a protocol.
//
// What a server takes is what its entry in the list says, less what it has said not to know. It does no I/O and reads no
// clock.
package routes

import (
	"errors"
	"fmt"
	"slices"
	"strings"
	"time"

	"ternbeam/choice"
)

// Shape is a version of a class's messages in one protocol.
type Shape struct {
	Name    string
	Version string           // with its class, as the list names it: class/version
	Speaks  choice.Protocols // a server speaks one of them at least to be sent it
}

// Way is how a call reaches a server.
type Way struct {
	To       *Shape // in which it is sent
	Protocol choice.Protocols
	Plan     any // that translates it; nil where it is sent as it came
}

// link is a way from one shape to another.
type link struct {
	to   int
	plan any
}

// Table is what shapes there are and which become which. It does not change: calls keep the one that they began with.
type Table struct {
	shapes []Shape
	links  [][]link
}

// NewTable returns a Table over shapes, none of which has a way to another yet.
func NewTable(shapes []Shape) *Table {
	return &Table{shapes: shapes, links: make([][]link, len(shapes))}
}

// Link adds a way. Of several from one shape the first that fits a server is taken.
func (t *Table) Link(from, to string, plan any) error {
	f, o := t.Index(from), t.Index(to)
	if f < 0 || o < 0 {
		return fmt.Errorf("routes: no shape %q or %q", from, to)
	}
	t.links[f] = append(t.links[f], link{o, plan})
	return nil
}

// Index is the place of a shape in the table, or -1.
func (t *Table) Index(name string) int {
	return slices.IndexFunc(t.shapes, func(s Shape) bool { return s.Name == name })
}

// Tag says in which shape a call came. The zero Tag is that of a call without one.
type Tag struct {
	Table *Table
	Shape int
	// Spoken is the protocol that the client speaks, one bit: sent as it came, a call needs a server that speaks it.
	Spoken choice.Protocols
}

// Set reports whether the call has a shape.
func (t Tag) Set() bool { return t.Table != nil }

// Settings bound what is learned.
type Settings struct {
	Forget     time.Duration // how long a server that does not know a shape is not sent it, at first
	MostForget time.Duration // it doubles up to this
}

// mark is what a server has said not to know.
type mark struct {
	version string
	until   time.Duration
	wait    time.Duration // of the next time
}

// server is what is known of one.
type server struct {
	listed   choice.Server // as the list has it
	versions []string
	marks    []mark // one for each version at the most
}

// Bounds of what the list may say of a server, and of the capabilities of a process's life.
const (
	MostVersions = 64
	firstBit     = 16 // those before are the protocols'
	mostBits     = 64 - firstBit
	nobody       = 1 << (firstBit - 1) // what no server can: a need of 0 would be one that all fulfil
)

// ErrBits says that a new table has shapes that no capability is left for.
var ErrBits = errors.New("routes: shapes beyond the 24 that an agent may see in its life, restart it")

// capability is what a bit stands for: taking a shape in a protocol, as it comes or translated.
type capability struct {
	version string
	spoken  choice.Protocols
	exact   bool
}

// Routes is what is known of all servers. It is not safe for concurrent use.
type Routes struct {
	set     Settings
	table   *Table
	bits    map[capability]choice.Protocols
	servers map[string]*server
}

// New returns a Routes that knows no server.
func New(set Settings, t *Table) (*Routes, error) {
	r := &Routes{set: set, bits: map[capability]choice.Protocols{}, servers: map[string]*server{}}
	return r, r.allot(t)
}

// protocols are the single ones of a set.
func protocols(set choice.Protocols) (all []choice.Protocols) {
	for ; set != 0; set &= set - 1 {
		all = append(all, set&-set)
	}
	return all
}

// allot takes a table and gives bits to what is new in it. They keep their meaning for good: calls that are out were given
// some before.
func (r *Routes) allot(t *Table) error {
	var fresh []capability
	seen := map[capability]bool{}
	for _, s := range t.shapes {
		for _, spoken := range protocols(s.Speaks) {
			for _, exact := range []bool{false, true} {
				c := capability{s.Version, spoken, exact}
				if r.bits[c] == 0 && !seen[c] {
					fresh, seen[c] = append(fresh, c), true
				}
			}
		}
	}
	if len(r.bits)+len(fresh) > mostBits {
		return ErrBits
	}
	for _, c := range fresh {
		r.bits[c] = 1 << (firstBit + len(r.bits))
	}
	r.table = t
	return nil
}

// Replace takes another table and returns what the module must be told of servers.
func (r *Routes) Replace(t *Table) ([]choice.Server, error) {
	before := r.all()
	if err := r.allot(t); err != nil {
		return nil, err
	}
	return r.changed(before), nil
}

// Needs is what the module must ask of a server for a call: all that can take it, or only those that take it as it came.
func (r *Routes) Needs(t Tag, exact bool) choice.Protocols {
	if bit := r.bits[capability{t.Table.shapes[t.Shape].Version, t.Spoken, exact}]; bit != 0 {
		return bit
	}
	return nobody
}

// Listed takes what the list says of a server and returns what the module is told of it. A restart, another protocol and
// another word of the list on its shapes end what was learned of it.
func (r *Routes) Listed(s choice.Server, versions []string) choice.Server {
	if s.State == choice.Gone {
		r.Gone(s.ID)
		return s
	}
	if len(versions) > MostVersions {
		versions = versions[:MostVersions]
	}
	old := r.servers[s.ID]
	if old == nil || old.listed.Started != s.Started || old.listed.Speaks != s.Speaks || !slices.Equal(old.versions, versions) {
		old = &server{versions: slices.Clone(versions)}
		r.servers[s.ID] = old
	}
	old.listed = s
	return r.told(old)
}

// Gone forgets a server.
func (r *Routes) Gone(id string) { delete(r.servers, id) }

// told is what the module is told of a server.
func (r *Routes) told(s *server) choice.Server {
	out := s.listed
	for i := range r.table.shapes {
		shape := &r.table.shapes[i]
		takes, linked := r.takes(s, shape), r.linked(s, i)
		for _, spoken := range protocols(shape.Speaks) {
			exact := takes && s.listed.Speaks&spoken != 0
			if exact {
				out.Speaks |= r.bits[capability{shape.Version, spoken, true}]
			}
			if exact || linked {
				out.Speaks |= r.bits[capability{shape.Version, spoken, false}]
			}
		}
	}
	return out
}

// linked reports whether a call of a shape can be translated for a server.
func (r *Routes) linked(s *server, shape int) bool {
	return slices.ContainsFunc(r.table.links[shape], func(l link) bool { return r.takes(s, &r.table.shapes[l.to]) })
}

// takes reports whether a server takes a shape: the list says so and it has not said otherwise. One that has said not to
// know what the list says of it was rolled back, or forward: it looks at what it gets, so that it can be tried with other
// versions of the class. It will say so again where it does not know them.
func (r *Routes) takes(s *server, shape *Shape) bool {
	if shape.Speaks&s.listed.Speaks == 0 || s.marked(shape.Version) {
		return false
	}
	if slices.Contains(s.versions, shape.Version) {
		return true
	}
	of := class(shape.Version)
	said := false
	for _, v := range s.versions {
		if class(v) == of {
			if said = true; !s.marked(v) {
				return false
			}
		}
	}
	return said
}

func (s *server) marked(version string) bool {
	return slices.ContainsFunc(s.marks, func(m mark) bool { return m.version == version && m.until > 0 })
}

// class is that of a version.
func class(version string) string {
	name, _, _ := strings.Cut(version, "/")
	return name
}

// Way is how a call reaches a server at present. Calls of an older table keep to that one's ways.
func (r *Routes) Way(t Tag, id string) (Way, bool) {
	s := r.servers[id]
	if s == nil {
		return Way{}, false
	}
	own := &t.Table.shapes[t.Shape]
	if s.listed.Speaks&t.Spoken != 0 && r.takes(s, own) {
		return Way{To: own, Protocol: t.Spoken}, true
	}
	for _, l := range t.Table.links[t.Shape] {
		to := &t.Table.shapes[l.to]
		if r.takes(s, to) {
			speaks := to.Speaks & s.listed.Speaks
			if same := speaks & t.Spoken; same != 0 {
				speaks = same
			}
			return Way{To: to, Protocol: speaks & -speaks, Plan: l.plan}, true
		}
	}
	return Way{}, false
}

// AsItCame reports whether any server takes a call as it came.
func (r *Routes) AsItCame(t Tag) bool {
	needs := r.Needs(t, true)
	for _, s := range r.servers {
		if s.listed.State == choice.Ready && needs&^r.told(s).Speaks == 0 {
			return true
		}
	}
	return false
}

// Unknown takes a server's word that it does not know a shape, as one that started then. It returns what the module must
// be told.
func (r *Routes) Unknown(now time.Duration, id string, started time.Duration, version string) []choice.Server {
	s := r.servers[id]
	if s == nil || s.listed.Started != started {
		return nil // of an earlier life
	}
	before := r.told(s)
	at := slices.IndexFunc(s.marks, func(m mark) bool { return m.version == version })
	if at < 0 {
		if len(s.marks) == MostVersions {
			return nil
		}
		s.marks = append(s.marks, mark{version: version, wait: r.set.Forget})
		at = len(s.marks) - 1
	}
	m := &s.marks[at]
	if m.until > 0 {
		return nil // known already: calls were on their way
	}
	m.until, m.wait = now+m.wait, min(2*m.wait, r.set.MostForget)
	if after := r.told(s); after != before {
		return []choice.Server{after}
	}
	return nil
}

// Knew takes a served answer: the server knows the shape. One that knew it of late and says otherwise is not held to an
// old wait.
func (r *Routes) Knew(id string, version string) {
	s := r.servers[id]
	if s == nil || len(s.marks) == 0 {
		return
	}
	s.marks = slices.DeleteFunc(s.marks, func(m mark) bool { return m.version == version && m.until == 0 })
}

// Expire forgets what is due and returns what the module must be told.
func (r *Routes) Expire(now time.Duration) (changed []choice.Server) {
	for _, s := range r.servers {
		before, due := choice.Server{}, false
		for i := range s.marks {
			if m := &s.marks[i]; m.until > 0 && m.until <= now {
				if !due {
					before, due = r.told(s), true
				}
				m.until = 0
			}
		}
		if due {
			if after := r.told(s); after != before {
				changed = append(changed, after)
			}
		}
	}
	slices.SortFunc(changed, byID)
	return changed
}

// Next is when something is due to be forgotten; false where nothing is.
func (r *Routes) Next() (at time.Duration, any bool) {
	for _, s := range r.servers {
		for _, m := range s.marks {
			if m.until > 0 && (!any || m.until < at) {
				at, any = m.until, true
			}
		}
	}
	return at, any
}

func (r *Routes) all() map[string]choice.Server {
	told := make(map[string]choice.Server, len(r.servers))
	for id, s := range r.servers {
		told[id] = r.told(s)
	}
	return told
}

func (r *Routes) changed(before map[string]choice.Server) (changed []choice.Server) {
	for id, s := range r.servers {
		if now := r.told(s); now != before[id] {
			changed = append(changed, now)
		}
	}
	slices.SortFunc(changed, byID)
	return changed
}

func byID(a, b choice.Server) int { return strings.Compare(a.ID, b.ID) }
