package lifecycle

import (
	"errors"
	"maps"
	"math"
	"slices"
	"time"

	"ternbeam/choice"
)

// ErrUnexpectedReply reports a reply with a sequence id that no pending call has, such as a second reply to the same call. The
// server's sequence ids can't be trusted then, and any reply on the connection may belong to another call.
var ErrUnexpectedReply = errors.New("lifecycle: reply with the sequence id of no pending call")

// MultiplexedConn is the state machine of a connection that carries several concurrent attempts, told apart by sequence ids. It
// is not safe for concurrent use.
type MultiplexedConn struct {
	pendingCalls map[int32]*PendingCall // by sequence id
	queue        []*PendingCall         // calls that are not written yet, in order
	seq          int32                  // the sequence id that was assigned last
	lastReply    time.Time              // time of the latest reply, or of the connection's start
	broken       bool                   // further received data can't be interpreted
	cause        Cause                  // why the connection is broken
	suspect      bool                   // accepts no new attempts
}

// PendingCall holds an attempt on a MultiplexedConn. If the attempt has ended and its call is still pending, it was abandoned and its
// reply is still outstanding.
type PendingCall struct {
	Seq          int32 // sequence id of the call and its reply
	Attempt      *Attempt
	Host         any // the host's data for the pending call
	writeStarted time.Time
}

// NewMultiplexedConn returns the state machine of a connection that was established at now.
func NewMultiplexedConn(now time.Time) *MultiplexedConn {
	return &MultiplexedConn{pendingCalls: map[int32]*PendingCall{}, lastReply: now}
}

// Join makes an attempt a pending call and queues it to be written. It returns nil if the connection has maxPendingCalls already, or
// accepts no new attempts.
func (m *MultiplexedConn) Join(a *Attempt, host any, maxPendingCalls int) (*PendingCall, error) {
	if m.broken || m.suspect || len(m.pendingCalls) >= maxPendingCalls {
		return nil, nil
	}
	for {
		if m.seq == math.MaxInt32 {
			m.seq = 0
		}
		if m.seq++; m.pendingCalls[m.seq] == nil {
			break
		}
	}
	var err error
	if a.stage == AwaitingSlot { // the connection was dialed for another attempt and is shared
		err = a.Connect()
	}
	p := &PendingCall{Seq: m.seq, Attempt: a, Host: host}
	m.pendingCalls[p.Seq] = p
	m.queue = append(m.queue, p)
	return p, err
}

// Next takes the next pending call to write from the queue. It returns nil if there is none.
func (m *MultiplexedConn) Next() *PendingCall {
	if m.broken || len(m.queue) == 0 {
		return nil
	}
	p := m.queue[0]
	m.queue = m.queue[1:]
	return p
}

// Remove removes the pending call of an attempt whose Begin has returned false, so that nothing of it may be sent.
func (m *MultiplexedConn) Remove(p *PendingCall) { delete(m.pendingCalls, p.Seq) }

// WriteStarted records that the message of an attempt is being written. Until WriteEnded it is unknown how much of it is written.
func (m *MultiplexedConn) WriteStarted(p *PendingCall, now time.Time) error {
	p.writeStarted = now
	return p.Attempt.MarkUncertain()
}

// WriteEnded records the end of a write, with the number of bytes of the message that were written. If no reply will follow,
// because the call is oneway or was not written completely, this ends the attempt, unless it has ended before.
func (m *MultiplexedConn) WriteEnded(p *PendingCall, n int, oneway bool) (ended bool, err error) {
	if p.Attempt.stage != Ended {
		err = p.Attempt.Wrote(n)
	}
	if m.pendingCalls[p.Seq] != p || !oneway && n == p.Attempt.size { // the reply was already received, or is still to come
		return false, err
	}
	delete(m.pendingCalls, p.Seq)
	switch p.Attempt.stage {
	case Ended: // it was abandoned
		return false, err
	case Waiting:
		return true, errors.Join(err, p.Attempt.Answer(choice.OK))
	}
	return true, errors.Join(err, p.Attempt.Fail(Broken))
}

// ReplyStarted records the start of a reply with a sequence id and returns the pending call that it belongs to.
func (m *MultiplexedConn) ReplyStarted(seq int32, now time.Time) (*PendingCall, error) {
	p := m.pendingCalls[seq]
	if p == nil || p.Attempt.stage == Ready {
		return nil, ErrUnexpectedReply
	}
	m.lastReply = now
	return p, nil
}

// ReplyEnded records the result of a complete reply. It ends the attempt, unless that was abandoned.
func (m *MultiplexedConn) ReplyEnded(p *PendingCall, r choice.Result) (ended bool, err error) {
	delete(m.pendingCalls, p.Seq)
	if p.Attempt.stage == Ended {
		return false, nil
	}
	return true, errors.Join(p.Attempt.Read(), p.Attempt.Answer(r))
}

// Abandon ends an attempt whose reply is no longer waited for. If the attempt timed out and the connection received no reply at
// all since the attempt was written, the connection becomes suspect and accepts no new attempts.
func (m *MultiplexedConn) Abandon(p *PendingCall, c Cause) error {
	switch p.Attempt.stage {
	case Ready:
		delete(m.pendingCalls, p.Seq)
		m.queue = slices.DeleteFunc(m.queue, func(o *PendingCall) bool { return o == p })
	case Waiting:
		if c == TimedOut && m.lastReply.Before(p.writeStarted) {
			m.suspect = true
		}
	}
	return p.Attempt.Fail(c)
}

// Break marks the connection as broken and ends its attempts with the cause of the first Break: those that can't have run end as
// never sent. It returns the pending calls of the attempts that it ended. Attempts that are being written are ended by WriteEnded.
func (m *MultiplexedConn) Break(c Cause) (ended []*PendingCall, err error) {
	if !m.broken {
		m.broken, m.cause = true, c
	}
	for _, seq := range slices.Sorted(maps.Keys(m.pendingCalls)) {
		p := m.pendingCalls[seq]
		if p.Attempt.stage == Writing {
			continue
		}
		delete(m.pendingCalls, seq)
		if p.Attempt.stage != Ended {
			err = errors.Join(err, p.Attempt.Fail(m.cause))
			ended = append(ended, p)
		}
	}
	m.queue = nil
	return ended, err
}

// PendingCalls returns all pending calls, ordered by sequence id.
func (m *MultiplexedConn) PendingCalls() (all []*PendingCall) {
	for _, seq := range slices.Sorted(maps.Keys(m.pendingCalls)) {
		all = append(all, m.pendingCalls[seq])
	}
	return all
}

// Broken reports whether Break was called: further received data can't be interpreted.
func (m *MultiplexedConn) Broken() bool { return m.broken }

// CanRelease reports whether the connection should be released to the pool, and whether it may be reused. It is
// released when it has no pending calls left, or, if it can't be reused, when only abandoned attempts are left; then it is closed.
func (m *MultiplexedConn) CanRelease(retired bool) (release, reuse bool) {
	reuse = !m.broken && !m.suspect && !retired
	for _, p := range m.pendingCalls {
		if reuse || p.Attempt.stage != Ended {
			return false, reuse
		}
	}
	return true, reuse
}
