// Package lifecycle holds the state machines of attempts, of connections to servers and of multiplexed connections. They do no
// I/O and read no clock: the caller reports events and asks for the resulting state. All transports use them, and so does the
// state explorer, so that it explores the code that runs in production.
//
// A slot is a connection's share of the connection pool's limit (see PoolState). The stage AwaitingSlot and the cause NoSlot refer
// to such slots. A PendingCall is something else: it holds one attempt on a MultiplexedConn, which several attempts share.
package lifecycle

import (
	"fmt"

	"ternbeam/choice"
)

// Stage is how far an attempt has progressed.
type Stage int

// The stages of an attempt.
const (
	AwaitingSlot Stage = iota // waits for a slot in the connection pool
	Dialing                   // waits for a connection to be established
	Ready                     // has a connection; nothing is written yet
	Writing                   // some bytes may have been written, but not the last one
	Waiting                   // the last byte has been written; waits for the answer
	Reading                   // the first byte of the answer has been received
	Ended                     // has a result
)

var stageNames = [...]string{"placing", "dialling", "ready", "writing", "waiting", "reading", "ended"}

// String returns the name of the stage, for logs and errors.
func (s Stage) String() string { return stageNames[s] }

// Cause is why an attempt ended without an answer.
type Cause int

// The causes.
const (
	Broken    Cause = iota // the connection failed, was closed or was never established
	Malformed              // the received data can't be parsed
	TimedOut               // the attempt timed out
	Canceled               // the decision module canceled the attempt
	NoSlot                 // no slot in the connection pool became free in time
)

var causeNames = [...]string{"broken", "garbled", "late", "withdrawn", "no place"}

// String returns the name of the cause, for logs and errors.
func (c Cause) String() string { return causeNames[c] }

// Attempt is the state machine of one attempt. The zero value waits for a slot in the connection pool. A method that returns an
// error, because the transition is illegal in the current stage, leaves the state unchanged.
type Attempt struct {
	stage     Stage
	size      int  // of the message in bytes; set by Begin
	sent      int  // bytes of the message that are known to be written
	uncertain bool // more bytes than sent may have been written, up to all
	result    choice.Result
	rejected  bool // the server answered explicitly that the call never ran
}

// Stage returns how far the attempt has progressed.
func (a *Attempt) Stage() Stage { return a.stage }

// Result returns how the attempt ended. It is valid once the stage is Ended.
func (a *Attempt) Result() choice.Result { return a.result }

// MayHaveRun reports whether the server may have started to process the call. That is so once the last byte of the message may
// have been written, or if the server answers as if it had received all of it, unless it answered that the call never ran.
// Nothing else counts as evidence.
func (a *Attempt) MayHaveRun() bool {
	answered := a.stage == Ended && (a.result == choice.OK || a.result == choice.Failed)
	return !a.rejected && (answered || a.uncertain || a.size > 0 && a.sent >= a.size)
}

func (a *Attempt) illegal(event string) error {
	return fmt.Errorf("lifecycle: illegal event for an attempt in stage %q: %s", a.stage, event)
}

// Dial records that the attempt has a slot in the connection pool and that dialing has started.
func (a *Attempt) Dial() error {
	if a.stage != AwaitingSlot {
		return a.illegal("dialling")
	}
	a.stage = Dialing
	return nil
}

// Connect records that the attempt has a connection: an idle one, or the one that it dialed.
func (a *Attempt) Connect() error {
	if a.stage != AwaitingSlot && a.stage != Dialing {
		return a.illegal("connected")
	}
	a.stage = Ready
	return nil
}

// Conditions are the circumstances at the moment at which an attempt is about to be sent.
type Conditions struct {
	Canceled     bool // the decision module canceled the attempt
	TimedOut     bool // the attempt timed out
	CallFinished bool // the call has its final answer, or its client has disconnected
	Retired      bool // the server is draining, was removed or was replaced
	GroupUnknown bool // the call may have run at a process of an unknown group, so no other may get it
}

// Begin decides whether the attempt is sent. It is called right before the first byte of a message of size bytes is written. It
// ends an attempt that must not be sent any more, as conditions may have changed while the attempt waited for a connection.
func (a *Attempt) Begin(size int, now Conditions) (send bool, err error) {
	if a.stage != Ready {
		return false, a.illegal("begun")
	}
	a.size = size
	switch {
	case now.Canceled:
		a.end(choice.Canceled)
	case now.TimedOut || now.CallFinished:
		a.end(choice.NotSent)
	case now.GroupUnknown:
		a.end(choice.NotSent)
	case now.Retired:
		a.end(choice.ConnectFailed)
	default:
		a.stage = Writing
		return true, nil
	}
	return false, nil
}

// Wrote records that the first n bytes of the message have been written in total.
func (a *Attempt) Wrote(n int) error {
	if a.stage != Writing && a.stage != Reading || n < a.sent || n > a.size {
		return a.illegal(fmt.Sprintf("write of %d of %d bytes", n, a.size))
	}
	a.uncertain = false
	if a.sent = n; n == a.size && a.stage == Writing {
		a.stage = Waiting
	}
	return nil
}

// SetSize sets the length of the message in bytes, where Begin was given only an upper bound of it.
func (a *Attempt) SetSize(n int) error {
	if a.stage != Writing && a.stage != Reading || n < a.sent || n > a.size {
		return a.illegal(fmt.Sprintf("set size to %d", n))
	}
	a.size = n
	return nil
}

// MarkUncertain records that a write of the message is in progress and that it is unknown how far it has got. Until the next
// Wrote the message counts as written completely.
func (a *Attempt) MarkUncertain() error {
	if a.stage != Writing {
		return a.illegal("write in progress")
	}
	a.uncertain = true
	return nil
}

// Read records that the first byte of the answer was received. That may be before the message is written completely.
func (a *Attempt) Read() error {
	if a.stage != Writing && a.stage != Waiting {
		return a.illegal("read")
	}
	a.stage = Reading
	return nil
}

// Answer ends the attempt with the result of the complete answer: OK, Failed, or Rejected if the server states explicitly that
// the call never ran.
func (a *Attempt) Answer(r choice.Result) error {
	if a.stage != Reading && !(a.stage == Waiting && r == choice.OK) || r != choice.OK && r != choice.Failed && r != choice.Rejected {
		return a.illegal(fmt.Sprintf("answer with result %d", r))
	}
	a.rejected = r == choice.Rejected
	a.end(r)
	return nil
}

// Fail ends the attempt without an answer. Its connection, if it has one, is closed, so that bytes not written so far never will
// be.
func (a *Attempt) Fail(c Cause) error {
	switch {
	case a.stage == Ended:
		return a.illegal(c.String())
	case c == Canceled:
		a.end(choice.Canceled)
	case (a.stage == AwaitingSlot || a.stage == Ready) && (c == NoSlot || c == TimedOut):
		a.end(choice.NotSent)
	case !a.MayHaveRun():
		a.end(choice.ConnectFailed)
	case c == Malformed:
		a.end(choice.Failed)
	case c == TimedOut:
		a.end(choice.TimedOut)
	default:
		a.end(choice.Reset)
	}
	return nil
}

func (a *Attempt) end(r choice.Result) { a.stage, a.result = Ended, r }
