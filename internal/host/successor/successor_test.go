package successor

import (
	"errors"
	"io"
	"log/slog"
	"net"
	"path/filepath"
	"testing"

	"ternbeam/internal/decide/succession"
	"ternbeam/internal/lab/testkit"
)

// offering is a process that can be replaced.
type offering struct {
	path   string
	listen *net.TCPListener
	links  chan *Link
	heard  chan succession.News
	ended  chan struct{}
}

func offer(t *testing.T) *offering {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { l.Close() })
	o := &offering{path: filepath.Join(t.TempDir(), "s"), listen: l.(*net.TCPListener), links: make(chan *Link, 8), heard: make(chan succession.News, 8),
		ended: make(chan struct{}, 8)}
	offer, err := NewOffer(o.path, "n1", slog.New(slog.DiscardHandler))
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { offer.Close() })
	go offer.Serve(func(link *Link) (succession.State, []*net.TCPListener, error) {
		return succession.State{Name: "n1", Listeners: []string{l.Addr().String()}}, []*net.TCPListener{o.listen}, nil
	}, func(link *Link) {
		o.links <- link
		link.Run(func(n succession.News) { o.heard <- n })
		o.ended <- struct{}{}
	})
	return o
}

// Who connects while the old process closes its listener is served by the new one, and what one is told the other hears.
func TestClaim(t *testing.T) {
	o := offer(t)
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
	heard := make(chan succession.News, 1)
	done := make(chan struct{})
	go func() {
		h.Link.Run(func(n succession.News) { heard <- n })
		close(done)
	}()
	old.Say(succession.News{Offline: "a"})
	h.Link.Say(succession.News{Online: "b"})
	if n := <-heard; n.Offline != "a" {
		t.Errorf("the new process hears %+v", n)
	}
	if n := <-o.heard; n.Online != "b" {
		t.Errorf("the old process hears %+v", n)
	}
	h.Link.Close()
	<-done
	<-o.ended // the end of either is heard
}

// Whoever claims and goes away, at any point of it, leaves the old process as it was.
func TestClaimsThatBreak(t *testing.T) {
	o := offer(t)
	frame, err := succession.Frame(hello{"n1"})
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
		t.Errorf("something else is answered")
	}
	c.Close()
	if _, err := Claim(o.path, "n2"); err == nil || errors.Is(err, ErrNobody) {
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
		t.Errorf("it accepts no more: %v", err)
	}
}

// Where nobody is, a left socket file too, or what answers says nothing that can be read, there is nothing to begin with.
func TestNothingToClaim(t *testing.T) {
	path := filepath.Join(t.TempDir(), "s")
	if _, err := Claim(path, "n1"); !errors.Is(err, ErrNobody) {
		t.Errorf("no file: %v", err)
	}
	first, err := NewOffer(path, "n1", slog.New(slog.DiscardHandler))
	if err != nil {
		t.Fatal(err)
	}
	first.Close()
	if _, err := Claim(path, "n1"); !errors.Is(err, ErrNobody) {
		t.Errorf("a file that was left: %v", err)
	}
	second, err := NewOffer(path, "n1", slog.New(slog.DiscardHandler)) // takes the path over
	if err != nil {
		t.Fatal(err)
	}
	second.Close()
	testkit.Eventually(t, "the path is free for the next", func() bool {
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
		return err != nil && !errors.Is(err, ErrNobody)
	})
}
