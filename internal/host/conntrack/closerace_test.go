package conntrack

import (
	"errors"
	"net"
	"testing"
	"time"

	"ternbeam/internal/lab/testkit"
)

// Guards against a deadlock: the tracker, while it holds its lock, waits for the reader of a connection that it closes, and all
// clients are blocked.
func TestClosingDoesNotWaitForALateReader(t *testing.T) {
	for name, end := range map[string]func(t *testing.T, d *Listener){
		"as it is idle for too long": func(t *testing.T, d *Listener) {
			d.tracker.now = func() time.Time { return time.Now().Add(time.Hour) }
			for range d.tracker.maxConns / idleShareDivisor {
				dialClient(t, d, "")
				conn := acceptConn(t, d)
				d.tracker.MarkBusy(conn)
				d.tracker.MarkIdle(conn)
			}
		},
		"for room": func(t *testing.T, d *Listener) {
			for range d.tracker.maxConns {
				dialClient(t, d, "")
				d.tracker.MarkBusy(acceptConn(t, d))
			}
		},
		"as the shutdown begins": func(_ *testing.T, d *Listener) { d.CloseIdle() },
		"as the shutdown ends":   func(_ *testing.T, d *Listener) { d.CloseUnfinished() },
	} {
		t.Run(name, func(t *testing.T) {
			d := newListener(t, 2)
			dialClient(t, d, "")
			conn := acceptConn(t, d).(*Conn)
			d.tracker.MarkBusy(conn)
			d.tracker.MarkIdle(conn)
			read := lateReader(t, conn)
			ended := make(chan struct{})
			go func() {
				defer close(ended)
				end(t, d)
			}()
			for what, done := range map[string]<-chan struct{}{"the reader": read, "the tracker": ended} {
				select {
				case <-done:
				case <-time.After(testkit.WaitTimeout):
					t.Fatalf("%s is blocked forever", what)
				}
			}
		})
	}
}

// lateReader returns once a reader holds the connection's descriptor. The reader reads only when the connection is being closed. The
// channel is closed when it is done.
func lateReader(t *testing.T, conn *Conn) <-chan struct{} {
	t.Helper()
	raw, err := conn.SyscallConn()
	if err != nil {
		t.Fatal(err)
	}
	begun, done := make(chan struct{}), make(chan struct{})
	go func() {
		defer close(done)
		raw.Read(func(fd uintptr) bool {
			close(begun)
			testkit.Eventually(t, "the connection is being closed", func() bool { return raw.Control(func(uintptr) {}) != nil })
			if n, _, err := conn.ReadNow(fd, make([]byte, 1)); !errors.Is(err, net.ErrClosed) {
				t.Errorf("%d bytes were read from a closed connection, error %v", n, err)
			}
			return true
		})
	}()
	<-begun
	return done
}
