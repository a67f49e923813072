package socketio

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"net"
	"os"
	"slices"
	"syscall"
	"testing"
	"time"

	"ternbeam/internal/sysio/peek"
)

// pair returns a Conn and the other end of its connection.
func pair(t *testing.T) (*Conn, *net.TCPConn) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	other, err := net.Dial("tcp", l.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { other.Close() })
	own, err := l.Accept()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { own.Close() })
	c, err := New(own, nil)
	if err != nil {
		t.Fatal(err)
	}
	return c, other.(*net.TCPConn)
}

// failing returns a call that first fails with each of errnos in turn and is then made.
func failing(call func(int, []byte) (int, error), errnos ...syscall.Errno) func(int, []byte) (int, error) {
	return func(fd int, p []byte) (int, error) {
		if len(errnos) == 0 {
			return call(fd, p)
		}
		errno := errnos[0]
		errnos = errnos[1:]
		return -1, errno
	}
}

// counting counts the calls.
func counting(calls *int, call func(int, []byte) (int, error)) func(int, []byte) (int, error) {
	return func(fd int, p []byte) (int, error) {
		*calls++
		return call(fd, p)
	}
}

// openErrnos returns sequences of errors with which calls may fail on an open connection.
func openErrnos() [][]syscall.Errno {
	all := [][]syscall.Errno{{syscall.EAGAIN, syscall.EAGAIN}, {syscall.EPIPE, syscall.EBADF}, {syscall.ETIMEDOUT, syscall.EIO, syscall.EINTR, syscall.ENOTCONN},
		{syscall.ENOMEM, syscall.ENOMEM, syscall.ENOMEM, syscall.ENOMEM}}
	for _, errno := range []syscall.Errno{syscall.ETIMEDOUT, syscall.EHOSTUNREACH, syscall.ENETUNREACH, syscall.EIO, syscall.EPERM, syscall.ENOMEM,
		syscall.ECONNRESET, syscall.EPIPE, syscall.ENOTCONN, syscall.EBADF, syscall.EINVAL, syscall.EFAULT, syscall.EAGAIN} {
		all = append(all, []syscall.Errno{errno})
	}
	return all
}

// On an open connection every error is retried with one more call, and reported unless it is a first EAGAIN.
func TestErrorsOnAnOpenConnection(t *testing.T) {
	for _, errnos := range openErrnos() {
		t.Run(fmt.Sprint(errnos), func(t *testing.T) {
			c, other := pair(t)
			var failures []error
			c.observe = func(f Failure) { failures = append(failures, f.Err) }
			writes, reads := 0, 0
			c.writes.call = counting(&writes, failing(syscall.Write, errnos...))
			if n, err := c.Write([]byte("answer")); n != 6 || err != nil {
				t.Fatalf("%d, %v", n, err)
			}
			text := make([]byte, 6)
			if _, err := io.ReadFull(other, text); err != nil || string(text) != "answer" {
				t.Errorf("%q, %v", text, err)
			}
			io.WriteString(other, "request")
			c.reads.call = counting(&reads, failing(syscall.Read, errnos...))
			if n, err := c.Read(make([]byte, 10)); n != 7 || err != nil {
				t.Errorf("%d, %v", n, err)
			}
			if want := len(errnos) + 1; writes != want || reads != want {
				t.Errorf("%d writes and %d reads, want %d", writes, reads, want)
			}
			want := len(errnos)
			if errnos[0] == syscall.EAGAIN {
				want--
			}
			if len(failures) != 2*want {
				t.Errorf("reported %v", failures)
			}
		})
	}
}

// reset resets the connection from the other side and waits until the reset has arrived. The pending socket error is not consumed.
func reset(t *testing.T, c *Conn, other *net.TCPConn) {
	t.Helper()
	other.SetLinger(0)
	other.Close()
	for end := time.Now().Add(10 * time.Second); peek.StateOf(c) != peek.Ended; time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatal("no reset")
		}
	}
}

// On a connection that has ended, the first error is returned, whatever it is.
func TestErrorsOnAnEndedConnection(t *testing.T) {
	for _, errno := range []syscall.Errno{syscall.EPIPE, syscall.ECONNRESET, syscall.ENOTCONN, syscall.EBADF, syscall.ETIMEDOUT, syscall.EIO} {
		c, other := pair(t)
		reset(t, c, other)
		calls := 0
		fail := counting(&calls, func(int, []byte) (int, error) { return -1, errno })
		c.writes.call, c.reads.call = fail, fail
		if n, err := c.Write([]byte("x")); n != 0 || !errors.Is(err, errno) || calls != 1 {
			t.Errorf("write, %v: %d, %v in %d calls", errno, n, err, calls)
		}
		if n, err := c.Read(make([]byte, 1)); n != 0 || !errors.Is(err, errno) || calls != 2 {
			t.Errorf("read, %v: %d, %v in %d calls", errno, n, err, calls-1)
		}
	}
}

// If the connection ends after a failed call, the next call returns the error: two calls and no more.
func TestConnectionThatEndsAfterAnError(t *testing.T) {
	for _, errno := range []syscall.Errno{syscall.ETIMEDOUT, syscall.EHOSTUNREACH, syscall.ENETUNREACH, syscall.EIO, syscall.EPERM, syscall.ENOMEM} {
		for _, next := range []syscall.Errno{syscall.EPIPE, syscall.ECONNRESET} {
			for _, write := range []bool{false, true} {
				c, other := pair(t)
				c.observe = func(Failure) { reset(t, c, other) }
				calls := 0
				fail := counting(&calls, failing(func(int, []byte) (int, error) { return -1, next }, errno))
				c.writes.call, c.reads.call = fail, fail
				operation := c.Read
				if write {
					operation = c.Write
				}
				if n, err := operation(make([]byte, 1)); n != 0 || !errors.Is(err, next) || calls != 2 {
					t.Errorf("write %t, %v, then %v: %d, %v in %d calls", write, errno, next, n, err, calls)
				}
			}
		}
	}
}

// A read returns io.EOF after the other side has closed its sending side, the deadline error once the deadline has passed, and net.ErrClosed
// after Close.
func TestReadErrors(t *testing.T) {
	c, other := pair(t)
	c.SetReadDeadline(time.Now().Add(time.Millisecond))
	if _, err := c.Read(make([]byte, 1)); !errors.Is(err, os.ErrDeadlineExceeded) {
		t.Errorf("after the deadline: %v", err)
	}
	c.SetReadDeadline(time.Time{})
	other.CloseWrite()
	if n, err := c.Read(make([]byte, 1)); n != 0 || err != io.EOF {
		t.Errorf("at the end: %d, %v", n, err)
	}
	if n, err := c.Write([]byte("late")); n != 4 || err != nil {
		t.Errorf("after the other side has closed its sending side: %d, %v", n, err)
	}
	c.Close()
	if _, err := c.Read(make([]byte, 1)); !errors.Is(err, net.ErrClosed) {
		t.Errorf("closed: %v", err)
	}
}

// A call whose errors persist returns the error after some seconds, and earlier if a deadline passes.
func TestDeadlineEndsFailingCalls(t *testing.T) {
	c, _ := pair(t)
	c.writes.call = func(int, []byte) (int, error) { return -1, syscall.ENOBUFS }
	begin := time.Now()
	c.SetWriteDeadline(begin.Add(30 * time.Millisecond))
	if _, err := c.Write([]byte("x")); !errors.Is(err, os.ErrDeadlineExceeded) || time.Since(begin) > time.Second {
		t.Errorf("%v after %v", err, time.Since(begin))
	}
}

// Short writes between errors neither lose nor repeat a byte.
func TestWriteContinuesAfterShortWrite(t *testing.T) {
	for _, errno := range []syscall.Errno{syscall.ENOBUFS, syscall.ENOMEM, syscall.EINTR} {
		t.Run(fmt.Sprint(errno), func(t *testing.T) {
			c, other := pair(t)
			calls := 0
			c.writes.call = func(fd int, p []byte) (int, error) {
				if calls++; calls%3 == 0 {
					return -1, errno
				}
				return syscall.Write(fd, p[:min(calls%4+1, len(p))])
			}
			const answer = "an answer of some bytes"
			if n, err := c.Write([]byte(answer)); n != len(answer) || err != nil {
				t.Errorf("%d, %v", n, err)
			}
			c.Close()
			if got, err := io.ReadAll(other); err != nil || string(got) != answer {
				t.Errorf("%q, %v", got, err)
			}
		})
	}
}

// Long data arrives complete through short writes and a full socket buffer.
func TestShortWrites(t *testing.T) {
	c, other := pair(t)
	c.writes.call = func(fd int, p []byte) (int, error) { return syscall.Write(fd, p[:min(len(p), 10_000)]) }
	data := slices.Repeat([]byte("0123456789"), 400_000)
	sent := make(chan error, 1)
	go func() {
		_, err := c.Write(data)
		sent <- err
		c.Close()
	}()
	got, err := io.ReadAll(other)
	if err != nil || !bytes.Equal(got, data) || <-sent != nil {
		t.Errorf("%d bytes, %v", len(got), err)
	}
}

func BenchmarkExchange(b *testing.B) {
	for _, wrapped := range []bool{false, true} {
		b.Run(fmt.Sprintf("wrapped %t", wrapped), func(b *testing.B) {
			l, err := net.Listen("tcp", "127.0.0.1:0")
			if err != nil {
				b.Fatal(err)
			}
			defer l.Close()
			go func() {
				conn, err := l.Accept()
				if err != nil {
					return
				}
				io.Copy(struct{ io.Writer }{conn}, struct{ io.Reader }{conn})
			}()
			conn, err := net.Dial("tcp", l.Addr().String())
			if err != nil {
				b.Fatal(err)
			}
			defer conn.Close()
			if wrapped {
				conn = Wrap(conn)
			}
			text := make([]byte, 300)
			b.ReportAllocs()
			for b.Loop() {
				conn.Write(text)
				if _, err := io.ReadFull(conn, text); err != nil {
					b.Fatal(err)
				}
			}
		})
	}
}
