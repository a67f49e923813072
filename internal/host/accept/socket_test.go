package accept

import (
	"errors"
	"io"
	"net"
	"os"
	"testing"
	"time"
)

func newSocket(t *testing.T) (*Socket, net.Listener) {
	t.Helper()
	l, err := net.ListenTCP("tcp", &net.TCPAddr{IP: net.IPv4(127, 0, 0, 1)})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { l.Close() })
	s, err := NewSocket(l)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { s.Close() })
	return s, l
}

// Data sent before the accept can be read from the connection, and both of its addresses are known.
func TestSocketAccepts(t *testing.T) {
	s, l := newSocket(t)
	for range 3 {
		client, err := net.Dial("tcp", l.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		defer client.Close()
		io.WriteString(client, "GET /")
		conn, err := s.Accept()
		if err != nil {
			t.Fatal(err)
		}
		defer conn.Close()
		text := make([]byte, 5)
		if _, err := io.ReadFull(conn, text); err != nil || string(text) != "GET /" {
			t.Errorf("%q, %v", text, err)
		}
		if conn.RemoteAddr().String() != client.LocalAddr().String() || conn.LocalAddr().String() != l.Addr().String() {
			t.Errorf("from %v to %v", conn.RemoteAddr(), conn.LocalAddr())
		}
	}
}

// A deadline ends an Accept, clearing it allows accepting again, and Close ends it permanently.
func TestSocketDeadlineAndClose(t *testing.T) {
	s, l := newSocket(t)
	s.SetDeadline(time.Now().Add(time.Millisecond))
	if _, err := s.Accept(); !errors.Is(err, os.ErrDeadlineExceeded) || !IsFinal(err) {
		t.Errorf("after the deadline: %v", err)
	}
	s.SetDeadline(time.Time{})
	client, err := net.Dial("tcp", l.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer client.Close()
	conn, err := s.Accept()
	if err != nil {
		t.Fatal(err)
	}
	conn.Close()
	ended := make(chan error)
	go func() {
		_, err := s.Accept()
		ended <- err
	}()
	time.Sleep(time.Millisecond)
	s.Close()
	if err := <-ended; !errors.Is(err, net.ErrClosed) {
		t.Errorf("after Close: %v", err)
	}
	if _, err := s.Accept(); !errors.Is(err, net.ErrClosed) {
		t.Errorf("later: %v", err)
	}
	if _, err := net.DialTimeout("tcp", l.Addr().String(), time.Second); err != nil {
		t.Errorf("the listener itself: %v", err)
	}
}

// QueuedSince is when the queue was last seen empty: it covers the whole time for which nobody accepts, and no more.
func TestQueuedSince(t *testing.T) {
	s, l := newSocket(t)
	dialed := make(chan time.Time, 1) // when the latest dial began
	dial := func() {
		dialed <- time.Now()
		client, err := net.Dial("tcp", l.Addr().String())
		if err != nil {
			t.Error(err)
			return
		}
		t.Cleanup(func() { client.Close() })
	}
	accept := func() time.Time {
		conn, err := s.Accept()
		if err != nil {
			t.Fatal(err)
		}
		conn.Close()
		return s.QueuedSince()
	}
	const waits = 50 * time.Millisecond
	dial()
	time.Sleep(waits)
	if since, began := accept(), <-dialed; since.After(began) {
		t.Errorf("before the first wait: since %v after the dial", since.Sub(began))
	}
	for range 2 {
		time.AfterFunc(waits, dial)
		woken := accept()
		if began := <-dialed; woken.Before(began) || woken.After(time.Now()) {
			t.Errorf("after a wait: since %v after the dial", woken.Sub(began))
		}
		dial()
		<-dialed
		time.Sleep(waits)
		if since := accept(); !since.Equal(woken) {
			t.Errorf("without a wait: since %v after the latest one", since.Sub(woken))
		}
	}
}
