package conntrack

import (
	"net"
	"testing"

	"ternbeam/internal/lab/testkit"
)

// Many clients connect while one sends its request. The request has been read from the kernel by a thread that is then suspended, and is
// not recorded yet, so that its connection looks as if it had received nothing. It must not be closed to make room: the request would be
// dropped after it was read. Found by code review after the incident of 2026-12-02: the tracker closed connections directly once more than
// maxClosingSoon were closing soon.
func TestConnectionWithRequestBeingReadIsNotClosedForRoom(t *testing.T) {
	d := newListener(t, 1).ReaderCloses()
	for range maxClosingSoon + 3 { // nobody reads these: they stay closing soon
		dialClient(t, d, "")
		acceptConn(t, d)
	}
	dialClient(t, d, "GET /")
	c := acceptConn(t, d).(*Conn)
	testkit.Eventually(t, "the request has arrived", func() bool { return !c.KnownOpenAndEmpty() })
	if n, err := c.TCPConn.Read(make([]byte, 10)); n == 0 {
		t.Fatal(err)
	}
	for range 3 {
		dialClient(t, d, "")
		acceptConn(t, d)
	}
	if !d.tracker.MarkBusy(net.Conn(c)) {
		t.Error("the connection was closed over a request that had been read")
	}
}
