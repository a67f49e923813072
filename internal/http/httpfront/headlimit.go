package httpfront

import (
	"errors"
	"time"

	"ternbeam/internal/host/membudget"
	"ternbeam/internal/http/httpmsg"
)

const (
	// maxLines limits the lines of a head: net/http holds each field in memory that is many times its size.
	maxLines = 128

	// freeHeadBytes is the size up to which a head is read without a reservation. A larger one may wait for headRoomTimeout.
	freeHeadBytes   = 4 << 10
	headRoomBytes   = 3 * httpmsg.MaxHead // the head as recorded, as parsed, and as growing buffers leave it behind
	headRoomTimeout = 500 * time.Millisecond
)

// errTooManyFields ends the reading of a head.
var errTooManyFields = errors.New("the head has too many fields")

// headLimit bounds the memory for the heads of the requests on a connection while they are received. It is not safe for concurrent use.
type headLimit struct {
	ended       bool // the head of the current request has been received
	bytes       int
	lines       int
	lineStarted bool // the current line has a character
	room        *membudget.Reservation
}

// start begins the head of the next request.
func (h *headLimit) start() {
	h.room.Release()
	*h = headLimit{}
}

// finish records that the rest of what is received belongs to a body. The room is kept until the next request starts.
func (h *headLimit) finish() { h.ended = true }

// add records received bytes. It returns errTooManyFields if the head has too many lines.
func (h *headLimit) add(data []byte) error {
	for _, b := range data {
		if h.ended {
			return nil
		}
		h.bytes++
		switch b {
		case '\n':
			h.ended, h.lineStarted = !h.lineStarted, false
			if h.lines++; h.lines > maxLines {
				return errTooManyFields
			}
		case '\r':
		default:
			h.lineStarted = true
		}
	}
	return nil
}

// needsRoom reports whether room is needed before more of the head is read.
func (h *headLimit) needsRoom() bool { return !h.ended && h.bytes >= freeHeadBytes && h.room == nil }
