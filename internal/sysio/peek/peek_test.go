package peek

import (
	"net"
	"testing"

	"ternbeam/internal/lab/testkit"
)

// connPair returns both ends of a connection.
func connPair(t *testing.T) (here, there net.Conn) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	if there, err = net.Dial("tcp", l.Addr().String()); err != nil {
		t.Fatal(err)
	}
	if here, err = l.Accept(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { here.Close(); there.Close() })
	return here, there
}

func TestEndOfSeesAnEndBehindData(t *testing.T) {
	send := func(_, there net.Conn) { there.Write([]byte("data")) }
	for name, c := range map[string]struct {
		act           func(here, there net.Conn)
		hungUp, empty bool
	}{
		"idle":                  {func(_, _ net.Conn) {}, false, true},
		"data":                  {send, false, false},
		"closed":                {func(_, there net.Conn) { there.Close() }, true, false},
		"data, then closed":     {func(here, there net.Conn) { send(here, there); there.Close() }, true, false},
		"no more to come":       {func(_, there net.Conn) { there.(*net.TCPConn).CloseWrite() }, true, false},
		"reset":                 {func(_, there net.Conn) { there.(*net.TCPConn).SetLinger(0); there.Close() }, true, false},
		"closed on this side":   {func(here, _ net.Conn) { here.Close() }, true, false},
		"closed for sends here": {func(here, _ net.Conn) { here.(*net.TCPConn).CloseWrite() }, false, true},
	} {
		t.Run(name, func(t *testing.T) {
			here, there := connPair(t)
			c.act(here, there)
			testkit.Eventually(t, "the end and the data are seen", func() bool {
				hungUp, empty := EndOf(here)
				return hungUp == c.hungUp && empty == c.empty && HungUp(here) == hungUp
			})
			if seen := receivedEnd(here); seen != c.hungUp && name != "closed on this side" {
				t.Errorf("by the state of the TCP connection: %t", seen)
			}
		})
	}
}
