package httpfront

import (
	"fmt"
	"io"
	"net/http"
	"slices"
	"sync"
	"time"
)

// lingerTime is how long a connection stays open behind its last answer when the request was not read to its end: closing it resets it, which
// may discard the answer before its client has read it.
const lingerTime = 500 * time.Millisecond

// lingerers are connections that have had their last answer. They need neither a goroutine nor buffers; beyond a maximum number the oldest is
// closed. It is safe for concurrent use.
type lingerers struct {
	most int

	mu    sync.Mutex
	conns []*recordingConn // the oldest first
}

// add takes over a connection, and closes it after lingerTime.
func (l *lingerers) add(c *recordingConn) {
	c.CloseWrite()
	l.mu.Lock()
	l.conns = append(l.conns, c)
	var oldest *recordingConn
	if len(l.conns) > l.most {
		oldest = l.conns[0]
		l.conns = l.conns[1:]
	}
	l.mu.Unlock()
	if oldest != nil {
		oldest.Close()
	}
	time.AfterFunc(lingerTime, func() { l.closeLingering(c) })
}

// closeLingering closes a connection, unless it was closed before.
func (l *lingerers) closeLingering(c *recordingConn) {
	l.mu.Lock()
	i := slices.Index(l.conns, c)
	if i >= 0 {
		l.conns = slices.Delete(l.conns, i, i+1)
	}
	l.mu.Unlock()
	if i >= 0 {
		c.Close()
	}
}

// answerUnsound answers a request that can't be read, and ends its connection. Where there are many the answer waits.
func (f *Front) answerUnsound(w http.ResponseWriter, in *http.Request, status int, text string) {
	clientConnOf(in).recorder.delayUnsound()
	f.answerUnread(w, in, status, text)
}

// answerUnread answers a request that is not read to its end, and ends its connection.
func (f *Front) answerUnread(w http.ResponseWriter, in *http.Request, status int, text string) {
	clientConnOf(in).answerStarted = true
	conn := hijack(w)
	conn.SetDeadline(time.Now().Add(minWriteTimeout))
	writeClosingAnswer(conn, status, text)
	f.lingering.add(conn)
}

// linger ends a connection whose request is not read to its end and has had its whole answer. net/http would do the same, but the connection
// would count as a client's meanwhile.
func (f *Front) linger(w http.ResponseWriter) { f.lingering.add(hijack(w)) }

// hijack takes the connection of a request over from net/http. It does not return if the connection has ended.
func hijack(w http.ResponseWriter) *recordingConn {
	conn, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	return conn.(*recordingConn)
}

// writeClosingAnswer writes an answer after which its connection closes. A failed write means that the client has disconnected.
func writeClosingAnswer(w io.Writer, status int, text string) {
	text += "\n"
	fmt.Fprintf(w, "HTTP/1.1 %d %s\r\nContent-Type: text/plain; charset=utf-8\r\nConnection: close\r\nContent-Length: %d\r\n\r\n%s",
		status, http.StatusText(status), len(text), text)
}
