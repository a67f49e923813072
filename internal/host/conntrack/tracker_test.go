package conntrack

import (
	"errors"
	"fmt"
	"io"
	"log/slog"
	"net"
	"os"
	"syscall"
	"testing"
	"time"

	"ternbeam/internal/host/membudget"
	"ternbeam/internal/lab/testkit"
)

func newListener(t *testing.T, maxConns int) *Listener {
	t.Helper()
	return newLoggedListener(t, maxConns, slog.New(slog.DiscardHandler))
}

func newLoggedListener(t *testing.T, maxConns int, log *slog.Logger) *Listener {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { l.Close() })
	return New(maxConns, membudget.New(16<<20)).Listen(l.(*net.TCPListener), log)
}

// dialClient connects and sends data, before the connection is accepted.
func dialClient(t *testing.T, d *Listener, data string) net.Conn {
	t.Helper()
	c, err := net.Dial("tcp", d.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { c.Close() })
	if _, err := io.WriteString(c, data); err != nil {
		t.Fatal(err)
	}
	return c
}

func acceptConn(t *testing.T, d *Listener) net.Conn {
	t.Helper()
	c, err := d.Accept()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { c.Close() })
	return c
}

// closed reports whether the other side closes a connection within wait.
func closed(c net.Conn, wait time.Duration) bool {
	c.SetReadDeadline(time.Now().Add(wait))
	_, err := c.Read(make([]byte, 1))
	return err != nil && !errors.Is(err, net.ErrClosed) && !isTimeout(err)
}

func isTimeout(err error) bool {
	var timeout net.Error
	return errors.As(err, &timeout) && timeout.Timeout()
}

// Hundreds of clients that connect and send nothing must not displace normal ones, whose idle connections stay open.
func TestSilentConnectionsAreClosedFirst(t *testing.T) {
	d := newListener(t, 4)
	idle := dialClient(t, d, "")
	accepted := acceptConn(t, d)
	d.tracker.MarkBusy(accepted)
	d.tracker.MarkIdle(accepted)
	partial := dialClient(t, d, "GET /")
	acceptConn(t, d)
	var silent []net.Conn
	for range 10 {
		silent = append(silent, dialClient(t, d, ""))
		acceptConn(t, d)
	}
	if n := d.tracker.Count(); n != 4 {
		t.Errorf("%d connections", n)
	}
	for i, c := range silent {
		if gone := i < 8; closed(c, map[bool]time.Duration{true: testkit.WaitTimeout, false: time.Millisecond}[gone]) != gone {
			t.Errorf("silent connection %d closed: %t", i, !gone)
		}
	}
	if closed(idle, time.Millisecond) || closed(partial, time.Millisecond) {
		t.Error("a normal client's connection was closed")
	}
}

// If every connection has sent data, the one that has been idle for longest is closed, and the newcomer only if all others are busy.
func TestLongestIdleConnectionIsClosedFirst(t *testing.T) {
	d := newListener(t, 2)
	var clients, conns []net.Conn
	for range 2 {
		clients = append(clients, dialClient(t, d, ""))
		conns = append(conns, acceptConn(t, d))
		d.tracker.MarkBusy(conns[len(conns)-1])
	}
	newcomer := dialClient(t, d, "")
	acceptConn(t, d)
	if !closed(newcomer, testkit.WaitTimeout) || d.tracker.Count() != 2 {
		t.Errorf("%d connections with two busy ones", d.tracker.Count())
	}
	d.tracker.MarkIdle(conns[1])
	d.tracker.MarkIdle(conns[0])
	dialClient(t, d, "")
	acceptConn(t, d)
	if !closed(clients[1], testkit.WaitTimeout) || closed(clients[0], time.Millisecond) {
		t.Error("a connection other than the longest idle one was closed")
	}
}

// Connections that the kernel accepted before the shutdown are served, however late the agent accepts them.
func TestAcceptQueueIsServedAtShutdown(t *testing.T) {
	d := newListener(t, 10)
	for range 3 {
		dialClient(t, d, "GET /")
	}
	go d.CloseAfter(-time.Second, time.Time{})
	for !d.ending.Load() {
		time.Sleep(time.Millisecond)
	}
	for range 3 {
		acceptConn(t, d)
	}
	if _, err := d.Accept(); !errors.Is(err, net.ErrClosed) {
		t.Errorf("error %v", err)
	}
	<-d.closed
}

// The shutdown closes connections that have sent nothing, but waits for those that have sent part of a request.
func TestSilentConnectionsAreClosedAtShutdown(t *testing.T) {
	d := newListener(t, 10)
	silent, partial := dialClient(t, d, ""), dialClient(t, d, "GET /")
	acceptConn(t, d)
	acceptConn(t, d)
	d.CloseSilent()
	if !closed(silent, testkit.WaitTimeout) || closed(partial, time.Millisecond) || d.tracker.Count() != 1 {
		t.Errorf("%d connections", d.tracker.Count())
	}
}

// An accept queue that never becomes empty, as two processes share it, does not keep the listener open.
func TestBusyAcceptQueueDoesNotBlockShutdown(t *testing.T) {
	d := newListener(t, 1000)
	stop := make(chan struct{})
	defer close(stop)
	go func() {
		for {
			select {
			case <-stop:
				return
			default:
			}
			if c, err := net.Dial("tcp", d.Addr().String()); err == nil {
				c.Close()
				time.Sleep(time.Millisecond)
			}
		}
	}()
	end := time.Now().Add(AnswerWriteTime + SilentGrace + maxQueueDrain/2) // of the whole agent, before maxQueueDrain has passed
	go d.CloseAfter(time.Millisecond, end)
	for end := time.Now().Add(testkit.WaitTimeout); ; {
		c, err := d.Accept()
		if err != nil {
			break
		}
		c.Close()
		d.tracker.MarkClosed(c)
		if time.Now().After(end) {
			t.Fatal("it does not stop accepting")
		}
	}
	<-d.closed
	if left := time.Until(end); left < AnswerWriteTime {
		t.Errorf("it accepted until %v before the end", left)
	}
}

// Data arrives while an idle connection is being closed. Its reader gets the data first, whichever came first, and the connection stays open
// with the read deadline that was set.
func TestDataArrivesAsIdleConnectionIsClosed(t *testing.T) {
	for name, race := range map[string]func(c *Conn, client net.Conn){
		"closing, then data": func(c *Conn, client net.Conn) { c.end(EndedForRoom); io.WriteString(client, "GET") },
		"data, then closing": func(c *Conn, client net.Conn) { io.WriteString(client, "GET"); c.end(EndedForRoom) },
		"a new deadline in between": func(c *Conn, client net.Conn) {
			c.end(EndedForRoom)
			io.WriteString(client, "GET")
			c.SetReadDeadline(time.Now().Add(testkit.WaitTimeout))
		},
		"data, then the deadline expires": func(c *Conn, client net.Conn) {
			io.WriteString(client, "GET")
			testkit.Eventually(t, "the data has arrived", func() bool { return !c.KnownOpenAndEmpty() })
			c.SetReadDeadline(time.Unix(1, 0))
		},
	} {
		t.Run(name, func(t *testing.T) {
			d := newListener(t, 10).ReaderCloses()
			client := dialClient(t, d, "")
			c := acceptConn(t, d).(*Conn)
			race(c, client)
			testkit.Eventually(t, "the data has arrived", func() bool { return !c.KnownOpenAndEmpty() })
			p := make([]byte, 10)
			if n, err := c.Read(p); string(p[:n]) != "GET" {
				t.Fatalf("%q, %v", p[:n], err)
			}
			io.WriteString(client, " /")
			testkit.Eventually(t, "more data has arrived", func() bool { return !c.KnownOpenAndEmpty() })
			if n, err := c.Read(p); string(p[:n]) != " /" {
				t.Errorf("the connection does not continue: %q, %v", p[:n], err)
			}
		})
	}
	d := newListener(t, 10).ReaderCloses()
	dialClient(t, d, "")
	c := acceptConn(t, d).(*Conn)
	d.CloseSilent()
	if _, err := c.Read(make([]byte, 1)); !isTimeout(err) {
		t.Errorf("a connection without data: %v", err)
	}
	if n := d.tracker.Count(); n != 1 {
		t.Errorf("%d connections before the reader has closed it", n)
	}
}

// An accept that fails for lack of memory or descriptors, as Linux documents, does not stop the listener: queued connections are accepted
// while the agent serves and while it shuts down, and the shutdown completes as usual.
func TestFailedAcceptsDoNotStopListener(t *testing.T) {
	for _, errno := range []syscall.Errno{syscall.ENOBUFS, syscall.ENOMEM, syscall.ENFILE, syscall.EPERM, syscall.EPROTO, syscall.ENETDOWN} {
		for _, ending := range []bool{false, true} {
			t.Run(fmt.Sprint(errno, ", ending ", ending), func(t *testing.T) {
				d := newListener(t, 10)
				acceptReal, calls := d.accept, 0
				d.accept = func() (*net.TCPConn, error) {
					if calls++; calls%3 != 0 {
						return nil, &net.OpError{Op: "accept", Err: os.NewSyscallError("accept4", errno)}
					}
					return acceptReal()
				}
				for range 4 {
					dialClient(t, d, "GET /")
				}
				dialed := time.Now()
				if ending {
					go d.CloseAfter(-time.Second, time.Time{})
					testkit.Eventually(t, "it shuts down", d.ending.Load)
				}
				for range 4 {
					c := acceptConn(t, d).(*Conn)
					if _, err := c.Read(make([]byte, 5)); err != nil {
						t.Fatal(err)
					}
					if since := c.stream.Reads().ReadySince(); since.IsZero() || since.After(dialed) {
						t.Errorf("it counts as queued since %v after it was dialed", since.Sub(dialed))
					}
				}
				if !ending {
					go d.CloseAfter(0, time.Time{})
				}
				if c, err := d.Accept(); !errors.Is(err, net.ErrClosed) {
					t.Errorf("accepted %v, %v after the shutdown", c, err)
				}
			})
		}
	}
}

// A connection that is closed over unread data is counted. One without unread data is not, nor is a second Close.
func TestCloseOverUnreadDataIsCounted(t *testing.T) {
	d := newListener(t, 8)
	for data, want := range map[string]int{"GET /": 1, "": 0} {
		before := d.tracker.Stats().ClosedUnread
		dialClient(t, d, data)
		c := acceptConn(t, d).(*Conn)
		testkit.Eventually(t, "the data has arrived", func() bool { return c.KnownOpenAndEmpty() == (data == "") })
		c.Close()
		c.Close()
		if got := d.tracker.Stats().ClosedUnread - before; got != want {
			t.Errorf("%q: counted %d times", data, got)
		}
	}
}

// Idle connections stay open as long as their clients keep them, unless they hold more than their share of the slots.
func TestIdleConnectionsStayOpenWithinTheirShare(t *testing.T) {
	const most, kept, surplus = 16, 16 / idleShareDivisor, 3
	d := newListener(t, most)
	now := time.Now()
	d.tracker.now = func() time.Time { return now }
	var clients []net.Conn
	add := func() {
		clients = append(clients, dialClient(t, d, ""))
		conn := acceptConn(t, d)
		d.tracker.MarkBusy(conn)
		d.tracker.MarkIdle(conn)
	}
	for range kept {
		add()
	}
	now = now.Add(time.Hour)
	add()
	for range surplus - 1 {
		add()
	}
	if ended := d.tracker.Stats().Ended; ended != (EndCounts{EndedIdle: surplus}) {
		t.Errorf("%q with %d idle connections of %d slots", ended, kept+surplus, most)
	}
	for i, client := range clients {
		surplusConn, wait := i < surplus, time.Millisecond
		if surplusConn {
			wait = testkit.WaitTimeout
		}
		if surplusConn != closed(client, wait) {
			t.Errorf("connection %d closed: %t", i, !surplusConn)
		}
	}
}

// Guards against closing an idle connection for room while disconnected clients still hold slots because their readers are late.
func TestSlotsOfDisconnectedClientsAreFreedFirst(t *testing.T) {
	for _, readerCloses := range []bool{false, true} {
		d := newListener(t, 4)
		d.readerCloses = readerCloses
		kept := dialClient(t, d, "")
		conn := acceptConn(t, d)
		d.tracker.MarkBusy(conn)
		d.tracker.MarkIdle(conn)
		const visitors = 12
		for range visitors {
			dialClient(t, d, "").Close()
		}
		for range visitors {
			acceptConn(t, d)
		}
		cause, _ := conn.(*Conn).lastError()
		if ended := d.tracker.Stats().Ended; ended != (EndCounts{}) || cause != NotEnded || closed(kept, time.Millisecond) {
			t.Errorf("reader closes %t: %q, reader asked to close for %v", readerCloses, ended, cause)
		}
	}
}

// Guards against an answer that is not sent because the write deadline passes before the first write is attempted.
func TestAnswerIsSentAfterWriteDeadline(t *testing.T) {
	d := newListener(t, 10)
	client := dialClient(t, d, "GET /")
	conn := acceptConn(t, d)
	conn.SetWriteDeadline(time.Unix(1, 0))
	const answer = "an answer"
	if n, err := conn.Write([]byte(answer)); n != len(answer) || err != nil {
		t.Fatalf("%d, %v", n, err)
	}
	got := make([]byte, len(answer))
	if _, err := io.ReadFull(client, got); err != nil || string(got) != answer {
		t.Errorf("%q, %v", got, err)
	}
	if n, err := conn.Write(make([]byte, 64<<20)); n == 64<<20 || !isTimeout(err) {
		t.Errorf("a client that does not read: %d, %v", n, err)
	}
}

// Guards against closing connections of clients that send requests rarely while their slots are not needed.
func TestRarelyUsedConnectionsMayHoldHalfOfTheSlots(t *testing.T) {
	const most, rarely = 32, surplusIdleAfter + 100*time.Millisecond
	d := newListener(t, most)
	now := time.Now()
	d.tracker.now = func() time.Time { return now }
	var all []net.Conn
	for range most / 2 {
		dialClient(t, d, "")
		all = append(all, acceptConn(t, d))
	}
	for range 3 {
		for _, conn := range all {
			if !d.tracker.MarkBusy(conn) {
				t.Fatal("a connection was closed before its next request")
			}
			d.tracker.MarkIdle(conn)
		}
		now = now.Add(rarely)
	}
}

// Connections that were used recently stay open even beyond the share of idle ones.
func TestRecentlyUsedConnectionsStayOpen(t *testing.T) {
	const most = 16
	d := newListener(t, most)
	now := time.Now()
	d.tracker.now = func() time.Time { return now }
	for range most {
		dialClient(t, d, "")
		conn := acceptConn(t, d)
		d.tracker.MarkBusy(conn)
		d.tracker.MarkIdle(conn)
	}
	now = now.Add(surplusIdleAfter - time.Millisecond)
	dialClient(t, d, "GET /")
	acceptConn(t, d)
	if ended, want := d.tracker.Stats().Ended, (EndCounts{EndedForRoom: 1}); ended != want {
		t.Errorf("%q, want %q", ended, want)
	}
}

// A newcomer waits for the slot of a connection that was accepted recently only while it has sent nothing itself, and not for long.
func TestNewConnectionWaitsForRecentlyAcceptedOnes(t *testing.T) {
	const slack = 100 * time.Millisecond // for a busy machine; less than maxQueueWait
	d := newListener(t, 2)
	for range 2 {
		dialClient(t, d, "")
		acceptConn(t, d)
	}
	begin := time.Now()
	dialClient(t, d, "GET /")
	acceptConn(t, d)
	if took := time.Since(begin); took > slack {
		t.Errorf("a newcomer with a request waited for %v", took)
	}
	begin = time.Now()
	dialClient(t, d, "")
	acceptConn(t, d)
	if took := time.Since(begin); took < maxQueueWait/2 || took > maxQueueWait+slack {
		t.Errorf("a silent newcomer waited for %v", took)
	}
	time.Sleep(freshGrace)
	begin = time.Now()
	dialClient(t, d, "")
	acceptConn(t, d)
	if took := time.Since(begin); took > slack {
		t.Errorf("a newcomer waited for %v although the grace of the others had passed", took)
	}
}
