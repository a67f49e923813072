package discovery

import (
	"context"
	"log/slog"
	"net"
	"testing"
)

// Guards against a service that can't be reached and is taken for a crowded one.
func TestUnreachableServiceIsReported(t *testing.T) {
	closed, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	closed.Close()
	breaking, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer breaking.Close()
	go func() {
		for {
			conn, err := breaking.Accept()
			if err != nil {
				return
			}
			conn.Close()
		}
	}()
	for _, c := range []struct {
		listener    net.Listener
		unreachable bool
	}{{closed, true}, {breaking, false}} {
		unreachable := false
		client := New(c.listener.Addr().String(), List{Version: UnknownVersion}, slog.New(slog.DiscardHandler))
		client.Watch(context.Background(), Events{Answered: func() {}, Alive: func() {}, Deliver: func(List) {}, Unreachable: func() { unreachable = true }})
		if unreachable != c.unreachable {
			t.Errorf("reported as unreachable: %t, want %t", unreachable, c.unreachable)
		}
	}
}
