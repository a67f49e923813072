package httpfront

import (
	"bytes"
	"io"
	"iter"
	"net"
	"net/http"
	"sync"
	"time"

	"ternbeam/internal/decide/throttle"
	"ternbeam/internal/host/conntrack"
	"ternbeam/internal/host/membudget"
	"ternbeam/internal/http/httpmsg"
)

// recordingListener accepts connections as recordingConns.
type recordingListener struct {
	*conntrack.Listener
	headTimeout time.Duration // for a request that has started on an idle connection
	lingering   *lingerers    // takes connections over that are answered before their request is read; nil for none
	throttle    *throttle.Throttle
}

func (l recordingListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &recordingConn{Conn: c.(*conntrack.Conn), headTimeout: l.headTimeout, budget: l.Budget(), lingering: l.lingering, throttle: l.throttle}, nil
}

const (
	readAhead   = 4 << 10                       // net/http reads this much at a time, and up to this far beyond a request
	maxRecorded = httpmsg.MaxHead + 3*readAhead // the largest head that it accepts, and what surrounds it
)

// recordingConn is a connection that keeps the bytes of the head of the current request: net/http exposes neither the complete head nor
// what it has read beyond the request.
type recordingConn struct {
	*conntrack.Conn
	headTimeout time.Duration
	budget      *membudget.Budget
	lingering   *lingerers // nil for none
	throttle    *throttle.Throttle

	mu         sync.Mutex // net/http may continue to read while a request is answered
	head       headLimit
	answered   bool // its last answer was written
	recorded   []byte
	inBody     bool  // the head of the current request has been evaluated
	idle       bool  // nothing has been received since the last request ended
	received   int64 // total bytes read from the connection
	lastRead   int   // bytes returned by the latest Read
	requestEnd int64 // the value of received at which the current request ends, or unknownEnd
}

// unknownEnd is the requestEnd of a request whose length is unknown, or whose head is not recorded.
const unknownEnd = -1

func (c *recordingConn) Read(p []byte) (int, error) {
	if c.reserveHead() != nil {
		return 0, c.refuseHead(http.StatusServiceUnavailable)
	}
	n, err := c.Conn.Read(p)
	if n == 0 {
		return 0, err
	}
	started, tooLarge := c.record(p[:n])
	if tooLarge != nil {
		c.delayUnsound()
		return 0, c.refuseHead(http.StatusRequestHeaderFieldsTooLarge)
	}
	if started {
		c.LimitReading(c.headTimeout) // net/http waits for the first bytes of a request for as long as a connection may be idle
	}
	return n, err
}

// refuseHead answers a request whose head is not read to its end. It returns the error with which net/http closes a connection silently.
func (c *recordingConn) refuseHead(status int) error {
	c.Conn.SetWriteDeadline(time.Now().Add(minWriteTimeout))
	writeClosingAnswer(c.Conn, status, http.StatusText(status))
	c.mu.Lock()
	defer c.mu.Unlock()
	c.answered = true
	return io.EOF
}

// delayUnsound frees what is recorded of a request that can't be read, and waits until it may be answered.
func (c *recordingConn) delayUnsound() {
	c.dropRecorded()
	time.Sleep(c.throttle.Unsound(time.Now()))
}

// Close implements net.Conn. A connection whose request was answered before it was read lingers.
func (c *recordingConn) Close() error {
	c.dropRecorded()
	c.mu.Lock()
	linger := c.answered && c.lingering != nil
	c.answered = false
	c.mu.Unlock()
	if linger {
		c.lingering.add(c)
		return nil
	}
	return c.Conn.Close()
}

// CloseWrite ends sending, after which net/http waits for some time before it closes the connection.
func (c *recordingConn) CloseWrite() error {
	c.dropRecorded()
	return c.Conn.CloseWrite()
}

// dropRecorded frees the memory of a connection on which no further request is read.
func (c *recordingConn) dropRecorded() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.head.start() // releases its room
	c.recorded = nil
}

// reserveHead reserves memory if the head of the current request is large. Only the reader of the head waits for it.
func (c *recordingConn) reserveHead() error {
	c.mu.Lock()
	needed := c.head.needsRoom()
	c.mu.Unlock()
	if !needed {
		return nil
	}
	room, err := c.budget.WaitFor(headRoomBytes, headRoomTimeout)
	if err != nil {
		return err
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.head.room = room
	return nil
}

// SetReadDeadline sets the read deadline as net.Conn's does. If the next request has already started in data read with the last one,
// net/http's deadline for an idle connection is limited to the timeout for a head.
func (c *recordingConn) SetReadDeadline(deadline time.Time) error {
	if limit := time.Now().Add(c.headTimeout); c.nextStarted() && deadline.After(limit) {
		deadline = limit
	}
	return c.Conn.SetReadDeadline(deadline)
}

// nextStarted reports whether the last request has ended and another has started behind it.
func (c *recordingConn) nextStarted() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.idle && c.requestEnd != unknownEnd && c.received > c.requestEnd
}

// record stores the bytes read, except those of the current request's body if its end is known. It reports whether a request has
// started on an idle connection, and an error if its head is too large.
func (c *recordingConn) record(data []byte) (started bool, err error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	started, c.idle = c.idle, false
	err = c.head.add(data)
	c.lastRead = len(data)
	bodyBytes := max(0, min(c.requestEnd-c.received, int64(len(data))))
	c.received += int64(len(data))
	data = data[bodyBytes:]
	if len(data) > readAhead { // read past net/http's buffer, so part of a body
		data = data[len(data)-readAhead:]
	}
	most := maxRecorded
	if c.inBody { // only what net/http has read beyond the request matters, of which requestDone keeps readAhead+1 bytes
		most = readAhead + 1
	}
	if excess := len(c.recorded) + len(data) - most; excess > 0 {
		c.recorded = c.recorded[:copy(c.recorded, c.recorded[min(excess, len(c.recorded)):])]
	}
	c.recorded = append(c.recorded, data...)
	return started, err
}

// requestDone records that a request has ended. The next one may have started in the data read beyond it.
func (c *recordingConn) requestDone() {
	c.mu.Lock()
	defer c.mu.Unlock()
	beyond := int64(readAhead + 1) // net/http's buffer, and one byte that it reads while a request is answered
	if c.requestEnd != unknownEnd {
		beyond = max(0, c.received-c.requestEnd)
	}
	first := max(0, int64(len(c.recorded))-beyond)
	c.recorded = c.recorded[:copy(c.recorded, c.recorded[first:])]
	if len(c.recorded) == 0 && cap(c.recorded) > readAhead { // an idle connection keeps no large buffer
		c.recorded = nil
	}
	c.idle, c.inBody = true, false
	if c.head.start(); c.requestEnd != unknownEnd {
		c.head.add(c.recorded) // the next head is no larger than net/http's buffer so far
	}
}

// headRead records that the head of a request has been read, and nothing of its body.
func (c *recordingConn) headRead(in *http.Request) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.requestEnd, c.idle, c.inBody = unknownEnd, false, false
	c.head.finish()
	if in.ContentLength < 0 {
		return
	}
	for head := range c.headsLocked(in) {
		if head.matches {
			c.requestEnd = c.received - int64(len(c.recorded)-head.end) + in.ContentLength
			return
		}
	}
}

// bodyBegins records that the head has been evaluated, and that the body is read from now on.
func (c *recordingConn) bodyBegins() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.inBody = true
	if most := readAhead + 1; cap(c.recorded) > most {
		c.recorded = append(make([]byte, 0, most), c.recorded[max(0, len(c.recorded)-most):]...)
	}
}

// sinceArrival returns how long ago the last byte of the current request arrived, whose body has been read as far as it is received in one piece. If
// the end of the request is unknown, it was in the latest data that was read.
func (c *recordingConn) sinceArrival() time.Duration {
	c.mu.Lock()
	position := c.requestEnd
	if position == unknownEnd || position > c.received {
		position = c.received - int64(c.lastRead) + 1
	}
	c.mu.Unlock()
	return c.SinceArrival(position)
}

// hasMore reports whether there is data behind a request whose body has been read, usually another request. If the end of the request is
// unknown, it only sees data that net/http has not read yet. It also returns true if the client has disconnected or the system can't tell.
func (c *recordingConn) hasMore() bool {
	c.mu.Lock()
	readBeyond := c.requestEnd != unknownEnd && c.received > c.requestEnd
	c.mu.Unlock()
	return readBeyond || !c.KnownOpenAndEmpty()
}

// hasAmbiguousLength reports whether a head that may be that of the chunked request has a Content-Length too, or no such head is
// recorded. net/http has already dropped the Content-Length.
func (c *recordingConn) hasAmbiguousLength(in *http.Request) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	found := false
	for head := range c.headsLocked(in) {
		if head.matches && head.hasLength {
			return true
		}
		found = found || head.matches
	}
	return !found
}

// recordedHead describes a head among the recorded bytes.
type recordedHead struct {
	end       int  // offset of the body
	matches   bool // it has the request's X-Correlation-Id
	hasLength bool // it has a Content-Length
}

// headsLocked iterates over the recorded heads that have the request line of in: other requests may be recorded before and after it.
func (c *recordingConn) headsLocked(in *http.Request) iter.Seq[recordedHead] {
	line, id := []byte(in.Method+" "+in.RequestURI+" HTTP/1."), in.Header.Get("X-Correlation-Id")
	return func(yield func(recordedHead) bool) {
		for rest := c.recorded; ; {
			i := bytes.Index(rest, line)
			if i < 0 {
				return
			}
			rest = rest[i+len(line):]
			head, size, whole := parseRecordedHead(rest, id)
			if !whole {
				return
			}
			head.end = len(c.recorded) - len(rest) + size
			if !yield(head) {
				return
			}
		}
	}
}

// parseRecordedHead parses a head after its request line and returns its size. whole is false if the end of the head is not recorded.
func parseRecordedHead(text []byte, id string) (head recordedHead, size int, whole bool) {
	for rest := text; ; {
		line, more, found := bytes.Cut(rest, []byte("\n"))
		if !found {
			return head, 0, false
		}
		rest = more
		if line = bytes.TrimRight(line, "\r"); len(line) == 0 {
			return head, len(text) - len(rest), true
		}
		name, value, _ := bytes.Cut(line, []byte(":"))
		switch name = bytes.TrimSpace(name); {
		case bytes.EqualFold(name, []byte("Content-Length")):
			head.hasLength = true
		case bytes.EqualFold(name, []byte("X-Correlation-Id")):
			head.matches = string(bytes.TrimSpace(value)) == id
		}
	}
}
