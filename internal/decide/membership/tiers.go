package membership

import (
	"cmp"
	"math"
	"slices"
	"time"

	"ternbeam/choice"
)

// tiers decides which servers get calls according to their tier: those of the best tier, and those of the next one while
// the ready weight of the better tiers is below a share of the baseline. A tier opens part by part so that its servers,
// which have been without load, are not overloaded, and closes only after the better tiers have had enough weight for a
// while.
type tiers struct {
	owner      *Set
	sorted     []*tier // the best tier first
	byNumber   map[int]*tier
	baseline   float64       // the highest ready weight of the best tier, decaying with time
	baselineAt time.Duration // when baseline was last updated
	dirty      bool          // apply has to run
	pending    []*member     // members that were updated and not published yet
}

// tier is a tier with its members.
type tier struct {
	number      int
	members     map[*member]decision // with the decision to publish while the tier is open
	readyWeight float64              // sum over the eligible members
	open        bool
	openedAt    time.Duration
	enoughSince time.Duration // since when the better tiers have had the weight of Settings.CloseAbove; 0 if they have not
	openParts   int           // number of parts that are admitted
	nextSeq     int           // tierSeq of the next member
}

// init prepares the tiers of a Set.
func (t *tiers) init(s *Set) { t.owner, t.byNumber = s, map[int]*tier{} }

// baselineHalfLife is the time in which the baseline decays to half.
const baselineHalfLife = time.Hour

// effectiveWeight returns what a server adds to its tier's ready weight. A server of weight 0 gets few calls, but some, so it
// counts a little.
func effectiveWeight(d decision) float64 {
	if !d.eligible {
		return 0
	}
	return max(d.entry.Weight, 0.01)
}

// update records what is to be published about a server if its tier is open, and moves it to the tier that it is in now.
func (t *tiers) update(m *member, d decision) {
	if m.tier != nil && m.tier.number != d.tier {
		t.remove(m)
	}
	tr := t.byNumber[d.tier]
	if tr == nil {
		tr = &tier{number: d.tier, members: map[*member]decision{}}
		t.byNumber[d.tier] = tr
		t.sorted = append(t.sorted, tr)
		slices.SortFunc(t.sorted, func(a, b *tier) int { return cmp.Compare(a.number, b.number) })
	}
	prev, known := tr.members[m]
	if !known {
		m.tier, m.tierSeq = tr, tr.nextSeq
		tr.nextSeq++
	}
	tr.members[m] = d
	tr.readyWeight += effectiveWeight(d) - effectiveWeight(prev)
	t.dirty = true
	t.pending = append(t.pending, m)
}

// remove deletes a member from its tier.
func (tr *tier) remove(m *member) {
	tr.readyWeight -= effectiveWeight(tr.members[m])
	delete(tr.members, m)
}

// remove deletes a member, and its tier once that is empty.
func (t *tiers) remove(m *member) {
	tr := m.tier
	if tr == nil {
		return
	}
	m.tier = nil
	t.dirty = true
	if tr.remove(m); len(tr.members) == 0 {
		t.sorted = slices.DeleteFunc(t.sorted, func(o *tier) bool { return o == tr })
		delete(t.byNumber, tr.number)
	}
}

// publish publishes a server's decision; a ready server of a tier or part that is not open is published as draining.
func (t *tiers) publish(tr *tier, m *member, d decision) {
	e, rule := d.entry, d.rule
	if e.State == choice.Ready {
		switch parts := t.owner.settings.RampParts; {
		case !tr.open:
			e.State, rule = choice.Draining, ClosedTier
		case parts > 0 && m.tierSeq%parts >= tr.openParts && !m.publishedReady(): // a server that gets calls keeps them
			e.State, rule = choice.Draining, Ramping
		}
	}
	t.owner.publish(m, e, rule, d.tier, d.eligible)
}

// publishedReady reports whether the server was last published as ready.
func (m *member) publishedReady() bool {
	return m.published.announced && m.published.entry.State == choice.Ready
}

// advance marks the tiers dirty if the passing of time may change them.
func (t *tiers) advance() {
	ramps := func(tr *tier) bool { return tr.open && tr.openParts < t.owner.settings.RampParts }
	t.dirty = t.dirty || len(t.sorted) > 1 || slices.ContainsFunc(t.sorted, ramps)
}

// apply opens, closes and ramps tiers if something has changed, and then publishes the pending members.
func (t *tiers) apply() {
	if !t.dirty {
		return
	}
	t.dirty = false
	set, now := &t.owner.settings, t.owner.now
	betterWeight := 0.0 // ready weight of the better tiers that are open
	for i, tr := range t.sorted {
		if i == 0 {
			t.baseline = max(t.baseline*math.Exp2(-float64(now-t.baselineAt)/float64(baselineHalfLife)), tr.readyWeight)
			t.baselineAt = now
		}
		switch {
		case i == 0 && !tr.open:
			// If no other tier is open, holding back parts of the best one would put all calls on the rest of it.
			t.open(tr, t.onlyOpen(tr))
		case i > 0 && !tr.open && betterWeight < set.OpenBelow*t.baseline:
			t.open(tr, false)
		case i > 0 && tr.open && betterWeight >= set.CloseAbove*t.baseline:
			if tr.enoughSince == 0 {
				tr.enoughSince = now
				t.owner.schedule(now+set.CloseDelay, nil)
			}
			if now-tr.enoughSince >= set.CloseDelay {
				t.close(tr)
			}
		default:
			tr.enoughSince = 0
		}
		t.ramp(tr)
		if tr.open {
			betterWeight += tr.readyWeight
		}
	}
	for _, m := range t.pending {
		if m.tier != nil {
			t.publish(m.tier, m, m.tier.members[m])
		}
	}
	t.pending = t.pending[:0]
}

// onlyOpen reports whether no tier other than tr is open.
func (t *tiers) onlyOpen(tr *tier) bool {
	return !slices.ContainsFunc(t.sorted, func(o *tier) bool { return o != tr && o.open })
}

// open opens a tier, wholly or with its first part.
func (t *tiers) open(tr *tier, whole bool) {
	tr.open, tr.openedAt, tr.enoughSince, tr.openParts = true, t.owner.now, 0, 1
	if whole {
		tr.openParts = max(1, t.owner.settings.RampParts)
	}
	if tr.openParts < t.owner.settings.RampParts {
		t.owner.schedule(t.owner.now+t.owner.settings.RampStep, nil)
	}
	t.republish(tr)
}

// close closes a tier.
func (t *tiers) close(tr *tier) {
	tr.open, tr.openParts, tr.enoughSince = false, 0, 0
	t.republish(tr)
}

// ramp admits the parts of an open tier that are due.
func (t *tiers) ramp(tr *tier) {
	set := &t.owner.settings
	if !tr.open || tr.openParts >= set.RampParts || set.RampStep <= 0 {
		return
	}
	dueParts := min(set.RampParts, 1+int((t.owner.now-tr.openedAt)/set.RampStep))
	if dueParts > tr.openParts {
		tr.openParts = dueParts
		t.republish(tr)
	}
	if tr.openParts < set.RampParts {
		t.owner.schedule(tr.openedAt+time.Duration(tr.openParts)*set.RampStep, nil)
	}
}

// republish publishes all members of a tier, in order of arrival.
func (t *tiers) republish(tr *tier) {
	all := make([]*member, 0, len(tr.members))
	for m := range tr.members {
		all = append(all, m)
	}
	slices.SortFunc(all, func(a, b *member) int { return cmp.Compare(a.tierSeq, b.tierSeq) })
	for _, m := range all {
		t.publish(tr, m, tr.members[m])
	}
}
