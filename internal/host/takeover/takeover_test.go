package takeover

import (
	"errors"
	"io"
	"log/slog"
	"net"
	"path/filepath"
	"testing"

	"ternbeam/internal/decide/handover"
	"ternbeam/internal/lab/testkit"
)

// oldProcess is a running process that hands over its listener.
type oldProcess struct {
	path     string
	listen   *net.TCPListener
	links    chan *Link
	received chan handover.Update
	ended    chan struct{}
}

func startOldProcess(t *testing.T) *oldProcess {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { l.Close() })
	o := &oldProcess{path: filepath.Join(t.TempDir(), "s"), listen: l.(*net.TCPListener), links: make(chan *Link, 8), received: make(chan handover.Update, 8),
		ended: make(chan struct{}, 8)}
	offer, err := NewServer(o.path, "n1", slog.New(slog.DiscardHandler))
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { offer.Close() })
	go offer.Serve(func(link *Link) (handover.State, []*net.TCPListener, error) {
		return handover.State{Name: "n1", Listeners: []string{l.Addr().String()}}, []*net.TCPListener{o.listen}, nil
	}, func(link *Link) {
		o.links <- link
		link.Run(func(u handover.Update) { o.received <- u })
		o.ended <- struct{}{}
	})
	return o
}

// A client that connects while the old process closes its listener is served by the new one, and updates go both ways.
func TestClaim(t *testing.T) {
	o := startOldProcess(t)
	h, err := Claim(o.path, "n1")
	if err != nil || len(h.Listeners) != 1 {
		t.Fatalf("%+v, %v", h, err)
	}
	waits, err := net.Dial("tcp", o.listen.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer waits.Close()
	o.listen.Close()
	c, err := h.Listeners[0].Accept()
	if err != nil {
		t.Fatal(err)
	}
	c.Close()
	h.Listeners[0].Close()
	old := <-o.links
	received := make(chan handover.Update, 1)
	done := make(chan struct{})
	go func() {
		h.Link.Run(func(u handover.Update) { received <- u })
		close(done)
	}()
	old.Send(handover.Update{Offline: "a"})
	h.Link.Send(handover.Update{Online: "b"})
	if u := <-received; u.Offline != "a" {
		t.Errorf("the new process received %+v", u)
	}
	if u := <-o.received; u.Online != "b" {
		t.Errorf("the old process received %+v", u)
	}
	h.Link.Close()
	<-done
	<-o.ended // the old process notices the end
}

// A claim that breaks off at any point, or is invalid, does not affect the old process.
func TestIncompleteOrInvalidClaims(t *testing.T) {
	o := startOldProcess(t)
	frame, err := handover.Encode(hello{"n1"})
	if err != nil {
		t.Fatal(err)
	}
	for n := 0; n <= len(frame); n++ {
		c, err := net.Dial("unix", o.path)
		if err != nil {
			t.Fatal(err)
		}
		c.Write(frame[:n])
		c.Close()
		<-o.links
		<-o.ended
	}
	c, err := net.Dial("unix", o.path)
	if err != nil {
		t.Fatal(err)
	}
	io.WriteString(c, "GET / HTTP/1.1\r\n\r\n")
	if n, err := c.Read(make([]byte, 1)); n > 0 || err == nil {
		t.Errorf("a message that is not a claim was answered")
	}
	c.Close()
	if _, err := Claim(o.path, "n2"); err == nil || errors.Is(err, ErrNoPreviousProcess) {
		t.Errorf("another agent's claim: %v", err)
	}
	h, err := Claim(o.path, "n1")
	if err != nil {
		t.Fatal(err)
	}
	h.Link.Close()
	h.Listeners[0].Close()
	conn, err := net.Dial("tcp", o.listen.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	if _, err := o.listen.Accept(); err != nil {
		t.Errorf("the listener no longer accepts: %v", err)
	}
}

// Claim fails with ErrNoPreviousProcess if there is no socket file or nobody listens on it, and with another error if the answer is unreadable.
func TestClaimWithoutPreviousProcess(t *testing.T) {
	path := filepath.Join(t.TempDir(), "s")
	if _, err := Claim(path, "n1"); !errors.Is(err, ErrNoPreviousProcess) {
		t.Errorf("no socket file: %v", err)
	}
	first, err := NewServer(path, "n1", slog.New(slog.DiscardHandler))
	if err != nil {
		t.Fatal(err)
	}
	first.Close()
	if _, err := Claim(path, "n1"); !errors.Is(err, ErrNoPreviousProcess) {
		t.Errorf("a stale socket file: %v", err)
	}
	second, err := NewServer(path, "n1", slog.New(slog.DiscardHandler)) // replaces the socket at the path
	if err != nil {
		t.Fatal(err)
	}
	second.Close()
	testkit.Eventually(t, "the next process can listen and its answer is rejected", func() bool {
		l, err := net.ListenUnix("unix", &net.UnixAddr{Name: path + ".raw", Net: "unix"})
		if err != nil {
			return false
		}
		defer l.Close()
		go func() {
			if c, err := l.Accept(); err == nil {
				io.WriteString(c, "\x00nonsense, and more of it")
				c.Close()
			}
		}()
		_, err = Claim(path+".raw", "n1")
		return err != nil && !errors.Is(err, ErrNoPreviousProcess)
	})
}
