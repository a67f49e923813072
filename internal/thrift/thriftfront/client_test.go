package thriftfront

import (
	"errors"
	"log/slog"
	"net"
	"testing"

	"ternbeam/internal/host/conntrack"
	"ternbeam/internal/host/membudget"
	"ternbeam/internal/thrift/thriftmap"
	"ternbeam/internal/thrift/thriftwire"
)

// newTestClient returns a client connection of a front without a core, and the listener that accepted it.
func newTestClient(t *testing.T, maxConns int) (c *client, listener *conntrack.Listener) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { l.Close() })
	tracker := conntrack.New(maxConns, membudget.New(16<<20))
	listener = tracker.Listen(l.(*net.TCPListener), slog.New(slog.DiscardHandler))
	c = &client{front: &Front{service: &thriftmap.Map{MaxCalls: 2}, tracker: tracker, clients: map[*client]bool{}, removed: make(chan struct{}, 1)}, conn: connect(t, listener)}
	c.changed.L = &c.mu
	return c, listener
}

func connect(t *testing.T, l *conntrack.Listener) *conntrack.Conn {
	t.Helper()
	peer, err := net.Dial("tcp", l.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { peer.Close() })
	conn, err := l.Accept()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { conn.Close() })
	return conn.(*conntrack.Conn)
}

// The tracker closes a connection to make room while a call is being read from it. The call must not be accepted, because its client gets no
// answer and retries elsewhere. The front has no core here that could accept it.
func TestConnectionIsClosedWhileACallIsRead(t *testing.T) {
	c, listener := newTestClient(t, 1)
	connect(t, listener) // takes the only place
	var w thriftwire.Writer
	w.Encoding = thriftwire.Binary
	w.Head(thriftwire.Call, []byte("payOut"), []byte{0, 0, 0, 7})
	w.Stop()
	if err := c.handleMessage(w.Buf, 0); !errors.Is(err, net.ErrClosed) {
		t.Errorf("the call was accepted: %v", err)
	}
	if c.inFlight != 0 || len(c.waiting) != 0 {
		t.Errorf("%d calls, %d answers", c.inFlight, len(c.waiting))
	}
}

// A client disconnects, which the writer notices, after the reader has added a call that is refused at once to the order of answers and before
// it has answered it.
func TestClientDisconnectsAsACallIsRefused(t *testing.T) {
	c, _ := newTestClient(t, 10)
	s := c.addCall(nil, 1, false)
	c.abort()
	c.queueAnswer(s, []byte("refused"))
	if c.inFlight != 0 || len(c.waiting) != 0 || len(c.unsent) != 0 {
		t.Errorf("%d calls, %d answers, %d bytes left for a disconnected client", c.inFlight, len(c.waiting), len(c.unsent))
	}
}
