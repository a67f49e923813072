package calltrack

import (
	"slices"
	"sync"
)

// groupSends are the attempts of a call that are, or were, sent and may have run. It is for calls whose attempts must all go to processes of one
// zone or cell. The decision module chooses servers by the list; which process is at a server's address is seen only as the attempt is written.
// Attempts are written by several goroutines.
type groupSends struct {
	mu    sync.Mutex
	begun []groupSend
}

// groupSend is one of groupSends.
type groupSend struct {
	attempt int
	certain bool // the process that it is sent to is certain to be the one that the list names
}

// GroupVerdict says whether an attempt of a call with GroupBound may be written.
type GroupVerdict int

// The values of GroupVerdict.
const (
	GroupKept       GroupVerdict = iota // it may, and counts as sent
	ProcessDoubtful                     // not to this process: it may be of another group than one to which the call was sent
	GroupUnknown                        // to none: the group of a process to which the call was sent is not known
)

// BeginInGroup decides right before an attempt is written whether it may be, by whether the process that it is sent to is certain to be the one that
// the list names. It is safe for concurrent use.
func (at *Attempt) BeginInGroup(certain bool) GroupVerdict {
	sends := &at.Call.groupSends
	sends.mu.Lock()
	defer sends.mu.Unlock()
	switch {
	case slices.ContainsFunc(sends.begun, func(s groupSend) bool { return !s.certain }):
		return GroupUnknown
	case len(sends.begun) > 0 && !certain:
		return ProcessDoubtful
	}
	sends.begun = append(sends.begun, groupSend{at.Number, certain})
	return GroupKept
}

// GroupSends returns the number of attempts that count as sent, and whether all were sent to processes that the list names. It is for the state
// explorer.
func (c *Call) GroupSends() (begun int, allCertain bool) {
	c.groupSends.mu.Lock()
	defer c.groupSends.mu.Unlock()
	return len(c.groupSends.begun), !slices.ContainsFunc(c.groupSends.begun, func(s groupSend) bool { return !s.certain })
}

// ended records the end of an attempt. One that has not run puts no bound on the others.
func (g *groupSends) ended(attempt int, neverRan bool) {
	if !neverRan {
		return
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	g.begun = slices.DeleteFunc(g.begun, func(s groupSend) bool { return s.attempt == attempt })
}
