//go:build review

package standin

import (
	"io"
	"net"
	"os"
	"sync"
	"syscall"
	"time"
)

// link is the network between an agent and discovery: it passes connections on until it is cut. Then open connections stay open and
// silent, and new ones never come up, as on a network that drops packets.
type link struct {
	w        *world
	name     string
	listener net.Listener
	target   string

	mu      sync.Mutex
	cut     bool
	conns   map[net.Conn]bool
	fillers []net.Conn
}

func (w *world) link(name, target string) *link {
	// A backlog of 0 holds one connection. While it is full, the system answers no further SYN.
	fd, err := syscall.Socket(syscall.AF_INET, syscall.SOCK_STREAM|syscall.SOCK_CLOEXEC, 0)
	if err != nil {
		panic(err)
	}
	if err := syscall.Bind(fd, &syscall.SockaddrInet4{Addr: [4]byte{127, 0, 0, 1}}); err != nil {
		panic(err)
	}
	if err := syscall.Listen(fd, 0); err != nil {
		panic(err)
	}
	f := os.NewFile(uintptr(fd), "link")
	l, err := net.FileListener(f)
	if err != nil {
		panic(err)
	}
	f.Close()
	k := &link{w: w, name: name, listener: l, target: target, conns: map[net.Conn]bool{}}
	go k.accept()
	return k
}

func (k *link) accept() {
	for {
		k.mu.Lock()
		cut := k.cut
		k.mu.Unlock()
		if cut {
			time.Sleep(5 * time.Millisecond)
			continue
		}
		k.listener.(*net.TCPListener).SetDeadline(time.Now().Add(20 * time.Millisecond))
		c, err := k.listener.Accept()
		if err != nil {
			if e, ok := err.(net.Error); ok && e.Timeout() {
				continue
			}
			return
		}
		if k.isFiller(c) {
			c.Close()
			continue
		}
		go k.pass(c)
	}
}

func (k *link) isFiller(c net.Conn) bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	for _, f := range k.fillers {
		if f.LocalAddr().String() == c.RemoteAddr().String() {
			return true
		}
	}
	return false
}

// pass copies in both directions. After a cut nothing passes, and the agent's side stays open until the link is back, which resets it.
func (k *link) pass(c net.Conn) {
	s, err := net.Dial("tcp", k.target)
	if err != nil {
		c.Close()
		return
	}
	k.mu.Lock()
	k.conns[c] = true
	k.mu.Unlock()
	copyFrom := func(dst, src net.Conn) {
		io.Copy(writer{k, dst}, src)
		k.mu.Lock()
		cut := k.cut
		k.mu.Unlock()
		if !cut {
			dst.Close()
		}
	}
	go copyFrom(s, c)
	copyFrom(c, s)
	s.Close()
}

type writer struct {
	k *link
	c net.Conn
}

func (w writer) Write(p []byte) (int, error) {
	w.k.mu.Lock()
	defer w.k.mu.Unlock()
	if w.k.cut {
		return 0, io.ErrClosedPipe
	}
	return w.c.Write(p)
}

// sever cuts the link.
func (k *link) sever() {
	k.mu.Lock()
	k.cut = true
	k.mu.Unlock()
	time.Sleep(50 * time.Millisecond) // until accept has noticed
	for range 8 {
		f, err := net.DialTimeout("tcp", k.listener.Addr().String(), 50*time.Millisecond)
		if err != nil {
			break
		}
		k.mu.Lock()
		k.fillers = append(k.fillers, f)
		k.mu.Unlock()
	}
	k.w.note("link %s is cut", k.name)
}

// heal ends the cut: new connections come up, and the old ones are reset.
func (k *link) heal() {
	k.mu.Lock()
	defer k.mu.Unlock()
	for c := range k.conns {
		c.(*net.TCPConn).SetLinger(0)
		c.Close()
	}
	for _, f := range k.fillers {
		f.Close()
	}
	k.conns, k.cut = map[net.Conn]bool{}, false
	k.w.note("link %s is back", k.name)
}
