// Package operators decides what the operators' word does to the list of servers: who is out by hand, and what an entry
// of the list counts as then. It does no I/O and reads no clock.
package operators

import (
	"maps"
	"slices"
	"time"

	"ternbeam/choice"
)

// Most is how many servers may be out by hand at a time. A fleet that is replaced while some are out must not make the
// words about servers that never return grow without end.
const Most = 10_000

// Word is what the operators have said. The zero value is that they have said nothing.
type Word struct {
	out  map[string]bool
	back map[string]time.Duration // put back, and when; of servers that are listed
}

// Out reports whether a server is out by hand.
func (w *Word) Out(id string) bool { return w.out[id] }

// Offline takes a server out. It is false where no more can be.
func (w *Word) Offline(id string) bool {
	if w.out == nil {
		w.out = map[string]bool{}
	}
	if !w.out[id] && len(w.out) >= Most {
		return false
	}
	w.out[id] = true
	delete(w.back, id)
	return true
}

// Online puts a server back, however often it was taken out. It is false for one that was not out.
func (w *Word) Online(now time.Duration, id string) bool {
	if !w.out[id] {
		return false
	}
	delete(w.out, id)
	if w.back == nil {
		w.back = map[string]time.Duration{}
	}
	w.back[id] = now.Truncate(time.Millisecond) // as exact as the list tells starts
	return true
}

// Counts is what an entry of the list counts as. One that is out drains, whatever the list says but that it is gone. One
// that was put back was restarted meanwhile, and the list may not have heard of that yet, or never does.
func (w *Word) Counts(s choice.Server) choice.Server {
	if w.out[s.ID] && s.State == choice.Ready {
		s.State = choice.Draining
	}
	if at, ok := w.back[s.ID]; ok {
		s.Started = max(s.Started, at)
	}
	return s
}

// Gone says that the list names a server no more. One that is out stays out: it may be listed again.
func (w *Word) Gone(id string) { delete(w.back, id) }

// Saying is a Word in a form that outlives its process.
type Saying struct {
	Out  []string         `json:"out,omitempty"`
	Back map[string]int64 `json:"back,omitempty"` // Unix milliseconds, by server
}

// Saying returns what was said.
func (w *Word) Saying() Saying {
	s := Saying{Out: slices.Sorted(maps.Keys(w.out))}
	if len(w.back) > 0 {
		s.Back = make(map[string]int64, len(w.back))
		for id, at := range w.back {
			s.Back[id] = at.Milliseconds()
		}
	}
	return s
}

// Take takes over what was said to another process, up to the bound. A start in the future, by a clock that was off,
// counts as now: else a server would stay cold for as long as that.
func (w *Word) Take(now time.Duration, s Saying) {
	for _, id := range s.Out {
		w.Offline(id)
	}
	for id, ms := range s.Back {
		if len(w.back) >= Most || w.out[id] {
			continue
		}
		if w.back == nil {
			w.back = map[string]time.Duration{}
		}
		w.back[id] = max(w.back[id], min(now.Truncate(time.Millisecond), time.Duration(ms)*time.Millisecond))
	}
}

// Count returns how many are out.
func (w *Word) Count() int { return len(w.out) }

// Copy returns an equal Word.
func (w *Word) Copy() Word { return Word{out: maps.Clone(w.out), back: maps.Clone(w.back)} }
