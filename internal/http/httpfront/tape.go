package httpfront

import (
	"bytes"
	"iter"
	"net"
	"net/http"
	"sync"
	"time"

	"ternbeam/internal/host/conntrack"
	"ternbeam/internal/http/httpmsg"
)

// recordingListener accepts connections that record the bytes read last.
type recordingListener struct {
	*conntrack.Listener
	headTimeout time.Duration // for a request that has started on an idle connection
}

func (l recordingListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &recordingConn{Conn: c.(*conntrack.Conn), headTimeout: l.headTimeout}, nil
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

	mu         sync.Mutex // net/http may continue to read while a request is answered
	recorded   []byte
	idle       bool  // nothing has been received since the last request ended
	received   int64 // total bytes
	requestEnd int64 // total bytes up to the end of the current request, or unknownEnd
}

// unknownEnd is the requestEnd of a request whose length is unknown, or whose head is not recorded.
const unknownEnd = -1

func (t *recordingConn) Read(p []byte) (int, error) {
	n, err := t.Conn.Read(p)
	if n > 0 && t.record(p[:n]) {
		t.LimitReading(t.headTimeout) // net/http waits for the first bytes of a request for as long as a connection may be idle
	}
	return n, err
}

// SetReadDeadline sets the read deadline as net.Conn's does. If the next request has already started in data read with the last one,
// net/http's deadline for an idle connection is limited to the timeout for a head.
func (t *recordingConn) SetReadDeadline(deadline time.Time) error {
	if limit := time.Now().Add(t.headTimeout); t.nextStarted() && deadline.After(limit) {
		deadline = limit
	}
	return t.Conn.SetReadDeadline(deadline)
}

// nextStarted reports whether the last request has ended and another has started behind it.
func (t *recordingConn) nextStarted() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.idle && t.requestEnd != unknownEnd && t.received > t.requestEnd
}

// record stores the bytes read, except those of the current request's body if its end is known. It reports whether a request has
// started on an idle connection.
func (t *recordingConn) record(data []byte) (started bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	started, t.idle = t.idle, false
	bodyBytes := max(0, min(t.requestEnd-t.received, int64(len(data))))
	t.received += int64(len(data))
	data = data[bodyBytes:]
	if len(data) > readAhead { // read past net/http's buffer, so part of a body
		data = data[len(data)-readAhead:]
	}
	if excess := len(t.recorded) + len(data) - maxRecorded; excess > 0 {
		t.recorded = t.recorded[:copy(t.recorded, t.recorded[min(excess, len(t.recorded)):])]
	}
	t.recorded = append(t.recorded, data...)
	return started
}

// requestDone notes that a request has ended. The next one may have started in the data read beyond it.
func (t *recordingConn) requestDone() {
	t.mu.Lock()
	defer t.mu.Unlock()
	beyond := int64(readAhead + 1) // net/http's buffer, and one byte that it reads while a request is answered
	if t.requestEnd != unknownEnd {
		beyond = max(0, t.received-t.requestEnd)
	}
	first := max(0, int64(len(t.recorded))-beyond)
	t.recorded = t.recorded[:copy(t.recorded, t.recorded[first:])]
	t.idle = true
}

// headRead notes that the head of a request has been read, and nothing of its body.
func (t *recordingConn) headRead(in *http.Request) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.requestEnd, t.idle = unknownEnd, false
	if in.ContentLength < 0 {
		return
	}
	for head := range t.headsLocked(in) {
		if head.matches {
			t.requestEnd = t.received - int64(len(t.recorded)-head.end) + in.ContentLength
			return
		}
	}
}

// hasMore reports whether there is data behind a request whose body has been read, usually another request. If the end of the request is
// unknown, it only sees data that net/http has not read yet.
func (t *recordingConn) hasMore() bool {
	t.mu.Lock()
	readBeyond := t.requestEnd != unknownEnd && t.received > t.requestEnd
	t.mu.Unlock()
	return readBeyond || !t.Quiet()
}

// hasAmbiguousLength reports whether a head that may be that of the chunked request has a Content-Length too, or no such head is
// recorded. net/http has already dropped the Content-Length.
func (t *recordingConn) hasAmbiguousLength(in *http.Request) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	found := false
	for head := range t.headsLocked(in) {
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
func (t *recordingConn) headsLocked(in *http.Request) iter.Seq[recordedHead] {
	line, id := []byte(in.Method+" "+in.RequestURI+" HTTP/1."), in.Header.Get("X-Correlation-Id")
	return func(yield func(recordedHead) bool) {
		for rest := t.recorded; ; {
			i := bytes.Index(rest, line)
			if i < 0 {
				return
			}
			rest = rest[i+len(line):]
			head, size, whole := parseRecordedHead(rest, id)
			if !whole {
				return
			}
			head.end = len(t.recorded) - len(rest) + size
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
