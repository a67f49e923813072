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

// taped accepts connections that keep the bytes which were read last.
type taped struct {
	*conntrack.Listener
	headWithin time.Duration // for a request that has begun on an idle connection
}

func (l taped) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &tape{Conn: c.(*conntrack.Conn), headWithin: l.headWithin}, nil
}

const (
	readAhead = 4 << 10                       // net/http reads so much at a time, and so far beyond a request
	tapeMost  = httpmsg.MaxHead + 3*readAhead // a head that it takes, and what lies round it
)

// tape is a connection that keeps the bytes in which the head of the current request stands: net/http tells neither all of the head nor what it has
// read behind the request.
type tape struct {
	*conntrack.Conn
	headWithin time.Duration

	mu       sync.Mutex // net/http may read on while a request is answered
	bytes    []byte
	idle     bool  // nothing has come since the last request was over
	received int64 // bytes in all
	end      int64 // so many of them are there up to the end of the current request, or unknownEnd
}

// unknownEnd is the end of a request whose length is not told, or whose head is not on the tape.
const unknownEnd = -1

func (t *tape) Read(p []byte) (int, error) {
	n, err := t.Conn.Read(p)
	if n > 0 && t.keep(p[:n]) {
		t.LimitReading(t.headWithin) // net/http waits for the first bytes of a request for as long as a connection may be idle
	}
	return n, err
}

// SetReadDeadline is net.Conn's. Where the next request has begun in what was read with the last one, net/http's time for an idle connection is
// no longer than that for a head.
func (t *tape) SetReadDeadline(by time.Time) error {
	if limit := time.Now().Add(t.headWithin); t.nextBegun() && by.After(limit) {
		by = limit
	}
	return t.Conn.SetReadDeadline(by)
}

// nextBegun reports whether a request has begun behind the last one, which is over.
func (t *tape) nextBegun() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.idle && t.end != unknownEnd && t.received > t.end
}

// keep keeps what was read, but for the body of the current request where its end is known. It reports whether a request has begun on an idle
// connection.
func (t *tape) keep(got []byte) (begun bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	begun, t.idle = t.idle, false
	ofBody := max(0, min(t.end-t.received, int64(len(got))))
	t.received += int64(len(got))
	got = got[ofBody:]
	if len(got) > readAhead { // read past net/http's buffer: of a body
		got = got[len(got)-readAhead:]
	}
	if over := len(t.bytes) + len(got) - tapeMost; over > 0 {
		t.bytes = t.bytes[:copy(t.bytes, t.bytes[min(over, len(t.bytes)):])]
	}
	t.bytes = append(t.bytes, got...)
	return begun
}

// next says that a request is over. The next one may have begun in what was read beyond it.
func (t *tape) next() {
	t.mu.Lock()
	defer t.mu.Unlock()
	beyond := int64(readAhead + 1) // net/http's buffer, and a byte that it reads while a request is answered
	if t.end != unknownEnd {
		beyond = max(0, t.received-t.end)
	}
	first := max(0, int64(len(t.bytes))-beyond)
	t.bytes = t.bytes[:copy(t.bytes, t.bytes[first:])]
	t.idle = true
}

// begin says that the head of a request was read, and nothing of its body.
func (t *tape) begin(in *http.Request) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.end, t.idle = unknownEnd, false
	if in.ContentLength < 0 {
		return
	}
	for head := range t.headsLocked(in) {
		if head.own {
			t.end = t.received - int64(len(t.bytes)-head.end) + in.ContentLength
			return
		}
	}
}

// hasMore reports whether more has come behind a request whose body is read, another one as a rule. Of one whose end can't be told it knows only
// what net/http has not read yet.
func (t *tape) hasMore() bool {
	t.mu.Lock()
	readOn := t.end != unknownEnd && t.received > t.end
	t.mu.Unlock()
	return readOn || !t.Quiet()
}

// twoLengths reports whether a head that could be that of the request has a length beside the encoding, or none is there:
// net/http has dropped the length by now.
func (t *tape) twoLengths(in *http.Request) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	found := false
	for head := range t.headsLocked(in) {
		if head.own && head.length {
			return true
		}
		found = found || head.own
	}
	return !found
}

// tapedHead is a head on the tape.
type tapedHead struct {
	end    int  // where its body begins
	own    bool // it has the request's id
	length bool // it has a Content-Length
}

// headsLocked goes through the heads on the tape with the request line of a request: others may have come behind it, or before.
func (t *tape) headsLocked(in *http.Request) iter.Seq[tapedHead] {
	line, id := []byte(in.Method+" "+in.RequestURI+" HTTP/1."), in.Header.Get("X-Correlation-Id")
	return func(yield func(tapedHead) bool) {
		for rest := t.bytes; ; {
			i := bytes.Index(rest, line)
			if i < 0 {
				return
			}
			rest = rest[i+len(line):]
			head, size, whole := readTaped(rest, id)
			if !whole {
				return
			}
			head.end = len(t.bytes) - len(rest) + size
			if !yield(head) {
				return
			}
		}
	}
}

// readTaped reads a head from behind its request line, and returns its size. It is not whole where its end is not on the tape.
func readTaped(text []byte, id string) (head tapedHead, size int, whole bool) {
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
			head.length = true
		case bytes.EqualFold(name, []byte("X-Correlation-Id")):
			head.own = string(bytes.TrimSpace(value)) == id
		}
	}
}
