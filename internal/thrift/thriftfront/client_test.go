package thriftfront

import (
	"errors"
	"log/slog"
	"net"
	"testing"

	"ternbeam/internal/host/conntrack"
	"ternbeam/internal/thrift/thriftmap"
	"ternbeam/internal/thrift/thriftwire"
)

// visitor is a client's connection before a front without a core, and the listener that it came by.
func visitor(t *testing.T, most int) (c *client, listener *conntrack.Listener) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { l.Close() })
	d := conntrack.New(most)
	listener = d.Listen(l.(*net.TCPListener), slog.New(slog.DiscardHandler))
	c = &client{front: &Front{m: &thriftmap.Map{MaxCalls: 2}, tracker: d, clients: map[*client]bool{}, left: make(chan struct{}, 1)}, conn: connect(t, listener)}
	c.room.L = &c.mu
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

// The tracker closes a connection for another client while a call has been read from it: the call is not taken, as its client, who hears
// nothing, asks once more elsewhere. There is no core here that could take it.
func TestConnectionClosesAsACallIsRead(t *testing.T) {
	c, listener := visitor(t, 1)
	connect(t, listener) // the only place
	var w thriftwire.Writer
	w.Encoding = thriftwire.Binary
	w.Head(thriftwire.Call, []byte("payOut"), []byte{0, 0, 0, 7})
	w.Stop()
	if err := c.message(w.Buf, 0); !errors.Is(err, net.ErrClosed) {
		t.Errorf("it goes on: %v", err)
	}
	if c.taken != 0 || len(c.waiting) != 0 {
		t.Errorf("%d calls, %d answers", c.taken, len(c.waiting))
	}
}

// A client leaves, as its writer finds out, while its reader has given a call that is refused at once a place in the order of
// answers, and not answered it yet.
func TestClientLeavesAsACallIsRefused(t *testing.T) {
	c, _ := visitor(t, 10)
	s := c.enter(nil, 1, false)
	c.die()
	c.answered(s, []byte("refused"))
	if c.taken != 0 || len(c.waiting) != 0 || len(c.unsent) != 0 {
		t.Errorf("%d calls, %d answers, %d bytes of a client that is gone", c.taken, len(c.waiting), len(c.unsent))
	}
}
