// Package membership merges the server lists of several sources into one, with a rule for each way in which the sources
// can disagree. It does no I/O and reads no clock: callers pass in reports and the current time, and get back the changes
// of the merged list. The cost of a change depends on its size, not on the size of the fleet.
// docs/design/membership.md has the table of rules.
package membership

import (
	"container/heap"
	"fmt"
	"slices"
	"time"

	"ternbeam/choice"
	"ternbeam/internal/decide/calltrack"
)

// Rule identifies the row of the table of rules that determined a server's state.
type Rule int

// The rules.
const (
	Agreed        Rule = iota // all sources that list the server agree
	Alone                     // only one source lists the server, the others never did
	Drained                   // a source reports it as draining: it gets no new calls, whatever the others report
	Withdrawn                 // a source that listed it reports it as gone or no longer lists it
	LastKnown                 // the sources that list it have expired, and no other source is valid either: it stays
	Lapsed                    // the sources that list it have expired, and another source is still valid: it is removed
	Guarded                   // a source withdrew too many servers at once: the withdrawal is deferred
	Contradictory             // a source withdrew it while its previous report was still valid: the withdrawal is deferred
	ClosedTier                // the better tiers have enough capacity, so its tier is closed
	Ramping                   // its tier is opening step by step, and its share of the servers is not admitted yet
)

var ruleNames = [...]string{"agreed", "alone", "drained", "withdrawn", "last word", "lapsed", "guarded", "contradicts itself",
	"closed tier", "ramping"}

// String returns the rule's name as it is shown to operators.
func (r Rule) String() string { return ruleNames[r] }

// Source describes a source of servers. Sources are ordered by priority: each fact is taken from the first one that states it.
type Source struct {
	Name         string
	Hold         time.Duration // how long its last report stays valid once it is unreachable or the report has expired
	RemoveAbsent bool          // a full report withdraws the servers that it does not list
	Guard        bool          // withdrawals of too many servers at once, and ones that contradict a valid report, are deferred
}

// Settings configure a Set.
type Settings struct {
	Sources    []Source
	GuardShare float64       // share of its servers that a guarded source may withdraw at once
	GuardLeast int           // number of servers that it may always withdraw at once
	GuardWait  time.Duration // after which a deferred withdrawal takes effect all the same
	Forget     time.Duration // how long a withdrawal is remembered, at least
	OpenBelow  float64       // the next tier opens when the better ones have less than this share of the baseline weight
	CloseAbove float64       // and closes when they have at least this share of it
	CloseDelay time.Duration // for which they must have been at or above CloseAbove before the tier closes
	RampStep   time.Duration // between admitting one part of an opening tier and the next
	RampParts  int           // number of parts in which a tier opens
}

// Defaults are the default settings, without any sources.
var Defaults = Settings{GuardShare: 0.5, GuardLeast: 1, GuardWait: 30 * time.Second, Forget: 10 * time.Minute, OpenBelow: 0.5,
	CloseAbove: 0.8, CloseDelay: 30 * time.Second, RampStep: 2 * time.Second, RampParts: 4}

// Claim is what one source reports about one server.
type Claim struct {
	Key         string   // identifies the server within its source
	ID          string   // identifies it across sources; empty if the source has no ids
	Addrs       []string // in the order in which to try them
	State       choice.State
	HasTier     bool    // Tier is set
	Tier        int     // the lowest is the best
	Weight      float64 // 0 is a valid weight
	HasDetails  bool    // the fields below are set
	Zone        int
	ZoneUnknown bool // Zone is a placeholder
	Cell        int
	Started     time.Duration
	Speaks      choice.Protocols
	Multiplexed bool     // it takes several calls at a time on one connection
	Shapes      []string // class/version of the message schemas that it accepts
}

// equal reports whether two claims have the same content.
func (c *Claim) equal(o *Claim) bool {
	return slices.Equal(c.Addrs, o.Addrs) && slices.Equal(c.Shapes, o.Shapes) && c.Key == o.Key && c.ID == o.ID &&
		c.State == o.State && c.HasTier == o.HasTier && c.Tier == o.Tier && c.Weight == o.Weight && c.HasDetails == o.HasDetails &&
		c.Zone == o.Zone && c.ZoneUnknown == o.ZoneUnknown && c.Cell == o.Cell && c.Started == o.Started && c.Speaks == o.Speaks && c.Multiplexed == o.Multiplexed
}

// Report is one update from a source.
type Report struct {
	Source     int   // index into Settings.Sources
	Full       bool  // it lists all servers of the source, not only changes
	Version    int64 // 0 if the source has no versions
	Claims     []Claim
	ValidUntil time.Duration // when it expires, on the clock of the `now` arguments; 0 for never
}

// Set holds the servers of all sources and the merged list. It is not safe for concurrent use.
type Set struct {
	settings Settings
	now      time.Duration
	sources  []*source
	byID     map[string]*member
	byAddr   map[string]*member
	timers   timers
	dirty    []*member         // to be recomputed in finish
	changes  []calltrack.Entry // of the merged list, by the event being handled
	tiers    tiers
	hasTier  bool // a source has reported a tier
	bestTier int  // the best tier ever reported; servers without a reported tier belong to it
}

// maxClaimsPerSource limits the number of servers of one source, withdrawn ones that are remembered included.
const maxClaimsPerSource = 1 << 17

// source is a Source with its state.
type source struct {
	Source
	claims           map[string]*claim
	version          int64
	olderSince       time.Duration // since when it has been sending older versions; 0 if it is not
	validUntil       time.Duration // when its last report expires; 0 for never
	unreachableSince time.Duration // since when it is unreachable or its report has expired; 0 if neither
	reported         bool          // it has reported at least once
	expired          bool          // Hold has passed since unreachableSince: its claims no longer keep a server in the list
}

// claim is a Claim in effect, or the record of a withdrawn one.
type claim struct {
	Claim
	source     *source
	member     *member
	changedAt  time.Duration // when its content last changed
	withdrawAt time.Duration // when its deferred withdrawal takes effect unless it is reported again; 0 if none is pending
	waitRule   Rule          // why the withdrawal is deferred
	withdrawn  bool          // kept so that an older claim of another source does not bring the server back
}

// member is one server.
type member struct {
	id          string
	claims      []*claim      // ordered by source; several of one source if it lists the server under several keys
	addrs       []string      // its entries in Set.byAddr
	dirty       bool          // it is in Set.dirty
	removed     bool          // it was deleted from the Set
	published   decision      // as last published by its tier
	firstNamed  time.Duration // when it was first reported
	joinedLater bool          // it was not in its source's first report, so it may have just started
	tier        *tier
	tierSeq     int // its number in its tier, in order of arrival
}

// decision is what the merged list is to contain for a member.
type decision struct {
	entry     calltrack.Entry
	announced bool // the merged list contains it
	tier      int
	rule      Rule
	eligible  bool // it is ready, whether or not its tier is open
}

// New returns an empty Set.
func New(set Settings) *Set {
	s := &Set{settings: set, byID: map[string]*member{}, byAddr: map[string]*member{}}
	for _, src := range set.Sources {
		s.sources = append(s.sources, &source{Source: src, claims: map[string]*claim{}})
	}
	s.tiers.init(s)
	return s
}

// begin starts the handling of an event: it advances the clock, clears the changes and runs the timers that are due.
func (s *Set) begin(now time.Duration) {
	s.now, s.changes = max(now, s.now), s.changes[:0]
	s.runTimers()
}

// finish recomputes all dirty members and returns the changes. The slice is valid until the next call.
func (s *Set) finish() []calltrack.Entry {
	for i := 0; i < len(s.dirty); i++ {
		m := s.dirty[i]
		m.dirty = false
		s.decide(m)
	}
	s.dirty = s.dirty[:0]
	s.tiers.apply()
	return s.changes
}

// markDirty marks a member for recomputation in finish.
func (s *Set) markDirty(m *member) {
	if !m.dirty {
		m.dirty = true
		s.dirty = append(s.dirty, m)
	}
}

// Report applies a source's update and returns the changes of the merged list, valid until the next call. Of a report with
// an older version than the last one only the drains are applied, until such reports have kept coming for GuardWait.
func (s *Set) Report(now time.Duration, r Report) []calltrack.Entry {
	s.begin(now)
	src := s.sources[r.Source]
	older := r.Version != 0 && r.Version < src.version
	if older && src.olderSince == 0 {
		src.olderSince = s.now
	}
	if older && s.now-src.olderSince < s.settings.GuardWait {
		s.applyDrains(src, r) // withdrawals and new servers of an older report are not trusted yet
		s.schedule(src.olderSince+s.settings.GuardWait, nil)
		return s.finish()
	}
	src.olderSince, src.version = 0, r.Version
	prevUntil := src.validUntil // until when the previous report is valid
	firstReport := !src.reported
	src.reported, src.unreachableSince, src.validUntil = true, 0, r.ValidUntil
	if src.expired {
		src.expired = false
		s.markSourceDirty(src)
	}
	if r.ValidUntil > 0 {
		s.schedule(r.ValidUntil, nil)
	}
	var withdrawn []*claim
	named := make(map[string]bool, len(r.Claims))
	for i := range r.Claims {
		c := &r.Claims[i]
		if c.Key == "" || len(c.Addrs) == 0 && c.State != choice.Removed {
			continue
		}
		named[c.Key] = true
		if c.State == choice.Removed {
			if old := src.claims[c.Key]; old != nil && !old.withdrawn {
				withdrawn = append(withdrawn, old)
			}
			continue
		}
		s.applyClaim(src, *c, firstReport)
	}
	if r.Full && src.RemoveAbsent {
		for key, c := range src.claims {
			if !named[key] && !c.withdrawn {
				withdrawn = append(withdrawn, c)
			}
		}
	}
	s.withdrawClaims(src, withdrawn, prevUntil)
	return s.finish()
}

// applyDrains applies only the drains of a report.
func (s *Set) applyDrains(src *source, r Report) {
	for _, c := range r.Claims {
		if old := src.claims[c.Key]; old != nil && c.State == choice.Draining && old.State != choice.Draining {
			old.State, old.changedAt = choice.Draining, s.now
			s.markDirty(old.member)
		}
	}
}

// SourceReplaced records that the next reports of a source come from another instance of it, which numbers its versions anew.
func (s *Set) SourceReplaced(source int) {
	s.sources[source].version, s.sources[source].olderSince = 0, 0
}

// Drain records that servers drain, by the word of another process of this agent: until a source says otherwise.
func (s *Set) Drain(now time.Duration, ids []string) []calltrack.Entry {
	s.begin(now)
	for _, id := range ids {
		m := s.byID[id]
		if m == nil {
			continue
		}
		for _, c := range m.claims {
			if !c.withdrawn && c.State == choice.Ready {
				c.State, c.changedAt = choice.Draining, s.now
				s.markDirty(m)
			}
		}
	}
	return s.finish()
}

// SourceUnreachable records that a source cannot be reached. Its claims stay valid for Source.Hold.
func (s *Set) SourceUnreachable(now time.Duration, source int) []calltrack.Entry {
	s.begin(now)
	if src := s.sources[source]; src.unreachableSince == 0 {
		src.unreachableSince = s.now
		s.schedule(s.now+src.Hold, nil)
	}
	return s.finish()
}

// Tick advances the clock and returns the changes that result from it.
func (s *Set) Tick(now time.Duration) []calltrack.Entry {
	s.begin(now)
	return s.finish()
}

// NextTimer returns when Tick has to be called next; any is false if no timer is pending.
func (s *Set) NextTimer() (at time.Duration, any bool) {
	if len(s.timers) == 0 {
		return 0, false
	}
	return s.timers[0].at, true
}

// applyClaim adds or updates a source's claim about one server. firstReport tells whether it is part of the source's first report.
func (s *Set) applyClaim(src *source, c Claim, firstReport bool) {
	old := src.claims[c.Key]
	if old == nil && len(src.claims) >= maxClaimsPerSource {
		return
	}
	if c.HasTier && (!s.hasTier || c.Tier < s.bestTier) {
		s.hasTier, s.bestTier = true, c.Tier
		for _, o := range s.sources {
			s.markSourceDirty(o)
		}
	}
	if old != nil && old.ID == c.ID {
		changed := old.withdrawn || old.withdrawAt > 0 || !old.equal(&c)
		if old.withdrawn || !old.equal(&c) {
			old.changedAt = s.now
		}
		old.withdrawn, old.withdrawAt = false, 0
		if addrs := old.Addrs; !slices.Equal(addrs, c.Addrs) {
			old.Claim = c
			s.reindex(old.member)
		}
		old.Claim = c
		if changed {
			s.markDirty(old.member)
		}
		return
	}
	if old != nil { // under this key the source now lists a different server
		s.dropClaim(old)
	}
	m := s.findMember(src, &c)
	if m == nil {
		id := c.ID
		if id == "" {
			id = src.Name + "/" + c.Key
		}
		m = &member{id: id, firstNamed: s.now, joinedLater: !firstReport}
		s.byID[id] = m
	}
	n := &claim{Claim: c, source: src, member: m, changedAt: s.now}
	src.claims[c.Key] = n
	m.claims = append(m.claims, n)
	slices.SortStableFunc(m.claims, func(a, b *claim) int { return s.sourceRank(a) - s.sourceRank(b) })
	s.reindex(m)
	s.markDirty(m)
}

// sourceRank returns the priority of a claim's source; the lowest is the highest priority.
func (s *Set) sourceRank(c *claim) int { return slices.Index(s.sources, c.source) }

// findMember returns the member that a claim is about, or nil: it matches by id, or else by an address that another claim
// has, too. Claims with different ids are different servers even if they share an address.
func (s *Set) findMember(src *source, c *Claim) *member {
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
		otherInSource := func(o *claim) bool { return o.source == src && o.ID != "" && c.ID != "" && o.ID != c.ID }
		otherID := func(o *claim) bool { return o.ID != "" && c.ID != "" && o.ID != c.ID }
		if !slices.ContainsFunc(m.claims, otherInSource) && !slices.ContainsFunc(m.claims, otherID) {
			return m
		}
	}
	return nil
}

// reindex rebuilds a member's entries in byAddr. An address that belongs to another member already stays with that one.
func (s *Set) reindex(m *member) {
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

// dropClaim deletes a claim, withdrawn or not.
func (s *Set) dropClaim(c *claim) {
	m := c.member
	delete(c.source.claims, c.Key)
	m.claims = slices.DeleteFunc(m.claims, func(o *claim) bool { return o == c })
	c.member = nil
	s.reindex(m)
	s.markDirty(m)
}

// withdrawClaims handles the claims that a source withdraws. If they are too many at once, the withdrawals are deferred,
// except for servers that another source reports as draining or gone, too. The same holds for withdrawals that contradict
// the source's previous report, which is valid until prevUntil; they are deferred until it expires.
func (s *Set) withdrawClaims(src *source, all []*claim, prevUntil time.Duration) {
	if len(all) == 0 {
		return
	}
	live := 0
	for _, c := range src.claims {
		if !c.withdrawn {
			live++
		}
	}
	tooMany := src.Guard && len(all) > max(s.settings.GuardLeast, int(s.settings.GuardShare*float64(live)))
	for _, c := range all {
		switch {
		case c.withdrawAt > 0: // deferred already
		case src.Guard && c.State != choice.Draining && tooMany && !s.confirmedElsewhere(c):
			s.deferWithdrawal(c, s.now+s.settings.GuardWait, Guarded)
		case src.Guard && c.State != choice.Draining && prevUntil > s.now && !s.confirmedElsewhere(c):
			s.deferWithdrawal(c, min(prevUntil, s.now+s.settings.GuardWait), Contradictory)
		default:
			s.withdraw(c)
		}
	}
}

// deferWithdrawal withdraws a claim at a later time, unless it is reported again before.
func (s *Set) deferWithdrawal(c *claim, until time.Duration, why Rule) {
	c.withdrawAt, c.waitRule = until, why
	s.schedule(until, c)
	s.markDirty(c.member)
}

// confirmedElsewhere reports whether another source reports the server as draining or gone, too, even if that is deferred.
func (s *Set) confirmedElsewhere(c *claim) bool {
	return slices.ContainsFunc(c.member.claims, func(o *claim) bool {
		return o.source != c.source && (o.withdrawn || o.withdrawAt > 0 || o.State == choice.Draining)
	})
}

// withdraw marks a claim as withdrawn. While other sources list the server, this is remembered for a while.
func (s *Set) withdraw(c *claim) {
	c.withdrawn, c.withdrawAt, c.changedAt = true, 0, s.now
	s.schedule(s.now+s.settings.Forget, c)
	s.markDirty(c.member)
}

// markSourceDirty marks all servers of a source for recomputation.
func (s *Set) markSourceDirty(src *source) {
	for _, c := range src.claims {
		s.markDirty(c.member)
	}
}

// runTimers runs the timers that are due and expires sources.
func (s *Set) runTimers() {
	for len(s.timers) > 0 && s.timers[0].at <= s.now {
		t := heap.Pop(&s.timers).(timer)
		switch c := t.claim; {
		case c == nil:
		case c.member == nil: // dropped in the meantime
		case c.withdrawAt > 0 && c.withdrawAt <= s.now:
			s.withdraw(c)
		case c.withdrawn && s.now-c.changedAt >= s.settings.Forget && !s.contested(c):
			s.dropClaim(c)
		case c.withdrawn:
			s.schedule(s.now+s.settings.Forget, c)
		}
	}
	for _, src := range s.sources {
		if src.validUntil > 0 && src.validUntil <= s.now && src.unreachableSince == 0 {
			src.unreachableSince = src.validUntil
			s.schedule(src.unreachableSince+src.Hold, nil)
		}
		if src.unreachableSince > 0 && !src.expired && s.now >= src.unreachableSince+src.Hold {
			src.expired = true
			for _, o := range s.sources { // the result of anySourceValid may have changed, which affects all servers
				s.markSourceDirty(o)
			}
		}
	}
	s.tiers.advance()
}

// contested reports whether another source still has a claim about a withdrawn server that is not newer than the withdrawal.
// Such a claim does not bring the server back, however long it stays.
func (s *Set) contested(withdrawal *claim) bool {
	return slices.ContainsFunc(withdrawal.member.claims, func(o *claim) bool { return !o.withdrawn && o.changedAt <= withdrawal.changedAt })
}

// schedule sets a timer for a claim; nil stands for the sources and tiers.
func (s *Set) schedule(at time.Duration, c *claim) { heap.Push(&s.timers, timer{at, c}) }

// anySourceValid reports whether any source has reported and not expired.
func (s *Set) anySourceValid() bool {
	return slices.ContainsFunc(s.sources, func(o *source) bool { return o.reported && !o.expired })
}

// decide applies the table of rules to a member and passes the result to its tier, or removes a member without claims.
func (s *Set) decide(m *member) {
	if m.removed {
		return
	}
	d := decision{rule: Agreed}
	var first *claim // the claim of highest priority that is not withdrawn
	sources := 0
	var last *source
	supported, lapsed := false, false // listed by a source that has not expired, or by one that has
	withdrawal, draining := (*claim)(nil), (*claim)(nil)
	for _, c := range m.claims {
		if c.source != last {
			sources, last = sources+1, c.source
		}
		switch {
		case c.withdrawn:
			if !m.namedBy(c.source) {
				withdrawal = c
			}
			continue
		case c.State == choice.Draining:
			draining = c
		case c.withdrawAt > 0:
			d.rule = c.waitRule
			supported = true
		case c.source.expired:
			lapsed = true
		default:
			supported = true
		}
		if first == nil {
			first = c
		}
	}
	if first == nil { // no source lists it any more
		for _, c := range slices.Clone(m.claims) {
			s.dropClaim(c)
		}
		s.removeMember(m)
		return
	}
	if d.rule == Agreed && sources == 1 && len(s.sources) > 1 {
		d.rule = Alone
	}
	state := choice.Ready
	switch {
	case draining != nil:
		state, d.rule = choice.Draining, Drained
	case withdrawal != nil && !s.restartedSince(m, withdrawal):
		state, d.rule = choice.Removed, Withdrawn
	case supported:
	case lapsed && !s.anySourceValid():
		d.rule = LastKnown
	default:
		state, d.rule = choice.Removed, Lapsed
	}
	d.entry = s.buildEntry(m, first, state)
	d.tier = s.bestTier
	if i := slices.IndexFunc(m.claims, func(c *claim) bool { return !c.withdrawn && c.HasTier }); i >= 0 {
		d.tier = m.claims[i].Tier
	}
	d.eligible = state == choice.Ready
	s.tiers.update(m, d)
}

// namedBy reports whether a source lists the server under any key.
func (m *member) namedBy(src *source) bool {
	return slices.ContainsFunc(m.claims, func(o *claim) bool { return o.source == src && !o.withdrawn })
}

// restartedSince reports whether a source lists the server with a later start time than a withdrawn claim.
func (s *Set) restartedSince(m *member, withdrawal *claim) bool {
	return slices.ContainsFunc(m.claims, func(c *claim) bool {
		return !c.withdrawn && c.HasDetails && withdrawal.HasDetails && c.Started > withdrawal.Started
	})
}

// buildEntry builds a server's entry of the merged list, taking each fact from the first source that states it.
func (s *Set) buildEntry(m *member, first *claim, state choice.State) calltrack.Entry {
	e := calltrack.Entry{Server: choice.Server{ID: m.id, State: state, Weight: first.Weight}}
	for _, c := range m.claims {
		if c.withdrawn {
			continue
		}
		for _, a := range c.Addrs {
			if !slices.Contains(e.Addrs, a) {
				e.Addrs = append(e.Addrs, a)
			}
		}
	}
	e.Addr = e.Addrs[0]
	if m.joinedLater { // used if no source states a start time: the server is treated as just started
		e.Started = m.firstNamed
	}
	for _, c := range m.claims {
		if c.HasDetails && !c.withdrawn {
			e.Zone, e.ZoneUnknown, e.Cell = c.Zone, c.ZoneUnknown, c.Cell
			e.Started, e.Protocols, e.Multiplexed, e.Shapes = c.Started, c.Speaks, c.Multiplexed, c.Shapes
			return e
		}
	}
	e.Protocols, e.ZoneUnknown, e.CellUnknown = first.Speaks, true, true
	return e
}

// removeMember publishes that a server is gone and deletes it.
func (s *Set) removeMember(m *member) {
	m.removed = true
	e := m.published.entry
	e.State = choice.Removed
	s.publish(m, e, Withdrawn, m.published.tier, false)
	s.tiers.remove(m)
	if s.byID[m.id] == m {
		delete(s.byID, m.id)
	}
}

// publish records a member's new decision and appends its entry to the changes if it differs from the previous one.
func (s *Set) publish(m *member, e calltrack.Entry, rule Rule, tier int, eligible bool) {
	prev := m.published
	m.published = decision{entry: e, announced: true, tier: tier, rule: rule, eligible: eligible}
	if !prev.announced && e.State == choice.Removed || prev.announced && sameEntry(prev.entry, e) {
		m.published.announced = prev.announced
		return
	}
	m.published.announced = e.State != choice.Removed
	s.changes = append(s.changes, e)
}

// sameEntry reports whether two entries have the same content.
func sameEntry(a, b calltrack.Entry) bool {
	return a.Server == b.Server && a.Addr == b.Addr && a.Multiplexed == b.Multiplexed && slices.Equal(a.Addrs, b.Addrs) && slices.Equal(a.Shapes, b.Shapes)
}

// timer is a time at which runTimers has to run.
type timer struct {
	at    time.Duration
	claim *claim // to be withdrawn or dropped then; nil if the timer is for sources or tiers
}

// timers is a heap of timers, the earliest first.
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

// Fact is one fact about a server as one source states it.
type Fact struct {
	Name, Value, Source string
	Age                 time.Duration // since the source's claim last changed
	InEffect            bool          // the merged list has this value
}

// MemberView is a server of the merged list as it is shown to operators.
type MemberView struct {
	ID    string
	State choice.State
	Tier  int
	Addrs []string
	Rule  Rule
	Facts []Fact
}

// Members returns all servers, sorted by id, with the facts that each source states.
func (s *Set) Members() (all []MemberView) {
	for _, m := range s.byID {
		v := MemberView{ID: m.id, State: m.published.entry.State, Tier: m.published.tier, Addrs: m.published.entry.Addrs, Rule: m.published.rule}
		for _, c := range m.claims {
			state := [...]string{choice.Ready: "ready", choice.Draining: "draining", choice.Removed: "gone"}[c.State]
			if c.withdrawn {
				state = "withdrawn"
			}
			add := func(name, value string, inEffect bool) {
				v.Facts = append(v.Facts, Fact{name, value, c.source.Name, s.now - c.changedAt, inEffect && !c.withdrawn})
			}
			add("state", state, c.State == v.State)
			add("addresses", fmt.Sprint(c.Addrs), true)
			add("weight", fmt.Sprint(c.Weight), c.Weight == m.published.entry.Weight)
			if c.HasTier {
				add("tier", fmt.Sprint(c.Tier), c.Tier == v.Tier)
			}
		}
		all = append(all, v)
	}
	slices.SortFunc(all, func(a, b MemberView) int {
		if a.ID < b.ID {
			return -1
		}
		return 1
	})
	return all
}
