// Package takeover hands an agent's state and listeners from a running process to the process that replaces it, and carries updates between
// the two while both run, over a Unix socket in a shared folder. The content is defined in internal/decide/handover.
package takeover

import (
	"context"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"net"
	"os"
	"sync"
	"syscall"
	"time"

	"golang.org/x/sys/unix"

	"ternbeam/internal/decide/handover"
	"ternbeam/internal/host/accept"
	"ternbeam/internal/sysio/socketio"
	"ternbeam/internal/sysio/transient"
)

const (
	attemptTimeout = time.Second // limit for one attempt to claim

	// claimTimeout limits the retries of a failing claim: a start without the old state is better than a late start.
	claimTimeout = 2 * time.Second
	maxRefusals  = 5 // refused connections after which no process counts as running

	sendTimeout      = 100 * time.Millisecond // limit for sending one update
	maxQueuedUpdates = 256                    // updates that may wait to be sent; beyond it the link is closed
	maxLinks         = 4                      // concurrent claims and links
	maxListeners     = 4                      // listeners that can be handed over
)

// Link is the connection between the old and the new process while both run. Its methods are safe for concurrent use.
type Link struct {
	conn    net.Conn
	updates chan handover.Update
	once    sync.Once
	done    chan struct{}
}

func newLink(c *net.UnixConn) *Link {
	return &Link{conn: socketio.Wrap(c), updates: make(chan handover.Update, maxQueuedUpdates), done: make(chan struct{})}
}

// Send queues an update for the other process. It does not block: if the queue is full the link is closed.
func (l *Link) Send(u handover.Update) {
	select {
	case l.updates <- u:
	default:
		l.Close()
	}
}

// Close closes the link.
func (l *Link) Close() {
	l.once.Do(func() { close(l.done); l.conn.Close() })
}

// Run sends queued updates and calls receive for each update from the other process, until the link is closed or the other process has ended.
func (l *Link) Run(receive func(handover.Update)) {
	go func() {
		for {
			select {
			case <-l.done:
				return
			case u := <-l.updates:
				frame, err := handover.Encode(u)
				if err == nil {
					l.conn.SetWriteDeadline(time.Now().Add(sendTimeout))
					_, err = l.conn.Write(frame)
				}
				if err != nil {
					l.Close()
					return
				}
			}
		}
	}()
	defer l.Close()
	l.conn.SetReadDeadline(time.Time{})
	for {
		var u handover.Update
		if err := read(l.conn, &u); err != nil {
			return
		}
		receive(u)
	}
}

// read reads one frame and decodes it.
func read(from io.Reader, into any) error {
	head := make([]byte, handover.HeaderSize)
	if _, err := io.ReadFull(from, head); err != nil {
		return err
	}
	n, sum, err := handover.DecodeHeader(head)
	if err != nil {
		return err
	}
	body := make([]byte, n)
	if _, err := io.ReadFull(from, body); err != nil {
		return err
	}
	return handover.DecodeBody(body, sum, into)
}

// hello is the first message of a process that claims the state.
type hello struct {
	Name string `json:"name"`
}

// Result is what a successful claim yields to the new process.
type Result struct {
	State     handover.State
	Listeners []*net.TCPListener
	Link      *Link
}

// ErrNoPreviousProcess is returned by Claim if no process is running that could hand over its state.
var ErrNoPreviousProcess = errors.New("no running process to take over from")

// errOtherName means that the running process belongs to an agent with another name.
var errOtherName = errors.New("the running process belongs to another agent")

// Claim asks the running process of the agent with this name for its state and listeners, and retries for claimTimeout at most. If it returns an
// error, all received descriptors are closed.
func Claim(path, name string) (r *Result, err error) {
	ctx, cancel := context.WithTimeout(context.Background(), claimTimeout)
	defer cancel()
	refusals := 0
	err = transient.Retry(ctx, func() error {
		r, err = claimOnce(path, name)
		return err
	}, func(err error) bool {
		if errors.Is(err, syscall.ECONNREFUSED) { // the process has ended, or its accept queue is full
			refusals++
		}
		return !errors.Is(err, os.ErrNotExist) && !errors.Is(err, errOtherName) && refusals < maxRefusals
	})
	if errors.Is(err, os.ErrNotExist) || errors.Is(err, syscall.ECONNREFUSED) {
		return nil, fmt.Errorf("%w: %w", ErrNoPreviousProcess, err)
	}
	return r, err
}

func claimOnce(path, name string) (*Result, error) {
	c, err := net.DialTimeout("unix", path, attemptTimeout)
	if err != nil {
		return nil, err
	}
	conn := c.(*net.UnixConn)
	r, err := claim(conn, name)
	if err != nil {
		conn.Close()
		return nil, err
	}
	return r, nil
}

func claim(conn *net.UnixConn, name string) (_ *Result, err error) {
	conn.SetDeadline(time.Now().Add(attemptTimeout))
	frame, err := handover.Encode(hello{name})
	if err != nil {
		return nil, err
	}
	r := &Result{Link: newLink(conn)}
	if _, err := r.Link.conn.Write(frame); err != nil {
		return nil, fmt.Errorf("claiming: %w", err)
	}
	var files []*os.File
	defer func() {
		for _, f := range files {
			f.Close()
		}
		if err != nil {
			for _, l := range r.Listeners {
				l.Close()
			}
		}
	}()
	// The listeners come as ancillary data of the first byte, which has no other meaning.
	first, oob := make([]byte, 1), make([]byte, unix.CmsgSpace(4*maxListeners))
	n, oobn, _, _, err := conn.ReadMsgUnix(first, oob)
	if err != nil {
		return nil, fmt.Errorf("claiming: %w", err)
	}
	if n != len(first) {
		return nil, fmt.Errorf("claiming: %w", io.ErrUnexpectedEOF)
	}
	if files, err = receivedFiles(oob[:oobn]); err != nil {
		return nil, err
	}
	if err := read(r.Link.conn, &r.State); err != nil {
		return nil, fmt.Errorf("claiming: %w", err)
	}
	if r.State.Name != name {
		return nil, fmt.Errorf("claiming: %w: %q", errOtherName, r.State.Name)
	}
	if len(files) != len(r.State.Listeners) {
		return nil, fmt.Errorf("claiming: %d listeners in the state, %d files received", len(r.State.Listeners), len(files))
	}
	for i, f := range files {
		l, err := net.FileListener(f)
		if err != nil {
			return nil, fmt.Errorf("claiming listener %s: %w", r.State.Listeners[i], err)
		}
		tcp, ok := l.(*net.TCPListener)
		if !ok || l.Addr() == nil { // getsockname(2) has failed
			l.Close()
			return nil, fmt.Errorf("claiming listener %s: not a TCP listener: %T at %v", r.State.Listeners[i], l, l.Addr())
		}
		r.Listeners = append(r.Listeners, tcp)
	}
	conn.SetDeadline(time.Time{})
	return r, nil
}

// receivedFiles returns the files from a message's ancillary data.
func receivedFiles(oob []byte) (files []*os.File, err error) {
	messages, err := unix.ParseSocketControlMessage(oob)
	if err != nil {
		return nil, fmt.Errorf("claiming: %w", err)
	}
	for _, m := range messages {
		fds, err := unix.ParseUnixRights(&m)
		if err != nil {
			continue
		}
		for _, fd := range fds {
			unix.CloseOnExec(fd)
			files = append(files, os.NewFile(uintptr(fd), "listener"))
		}
	}
	return files, nil
}

// Server hands the state of this process to processes that claim it.
type Server struct {
	name   string
	listen *net.UnixListener
	log    *slog.Logger
	slots  chan struct{} // holds a value for each open claim or link
}

// NewServer listens on path and replaces a socket that another process has there, so that the next claim comes to this process.
func NewServer(path, name string, log *slog.Logger) (*Server, error) {
	own := fmt.Sprintf("%s.%d", path, os.Getpid())
	os.Remove(own) // left by an earlier process with the same id
	l, err := net.ListenUnix("unix", &net.UnixAddr{Name: own, Net: "unix"})
	if err != nil {
		return nil, err
	}
	l.SetUnlinkOnClose(false) // by then the path may belong to another process
	if err := os.Rename(own, path); err != nil {
		l.Close()
		os.Remove(own)
		return nil, err
	}
	return &Server{name: name, listen: l, log: log, slots: make(chan struct{}, maxLinks)}, nil
}

// Close stops accepting claims. Open links are not closed.
func (s *Server) Close() error { return s.listen.Close() }

// Serve answers claims until Close. It calls handOver for each valid claim, which returns the state and the listeners to hand over and
// subscribes the link to all updates after that state. It then calls linked, even if the claim failed and the link is closed; linked must run
// the link and return when it has ended.
func (s *Server) Serve(handOver func(*Link) (handover.State, []*net.TCPListener, error), linked func(*Link)) {
	retry := accept.NewRetrier(s.log)
	for {
		conn, err := accept.Do(retry, s.listen.AcceptUnix)
		if err != nil {
			return
		}
		select {
		case s.slots <- struct{}{}:
		default:
			conn.Close()
			continue
		}
		go func() {
			defer func() { <-s.slots }()
			l := newLink(conn)
			defer l.Close()
			if err := s.answer(conn, l, handOver); err != nil {
				s.log.Warn("a claim was not answered", "error", err)
			}
			linked(l)
		}()
	}
}

func (s *Server) answer(conn *net.UnixConn, l *Link, handOver func(*Link) (handover.State, []*net.TCPListener, error)) (err error) {
	defer func() {
		if err != nil {
			l.Close()
		}
	}()
	conn.SetDeadline(time.Now().Add(attemptTimeout))
	var claim hello
	if err := read(l.conn, &claim); err != nil {
		return err
	}
	if claim.Name != s.name {
		if frame, err := handover.Encode(handover.State{Name: s.name}); err == nil { // so that it does not retry
			l.conn.Write(append([]byte{0}, frame...))
		}
		return fmt.Errorf("agent %q claims the state of agent %q", claim.Name, s.name)
	}
	state, listeners, err := handOver(l)
	if err != nil {
		return err
	}
	frame, err := handover.Encode(state)
	if err != nil {
		return err
	}
	var fds []int
	defer func() {
		for _, fd := range fds {
			unix.Close(fd)
		}
	}()
	for _, listener := range listeners {
		fd, err := duplicate(listener)
		if err != nil {
			return err
		}
		fds = append(fds, fd)
	}
	if _, _, err := conn.WriteMsgUnix([]byte{0}, unix.UnixRights(fds...), nil); err != nil {
		return err
	}
	if _, err := l.conn.Write(frame); err != nil {
		return err
	}
	conn.SetDeadline(time.Time{})
	return nil
}

// duplicate returns a new descriptor of a listener's socket. TCPListener.File is not used because the file's Fd method sets the socket to
// blocking mode for all processes that share it.
func duplicate(l *net.TCPListener) (fd int, err error) {
	raw, err := l.SyscallConn()
	if err != nil {
		return 0, err
	}
	if failed := raw.Control(func(own uintptr) {
		fd, err = unix.FcntlInt(own, unix.F_DUPFD_CLOEXEC, 0)
	}); failed != nil {
		return 0, failed
	}
	return fd, err
}
