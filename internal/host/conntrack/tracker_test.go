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

	"ternbeam/internal/lab/testkit"
)

func newListener(t *testing.T, most int) *Listener {
	t.Helper()
	return newLoggedListener(t, most, slog.New(slog.DiscardHandler))
}

func newLoggedListener(t *testing.T, most int, log *slog.Logger) *Listener {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { l.Close() })
	return New(most).Listen(l.(*net.TCPListener), log)
}

// visitor connects and says something, which has come before the connection is accepted.
func visitor(t *testing.T, d *Listener, words string) net.Conn {
	t.Helper()
	c, err := net.Dial("tcp", d.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { c.Close() })
	if _, err := io.WriteString(c, words); err != nil {
		t.Fatal(err)
	}
	return c
}

func admit(t *testing.T, d *Listener) net.Conn {
	t.Helper()
	c, err := d.Accept()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { c.Close() })
	return c
}

// closed reports whether the other side has closed a connection; it waits a little for that.
func closed(c net.Conn, wait time.Duration) bool {
	c.SetReadDeadline(time.Now().Add(wait))
	_, err := c.Read(make([]byte, 1))
	return err != nil && !errors.Is(err, net.ErrClosed) && !isTimeout(err)
}

func isTimeout(err error) bool {
	var timeout net.Error
	return errors.As(err, &timeout) && timeout.Timeout()
}

// Clients that connect by hundreds and say nothing must not keep usual ones out, whose idle connections stay.
func TestSilentConnectionsGiveWayFirst(t *testing.T) {
	d := newListener(t, 4)
	idle := visitor(t, d, "")
	accepted := admit(t, d)
	d.tracker.Busy(accepted)
	d.tracker.Idle(accepted)
	begun := visitor(t, d, "GET /")
	admit(t, d)
	var mute []net.Conn
	for range 10 {
		mute = append(mute, visitor(t, d, ""))
		admit(t, d)
	}
	if n := d.tracker.Count(); n != 4 {
		t.Errorf("%d connections", n)
	}
	for i, c := range mute {
		if gone := i < 8; closed(c, map[bool]time.Duration{true: testkit.Patience, false: time.Millisecond}[gone]) != gone {
			t.Errorf("silent connection %d closed: %t", i, !gone)
		}
	}
	if closed(idle, time.Millisecond) || closed(begun, time.Millisecond) {
		t.Error("a usual client's connection was closed")
	}
}

// Where nobody is silent the one that has been idle for longest goes, and a newcomer only if all are busy.
func TestIdleConnectionsGiveWayInTurn(t *testing.T) {
	d := newListener(t, 2)
	var clients, conns []net.Conn
	for range 2 {
		clients = append(clients, visitor(t, d, ""))
		conns = append(conns, admit(t, d))
		d.tracker.Busy(conns[len(conns)-1])
	}
	newcomer := visitor(t, d, "")
	admit(t, d)
	if !closed(newcomer, testkit.Patience) || d.tracker.Count() != 2 {
		t.Errorf("%d connections with two busy ones", d.tracker.Count())
	}
	d.tracker.Idle(conns[1])
	d.tracker.Idle(conns[0])
	visitor(t, d, "")
	admit(t, d)
	if !closed(clients[1], testkit.Patience) || closed(clients[0], time.Millisecond) {
		t.Error("not the one that was idle for longest was closed")
	}
}

// What the kernel has accepted before the end is receivedBytes, however late the agent gets to it.
func TestQueueIsTakenAtTheEnd(t *testing.T) {
	d := newListener(t, 10)
	for range 3 {
		visitor(t, d, "GET /")
	}
	go d.CloseAfter(-time.Second, time.Time{})
	for !d.ending.Load() {
		time.Sleep(time.Millisecond)
	}
	for range 3 {
		admit(t, d)
	}
	if _, err := d.Accept(); !errors.Is(err, net.ErrClosed) {
		t.Errorf("error %v", err)
	}
	<-d.closed
}

// At the end those that say nothing are not waited for, but who has begun a request is.
func TestSilentConnectionsAreDroppedAtTheEnd(t *testing.T) {
	d := newListener(t, 10)
	mute, begun := visitor(t, d, ""), visitor(t, d, "GET /")
	admit(t, d)
	admit(t, d)
	d.CloseSilent()
	if !closed(mute, testkit.Patience) || closed(begun, time.Millisecond) || d.tracker.Count() != 1 {
		t.Errorf("%d connections", d.tracker.Count())
	}
}

// A queue that never gets empty, as two processes accept from it, does not keep the tracker open.
func TestBusyQueueEnds(t *testing.T) {
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
	end := time.Now().Add(AnswerWriteTime + SilentGrace + mostDrained/2) // of the whole agent, before the queue's own time is over
	go d.CloseAfter(time.Millisecond, end)
	for end := time.Now().Add(testkit.Patience); ; {
		c, err := d.Accept()
		if err != nil {
			break
		}
		c.Close()
		d.tracker.Closed(c)
		if time.Now().After(end) {
			t.Fatal("it accepts for ever")
		}
	}
	<-d.closed
	if left := time.Until(end); left < AnswerWriteTime {
		t.Errorf("it accepted until %v before the end", left)
	}
}

// Bytes come as the end of an idle connection is under way: who reads it finds them before the end, whichever came first, and the
// connection goes on with the time to read that it was set.
func TestBytesComeAsAnIdleConnectionEnds(t *testing.T) {
	for name, cross := range map[string]func(c *Conn, client net.Conn){
		"the end, then bytes": func(c *Conn, client net.Conn) { c.end(EndedForRoom); io.WriteString(client, "GET") },
		"bytes, then the end": func(c *Conn, client net.Conn) { io.WriteString(client, "GET"); c.end(EndedForRoom) },
		"a time to read between": func(c *Conn, client net.Conn) {
			c.end(EndedForRoom)
			io.WriteString(client, "GET")
			c.SetReadDeadline(time.Now().Add(testkit.Patience))
		},
		"bytes, then the time to read is over": func(c *Conn, client net.Conn) {
			io.WriteString(client, "GET")
			testkit.Eventually(t, "the bytes are there", func() bool { return !c.Quiet() })
			c.SetReadDeadline(time.Unix(1, 0))
		},
	} {
		t.Run(name, func(t *testing.T) {
			d := newListener(t, 10).ReaderCloses()
			client := visitor(t, d, "")
			c := admit(t, d).(*Conn)
			cross(c, client)
			testkit.Eventually(t, "the bytes are there", func() bool { return !c.Quiet() })
			p := make([]byte, 10)
			if n, err := c.Read(p); string(p[:n]) != "GET" {
				t.Fatalf("%q, %v", p[:n], err)
			}
			io.WriteString(client, " /")
			testkit.Eventually(t, "more bytes are there", func() bool { return !c.Quiet() })
			if n, err := c.Read(p); string(p[:n]) != " /" {
				t.Errorf("it does not go on: %q, %v", p[:n], err)
			}
		})
	}
	d := newListener(t, 10).ReaderCloses()
	visitor(t, d, "")
	c := admit(t, d).(*Conn)
	d.CloseSilent()
	if _, err := c.Read(make([]byte, 1)); !isTimeout(err) {
		t.Errorf("one on which nothing comes: %v", err)
	}
	if n := d.tracker.Count(); n != 1 {
		t.Errorf("%d connections before the reader has closed it", n)
	}
}

// An accept that fails for want of memory or descriptors, as Linux documents, ends nothing: who waits in the queue is let in, while
// the agent serves and while it ends, and the agent's end is as it would have been.
func TestFailedAcceptsEndNothing(t *testing.T) {
	for _, errno := range []syscall.Errno{syscall.ENOBUFS, syscall.ENOMEM, syscall.ENFILE, syscall.EPERM, syscall.EPROTO, syscall.ENETDOWN} {
		for _, ending := range []bool{false, true} {
			t.Run(fmt.Sprint(errno, ", ending ", ending), func(t *testing.T) {
				d := newListener(t, 10)
				real, calls := d.accept, 0
				d.accept = func() (*net.TCPConn, error) {
					if calls++; calls%3 != 0 {
						return nil, &net.OpError{Op: "accept", Err: os.NewSyscallError("accept4", errno)}
					}
					return real()
				}
				for range 4 {
					visitor(t, d, "GET /")
				}
				came := time.Now()
				if ending {
					go d.CloseAfter(-time.Second, time.Time{})
					testkit.Eventually(t, "it ends", d.ending.Load)
				}
				for range 4 {
					c := admit(t, d).(*Conn)
					if _, err := c.Read(make([]byte, 5)); err != nil {
						t.Fatal(err)
					}
					if since := c.stream.Reads().Since(); since.IsZero() || since.After(came) {
						t.Errorf("it is not known to have waited, but since %v after it came", since.Sub(came))
					}
				}
				if !ending {
					go d.CloseAfter(0, time.Time{})
				}
				if c, err := d.Accept(); !errors.Is(err, net.ErrClosed) {
					t.Errorf("accepts %v, %v after the end", c, err)
				}
			})
		}
	}
}

// A connection that is closed over data that nobody has read is counted, one without is not, and neither is one that its client has ended.
func TestCloseOverUnreadDataIsCounted(t *testing.T) {
	d := newListener(t, 8)
	for words, want := range map[string]int{"GET /": 1, "": 0} {
		before := d.tracker.Stats().ClosedUnread
		visitor(t, d, words)
		c := admit(t, d).(*Conn)
		testkit.Eventually(t, "what was said is there", func() bool { return c.Quiet() == (words == "") })
		c.Close()
		c.Close()
		if got := d.tracker.Stats().ClosedUnread - before; got != want {
			t.Errorf("%q: counted %d times", words, got)
		}
	}
}

// Connections that are idle stay as their clients keep them, while they hold no more than their part of the places.
func TestIdleConnectionsStayWhileThereIsRoom(t *testing.T) {
	const most, kept, surplus = 16, 16 / keptPart, 3
	d := newListener(t, most)
	now := time.Now()
	d.tracker.now = func() time.Time { return now }
	var clients []net.Conn
	add := func() {
		clients = append(clients, visitor(t, d, ""))
		conn := admit(t, d)
		d.tracker.Busy(conn)
		d.tracker.Idle(conn)
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
		t.Errorf("%q with %d idle connections of %d places", ended, kept+surplus, most)
	}
	for i, client := range clients {
		if wait := time.Millisecond; i < surplus != closed(client, wait) {
			t.Errorf("connection %d closed: %t", i, i >= surplus)
		}
	}
}

// Guards against an idle connection that is closed for room while clients that have left hold places, as their readers are late.
func TestClientsThatHaveLeftGiveWayFirst(t *testing.T) {
	for _, readerCloses := range []bool{false, true} {
		d := newListener(t, 4)
		d.readerCloses = readerCloses
		kept := visitor(t, d, "")
		conn := admit(t, d)
		d.tracker.Busy(conn)
		d.tracker.Idle(conn)
		const crowd = 12
		for range crowd {
			visitor(t, d, "").Close()
		}
		for range crowd {
			admit(t, d)
		}
		_, cause := conn.(*Conn).lastError()
		if ended := d.tracker.Stats().Ended; ended != (EndCounts{}) || cause != NotEnded || closed(kept, time.Millisecond) {
			t.Errorf("reader closes %t: %q, told to end for %v", readerCloses, ended, cause)
		}
	}
}

// Guards against an answer that is not sent as the time to write it passes before the first byte is tried.
func TestAnswersAreSentThoughTheirTimeHasPassed(t *testing.T) {
	d := newListener(t, 10)
	client := visitor(t, d, "GET /")
	conn := admit(t, d)
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
		t.Errorf("a client that takes nothing: %d, %v", n, err)
	}
}

// Guards against connections that are closed under the requests of clients that ask rarely, while nobody needs their places.
func TestHalfOfThePlacesMayBeHeldByClientsThatAskRarely(t *testing.T) {
	const most, rarely = 32, idleAfter + 100*time.Millisecond
	d := newListener(t, most)
	now := time.Now()
	d.tracker.now = func() time.Time { return now }
	var all []net.Conn
	for range most / 2 {
		visitor(t, d, "")
		all = append(all, admit(t, d))
	}
	for range 3 {
		for _, conn := range all {
			if !d.tracker.Busy(conn) {
				t.Fatal("a connection was closed before its next request")
			}
			d.tracker.Idle(conn)
		}
		now = now.Add(rarely)
	}
}

// Those that have not been idle for long stay beyond that.
func TestConnectionsThatWereUsedLatelyStay(t *testing.T) {
	const most = 16
	d := newListener(t, most)
	now := time.Now()
	d.tracker.now = func() time.Time { return now }
	for range most {
		visitor(t, d, "")
		conn := admit(t, d)
		d.tracker.Busy(conn)
		d.tracker.Idle(conn)
	}
	now = now.Add(idleAfter - time.Millisecond)
	visitor(t, d, "GET /")
	admit(t, d)
	if ended, want := d.tracker.Stats().Ended, (EndCounts{EndedForRoom: 1}); ended != want {
		t.Errorf("%q, want %q", ended, want)
	}
}

// A newcomer waits for the place of one that has just come only while it has sent nothing itself, and not for long.
func TestNewcomersWaitForThoseThatHaveJustCome(t *testing.T) {
	const slack = 100 * time.Millisecond // of a busy machine, below mostQueued
	d := newListener(t, 2)
	for range 2 {
		visitor(t, d, "")
		admit(t, d)
	}
	begin := time.Now()
	visitor(t, d, "GET /")
	admit(t, d)
	if took := time.Since(begin); took > slack {
		t.Errorf("a newcomer with a request waited for %v", took)
	}
	begin = time.Now()
	visitor(t, d, "")
	admit(t, d)
	if took := time.Since(begin); took < mostQueued/2 || took > mostQueued+slack {
		t.Errorf("a silent newcomer waited for %v", took)
	}
	time.Sleep(freshGrace)
	begin = time.Now()
	visitor(t, d, "")
	admit(t, d)
	if took := time.Since(begin); took > slack {
		t.Errorf("a newcomer waited for %v before connections that have had their time", took)
	}
}
