// Package operators decides what the operators' word does to the list of servers: who is out by hand, and what an entry
// of the list counts as then. It does no I/O and reads no clock.
package operators

import (
	"maps"
	"time"

	"ternbeam/choice"
)

// Most is how many servers may be out by hand at a time. A fleet that is replaced while some are out must not make the
// words about servers that never return grow without end.
const Most = 10_000

// Word is what the operators have said. The zero value is that they have said nothing.
type Word struct {
	out  map[string]time.Duration // when
	back map[string]absence       // put back; of servers that are listed
}

// absence is the time in which a server was out: within it, it was restarted.
type absence struct{ from, to time.Duration }

// Out reports whether a server is out by hand.
func (w *Word) Out(id string) bool {
	_, out := w.out[id]
	return out
}

// Offline takes a server out. It is false where no more can be. One that is out already has been since the first time.
func (w *Word) Offline(now time.Duration, id string) bool {
	if w.out == nil {
		w.out = map[string]time.Duration{}
	}
	if !w.Out(id) {
		if len(w.out) >= Most {
			return false
		}
		w.out[id] = now.Truncate(time.Millisecond) // as exact as the list tells starts
	}
	delete(w.back, id)
	return true
}

// Online puts a server back, however often it was taken out. It is false for one that was not out.
func (w *Word) Online(now time.Duration, id string) bool {
	from, out := w.out[id]
	if !out {
		return false
	}
	delete(w.out, id)
	if w.back == nil {
		w.back = map[string]absence{}
	}
	w.back[id] = absence{from, now.Truncate(time.Millisecond)}
	return true
}

// Counts is what an entry of the list counts as. One that is out drains, whatever the list says but that it is gone. One
// that was put back was restarted meanwhile. The list's word on when is good if it is of no start before; it may not have
// heard of the new one yet, or never does, and then it counts as started when it was put back, so that it is not pushed over.
func (w *Word) Counts(s choice.Server) choice.Server {
	if w.Out(s.ID) && s.State == choice.Ready {
		s.State = choice.Draining
	}
	if was, ok := w.back[s.ID]; ok && s.Started < was.from {
		s.Started = was.to
	}
	return s
}

// Gone says that the list names a server no more. One that is out stays out: it may be listed again.
func (w *Word) Gone(id string) { delete(w.back, id) }

// Saying is a Word in a form that outlives its process. Times are Unix milliseconds.
type Saying struct {
	Out  map[string]int64    `json:"out,omitempty"`  // since when, by server
	Back map[string][2]int64 `json:"back,omitempty"` // out from when to when
}

// Saying returns what was said.
func (w *Word) Saying() Saying {
	s := Saying{Out: make(map[string]int64, len(w.out)), Back: make(map[string][2]int64, len(w.back))}
	for id, from := range w.out {
		s.Out[id] = from.Milliseconds()
	}
	for id, was := range w.back {
		s.Back[id] = [2]int64{was.from.Milliseconds(), was.to.Milliseconds()}
	}
	return s
}

// Take takes over what was said to another process, up to the bound. A time in the future, by a clock that was off, counts
// as now: else a server would stay cold for as long as that.
func (w *Word) Take(now time.Duration, s Saying) {
	past := func(ms int64) time.Duration { return min(now, time.Duration(ms)*time.Millisecond) }
	for id, from := range s.Out {
		w.Offline(past(from), id)
	}
	for id, was := range s.Back {
		if len(w.back) >= Most || w.Out(id) {
			continue
		}
		if w.back == nil {
			w.back = map[string]absence{}
		}
		w.back[id] = absence{past(was[0]), past(was[1])}
	}
}

// Copy returns an equal Word.
func (w *Word) Copy() Word { return Word{out: maps.Clone(w.out), back: maps.Clone(w.back)} }
