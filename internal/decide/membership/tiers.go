package membership

import (
	"cmp"
	"math"
	"slices"
	"time"

	"ternbeam/choice"
)

// tiers say which servers get work by their tier: the best one, and the next while the better ones are too small by a
// share of what they once were. A tier opens part by part, so that its servers, which have had no work, are not pushed
// over, and closes only after the better ones have been enough for a while.
type tiers struct {
	set    *Set
	order  []*tier // the best first
	by     map[int]*tier
	want   float64 // what the best tier once had, less with time
	since  time.Duration
	stale  bool      // something changed
	unsaid []*member // that were placed and not said yet
}

type tier struct {
	n       int
	members map[*member]view // with what would be said of them
	weight  float64          // of those that are ready
	open    bool
	opened  time.Duration
	enough  time.Duration // since when the better ones are; 0 for not
	parts   int           // that have been let in
	next    int           // place of the next member
}

func (t *tiers) init(s *Set) { t.set, t.by = s, map[int]*tier{} }

// wantHalf is the time after which what the best tier once had counts half.
const wantHalf = time.Hour

// size is what a server adds to its tier: one of weight 0 gets little work, but some.
func size(v view) float64 {
	if !v.ready {
		return 0
	}
	return max(v.entry.Weight, 0.01)
}

// place takes what would be said of a server if its tier were open.
func (t *tiers) place(m *member, v view) {
	if m.tier != nil && m.tier.n != v.tier {
		t.forget(m)
	}
	of := t.by[v.tier]
	if of == nil {
		of = &tier{n: v.tier, members: map[*member]view{}}
		t.by[v.tier] = of
		t.order = append(t.order, of)
		slices.SortFunc(t.order, func(a, b *tier) int { return cmp.Compare(a.n, b.n) })
	}
	was, known := of.members[m]
	if !known {
		m.tier, m.place = of, of.next
		of.next++
	}
	of.members[m] = v
	of.weight += size(v) - size(was)
	t.stale = true
	t.unsaid = append(t.unsaid, m)
}

func (of *tier) leave(m *member) {
	of.weight -= size(of.members[m])
	delete(of.members, m)
}

// forget drops a server that is gone.
func (t *tiers) forget(m *member) {
	of := m.tier
	if of == nil {
		return
	}
	m.tier = nil
	t.stale = true
	if of.leave(m); len(of.members) == 0 {
		t.order = slices.DeleteFunc(t.order, func(o *tier) bool { return o == of })
		delete(t.by, of.n)
	}
}

// say says of a server what its tier lets it be.
func (t *tiers) say(of *tier, m *member, v view) {
	e, rule := v.entry, v.rule
	if e.State == choice.Ready {
		switch parts := t.set.set.RampParts; {
		case !of.open:
			e.State, rule = choice.Draining, ClosedTier
		case parts > 0 && m.place%parts >= of.parts && !m.works(): // who has work keeps it, by whatever tier's name
			e.State, rule = choice.Draining, Ramping
		}
	}
	t.set.say(m, e, rule, v.tier, v.ready)
}

// works reports whether the server was said to be ready.
func (m *member) works() bool { return m.view.known && m.view.entry.State == choice.Ready }

// pass lets time pass.
func (t *tiers) pass() {
	ramps := func(of *tier) bool { return of.open && of.parts < t.set.set.RampParts }
	t.stale = t.stale || len(t.order) > 1 || slices.ContainsFunc(t.order, ramps)
}

// settle opens and closes tiers.
func (t *tiers) settle() {
	if !t.stale {
		return
	}
	t.stale = false
	set, now := &t.set.set, t.set.now
	better := 0.0 // of those that are open and better
	for i, of := range t.order {
		if i == 0 {
			t.want = max(t.want*math.Exp2(-float64(now-t.since)/float64(wantHalf)), of.weight)
			t.since = now
		}
		switch {
		case i == 0 && !of.open:
			// Where no other tier works, to hold a part of the best back would put all work on the other part.
			t.open(of, t.alone(of))
		case i > 0 && !of.open && better < set.OpenBelow*t.want:
			t.open(of, false)
		case i > 0 && of.open && better >= set.CloseAbove*t.want:
			if of.enough == 0 {
				of.enough = now
				t.set.at(now+set.Calm, nil)
			}
			if now-of.enough >= set.Calm {
				t.close(of)
			}
		default:
			of.enough = 0
		}
		t.ramp(of)
		if of.open {
			better += of.weight
		}
	}
	for _, m := range t.unsaid {
		if m.tier != nil {
			t.say(m.tier, m, m.tier.members[m])
		}
	}
	t.unsaid = t.unsaid[:0]
}

// alone reports whether no other tier is open.
func (t *tiers) alone(of *tier) bool {
	return !slices.ContainsFunc(t.order, func(o *tier) bool { return o != of && o.open })
}

func (t *tiers) open(of *tier, whole bool) {
	of.open, of.opened, of.enough, of.parts = true, t.set.now, 0, 1
	if whole {
		of.parts = max(1, t.set.set.RampParts)
	}
	if of.parts < t.set.set.RampParts {
		t.set.at(t.set.now+t.set.set.RampStep, nil)
	}
	t.again(of)
}

func (t *tiers) close(of *tier) {
	of.open, of.parts, of.enough = false, 0, 0
	t.again(of)
}

// ramp lets the next parts in whose time has come.
func (t *tiers) ramp(of *tier) {
	set := &t.set.set
	if !of.open || of.parts >= set.RampParts || set.RampStep <= 0 {
		return
	}
	due := min(set.RampParts, 1+int((t.set.now-of.opened)/set.RampStep))
	if due > of.parts {
		of.parts = due
		t.again(of)
	}
	if of.parts < set.RampParts {
		t.set.at(of.opened+time.Duration(of.parts)*set.RampStep, nil)
	}
}

// again says anew what its tier lets each server be.
func (t *tiers) again(of *tier) {
	all := make([]*member, 0, len(of.members))
	for m := range of.members {
		all = append(all, m)
	}
	slices.SortFunc(all, func(a, b *member) int { return cmp.Compare(a.place, b.place) })
	for _, m := range all {
		t.say(of, m, of.members[m])
	}
}
