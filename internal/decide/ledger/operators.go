package ledger

import (
	"time"

	"ternbeam/choice"
	"ternbeam/internal/decide/operators"
)

// Offline takes a server out by the operators' word, until Online. It is false for one that nobody knows.
func (l *Ledger) Offline(now time.Duration, id string) ([]Order, bool) {
	l.begin(now)
	e, listed := l.listed[id]
	if !listed && !l.word.Out(id) || !l.word.Offline(now, id) {
		return nil, false
	}
	if listed {
		l.apply(false, nil, []Entry{e})
	}
	return l.orders, true
}

// Online puts a server back. One that was not out goes on as it was.
func (l *Ledger) Online(now time.Duration, id string) ([]Order, bool) {
	l.begin(now)
	e, listed := l.listed[id]
	if !listed && !l.word.Out(id) {
		return nil, false
	}
	if l.word.Online(now, id) && listed {
		l.apply(false, nil, []Entry{e})
	}
	return l.orders, true
}

// Saying is what the operators have said so far.
func (l *Ledger) Saying() operators.Saying { return l.word.Saying() }

// Take takes over what the operators have said to an earlier process.
func (l *Ledger) Take(now time.Duration, s operators.Saying) []Order {
	l.begin(now)
	l.word.Take(now, s)
	var entries []Entry
	for _, e := range l.listed {
		if c := l.word.Counts(e.Server); c != e.Server {
			entries = append(entries, e)
		}
	}
	if len(entries) > 0 {
		l.apply(false, nil, entries)
	}
	return l.orders
}

// Inherit tells the module what an earlier process of this agent has just learned.
func (l *Ledger) Inherit(now time.Duration, m choice.Memory) { l.balancer.Recall(now, m) }

// Listed returns what the list says of a server.
func (l *Ledger) Listed(id string) (s choice.Server, listed bool) {
	e, listed := l.listed[id]
	return e.Server, listed
}

// Fleet is how many servers are listed, and how many of them are avoided: by hand, or by the module's choice.
func (l *Ledger) Fleet() (listed, avoided int) {
	avoided = l.balancer.Ejected()
	for id := range l.listed {
		if l.word.Out(id) {
			avoided++
		}
	}
	return len(l.listed), avoided
}
