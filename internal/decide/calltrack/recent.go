package calltrack

import (
	"time"

	"ternbeam/choice"
	"ternbeam/internal/decide/recentids"
)

// This file keeps calls from running a second time under the id of an earlier call, which may have been received by another process of the agent.

// remembersIDs reports whether ids are remembered at all.
func (t *Tracker) remembersIDs() bool { return t.settings.Effects != nil }

// isDuplicate reports whether the id of a call is that of another one that is in progress, or may have run.
func (t *Tracker) isDuplicate(call *Call) bool {
	return t.calls[call.ID] != nil || t.remembersIDs() && t.recent.Contains(t.now, recentids.HashOf(call.ID))
}

// remember remembers the id of a call that is closed, if it may have run and must not do so twice, or if its client has left: nobody else knows
// then whether it did.
func (t *Tracker) remember(call *Call) {
	if !t.remembersIDs() || call.inFlight == 0 && !call.possiblyRan {
		return
	}
	if call.ClientDisconnected() || t.mustNotRepeat(call) {
		t.recent.Add(t.now, recentids.HashOf(call.ID))
	}
}

// mustNotRepeat reports whether running a call twice does harm.
func (t *Tracker) mustNotRepeat(call *Call) bool {
	return call.Class >= 0 && call.Class < len(t.settings.Effects) && t.settings.Effects[call.Class] != choice.Safe
}

// AnnouncedID returns the id of a call to announce to other processes of the agent as it arrives. It returns false if the call may run twice.
func (t *Tracker) AnnouncedID(call *Call) (recentids.Hash, bool) {
	return recentids.HashOf(call.ID), t.calls[call.ID] == call && t.mustNotRepeat(call)
}

// RememberIDs remembers ids of calls of another process of the agent.
func (t *Tracker) RememberIDs(now time.Duration, ids []recentids.Hash) {
	for _, h := range ids[:min(len(ids), recentids.MaxIDs)] {
		t.recent.Add(now, h)
	}
}

// RecentIDs returns the ids of calls that may have run, and of those in progress that must not run twice.
func (t *Tracker) RecentIDs(now time.Duration) []recentids.Hash {
	all := t.recent.Hashes(now)
	for _, call := range t.calls {
		if t.mustNotRepeat(call) {
			all = append(all, recentids.HashOf(call.ID))
		}
	}
	return all
}
