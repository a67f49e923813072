// Package membership makes one list of servers of what several sources say, with a rule for each way in which they may
// disagree. It does no I/O and reads no clock: reports go in with the time, changes of the list come out. What a change
// costs follows its size, not the fleet's. docs/design/membership.md has the table of rules.
package membership

import (
	"container/heap"
	"fmt"
	"slices"
	"time"

	"ternbeam/choice"
	"ternbeam/internal/decide/ledger"
)

// Rule names the row of the table that decided a server's state.
type Rule int

// The rows.
const (
	Agreed     Rule = iota // all that name it say the same
	Alone                  // one source names it, the others never did
	Drained                // a source says that it drains: no new work, whatever others say
	Withdrawn              // a source that named it says that it is gone, or names it no more
	LastWord               // those that name it lost their word, and nobody else has one
	Lapsed                 // those that name it lost their word, and somebody else has one
	Guarded                // a source named it no more together with too many others: that waits
	Contradict             // a source named it no more while its word before still held: that waits
	ClosedTier             // there is enough of better tiers
	Ramping                // its tier opens, and its turn has not come
)

var ruleNames = [...]string{"agreed", "alone", "drained", "withdrawn", "last word", "lapsed", "guarded", "contradicts itself",
	"closed tier", "ramping"}

func (r Rule) String() string { return ruleNames[r] }

// Source is a source of servers. The order of sources is that in which their facts count.
type Source struct {
	Name   string
	Hold   time.Duration // how long its word counts once it is out of reach or its lifetime is over
	Absent bool          // a server that a whole report does not name any more is gone
	Guard  bool          // it may not take away too much at once
}

// Settings are what a Set is made of.
type Settings struct {
	Sources    []Source
	GuardShare float64       // of the servers that a source names: so many it may take away at once
	GuardLeast int           // so many it always may
	GuardWait  time.Duration // after which more goes all the same
	Forget     time.Duration // how long it is remembered that a source withdrew a server
	OpenBelow  float64       // share of what the best tiers once had below which the next one opens
	CloseAbove float64       // and above which it closes
	Calm       time.Duration // for which it must have been above
	RampStep   time.Duration // between two parts of a tier that opens
	RampParts  int
}

// Defaults are the settings, but for the sources.
var Defaults = Settings{GuardShare: 0.5, GuardLeast: 1, GuardWait: 30 * time.Second, Forget: 10 * time.Minute, OpenBelow: 0.5,
	CloseAbove: 0.8, Calm: 30 * time.Second, RampStep: 2 * time.Second, RampParts: 4}

// Claim is what a source says of a server.
type Claim struct {
	Key     string   // of the server in its source
	ID      string   // over all sources; empty where the source knows none
	Addrs   []string // in the order in which they are to be tried
	State   choice.State
	Tiered  bool    // the source has tiers
	Tier    int     // the least is the best
	Weight  float64 // 0 is a weight, too
	Details bool    // what follows is said
	Zone    int
	Cell    int
	Started time.Duration
	Speaks  choice.Protocols
	Multi   bool
	Shapes  []string // class/version of those that it takes
}

// same reports whether two claims say the same.
func (c *Claim) same(o *Claim) bool {
	return slices.Equal(c.Addrs, o.Addrs) && slices.Equal(c.Shapes, o.Shapes) && c.Key == o.Key && c.ID == o.ID &&
		c.State == o.State && c.Tiered == o.Tiered && c.Tier == o.Tier && c.Weight == o.Weight && c.Details == o.Details &&
		c.Zone == o.Zone && c.Cell == o.Cell && c.Started == o.Started && c.Speaks == o.Speaks && c.Multi == o.Multi
}

// Report is what a source says at some time.
type Report struct {
	Source  int
	Full    bool  // all that it knows, not only what changed
	Version int64 // 0 where the source has none
	Claims  []Claim
	Until   time.Duration // when its word lapses, on the clock of the events; 0 for never
}

// Set is the servers by all sources. It is not safe for concurrent use.
type Set struct {
	set     Settings
	now     time.Duration
	sources []*source
	byID    map[string]*member
	byAddr  map[string]*member
	timers  timers
	touched []*member
	changes []ledger.Entry
	tiers   tiers
	tiered  bool // a source has named a tier
	best    int  // the best that any ever named: what a server is in of which nobody names one
}

// maxClaims bounds what one source may name.
const maxClaims = 1 << 17

type source struct {
	Source
	claims  map[string]*claim
	version int64
	older   time.Duration // since when it comes with an older version; 0 for not
	until   time.Duration // when its word lapses
	lost    time.Duration // since when it is out of reach; 0 for not
	spoke   bool          // it ever did
	dead    bool          // its word does not count any more
}

// claim is a claim in force, or what is left of one.
type claim struct {
	Claim
	source *source
	member *member
	since  time.Duration // when it was last said anew
	leaves time.Duration // when it is taken as gone, if it is not named again; 0 for not
	why    Rule          // it has to wait for that
	gone   bool          // it was withdrawn; kept so that nobody else's older word brings the server back
}

// member is one server.
type member struct {
	id      string
	claims  []*claim // by source, several of one where it has several names there
	addrs   []string // under which it is found
	touched bool
	removed bool
	view    view
	first   time.Duration // when it was first named
	late    bool          // after its source had spoken before: it may have just started
	tier    *tier
	place   int // in its tier, in the order of naming
}

// view is what is said of a member.
type view struct {
	entry ledger.Entry
	known bool // it was said
	tier  int
	rule  Rule
	ready bool // but for its tier
}

// New returns a Set without servers.
func New(set Settings) *Set {
	s := &Set{set: set, byID: map[string]*member{}, byAddr: map[string]*member{}}
	for _, src := range set.Sources {
		s.sources = append(s.sources, &source{Source: src, claims: map[string]*claim{}})
	}
	s.tiers.init(s)
	return s
}

// begin opens the handling of something that has happened.
func (s *Set) begin(now time.Duration) {
	s.now, s.changes = max(now, s.now), s.changes[:0]
	s.expire()
}

// end settles what was touched and returns the changes, which hold until the next call.
func (s *Set) end() []ledger.Entry {
	for i := 0; i < len(s.touched); i++ {
		m := s.touched[i]
		m.touched = false
		s.settle(m)
	}
	s.touched = s.touched[:0]
	s.tiers.settle()
	return s.changes
}

func (s *Set) touch(m *member) {
	if !m.touched {
		m.touched = true
		s.touched = append(s.touched, m)
	}
}

// Report takes a source's word.
func (s *Set) Report(now time.Duration, r Report) []ledger.Entry {
	s.begin(now)
	src := s.sources[r.Source]
	older := r.Version != 0 && r.Version < src.version
	if older && src.older == 0 {
		src.older = s.now
	}
	if older && s.now-src.older < s.set.GuardWait {
		s.drains(src, r) // an older word takes nothing back and brings nothing, but what drains does
		s.at(src.older+s.set.GuardWait, nil)
		return s.end()
	}
	src.older, src.version = 0, r.Version
	held := src.until // till when the word before holds
	first := !src.spoke
	src.spoke, src.lost, src.until = true, 0, r.Until
	if src.dead {
		src.dead = false
		s.touchAll(src)
	}
	if r.Until > 0 {
		s.at(r.Until, nil)
	}
	var leave []*claim
	named := make(map[string]bool, len(r.Claims))
	for i := range r.Claims {
		c := &r.Claims[i]
		if c.Key == "" || len(c.Addrs) == 0 && c.State != choice.Gone {
			continue
		}
		named[c.Key] = true
		if c.State == choice.Gone {
			if old := src.claims[c.Key]; old != nil && !old.gone {
				leave = append(leave, old)
			}
			continue
		}
		s.claim(src, *c, first)
	}
	if r.Full && src.Absent {
		for key, c := range src.claims {
			if !named[key] && !c.gone {
				leave = append(leave, c)
			}
		}
	}
	s.leave(src, leave, held)
	return s.end()
}

// drains takes what a report says of drains, and nothing else.
func (s *Set) drains(src *source, r Report) {
	for _, c := range r.Claims {
		if old := src.claims[c.Key]; old != nil && c.State == choice.Draining && old.State != choice.Draining {
			old.State, old.since = choice.Draining, s.now
			s.touch(old.member)
		}
	}
}

// Lost takes the news that a source is out of reach. Its word counts for a while.
func (s *Set) Lost(now time.Duration, source int) []ledger.Entry {
	s.begin(now)
	if src := s.sources[source]; src.lost == 0 {
		src.lost = s.now
		s.at(s.now+src.Hold, nil)
	}
	return s.end()
}

// Tick lets time pass.
func (s *Set) Tick(now time.Duration) []ledger.Entry {
	s.begin(now)
	return s.end()
}

// Next is when time must pass at the latest, if anything waits for it.
func (s *Set) Next() (at time.Duration, any bool) {
	if len(s.timers) == 0 {
		return 0, false
	}
	return s.timers[0].at, true
}

// claim takes what a source says of one server.
func (s *Set) claim(src *source, c Claim, first bool) {
	old := src.claims[c.Key]
	if old == nil && len(src.claims) >= maxClaims {
		return
	}
	if c.Tiered && (!s.tiered || c.Tier < s.best) {
		s.tiered, s.best = true, c.Tier
		for _, o := range s.sources {
			s.touchAll(o)
		}
	}
	if old != nil && old.ID == c.ID {
		changed := old.gone || old.leaves > 0 || !old.same(&c)
		if old.gone || !old.same(&c) {
			old.since = s.now
		}
		old.gone, old.leaves = false, 0
		if addrs := old.Addrs; !slices.Equal(addrs, c.Addrs) {
			old.Claim = c
			s.index(old.member)
		}
		old.Claim = c
		if changed {
			s.touch(old.member)
		}
		return
	}
	if old != nil { // under this key the source names another server now
		s.drop(old)
	}
	m := s.find(src, &c)
	if m == nil {
		id := c.ID
		if id == "" {
			id = src.Name + "/" + c.Key
		}
		m = &member{id: id, first: s.now, late: !first}
		s.byID[id] = m
	}
	n := &claim{Claim: c, source: src, member: m, since: s.now}
	src.claims[c.Key] = n
	m.claims = append(m.claims, n)
	slices.SortStableFunc(m.claims, func(a, b *claim) int { return s.rank(a) - s.rank(b) })
	s.index(m)
	s.touch(m)
}

func (s *Set) rank(c *claim) int { return slices.Index(s.sources, c.source) }

// find is the member that a claim is about: by its id, or by an address under which another source names one. Of one
// source with ids, two ids are two servers even at one address.
func (s *Set) find(src *source, c *Claim) *member {
	if c.ID != "" {
		if m := s.byID[c.ID]; m != nil {
			return m
		}
	}
	for _, a := range c.Addrs {
		m := s.byAddr[a]
		if m == nil {
			continue
		}
		other := func(o *claim) bool { return o.source == src && o.ID != "" && c.ID != "" && o.ID != c.ID }
		named := func(o *claim) bool { return o.ID != "" && c.ID != "" && o.ID != c.ID }
		if !slices.ContainsFunc(m.claims, other) && !slices.ContainsFunc(m.claims, named) {
			return m
		}
	}
	return nil
}

// index lets a member be found under its addresses.
func (s *Set) index(m *member) {
	for _, a := range m.addrs {
		if s.byAddr[a] == m {
			delete(s.byAddr, a)
		}
	}
	m.addrs = m.addrs[:0]
	for _, c := range m.claims {
		for _, a := range c.Addrs {
			if s.byAddr[a] == nil {
				s.byAddr[a] = m
				m.addrs = append(m.addrs, a)
			}
		}
	}
}

// drop ends a claim for good.
func (s *Set) drop(c *claim) {
	m := c.member
	delete(c.source.claims, c.Key)
	m.claims = slices.DeleteFunc(m.claims, func(o *claim) bool { return o == c })
	c.member = nil
	s.index(m)
	s.touch(m)
}

// leave takes the claims that a source withdraws. Too many at once wait, but for those of which another source says the
// same; and those that the source's word before still covers wait till that is over.
func (s *Set) leave(src *source, all []*claim, held time.Duration) {
	if len(all) == 0 {
		return
	}
	live := 0
	for _, c := range src.claims {
		if !c.gone {
			live++
		}
	}
	many := src.Guard && len(all) > max(s.set.GuardLeast, int(s.set.GuardShare*float64(live)))
	for _, c := range all {
		switch {
		case c.leaves > 0: // it waits already
		case src.Guard && c.State != choice.Draining && many && !s.confirmed(c):
			s.wait(c, s.now+s.set.GuardWait, Guarded)
		case src.Guard && c.State != choice.Draining && held > s.now && !s.confirmed(c):
			s.wait(c, min(held, s.now+s.set.GuardWait), Contradict)
		default:
			s.withdraw(c)
		}
	}
}

func (s *Set) wait(c *claim, until time.Duration, why Rule) {
	c.leaves, c.why = until, why
	s.at(until, c)
	s.touch(c.member)
}

// confirmed reports whether another source says of a server, too, that it drains or is gone.
func (s *Set) confirmed(c *claim) bool {
	return slices.ContainsFunc(c.member.claims, func(o *claim) bool {
		return o.source != c.source && (o.gone || o.State == choice.Draining)
	})
}

// withdraw takes a claim as withdrawn. Where others name the server it is remembered for a while.
func (s *Set) withdraw(c *claim) {
	c.gone, c.leaves, c.since = true, 0, s.now
	s.at(s.now+s.set.Forget, c)
	s.touch(c.member)
}

// touchAll touches all servers that a source names.
func (s *Set) touchAll(src *source) {
	for _, c := range src.claims {
		s.touch(c.member)
	}
}

// expire does what time has brought.
func (s *Set) expire() {
	for len(s.timers) > 0 && s.timers[0].at <= s.now {
		t := heap.Pop(&s.timers).(timer)
		switch c := t.claim; {
		case c == nil:
		case c.member == nil: // it was dropped meanwhile
		case c.leaves > 0 && c.leaves <= s.now:
			s.withdraw(c)
		case c.gone && s.now-c.since >= s.set.Forget && !s.contested(c):
			s.drop(c)
		case c.gone:
			s.at(s.now+s.set.Forget, c)
		}
	}
	for _, src := range s.sources {
		if src.until > 0 && src.until <= s.now && src.lost == 0 {
			src.lost = src.until
			s.at(src.lost+src.Hold, nil)
		}
		if src.lost > 0 && !src.dead && s.now >= src.lost+src.Hold {
			src.dead = true
			for _, o := range s.sources { // whether anybody has a word may have changed for all
				s.touchAll(o)
			}
		}
	}
	s.tiers.pass()
}

// contested reports whether another source still names a server as it did before it was withdrawn: its older word does not
// bring the server back, however long that goes on.
func (s *Set) contested(gone *claim) bool {
	return slices.ContainsFunc(gone.member.claims, func(o *claim) bool { return !o.gone && o.since <= gone.since })
}

func (s *Set) at(at time.Duration, c *claim) { heap.Push(&s.timers, timer{at, c}) }

// alive reports whether any source has a word that counts.
func (s *Set) alive() bool {
	return slices.ContainsFunc(s.sources, func(o *source) bool { return o.spoke && !o.dead })
}

// settle works out what is to be said of a server.
func (s *Set) settle(m *member) {
	if m.removed {
		return
	}
	v := view{rule: Agreed}
	var first *claim // whose facts count
	sources := 0
	var last *source
	supported, lapsed := false, false
	gone, drains := (*claim)(nil), (*claim)(nil)
	for _, c := range m.claims {
		if c.source != last {
			sources, last = sources+1, c.source
		}
		switch {
		case c.gone:
			if !m.named(c.source) {
				gone = c
			}
			continue
		case c.State == choice.Draining:
			drains = c
		case c.leaves > 0:
			v.rule = c.why
			supported = true
		case c.source.dead:
			lapsed = true
		default:
			supported = true
		}
		if first == nil {
			first = c
		}
	}
	if first == nil { // nobody names it
		for _, c := range slices.Clone(m.claims) {
			s.drop(c)
		}
		s.remove(m)
		return
	}
	if v.rule == Agreed && sources == 1 && len(s.sources) > 1 {
		v.rule = Alone
	}
	state := choice.Ready
	switch {
	case drains != nil:
		state, v.rule = choice.Draining, Drained
	case gone != nil && !s.newer(m, gone):
		state, v.rule = choice.Gone, Withdrawn
	case supported:
	case lapsed && !s.alive():
		v.rule = LastWord
	default:
		state, v.rule = choice.Gone, Lapsed
	}
	v.entry = s.entry(m, first, state)
	v.tier = s.best
	if i := slices.IndexFunc(m.claims, func(c *claim) bool { return !c.gone && c.Tiered }); i >= 0 {
		v.tier = m.claims[i].Tier
	}
	v.ready = state == choice.Ready
	s.tiers.place(m, v)
}

// named reports whether a source names the server, by whatever name.
func (m *member) named(src *source) bool {
	return slices.ContainsFunc(m.claims, func(o *claim) bool { return o.source == src && !o.gone })
}

// newer reports whether somebody names the server in a later life than the one that was withdrawn.
func (s *Set) newer(m *member, gone *claim) bool {
	return slices.ContainsFunc(m.claims, func(c *claim) bool {
		return !c.gone && c.Details && gone.Details && c.Started > gone.Started
	})
}

// entry words a server for the list: each fact from the first source that states it.
func (s *Set) entry(m *member, first *claim, state choice.State) ledger.Entry {
	e := ledger.Entry{Server: choice.Server{ID: m.id, State: state, Weight: first.Weight}}
	for _, c := range m.claims {
		if c.gone {
			continue
		}
		for _, a := range c.Addrs {
			if !slices.Contains(e.Addrs, a) {
				e.Addrs = append(e.Addrs, a)
			}
		}
	}
	e.Addr = e.Addrs[0]
	if m.late { // one that no source gives a start for is taken as just started when it comes later than its source
		e.Started = m.first
	}
	for _, c := range m.claims {
		if c.Details && !c.gone {
			e.Zone, e.Cell, e.Started, e.Speaks, e.Multiplexed, e.Shapes = c.Zone, c.Cell, c.Started, c.Speaks, c.Multi, c.Shapes
			return e
		}
	}
	e.Speaks = first.Speaks
	return e
}

// remove says that a server is gone, and forgets it.
func (s *Set) remove(m *member) {
	m.removed = true
	e := m.view.entry
	e.State = choice.Gone
	s.say(m, e, Withdrawn, m.view.tier, false)
	s.tiers.forget(m)
	if s.byID[m.id] == m {
		delete(s.byID, m.id)
	}
}

// say puts what changed of a server into the changes.
func (s *Set) say(m *member, e ledger.Entry, rule Rule, tier int, ready bool) {
	was := m.view
	m.view = view{entry: e, known: true, tier: tier, rule: rule, ready: ready}
	if !was.known && e.State == choice.Gone || was.known && sameEntry(was.entry, e) {
		m.view.known = was.known
		return
	}
	m.view.known = e.State != choice.Gone
	s.changes = append(s.changes, e)
}

func sameEntry(a, b ledger.Entry) bool {
	return a.Server == b.Server && a.Addr == b.Addr && a.Multiplexed == b.Multiplexed && slices.Equal(a.Addrs, b.Addrs) && slices.Equal(a.Shapes, b.Shapes)
}

// timer is something that time brings.
type timer struct {
	at    time.Duration
	claim *claim
}

type timers []timer

func (t timers) Len() int           { return len(t) }
func (t timers) Less(i, j int) bool { return t[i].at < t[j].at }
func (t timers) Swap(i, j int)      { t[i], t[j] = t[j], t[i] }
func (t *timers) Push(x any)        { *t = append(*t, x.(timer)) }
func (t *timers) Pop() any {
	last := (*t)[len(*t)-1]
	*t = (*t)[:len(*t)-1]
	return last
}

// Fact is one thing that is said of a server, and who says it.
type Fact struct {
	Name, Value, Source string
	Age                 time.Duration
	Counts              bool // it is what the list says
}

// View is a server as it is shown.
type View struct {
	ID    string
	State choice.State
	Tier  int
	Addrs []string
	Rule  Rule
	Facts []Fact
}

// Members lists all servers, by ids, with what each source says.
func (s *Set) Members() (all []View) {
	for _, m := range s.byID {
		v := View{ID: m.id, State: m.view.entry.State, Tier: m.view.tier, Addrs: m.view.entry.Addrs, Rule: m.view.rule}
		for _, c := range m.claims {
			state := [...]string{choice.Ready: "ready", choice.Draining: "draining", choice.Gone: "gone"}[c.State]
			if c.gone {
				state = "withdrawn"
			}
			add := func(name, value string, counts bool) {
				v.Facts = append(v.Facts, Fact{name, value, c.source.Name, s.now - c.since, counts && !c.gone})
			}
			add("state", state, c.State == v.State)
			add("addresses", fmt.Sprint(c.Addrs), true)
			add("weight", fmt.Sprint(c.Weight), c.Weight == m.view.entry.Weight)
			if c.Tiered {
				add("tier", fmt.Sprint(c.Tier), c.Tier == v.Tier)
			}
		}
		all = append(all, v)
	}
	slices.SortFunc(all, func(a, b View) int {
		if a.ID < b.ID {
			return -1
		}
		return 1
	})
	return all
}
