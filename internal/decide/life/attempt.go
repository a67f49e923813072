// Package life holds the lives of an attempt and of a connection as state machines. They do no I/O and read no clock:
// what happens is told to them, and what it means is asked of them. Every transport uses them, and so does the
// explorer, so that what is explored is the code that runs.
package life

import (
	"fmt"

	"ternbeam/choice"
)

// Stage is how far an attempt has come.
type Stage int

// The stages of an attempt.
const (
	Placing  Stage = iota // waits for a place for a connection
	Dialling              // waits for a connection to come up
	Ready                 // has a connection; nothing is written
	Writing               // some bytes may be written, not the last
	Waiting               // the last byte is written
	Reading               // the answer has begun
	Ended
)

var stageNames = [...]string{"placing", "dialling", "ready", "writing", "waiting", "reading", "ended"}

func (s Stage) String() string { return stageNames[s] }

// Cause is why an attempt ends without an answer.
type Cause int

// The causes.
const (
	Broken    Cause = iota // the connection broke, ended or never came up
	Garbled                // nobody can tell what came
	Late                   // its time is over
	Withdrawn              // the module has withdrawn it
	NoPlace                // no place for a connection was given up in time
)

var causeNames = [...]string{"broken", "garbled", "late", "withdrawn", "no place"}

func (c Cause) String() string { return causeNames[c] }

// Attempt is the life of one attempt. The zero value is one that waits for a place.
type Attempt struct {
	stage  Stage
	size   int  // of the message, from Begin on
	sent   int  // bytes of it that are known to be written
	unsure bool // nobody can tell how many more are
	result choice.Result
	word   bool // the server said outright that it never ran
}

// Stage returns how far the attempt has come.
func (a *Attempt) Stage() Stage { return a.stage }

// Result returns how the attempt ended.
func (a *Attempt) Result() choice.Result { return a.result }

// CanHaveRun reports whether the server may have begun the call: from the last byte of the message on, or when it
// answers as if it had all, unless it said that it did not. Nothing else tells.
func (a *Attempt) CanHaveRun() bool {
	answered := a.stage == Ended && (a.result == choice.OK || a.result == choice.Failed)
	return !a.word && (answered || a.unsure || a.size > 0 && a.sent >= a.size)
}

func (a *Attempt) illegal(event string) error {
	return fmt.Errorf("life: an attempt that is %s can't be %s", a.stage, event)
}

// Dial says that the attempt has a place and dials.
func (a *Attempt) Dial() error {
	if a.stage != Placing {
		return a.illegal("dialling")
	}
	a.stage = Dialling
	return nil
}

// Connect says that the attempt has a connection: an idle one, or the one that it dialled.
func (a *Attempt) Connect() error {
	if a.stage != Placing && a.stage != Dialling {
		return a.illegal("connected")
	}
	a.stage = Ready
	return nil
}

// Now is what holds at the moment at which an attempt would be sent.
type Now struct {
	Withdrawn bool // by the module
	Late      bool // its time is over
	Over      bool // the call has its final answer, or its client is gone
	Retired   bool // the server drains, is gone or was replaced
}

// Begin is asked right before the first byte is written. It ends an attempt that must not be sent any more: the time
// that it waited for a connection may have changed what was right.
func (a *Attempt) Begin(size int, now Now) (send bool, err error) {
	if a.stage != Ready {
		return false, a.illegal("begun")
	}
	a.size = size
	switch {
	case now.Withdrawn:
		a.end(choice.Cancelled)
	case now.Late || now.Over:
		a.end(choice.NotSent)
	case now.Retired:
		a.end(choice.ConnectFailed)
	default:
		a.stage = Writing
		return true, nil
	}
	return false, nil
}

// Wrote says how many bytes of the message are written in all.
func (a *Attempt) Wrote(n int) error {
	if a.stage != Writing && a.stage != Reading || n < a.sent || n > a.size {
		return a.illegal(fmt.Sprintf("written as far as byte %d of %d", n, a.size))
	}
	a.unsure = false
	if a.sent = n; n == a.size && a.stage == Writing {
		a.stage = Waiting
	}
	return nil
}

// Sized says how long the message is, where that was not known when it was begun.
func (a *Attempt) Sized(n int) error {
	if a.stage != Writing && a.stage != Reading || n < a.sent || n > a.size {
		return a.illegal(fmt.Sprintf("sized as %d", n))
	}
	a.size = n
	return nil
}

// Unsure says that the message is being written and nobody can tell how far that gets: it counts as written.
func (a *Attempt) Unsure() error {
	if a.stage != Writing {
		return a.illegal("left to be written")
	}
	a.unsure = true
	return nil
}

// Read says that the answer's first byte has come. It may come before the message is written whole.
func (a *Attempt) Read() error {
	if a.stage != Writing && a.stage != Waiting {
		return a.illegal("read")
	}
	a.stage = Reading
	return nil
}

// Answer ends the attempt with what the whole answer says: OK, Failed, or Rejected where the server says outright that
// the call never ran.
func (a *Attempt) Answer(r choice.Result) error {
	if a.stage != Reading && !(a.stage == Waiting && r == choice.OK) || r != choice.OK && r != choice.Failed && r != choice.Rejected {
		return a.illegal(fmt.Sprintf("answered with result %d", r))
	}
	a.word = r == choice.Rejected
	a.end(r)
	return nil
}

// Fail ends the attempt without an answer. The connection that it had, if any, is closed: what is not written by then
// never will be.
func (a *Attempt) Fail(c Cause) error {
	switch {
	case a.stage == Ended:
		return a.illegal(c.String())
	case c == Withdrawn:
		a.end(choice.Cancelled)
	case (a.stage == Placing || a.stage == Ready) && (c == NoPlace || c == Late):
		a.end(choice.NotSent)
	case !a.CanHaveRun():
		a.end(choice.ConnectFailed)
	case c == Garbled:
		a.end(choice.Failed)
	case c == Late:
		a.end(choice.TimedOut)
	default:
		a.end(choice.Reset)
	}
	return nil
}

func (a *Attempt) end(r choice.Result) { a.stage, a.result = Ended, r }
