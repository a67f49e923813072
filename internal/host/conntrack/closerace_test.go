package conntrack

import (
	"errors"
	"net"
	"testing"
	"time"

	"ternbeam/internal/lab/testkit"
)

// Guards against a tracker that waits for good for the reader of a connection that it closes, and has all clients wait with it.
func TestClosingDoesNotWaitForALateReader(t *testing.T) {
	for name, end := range map[string]func(t *testing.T, d *Listener){
		"as it has been idle for long": func(t *testing.T, d *Listener) {
			d.tracker.now = func() time.Time { return time.Now().Add(time.Hour) }
			for range d.tracker.most / keptPart {
				visitor(t, d, "")
				conn := admit(t, d)
				d.tracker.Busy(conn)
				d.tracker.Idle(conn)
			}
		},
		"for room": func(t *testing.T, d *Listener) {
			for range d.tracker.most {
				visitor(t, d, "")
				d.tracker.Busy(admit(t, d))
			}
		},
		"as the listener ends":   func(_ *testing.T, d *Listener) { d.CloseIdle() },
		"at the listener's last": func(_ *testing.T, d *Listener) { d.CloseUnfinished() },
	} {
		t.Run(name, func(t *testing.T) {
			d := newListener(t, 2)
			visitor(t, d, "")
			conn := admit(t, d).(*Conn)
			d.tracker.Busy(conn)
			d.tracker.Idle(conn)
			read := lateReader(t, conn)
			ended := make(chan struct{})
			go func() {
				defer close(ended)
				end(t, d)
			}()
			for what, done := range map[string]<-chan struct{}{"the reader": read, "the tracker": ended} {
				select {
				case <-done:
				case <-time.After(testkit.Patience):
					t.Fatalf("%s waits for good", what)
				}
			}
		})
	}
}

// lateReader returns when a reader has begun to read a connection, and reads it when the connection is being closed. It tells when it is done.
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
				t.Errorf("%d bytes were read of a connection that was closed, %v", n, err)
			}
			return true
		})
	}()
	<-begun
	return done
}
