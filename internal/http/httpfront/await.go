package httpfront

import (
	"context"
	"io"
	"time"

	"ternbeam/internal/host/conntrack"
	"ternbeam/internal/host/core"
)

// await waits for the answer to a call. It returns false if the client disconnects first. Meanwhile net/http reads the connection
// and reports its end at once, unless there is data behind the request: then it stops reading, and the connection is probed instead.
func (f *Front) await(ctx context.Context, conn *conntrack.Conn, answer <-chan core.Answer, gone func() bool) (core.Answer, bool) {
	ticker := time.NewTicker(f.probeInterval)
	defer ticker.Stop()
	for {
		select {
		case ans := <-answer:
			return ans, true
		case <-ctx.Done():
			return core.Answer{}, false
		case <-conn.ReadDone():
			ticker.Reset(f.probeInterval)
		case <-ticker.C:
			switch {
			case conn.BeingRead():
				ticker.Stop()
			case gone():
				return core.Answer{}, false
			}
		}
	}
}

// answerSlot delivers the final answer of one call. An answer may start at the moment when its client disconnects: whichever side
// notices last closes the answer's stream, which would otherwise wait for a reader forever.
type answerSlot struct {
	call    *core.Call
	answers chan core.Answer
}

func newAnswerSlot(call *core.Call) answerSlot { return answerSlot{call, make(chan core.Answer, 1)} }

// deliver is the Call.Answer callback.
func (s answerSlot) deliver(ans core.Answer) {
	if s.answers <- ans; s.call.ClientDisconnected() {
		s.discard()
	}
}

// discard closes an answer that was not received. If there is none yet, deliver discards it once the client has disconnected.
func (s answerSlot) discard() {
	select {
	case ans := <-s.answers:
		if r, ok := ans.Reply.(io.Closer); ok {
			r.Close()
		}
	default:
	}
}
