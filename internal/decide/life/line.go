package life

import (
	"errors"
	"maps"
	"math"
	"slices"
	"time"

	"ternbeam/choice"
)

// ErrForeign says that a reply answers nothing that was asked, or something a second time: the sequence ids of its
// server can't be trusted, and all that is on the line may be somebody else's.
var ErrForeign = errors.New("life: a reply that answers nothing")

// Line is the life of a connection that carries several attempts at a time, told apart by sequence ids.
type Line struct {
	slots   map[int32]*Slot // by sequence id
	queue   []*Slot         // not begun, in their turn
	seq     int32
	heard   time.Time // the latest reply, or when the line came up
	broken  bool      // nothing more can be told from what comes
	cause   Cause     // why
	suspect bool      // gets nothing new
}

// Slot is an attempt's place on a Line. One whose attempt has ended while it is still there was given up, with its reply
// still to come.
type Slot struct {
	Seq   int32
	Life  *Attempt
	Host  any // what the host keeps with it
	begun time.Time
}

// NewLine returns the life of a connection that came up just now.
func NewLine(now time.Time) *Line { return &Line{slots: map[int32]*Slot{}, heard: now} }

// Join gives an attempt a place, if there are fewer than so many and the line is good for something new; nil if not.
func (l *Line) Join(a *Attempt, host any, most int) (*Slot, error) {
	if l.broken || l.suspect || len(l.slots) >= most {
		return nil, nil
	}
	for {
		if l.seq == math.MaxInt32 {
			l.seq = 0
		}
		if l.seq++; l.slots[l.seq] == nil {
			break
		}
	}
	var err error
	if a.stage == Placing { // the line is another's that is shared
		err = a.Connect()
	}
	s := &Slot{Seq: l.seq, Life: a, Host: host}
	l.slots[s.Seq] = s
	l.queue = append(l.queue, s)
	return s, err
}

// Next takes the next attempt from the queue that is to begin, or nil.
func (l *Line) Next() *Slot {
	if l.broken || len(l.queue) == 0 {
		return nil
	}
	s := l.queue[0]
	l.queue = l.queue[1:]
	return s
}

// Drop takes an attempt off the line whose Begin said that it must not be sent.
func (l *Line) Drop(s *Slot) { delete(l.slots, s.Seq) }

// Begun says that an attempt which may be sent is being written: until the write has ended nobody can tell how far.
func (l *Line) Begun(s *Slot, now time.Time) error {
	s.begun = now
	return s.Life.Unsure()
}

// Wrote says how many bytes of a message were written when the write ended. Where no reply will come, as it is a oneway
// or not written whole, that ends the attempt, if it has not ended before.
func (l *Line) Wrote(s *Slot, n int, oneway bool) (ended bool, err error) {
	if s.Life.stage != Ended {
		err = s.Life.Wrote(n)
	}
	if l.slots[s.Seq] != s || !oneway && n == s.Life.size { // its reply has come already, or is to come
		return false, err
	}
	delete(l.slots, s.Seq)
	switch s.Life.stage {
	case Ended: // nobody waits for it
		return false, err
	case Waiting:
		return true, errors.Join(err, s.Life.Answer(choice.OK))
	}
	return true, errors.Join(err, s.Life.Fail(Broken))
}

// Reply says that a reply has begun, and returns whose it is.
func (l *Line) Reply(seq int32, now time.Time) (*Slot, error) {
	s := l.slots[seq]
	if s == nil || s.Life.stage == Ready {
		return nil, ErrForeign
	}
	l.heard = now
	return s, nil
}

// Answered says what a reply was whole. It ends the attempt, but for one that was given up.
func (l *Line) Answered(s *Slot, r choice.Result) (ended bool, err error) {
	delete(l.slots, s.Seq)
	if s.Life.stage == Ended {
		return false, nil
	}
	return true, errors.Join(s.Life.Read(), s.Life.Answer(r))
}

// Abandon ends an attempt whose reply is waited for no longer. What the line was asked and has answered nothing since,
// for as long as the attempt had, makes it suspect.
func (l *Line) Abandon(s *Slot, c Cause) error {
	switch s.Life.stage {
	case Ready:
		delete(l.slots, s.Seq)
		l.queue = slices.DeleteFunc(l.queue, func(o *Slot) bool { return o == s })
	case Waiting:
		if c == Late && l.heard.Before(s.begun) {
			l.suspect = true
		}
	}
	return s.Life.Fail(c)
}

// Break ends all that is on the line, by its first cause, and returns what it ended: what may have run, and the rest as
// never sent. Attempts that are being written are left to Wrote.
func (l *Line) Break(c Cause) (ended []*Slot, err error) {
	if !l.broken {
		l.broken, l.cause = true, c
	}
	for _, seq := range slices.Sorted(maps.Keys(l.slots)) {
		s := l.slots[seq]
		if s.Life.stage == Writing {
			continue
		}
		delete(l.slots, seq)
		if s.Life.stage != Ended {
			err = errors.Join(err, s.Life.Fail(l.cause))
			ended = append(ended, s)
		}
	}
	l.queue = nil
	return ended, err
}

// Slots returns what is on the line, by sequence ids.
func (l *Line) Slots() (all []*Slot) {
	for _, seq := range slices.Sorted(maps.Keys(l.slots)) {
		all = append(all, l.slots[seq])
	}
	return all
}

// Broken reports whether nothing more can be told from what comes.
func (l *Line) Broken() bool { return l.broken }

// Rests reports whether the connection is to be given back, and whether it may be used again. One that carries only what
// was given up, and gets nothing new, is closed.
func (l *Line) Rests(retired bool) (rests, reuse bool) {
	reuse = !l.broken && !l.suspect && !retired
	for _, s := range l.slots {
		if reuse || s.Life.stage != Ended {
			return false, reuse
		}
	}
	return true, reuse
}
